"""Gossip between instances: counts at targets, and anti-entropy of copied tables."""

import asyncio
import functools
import math
from collections.abc import Callable
from typing import Any

from caperridge.gateway.fleet import Fleet
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import (
    Alive,
    Counts,
    Heartbeat,
    TableAsk,
    TableChanges,
    TableNews,
    TableWhole,
)
from caperridge.gateway.occupancy import Count
from caperridge.gateway.rows import RowKey, StoredRow
from caperridge.gateway.table_copy import TableCopy
from caperridge.gateway.watcher import (
    PEER_COPY_DELAY_S,
    StoreReachability,
    TableWatcher,
)

# Changes are sent at once, so every third heartbeat is a full one. In between, near
# peers that were sent nothing recently get a liveness message, and far ones nothing.
FULL_HEARTBEAT_PERIOD_BEATS = 3
# The store answers a long poll within 25 ms of a change, or ten times that if slow.
SLOW_ANSWER_S = 0.3
# A peer answers within some milliseconds unless it is slow or lost.
REQUEST_RETRY_DELAY_S = 0.1


class StaleTable:
    """A table whose own copy lacks changes that a peer has.

    Attributes:
        version: the newest that a peer reported.
        peer: that reported it.
        requested_version: the newest when a peer was last asked.
        timer: until that peer, or another, is asked for its copy.
    """

    __slots__ = ("peer", "requested_version", "timer", "version")

    def __init__(self, version: int, peer: str, timer: asyncio.TimerHandle) -> None:
        self.version = version
        self.peer = peer
        self.requested_version = 0
        self.timer = timer


class PeerUpdates:
    """Sends the own counts and table versions to peers and applies theirs.

    Attributes:
        leaving: sent to peers: this instance takes no new work.
        on_item_started: called with a peer and the target where it started an item.
        on_count_received: called with a target when a peer sent its count there.

    Args:
        mesh: of peers.
        fleet: whose counts are sent.
        watchers: of the tables whose copies peers may ask for.
        reach: whether the store answers here.
    """

    def __init__(
        self,
        mesh: Mesh,
        fleet: Fleet,
        watchers: list[TableWatcher],
        reach: StoreReachability,
    ) -> None:
        self.leaving = False
        self.on_item_started: Callable[[str, str], None] = lambda peer, target: None
        self.on_count_received: Callable[[str], None] = lambda target: None
        self._mesh = mesh
        self._reach = reach
        self._fleet = fleet
        self._watchers_by_table = {watcher.copy.table: watcher for watcher in watchers}
        self._urgent_tables = [
            watcher.copy.table for watcher in watchers if not watcher.min_interval_s
        ]
        self._heartbeat_count = 0
        self._flushing = False
        self._counts_received = False
        self._sent_state: tuple[Any, ...] = ()
        self._announced_versions: dict[str, int] = {}
        self._stale_by_table: dict[str, StaleTable] = {}
        mesh.register(Counts, self._receive_counts)
        mesh.register(Heartbeat, self._receive_heartbeat)
        mesh.register(TableNews, self._receive_table_news)
        mesh.register(TableAsk, self._receive_table_ask)
        mesh.register(TableWhole, self._receive_table_whole)
        mesh.register(TableChanges, self._receive_table_changes)
        for watcher in watchers:
            watcher.publish = functools.partial(self._publish, watcher)
        mesh.on_appear(self._member_appeared)
        mesh.on_lost(self._peer_lost)
        mesh.send_on_connect(self._first_heartbeat)
        mesh.on_messages_received(self._batch_received)

    def send_heartbeat(self) -> None:
        """Send a full heartbeat at intervals, and liveness messages in between.

        Where there are many peers, far contacts get every heartbeat in full.
        """
        state = self._state()
        self._heartbeat_count += 1
        self._mesh.relay_heartbeats()
        unchanged = (
            state == self._sent_state
            and self._heartbeat_count % FULL_HEARTBEAT_PERIOD_BEATS
        )
        if unchanged and not self._mesh.large:
            self._mesh.send_to_idle(Alive())
            return
        heartbeat = self._full_heartbeat(with_lengths=not self._mesh.large)
        self._mesh.send_contacts(heartbeat, all_contacts=self.leaving)
        if unchanged:
            self._mesh.send_to_idle(Alive())
            return
        self._sent_state = state
        self._mesh.send_near(heartbeat)

    def _state(self) -> tuple[Any, ...]:
        """Return the state that only heartbeats carry."""
        return (
            self._reach.reached,
            self.leaving,
            [self.copy_of(table).version for table in self._urgent_tables],
        )

    def _first_heartbeat(self) -> Heartbeat:
        """Return the first heartbeat for a peer."""
        return self._full_heartbeat(with_lengths=True)

    def _full_heartbeat(self, with_lengths: bool) -> Heartbeat:
        """Return the whole state of this instance.

        Lengths of runs are some 45 bytes for each service. Where there are many peers
        each is sent them once, as all learn them by themselves within seconds.
        """
        counts = [
            [target, count.online, count.items, count.latest_due]
            for target, count in self._fleet.occupancy.own_counts().items()
        ]
        versions = {
            table: watcher.copy.version
            for table, watcher in self._watchers_by_table.items()
        }
        lengths = [
            [service, *lengths.to_fields()]
            for service, lengths in self._fleet.run_lengths_by_service.items()
            if with_lengths
        ]
        return Heartbeat(counts, versions, self.leaving, self._reach.reached, lengths)

    def _member_appeared(self, member: Member) -> None:
        """Send everything to a peer that was lost and has dropped its state.

        A far peer learns of this instance with the next heartbeat of a contact.
        """
        if self._mesh.is_near(member):
            self._mesh.send(member.id, self._first_heartbeat())

    def counts_changed(self) -> None:
        """Send changed own counts at the end of this iteration of the event loop.

        Most changes are of peers' counts and are not sent on; an iteration for each of
        those made up a third of all iterations in a fleet of sixty.
        """
        if not self._flushing and self._fleet.occupancy.has_changed:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def table_changed(self, table: str) -> None:
        """Announce the version of the copy of ``table`` to peers."""
        version = self._watchers_by_table[table].copy.version
        if version > self._announced_versions.get(table, 0):
            self._announced_versions[table] = version
            self._mesh.gossip(TableNews(table, version))

    def _flush(self) -> None:
        """Send the counts that changed to the instances that may use those targets."""
        self._flushing = False
        occupancy = self._fleet.occupancy
        near: list[list[Any]] = []
        far: dict[str, list[list[Any]]] = {}
        for id in occupancy.take_changed():
            count = occupancy.own_at(id)
            fields = [id, count.online, count.items, count.latest_due]
            near.append(fields)
            if not self._mesh.large:
                continue
            target = self._fleet.targets.by_id.get(id)
            if target is not None and target.availability_zone != self._mesh.zone:
                far.setdefault(target.availability_zone, []).append(fields)
            self._send_to_far_holders(id, fields)
        if near:
            self._mesh.send_near(Counts(near))
        for zone, counts in far.items():
            self._mesh.send_zone(zone, Counts(counts))

    def _send_to_far_holders(self, target: str, fields: list[Any]) -> None:
        """Send counts to far instances with items at ``target``, to preempt them."""
        for instance in self._fleet.occupancy.item_counts_by_instance(target):
            member = self._mesh.members_by_id.get(instance)
            if member is not None and not self._mesh.is_near(member):
                self._mesh.send(instance, Counts([fields]))

    def _receive_counts(self, peer: str, message: Counts) -> None:
        occupancy = self._fleet.occupancy
        for target, *fields in message.counts:
            count = Count(*fields)
            before = occupancy.update_peer_count(peer, target, count)
            if count.items > before.items:
                self.on_item_started(peer, target)
            self.on_count_received(target)
        self._counts_received = True

    def _batch_received(self) -> None:
        """Notify the fleet once of all counts received together."""
        if self._counts_received:
            self._counts_received = False
            self._fleet.notify_changed()

    def _receive_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        changed = self._mesh.roster.set_store_reached(peer, heartbeat.store_reached)
        if changed and not heartbeat.store_reached and self._reads_for_this_zone(peer):
            self._reach.recheck()
        self._mesh.set_leaving(peer, heartbeat.leaving)
        counts = {target: Count(*count) for target, *count in heartbeat.counts}
        if self._fleet.occupancy.update_peer_counts(peer, counts):
            self._counts_received = True
        for service, *lengths in heartbeat.lengths:
            self._fleet.run_lengths(service).merge(lengths)
        for table, version in heartbeat.versions.items():
            self._note_peer_version(peer, table, version)

    def _reads_for_this_zone(self, peer: str) -> bool:
        """Whether a peer may have read tables of the store for this instance."""
        return self._mesh.members_by_id[peer].zone == self._mesh.zone

    def _receive_table_news(self, peer: str, message: TableNews) -> None:
        self._note_peer_version(peer, message.table, message.version)

    # Table changes that one instance of a zone reads for the others.

    def _publish(
        self, watcher: TableWatcher, rows: list[StoredRow], since: int, version: int
    ) -> None:
        """Send near peers the changes read from the store, if this is their reader."""
        table = watcher.copy.table
        if not self._mesh.large or not watcher.is_reader:
            return
        changed_rows = [
            [row.key.part, row.key.key, row.value, row.version, row.removed]
            for row in rows
        ]
        now = asyncio.get_running_loop().time()
        after_outage = self._fleet.targets.may_have_lapsed(now)
        self._announced_versions[table] = version
        self._mesh.send_near(
            TableChanges(table, since, version, changed_rows, after_outage)
        )

    def _receive_table_changes(self, peer: str, changes: TableChanges) -> None:
        watcher = self._watchers_by_table.get(changes.table)
        if watcher is None:
            return
        now = asyncio.get_running_loop().time()
        lapsed_here = self._fleet.targets.may_have_lapsed(now)
        if changes.after_outage and not lapsed_here:
            self._fleet.targets.store_returned(now)
            self._fleet.notify_changed()
        if lapsed_here and not changes.after_outage and watcher.is_reader:
            # The other reader did not notice the outage, and others believe it.
            self._mesh.send_near(changes.replace(after_outage=True))
        rows = [
            StoredRow(RowKey(changes.table, part, key), value, version, removed)
            for part, key, value, version, removed in changes.rows
        ]
        # All near peers were sent these.
        announced = self._announced_versions.get(changes.table, 0)
        self._announced_versions[changes.table] = max(announced, changes.version)
        watcher.apply_changes_from_peer(rows, changes.since, changes.version, peer)

    def _peer_lost(self, member: Member) -> None:
        """Start reading in place of a lost reader if this instance is the next."""
        if member.zone == self._mesh.zone:
            for watcher in self._watchers_by_table.values():
                watcher.readers_changed()

    def copy_of(self, table: str) -> TableCopy:
        """Return the own copy of a table."""
        return self._watchers_by_table[table].copy

    def _note_peer_version(self, peer: str, table: str, version: int) -> None:
        if table not in self._watchers_by_table or self._includes(table, version):
            return
        stale = self._stale_by_table.get(table)
        if stale is not None:
            if version >= stale.version:
                stale.version = version
                stale.peer = peer
            return
        timer = self._schedule_request(self._store_wait_s(table), table)
        self._stale_by_table[table] = StaleTable(version, peer, timer)

    def is_stale(self, table: str) -> bool:
        """Whether a peer has announced a change that the own copy lacks."""
        stale = self._stale_by_table.get(table)
        return stale is not None and not self._includes(table, stale.version)

    def known_since(self, table: str) -> float:
        """Return since when every change of ``table`` has been known here.

        On the event loop's clock; infinity if changes may be missing.
        """
        if self.is_stale(table):
            return math.inf
        watcher = self._watchers_by_table[table]
        return max(self._reach.reached_since, watcher.complete_since)

    def _includes(self, table: str, version: int) -> bool:
        """Whether the own copy includes all changes up to ``version``.

        A row that a snapshot no longer has gets the snapshot's version, so the version
        of a copy may lie beyond the last change; a copy read up to there is complete.
        """
        copy = self.copy_of(table)
        return version <= max(copy.version, copy.read_version)

    def _store_wait_s(self, table: str) -> float:
        """Return how long the store has to return a change that a peer already has.

        A table that is polled at intervals is behind most of the time.
        """
        spacing_s = self._watchers_by_table[table].min_interval_s
        if not spacing_s or not self._reach.reached:
            return PEER_COPY_DELAY_S
        return spacing_s + SLOW_ANSWER_S

    def _schedule_request(self, delay_s: float, table: str) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(delay_s, self._request_if_stale, table)

    def _request_if_stale(self, table: str) -> None:
        """Ask a peer for its copy; ask again, or another, if no answer comes soon."""
        stale = self._stale_by_table[table]
        if self._includes(table, stale.version):
            del self._stale_by_table[table]
            return
        if not self._mesh.send(stale.peer, TableAsk(table)):
            del self._stale_by_table[table]  # a peer's next heartbeat starts anew
            return
        stale.requested_version = stale.version
        stale.timer = self._schedule_request(REQUEST_RETRY_DELAY_S, table)

    def _receive_table_ask(self, peer: str, request: TableAsk) -> None:
        watcher = self._watchers_by_table.get(request.table)
        if watcher is None or not watcher.copy.loaded:
            return
        rows = [
            [key.part, key.key, row.value, row.version]
            for key, row in watcher.copy.rows_by_key.items()
        ]
        version = watcher.copy.read_version
        self._mesh.send(peer, TableWhole(request.table, version, rows))

    def _receive_table_whole(self, peer: str, message: TableWhole) -> None:
        watcher = self._watchers_by_table.get(message.table)
        if watcher is None:
            return
        rows = [
            StoredRow(RowKey(message.table, part, key), value, version)
            for part, key, value, version in message.rows
        ]
        watcher.apply_snapshot_from_peer(rows, message.version, peer)
        stale = self._stale_by_table.get(message.table)
        if stale is not None and stale.version > stale.requested_version:
            stale.timer.cancel()
            self._request_if_stale(message.table)
