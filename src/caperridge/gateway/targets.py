"""The targets as the platform lists them, with entries that lapsed in an outage."""

from collections.abc import Iterable

from caperridge.records import Record

# Entries that lapse while the store is away are back about 2 s after its return if
# their target lives; one that is missing for longer is gone.
LAPSE_GRACE_S = 2.2


class Target(Record):
    """One entry of the platform's list.

    Attributes:
        id: of this incarnation; a restarted target has another one.
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
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.draining = draining


class TargetList:
    """The targets that may be listed, by id; fed with whole lists and changes.

    Attributes:
        by_id: the entries.
        changes: counts the changes of ``by_id``.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Target] = {}
        self.changes = 0
        self._lapsing_until_by_id: dict[str, float] = {}
        self._store_back_at = float("-inf")

    def store_returned(self, now: float) -> None:
        """Note that the store answers again after it was away."""
        self._store_back_at = now

    def replace_all(self, targets: Iterable[Target], now: float) -> None:
        """Take a whole list; what is missing from it has lapsed or gone."""
        listed = {target.id: target for target in targets}
        for id in list(self.by_id):
            if id not in listed:
                self.remove(id, now)
        for target in listed.values():
            self.put(target)

    def put(self, target: Target) -> None:
        """Take a new or changed entry."""
        self._lapsing_until_by_id.pop(target.id, None)
        self.by_id[target.id] = target
        self.changes += 1

    def remove(self, id: str, now: float) -> None:
        """Take note that an entry is no longer listed.

        Right after an outage of the store the entry may merely have lapsed, so the
        target is kept until it must have been back.
        """
        target = self.by_id.get(id)
        if target is None:
            return
        until = self._store_back_at + LAPSE_GRACE_S
        if now < until and not target.draining:
            self._lapsing_until_by_id.setdefault(id, until)
            return
        self._forget(id)

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
        self.by_id.pop(id, None)
        self.changes += 1
        self._lapsing_until_by_id.pop(id, None)
