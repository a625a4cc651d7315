"""Placement of requests while a zone of a large deployment is partitioned in a burst.

195 instances in five availability zones, 37 targets. One zone is cut off from the
others; its own instances and targets keep running. Until the partition is detected, a
request that is sent across it is lost, since it may have run there.
"""

import random

import pytest

from caperridge.decisions.rendezvous import score
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.mesh.roster import Roster
from caperridge.gateway.placement import no_queue, place_online_zone_first
from caperridge.gateway.process import HEARTBEAT_INTERVAL_S
from caperridge.gateway.targets import Target
from caperridge.gateway.zones import SUSPECT_FAR_FOR_S, silent_zones

ZONES = "abcde"
CUT = "c"
INSTANCES = 195
TARGETS = 37
SLOTS = 8
CUT_AT = 100.0
# A relayed heartbeat waits for the next heartbeat of one contact, a second one for that
# of the other contact.
DETECTION_DELAY_S = 2.1
# The burst of a zone fills the zone's own targets.
ONLINE_PER_TARGET = SLOTS


class View:
    """The view of one instance, and the zones to which it would send requests.

    Args:
        zone: zone of the instance.
    """

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.rng = random.Random(7)
        self.peers = Roster("own", zone)
        self.fleet = Fleet("own", zone, self.rng)
        self.fleet.silent_zones = self._silent_zones
        for number in range(INSTANCES - 1):
            id = f"e-{number}"
            self.peers.learn(id, id, ZONES[number % len(ZONES)], CUT_AT)
        for number in range(TARGETS):
            target = Target(
                f"t-{number}", "model", f"t:{number}", ZONES[number % 5], SLOTS
            )
            self.fleet.targets.put(target)

    def _silent_zones(self, now: float) -> frozenset[str]:
        return silent_zones(_Peers(self.zone, self.peers), now)

    def receive_until(self, now: float) -> None:
        """Receive heartbeats of peers on the own side, of the others up to the cut."""
        for member in self.peers.members_by_id.values():
            across_cut = (member.zone == CUT) != (self.zone == CUT)
            received_until = (
                min(now, CUT_AT + HEARTBEAT_INTERVAL_S) if across_cut else now
            )
            jitter = score(member.id, "beat") % 1000 / 1000 * HEARTBEAT_INTERVAL_S
            member.last_received_at = received_until - jitter
            member.lost_at = None

    def fill_own_zone(self) -> None:
        """Fill all slots of the zone's own targets with online requests."""
        for target in self.fleet.targets.by_id.values():
            if target.availability_zone == self.zone:
                self.fleet.occupancy.add(target.id, online=ONLINE_PER_TARGET)

    def zones_used(self, now: float, requests: int = 200) -> set[str]:
        """Return the zones to which requests are sent."""
        used: set[str] = set()
        for _ in range(requests):
            targets = self.fleet.usable("model", now)
            target = place_online_zone_first(
                targets, self.fleet.occupancy, self.zone, self.rng, no_queue
            )
            if target is not None:
                used.add(target.availability_zone)
        return used


class _Peers:
    """A roster with the attributes that the check for silent zones needs."""

    def __init__(self, zone: str, peers: Roster) -> None:
        self.zone = zone
        self.large = peers.large
        self.members_by_id = peers.members_by_id


@pytest.mark.parametrize("zone", "abde")
def test_no_request_crosses_the_cut_once_the_zone_fell_silent(zone: str) -> None:
    view = View(zone)
    view.fill_own_zone()
    view.receive_until(CUT_AT)
    assert CUT in view.zones_used(CUT_AT)
    now = CUT_AT + DETECTION_DELAY_S
    view.receive_until(now)
    assert view.zones_used(now) == set(ZONES) - {CUT, zone}


def test_the_zone_that_is_cut_off_sends_to_its_own_targets_only() -> None:
    view = View(CUT)
    view.fill_own_zone()
    now = CUT_AT + DETECTION_DELAY_S
    view.receive_until(now)
    assert view.zones_used(now) == set()


def test_its_targets_are_tried_again_while_it_stays_silent() -> None:
    """All instances of the zone may be lost while its targets are healthy."""
    view = View("a")
    view.fill_own_zone()
    now = CUT_AT + SUSPECT_FAR_FOR_S + 2 * HEARTBEAT_INTERVAL_S
    view.receive_until(now)
    assert CUT in view.zones_used(now)


def test_half_of_a_zone_that_is_lost_does_not_close_it() -> None:
    view = View("a")
    view.fill_own_zone()
    now = CUT_AT + DETECTION_DELAY_S
    view.receive_until(now)
    for number, member in enumerate(view.peers.members_by_id.values()):
        if member.zone == CUT and number % 2:
            member.last_received_at = now - HEARTBEAT_INTERVAL_S
    assert CUT in view.zones_used(now)
