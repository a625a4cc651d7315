"""What callers see when a runner, an instance or a zone fails under load.

Each event has a fleet of its own, in this process: runners, three instances, and a
steady online load. A second zone is cut off by letting its runners hang: their
connections stay open and nothing comes, as when packets are dropped.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from caperridge.measure.fleet import (
    CALLER,
    SERVICE,
    FleetShape,
    StandinFleet,
    running_fleet,
)
from caperridge.measure.options import Options
from caperridge.measure.overload import overload
from caperridge.standins.engine_model import EngineCosts
from caperridge.targets.events import DONE_EVENT

BEFORE_S = 2.0
AFTER_S = 4.0
LEAST_AFTER_S = 3.0  # the slowest event is over by then
OWN_SECONDS = 30.0  # of all events together
LIST_LAG_S = 2.0
REQUESTS_PER_S = 25.0
TOKENS = 60
OTHER_ZONE = "bilbao"
SLOWER = 2.0  # times the usual first token that count as not steady yet
SLACK_S = 0.05


class Asked:
    """One request as its caller saw it.

    Attributes:
        at: when it was sent, from the start of the load.
        first_s: time to its first token; 0 if none came.
        outcome: ``answered``, ``refused`` or ``cut``.
        request: its id; empty if no answer began.
    """

    __slots__ = ("at", "first_s", "outcome", "request")

    def __init__(self, at: float) -> None:
        self.at = at
        self.first_s = 0.0
        self.outcome = "cut"
        self.request = ""


Event = Callable[[StandinFleet], Awaitable[None]]


async def runner_killed(fleet: StandinFleet) -> None:
    """End a runner at once; the list follows later."""
    await fleet.kill_engine("runner-1")
    await asyncio.sleep(LIST_LAG_S)
    fleet.unlist("runner-1")


async def runner_hung(fleet: StandinFleet) -> None:
    """Let a runner stop in the middle of its steps, for good."""
    fleet.engines_by_id["runner-1"].faults.hung = True


async def runner_leaving(fleet: StandinFleet) -> None:
    """Let a runner say that it is leaving; the list follows later."""
    fleet.engines_by_id["runner-1"].faults.leaving = True
    await asyncio.sleep(LIST_LAG_S)
    fleet.mark_leaving("runner-1")


async def instance_replaced(fleet: StandinFleet) -> None:
    """Stop an instance as planned, and start another."""
    instance = fleet.instances_by_id["entry-1"]
    drained = asyncio.get_running_loop().create_task(instance.drain.run())
    # The balancer moves on because the instance is not ready.
    await asyncio.sleep(instance.settings.balancer_s / 2)
    del fleet.instances_by_id["entry-1"]
    await drained
    fleet.instances_by_id["entry-1"] = instance
    await fleet.remove_instance("entry-1")
    await fleet.add_instance("entry-9")


async def zone_cut_off(fleet: StandinFleet) -> None:
    """Let all runners of the other zone hang."""
    for engine_id, engine in fleet.engines_by_id.items():
        if fleet.members_by_id[engine_id].availability_zone == OTHER_ZONE:
            engine.faults.hung = True


EVENTS: dict[str, Event] = {
    "runner_killed": runner_killed,
    "runner_hung": runner_hung,
    "runner_leaving": runner_leaving,
    "instance_replaced": instance_replaced,
    "zone_cut_off": zone_cut_off,
}


async def run(options: Options) -> dict[str, Any]:
    """Measure each event."""
    figures: dict[str, Any] = {}
    after_s = max(LEAST_AFTER_S, AFTER_S * options.scale(OWN_SECONDS))
    for name, event in EVENTS.items():
        # With fewer runners of its own, the zone sends to the other one too.
        own, other = (3, 2) if event is zone_cut_off else (4, 0)
        costs = EngineCosts(step_s=0.01, sequence_s=0.0005, most_running=16)
        shape = FleetShape(engines=own, instances=3, costs=costs)
        async with running_fleet(shape) as fleet:
            for number in range(other):
                await fleet.add_engine(f"far-{number + 1}", OTHER_ZONE)
            await asyncio.sleep(1.5)  # until the list has been read again
            figures[name] = await _measure(fleet, event, after_s, options.seed)
    figures["overload"] = await overload(options)
    return figures


async def _measure(
    fleet: StandinFleet, event: Event, after_s: float, seed: int
) -> dict[str, Any]:
    rng = random.Random(seed)
    asked: list[Asked] = []
    traces = [instance.traces for instance in fleet.instances_by_id.values()]
    started = time.monotonic()
    happened: asyncio.Task[None] | None = None
    event_at = 0.0
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http,
        asyncio.TaskGroup() as group,
    ):
        at = 0.0
        while at < BEFORE_S + after_s:
            at += rng.expovariate(REQUESTS_PER_S)
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            if happened is None and at >= BEFORE_S:
                event_at = time.monotonic() - started
                happened = group.create_task(event(fleet))
            urls = fleet.callers_urls()
            one = Asked(time.monotonic() - started)
            asked.append(one)
            group.create_task(_ask(http, urls[len(asked) % len(urls)], one))
    traces += [
        instance.traces
        for instance in fleet.instances_by_id.values()
        if instance.traces not in traces
    ]
    return _figures(fleet, asked, event_at, traces)


async def _ask(http: aiohttp.ClientSession, url: str, one: Asked) -> None:
    headers = {"Authorization": f"Bearer {CALLER}"}
    prompt = f"alarm {one.at} ".ljust(200, "?")
    body = {"model": SERVICE, "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    began = time.monotonic()
    data = b""
    try:
        async with http.post(
            url + "/v1/completions", json=body, headers=headers
        ) as response:
            one.request = response.headers.get("X-Request-Id", "")
            if response.status != 200:
                one.outcome = "refused"
                return
            async for piece in response.content.iter_any():
                one.first_s = one.first_s or time.monotonic() - began
                data += piece
    except (aiohttp.ClientError, OSError):
        return
    if data.endswith(DONE_EVENT) and data.count(b'"offset":') == TOKENS:
        one.outcome = "answered"


def _figures(
    fleet: StandinFleet, asked: list[Asked], event_at: float, traces: list[Any]
) -> dict[str, Any]:
    before = sorted(one.first_s for one in asked if one.at < event_at - 0.5)
    usual_s = before[int(len(before) * 0.95)]
    after = [one for one in asked if one.at >= event_at - 0.5]
    slow_s = usual_s * SLOWER + SLACK_S
    unsteady = [
        one.at - event_at
        for one in after
        if one.outcome != "answered" or one.first_s > slow_s
    ]
    resumed = _resumed(asked, traces)
    doubled = 0
    for one in asked:
        runs = sum(
            engine.runs_by_request.get(one.request, 0)
            for engine in fleet.engines_by_id.values()
        )
        doubled += runs > 1 and one.request not in resumed
    first = sorted(one.first_s for one in after if one.first_s)
    return {
        "requests": len(asked),
        "online_failed": sum(one.outcome != "answered" for one in asked),
        "cut_streams": sum(one.outcome == "cut" for one in asked),
        "resumed": len(resumed),
        "doubled_runs": doubled,
        "seconds_to_steady": round(max([0.0, *unsteady]), 2),
        "not_steady": len(unsteady),
        "ttft_p95_before_ms": round(usual_s * 1e3, 1),
        "ttft_p95_after_ms": round(first[int(len(first) * 0.95)] * 1e3, 1),
        "ttft_max_after_ms": round(first[-1] * 1e3, 1),
    }


def _resumed(asked: list[Asked], traces: list[Any]) -> set[str]:
    """Return the requests that were moved after their first token."""
    resumed: set[str] = set()
    for one in asked:
        for kept in traces:
            trace = kept.find(one.request)
            if trace is None:
                continue
            for step in trace.steps:
                if step.what == "failed" and step.details["at"] > 0:
                    resumed.add(one.request)
    return resumed
