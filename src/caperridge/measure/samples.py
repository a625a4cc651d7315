"""Figures that several experiments take in the same way."""

import os
from collections.abc import Sequence

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value that ``share`` of ``values`` do not exceed; 0 for none.

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    >>> quantile([3.0, 1.0, 2.0], 1.0), quantile([], 0.5)
    (3.0, 0.0)
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return float(ordered[min(len(ordered) - 1, int(len(ordered) * share))])


def resident_mib() -> float:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * PAGE_BYTES / 2**20
