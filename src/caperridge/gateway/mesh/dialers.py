"""Keeping a stream open to each peer that this instance speaks to."""

import asyncio
import math
from collections.abc import Callable

from caperridge.gateway.mesh.contacts import choose_contacts
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.messages import Hello
from caperridge.gateway.mesh.roster import Roster
from caperridge.gateway.mesh.streams import OutStream
from caperridge.log import logger

log = logger(__name__)

REDIAL_S = 0.3
# A stream may be silent though what is sent into it is acknowledged on its way, so one
# that is older is opened anew while its peer is silent, or says that it hears nothing.
# Twice the silence after which a near peer is lost: one that stands still gets a
# connection from each peer so often.
RENEW_S = 3.0
# Members are learnt in bursts: the whole list, or all peers after a loss of all.
RECONCILE_AFTER_S = 0.05
# A contact that cannot be reached is replaced for so long.
AVOID_CONTACT_S = 2.0
# How long a stream leads to an instance that knows nobody yet.
TEMPORARY_STREAM_S = 3.0


class Dialers:
    """The streams of this instance to its peers.

    Attributes:
        streams_by_address: all that are kept, connected or not.
        contacts_by_zone: peers that stand for those of other zones, the best first.

    Args:
        roster: of members.
        address: own, never dialed.
        seeds: addresses that are dialed while nobody is heard from.
        hello: returns the first message of a connection to an address.
        connected: called with each stream that was connected.
    """

    def __init__(
        self,
        roster: Roster,
        address: str,
        seeds: list[str],
        hello: Callable[[str], Hello],
        connected: Callable[[OutStream], None],
    ) -> None:
        self.streams_by_address: dict[str, OutStream] = {}
        self.contacts_by_zone: dict[str, list[Member]] = {}
        self._roster = roster
        self._address = address
        self._seeds = [seed for seed in seeds if seed != address]
        self._hello = hello
        self._connected = connected
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}
        self._guests_until_by_address: dict[str, float] = {}
        self._reconcile_timer: asyncio.TimerHandle | None = None
        self._reconciled_changes = -1
        # When a guest or an avoided contact is due for another look.
        self._due_at = math.inf

    def start(self) -> None:
        """Dial the seeds."""
        for seed in self._seeds:
            self._dial(seed)

    async def stop(self) -> None:
        """Close all streams."""
        if self._reconcile_timer is not None:
            self._reconcile_timer.cancel()
        tasks = list(self._tasks_by_address.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stream_to(self, member: Member) -> OutStream | None:
        """Return the connected stream to a member, if there is one."""
        stream = self.streams_by_address.get(member.address)
        return stream if stream is not None and stream.connected else None

    def members_changed(self) -> None:
        """Open and close streams as the members ask; soon if there are many."""
        if not self._roster.large:
            self.reconcile()
        elif self._reconcile_timer is None:
            loop = asyncio.get_running_loop()
            self._reconcile_timer = loop.call_later(RECONCILE_AFTER_S, self.reconcile)

    def greet(self, address: str) -> None:
        """Lead a stream for a while to an instance that knows few members."""
        now = asyncio.get_running_loop().time()
        self._guests_until_by_address[address] = now + TEMPORARY_STREAM_S
        self._due_at = min(self._due_at, now + TEMPORARY_STREAM_S)
        self._dial(address)

    def is_guest(self, address: str) -> bool:
        """Whether a stream leads to an address only until its instance knows others."""
        return address in self._guests_until_by_address

    def reconcile_if_due(self) -> None:
        """Reconcile if members or what is known of contacts changed since the last."""
        now = asyncio.get_running_loop().time()
        if self._reconciled_changes != self._roster.changes or now >= self._due_at:
            self.reconcile()

    def reconcile(self) -> None:
        """Open the streams that are wanted, and close all others."""
        if self._reconcile_timer is not None:
            self._reconcile_timer.cancel()
            self._reconcile_timer = None
        self._reconciled_changes = self._roster.changes
        wanted = self._wanted()
        for address in list(self._tasks_by_address):
            if address not in wanted:
                self._hang_up(address)
        for address in wanted:
            self._dial(address)

    def renew(self, member: Member) -> None:
        """End the stream to a member, for another to be opened, if it is not new."""
        stream = self.stream_to(member)
        if stream is None:
            return
        if asyncio.get_running_loop().time() - stream.opened_at > RENEW_S:
            log.info("stream opened anew", peer=member.id)
            stream.end()

    def _wanted(self) -> dict[str, None]:
        """Return the addresses that streams shall lead to."""
        now = asyncio.get_running_loop().time()
        roster = self._roster
        far = roster.far()
        self.contacts_by_zone = choose_contacts(far, now)
        avoided = (one.avoid_until for one in far if one.avoid_until > now)
        self._due_at = min(avoided, default=math.inf)
        wanted = dict.fromkeys(member.address for member in roster.near())
        for contacts in self.contacts_by_zone.values():
            wanted.update(dict.fromkeys(member.address for member in contacts))
        if not roster.large or not roster.alive():
            wanted.update(dict.fromkeys(self._seeds))
        for address, until in list(self._guests_until_by_address.items()):
            if until <= now:
                del self._guests_until_by_address[address]
                continue
            self._due_at = min(self._due_at, until)
            wanted[address] = None
        return wanted

    def _dial(self, address: str) -> None:
        if address == self._address or address in self._tasks_by_address:
            return
        stream = OutStream(address, lambda: self._greeting(stream))
        self.streams_by_address[address] = stream
        task = asyncio.get_running_loop().create_task(self._keep(stream))
        self._tasks_by_address[address] = task

    def _greeting(self, stream: OutStream) -> Hello:
        asyncio.get_running_loop().call_soon(self._connected, stream)
        return self._hello(stream.address)

    def _hang_up(self, address: str) -> None:
        self.streams_by_address.pop(address, None)
        task = self._tasks_by_address.pop(address, None)
        if task is not None:
            task.cancel()

    async def _keep(self, stream: OutStream) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            try:
                await stream.run_once()
            except (OSError, TimeoutError):
                self._not_reached(stream.address)
            if loop.time() - began < RENEW_S:
                await asyncio.sleep(REDIAL_S)

    def _not_reached(self, address: str) -> None:
        """Have another contact chosen if this was the address of one."""
        now = asyncio.get_running_loop().time()
        for contacts in self.contacts_by_zone.values():
            for member in contacts:
                if member.address == address:
                    member.avoid_until = now + AVOID_CONTACT_S
                    self.members_changed()
