"""How modelled instances have requests run at modelled targets."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from caperridge.gateway.fingerprint import Fingerprint
from caperridge.measure.part_fleet import ModelFleet, ModelInstance, ModelTarget
from caperridge.measure.part_ways import IsolatedSuspect, ScoredQuarantine
from caperridge.records import Record

PREFILL_S = (0.08, 0.16)
WRITING_S = (0.2, 0.8)
EVENT_S = 0.02
RESTART_S = (3.0, 5.0)
MAX_TARGETS = 4
MAX_WAIT_S = 1.0
# A sound request that takes longer waits for something else.
MAX_SERVING_S = 4.0
POLL_S = 0.05


class ModelRequest(Record):
    """One request.

    Attributes:
        first: its first prompt part.
        fingerprint: as the way of the experiment knows it.
        fatal: key of the fatal part that it has; empty if it is sound.
        idempotent: it may be moved.
        sent_at: when its caller sent it.
    """

    __slots__ = ("fatal", "fingerprint", "first", "idempotent", "sent_at")

    def __init__(
        self,
        first: str,
        fingerprint: Fingerprint,
        fatal: str,
        idempotent: bool,
        sent_at: float,
    ) -> None:
        self.first = first
        self.fingerprint = fingerprint
        self.fatal = fatal
        self.idempotent = idempotent
        self.sent_at = sent_at


class Run:
    """One run of a request at a target.

    Attributes:
        request: that runs.
        began_at: when the target began.
        prefill_s: until it begins to write.
        over: its events once it is over, and whether the target crashed.
    """

    __slots__ = ("began_at", "over", "prefill_s", "request")

    def __init__(self, request: ModelRequest, prefill_s: float) -> None:
        loop = asyncio.get_running_loop()
        self.request = request
        self.prefill_s = prefill_s
        self.began_at = loop.time()
        self.over: asyncio.Future[tuple[bool, int]] = loop.create_future()

    def end(self, lost: bool) -> None:
        """End it, whether it is done or lost with its target."""
        age_s = asyncio.get_running_loop().time() - self.began_at
        events = max(0, int((age_s - self.prefill_s) / EVENT_S + 0.5))
        if not self.over.done():
            self.over.set_result((lost, events))


class Outcomes:
    """What callers and targets saw.

    Attributes:
        sound: of each sound request: when it was sent, its first part, whether it
            began, and whether it was served, at the first attempt.
        fatal_sent_at: by fatal part, when the requests that ran were sent by
            instances in touch.
        crashed_at: by fatal part, when it crashed a target.
        held_at: by key, when any instance held it first.
        false_s: by key that was held falsely, since when and until when.
        isolated_runs: runs that were granted one at a time.
    """

    def __init__(self) -> None:
        self.sound: list[tuple[float, str, bool, bool]] = []
        self.fatal_sent_at: dict[str, list[float]] = {}
        self.crashed_at: dict[str, list[float]] = {}
        self.held_at: dict[str, float] = {}
        self.false_s: dict[str, tuple[float, float]] = {}
        self.isolated_runs = 0


class Serving:
    """Sends requests to targets, which crash under some of them.

    Attributes:
        fleet: instances and targets.
        outcomes: what was seen.

    Args:
        fleet: instances and targets.
        chance: draws targets and times.
    """

    def __init__(self, fleet: ModelFleet, chance: random.Random) -> None:
        self.fleet = fleet
        self.outcomes = Outcomes()
        self._chance = chance
        self._locks_by_part: dict[str, asyncio.Lock] = {}

    # At an instance.

    async def serve(self, instance: ModelInstance, request: ModelRequest) -> None:
        """Serve a request, at several targets if it is idempotent."""
        outcome = False, False
        try:
            outcome = await self._try_to_serve(instance, request)
        except asyncio.CancelledError:
            now = asyncio.get_running_loop().time()
            if now < request.sent_at + MAX_SERVING_S:
                return  # it is not late yet
        if not request.fatal:
            row = request.sent_at, request.first, *outcome
            self.outcomes.sound.append(row)

    async def _try_to_serve(
        self, instance: ModelInstance, request: ModelRequest
    ) -> tuple[bool, bool]:
        """Return whether the request began, and whether it was served."""
        known = instance.known(request.fingerprint)
        guard = instance.guard
        runs, admitted_runs, served = 0, -1, False
        until = request.sent_at + MAX_WAIT_S
        while not served and runs < (MAX_TARGETS if request.idempotent else 1):
            if self._choose(instance) is None:
                if not await self._pause(until):
                    break
                continue
            if admitted_runs < runs:
                if runs >= 3 or (runs and guard.is_near_threshold(known)):
                    await guard.wait_until_evaluated()
                if guard.has_suspects and await guard.admit(known, "") is not None:
                    break
                admitted_runs = runs
            began, served = await self._attempt(instance, request, known)
            if began:
                runs += 1
                until = asyncio.get_running_loop().time() + MAX_WAIT_S
            elif guard.is_quarantined(known) or not await self._pause(until):
                break
        return runs > 0, served

    async def _pause(self, until: float) -> bool:
        """Wait a moment for a target; return False if that is too late."""
        await asyncio.sleep(POLL_S)
        return asyncio.get_running_loop().time() < until

    async def _attempt(
        self, instance: ModelInstance, request: ModelRequest, known: Fingerprint
    ) -> tuple[bool, bool]:
        """Return whether the request began at a target, and whether it was served."""
        loop = asyncio.get_running_loop()
        network = self.fleet.network
        is_trial = instance.guard.is_quarantined(known)
        async with self._isolation(instance, known) as isolated:
            if not is_trial and instance.guard.is_quarantined(known):
                return False, False
            target = isolated or self._choose(instance)
            if target is None:
                return False, False
            listed, sent_at = target.listed, loop.time()
            await asyncio.sleep(network.delay_s(instance.zone, target.zone))
            if not target.up or target.listed is not listed:
                return False, False
            self._record_run(instance, request, known, sent_at)
            lost, events = await self._run(target, request)
            await asyncio.sleep(network.delay_s(instance.zone, target.zone))
        age_s = loop.time() - sent_at
        if lost:
            instance.guard.record_lost_run(listed, known, age_s, events)
        else:
            instance.guard.record_good_run(known, age_s)
        return True, not lost

    def _choose(self, instance: ModelInstance) -> ModelTarget | None:
        """Return the target with fewer runs of two; None if none accepts requests."""
        usable = [
            one
            for one in self.fleet.targets
            if one.up
            and not one.reserved
            and self.fleet.network.is_reachable(instance.zone, one.zone)
        ]
        if not usable:
            return None
        two = self._chance.choices(usable, k=2)
        return min(two, key=lambda one: len(one.runs))

    def _record_run(
        self,
        instance: ModelInstance,
        request: ModelRequest,
        known: Fingerprint,
        sent_at: float,
    ) -> None:
        if isinstance(instance.quarantine, ScoredQuarantine):
            instance.quarantine.shares.record(known.parts)
        if request.fatal and self.fleet.network.is_in_touch(instance.zone, sent_at):
            self.outcomes.fatal_sent_at.setdefault(request.fatal, []).append(sent_at)

    # Isolation of suspects.

    @contextlib.asynccontextmanager
    async def _isolation(
        self, instance: ModelInstance, known: Fingerprint
    ) -> AsyncIterator[ModelTarget | None]:
        """Wait for the turn of a request with suspect parts; yield its target.

        Owners of the parts grant the turns, one round trip away.
        """
        parts = [part for part in sorted(known.parts) if _is_isolated(instance, part)]
        network = self.fleet.network
        async with contextlib.AsyncExitStack() as stack:
            alone = False
            for part in parts:
                await asyncio.sleep(network.delay_s(instance.zone, 0))
                lock = self._locks_by_part.setdefault(part, asyncio.Lock())
                await lock.acquire()
                if not _is_isolated(instance, part):
                    lock.release()  # it has run well in the meantime
                    continue
                stack.callback(lock.release)
                await asyncio.sleep(network.delay_s(instance.zone, 0))
                alone = True
            if not alone:
                yield None
                return
            self.outcomes.isolated_runs += 1
            target = self._choose(instance)
            if target is None:
                yield None
                return
            target.reserved = True
            try:
                yield target
            finally:
                target.reserved = False

    # Targets.

    async def _run(
        self, target: ModelTarget, request: ModelRequest
    ) -> tuple[bool, int]:
        """Run a request; return whether it was lost, and its events."""
        loop = asyncio.get_running_loop()
        run = Run(request, self._chance.uniform(*PREFILL_S))
        target.runs[run] = None
        if request.fatal and target.fatal:
            end = loop.call_later(run.prefill_s, self.crash, target, request.fatal)
        else:
            writing_s = self._chance.uniform(*WRITING_S)
            end = loop.call_later(run.prefill_s + writing_s, run.end, False)
        try:
            return await run.over
        finally:
            end.cancel()
            target.runs.pop(run, None)

    def crash(self, target: ModelTarget, fatal: str = "") -> None:
        """Crash a target; its runs are lost, and it is back after some seconds."""
        if not target.up:
            return
        loop = asyncio.get_running_loop()
        target.up = False
        self.fleet.crashes += 1
        if fatal:
            self.outcomes.crashed_at.setdefault(fatal, []).append(loop.time())
        for run in list(target.runs):
            run.end(lost=True)
        loop.call_later(self._chance.uniform(*RESTART_S), self.fleet.relist, target)

    def up(self) -> list[ModelTarget]:
        """Return the targets that accept requests."""
        return [one for one in self.fleet.targets if one.up]


def _is_isolated(instance: ModelInstance, part: str) -> bool:
    suspect = instance.quarantine.by_content.get(part)
    return isinstance(suspect, IsolatedSuspect) and suspect.is_isolated()
