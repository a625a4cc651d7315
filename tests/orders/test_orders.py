"""Tests of orders to targets: leases, pacing, the last runner, and table writes."""

import pytest
from result import Err, Ok

from caperridge.commands.orders import acquire_target, release_target
from caperridge.config.model import Service
from caperridge.decisions.load_pacing import (
    MAX_LOADS,
    Load,
    active_loads,
    blocked_reason,
)
from caperridge.decisions.loaded_book import LoadedState, LoadedStates
from caperridge.decisions.order_leases import (
    DeclareLapsed,
    OrderLease,
    OrderRow,
    SessionRow,
    TakeOver,
    Wait,
)
from caperridge.decisions.reconcile import (
    BATCH,
    MIXED,
    Loaded,
    Observed,
    Step,
    gb_between,
    next_step,
    role_of,
    serves_online,
)
from caperridge.store.interface import Conflict
from orders.world import GB, LEASE_S, World, declared

NORTH_1 = Loaded("north", "1", ["billing"])
NORTH_2 = Loaded("north", "2", ["billing"])
BARE_1 = Loaded("north", "1")
BATCH_1 = Loaded("north", "1", ["billing"], BATCH)
ALIVE = SessionRow("alive", 3)


@pytest.mark.parametrize(
    ("observed", "step"),
    [
        (Observed(NORTH_1, NORTH_1), Step.NOTHING),
        (Observed(NORTH_1), Step.NOTHING),
        (Observed(Loaded()), Step.ORDER),
        (Observed(None), Step.ORDER),
        (Observed(BARE_1, BARE_1), Step.ORDER),
        (Observed(BATCH_1, BATCH_1), Step.ORDER),
        (Observed(NORTH_2, NORTH_2), Step.ORDER_OUT),
        (Observed(NORTH_2, NORTH_1, loading=True), Step.WAIT),
        (Observed(NORTH_1, NORTH_2, loading=True), Step.ORDER),
        (Observed(NORTH_2, NORTH_1), Step.ORDER_OUT),
        (Observed(NORTH_2, NORTH_2, leaving=True), Step.NOTHING),
    ],
)
def test_the_step_follows_from_what_the_target_says(
    observed: Observed, step: Step
) -> None:
    assert next_step(observed, NORTH_1) is step


def test_a_runner_goes_to_batch_only_when_another_serves() -> None:
    assert next_step(Observed(NORTH_1, NORTH_1), BATCH_1) is Step.ORDER_OUT


@pytest.mark.parametrize(
    ("loaded", "gb"),
    [(None, GB + 0.5), (NORTH_2, GB + 0.5), (BARE_1, 0.5), (NORTH_1, 0), (BATCH_1, 0)],
)
def test_only_what_is_missing_is_read(loaded: Loaded | None, gb: float) -> None:
    assert gb_between(declared(), loaded, NORTH_1) == gb


def test_batch_runners_stand_in_while_online_has_none_of_the_version() -> None:
    service = Service("chat", model="north", version="2", batch_runners=5)
    old = dict.fromkeys(("a", "b", "c"), NORTH_1)
    assert {role_of(t, service, old) for t in old} == {MIXED}
    new = dict.fromkeys(("a", "b", "c"), NORTH_2)
    assert [role_of(t, service, new) for t in new].count(BATCH) == 2
    assert not serves_online(BATCH_1, service)


@pytest.mark.parametrize("state", ["lapsed", "closed", ""])
@pytest.mark.parametrize("checks", [True, False])
def test_a_target_that_checks_nothing_is_waited_for(state: str, checks: bool) -> None:
    lease = OrderLease(checks)
    row = OrderRow("other", 7, LEASE_S)
    taken = lease.decide(row, SessionRow(state, 4), "own", 50.0)
    assert isinstance(taken, TakeOver)
    assert taken.fence == 8
    lease.record_takeover("own", taken)
    assert lease.may_order("own", 5.0, 2.0, 50.0) is checks
    assert lease.may_order("own", 5.0, 2.0, 50.0 + LEASE_S * 1.1)
    assert not lease.may_order("own", 1.0, 2.0, 50.0 + LEASE_S * 1.1)
    assert not lease.may_order("newer", 5.0, 2.0, 50.0 + LEASE_S * 1.1)


def test_a_session_is_declared_lapsed_after_a_whole_lease_without_renewal() -> None:
    lease = OrderLease()
    row = OrderRow("other", 7, LEASE_S)
    assert lease.decide(row, ALIVE, "own", 0.0) == Wait()
    renewed = SessionRow("alive", 4)
    assert lease.decide(row, renewed, "own", 9.0) == Wait()
    assert lease.decide(row, renewed, "own", 18.0) == Wait()
    assert lease.decide(row, renewed, "own", 20.0) == DeclareLapsed("other", 4)


def test_a_renewal_that_was_not_seen_counts() -> None:
    lease = OrderLease(checks_fencing=False)
    row = OrderRow("other", 7, LEASE_S)
    lease.decide(row, ALIVE, "own", 0.0)
    taken = lease.decide(row, SessionRow("closed", 5), "own", 9.0)
    assert taken == TakeOver(8, 9.0 + LEASE_S * 1.05)


@pytest.mark.parametrize("row", [None, OrderRow("", 3, LEASE_S)])
def test_a_target_that_nobody_holds_is_ordered_at_once(row: OrderRow | None) -> None:
    taken = OrderLease(False).decide(row, SessionRow(), "own", 5.0)
    assert taken == TakeOver(row.fence + 1 if row else 1, 5.0)


def load(target: str, service: str = "chat", out: bool = True) -> Load:
    return Load(target, service, GB, 100.0, out)


@pytest.mark.parametrize(
    ("loads", "serving", "why"),
    [
        ([], ["r2"], ""),
        ([], [], "it is the last runner of chat that serves"),
        ([load("r2")], ["r3"], "another runner of chat is away"),
        ([load("x1", "tags")], ["r2"], ""),
        (
            [load(f"x{n}", f"s{n}") for n in range(MAX_LOADS)],
            ["r2"],
            f"{MAX_LOADS} loads share the weight store already",
        ),
    ],
)
def test_when_a_load_may_begin(loads: list[Load], serving: list[str], why: str) -> None:
    assert blocked_reason(loads, load("r1"), serving) == why


def test_a_load_whose_orderer_was_lost_is_given_up() -> None:
    assert active_loads([load("r1")], 1.0, 150.0) == [load("r1")]
    assert active_loads([load("r1")], 1.0, 201.0) == []


def test_older_news_of_a_target_are_ignored() -> None:
    states = LoadedStates()
    assert states.apply("r1", LoadedState(2, 5, NORTH_1, held=True))
    assert not states.apply("r1", LoadedState(1, 9, NORTH_2))
    assert not states.apply("r1", LoadedState(2, 5, NORTH_2))
    service = Service("chat", model="north")
    assert states.closed_to_online("r1", service)
    assert not states.closed_to_online("r2", service)
    assert states.closed_to_batch("r1")
    assert states.apply("r1", LoadedState(3, 1, NORTH_2))
    assert not states.closed_to_online("r1", service)
    states.retain({"r2"})
    assert not states.by_target


@pytest.fixture
async def world() -> World:
    """Return a world of two instances and three targets in their desired state."""
    world = World(targets=3)
    for _ in range(2):
        world.start()
    await world.run(5.0)
    return world


async def test_a_version_is_switched_while_others_serve(world: World) -> None:
    for target in world.targets_by_id.values():
        target.running = 1
    world.wanted = declared("2")
    await world.run(10.0)
    assert world.min_serving == 3  # no target gets an order while its streams run
    for target in world.targets_by_id.values():
        target.running = 0
    await world.run(60.0)
    assert {t.loaded.version for t in world.targets_by_id.values()} == {"2"}
    assert world.min_serving == 2
    assert sum(target.cut for target in world.targets_by_id.values()) == 0


async def test_streams_that_do_not_end_are_moved_after_a_while(world: World) -> None:
    world.targets_by_id["r0"].running = 1
    world.wanted = declared("2")
    await world.run(120.0)
    assert world.targets_by_id["r0"].loaded.version == "2"


async def test_the_last_runner_is_never_taken_away() -> None:
    world = World(targets=1)
    member = world.start()
    world.wanted = declared("2")
    await world.run(60.0)
    assert world.targets_by_id["r0"].loaded.version == "1"
    why = member.orderer.state()["why_by_target"]["r0"]
    assert why == "it is the last runner of chat that serves"


async def test_two_orderers_do_not_take_each_others_last_runner() -> None:
    world = World(targets=2)
    for _ in range(4):
        world.start()
    await world.run(5.0)
    owners = {
        m.membership.owner(t, "oviedo")
        for t in ("r0", "r1")
        for m in world.members_by_name.values()
    }
    assert len(owners) == 2
    for version in ("2", "3", "1", "2"):
        world.wanted = declared(version)
        await world.run(60.0)
    assert {t.loaded.version for t in world.targets_by_id.values()} == {"2"}
    assert world.min_serving == 1


async def test_nothing_is_written_while_nothing_changes(world: World) -> None:
    keys = [key for key in world.memory.rows_by_key if not key.startswith("session/")]
    before = {key: world.memory.rows_by_key[key].version for key in keys}
    await world.run(120.0)
    after = {
        key: row.version
        for key, row in world.memory.rows_by_key.items()
        if not key.startswith("session/")
    }
    assert after == before


async def test_a_lost_orderer_is_replaced_under_a_higher_number(world: World) -> None:
    removed, remaining = list(world.members_by_name.values())
    fences = {
        target: row.value["fence"]
        for target in world.targets_by_id
        if (row := world.memory.rows_by_key[f"order/{target}"])
    }
    del world.members_by_name[removed.name]
    await world.run(30.0)
    world.wanted = declared("2")
    await world.run(90.0)
    for target_id, target in world.targets_by_id.items():
        row = world.memory.rows_by_key[f"order/{target_id}"]
        mine = row.value["holder"] == remaining.session.session_id
        assert mine
        assert row.value["fence"] >= fences[target_id]
        assert target.loaded.version == "2"


async def test_without_the_platform_nothing_is_ordered(world: World) -> None:
    world.memory.faults.outage = True
    await world.run(15.0)
    order_counts = {t: len(target.orders) for t, target in world.targets_by_id.items()}
    world.wanted = declared("2")
    await world.run(60.0)
    assert {t: len(x.orders) for t, x in world.targets_by_id.items()} == order_counts
    world.memory.faults.outage = False
    await world.run(90.0)
    assert {t.loaded.version for t in world.targets_by_id.values()} == {"2"}


async def test_of_two_that_take_a_target_at_once_one_gets_it(world: World) -> None:
    one, other = list(world.members_by_name.values())
    rows = []
    for member in (one, other):
        row = OrderRow(member.session.session_id, 1, LEASE_S)
        rows.append(await acquire_target(world.memory, "r9", None, row))
    assert [isinstance(row, Ok) for row in rows] == [True, False]
    seen = world.memory.rows_by_key["order/r9"]
    released = await release_target(world.memory, "r9", other.session.session_id)
    assert isinstance(released.unwrap_err(), Conflict)
    await release_target(world.memory, "r9", one.session.session_id)
    late = OrderRow(other.session.session_id, 2, LEASE_S)
    assert isinstance(await acquire_target(world.memory, "r9", seen, late), Err)


@pytest.mark.parametrize("members", [1, 2])
async def test_a_version_that_changes_during_the_first_load(members: int) -> None:
    for steps in range(1, 40, 2):
        world = World(targets=2, empty=True)
        for _ in range(members):
            world.start()
        await world.run(steps * 0.5)
        world.wanted = declared("2")
        await world.run(60.0, step_s=1.0)
        assert {t.loaded.version for t in world.targets_by_id.values()} == {"2"}
