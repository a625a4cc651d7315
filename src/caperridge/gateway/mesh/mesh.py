"""The peers: who they are, who is heard from, and sending to them."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.messages import Hello
from caperridge.gateway.mesh.paced_reading import PacedReader
from caperridge.gateway.mesh.streams import InStream, OutStream, encode
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# A near peer that is told nothing else hears every 0.6 s that this one lives, so it
# hears something at least every 0.7 s; two in a row are lost only when something is
# wrong.
SILENCE_S = 1.5
# Who was told something so lately needs no sign of life.
RECENT_S = 0.1
# Up to so many peers all are told everything at once. Beyond, those of other
# availability zones are told less often, so that what an instance sends and hears
# grows with its zone and not with the whole system.
MOST_CLOSE_PEERS = 16
FAR_SILENCE_S = 4.5
# How many peers pass news on when there are too many to tell each: about three hear it
# from each instance that had it from the store.
NEWS_PEERS = 5
REDIAL_S = 0.3
# A stream may be silent though what is sent into it is acknowledged on its way, so one
# that is older is opened anew while its peer is silent, or says that it hears nothing.
# Twice the silence after which a near peer is lost: one that stands still gets a
# connection from each peer so often.
RENEW_S = 3.0
# An instance that nobody lists and that was not heard from for so long is forgotten.
FORGET_S = 30.0

Handler = Callable[[str, Record], None]


class Mesh:
    """Streams to and from all peers.

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
        self.members_by_id: dict[str, Member] = {}
        # Counts what changes who is heard from, who leaves and who is where.
        self.changes = 0
        self._seeds = [seed for seed in seeds if seed != address]
        self._streams_by_address: dict[str, OutStream] = {}
        self._dialers_by_address: dict[str, asyncio.Task[None]] = {}
        self._handlers_by_kind: dict[type[Record], Handler] = {}
        self._appeared: list[Callable[[Member], None]] = []
        self._lost: list[Callable[[Member], None]] = []
        self._said_first: list[Callable[[], Record]] = []
        self._after_hearing: list[Callable[[], None]] = []
        self._server: asyncio.Server | None = None
        self._reader: PacedReader | None = None
        self._streams: set[InStream] = set()
        self._alive_key = -1
        self._alive: list[Member] = []
        self._near_key: tuple[int, bool] | None = None
        self._near: list[Member] = []
        self._alive_incarnations: frozenset[str] = frozenset()

    def register(self, kind: type[Record], handler: Handler) -> None:
        """Have ``handler`` told of each message of ``kind``, with its sender's id."""
        self._handlers_by_kind[kind] = handler

    def on_appear(self, call: Callable[[Member], None]) -> None:
        """Have ``call`` called when a member begins to be heard from."""
        self._appeared.append(call)

    def on_lose(self, call: Callable[[Member], None]) -> None:
        """Have ``call`` called when a member is not heard from any more."""
        self._lost.append(call)

    def say_first(self, call: Callable[[], Record]) -> None:
        """Have what ``call`` returns sent on each connection that is made to a peer."""
        self._said_first.append(call)

    def after_hearing(self, call: Callable[[], None]) -> None:
        """Have ``call`` called after the messages of one turn were heard."""
        self._after_hearing.append(call)

    def hear_now(self) -> None:
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
        for seed in self._seeds:
            self._dial(seed)

    async def stop(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams):
            stream.close()
        tasks = list(self._dialers_by_address.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._reader is not None:
            self._reader.close()

    def alive(self) -> list[Member]:
        """Return the members that are heard from."""
        self._look_who_is_alive()
        return self._alive

    def incarnation_alive(self, incarnation: str) -> bool:
        """Whether this life of an instance is the own one or is heard from."""
        self._look_who_is_alive()
        return incarnation == self.incarnation or incarnation in (
            self._alive_incarnations
        )

    def _look_who_is_alive(self) -> None:
        if self._alive_key == self.changes:
            return
        self._alive_key = self.changes
        members = self.members_by_id.values()
        self._alive = [member for member in members if member.lost_at is None]
        self._alive_incarnations = frozenset(one.incarnation for one in self._alive)

    def leaves(self, id: str, leaving: bool) -> None:
        """Note whether a member takes no new work."""
        member = self.members_by_id.get(id)
        if member is not None and member.leaving != leaving:
            member.leaving = leaving
            self.changes += 1

    def send(self, instance: str, message: Record) -> bool:
        """Queue ``message`` for one peer; False if there is no stream to it."""
        member = self.members_by_id.get(instance)
        stream = self._streams_by_address.get(member.address) if member else None
        return stream is not None and stream.send(encode(message))

    def send_all(self, message: Record) -> None:
        """Queue ``message`` for every peer that there is a stream to."""
        data = encode(message)
        for stream in self._streams_by_address.values():
            if stream.connected:
                stream.send(data)

    @property
    def large(self) -> bool:
        """Whether there are too many peers to tell each one everything."""
        return len(self.members_by_id) > MOST_CLOSE_PEERS

    def is_near(self, member: Member) -> bool:
        """Whether a peer is told everything at once."""
        return not self.large or member.zone == self.zone

    def send_near(self, message: Record) -> None:
        """Queue ``message`` for the peers that are told everything at once."""
        self._send_to(self._near_members(), message)

    def _near_members(self) -> list[Member]:
        key = self.changes, self.large
        if key != self._near_key:
            self._near_key = key
            self._near = [m for m in self._members() if self.is_near(m)]
        return self._near

    def send_quiet(self, message: Record) -> None:
        """Queue ``message`` for the near peers that were told nothing lately."""
        before = asyncio.get_running_loop().time() - RECENT_S
        data = encode(message)
        for member in self._near_members():
            stream = self._streams_by_address.get(member.address)
            if stream is not None and stream.sent_at <= before:
                stream.send(data)

    def send_zone(self, zone: str, message: Record) -> None:
        """Queue ``message`` for the peers of one availability zone."""
        self._send_to((m for m in self._members() if m.zone == zone), message)

    def send_some(self, message: Record) -> None:
        """Queue ``message`` for all peers, or for some at random if there are many."""
        members = list(self._members())
        if self.large:
            members = self._chance.sample(members, min(NEWS_PEERS, len(members)))
        self._send_to(members, message)

    def learn(self, id: str, address: str, zone: str) -> None:
        """Take note of an instance that is listed somewhere."""
        if id == self.instance:
            return
        now = asyncio.get_running_loop().time()
        member = self.members_by_id.get(id)
        if member is None:
            member = Member(id, address, zone, now)
            self.members_by_id[id] = member
            self.changes += 1
        if member.address != address and member.lost_at is not None:
            member.address = address
            member.zone = zone
            self.changes += 1
        member.listed_at = now
        self._dial(member.address)

    def check(self) -> None:
        """Find members that have fallen silent; forget those long gone."""
        now = asyncio.get_running_loop().time()
        for member in list(self.members_by_id.values()):
            limit_s = SILENCE_S if self.is_near(member) else FAR_SILENCE_S
            if member.lost_at is None and now - member.heard_at > limit_s:
                self._lose(member, "it is silent")
            if member.lost_at is None:
                continue
            self._renew(member)
            if now - max(member.lost_at, member.listed_at) > FORGET_S:
                del self.members_by_id[member.id]
                self.changes += 1
                self._hang_up(member.address)

    def hello(self) -> Hello:
        """Return what this instance says first on a connection."""
        known = self.members_by_id.values()
        return Hello(
            self.instance,
            self.incarnation,
            self.zone,
            self.address,
            members=[[one.id, one.address, one.zone] for one in known],
            unheard=[one.id for one in known if one.lost_at is not None],
        )

    def _members(self) -> Iterable[Member]:
        return self.members_by_id.values()

    def _send_to(self, members: Iterable[Member], message: Record) -> None:
        data = encode(message)
        for member in members:
            stream = self._streams_by_address.get(member.address)
            if stream is not None and stream.connected:
                stream.send(data)

    def _dial(self, address: str) -> None:
        if address == self.address or address in self._dialers_by_address:
            return
        stream = OutStream(address, lambda: self._greeting(address))
        self._streams_by_address[address] = stream
        task = asyncio.get_running_loop().create_task(self._keep(stream))
        self._dialers_by_address[address] = task

    def _renew(self, member: Member) -> None:
        """End the stream to a member, for another to be opened, if it is not new."""
        stream = self._streams_by_address.get(member.address)
        if stream is None or not stream.connected:
            return
        if asyncio.get_running_loop().time() - stream.opened_at > RENEW_S:
            log.info("stream opened anew", peer=member.id)
            stream.end()

    def _greeting(self, address: str) -> Hello:
        asyncio.get_running_loop().call_soon(self._connected, address)
        return self.hello()

    def _connected(self, address: str) -> None:
        """Say what comes after the hello."""
        stream = self._streams_by_address.get(address)
        if stream is None:
            return
        for call in self._said_first:
            stream.send(encode(call()))

    def _hang_up(self, address: str) -> None:
        self._streams_by_address.pop(address, None)
        task = self._dialers_by_address.pop(address, None)
        if task is not None:
            task.cancel()

    async def _keep(self, stream: OutStream) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            with contextlib.suppress(OSError, TimeoutError):
                await stream.run_once()
            if loop.time() - began < RENEW_S:
                await asyncio.sleep(REDIAL_S)

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
        others = any(one.incarnation == stream.incarnation for one in self._streams)
        if member.lost_at is None and not others:
            self._lose(member, reason)

    def _greeted(self, hello: Hello) -> None:
        self.learn(hello.instance, hello.address, hello.availability_zone)
        member = self.members_by_id[hello.instance]
        if member.address != hello.address:
            self._hang_up(member.address)
            member.address = hello.address
            self._dial(member.address)
        if member.lost_at is None and member.incarnation != hello.incarnation:
            self._lose(member, "it was started again")
        member.zone = hello.availability_zone
        member.incarnation = hello.incarnation
        member.leaving = False
        self.changes += 1
        for id, address, zone in hello.members:
            self.learn(id, address, zone)
        if self.instance in hello.unheard:
            self._renew(member)
        self._heard(member, None)

    def _heard(self, member: Member, message: Record | None) -> None:
        member.heard_at = asyncio.get_running_loop().time()
        if member.lost_at is not None:
            member.lost_at = None
            self.changes += 1
            log.info("peer heard", peer=member.id, incarnation=member.incarnation)
            for call in self._appeared:
                call(member)
        if message is None:
            return
        handler = self._handlers_by_kind.get(type(message))
        if handler is not None:
            handler(member.id, message)

    def _lose(self, member: Member, reason: str) -> None:
        member.lost_at = asyncio.get_running_loop().time()
        self.changes += 1
        log.warning("peer lost", peer=member.id, reason=reason)
        for call in self._lost:
            call(member)
