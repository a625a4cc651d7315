"""Binds a stream that a caller takes up to the software version that began it."""

import asyncio

from caperridge.gateway.inbound import Failure, InboundRequest, RequestState
from caperridge.gateway.incarnations import IncarnationCheck
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.stream_origins import StreamOrigins
from caperridge.gateway.watcher import TableWatcher
from caperridge.log import logger

log = logger(__name__)

# Another instance may know a stream that is unknown here.
UNKNOWN_RETRY_AFTER_S = 0.05
UNKNOWN_VERSION = "the software version that began the stream is not known"


class StreamResumption:
    """Decides whether a stream may go on, and where.

    Args:
        origins: of streams.
        metrics: counted into.
        target_list: keeps the list of targets up to date.
        incarnations: confirms what began each stream.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        metrics: GatewayMetrics,
        target_list: TableWatcher,
        incarnations: IncarnationCheck,
    ) -> None:
        self._origins = origins
        self._metrics = metrics
        self._target_list = target_list
        self._incarnations = incarnations

    async def bind(
        self, request: InboundRequest, state: RequestState
    ) -> Failure | None:
        """Set the origin of a stream that goes on; return why one can't."""
        found = await self._origins.find(request.stream, request.route)
        state.origin = found.origin
        if found.origin is not None and not await self._incarnations.may_have_written(
            found.target, found.origin
        ):
            state.origin = None
        outcome, failure = "found", None
        if state.origin is None:
            outcome = "unknown"
            failure = Failure(UNKNOWN_VERSION, True, UNKNOWN_RETRY_AFTER_S)
        elif state.origin.service not in request.route.services:
            outcome = "moved"
            failure = Failure("the stream began at another service", True)
        self._metrics.resumed_streams.labels(outcome).inc()
        now = asyncio.get_running_loop().time()
        log.info(
            "stream taken up",
            request=request.id,
            stream=request.stream,
            after_event=request.resume_after,
            origin=outcome,
            source=found.source,
            began_at=found.target,
            service=state.origin.service if state.origin else "",
            software_version=state.origin.software_version if state.origin else "",
            list_version=self._target_list.copy.version,
            list_age_s=round(now - self._target_list.confirmed_at, 3),
        )
        return failure

    async def confirm(
        self, request: InboundRequest, state: RequestState
    ) -> Failure | None:
        """Return the failure of a stream that may have begun at another version.

        Called before it goes on in the same answer for the first time.
        """
        began_at, state.began_at = state.began_at, ""
        assert state.origin is not None
        if await self._incarnations.may_have_written(began_at, state.origin):
            return None
        log.warning(
            "stream of uncertain software version ends",
            request=request.id,
            began_at=began_at,
            software_version=state.origin.software_version,
            after_event=state.last_event,
        )
        stream = request.stream or request.id
        self._origins.withdraw(stream, state.origin, request.route)
        return Failure(UNKNOWN_VERSION, not_run=False)
