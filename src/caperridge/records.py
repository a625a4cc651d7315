"""Base class of the records that are passed between layers and processes."""

from collections.abc import Mapping
from typing import Any, ClassVar, Self

import msgpack


class Record:
    """Class with slots whose equality, hash and repr are based on its fields.

    A subclass lists its fields in ``__slots__``, and its constructor accepts all of
    them by name. :meth:`from_map` ignores unknown fields and uses the defaults of the
    constructor for missing ones, so two releases can run side by side.

    >>> class Point(Record):
    ...     __slots__ = ("x", "y")
    ...     def __init__(self, x: int, y: int = 0) -> None:
    ...         self.x = x
    ...         self.y = y
    >>> Point.from_map({"x": 1, "colour": "red"})
    Point(x=1, y=0)
    """

    __slots__: ClassVar[tuple[str, ...]] = ()

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return all(getattr(self, n) == getattr(other, n) for n in self.__slots__)

    def __hash__(self) -> int:
        return hash((type(self), *(getattr(self, n) for n in self.__slots__)))

    def __repr__(self) -> str:
        fields = ", ".join(f"{n}={getattr(self, n)!r}" for n in self.__slots__)
        return f"{type(self).__name__}({fields})"

    def to_map(self) -> dict[str, Any]:
        """Return the fields by name; nested records become maps."""
        return {name: _plain(getattr(self, name)) for name in self.__slots__}

    @classmethod
    def from_map(cls, fields: Mapping[str, Any]) -> Self:
        """Return a record with ``fields``, ignoring names unknown to this release.

        Raises:
            TypeError: a field without a default is missing.
        """
        return cls(**{n: fields[n] for n in cls.__slots__ if n in fields})

    def replace(self, **changes: Any) -> Self:
        """Return a copy with ``changes`` applied."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        fields.update(changes)
        return type(self)(**fields)


def _plain(value: Any) -> Any:
    if isinstance(value, Record):
        return value.to_map()
    if isinstance(value, list | tuple):
        return [_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    return value


def pack(value: Any) -> bytes:
    """Return ``value`` (maps, lists, scalars, records) as msgpack bytes."""
    return msgpack.packb(value, default=_fields, use_bin_type=True)


def _fields(value: Any) -> Any:
    """Return the fields of a record; msgpack calls this for nested records as well."""
    if isinstance(value, Record):
        return {name: getattr(value, name) for name in value.__slots__}
    raise TypeError(f"{type(value).__name__} cannot be packed")


def unpack(data: bytes) -> Any:
    """Return the value that ``data``, one msgpack document, contains.

    Raises:
        ValueError: ``data`` is not one msgpack document.
    """
    return msgpack.unpackb(data, raw=False, strict_map_key=False)
