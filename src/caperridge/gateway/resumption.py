"""Binds a stream that a caller takes up to the software version that began it."""

import asyncio

from caperridge.gateway.inbound import Failure, InboundRequest, RequestState
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.stream_origins import StreamOrigins
from caperridge.gateway.watcher import TableWatcher
from caperridge.log import logger

log = logger(__name__)

# Another instance may know a stream that is unknown here.
UNKNOWN_RETRY_AFTER_S = 0.05


class StreamResumption:
    """Decides whether a stream may go on, and where.

    Args:
        origins: of streams.
        metrics: counted into.
        target_list: keeps the list of targets up to date.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        metrics: GatewayMetrics,
        target_list: TableWatcher,
    ) -> None:
        self._origins = origins
        self._metrics = metrics
        self._target_list = target_list

    async def bind(
        self, request: InboundRequest, state: RequestState
    ) -> Failure | None:
        """Set the origin of a stream that goes on; return why one can't."""
        found = await self._origins.find(request.stream, request.route)
        state.origin = found.origin
        outcome, failure = "found", None
        if state.origin is None:
            outcome = "unknown"
            reason = "the software version that began the stream is not known"
            failure = Failure(reason, True, UNKNOWN_RETRY_AFTER_S)
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
            service=state.origin.service if state.origin else "",
            software_version=state.origin.software_version if state.origin else "",
            list_version=self._target_list.copy.version,
            list_age_s=round(now - self._target_list.confirmed_at, 3),
        )
        return failure
