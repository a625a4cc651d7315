"""Where the origin of a stream is kept, compared by cost and by what losses leave.

Instances are modelled without processes: each runs the real registry of origins, and
messages between them arrive in the next iteration of the event loop.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from caperridge.decisions.stream_origins import StreamOrigin
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.origin_messages import StreamsBegan
from caperridge.gateway.mesh.streams import encode
from caperridge.gateway.routes import STREAMING, Route, Share
from caperridge.gateway.stream_origins import Replicas, StreamOrigins
from caperridge.measure.options import Options
from caperridge.records import Record

ZONES = 3
FLEETS = (9, 60, 300)
STREAMS = 600
ROUTE = Route("ask", "h", "/", STREAMING, [Share("chat", 1.0)], 5.0, resumable=True)
ORIGIN = StreamOrigin("chat", "v1")
# Of all instances, or every one of the first availability zone.
LOSSES = {"one": 0.0, "a third": 0.34, "six tenths": 0.6, "a zone": -1.0}

Choose = Callable[[StreamOrigins, int], Replicas]


class ModelMesh:
    """The mesh of one modelled instance.

    Attributes:
        instance: own id.
        zone: own availability zone.
        changes: rises when members are lost.
    """

    def __init__(self, fleet: "ModelFleet", instance: str, zone: str) -> None:
        self.instance = instance
        self.zone = zone
        self.changes = 0
        self.handlers: dict[type[Record], Callable[[str, Any], None]] = {}
        self._fleet = fleet

    def register(self, kind: type[Record], handler: Callable[[str, Any], None]) -> None:
        """See :meth:`Mesh.register`."""
        self.handlers[kind] = handler

    def alive(self) -> list[Member]:
        """See :meth:`Mesh.alive`."""
        return [one for one in self._fleet.alive if one.id != self.instance]

    def send(self, instance: str, message: Record) -> bool:
        """See :meth:`Mesh.send`."""
        return self._fleet.deliver(self, instance, message)


class UnreadList:
    """A list of targets that is never read, as no stream is inferred."""

    read_version = -1


class ModelFleet:
    """Instances in availability zones, and what they send.

    Attributes:
        alive: the instances that are not lost.
        messages: how many were sent, by kind.
        far_bytes: sent between availability zones.
    """

    def __init__(self, instances: int, choose: Choose) -> None:
        self.alive: list[Member] = []
        self.messages: Counter[type[Record]] = Counter()
        self.far_bytes = 0
        self.origins_by_id: dict[str, StreamOrigins] = {}
        self._meshes_by_id: dict[str, ModelMesh] = {}
        for number in range(instances):
            member = Member(f"e-{number}", "", f"zone-{number % ZONES}", 0.0)
            mesh: Any = ModelMesh(self, member.id, member.zone)
            fleet = Fleet(member.id, member.zone, random.Random(number))
            target_list: Any = UnreadList()
            origins = StreamOrigins(mesh, fleet, target_list)
            origins._compute_replicas = lambda bucket, one=origins: choose(one, bucket)
            self.alive.append(member)
            self._meshes_by_id[member.id] = mesh
            self.origins_by_id[member.id] = origins

    def deliver(self, sender: ModelMesh, instance: str, message: Record) -> bool:
        """Send a message; one to a lost instance has no effect."""
        self.messages[type(message)] += 1
        mesh = self._meshes_by_id[instance]
        if mesh.zone != sender.zone:
            self.far_bytes += len(encode(message))
        if any(one.id == instance for one in self.alive):
            loop = asyncio.get_running_loop()
            handler = mesh.handlers[type(message)]
            loop.call_soon(handler, sender.instance, message)
        return True

    def lose(self, lost: set[str]) -> None:
        """Lose instances; the others notice."""
        self.alive = [one for one in self.alive if one.id not in lost]
        for mesh in self._meshes_by_id.values():
            mesh.changes += 1


def rendezvous(origins: StreamOrigins, bucket: int) -> Replicas:
    """Choose as instances do."""
    return StreamOrigins._compute_replicas(origins, bucket)


def beginner_only(origins: StreamOrigins, bucket: int) -> Replicas:
    """Keep origins where streams began, and ask everybody."""
    return Replicas([], [one.id for one in origins._mesh.alive()])


def own_zone(origins: StreamOrigins, bucket: int) -> Replicas:
    """Send origins to the whole availability zone."""
    near = [one.id for one in origins._mesh.alive() if one.zone == origins._mesh.zone]
    return Replicas(near, near[:1])


def everybody(origins: StreamOrigins, bucket: int) -> Replicas:
    """Send origins to all instances."""
    return Replicas([one.id for one in origins._mesh.alive()], [])


ARMS_BY_NAME: dict[str, Choose] = {
    "the beginner only": beginner_only,
    "own zone": own_zone,
    "everybody": everybody,
    "rendezvous": rendezvous,
}


async def run(options: Options) -> dict[str, Any]:
    """Play each arm, fleet and loss."""
    figures: dict[str, Any] = {}
    for instances in FLEETS:
        rows = figures.setdefault(f"{instances} instances", {})
        for name, choose in ARMS_BY_NAME.items():
            rows[name] = await _costs(instances, choose, options.seed)
            rows[name]["found_ratio_after_loss_of"] = {
                loss: await _found_ratio(instances, choose, share, options.seed)
                for loss, share in LOSSES.items()
            }
    return figures


async def _costs(instances: int, choose: Choose, seed: int) -> dict[str, float]:
    """Return what a stream costs, and one that is taken up elsewhere."""
    fleet = ModelFleet(instances, choose)
    took_s = await _begin(fleet, random.Random(seed))
    began = fleet.messages[StreamsBegan]
    far_bytes = fleet.far_bytes
    fleet.messages.clear()
    chance = random.Random(seed + 1)
    for number in range(STREAMS):
        origins = fleet.origins_by_id[chance.choice(fleet.alive).id]
        await origins.find(f"stream-{number}", ROUTE)
    return {
        "messages_per_stream": round(began / STREAMS, 2),
        "far_bytes_per_stream": round(far_bytes / STREAMS, 1),
        "us_per_stream": round(took_s / STREAMS * 1e6, 1),
        "messages_per_take_up": round(fleet.messages.total() / STREAMS, 2),
    }


async def _begin(fleet: ModelFleet, chance: random.Random) -> float:
    """Have streams begin; return the time that recording them took, in seconds."""
    started_at = time.perf_counter()
    for number in range(STREAMS):
        origins = fleet.origins_by_id[chance.choice(fleet.alive).id]
        origins.record(f"stream-{number}", ORIGIN, ROUTE)
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    return time.perf_counter() - started_at


async def _found_ratio(
    instances: int, choose: Choose, lost_share: float, seed: int
) -> float:
    """Return the share of the lost instances' streams whose origin is found.

    Callers come back to an instance of their availability zone if one is left.
    """
    fleet = ModelFleet(instances, choose)
    chance = random.Random(seed)
    members = list(fleet.alive)
    lost = _lost(members, lost_share, chance)
    zone_of_stream: dict[str, str] = {}
    for number in range(STREAMS):
        member = chance.choice(members)
        stream = f"stream-{number}"
        fleet.origins_by_id[member.id].record(stream, ORIGIN, ROUTE)
        if member.id in lost:
            zone_of_stream[stream] = member.zone
    for _ in range(2):
        await asyncio.sleep(0)
    fleet.lose(lost)
    found = 0
    for stream, zone in zone_of_stream.items():
        near = [one for one in fleet.alive if one.zone == zone]
        instance = chance.choice(near or fleet.alive).id
        origin = await fleet.origins_by_id[instance].find(stream, ROUTE)
        found += origin == ORIGIN
    return round(found / len(zone_of_stream), 3)


def _lost(members: list[Member], share: float, chance: random.Random) -> set[str]:
    if share < 0:
        return {one.id for one in members if one.zone == members[0].zone}
    count = max(1, round(len(members) * share))
    return {one.id for one in chance.sample(members, count)}
