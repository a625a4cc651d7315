"""Table readers: in a large mesh two instances of a zone read a table for all."""

import asyncio
import random

import pytest
from result import Ok

from caperridge.gateway import watcher as watching
from caperridge.gateway.mesh import mesh
from caperridge.gateway.mesh.messages import Heartbeat
from caperridge.gateway.process import HEARTBEAT_INTERVAL_S, GatewayInstance
from caperridge.gateway.rows import RowKey, RowsRead, StoredRow
from caperridge.gateway.table_readers import READERS_PER_ZONE
from gateway.conftest import ROUTES, World, until
from loop_clock import LoopClock

TARGETS = "servers"


async def _zone(world: World, zones: str = "aaaaa") -> list[GatewayInstance]:
    await world.add_runner()
    instances = [await world.add_instance(zone=zone) for zone in zones]
    await world.ready()
    for instance in instances:
        await until(lambda one=instance: len(_reaching(one)) == len(instances) - 1)
    return instances


def _reaching(instance: GatewayInstance) -> list[str]:
    return [one.id for one in instance.mesh.alive() if one.store_reached]


def _watcher(instance: GatewayInstance, table: str) -> watching.TableWatcher:
    return instance.updates._watchers_by_table[table]


def _readers(instances: list[GatewayInstance], table: str) -> list[GatewayInstance]:
    return [one for one in instances if _watcher(one, table).is_reader]


async def _stop_watchers(instance: GatewayInstance) -> None:
    """Cancel an instance's table watchers."""
    tasks_by_name = instance.background.tasks_by_name
    ended = [task for name, task in tasks_by_name.items() if name.startswith("watch ")]
    assert len(ended) == len(instance._watchers)
    for task in ended:
        task.cancel()
    await asyncio.gather(*ended, return_exceptions=True)


async def test_as_many_read_a_table_whatever_the_size_of_the_zone(
    world: World, many_peers: None
) -> None:
    instances = await _zone(world)
    for table in instances[0].updates._watchers_by_table:
        assert len(_readers(instances, table)) == READERS_PER_ZONE


async def test_with_few_peers_all_read_for_themselves(world: World) -> None:
    instances = await _zone(world, "aaa")
    assert _readers(instances, TARGETS) == instances


async def test_what_readers_read_is_known_to_all_at_once(
    world: World, many_peers: None
) -> None:
    instances = await _zone(world)
    readers = _readers(instances, TARGETS)
    others = [one for one in instances if one not in readers]
    for other in others:
        await _stop_watchers(other)
    world.list_runner(world.runners[0], state="draining")
    for other in others:
        target = other.fleet.targets.find_by_name("i-0")
        assert target is not None
        await until(
            lambda one=other: one.fleet.targets.find_by_name("i-0").draining,
            watching.LONG_POLL_S / 2,
        )


async def test_a_configuration_is_in_force_where_the_store_is_not_asked(
    world: World, many_peers: None
) -> None:
    instances = await _zone(world, "aaaaab")
    table = instances[0]._dialect.configuration_table
    readers = _readers(instances, table)
    for other in instances:
        if other not in readers:
            await _stop_watchers(other)
    world.configure(2, ROUTES)
    for instance in instances:
        await until(lambda one=instance: one.configuration.table.version == 2, 1.0)


async def test_when_both_readers_are_lost_others_read(
    world: World, many_peers: None
) -> None:
    instances = await _zone(world)
    for reader in _readers(instances, TARGETS):
        instances.remove(reader)
        await world.kill(reader)
    world.list_runner(world.runners[0], state="draining")
    for instance in instances:
        await until(
            lambda one=instance: one.fleet.targets.find_by_name("i-0").draining,
            mesh.SILENCE_TIMEOUT_S,
        )


async def test_a_reader_that_the_store_turns_away_is_replaced(
    world: World, many_peers: None
) -> None:
    instances = await _zone(world)
    for reader in _readers(instances, TARGETS):
        world.store_of(reader)._base = "http://127.0.0.1:1"
    world.list_runner(world.runners[0], state="draining")
    for instance in instances:
        await until(
            lambda one=instance: one.fleet.targets.find_by_name("i-0").draining, 5.0
        )


def _row(version: int, state: bytes, removed: bool = False) -> StoredRow:
    return StoredRow(RowKey("t", "", "k"), state, version, removed)


@pytest.fixture
def copy_watcher() -> watching.TableWatcher:
    taken: list[list[StoredRow]] = []
    made = watching.TableWatcher(
        None,
        watching.TableCopy("t"),
        watching.StoreReachability(),
        lambda rows, source: taken.append(rows),
        reads=lambda table: False,
    )
    made.taken = taken
    return made


def test_changes_before_the_table_was_read_say_nothing(
    copy_watcher: watching.TableWatcher,
) -> None:
    """Taking them for the whole table would serve with a part of the targets."""
    copy_watcher.apply_changes_from_peer([_row(5, b"x")], 0, 5, "peer")
    assert not copy_watcher.copy.loaded
    assert copy_watcher.taken == []


def test_a_gap_before_changes_is_looked_for(
    copy_watcher: watching.TableWatcher,
) -> None:
    copy_watcher.copy.apply_snapshot([], 3)
    copy_watcher.apply_changes_from_peer([_row(5, b"x")], 3, 5, "peer")
    assert copy_watcher.copy.read_version == 5
    assert not copy_watcher._wake.is_set()
    copy_watcher.apply_changes_from_peer([_row(9, b"z")], 7, 9, "peer")
    assert copy_watcher.copy.read_version == 5
    assert copy_watcher._wake.is_set()


def test_changes_that_come_twice_or_late_bring_nothing_back(
    copy_watcher: watching.TableWatcher,
) -> None:
    copy_watcher.copy.apply_snapshot([], 3)
    for _ in range(2):
        copy_watcher.apply_changes_from_peer([_row(5, b"x")], 3, 5, "peer")
        copy_watcher.apply_changes_from_peer([_row(6, b"", True)], 5, 6, "peer")
    assert copy_watcher.copy.rows_by_key == {}
    assert [[row.version for row in rows] for rows in copy_watcher.taken] == [[5], [6]]


async def _read_pages(
    watcher: watching.TableWatcher, *pages: list[StoredRow]
) -> list[tuple[int, int, int]]:
    """Have a watcher read the pages; return what it published: rows, since, version."""
    published: list[tuple[int, int, int]] = []
    watcher.publish = lambda rows, since, version: published.append(
        (len(rows), since, version)
    )
    watcher._store = PagedStore(pages)
    for _ in pages:
        await watcher._poll(0.0)
    return published


class PagedStore:
    """A change feed that answers with these pages in turn."""

    def __init__(self, pages: tuple[list[StoredRow], ...]) -> None:
        self._pages = list(pages)

    async def changes(self, table: str, since: int, wait_s: float):
        rows = self._pages.pop(0)
        newest = max((row.version for row in rows), default=since)
        return Ok(RowsRead(rows, False, newest + 1, 1.0))


async def test_a_reader_passes_on_what_it_wrote_itself(
    copy_watcher: watching.TableWatcher,
) -> None:
    """The row is known to this instance, but not to the others."""
    copy_watcher.copy.apply_snapshot([], 3)
    own = _row(5, b"x")
    copy_watcher.copy.apply_row(own)
    published = await _read_pages(copy_watcher, [own], [], [_row(9, b"y")])
    assert published == [(1, 3, 5), (1, 5, 9)]


async def test_what_another_reader_passed_on_is_not_passed_on_again(
    copy_watcher: watching.TableWatcher,
) -> None:
    copy_watcher.copy.apply_snapshot([], 3)
    copy_watcher.apply_changes_from_peer([_row(5, b"x")], 3, 5, "peer")
    published = await _read_pages(copy_watcher, [_row(5, b"x")], [_row(6, b"y")])
    assert published == [(1, 5, 6)]


async def test_entries_that_lapsed_in_an_outage_are_kept_by_who_did_not_see_it(
    world: World, many_peers: None
) -> None:
    """A reader saw the outage; the others learn of it with the changes."""
    instances = await _zone(world)
    reader = _readers(instances, TARGETS)[0]
    other = next(one for one in instances if one not in _readers(instances, TARGETS))
    await _stop_watchers(other)
    loop = asyncio.get_running_loop()
    reader.fleet.targets.store_returned(loop.time())
    world.store.remove("servers", "i-0")
    await until(lambda: other.fleet.targets._lapsing_until_by_id, 1.0)
    assert other.fleet.targets.find_by_name("i-0") is not None


async def test_who_does_not_read_looks_at_the_store_now_and_then(
    world: World, many_peers: None
) -> None:
    instances = await _zone(world)
    other = next(one for one in instances if one not in _readers(instances, TARGETS))
    calls: list[str] = []
    store = world.store_of(other)
    changes = store.changes

    async def record(table: str, since: int, wait_s: float):
        calls.append(table)
        return await changes(table, since, wait_s)

    store.changes = record
    clock = LoopClock(still=True)
    await clock.ahead_until(lambda: TARGETS in calls)


class LateStore:
    """One table whose feed answers late, with the rows of when it was asked."""

    def __init__(self, chance: random.Random) -> None:
        self.version = 0
        self.rows_by_key: dict[RowKey, StoredRow] = {}
        self._chance = chance

    def write(self) -> StoredRow:
        self.version += self._chance.randint(1, 3)  # other tables change too
        key = RowKey("t", "", f"k{self._chance.randint(0, 30)}")
        row = StoredRow(key, b"x", self.version)
        self.rows_by_key[key] = row
        return row

    async def changes(self, table: str, since: int, wait_s: float):
        rows = [row for row in self.rows_by_key.values() if row.version > since]
        rows.sort(key=lambda row: row.version)
        page = RowsRead(rows, False, self.version, 1.0)
        for _ in range(self._chance.randint(1, 6)):
            await asyncio.sleep(0)
        return Ok(page)


@pytest.mark.parametrize("seed", range(30))
async def test_who_believes_to_know_all_up_to_a_version_lacks_no_row(seed: int) -> None:
    """A skipped row once hid a job that had been accepted.

    Two watchers read at once, publish, lose some of what they publish, and write rows
    themselves; the whole table is read during the long polls, too.
    """
    chance = random.Random(seed)
    store = LateStore(chance)
    watchers = [
        watching.TableWatcher(
            store,
            watching.TableCopy("t"),
            watching.StoreReachability(),
            lambda rows, source: None,
        )
        for _ in range(4)
    ]

    def make_publish(sender: watching.TableWatcher) -> watching.Publish:
        def publish(rows: list[StoredRow], since: int, version: int) -> None:
            for receiver in watchers:
                if receiver is not sender and chance.random() < 0.8:
                    receiver.apply_changes_from_peer(rows, since, version, "peer")

        return publish

    for watcher in watchers:
        watcher.copy.apply_snapshot([], 0)
        watcher.publish = make_publish(watcher)
    calls: set[asyncio.Task] = set()
    for _ in range(200):
        if chance.random() < 0.4:
            row = store.write()
            if chance.random() < 0.3:
                chance.choice(watchers).copy.apply_row(row)
        if chance.random() < 0.5 and len(calls) < 3:
            calls.add(asyncio.ensure_future(chance.choice(watchers[:2])._poll(1.0)))
        if chance.random() < 0.05:
            whole = list(store.rows_by_key.values())
            chance.choice(watchers).apply_snapshot_from_peer(
                whole, store.version, "peer"
            )
        if chance.random() < 0.05:
            whole = list(store.rows_by_key.values())
            chance.choice(watchers).copy.apply_snapshot(whole, store.version)
        await asyncio.sleep(0)
        calls = {one for one in calls if not one.done()}
        for watcher in watchers:
            known = watcher.copy.rows_by_key
            for key, row in store.rows_by_key.items():
                if row.version <= watcher.copy.read_version:
                    assert known.get(key) == row
    await asyncio.gather(*calls)


@pytest.mark.parametrize(("zone", "rechecks"), [("a", 1), ("b", 0)])
async def test_only_a_near_peer_that_the_store_turns_away_makes_others_look(
    world: World, many_peers: None, zone: str, rechecks: int
) -> None:
    """Only near peers read for this instance; a far zone may lose the whole store."""
    instance = await world.add_instance(zone="a")
    peer = await world.add_instance(zone=zone)
    await world.ready()
    id = peer.settings.instance
    peer.updates.send_heartbeat = lambda: None
    await asyncio.sleep(HEARTBEAT_INTERVAL_S)
    instance.updates._receive_heartbeat(id, Heartbeat([], {}, store_reached=True))
    rechecked: list[None] = []
    instance.reachability.recheck = lambda: rechecked.append(None)
    instance.updates._receive_heartbeat(id, Heartbeat([], {}, store_reached=False))
    assert len(rechecked) == rechecks
