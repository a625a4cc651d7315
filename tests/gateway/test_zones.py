"""Availability zones that may be cut off: their targets are used last."""

import random

import pytest

from caperridge.gateway.fleet import Fleet
from caperridge.gateway.mesh.mesh import SILENCE_TIMEOUT_S, Member
from caperridge.gateway.targets import Target
from caperridge.gateway.zones import (
    SUSPECT_AFTER_S,
    SUSPECT_FAR_AFTER_S,
    SUSPECT_FAR_FOR_S,
    SUSPECT_FOR_S,
    silent_zones,
)

NOW = 100.0
RECENT = NOW - SUSPECT_AFTER_S / 2
SILENT = NOW - (SUSPECT_AFTER_S + SUSPECT_FOR_S) / 2
LONG_AGO = NOW - SUSPECT_FOR_S - 0.1


class Peers:
    """Three peers in each of three zones; ``a`` is the own zone."""

    def __init__(self) -> None:
        self.zone = "a"
        self.large = False
        self.members_by_id: dict[str, Member] = {}
        for number in range(9):
            member = Member(f"e-{number}", "", "abc"[number % 3], NOW)
            member.lost_at = None
            member.last_received_at = RECENT
            self.members_by_id[member.id] = member

    def of(self, zone: str) -> list[Member]:
        return [one for one in self.members_by_id.values() if one.zone == zone]

    def silence(self, zone: str, last_received_at: float = SILENT) -> None:
        for member in self.of(zone):
            member.last_received_at = last_received_at


@pytest.fixture
def peers() -> Peers:
    return Peers()


def test_a_zone_of_which_nobody_is_heard_is_silent(peers: Peers) -> None:
    peers.silence("b")
    assert silent_zones(peers, NOW) == {"b"}


def test_it_is_silent_still_when_its_peers_are_lost(peers: Peers) -> None:
    peers.silence("b")
    for member in peers.of("b"):
        member.lost_at = member.last_received_at + SILENCE_TIMEOUT_S
    assert silent_zones(peers, NOW) == {"b"}


def test_who_is_cut_off_itself_finds_all_others_silent(peers: Peers) -> None:
    peers.silence("b")
    peers.silence("c")
    assert silent_zones(peers, NOW) == {"b", "c"}


def test_one_peer_that_is_heard_speaks_for_its_zone(peers: Peers) -> None:
    peers.silence("b")
    peers.of("b")[0].last_received_at = RECENT
    assert silent_zones(peers, NOW) == frozenset()


def test_the_silence_of_everybody_says_nothing_of_zones(peers: Peers) -> None:
    for zone in "abc":
        peers.silence(zone)
    assert silent_zones(peers, NOW) == frozenset()


def test_the_own_zone_is_never_silent(peers: Peers) -> None:
    peers.silence("a")
    assert silent_zones(peers, NOW) == frozenset()


def test_peers_whose_streams_ended_are_gone_rather_than_cut_off(peers: Peers) -> None:
    """Their zone's targets may be healthy; a crash of an instance affects none."""
    peers.silence("b")
    for member in peers.of("b"):
        member.lost_at = member.last_received_at + 0.1
    assert silent_zones(peers, NOW) == frozenset()


def test_a_zone_is_tried_again_after_a_while(peers: Peers) -> None:
    peers.silence("b", LONG_AGO)
    assert silent_zones(peers, NOW) == frozenset()


@pytest.mark.parametrize(
    ("silence_s", "zones"),
    [
        (SUSPECT_AFTER_S + 0.1, set()),
        (SUSPECT_FAR_AFTER_S - 0.1, set()),
        (SUSPECT_FAR_AFTER_S + 0.1, {"b"}),
        (SUSPECT_FAR_FOR_S - 0.1, {"b"}),
        (SUSPECT_FAR_FOR_S + 0.1, set()),
    ],
)
def test_where_peers_are_many_a_zone_is_silent_after_longer(
    peers: Peers, silence_s: float, zones: set[str]
) -> None:
    """Messages of its peers are relayed by contacts, which takes longer."""
    peers.large = True
    peers.silence("b", NOW - silence_s)
    assert silent_zones(peers, NOW) == zones


def test_where_peers_are_many_one_that_is_heard_speaks_for_its_zone(
    peers: Peers,
) -> None:
    peers.large = True
    peers.silence("b")
    peers.of("b")[0].last_received_at = RECENT
    assert silent_zones(peers, NOW) == frozenset()


@pytest.fixture
def fleet() -> Fleet:
    made = Fleet("e-0", "a", random.Random(1))
    for zone in "abc":
        made.targets.put(Target(f"t-{zone}", "model", f"10.0.0.{ord(zone)}:1", zone, 4))
    return made


@pytest.mark.parametrize(
    ("silent", "excluded", "usable"),
    [
        ("", "", "abc"),
        ("b", "", "ac"),
        ("bc", "", "a"),
        ("bc", "a", "bc"),
    ],
)
def test_targets_of_silent_zones_are_tried_when_there_are_no_others(
    fleet: Fleet, silent: str, excluded: str, usable: str
) -> None:
    fleet.silent_zones = lambda now: frozenset(silent)
    left_out = frozenset(f"t-{zone}" for zone in excluded)
    found = fleet.usable("model", NOW, left_out)
    assert [one.id for one in found] == [f"t-{zone}" for zone in usable]
