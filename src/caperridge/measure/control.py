"""What control costs an instance: processor, bytes and memory, idle and changing.

Whole instances run in one process; each arm's processor time and bytes are divided by
their number. Slopes over the peers of a zone and the targets that an instance looks
after are fitted by least squares and carried to the target size. What the arms can't
hold (the list of the whole fleet, the configuration of 14,000 callers and its changes)
is measured by itself and added; links to other zones count as further peers. Not in the
figures: the time that serving HTTP takes an instance.
"""

import asyncio
import time
import tracemalloc
from typing import Any

from caperridge.decisions.links import LINKS_PER_ZONE
from caperridge.measure.control_fleet import (
    ControlFleet,
    rss_mb,
)
from caperridge.measure.control_wholes import (
    TARGET_COUNT,
    TARGET_RUNNERS_ZONE,
    TARGET_ZONES,
    owner_lookup_us,
    whole_configuration,
    whole_list,
)
from caperridge.measure.options import Options

SIZES = (3, 6, 12, 24)
RUNNERS = (12, 56, 112)
COUNT_FIXED = 12
RUNNERS_AN_INSTANCE = 112 / 24
WINDOW_S = 4.0  # a multiple of most pauses between polls
NEWS_PER_S = 34.0  # 17 online requests a second, told of at start and end
LISTS_PER_S = 0.5

LIMIT_CPU_SHARE = 0.024
LIMIT_BYTES_PER_S = 17_000
LIMIT_MB = 64


async def run(options: Options) -> dict[str, Any]:
    """Measure every arm; return arms, slopes and the target's figures."""
    window_s = options.seconds / 12 if options.seconds else WINDOW_S
    base_mb = rss_mb()
    arms: list[dict[str, Any]] = []
    places = [(count, round(count * RUNNERS_AN_INSTANCE)) for count in SIZES]
    places += [(COUNT_FIXED, runners) for runners in RUNNERS]
    for count, runners in dict.fromkeys(places):
        arms += await _measure(count, runners, window_s, options.seed)
    slopes = {name: _slopes(arms, name) for name in ("idle", "changing")}
    listed = whole_list()
    configuration = whole_configuration()
    target = _target(slopes["changing"], listed, configuration, base_mb)
    return {
        "arms": arms,
        "slopes": slopes,
        "whole_list": listed,
        "whole_configuration": configuration,
        "owner_lookup_us": owner_lookup_us(),
        "base_rss_mb": round(base_mb, 1),
        "target": target,
        "limits": {
            "cpu_share": LIMIT_CPU_SHARE,
            "bytes_per_s": LIMIT_BYTES_PER_S,
            "rss_mb": LIMIT_MB,
        },
    }


async def _measure(
    count: int, runners: int, window_s: float, seed: int
) -> list[dict[str, Any]]:
    """Return the idle and the changing arm of one fleet."""
    tracemalloc.start()
    fleet = ControlFleet(count, runners, seed)
    await fleet.start()
    state_mb = tracemalloc.get_traced_memory()[0] / 2**20 / count
    tracemalloc.stop()
    try:
        arms: list[dict[str, Any]] = []
        for name, news_per_s, lists_per_s in (
            ("idle", 0.0, 0.0),
            ("changing", NEWS_PER_S, LISTS_PER_S),
        ):
            cpu_s, bytes_before = time.process_time(), fleet.bytes_so_far()
            started = time.monotonic()
            await fleet.change(window_s, news_per_s, lists_per_s)
            seconds = (time.monotonic() - started) * count
            arms.append(
                {
                    "name": name,
                    "instances": count,
                    "runners": runners,
                    "cpu_share": (time.process_time() - cpu_s) / seconds,
                    "bytes_per_s": (fleet.bytes_so_far() - bytes_before) / seconds,
                    "state_mb": state_mb,
                }
            )
        return arms
    finally:
        await fleet.stop()
        await asyncio.sleep(0)


def _slopes(arms: list[dict[str, Any]], name: str) -> dict[str, dict[str, float]]:
    """Return base and slopes over peers and own targets, for each figure.

    Each runner is looked after by one instance, so what counts is how many an
    instance has; the arms of different sizes have the same.
    """
    own = [arm for arm in arms if arm["name"] == name]
    by_peers = [
        arm
        for arm in own
        if arm["runners"] == round(arm["instances"] * RUNNERS_AN_INSTANCE)
    ]
    by_runners = [arm for arm in own if arm["instances"] == COUNT_FIXED]
    slopes: dict[str, dict[str, float]] = {}
    for figure in ("cpu_share", "bytes_per_s", "state_mb"):
        peers = [(arm["instances"] - 1, arm[figure]) for arm in by_peers]
        targets = [(arm["runners"] / COUNT_FIXED, arm[figure]) for arm in by_runners]
        base, a_peer = _fit(peers)
        _, a_target = _fit(targets)
        slopes[figure] = {
            "base": base - a_target * RUNNERS_AN_INSTANCE,
            "a_peer": a_peer,
            "a_target": a_target,
        }
    return slopes


def _fit(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least squares line through ``points``.

    >>> _fit([(0, 1.0), (1, 3.0), (2, 5.0)])
    (1.0, 2.0)
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def _target(
    slopes: dict[str, dict[str, float]],
    listed: dict[str, float],
    configuration: dict[str, float],
    base_mb: float,
) -> dict[str, float]:
    """Carry the changing arm's slopes to the target size."""
    links = (TARGET_ZONES - 1) * LINKS_PER_ZONE**2 / TARGET_COUNT
    peers = TARGET_COUNT - 1 + links
    carried = {
        figure: fitted["base"]
        + fitted["a_peer"] * peers
        + fitted["a_target"] * TARGET_RUNNERS_ZONE / TARGET_COUNT
        for figure, fitted in slopes.items()
    }
    readings = listed["readings_per_s"]
    carried["cpu_share"] += listed["cpu_s"] * readings
    carried["bytes_per_s"] += listed["bytes"] * readings
    changes = configuration["changes_per_s"]
    carried["cpu_share"] += configuration["cpu_s"] * changes
    # Each peer is sent a change or sends it.
    carried["bytes_per_s"] += configuration["delta_bytes"] * changes * peers
    carried["state_mb"] += listed["state_mb"] + configuration["state_mb"]
    carried["rss_mb"] = base_mb + carried["state_mb"]
    carried["streams"] = peers
    return carried
