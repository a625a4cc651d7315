"""Tests of deltas, gaps and the version log; versions only apply in ascending order."""

import pytest
from result import Err, Ok

from caperridge.commands.confirm_intent import SNAPSHOT_INTERVAL_VERSIONS, HeadMoved
from caperridge.config.model import FORMAT, Caller, Configuration
from caperridge.decisions.configuration_order import (
    MAX_DELTAS,
    ConfigurationVersions,
    Delta,
    OfferResult,
    PackedDelta,
    apply_delta,
    make_delta,
)
from caperridge.decisions.plans import make_plan
from caperridge.instance.messages import ConfigurationAsked, ConfigurationHeard
from caperridge.peers.messages import ConfigurationNews
from caperridge.queries.configuration import read_head, read_history, read_version
from caperridge.records import pack, unpack
from caperridge.store.interface import NotDone, Unknown
from configuration.world import TOKEN, World, with_callers


def packed(delta: Delta) -> PackedDelta:
    return PackedDelta(delta.base_version, delta.version, pack(delta))


def test_a_delta_leads_from_one_version_to_the_next() -> None:
    before = with_callers("a", "b").replace(version=3)
    after = with_callers("b", "c").replace(version=4)
    delta = Delta.from_map(unpack(pack(make_delta(before, after))))
    assert apply_delta(before, delta) == after
    assert delta.removed_by_field == {"callers_by_name": ["a"]}
    assert list(delta.set_by_field["callers_by_name"]) == ["c"]


def test_callers_that_come_from_the_wire_share_what_they_have_alike() -> None:
    callers = {n: Caller(n, TOKEN, ["chat"], 5.0, share=2.5) for n in ("a", "b")}
    sent = Configuration(1, callers_by_name=callers)
    read = Configuration.from_bytes(pack(sent))
    assert read == sent == Configuration.from_map(unpack(pack(sent)))
    a, b = (read.callers_by_name[name] for name in ("a", "b"))
    assert a.services is b.services
    assert a.requests_per_s is b.requests_per_s
    assert [a.name] == [n for n in read.callers_by_name if n is a.name]


def test_a_packed_configuration_may_have_tables_of_a_later_release() -> None:
    sent = with_callers("a").replace(version=3).to_map()
    later = {"moods_by_name": {"x": {"calm": True}}, **sent}
    assert Configuration.from_bytes(pack(later)) == Configuration.from_map(sent)
    assert Configuration.from_bytes(pack({"version": 2})) == Configuration(2)


WHOLE = pack(Configuration(1, callers_by_name={"a": Caller("a", TOKEN)}))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        WHOLE[:-1],
        WHOLE + b"\x00",
        pack({}),
        pack([1]),
        pack(7),
        pack({"version": 1, "callers_by_name": 7}),
        pack({"version": 1, "callers_by_name": {"a": 7}}),
        pack({"version": 1, "callers_by_name": {"a": {"name": "a"}}}),
    ],
)
def test_what_is_no_packed_configuration_is_refused(data: bytes) -> None:
    with pytest.raises((ValueError, TypeError)):
        Configuration.from_bytes(data)


def test_an_old_release_skips_tables_and_fields_it_does_not_know() -> None:
    delta = Delta(0, 1, {"moods_by_name": {"x": {}}})
    delta.set_by_field["callers_by_name"] = {
        "a": {"name": "a", "token_sha256": TOKEN, "mood": "calm"}
    }
    read = Delta.from_map(unpack(pack(delta)) | {"kind": "new"})
    assert apply_delta(Configuration(), read) == Configuration(
        1, callers_by_name={"a": Caller("a", TOKEN)}
    )


@pytest.mark.parametrize(
    ("base", "version", "offer"),
    [
        (4, 5, OfferResult.APPLIED),
        (5, 6, OfferResult.GAP),
        (2, 3, OfferResult.OLD),
        (3, 4, OfferResult.OLD),
    ],
)
def test_a_delta_applies_to_its_base_only(
    base: int, version: int, offer: OfferResult
) -> None:
    versions = ConfigurationVersions()
    versions.offer(with_callers("a").replace(version=4))
    delta = Delta(base, version)
    assert versions.offer_delta(delta, packed(delta)) is offer
    assert versions.current.version == (5 if offer is OfferResult.APPLIED else 4)


def test_a_lower_whole_version_is_not_taken() -> None:
    versions = ConfigurationVersions()
    versions.offer(with_callers("a").replace(version=4))
    assert versions.offer(with_callers("b").replace(version=3)) is OfferResult.OLD
    assert versions.offer(with_callers("b").replace(version=4)) is OfferResult.OLD
    assert "a" in versions.current.callers_by_name


def test_deltas_for_peers_are_bounded() -> None:
    versions = ConfigurationVersions()
    for version in range(1, MAX_DELTAS + 20):
        delta = Delta(version - 1, version)
        versions.offer_delta(delta, packed(delta))
    assert versions.deltas_since(1) is None
    assert (
        len(versions.deltas_since(versions.current.version - MAX_DELTAS) or [])
        == MAX_DELTAS
    )
    assert versions.deltas_since(versions.current.version) == []


async def test_a_fresh_reader_needs_one_snapshot_and_few_rows(world: World) -> None:
    member = world.members_by_name["entry-1"]
    for number in range(SNAPSHOT_INTERVAL_VERSIONS + 3):
        await world.confirm(member, with_callers("a", share=1.0 + number))
    before = world.memory.counters.replace()
    head = (await read_head(world.memory)).unwrap()
    assert head.configuration == member.keeper.current
    assert world.memory.counters.object_reads == before.object_reads + 1
    assert len(head.deltas) == 2
    old = (await read_version(world.memory, 7)).unwrap()
    assert old is not None
    assert old.callers_by_name["a"].share == 7.0
    history = (await read_history(world.memory, 5, 3)).unwrap()
    assert [entry.version for entry in history] == [5, 4, 3]


async def test_an_instance_that_follows_reads_only_the_deltas(world: World) -> None:
    member, other = list(world.members_by_name.values())[:2]
    await world.confirm(member, with_callers("a"))
    await world.run(2)
    await world.confirm(member, with_callers("a", "b"))
    objects = world.memory.counters.object_reads
    other.inbox.clear()
    other.keeper._poll_due = 0.0
    await other.run()
    assert other.version == 2
    assert world.memory.counters.object_reads == objects


async def test_a_confirm_is_in_force_at_all_after_one_round(world: World) -> None:
    await world.run(2)
    outcome = await world.confirm(world.members_by_name["entry-4"], with_callers("a"))
    assert isinstance(outcome, Ok)
    await world.run(1, step_s=0.01)
    assert {m.version for m in world.members_by_name.values()} == {1}


async def test_two_operators_race_and_one_wins(world: World) -> None:
    await world.run(1)
    one, other = list(world.members_by_name.values())[:2]
    first = await world.confirm(one, with_callers("a"))
    second = await world.confirm(other, with_callers("b"))
    assert first.unwrap().version == 1
    assert isinstance(second.unwrap_err(), HeadMoved)
    assert second.unwrap_err().plan.base_version == 1
    assert (await read_head(world.memory)).unwrap().configuration.version == 1


async def test_any_instance_confirms_the_plan_of_another(world: World) -> None:
    await world.run(1)
    one, other = list(world.members_by_name.values())[:2]
    digest = (await world.confirm(one, with_callers("a"), "0-none")).unwrap_err()
    outcome = await world.confirm(other, with_callers("a"), digest.plan.digest)
    assert outcome.unwrap().version == 1


@pytest.mark.parametrize("later", [0, 2])
async def test_a_confirm_asked_again_says_what_happened(
    world: World, later: int
) -> None:
    await world.run(1)
    one, other = list(world.members_by_name.values())[:2]
    wanted = with_callers("a")
    digest = make_plan(one.keeper.current, wanted).digest
    one.platform.loses = {"transact"}
    lost = await world.confirm(one, wanted, digest)
    assert isinstance(lost.unwrap_err(), Unknown)
    for number in range(later):
        await world.run(1)
        await world.confirm(other, with_callers("a", f"n{number}"))
    again = await world.confirm(other, wanted, digest)
    assert (again.unwrap().version, again.unwrap().already) == (1, True)
    head = (await read_head(world.memory)).unwrap()
    assert head.configuration.version == 1 + later


async def test_a_snapshot_whose_answer_is_lost_leaves_nothing_unknown(
    world: World,
) -> None:
    member = world.members_by_name["entry-1"]
    member.platform.loses = {"put_object"}
    outcome = await world.confirm(member, with_callers("a"))
    assert isinstance(outcome.unwrap_err(), NotDone)
    assert not world.memory.rows_by_key


async def test_confirming_what_is_in_force_makes_no_version(world: World) -> None:
    member = world.members_by_name["entry-1"]
    await world.confirm(member, with_callers("a"))
    again = await world.confirm(member, with_callers("a"))
    assert (again.unwrap().version, again.unwrap().already) == (1, True)


async def test_a_stale_reader_changes_nothing(world: World) -> None:
    one, other = list(world.members_by_name.values())[:2]
    await world.run(1)
    await world.confirm(one, with_callers("a"))
    stale = dict(world.memory.rows_by_key)
    await world.run(1)
    await world.confirm(one, with_callers("a", "b"))
    await world.run(1)
    other.platform.stale_rows = stale
    await world.run(30)
    assert other.versions == sorted(other.versions)
    assert other.version == 2
    outcome = await world.confirm(other, with_callers("z"), "1-anything")
    assert isinstance(outcome, Err)
    assert (await read_head(world.memory)).unwrap().configuration.version == 2


async def test_a_paused_instance_that_wakes_catches_up_and_wins_nothing(
    world: World,
) -> None:
    one, other = list(world.members_by_name.values())[:2]
    await world.run(1)
    other.paused = True
    digest = (await world.confirm(other, with_callers("z"), "0-x")).unwrap_err()
    for number in range(70):
        await world.confirm(one, with_callers("a", share=1.0 + number))
    other.paused = False
    late = await world.confirm(other, with_callers("z"), digest.plan.digest)
    assert isinstance(late.unwrap_err(), HeadMoved)
    await world.run(1)
    assert other.version == 70
    assert other.versions == sorted(other.versions)


async def test_a_fresh_instance_in_a_cut_off_zone_asks_its_peers(
    world: World,
) -> None:
    await world.run(1)
    await world.confirm(world.members_by_name["entry-1"], with_callers("a"))
    await world.run(2)
    world.cut_zones.add("bilbao")
    for member in list(world.members_by_name.values()):
        member.platform.cut = member.zone == "bilbao"
    await world.confirm(world.members_by_name["entry-1"], with_callers("a", "b"))
    fresh = world.start("bilbao")
    fresh.platform.cut = True
    await world.run(1)
    assert not fresh.keeper.known
    await world.run(4)
    assert fresh.keeper.known
    assert fresh.version == 1
    world.cut_zones.clear()
    for member in world.members_by_name.values():
        member.platform.cut = False
    await world.run(12)
    assert {m.version for m in world.members_by_name.values()} == {2}
    assert not fresh.keeper._unread


async def test_a_fresh_instance_that_nobody_answers_is_not_ready(world: World) -> None:
    fresh = world.start("santander")
    fresh.platform.cut = True
    world.cut_zones.add("santander")
    await world.run(20)
    assert not fresh.keeper.known


async def test_what_an_older_release_told_is_read_again(world: World) -> None:
    fresh, old = list(world.members_by_name.values())[:2]
    await world.confirm(old, with_callers("a", share=2.0))
    shorn = old.keeper.current.to_map()
    del shorn["callers_by_name"]["a"]["share"]
    fresh.keeper.known = True
    fresh.platform.cut = True
    news = ConfigurationNews(1, 0, pack(shorn))
    await fresh.keeper.handle(ConfigurationHeard(old.name, news))
    assert fresh.keeper.current.callers_by_name["a"].share == 1.0
    fresh.platform.cut = False
    await world.run(1)
    assert fresh.keeper.current.callers_by_name["a"].share == 2.0


@pytest.mark.parametrize("data", [b"\xc1", pack([1]), pack({"base_version": 0}), b"x"])
@pytest.mark.parametrize("base", [0, 1])
async def test_news_that_cannot_be_read_harm_nobody(
    world: World, data: bytes, base: int
) -> None:
    member = world.members_by_name["entry-1"]
    await world.confirm(member, with_callers("a"))
    news = ConfigurationNews(9, base, data)
    await member.keeper.handle(ConfigurationHeard("entry-2", news))
    assert member.version == 1


async def test_an_old_release_that_confirms_leaves_one_content(world: World) -> None:
    """Fields that only a newer release knows are lost at all instances, not at some."""
    await world.run(1)
    one, other = list(world.members_by_name.values())[:2]
    await world.confirm(one, with_callers("a"))
    row = world.memory.rows_by_key["configuration/head"]
    newer = row.value | {"format": FORMAT + 1}
    world.memory.rows_by_key[row.key] = row.replace(value=newer)
    await world.run(1)
    # Content that only the newer release knows, at its own instance.
    other.keeper._order.current = with_callers("a", "newer").replace(version=1)
    outcome = await world.confirm(one, with_callers("a", "b"))
    assert outcome.unwrap().delta is None
    await world.run(6)
    for member in world.members_by_name.values():
        assert sorted(member.keeper.current.callers_by_name) == ["a", "b"]


async def test_news_cross_a_zone_that_has_one_link(world: World) -> None:
    await world.run(2)
    santander = world.start("santander")
    await world.run(2)
    for member in world.members_by_name.values():
        member.platform.cut = True
    entry = world.members_by_name["entry-1"]
    entry.platform.cut = False
    world.links = {frozenset(("entry-2", "entry-3")), frozenset(("entry-4", "entry-5"))}
    await world.confirm(entry, with_callers("a"))
    await world.run(4, step_s=0.01)
    assert santander.version == 1


async def test_a_peer_that_lags_far_gets_the_whole(world: World) -> None:
    one, other = list(world.members_by_name.values())[:2]
    for number in range(MAX_DELTAS + 5):
        await world.confirm(one, with_callers("a", share=1.0 + number))
    other.inbox.clear()
    await one.keeper.handle(ConfigurationAsked(other.name, 2))
    assert [m.news.base_version for m in other.inbox] == [0]
