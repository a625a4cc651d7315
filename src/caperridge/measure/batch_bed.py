"""What the batch experiment runs on: engines in this process, instances that fail.

The engines are the stand-in's model without its HTTP face: one Python process serves
engines and instances alike, and HTTP between them would be all that is measured.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import orjson
from result import Err, Result

from caperridge.config.model import Caller, Configuration, Service
from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.settings import Settings
from caperridge.standins.engine import POISON, Engine
from caperridge.standins.engine_model import EngineCosts, Sequence, token_text
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember, NotDone, Platform
from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.outcomes import TargetRefused
from caperridge.targets.prompt import prompt_of

ZONES = ("santander", "oviedo", "bilbao")
ENGINES_A_ZONE = 2
MOST_RUNNING = 32
COSTS = EngineCosts(step_s=0.025, sequence_s=0.0002, most_running=MOST_RUNNING)
LEASE_S = 3.0
CALLER = "northern"


class Gate:
    """Closed while an instance is paused; all it does with the outside waits here."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def close(self) -> None:
        """Pause."""
        self._open.clear()

    def open(self) -> None:
        """Go on."""
        self._open.set()

    async def passed(self) -> None:
        """Wait until the gate is open."""
        await self._open.wait()


class LocalEngines(EngineClient):
    """The client of engines in this process.

    Args:
        engines_by_address: whom it reaches.
        gate: of its instance.
    """

    def __init__(self, engines_by_address: dict[str, Engine], gate: Gate) -> None:
        super().__init__()
        self._engines_by_address = engines_by_address
        self._gate = gate

    async def stream(self, attempt: Attempt) -> AsyncIterator[list[bytes]]:
        """See :meth:`EngineClient.stream`."""
        prompt = prompt_of(attempt.body)
        if POISON in prompt:
            raise AttemptFailed(TargetRefused(400, "never to be answered", "not_run"))
        sequence = Sequence(
            attempt.attempt,
            attempt.request,
            prompt,
            attempt.body["max_tokens"],
            attempt.resume_from,
        )
        engine = self._engines_by_address[attempt.address]
        queue = engine.submit(sequence)
        try:
            while (offset := await queue.get()) is not None:
                await self._gate.passed()
                yield [_event(sequence, offset)]
        finally:
            engine.cancel(sequence.attempt)

    async def cancel(self, address: str, attempt: str) -> None:
        """See :meth:`EngineClient.cancel`."""
        self._engines_by_address[address].cancel(attempt)


def _event(sequence: Sequence, offset: int) -> bytes:
    text = token_text(sequence.digest, offset)
    return b"data: " + orjson.dumps({"choices": [{"index": 0, "text": text}]})


class GatedPlatform(Platform):
    """The platform as one instance reaches it."""

    def __init__(self, memory: MemoryPlatform, gate: Gate) -> None:
        self._memory = memory
        self._gate = gate
        self.cut = False

    async def _call(self, name: str, *arguments: Any) -> Result[Any, Any]:
        await self._gate.passed()
        if self.cut:
            return Err(NotDone("this instance is cut off"))
        answer = await getattr(self._memory, name)(*arguments)
        await self._gate.passed()
        return answer

    async def transact(self, conditions, writes, token):
        """See :meth:`Platform.transact`."""
        return await self._call("transact", conditions, writes, token)

    async def read(self, keys):
        """See :meth:`Platform.read`."""
        return await self._call("read", keys)

    async def scan(self, prefix, after="", limit=1000):
        """See :meth:`Platform.scan`."""
        return await self._call("scan", prefix, after, limit)

    async def put_object(self, name, data):
        """See :meth:`Platform.put_object`."""
        return await self._call("put_object", name, data)

    async def get_object(self, name, start=0, length=None):
        """See :meth:`Platform.get_object`."""
        return await self._call("get_object", name, start, length)

    async def list_objects(self, prefix, after="", limit=1000):
        """See :meth:`Platform.list_objects`."""
        return await self._call("list_objects", prefix, after, limit)

    async def delete_object(self, name):
        """See :meth:`Platform.delete_object`."""
        return await self._call("delete_object", name)

    async def members(self):
        """See :meth:`Platform.members`."""
        return await self._call("members")


async def _ready(instance: Instance) -> None:
    """Wait until an instance has a session, and may run batch at its targets."""
    deadline = time.monotonic() + 10.0
    while not _settled(instance):
        await asyncio.sleep(0.02)
        if time.monotonic() > deadline:
            raise TimeoutError("an instance did not become ready")


def _settled(instance: Instance) -> bool:
    """Return whether ``instance`` could fill all engines of its zone.

    It runs no batch at a target that it has just become the dispatcher of. Instances
    live for days, so that this belongs neither to the arms nor to what they cost.
    """
    if instance.not_ready_because() or instance.session.left_s() <= 0:
        return False
    return instance.streams.room("chat") >= ENGINES_A_ZONE * (MOST_RUNNING - 1)


class Bed:
    """Engines, one platform, and one instance in each zone.

    Args:
        seed: of the platform's lost answers.
    """

    def __init__(self, seed: int) -> None:
        self.memory = MemoryPlatform(time.monotonic, seed)
        self.memory.faults.slow_s = 0.002
        self.memory.faults.writes_per_s = 300.0
        self.memory.faults.reads_per_s = 2000.0
        self.engines_by_address: dict[str, Engine] = {}
        self.instances_by_zone: dict[str, Instance] = {}
        self.gates_by_zone: dict[str, Gate] = {}
        self._targets: list[ListedMember] = []
        self._starts = 0

    async def start(self) -> None:
        """Start engines and instances."""
        for zone in ZONES:
            for number in range(ENGINES_A_ZONE):
                # Ids are unique across targets and instances.
                name = f"{zone}-engine-{number}"
                self.new_engine(name)
                member = ListedMember(name, "target", name, zone, service="chat")
                self._targets.append(member)
        for zone in ZONES:
            await self.start_instance(zone)
        for instance in self.instances_by_zone.values():
            await _ready(instance)

    def new_engine(self, name: str) -> Engine:
        """Start an engine that is reached at ``name``."""
        engine = Engine(COSTS)
        engine.start()
        self.engines_by_address[name] = engine
        return engine

    async def start_instance(self, zone: str) -> None:
        """Start an instance with a new name in ``zone``."""
        self._starts += 1
        gate = Gate()
        instance = Instance(
            Settings(
                f"{zone}-{self._starts}",
                zone,
                "http://127.0.0.1:1",
                lease_s=LEASE_S,
                balancer_s=0.01,
                drain_s=5.0,
            ),
            GatedPlatform(self.memory, gate),
            LocalEngines(self.engines_by_address, gate),
        )
        instance.configuration.apply(
            Configuration(
                1,
                {"chat": Service("chat", model="north", most_running=MOST_RUNNING)},
                callers_by_name={CALLER: Caller(CALLER, token_digest("token"))},
            )
        )
        self.instances_by_zone[zone] = instance
        self.gates_by_zone[zone] = gate
        self._list()
        await instance.start()

    async def kill(self, zone: str) -> None:
        """End an instance at once: nothing is saved, its session is not closed."""
        instance = self.instances_by_zone.pop(zone)
        await instance.stop()
        self._list()

    async def stop(self) -> None:
        """Stop everything."""
        for zone in [*self.instances_by_zone]:
            await self.kill(zone)
        for engine in self.engines_by_address.values():
            await engine.stop()

    def _list(self) -> None:
        members = list(self._targets)
        for zone, instance in self.instances_by_zone.items():
            name = instance.settings.instance_id
            members.append(ListedMember(name, "instance", "127.0.0.1:1", zone))
        self.memory.set_members(members)
