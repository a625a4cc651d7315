"""Messages between instances; each may be lost, late or duplicated."""

from typing import Any

from caperridge.gateway.mesh.origin_messages import (
    StreamAnswer,
    StreamAsk,
    StreamsBegan,
)
from caperridge.gateway.mesh.quota_messages import (
    ForwardedQuotaReport,
    QuotaHandover,
    QuotaReport,
    QuotaVerdict,
)
from caperridge.gateway.mesh.relay_messages import (
    MemberLost,
    Recipient,
    Relay,
    Relayed,
    RelayedHeartbeats,
)
from caperridge.records import Record


class Hello(Record):
    """First message on each stream: the sender and the members it knows.

    Attributes:
        instance: id.
        incarnation: of its process.
        availability_zone: where it runs.
        address: that peers connect to.
        members: id, address and zone of every instance it knows; with many members
            only of those it has a stream to, unless the receiver knows few.
        unheard: ids of those among them that it receives nothing from.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "incarnation",
        "instance",
        "members",
        "unheard",
    )

    def __init__(
        self,
        instance: str,
        incarnation: str,
        availability_zone: str,
        address: str,
        members: list[list[str]],
        unheard: list[str] | None = None,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.availability_zone = availability_zone
        self.address = address
        self.members = members
        self.unheard = unheard or []


class Heartbeat(Record):
    """Sent periodically: all counts, and the versions of the copied tables.

    Attributes:
        counts: target, online requests, items, and the latest due item.
        versions: newest change by table.
        leaving: the instance takes no new work.
        store_reached: the store answers it.
        lengths: how long runs take: service, and what :meth:`RunStatistics.merge`
            takes.
    """

    __slots__ = ("counts", "leaving", "lengths", "store_reached", "versions")

    def __init__(
        self,
        counts: list[list[Any]],
        versions: dict[str, int],
        leaving: bool = False,
        store_reached: bool = False,
        lengths: list[list[Any]] | None = None,
    ) -> None:
        self.counts = counts
        self.lengths = lengths or []
        self.versions = versions
        self.leaving = leaving
        self.store_reached = store_reached


class Alive(Record):
    """The sender is alive, and what it last sent still holds."""

    __slots__ = ()


class Counts(Record):
    """Counts that changed: target, online requests, items, and the latest due item."""

    __slots__ = ("counts",)

    def __init__(self, counts: list[list[Any]]) -> None:
        self.counts = counts


class TableNews(Record):
    """The sender's copy of ``table`` has a change of ``version``."""

    __slots__ = ("table", "version")

    def __init__(self, table: str, version: int) -> None:
        self.table = table
        self.version = version


class TableAsk(Record):
    """Asks for the sender's whole copy of ``table``."""

    __slots__ = ("table",)

    def __init__(self, table: str) -> None:
        self.table = table


class TableWhole(Record):
    """A whole copy: part, key, value and version of each row."""

    __slots__ = ("rows", "table", "version")

    def __init__(self, table: str, version: int, rows: list[list[Any]]) -> None:
        self.table = table
        self.version = version
        self.rows = rows


class TableChanges(Record):
    """All changes of ``table`` after ``since`` up to ``version``, read by the sender.

    Attributes:
        table: name.
        since: version.
        version: of the newest.
        rows: part, key, value, version and whether it was removed, of each.
        after_outage: entries may have lapsed while the store was unreachable.
    """

    __slots__ = ("after_outage", "rows", "since", "table", "version")

    def __init__(
        self,
        table: str,
        since: int,
        version: int,
        rows: list[list[Any]],
        after_outage: bool = False,
    ) -> None:
        self.after_outage = after_outage
        self.rows = rows
        self.since = since
        self.table = table
        self.version = version


class JobNews(Record):
    """Progress of a job.

    Attributes:
        job: id.
        holder: incarnation that works on it; empty if it was released.
        listed: results in the store.
        cancelled: its caller cancelled it.
    """

    __slots__ = ("cancelled", "holder", "job", "listed")

    def __init__(
        self, job: str, holder: str, listed: int, cancelled: bool = False
    ) -> None:
        self.job = job
        self.holder = holder
        self.listed = listed
        self.cancelled = cancelled


class StoreAsk(Record):
    """Asks to call the store for an instance that cannot reach it.

    Attributes:
        number: request number, repeated in the answer.
        call: name of a method of the store.
        arguments: of that method, in order.
    """

    __slots__ = ("arguments", "call", "number")

    def __init__(self, number: int, call: str, arguments: list[Any]) -> None:
        self.number = number
        self.call = call
        self.arguments = arguments


class StoreAnswer(Record):
    """The store's answer; ``outcome`` names its type, ``fields`` holds its values.

    ``rejected`` is set if the store refuses the call for good.
    """

    __slots__ = ("fields", "number", "outcome", "rejected")

    def __init__(
        self, number: int, outcome: str, fields: Any, rejected: bool = False
    ) -> None:
        self.number = number
        self.outcome = outcome
        self.fields = fields
        self.rejected = rejected


class SlotWants(Record):
    """Items the sender could start: service, how many, when the first is due."""

    __slots__ = ("wants",)

    def __init__(self, wants: list[list[Any]]) -> None:
        self.wants = wants


class SlotGrant(Record):
    """The receiver may start one item at ``target``."""

    __slots__ = ("target",)

    def __init__(self, target: str) -> None:
        self.target = target


class SlotDecline(Record):
    """The sender does not use the slot it was granted at ``target``.

    ``full`` if by its counts no slot is free, rather than that it has no item.
    """

    __slots__ = ("full", "target")

    def __init__(self, target: str, full: bool = False) -> None:
        self.target = target
        self.full = full


class SlotRecall(Record):
    """The receiver must preempt ``count`` of its items at ``target``."""

    __slots__ = ("count", "target")

    def __init__(self, target: str, count: int) -> None:
        self.target = target
        self.count = count


class UnownedRuns(Record):
    """Orphaned runs at ``target``: no live instance knows them."""

    __slots__ = ("count", "target")

    def __init__(self, target: str, count: int) -> None:
        self.target = target
        self.count = count


class TargetEnded(Record):
    """A target crashed, and the sender lost runs with it.

    Attributes:
        target: its id.
        runs: content, caller, age in seconds and events of each; none of items.
        parts: the same of each shared part of their prompts, with the key of the part
            and the content that has it.
    """

    __slots__ = ("parts", "runs", "target")

    def __init__(
        self,
        target: str,
        runs: list[list[Any]],
        parts: list[list[Any]] | None = None,
    ) -> None:
        self.target = target
        self.runs = runs
        self.parts = parts or []


class SoundRuns(Record):
    """Requests that crashed no target: content, caller, and how many seconds ago."""

    __slots__ = ("runs",)

    def __init__(self, runs: list[list[Any]]) -> None:
        self.runs = runs


class Suspects(Record):
    """The suspect requests the sender knows, first on each connection.

    Attributes:
        suspects: of each the content, its crashes (target, caller, age of the run, its
            events, seconds ago, who reported it) and its hold: callers, seconds since,
            trials and seconds until the next trial; empty if it is not held.
        parts: the same of parts of prompts.
    """

    __slots__ = ("parts", "suspects")

    def __init__(
        self, suspects: list[list[Any]], parts: list[list[Any]] | None = None
    ) -> None:
        self.suspects = suspects
        self.parts = parts or []


KINDS_BY_NAME = {
    kind.__name__: kind
    for kind in (
        Hello,
        Recipient,
        Heartbeat,
        Alive,
        Counts,
        TableNews,
        TableAsk,
        TableWhole,
        TableChanges,
        JobNews,
        SlotWants,
        SlotGrant,
        SlotDecline,
        SlotRecall,
        UnownedRuns,
        StoreAsk,
        StoreAnswer,
        TargetEnded,
        SoundRuns,
        Suspects,
        Relay,
        Relayed,
        RelayedHeartbeats,
        MemberLost,
        ForwardedQuotaReport,
        QuotaHandover,
        QuotaReport,
        QuotaVerdict,
        StreamsBegan,
        StreamAsk,
        StreamAnswer,
    )
}
