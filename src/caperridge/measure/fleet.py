"""Stand-ins and instances in one process on loopback, for experiments."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.records import Record
from caperridge.settings import Settings
from caperridge.standins import engine as engine_standin
from caperridge.standins import plain as plain_standin
from caperridge.standins import platform as platform_standin
from caperridge.standins.engine import Engine
from caperridge.standins.engine_model import EngineCosts
from caperridge.standins.loopback import LoopbackServers
from caperridge.standins.plain import PlainService
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember

OPERATOR = "operator-token"
CALLER = "caller-token"
SERVICE = "chat"
ZONE = "oviedo"
READY_S = 20.0
DECLARATION = f"""
[services.{SERVICE}]
kind = "engine"
model = "north"
version = "1"
batch_weight = %(batch_weight)s
most_running = %(most_running)d
[services.billing]
kind = "plain"
repeatable = false
[services.lookup]
kind = "plain"
[models.north]
gb_by_version = {{ "1" = 10.0 }}
[callers.heat]
token_sha256 = "{token_digest(CALLER)}"
[operators.ana]
token_sha256 = "{token_digest(OPERATOR)}"
"""


class FleetShape(Record):
    """What a fleet starts with.

    Attributes:
        engines: runners of the service ``chat`` in the first zone.
        instances: instances in the first zone.
        costs: of each engine.
        batch_weight: the trade that is declared for the service.
        platform_by_http: reach the platform over HTTP, so that zones can be cut off,
            rather than by a call in this process.
        lease_s: of each instance.
    """

    __slots__ = (
        "batch_weight",
        "costs",
        "engines",
        "instances",
        "lease_s",
        "platform_by_http",
    )

    def __init__(
        self,
        engines: int = 2,
        instances: int = 1,
        costs: EngineCosts | None = None,
        batch_weight: float = 0.5,
        platform_by_http: bool = False,
        lease_s: float = 10.0,
    ) -> None:
        self.engines = engines
        self.instances = instances
        self.costs = costs or EngineCosts()
        self.batch_weight = batch_weight
        self.platform_by_http = platform_by_http
        self.lease_s = lease_s


class StandinFleet:
    """Engines, plain services, the platform and instances of one experiment."""

    def __init__(self, shape: FleetShape) -> None:
        self.shape = shape
        self.platform = MemoryPlatform(time.monotonic)
        self.platform_url = ""
        self.engines_by_id: dict[str, Engine] = {}
        self.plain_by_id: dict[str, PlainService] = {}
        self.instances_by_id: dict[str, Instance] = {}
        self.members_by_id: dict[str, ListedMember] = {}
        self.http: aiohttp.ClientSession
        self._servers = LoopbackServers()

    async def start(self) -> None:
        """Start all of the shape, and confirm the declaration."""
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        app = platform_standin.make_app(self.platform)
        self.platform_url = f"http://{await self._servers.serve('platform', app)}"
        for number in range(1, self.shape.engines + 1):
            await self.add_engine(f"runner-{number}")
        for number in range(1, self.shape.instances + 1):
            await self.add_instance(f"entry-{number}")
        await until(lambda: not self._not_ready(), READY_S)
        if self.instances_by_id:
            await self.confirm(self.declaration())

    async def stop(self) -> None:
        """Stop everything."""
        for instance_id in list(self.instances_by_id):
            await self.remove_instance(instance_id)
        await self._servers.stop_all()
        await self.http.close()

    def declaration(self, batch_weight: float | None = None) -> str:
        """Return the declaration of the shape, perhaps with another trade."""
        weight = self.shape.batch_weight if batch_weight is None else batch_weight
        most_running = self.shape.costs.most_running
        return DECLARATION % {"batch_weight": weight, "most_running": most_running}

    async def add_engine(
        self,
        engine_id: str,
        availability_zone: str = ZONE,
        service: str = SERVICE,
        costs: EngineCosts | None = None,
        software_version: str = "",
    ) -> Engine:
        """Start one more engine and list it."""
        engine = Engine(costs or self.shape.costs, software_version=software_version)
        self.engines_by_id[engine_id] = engine
        address = await self._servers.serve(engine_id, engine_standin.make_app(engine))
        member = ListedMember(
            engine_id,
            "target",
            address,
            availability_zone,
            software_version=engine.software_version,
        )
        self._list(member, service)
        return engine

    async def add_plain(self, service: str, availability_zone: str = ZONE) -> str:
        """Start one more server of a plain service; return its id."""
        plain = PlainService()
        plain_id = f"{service}-{len(self.plain_by_id) + 1}"
        self.plain_by_id[plain_id] = plain
        address = await self._servers.serve(plain_id, plain_standin.make_app(plain))
        self._list(
            ListedMember(plain_id, "target", address, availability_zone), service
        )
        return plain_id

    async def add_instance(
        self, instance_id: str, availability_zone: str = ZONE, **settings: Any
    ) -> Instance:
        """Start one more instance; ``settings`` go before those of the fleet."""
        chosen: dict[str, Any] = {
            "first_operator_sha256": token_digest(OPERATOR),
            "lease_s": self.shape.lease_s,
            "balancer_s": 0.2,
            "peers_secret": "fleet",
        }
        chosen.update(settings)
        platform = None if self.shape.platform_by_http else self.platform
        instance = Instance(
            Settings(instance_id, availability_zone, self.platform_url, **chosen),
            platform,
        )
        await instance.start()
        self.instances_by_id[instance_id] = instance
        listeners = instance.addresses_by_listener
        address = str(listeners.get("peers", listeners["operators"]))
        self._list(ListedMember(instance_id, "instance", address, availability_zone))
        return instance

    async def remove_instance(self, instance_id: str, listed: bool = False) -> None:
        """End an instance at once; ``listed`` leaves it in the platform's list."""
        instance = self.instances_by_id.pop(instance_id)
        if not listed:
            self.unlist(instance_id)
        await instance.stop()

    async def kill_engine(self, engine_id: str, listed: bool = True) -> None:
        """End an engine at once; ``listed`` leaves it in the platform's list."""
        if not listed:
            self.unlist(engine_id)
        await self._servers.stop(engine_id)

    def unlist(self, member_id: str) -> None:
        """Take a member out of the platform's list."""
        self.members_by_id.pop(member_id, None)
        self.platform.set_members(list(self.members_by_id.values()))

    def mark_leaving(self, member_id: str) -> None:
        """Mark a member as leaving in the platform's list."""
        member = self.members_by_id[member_id]
        self.members_by_id[member_id] = member.replace(state="leaving")
        self.platform.set_members(list(self.members_by_id.values()))

    def callers_urls(self) -> list[str]:
        """Return the callers' URL of each instance, as a balancer would know them."""
        return [
            f"http://{instance.addresses_by_listener['callers']}"
            for instance in self.instances_by_id.values()
        ]

    async def operate(self, path: str, body: Any = None) -> tuple[int, Any]:
        """Call the operators' interface of the first instance."""
        instance = next(iter(self.instances_by_id.values()))
        url = f"http://{instance.addresses_by_listener['operators']}{path}"
        headers = {"Authorization": f"Bearer {OPERATOR}"}
        method = "GET" if body is None else "POST"
        async with self.http.request(
            method, url, json=body, headers=headers
        ) as response:
            return response.status, await response.json()

    async def confirm(self, declaration: str) -> int:
        """Confirm a declaration; return its version once it is in force everywhere."""
        files = {"files": {"all.toml": declaration}}
        _, answer = await self.operate("/intents", files)
        body = files | {"digest": answer["plan"]["digest"]}
        _, answer = await self.operate("/intents/confirm", body)
        version = answer["version"]
        await until(lambda: self._in_force(version), READY_S)
        return version

    def _in_force(self, version: int) -> bool:
        return all(
            instance.configuration.current.version >= version
            for instance in self.instances_by_id.values()
        )

    def _not_ready(self) -> list[str]:
        missing: list[str] = []
        for instance in self.instances_by_id.values():
            missing.extend(instance.not_ready_because())
        return missing

    def _list(self, member: ListedMember, service: str = "") -> None:
        self.members_by_id[member.id] = member.replace(service=service)
        self.platform.set_members(list(self.members_by_id.values()))


@asynccontextmanager
async def running_fleet(shape: FleetShape) -> AsyncIterator[StandinFleet]:
    """Run a fleet for the length of a ``with`` block."""
    fleet = StandinFleet(shape)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()


async def until(holds: Callable[[], Any], seconds: float) -> None:
    """Wait until ``holds()`` is true.

    Raises:
        TimeoutError: it was not within ``seconds``.
    """
    async with asyncio.timeout(seconds):
        while not holds():  # noqa: ASYNC110 - what is waited for has no event
            await asyncio.sleep(0.01)
