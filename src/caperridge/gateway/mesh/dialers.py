"""Connection management: one outgoing stream to each peer this instance sends to."""

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

REDIAL_DELAY_S = 0.3
# A stream may be dead though a device on the way acknowledges what is sent. One older
# than this is reconnected while its peer is silent or reports receiving nothing. It is
# twice the silence after which a near peer is lost: a stalled peer gets a connection
# from each other peer this often.
RECONNECT_AFTER_S = 3.0
# Members are learnt in bursts: the whole list, or all peers after all were lost.
RECONCILE_DELAY_S = 0.05
# A contact that cannot be reached is replaced for this long.
AVOID_CONTACT_S = 2.0
# How long a stream leads to an instance that knows few members yet.
TEMPORARY_STREAM_S = 3.0


class Dialers:
    """The outgoing streams of this instance.

    Attributes:
        streams_by_address: all maintained ones, connected or not.
        contacts_by_zone: contacts in other zones, the best first.

    Args:
        roster: of members.
        address: own, never dialed.
        seeds: addresses that are dialed while the mesh is small or no member is alive.
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
        self._temporary_until_by_address: dict[str, float] = {}
        self._reconcile_timer: asyncio.TimerHandle | None = None
        self._reconciled_changes = -1
        # When a temporary stream or the avoidance of a contact ends.
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
        """Reconcile the streams with the members; after a delay if there are many."""
        if not self._roster.large:
            self.reconcile()
        elif self._reconcile_timer is None:
            loop = asyncio.get_running_loop()
            self._reconcile_timer = loop.call_later(RECONCILE_DELAY_S, self.reconcile)

    def dial_temporarily(self, address: str) -> None:
        """Connect for a while to an instance that knows few members."""
        now = asyncio.get_running_loop().time()
        self._temporary_until_by_address[address] = now + TEMPORARY_STREAM_S
        self._due_at = min(self._due_at, now + TEMPORARY_STREAM_S)
        self._dial(address)

    def is_temporary(self, address: str) -> bool:
        """Whether ``dial_temporarily`` still keeps a stream to an address."""
        return address in self._temporary_until_by_address

    def reconcile_if_due(self) -> None:
        """Reconcile if members or contacts changed since the last time."""
        now = asyncio.get_running_loop().time()
        if self._reconciled_changes != self._roster.changes or now >= self._due_at:
            self.reconcile()

    def reconcile(self) -> None:
        """Open the streams that are desired and close all others."""
        if self._reconcile_timer is not None:
            self._reconcile_timer.cancel()
            self._reconcile_timer = None
        self._reconciled_changes = self._roster.changes
        desired = self._desired_addresses()
        for address in list(self._tasks_by_address):
            if address not in desired:
                self._close(address)
        for address in desired:
            self._dial(address)

    def reconnect_if_old(self, member: Member) -> None:
        """Close the stream to a member if it is old, so that it is reconnected."""
        stream = self.stream_to(member)
        if stream is None:
            return
        if asyncio.get_running_loop().time() - stream.opened_at > RECONNECT_AFTER_S:
            log.info("reconnecting stream", peer=member.id)
            stream.close()

    def _desired_addresses(self) -> dict[str, None]:
        """Return the addresses that should have a stream."""
        now = asyncio.get_running_loop().time()
        roster = self._roster
        far = roster.far()
        self.contacts_by_zone = choose_contacts(far, now)
        avoided = (one.avoid_until for one in far if one.avoid_until > now)
        self._due_at = min(avoided, default=math.inf)
        desired = dict.fromkeys(member.address for member in roster.near())
        for contacts in self.contacts_by_zone.values():
            desired.update(dict.fromkeys(member.address for member in contacts))
        if not roster.large or not roster.alive():
            desired.update(dict.fromkeys(self._seeds))
        for address, until in list(self._temporary_until_by_address.items()):
            if until <= now:
                del self._temporary_until_by_address[address]
                continue
            self._due_at = min(self._due_at, until)
            desired[address] = None
        return desired

    def _dial(self, address: str) -> None:
        if address == self._address or address in self._tasks_by_address:
            return
        stream = OutStream(address, lambda: self._first_message(stream))
        self.streams_by_address[address] = stream
        task = asyncio.get_running_loop().create_task(self._maintain(stream))
        self._tasks_by_address[address] = task

    def _first_message(self, stream: OutStream) -> Hello:
        asyncio.get_running_loop().call_soon(self._connected, stream)
        return self._hello(stream.address)

    def _close(self, address: str) -> None:
        self.streams_by_address.pop(address, None)
        task = self._tasks_by_address.pop(address, None)
        if task is not None:
            task.cancel()

    async def _maintain(self, stream: OutStream) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            try:
                await stream.run_once()
            except (OSError, TimeoutError):
                self._dial_failed(stream.address)
            except Exception:
                # Nothing else would dial this peer again.
                log.exception("connecting to a peer failed", address=stream.address)
            if loop.time() - started_at < RECONNECT_AFTER_S:
                await asyncio.sleep(REDIAL_DELAY_S)

    def _dial_failed(self, address: str) -> None:
        """Avoid a contact for a while if this was its address."""
        now = asyncio.get_running_loop().time()
        for contacts in self.contacts_by_zone.values():
            for member in contacts:
                if member.address == address:
                    member.avoid_until = now + AVOID_CONTACT_S
                    self.members_changed()
