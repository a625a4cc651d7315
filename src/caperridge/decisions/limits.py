"""Per-caller limits: requests a second, tokens a second, requests at once.

A limit is declared for the whole installation. Each instance enforces its share,
the limit divided by the live instances; see ``docs/design/online.md`` for what was
weighed. Buckets of callers that have been idle long enough to be full are dropped.
"""

from caperridge.config.model import Caller
from caperridge.decisions.limit_share import LimitShare, concurrency_share
from caperridge.records import Record

BURST_S = 2.0
SWEEP_INTERVAL_S = 5.0
ROUNDING_TOLERANCE = 1e-9

RATE_LIMIT = "rate_limit"
TOKEN_LIMIT = "token_limit"
CONCURRENCY_LIMIT = "concurrency_limit"


class OverLimit(Record):
    """Why a caller's request is refused.

    Attributes:
        code: which limit.
        reason: a sentence for a person.
        retry_after_s: when it would pass, as far as can be told.
    """

    __slots__ = ("code", "reason", "retry_after_s")

    def __init__(self, code: str, reason: str, retry_after_s: float) -> None:
        self.code = code
        self.reason = reason
        self.retry_after_s = retry_after_s


class TokenBucket:
    """A token bucket that fills as time passes."""

    __slots__ = ("capacity", "level", "rate", "updated_at")

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.capacity = max(1.0, rate * BURST_S)
        self.level = self.capacity
        self.updated_at = now

    def level_at(self, now: float) -> float:
        """Return the level that the bucket has reached."""
        return min(
            self.capacity, self.level + self.rate * max(0.0, now - self.updated_at)
        )

    def refill(self, rate: float, now: float) -> None:
        """Add what came since the last look; ``rate`` holds from now on."""
        self.level = self.level_at(now)
        self.updated_at = now
        self.rate = rate
        self.capacity = max(1.0, rate * BURST_S)


class CallerUsage:
    """What one caller has used lately."""

    __slots__ = ("requests", "running", "tokens")

    def __init__(self) -> None:
        self.running = 0
        self.requests: TokenBucket | None = None
        self.tokens: TokenBucket | None = None


class RateLimiter:
    """Enforces the limits of all callers in one instance."""

    def __init__(self) -> None:
        self.usage_by_caller: dict[str, CallerUsage] = {}
        self._sweep_at = 0.0

    def admit(
        self, caller: Caller, tokens: int, seat: LimitShare, now: float
    ) -> OverLimit | None:
        """Count a request in, or return why it is over a limit.

        Args:
            caller: with its declared limits.
            tokens: that the request may use, prompt and answer.
            seat: of this instance among those that share the limits.
            now: monotonic seconds.
        """
        self._sweep(now)
        state = self.usage_by_caller.get(caller.name)
        if state is None:
            state = self.usage_by_caller[caller.name] = CallerUsage()
        over = self._exceeded_limit(state, caller, tokens, seat, now)
        if over is not None:
            return over
        state.running += 1
        if state.requests is not None:
            state.requests.level -= 1.0
        if state.tokens is not None:
            state.tokens.level -= tokens
        return None

    def release(self, caller: str) -> None:
        """Count a request out."""
        state = self.usage_by_caller.get(caller)
        if state is not None and state.running > 0:
            state.running -= 1

    def running(self, caller: str) -> int:
        """Return how many requests of ``caller`` are in flight."""
        state = self.usage_by_caller.get(caller)
        return 0 if state is None else state.running

    def _exceeded_limit(
        self,
        state: CallerUsage,
        caller: Caller,
        tokens: int,
        seat: LimitShare,
        now: float,
    ) -> OverLimit | None:
        if caller.most_running:
            most = concurrency_share(caller.name, caller.most_running, seat)
            if state.running >= most:
                text = f"{state.running} requests of {caller.name} run at once"
                return OverLimit(CONCURRENCY_LIMIT, text, 1.0)
        state.requests, wait_s = _refill(
            state.requests, caller.requests_per_s / seat.instances, 1.0, now
        )
        if wait_s > 0:
            text = f"more than {caller.requests_per_s:g} requests a second"
            return OverLimit(RATE_LIMIT, text, wait_s)
        state.tokens, wait_s = _refill(
            state.tokens, caller.tokens_per_s / seat.instances, tokens, now
        )
        if wait_s > 0:
            text = f"more than {caller.tokens_per_s:g} tokens a second"
            return OverLimit(TOKEN_LIMIT, text, wait_s)
        return None

    def _sweep(self, now: float) -> None:
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL_S
        for name, state in list(self.usage_by_caller.items()):
            if (
                state.running
                or _is_below_capacity(state.requests, now)
                or _is_below_capacity(state.tokens, now)
            ):
                continue
            del self.usage_by_caller[name]


def _is_below_capacity(bucket: TokenBucket | None, now: float) -> bool:
    # A dropped bucket comes back full, so it may go only once it is full.
    return bucket is not None and bucket.level_at(now) < bucket.capacity


def _refill(
    bucket: TokenBucket | None, rate: float, needed: float, now: float
) -> tuple[TokenBucket | None, float]:
    """Return the filled bucket and how long until ``needed`` is in it.

    A request that is larger than the bucket passes when the bucket is full and
    leaves it in debt; otherwise it could never pass.
    """
    if rate <= 0:
        return None, 0.0
    if bucket is None:
        bucket = TokenBucket(rate, now)
    bucket.refill(rate, now)
    missing = min(needed, bucket.capacity) - bucket.level
    # Rounding must not keep a bucket that waited its time from passing.
    return bucket, (missing / rate if missing > ROUNDING_TOLERANCE else 0.0)
