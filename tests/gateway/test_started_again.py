"""Targets that restart under the same name, and invalid entries.

A target that crashes and restarts is listed under the same name. State of its earlier
incarnation no longer holds: counted runs, failures, and the time to avoid it.
"""

import asyncio
import random

import orjson
import pytest

from caperridge.gateway.fleet import Fleet
from caperridge.gateway.occupancy import Count
from caperridge.gateway.registry import FIRST_POLL_DELAY_S
from caperridge.gateway.targets import Target, TargetList
from caperridge.records import pack
from caperridge.targets.outcomes import WrongAnswer
from gateway.conftest import World, until
from gateway.test_jobs import ITEMS, listed

STARTED_AT_MS = 1_790_000_000_000


@pytest.fixture
def fleet() -> Fleet:
    return Fleet("e-0", "a", random.Random(1))


def incarnation(number: int, draining: bool = False) -> Target:
    return Target(f"t@{number}", "model", "10.0.0.1:1", "a", 4, draining, name="t")


def test_a_later_life_replaces_the_earlier_one() -> None:
    targets = TargetList()
    assert targets.put(incarnation(1)) is None
    assert targets.put(incarnation(1, draining=True)) is None
    replaced = targets.put(incarnation(2))
    assert replaced is not None and replaced.id == "t@1"
    assert list(targets.by_id) == ["t@2"]
    targets.remove("t", now=1.0)
    assert not targets.by_id


def test_an_entry_of_no_use_drops_the_target_also_after_an_outage() -> None:
    targets = TargetList()
    targets.put(incarnation(1))
    targets.store_returned(10.0)
    assert targets.discard("t")
    assert not targets.by_id
    assert not targets.discard("t")
    assert targets.expire(20.0) == []


def test_nothing_of_an_earlier_life_counts_for_a_target(fleet: Fleet) -> None:
    fleet.targets.put(incarnation(1))
    fleet.record_failure(incarnation(1), WrongAnswer("an event out of order"), 0.0)
    fleet.mark_replaced("t@1", 0.0)
    fleet.record_item_refusal("t@1", 0.0)
    fleet.occupancy.update_peer_count("peer", "t@1", Count(online=4))
    assert not fleet.takes_items("t@1", 0.1)
    fleet.targets.put(incarnation(2))
    fleet.discard_removed()
    assert fleet.takes_items("t@2", 0.1)
    assert [target.id for target in fleet.usable("model", 0.1)] == ["t@2"]
    # A peer that does not know the new incarnation yet sends counts of the old one.
    fleet.occupancy.update_peer_count("peer", "t@1", Count(online=3))
    assert fleet.occupancy.total_at("t@2").total == 0


async def test_a_target_that_started_again_is_used_at_once(world: World) -> None:
    runner = await world.add_runner()
    world.list_runner(runner, born=STARTED_AT_MS)
    instance = await world.add_instance()
    await world.ready()
    [target] = instance.fleet.targets.by_id.values()
    now = asyncio.get_running_loop().time()
    instance.fleet.mark_replaced(target.id, now)
    instance.fleet.occupancy.update_peer_count("peer", target.id, Count(online=100))
    world.list_runner(runner, born=STARTED_AT_MS + 5)
    await until(lambda: target.id not in instance.fleet.targets.by_id)
    answer = await world.ask(instance, "/once/1", "r1")
    assert answer.data == runner.text("r1")


async def test_streams_of_the_earlier_life_are_moved_or_ended(world: World) -> None:
    runner = await world.add_runner(slots=64)
    world.list_runner(runner, born=STARTED_AT_MS)
    instance = await world.add_instance()
    await world.ready()
    runner.silent_after = 2
    moved = asyncio.create_task(world.ask(instance, "/ask/1", "r1"))
    ended = asyncio.create_task(world.ask(instance, "/once/1", "r2"))
    await until(lambda: [run.silent for run in runner.runs] == [True, True])
    runner.silent_after = None
    world.list_runner(runner, born=STARTED_AT_MS + 5)
    answer = await moved
    assert answer.data == runner.text("r1")
    assert [run.resumed_after for run in runner.runs if run.id == "r1"] == [0, 2]
    # It may run only once and has started, so it is cut and not sent again.
    assert not (await ended).whole
    assert [run.id for run in runner.runs].count("r2") == 1


async def test_a_request_that_waited_at_the_earlier_life_is_no_refusal(
    world: World,
) -> None:
    runner = await world.add_runner(slots=64)
    world.list_runner(runner, born=STARTED_AT_MS)
    instance = await world.add_instance()
    await world.ready()
    runner.hold_head = True
    asked = asyncio.create_task(world.ask(instance, "/once/1", "r1"))
    await until(lambda: len(runner.runs) == 1)
    world.list_runner(runner, born=STARTED_AT_MS + 5)
    assert (await asked).status == 502
    runner.hold_head = False
    assert len(runner.runs) == 1


BAD_ENTRIES = [
    b"\xff\xfe",
    b"[]",
    b'{"service": "model"}',
    b'{"service": "model", "address": 5, "zone": {}, "slots": "8", "state": "odd"}',
]


async def test_entries_of_no_use_leave_the_others_alone(world: World) -> None:
    runner = await world.add_runner()
    for number, value in enumerate(BAD_ENTRIES):
        world.store.put_bytes("servers", f"bad-{number}", value)
    instance = await world.add_instance()
    await world.ready()
    for number, value in enumerate(BAD_ENTRIES):
        world.store.put_bytes("servers", f"late-{number}", value)
    answer = await world.ask(instance, "/once/1", "r1")
    assert answer.data == runner.text("r1")
    await world.submit(instance, "j1", ITEMS)
    results = await listed(world, instance, "j1", len(ITEMS))
    assert sorted(one["id"] for one in results) == ITEMS
    assert list(instance.fleet.targets.by_id) == [runner.id]


async def test_an_entry_of_no_use_ends_new_work_but_not_what_runs(
    world: World,
) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    asked = asyncio.create_task(world.ask(instance, "/ask/slow", "r1"))
    await until(lambda: bool(runner.runs))
    world.store.put_bytes("servers", runner.id, b"{}")
    await until(lambda: not instance.fleet.targets.by_id)
    assert (await asked).data == runner.text("r1")
    assert (await world.ask(instance, "/once/2", "r2")).status == 503


# Guards against an entry with a port out of range that is taken: requests sent there
# were answered 500, and the task that probes unreachable targets ended.
async def test_an_entry_with_a_port_out_of_range_gets_no_requests(
    world: World,
) -> None:
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    odd = orjson.loads(world.store.rows["servers", "", runner.id][0])
    odd["address"] = "127.0.0.1:0655350"
    world.store.put("servers", "odd", odd)
    sound = await world.add_runner()
    await until(lambda: sound.id in instance.fleet.targets.by_id)
    answers = [await world.ask(instance, "/ask/1", f"r{n}") for n in range(12)]
    assert {answer.status for answer in answers} == {200}
    target = instance.fleet.targets.by_id[runner.id]
    instance.fleet.mark_crashed(target)
    await until(lambda: target.id not in instance.fleet.unreachable)


# Guards against an odd entry among those of the instances, which can't be dialled.
@pytest.mark.parametrize("address", ["127.0.0.1:0655350", "127.0.0.1:²", "a b:1", ""])
async def test_an_odd_entry_of_an_instance_leaves_the_others_alone(
    world: World, address: str
) -> None:
    world.store.put_bytes("instances", "odd", pack([address, "a", "odd.1"]))
    for _ in range(2):
        await world.add_instance()
    await world.ready()
    await asyncio.sleep(FIRST_POLL_DELAY_S)
    for instance in world.instances:
        assert "odd" not in instance.mesh.members_by_id
