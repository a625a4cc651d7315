"""Rate limiting by token buckets, and concurrency limits, per caller.

A limit is declared for the whole installation. Each instance enforces its share, the
limit divided by the live instances; see ``docs/design/online.md`` for alternatives.
Buckets of callers that have been idle long enough to be full are dropped.
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
    """The reason for which a caller's request is refused.

    Attributes:
        code: code of the exceeded limit.
        reason: human-readable sentence.
        retry_after_s: estimated seconds until the request would be admitted.
    """

    __slots__ = ("code", "reason", "retry_after_s")

    def __init__(self, code: str, reason: str, retry_after_s: float) -> None:
        self.code = code
        self.reason = reason
        self.retry_after_s = retry_after_s


class TokenBucket:
    """A token bucket."""

    __slots__ = ("capacity", "level", "rate", "updated_at")

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.capacity = max(1.0, rate * BURST_S)
        self.level = self.capacity
        self.updated_at = now

    def level_at(self, now: float) -> float:
        """Return the level of the bucket at ``now``."""
        return min(
            self.capacity, self.level + self.rate * max(0.0, now - self.updated_at)
        )

    def refill(self, rate: float, now: float) -> None:
        """Add the tokens since the last update; ``rate`` applies from now on."""
        self.level = self.level_at(now)
        self.updated_at = now
        self.rate = rate
        self.capacity = max(1.0, rate * BURST_S)


class CallerUsage:
    """The recent usage of one caller."""

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
        self, caller: Caller, tokens: int, share: LimitShare, now: float
    ) -> OverLimit | None:
        """Count a request as running, or return the limit that it exceeds.

        Args:
            caller: the caller with its declared limits.
            tokens: tokens that the request may use, for prompt and answer.
            share: this instance's share of the limits.
            now: monotonic seconds.
        """
        self._sweep(now)
        usage = self.usage_by_caller.get(caller.name)
        if usage is None:
            usage = self.usage_by_caller[caller.name] = CallerUsage()
        exceeded = self._exceeded_limit(usage, caller, tokens, share, now)
        if exceeded is not None:
            return exceeded
        usage.running += 1
        if usage.requests is not None:
            usage.requests.level -= 1.0
        if usage.tokens is not None:
            usage.tokens.level -= tokens
        return None

    def release(self, caller: str) -> None:
        """Count a request as finished."""
        usage = self.usage_by_caller.get(caller)
        if usage is not None and usage.running > 0:
            usage.running -= 1

    def running(self, caller: str) -> int:
        """Return how many requests of ``caller`` are in flight."""
        usage = self.usage_by_caller.get(caller)
        return 0 if usage is None else usage.running

    def _exceeded_limit(
        self,
        usage: CallerUsage,
        caller: Caller,
        tokens: int,
        share: LimitShare,
        now: float,
    ) -> OverLimit | None:
        if caller.most_running:
            limit = concurrency_share(caller.name, caller.most_running, share)
            if usage.running >= limit:
                text = f"{usage.running} requests of {caller.name} run at once"
                return OverLimit(CONCURRENCY_LIMIT, text, 1.0)
        usage.requests, retry_after_s = _refill(
            usage.requests, caller.requests_per_s / share.instances, 1.0, now
        )
        if retry_after_s > 0:
            text = f"more than {caller.requests_per_s:g} requests a second"
            return OverLimit(RATE_LIMIT, text, retry_after_s)
        usage.tokens, retry_after_s = _refill(
            usage.tokens, caller.tokens_per_s / share.instances, tokens, now
        )
        if retry_after_s > 0:
            text = f"more than {caller.tokens_per_s:g} tokens a second"
            return OverLimit(TOKEN_LIMIT, text, retry_after_s)
        return None

    def _sweep(self, now: float) -> None:
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL_S
        for name, usage in list(self.usage_by_caller.items()):
            if (
                usage.running
                or _is_below_capacity(usage.requests, now)
                or _is_below_capacity(usage.tokens, now)
            ):
                continue
            del self.usage_by_caller[name]


def _is_below_capacity(bucket: TokenBucket | None, now: float) -> bool:
    # A dropped bucket is recreated full, so only a full one may be dropped.
    return bucket is not None and bucket.level_at(now) < bucket.capacity


def _refill(
    bucket: TokenBucket | None, rate: float, needed: float, now: float
) -> tuple[TokenBucket | None, float]:
    """Return the refilled bucket, and the seconds until it holds ``needed`` tokens.

    A request that is larger than the bucket passes when the bucket is full, and leaves
    it with a negative level; otherwise it could never pass.
    """
    if rate <= 0:
        return None, 0.0
    if bucket is None:
        bucket = TokenBucket(rate, now)
    bucket.refill(rate, now)
    missing = min(needed, bucket.capacity) - bucket.level
    # A rounding error must not refuse a request that has waited long enough.
    return bucket, (missing / rate if missing > ROUNDING_TOLERANCE else 0.0)
