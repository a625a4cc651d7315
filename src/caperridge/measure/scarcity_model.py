"""A model of one service whose slots are too few, with the product's own decisions.

The pattern: bursts that ask for half as much again as the slots can run, with troughs
between, while jobs of ten items come that have 18 s; and a loss of all instances in the
middle, after which nobody ends the runs they had. Time goes in steps; no network, no
clock, the same seed gives the same play.
"""

import random

from caperridge.decisions.admission import (
    START_LATENCY_S,
    max_queued,
    retry_delay_s,
)
from caperridge.gateway.jobs.schedule import effective_due
from caperridge.records import Record

STEP_S = 0.01
# Online answers of 28 events and items of 193, as logs of a deployment have them.
ONLINE_S = 0.75
ITEM_S = 4.9
DEADLINE_S = 5.0
OBJECTIVE_S = 0.3
ITEMS_DUE_S = 18.0
ITEMS_A_JOB = 10
# Requests a second in a burst and between bursts, for each slot that there is.
BURST_RATE = 2.0
CALM_RATE = 0.41
BURST_S = 2.4
PERIOD_S = 5.8
FIRST_BURST_S = 3.4
JOBS_EACH_S = 4.0
# Of a new run: it reads the prompt and what was generated again.
RESUME_S = 0.05


class Policy(Record):
    """What is compared.

    Attributes:
        queue: that may wait for each eight slots; None for what begins in time.
        return_s: told to who is refused; None for as late as callers follow.
        late_wait_s: how long requests that are late wait for a slot.
        feasible_first: items that can be in time go before those that cannot.
        lease_s: how long a run goes on that nobody renews; 0 for until its end.
    """

    __slots__ = ("feasible_first", "late_wait_s", "lease_s", "queue", "return_s")

    def __init__(
        self,
        queue: int | None = None,
        return_s: float | None = None,
        late_wait_s: float = 0.0,
        feasible_first: bool = True,
        lease_s: float = 2.2,
    ) -> None:
        self.queue = queue
        self.return_s = return_s
        self.late_wait_s = late_wait_s
        self.feasible_first = feasible_first
        self.lease_s = lease_s


CONSTANTS = Policy(3, 0.6, feasible_first=False, lease_s=0.0)


class Caller:
    """One online request, with its tries."""

    __slots__ = ("first_at", "patient_until", "tries", "wake_at")

    def __init__(self, now: float) -> None:
        self.first_at = now
        self.tries = 0
        self.wake_at = now
        self.patient_until = 0.0


class Item:
    """One item of a job."""

    __slots__ = ("done_s", "due", "started_at")

    def __init__(self, due: float) -> None:
        self.due = due
        self.done_s = 0.0
        self.started_at = 0.0


class Outcome(Record):
    """What callers got."""

    __slots__ = (
        "asked",
        "cancelled",
        "in_time",
        "items",
        "items_in_time",
        "late",
        "refused",
    )

    def __init__(self) -> None:
        self.asked = 0
        self.in_time = 0
        self.late = 0
        self.refused = 0
        self.items = 0
        self.items_in_time = 0
        self.cancelled = 0

    def add(self, other: "Outcome") -> None:
        """Add what another play came to."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class Play:
    """One play of the pattern under one policy.

    Args:
        policy: that decides.
        slots: of all targets together; eight each.
        seed: of arrivals, and of what is spread.
        lost_at: when all instances are lost for ``lost_s``; none if it is negative.
        lost_s: how long they are away.
        burst_rate: requests a second in a burst, for each slot.
    """

    def __init__(
        self,
        policy: Policy,
        slots: int = 16,
        seed: int = 1,
        lost_at: float = -1.0,
        lost_s: float = 1.4,
        burst_rate: float = BURST_RATE,
    ) -> None:
        self.outcome = Outcome()
        self._policy = policy
        self._slots = slots
        self._burst_rate = burst_rate
        self._arrivals = random.Random(seed)
        self._chance = random.Random(seed)
        self._lost_at = lost_at
        self._back_at = lost_at + lost_s
        self._now = 0.0
        self._callers: list[Caller] = []
        self._queue: list[Caller] = []
        self._ends: list[float] = []  # of online runs
        self._orphans: list[float] = []  # ends of runs that nobody reads any more
        self._waiting: list[Item] = []
        self._running: list[Item] = []
        self._stretch = 1.0

    def run(self, seconds: float) -> Outcome:
        """Play so long and return what callers got."""
        for step in range(round(seconds / STEP_S)):
            self._now = step * STEP_S
            self._arrive()
            if abs(self._now - self._lost_at) < STEP_S / 2:
                self._lose_all()
            if self._lost_at <= self._now < self._back_at:
                continue
            self._end_runs()
            for caller in list(self._callers):
                self._try(caller)
            self._start_queued()
            self._give_way()
            self._start_items()
        return self.outcome

    def _arrive(self) -> None:
        since = (self._now - FIRST_BURST_S) % PERIOD_S
        bursting = self._now >= FIRST_BURST_S and since < BURST_S
        rate = (self._burst_rate if bursting else CALM_RATE) * self._slots
        for _ in range(self._how_many(rate * STEP_S)):
            self._callers.append(Caller(self._now))
            self.outcome.asked += 1
        # Items have some 0.3 of the slots, as much as jobs ask for on the day.
        job_rate = 0.3 * self._slots / (ITEM_S * ITEMS_A_JOB)
        for _ in range(self._how_many(job_rate * STEP_S)):
            due = self._now + ITEMS_DUE_S
            self._waiting += [Item(due) for _ in range(ITEMS_A_JOB)]
            self.outcome.items += ITEMS_A_JOB

    def _how_many(self, expected: float) -> int:
        whole = int(expected)
        return whole + (self._arrivals.random() < expected - whole)

    def _lose_all(self) -> None:
        for item in self._running:
            left_s = ITEM_S - item.done_s
            if self._policy.lease_s:
                left_s = min(left_s, self._policy.lease_s * self._chance.random())
            self._orphans.append(self._now + left_s)
        self._orphans += self._ends
        self._waiting += self._running
        self._running, self._ends = [], []
        self._callers += self._queue
        self._queue = []

    def _end_runs(self) -> None:
        self._ends = [end for end in self._ends if end > self._now]
        self._orphans = [end for end in self._orphans if end > self._now]
        for item in list(self._running):
            item.done_s += STEP_S
            if item.done_s < ITEM_S:
                continue
            self._running.remove(item)
            self.outcome.items_in_time += self._now <= item.due
            took = (self._now - item.started_at) / ITEM_S
            self._stretch += 0.1 * (max(1.0, took) - self._stretch)

    def _try(self, caller: Caller) -> None:
        if caller.wake_at > self._now:
            return
        left_s = caller.first_at + OBJECTIVE_S - self._now
        online = len(self._ends) + len(self._queue) + len(self._orphans)
        if online < self._slots + self._most_queued(left_s):
            self._callers.remove(caller)
            self._queue.append(caller)
            return
        deadline_left_s = caller.first_at + DEADLINE_S - self._now
        if self._policy.late_wait_s and left_s < START_LATENCY_S:
            if not caller.patient_until:
                caller.patient_until = self._now + self._policy.late_wait_s
            if self._now < caller.patient_until:
                return
        caller.tries += 1
        if caller.tries > 1:
            self._callers.remove(caller)
            self.outcome.refused += 1
            return
        spread = self._chance.random()
        caller.wake_at = self._now + (
            self._policy.return_s or retry_delay_s(deadline_left_s, spread)
        )

    def _most_queued(self, left_s: float) -> int:
        targets = self._slots // 8
        if self._policy.queue is not None:
            return self._policy.queue * targets
        return max_queued(ONLINE_S, 8, left_s) * targets

    def _start_queued(self) -> None:
        while self._queue and len(self._ends) + len(self._orphans) < self._slots:
            caller = self._queue.pop(0)
            if self._now - caller.first_at + START_LATENCY_S <= OBJECTIVE_S:
                self.outcome.in_time += 1
            else:
                self.outcome.late += 1
            self._ends.append(self._now + ONLINE_S)

    def _busy(self) -> int:
        return len(self._ends) + len(self._orphans) + len(self._running)

    def _give_way(self) -> None:
        while self._running and self._busy() > self._slots:
            last = max(self._running, key=self._order)
            self._running.remove(last)
            self._waiting.append(last)
            self.outcome.cancelled += 1

    def _start_items(self) -> None:
        while self._waiting and self._busy() < self._slots:
            first = min(self._waiting, key=self._order)
            self._waiting.remove(first)
            first.started_at = first.started_at or self._now
            first.done_s = max(0.0, first.done_s - RESUME_S)
            self._running.append(first)

    def _order(self, item: Item) -> tuple[float, float]:
        left_s = (ITEM_S - item.done_s) * self._stretch
        if not self._policy.feasible_first:
            left_s = 0.0
        return effective_due(item.due, left_s, self._now), -item.done_s
