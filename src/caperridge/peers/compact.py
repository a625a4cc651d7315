"""Compact encoding of frequent messages, with dictionary and delta coding.

Since protocol 2 these messages are arrays of a code and the fields in a fixed order,
without the trailing fields that have their default. Each end of a stream numbers the
target names in order of first use and afterwards sends the number (dictionary coding);
a sequence is sent as the difference from the previous one (delta coding). The tables of
both ends agree because a stream loses nothing. If a message with names cannot be
decoded, the stream is closed, and the next stream starts with empty tables.

Fields are only added at the end, and kinds only with a new protocol: if the other end
skipped an unknown kind with names, its table would no longer agree.
"""

from functools import singledispatch
from typing import Any

import msgpack

from caperridge.peers.messages import (
    Heartbeat,
    LatencyNews,
    LoadNews,
    OnlineCounts,
)
from caperridge.records import Record

COMPACT_PROTOCOL = 2
MAX_NAMES = 4096
_CODES_BY_KIND: dict[type[Record], int] = {
    Heartbeat: 1,
    OnlineCounts: 2,
    LatencyNews: 3,
    LoadNews: 4,
}
_KINDS_BY_CODE = {code: kind for kind, code in _CODES_BY_KIND.items()}
_FIELDS_BY_KIND: dict[type[Record], tuple[str, ...]] = {
    Heartbeat: (
        "sequence",
        "configuration_version",
        "rumours",
        "leaving",
        "incarnation",
        "instance",
    ),
    OnlineCounts: ("counts", "instance"),
    LatencyNews: ("target", "first_token_s", "between_tokens_s", "instance"),
    LoadNews: ("loads", "instance"),
}


class NameEncoder:
    """Encodes names and sequences; holds the name table of the sending direction."""

    __slots__ = ("_numbers_by_name", "_sequence")

    def __init__(self) -> None:
        self._numbers_by_name: dict[str, int] = {}
        self._sequence = 0

    def convert_sequence(self, sequence: int) -> int:
        """Return the difference of ``sequence`` from the previous one."""
        difference = sequence - self._sequence
        self._sequence = sequence
        return difference

    def convert_name(self, name: str) -> str | int:
        """Return the number of ``name``, or ``name`` itself on first use.

        >>> encoder = NameEncoder()
        >>> encoder.convert_name("runner-1"), encoder.convert_name("runner-1")
        ('runner-1', 0)
        """
        number = self._numbers_by_name.get(name)
        if number is not None:
            return number
        if len(self._numbers_by_name) < MAX_NAMES:
            self._numbers_by_name[name] = len(self._numbers_by_name)
        return name


class NameDecoder:
    """Decodes names and sequences; holds the name table of the receiving direction."""

    __slots__ = ("_known", "_names", "_sequence")

    def __init__(self) -> None:
        self._sequence = 0
        self._names: list[str] = []
        self._known: set[str] = set()

    def convert_sequence(self, difference: Any) -> int:
        """Return the sequence that is ``difference`` after the previous one.

        Raises:
            ValueError: ``difference`` is not an integer.
        """
        if not isinstance(difference, int):
            raise ValueError(f"{difference!r} is not a sequence difference")
        self._sequence += difference
        return self._sequence

    def convert_name(self, encoded: Any) -> str:
        """Return the name that ``encoded``, a name or its number, denotes.

        Raises:
            ValueError: it is neither a name nor the number of a known one.
        """
        if isinstance(encoded, str):
            if encoded not in self._known and len(self._names) < MAX_NAMES:
                self._known.add(encoded)
                self._names.append(encoded)
            return encoded
        if not isinstance(encoded, int) or not 0 <= encoded < len(self._names):
            raise ValueError(f"{encoded!r} is not the number of a name")
        return self._names[encoded]


@singledispatch
def convert_names(message: Record, converter: NameEncoder | NameDecoder) -> Record:
    """Return ``message`` with its target names and sequences encoded or decoded."""
    return message


@convert_names.register
def _(message: OnlineCounts, converter: Any) -> Record:
    counts = [[converter.convert_name(name), *rest] for name, *rest in message.counts]
    # Only the first sequence is absolute; the others are differences already.
    if counts:
        counts[0][2] = converter.convert_sequence(counts[0][2])
    return OnlineCounts(counts, message.instance)


@convert_names.register
def _(message: LoadNews, converter: Any) -> Record:
    loads = [[converter.convert_name(name), *rest] for name, *rest in message.loads]
    return LoadNews(message.instance, loads)


@convert_names.register
def _(message: LatencyNews, converter: Any) -> Record:
    return message.replace(target=converter.convert_name(message.target))


def is_compact(message: Record) -> bool:
    """Return whether ``message`` has a compact form."""
    return type(message) in _CODES_BY_KIND


def pack_compact(message: Record, own: str) -> bytes:
    """Return the frame body of ``message``, sent by the instance ``own``.

    >>> pack_compact(LatencyNews("e-1", "r-1"), "e-1").hex(" ")
    '92 03 a3 72 2d 31'
    """
    kind = type(message)
    names = _FIELDS_BY_KIND[kind]
    values = [getattr(message, name) for name in names]
    if values[-1] == own:
        values[-1] = ""
    while values and not values[-1]:
        values.pop()
    # Seven digits, the precision of single floats, suffice for measured values.
    return msgpack.packb([_CODES_BY_KIND[kind], *values], use_single_float=True)


def read_compact(parts: list[Any]) -> Record | None:
    """Return the message of an unpacked body; None if its code is unknown.

    Raises:
        TypeError: a field without a default is missing.
    """
    kind = _KINDS_BY_CODE.get(parts[0]) if parts else None
    if kind is None:
        return None
    return kind.from_map(dict(zip(_FIELDS_BY_KIND[kind], parts[1:], strict=False)))
