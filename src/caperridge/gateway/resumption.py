"""Binds a stream that a caller takes up to the software version that began it."""

from caperridge.gateway.inbound import Failure, InboundRequest, RequestState
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.stream_origins import StreamOrigins
from caperridge.log import logger

log = logger(__name__)

# Another instance may know a stream that is unknown here.
UNKNOWN_RETRY_AFTER_S = 0.05


class StreamResumption:
    """Decides whether a stream may go on, and where.

    Args:
        origins: of streams.
        metrics: counted into.
    """

    def __init__(self, origins: StreamOrigins, metrics: GatewayMetrics) -> None:
        self._origins = origins
        self._metrics = metrics

    async def bind(
        self, request: InboundRequest, state: RequestState
    ) -> Failure | None:
        """Set the origin of a stream that goes on; return why one can't."""
        state.origin = await self._origins.find(request.stream, request.route)
        outcome, failure = "found", None
        if state.origin is None:
            outcome = "unknown"
            reason = "the software version that began the stream is not known"
            failure = Failure(reason, True, UNKNOWN_RETRY_AFTER_S)
        elif state.origin.service not in request.route.services:
            outcome = "moved"
            failure = Failure("the stream began at another service", True)
        self._metrics.resumed_streams.labels(outcome).inc()
        log.info(
            "stream taken up",
            request=request.id,
            stream=request.stream,
            after_event=request.resume_after,
            origin=outcome,
            service=state.origin.service if state.origin else "",
            software_version=state.origin.software_version if state.origin else "",
        )
        return failure
