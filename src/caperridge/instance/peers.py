"""The task that owns the streams to other instances and the view of who lives."""

import asyncio
import contextlib
import random
import time
from collections import OrderedDict
from collections.abc import Callable
from functools import singledispatch, singledispatchmethod
from typing import Any

from caperridge import __version__
from caperridge.decisions.failure_detector import LIVE, SUSPECT, Evidence
from caperridge.decisions.links import wanted_links
from caperridge.decisions.membership import Membership
from caperridge.instance.actor import Actor
from caperridge.instance.peer_dialer import Dialer
from caperridge.instance.peer_messages import DialFailed, Ended, Heard, Opened
from caperridge.instance.peer_metrics import PeerMetrics
from caperridge.log import logger
from caperridge.peers.connect import Connector
from caperridge.peers.interface import Handler, Peers
from caperridge.peers.messages import Heartbeat, Hello, JobNews, TargetNews
from caperridge.peers.stream import PeerStream
from caperridge.records import Record
from caperridge.settings import Address, Settings

log = logger(__name__)
HEARTBEAT_S = 1.0
TICK_S = 0.5
KEEP_UNWANTED_S = 30.0
START_S = 10.0
MOST_SEEN = 5000
MOST_ASKED = 64


@singledispatch
def floods(message: Record) -> bool:
    """Return whether whoever hears ``message`` first passes it on."""
    return False


@floods.register
def _(message: JobNews) -> bool:
    return True


@floods.register
def _(message: TargetNews) -> bool:
    return True


class PeerMesh(Actor, Peers):
    """All streams of one instance; news goes out at once, heartbeats regularly.

    Args:
        settings: of the instance.
        membership: fed with heartbeats; shared with those who ask for owners.
        metrics: of the streams.
        clock: monotonic seconds.
        seed: of the jitter; None for a fresh one.
    """

    idle_s = TICK_S

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        metrics: PeerMetrics,
        clock: Callable[[], float],
        seed: int | None = None,
    ) -> None:
        super().__init__()
        self.incarnation = time.time_ns() // 1_000_000
        self.configuration_version: Callable[[], int] = lambda: 0
        self.versions_by_id: dict[str, int] = {}
        self.version_heard: Callable[[str, int], None] = lambda instance, version: None
        self.peer_opened: Callable[[str], None] = lambda instance: None
        self.peer_removed: Callable[[str], None] = lambda instance: None
        self.view_changed: Callable[[], None] = lambda: None
        self._changes_told = 0
        self._settings = settings
        self._instance = settings.instance_id
        self._membership = membership
        self._metrics = metrics
        self._clock = clock
        self._started_at = clock()
        self._port = 0
        self._own_address = ""
        self._connector = Connector(
            settings.peers_secret,
            settings.tls_by_listener.get("peers"),
            self._hello_to,
            lambda stream, message: self.tell(Heard(stream, message)),
            lambda stream: self.tell(Opened(stream)),
        )
        self._streams_by_id: dict[str, PeerStream] = {}
        self._runs: set[asyncio.Task[None]] = set()
        self._dialer = Dialer(
            settings.instance_id, self._connector, self.tell, random.Random(seed)
        )
        self._addresses_by_id: dict[str, str] = {}
        self._unwanted_since_by_id: dict[str, float] = {}
        self._handlers_by_kind: dict[type[Record], Handler] = {}
        self._seen: OrderedDict[Record, None] = OrderedDict()
        self._asked: set[str] = set()
        self._sequence = 0
        self._heartbeat_due = 0.0

    # What the rest of the instance uses.

    def send(self, instance: str, message: Record) -> bool:
        """See :meth:`Peers.send`."""
        stream = self._streams_by_id.get(instance)
        return stream is not None and stream.send(message)

    def send_zone(self, message: Record) -> int:
        """See :meth:`Peers.send_zone`."""
        zone = self._settings.availability_zone
        sent = 0
        for stream in self._streams_by_id.values():
            if stream.hello.availability_zone == zone:
                sent += stream.send(message)
        return sent

    def send_all(self, message: Record) -> int:
        """See :meth:`Peers.send_all`."""
        if floods(message):
            self._note_seen(message)
        return sum(s.send(message) for s in self._streams_by_id.values())

    def register(self, kind: type[Record], handler: Handler) -> None:
        """See :meth:`Peers.register`."""
        self._handlers_by_kind[kind] = handler

    def connected(self) -> list[str]:
        """See :meth:`Peers.connected`."""
        return sorted(self._streams_by_id)

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
        for stream in self._streams_by_id.values():
            stream.close()
        await asyncio.gather(*self._runs, return_exceptions=True)

    def state(self) -> dict[str, Any]:
        """Return the peers for the dump."""
        health_by_id = self._membership.detector.health_by_id
        streams = {
            instance: {
                "address": stream.address,
                "availability_zone": stream.hello.availability_zone,
                "bytes_in": stream.bytes_in,
                "bytes_out": stream.bytes_out,
                "dialed": stream.dialed,
                "dropped": stream.dropped,
                "protocol": stream.hello.protocol,
                "release": stream.hello.release,
                "unknown_kinds": stream.unknown_kinds,
                "unreadable": stream.unreadable,
            }
            for instance, stream in sorted(self._streams_by_id.items())
        }
        return {
            "incarnation": self.incarnation,
            "steady": self._membership.steady,
            "superseded": self._membership.superseded,
            "pauses": self._membership.detector.pauses,
            "refused_handshakes": self._connector.refused,
            "dropped": self.dropped,
            "streams_by_id": streams,
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
        self._check_own_incarnation(stream.hello.known_incarnation)
        old = self._streams_by_id.get(stream.instance)
        if old is not None and not old.closed and not self._replaces(stream, old):
            stream.close()
            return
        if old is not None:
            old.close()
        self._streams_by_id[stream.instance] = stream
        self._dialer.reached(stream.instance)
        if stream.address:
            self._addresses_by_id[stream.instance] = stream.address
        run = asyncio.get_running_loop().create_task(self._run_stream(stream))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        hello = stream.hello
        evidence = Evidence(hello.instance, hello.incarnation, 0)
        self._membership.heard(evidence, hello.availability_zone, self._clock())
        log.info("peer connected", peer=hello.instance, release=hello.release)
        stream.send(self._heartbeat())
        self.peer_opened(stream.instance)

    @handle.register
    async def _(self, message: Ended) -> None:
        stream = message.stream
        self._count(stream)
        if self._streams_by_id.get(stream.instance) is not stream:
            return
        del self._streams_by_id[stream.instance]
        self._membership.lost(stream.instance, self._clock())
        log.info("peer disconnected", peer=stream.instance)

    @handle.register
    async def _(self, message: DialFailed) -> None:
        self._dialer.failed(message, self._clock())

    @handle.register
    async def _(self, message: Heard) -> None:
        self.take(message.message, message.stream)

    @singledispatchmethod
    def take(self, message: Record, stream: PeerStream) -> None:
        """Act on one message of a peer."""
        if floods(message):
            if not self._note_seen(message):
                return
            self._pass_on(message, stream)
        handler = self._handlers_by_kind.get(type(message))
        if handler is not None:
            handler(stream.instance, message)

    @take.register
    def _(self, message: Heartbeat, stream: PeerStream) -> None:
        if message.instance != stream.instance:
            return
        now = self._clock()
        evidence = Evidence(
            message.instance, message.incarnation, message.sequence, message.leaving
        )
        self._membership.heard(evidence, stream.hello.availability_zone, now)
        self.versions_by_id[message.instance] = message.configuration_version
        self.version_heard(message.instance, message.configuration_version)
        for rumour in message.rumours:
            self._take_rumour(*rumour[:4])

    def _take_rumour(
        self, instance: str, incarnation: int, state: str, sequence: int
    ) -> None:
        if instance == self._instance:
            self._check_own_incarnation(incarnation)
            return
        if state == SUSPECT:
            if len(self._asked) < MOST_ASKED:
                self._asked.add(instance)
            return
        if state == LIVE:
            evidence = Evidence(instance, incarnation, sequence)
            zone = self._membership.zone_of(instance)
            self._membership.heard(evidence, zone, self._clock())

    async def idle(self) -> None:
        """Let time pass: heartbeats, suspicion, missing streams."""
        now = self._clock()
        for instance in self._membership.tick(now):
            self._metrics.removed.inc()
            log.warning("peer removed", peer=instance)
            self.peer_removed(instance)
        if self._membership.changes != self._changes_told:
            self._changes_told = self._membership.changes
            self.view_changed()
        if now >= self._heartbeat_due:
            self._heartbeat_due = now + HEARTBEAT_S
            self._send_heartbeats()
        self._dial_missing(now)
        self._measure()

    def _replaces(self, stream: PeerStream, old: PeerStream) -> bool:
        """Return whether ``stream`` is kept rather than ``old``, to the same peer.

        Both ends decide alike: a later incarnation first, then the stream that the
        lower id has opened, then the later one.
        """
        if stream.hello.incarnation != old.hello.incarnation:
            return stream.hello.incarnation > old.hello.incarnation
        lower = self._instance < stream.instance
        if stream.dialed == old.dialed:
            return True
        return stream.dialed == lower

    def _check_own_incarnation(self, known: int) -> None:
        """Go above a predecessor's incarnation, or give way to a successor."""
        if known <= self.incarnation:
            return
        if self._clock() - self._started_at < START_S:
            self.incarnation = known + 1
            return
        if not self._membership.superseded:
            log.error("another process has this instance's id", incarnation=known)
            self._membership.supersede()

    def _hello_to(self, instance: str) -> Hello:
        return Hello(
            self._instance,
            self._settings.availability_zone,
            self.incarnation,
            release=__version__,
            port=self._port,
            known_incarnation=self._membership.detector.known_incarnation(instance),
        )

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._instance,
            self.incarnation,
            self._sequence,
            self.configuration_version(),
            self._membership.leaving,
            self._rumours(),
        )

    def _send_heartbeats(self) -> None:
        self._sequence += 1
        heartbeat = self._heartbeat()
        self._asked.clear()
        for stream in self._streams_by_id.values():
            stream.send(heartbeat)

    def _rumours(self) -> list[list[Any]]:
        """Ask after those suspected here; answer for those suspected elsewhere."""
        detector = self._membership.detector
        rumours: list[list[Any]] = []
        for instance in detector.suspects():
            health = detector.health_by_id[instance]
            rumours.append([instance, health.incarnation, SUSPECT, health.sequence])
        for instance in sorted(self._asked):
            health = detector.health_by_id.get(instance)
            if health is not None and health.state == LIVE:
                rumours.append([instance, health.incarnation, LIVE, health.sequence])
        return rumours

    def _note_seen(self, message: Record) -> bool:
        """Return whether ``message`` is seen for the first time."""
        if message in self._seen:
            return False
        self._seen[message] = None
        if len(self._seen) > MOST_SEEN:
            self._seen.popitem(last=False)
        return True

    def _pass_on(self, message: Record, source: PeerStream) -> None:
        for stream in self._streams_by_id.values():
            if stream is not source:
                stream.send(message)

    def _dial_missing(self, now: float) -> None:
        known_by_zone = self._membership.known_by_zone()
        zones = known_by_zone.keys() | {self._settings.availability_zone}
        live = {i for zone in zones for i in self._membership.live(zone)}
        wanted = wanted_links(
            self._instance, self._settings.availability_zone, known_by_zone, live
        )
        for instance in wanted - self._streams_by_id.keys():
            address = self._address_of(instance)
            if address:
                self._dialer.want(instance, address, now)
        if not self._streams_by_id:
            for seed in self._settings.peer_seeds:
                if str(seed) != self._own_address:
                    self._dialer.want("", str(seed), now)
        self._dialer.forget_old(now)
        self._close_unwanted(wanted, now)

    def _address_of(self, instance: str) -> str:
        member = self._membership.members_by_id.get(instance)
        if member is not None and member.address:
            return member.address
        return self._addresses_by_id.get(instance, "")

    def _close_unwanted(self, wanted: set[str], now: float) -> None:
        """Close streams opened here whose reason has gone, after a while."""
        for instance, stream in self._streams_by_id.items():
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

    def _measure(self) -> None:
        for stream in self._streams_by_id.values():
            self._count(stream)
        membership = self._membership
        self._metrics.connected.set(len(self._streams_by_id))
        self._metrics.live.set(len(membership.live(membership.availability_zone)))
        self._metrics.suspected.set(len(membership.detector.suspects()))
        self._metrics.pauses.set(membership.detector.pauses)
