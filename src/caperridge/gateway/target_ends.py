"""Finding out that targets ended, and which runs were lost with each.

A connection that breaks says little: targets break off answers, too. A target has ended
if nothing listens at its address, a later life of it is listed, or its entry goes, all
without notice that it leaves.
"""

import asyncio
from collections.abc import Callable

from caperridge.decisions.suspects import LostRun
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.targets import Target
from caperridge.log import logger
from caperridge.targets.listening import is_refused

log = logger(__name__)

# A target that crashes closes its connections; its door is closed then or a moment
# later.
LOOKS_AFTER_S = (0.0, 0.03, 0.2)
# Until the entry of a target that crashed goes, which is after three heartbeats of it.
CONFIRMED_WITHIN_S = 6.0
# Runs that are lost with a target are noticed within one turn of the loop or two.
GATHER_S = 0.005


class LostRuns:
    """Runs that were lost at one target of which it is not known whether it ended.

    Attributes:
        target: where they were.
        runs: that were lost and not told yet.
        left: runs that were ended here; lost only if the target is seen to have ended.
        timer: drops them if nothing shows that the target ended.
        look: at its address; None once that is over.
    """

    __slots__ = ("left", "look", "runs", "target", "timer")

    def __init__(self, target: Target, timer: asyncio.TimerHandle) -> None:
        self.target = target
        self.runs: list[LostRun] = []
        self.left: list[LostRun] = []
        self.timer = timer
        self.look: asyncio.Task[None] | None = None


class CrashDetector:
    """Tells which runs were lost with targets that ended.

    Attributes:
        told: called with a target that ended and the runs that were lost there.
        is_refused: looks at an address.

    Args:
        fleet: whose targets are listed.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.on_crash: Callable[[Target, list[LostRun]], None] = lambda target, runs: (
            None
        )
        self._fleet = fleet
        self.is_refused = is_refused
        self._losses_by_target: dict[str, LostRuns] = {}
        # Targets that have ended, for runs of which that is noticed later.
        self._ended: dict[str, asyncio.TimerHandle] = {}

    @property
    def checking(self) -> bool:
        """Whether it is not known yet of some target whether it ended."""
        return any(one.look is not None for one in self._losses_by_target.values())

    def record_lost_run(self, target: Target, run: LostRun) -> None:
        """Take note of a run whose answer broke off at ``target``."""
        losses = self._losses(target, run)
        if losses is not None:
            losses.runs.append(run)

    def record_cancelled_run(self, target: Target, run: LostRun) -> None:
        """Take note of a run that this instance ended, as its caller left.

        A caller may leave in the moment in which its request ends the target.
        """
        losses = self._losses(target, run)
        if losses is not None:
            losses.left.append(run)

    def _losses(self, target: Target, run: LostRun) -> LostRuns | None:
        """Return where to note a run at ``target``, which is looked at; or tell it."""
        if target.id in self._ended:
            self.on_crash(target, [run])
            return None
        listed = self._fleet.targets.by_id.get(target.id)
        if listed is None or listed.draining:
            return None  # it leaves, and ends what it has not done
        losses = self._losses_by_target.get(target.id)
        if losses is None:
            losses = self._losses_by_target[target.id] = self._new(target)
        if losses.look is None:
            look = self._look(losses)
            losses.look = asyncio.get_running_loop().create_task(look)
        return losses

    def target_removed(self, target: Target) -> None:
        """Take note that a target is not listed any more.

        What was lost before was lost as it ended. Some targets leave without notice and
        serve on for a while; what is lost at such a one later is not counted.
        """
        if not target.draining and target.id in self._losses_by_target:
            self._end(target)

    def target_restarted(self, target: Target) -> None:
        """Take note that a later life of a target is listed."""
        if not target.draining:
            self._end(target)

    async def close(self) -> None:
        """End all looks."""
        looks = [one.look for one in self._losses_by_target.values() if one.look]
        for losses in list(self._losses_by_target.values()):
            self._drop(losses)
        for look in looks:
            look.cancel()
        await asyncio.gather(*looks, return_exceptions=True)

    def _new(self, target: Target) -> LostRuns:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(CONFIRMED_WITHIN_S, self._forget, target.id)
        return LostRuns(target, timer)

    def _forget(self, target: str) -> None:
        losses = self._losses_by_target.get(target)
        if losses is not None:
            self._drop(losses)

    def _drop(self, losses: LostRuns) -> None:
        losses.timer.cancel()
        self._losses_by_target.pop(losses.target.id, None)

    async def _look(self, losses: LostRuns) -> None:
        """See whether anything listens where a target was."""
        try:
            for pause_s in LOOKS_AFTER_S:
                await asyncio.sleep(pause_s + GATHER_S)
                if await self.is_refused(losses.target.address):
                    self._end(losses.target)
                    self._fleet.mark_crashed(losses.target)
                    return
            losses.left.clear()
        finally:
            losses.look = None

    def _end(self, target: Target) -> None:
        losses = self._losses_by_target.get(target.id)
        if target.id not in self._ended:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(CONFIRMED_WITHIN_S, self._ended.pop, target.id)
            self._ended[target.id] = timer
        if losses is None:
            return
        self._drop(losses)
        runs = losses.runs + losses.left
        if runs:
            self.on_crash(target, runs)
