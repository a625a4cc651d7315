"""Load state of one target at its batch dispatcher: online requests, bursts, steps."""

import math

from caperridge.decisions.batch_share import FirstTokenGuard
from caperridge.decisions.burst import BurstEstimate
from caperridge.decisions.online_counts import OnlineCounts
from caperridge.decisions.step_time import StepTimeModel

INITIAL_REACTION_S = 0.02
INITIAL_STEP_S = 0.03
MAX_HOLD_STEPS = 3.0
HOLD_STEPS_SPAN = 2.0  # steps saved when the trade-off is all for throughput
MAX_PAUSE_STEPS = 2.0  # after an arrival; none when the trade-off is for throughput
MAX_DEFERRAL_STEPS = 6.0
PEER_RESERVE_S = 30.0  # slots stay reserved this long after the last request of a peer


class RunnerHeadroom:
    """The load state of one target; see :mod:`caperridge.decisions.headroom`."""

    __slots__ = (
        "burst",
        "counts",
        "filled_at",
        "guard",
        "has_peers",
        "owned_since",
        "peer_reserve_until",
        "reaction_s",
        "steps",
    )

    def __init__(self) -> None:
        self.counts = OnlineCounts()
        self.burst = BurstEstimate()
        self.steps = StepTimeModel()
        self.guard = FirstTokenGuard()
        self.reaction_s = INITIAL_REACTION_S
        self.owned_since: float | None = None
        self.filled_at = -math.inf
        self.has_peers = True
        self.peer_reserve_until = 0.0

    def expects_peer_requests(self, now: float) -> bool:
        """Return whether slots must be reserved for requests from peers.

        Such a request may arrive before the peer's update takes effect. Targets without
        recent requests from peers reserve nothing, so the first request after a long
        idle period may wait for one step.
        """
        return self.has_peers and now < self.peer_reserve_until

    def online(self, now: float) -> int:
        """Return the known online requests, and update the burst estimate.

        The count changes when an update arrives, when a sender is removed, and when an
        update expires.
        """
        online = self.counts.total(now)
        if online != self.burst.online:
            self.burst.record(online, self.reaction_s, now)
        return online

    def is_online_idle(self, now: float) -> bool:
        """Return whether no online request runs here or arrived recently."""
        return self.online(now) == 0 and self.burst.max_arrivals(now) == 0

    def hold_s(self, batch_weight: float, now: float) -> float:
        """Return the seconds for which a freed slot is held for an online request."""
        step_s = self.step_s(self.online(now), now)
        return step_s * (MAX_HOLD_STEPS - HOLD_STEPS_SPAN * batch_weight)

    def pause_s(self, batch_weight: float, now: float) -> float:
        """Return the seconds to start nothing while an online prompt is prefilled.

        Prompts in one step add up, so a stream that starts a step later delays online
        tokens less. Continuous arrivals must not starve batch, so it is deferred for
        :data:`MAX_DEFERRAL_STEPS` steps at most.
        """
        step_s = self.step_s(self.online(now), now)
        if now - self.filled_at >= MAX_DEFERRAL_STEPS * step_s:
            return 0.0
        pause_s = step_s * MAX_PAUSE_STEPS * (1 - batch_weight)
        return max(0.0, self.burst.arrived_at + pause_s - now)

    def step_s(self, streams: int, now: float) -> float:
        """Return the expected seconds of a step with ``streams`` streams."""
        line = self.steps.line(now)
        return INITIAL_STEP_S if line is None else line.at(streams)
