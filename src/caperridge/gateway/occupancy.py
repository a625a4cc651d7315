"""How many requests run at each target, summed over the reports of all instances.

Every instance reports to its peers how many online requests and items it has at a
target whenever that changes. The counts are absolute, so reports may be lost or
duplicated.
"""

from caperridge.records import Record


class Count(Record):
    """Requests at one target.

    Attributes:
        online: requests of callers that wait for the answer.
        items: items of jobs.
        latest_due: the latest deadline among the items; 0 without items.
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
        """Online requests and items."""
        return self.online + self.items


NO_REQUESTS = Count()


class Occupancy:
    """Counts of this instance and of its peers, with their sum for each target.

    Args:
        own: id of this instance.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self._counts_by_instance: dict[str, dict[str, Count]] = {own: {}}
        self._sums_by_target: dict[str, Count] = {}
        self._changed: set[str] = set()

    def add(self, target: str, online: int = 0, items: int = 0) -> None:
        """Add to the own counts at ``target``; the numbers may be negative."""
        before = self._counts_by_instance[self.own].get(target, NO_REQUESTS)
        count = Count(before.online + online, before.items + items, before.latest_due)
        self._put(self.own, target, count)
        self._changed.add(target)

    def set_latest_due(self, target: str, latest_due: float) -> None:
        """Set the latest deadline among the own items at ``target``."""
        count = self._counts_by_instance[self.own].get(target)
        if count is not None:
            count.latest_due = latest_due

    def update_peer_count(self, instance: str, target: str, count: Count) -> Count:
        """Set the count that a peer reports at ``target``; return the previous one."""
        if instance == self.own:
            return count
        return self._put(instance, target, count)

    def update_peer_counts(
        self, instance: str, counts_by_target: dict[str, Count]
    ) -> bool:
        """Replace all counts of a peer; return whether any of them changed."""
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
        """Drop the counts of a peer that was lost."""
        self.update_peer_counts(instance, {})
        if instance != self.own:
            self._counts_by_instance.pop(instance, None)

    def total_at(self, target: str) -> Count:
        """Return the sum of all instances at ``target``."""
        return self._sums_by_target.get(target, NO_REQUESTS)

    def count_of(self, instance: str, target: str) -> Count:
        """Return the count of one instance at ``target``."""
        return self._counts_by_instance.get(instance, {}).get(target, NO_REQUESTS)

    def own_at(self, target: str) -> Count:
        """Return the count of this instance at ``target``."""
        return self._counts_by_instance[self.own].get(target, NO_REQUESTS)

    def own_counts(self) -> dict[str, Count]:
        """Return the counts of this instance, by target."""
        return dict(self._counts_by_instance[self.own])

    def item_counts_by_instance(self, target: str) -> dict[str, Count]:
        """Return the counts of the instances with items at ``target``, by instance."""
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
        """Set one count and update the sum; return the previous count."""
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
