"""The demo's fleet: stand-ins and instances, all in this process on loopback."""

import asyncio
import contextlib
import time
from collections.abc import Callable

from caperridge.demo.deployment import (
    BILLING,
    OPERATOR,
    RUNNERS_A_ZONE,
    SERVICE,
    ZONES,
)
from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.settings import Settings
from caperridge.standins import engine as engine_standin
from caperridge.standins import plain as plain_standin
from caperridge.standins import platform as platform_standin
from caperridge.standins import weights as weights_standin
from caperridge.standins.engine import Engine
from caperridge.standins.engine_model import EngineCosts
from caperridge.standins.loopback import LoopbackServers
from caperridge.standins.plain import PlainService
from caperridge.standins.platform import MemoryPlatform
from caperridge.standins.weights import WeightStore
from caperridge.store.interface import ListedMember

LEASE_S = 6.0
BALANCER_S = 0.5
COSTS = EngineCosts(step_s=0.015, sequence_s=0.001)


class Fleet:
    """Everything that runs in the demo.

    Attributes:
        memory: the platform.
        engines_by_id: the runners.
        billing: the plain service.
        instances_by_id: the instances that take requests, as the balancer sees it.
    """

    def __init__(self) -> None:
        self.memory = MemoryPlatform(time.monotonic)
        self.engines_by_id: dict[str, Engine] = {}
        self.billing = PlainService()
        self.instances_by_id: dict[str, Instance] = {}
        self._all_instances: list[Instance] = []
        self._members_by_id: dict[str, ListedMember] = {}
        self._servers = LoopbackServers()
        self._platform_url = ""
        self._turn = 0

    async def start(self) -> None:
        """Start the stand-ins, then one instance for each zone."""
        app = platform_standin.make_app(self.memory)
        address = await self._servers.serve("platform", app)
        self._platform_url = f"http://{address}"
        await self._servers.serve("weights", weights_standin.make_app(WeightStore()))
        for zone in ZONES:
            for number in range(1, RUNNERS_A_ZONE + 1):
                await self._start_engine(f"runner-{zone}-{number}", zone)
        address = await self._servers.serve(
            "billing", plain_standin.make_app(self.billing)
        )
        self._list(ListedMember(BILLING, "target", address, ZONES[0], service=BILLING))
        for zone in ZONES:
            await self.start_instance(f"instance-{zone}-1", zone)

    async def stop(self) -> None:
        """Stop the instances, then the stand-ins."""
        for instance in self._all_instances:
            await instance.stop()
        await self._servers.stop_all()

    async def _start_engine(self, name: str, zone: str) -> None:
        engine = Engine(COSTS, seed=len(self.engines_by_id))
        self.engines_by_id[name] = engine
        address = await self._servers.serve(name, engine_standin.make_app(engine))
        self._list(ListedMember(name, "target", address, zone, service=SERVICE))

    async def start_instance(self, name: str, zone: str) -> Instance:
        """Start an instance and put it behind the balancer once it is ready."""
        settings = Settings(
            name,
            zone,
            self._platform_url,
            peers_secret="demo-peers",
            first_operator_sha256=token_digest(OPERATOR),
            lease_s=LEASE_S,
            balancer_s=BALANCER_S,
            drain_s=10.0,
        )
        instance = Instance(settings)
        self._all_instances.append(instance)
        await instance.start()
        addresses = instance.addresses_by_listener
        address = str(addresses.get("peers", addresses["callers"]))
        self._list(ListedMember(name, "instance", address, zone))
        await until(lambda: not instance.not_ready_because())
        self.instances_by_id[name] = instance
        return instance

    async def replace_instance(self, name: str, successor: str) -> int:
        """Start ``successor``, stop ``name`` as planned; return what that cut."""
        instance = self.instances_by_id[name]
        await self.start_instance(successor, instance.settings.availability_zone)
        drain = asyncio.get_running_loop().create_task(instance.drain.run())
        await asyncio.sleep(BALANCER_S / 2)
        del self.instances_by_id[name]
        await drain
        await instance.stop()
        self._all_instances.remove(instance)
        self._unlist(name)
        return len(instance.drain.cut)

    async def kill_engine(self, name: str) -> None:
        """Kill a runner: its connections break and new ones are refused."""
        engine = self.engines_by_id[name]
        engine.kill()
        await self._servers.stop(name)

    def unlist_engine(self, name: str) -> None:
        """Take a runner off the platform's list, as the platform does in the end."""
        self._unlist(name)

    def callers_url(self) -> str:
        """Return where the balancer sends the next request."""
        instances = list(self.instances_by_id.values())
        self._turn += 1
        instance = instances[self._turn % len(instances)]
        return f"http://{instance.addresses_by_listener['callers']}"

    def operators_url(self) -> str:
        """Return the operators' listener of one instance."""
        instance = next(iter(self.instances_by_id.values()))
        return f"http://{instance.addresses_by_listener['operators']}"

    def versions(self) -> set[int]:
        """Return the configuration versions in force in the instances."""
        instances = self.instances_by_id.values()
        return {instance.configuration.current.version for instance in instances}

    def preempted(self) -> float:
        """Return how many batch streams made room for online requests so far."""
        total = 0.0
        for instance in self._all_instances:
            for metric in instance.metrics.preempted.collect():
                samples = metric.samples
                total += sum(s.value for s in samples if s.name.endswith("_total"))
        return total

    def _list(self, member: ListedMember) -> None:
        self._members_by_id[member.id] = member
        self.memory.set_members(list(self._members_by_id.values()))

    def _unlist(self, name: str) -> None:
        del self._members_by_id[name]
        self.memory.set_members(list(self._members_by_id.values()))


async def until(holds: Callable[[], object], seconds: float = 20.0) -> bool:
    """Wait until ``holds()`` is true; return whether it was in time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while not holds():  # noqa: ASYNC110 - it looks at many states at once
                await asyncio.sleep(0.01)
            return True
    return False
