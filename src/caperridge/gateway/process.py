"""Composition root of a gateway instance: its parts, its start and its stop."""

import asyncio
import random
import secrets

from caperridge.closing import Close
from caperridge.decisions.quarantine import Quarantine
from caperridge.elapsed import (
    COUNTS_SUSPENSIONS,
    Stall,
    StallDetector,
    elapsed_s,
)
from caperridge.gateway.answer_limits import AnswerLimits
from caperridge.gateway.background import BackgroundTasks
from caperridge.gateway.clock import StoreClock
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.dialect import Dialect
from caperridge.gateway.edge_parts import make_edge
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.forwarding import Forwarder
from caperridge.gateway.fresh_reads import FreshReads
from caperridge.gateway.held_rows import QuarantineTable
from caperridge.gateway.incarnations import IncarnationCheck
from caperridge.gateway.jobs.acceptance import JobAcceptance
from caperridge.gateway.jobs.broker import SlotBroker
from caperridge.gateway.jobs.claims import JobClaimer
from caperridge.gateway.jobs.edge import JobsEdge
from caperridge.gateway.jobs.granting import SlotGranting
from caperridge.gateway.jobs.index import JobIndex
from caperridge.gateway.jobs.item_runs import ItemRuns
from caperridge.gateway.jobs.keeper import JobKeeper
from caperridge.gateway.jobs.keeping import JobWriter
from caperridge.gateway.jobs.recalls import SlotRecalls
from caperridge.gateway.jobs.slots import ItemSlots
from caperridge.gateway.jobs.sweep import JobSweeper
from caperridge.gateway.listeners import (
    Listener,
    listen_at,
    metrics_application,
    own_listeners,
    ready_application,
)
from caperridge.gateway.mesh.lives import new_incarnation
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.news import PeerUpdates
from caperridge.gateway.observed_store import ObservedStore
from caperridge.gateway.quotas import make_quotas
from caperridge.gateway.registry import InstanceRegistry
from caperridge.gateway.relayed_store import RelayedStore
from caperridge.gateway.repeating_store import HedgingStore
from caperridge.gateway.request_guard import RequestGuard
from caperridge.gateway.resumption import StreamResumption
from caperridge.gateway.rows import RowStore
from caperridge.gateway.settings import Settings
from caperridge.gateway.state import state_of
from caperridge.gateway.stopping import PlannedStop
from caperridge.gateway.stream_origins import StreamOrigins
from caperridge.gateway.table_readers import TableReaders
from caperridge.gateway.table_rows import TableRows
from caperridge.gateway.table_watchers import TableWatchers
from caperridge.gateway.target_ends import CrashDetector
from caperridge.gateway.unowned import OrphanedRunScan
from caperridge.gateway.unreachable import probe_unreachable
from caperridge.gateway.upstream import TargetClient
from caperridge.gateway.watcher import StoreReachability
from caperridge.gateway.zones import silent_zones
from caperridge.listening.guard import ConnectionGuard, Listening
from caperridge.log import logger

log = logger(__name__)

TICK_INTERVAL_S = 0.4
# Heartbeats are most of what an idle instance of a large fleet sends and receives: 85
# messages a second with 63 instances at 0.4 s.
HEARTBEAT_INTERVAL_S = 0.6
# Well above the delay of timers on a busy machine, and well below the silence after
# which peers declare this instance lost.
MIN_STALL_S = 0.3


class GatewayInstance:
    """One gateway instance with all its parts.

    Args:
        settings: of the instance.
        dialect: of the wire.
        store: the shared store.
    """

    def __init__(self, settings: Settings, dialect: Dialect, store: RowStore) -> None:
        self.settings = settings
        self._dialect = dialect
        rng = random.Random(secrets.randbits(64))
        incarnation = new_incarnation(settings.instance)
        self.metrics = GatewayMetrics()
        self.configuration = ConfigurationInForce()
        self.connections = ConnectionGuard(
            settings.machine, settings.connections, self.metrics.registry
        )
        self.fleet = Fleet(settings.instance, settings.availability_zone, rng)
        self.clock = StoreClock()
        self.reachability = StoreReachability()
        self.index = JobIndex()
        self.mesh = Mesh(
            settings.instance,
            incarnation,
            settings.availability_zone,
            settings.peers,
            settings.seeds,
            rng,
        )
        self.metrics.registry.register(self.mesh.traffic)
        relayed = RelayedStore(store, self.mesh, self.reachability, rng)
        store = ObservedStore(relayed, self.clock, self.metrics)
        self._store = store
        hedging = HedgingStore(store)
        self.client = TargetClient(dialect)
        quarantine = Quarantine()
        rows = QuarantineTable(hedging, self.clock, self.reachability, quarantine)
        self._crash_detector = CrashDetector(self.fleet)
        self.client.has_crashed = self._crash_detector.has_crashed
        self.guard = RequestGuard(
            quarantine,
            self._crash_detector,
            rows,
            self.mesh,
            self.fleet,
            self.metrics,
        )
        incarnations = IncarnationCheck(self.fleet, self.client, dialect)
        runs = ItemRuns(
            self.fleet,
            self.client,
            dialect,
            self.metrics,
            self._crash_detector,
            incarnations,
        )
        slots = ItemSlots(
            self.configuration, self.fleet, self.clock, runs, self.metrics
        )
        self.granting = SlotGranting(
            self.mesh,
            self.fleet,
            self.clock,
            slots,
            SlotBroker(settings.instance),
            rng,
        )
        self.keeper = JobKeeper(
            store,
            self.index,
            self.configuration,
            self.mesh,
            self.reachability,
            JobWriter(hedging, incarnation),
            JobClaimer(store, self.mesh),
            slots,
            self.granting,
        )
        self.recalls = SlotRecalls(
            self.mesh, self.fleet, self.granting, slots, self.keeper.held_jobs
        )
        self.orphan_scan = OrphanedRunScan(
            self.fleet,
            self.client,
            dialect,
            self.mesh,
            lambda: self.configuration.in_service(self.granting.granted_targets()),
        )
        self._rows = TableRows(
            dialect,
            self.configuration,
            self.fleet,
            self.client,
            self.index,
            self.metrics,
        )
        watchers = TableWatchers(
            store,
            self.reachability,
            TableReaders(self.mesh, self.reachability).reads,
            rng,
            dialect,
            self._rows,
            self.index,
            self.guard,
        )
        self._watchers = watchers.all
        acceptance = JobAcceptance(hedging, self.index, self.clock, rng)
        limits = AnswerLimits()
        jobs = JobsEdge(
            store, self.index, acceptance, self.keeper, self.metrics, limits
        )
        target_list = FreshReads(watchers.targets)
        self.origins = StreamOrigins(self.mesh, self.fleet, target_list)
        self._forwarder = Forwarder(
            self.fleet,
            self.client,
            dialect,
            self.metrics,
            limits,
            self.guard,
            self.origins,
            StreamResumption(
                self.origins, self.metrics, watchers.targets, incarnations
            ),
            incarnations,
        )
        self.quotas = make_quotas(self.mesh, self.configuration, settings.seeds)
        self.edge = make_edge(
            self.configuration,
            self._forwarder,
            jobs,
            self.quotas,
            dialect,
            self.metrics,
            limits,
        )
        self.updates = PeerUpdates(
            self.mesh, self.fleet, self._watchers, self.reachability
        )
        self.registry = InstanceRegistry(store, self.mesh)
        self.sweeper = JobSweeper(
            store, self.index, self.clock, self.mesh, settings.jobs_kept_s
        )
        self.background = BackgroundTasks(self.metrics)
        self._caller_listener = listen_at(
            self.edge.application(),
            settings.callers,
            self.connections,
            Listening("callers", self.configuration.caller_limits),
        )
        self._listeners: list[Listener] = []
        self._connect_parts()

    def _connect_parts(self) -> None:
        self._rows.on_applied = self.updates.table_changed
        self._rows.on_target_removed = self._crash_detector.target_removed
        self._rows.on_target_replaced = self._crash_detector.target_restarted
        self.edge.read_peers = self.mesh.receive_now
        self.configuration.newer_announced = lambda: self.updates.is_stale(
            self._dialect.configuration_table
        )
        self.fleet.list_known_since = lambda: self.updates.known_since(
            self._dialect.targets_table
        )
        self.fleet.silent_zones = lambda now: silent_zones(self.mesh, now)
        self.updates.on_item_started = self.granting.slot_used
        self.updates.on_count_received = self._on_peer_count
        self._forwarder.on_placed = self.keeper.check_slots
        self.reachability.on_recovered(self.fleet.targets.store_returned)
        self.fleet.on_change(self.keeper.fleet_changed)
        self.fleet.on_change(self.updates.counts_changed)
        self.configuration.on_change(self.keeper.schedule_check)
        self.index.on_change(self.keeper.schedule_check)
        self.mesh.on_lost(self._on_peer_lost)

    def _on_peer_count(self, target: str) -> None:
        self.recalls.check(target)
        self.keeper.check_slots(target)

    def _on_peer_lost(self, member: Member) -> None:
        self.fleet.occupancy.remove_peer(member.id)
        self.fleet.notify_changed()

    # Start and stop.

    @property
    def ready(self) -> bool:
        """Whether the instance accepts callers."""
        loaded = self.configuration.table is not None and self.fleet.targets_known
        return loaded and not self.edge.closing

    async def start(self) -> None:
        """Start listening and all background tasks, without waiting for readiness."""
        settings = self.settings
        self.quotas.start()
        await self.mesh.start(self.connections)
        ready = ready_application(lambda: self.ready, lambda: state_of(self))
        metrics = metrics_application(self.metrics.registry)
        own = own_listeners(settings, self.connections, ready, metrics)
        self._listeners = [*own, self._caller_listener]
        for listener in self._listeners:
            await listener.start()
        for watcher in self._watchers:
            self.background.start(f"watch {watcher.copy.table}", watcher.run)
        work_by_name = {
            "keep jobs": self.keeper.run,
            "register": self.registry.run,
            "tick": self._tick,
            "send heartbeats": self._send_heartbeats,
            "probe unreachable": lambda: probe_unreachable(self.fleet, self.client),
            "scan orphaned runs": self.orphan_scan.run,
            "sweep jobs": self.sweeper.run,
            "expire quarantine": self.guard.run,
            "write quarantine": self.guard.rows.run,
        }
        for name, work in work_by_name.items():
            self.background.start(name, work)
        log.info(
            "instance started",
            instance=settings.instance,
            availability_zone=settings.availability_zone,
            callers=settings.callers,
            incarnation=self.mesh.incarnation,
            counts_suspensions=COUNTS_SUSPENSIONS,
        )

    async def stop(self, grace_s: float) -> int:
        """Drain and stop within ``grace_s``; return how many requests were cut off."""
        log.info("instance stops", running=self.edge.running)
        self.updates.leaving = True
        self.quotas.leave()
        steps = [self._notify_peers, self.keeper.hand_over, self.registry.deregister]
        return await PlannedStop(self.edge, self._caller_listener, steps).run(grace_s)

    async def _notify_peers(self) -> None:
        self.updates.send_heartbeat()

    def reload(self, settings: Settings) -> None:
        """Apply changed settings; those of listeners take effect at the next start."""
        self.settings = settings
        log.info("settings reloaded", log_level=settings.log_level)

    async def close(self) -> None:
        """Close all tasks and connections at once."""
        for close in self.parts().values():
            await close()

    def parts(self) -> dict[str, Close]:
        """Return the function that closes each part, in closing order."""
        return {
            "tasks": self.background.stop,
            "peers": self.mesh.stop,
            "target looks": self._crash_detector.close,
            "targets": self.client.close,
            "listeners": self._close_listeners,
        }

    async def _close_listeners(self) -> None:
        for listener in self._listeners:
            await listener.stop()
        self.connections.close()

    async def _tick(self) -> None:
        watch = StallDetector()
        due = elapsed_s()
        while True:
            now = elapsed_s()
            if not self._recover_from_stall(watch.observe(now - due)):
                self.mesh.check_members()
            due = now + TICK_INTERVAL_S
            self.fleet.remote_counts_stale = self.mesh.large
            self.recalls.expire(now)
            self.quotas.tick(now)
            self.origins.expire(now)
            expired = self.fleet.targets.expire(now)
            if expired:
                log.info("targets expired after a store outage", targets=expired)
                self.fleet.notify_changed()
            self.metrics.peers_alive.set(len(self.mesh.alive()))
            await asyncio.sleep(TICK_INTERVAL_S)

    def _recover_from_stall(self, stall: Stall) -> bool:
        """Handle a stall of this process; return whether there was one.

        Messages that peers sent during the stall wait in the sockets. They are read
        first: a check of the peers' silence before that would declare all of them lost
        and drop their counts.
        """
        if stall.stood_s < MIN_STALL_S:
            return False
        self.metrics.standstill.observe(stall.stood_s)
        self.mesh.receive_now()
        for watcher in self._watchers:
            watcher.note_gap()
        log.warning(
            "instance stood still",
            stood_s=round(stall.stood_s, 3),
            suspended_s=round(stall.suspended_s, 3),
            running=self.edge.running,
            jobs_held=len(self.keeper.held_by_id),
            peers=len(self.mesh.alive()),
        )
        return True

    async def _send_heartbeats(self) -> None:
        while True:
            self.updates.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
