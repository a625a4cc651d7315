"""Keeps which software version began each stream where its caller may come back.

The instance that begins a stream records its origin and sends it to a few peers, chosen
by rendezvous hashing so that any instance finds them. An instance that a caller comes
back to asks them if it doesn't know the stream itself.
"""

import asyncio
import itertools

import xxhash

from caperridge.decisions.rendezvous import score
from caperridge.decisions.stream_origins import OriginTable, StreamOrigin
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.fresh_reads import FreshReads
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.origin_messages import (
    StreamAnswer,
    StreamAsk,
    StreamsBegan,
)
from caperridge.gateway.routes import Route
from caperridge.gateway.targets import name_of
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# One may be lost together with the instance that began the stream.
NEAR_REPLICAS = 2
# While members come and go, the views of two instances differ by one or two of them.
NEAR_ASKED = NEAR_REPLICAS + 2
# A peer answers within milliseconds; one that was lost does not answer at all.
ASK_TIMEOUT_S = 0.15
# A caller may come back a little after the time-out of its route.
KEEP_MARGIN_S = 3.0
# Streams of one bucket have the same replicas, so that these are computed rarely.
BUCKETS = 256
EXPIRY_INTERVAL_S = 2.0


# How the origin of a stream was determined.
RECORDED = "recorded here"
RECORDED_BY_PEER = "recorded by a peer"
INFERRED = "inferred here"
INFERRED_BY_PEERS = "inferred by peers"
UNKNOWN = "unknown"


class FoundOrigin(Record):
    """The origin of a stream that a caller takes up, and how it was determined.

    Attributes:
        origin: of the stream; None if it is unknown.
        source: one of the constants above.
        target: id of the incarnation that began it, as listed; empty if it is not known
            or ids are not used again.
    """

    __slots__ = ("origin", "source", "target")

    def __init__(
        self, origin: StreamOrigin | None, source: str, target: str = ""
    ) -> None:
        self.origin = origin
        self.source = source if origin is not None else UNKNOWN
        self.target = target


class Question:
    """A question to several peers that waits for their answers.

    Attributes:
        unanswered: peers that have not answered.
        answer: resolved by the first one that knows it, or with None by the last one
            that doesn't.
        inferred: what peers that don't know the stream infer, with the version of the
            list of targets up to which each knows it.
    """

    __slots__ = ("answer", "inferred", "unanswered")

    def __init__(self, peers: set[str]) -> None:
        self.unanswered = peers
        self.inferred: list[tuple[StreamOrigin, int]] = []
        self.answer: asyncio.Future[StreamAnswer | None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def known(self) -> StreamAnswer | None:
        """The answer of a peer that knows the origin; None if there is none."""
        answered = self.answer.done() and not self.answer.cancelled()
        return self.answer.result() if answered else None


class Replicas(Record):
    """The peers that keep or know the streams of one bucket.

    Attributes:
        sent: those that this instance sends its streams to.
        asked: those that may know a stream that a caller takes up here.
    """

    __slots__ = ("asked", "sent")

    def __init__(self, sent: list[str], asked: list[str]) -> None:
        self.sent = sent
        self.asked = asked


class StreamOrigins:
    """Records, replicates and looks up the origins of streams; an instance has one.

    Args:
        mesh: of peers.
        fleet: knows the software versions that the listed targets have had.
        target_list: reads the list of targets.
    """

    def __init__(self, mesh: Mesh, fleet: Fleet, target_list: FreshReads) -> None:
        self._mesh = mesh
        self._fleet = fleet
        self._target_list = target_list
        self._table = OriginTable()
        self._replicas_by_bucket: dict[int, Replicas] = {}
        self._replicas_key = -1
        self._numbers = itertools.count()
        self._questions_by_number: dict[int, Question] = {}
        self._unsent: dict[tuple[str, StreamOrigin, str, float], list[int]] = {}
        self._next_expiry = 0.0
        mesh.register(StreamsBegan, self._receive_began)
        mesh.register(StreamAsk, self._receive_ask)
        mesh.register(StreamAnswer, self._receive_answer)

    @property
    def known(self) -> int:
        """How many streams are recorded here."""
        return len(self._table)

    def record(
        self, stream: str, origin: StreamOrigin, route: Route, target: str = ""
    ) -> None:
        """Record what began a stream, here and at its replicas.

        Args:
            stream: id of the caller's try that brought the first event.
            origin: of the stream.
            route: whose time-out limits how long a caller may take it up.
            target: id of the incarnation that is listed for the target.
        """
        if name_of(target) == target:
            target = ""
        key = _key(stream)
        keep_s = _window_s(route)
        self._put(key, origin, keep_s, target)
        for peer in self._replicas(key).sent:
            if not self._unsent:
                asyncio.get_running_loop().call_soon(self._flush)
            self._unsent.setdefault((peer, origin, target, keep_s), []).append(key)

    def withdraw(self, stream: str, origin: StreamOrigin, route: Route) -> None:
        """Record that a stream may have begun at another version than recorded."""
        self.record(stream, origin.replace(software_version=""), route)

    async def find(self, stream: str, route: Route) -> FoundOrigin:
        """Return what began a stream that a caller takes up.

        If no instance knows it, the stream still began at the only version of its
        service where there has been no other. That is inferred only with a read of the
        list of targets that began after this call.

        Args:
            stream: id of the caller's try that brought the first event; empty if the
                caller does not say.
            route: that the caller uses.
        """
        now = asyncio.get_running_loop().time()
        record = self._table.find(_key(stream), now) if stream else None
        if record is not None:
            return _found(record.origin, RECORDED, record.target)
        inferred_by_peers: list[tuple[StreamOrigin, int]] = []
        if stream or self._infer(route) is None:
            question = await self._ask(stream, route)
            known = question.known
            if known is not None:
                origin = StreamOrigin(known.service, known.software_version)
                return _found(origin, RECORDED_BY_PEER, known.target)
            inferred_by_peers = question.inferred
        return await self._infer_with_proof(route, inferred_by_peers)

    async def _infer_with_proof(
        self, route: Route, inferred_by_peers: list[tuple[StreamOrigin, int]]
    ) -> FoundOrigin:
        """Infer what began a stream of a route after a new read of the list.

        Args:
            route: that the caller uses.
            inferred_by_peers: with the version of the list that each relies on. That
                there has been one version holds only if nothing has changed since.
        """
        unknown = FoundOrigin(None, UNKNOWN)
        changed_version = self._target_list.changed_version
        relied_on = [
            version for _, version in inferred_by_peers if version >= changed_version
        ]
        if self._infer(route) is None and not relied_on:
            return unknown
        since = min([*relied_on, self._target_list.read_version])
        changes = await self._target_list.changes_since(since)
        if changes is None:
            return unknown
        changed_version = max((row.version for row in changes), default=changed_version)
        inferred = self._infer(route)
        # That there have been several versions holds whatever has changed since.
        origins = {
            origin
            for origin, version in inferred_by_peers
            if version >= changed_version or not origin.software_version
        }
        agreed = self._agree(origins, inferred, route)
        return FoundOrigin(agreed, INFERRED if inferred else INFERRED_BY_PEERS)

    def _infer(self, route: Route) -> StreamOrigin | None:
        """Return what began every recent stream of a route; None if that differs."""
        if len(route.services) != 1:
            return None
        (service,) = route.services
        now = asyncio.get_running_loop().time()
        version = self._fleet.only_version(service, now, _window_s(route))
        return StreamOrigin(service, version) if version is not None else None

    def _agree(
        self,
        inferred_by_peers: set[StreamOrigin],
        inferred: StreamOrigin | None,
        route: Route,
    ) -> StreamOrigin | None:
        """Return what peers and this instance infer, if all of them agree.

        An instance that has just started is unsure, but may know of another version.
        """
        all_inferred = inferred_by_peers | ({inferred} if inferred else set())
        if len(all_inferred) != 1:
            return None
        (origin,) = all_inferred
        now = asyncio.get_running_loop().time()
        known = self._fleet.recent_versions(origin.service, now, _window_s(route))
        return origin if known == {origin.software_version} else None

    def expire(self, now: float) -> None:
        """Drop what is no longer needed."""
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            self._table.expire(now)

    def _put(self, key: int, origin: StreamOrigin, keep_s: float, target: str) -> None:
        now = asyncio.get_running_loop().time()
        self._table.put(key, origin, now + keep_s, target)

    def _flush(self) -> None:
        """Send the streams recorded in this iteration of the event loop."""
        unsent, self._unsent = self._unsent, {}
        for (peer, origin, target, keep_s), streams in unsent.items():
            began = StreamsBegan(
                origin.service, origin.software_version, keep_s, streams, target
            )
            self._mesh.send(peer, began)

    async def _ask(self, stream: str, route: Route) -> Question:
        """Ask peers for the origin of a stream; return what they answered in time."""
        key = _key(stream)
        service = next(iter(route.services)) if len(route.services) == 1 else ""
        number = next(self._numbers)
        ask = StreamAsk(number, key, service, _window_s(route))
        asked = {one for one in self._replicas(key).asked if self._mesh.send(one, ask)}
        question = Question(asked)
        if not asked:
            return question
        self._questions_by_number[number] = question
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                await question.answer
        except TimeoutError:
            log.info("stream origin not answered", silent=sorted(question.unanswered))
        finally:
            del self._questions_by_number[number]
        return question

    def _receive_began(self, peer: str, message: StreamsBegan) -> None:
        origin = StreamOrigin(message.service, message.software_version)
        for key in message.streams:
            self._put(key, origin, message.keep_s, message.target)

    def _receive_ask(self, peer: str, ask: StreamAsk) -> None:
        now = asyncio.get_running_loop().time()
        record = self._table.find(ask.stream, now)
        inferred = record is None
        origin = self._infer_for_peer(ask, now) if record is None else record.origin
        answer = StreamAnswer(
            ask.number,
            origin.service,
            origin.software_version,
            inferred,
            self._target_list.read_version,
            "" if record is None else record.target,
        )
        self._mesh.send(peer, answer)

    def _infer_for_peer(self, ask: StreamAsk, now: float) -> StreamOrigin:
        """Return the only version that can have begun a stream.

        It has no version if there are several, and no service either if unsure.
        """
        if len(self._fleet.recent_versions(ask.service, now, ask.within_s)) > 1:
            return StreamOrigin(ask.service, "")
        version = self._fleet.only_version(ask.service, now, ask.within_s)
        if version is None:
            return StreamOrigin("", "")
        return StreamOrigin(ask.service, version)

    def _receive_answer(self, peer: str, answer: StreamAnswer) -> None:
        question = self._questions_by_number.get(answer.number)
        if question is None or question.answer.done():
            return
        if peer not in question.unanswered:
            return
        question.unanswered.discard(peer)
        if answer.service and not answer.inferred:
            question.answer.set_result(answer)
            return
        if answer.service:
            origin = StreamOrigin(answer.service, answer.software_version)
            question.inferred.append((origin, answer.list_version))
        if not question.unanswered:
            question.answer.set_result(None)

    def _replicas(self, key: int) -> Replicas:
        """Return the replicas of a stream, cached until members change."""
        if self._replicas_key != self._mesh.changes:
            self._replicas_key = self._mesh.changes
            self._replicas_by_bucket.clear()
        bucket = key % BUCKETS
        found = self._replicas_by_bucket.get(bucket)
        if found is None:
            found = self._replicas_by_bucket[bucket] = self._compute_replicas(bucket)
        return found

    def _compute_replicas(self, bucket: int) -> Replicas:
        """Return the first of a ranking of all instances, in and outside this zone.

        A stream has replicas in the zone that it began in and one outside of it, for
        the case that the whole zone is lost.
        """
        zones_by_id = {
            one.id: one.zone for one in self._mesh.alive() if not one.leaving
        }
        own = self._mesh.instance
        zones_by_id[own] = self._mesh.zone
        ranking = sorted(
            zones_by_id, key=lambda one: score(str(bucket), one), reverse=True
        )
        near = [
            one for one in ranking if zones_by_id[one] == self._mesh.zone and one != own
        ]
        outside = [one for one in ranking if zones_by_id[one] != self._mesh.zone]
        asked = near[:NEAR_ASKED]
        # Of a stream that began in another zone, which may be gone by now.
        zones = sorted(set(zones_by_id.values()) - {self._mesh.zone})
        for zone in [*zones, ""]:
            replica = next(one for one in ranking if zones_by_id[one] != zone)
            if replica != own and replica not in asked:
                asked.append(replica)
        return Replicas(near[:NEAR_REPLICAS] + outside[:1], asked)


def _found(origin: StreamOrigin, source: str, target: str) -> FoundOrigin:
    """Return a recorded origin; unknown if the stream may be of several versions."""
    known = origin if origin.software_version else None
    return FoundOrigin(known, source, target)


def _window_s(route: Route) -> float:
    """Return for how long a stream of a route may be taken up, in seconds."""
    return route.timeout_s + KEEP_MARGIN_S


def _key(stream: str) -> int:
    """Return the hash of a stream's id, which may be of any length."""
    return xxhash.xxh3_64_intdigest(stream.encode())
