"""How many batch streams a target may run beside its online requests."""

from caperridge.records import Record

LEAST_FREE = 2


class BatchStream(Record):
    """A batch stream that runs at a target; ``tokens`` is its progress so far."""

    __slots__ = ("attempt", "target", "tokens")

    def __init__(self, attempt: str, target: str, tokens: int = 0) -> None:
        self.attempt = attempt
        self.target = target
        self.tokens = tokens


class Headroom:
    """Knows the online load of each target and what batch may take of the rest."""

    def __init__(self) -> None:
        self._online_by_sender_by_target: dict[str, dict[str, int]] = {}

    def online_changed(
        self, target: str, sender: str, in_flight: int, now: float
    ) -> None:
        """Note the online requests that ``sender`` has at ``target``."""
        senders = self._online_by_sender_by_target.setdefault(target, {})
        if in_flight:
            senders[sender] = in_flight
        else:
            senders.pop(sender, None)

    def sender_gone(self, sender: str) -> None:
        """Forget what an instance that is no longer live had in flight."""
        for senders in self._online_by_sender_by_target.values():
            senders.pop(sender, None)

    def online(self, target: str) -> int:
        """Return the online requests known to be at ``target``."""
        return sum(self._online_by_sender_by_target.get(target, {}).values())

    def allowed(self, target: str, most_running: int, now: float) -> int:
        """Return how many batch streams ``target`` may run at ``now``."""
        return max(0, most_running - LEAST_FREE - self.online(target))

    def to_preempt(
        self, target: str, most_running: int, running: list[BatchStream], now: float
    ) -> list[BatchStream]:
        """Return the streams to cancel at once, the least progress first."""
        excess = len(running) - self.allowed(target, most_running, now)
        if excess <= 0:
            return []
        return sorted(running, key=lambda stream: stream.tokens)[:excess]
