"""What one instance knows of a target, and how a target is scored with it."""

from math import exp
from typing import Any

from caperridge.decisions.ejection import Health
from caperridge.decisions.slow_start import share_at
from caperridge.records import Record
from caperridge.store.interface import ListedMember

NEWS_LASTS_S = 5.0
FADES_S = 0.2  # by `measure routing`, with reports a second apart
OTHERS_FOLLOW = 10
MOST_FOLLOW = 3.0  # times the usual load
LATENCY_HALVES_S = 5.0
LATENCY_GAIN = 0.3

LOAD_S = 0.02  # by which one more sequence delays the others at its target
HOLD_S = 1.0  # that a running request holds its place, roughly
PREFILL_S = 0.00005  # for one prompt token that is not cached
OTHER_ZONE_S = 0.04  # the way there, and that less is known of its targets
STRIKE_S = 0.25
SILENT_S = 0.1  # between events of a target is usual while it prefills
SILENCE_WEIGHT = 4.0
SILENT_FULL_S = 0.5  # all streams of a target: it hangs, or ours wait inside it
MOST_SILENCE_S = 2.0
LATENCY_SHARE = 0.5
WRONG_VERSION_S = 5.0
NO_ADAPTER_S = 1.0


class RequestProfile(Record):
    """What a request wants of a target.

    Attributes:
        tokens: of its prompt.
        tokens_by_target: leading tokens that targets probably have cached.
        version: of the model; empty if it does not matter.
        adapter: empty for none.
        most_running: requests that a target of the service runs at once.
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
    """What is heard of a target's load; it lags.

    Attributes:
        waiting: sequences that wait inside the target.
        online: online requests of all instances there; -1 if nobody counted.
        own_then: those of this instance when the report came.
        usual: requests of others that targets of the service have on average.
        at: when it came, on the own clock.
        version: that the target says it has loaded; empty if not said.
        adapters: that it says it has loaded; None if not said.
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
    """What one instance knows of a target.

    Attributes:
        member: its entry in the platform's list.
        in_flight: online requests of this instance now at it.
        leaving: sticky for its incarnation, whoever said it first.
        since: when it was first listed; 0 if it was there from the start.
        health: what speaks against it.
        report: the newest report of its load; None if there is none.
        first_token_s: of late, by own requests and peers' word; 0 if unknown.
        first_token_at: when that was last noted.
        heard_at: when an event last came from it, or it got its first request.
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
        """Return the online requests at the target, as far as is known.

        The own count is exact. What others have is the last word minus the own
        share of that time, and lapses when no new word comes.
        """
        report = self.report
        if report is None or report.at + NEWS_LASTS_S < now:
            return self.in_flight
        return self.in_flight + max(0, report.online - report.own_then)

    def expected_load(self, now: float) -> float:
        """Return the online requests that are probably at the target by now.

        A report says what was. Whoever trusts it to the end sends everything, with
        all others, to what looked idle then. So its word fades towards the usual
        load, and what this instance has sent there since, others have too.
        """
        report = self.report
        if report is None:
            return self.in_flight
        age_s = now - report.at
        if age_s > NEWS_LASTS_S:
            return self.in_flight
        others = max(0, report.online - report.own_then)
        expected = report.usual + (others - report.usual) * exp(-age_s / FADES_S)
        since = self.in_flight - report.own_then
        if since > 0:
            expected += min(OTHERS_FOLLOW * since, MOST_FOLLOW * report.usual)
        return self.in_flight + expected

    def has_capacity(self, most_running: int, now: float) -> bool:
        """Return whether one more request would start soon at the target.

        A few above ``most_running`` keep the target busy while the word of an end
        is on its way; what exceeds that waits here, where shares and deadlines count.

        A hung target looks empty each time its requests are moved away. While all
        others are full it would get the whole queue, so a target that returned from
        an ejection gets one request at a time, and a silent one nothing more.
        """
        if self.in_flight and self.health.on_probation:
            return False
        if self.in_flight and self.heard_at and now - self.heard_at > SILENT_FULL_S:
            return False
        return self.load(now) < most_running + max(1, most_running // 8)

    def record_first_token(self, seconds: float, now: float) -> None:
        """Note how long a first token took, here or at a peer."""
        if self.first_token_s == 0.0:
            self.first_token_s = seconds
        self.first_token_s += LATENCY_GAIN * (seconds - self.first_token_s)
        self.first_token_at = now

    def expected_wait_s(self, most_running: int, now: float) -> float:
        """Return how long a request would wait inside the target before it starts."""
        queued = self.expected_load(now) + 1 - most_running
        report = self.report
        if report is not None and report.at + NEWS_LASTS_S >= now:
            queued = max(queued, report.waiting)
        return HOLD_S * max(0.0, queued) / most_running

    def score(self, wanted: RequestProfile, zone: str, now: float) -> float:
        """Return the expected delay of a first token here, in seconds."""
        report = self.report
        busy_s = LOAD_S * (self.expected_load(now) + 1)
        busy_s += self.expected_wait_s(wanted.most_running, now)
        began = max(self.since, self.health.returned_at)
        if began:
            busy_s /= share_at(began, now)
        score = busy_s
        if wanted.tokens:
            cached = wanted.tokens_by_target.get(self.member.id, 0)
            score += PREFILL_S * (wanted.tokens - cached)
        if self.first_token_s:
            age_s = now - self.first_token_at
            score += LATENCY_SHARE * self.first_token_s / (1 + age_s / LATENCY_HALVES_S)
        if self.member.availability_zone != zone:
            score += OTHER_ZONE_S
        if self.in_flight and self.heard_at:
            # All its streams are silent: it may hang, long before any limit runs out.
            silent_s = now - self.heard_at - SILENT_S
            if silent_s > 0:
                score += min(MOST_SILENCE_S, silent_s * SILENCE_WEIGHT)
        if self.health.strikes:
            score += STRIKE_S * self.health.strikes
        if report is not None and (wanted.version or wanted.adapter):
            score += _missing_s(report, wanted)
        return score

    def score_parts(
        self, wanted: RequestProfile, zone: str, now: float
    ) -> dict[str, Any]:
        """Return what the score was made of, for an explanation."""
        cached = wanted.tokens_by_target.get(self.member.id, 0)
        return {
            "load": round(self.expected_load(now), 2),
            "own": self.in_flight,
            "waiting": self.report.waiting if self.report else 0,
            "prefill_tokens": max(0, wanted.tokens - cached),
            "cached_tokens": cached,
            "other_zone": self.member.availability_zone != zone,
            "strikes": self.health.strikes,
            "silent_s": round(now - self.heard_at, 3) if self.in_flight else 0.0,
            "first_token_s": round(self.first_token_s, 4),
        }


def _missing_s(report: TargetReport, wanted: RequestProfile) -> float:
    missing_s = 0.0
    if wanted.version and report.version and report.version != wanted.version:
        missing_s += WRONG_VERSION_S
    known = report.adapters
    if wanted.adapter and known is not None and wanted.adapter not in known:
        missing_s += NO_ADAPTER_S
    return missing_s
