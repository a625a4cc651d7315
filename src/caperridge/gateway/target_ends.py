"""Crash detection for targets, with the runs that each crash took along.

A broken connection is weak evidence, as healthy targets break off answers too. A target
has crashed if, without having announced that it drains, its address refuses
connections, a later incarnation of it is listed, or its entry is removed.
"""

import asyncio
from collections.abc import Callable

from caperridge.decisions.suspects import LostRun
from caperridge.gateway.background import log_failure
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.targets import Target
from caperridge.log import logger
from caperridge.targets.listening import is_refused

log = logger(__name__)

# A target that crashes closes its connections; its listening socket is closed by then
# or shortly after.
CHECK_DELAYS_S = (0.0, 0.03, 0.2)
# The entry of a crashed target expires after three missed heartbeats.
MAX_CONFIRMATION_S = 6.0
# The loss of all runs at a target is noticed within one or two iterations of the event
# loop.
COLLECTION_DELAY_S = 0.005


class UnconfirmedLosses:
    """Runs lost at a target that has not been confirmed as crashed.

    Attributes:
        target: that ran them.
        broken_off: whether it broke off a run, be it of no suspect.
        runs: suspects of the runs that it broke off, not reported yet.
        cancelled: cancelled by this instance; lost only if the check of the address
            finds that the target has crashed.
        timer: discards them if no crash is confirmed in time.
        check: the running check of its address; None if none runs.
    """

    __slots__ = ("broken_off", "cancelled", "check", "runs", "target", "timer")

    def __init__(self, target: Target, timer: asyncio.TimerHandle) -> None:
        self.target = target
        self.broken_off = False
        self.runs: list[LostRun] = []
        self.cancelled: list[LostRun] = []
        self.timer = timer
        self.check: asyncio.Task[None] | None = None


class CrashDetector:
    """Reports crashed targets with the runs that were lost there.

    Attributes:
        on_crash: called with a crashed target and the runs lost there.
        is_refused: returns whether an address refuses connections.

    Args:
        fleet: holds the listed targets and stops using the crashed ones.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.on_crash: Callable[[Target, list[LostRun]], None] = lambda target, runs: (
            None
        )
        self._fleet = fleet
        self.is_refused = is_refused
        self._losses_by_target: dict[str, UnconfirmedLosses] = {}
        # Crashed targets, for runs whose loss is noticed only later.
        self._timers_by_crashed_target: dict[str, asyncio.TimerHandle] = {}

    @property
    def checking(self) -> bool:
        """Whether the address of some target is still being checked."""
        return any(one.check is not None for one in self._losses_by_target.values())

    def record_lost_run(self, target: Target, suspects: list[LostRun]) -> None:
        """Record a run whose answer was broken off by ``target``.

        Args:
            target: that ran it.
            suspects: the run, once for each key by which it is suspected; none if a
                crash would say nothing about it.
        """
        losses = self._pending_losses(target, suspects)
        if losses is not None:
            losses.broken_off = True
            losses.runs += suspects

    def record_cancelled_run(self, target: Target, suspects: list[LostRun]) -> None:
        """Record a run that this instance cancelled because its caller disconnected.

        A caller may disconnect at the moment its request crashes the target.

        Args:
            target: that ran it.
            suspects: the run, once for each key by which it is suspected.
        """
        losses = self._pending_losses(target, suspects)
        if losses is not None:
            losses.cancelled += suspects

    def _pending_losses(
        self, target: Target, suspects: list[LostRun]
    ) -> UnconfirmedLosses | None:
        """Return the losses of ``target`` and have its address checked.

        Returns None if the run needs no check: it is reported at once if the target is
        known to have crashed, and ignored if the target is draining or not listed.
        """
        if target.id in self._timers_by_crashed_target:
            if suspects:
                self.on_crash(target, suspects)
            return None
        listed = self._fleet.targets.by_id.get(target.id)
        if listed is None or listed.draining:
            return None  # a draining target cuts what it cannot finish
        losses = self._losses_by_target.get(target.id)
        if losses is None:
            losses = self._losses_by_target[target.id] = self._new_losses(target)
        if losses.check is None:
            check = self._check_address(losses)
            losses.check = asyncio.get_running_loop().create_task(check)
            losses.check.add_done_callback(log_failure)
        return losses

    async def has_crashed(self, target: Target) -> bool:
        """Check whether the address of a target that was to stay refuses connections.

        A draining target may close its listening socket before its last answer ends.
        """
        listed = self._fleet.targets.by_id.get(target.id)
        if listed is None or listed.draining:
            return False
        return await self.is_refused(target.address)

    def target_removed(self, target: Target) -> None:
        """Record that a target is no longer listed.

        Runs lost there before are counted as lost in a crash. Some targets leave
        without notice and keep serving for a while; later losses there are not counted.
        """
        if not target.draining and target.id in self._losses_by_target:
            self._confirm_crash(target)

    def target_restarted(self, target: Target) -> None:
        """Record that a later incarnation of a target is listed."""
        if not target.draining:
            self._confirm_crash(target)

    async def close(self) -> None:
        """Cancel all checks."""
        checks = [one.check for one in self._losses_by_target.values() if one.check]
        for losses in list(self._losses_by_target.values()):
            self._discard(losses)
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)

    def _new_losses(self, target: Target) -> UnconfirmedLosses:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(MAX_CONFIRMATION_S, self._expire, target.id)
        return UnconfirmedLosses(target, timer)

    def _expire(self, target: str) -> None:
        losses = self._losses_by_target.get(target)
        if losses is not None:
            self._discard(losses)

    def _discard(self, losses: UnconfirmedLosses) -> None:
        losses.timer.cancel()
        self._losses_by_target.pop(losses.target.id, None)

    async def _check_address(self, losses: UnconfirmedLosses) -> None:
        """Check whether the address of a target refuses connections."""
        try:
            for pause_s in CHECK_DELAYS_S:
                await asyncio.sleep(pause_s + COLLECTION_DELAY_S)
                if await self.is_refused(losses.target.address):
                    self._confirm_crash(losses.target)
                    self._fleet.mark_crashed(losses.target)
                    return
            losses.cancelled.clear()
        finally:
            losses.check = None

    def _confirm_crash(self, target: Target) -> None:
        losses = self._losses_by_target.get(target.id)
        if target.id not in self._timers_by_crashed_target:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(
                MAX_CONFIRMATION_S, self._timers_by_crashed_target.pop, target.id
            )
            self._timers_by_crashed_target[target.id] = timer
        if losses is None:
            return
        self._discard(losses)
        if losses.broken_off or losses.cancelled:
            self.on_crash(target, losses.runs + losses.cancelled)
