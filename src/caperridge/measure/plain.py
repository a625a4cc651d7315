"""What a claim adds to a call to a plain service, and what a job of them costs.

Keyed and unkeyed calls to a service that may not be repeated go in turn, one at a
time, through one instance, so that both arms see the same noise. The baseline is a
call straight to the service.
"""

import time
from typing import Any

from caperridge.measure.fleet import (
    CALLER,
    READY_S,
    FleetShape,
    StandinFleet,
    running_fleet,
    until,
)
from caperridge.measure.load import Latencies
from caperridge.measure.options import Options
from caperridge.measure.plain_batch import arms_by_service

PLATFORM_S = (0.0, 0.005, 0.02)
SECONDS = 9.0
PATH = "/services/billing/check"
BODY = b'{"house": 9}'
MEDIAN = 50.0
TAIL = 95.0


async def run(options: Options) -> dict[str, Any]:
    """Return the times of each arm and their ratios, by latency of the platform."""
    shape = FleetShape(engines=0, instances=1, platform_by_http=True)
    seconds = (options.seconds or SECONDS) / len(PLATFORM_S)
    figures: dict[str, Any] = {"arms_by_platform_ms": {}}
    async with running_fleet(shape) as fleet:
        member = await fleet.add_plain("billing")
        address = fleet.members_by_id[member].address
        await until(lambda: _known(fleet, member), READY_S)
        for slow_s in PLATFORM_S:
            fleet.platform.faults = fleet.platform.faults.replace(slow_s=slow_s)
            arms = await _arms(fleet, address, seconds, options.seed)
            figures["arms_by_platform_ms"][str(slow_s * 1000)] = arms
        fleet.platform.faults = fleet.platform.faults.replace(slow_s=0.0)
        await fleet.add_plain("lookup")
        figures["batch_by_service"] = await arms_by_service(fleet)
        figures["most_runs_of_a_key"] = max(
            fleet.plain_by_id[member].runs_by_key.values()
        )
    return figures


def _known(fleet: StandinFleet, member: str) -> bool:
    for instance in fleet.instances_by_id.values():
        if member not in instance.online.book.states_by_id:
            return False
    return True


async def _arms(
    fleet: StandinFleet, address: str, seconds: float, seed: int
) -> dict[str, Any]:
    straight, unkeyed, keyed, resent = (Latencies() for _ in range(4))
    through = fleet.callers_urls()[0] + PATH
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        number += 1
        key = f"{seed}-{fleet.platform.faults.slow_s}-{number}"
        await _timed(fleet, straight, f"http://{address}/check", "")
        await _timed(fleet, unkeyed, through, "")
        await _timed(fleet, keyed, through, key)
        await _timed(fleet, resent, through, key)
    arms: dict[str, Any] = {"calls_of_each": number}
    for name, latencies in (
        ("straight", straight),
        ("unkeyed", unkeyed),
        ("keyed", keyed),
        ("resent", resent),
    ):
        arms[f"{name}_p50_ms"] = round(latencies.percentile_ms(MEDIAN), 2)
        arms[f"{name}_p95_ms"] = round(latencies.percentile_ms(TAIL), 2)
    arms["keyed_over_unkeyed_p50"] = round(
        arms["keyed_p50_ms"] / arms["unkeyed_p50_ms"], 2
    )
    arms["keyed_adds_p50_ms"] = round(arms["keyed_p50_ms"] - arms["unkeyed_p50_ms"], 2)
    return arms


async def _timed(fleet: StandinFleet, latencies: Latencies, url: str, key: str) -> None:
    before = time.monotonic()
    status = await _call(fleet, url, key)
    if status != 200:
        raise RuntimeError(f"a call ended with {status}")
    latencies.record(time.monotonic() - before)


async def _call(fleet: StandinFleet, url: str, key: str) -> int:
    headers = {"Authorization": f"Bearer {CALLER}"}
    if key:
        headers["Idempotency-Key"] = key
    async with fleet.http.post(url, data=BODY, headers=headers) as response:
        await response.read()
        return response.status
