"""Graceful shutdown: not ready at once, but serving until callers have moved."""

import asyncio
from collections.abc import Awaitable, Callable

from caperridge.gateway.edge import Edge
from caperridge.gateway.listeners import Listener
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# The balancer checks readiness every second and removes an instance after two failures.
BALANCER_REMOVAL_S = 2.6
# The balancer is assumed to need at most this part of a short grace period.
BALANCER_REMOVAL_RATIO = 1 / 3
# Reserved for closing connections before the process is killed, and the largest part
# of a short grace period for that.
CLOSE_RESERVE_S = 0.5
CLOSE_RESERVE_RATIO = 0.1
# For requests in flight when the listener closes. During rolling restarts answers took
# 0.7 s (p50), 1.2 s (p99) and 1.35 s at most; those of slow targets take several times
# that, and callers wait for up to 5 s. A request refused by a closed listener is served
# at once by another instance, one that is cut off may have run.
IN_FLIGHT_S = 4.0
# The listener stays open for at least this part of a short grace period.
MIN_OPEN_RATIO = 0.45
# Requests still unanswered this long before the end get an error answer, so that their
# callers receive a status.
ERROR_ANSWER_S = 0.2
# The largest part of a short grace period for that. Together with
# ``CLOSE_RESERVE_RATIO`` it is less than the last sixth of the period, up to which a
# caller can expect an answer.
ERROR_ANSWER_RATIO = 0.05


class StopTimes(Record):
    """The times of a planned stop, on one clock, in ascending order.

    Attributes:
        callers_moved: the balancer sends new callers to other instances by then.
        listener_closes: no connection is accepted from then on.
        answers_until: when the last answer must be complete.
        end: when all connections must be closed.
    """

    __slots__ = ("answers_until", "callers_moved", "end", "listener_closes")

    def __init__(
        self,
        callers_moved: float,
        listener_closes: float,
        answers_until: float,
        end: float,
    ) -> None:
        self.callers_moved = callers_moved
        self.listener_closes = listener_closes
        self.answers_until = answers_until
        self.end = end


def stop_times(started_at: float, grace_s: float) -> StopTimes:
    """Divide a grace period that started at ``started_at``.

    >>> times = stop_times(0.0, 8.0)
    >>> times.callers_moved, times.listener_closes, times.answers_until, times.end
    (2.6, 3.5, 7.3, 7.5)
    """
    end = started_at + grace_s - min(CLOSE_RESERVE_S, grace_s * CLOSE_RESERVE_RATIO)
    return StopTimes(
        callers_moved=started_at
        + min(BALANCER_REMOVAL_S, grace_s * BALANCER_REMOVAL_RATIO),
        listener_closes=max(
            end - IN_FLIGHT_S, started_at + (end - started_at) * MIN_OPEN_RATIO
        ),
        answers_until=end - min(ERROR_ANSWER_S, grace_s * ERROR_ANSWER_RATIO),
        end=end,
    )


class PlannedStop:
    """Stops serving callers in stages.

    Args:
        edge: serves the callers.
        listener: for callers.
        steps: hand work over to peers, one after the other.
    """

    def __init__(
        self, edge: Edge, listener: Listener, steps: list[Callable[[], Awaitable[None]]]
    ) -> None:
        self._edge = edge
        self._listener = listener
        self._steps = steps

    async def run(self, grace_s: float) -> int:
        """Stop within ``grace_s``; return how many requests were cut off."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        times = stop_times(started_at, grace_s)
        self._edge.start_draining(times.answers_until, times.callers_moved)
        handing_over = loop.create_task(self._hand_over_until(times.end))
        await self._edge.wait_until_quiet(
            started_at + BALANCER_REMOVAL_S, times.listener_closes
        )
        self._log_listener_close(times.listener_closes)
        await self._listener.stop_accepting()
        connections = await self._listener.drain_connections(times.end)
        await handing_over
        cut = self._edge.running
        self._edge.log_cut()
        log.info("instance stopped", cut=cut, connections=connections)
        return cut

    async def _hand_over_until(self, until: float) -> None:
        try:
            async with asyncio.timeout_at(until):
                for step in self._steps:
                    await _run_step(step)
        except TimeoutError:
            # Peers take over jobs when they receive no more reports that it holds them.
            log.warning("hand-over not finished", reason="the grace period is over")

    def _log_listener_close(self, until: float) -> None:
        remaining_s = until - asyncio.get_running_loop().time()
        log.info(
            "listener closes",
            running=self._edge.running,
            connections=self._listener.connections,
            patience_left_s=round(remaining_s, 3),
        )


async def _run_step(step: Callable[[], Awaitable[None]]) -> None:
    """Run ``step``; its errors must not cut off requests that are being answered."""
    try:
        await step()
    except Exception as error:
        log.error("hand-over not finished", reason=repr(error))
