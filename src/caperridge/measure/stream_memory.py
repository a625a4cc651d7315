"""What an open stream holds in an instance, by ``tracemalloc``.

Engine, instance and callers share a process. What a stream holds in the engine is
measured by streams that go to it directly, and taken off.
"""

import asyncio
import gc
import time
import tracemalloc
from typing import Any

from aiohttp import web

from caperridge.instance.process import Instance
from caperridge.measure.paced_engine import PacedEngine
from caperridge.measure.relay import Call, instance_before
from caperridge.measure.threads import serve
from caperridge.standins.platform import MemoryPlatform

STREAMS = (50, 200)
STEP_S = 0.1
TOKENS = 10_000
SETTLE_S = 1.5
READY_S = 20.0


async def by_streams() -> list[dict[str, Any]]:
    """Return what is held by how many streams are open."""
    runners: list[web.AppRunner] = []
    engine = PacedEngine(STEP_S)
    engine_address = await serve(engine.make_app(), runners)
    instance = await instance_before(engine_address, MemoryPlatform(time.monotonic))
    try:
        async with asyncio.timeout(READY_S):
            while instance.not_ready_because():  # noqa: ASYNC110 - no event for this
                await asyncio.sleep(0.05)
        return [await _row(count, engine_address, instance) for count in STREAMS]
    finally:
        await instance.stop()
        for runner in runners:
            await runner.cleanup()


async def _row(count: int, engine_address: str, instance: Instance) -> dict[str, Any]:
    tracemalloc.start()
    try:
        direct_kib = await _held_kib(engine_address, count)
        callers = str(instance.addresses_by_listener["callers"])
        relayed_kib = await _held_kib(callers, count)
    finally:
        tracemalloc.stop()
    return {"streams": count, "held_kib": relayed_kib - direct_kib}


async def _held_kib(address: str, count: int) -> float:
    gc.collect()
    before, _ = tracemalloc.get_traced_memory()
    # In a thread: connecting waits for the loop to accept.
    calls = await asyncio.to_thread(_open, address, count)
    try:
        await asyncio.sleep(SETTLE_S)
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
    finally:
        for call in calls:
            call.close()
    await asyncio.sleep(SETTLE_S)
    return (held - before) / 1024


def _open(address: str, count: int) -> list[Call]:
    return [Call(address, TOKENS) for _ in range(count)]
