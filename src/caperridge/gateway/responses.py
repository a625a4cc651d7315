"""The instance's own responses to callers."""

from collections.abc import Mapping

from aiohttp import web

from caperridge.gateway.caller_checks import Rejection
from caperridge.gateway.dialect import Dialect
from caperridge.gateway.metrics import GatewayMetrics


class Responses:
    """Builds responses that no target sent.

    Attributes:
        closing: the instance drains; connections are closed after their answer.

    Args:
        dialect: names of headers.
        metrics: counted into.
    """

    def __init__(self, dialect: Dialect, metrics: GatewayMetrics) -> None:
        self.closing = False
        self._request_header = dialect.headers.request
        self._metrics = metrics

    def refuse(
        self, request: web.Request, status: int, reason: str, retry_after_s: float = 0.0
    ) -> web.Response:
        """Return an error response."""
        if status >= 500:
            self._metrics.requests.labels("own", str(status)).inc()
        return self.answer(request, status, reason, retry_after_s)

    def reject(self, request: web.Request, rejection: Rejection) -> web.Response:
        """Return the response to a request that a check rejected."""
        self._metrics.requests.labels("own", str(rejection.status)).inc()
        return self.answer(
            request,
            rejection.status,
            rejection.reason,
            rejection.retry_after_s,
            rejection.headers,
        )

    def answer(
        self,
        request: web.Request,
        status: int,
        reason: str,
        retry_after_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> web.Response:
        """Return a response with a reason."""
        response = web.json_response({"reason": reason}, status=status, headers=headers)
        id = request.headers.get(self._request_header)
        if id is not None:
            response.headers[self._request_header] = id
        if retry_after_s > 0:
            response.headers["Retry-After"] = f"{retry_after_s:.2f}"
        return self.finish(request, response)

    def finish(self, request: web.Request, response: web.Response) -> web.Response:
        """Return ``response``, as the last on its connection while draining."""
        if self.closing:
            response.force_close()
            response.headers["Connection"] = "close"
        return response
