"""Simulation of configuration keepers on one platform, with faults and a fake clock."""

from collections import deque
from typing import Any

from result import Err, Ok

from caperridge.commands.confirm_intent import (
    Confirmed,
    ConfirmError,
    Intent,
    confirm_intent,
)
from caperridge.config.model import Caller, Configuration
from caperridge.decisions.membership import Membership
from caperridge.decisions.plans import make_plan
from caperridge.instance.configuration import ConfigurationKeeper
from caperridge.instance.messages import (
    ConfigurationAsked,
    ConfigurationConfirmed,
    ConfigurationHeard,
)
from caperridge.peers.interface import NoPeers
from caperridge.peers.messages import ConfigurationAsk
from caperridge.records import Record
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember, NotDone, Unknown

TOKEN = "0" * 64


def with_callers(*names: str, share: float = 1.0) -> Configuration:
    """Return a configuration with these callers."""
    callers = {n: Caller(n, TOKEN[: -len(n)] + n, share=share) for n in names}
    return Configuration(callers_by_name=callers)


class ZonePlatform:
    """The platform as one instance sees it.

    Attributes:
        cut: whether every call fails.
        stale_rows: rows that every read returns instead of the current ones.
        loses: names of calls that take effect and whose answer is lost.
    """

    def __init__(self, memory: MemoryPlatform) -> None:
        self.memory = memory
        self.cut = False
        self.stale_rows: dict[str, Any] | None = None
        self.loses: set[str] = set()

    def __getattr__(self, name: str) -> Any:
        async def call(*args: Any, **kwargs: Any) -> Any:
            if self.cut:
                return Err(NotDone("cut off"))
            if name == "read" and self.stale_rows is not None:
                rows = self.stale_rows
                return Ok({key: rows[key] for key in args[0] if key in rows})
            answer = await getattr(self.memory, name)(*args, **kwargs)
            return Err(Unknown("lost")) if name in self.loses else answer

        return call


class Member:
    """One instance with its configuration keeper."""

    def __init__(self, world: "World", name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.paused = False
        self.versions = [0]
        self.inbox: deque[Any] = deque()
        self.platform = ZonePlatform(world.memory)
        self.membership = Membership(name, zone)
        self.keeper = ConfigurationKeeper(
            self.platform,
            lambda applied: self.versions.append(applied.configuration.version),
            self.membership,
            Bus(world, self),
            world.clock,
        )

    @property
    def version(self) -> int:
        return self.keeper.current.version

    async def run(self) -> None:
        """Handle the received messages, then poll if a poll is due."""
        while self.inbox:
            await self.keeper.handle(self.inbox.popleft())
        await self.keeper.idle()
        if self.keeper._poll is not None:
            await self.keeper._poll
        while not self.keeper._mailbox.empty():
            await self.keeper.handle(self.keeper._mailbox.get_nowait())


class Bus(NoPeers):
    """Delivers messages between members that are not cut off from each other."""

    def __init__(self, world: "World", own: Member) -> None:
        self._world = world
        self._own = own

    def send(self, instance: str, message: Record) -> bool:
        to = self._world.members_by_name.get(instance)
        if to is None or not self._world.reach(self._own, to):
            return False
        if isinstance(message, ConfigurationAsk):
            to.inbox.append(ConfigurationAsked(self._own.name, message.version))
        else:
            to.inbox.append(ConfigurationHeard(self._own.name, message))
        return True

    def connected(self) -> list[str]:
        others = self._world.members_by_name.values()
        return [m.name for m in others if self._world.reach(self._own, m)]

    def send_zone(self, message: Record) -> int:
        return self._send_to(message, self._own.zone)

    def send_all(self, message: Record) -> int:
        return self._send_to(message, None)

    def _send_to(self, message: Record, zone: str | None) -> int:
        others = [m for m in self._world.members_by_name.values() if m is not self._own]
        receivers = [m for m in others if zone is None or m.zone == zone]
        return sum(self.send(member.name, message) for member in receivers)


class World:
    """The instances, the platform and the clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.memory = MemoryPlatform(self.clock)
        self.members_by_name: dict[str, Member] = {}
        self.cut_zones: set[str] = set()
        self.links: set[frozenset[str]] | None = None  # across zones; None for all
        self.started = 0

    def clock(self) -> float:
        return self.now

    def reach(self, one: Member, other: Member) -> bool:
        if one.zone == other.zone:
            return True
        if {one.zone, other.zone} & self.cut_zones:
            return False
        return self.links is None or frozenset((one.name, other.name)) in self.links

    def start(self, zone: str) -> Member:
        self.started += 1
        member = Member(self, f"entry-{self.started}", zone)
        self.members_by_name[member.name] = member
        self._list()
        return member

    def stop(self, member: Member) -> None:
        del self.members_by_name[member.name]
        self._list()

    def _list(self) -> None:
        listed = [
            ListedMember(m.name, "instance", "-", m.zone)
            for m in self.members_by_name.values()
        ]
        for member in self.members_by_name.values():
            member.membership.apply_list(listed)

    async def run(self, rounds: int = 1, step_s: float = 0.5) -> None:
        for _ in range(rounds):
            self.now += step_s
            for member in list(self.members_by_name.values()):
                if not member.paused:
                    await member.run()

    async def confirm(
        self, member: Member, wanted: Configuration, digest: str = ""
    ) -> Ok[Confirmed] | Err[ConfirmError]:
        """Confirm a plan; without a digest, plan against what the member knows."""
        current = member.keeper.current
        digest = digest or make_plan(current, wanted).digest
        intent = Intent(wanted, digest, "ana")
        outcome = await confirm_intent(member.platform, intent, current)
        if isinstance(outcome, Ok) and not outcome.ok_value.already:
            confirmed = outcome.ok_value
            message = ConfigurationConfirmed(confirmed.configuration, confirmed.delta)
            await member.keeper.handle(message)
        return outcome
