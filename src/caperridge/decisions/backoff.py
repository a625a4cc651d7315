"""How long to wait before the next try: doubling, bounded, with jitter."""

FIRST_S = 0.25
MOST_S = 15.0
LEAST_SHARE = 0.5


def wait_s(
    failures: int, chance: float, first_s: float = FIRST_S, most_s: float = MOST_S
) -> float:
    """Return the pause after ``failures`` failures in a row.

    Args:
        failures: at least 1.
        chance: from 0 to 1, drawn by the caller.
        first_s: the longest pause after one failure.
        most_s: the longest pause at all.

    >>> [wait_s(n, 1.0) for n in (1, 2, 3, 20)]
    [0.25, 0.5, 1.0, 15.0]
    >>> wait_s(1, 0.0)
    0.125
    """
    longest = min(most_s, first_s * 2 ** min(failures - 1, 30))
    return longest * (LEAST_SHARE + (1 - LEAST_SHARE) * chance)
