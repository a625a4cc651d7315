"""Exponential backoff with an upper bound and jitter."""

BASE_DELAY_S = 0.25
MAX_DELAY_S = 15.0
MIN_DELAY_RATIO = 0.5


def backoff_s(
    failures: int,
    jitter: float,
    base_s: float = BASE_DELAY_S,
    max_s: float = MAX_DELAY_S,
) -> float:
    """Return the delay in seconds after consecutive failures.

    Args:
        failures: number of consecutive failures, at least 1.
        jitter: random number from 0 to 1.
        base_s: longest delay after one failure.
        max_s: longest delay after any number of failures.

    >>> [backoff_s(n, 1.0) for n in (1, 2, 3, 20)]
    [0.25, 0.5, 1.0, 15.0]
    >>> backoff_s(1, 0.0)
    0.125
    """
    limit = min(max_s, base_s * 2 ** min(failures - 1, 30))
    return limit * (MIN_DELAY_RATIO + (1 - MIN_DELAY_RATIO) * jitter)
