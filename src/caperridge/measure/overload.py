"""What callers see when far more is asked for than half a fleet can answer.

Two of four runners hang while requests with long answers keep coming. What cannot be
answered in time is to be refused early, with a reason, ``run`` and ``Retry-After``;
and what is answered is not to be run twice.
"""

import asyncio
import random
import time
from collections import Counter
from typing import Any

import aiohttp
import orjson

from caperridge.measure.fleet import (
    CALLER,
    SERVICE,
    FleetShape,
    StandinFleet,
    running_fleet,
)
from caperridge.measure.options import Options
from caperridge.refusals import NOT_RUN
from caperridge.standins.engine_model import EngineCosts
from caperridge.targets.events import DONE_EVENT

RUNNERS = 4
HUNG = ("runner-1", "runner-2")
BEFORE_S = 1.0
AFTER_S = 5.0
REQUESTS_PER_S = 40.0
TOKENS = 120
DEADLINE_S = 3.0
LATE_SLACK_S = 0.25  # of this process, which is busy itself
QUICK_S = 0.1


class Seen:
    """What the caller of one request saw.

    Attributes:
        outcome: ``answered``, ``refused`` or ``cut``.
        code: of the refusal.
        complete: the refusal says why, whether it ran, and when to come back.
        first_s: time to the first token; 0 if none came.
        ended_s: time to the end.
        request: its id.
        run: the word of the refusal.
    """

    __slots__ = (
        "code",
        "complete",
        "ended_s",
        "first_s",
        "outcome",
        "request",
        "run",
    )

    def __init__(self) -> None:
        self.outcome = "cut"
        self.code = ""
        self.complete = False
        self.first_s = 0.0
        self.ended_s = 0.0
        self.request = ""
        self.run = ""


async def overload(options: Options) -> dict[str, Any]:
    """Measure a fleet that loses half of its runners under load."""
    costs = EngineCosts(step_s=0.01, sequence_s=0.0005, most_running=16)
    shape = FleetShape(engines=RUNNERS, instances=3, costs=costs)
    async with running_fleet(shape) as fleet:
        await asyncio.sleep(1.5)  # until the list has been read again
        seen = await _load(fleet, options.seconds or AFTER_S, options.seed)
        return _figures(fleet, seen)


async def _load(fleet: StandinFleet, after_s: float, seed: int) -> list[Seen]:
    rng = random.Random(seed)
    seen: list[Seen] = []
    started = time.monotonic()
    hung = False
    at = 0.0
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http,
        asyncio.TaskGroup() as group,
    ):
        while at < BEFORE_S + after_s:
            at += rng.expovariate(REQUESTS_PER_S)
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            if not hung and at >= BEFORE_S:
                hung = True
                for engine_id in HUNG:
                    fleet.engines_by_id[engine_id].faults.hung = True
            urls = fleet.callers_urls()
            one = Seen()
            seen.append(one)
            url = urls[len(seen) % len(urls)] + "/v1/completions"
            group.create_task(_ask(http, url, len(seen), one))
    return seen


async def _ask(http: aiohttp.ClientSession, url: str, number: int, one: Seen) -> None:
    headers = {
        "Authorization": f"Bearer {CALLER}",
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    prompt = f"overload {number} ".ljust(200, "?")
    body = {"model": SERVICE, "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    began = time.monotonic()
    data = b""
    try:
        async with http.post(url, json=body, headers=headers) as response:
            one.request = response.headers.get("X-Request-Id", "")
            async for piece in response.content.iter_any():
                data += piece
                if response.status == 200:
                    one.first_s = one.first_s or time.monotonic() - began
            if response.status != 200:
                _refused(one, response, data)
    except (aiohttp.ClientError, OSError):
        return
    finally:
        one.ended_s = time.monotonic() - began
    if data.endswith(DONE_EVENT) and data.count(b'"offset":') == TOKENS:
        one.outcome = "answered"


def _refused(one: Seen, response: aiohttp.ClientResponse, data: bytes) -> None:
    error = orjson.loads(data)["error"]
    one.outcome = "refused"
    one.code = error["code"]
    one.run = error["run"]
    again = float(response.headers.get("Retry-After", 0)) > 0
    one.complete = bool(error["message"] and error["run"] and again)


def _figures(fleet: StandinFleet, seen: list[Seen]) -> dict[str, Any]:
    runs_by_request: Counter[str] = Counter()
    for engine in fleet.engines_by_id.values():
        runs_by_request.update(engine.runs_by_request)
    doubled = 0
    for one in seen:
        # A stream that had begun is resumed: no token of it is produced twice.
        began = one.request and _failed_after_first(fleet, one.request)
        doubled += runs_by_request[one.request] > 1 and not began
    first = sorted(one.first_s for one in seen if one.first_s)
    refused = [one for one in seen if one.outcome == "refused"]
    waits = sorted(one.ended_s for one in refused)
    latest_s = DEADLINE_S + LATE_SLACK_S
    return {
        "requests": len(seen),
        "answered": sum(one.outcome == "answered" for one in seen),
        "cut_streams": sum(one.outcome == "cut" for one in seen),
        "refused": len(refused),
        "refused_by_code": dict(Counter(one.code for one in refused)),
        "refused_at_once": sum(wait_s < QUICK_S for wait_s in waits),
        "refused_not_run": sum(one.run == NOT_RUN for one in refused),
        "refused_incomplete": sum(not one.complete for one in refused),
        "refused_max_ms": round(waits[-1] * 1e3, 1) if waits else 0.0,
        "doubled_runs": doubled,
        "runs_per_answer": round(
            sum(runs_by_request.values())
            / max(1, sum(one.outcome == "answered" for one in seen)),
            3,
        ),
        "past_deadline": sum((one.first_s or one.ended_s) > latest_s for one in seen),
        "ttft_p50_ms": round(first[len(first) // 2] * 1e3, 1),
        "ttft_p95_ms": round(first[int(len(first) * 0.95)] * 1e3, 1),
        "ttft_max_ms": round(first[-1] * 1e3, 1),
    }


def _failed_after_first(fleet: StandinFleet, request: str) -> bool:
    for instance in fleet.instances_by_id.values():
        trace = instance.traces.find(request)
        if trace is None:
            continue
        for step in trace.steps:
            if step.what == "failed" and step.details["at"] > 0:
                return True
    return False
