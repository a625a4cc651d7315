"""The task that asks the own targets for their load and their cache events."""

import asyncio
from collections.abc import Callable
from typing import Any

from caperridge.decisions.membership import Membership
from caperridge.decisions.routing import TargetPool
from caperridge.decisions.target_state import TargetReport, TargetState
from caperridge.instance.actor import Actor
from caperridge.peers.messages import LoadNews
from caperridge.targets.engine import EngineClient

NEWS_S = 0.5  # by `measure routing`: rarer news costs the tail much
LOAD_EVERY = 2  # turns, of which one comes each NEWS_S
EVENTS_EVERY = 4
STATE_EVERY = 10
MOST_EVENTS = 4096  # taken in at once; older ones say little


class Polled:
    """Where the polling of one incarnation of a target stands.

    Attributes:
        incarnation: of the target.
        after: number of the last cache event taken in.
        version: that it has loaded.
        adapters: that it has loaded; None if not said.
        waiting: sequences inside it at the last poll; None if it gave no answer.
    """

    __slots__ = ("adapters", "after", "incarnation", "version", "waiting")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.after = -1
        self.version = ""
        self.adapters: list[str] | None = None
        self.waiting: int | None = None


class TargetReports(Actor):
    """Polls the targets that this instance looks after, and tells its zone.

    Each target is polled by one instance, found as for batch by rendezvous hash;
    two or none for a moment only means news twice or late. The online requests at a
    target are counted here, so news of them goes out more often than it is polled.

    Args:
        membership: says which targets are the own.
        book: takes in what is heard.
        engines: client of the engines.
        online: returns the online requests of all instances at a target.
        target_leaving: told of a target that says itself that it is leaving.
        news: passes news of loads on to the zone.
        clock: monotonic seconds.
    """

    idle_s = NEWS_S

    def __init__(
        self,
        membership: Membership,
        book: TargetPool,
        engines: EngineClient,
        online: Callable[[str], int],
        target_leaving: Callable[[str], None],
        news: Callable[[LoadNews], object],
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self.engine_services: set[str] = set()
        self._membership = membership
        self._book = book
        self._engines = engines
        self._online = online
        self._target_leaving = target_leaving
        self._news = news
        self._clock = clock
        self._polled_by_target: dict[str, Polled] = {}
        self._turn = 0

    async def idle(self) -> None:
        """Poll the own targets in their turn, and pass on what is known of them."""
        own = self._own()
        for target in list(self._polled_by_target):
            if target not in own:
                del self._polled_by_target[target]
        if self._turn % LOAD_EVERY == 0:
            await asyncio.gather(*(self._poll(state) for state in own.values()))
        self._turn += 1
        loads = [load for state in own.values() if (load := self._report(state))]
        if loads:
            self._news(LoadNews(self._membership.instance, loads))

    def _own(self) -> dict[str, TargetState]:
        services = self.engine_services
        zone = self._membership.availability_zone
        own: dict[str, TargetState] = {}
        for target_id, state in self._book.states_by_id.items():
            member = state.member
            if member.availability_zone != zone or member.service not in services:
                continue
            if state.leaving:
                continue
            if self._membership.owner(target_id, zone) == self._membership.instance:
                own[target_id] = state
        return own

    async def _poll(self, state: TargetState) -> None:
        member = state.member
        polled = self._polled_by_target.get(member.id)
        fresh = polled is None or polled.incarnation != member.incarnation
        if polled is None or fresh:
            polled = self._polled_by_target[member.id] = Polled(member.incarnation)
        if fresh or self._turn % STATE_EVERY == 0:
            await self._poll_state(state, polled)
        load = await self._engines.get(member.address, "/control/load")
        if not isinstance(load, dict):
            polled.waiting = None
            return
        polled.waiting = int(load.get("waiting", 0))
        if fresh or self._turn % EVENTS_EVERY == 0:
            await self._poll_events(state, polled)

    def _report(self, state: TargetState) -> list[Any] | None:
        """Take in what is known of an own target's load, and return it for others."""
        member = state.member
        polled = self._polled_by_target.get(member.id)
        if polled is None or polled.waiting is None:
            return None
        online = self._online(member.id)
        self._book.record_report(
            member.id,
            TargetReport(
                polled.waiting,
                online,
                at=self._clock(),
                version=polled.version,
                adapters=polled.adapters,
            ),
        )
        return [member.id, member.incarnation, polled.waiting, online]

    async def _poll_state(self, state: TargetState, polled: Polled) -> None:
        member = state.member
        said = await self._engines.get(member.address, "/control/state")
        if not isinstance(said, dict):
            return
        loaded = said.get("loaded")
        if isinstance(loaded, dict):
            polled.version = str(loaded.get("version", ""))
            polled.adapters = loaded.get("adapters")
        if said.get("leaving"):
            self._target_leaving(member.id)

    async def _poll_events(self, state: TargetState, polled: Polled) -> None:
        path = f"/control/cache-events?after={polled.after}"
        events = await self._engines.get(state.member.address, path)
        if not isinstance(events, list) or not events:
            return
        polled.after = max(number for number, _ in events)
        blocks = [block for _, block in events[-MOST_EVENTS:]]
        self._book.prefix_index.record(state.member.id, blocks)
