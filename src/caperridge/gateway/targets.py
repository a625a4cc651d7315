"""The targets as the platform lists them, with entries that lapsed in an outage."""

from caperridge.records import Record

# Entries that lapse while the store is away are back about 2 s after its return if
# their target lives; one that is missing for longer is gone.
LAPSE_GRACE_S = 2.2


class Target(Record):
    """One life of a target, as the platform lists it.

    Attributes:
        id: of this life, unlike that of any other; all that is known is known by it.
        name: that it is listed and addressed under; a target that starts again may
            keep it.
        service: that it belongs to.
        address: ``IP:PORT``; may later belong to another target.
        availability_zone: where it runs.
        slots: requests that it works on at a time.
        draining: it takes no new work and ends soon.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "draining",
        "id",
        "name",
        "service",
        "slots",
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
    ) -> None:
        self.id = id
        self.name = name or id
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.draining = draining


class TargetLoad(Record):
    """What a target says of its work.

    Attributes:
        running: requests that it works on.
        waiting: requests in its queue.
        started_ms: when its life began, by its own clock; 0 if it does not say.
    """

    __slots__ = ("running", "started_ms", "waiting")

    def __init__(self, running: int, waiting: int, started_ms: int = 0) -> None:
        self.running = running
        self.waiting = waiting
        self.started_ms = started_ms

    @property
    def total(self) -> int:
        """All requests there."""
        return self.running + self.waiting

    def may_be_from(self, target: Target) -> bool:
        """Whether this may be the word of this life of ``target``."""
        if not self.started_ms or target.id == target.name:
            return True
        return target.id == incarnation_id(target.name, self.started_ms)


def incarnation_id(name: str, started_ms: int) -> str:
    """Return the id of the life of ``name`` that began then.

    >>> incarnation_id("i-7f3a", 1790000000000)
    'i-7f3a@1790000000000'
    """
    return f"{name}@{started_ms}"


class TargetList:
    """The targets that may be listed, by id; fed with changes.

    Attributes:
        by_id: the entries.
        changes: counts the changes of ``by_id``.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Target] = {}
        self.changes = 0
        self._id_by_name: dict[str, str] = {}
        self._lapsing_until_by_id: dict[str, float] = {}
        self._store_back_at = float("-inf")

    def store_returned(self, now: float) -> None:
        """Note that the store answers again after it was away."""
        self._store_back_at = now

    def may_have_lapsed(self, now: float) -> bool:
        """Whether an entry that goes now may have lapsed while the store was away."""
        return now < self._store_back_at + LAPSE_GRACE_S

    def put(self, target: Target) -> Target | None:
        """Take a new or changed entry; return the target whose life it shows as over.

        A target that has started again knows nothing of what it did before.
        """
        earlier = self.by_id.get(self._id_by_name.get(target.name, ""))
        over = earlier if earlier is not None and earlier.id != target.id else None
        if over is not None:
            self._forget(over.id)
        self._lapsing_until_by_id.pop(target.id, None)
        self.by_id[target.id] = target
        self._id_by_name[target.name] = target.id
        self.changes += 1
        return over

    def remove(self, name: str, now: float) -> None:
        """Take note that an entry is no longer listed.

        Right after an outage of the store the entry may merely have lapsed, so the
        target is kept until it must have been back.
        """
        target = self.find_by_name(name)
        if target is None:
            return
        if self.may_have_lapsed(now) and not target.draining:
            until = self._store_back_at + LAPSE_GRACE_S
            self._lapsing_until_by_id.setdefault(target.id, until)
            return
        self._forget(target.id)

    def discard(self, name: str) -> bool:
        """Drop a target whose entry names none any more; return whether there was one.

        Its entry did not lapse: something else was written in its place.
        """
        target = self.find_by_name(name)
        if target is not None:
            self._forget(target.id)
        return target is not None

    def find_by_name(self, name: str) -> Target | None:
        """Return the target that is listed under ``name``."""
        return self.by_id.get(self._id_by_name.get(name, ""))

    def expire(self, now: float) -> list[str]:
        """Drop lapsed entries that did not come back; return their ids."""
        gone = [id for id, until in self._lapsing_until_by_id.items() if until <= now]
        for id in gone:
            self._forget(id)
        return gone

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of ``service`` that take new work."""
        return [
            target
            for target in self.by_id.values()
            if target.service == service and not target.draining
        ]

    def _forget(self, id: str) -> None:
        target = self.by_id.pop(id, None)
        if target is not None:
            del self._id_by_name[target.name]
        self.changes += 1
        self._lapsing_until_by_id.pop(id, None)
