"""The few calls through which everything that lasts is reached.

Rows have a string key, a map of fields, and a version that the platform raises on
each write. A transaction checks its conditions and applies its writes together or
not at all. Every call has a deadline and one of three outcomes: done, not done, or
unknown (the platform may have applied it; see :mod:`caperridge.store.settle`).
"""

from abc import ABC, abstractmethod
from typing import Any

from result import Result

from caperridge.records import Record


class Row(Record):
    """One row as read.

    Attributes:
        key: its name, with ``/`` between the parts, e.g. ``job/J1``.
        value: its fields.
        version: 1 on the first write, one more on each later write.
        token: the write token of the transaction that wrote it last.
    """

    __slots__ = ("key", "token", "value", "version")

    def __init__(
        self, key: str, value: dict[str, Any], version: int, token: str = ""
    ) -> None:
        self.key = key
        self.value = value
        self.version = version
        self.token = token


class RowAbsent(Record):
    """Holds if no row has this key."""

    __slots__ = ("key",)

    def __init__(self, key: str) -> None:
        self.key = key


class RowVersion(Record):
    """Holds if the row is there with exactly this version."""

    __slots__ = ("key", "version")

    def __init__(self, key: str, version: int) -> None:
        self.key = key
        self.version = version


class FieldEquals(Record):
    """Holds if the row is there and this field has this value."""

    __slots__ = ("field", "key", "value")

    def __init__(self, key: str, field: str, value: Any) -> None:
        self.key = key
        self.field = field
        self.value = value


class PutRow(Record):
    """Replaces the row's fields by ``value``."""

    __slots__ = ("key", "value")

    def __init__(self, key: str, value: dict[str, Any]) -> None:
        self.key = key
        self.value = value


class SetFields(Record):
    """Sets these fields of the row, which must exist, and leaves the others.

    A transaction whose row is absent is refused with :class:`Conflict`.
    """

    __slots__ = ("fields", "key")

    def __init__(self, key: str, fields: dict[str, Any]) -> None:
        self.key = key
        self.fields = fields


class DeleteRow(Record):
    """Removes the row if it is there."""

    __slots__ = ("key",)

    def __init__(self, key: str) -> None:
        self.key = key


Condition = RowAbsent | RowVersion | FieldEquals
Write = PutRow | SetFields | DeleteRow


class Committed(Record):
    """The transaction took effect; ``versions_by_key`` has each row written."""

    __slots__ = ("versions_by_key",)

    def __init__(self, versions_by_key: dict[str, int]) -> None:
        self.versions_by_key = versions_by_key


class Conflict(Record):
    """Not done: these conditions did not hold. ``rows_by_key`` shows their rows."""

    __slots__ = ("failed_keys", "rows_by_key")

    def __init__(
        self, failed_keys: list[str], rows_by_key: dict[str, Row | None] | None = None
    ) -> None:
        self.failed_keys = failed_keys
        self.rows_by_key = rows_by_key or {}


class NotDone(Record):
    """Not done: the platform was not reached, or refused before any effect.

    Attributes:
        reason: a sentence for a person.
        retry_after_s: when to ask again, in seconds; 0 if it gave none.
        reached: whether the platform itself said so.
    """

    __slots__ = ("reached", "reason", "retry_after_s")

    def __init__(
        self, reason: str, retry_after_s: float = 0.0, reached: bool = True
    ) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.reached = reached


class Unknown(Record):
    """The answer was lost; the effect may or may not have happened or yet happen.

    Attributes:
        reason: a sentence for a person.
        reached: whether the platform gave any sign of life.
    """

    __slots__ = ("reached", "reason")

    def __init__(self, reason: str, reached: bool = True) -> None:
        self.reason = reason
        self.reached = reached


class ListedMember(Record):
    """One entry of the platform's list, which lags behind reality.

    Attributes:
        id: unique among members; a replaced machine may reuse it.
        kind: ``instance`` or ``target``.
        address: ``host:port`` of its main listener (peers for an instance).
        availability_zone: where it runs.
        region: the region of that availability zone.
        state: ``live`` or ``leaving``.
        service: the service a target belongs to; empty for an instance.
        incarnation: raised when the machine behind the id is replaced.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "id",
        "incarnation",
        "kind",
        "region",
        "service",
        "state",
    )

    def __init__(
        self,
        id: str,
        kind: str,
        address: str,
        availability_zone: str,
        region: str = "",
        state: str = "live",
        service: str = "",
        incarnation: int = 1,
    ) -> None:
        self.id = id
        self.kind = kind
        self.address = address
        self.availability_zone = availability_zone
        self.region = region
        self.state = state
        self.service = service
        self.incarnation = incarnation


ReadError = NotDone | Unknown
WriteError = Conflict | NotDone | Unknown


class Platform(ABC):
    """The table service, the object store and the list of members."""

    @abstractmethod
    async def transact(
        self, conditions: list[Condition], writes: list[Write], token: str
    ) -> Result[Committed, WriteError]:
        """Apply ``writes`` together if every condition holds.

        Args:
            conditions: checked first, all of them.
            writes: applied in order; a key appears once.
            token: kept with each row written, so that a lost answer can be settled.
        """

    @abstractmethod
    async def read(self, keys: list[str]) -> Result[dict[str, Row], ReadError]:
        """Return the rows that exist among ``keys``, by key, as of one moment."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], ReadError]:
        """Return up to ``limit`` rows with ``prefix`` and a key above ``after``."""

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> Result[None, ReadError]:
        """Store ``data`` whole under ``name``, replacing what was there."""

    @abstractmethod
    async def get_object(
        self, name: str, start: int = 0, length: int | None = None
    ) -> Result[bytes | None, ReadError]:
        """Return the object's bytes from ``start``, or None if there is none."""

    @abstractmethod
    async def list_objects(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[str], ReadError]:
        """Return up to ``limit`` names with ``prefix``, in order, after ``after``."""

    @abstractmethod
    async def delete_object(self, name: str) -> Result[None, ReadError]:
        """Remove the object if it is there."""

    @abstractmethod
    async def members(self) -> Result[list[ListedMember], ReadError]:
        """Return the list of live and leaving members as the platform knows it."""
