"""One instance: its tasks, its listeners, and how they are wired together."""

import time
import zlib
from typing import Any

from aiohttp import web

from caperridge.decisions.limit_share import LimitShare, limit_share_of
from caperridge.decisions.membership import Membership
from caperridge.decisions.routing import TargetPool
from caperridge.elapsed import elapsed_s
from caperridge.instance.authentication import Authentication
from caperridge.instance.batch_streams import BatchStreams
from caperridge.instance.call_sweeper import CallSweeper
from caperridge.instance.callers_http import CallersHttp
from caperridge.instance.configuration import ConfigurationKeeper
from caperridge.instance.dispatcher import BatchDispatcher
from caperridge.instance.drain import Drain
from caperridge.instance.dump import dump
from caperridge.instance.held_requests import HeldRequests
from caperridge.instance.in_flight import InFlight
from caperridge.instance.item_runners import ItemRunners
from caperridge.instance.keyed_calls import KeyedCalls
from caperridge.instance.lease_guard import LeaseGuard
from caperridge.instance.listeners import (
    CUT_AFTER_S,
    OPERATORS_CUT_AFTER_S,
    Listeners,
)
from caperridge.instance.messages import (
    ConfigurationApplied,
    ItemEnded,
    MembersListed,
)
from caperridge.instance.metrics import Metrics
from caperridge.instance.online import OnlineFront
from caperridge.instance.online_news import OnlineReporter
from caperridge.instance.operators_http import OperatorsHttp
from caperridge.instance.orderer import Orderer
from caperridge.instance.peer_metrics import PeerMetrics
from caperridge.instance.peer_news import PeerNews
from caperridge.instance.peers import PeerMesh
from caperridge.instance.plain_calls import PlainFront
from caperridge.instance.plain_items import MOST_RESULT_BYTES, PlainItems
from caperridge.instance.plain_targets import OwnPlainTargets
from caperridge.instance.readiness import (
    ReadinessLog,
    awaited_targets_of,
    not_ready_because,
)
from caperridge.instance.relay import RelayServer
from caperridge.instance.session import SessionKeeper
from caperridge.instance.sweeper import Sweeper
from caperridge.instance.target_reports import TargetReports
from caperridge.instance.traces import Traces
from caperridge.instance.wiring_peers import (
    listen_to_peers,
    members_reader,
    relayed_platform,
)
from caperridge.listening.guard import ConnectionGuard
from caperridge.log import logger
from caperridge.peers.interface import NoPeers, Peers
from caperridge.peers.messages import (
    TargetNews,
)
from caperridge.queries.explain import TraceLookup
from caperridge.settings import Settings
from caperridge.store.http import HttpPlatform
from caperridge.store.interface import ListedMember, Platform
from caperridge.store.relay import RelayedPlatform
from caperridge.targets.engine import EngineClient
from caperridge.targets.orders import OrderClient
from caperridge.targets.plain import PlainClient

log = logger(__name__)


class Instance:
    """All of one instance.

    Args:
        settings: what it was told.
        platform: instead of the one that the settings name, for tests.
        engines: instead of the client over HTTP, for experiments.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform | None = None,
        engines: EngineClient | None = None,
    ) -> None:
        self.settings = settings
        self._direct = platform or HttpPlatform(
            settings.platform_endpoint,
            settings.availability_zone,
            settings.platform_secret,
            settings.platform_deadline_s,
            settings.platform_authority,
        )
        clock = elapsed_s
        self.metrics = Metrics()
        self.traces = Traces()
        self.connections = ConnectionGuard(
            settings.machine, settings.connections, self.metrics.registry
        )
        self._listeners = Listeners(self.connections, settings.connections.limits)
        self.addresses_by_listener = self._listeners.addresses_by_name
        self.in_flight = InFlight()
        self.drain = Drain(self)
        self.membership = Membership(
            settings.instance_id,
            settings.availability_zone,
            heartbeats=bool(settings.peers_secret),
        )
        self.mesh: PeerMesh | None = None
        if settings.peers_secret:
            metrics = PeerMetrics(self.metrics.registry)
            self.mesh = PeerMesh(
                settings, self.membership, metrics, clock, self.connections
            )
        self.peers: Peers = self.mesh or NoPeers()
        self.platform = self._direct
        self.relay_server: RelayServer | None = None
        if self.mesh is not None:
            self.platform = relayed_platform(self, self._direct, self.mesh, clock)
            self.relay_server = RelayServer(self._direct, self.mesh)
        self._engines = engines or EngineClient()
        self._plain_client = PlainClient()
        # Instances differ in the seed, so that they do not choose in step.
        seed = zlib.crc32(settings.instance_id.encode())
        book = TargetPool(settings.availability_zone, seed)
        self.session = SessionKeeper(
            self.platform, settings.instance_id, settings.lease_s, clock
        )
        self.metrics.watch_lease(self.session.left_s)
        self.dispatcher = BatchDispatcher(
            self.platform,
            self.session,
            self.membership,
            self.metrics,
            settings.lease_s,
            clock,
            self.peers,
        )
        self.streams = BatchStreams(
            self.membership,
            LeaseGuard(self._engines, self.dispatcher.may_start),
            self.metrics,
            clock,
            lambda work, error: self.dispatcher.tell(ItemEnded(work, error)),
        )
        self.plain_items = PlainItems(
            self.platform,
            PlainClient(max_answer_bytes=MOST_RESULT_BYTES),
            OwnPlainTargets(self.streams, clock),
            self.dispatcher.may_start,
            clock,
            lambda work, error: self.dispatcher.tell(ItemEnded(work, error)),
        )
        self.dispatcher.streams = ItemRunners(self.streams, self.plain_items)
        self.online_news = OnlineReporter(
            book, self.membership, self.streams, self.peers, clock
        )
        self.held_requests = HeldRequests(
            self.membership, self.peers, self.metrics, clock
        )
        self._seated: dict[str, ListedMember] | None = None
        self._seat_now = LimitShare()
        self.online = OnlineFront(
            book,
            self._engines,
            self.traces,
            self.metrics,
            clock,
            self.online_news.changed,
            self._target_leaving,
            self.held_requests,
            self._seat,
        )
        self.explanations = TraceLookup(self.traces, self.peers)
        self.target_reports = TargetReports(
            self.membership,
            book,
            self._engines,
            lambda target: self.streams.headroom.online(target, clock()),
            self._target_leaving,
            self.peers.send_zone,
            clock,
        )
        self.plain = PlainFront(
            book,
            self._plain_client,
            self.traces,
            self._target_leaving,
            self.online_news.changed,
        )
        self.keyed_calls = KeyedCalls(self.plain, self.platform, self.session)
        self.configuration = ConfigurationKeeper(
            self.platform, self._applied, self.membership, self.peers
        )
        known = Authentication(self.configuration, settings.first_operator_sha256)
        self.caller = known.caller
        self.operator = known.operator
        self.members = members_reader(self, self._listed)
        self.peer_news = PeerNews(
            [self.online.book, self.streams.book],
            self.streams,
            self.dispatcher.tell,
            self.membership,
            self.peers,
        )
        self._order_client = OrderClient(lease_s=settings.lease_s)
        self.orderer = Orderer(
            self.platform,
            self.session,
            self.membership,
            self._order_client,
            clock,
            settings.lease_s,
        )
        self.orderer.peers = self.peers
        self.orderer.changed = self._loaded_changed
        self.session.configuration_version = lambda: self.configuration.current.version
        self._actors = [
            self.session,
            self.configuration,
            self.orderer,
            self.members,
            self.dispatcher,
            Sweeper(
                self.platform,
                self.membership,
                settings.retention_s,
                clock,
                time.time,
            ),
            self.target_reports,
            self.online_news,
            CallSweeper(self.platform, self.membership),
        ]
        if self.mesh is not None:
            listen_to_peers(self, self.mesh)
            self._actors.append(self.mesh)
        self.awaited_targets = awaited_targets_of(self, clock)
        self._actors.append(ReadinessLog(settings.instance_id, self.not_ready_because))

    def _applied(self, message: ConfigurationApplied) -> None:
        self.metrics.configuration_version.set(message.configuration.version)
        self.streams.configuration = message.configuration
        self.orderer.tell(message)
        self._loaded_changed()
        self.target_reports.engine_services = {
            service.name
            for service in message.configuration.services_by_name.values()
            if service.kind == "engine"
        }

    def _listed(self, message: MembersListed) -> None:
        self.membership.apply_list(message.members, elapsed_s())
        self.online.book.apply_list(message.members, elapsed_s())
        self.streams.book.apply_list(message.members)
        self.orderer.tell(message)

    def _loaded_changed(self) -> None:
        """Leave out targets that load or hold something else."""
        services_by_name = self.configuration.current.services_by_name
        book = self.orderer.book
        closed: set[str] = set()
        for target_id, state in self.online.book.states_by_id.items():
            service = services_by_name.get(state.member.service)
            if service is not None and book.closed_to_online(target_id, service):
                closed.add(target_id)
        self.online.book.set_closed(closed)
        self.streams.close({t for t in closed if book.closed_to_batch(t)})

    def _seat(self) -> LimitShare:
        """Return the place of this instance among the live ones."""
        members = self.membership.members_by_id
        if members is not self._seated:  # replaced with each list
            live = [member.id for member in members.values() if member.state == "live"]
            self._seated = members
            self._seat_now = limit_share_of(self.settings.instance_id, live)
        return self._seat_now

    def _target_leaving(self, target: str) -> None:
        """Act on a target's own word that it is leaving, and pass it on."""
        state = self.online.book.states_by_id.get(target)
        if state is None or state.leaving:
            return
        news = TargetNews(target, state.member.incarnation, leaving=True)
        self.peer_news.take(self.settings.instance_id, news)
        self.peers.send_all(news)

    def versions_of_peers(self) -> dict[str, int]:
        """Return the configuration's version that each heartbeat told, by instance."""
        return {} if self.mesh is None else dict(self.mesh.versions_by_id)

    def not_ready_because(self) -> list[str]:
        """Return what keeps this instance from being ready; empty if it is."""
        return not_ready_because(self)

    def state(self) -> dict[str, Any]:
        """Return a dump of everything this process holds, for operators."""
        return dump(self)

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        callers = CallersHttp(self).app()
        self.in_flight.add_to(callers)
        await self._listen("callers", callers, CUT_AFTER_S)
        await self._listen(
            "operators", OperatorsHttp(self).app(), OPERATORS_CUT_AFTER_S
        )
        if self.mesh is not None:
            at = await self.mesh.open(self.settings.peers)
            self.addresses_by_listener["peers"] = at
        for actor in self._actors:
            actor.start()
        log.info(
            "instance started",
            instance=self.settings.instance_id,
            **{name: str(at) for name, at in self.addresses_by_listener.items()},
        )

    async def _listen(
        self, name: str, app: web.Application, cut_after_s: float
    ) -> None:
        at = getattr(self.settings, name)
        files = self.settings.tls_by_listener.get(name)
        await self._listeners.open(name, app, at, files, cut_after_s)

    async def stop(self) -> None:
        """End at once."""
        await self._listeners.close()
        await self.plain_items.close()
        for actor in reversed(self._actors):
            await actor.stop()
        await self.held_requests.close()
        await self._engines.close()
        await self._order_client.close()
        await self._plain_client.close()
        if self.relay_server is not None:
            await self.relay_server.stop()
        if isinstance(self.platform, RelayedPlatform):
            await self.platform.close()
        if isinstance(self._direct, HttpPlatform):
            await self._direct.close()
