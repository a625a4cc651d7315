"""Simulation of orderers and targets in memory, with pauses and late orders."""

import asyncio
from typing import Any

from result import Err, Ok, Result

from caperridge import keys
from caperridge.config.model import Adapter, Configuration, Model, Service
from caperridge.decisions.membership import Membership
from caperridge.decisions.reconcile import Loaded, Observed
from caperridge.instance.messages import (
    ConfigurationApplied,
    LoadedHeard,
    MembersListed,
)
from caperridge.instance.orderer import Orderer
from caperridge.instance.session import SessionKeeper
from caperridge.peers.interface import NoPeers
from caperridge.records import Record
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember, NotDone
from caperridge.targets.orders import OldFence, OrderClient, TargetAway

LEASE_S = 10.0
ZONE = "oviedo"
GB = 10.0


def declared(version: str = "1", checks: bool = True, batch: int = 0) -> Configuration:
    """Return a configuration with one service of one model, at a version."""
    service = Service(
        "chat",
        model="north",
        version=version,
        adapters=["billing"],
        checks_fencing=checks,
        batch_runners=batch,
    )
    model = Model("north", {"1": GB, "2": GB, "3": GB})
    return Configuration(
        int(version),
        {"chat": service},
        {"north": model},
        {"billing": Adapter("billing", "north", 0.5)},
    )


class Target:
    """A runner whose loads take one second of the fake clock per GB."""

    def __init__(self, world: "World", checks: bool) -> None:
        self.world = world
        self.checks = checks
        self.fence = 0
        self.desired: Loaded | None = None
        self.loaded = Loaded("north", "1", ["billing"])
        self.busy_until = 0.0
        self.running = 0
        self.cut = 0
        self.orders: list[tuple[int, str]] = []

    def accept_order(self, sender: str, fence: int, desired: Loaded, gb: float) -> bool:
        if fence < self.fence and self.checks:
            return False
        self.observe()
        self.fence = max(fence, self.fence)
        self.orders.append((fence, sender))
        if desired.version != self.loaded.version:
            self.cut += self.running
        self.desired = desired
        self.busy_until = self.world.now + gb
        return True

    def observe(self) -> Observed:
        loading = self.world.now < self.busy_until
        if not loading and self.desired is not None:
            self.loaded = self.desired
        return Observed(self.loaded, self.desired, self.fence, loading)

    @property
    def serves(self) -> bool:
        if self.observe().loading or not self.loaded.model:
            return False
        return self.loaded.role != "batch"


class Client(OrderClient):
    """Calls targets without latency; can delay orders until :meth:`World.arrive`."""

    def __init__(self, world: "World", name: str) -> None:
        super().__init__()
        self._world = world
        self._name = name
        self.delays = False
        self.away = False

    async def observe(self, address: str) -> Result[Observed, TargetAway]:
        if self.away:
            return Err(TargetAway("cut off"))
        return Ok(self._world.targets_by_id[address].observe())

    async def running(self, address: str) -> Result[int, TargetAway]:
        return Ok(self._world.targets_by_id[address].running)

    async def order(
        self, address: str, fence: int, desired: Loaded, gb: float
    ) -> Result[None, TargetAway | OldFence]:
        self._world.check_order(self._name, address, fence)
        self._world.check_last_runner(address, desired)
        target = self._world.targets_by_id[address]
        if self.delays:
            self._world.late.append((target, self._name, fence, desired, gb))
            return Err(TargetAway("no answer in time"))
        if target.accept_order(self._name, fence, desired, gb):
            return Ok(None)
        return Err(OldFence(target.fence))


class Bus(NoPeers):
    """Delivers messages to every member that is not paused."""

    def __init__(self, world: "World", name: str) -> None:
        self._world = world
        self._name = name

    def send_all(self, message: Record) -> int:
        for member in self._world.members_by_name.values():
            if member.name != self._name and not member.paused:
                member.orderer.tell(LoadedHeard(message))
        return 0


class Member:
    """One instance with its session and its orderer."""

    def __init__(self, world: "World", name: str) -> None:
        self.name = name
        self.paused = False
        self.alone = False  # sees no other instance, and so owns every target
        self.client = Client(world, name)
        self.session = SessionKeeper(world.memory, name, LEASE_S, world.clock)
        self.membership = Membership(name, ZONE)
        self.renewed = float("-inf")
        self.orderer = Orderer(
            world.memory,
            self.session,
            self.membership,
            self.client,
            world.clock,
            LEASE_S,
            world.clock,
        )
        self.orderer.hold_s = 0.5
        self.orderer.peers = Bus(world, name)

    async def run(self, now: float) -> None:
        if now >= self.renewed + LEASE_S / 3:
            self.renewed = now
            await self.session.idle()
        while not self.orderer._mailbox.empty():
            await self.orderer.handle(self.orderer._mailbox.get_nowait())
        await self.orderer.idle()


class YieldingPlatform(MemoryPlatform):
    """Yields to the loop before each call, so that calls of instances interleave."""

    async def _admit(self, *args: Any) -> NotDone | None:
        await asyncio.sleep(0)
        return await super()._admit(*args)


class World:
    """Instances of one availability zone, their targets, the platform and the clock."""

    def __init__(
        self, targets: int = 2, checks: bool = True, empty: bool = False
    ) -> None:
        self.now = 100.0
        self.memory = YieldingPlatform(self.clock)
        self.checks = checks
        self.members_by_name: dict[str, Member] = {}
        self.targets_by_id = {f"r{n}": Target(self, checks) for n in range(targets)}
        for target in self.targets_by_id.values():
            target.loaded = Loaded() if empty else target.loaded
        self.late: list[Any] = []
        self.holders_by_fence: dict[tuple[str, int], str] = {}
        self.last_by_target: dict[str, str] = {}
        self.released: set[str] = set()
        self.wanted = declared(checks=checks)
        self.started = 0
        self.min_serving = targets

    def clock(self) -> float:
        return self.now

    def start(self) -> Member:
        self.started += 1
        member = Member(self, f"entry-{self.started}")
        self.members_by_name[member.name] = member
        return member

    def listed(self, seen_by: "Member") -> list[ListedMember]:
        listed = [
            ListedMember(name, "instance", "-", ZONE)
            for name, member in self.members_by_name.items()
            if not member.paused and not (seen_by.alone and member is not seen_by)
        ]
        listed += [
            ListedMember(name, "target", name, ZONE, service="chat")
            for name in self.targets_by_id
        ]
        return listed

    async def spread(self) -> None:
        """Give the list and the configuration to all members that are not paused."""
        for member in self.members_by_name.values():
            if member.paused:
                continue
            listed = self.listed(member)
            member.membership.apply_list(listed)
            await member.orderer.handle(MembersListed(listed))
            await member.orderer.handle(ConfigurationApplied(self.wanted))

    async def run(self, seconds: float, step_s: float = 0.5) -> None:
        await self.spread()
        for _ in range(int(seconds / step_s)):
            self.now += step_s
            running = [m for m in self.members_by_name.values() if not m.paused]
            await asyncio.gather(*(member.run(self.now) for member in running))
            serving = sum(target.serves for target in self.targets_by_id.values())
            self.min_serving = min(self.min_serving, serving)

    def arrive(self) -> None:
        """Deliver the delayed orders."""
        for target, sender, fence, desired, gb in self.late:
            target.accept_order(sender, fence, desired, gb)
        self.late.clear()

    def check_order(self, sender: str, target: str, fence: int) -> None:
        """Check that the sender of an order is the only one entitled to send it."""
        member = self.members_by_name[sender]
        assert member.session.left_s() > member.client.deadline_s
        session = f"{sender}:{member.session.session_id}"
        key = (target, fence)
        assert self.holders_by_fence.setdefault(key, session) == session
        former = self.last_by_target.get(target)
        self.last_by_target[target] = sender
        if former in (None, sender) or former not in self.members_by_name:
            return
        if self.checks or target in self._released_by(former):
            return
        left_s = self.members_by_name[former].session.left_s()
        assert left_s <= 0, "the former holder may still order"

    def check_last_runner(self, target_id: str, desired: Loaded) -> None:
        """Check that another runner serves when an order takes one out of service."""
        target = self.targets_by_id[target_id]
        stays = desired.version == target.loaded.version and desired.role != "batch"
        if stays or not target.serves or not self.checks:
            return
        others = [t for name, t in self.targets_by_id.items() if name != target_id]
        assert any(other.serves for other in others), "the last runner is taken away"

    def _released_by(self, former: str) -> set[str]:
        """Return the targets whose lease ``former`` no longer believes it holds."""
        orderer = self.members_by_name[former].orderer
        session = orderer._session.session_id
        return {
            target
            for target in self.targets_by_id
            if target not in orderer._ordered_by_id
            or not orderer._ordered_by_id[target].lease.held_by(session)
        }

    def end_session(self, member: Member) -> None:
        """End a session while its holder still relies on it."""
        row = self.memory.rows_by_key.get(keys.session(member.session.session_id))
        if row is not None:
            value = row.value | {"state": "closed"}
            self.memory.rows_by_key[row.key] = row.replace(
                value=value, version=row.version + 1
            )
