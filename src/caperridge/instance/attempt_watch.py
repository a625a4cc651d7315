"""The times of one attempt, from which limits and scores are learnt."""

from caperridge.decisions.service_policy import ServicePolicy
from caperridge.targets.engine import Attempt


class AttemptWatch:
    """The times of one attempt."""

    __slots__ = (
        "_attempt",
        "_between_s",
        "_longest_s",
        "_mark",
        "_policy",
        "_started",
        "first_s",
        "tokens",
    )

    def __init__(self, now: float, policy: ServicePolicy, attempt: Attempt) -> None:
        self.first_s = 0.0
        self.tokens = 0
        self._started = now
        self._mark = now
        self._longest_s = 0.0
        self._between_s = 0.0
        self._policy = policy
        self._attempt = attempt

    @property
    def mean_between_s(self) -> float:
        """Mean time between tokens; 0 with fewer than two."""
        return self._between_s / (self.tokens - 1) if self.tokens > 1 else 0.0

    def events(self, count: int, now: float) -> None:
        """Note that events came."""
        passed_s = now - self._mark
        if self.tokens:
            self._longest_s = max(self._longest_s, passed_s)
            self._between_s += passed_s
        else:
            self.first_s = passed_s
        self.tokens += count
        self._mark = now

    def resumed(self, now: float) -> None:
        """Note that the caller took them; its time is not the target's."""
        self._mark = now

    def lost(self, now: float) -> None:
        """Note the wait that ran out, so that a limit set too low rises."""
        passed_s = now - self._mark
        if self.tokens:
            self._longest_s = max(self._longest_s, passed_s)
        elif passed_s >= (self._attempt.first_event_s or 0.0):
            self._policy.first_event.record(passed_s)

    def note(self) -> None:
        """Hand the times to the policy of the service."""
        if self.tokens:
            self._policy.first_event.record(self.first_s)
        if self._longest_s:
            self._policy.inter_event.record(self._longest_s)
