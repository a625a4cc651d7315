"""Admission control for batch streams that share a target with online requests.

Covers the targets that this instance dispatches batch work for. Online requests take
the slots they need at once. Batch gets the remaining slots, less a reserve for requests
that arrive before preemption takes effect, as long as online tokens are not delayed too
much.
"""

import math
from typing import Any

from caperridge.decisions.batch_share import max_streams
from caperridge.decisions.preemption import BatchStream, preemption_victims
from caperridge.decisions.runner_headroom import PEER_RESERVE_S, RunnerHeadroom
from caperridge.records import Record

__all__ = ["PEER_RESERVE_S", "SETTLE_S", "BatchStream", "Headroom", "RunnerHeadroom"]

SETTLE_S = 2.0
REACTION_GAIN = 0.2
MIN_PAUSE_S = 0.005
MAX_FILL_ROUNDS = 4  # a target is filled over about this many steps
FILL_ROUNDS_SPAN = 3  # rounds saved when the trade-off is all for throughput
MAX_RESERVE_RATIO = 0.125  # of the slots, when the trade-off is all for online latency


class StartDecision(Record):
    """The number of streams to start now, and the seconds until the next decision."""

    __slots__ = ("count", "retry_delay_s")

    def __init__(self, count: int, retry_delay_s: float) -> None:
        self.count = count
        self.retry_delay_s = retry_delay_s


class Headroom:
    """Tracks the online load of each target and the slots left for batch.

    A dispatcher that has just become the owner of a target does not know its online
    load, and its predecessor may not know yet that it was replaced. So it runs no batch
    there for ``settle_s``. By then the online senders have reported to it and the
    predecessor has stopped, provided that their views differ for no longer than that.

    Args:
        settle_s: seconds without batch after becoming the owner of a target.
    """

    def __init__(self, settle_s: float = SETTLE_S) -> None:
        self._settle_s = settle_s
        self._runners_by_target: dict[str, RunnerHeadroom] = {}

    def runner(self, target: str) -> RunnerHeadroom:
        """Return the state of ``target``, created if missing."""
        runner = self._runners_by_target.get(target)
        if runner is None:
            runner = RunnerHeadroom()
            self._runners_by_target[target] = runner
        return runner

    def acquire_target(
        self, target: str, now: float, sole_instance: bool = False
    ) -> None:
        """Become the dispatcher of ``target``.

        Args:
            target: id of the target.
            now: monotonic seconds.
            sole_instance: whether no other instance is live.
        """
        runner = self.runner(target)
        runner.owned_since = now - self._settle_s if sole_instance else now
        runner.has_peers = not sole_instance
        runner.peer_reserve_until = now + PEER_RESERVE_S

    def update_peers(self, sole_instance: bool) -> None:
        """Record whether other instances are live; their updates arrive late."""
        for runner in self._runners_by_target.values():
            runner.has_peers = not sole_instance

    def release_target(self, target: str) -> None:
        """Stop being the dispatcher of ``target`` and discard its state."""
        self._runners_by_target.pop(target, None)

    def update_online(
        self, target: str, sender: str, in_flight: int, now: float, sequence: int = 0
    ) -> bool:
        """Record the online requests that ``sender`` has at ``target``.

        Returns:
            Whether the update was newer than the known state.
        """
        runner = self.runner(target)
        if not runner.counts.update(sender, in_flight, sequence, now):
            return False
        if sequence > 0:
            runner.has_peers = True
        if sequence > 0 and in_flight > 0:
            runner.peer_reserve_until = now + PEER_RESERVE_S
        runner.online(now)
        return True

    def remove_sender(self, sender: str) -> None:
        """Remove the counts of an instance that is no longer live."""
        for runner in self._runners_by_target.values():
            runner.counts.remove(sender)

    def record_step(self, target: str, batch: int, step_s: float, now: float) -> None:
        """Record the time between two tokens of one stream at ``target``.

        Args:
            target: id of the stream's target.
            batch: batch streams that ran beside the online requests.
            step_s: seconds between the tokens.
            now: monotonic seconds.
        """
        runner = self.runner(target)
        runner.steps.observe(runner.online(now) + batch, step_s, now)

    def record_first_token(self, target: str, first_token_s: float, now: float) -> None:
        """Record the time to first token of an online request at ``target``."""
        runner = self.runner(target)
        line = runner.steps.line(now)
        if line is not None:
            step_s = line.at(runner.online(now))
            runner.guard.record_first_token(first_token_s, step_s, now)

    def record_reaction(self, target: str, reaction_s: float) -> None:
        """Record how long it took until a preempted slot was free."""
        runner = self.runner(target)
        runner.reaction_s += REACTION_GAIN * (reaction_s - runner.reaction_s)

    def step_s(self, target: str, batch: int, now: float) -> float:
        """Return the seconds that a step of ``target`` takes with ``batch`` streams."""
        runner = self.runner(target)
        return runner.step_s(runner.online(now) + batch, now)

    def online(self, target: str, now: float) -> int:
        """Return the online requests known to be at ``target``."""
        return self.runner(target).online(now)

    def allowed(
        self, target: str, most_running: int, batch_weight: float, now: float
    ) -> int:
        """Return how many batch streams ``target`` may keep running at ``now``."""
        runner = self.runner(target)
        return self._remaining(
            runner, runner.online(now), most_running, batch_weight, now
        )

    def startable(
        self, target: str, most_running: int, batch_weight: float, now: float
    ) -> int:
        """Return the number of batch streams up to which ``target`` may be filled.

        A slot that an online request has just freed is held briefly for the next one;
        otherwise a batch stream would start only to be preempted. Holding it for as
        long as that would cost (some steps) is 2-competitive: at most twice as costly
        as the best decision in hindsight.
        """
        runner = self.runner(target)
        hold_s = runner.hold_s(batch_weight, now)
        online = max(runner.online(now), runner.burst.max_online(now, hold_s))
        return self._remaining(runner, online, most_running, batch_weight, now)

    def to_start(
        self,
        target: str,
        most_running: int,
        batch_weight: float,
        running: int,
        ending: int,
        now: float,
    ) -> "StartDecision":
        """Return how many batch streams to start at ``target`` now.

        Prompts that are prefilled together make one long step for online callers, so a
        target is filled over several steps, fewer if the trade-off favours throughput.
        Beside online requests, each step starts a share of the free slots. Without
        recent online requests it starts the same share of all slots, since items of a
        few tokens finish faster than a share of the free slots refills.

        Args:
            target: id of the target.
            most_running: slots of the target.
            batch_weight: trade-off of its service between latency and throughput.
            running: batch streams at the target.
            ending: those of them that are generating their last token.
            now: monotonic seconds.
        """
        staying = running - ending
        step_s = max(MIN_PAUSE_S, self.step_s(target, running, now))
        free = self.startable(target, most_running, batch_weight, now) - staying
        runner = self.runner(target)
        pause_s = runner.pause_s(batch_weight, now)
        if free > 0 and pause_s > 0:
            return StartDecision(0, max(MIN_PAUSE_S, pause_s))
        if free > 0:
            runner.filled_at = now
            rounds = MAX_FILL_ROUNDS - FILL_ROUNDS_SPAN * batch_weight
            idle = runner.is_online_idle(now)
            basis = most_running if idle else free
            return StartDecision(min(free, math.ceil(basis / rounds)), step_s)
        # A slot on hold becomes free without a further event.
        held = self.allowed(target, most_running, batch_weight, now) > staying
        return StartDecision(0, step_s if held else math.inf)

    def to_preempt(
        self,
        target: str,
        most_running: int,
        batch_weight: float,
        running: list[BatchStream],
        now: float,
    ) -> list[BatchStream]:
        """Return the streams to cancel at once, the cheapest to redo first.

        A stream that is generating its last token frees its slot with the next step,
        which is as soon as a cancellation would, so it may finish.
        """
        allowed = self.allowed(target, most_running, batch_weight, now)
        staying = [stream for stream in running if not stream.ending]
        return preemption_victims(staying, len(staying) - allowed)

    def state(self, now: float) -> dict[str, Any]:
        """Return the state by target, for the dump."""
        state_by_target: dict[str, Any] = {}
        for target, runner in self._runners_by_target.items():
            line = runner.steps.line(now)
            state_by_target[target] = {
                "online": runner.online(now),
                "senders": runner.counts.senders(),
                "most_arrivals": runner.burst.max_arrivals(now),
                "tail_online": runner.burst.tail_online(now),
                "step": None if line is None else line.to_map(),
                "taken_by_guard": runner.guard.withheld_streams(now),
                "reaction_ms": round(runner.reaction_s * 1000, 2),
                "settled": self._settled(runner, now),
            }
        return state_by_target

    def _settled(self, runner: RunnerHeadroom, now: float) -> bool:
        since = runner.owned_since
        return since is not None and now - since >= self._settle_s

    def _remaining(
        self,
        runner: RunnerHeadroom,
        online: int,
        most_running: int,
        batch_weight: float,
        now: float,
    ) -> int:
        if not self._settled(runner, now):
            return 0
        reserve = 0
        if runner.expects_peer_requests(now):
            arrivals = runner.burst.max_arrivals(now)
            reserve = _reserved_slots(arrivals, most_running, batch_weight)
        capacity = most_running - reserve - runner.guard.withheld_streams(now)
        tail = runner.burst.tail_online(now)
        line = runner.steps.line(now)
        tolerated = max_streams(line, tail, most_running, batch_weight)
        return max(0, int(min(capacity, tolerated)) - online)


def _reserved_slots(max_arrivals: int, most_running: int, batch_weight: float) -> int:
    """Return the slots kept free for requests that arrive before preemption does.

    For an online request of this instance, a slot is freed before it is sent. A request
    from a peer may arrive before the peer's update takes effect, so at least one slot
    is reserved; more if bursts require it and the trade-off favours online latency.

    >>> [_reserved_slots(9, 24, weight) for weight in (0.0, 0.5, 1.0)]
    [3, 1, 1]
    >>> _reserved_slots(0, 24, 0.0)
    1
    """
    limit = math.ceil(most_running * MAX_RESERVE_RATIO * (1 - batch_weight) ** 2)
    return max(1, min(limit, max_arrivals))
