"""How many batch streams a target may run beside its online requests.

The state of the targets that this instance dispatches batch for. Online requests
take what they need at once; batch gets what is left, less the room that arrivals
need until preemption has taken effect, and no more than lets online tokens come as
they should.
"""

import math
from typing import Any

from caperridge.decisions.batch_share import max_streams
from caperridge.decisions.preemption import BatchStream, preemption_victims
from caperridge.decisions.runner_headroom import PEER_RESERVE_S, RunnerHeadroom
from caperridge.records import Record

__all__ = ["PEER_RESERVE_S", "SETTLE_S", "BatchStream", "Headroom", "RunnerHeadroom"]

SETTLE_S = 2.0
REACTION_WEIGHT = 0.2
MIN_PAUSE_S = 0.005
MOST_ROUNDS = 4  # a target is filled in about so many, one for each step
ROUNDS_SPAN = 3  # fewer rounds the more the trade is for throughput
MOST_FREE = 0.125  # of a target, where the trade is all for the online tail


class StartDecision(Record):
    """How many streams to start now, and in how long to ask again."""

    __slots__ = ("count", "retry_delay_s")

    def __init__(self, count: int, retry_delay_s: float) -> None:
        self.count = count
        self.retry_delay_s = retry_delay_s


class Headroom:
    """Knows the online load of each target and what batch may take of the rest.

    A dispatcher that has just become the owner of a target knows nothing of its
    online load, and its predecessor may not know yet that it was followed. It runs
    no batch there for ``settle_s``: by then the online senders have told it, and the
    predecessor has stopped, if the views of the two differ for no longer than that.

    Args:
        settle_s: see above.
    """

    def __init__(self, settle_s: float = SETTLE_S) -> None:
        self._settle_s = settle_s
        self._runners_by_target: dict[str, RunnerHeadroom] = {}

    def runner(self, target: str) -> RunnerHeadroom:
        """Return what is known of ``target``."""
        runner = self._runners_by_target.get(target)
        if runner is None:
            runner = RunnerHeadroom()
            self._runners_by_target[target] = runner
        return runner

    def acquire_target(
        self, target: str, now: float, sole_instance: bool = False
    ) -> None:
        """Become the dispatcher of ``target``; ``alone``: no other instance lives."""
        runner = self.runner(target)
        runner.owned_since = now - self._settle_s if sole_instance else now
        runner.peers = not sole_instance
        runner.peers_until = now + PEER_RESERVE_S

    def update_peers(self, sole_instance: bool) -> None:
        """Note whether other instances live, whose news comes with a delay."""
        for runner in self._runners_by_target.values():
            runner.peers = not sole_instance

    def release_target(self, target: str) -> None:
        """No longer be the dispatcher of ``target``: what is known goes stale."""
        self._runners_by_target.pop(target, None)

    def update_online(
        self, target: str, sender: str, in_flight: int, now: float, sequence: int = 0
    ) -> bool:
        """Note the online requests that ``sender`` has at ``target``.

        Returns:
            Whether the news was newer than what was known.
        """
        runner = self.runner(target)
        if not runner.counts.update(sender, in_flight, sequence, now):
            return False
        if sequence > 0:
            runner.peers = True
        if sequence > 0 and in_flight > 0:
            runner.peers_until = now + PEER_RESERVE_S
        runner.online(now)
        return True

    def remove_sender(self, sender: str) -> None:
        """Forget what an instance that is no longer live had in flight."""
        for runner in self._runners_by_target.values():
            runner.counts.remove(sender)

    def record_step(self, target: str, batch: int, step_s: float, now: float) -> None:
        """Note the time between two tokens of one stream at ``target``.

        Args:
            target: where it runs.
            batch: batch streams that ran beside the online requests.
            step_s: the time.
            now: monotonic seconds.
        """
        runner = self.runner(target)
        runner.steps.observe(runner.online(now) + batch, step_s, now)

    def record_first_token(self, target: str, first_token_s: float, now: float) -> None:
        """Note the time to the first token of an online request at ``target``."""
        runner = self.runner(target)
        line = runner.steps.line(now)
        if line is not None:
            step_s = line.at(runner.online(now))
            runner.guard.record_first_token(first_token_s, step_s, now)

    def record_reaction(self, target: str, reaction_s: float) -> None:
        """Note how long it took until a preempted slot was free."""
        runner = self.runner(target)
        runner.reaction_s += REACTION_WEIGHT * (reaction_s - runner.reaction_s)

    def step_s(self, target: str, batch: int, now: float) -> float:
        """Return how long a step of ``target`` takes with ``batch`` streams."""
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
        return self._left(runner, runner.online(now), most_running, batch_weight, now)

    def startable(
        self, target: str, most_running: int, batch_weight: float, now: float
    ) -> int:
        """Return up to how many batch streams ``target`` may be filled at ``now``.

        A slot that online has just freed is held a moment for its next request;
        otherwise a stream would start only to give way again. To hold it for as long
        as that would cost, some steps, is at most twice as bad as knowing the future.
        """
        runner = self.runner(target)
        hold_s = runner.hold_s(batch_weight, now)
        online = max(runner.online(now), runner.burst.max_online(now, hold_s))
        return self._left(runner, online, most_running, batch_weight, now)

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

        Prompts that are prefilled together make one long step for online callers,
        so a target is filled over some steps, fewer the more the trade is for
        throughput. Beside online requests a step takes a share of the room that is
        left. Where none has come of late it takes the same share of all places:
        items of a few tokens end faster than a share of the room refills.

        Args:
            target: to be filled.
            most_running: places of the target.
            batch_weight: the trade of its service.
            running: batch streams at it.
            ending: those of them whose last token is in the making.
            now: monotonic seconds.
        """
        staying = running - ending
        step_s = max(MIN_PAUSE_S, self.step_s(target, running, now))
        room = self.startable(target, most_running, batch_weight, now) - staying
        runner = self.runner(target)
        pause_s = runner.pause_s(batch_weight, now)
        if room > 0 and pause_s > 0:
            return StartDecision(0, max(MIN_PAUSE_S, pause_s))
        if room > 0:
            runner.filled_at = now
            rounds = MOST_ROUNDS - ROUNDS_SPAN * batch_weight
            quiet = runner.quiet(now)
            shared = most_running if quiet else room
            return StartDecision(min(room, math.ceil(shared / rounds)), step_s)
        # A place that is only held comes free without any further event.
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

        A stream whose last token is in the making frees its place by the next step,
        as a cancel would: it is left to end.
        """
        allowed = self.allowed(target, most_running, batch_weight, now)
        staying = [stream for stream in running if not stream.ending]
        return preemption_victims(staying, len(staying) - allowed)

    def state(self, now: float) -> dict[str, Any]:
        """Return what is known by target, for the dump."""
        shown: dict[str, Any] = {}
        for target, runner in self._runners_by_target.items():
            line = runner.steps.line(now)
            shown[target] = {
                "online": runner.online(now),
                "senders": runner.counts.senders(),
                "most_arrivals": runner.burst.max_arrivals(now),
                "tail_online": runner.burst.tail_online(now),
                "step": None if line is None else line.to_map(),
                "taken_by_guard": runner.guard.withheld_streams(now),
                "reaction_ms": round(runner.reaction_s * 1000, 2),
                "settled": self._settled(runner, now),
            }
        return shown

    def _settled(self, runner: RunnerHeadroom, now: float) -> bool:
        since = runner.owned_since
        return since is not None and now - since >= self._settle_s

    def _left(
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
        if runner.peers_send(now):
            arrivals = runner.burst.max_arrivals(now)
            reserve = _reserve(arrivals, most_running, batch_weight)
        full = most_running - reserve - runner.guard.withheld_streams(now)
        tail = runner.burst.tail_online(now)
        line = runner.steps.line(now)
        noticed = max_streams(line, tail, most_running, batch_weight)
        return max(0, int(min(full, noticed)) - online)


def _reserve(most_arrivals: int, most_running: int, batch_weight: float) -> int:
    """Return the places kept free for what arrives before preemption takes effect.

    An online request of this instance finds its place freed before it. One of a peer
    may arrive before the peer's news has had effect, so one place is always kept for
    those; more where bursts ask for it and the trade favours the tail.

    >>> [_reserve(9, 24, weight) for weight in (0.0, 0.5, 1.0)]
    [3, 1, 1]
    >>> _reserve(0, 24, 0.0)
    1
    """
    most = math.ceil(most_running * MOST_FREE * (1 - batch_weight) ** 2)
    return max(1, min(most, most_arrivals))
