"""What batch items of plain services cost, by whether they may be repeated.

One job of each service runs alone through one instance: ``lookup`` may be repeated,
``billing`` may not and is claimed before it is sent.
"""

import time
from collections.abc import AsyncIterator
from typing import Any

import orjson

from caperridge import keys
from caperridge.commands.accept_file import accept_file
from caperridge.commands.accept_job import accept_job, new_job_id
from caperridge.commands.announce_job import announce_job
from caperridge.decisions.chunks import LANE_ITEMS
from caperridge.decisions.jobs import COMPLETED, OPEN, Job
from caperridge.measure.fleet import StandinFleet, until
from caperridge.standins.plain import PlainFaults

ITEMS = 2000
CALL_S = 0.05
LONGEST_S = 60.0
SERVICES = ("lookup", "billing")


async def arms_by_service(fleet: StandinFleet) -> dict[str, Any]:
    """Return what a job of each service cost; the fleet has a target of each.

    Args:
        fleet: with one instance.
    """
    for plain in fleet.plain_by_id.values():
        plain.faults = PlainFaults(late_s=CALL_S)
    arms: dict[str, Any] = {}
    for service in SERVICES:
        job = await _accept(fleet, service)
        before = fleet.platform.counters.replace()
        began = time.monotonic()
        key = keys.job(job.id)
        rows = fleet.platform.rows_by_key
        await until(lambda k=key, r=rows: r[k].value["state"] == COMPLETED, LONGEST_S)
        took_s = time.monotonic() - began
        after = fleet.platform.counters
        per_thousand = 1000 / ITEMS
        arms[service] = {
            "completed": rows[key].value["completed"],
            "items_per_s": round(ITEMS / took_s, 1),
            "table_writes_per_1000_items": round(
                (after.row_writes - before.row_writes) * per_thousand, 1
            ),
            "object_writes_per_1000_items": round(
                (after.object_writes - before.object_writes) * per_thousand, 1
            ),
        }
    return arms


async def _accept(fleet: StandinFleet, service: str) -> Job:
    path = f"/services/{service}/check"
    file = (await accept_file(fleet.platform, "heat", _lines(path))).unwrap()
    now = time.time()
    job = Job(
        new_job_id(),
        "heat",
        service,
        path,
        file.id,
        file.items,
        LANE_ITEMS,
        due=now + 3600,
        created=now,
    )
    accepted = (await accept_job(fleet.platform, job)).unwrap()
    await announce_job(fleet.platform, job.id, OPEN)
    return accepted


async def _lines(path: str) -> AsyncIterator[bytes]:
    for number in range(ITEMS):
        item = {"custom_id": str(number), "url": path, "body": {"n": number}}
        yield orjson.dumps(item) + b"\n"
