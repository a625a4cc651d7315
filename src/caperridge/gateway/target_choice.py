"""Chooses the target of an online request, or the reason why it gets none."""

import asyncio
import math

from caperridge.decisions.admission import (
    finishes_in_time,
    max_queued,
    retry_delay_s,
)
from caperridge.gateway.answer_limits import AnswerLimits
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.inbound import Failure, InboundRequest, RequestState
from caperridge.gateway.placement import (
    MaxQueued,
    no_queue,
    place_online,
    place_online_zone_first,
)
from caperridge.gateway.targets import Target
from caperridge.log import logger

log = logger(__name__)

# A request is sent to a target at most this often, refusals without a run included.
MAX_OFFERS = 8
NO_TARGET_RETRY_AFTER_S = 0.5
IMMEDIATE_RETRY_AFTER_S = 0.05
# A target slows down while it fills up, by less than this in one answer.
PACE_MARGIN = 1.1


class TargetChoice:
    """Chooses among the targets of a fleet.

    Args:
        fleet: targets and counts.
        limits: deadlines of answers.
    """

    def __init__(self, fleet: Fleet, limits: AnswerLimits) -> None:
        self._fleet = fleet
        self._limits = limits

    def choose(self, request: InboundRequest, state: RequestState) -> Target | Failure:
        """Return the target for the next run of a request, or why there is none."""
        now = asyncio.get_running_loop().time()
        targets = self._usable(request, state, now)
        not_run = not state.sent_at_least_once
        if not targets and state.origin is not None:
            version = state.origin.software_version
            return Failure(f"no target of software version {version}", not_run)
        if not targets:
            return Failure("no target of its service", not_run, NO_TARGET_RETRY_AFTER_S)
        service = targets[0].service
        if state.offers >= MAX_OFFERS:
            retry_after_s = self._retry_delay_s(request, now)
            return Failure("too many refusals", not_run, retry_after_s)
        online_s = self._fleet.run_lengths(service).online_s
        remaining_s = _longest_wait_s(request, state, online_s, now)

        def queue_limit(target: Target) -> int:
            return max_queued(online_s, target.slots, remaining_s)

        finishing = self._finishing(targets, request, state, now)
        target = self._place(finishing, queue_limit)
        if target is None and len(finishing) < len(targets):
            if not_run:
                # Another instance can send the complete answer.
                return Failure(
                    "its answer would be cut by the stop",
                    not_run,
                    IMMEDIATE_RETRY_AFTER_S,
                )
            target = self._place(targets, queue_limit)
        if target is not None:
            return target
        retry_after_s = self._retry_delay_s(request, now)
        self._log_no_room(request, targets, online_s, remaining_s, retry_after_s)
        return Failure("no slot in time", not_run, retry_after_s)

    def choose_other(
        self, request: InboundRequest, state: RequestState, current: Target
    ) -> Target | None:
        """Return another target that has a slot for a request that runs at one.

        Unlike a request that runs nowhere, it doesn't move into a queue.
        """
        if state.offers >= MAX_OFFERS:
            return None
        now = asyncio.get_running_loop().time()
        service, version = _service_and_version(request, state)
        tried = frozenset(state.tried_targets | {current.id})
        targets = self._fleet.usable(service, now, tried, version)
        usable = [one for one in targets if self._fleet.is_usable(one.id, now)]
        return self._place(usable, no_queue)

    def _place(self, targets: list[Target], max_queued: MaxQueued) -> Target | None:
        place = (
            place_online_zone_first if self._fleet.remote_counts_stale else place_online
        )
        fleet = self._fleet
        return place(targets, fleet.occupancy, fleet.zone, fleet.rng, max_queued)

    def _usable(
        self, request: InboundRequest, state: RequestState, now: float
    ) -> list[Target]:
        """Return the usable targets; those that failed the request are a last resort.

        A stream goes on only at the software version that began it.
        """
        service, version = _service_and_version(request, state)
        tried = frozenset(state.tried_targets)
        targets = self._fleet.usable(service, now, tried, version)
        return targets or self._fleet.usable(service, now, software_version=version)

    def _log_no_room(
        self,
        request: InboundRequest,
        targets: list[Target],
        online_s: float,
        remaining_s: float,
        retry_after_s: float,
    ) -> None:
        online = sum(self._fleet.occupancy.total_at(one.id).online for one in targets)
        log.info(
            "no room",
            request=request.id,
            targets=len(targets),
            slots=sum(one.slots for one in targets),
            online=online,
            run_s=round(online_s, 3),
            objective_in_s=round(remaining_s, 3),
            retry_after_s=round(retry_after_s, 2),
        )

    def _finishing(
        self,
        targets: list[Target],
        request: InboundRequest,
        state: RequestState,
        now: float,
    ) -> list[Target]:
        """Return the targets whose answer is expected to end before a planned stop."""
        left_s = self._limits.deadline - now
        if math.isinf(left_s):
            return targets
        return [
            one for one in targets if self._finishes(request, state, one, now, left_s)
        ]

    def _finishes(
        self,
        request: InboundRequest,
        state: RequestState,
        target: Target,
        now: float,
        left_s: float,
    ) -> bool:
        """Whether an answer of ``target`` is expected to end within ``left_s``."""
        lengths = self._fleet.run_lengths(target.service)
        pace = self._fleet.pace_by_target.get(target.id)
        longest_s = lengths.answers.longest_s(
            request.max_tokens, state.last_event, pace
        )
        if longest_s:
            wait_s = self._wait_s(target, lengths.online_s)
            return wait_s + longest_s * PACE_MARGIN <= left_s
        cautious = now >= self._limits.reject_long_from
        recent_s = lengths.longest_s if cautious else 0.0
        return finishes_in_time(lengths.online_s, recent_s, left_s)

    def _wait_s(self, target: Target, online_s: float) -> float:
        """Return the expected wait for a slot; items give theirs up."""
        online = self._fleet.occupancy.total_at(target.id).online
        return max(0, online + 1 - target.slots) * online_s / target.slots

    def _retry_delay_s(self, request: InboundRequest, now: float) -> float:
        return retry_delay_s(request.deadline - now, self._fleet.rng.random())


def _longest_wait_s(
    request: InboundRequest, state: RequestState, online_s: float, now: float
) -> float:
    """Return how long a request may wait for its next run, in seconds.

    Args:
        request: of the caller.
        state: its progress.
        online_s: usual seconds of a run; 0 if unknown.
        now: on the event loop's clock.
    """
    wait_s = request.objective - now
    if not state.last_event and not state.sent_at_least_once:
        return wait_s
    # It has started or may have, so its caller cannot be told to retry.
    wait_s = max(wait_s, request.route.objective_s)
    if state.last_event <= request.resume_after:
        return wait_s
    # Its caller has a part of the answer, which is cut if there is no other run.
    return max(wait_s, request.deadline - now - online_s)


def _service_and_version(
    request: InboundRequest, state: RequestState
) -> tuple[str, str | None]:
    """Return the service of a request, and the only version that may run it."""
    if state.origin is not None:
        return state.origin.service, state.origin.software_version
    return request.route.service_for(request.id), None
