"""Membership and messaging among instances: gossip with timeout failure detection.

Owns the member roster, the streams to and from peers, and the dispatch of messages.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

from caperridge.door import listen
from caperridge.gateway.fields import is_address
from caperridge.gateway.mesh.dialers import Dialers
from caperridge.gateway.mesh.inbox import Inbox
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.messages import Hello
from caperridge.gateway.mesh.paced_reading import PacedReader
from caperridge.gateway.mesh.relay import ANY_PROCESS, ZoneRelay
from caperridge.gateway.mesh.relay_messages import Recipient
from caperridge.gateway.mesh.roster import Roster
from caperridge.gateway.mesh.streams import InStream, OutStream, encode
from caperridge.gateway.mesh.traffic import FAR, NEAR, PeerTraffic
from caperridge.listening.guard import ConnectionGuard
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# A near peer gets a liveness message every 0.6 s if it gets nothing else, so messages
# are at most 0.7 s apart; two in a row are lost only if something is wrong.
SILENCE_TIMEOUT_S = 1.5
# A peer that was sent something this recently needs no liveness message.
RECENTLY_SENT_S = 0.1
# Heartbeats of far peers come through contacts: each relays with its own heartbeat
# what it received, and the sender alternates between two contacts. Two in a row are
# lost within 2.4 s.
FAR_SILENCE_TIMEOUT_S = 3.0
# Near peers that an update is forwarded to when there are many: about three receive it
# from each instance that read it from the store.
GOSSIP_FANOUT = 5
# A member that is neither listed nor received from for this long is removed. With many
# members the list is read twice a minute.
EXPIRY_S = 90.0
# An instance that knows fewer has just started, and gets the whole roster.
MIN_KNOWN_MEMBERS = 8
BACKLOG = 256

Handler = Callable[[str, Any], None]


class Mesh:
    """Sends messages to peers, receives theirs and detects lost ones.

    Args:
        instance: own id.
        incarnation: of this process.
        zone: own availability zone.
        address: that peers connect to.
        seeds: addresses to connect to first.
        chance: chooses the peers of a gossip message.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        zone: str,
        address: str,
        seeds: list[str],
        chance: random.Random,
    ) -> None:
        self._chance = chance
        self.instance = instance
        self.incarnation = incarnation
        self.zone = zone
        self.address = address
        self.roster = Roster(instance, zone)
        self.members_by_id = self.roster.members_by_id
        self.traffic = PeerTraffic()
        self._dialers = Dialers(
            self.roster, address, seeds, self._hello_to, self._send_connect_messages
        )
        self._relay = ZoneRelay(self, self._dialers)
        self._handlers_by_kind: dict[type[Record], Handler] = {}
        self._appear_callbacks: list[Callable[[Member], None]] = []
        self._lost_callbacks: list[Callable[[Member], None]] = []
        self._connect_messages: list[Callable[[], Record]] = []
        self._received_callbacks: list[Callable[[], None]] = []
        self._server: asyncio.Server | None = None
        self._reader: PacedReader | None = None
        self._inbox = Inbox(
            incarnation,
            self.members_by_id,
            self._handle_hello,
            self._handle,
            self._stream_closed,
        )
        self._relay.register()

    def register(self, kind: type[Record], handler: Handler) -> None:
        """Call ``handler`` with each message of ``kind`` and its sender's id."""
        self._handlers_by_kind[kind] = handler

    def on_appear(self, call: Callable[[Member], None]) -> None:
        """Call ``call`` when a member becomes alive."""
        self._appear_callbacks.append(call)

    def on_lost(self, call: Callable[[Member], None]) -> None:
        """Call ``call`` when a member is lost."""
        self._lost_callbacks.append(call)

    def send_on_connect(self, call: Callable[[], Record]) -> None:
        """Send what ``call`` returns on each new connection to a peer."""
        self._connect_messages.append(call)

    def on_messages_received(self, call: Callable[[], None]) -> None:
        """Call ``call`` after each batch of messages that was received together."""
        self._received_callbacks.append(call)

    def receive_now(self) -> None:
        """Handle the messages that have arrived, so that a decision includes them."""
        if self._reader is not None:
            self._reader.read_now()

    async def start(self, guard: ConnectionGuard | None = None) -> None:
        """Listen, and connect to the seeds.

        Args:
            guard: of all connections of the process; None for none.
        """
        self._inbox.guard = guard
        host, _, port = self.address.rpartition(":")
        self._reader = reader = PacedReader(self._batch_received)
        self._server = await listen(
            lambda: self._inbox.accept(reader), host, int(port), BACKLOG
        )
        self._dialers.start()

    async def stop(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        self._inbox.close()
        await self._dialers.stop()
        if self._reader is not None:
            self._reader.close()

    # Members.

    @property
    def changes(self) -> int:
        """Count of changes of who is alive, who is leaving and where members are."""
        return self.roster.changes

    @property
    def large(self) -> bool:
        """Whether there are too many peers for a full mesh."""
        return self.roster.large

    def is_near(self, member: Member) -> bool:
        """Whether a peer gets every message directly."""
        return self.roster.is_near(member)

    def alive(self) -> list[Member]:
        """Return the members that are alive."""
        return self.roster.alive()

    def incarnation_alive(self, incarnation: str) -> bool:
        """Whether this is the own incarnation or that of a member that is alive."""
        own = incarnation == self.incarnation
        return own or self.roster.incarnation_alive(incarnation)

    def set_leaving(self, id: str, leaving: bool) -> None:
        """Record whether a member takes no new work."""
        self.roster.set_leaving(id, leaving)

    def learn(self, id: str, address: str, zone: str) -> None:
        """Record an instance that is listed in the store or by a peer."""
        if id == self.instance:
            return
        now = asyncio.get_running_loop().time()
        if self.roster.learn(id, address, zone, now):
            self._dialers.members_changed()

    def check_members(self) -> None:
        """Mark silent members as lost; remove those lost for long."""
        now = asyncio.get_running_loop().time()
        for member in list(self.members_by_id.values()):
            silence_s = now - member.last_received_at
            if member.lost_at is None:
                if silence_s <= SILENCE_TIMEOUT_S:
                    continue
                if silence_s <= FAR_SILENCE_TIMEOUT_S and not self.is_near(member):
                    continue
                self.mark_lost(member, "it is silent")
            self._dialers.reconnect_if_old(member)
            if now - max(member.lost_at, member.listed_at) > EXPIRY_S:
                self.roster.remove(member)
        self._dialers.reconcile_if_due()

    def hello(self, all_members: bool = True) -> Hello:
        """Return the first message of a connection.

        Args:
            all_members: name all members, not only those with a stream.
        """
        known = list(self.members_by_id.values())
        if not all_members:
            streams = self._dialers.streams_by_address
            known = [one for one in known if one.address in streams]
        return Hello(
            self.instance,
            self.incarnation,
            self.zone,
            self.address,
            members=[[one.id, one.address, one.zone] for one in known],
            unheard=[one.id for one in known if one.lost_at is not None],
        )

    def _hello_to(self, address: str) -> Hello:
        return self.hello(
            all_members=not self.large or self._dialers.is_temporary(address)
        )

    # Sending.

    def incarnation_of(self, instance: str) -> str:
        """Return the last known incarnation of a peer, for an answer that is late.

        While a message is handled, this is the incarnation that sent it.
        """
        member = self.members_by_id.get(instance)
        return member.incarnation if member is not None else ANY_PROCESS

    def send(
        self, instance: str, message: Record, incarnation: str | None = None
    ) -> bool:
        """Queue ``message`` for one peer; False if no connection leads there.

        Args:
            instance: id.
            message: to send.
            incarnation: the only process that handles it; the last known one if None.
        """
        member = self.members_by_id.get(instance)
        if member is None:
            return False
        recipient = member.incarnation if incarnation is None else incarnation
        stream = self._dialers.stream_to(member)
        if stream is not None:
            data = encode(message)
            if recipient != ANY_PROCESS:
                data = encode(Recipient(recipient)) + data
            self._count(message, member, len(data))
            return stream.send(data)
        if self.is_near(member):
            return False
        return self._relay.send(member, message, recipient)

    def send_all(self, message: Record) -> None:
        """Queue ``message`` for every peer that can be reached."""
        self.send_near(message)
        self._relay.send_everywhere(message)

    def send_near(self, message: Record) -> None:
        """Queue ``message`` for all near peers."""
        self._send_to(self.roster.near(), message)

    def send_to_idle(self, message: Record) -> None:
        """Queue ``message`` for the near peers that were sent nothing recently."""
        before = asyncio.get_running_loop().time() - RECENTLY_SENT_S
        quiet: list[Member] = []
        for member in self.roster.near():
            stream = self._dialers.stream_to(member)
            if stream is not None and stream.last_sent_at <= before:
                quiet.append(member)
        self._send_to(quiet, message)

    def send_zone(self, zone: str, message: Record) -> None:
        """Queue ``message`` for the far peers of an availability zone."""
        self._relay.send_zone(zone, message)

    def send_contacts(self, message: Record, all_contacts: bool = False) -> None:
        """Queue ``message`` for one contact per zone in rotation, or for all."""
        self._send_to(self._relay.contacts(all_contacts), message)

    def gossip(self, message: Record) -> None:
        """Queue ``message`` for near peers; for a random few if there are many."""
        members = self.roster.near()
        if self.large:
            members = self._chance.sample(members, min(GOSSIP_FANOUT, len(members)))
        self._send_to(members, message)

    def relay_heartbeats(self) -> None:
        """Send near peers the far heartbeats received since the last call."""
        self._relay.relay_heartbeats()

    def _send_to(self, members: Sequence[Member], message: Record) -> None:
        if not members:
            return
        data = encode(message)
        for member in members:
            stream = self._dialers.stream_to(member)
            if stream is not None:
                self._count(message, member, len(data))
                stream.send(data)

    def _count(self, message: Record, member: Member, size: int) -> None:
        distance = NEAR if member.zone == self.zone else FAR
        self.traffic.add(type(message).__name__, distance, size)

    def _send_connect_messages(self, stream: OutStream) -> None:
        """Send what follows the hello."""
        for call in self._connect_messages:
            stream.send(encode(call()))

    # Receiving.

    def _batch_received(self) -> None:
        for call in self._received_callbacks:
            call()

    def _stream_closed(self, stream: InStream, reason: str) -> None:
        member = self.members_by_id.get(stream.instance)
        if member is None or member.incarnation != stream.incarnation:
            return
        if not self.is_near(member):
            return  # it chose another contact, or its own zone reports its loss
        if member.lost_at is None and not self._inbox.has_stream_of(stream.incarnation):
            self.mark_lost(member, reason)
            self._relay.report_lost(member)

    def _handle_hello(self, hello: Hello) -> None:
        self.learn(hello.instance, hello.address, hello.availability_zone)
        member = self.members_by_id[hello.instance]
        self.set_incarnation(
            member, hello.incarnation, hello.address, hello.availability_zone
        )
        member.leaving = False
        self.roster.changes += 1
        for id, address, zone in hello.members:
            if is_address(address):
                self.learn(id, address, zone)
        if self.instance in hello.unheard:
            self._dialers.reconnect_if_old(member)
        self._handle(member, None)
        knows_few = len(hello.members) < MIN_KNOWN_MEMBERS
        if knows_few and not self.is_near(member):
            self._dialers.dial_temporarily(member.address)

    def set_incarnation(
        self, member: Member, incarnation: str, address: str, zone: str
    ) -> None:
        """Record a member's incarnation and location."""
        if member.lost_at is None and member.incarnation != incarnation:
            self.mark_lost(member, "it was started again")
        moved = member.address != address or member.zone != zone
        member.address = address
        member.zone = zone
        if member.incarnation != incarnation:
            member.previous_incarnation = member.incarnation
            member.incarnation = incarnation
            self.roster.changes += 1
        if moved:
            self.roster.changes += 1
            self._dialers.members_changed()

    def _handle(self, member: Member, message: Record | None) -> None:
        self.mark_alive(member)
        if message is None:
            return
        self.dispatch(member, message)
        self._relay.message_received(member, message)

    def mark_alive(self, member: Member) -> None:
        """Record that a member is alive."""
        member.last_received_at = asyncio.get_running_loop().time()
        if member.lost_at is None:
            return
        member.lost_at = None
        self.roster.changes += 1
        log.info("peer alive", peer=member.id, incarnation=member.incarnation)
        for call in self._appear_callbacks:
            call(member)

    def dispatch(self, member: Member, message: Record) -> None:
        """Pass a member's message to its handler."""
        handler = self._handlers_by_kind.get(type(message))
        if handler is not None:
            handler(member.id, message)

    def mark_lost(self, member: Member, reason: str) -> None:
        """Record that a member is lost."""
        member.lost_at = asyncio.get_running_loop().time()
        self.roster.changes += 1
        log.warning("peer lost", peer=member.id, reason=reason)
        if self.large:
            self._dialers.members_changed()
        for call in self._lost_callbacks:
            call(member)
