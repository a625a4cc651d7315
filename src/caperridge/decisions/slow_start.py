"""Slow start: a new or returned target gets its full share only after a while."""

RAMP_S = 10.0
INITIAL_SHARE = 0.1


def share_at(since: float, now: float) -> float:
    """Return the share of its normal load that a target may take at ``now``.

    Args:
        since: when it was added or returned; 0 if it was there at start-up.
        now: time on the same clock.

    >>> share_at(0.0, 5.0), share_at(100.0, 100.0), share_at(100.0, 110.0)
    (1.0, 0.1, 1.0)
    """
    if since <= 0.0 or now >= since + RAMP_S:
        return 1.0
    progress = max(0.0, now - since) / RAMP_S
    return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress
