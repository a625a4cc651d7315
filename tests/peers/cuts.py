"""Zones of instances over real sockets, with simulated partitions, and a client."""

import asyncio
from typing import Any

import aiohttp
import orjson
from result import Err

from caperridge.instance.process import Instance
from caperridge.settings import Address
from caperridge.standins import engine as engine_standin
from caperridge.standins.engine import Engine
from caperridge.standins.engine_model import EngineCosts, answer_text
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember, NotDone, Platform
from conftest import CALLER, OPERATOR, Listen, until
from peers.conftest import Mesh

CUT = Err(NotDone("not reached", reached=False))
LEASE_S = 3.0
CALLS = {
    name for name, call in vars(Platform).items() if asyncio.iscoroutinefunction(call)
}


class CutPlatform(MemoryPlatform):
    """Connection of one or more instances to a shared platform; may be cut."""

    def __init__(self, shared: MemoryPlatform) -> None:
        super().__init__(lambda: 0.0)
        self.shared = shared
        self.cut = False

    def __getattribute__(self, name: str) -> Any:
        if name not in CALLS:
            return object.__getattribute__(self, name)
        if self.cut:
            return self._refuse
        return getattr(self.shared, name)

    async def _refuse(self, *_: Any, **__: Any) -> Any:
        return CUT


class Zones(Mesh):
    """Instances of several zones; each zone has an engine and a platform connection.

    A cut between two zones closes the streams between them and refuses new ones.
    """

    http: aiohttp.ClientSession

    def __init__(self, memory: MemoryPlatform, listen: Listen) -> None:
        super().__init__(memory)
        self.platforms_by_zone: dict[str, CutPlatform] = {}
        self.engines_by_zone: dict[str, Engine] = {}
        self.versions_by_process: dict[Instance, list[int]] = {}
        self._listen = listen
        self._request_count = 0
        self._cut: set[frozenset[str]] = set()
        self._zones_by_address: dict[str, str] = {}

    async def start_zone(self, zone: str, instances: int) -> None:
        engine = Engine(EngineCosts(step_s=0.005, sequence_s=0.0001))
        self.engines_by_zone[zone] = engine
        address = await self._listen(engine_standin.make_app(engine))
        name = f"runner-{zone}"
        self.list_member(ListedMember(name, "target", address, zone, service="chat"))
        self.platforms_by_zone[zone] = CutPlatform(self.memory)
        for number in range(instances):
            await self.start_in(zone, f"{zone}-{number}")

    async def start_in(self, zone: str, name: str, **options: Any) -> Instance:
        platform = self.platforms_by_zone[zone]
        options = {"platform": platform, "lease_s": LEASE_S} | options
        instance = await self.start(name, zone, **options)
        address = str(instance.addresses_by_listener["peers"])
        self._zones_by_address[address] = zone
        return instance

    def before_start(self, instance: Instance) -> None:
        connector = instance.mesh._connector
        dial = connector.dial
        zone = instance.settings.availability_zone

        async def dial_unless_cut(address: Address, *rest: Any) -> Any:
            if self._is_cut(zone, self._zones_by_address.get(str(address), zone)):
                raise OSError("cut")
            return await dial(address, *rest)

        connector.dial = dial_unless_cut

    def _is_cut(self, zone: str, other: str) -> bool:
        return frozenset((zone, other)) in self._cut

    def cut(self, zone: str, other: str) -> None:
        self._cut.add(frozenset((zone, other)))
        for instance in self.instances_by_id.values():
            for stream in instance.mesh._streams:
                remote_zone = stream.hello.availability_zone
                if self._is_cut(instance.settings.availability_zone, remote_zone):
                    stream.close()

    def heal(self) -> None:
        self._cut.clear()
        for platform in self.platforms_by_zone.values():
            platform.cut = False

    def of(self, zone: str) -> list[Instance]:
        instances = self.instances_by_id.values()
        return [i for i in instances if i.settings.availability_zone == zone]

    def record_versions(self) -> None:
        for instance in self.instances_by_id.values():
            version = instance.configuration.current.version
            self.versions_by_process.setdefault(instance, []).append(version)

    async def until(self, condition: Any, seconds: float = 20.0) -> None:
        """Wait as :func:`conftest.until` does, and record the versions in force."""

        def checked() -> Any:
            self.record_versions()
            return condition()

        await until(checked, seconds)

    async def until_version(self, version: int, instances: list[Instance]) -> None:
        await self.until(
            lambda: all(i.configuration.current.version == version for i in instances)
        )

    async def call(
        self, instance: Instance, path: str, body: Any = None, token: str = CALLER
    ) -> tuple[int, Any]:
        listener = "operators" if token == OPERATOR else "callers"
        url = f"http://{instance.addresses_by_listener[listener]}{path}"
        headers = {"Authorization": f"Bearer {token}"}
        method = "GET" if body is None else "POST"
        kind = "data" if isinstance(body, aiohttp.FormData) else "json"
        async with self.http.request(
            method, url, headers=headers, **{kind: body}
        ) as response:
            data = await response.read()
        lines = data.splitlines()
        if response.content_type == "application/jsonl":
            return response.status, [orjson.loads(line) for line in lines]
        return response.status, orjson.loads(data)

    async def ask(self, instance: Instance) -> int:
        """Send an online request, check its whole answer; return the status."""
        self._request_count += 1
        prompt = f"alarm {self._request_count}?"
        body = {"model": "chat", "prompt": prompt, "max_tokens": 3}
        status, answer = await self.call(instance, "/v1/completions", body)
        if status == 200:
            assert answer["choices"][0]["text"] == answer_text(prompt, 3)
        return status

    async def confirm(self, instance: Instance, declaration: str) -> tuple[int, Any]:
        body: dict[str, Any] = {"files": {"all.toml": declaration}}
        _, answer = await self.call(instance, "/intents", body, OPERATOR)
        body["digest"] = answer["plan"]["digest"]
        return await self.call(instance, "/intents/confirm", body, OPERATOR)

    async def submit(
        self, instance: Instance, items: int, tokens: int = 3
    ) -> tuple[int, Any]:
        """Upload a file of items and create a job from it; return the last answer."""
        lines: list[bytes] = []
        for number in range(items):
            body = {"model": "chat", "prompt": f"log {number}", "max_tokens": tokens}
            item = {"custom_id": f"i{number}", "url": "/v1/completions", "body": body}
            lines.append(orjson.dumps(item))
        form = aiohttp.FormData()
        form.add_field("file", b"\n".join(lines), filename="logs.jsonl")
        status, file = await self.call(instance, "/v1/files", form)
        if status != 200:
            return status, file
        job = {
            "input_file_id": file["id"],
            "endpoint": "/v1/completions",
            "completion_window": "24h",
        }
        return await self.call(instance, "/v1/batches", job)

    async def results(self, instance: Instance, job: Any) -> list[str]:
        """Wait until ``job`` completes; return the ids of its results in file order."""
        async with asyncio.timeout(30):
            while job["status"] != "completed":
                await asyncio.sleep(0.05)
                self.record_versions()
                _, job = await self.call(instance, f"/v1/batches/{job['id']}")
        path = f"/v1/files/{job['output_file_id']}/content"
        _, results = await self.call(instance, path)
        return [result["custom_id"] for result in results]
