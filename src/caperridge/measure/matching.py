"""Which waiting job gets an idle place at which runner: rules compared by the model.

Jobs have prompts that share a long prefix, and due times. Runners have few places,
some of them taken by online requests, and prefix caches that hold a few jobs' prefix.
Each time a place is idle, a rule chooses a job and a runner; within a job the longest
waiting item goes first, among equal runners the longest idle one.

The affine rule, known from call centres, gives each pair of job and runner the index
``q * cached + a * wait + b * idle``, with ``q`` for what the cached prefix saves.
"""

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Any

from caperridge.measure.options import Options
from caperridge.records import Record
from caperridge.standins.engine_model import EngineCosts, EngineModel, Sequence

RUNNERS = 6
JOBS = 18
ITEMS_A_JOB = 40
PREFIX_CHARACTERS = 4800
COSTS = EngineCosts(
    step_s=0.030,
    sequence_s=0.0002,
    prefill_s=0.00005,
    most_running=8,
    cache_blocks=4 * PREFIX_CHARACTERS // 64,
)
ONLINE_CHANGES_S = 0.5
SEEDS = 5


class Pair(Record):
    """A waiting job and a runner with an idle place.

    Attributes:
        job: number of the job.
        runner: number of the runner.
        wait_s: how long the job's first item has waited.
        idle_s: how long the runner's place has been idle.
        due_in_s: until the job is due.
        cached: share of the prompt that the runner has cached, by own history.
    """

    __slots__ = ("cached", "due_in_s", "idle_s", "job", "runner", "wait_s")

    def __init__(
        self,
        job: int,
        runner: int,
        wait_s: float,
        idle_s: float,
        due_in_s: float,
        cached: float,
    ) -> None:
        self.job = job
        self.runner = runner
        self.wait_s = wait_s
        self.idle_s = idle_s
        self.due_in_s = due_in_s
        self.cached = cached


Rule = Callable[[Pair, random.Random], tuple[float, ...]]


def affine(cached: float, wait: float, idle: float) -> Rule:
    """Return the affine rule with these weights."""

    def index(pair: Pair, _: random.Random) -> tuple[float, ...]:
        return (cached * pair.cached + wait * pair.wait_s + idle * pair.idle_s,)

    return index


RULES_BY_NAME: dict[str, Rule] = {
    "random": lambda pair, rng: (rng.random(),),
    "longest_waiting": lambda pair, _: (pair.wait_s, pair.idle_s),
    "earliest_due": lambda pair, _: (-pair.due_in_s, pair.idle_s),
    "earliest_due_cached": lambda pair, _: (-pair.due_in_s, pair.cached, pair.idle_s),
    "cached_then_due": lambda pair, _: (pair.cached, -pair.due_in_s, pair.idle_s),
    "affine_1_1_1": affine(1.0, 1.0, 1.0),
    "affine_10_1_1": affine(10.0, 1.0, 1.0),
    "affine_30_1_1": affine(30.0, 1.0, 1.0),
    "affine_30_1_10": affine(30.0, 1.0, 10.0),
    "affine_100_1_1": affine(100.0, 1.0, 1.0),
}


class MatchingModel:
    """The runners, the jobs and a clock that events move."""

    def __init__(self, rule: Rule, seed: int) -> None:
        self.now = 0.0
        self.done_at_by_job: dict[int, float] = {}
        self.prefilled_s = 0.0
        self._rule = rule
        self._rng = random.Random(seed)
        # Rules must not change what happens around them.
        self._rule_rng = random.Random(seed + 1)
        self._engines = [EngineModel(COSTS) for _ in range(RUNNERS)]
        self._online = [0] * RUNNERS
        self._stepping = [False] * RUNNERS
        self._idle_since = [0.0] * RUNNERS
        self._history: list[list[int]] = [[] for _ in range(RUNNERS)]
        self._events: list[tuple[float, int, Callable[[int], None], int]] = []
        self._numbers = count()
        self._items: list[list[int]] = []
        self._left = [ITEMS_A_JOB] * JOBS
        self.due_at: list[float] = []
        for _ in range(JOBS):
            tokens = [self._rng.randint(20, 60) for _ in range(ITEMS_A_JOB)]
            self._items.append(tokens)
            self.due_at.append(self._rng.uniform(10.0, 60.0))
        self._arrived_at = [self._rng.uniform(0.0, 8.0) for _ in range(JOBS)]

    def run(self) -> dict[str, float]:
        """Run until each item is done; return the figures."""
        for job in range(JOBS):
            self._at(self._arrived_at[job], self._match, 0)
        for runner in range(RUNNERS):
            self._at(0.0, self._change_online, runner)
        while len(self.done_at_by_job) < JOBS:
            self.now, _, act, argument = heapq.heappop(self._events)
            act(argument)
        late = [
            max(0.0, done - self.due_at[job])
            for job, done in self.done_at_by_job.items()
        ]
        return {
            "items_per_s": JOBS * ITEMS_A_JOB / max(self.done_at_by_job.values()),
            "late_jobs": float(sum(1 for seconds in late if seconds)),
            "late_s": sum(late),
            "prefill_s": self.prefilled_s,
        }

    def _at(self, at: float, act: Callable[[int], None], argument: int) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act, argument))

    def _change_online(self, runner: int) -> None:
        self._online[runner] = self._rng.randint(0, COSTS.most_running - 2)
        self._at(self.now + ONLINE_CHANGES_S, self._change_online, runner)
        self._match(0)

    def _idle(self, runner: int) -> bool:
        engine = self._engines[runner]
        taken = len(engine.running_by_attempt) + len(engine.waiting)
        return taken + self._online[runner] < COSTS.most_running

    def _match(self, _: int) -> None:
        while pairs := self._pairs():
            best = max(pairs, key=lambda pair: self._rule(pair, self._rule_rng))
            self._start(best)

    def _pairs(self) -> list[Pair]:
        pairs: list[Pair] = []
        for runner in range(RUNNERS):
            if not self._idle(runner):
                continue
            for job in range(JOBS):
                if not self._items[job] or self._arrived_at[job] > self.now:
                    continue
                pairs.append(
                    Pair(
                        job,
                        runner,
                        self.now - self._arrived_at[job],
                        self.now - self._idle_since[runner],
                        self.due_at[job] - self.now,
                        1.0 if job in self._history[runner][-3:] else 0.0,
                    )
                )
        return pairs

    def _start(self, pair: Pair) -> None:
        number = next(self._numbers)
        tokens = self._items[pair.job].pop()
        prompt = f"job {pair.job} ".ljust(PREFIX_CHARACTERS, "p") + f" {number}"
        attempt = f"{pair.job}.{number}"
        self._engines[pair.runner].submit(Sequence(attempt, attempt, prompt, tokens))
        history = self._history[pair.runner]
        if pair.job in history:
            history.remove(pair.job)
        history.append(pair.job)
        self._idle_since[pair.runner] = self.now
        if not self._stepping[pair.runner]:
            self._step(pair.runner)

    def _step(self, runner: int) -> None:
        step = self._engines[runner].step()
        self._stepping[runner] = step is not None
        if step is None:
            return
        batch_s = COSTS.step_s + COSTS.sequence_s * len(step.emitted)
        self.prefilled_s += step.duration_s - batch_s
        for sequence in step.finished:
            self._end(int(sequence.request.split(".")[0]), step.duration_s)
        self._at(self.now + step.duration_s, self._step, runner)
        self._at(self.now + step.duration_s, self._match, 0)

    def _end(self, job: int, in_s: float) -> None:
        self._left[job] -= 1
        if not self._left[job]:
            self.done_at_by_job[job] = self.now + in_s


async def run(options: Options) -> dict[str, Any]:
    """Run each rule on the same jobs, with some seeds; a few seconds."""
    figures: dict[str, Any] = {}
    for name, rule in RULES_BY_NAME.items():
        sums: dict[str, float] = {}
        for seed in range(options.seed, options.seed + SEEDS):
            for field, value in MatchingModel(rule, seed).run().items():
                sums[field] = sums.get(field, 0.0) + value / SEEDS
        figures[name] = {field: round(value, 2) for field, value in sums.items()}
    return figures
