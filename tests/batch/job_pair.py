"""Two instances on one platform, each with its own zone and engines."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import orjson

from caperridge.commands.accept_file import accept_file
from caperridge.commands.accept_job import accept_job, new_job_id
from caperridge.commands.announce_job import announce_job
from caperridge.decisions.jobs import OPEN, Job
from caperridge.instance.process import Instance
from caperridge.measure.batch_bed import Gate, GatedPlatform
from caperridge.queries.jobs import read_job, stream_results
from caperridge.settings import Settings
from caperridge.standins import engine as engine_standin
from caperridge.standins.engine import Engine
from caperridge.standins.engine_model import EngineCosts
from caperridge.store.interface import ListedMember
from conftest import Fleet, Listen, until

LANE_ITEMS = 10
CALLER_NAME = "heat"
OTHER_ENGINE = "runner-3"


class Pair:
    """The fleet's instance in one zone, and another in a second one.

    They have no connection to each other: each learns of the other's actions only
    from the platform.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.one = fleet.instance
        self.engine = Engine(EngineCosts(step_s=0.001, sequence_s=0.0001))
        self.platform = GatedPlatform(fleet.memory, Gate())
        settings = Settings(
            "entry-2", "gijon", "http://127.0.0.1:1", lease_s=2.0, balancer_s=0.01
        )
        self.two = Instance(settings, self.platform)

    async def start(self, listen: Listen) -> None:
        """Start the second zone."""
        address = await listen(engine_standin.make_app(self.engine))
        member = ListedMember(OTHER_ENGINE, "target", address, "gijon", service="chat")
        self.fleet.memory.set_members([*self.fleet.members, member])
        await self.two.start()
        await until(lambda: not self.two.not_ready_because())

    async def accept(self, items: int, body_of: Callable[[int], dict[str, Any]]) -> Job:
        """Accept a job in short lanes, with ``body_of`` each item's number."""

        async def blocks() -> AsyncIterator[bytes]:
            for number in range(items):
                body = {"model": "chat"} | body_of(number)
                item = {"custom_id": str(number), "url": "/v1/completions"}
                yield orjson.dumps(item | {"body": body}) + b"\n"

        memory = self.fleet.memory
        file = (await accept_file(memory, CALLER_NAME, blocks())).unwrap()
        now = time.time()
        job = Job(
            new_job_id(),
            CALLER_NAME,
            "chat",
            "/v1/completions",
            file.id,
            items,
            LANE_ITEMS,
            due=now + 3600,
            created=now,
        )
        (await accept_job(memory, job)).unwrap()
        await announce_job(memory, job.id, OPEN)
        return job

    async def ended(self, job: Job, state: str) -> None:
        """Wait until the job's row has ``state``."""
        async with asyncio.timeout(60.0):
            while (await read_job(self.fleet.memory, job.id)).unwrap().state != state:
                await asyncio.sleep(0.05)

    async def results(self, job: Job, failed: bool = False) -> dict[str, Any]:
        """Return the results by ``custom_id``; none may occur twice."""
        results_by_id: dict[str, Any] = {}
        async for piece in stream_results(self.fleet.memory, job, failed):
            for line in piece.unwrap().splitlines():
                result = orjson.loads(line)
                assert result["custom_id"] not in results_by_id
                results_by_id[result["custom_id"]] = result
        return results_by_id
