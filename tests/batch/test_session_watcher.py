"""Which instance watches the sessions of a zone; no report ends a session early."""

from collections.abc import Iterator
from typing import Any

import pytest

from batch.reads_world import ReadsWorld
from caperridge import keys
from caperridge.commands.sessions import ALIVE, LAPSED, open_session, renew_session
from caperridge.decisions.leases import LAPSE_MARGIN_RATIO
from caperridge.instance.session_watcher import SessionWatcher
from caperridge.peers.messages import SessionsWatched

LEASE_S = 10.0
LOOK_S = LEASE_S / 4
LAPSES_S = LEASE_S * (1 + LAPSE_MARGIN_RATIO) + 2 * LOOK_S
UNWATCHED_S = LEASE_S + LOOK_S


class Zone:
    """The watchers of four instances, and one session."""

    def __init__(self, world: ReadsWorld) -> None:
        self.world = world
        self.views: list[Any] = [node.view for node in world.nodes]
        self.watchers = [
            SessionWatcher(view, view, LEASE_S, lambda: world.now, view)
            for view in self.views
        ]
        self.paused: set[int] = set()
        self.renewals = 0

    async def open(self) -> None:
        await open_session(self.world.platform, "s", "i9", LEASE_S)

    async def renew(self) -> None:
        self.renewals += 1
        await renew_session(self.world.platform, "s", self.renewals)

    async def look(self, times: int, renewing: bool = False) -> None:
        for number in range(times):
            self.world.now += LOOK_S
            if renewing and number % 2:
                await self.renew()
            for node in self.world.nodes:
                told, node.inbox = node.inbox, []
                if node.view.number in self.paused:
                    continue
                for message in told:
                    node.view.handlers_by_kind[SessionsWatched]("i", message)
                await self.watchers[node.view.number].idle()

    @property
    def state(self) -> str:
        return self.world.platform.rows_by_key[keys.session("s")].value["state"]

    def readers(self) -> set[int]:
        return {view.number for view in self.views if view.reads["scan"]}


@pytest.fixture
def zone() -> Iterator[Zone]:
    world = ReadsWorld()
    yield Zone(world)
    world.close()


def looks(seconds: float) -> int:
    return round(seconds / LOOK_S)


async def test_one_watches_and_the_others_rely_on_it(zone: Zone) -> None:
    await zone.open()
    await zone.look(looks(6 * LEASE_S), renewing=True)
    assert zone.state == ALIVE
    assert zone.readers() == {0}


@pytest.mark.parametrize("fault", ["none", "paused", "cut off", "nobody"])
async def test_a_session_that_stands_still_lapses_whatever_the_watcher_does(
    zone: Zone, fault: str
) -> None:
    await zone.open()
    await zone.look(4, renewing=True)
    if fault == "paused":
        zone.paused.add(0)
    if fault == "cut off":
        zone.views[0].cut = True
    if fault == "nobody":
        for view in zone.views:
            view.reader = 9
    took_up_s = 0.0 if fault == "none" else UNWATCHED_S
    await zone.look(looks(LAPSES_S + took_up_s))
    assert zone.state == LAPSED


@pytest.mark.parametrize("fault", ["paused", "cut off", "nobody", "two", "moved"])
async def test_a_session_that_is_renewed_never_lapses(zone: Zone, fault: str) -> None:
    await zone.open()
    await zone.look(3, renewing=True)
    if fault == "paused":
        zone.paused.add(0)
    if fault == "cut off":
        zone.views[0].cut = True
    if fault == "nobody":
        for view in zone.views:
            view.reader = 9
    if fault == "two":
        zone.views[2].reader = 2
    if fault == "moved":
        for view in zone.views:
            view.reader = 1
    await zone.look(looks(8 * LEASE_S), renewing=True)
    zone.paused.clear()
    zone.views[0].cut = False
    await zone.look(looks(2 * LEASE_S), renewing=True)
    assert zone.state == ALIVE


async def test_one_that_takes_over_counts_from_its_own_first_look(zone: Zone) -> None:
    """The old watcher had seen the session unrenewed for most of the lease."""
    await zone.open()
    await zone.look(looks(LEASE_S))
    for view in zone.views:
        view.reader = 1
    await zone.look(looks(LEASE_S))
    assert zone.state == ALIVE
    await zone.look(looks(LAPSES_S - LEASE_S))
    assert zone.state == LAPSED
