"""The task that owns the streams to other instances and the view of who lives."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from caperridge import __version__
from caperridge.decisions.failure_detector import Evidence
from caperridge.decisions.heartbeats import Heartbeats
from caperridge.decisions.links import links_for
from caperridge.decisions.membership import Membership
from caperridge.instance.actor import Actor
from caperridge.instance.peer_dialer import Dialer
from caperridge.instance.peer_messages import DialFailed, Ended, Heard, Opened
from caperridge.instance.peer_metrics import PeerMetrics
from caperridge.listening.guard import ConnectionGuard
from caperridge.log import logger
from caperridge.peers.connect import Connector
from caperridge.peers.flooding import SeenMessages, is_flooded
from caperridge.peers.interface import Handler, PeerListener, Peers
from caperridge.peers.messages import Heartbeat, Hello
from caperridge.peers.stream import PeerStream
from caperridge.peers.streams import Streams
from caperridge.records import Record
from caperridge.settings import Address, Settings

log = logger(__name__)
HEARTBEAT_S = 1.0
TICK_S = 0.5
REPEAT_S = 10.0
MEASURE_S = 2.0
WANTED_S = 2.0
KEEP_UNWANTED_S = 30.0
MOST_DEMANDED = 8
DEMANDED_S = 60.0


class PeerMesh(Actor, Peers):
    """All streams of one instance; news goes out at once, heartbeats regularly.

    Args:
        settings: of the instance.
        membership: fed with heartbeats; shared with those who ask for owners.
        metrics: of the streams.
        clock: monotonic seconds.
        guard: of all connections of the process.
        seed: of the jitter; None for a fresh one.
    """

    idle_s = TICK_S

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        metrics: PeerMetrics,
        clock: Callable[[], float],
        guard: ConnectionGuard,
        seed: int | None = None,
    ) -> None:
        super().__init__()
        self._said_incarnation = time.time_ns() // 1_000_000
        self._heartbeats = Heartbeats(membership, self._said_incarnation, clock())
        self.configuration_version: Callable[[], int] = lambda: 0
        self.versions_by_id: dict[str, int] = {}
        self.version_heard: Callable[[str, int], None] = lambda instance, version: None
        self._listeners: list[PeerListener] = []
        self._changes_told = 0
        self._settings = settings
        self._instance = settings.instance_id
        self._membership = membership
        self._metrics = metrics
        self._clock = clock
        self._port = 0
        self._own_address = ""
        self._connector = Connector(
            settings,
            self._hello_to,
            lambda stream, message: self.tell(Heard(stream, message)),
            lambda stream: self.tell(Opened(stream)),
            guard,
        )
        self._streams = Streams(settings.instance_id, settings.availability_zone)
        self._runs: set[asyncio.Task[None]] = set()
        self._dialer = Dialer(
            settings.instance_id, self._connector, self.tell, random.Random(seed)
        )
        self._addresses_by_id: dict[str, str] = {}
        self._unwanted_since_by_id: dict[str, float] = {}
        self._handlers_by_kind: dict[type[Record], Handler] = {}
        self._seen = SeenMessages()
        self._demanded_until_by_id: dict[str, float] = {}
        self._heartbeat_due = 0.0
        self._repeat_due = 0.0
        self._measure_due = 0.0
        self._wanted: set[str] = set()
        self._wanted_due = 0.0
        self._wanted_of = -1
        # Bound once, as that costs a singledispatchmethod more than a heartbeat.
        self._take = self.take

    # What the rest of the instance uses.

    def send(self, instance: str, message: Record) -> bool:
        """See :meth:`Peers.send`."""
        return self._streams.send(instance, message)

    def send_or_relay(self, instance: str, message: Record) -> bool:
        """See :meth:`Peers.send_or_relay`."""
        if self._streams.send(instance, message):
            return True
        zone = self.zone_of(instance)
        if not zone or zone == self._settings.availability_zone:
            return False
        self.request_stream(instance)
        return self._streams.send_to_any_in(zone, message)

    def send_zone(self, message: Record) -> int:
        """See :meth:`Peers.send_zone`."""
        return self._streams.send_zone(message)

    def send_all(self, message: Record) -> int:
        """See :meth:`Peers.send_all`."""
        if is_flooded(message):
            self._seen.add(message)
        return self._streams.send_all(message)

    def register(self, kind: type[Record], handler: Handler) -> None:
        """See :meth:`Peers.register`."""
        self._handlers_by_kind[kind] = handler

    def connected(self) -> list[str]:
        """See :meth:`Peers.connected`."""
        return sorted(self._streams.by_id)

    def add_listener(self, listener: PeerListener) -> None:
        """See :meth:`Peers.add_listener`."""
        self._listeners.append(listener)

    def zone_of(self, instance: str) -> str:
        """See :meth:`Peers.zone_of`."""
        stream = self._streams.by_id.get(instance)
        if stream is not None:
            return stream.hello.availability_zone
        return self._membership.zone_of(instance)

    def request_stream(self, instance: str) -> None:
        """See :meth:`Peers.request_stream`."""
        known = self._demanded_until_by_id
        if instance in known or len(known) < MOST_DEMANDED:
            known[instance] = self._clock() + DEMANDED_S

    def introduce(self, instance: str, zone: str, address: str) -> None:
        """Note where an instance is that the platform does not list yet."""
        self._addresses_by_id.setdefault(instance, address)
        self._membership.add_introduced(instance, zone)

    def introductions(self) -> list[list[str]]:
        """Return where the connected peers are that the platform does not list."""
        listed = self._membership.members_by_id
        return [
            [instance, stream.hello.availability_zone, stream.address]
            for instance, stream in self._streams.by_id.items()
            if instance not in listed and stream.address
        ]

    def leave(self) -> None:
        """Tell every peer that this instance is stopping as planned."""
        self._membership.leave()
        self._send_heartbeats()

    async def open(self, at: Address) -> Address:
        """Listen for peers; return where."""
        found = await self._connector.open(at)
        self._port = found.port
        self._own_address = str(found)
        return found

    async def stop(self) -> None:
        """Close every stream and end the task."""
        self._connector.close()
        await super().stop()
        await self._dialer.stop()
        self._streams.close()
        await asyncio.gather(*self._runs, return_exceptions=True)

    def state(self) -> dict[str, Any]:
        """Return the peers for the dump."""
        health_by_id = self._membership.detector.health_by_id
        return {
            "incarnation": self._heartbeats.incarnation,
            "steady": self._membership.steady,
            "superseded": self._membership.superseded,
            "pauses": self._membership.detector.pauses,
            "refused_handshakes": self._connector.refused,
            "failed_dials": self._dialer.failures,
            "dropped": self.dropped,
            "streams_by_id": self._streams.to_map(),
            "health_by_id": {i: h.to_map() for i, h in sorted(health_by_id.items())},
        }

    # The task.

    @singledispatchmethod
    async def handle(self, message: Any) -> None:
        """Act on one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    async def _(self, message: Opened) -> None:
        stream = message.stream
        self._heartbeats.check_own_incarnation(
            stream.hello.known_incarnation, self._clock()
        )
        if not self._streams.add(stream):
            return
        self._dialer.reached(stream.instance, self._clock())
        if stream.address:
            self._addresses_by_id[stream.instance] = stream.address
        run = asyncio.get_running_loop().create_task(self._run_stream(stream))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        hello = stream.hello
        evidence = Evidence(hello.instance, hello.incarnation, 0)
        self._membership.record_evidence(
            evidence, hello.availability_zone, self._clock()
        )
        log.info("peer connected", peer=hello.instance, release=hello.release)
        version = self.configuration_version()
        stream.send(self._short(self._heartbeats.latest(version)))
        for listener in self._listeners:
            listener.opened(stream.instance)

    @handle.register
    async def _(self, message: Ended) -> None:
        stream = message.stream
        self._count(stream)
        if not self._streams.discard(stream):
            return
        self._dialer.ended(stream.instance, self._clock())
        self._membership.suspect(stream.instance, self._clock())
        log.info("peer disconnected", peer=stream.instance)
        for listener in self._listeners:
            listener.closed(stream.instance)

    @handle.register
    async def _(self, message: DialFailed) -> None:
        self._dialer.failed(message, self._clock())

    @handle.register
    async def _(self, message: Heard) -> None:
        self._take(message.message, message.stream)

    @singledispatchmethod
    def take(self, message: Record, stream: PeerStream) -> None:
        """Act on one message of a peer."""
        if is_flooded(message):
            if not self._seen.add(message):
                return
            self._streams.send_all(message, exclude=stream)
        handler = self._handlers_by_kind.get(type(message))
        if handler is not None:
            handler(stream.instance, message)

    @take.register
    def _(self, message: Heartbeat, stream: PeerStream) -> None:
        hello = stream.hello
        if message.instance != hello.instance:
            return
        message.incarnation = message.incarnation or hello.incarnation
        self.versions_by_id[hello.instance] = message.configuration_version
        self.version_heard(hello.instance, message.configuration_version)
        self._heartbeats.receive(message, hello.availability_zone, self._clock())

    async def idle(self) -> None:
        """Let time pass: heartbeats, suspicion, missing streams."""
        now = self._clock()
        for instance in self._membership.tick(now):
            self._metrics.removed.inc()
            log.warning("peer removed", peer=instance)
            self.versions_by_id.pop(instance, None)
            for listener in self._listeners:
                listener.removed(instance)
        if self._membership.changes != self._changes_told:
            self._changes_told = self._membership.changes
            for listener in self._listeners:
                listener.view_changed()
        if now >= self._repeat_due:
            self._repeat_due = now + REPEAT_S
            self._forget_gone()
            for listener in self._listeners:
                listener.resend_state()
        if now >= self._heartbeat_due:
            self._heartbeat_due = now + HEARTBEAT_S
            self._send_heartbeats()
        self._dial_missing(now)
        if now >= self._measure_due:
            self._measure_due = now + MEASURE_S
            self._measure(now)

    def _hello_to(self, instance: str) -> Hello:
        return Hello(
            self._instance,
            self._settings.availability_zone,
            self._heartbeats.incarnation,
            release=__version__,
            port=self._port,
            known_incarnation=self._membership.detector.known_incarnation(instance),
        )

    def _send_heartbeats(self) -> None:
        version = self.configuration_version()
        self._streams.send_all(self._short(self._heartbeats.next(version)))

    def _short(self, heartbeat: Heartbeat) -> Heartbeat:
        """Return ``heartbeat`` without what the hello of each stream has said."""
        if heartbeat.incarnation == self._said_incarnation:
            heartbeat.incarnation = 0
        return heartbeat

    def _dial_missing(self, now: float) -> None:
        if self._membership.superseded:
            return
        changes = self._membership.changes
        if changes != self._wanted_of or now >= self._wanted_due:
            self._wanted_of = changes
            self._wanted_due = now + WANTED_S
            self._wanted = links_for(self._membership)
        demanded = self._demanded(now)
        wanted = self._wanted | demanded
        for instance in wanted - self._streams.by_id.keys():
            address = self._address_of(instance)
            if address:
                self._dialer.want(instance, address, now, instance in demanded)
        if not self._streams.by_id:
            for seed in self._settings.peer_seeds:
                if str(seed) != self._own_address:
                    self._dialer.want("", str(seed), now)
        self._dialer.forget_old(now)
        self._close_unwanted(wanted, now)

    def _forget_gone(self) -> None:
        """Forget what is kept by id of instances that nobody knows any more."""
        membership = self._membership
        known = membership.members_by_id.keys() | membership.zones_by_id.keys()
        known |= self._streams.by_id.keys()
        for kept in (
            self._addresses_by_id,
            self._unwanted_since_by_id,
            self.versions_by_id,
        ):
            for instance in kept.keys() - known:
                del kept[instance]

    def _demanded(self, now: float) -> set[str]:
        for instance, until in list(self._demanded_until_by_id.items()):
            if now >= until:
                del self._demanded_until_by_id[instance]
        return set(self._demanded_until_by_id) - {self._instance}

    def _address_of(self, instance: str) -> str:
        member = self._membership.members_by_id.get(instance)
        if member is not None and member.address:
            return member.address
        return self._addresses_by_id.get(instance, "")

    def _close_unwanted(self, wanted: set[str], now: float) -> None:
        """Close streams opened here whose reason has gone, after a while."""
        for instance, stream in self._streams.by_id.items():
            if instance in wanted or not stream.dialed:
                self._unwanted_since_by_id.pop(instance, None)
                continue
            since = self._unwanted_since_by_id.setdefault(instance, now)
            if now - since >= KEEP_UNWANTED_S:
                stream.close()

    async def _run_stream(self, stream: PeerStream) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await stream.run()
        self.tell(Ended(stream))

    def _count(self, stream: PeerStream) -> None:
        bytes_in, bytes_out, dropped = stream.take_counts()
        self._metrics.bytes_in.inc(bytes_in)
        self._metrics.bytes_out.inc(bytes_out)
        self._metrics.dropped.inc(dropped)

    def _measure(self, now: float) -> None:
        for stream in self._streams:
            stream.close_if_silent(now)
            self._count(stream)
        membership = self._membership
        self._metrics.connected.set(len(self._streams.by_id))
        self._metrics.live.set(len(membership.live(membership.availability_zone)))
        self._metrics.suspected.set(len(membership.detector.suspects()))
        self._metrics.pauses.set(membership.detector.pauses)
