"""Scoring of targets: an instance's view of a target and the expected delay there."""

from math import exp
from typing import Any

from caperridge.decisions.ejection import Health
from caperridge.decisions.slow_start import share_at
from caperridge.records import Record
from caperridge.store.interface import ListedMember

REPORT_TTL_S = 5.0
REPORT_DECAY_S = 0.2  # time constant, for reports that arrive once a second
HERD_FACTOR = 10  # requests of other instances for each new one of this instance
MAX_HERD_RATIO = 3.0  # of the usual load
LATENCY_HALF_LIFE_S = 5.0  # hyperbolic decay: a half at this age, a third at twice
LATENCY_GAIN = 0.3

SEQUENCE_DELAY_S = 0.02  # delay that one more sequence causes the others at its target
SLOT_TIME_S = 1.0  # approximate time for which a running request occupies its slot
PREFILL_S_PER_TOKEN = 0.00005  # for a prompt token that is not cached
OTHER_ZONE_PENALTY_S = 0.04  # network latency, and less current data on its targets
STRIKE_PENALTY_S = 0.25
SILENCE_GRACE_S = 0.1  # a target that prefills is usually silent for this long
SILENCE_PENALTY_FACTOR = 4.0
# When all streams of a target are silent for longer, it hangs or has queued them.
MAX_SILENCE_S = 0.5
MAX_SILENCE_PENALTY_S = 2.0
LATENCY_WEIGHT = 0.5
WRONG_VERSION_PENALTY_S = 5.0
MISSING_ADAPTER_PENALTY_S = 1.0


class RequestProfile(Record):
    """The properties of a request that routing considers.

    Attributes:
        tokens: length of the prompt.
        tokens_by_target: leading tokens that targets probably have cached.
        version: required version of the model; empty for any.
        adapter: required adapter; empty for none.
        most_running: requests that a target of the service runs concurrently.
    """

    __slots__ = ("adapter", "most_running", "tokens", "tokens_by_target", "version")

    def __init__(
        self,
        tokens: int = 0,
        tokens_by_target: dict[str, int] | None = None,
        version: str = "",
        adapter: str = "",
        most_running: int = 16,
    ) -> None:
        self.tokens = tokens
        self.tokens_by_target = tokens_by_target or {}
        self.version = version
        self.adapter = adapter
        self.most_running = most_running


class TargetReport(Record):
    """A report of a target's load; it lags.

    Attributes:
        waiting: sequences queued inside the target.
        online: online requests of all instances there; -1 if not counted.
        own_then: those of this instance when the report arrived.
        usual: average requests of other instances at targets of the service.
        at: time of arrival on the local clock.
        version: model version that the target reports; empty if it reports none.
        adapters: adapters that the target reports as loaded; None if not reported.
    """

    __slots__ = (
        "adapters",
        "at",
        "online",
        "own_then",
        "usual",
        "version",
        "waiting",
    )

    def __init__(
        self,
        waiting: int = 0,
        online: int = -1,
        own_then: int = 0,
        at: float = 0.0,
        version: str = "",
        adapters: list[str] | None = None,
        usual: float = 0.0,
    ) -> None:
        self.usual = usual
        self.waiting = waiting
        self.online = online
        self.own_then = own_then
        self.at = at
        self.version = version
        self.adapters = adapters


class TargetState(Record):
    """The view that one instance has of a target.

    Attributes:
        member: its entry in the platform's list.
        in_flight: online requests of this instance at the target.
        leaving: sticky for its incarnation, whichever source reported it first.
        since: when it was first listed; 0 if it was listed at start-up.
        health: its failures and ejections.
        report: the newest report of its load; None if there is none.
        first_token_s: recent time to first token, from own requests and reports of
            peers; 0 if unknown.
        first_token_at: when that was last updated.
        heard_at: when it last sent an event, or got the first request in flight.
    """

    __slots__ = (
        "first_token_at",
        "first_token_s",
        "health",
        "heard_at",
        "in_flight",
        "leaving",
        "member",
        "report",
        "since",
    )

    def __init__(
        self,
        member: ListedMember,
        in_flight: int = 0,
        leaving: bool = False,
        since: float = 0.0,
        health: Health | None = None,
        report: TargetReport | None = None,
        first_token_s: float = 0.0,
        first_token_at: float = 0.0,
        heard_at: float = 0.0,
    ) -> None:
        self.member = member
        self.in_flight = in_flight
        self.leaving = leaving
        self.since = since
        self.health = health or Health()
        self.report = report
        self.first_token_s = first_token_s
        self.first_token_at = first_token_at
        self.heard_at = heard_at

    def load(self, now: float) -> int:
        """Return the known number of online requests at the target.

        The own count is exact. The count of other instances is the last report minus
        the own requests at that time; it expires if no new report arrives.
        """
        report = self.report
        if report is None or report.at + REPORT_TTL_S < now:
            return self.in_flight
        return self.in_flight + max(0, report.online - report.own_then)

    def expected_load(self, now: float) -> float:
        """Return the estimated number of online requests at the target at ``now``.

        A report describes the past. If all instances trusted it until the next one,
        all would send everything to the target that looked idle (herding). So the
        reported load decays towards the usual load, and other instances are assumed to
        have sent requests there since in proportion to this instance's own.
        """
        report = self.report
        if report is None:
            return self.in_flight
        age_s = now - report.at
        if age_s > REPORT_TTL_S:
            return self.in_flight
        others = max(0, report.online - report.own_then)
        expected = report.usual + (others - report.usual) * exp(-age_s / REPORT_DECAY_S)
        since = self.in_flight - report.own_then
        if since > 0:
            expected += min(HERD_FACTOR * since, MAX_HERD_RATIO * report.usual)
        return self.in_flight + expected

    def has_capacity(self, most_running: int, now: float) -> bool:
        """Return whether one more request would start soon at the target.

        A few requests above ``most_running`` keep the target busy while the report of a
        finished one is in transit. Further requests wait in this instance, where shares
        and deadlines apply.

        A hung target looks empty each time its requests are moved away, and would get
        the whole queue while all other targets are full. So a target that returned from
        an ejection gets one request at a time, and a silent one gets no more.
        """
        if self.in_flight and self.health.on_probation:
            return False
        if self.in_flight and self.heard_at and now - self.heard_at > MAX_SILENCE_S:
            return False
        return self.load(now) < most_running + max(1, most_running // 8)

    def record_first_token(self, seconds: float, now: float) -> None:
        """Record a time to first token, measured here or by a peer."""
        if self.first_token_s == 0.0:
            self.first_token_s = seconds
        self.first_token_s += LATENCY_GAIN * (seconds - self.first_token_s)
        self.first_token_at = now

    def expected_wait_s(self, most_running: int, now: float) -> float:
        """Return the expected queueing time inside the target, in seconds."""
        queued = self.expected_load(now) + 1 - most_running
        report = self.report
        if report is not None and report.at + REPORT_TTL_S >= now:
            queued = max(queued, report.waiting)
        return SLOT_TIME_S * max(0.0, queued) / most_running

    def score(self, profile: RequestProfile, zone: str, now: float) -> float:
        """Return the expected time to first token at this target, in seconds."""
        report = self.report
        busy_s = SEQUENCE_DELAY_S * (self.expected_load(now) + 1)
        busy_s += self.expected_wait_s(profile.most_running, now)
        began = max(self.since, self.health.returned_at)
        if began:
            busy_s /= share_at(began, now)
        score = busy_s
        if profile.tokens:
            cached = profile.tokens_by_target.get(self.member.id, 0)
            score += PREFILL_S_PER_TOKEN * (profile.tokens - cached)
        if self.first_token_s:
            age_s = now - self.first_token_at
            score += (
                LATENCY_WEIGHT * self.first_token_s / (1 + age_s / LATENCY_HALF_LIFE_S)
            )
        if self.member.availability_zone != zone:
            score += OTHER_ZONE_PENALTY_S
        if self.in_flight and self.heard_at:
            # All its streams are silent: it may hang, long before a time-out expires.
            silent_s = now - self.heard_at - SILENCE_GRACE_S
            if silent_s > 0:
                score += min(MAX_SILENCE_PENALTY_S, silent_s * SILENCE_PENALTY_FACTOR)
        if self.health.strikes:
            score += STRIKE_PENALTY_S * self.health.strikes
        if report is not None and (profile.version or profile.adapter):
            score += _loading_penalty_s(report, profile)
        return score

    def score_parts(
        self, profile: RequestProfile, zone: str, now: float
    ) -> dict[str, Any]:
        """Return the components of the score, for the trace of a request."""
        cached = profile.tokens_by_target.get(self.member.id, 0)
        return {
            "load": round(self.expected_load(now), 2),
            "own": self.in_flight,
            "waiting": self.report.waiting if self.report else 0,
            "prefill_tokens": max(0, profile.tokens - cached),
            "cached_tokens": cached,
            "other_zone": self.member.availability_zone != zone,
            "strikes": self.health.strikes,
            "silent_s": round(now - self.heard_at, 3) if self.in_flight else 0.0,
            "first_token_s": round(self.first_token_s, 4),
        }


def _loading_penalty_s(report: TargetReport, profile: RequestProfile) -> float:
    missing_s = 0.0
    if profile.version and report.version and report.version != profile.version:
        missing_s += WRONG_VERSION_PENALTY_S
    known = report.adapters
    if profile.adapter and known is not None and profile.adapter not in known:
        missing_s += MISSING_ADAPTER_PENALTY_S
    return missing_s
