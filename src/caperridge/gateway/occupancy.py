"""How many requests run at each target, by the word of all instances.

Every instance tells its peers how many online requests and items it has at a target
whenever that changes. The counts are absolute, so news may be lost or doubled.
"""

from caperridge.records import Record


class Count(Record):
    """Requests at one target.

    Attributes:
        online: of callers who wait.
        items: of jobs.
        latest_due: when that of the items is due that is due last; 0 without items.
    """

    __slots__ = ("items", "latest_due", "online")

    def __init__(
        self, online: int = 0, items: int = 0, latest_due: float = 0.0
    ) -> None:
        self.online = online
        self.items = items
        self.latest_due = latest_due

    @property
    def total(self) -> int:
        """All of them."""
        return self.online + self.items


NO_REQUESTS = Count()


class Occupancy:
    """Own counts and those of peers, with their sum for each target."""

    def __init__(self, own: str) -> None:
        self.own = own
        self._counts_by_instance: dict[str, dict[str, Count]] = {own: {}}
        self._sums_by_target: dict[str, Count] = {}
        self._changed: set[str] = set()

    def add(self, target: str, online: int = 0, items: int = 0) -> None:
        """Change the own counts at ``target`` by these differences."""
        before = self._counts_by_instance[self.own].get(target, NO_REQUESTS)
        count = Count(before.online + online, before.items + items, before.latest_due)
        self._put(self.own, target, count)
        self._changed.add(target)

    def set_latest_due(self, target: str, latest_due: float) -> None:
        """Say when the own item at ``target`` is due that is due last."""
        count = self._counts_by_instance[self.own].get(target)
        if count is not None:
            count.latest_due = latest_due

    def update_peer_count(self, instance: str, target: str, count: Count) -> Count:
        """Take what a peer says it has at ``target``; return what it had before."""
        if instance == self.own:
            return count
        return self._put(instance, target, count)

    def update_peer_counts(
        self, instance: str, counts_by_target: dict[str, Count]
    ) -> bool:
        """Take all that a peer has; return whether that was news."""
        before = self._counts_by_instance.get(instance, {})
        if instance == self.own or before == counts_by_target:
            return False
        for target in list(before):
            if target not in counts_by_target:
                self._put(instance, target, NO_REQUESTS)
        for target, count in counts_by_target.items():
            self._put(instance, target, count)
        return True

    def remove_peer(self, instance: str) -> None:
        """Drop what a peer said that is not heard from any more."""
        self.update_peer_counts(instance, {})
        if instance != self.own:
            self._counts_by_instance.pop(instance, None)

    def total_at(self, target: str) -> Count:
        """Return the sum of all instances at ``target``."""
        return self._sums_by_target.get(target, NO_REQUESTS)

    def count_of(self, instance: str, target: str) -> Count:
        """Return what one instance has at ``target``."""
        return self._counts_by_instance.get(instance, {}).get(target, NO_REQUESTS)

    def own_at(self, target: str) -> Count:
        """Return what this instance has at ``target``."""
        return self._counts_by_instance[self.own].get(target, NO_REQUESTS)

    def own_counts(self) -> dict[str, Count]:
        """Return what this instance has, by target."""
        return dict(self._counts_by_instance[self.own])

    def item_counts_by_instance(self, target: str) -> dict[str, Count]:
        """Return who has items at ``target``."""
        found: dict[str, Count] = {}
        for instance, counts in self._counts_by_instance.items():
            count = counts.get(target, NO_REQUESTS)
            if count.items > 0:
                found[instance] = count
        return found

    @property
    def has_changed(self) -> bool:
        """Whether own counts changed since they were last taken."""
        return bool(self._changed)

    def take_changed(self) -> set[str]:
        """Return the targets whose own counts changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def _put(self, instance: str, target: str, count: Count) -> Count:
        """Set one count and the sum it is in; return what it was."""
        counts = self._counts_by_instance.get(instance)
        if counts is None:
            counts = self._counts_by_instance[instance] = {}
        before = counts.get(target, NO_REQUESTS)
        if count.online or count.items:
            counts[target] = count
        else:
            counts.pop(target, None)
        total = self._sums_by_target.get(target, NO_REQUESTS)
        online = total.online - before.online + count.online
        items = total.items - before.items + count.items
        if online or items:
            self._sums_by_target[target] = Count(online, items)
        else:
            self._sums_by_target.pop(target, None)
        return before
