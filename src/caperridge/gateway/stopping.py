"""A planned stop: not ready at once, and serving until callers have gone."""

import asyncio
from collections.abc import Awaitable, Callable

from caperridge.gateway.edge import Edge
from caperridge.gateway.listeners import Listener
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)

# The balancer asks every second and takes an instance out after two misses.
LEAVING_S = 2.6
# Of a short grace period the balancer is taken to need this share.
MOVED_SHARE = 1 / 3
# Left for closing connections before the kill, and what this is of a short grace period
# at most.
SPARE_S = 0.5
SPARE_SHARE = 0.1
# Left for requests that were under way when the door closed. On a day with rolling
# restarts answers took 0.7 s (p50), 1.2 s (p99) and 1.35 s at most; those of slow
# targets take several times that, and callers wait for up to 5 s. A request that is
# turned away at a closed door is served at once by another instance, one that is cut
# may have run.
CLOSING_S = 4.0
# Of a short grace period callers have this share before the door closes.
OPEN_SHARE = 0.45
# Before that end, what was taken in the stop is given up, so that its caller is told.
ANSWER_S = 0.2
# Of a short grace period. With the spare share less than its last sixth, up to which a
# caller can expect an answer.
ANSWER_SHARE = 0.05


class StopTimes(Record):
    """Moments of a planned stop, on one clock, in their order.

    Attributes:
        callers_moved: the balancer sends new callers to other instances by then.
        door_closes: no connection is taken any more.
        answers_until: when the last answer must have been given.
        end: when all connections are to be closed.
    """

    __slots__ = ("answers_until", "callers_moved", "door_closes", "end")

    def __init__(
        self,
        callers_moved: float,
        door_closes: float,
        answers_until: float,
        end: float,
    ) -> None:
        self.callers_moved = callers_moved
        self.door_closes = door_closes
        self.answers_until = answers_until
        self.end = end


def stop_times(began: float, grace_s: float) -> StopTimes:
    """Divide a grace period that began at ``began``.

    >>> times = stop_times(0.0, 8.0)
    >>> times.callers_moved, times.door_closes, times.answers_until, times.end
    (2.6, 3.5, 7.3, 7.5)
    """
    end = began + grace_s - min(SPARE_S, grace_s * SPARE_SHARE)
    return StopTimes(
        callers_moved=began + min(LEAVING_S, grace_s * MOVED_SHARE),
        door_closes=max(end - CLOSING_S, began + (end - began) * OPEN_SHARE),
        answers_until=end - min(ANSWER_S, grace_s * ANSWER_SHARE),
        end=end,
    )


class PlannedStop:
    """Ends the service to callers, stage by stage.

    Args:
        edge: that answers callers.
        door: their listener.
        steps: that give away what others go on with, one after another.
    """

    def __init__(
        self, edge: Edge, door: Listener, steps: list[Callable[[], Awaitable[None]]]
    ) -> None:
        self._edge = edge
        self._door = door
        self._steps = steps

    async def run(self, grace_s: float) -> int:
        """Stop within ``grace_s``; return how many requests were cut."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        times = stop_times(began, grace_s)
        self._edge.start_draining(times.answers_until, times.callers_moved)
        handing_over = loop.create_task(self._hand_over_until(times.end))
        await self._edge.wait_until_quiet(began + LEAVING_S, times.door_closes)
        self._log_door(times.door_closes)
        await self._door.stop_accepting()
        connections = await self._door.drain_connections(times.end)
        await handing_over
        cut = self._edge.running
        self._edge.log_cut()
        log.info("instance stopped", cut=cut, connections=connections)
        return cut

    async def _hand_over_until(self, until: float) -> None:
        try:
            async with asyncio.timeout_at(until):
                for step in self._steps:
                    await _tried(step)
        except TimeoutError:
            # Peers take over what they no longer hear this instance hold.
            log.warning("hand-over not finished", reason="its time is over")

    def _log_door(self, patience: float) -> None:
        left_s = patience - asyncio.get_running_loop().time()
        log.info(
            "door closes",
            running=self._edge.running,
            connections=self._door.connections,
            patience_left_s=round(left_s, 3),
        )


async def _tried(step: Callable[[], Awaitable[None]]) -> None:
    """Do ``step``; what goes wrong with peers or jobs must not cut requests."""
    try:
        await step()
    except Exception as error:
        log.error("hand-over not finished", reason=repr(error))
