"""Modelled instances that run the real guard, and what passes between them.

Each instance has the real guard, crash detector, quarantine and table of suspects. The
mesh, the store and the targets are modelled, with delays on a modelled clock.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from caperridge.decisions.quarantine import Quarantine
from caperridge.decisions.suspects import Suspect
from caperridge.gateway.clock import StoreClock
from caperridge.gateway.fingerprint import Fingerprint
from caperridge.gateway.held_rows import QuarantineTable
from caperridge.gateway.mesh.roster import MAX_FULL_MESH_PEERS
from caperridge.gateway.mesh.streams import encode
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.request_guard import RequestGuard
from caperridge.gateway.rows import StoredRow, Transaction
from caperridge.gateway.target_ends import CrashDetector
from caperridge.gateway.targets import Target
from caperridge.gateway.watcher import StoreReachability
from caperridge.measure.part_store import MAX_READ_S, ZONES, ModelStore, Network
from caperridge.measure.part_ways import Way
from caperridge.records import Record

SLOTS = 8
# Peers of other zones to which an instance of a large fleet connects.
CONTACTS = 2


class ModelTarget:
    """One target, in one life after the other.

    Attributes:
        listed: its present life as the platform lists it.
        zone: where it runs.
        up: whether it accepts connections.
        reserved: it runs an isolated request.
        fatal: fatal parts crash it.
        runs: that it works on.
    """

    def __init__(self, number: int) -> None:
        self.zone = number % ZONES
        self.up = True
        self.reserved = False
        self.fatal = True
        self.runs: dict[Any, None] = {}
        self._name = f"t-{number}"
        self._lives = 0
        self.listed = self._next_life()

    def start_again(self) -> None:
        """Accept connections as a new life."""
        self.up = True
        self.listed = self._next_life()

    def _next_life(self) -> Target:
        self._lives += 1
        id = f"{self._name}.{self._lives}"
        zone = f"zone-{self.zone}"
        return Target(id, "chat", id, zone, SLOTS, name=self._name)


class ModelMesh:
    """The mesh of one modelled instance.

    Attributes:
        instance: own id.
        zone: own availability zone.
        large: whether there are too many peers for a full mesh.
        handlers_by_kind: of received messages.
        first_message: sent to an instance that connects.
    """

    def __init__(self, fleet: "ModelFleet", instance: str, zone: int) -> None:
        self.instance = instance
        self.zone = zone
        self.large = len(fleet.instances) > MAX_FULL_MESH_PEERS
        self.handlers_by_kind: dict[type[Record], Callable[[str, Any], None]] = {}
        self.first_message: Callable[[], Record] | None = None
        self._fleet = fleet

    def register(self, kind: type[Record], handler: Callable[[str, Any], None]) -> None:
        """See :meth:`Mesh.register`."""
        self.handlers_by_kind[kind] = handler

    def send_on_connect(self, message: Callable[[], Record]) -> None:
        """See :meth:`Mesh.send_on_connect`."""
        self.first_message = message

    def alive(self) -> list["ModelInstance"]:
        """Return the other instances."""
        return [one for one in self._fleet.instances if one.mesh is not self]

    def send_all(self, message: Record) -> None:
        """See :meth:`Mesh.send_all`."""
        self._fleet.send_all(self, message)


class FleetView:
    """What the guard of a modelled instance sees of the targets.

    Attributes:
        rng: source of randomness.
        targets: itself.
        by_id: the listed targets.
    """

    def __init__(self, rng: random.Random, by_id: dict[str, Target]) -> None:
        self.rng = rng
        self.by_id = by_id

    @property
    def targets(self) -> "FleetView":
        """The listed targets."""
        return self

    def mark_crashed(self, target: Target) -> None:
        """Do nothing: callers find out by a refused connection."""


class ModelInstance:
    """One instance with the real guard.

    Attributes:
        id: of the instance.
        zone: where it runs.
        quarantine: the real quarantine, or a variant of it.
        guard: the real guard.
        mesh: sends to the others.
    """

    def __init__(self, fleet: "ModelFleet", number: int, way: Way) -> None:
        self.id = f"e-{number}"
        self.zone = number % ZONES
        quarantine: Any = way.quarantine()
        self.quarantine: Quarantine = quarantine
        self._fleet = fleet
        self._evaluate = quarantine.evaluate
        quarantine.evaluate = self._timed_evaluate
        self._parts = way.parts
        self._store = fleet.store
        view: Any = FleetView(random.Random(number), fleet.listed_by_id)
        mesh: Any = ModelMesh(fleet, self.id, self.zone)
        self.mesh: ModelMesh = mesh
        reach = StoreReachability()
        reach.record_success()
        clock = StoreClock()
        clock.update(asyncio.get_running_loop().time())
        store: Any = self
        rows = QuarantineTable(store, clock, reach, self.quarantine)
        detector = CrashDetector(view)
        detector.is_refused = fleet.is_refused
        self.guard = RequestGuard(
            self.quarantine, detector, rows, mesh, view, fleet.metrics
        )
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(rows.run()),
            loop.create_task(self.guard.run()),
        ]

    def _timed_evaluate(self, now: float) -> list[Suspect]:
        started_at = time.perf_counter()
        quarantined = self._evaluate(now)
        self._fleet.evaluation_s += time.perf_counter() - started_at
        return quarantined

    async def transact(self, transaction: Transaction) -> Any:
        """See :meth:`RowStore.transact`."""
        return await self._store.transact(transaction, self.zone)

    def read_rows(self, rows: list[StoredRow]) -> None:
        """Apply rows that the reader of the zone has read."""
        copy = self.guard.rows.copy
        self.guard.apply_rows([row for row in rows if copy.apply_row(row)], "store")

    def known(self, fingerprint: Fingerprint) -> Fingerprint:
        """Return the fingerprint that this way judges a request by."""
        if self._parts:
            return fingerprint
        return Fingerprint(fingerprint.content, fingerprint.caller)


class ModelFleet:
    """All instances and targets.

    Attributes:
        instances: that take requests.
        targets: that run them.
        listed_by_id: the present lives of the targets.
        store: the modelled store.
        metrics: of all instances together.
        messages: deliveries by kind.
        bytes_by_kind: delivered, by kind.
        far_bytes: sent between availability zones.
        crashes: of targets, whatever the cause.
        handling_s: real time that receivers took for the messages.
        evaluation_s: real time that evaluations took.
    """

    def __init__(self, instances: int, targets: int, way: Way, seed: int) -> None:
        self.network = Network(random.Random(seed))
        self.instances: list[ModelInstance] = []
        self.store = ModelStore(self.network, self._read_rows)
        self.metrics = GatewayMetrics()
        self.messages: Counter[str] = Counter()
        self.bytes_by_kind: Counter[str] = Counter()
        self.far_bytes = 0
        self.crashes = 0
        self.handling_s = 0.0
        self.evaluation_s = 0.0
        self.targets = [ModelTarget(number) for number in range(targets)]
        self.listed_by_id = {one.listed.id: one.listed for one in self.targets}
        self._way = way
        for number in range(instances):
            self.instances.append(ModelInstance(self, number, way))
        for instance in self.instances:
            instance.mesh.large = instances > MAX_FULL_MESH_PEERS

    def _read_rows(self, zone: int, rows: list[StoredRow]) -> None:
        for instance in self.instances:
            if instance.zone == zone:
                instance.read_rows(rows)

    async def is_refused(self, address: str) -> bool:
        """Whether the address of a life of a target refuses connections."""
        target = self.targets[int(address.partition(".")[0].removeprefix("t-"))]
        return not target.up or target.listed.address != address

    def relist(self, target: ModelTarget) -> None:
        """List the next life of a target."""
        self.listed_by_id.pop(target.listed.id, None)
        target.start_again()
        self.listed_by_id[target.listed.id] = target.listed

    def add_instance(self) -> ModelInstance:
        """Start one more instance; its peers send it what they know."""
        instance = ModelInstance(self, len(self.instances), self._way)
        rows = list(self.store.rows_by_key.values())
        loop = asyncio.get_running_loop()
        loop.call_later(MAX_READ_S, instance.read_rows, rows)
        for peer in self.instances:
            self._greet(peer, instance)
        self.instances.append(instance)
        return instance

    def reconnect(self, zone: int) -> None:
        """Have the instances of a zone and their peers of others connect again."""
        near = [one for one in self.instances if one.zone == zone]
        far = [one for one in self.instances if one.zone != zone]
        for number, one in enumerate(near):
            first = CONTACTS * number if one.mesh.large else 0
            count = CONTACTS if one.mesh.large else len(far)
            for peer in (far * 2)[first : first + count]:
                self._greet(one, peer)
                self._greet(peer, one)

    def _greet(self, sender: ModelInstance, receiver: ModelInstance) -> None:
        """Send the first message of a new connection."""
        if sender.mesh.first_message is None:
            return
        message = sender.mesh.first_message()
        self._count(message, 1)
        handler = receiver.mesh.handlers_by_kind[type(message)]
        delay_s = self.network.delay_s(sender.zone, receiver.zone)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, handler, sender.id, message)

    def send_all(self, sender: ModelMesh, message: Record) -> None:
        """Deliver a message to all instances that can be reached."""
        size = self._count(message, len(self.instances) - 1)
        loop = asyncio.get_running_loop()
        for zone in range(ZONES):
            if zone != sender.zone:
                # A contact relays it in its zone if the fleet is large.
                copies = 1 if sender.large else len(self.instances) // ZONES
                self.far_bytes += size * copies
            if self.network.is_reachable(sender.zone, zone):
                delay_s = self.network.delay_s(sender.zone, zone)
                loop.call_later(delay_s, self._deliver, sender, zone, message)

    def _deliver(self, sender: ModelMesh, zone: int, message: Record) -> None:
        started_at = time.perf_counter()
        for instance in self.instances:
            if instance.zone == zone and instance.mesh is not sender:
                handler = instance.mesh.handlers_by_kind[type(message)]
                handler(sender.instance, message)
        self.handling_s += time.perf_counter() - started_at

    def _count(self, message: Record, receivers: int) -> int:
        """Count a message; return its size in bytes."""
        kind = type(message).__name__
        size = len(encode(message))
        self.messages[kind] += receivers
        self.bytes_by_kind[kind] += size * receivers
        return size
