"""A model of one team's quota over many instances, on a modelled clock.

Callers keep to the instance that the balancer hashed them to. Messages between
instances take a fixed time; those across a cut are lost.
"""

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from caperridge.decisions.quota import (
    LocalBucket,
    QuotaLimit,
    Reach,
    TeamWindow,
    UsualRate,
)
from caperridge.records import Record

ONE_WAY_S = 0.02
TOLD_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 0.2
FREE_HOLD_S = 10.0
ALONE_USE_RATIO = 0.8
MAX_UNCONFIRMED_RATIO = 0.02
ZONES = 3
# After this time a peer that is not heard from is lost.
SILENCE_S = 1.5
# Demand comes in bursts: factor and length of each phase.
PHASES = ((0.378, 3.0), (1.85, 2.2))
REPORT_BYTES = 40
OWNER = 0


class Scenario(Record):
    """What happens to one team.

    Attributes:
        instances: number of instances.
        demand_ratio: mean demand over the limit.
        callers: number of the team's callers.
        cut: from and until when the last zone is cut off; None for never.
        owner_lost_at: when the owner loses power; None for never.
        all_lost_at: when all instances lose what they know; None for never.
        frozen: from and until when a zone-0 instance stands still; None for never.
    """

    __slots__ = (
        "all_lost_at",
        "callers",
        "cut",
        "demand_ratio",
        "frozen",
        "instances",
        "owner_lost_at",
    )

    def __init__(
        self,
        instances: int,
        demand_ratio: float,
        callers: int = 24,
        cut: tuple[float, float] | None = None,
        owner_lost_at: float | None = None,
        all_lost_at: float | None = None,
        frozen: tuple[float, float] | None = None,
    ) -> None:
        self.instances = instances
        self.demand_ratio = demand_ratio
        self.callers = callers
        self.cut = cut
        self.owner_lost_at = owner_lost_at
        self.all_lost_at = all_lost_at
        self.frozen = frozen


class World:
    """The clock, the messages and what was decided.

    Attributes:
        now: modelled time, in seconds.
        served_at: when requests were served.
        refused: number of refused requests.
        messages: number of messages that were sent.
        waits_s: time added to each served request.
    """

    def __init__(self, scenario: Scenario, limit: QuotaLimit, seed: int) -> None:
        self.scenario = scenario
        self.limit = limit
        self.chance = random.Random(seed)
        self.now = 0.0
        self.served_at: list[float] = []
        self.refused = 0
        self.messages = 0
        self.waits_s: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Have ``call`` called at ``time``."""
        heapq.heappush(self._events, (time, next(self._order), call))

    def send(self, sender: int, receiver: int, call: Callable[[], None]) -> None:
        """Deliver a message unless a cut or a lost instance is in its way."""
        self.messages += 1
        if self.is_reachable(sender, receiver):
            self.at(self.now + ONE_WAY_S, call)

    def is_reachable(self, one: int, other: int) -> bool:
        """Whether messages pass between two instances."""
        lost_at = self.scenario.owner_lost_at
        if lost_at is not None and self.now >= lost_at and OWNER in (one, other):
            return one == other
        return not self.is_cut() or self.zone(one) == self.zone(other)

    def is_cut(self) -> bool:
        """Whether the last zone is cut off."""
        cut = self.scenario.cut
        return cut is not None and cut[0] <= self.now < cut[1]

    def zone(self, instance: int) -> int:
        """Return 1 for instances of the zone that may be cut off, else 0."""
        return int(instance % ZONES == ZONES - 1)

    def serve(self, arrived: float) -> None:
        """Count a served request."""
        self.served_at.append(self.now)
        self.waits_s.append(self.now - arrived)

    def run(self, arm: "Arm", seconds: float) -> None:
        """Play the demand against an arm."""
        instances = [
            self.chance.randrange(self.scenario.instances)
            for _ in range(self.scenario.callers)
        ]
        for time in self._arrivals(seconds):
            instance = self._take_over(self.chance.choice(instances), time)
            self.at(time, lambda one=instance: arm.arrive(one))
        if self.scenario.all_lost_at is not None:
            self.at(self.scenario.all_lost_at, arm.lose_all)
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()

    def _take_over(self, instance: int, time: float) -> int:
        """Return who gets a request: not an instance that is lost or frozen."""
        lost_at = self.scenario.owner_lost_at
        frozen = self.scenario.frozen
        lost = lost_at is not None and time >= lost_at and instance == OWNER
        stands = frozen is not None and frozen[0] <= time < frozen[1] and instance == 1
        return instance + ZONES if lost or stands else instance

    def _arrivals(self, seconds: float) -> list[float]:
        rate = self.limit.rate_per_s * self.scenario.demand_ratio
        times: list[float] = []
        begin = 0.0
        for factor, length in itertools.cycle(PHASES):
            time = begin
            while (time := time + self.chance.expovariate(rate * factor)) < (
                begin + length
            ):
                times.append(time)
            begin += length
            if begin >= seconds:
                return times
        return times


class Arm(ABC):
    """A way to keep the limit."""

    def __init__(self, world: World) -> None:
        self.world = world

    @abstractmethod
    def arrive(self, instance: int) -> None:
        """Decide about a request at ``instance``."""

    @abstractmethod
    def lose_all(self) -> None:
        """Forget everything."""


class EqualShares(Arm):
    """Each instance has its part of the limit."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._windows: dict[int, LocalBucket] = {}

    def arrive(self, instance: int) -> None:
        """See :meth:`Arm.arrive`."""
        world = self.world
        parts = world.scenario.instances
        capacity = max(1.0, world.limit.burst / parts)
        window = self._windows.setdefault(instance, LocalBucket(capacity, world.now))
        if window.take(world.limit.rate_per_s / parts, capacity, world.now):
            world.serve(world.now)
        else:
            world.refused += 1

    def lose_all(self) -> None:
        """See :meth:`Arm.lose_all`."""
        self._windows.clear()


class ToldCounts(Arm):
    """Each instance tells all others what it served, and keeps a copy of the window."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._windows: dict[int, TeamWindow] = {}
        self._untold: dict[int, int] = {}

    def arrive(self, instance: int) -> None:
        """See :meth:`Arm.arrive`."""
        world = self.world
        if self._window(instance).settle("own", 0, 1, 0.0, world.now):
            world.serve(world.now)
            if instance not in self._untold:
                world.at(world.now + TOLD_INTERVAL_S, lambda: self._tell(instance))
            self._untold[instance] = self._untold.get(instance, 0) + 1
        else:
            world.refused += 1

    def _tell(self, instance: int) -> None:
        count = self._untold.pop(instance, 0)
        for other in range(self.world.scenario.instances):
            if other != instance:
                self.world.send(instance, other, lambda to=other: self._hear(to, count))

    def _hear(self, instance: int, count: int) -> None:
        self._window(instance).settle("peer", count, 0, 0.0, self.world.now)

    def _window(self, instance: int) -> TeamWindow:
        world = self.world
        reach = Reach(1.0, settled=True)
        window = self._windows.get(instance)
        if window is None:
            window = self._windows[instance] = TeamWindow(world.limit, reach, world.now)
        window.update(world.limit, reach, world.now)
        return window

    def lose_all(self) -> None:
        """See :meth:`Arm.lose_all`."""
        self._windows.clear()
        self._untold.clear()


class Use:
    """What an instance knows of the team; see :class:`gateway.quotas.TeamUse`."""

    __slots__ = (
        "alone",
        "free_until",
        "silent_until",
        "spent",
        "unconfirmed",
        "used_up_until",
        "usual",
    )

    def __init__(self, now: float) -> None:
        self.spent = 0
        self.unconfirmed = 0
        self.free_until = 0.0
        self.silent_until = 0.0
        self.used_up_until = 0.0
        self.alone = LocalBucket(1.0, now)
        self.usual = UsualRate(now)


class OwnedWindow(Arm):
    """An owner keeps the window and is asked first.

    Args:
        world: that is played.
        always: ask before each request; else only where the window fills up.
    """

    def __init__(self, world: World, always: bool) -> None:
        super().__init__(world)
        self._always = always
        self._lost_all = False
        self._uses: dict[int, Use] = {}
        self._windows: dict[int, TeamWindow] = {}

    def arrive(self, instance: int) -> None:
        """See :meth:`Arm.arrive`."""
        world, limit = self.world, self.world.limit
        use = self._use(instance)
        if use.silent_until > world.now:
            self._decide_alone(use, world.now)
            return
        most = max(1, int(limit.quota * MAX_UNCONFIRMED_RATIO))
        is_free = world.now < use.free_until and use.unconfirmed < most
        if is_free and not self._always:
            use.usual.add(world.now)
            world.serve(world.now)
            use.spent += 1
            use.unconfirmed += 1
            self._report(instance, 0, 0.0)
            return
        self._report(instance, 1, world.now)

    def _report(self, instance: int, wanted: int, arrived: float) -> None:
        world, use = self.world, self._use(instance)
        spent, use.spent = use.spent, 0
        owner = self._owner(instance)
        answered: list[None] = []

        def settle() -> None:
            window = self._window(owner)
            usual = use.usual.at(world.now)
            granted = window.settle(str(instance), spent, wanted, usual, world.now)
            left = window.left
            world.send(owner, instance, lambda: apply(granted, window.scarce, left))

        def apply(granted: int, scarce: bool, left: float) -> None:
            if answered:
                return
            answered.append(None)
            use.unconfirmed -= spent
            use.free_until = 0.0 if scarce else world.now + FREE_HOLD_S
            use.used_up_until = world.now + world.limit.window_s if left < 1 else 0.0
            use.usual.thaw(world.now)
            if wanted and granted:
                use.usual.add(world.now)
                world.serve(arrived)
            elif wanted:
                world.refused += 1

        def time_out() -> None:
            if answered:
                return
            answered.append(None)
            use.spent += spent
            use.silent_until = world.now + 0.5
            if wanted:
                self._decide_alone(use, arrived)

        world.send(instance, owner, settle)
        world.at(world.now + ANSWER_TIMEOUT_S, time_out)

    def _decide_alone(self, use: Use, arrived: float) -> None:
        world = self.world
        if not use.usual.frozen:
            use.usual.freeze(world.now)
            if world.now < use.used_up_until:
                use.alone.empty(world.now)
        rate = use.usual.at(world.now) * ALONE_USE_RATIO
        capacity = max(1.0, min(rate, world.limit.burst / 2))
        if use.alone.take(rate, capacity, world.now):
            use.spent += 1
            world.serve(arrived)
        else:
            world.refused += 1

    def _owner(self, instance: int) -> int:
        """Return the owner as ``instance`` sees it, after the silence of a lost one."""
        world = self.world
        lost_at = world.scenario.owner_lost_at
        if lost_at is not None and world.now >= lost_at + SILENCE_S:
            return OWNER + ZONES
        cut = world.scenario.cut
        noticed = cut is not None and world.is_cut() and world.now > cut[0] + SILENCE_S
        if noticed and world.zone(instance):
            return ZONES - 1
        return OWNER

    def _use(self, instance: int) -> Use:
        use = self._uses.get(instance)
        if use is None:
            use = Use(self.world.now)
            self._uses[instance] = use
        return use

    def _window(self, owner: int) -> TeamWindow:
        world = self.world
        ratio = 1.0
        cut = world.scenario.cut
        if cut is not None and world.is_cut() and world.now > cut[0] + SILENCE_S:
            ratio = 1 / ZONES if world.zone(owner) else 1 - 1 / ZONES
        reach = Reach(ratio, settled=not self._lost_all and owner == OWNER)
        window = self._windows.get(owner)
        if window is None:
            window = self._windows[owner] = TeamWindow(world.limit, reach, world.now)
        window.update(world.limit, reach, world.now)
        return window

    def lose_all(self) -> None:
        """See :meth:`Arm.lose_all`."""
        self._lost_all = True
        self._uses.clear()
        self._windows.clear()
