"""A planned stop, stage by stage, so that it cuts no request.

``serving``, ``not_ready`` (still serving until the balancer has moved on),
``finishing`` (new requests are refused, what runs is finished), ``handing_over``
(batch work and records of keyed calls), ``closing`` (the session), ``stopped``.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from caperridge.instance.in_flight import InFlightRequest
from caperridge.log import logger

if TYPE_CHECKING:
    from caperridge.instance.process import Instance

log = logger(__name__)
SERVING = "serving"
NOT_READY = "not_ready"
FINISHING = "finishing"
HANDING_OVER = "handing_over"
CLOSING = "closing"
STOPPED = "stopped"
CLOSE_S = 1.0
# Batch that runs on longer is begun again elsewhere, from its offset.
HAND_OVER_S = 10.0


@contextlib.contextmanager
def _tried(step: str) -> Iterator[None]:
    """Go on after a step that failed: what is owed to callers does not hang on it."""
    try:
        yield
    except Exception as error:
        log.error("step of the stop failed", step=step, reason=repr(error))


class Drain:
    """Stops one instance as planned.

    Attributes:
        stage: where it stands.
        cut: requests that did not end in time.
    """

    def __init__(self, instance: "Instance") -> None:
        self.stage = SERVING
        self.cut: list[InFlightRequest] = []
        self._instance = instance

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stage != SERVING

    async def run(self) -> None:
        """Go through every stage; what still runs at the end of its time is cut."""
        settings = self._instance.settings
        await self._not_ready(settings.balancer_s)
        await self._finish(settings.drain_s)
        await self._hand_over(min(settings.drain_s, HAND_OVER_S))
        self._enter(CLOSING)
        with _tried("session"):
            await self._instance.session.close()
        self._enter(STOPPED, cut=len(self.cut))

    async def end_now(self) -> None:
        """End sooner, at a second signal."""
        self._cut()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_S):
                await self._instance.session.close()
        self._enter(STOPPED, cut=len(self.cut))

    def _cut(self) -> None:
        """Give up on what still runs, and say what that is."""
        for request in self._instance.in_flight.listed():
            self.cut.append(request)
            log.warning("request cut by the stop", **request.to_map())

    def state(self) -> dict[str, Any]:
        """Return the stage and what is in flight, for the dump."""
        listed = self._instance.in_flight.listed()
        return {
            "stage": self.stage,
            "in_flight": [request.to_map() for request in listed],
            "keyed_calls_pending": self._instance.keyed_calls.pending,
        }

    async def _not_ready(self, balancer_s: float) -> None:
        instance = self._instance
        instance.in_flight.moving_on = True
        instance.dispatcher.draining = True
        self._enter(NOT_READY, serving_s=balancer_s)
        if instance.mesh is not None:
            with _tried("peers"):
                instance.mesh.leave()
        await asyncio.sleep(balancer_s)

    async def _finish(self, drain_s: float) -> None:
        in_flight = self._instance.in_flight
        in_flight.refusing = True
        self._enter(FINISHING, in_flight=len(in_flight.requests_by_number))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(drain_s):
                await in_flight.wait_idle()
        self._cut()

    async def _hand_over(self, wait_s: float) -> None:
        instance = self._instance
        self._enter(HANDING_OVER, keyed_calls=instance.keyed_calls.pending)
        with _tried("keyed calls"), contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await instance.keyed_calls.wait_idle()
        with _tried("batch"), contextlib.suppress(TimeoutError):
            # A platform that is away must not keep the process from ending.
            async with asyncio.timeout(2 * wait_s):
                await instance.dispatcher.release(wait_s)

    def _enter(self, stage: str, **details: Any) -> None:
        self.stage = stage
        log.info("stopping", stage=stage, **details)
