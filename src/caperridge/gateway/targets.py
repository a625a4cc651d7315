"""The targets that the platform lists, and entries that lapsed in a store outage."""

from caperridge.decisions.stream_origins import StreamOrigin
from caperridge.records import Record

# Entries that lapse while the store is unreachable reappear about 2 s after its
# recovery if their target is running; one that is missing for longer is gone.
LAPSE_GRACE_S = 2.2
# An instance may learn of an outage this long after it was told of removed entries:
# another one read them that did not notice the outage.
LATE_NEWS_S = 0.5


class Target(Record):
    """One incarnation of a target, as the platform lists it.

    Attributes:
        id: unique to this incarnation; all state about targets is kept by it.
        name: under which the target is listed and addressed; a restarted target may
            keep it.
        service: that it belongs to.
        address: ``IP:PORT``; may later belong to another target.
        availability_zone: where it runs.
        slots: requests that it runs at the same time.
        draining: it takes no new requests and stops soon.
        software_version: of the target's software, not of its weights; empty if it is
            not known.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "draining",
        "id",
        "name",
        "service",
        "slots",
        "software_version",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: str,
        availability_zone: str,
        slots: int,
        draining: bool = False,
        name: str = "",
        software_version: str = "",
    ) -> None:
        self.id = id
        self.name = name or id
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.draining = draining
        self.software_version = software_version

    @property
    def origin(self) -> StreamOrigin:
        """The origin of streams that begin here."""
        return StreamOrigin(self.service, self.software_version)


class TargetLoad(Record):
    """The load that a target reports.

    Attributes:
        running: requests that it runs.
        waiting: requests in its queue.
        started_ms: when this incarnation started, in ms of its own clock; 0 if it does
            not report that.
    """

    __slots__ = ("running", "started_ms", "waiting")

    def __init__(self, running: int, waiting: int, started_ms: int = 0) -> None:
        self.running = running
        self.waiting = waiting
        self.started_ms = started_ms

    @property
    def total(self) -> int:
        """Running and waiting requests."""
        return self.running + self.waiting

    def may_be_from(self, target: Target) -> bool:
        """Whether this incarnation of ``target`` may have sent the report."""
        if not self.started_ms or target.id == target.name:
            return True
        return target.id == incarnation_id(target.name, self.started_ms)


def incarnation_id(name: str, started_ms: int) -> str:
    """Return the id of the incarnation of ``name`` that started then.

    >>> incarnation_id("i-7f3a", 1790000000000)
    'i-7f3a@1790000000000'
    """
    return f"{name}@{started_ms}"


def name_of(id: str) -> str:
    """Return the name of the target with an incarnation's id.

    >>> name_of("i-7f3a@1790000000000"), name_of("i-7f3a")
    ('i-7f3a', 'i-7f3a')
    """
    return id.partition("@")[0]


class TargetList:
    """The targets that are listed, and those that may have merely lapsed.

    Attributes:
        by_id: the targets.
        changes: number of changes of ``by_id`` so far.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Target] = {}
        self.changes = 0
        self._id_by_name: dict[str, str] = {}
        self._lapsing_until_by_id: dict[str, float] = {}
        self._store_returned_at = float("-inf")
        self._removed_at_by_target: dict[Target, float] = {}

    def store_returned(self, now: float) -> None:
        """Record that the store answers again after an outage.

        Entries that were removed just before may have lapsed in it; they are back.
        """
        self._store_returned_at = now
        for target, removed_at in self._removed_at_by_target.items():
            if now - removed_at > LATE_NEWS_S or target.name in self._id_by_name:
                continue
            self.put(target)
            self._lapsing_until_by_id[target.id] = now + LAPSE_GRACE_S
        self._removed_at_by_target.clear()

    def may_have_lapsed(self, now: float) -> bool:
        """Whether an entry removed now may have lapsed during a store outage."""
        return now < self._store_returned_at + LAPSE_GRACE_S

    def put(self, target: Target) -> Target | None:
        """Add or replace an entry; return the incarnation that it supersedes, if any.

        A restarted target has lost the requests that it ran before.
        """
        previous = self.by_id.get(self._id_by_name.get(target.name, ""))
        superseded = (
            previous if previous is not None and previous.id != target.id else None
        )
        if superseded is not None:
            self._drop(superseded.id)
        self._lapsing_until_by_id.pop(target.id, None)
        self.by_id[target.id] = target
        self._id_by_name[target.name] = target.id
        self.changes += 1
        return superseded

    def remove(self, name: str, now: float) -> None:
        """Remove the target whose entry is no longer listed.

        Right after a store outage the entry may merely have lapsed, so the target is
        kept for the time within which it would reappear.
        """
        target = self.find_by_name(name)
        if target is None:
            return
        if self.may_have_lapsed(now) and not target.draining:
            until = self._store_returned_at + LAPSE_GRACE_S
            self._lapsing_until_by_id.setdefault(target.id, until)
            return
        self._drop(target.id)
        self._remember_removed(target, now)

    def _remember_removed(self, target: Target, now: float) -> None:
        for other, removed_at in list(self._removed_at_by_target.items()):
            if now - removed_at > LATE_NEWS_S:
                del self._removed_at_by_target[other]
        if not target.draining:
            self._removed_at_by_target[target] = now

    def discard(self, name: str) -> bool:
        """Drop a target whose entry became invalid; return whether there was one.

        Unlike in :meth:`remove` the entry cannot have lapsed: it was overwritten.
        """
        target = self.find_by_name(name)
        if target is not None:
            self._drop(target.id)
        return target is not None

    def find_by_name(self, name: str) -> Target | None:
        """Return the target listed under ``name``; None if there is none."""
        return self.by_id.get(self._id_by_name.get(name, ""))

    def expire(self, now: float) -> list[str]:
        """Drop lapsed entries that did not reappear in time; return their ids."""
        expired = [
            id for id, until in self._lapsing_until_by_id.items() if until <= now
        ]
        for id in expired:
            self._drop(id)
        return expired

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of ``service`` that are not draining."""
        return [
            target
            for target in self.by_id.values()
            if target.service == service and not target.draining
        ]

    def _drop(self, id: str) -> None:
        target = self.by_id.pop(id, None)
        if target is not None:
            del self._id_by_name[target.name]
        self.changes += 1
        self._lapsing_until_by_id.pop(id, None)
