"""What batch does to the tail of online requests, by policy.

The same online load with bursts runs alone and beside batch without end, once for
each arm: ``shared`` (batch takes every place, nothing gives way), ``partitioned`` (a
fixed split), ``caperridge`` as declared by default, and both ends of its trade.

``batch_share_of_idle`` is the batch tokens made over those that engines could have
made beside the online requests, were each step full and each prompt prefilled once.
"""

import asyncio
import time
from typing import Any

from caperridge.decisions.headroom import BatchStream, Headroom
from caperridge.measure.batch_feed import BatchFeed
from caperridge.measure.fleet import FleetShape, StandinFleet, running_fleet
from caperridge.measure.freed_place import run_freed_place
from caperridge.measure.load import (
    LoadFigures,
    LoadShape,
    LoopWatch,
    run_load,
    schedule,
)
from caperridge.measure.modelled_runner import ModelledRunner, ModelShape
from caperridge.measure.options import Options
from caperridge.standins.engine_model import EngineCosts, prompt_tokens

# A decode step is bound by reading the weights; each stream adds half a hundredth.
# Steps are long, so that what this process itself needs for 48 streams stays small.
COSTS = EngineCosts(step_s=0.040, sequence_s=0.0002, prefill_s=0.00005, most_running=24)
ENGINES = 2
REQUESTS_PER_S = 7.5
BURST_EVERY_S = 2.5
BURST_S = 1.0
LONG_S = 7.5  # of the two arms that the first figures compare
SHORT_S = 5.0
OWN_SECONDS = 30.0  # of all arms together
SETTLE_S = 1.0
PARTITION = 12
PROMPT = "?" * 200
MODELLED_S = 150.0
MODELLED_ARMS = (
    ("caperridge", 0.5, 0.0),
    ("caperridge_tail", 0.0, 0.0),
    ("caperridge_throughput", 1.0, 0.0),
    ("caperridge_by_peers", 0.5, 0.004),
)
MEAN_ITEM_TOKENS = 80


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
    """One arm: its name, length, batch places if fixed, and the trade.

    Attributes:
        name: in the figures.
        seconds: how long its load lasts.
        batch: whether batch runs at all.
        places: batch places at each runner if they are fixed; 0 for the policy.
        batch_weight: the trade that is declared.
    """

    __slots__ = ("batch", "batch_weight", "name", "places", "seconds")

    def __init__(
        self,
        name: str,
        seconds: float = SHORT_S,
        batch: bool = True,
        places: int = 0,
        batch_weight: float = 0.5,
    ) -> None:
        self.name = name
        self.seconds = seconds
        self.batch = batch
        self.places = places
        self.batch_weight = batch_weight


ARMS = (
    Arm("alone", LONG_S, batch=False),
    Arm("shared", BURST_EVERY_S, places=COSTS.most_running),
    Arm("partitioned", BURST_EVERY_S, places=PARTITION),
    Arm("caperridge", LONG_S),
    Arm("caperridge_tail", batch_weight=0.0),
    Arm("caperridge_throughput", batch_weight=1.0),
)


async def run(options: Options) -> dict[str, Any]:
    """Run every arm, one after the other; about 55 s."""
    figures: dict[str, Any] = {}
    for arm in ARMS:
        # An arm without a burst would say nothing of the tail.
        seconds = max(BURST_EVERY_S, arm.seconds * options.scale(OWN_SECONDS))
        figures[arm.name] = await run_arm(arm, options.seed, seconds)
    for arm in ARMS[1:]:
        figures[arm.name] |= ratios(figures[arm.name], figures["alone"])
    for name in ("ttft_p99_ratio", "itl_p95_ratio", "batch_share_of_idle"):
        figures[name] = figures["caperridge"][name]
    figures["freed_place"] = await run_freed_place(COSTS)
    figures["modelled"] = modelled(options.seed)
    return figures


def ratios(own: dict[str, Any], alone: dict[str, Any]) -> dict[str, float]:
    """Return the latencies of an arm over those of online alone."""
    found: dict[str, float] = {}
    for name in ("ttft_p50", "ttft_p95", "ttft_p99", "itl_p50", "itl_p95"):
        found[f"{name}_ratio"] = round(own[f"{name}_ms"] / alone[f"{name}_ms"], 3)
    return found


def modelled(seed: int) -> dict[str, Any]:
    """Return the same by the engine model, with what this process adds left out.

    One runner has its share of the load. The news is of the own process, or of a
    peer and comes later than the request.
    """
    load = load_shape(MODELLED_S, REQUESTS_PER_S / ENGINES)
    tokens = sum(arrival.tokens for arrival in schedule(load, seed))
    figures: dict[str, Any] = {}
    alone = ModelledRunner(ModelShape(COSTS, load, item_tokens=None, seed=seed)).run()
    for name, weight, news_s in MODELLED_ARMS:
        shape = ModelShape(COSTS, load, weight, news_s=news_s, seed=seed)
        runner = ModelledRunner(shape)
        own = runner.run()
        items = runner.batch_tokens / MEAN_ITEM_TOKENS
        idle = idle_tokens(1, MODELLED_S, own["online_answers"], items, tokens)
        own["batch_share_of_idle"] = round(runner.batch_tokens / idle, 3)
        figures[name] = own | ratios(own, alone)
    return figures


def load_shape(seconds: float, requests_per_s: float) -> LoadShape:
    """Return the online load."""
    return LoadShape(
        seconds,
        requests_per_s,
        burst_every_s=BURST_EVERY_S,
        burst_s=BURST_S,
        prompt_characters=len(PROMPT),
        least_tokens=8,
        most_tokens=24,
    )


def idle_tokens(
    engines: int, seconds: float, answers: int, items: float, tokens: int
) -> float:
    """Return the batch tokens that full engines could have made beside online."""
    full = COSTS.most_running
    prefill_s = (answers + items) * prompt_tokens(PROMPT) * COSTS.prefill_s
    best_per_s = full / (COSTS.step_s + COSTS.sequence_s * full)
    return best_per_s * (engines * seconds - prefill_s) - tokens


async def run_arm(arm: Arm, seed: int, seconds: float) -> dict[str, Any]:
    """Run one arm in a fleet of its own."""
    shape = FleetShape(ENGINES, costs=COSTS, batch_weight=arm.batch_weight)
    load = load_shape(seconds, REQUESTS_PER_S)
    async with running_fleet(shape) as fleet:
        if arm.places:
            for instance in fleet.instances_by_id.values():
                instance.streams.headroom = FixedHeadroom(arm.places)
        feed = BatchFeed(fleet, prompt_characters=len(PROMPT), seed=seed)
        if arm.batch:
            feed.start()
            await asyncio.sleep(SETTLE_S)
        watch = LoopWatch()
        watch.start()
        made, items = _tokens_made(fleet), feed.items
        started = time.monotonic()
        figures = await run_load(fleet, load, seed, arm.name)
        elapsed = time.monotonic() - started
        batch_tokens = _tokens_made(fleet) - made - figures.tokens
        items = feed.items - items
        watched = watch.stop()
        feed.stop()
        return _figures(figures, feed, items, batch_tokens, elapsed) | watched


def _tokens_made(fleet: StandinFleet) -> int:
    return sum(engine.tokens_produced for engine in fleet.engines_by_id.values())


def _figures(
    load: LoadFigures, feed: BatchFeed, items: int, batch_tokens: int, elapsed: float
) -> dict[str, Any]:
    idle = idle_tokens(ENGINES, elapsed, load.answered, items, load.tokens)
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
