"""Replies to callers through the HTTP library."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from caperridge.gateway.inbound import Reply
from caperridge.listening.answers import PiecewiseResponse, reserve_answer


class AiohttpReply(Reply):
    """Sends an answer through the HTTP library.

    Attributes:
        response: the answer; None until it has started.

    Args:
        request: that is answered.
        closing: returns whether the connection closes after the answer.
    """

    def __init__(self, request: web.Request, closing: Callable[[], bool]) -> None:
        self._request = request
        self._closing = closing
        self.response: web.StreamResponse | None = None
        self._started_at: float | None = None

    def started_after(self, since: float) -> float | None:
        """Return the seconds from ``since`` to the answer's start; None before it."""
        if self._started_at is None:
            return None
        return round(self._started_at - since, 4)

    @property
    def started(self) -> bool:
        """See :attr:`Reply.started`."""
        return self.response is not None

    async def reserve(self, size: int) -> None:
        """See :meth:`Reply.reserve`."""
        await reserve_answer(self._request, size)

    async def send_whole(
        self, status: int, headers: CIMultiDict[str], body: bytes
    ) -> None:
        """See :meth:`Reply.send_whole`."""
        response = PiecewiseResponse(status=status, body=body, headers=headers)
        self._prepare_head(response)
        self.response = response
        await response.prepare(self._request)
        await response.write_eof()

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """See :meth:`Reply.start`."""
        response = web.StreamResponse(status=status, headers=headers)
        self._prepare_head(response)
        self.response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """See :meth:`Reply.write`."""
        assert self.response is not None
        await self.response.write(data)

    async def end(self) -> None:
        """See :meth:`Reply.end`."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees an incomplete answer."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def _prepare_head(self, response: web.StreamResponse) -> None:
        self._started_at = asyncio.get_running_loop().time()
        if self._closing():
            response.force_close()
            response.headers["Connection"] = "close"
