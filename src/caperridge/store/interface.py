"""Interface to durable state: a transactional table, objects and a member list.

Rows have a string key, a map of fields, and a version that the platform increments on
each write. A transaction checks its conditions and applies its writes atomically. Each
call has a timeout and one of three outcomes: done, not done, or unknown (the platform
may have applied it; see :mod:`caperridge.store.settle`).
"""

from abc import ABC, abstractmethod
from typing import Any

from result import Result

from caperridge.records import Record


class Row(Record):
    """One row of the table.

    Attributes:
        key: its key, with ``/`` between the parts, e.g. ``job/J1``.
        value: its fields by name.
        version: 1 after the first write, incremented by each later write.
        token: write token of the last transaction that wrote it.
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
    """True if no row has this key."""

    __slots__ = ("key",)

    def __init__(self, key: str) -> None:
        self.key = key


class RowVersion(Record):
    """True if the row exists and has exactly this version."""

    __slots__ = ("key", "version")

    def __init__(self, key: str, version: int) -> None:
        self.key = key
        self.version = version


class FieldEquals(Record):
    """True if the row exists and this field has this value."""

    __slots__ = ("field", "key", "value")

    def __init__(self, key: str, field: str, value: Any) -> None:
        self.key = key
        self.field = field
        self.value = value


class PutRow(Record):
    """Creates the row or replaces all its fields with ``value``."""

    __slots__ = ("key", "value")

    def __init__(self, key: str, value: dict[str, Any]) -> None:
        self.key = key
        self.value = value


class SetFields(Record):
    """Sets these fields of an existing row and leaves its other fields.

    If the row is absent, the transaction fails with :class:`Conflict`.
    """

    __slots__ = ("fields", "key")

    def __init__(self, key: str, fields: dict[str, Any]) -> None:
        self.key = key
        self.fields = fields


class DeleteRow(Record):
    """Deletes the row if it exists."""

    __slots__ = ("key",)

    def __init__(self, key: str) -> None:
        self.key = key


Condition = RowAbsent | RowVersion | FieldEquals
Write = PutRow | SetFields | DeleteRow


class Committed(Record):
    """The transaction was applied; ``versions_by_key`` has each row written."""

    __slots__ = ("versions_by_key",)

    def __init__(self, versions_by_key: dict[str, int]) -> None:
        self.versions_by_key = versions_by_key


class Conflict(Record):
    """Not done: conditions on ``failed_keys`` failed; ``rows_by_key`` has the rows."""

    __slots__ = ("failed_keys", "rows_by_key")

    def __init__(
        self, failed_keys: list[str], rows_by_key: dict[str, Row | None] | None = None
    ) -> None:
        self.failed_keys = failed_keys
        self.rows_by_key = rows_by_key or {}


class NotDone(Record):
    """Not done: the platform was not reached, or refused before any effect.

    Attributes:
        reason: human-readable explanation.
        retry_after_s: delay before a retry, in seconds; 0 if none was given.
        reached: whether the platform itself refused the call.
    """

    __slots__ = ("reached", "reason", "retry_after_s")

    def __init__(
        self, reason: str, retry_after_s: float = 0.0, reached: bool = True
    ) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.reached = reached


class Unknown(Record):
    """The answer was lost; the call may have taken effect, or may still take effect.

    Attributes:
        reason: human-readable explanation.
        reached: whether the platform responded at all.
    """

    __slots__ = ("reached", "reason")

    def __init__(self, reason: str, reached: bool = True) -> None:
        self.reason = reason
        self.reached = reached


class ListedMember(Record):
    """One entry of the platform's member list, which is updated with a delay.

    Attributes:
        id: unique among members; the replacement of a machine may reuse it.
        kind: ``instance`` or ``target``.
        address: ``host:port`` of its main listener (that for peers of an instance).
        availability_zone: the availability zone in which it runs.
        region: the region of that availability zone.
        state: ``live`` or ``leaving``.
        service: the service a target belongs to; empty for an instance.
        incarnation: incremented when the machine of this id is replaced.
        software_version: of a target's engine, not of its weights; empty if it is not
            known.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "id",
        "incarnation",
        "kind",
        "region",
        "service",
        "software_version",
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
        software_version: str = "",
    ) -> None:
        self.id = id
        self.kind = kind
        self.address = address
        self.availability_zone = availability_zone
        self.region = region
        self.state = state
        self.service = service
        self.incarnation = incarnation
        self.software_version = software_version


ReadError = NotDone | Unknown
WriteError = Conflict | NotDone | Unknown


class Platform(ABC):
    """The table service, the object store and the member list."""

    @abstractmethod
    async def transact(
        self, conditions: list[Condition], writes: list[Write], token: str
    ) -> Result[Committed, WriteError]:
        """Apply ``writes`` atomically if all conditions are true.

        Args:
            conditions: all are checked before the first write.
            writes: applied in order; at most one per key.
            token: stored with each row written; identifies this transaction's writes
                after a lost answer.
        """

    @abstractmethod
    async def read(self, keys: list[str]) -> Result[dict[str, Row], ReadError]:
        """Return the existing rows among ``keys`` by key, as one snapshot."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], ReadError]:
        """Return up to ``limit`` rows with ``prefix``, by key, from above ``after``."""

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> Result[None, ReadError]:
        """Create or replace the object ``name`` with ``data``."""

    @abstractmethod
    async def get_object(
        self, name: str, start: int = 0, length: int | None = None
    ) -> Result[bytes | None, ReadError]:
        """Return the object's bytes from ``start``; None if there is no such object.

        Args:
            name: of the object.
            start: offset of the first byte.
            length: maximum number of bytes; None for all up to the end.
        """

    @abstractmethod
    async def list_objects(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[str], ReadError]:
        """Return up to ``limit`` names with ``prefix``, in order, after ``after``."""

    @abstractmethod
    async def delete_object(self, name: str) -> Result[None, ReadError]:
        """Delete the object if it exists."""

    @abstractmethod
    async def members(self) -> Result[list[ListedMember], ReadError]:
        """Return the platform's current list of live and leaving members."""
