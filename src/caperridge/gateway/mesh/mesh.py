"""The peers: who they are, who is heard from, and sending to them."""

import asyncio
import random
from collections.abc import Callable, Sequence

from caperridge.gateway.mesh.dialers import Dialers
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.messages import Hello
from caperridge.gateway.mesh.paced_reading import PacedReader
from caperridge.gateway.mesh.relay import ZoneRelay
from caperridge.gateway.mesh.roster import Roster
from caperridge.gateway.mesh.streams import InStream, OutStream, encode
from caperridge.gateway.mesh.traffic import FAR, NEAR, PeerTraffic
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# A near peer that is told nothing else hears every 0.6 s that this one lives, so it
# hears something at least every 0.7 s; two in a row are lost only when something is
# wrong.
SILENCE_TIMEOUT_S = 1.5
# Who was told something so lately needs no sign of life.
RECENT_S = 0.1
# Far peers are heard through contacts: each passes on with its own beat what it heard,
# and two of them are told in turn. Two in a row are lost within 2.4 s.
FAR_SILENCE_TIMEOUT_S = 3.0
# How many near peers pass news on when there are too many to tell each: about three
# hear it from each instance that had it from the store.
GOSSIP_FANOUT = 5
# An instance that nobody lists and that was not heard from for so long is forgotten.
# Where there are many, the list is read twice a minute.
FORGET_S = 90.0
# An instance that knows fewer has just started, and is sent the whole roster.
MIN_KNOWN_MEMBERS = 8

Handler = Callable[[str, Record], None]


class Mesh:
    """Streams to and from peers.

    Args:
        instance: own id.
        incarnation: of this life of the process.
        zone: own availability zone.
        address: that peers connect to.
        seeds: addresses to begin with.
        chance: chooses whom to tell.
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
            self.roster, address, seeds, self._hello_to, self._connected
        )
        self._relay = ZoneRelay(self, self._dialers)
        self._handlers_by_kind: dict[type[Record], Handler] = {}
        self._appeared: list[Callable[[Member], None]] = []
        self._lost: list[Callable[[Member], None]] = []
        self._said_first: list[Callable[[], Record]] = []
        self._after_hearing: list[Callable[[], None]] = []
        self._server: asyncio.Server | None = None
        self._reader: PacedReader | None = None
        self._streams: set[InStream] = set()
        self._relay.register()

    def register(self, kind: type[Record], handler: Handler) -> None:
        """Have ``handler`` told of each message of ``kind``, with its sender's id."""
        self._handlers_by_kind[kind] = handler

    def on_appear(self, call: Callable[[Member], None]) -> None:
        """Have ``call`` called when a member begins to be heard from."""
        self._appeared.append(call)

    def on_lost(self, call: Callable[[Member], None]) -> None:
        """Have ``call`` called when a member is not heard from any more."""
        self._lost.append(call)

    def send_on_connect(self, call: Callable[[], Record]) -> None:
        """Have what ``call`` returns sent on each connection that is made to a peer."""
        self._said_first.append(call)

    def on_messages_received(self, call: Callable[[], None]) -> None:
        """Have ``call`` called after the messages of one turn were heard."""
        self._after_hearing.append(call)

    def receive_now(self) -> None:
        """Take the messages that have come, before something is decided by them."""
        if self._reader is not None:
            self._reader.read_now()

    async def start(self) -> None:
        """Listen, and connect to the seeds."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._reader = reader = PacedReader(self._heard_all)
        self._server = await loop.create_server(
            lambda: InStream(reader, self._hears, self._stream_ended), host, int(port)
        )
        self._dialers.start()

    async def stop(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams):
            stream.close()
        await self._dialers.stop()
        if self._reader is not None:
            self._reader.close()

    # Who is there.

    @property
    def changes(self) -> int:
        """Count of what changed who is heard from, who leaves and who is where."""
        return self.roster.changes

    @property
    def large(self) -> bool:
        """Whether there are too many peers for a full mesh."""
        return self.roster.large

    def is_near(self, member: Member) -> bool:
        """Whether a peer is told everything at once."""
        return self.roster.is_near(member)

    def alive(self) -> list[Member]:
        """Return the members that are heard from."""
        return self.roster.alive()

    def incarnation_alive(self, incarnation: str) -> bool:
        """Whether this life of an instance is the own one or is heard from."""
        own = incarnation == self.incarnation
        return own or self.roster.incarnation_alive(incarnation)

    def set_leaving(self, id: str, leaving: bool) -> None:
        """Note whether a member takes no new work."""
        self.roster.set_leaving(id, leaving)

    def learn(self, id: str, address: str, zone: str) -> None:
        """Take note of an instance that is listed somewhere."""
        if id == self.instance:
            return
        now = asyncio.get_running_loop().time()
        if self.roster.learn(id, address, zone, now):
            self._dialers.members_changed()

    def check_members(self) -> None:
        """Find members that have fallen silent; forget those long gone."""
        now = asyncio.get_running_loop().time()
        for member in list(self.members_by_id.values()):
            silence_s = now - member.last_received_at
            if member.lost_at is None:
                if silence_s <= SILENCE_TIMEOUT_S:
                    continue
                if silence_s <= FAR_SILENCE_TIMEOUT_S and not self.is_near(member):
                    continue
                self.mark_lost(member, "it is silent")
            self._dialers.renew(member)
            if now - max(member.lost_at, member.listed_at) > FORGET_S:
                self.roster.remove(member)
        self._dialers.reconcile_if_due()

    def hello(self, of_all: bool = True) -> Hello:
        """Return what this instance says first on a connection.

        Args:
            of_all: name all members rather than those that streams lead to.
        """
        known = list(self.members_by_id.values())
        if not of_all:
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
        return self.hello(of_all=not self.large or self._dialers.is_guest(address))

    # Sending.

    def send(self, instance: str, message: Record) -> bool:
        """Queue ``message`` for one peer; False if there is no way to it."""
        member = self.members_by_id.get(instance)
        if member is None:
            return False
        stream = self._dialers.stream_to(member)
        if stream is not None:
            data = encode(message)
            self._count(message, member, len(data))
            return stream.send(data)
        if self.is_near(member):
            return False
        return self._relay.send(member, message)

    def send_all(self, message: Record) -> None:
        """Queue ``message`` for every peer that there is a way to."""
        self.send_near(message)
        self._relay.send_everywhere(message)

    def send_near(self, message: Record) -> None:
        """Queue ``message`` for the peers that are told everything at once."""
        self._send_to(self.roster.near(), message)

    def send_to_idle(self, message: Record) -> None:
        """Queue ``message`` for the near peers that were told nothing lately."""
        before = asyncio.get_running_loop().time() - RECENT_S
        quiet: list[Member] = []
        for member in self.roster.near():
            stream = self._dialers.stream_to(member)
            if stream is not None and stream.sent_at <= before:
                quiet.append(member)
        self._send_to(quiet, message)

    def send_zone(self, zone: str, message: Record) -> None:
        """Queue ``message`` for the far peers of an availability zone."""
        self._relay.send_zone(zone, message)

    def send_contacts(self, message: Record, all_contacts: bool = False) -> None:
        """Queue ``message`` for one contact in each zone, in turn, or for all."""
        self._send_to(self._relay.contacts(all_contacts), message)

    def gossip(self, message: Record) -> None:
        """Queue ``message`` for near peers, for some at random if there are many."""
        members = self.roster.near()
        if self.large:
            members = self._chance.sample(members, min(GOSSIP_FANOUT, len(members)))
        self._send_to(members, message)

    def relay_heartbeats(self) -> None:
        """Tell near peers what others elsewhere said since the last call."""
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

    def _connected(self, stream: OutStream) -> None:
        """Say what comes after the hello."""
        for call in self._said_first:
            stream.send(encode(call()))

    # Hearing.

    def _hears(self, stream: InStream, message: Record | None) -> None:
        """Take a message; the first on a stream says who speaks."""
        if not stream.instance:
            if not isinstance(message, Hello):
                stream.close()
                return
            stream.instance = message.instance
            stream.incarnation = message.incarnation
            self._streams.add(stream)
            self._greeted(message)
            self._close_earlier(stream)
            return
        member = self.members_by_id.get(stream.instance)
        if member is not None and member.incarnation == stream.incarnation:
            self._heard(member, message)

    def _heard_all(self) -> None:
        for call in self._after_hearing:
            call()

    def _close_earlier(self, stream: InStream) -> None:
        """Close what the speaker of ``stream`` has given up; it may be silent here."""
        for other in list(self._streams):
            if other is not stream and other.instance == stream.instance:
                other.close()

    def _stream_ended(self, stream: InStream, reason: str) -> None:
        self._streams.discard(stream)
        member = self.members_by_id.get(stream.instance)
        if member is None or member.incarnation != stream.incarnation:
            return
        if not self.is_near(member):
            return  # it has chosen another contact, or its own zone reports its end
        others = any(one.incarnation == stream.incarnation for one in self._streams)
        if member.lost_at is None and not others:
            self.mark_lost(member, reason)
            self._relay.report_lost(member)

    def _greeted(self, hello: Hello) -> None:
        self.learn(hello.instance, hello.address, hello.availability_zone)
        member = self.members_by_id[hello.instance]
        self.set_incarnation(
            member, hello.incarnation, hello.address, hello.availability_zone
        )
        member.leaving = False
        self.roster.changes += 1
        for id, address, zone in hello.members:
            self.learn(id, address, zone)
        if self.instance in hello.unheard:
            self._dialers.renew(member)
        self._heard(member, None)
        knows_few = len(hello.members) < MIN_KNOWN_MEMBERS
        if knows_few and not self.is_near(member):
            self._dialers.greet(member.address)

    def set_incarnation(
        self, member: Member, incarnation: str, address: str, zone: str
    ) -> None:
        """Note of which life a member is heard, and where."""
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

    def _heard(self, member: Member, message: Record | None) -> None:
        self.mark_alive(member)
        if message is None:
            return
        self.dispatch(member, message)
        self._relay.heard(member, message)

    def mark_alive(self, member: Member) -> None:
        """Note that a member lives."""
        member.last_received_at = asyncio.get_running_loop().time()
        if member.lost_at is None:
            return
        member.lost_at = None
        self.roster.changes += 1
        log.info("peer heard", peer=member.id, incarnation=member.incarnation)
        for call in self._appeared:
            call(member)

    def dispatch(self, member: Member, message: Record) -> None:
        """Have what a member said handled."""
        handler = self._handlers_by_kind.get(type(message))
        if handler is not None:
            handler(member.id, message)

    def mark_lost(self, member: Member, reason: str) -> None:
        """Note that a member is not heard from any more."""
        member.lost_at = asyncio.get_running_loop().time()
        self.roster.changes += 1
        log.warning("peer lost", peer=member.id, reason=reason)
        if self.large:
            self._dialers.members_changed()
        for call in self._lost:
            call(member)
