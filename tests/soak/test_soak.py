"""A short soak with fixed seeds, and each seed that ever failed."""

from pathlib import Path

import pytest

from soak.soak import soak

SHORT = [1]
# Seeds that failed once, each with its cause.
# 122: a runner that refused everything looked the freest and got every item, for ever.
FAILED_ONCE: list[int] = [122]


@pytest.mark.parametrize("seed", [*SHORT, *FAILED_ONCE])
async def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    tally, faults = await soak(seed, seconds=6.0, folder=tmp_path)
    assert tally.broken == [], "\n".join([*tally.broken, *faults])
    assert tally.answered > 0
    assert tally.accepted
