"""What the roles of an instance hold and ask for, by the size of the system.

Instances idle side by side in one loop, on one platform in memory that counts what
it is asked. Processor time is the loop's thread, the platform's share in it: an
upper bound. Memory is what the objects of a role take, by ``tracemalloc``.
"""

import asyncio
import gc
import statistics
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import orjson

from caperridge.config.declarations import parse
from caperridge.config.model import Caller, Configuration
from caperridge.decisions.routing import TargetPool
from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.measure.options import Options
from caperridge.measure.samples import resident_mib
from caperridge.measure.stream_memory import by_streams
from caperridge.records import Record, pack
from caperridge.settings import Settings
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember

ZONE = "one"
TOKEN = "measured"
DECLARATION = f"""
[services.chat]
kind = "engine"
model = "north"
version = "1"
[models.north]
gb_by_version = {{ "1" = 10.0 }}
[callers.load]
token_sha256 = "{token_digest(TOKEN)}"
"""
INSTANCES = (1, 6, 12)
JOBS = (0, 40, 120)
TARGETS = (0, 600, 1900)
CALLERS = (100, 3500, 14000)
FEW = 3
ARMS = 9
OWN_SECONDS = 45.0
SETTLE_S = 1.0
READY_S = 20.0
ITEM_LINES = 20


class Idle(Record):
    """What one instance did in one second, on average, while nothing was asked."""

    __slots__ = ("calls", "cpu_ms", "object_reads", "row_reads", "row_writes")

    def __init__(
        self,
        calls: float,
        cpu_ms: float,
        object_reads: float,
        row_reads: float,
        row_writes: float,
    ) -> None:
        self.calls = calls
        self.cpu_ms = cpu_ms
        self.object_reads = object_reads
        self.row_reads = row_reads
        self.row_writes = row_writes


@asynccontextmanager
async def idle_instances(
    count: int, targets: int, callers: int = 1
) -> AsyncIterator[tuple[MemoryPlatform, list[Instance]]]:
    """Run ``count`` instances that know each other and ``targets`` targets."""
    memory = MemoryPlatform(time.monotonic)
    # Targets that nobody calls need no listener.
    members = target_members(targets)
    memory.set_members(members)
    instances: list[Instance] = []
    try:
        for number in range(count):
            settings = Settings(
                f"measured-{number}", ZONE, "http://127.0.0.1:1", peers_secret="s" * 32
            )
            instance = Instance(settings, memory)
            instances.append(instance)
            await instance.start()
            instance.configuration.apply(configuration(callers))
        for instance in instances:
            name = instance.settings.instance_id
            address = instance.addresses_by_listener.get("peers")
            if address is not None:
                members.append(ListedMember(name, "instance", str(address), ZONE))
        memory.set_members(members)
        await _until(lambda: not any(i.not_ready_because() for i in instances))
        await asyncio.sleep(SETTLE_S)
        yield memory, instances
    finally:
        for instance in instances:
            await instance.stop()


async def _until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(READY_S):
        while not holds():  # noqa: ASYNC110 - instances have no event for this
            await asyncio.sleep(0.05)


def target_members(count: int) -> list[ListedMember]:
    """Return targets of one service in one availability zone."""
    return [
        ListedMember(
            f"runner-{number}", "target", "127.0.0.1:1", ZONE, service="elsewhere"
        )
        for number in range(count)
    ]


def configuration(callers: int) -> Configuration:
    """Return a configuration with so many callers."""
    whole = parse({"measure.toml": DECLARATION})
    whole.version = 1
    for number in range(callers - 1):
        name = f"team-{number:05d}"
        whole.callers_by_name[name] = Caller(
            name, token_digest(name), ["chat"], requests_per_s=5.0, tokens_per_s=500.0
        )
    return whole


async def idle_cost(
    memory: MemoryPlatform, instances: int, seconds: float
) -> dict[str, float]:
    """Return what an idle instance does in a second."""
    counters = memory.counters.replace()
    cpu, begun = time.thread_time(), time.monotonic()
    await asyncio.sleep(seconds)
    cpu, passed = time.thread_time() - cpu, time.monotonic() - begun
    per = 1 / (passed * instances)
    after = memory.counters
    return Idle(
        (after.calls - counters.calls) * per,
        cpu * 1000 * per,
        (after.object_reads - counters.object_reads) * per,
        (after.row_reads - counters.row_reads) * per,
        (after.row_writes - counters.row_writes) * per,
    ).to_map()


async def by_instances(seconds: float) -> list[dict[str, Any]]:
    """Idle cost by how many instances there are in the availability zone."""
    rows: list[dict[str, Any]] = []
    for count in INSTANCES:
        async with idle_instances(count, targets=10) as (memory, _):
            cost = await idle_cost(memory, count, seconds)
            cost["resident_mib"] = resident_mib()
        rows.append({"instances": count, **cost})
    return rows


async def by_targets(seconds: float) -> list[dict[str, Any]]:
    """Idle cost by how many targets are listed."""
    rows: list[dict[str, Any]] = []
    for count in TARGETS:
        async with idle_instances(FEW, targets=count) as (memory, _):
            cost = await idle_cost(memory, FEW, seconds)
        rows.append({"targets": count, **cost})
    return rows


async def by_jobs(seconds: float) -> list[dict[str, Any]]:
    """Idle cost by how many jobs are open that no target can take."""
    rows: list[dict[str, Any]] = []
    async with idle_instances(FEW, targets=0) as (memory, instances):
        address = str(instances[0].addresses_by_listener["callers"])
        submitted = 0
        for count in JOBS:
            while submitted < count:
                await _submit(address, submitted)
                submitted += 1
            await asyncio.sleep(SETTLE_S)
            cost = await idle_cost(memory, FEW, seconds)
            rows.append({"open_jobs": count, **cost})
    return rows


async def _submit(address: str, number: int) -> None:
    headers = {"Authorization": f"Bearer {TOKEN}"}
    lines: list[bytes] = []
    for index in range(ITEM_LINES):
        body = {"model": "north", "prompt": f"{number}.{index}", "max_tokens": 4}
        line = {
            "custom_id": str(index),
            "method": "POST",
            "url": "/v1/completions",
            "body": body,
        }
        lines.append(orjson.dumps(line))
    form = aiohttp.FormData()
    form.add_field("purpose", "batch")
    form.add_field("file", b"\n".join(lines), filename="items.jsonl")
    async with aiohttp.ClientSession(f"http://{address}", headers=headers) as http:
        async with http.post("/v1/files", data=form) as answer:
            answer.raise_for_status()
            file = await answer.json()
        job = {
            "input_file_id": file["id"],
            "endpoint": "/v1/completions",
            "completion_window": "24h",
        }
        async with http.post("/v1/batches", json=job) as answer:
            answer.raise_for_status()


def held_by(make: Callable[[], Any]) -> tuple[float, float]:
    """Return the KiB that what ``make`` returns holds, and the seconds it took."""
    begun = time.thread_time()
    make()
    took_s = time.thread_time() - begun
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held / 1024, took_s


def by_callers() -> list[dict[str, Any]]:
    """Size of the configuration by how many callers it names."""
    rows: list[dict[str, Any]] = []
    for count in CALLERS:
        data = pack(configuration(count))
        kib, _ = held_by(lambda count=count: configuration(count))
        begun = time.thread_time()
        Configuration.from_map(configuration(count).to_map())
        took_s = time.thread_time() - begun
        rows.append(
            {
                "callers": count,
                "held_kib": kib,
                "packed_kib": len(data) / 1024,
                "to_and_from_map_ms": took_s * 1000,
            }
        )
    return rows


def books() -> list[dict[str, Any]]:
    """Size of the book of targets, and what a new list costs it."""
    rows: list[dict[str, Any]] = []
    for count in TARGETS[1:]:

        def fill(count: int = count) -> TargetPool:
            book = TargetPool(ZONE)
            book.apply_list(target_members(count))
            return book

        kib, took_s = held_by(fill)
        rows.append({"targets": count, "held_kib": kib, "apply_list_ms": took_s * 1000})
    return rows


def slope(rows: list[dict[str, Any]], by: str, of: str) -> float:
    """Return how much ``of`` grows with each one more of ``by``."""
    fit = statistics.linear_regression(
        [row[by] for row in rows], [row[of] for row in rows]
    )
    return fit.slope


async def run(options: Options) -> dict[str, Any]:
    """Measure what the roles hold and ask for."""
    seconds = (options.seconds or OWN_SECONDS) / ARMS
    instances = await by_instances(seconds)
    callers = by_callers()
    book = books()
    targets = await by_targets(seconds)
    jobs = await by_jobs(seconds)
    streams = await by_streams()
    slopes = {
        "held_kib_a_stream": slope(streams, "streams", "held_kib"),
        "held_kib_a_caller": slope(callers, "callers", "held_kib"),
        "packed_kib_a_caller": slope(callers, "callers", "packed_kib"),
        "held_kib_a_target": slope(book, "targets", "held_kib"),
        "apply_list_ms_a_target": slope(book, "targets", "apply_list_ms"),
        "cpu_ms_a_peer": slope(instances, "instances", "cpu_ms"),
        "row_reads_a_job": slope(jobs, "open_jobs", "row_reads"),
        "cpu_ms_a_job": slope(jobs, "open_jobs", "cpu_ms"),
        "cpu_ms_a_target": slope(targets, "targets", "cpu_ms"),
    }
    return {
        "resident_mib_of_one": instances[0]["resident_mib"],
        "slopes": slopes,
        "by_instances": instances,
        "by_targets": targets,
        "by_jobs": jobs,
        "by_callers": callers,
        "by_streams": streams,
        "books": book,
    }
