"""Reads of the table by instances that have nothing to do, by how many there are.

Whole instances of one availability zone, with their peers, run in one process on one
table. Each size is measured twice: connected, where one of them reads for all, and
without peers, where each reads for itself, as all did before the reading was shared.
The slope over the instances is what one more of them costs; the intercept is what a
zone costs. Open jobs that no target can take are listed in the table.
"""

import asyncio
import time
from typing import Any

from caperridge import keys
from caperridge.decisions.jobs import Job
from caperridge.instance.process import Instance
from caperridge.measure.options import Options
from caperridge.measure.roles import slope
from caperridge.peers.interface import PeerListener
from caperridge.settings import Settings
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember, PutRow

SIZES = (3, 6, 12)
OPEN_JOBS = (0, 1900)
ZONE = "zone-0"
SETTLE_S = 9.0
OWN_SECONDS = 38.0  # a scan every half minute is to be among it
CONNECT_S = 15.0
TARGET_IN_ZONE = 23


async def run(options: Options) -> dict[str, Any]:
    """Measure every arm; return arms and slopes."""
    # All arms at once: they mostly wait, and so they share the machine's noise.
    seconds = options.seconds or OWN_SECONDS
    arms = await asyncio.gather(
        *(
            _measure(count, jobs, shared, seconds)
            for shared in (False, True)
            for jobs in OPEN_JOBS
            for count in SIZES
        )
    )
    slopes: dict[str, dict[str, float]] = {}
    for shared in (False, True):
        for jobs in OPEN_JOBS:
            own = [a for a in arms if a["shared"] == shared and a["open_jobs"] == jobs]
            a_peer = slope(own, "instances", "reads_per_s")
            mean = sum(arm["reads_per_s"] for arm in own) / len(own)
            size = sum(arm["instances"] for arm in own) / len(own)
            name = f"{'shared' if shared else 'alone'}_{jobs}"
            slopes[name] = {
                "an_instance": a_peer,
                "a_zone": mean - a_peer * size,
                f"zone_of_{TARGET_IN_ZONE}": mean + a_peer * (TARGET_IN_ZONE - size),
            }
    return {"arms": arms, "slopes": slopes}


async def _measure(
    count: int, jobs: int, shared: bool, seconds: float
) -> dict[str, Any]:
    memory = MemoryPlatform(asyncio.get_running_loop().time)
    for number in range(jobs):
        job = Job(f"j{number:04}", "c", "s", "/", "f", 10, 10, due=1e12)
        await memory.transact([], [PutRow(keys.open_job(job.id), job.to_map())], job.id)
    instances = await _start(memory, count, shared)
    try:
        await asyncio.sleep(SETTLE_S)
        before, begun = memory.counters.replace(), time.monotonic()
        await asyncio.sleep(seconds)
        passed = time.monotonic() - begun
        after = memory.counters
    finally:
        for instance in instances:
            await instance.stop()
    reads = (after.row_reads - before.row_reads) / passed
    return {
        "instances": count,
        "open_jobs": jobs,
        "shared": shared,
        "reads_per_s": reads,
        "reads_per_s_an_instance": reads / count,
    }


async def _start(memory: MemoryPlatform, count: int, shared: bool) -> list[Instance]:
    secret = "measure" if shared else ""
    instances: list[Instance] = []
    members: list[ListedMember] = []
    for number in range(count):
        name = f"entry-{number:03}"
        settings = Settings(name, ZONE, "http://none", peers_secret=secret)
        instance = Instance(settings, memory)
        await instance.start()
        instances.append(instance)
        address = str(instance.addresses_by_listener.get("peers", "127.0.0.1:9"))
        members.append(ListedMember(name, "instance", address, ZONE))
    memory.set_members(members)
    if shared:
        async with asyncio.timeout(CONNECT_S):
            await asyncio.gather(
                *(_Connected(instance, count - 1).wait() for instance in instances)
            )
    return instances


class _Connected(PeerListener):
    """Waits until an instance is connected to so many others."""

    def __init__(self, instance: Instance, others: int) -> None:
        self._peers = instance.peers
        self._others = others
        self._enough = asyncio.Event()
        self._peers.add_listener(self)
        self.opened("")

    def opened(self, instance: str) -> None:
        """See :meth:`PeerListener.opened`."""
        if len(self._peers.connected()) >= self._others:
            self._enough.set()

    async def wait(self) -> None:
        """Return once there are enough."""
        await self._enough.wait()
