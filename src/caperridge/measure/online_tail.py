"""What batch does to the tail of online requests, by policy.

The same online load with bursts runs alone and beside batch without end, once for
each arm: ``shared`` (batch takes every place, nothing gives way), ``partitioned`` (a
fixed split) and ``caperridge`` as declared by default. In ``batch_elsewhere`` the same
process runs as much batch at runners of its own: over ``alone`` that is what the
measuring process adds, and ``caperridge`` over it is what batch adds at the runners.
The whole trade is modelled, on minutes of load.

``batch_share_of_idle`` is the batch tokens made over those that engines could have
made beside the online requests, were each step full and each prompt prefilled once.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from caperridge.decisions.headroom import BatchStream, Headroom
from caperridge.measure.batch_feed import BatchFeed
from caperridge.measure.fleet import FleetShape, StandinFleet, running_fleet
from caperridge.measure.freed_place import run_freed_place
from caperridge.measure.load import LoadFigures, LoopWatch, run_load
from caperridge.measure.modelled_tail import modelled
from caperridge.measure.options import Options
from caperridge.measure.tail_load import (
    BURST_EVERY_S,
    COSTS,
    ENGINES,
    SHORT_ANSWERS,
)
from caperridge.measure.tail_ratios import ArmLatencies, aims, ratios

LONG_S = 9.5  # of the arms whose latencies are compared
OWN_SECONDS = 33.5  # of all arms together
SETTLE_S = 1.0
CHARACTERS = SHORT_ANSWERS.prompt_characters
PARTITION = 12
ELSEWHERE = 17  # batch streams at a runner beside an online load like this one


class FixedHeadroom(Headroom):
    """Lets batch have the same number of places always, and never preempts."""

    def __init__(self, places: int) -> None:
        super().__init__()
        self._places = places

    def allowed(
        self, target: str, most_running: int, batch_weight: float, now: float
    ) -> int:
        """Return the fixed number of places."""
        return self._places

    def startable(
        self, target: str, most_running: int, batch_weight: float, now: float
    ) -> int:
        """Return the fixed number of places."""
        return self._places

    def to_preempt(
        self,
        target: str,
        most_running: int,
        batch_weight: float,
        running: list[BatchStream],
        now: float,
    ) -> list[BatchStream]:
        """Return nothing: without a policy, nothing gives way."""
        return []


class Arm:
    """One arm.

    Attributes:
        name: in the figures.
        seconds: how long its load lasts.
        batch: whether batch runs at the runners of the online load.
        places: batch places at each runner if they are fixed; 0 for the policy.
        elsewhere: whether batch runs at other runners of this process.
    """

    __slots__ = ("batch", "elsewhere", "name", "places", "seconds")

    def __init__(
        self,
        name: str,
        seconds: float = LONG_S,
        batch: bool = True,
        places: int = 0,
        elsewhere: bool = False,
    ) -> None:
        self.name = name
        self.seconds = seconds
        self.batch = batch
        self.places = places
        self.elsewhere = elsewhere


ARMS = (
    Arm("alone", batch=False),
    Arm("batch_elsewhere", batch=False, elsewhere=True),
    Arm("caperridge"),
    Arm("shared", BURST_EVERY_S, places=COSTS.most_running),
    Arm("partitioned", BURST_EVERY_S, places=PARTITION),
)


async def run(options: Options) -> dict[str, Any]:
    """Run every arm, one after the other; about 55 s."""
    figures: dict[str, Any] = {}
    seen_by_arm: dict[str, ArmLatencies] = {}
    for arm in ARMS:
        # An arm without a burst would say nothing of the tail.
        seconds = max(BURST_EVERY_S, arm.seconds * options.scale(OWN_SECONDS))
        load, figures[arm.name] = await run_arm(arm, options.seed, seconds)
        seen_by_arm[arm.name] = ArmLatencies(load.first_token, load.between_tokens)
    for arm in ARMS[1:]:
        seen = ratios(seen_by_arm[arm.name], seen_by_arm["alone"])
        figures[arm.name] |= seen
    own = figures["caperridge"]
    own["aims"] = aims(own)
    own["over_batch_elsewhere"] = ratios(
        seen_by_arm["caperridge"], seen_by_arm["batch_elsewhere"]
    )
    for name in ("ttft_p99_ratio", "itl_p95_ratio", "batch_share_of_idle"):
        figures[name] = own[name]
    figures["freed_place"] = await run_freed_place(COSTS)
    figures["modelled"] = modelled(options.seed)
    return figures


async def run_arm(
    arm: Arm, seed: int, seconds: float
) -> tuple[LoadFigures, dict[str, Any]]:
    """Run one arm in a fleet of its own."""
    async with (
        running_fleet(FleetShape(ENGINES, costs=COSTS)) as fleet,
        batch_beside(arm.elsewhere, seed),
    ):
        if arm.places:
            fix_places(fleet, arm.places)
        feed = BatchFeed(fleet, prompt_characters=CHARACTERS, seed=seed)
        if arm.batch:
            feed.start()
        await asyncio.sleep(SETTLE_S)
        watch = LoopWatch()
        watch.start()
        made, items = _tokens_made(fleet), feed.items
        started = time.monotonic()
        figures = await run_load(fleet, SHORT_ANSWERS.load(seconds), seed, arm.name)
        elapsed = time.monotonic() - started
        batch_tokens = _tokens_made(fleet) - made - figures.tokens
        items = feed.items - items
        watched = watch.stop()
        feed.stop()
        own = _figures(figures, feed, items, batch_tokens, elapsed)
        return figures, own | watched


@asynccontextmanager
async def batch_beside(wanted: bool, seed: int) -> AsyncIterator[None]:
    """Run batch at other runners of this process while the context is open."""
    if not wanted:
        yield
        return
    async with running_fleet(FleetShape(ENGINES, costs=COSTS)) as fleet:
        fix_places(fleet, ELSEWHERE)
        feed = BatchFeed(fleet, prompt_characters=CHARACTERS, seed=seed)
        feed.start()
        yield
        feed.stop()


def fix_places(fleet: StandinFleet, places: int) -> None:
    """Let batch have ``places`` at each runner, whatever online does."""
    for instance in fleet.instances_by_id.values():
        instance.streams.headroom = FixedHeadroom(places)


def _tokens_made(fleet: StandinFleet) -> int:
    return sum(engine.tokens_produced for engine in fleet.engines_by_id.values())


def _figures(
    load: LoadFigures, feed: BatchFeed, items: int, batch_tokens: int, elapsed: float
) -> dict[str, Any]:
    idle = SHORT_ANSWERS.idle_tokens(
        ENGINES, elapsed, load.answered, items, load.tokens
    )
    return {
        "ttft_p50_ms": load.first_token.percentile_ms(50),
        "ttft_p95_ms": load.first_token.percentile_ms(95),
        "ttft_p99_ms": load.first_token.percentile_ms(99),
        "itl_p50_ms": load.between_tokens.percentile_ms(50),
        "itl_p95_ms": load.between_tokens.percentile_ms(95),
        "itl_p99_ms": load.between_tokens.percentile_ms(99),
        "online_answered": load.answered,
        "online_failed": load.failed,
        "online_tokens": load.tokens,
        "batch_items_per_s": round(items / elapsed, 2),
        "batch_tokens_per_s": round(batch_tokens / elapsed, 1),
        "batch_preemptions": feed.preemptions,
        "batch_share_of_idle": round(batch_tokens / idle, 3),
    }
