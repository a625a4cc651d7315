"""Requests with shared prompt parts, some fatal, at modelled instances and targets."""

import asyncio
import itertools
import random
from typing import Any

from caperridge.decisions.suspect_keys import part_keys
from caperridge.gateway.fingerprint import Fingerprint
from caperridge.measure.part_fleet import ModelFleet, ModelTarget
from caperridge.measure.part_scenario import Scenario
from caperridge.measure.part_serving import (
    MAX_WAIT_S,
    PREFILL_S,
    WRITING_S,
    ModelRequest,
    Serving,
)
from caperridge.measure.part_ways import Way

# Mean number of runs at a target.
RUNS_A_TARGET = 3.0
IDEMPOTENT_RATIO = 0.5
FIRST_PARTS = 15
SECOND_PARTS = 290
# Popularity of the second parts falls with their rank to this power.
SKEW = 0.8
SAMPLE_S = 0.5
CUT_ZONE = 2


class World:
    """Plays one scenario.

    Attributes:
        fleet: instances and targets.
        outcomes: what was seen.

    Args:
        scenario: that is played.
        way: by which instances find fatal parts.
        seed: of every random choice.
    """

    def __init__(self, scenario: Scenario, way: Way, seed: int) -> None:
        self.fleet = ModelFleet(scenario.instances, scenario.targets, way, seed)
        self._scenario = scenario
        self._chance = random.Random(seed + 1)
        self._serving = Serving(self.fleet, self._chance)
        self.outcomes = self._serving.outcomes
        self._numbers = itertools.count()
        self._second_weights = [(rank + 1) ** -SKEW for rank in range(SECOND_PARTS)]
        self._fatal_contents: set[str] = set()
        self._fatal_keys: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures: list[asyncio.Task[None]] = []
        for target in self.fleet.targets:
            target.fatal = self._chance.random() < scenario.fatal_targets

    async def play(self) -> None:
        """Play the scenario to its end; raise what failed in the model."""
        scenario = self._scenario
        self._start(self._send_sound())
        self._start(self._sample())
        for number in range(scenario.fatal_parts):
            self._start(self._send_fatal(number))
        if scenario.crash_interval_s:
            self._start(self._crash_by_chance())
        if scenario.lost_ratio:
            self._start(self._lose_at_once())
        if scenario.coincidences:
            self._start(self._coincide())
        if scenario.fresh_at:
            self._start(self._add_instance())
        if scenario.cut is not None:
            self._start(self._cut(*scenario.cut))
        await asyncio.sleep(scenario.seconds)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in self._failures:
            task.result()

    def _start(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failures.append(task)

    # Demand.

    def _request(self, parts: list[str], fatal: str, idempotent: bool) -> ModelRequest:
        number = next(self._numbers)
        fingerprint = Fingerprint(
            f"{number:024x}", "caller", part_keys([*parts, f"own-{number}"])
        )
        if fatal:
            self._fatal_contents.add(fingerprint.content)
        now = asyncio.get_running_loop().time()
        return ModelRequest(parts[0], fingerprint, fatal, idempotent, now)

    async def _send_sound(self) -> None:
        scenario = self._scenario
        mean_s = sum(PREFILL_S) / 2 + sum(WRITING_S) / 2
        rate = scenario.targets * RUNS_A_TARGET / mean_s
        seconds = range(SECOND_PARTS)
        while True:
            await asyncio.sleep(self._chance.expovariate(rate))
            (second,) = self._chance.choices(seconds, self._second_weights)
            first = f"first-{self._chance.randrange(FIRST_PARTS)}"
            if scenario.fatal_first and first == "first-0" and self._is_fatal_time():
                continue
            if scenario.sound_before and second == 0 and self._is_fatal_time():
                continue
            idempotent = self._chance.random() < IDEMPOTENT_RATIO
            request = self._request([first, f"second-{second}"], "", idempotent)
            instance = self._chance.choice(self.fleet.instances)
            self._start(self._serving.serve(instance, request))

    def _is_fatal_time(self) -> bool:
        return asyncio.get_running_loop().time() >= self._scenario.fatal_from

    def _fatal_chain(self, number: int) -> tuple[list[str], str]:
        """Return the shared parts of fatal requests, and the key of the fatal one."""
        scenario = self._scenario
        if scenario.fatal_first:
            second = f"second-{self._chance.randrange(SECOND_PARTS)}"
            chain = ["first-0", second]
            return chain, part_keys([*chain, ""])[1]
        second = "second-0" if scenario.sound_before else f"fatal-{number}"
        chain = [f"first-{number}", second]
        return chain, part_keys([*chain, ""])[0]

    async def _send_fatal(self, number: int) -> None:
        scenario = self._scenario
        await asyncio.sleep(scenario.fatal_from)
        while True:
            chain, fatal = self._fatal_chain(number)
            self._fatal_keys.add(fatal)
            request = self._request(chain, fatal, scenario.fatal_idempotent)
            instance = self._chance.choice(self.fleet.instances)
            if scenario.fresh_at and len(self.fleet.instances) > scenario.instances:
                instance = self._chance.choice([instance, self.fleet.instances[-1]])
            self._start(self._serving.serve(instance, request))
            await asyncio.sleep(self._chance.expovariate(scenario.fatal_per_s))

    # Troubles.

    async def _crash_by_chance(self) -> None:
        while True:
            rate = 1 / self._scenario.crash_interval_s
            await asyncio.sleep(self._chance.expovariate(rate))
            for target in self._chance.choices(
                self._serving.up() or self.fleet.targets
            ):
                self._serving.crash(target)

    async def _lose_at_once(self) -> None:
        await asyncio.sleep(self._scenario.fatal_from + 2.0)
        count = round(len(self.fleet.targets) * self._scenario.lost_ratio)
        for target in self._chance.sample(self.fleet.targets, count):
            self._serving.crash(target)

    async def _coincide(self) -> None:
        """Have targets crash by chance just as a run of one rare part begins."""
        for _ in range(self._scenario.coincidences):
            await asyncio.sleep(2.0)
            request = self._request(["first-1", "rare"], "", False)
            instance = self._chance.choice(self.fleet.instances)
            self._start(self._serving.serve(instance, request))
            runs: list[ModelTarget] = []
            while not runs:
                await asyncio.sleep(PREFILL_S[0] / 4)
                runs = [
                    one
                    for one in self.fleet.targets
                    if any(run.request is request for run in one.runs)
                ]
                if asyncio.get_running_loop().time() > request.sent_at + MAX_WAIT_S:
                    break
            for target in runs:
                self._serving.crash(target)
        while True:
            await asyncio.sleep(2.0)
            request = self._request(["first-1", "rare"], "", False)
            instance = self._chance.choice(self.fleet.instances)
            self._start(self._serving.serve(instance, request))

    async def _add_instance(self) -> None:
        await asyncio.sleep(self._scenario.fresh_at)
        self.fleet.add_instance()

    async def _cut(self, since: float, until: float) -> None:
        await asyncio.sleep(since)
        self.fleet.network.cut(CUT_ZONE)
        await asyncio.sleep(until - since)
        self.fleet.network.mend()
        self.fleet.reconnect(CUT_ZONE)

    async def _sample(self) -> None:
        """Look every now and then which keys are held where."""
        outcomes = self.outcomes
        while True:
            await asyncio.sleep(SAMPLE_S)
            now = asyncio.get_running_loop().time()
            for instance in self.fleet.instances:
                for suspect in instance.quarantine.quarantined():
                    key, hold = suspect.content, suspect.hold
                    since = hold.since if hold is not None else now
                    outcomes.held_at[key] = min(since, outcomes.held_at.get(key, since))
                    if key in self._fatal_keys or key in self._fatal_contents:
                        continue
                    first_at, _ = outcomes.false_s.get(key, (since, now))
                    outcomes.false_s[key] = min(since, first_at), now
