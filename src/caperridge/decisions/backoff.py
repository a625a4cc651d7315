"""How long to wait before the next try: doubling, bounded, with jitter."""

BASE_DELAY_S = 0.25
MAX_DELAY_S = 15.0
MIN_DELAY_RATIO = 0.5


def backoff_s(
    failures: int,
    chance: float,
    first_s: float = BASE_DELAY_S,
    most_s: float = MAX_DELAY_S,
) -> float:
    """Return the pause after ``failures`` failures in a row.

    Args:
        failures: at least 1.
        chance: from 0 to 1, drawn by the caller.
        first_s: the longest pause after one failure.
        most_s: the longest pause at all.

    >>> [backoff_s(n, 1.0) for n in (1, 2, 3, 20)]
    [0.25, 0.5, 1.0, 15.0]
    >>> backoff_s(1, 0.0)
    0.125
    """
    longest = min(most_s, first_s * 2 ** min(failures - 1, 30))
    return longest * (MIN_DELAY_RATIO + (1 - MIN_DELAY_RATIO) * chance)
