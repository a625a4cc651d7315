"""Placement, slot grants, counts, target lists and table copies, without I/O."""

import collections
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperridge.gateway.events import EventSplitter
from caperridge.gateway.fleet import FAILURE_WINDOW_S, MAX_EJECTION_S, Fleet
from caperridge.gateway.jobs.asking import TargetCapacity, split_requests
from caperridge.gateway.jobs.broker import (
    GRANT_LIFETIME_S,
    Members,
    SlotBroker,
    SlotRequest,
)
from caperridge.gateway.occupancy import Count, Occupancy
from caperridge.gateway.placement import (
    items_to_cancel,
    place_online,
    place_online_zone_first,
)
from caperridge.gateway.rows import RowKey, StoredRow
from caperridge.gateway.table_copy import TableCopy
from caperridge.gateway.targets import LAPSE_GRACE_S, Target, TargetList
from caperridge.targets.outcomes import Lost, NotSent

KEYS = [RowKey("t", "", name) for name in "abc"]


def target(id: str, zone: str = "a", slots: int = 2) -> Target:
    return Target(id, "model", f"{id}:1", zone, slots)


def three(target: Target) -> int:
    return 3


@pytest.fixture
def occupancy() -> Occupancy:
    return Occupancy("me")


@pytest.fixture
def chance() -> random.Random:
    return random.Random(1)


def test_online_prefers_free_then_items_then_the_shortest_queue(
    occupancy: Occupancy, chance: random.Random
) -> None:
    near, far = target("near"), target("far", "b")
    both = [far, near]
    assert place_online(both, occupancy, "a", chance, three) == near
    occupancy.update_peer_count("peer", "near", Count(2, 0))
    assert place_online(both, occupancy, "a", chance, three) == far
    occupancy.update_peer_count("peer", "far", Count(1, 1))
    assert place_online(both, occupancy, "a", chance, three) == far
    occupancy.update_peer_count("peer", "far", Count(3, 0))
    assert place_online(both, occupancy, "a", chance, three) == near
    occupancy.update_peer_count("peer", "far", Count(5, 0))
    occupancy.update_peer_count("peer", "near", Count(5, 0))
    assert place_online(both, occupancy, "a", chance, three) is None


def test_requests_for_other_zones_are_spread_while_counts_are_old(
    occupancy: Occupancy, chance: random.Random
) -> None:
    """Many instances see the same empty target; they must not all choose it."""
    near = target("near")
    far = [target(f"far-{number}", "b", slots=8) for number in range(6)]
    for number, one in enumerate(far):
        occupancy.update_peer_count("peer", one.id, Count(number, 0))
    all_targets = [near, *far]
    assert place_online_zone_first(all_targets, occupancy, "a", chance, three) == near
    occupancy.update_peer_count("peer", "near", Count(1, 1))
    assert place_online_zone_first(all_targets, occupancy, "a", chance, three) == near
    occupancy.update_peer_count("peer", "near", Count(2, 0))
    chosen = collections.Counter(
        place_online_zone_first(all_targets, occupancy, "a", chance, three).id
        for _ in range(600)
    )
    assert chosen["far-0"] < 300
    assert len(chosen) >= 5


def test_no_room_is_said_only_when_no_target_has_any(
    occupancy: Occupancy, chance: random.Random
) -> None:
    targets = [target(f"far-{number}", "b") for number in range(9)]
    for one in targets[1:]:
        occupancy.update_peer_count("peer", one.id, Count(5, 0))
    for _ in range(50):
        assert (
            place_online_zone_first(targets, occupancy, "a", chance, three)
            == targets[0]
        )
    occupancy.update_peer_count("peer", targets[0].id, Count(5, 0))
    assert place_online_zone_first(targets, occupancy, "a", chance, three) is None


def test_who_has_the_item_due_last_gives_way_and_all_agree() -> None:
    views = {name: Occupancy(name) for name in ("x", "y")}
    counts = {"x": Count(0, 1, 50.0), "y": Count(2, 1, 90.0)}
    for name, view in views.items():
        own = counts[name]
        view.add("t", online=own.online, items=own.items)
        view.set_latest_due("t", own.latest_due)
        for other, count in counts.items():
            view.update_peer_count(other, "t", count)
    cancelled = {
        name: items_to_cancel(target("t", slots=3), view)
        for name, view in views.items()
    }
    assert cancelled == {"x": 0, "y": 1}


@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 4), st.integers(0, 3)),
        min_size=1,
        max_size=5,
    ),
    st.integers(1, 8),
)
@settings(max_examples=400, derandomize=True, deadline=None)
def test_instances_together_cancel_as_many_as_is_needed(
    held: list[tuple[int, int, int]], slots: int
) -> None:
    names = [f"i{number}" for number in range(len(held))]
    counts = dict(zip(names, (Count(*one) for one in held), strict=True))
    cancelled = 0
    for name in names:
        view = Occupancy(name)
        view.add("t", online=counts[name].online, items=counts[name].items)
        view.set_latest_due("t", counts[name].latest_due)
        for other, count in counts.items():
            view.update_peer_count(other, "t", count)
        cancelled += items_to_cancel(target("t", slots=slots), view)
    total = sum(count.total for count in counts.values())
    items = sum(count.items for count in counts.values())
    assert cancelled == max(0, min(items, total - slots))


def test_a_peer_that_is_forgotten_leaves_no_counts(occupancy: Occupancy) -> None:
    occupancy.update_peer_count("peer", "t", Count(2, 1))
    assert occupancy.update_peer_counts("peer", {"u": Count(0, 1)})
    assert not occupancy.update_peer_counts("peer", {"u": Count(0, 1)})
    assert (occupancy.total_at("t").total, occupancy.total_at("u").total) == (0, 1)
    occupancy.remove_peer("peer")
    assert occupancy.total_at("u").total == 0


@pytest.fixture
def broker() -> SlotBroker:
    return SlotBroker("me")


def test_a_slot_is_granted_once_to_the_most_urgent(
    broker: SlotBroker, occupancy: Occupancy
) -> None:
    broker.set_requests("late", {"model": SlotRequest(5, 5.0)})
    broker.set_requests("soon", {"model": SlotRequest(1, 20.0)})
    broker.set_requests("later", {"model": SlotRequest(5, 30.0)})
    one = [target("t", slots=2)]
    grants = broker.grant(one, occupancy, store_now=10.0, now=0.0)
    assert [grant.instance for grant in grants] == ["soon", "later"]
    assert broker.grant(one, occupancy, 10.0, 0.01) == []
    broker.record_used("soon", "t")
    occupancy.update_peer_count("soon", "t", Count(0, 1))
    assert broker.grant(one, occupancy, 10.0, 0.02) == []
    assert len(broker.grant(one, occupancy, 10.0, GRANT_LIFETIME_S + 0.03)) == 1


@pytest.mark.parametrize(
    ("online", "items", "due", "granted"),
    [
        (3, 0, 30.0, 5),  # few online requests: all that is free
        (4, 0, 30.0, 3),  # half the slots or more: one stays free
        (6, 1, 30.0, 0),
        (7, 0, 30.0, 0),
        (6, 1, 12.0, 1),  # urgent: due before it could run twice
        (7, 0, 5.0, 0),  # already late, so not urgent
        (8, 0, 12.0, 0),
    ],
)
def test_a_slot_stays_free_beside_many_online_requests(
    broker: SlotBroker,
    occupancy: Occupancy,
    online: int,
    items: int,
    due: float,
    granted: int,
) -> None:
    broker.set_requests("peer", {"model": SlotRequest(8, due)})
    occupancy.update_peer_count("others", "t", Count(online, items))
    grants = broker.grant([target("t", slots=8)], occupancy, store_now=10.0, now=0.0)
    assert len(grants) == granted


def test_a_crowded_target_keeps_no_slot_of_another_from_items(
    broker: SlotBroker, occupancy: Occupancy
) -> None:
    broker.set_requests("peer", {"model": SlotRequest(8, 30.0)})
    occupancy.update_peer_count("others", "crowded", Count(6))
    occupancy.update_peer_count("others", "calm", Count(0, 7))
    both = [target("crowded", slots=8), target("calm", slots=8)]
    grants = broker.grant(both, occupancy, store_now=10.0, now=0.0)
    assert sorted(grant.target for grant in grants) == ["calm", "crowded"]


def test_a_want_that_was_declined_or_met_gets_no_more(
    broker: SlotBroker, occupancy: Occupancy
) -> None:
    """The granter may have missed that an instance has no more items."""
    broker.set_requests("done", {"model": SlotRequest(5, 5.0)})
    broker.set_requests("other", {"model": SlotRequest(1, 9.0)})
    one = [target("t", slots=1)]
    (grant,) = broker.grant(one, occupancy, store_now=0.0, now=0.0)
    assert grant.instance == "done"
    broker.record_declined("done", "t")
    (grant,) = broker.grant(one, occupancy, 0.0, 0.0)
    assert grant.instance == "other"
    broker.record_used("other", "t")
    assert broker.grant(one, occupancy, 0.0, 0.0) == []
    assert not broker.has_requests


@given(
    st.integers(0, 12),
    st.lists(
        st.tuples(st.sampled_from("xyz"), st.integers(-2, 4), st.booleans()),
        max_size=6,
    ),
)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_what_is_asked_in_all_is_what_is_wanted_and_can_be(
    wanted: int, seen: list[tuple[str, int, bool]]
) -> None:
    capacities = [TargetCapacity(*one) for one in seen]
    requested = split_requests(wanted, capacities, random.Random(1))
    room = sum(max(0, one.free) + 1 for one in capacities)
    assert sum(requested.values()) == min(wanted, room)
    assert set(requested) <= {one.granter for one in capacities}


def test_one_member_of_the_target_s_zone_grants() -> None:
    members = Members({"a": ["x", "y"], "b": ["z"]})
    granters = {name: SlotBroker(name) for name in ("x", "y", "z")}
    granting = [
        name
        for name, broker in granters.items()
        if broker.granted_target_ids(members, [target("t", "a")], 1)
    ]
    assert len(granting) == 1 and granting[0] in ("x", "y")
    (granter,) = granting
    left = Members({"a": [], "b": ["z"]})
    assert granters[granter].granted_target_ids(left, [target("t", "a")], 1) == []
    assert granters["z"].granted_target_ids(left, [target("t", "a")], 1) == ["t"]


def test_entries_that_lapse_after_an_outage_are_kept_for_a_while() -> None:
    targets = TargetList()
    targets.put(target("t"))
    targets.put(target("u"))
    targets.store_returned(100.0)
    targets.remove("t", 100.1)
    targets.remove("u", 100.1)
    assert set(targets.by_id) == {"t", "u"}
    targets.put(target("t"))
    assert targets.expire(100.0 + LAPSE_GRACE_S) == ["u"]
    targets.remove("t", 100.0 + LAPSE_GRACE_S)
    assert targets.by_id == {}


def test_an_older_whole_copy_still_tells_of_rows_written_since() -> None:
    """A peer has its own write before it has read the table up to that version."""
    copy = TableCopy("t")
    copy.apply_snapshot([], 4)
    written = StoredRow(KEYS[0], b"x", 6)
    assert copy.apply_snapshot([written], 3) == [written]
    assert (copy.version, copy.read_version) == (6, 4)


row_changes = st.lists(
    st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=8
)


def test_a_stale_copy_of_a_peer_brings_nothing_back() -> None:
    """An entry removed before the first read is unknown to this copy."""
    copy = TableCopy("t")
    gone = StoredRow(KEYS[0], b"x", 2)
    copy.apply_snapshot([], 4)
    assert copy.apply_snapshot([gone], 3) == []
    assert copy.apply_changes([gone], 1, 2) == []
    assert not copy.apply_row(gone)
    assert copy.rows_by_key == {}
    assert copy.apply_row(StoredRow(KEYS[0], b"y", 5))


@given(row_changes, st.randoms(use_true_random=False))
@settings(max_examples=400, derandomize=True, deadline=None)
def test_a_copy_ends_at_the_newest_whatever_the_order(
    changes: list[tuple[RowKey, bool]], chance: random.Random
) -> None:
    """Changes, whole reads and copies of peers arrive reordered and duplicated."""
    state: dict[RowKey, StoredRow] = {}
    messages = []
    for version, (key, removed) in enumerate(changes, 1):
        row = StoredRow(key, str(version).encode(), version, removed)
        if removed:
            state.pop(key, None)
        else:
            state[key] = row
        messages.append(("changes", [row], version))
        messages.append(("row", [row], version))
        messages.append(("whole", list(state.values()), version))
    newest = messages[-1]
    received = [message for message in messages if chance.random() < 0.7]
    received += [newest, *received[:2]]
    chance.shuffle(received)
    copy = TableCopy("t")
    for kind, rows, version in received:
        if kind == "whole":
            copy.apply_snapshot(rows, version)
        elif kind == "row":
            copy.apply_row(rows[0])
        else:
            copy.apply_changes(rows, version - 1, version)
    assert copy.rows_by_key == state


@given(st.data())
@settings(max_examples=100, derandomize=True, deadline=None)
def test_any_cut_of_a_stream_gives_the_same_events(data: st.DataObject) -> None:
    whole = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6))
    cuts = data.draw(st.lists(st.integers(0, len(whole)), max_size=6))
    splitter = EventSplitter()
    events = []
    edges = [0, *sorted(cuts), len(whole)]
    for start, end in itertools.pairwise(edges):
        events += splitter.feed(whole[start:end])
    assert [event.id for event in events] == [1, 2, 3, 4, 5]
    assert b"".join(event.raw for event in events) == whole
    assert splitter.rest == b""


@given(st.data())
@settings(max_examples=100, derandomize=True, deadline=None)
def test_events_may_end_their_lines_either_way(data: st.DataObject) -> None:
    ends = data.draw(st.lists(st.sampled_from(["\n", "\r\n"]), min_size=4, max_size=4))
    raws = [
        end.join([f"id: {number}", f"data: x{number}", "", ""]).encode()
        for number, end in enumerate(ends, 1)
    ]
    whole = b"".join(raws)
    cut = data.draw(st.integers(0, len(whole)))
    splitter = EventSplitter()
    events = splitter.feed(whole[:cut]) + splitter.feed(whole[cut:])
    assert [event.raw for event in events] == raws
    assert [event.id for event in events] == [1, 2, 3, 4]
    assert [event.data() for event in events] == [b"x1", b"x2", b"x3", b"x4"]


def test_requests_under_way_do_not_eject_a_target_again(chance: random.Random) -> None:
    """Twelve requests that break at once count as one failure of the target."""
    fleet = Fleet("me", "a", chance)
    fleet.targets.put(target("t"))
    fleet.targets.put(target("u"))
    for _ in range(12):
        fleet.record_failure(target("t"), Lost("it fell silent"), 0.0)
    assert [one.id for one in fleet.usable("model", 0.9)] == ["u"]
    assert {one.id for one in fleet.usable("model", 1.1)} == {"t", "u"}
    now = 1.1
    for _ in range(6):
        fleet.record_failure(target("t"), Lost("it fell silent"), now)
        assert not fleet.is_usable("t", now + 0.1)
        assert fleet.is_usable("t", now + MAX_EJECTION_S + 0.1)
        now += MAX_EJECTION_S + 0.1


def test_failures_far_apart_eject_no_target(chance: random.Random) -> None:
    """One request in a hundred may break anywhere; that is no reason to eject."""
    fleet = Fleet("me", "a", chance)
    fleet.targets.put(target("t"))
    for number in range(10):
        now = number * (FAILURE_WINDOW_S + 1.0)
        fleet.record_failure(target("t"), Lost("reset"), now)
        assert fleet.is_usable("t", now + 0.1)
    fleet.record_failure(target("t"), Lost("reset"), now + 1.0)
    assert not fleet.is_usable("t", now + 1.1)


def test_when_all_targets_are_ejected_each_is_tried(chance: random.Random) -> None:
    fleet = Fleet("me", "a", chance)
    fleet.targets.put(target("t"))
    fleet.record_failure(target("t"), NotSent("refused"), 0.0)
    assert [one.id for one in fleet.usable("model", 0.1)] == ["t"]
    fleet.mark_reachable("t")
    assert fleet.is_usable("t", 0.1)
