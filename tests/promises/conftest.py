"""Several instances before small stand-ins, on one platform, in one process."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import orjson
import pytest

from caperridge.instance.process import Instance
from caperridge.measure.fleet import (
    CALLER,
    OPERATOR,
    ZONE,
    FleetShape,
    StandinFleet,
    running_fleet,
)
from caperridge.standins.engine_model import EngineCosts, answer_text

COSTS = EngineCosts(step_s=0.002, sequence_s=0.0001)
LEASE_S = 1.2
PATIENCE_S = 30.0
ITEM_TOKENS = 4


class Fleet:
    """What callers and operators do at any instance of a fleet."""

    def __init__(self, standins: StandinFleet) -> None:
        self.standins = standins
        self.platform = standins.platform
        self.engines_by_id = standins.engines_by_id
        self.instances_by_id = standins.instances_by_id

    def url(self, instance: str, listener: str = "callers") -> str:
        at = self.instances_by_id[instance].addresses_by_listener[listener]
        return f"http://{at}"

    def slow(self, times: float) -> None:
        for engine in self.engines_by_id.values():
            engine.faults.slow = times

    async def ask(
        self, instance: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any]:
        url = self.url(instance) + path
        return await self._ask(url, body, CALLER, **headers)

    async def operate(
        self, instance: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        url = self.url(instance, "operators") + path
        return await self._ask(url, body, OPERATOR)

    async def _ask(
        self, url: str, body: Any, token: str, **headers: str
    ) -> tuple[int, Any]:
        headers["Authorization"] = f"Bearer {token}"
        method = "GET" if body is None else "POST"
        async with self.standins.http.request(
            method, url, json=body, headers=headers
        ) as response:
            return response.status, orjson.loads(await response.read() or b"null")

    async def complete(self, instance: str, prompt: str, tokens: int) -> str:
        """Return the whole text of a streamed answer, to its closing mark."""
        body = {"model": "chat", "prompt": prompt, "max_tokens": tokens, "stream": True}
        url = self.url(instance) + "/v1/completions"
        headers = {"Authorization": f"Bearer {CALLER}"}
        async with self.standins.http.post(url, json=body, headers=headers) as response:
            if response.status != 200:
                raise AssertionError(await self.explained(instance, response))
            *lines, done, last = (await response.read()).decode().split("\n\n")
        assert (done, last) == ("data: [DONE]", "")
        events = [orjson.loads(line.removeprefix("data: ")) for line in lines]
        return "".join(event["choices"][0]["text"] for event in events)

    async def explained(self, instance: str, response: aiohttp.ClientResponse) -> str:
        """Return a refusal, and below it each step that led to it."""
        text = await response.text()
        _, trace = await self.operate(
            instance, f"/requests/{response.headers['X-Request-Id']}"
        )
        return "\n".join([text, *map(str, trace["steps"])])

    async def upload(self, instance: str, items: int) -> str:
        lines = []
        for number in range(items):
            body = {"model": "chat", "prompt": f"log {number}"}
            body["max_tokens"] = ITEM_TOKENS
            item = {"custom_id": f"i{number}", "url": "/v1/completions", "body": body}
            lines.append(orjson.dumps(item))
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        form.add_field("file", b"\n".join(lines), filename="logs.jsonl")
        headers = {"Authorization": f"Bearer {CALLER}"}
        url = self.url(instance) + "/v1/files"
        async with self.standins.http.post(url, data=form, headers=headers) as response:
            return (await response.json())["id"]

    async def submit(self, instance: str, items: int) -> str:
        file = await self.upload(instance, items)
        body = {"input_file_id": file, "endpoint": "/v1/completions"}
        status, job = await self.ask(instance, "/v1/batches", body)
        assert status == 200, job
        return job["id"]

    async def completed(self, instance: str, job: str) -> None:
        """Wait until the job has completed."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                status, answer = await self.ask(instance, f"/v1/batches/{job}")
                if status == 200 and answer["status"] == "completed":
                    return
                await asyncio.sleep(0.03)

    async def results(self, instance: str, job: str) -> list[dict[str, Any]]:
        """Return the result lines as they are readable now."""
        url = f"{self.url(instance)}/v1/files/{job}-output/content"
        headers = {"Authorization": f"Bearer {CALLER}"}
        async with self.standins.http.get(url, headers=headers) as response:
            assert response.status == 200, await response.text()
            return [orjson.loads(line) for line in (await response.read()).splitlines()]

    async def check_each_once(self, instance: str, job: str, items: int) -> None:
        """Check that each item has one result, and the right one."""
        results = await self.results(instance, job)
        counted = Counter(result["custom_id"] for result in results)
        assert counted == Counter(f"i{number}" for number in range(items))
        for result in results:
            text = result["response"]["body"]["choices"][0]["text"]
            prompt = f"log {result['custom_id'][1:]}"
            assert text == answer_text(prompt, ITEM_TOKENS)

    async def holder(self) -> Instance:
        """Wait for an instance that works on items."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                for instance in self.instances_by_id.values():
                    if instance.streams.state()["running"]:
                        return instance
                await asyncio.sleep(0.01)


async def until(holds: Callable[[], Any]) -> None:
    """Wait until ``holds()`` is true; fail after a while."""
    async with asyncio.timeout(PATIENCE_S):
        while not holds():
            await asyncio.sleep(0.01)


def knows_all(instance: Instance) -> bool:
    """Return whether an instance knows four targets and three instances."""
    targets = instance.online.book.states_by_id
    if instance.not_ready_because():
        return False
    return len(targets) == 4 and len(instance.membership.live(ZONE)) == 3


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Three instances before two engines and two billing servers, configured."""
    shape = FleetShape(engines=2, instances=0, costs=COSTS, lease_s=LEASE_S)
    async with running_fleet(shape) as standins:
        for _ in range(2):
            await standins.add_plain("billing")
        for number in range(1, 4):
            await standins.add_instance(f"entry-{number}")
        for instance in standins.instances_by_id.values():
            instance.members.poll_soon()
        await until(lambda: all(map(knows_all, standins.instances_by_id.values())))
        await standins.confirm(standins.declaration())
        yield Fleet(standins)
