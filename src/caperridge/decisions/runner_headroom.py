"""What a batch dispatcher knows of one target: its online load, bursts and steps."""

import math

from caperridge.decisions.batch_share import FirstTokenGuard
from caperridge.decisions.burst import BurstEstimate
from caperridge.decisions.online_counts import OnlineCounts
from caperridge.decisions.step_time import StepTimeModel

FIRST_REACTION_S = 0.02
FIRST_STEP_S = 0.03
MOST_HOLD_STEPS = 3.0
HOLD_STEPS_SPAN = 2.0  # fewer steps the more the trade is for throughput
MOST_PAUSE_STEPS = 2.0  # after an arrival; none where the trade is for throughput
MAX_DEFERRAL_STEPS = 6.0
PEER_RESERVE_S = 30.0  # places are kept so long after the last request of a peer


class RunnerHeadroom:
    """What is known of one target; see :mod:`caperridge.decisions.headroom`."""

    __slots__ = (
        "burst",
        "counts",
        "filled_at",
        "guard",
        "owned_since",
        "peers",
        "peers_until",
        "reaction_s",
        "steps",
    )

    def __init__(self) -> None:
        self.counts = OnlineCounts()
        self.burst = BurstEstimate()
        self.steps = StepTimeModel()
        self.guard = FirstTokenGuard()
        self.reaction_s = FIRST_REACTION_S
        self.owned_since: float | None = None
        self.filled_at = -math.inf
        self.peers = True
        self.peers_until = 0.0

    def peers_send(self, now: float) -> bool:
        """Return whether requests of peers are to be reckoned with.

        Their news may have effect after they arrive. The first one after a long
        quiet may wait a step for that; runners without online requests keep nothing.
        """
        return self.peers and now < self.peers_until

    def online(self, now: float) -> int:
        """Return the online requests known, and let the estimate follow them.

        They change by news, by a sender's end, and by news that expires.
        """
        online = self.counts.total(now)
        if online != self.burst.online:
            self.burst.record(online, self.reaction_s, now)
        return online

    def quiet(self, now: float) -> bool:
        """Return whether no online request runs here or has arrived of late."""
        return self.online(now) == 0 and self.burst.max_arrivals(now) == 0

    def hold_s(self, batch_weight: float, now: float) -> float:
        """Return how long a place that online freed is held for its next request."""
        step_s = self.step_s(self.online(now), now)
        return step_s * (MOST_HOLD_STEPS - HOLD_STEPS_SPAN * batch_weight)

    def pause_s(self, batch_weight: float, now: float) -> float:
        """Return how long to start nothing, since an online prompt is prefilled.

        Prompts in one step add up; a step later the stream disturbs less. Arrivals
        without end must not keep batch out, so it is put off for some steps at most.
        """
        step_s = self.step_s(self.online(now), now)
        if now - self.filled_at >= MAX_DEFERRAL_STEPS * step_s:
            return 0.0
        pause_s = step_s * MOST_PAUSE_STEPS * (1 - batch_weight)
        return max(0.0, self.burst.arrived_at + pause_s - now)

    def step_s(self, streams: int, now: float) -> float:
        """Return how long a step with ``streams`` takes, as far as is known."""
        line = self.steps.line(now)
        return FIRST_STEP_S if line is None else line.at(streams)
