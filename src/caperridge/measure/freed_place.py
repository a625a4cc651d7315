"""Whether the place that batch gives up is free before the online request is there.

Times are taken where they count, at the engine: when the first cancel of a batch
stream arrives less when the online request does. Below zero the place was free first.
"""

import asyncio
import time
from typing import Any

from caperridge.measure.batch_feed import BatchFeed
from caperridge.measure.fleet import SERVICE, FleetShape, StandinFleet, running_fleet
from caperridge.measure.load import LoadFigures, one_request
from caperridge.standins.engine import Engine
from caperridge.standins.engine_model import EngineCosts, Sequence

REQUESTS = 12
PAUSE_S = 0.1
FILL_S = 2.5
TARGET = "runner-1"


class EngineWatch:
    """Notes when online requests and cancels of batch streams reach an engine."""

    def __init__(self, engine: Engine) -> None:
        self.online_at = 0.0
        self.cancelled_at = 0.0
        self._submit = engine.submit
        self._cancel = engine.cancel
        engine.submit = self._submitted  # type: ignore[method-assign]
        engine.cancel = self._cancelled  # type: ignore[method-assign]

    def clear(self) -> None:
        """Forget what was noted."""
        self.online_at = self.cancelled_at = 0.0

    def _submitted(self, sequence: Sequence) -> Any:
        if sequence.request.startswith("req-"):
            self.online_at = self.online_at or time.monotonic()
        return self._submit(sequence)

    def _cancelled(self, attempt: str) -> bool:
        there = self._cancel(attempt)
        if there and attempt.startswith("batch_"):
            self.cancelled_at = self.cancelled_at or time.monotonic()
        return there


async def run_freed_place(costs: EngineCosts) -> dict[str, Any]:
    """Send single requests through the runner's dispatcher and through a peer."""
    figures: dict[str, Any] = {}
    shape = FleetShape(1, instances=2, costs=costs, batch_weight=1.0)
    async with running_fleet(shape) as fleet:
        feed = BatchFeed(fleet, least_tokens=400, most_tokens=800)
        feed.start()
        watch = EngineWatch(fleet.engines_by_id[TARGET])
        await asyncio.sleep(FILL_S)
        for instance_id, instance in fleet.instances_by_id.items():
            own = instance.streams.own.owns(TARGET)
            name = "own" if own else "by_peer"
            figures[name] = await _delays(fleet, instance_id, watch)
        feed.stop()
    return figures


async def _delays(
    fleet: StandinFleet, instance_id: str, watch: EngineWatch
) -> dict[str, Any]:
    listeners = fleet.instances_by_id[instance_id].addresses_by_listener
    url = f"http://{listeners['callers']}"
    body = {"model": SERVICE, "prompt": "alarm?", "max_tokens": 2}
    delays: list[float] = []
    for _ in range(REQUESTS):
        watch.clear()
        await one_request(fleet.http, url, body, LoadFigures())
        if watch.online_at and watch.cancelled_at:
            delays.append(watch.cancelled_at - watch.online_at)
        await asyncio.sleep(PAUSE_S)
    if not delays:
        return {"requests": REQUESTS, "preempted": 0}
    delays.sort()
    return {
        "requests": REQUESTS,
        "preempted": len(delays),
        "after_p50_ms": round(delays[len(delays) // 2] * 1000, 2),
        "after_most_ms": round(delays[-1] * 1000, 2),
    }
