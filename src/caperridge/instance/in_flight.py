"""Counts what callers are being answered now, whatever kind of request it is."""

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from caperridge.connections import write_response
from caperridge.instance.http_common import refusal_response
from caperridge.records import Record
from caperridge.refusals import NOT_RUN, UNKNOWN, Refusal

COME_BACK_S = 1.0


class InFlightRequest(Record):
    """One request that is being answered.

    Attributes:
        number: of this process.
        method: of HTTP.
        path: without the query.
        since: seconds since the epoch.
        caller: name; empty until the token was checked.
        request_id: empty until the answer begins, or where there is none.
        tokens: sent to the caller so far.
    """

    __slots__ = (
        "caller",
        "method",
        "number",
        "path",
        "request_id",
        "since",
        "tokens",
    )

    def __init__(
        self,
        number: int,
        method: str,
        path: str,
        since: float,
        caller: str = "",
        request_id: str = "",
        tokens: int = 0,
    ) -> None:
        self.number = number
        self.method = method
        self.path = path
        self.since = since
        self.caller = caller
        self.request_id = request_id
        self.tokens = tokens


ENTRY = web.RequestKey("in_flight", InFlightRequest)


def count_tokens(request: web.Request, tokens: int) -> None:
    """Note tokens that were handed over to the caller of ``request``."""
    entry = request.get(ENTRY)
    if entry is not None:
        entry.tokens += tokens


class InFlight:
    """Every request of the callers' listener, as a middleware sees it.

    Attributes:
        refusing: new requests are refused.
        moving_on: answers ask their connection to end, so that the next request goes
            to another instance.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self.refusing = False
        self.moving_on = False
        self.requests_by_number: dict[int, InFlightRequest] = {}
        self._numbers = itertools.count(1)
        self._idle = asyncio.Event()
        self._idle.set()
        self._clock = clock

    def add_to(self, app: web.Application) -> None:
        """Watch the requests of ``app``."""
        app.middlewares.insert(0, self._middleware())
        app.on_response_prepare.append(self._prepare)

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight."""
        await self._idle.wait()

    def listed(self) -> list[InFlightRequest]:
        """Return what is in flight, the oldest first."""
        return list(self.requests_by_number.values())

    def _middleware(self) -> Any:
        @web.middleware
        async def count(request: web.Request, handler: Any) -> web.StreamResponse:
            if self.refusing:
                return _refusal(request)
            entry = InFlightRequest(
                next(self._numbers), request.method, request.path, self._clock()
            )
            request[ENTRY] = entry
            self.requests_by_number[entry.number] = entry
            self._idle.clear()
            try:
                response = await handler(request)
                # A whole answer is written after its handler: write it here, so that
                # it counts as in flight until the last byte is handed over.
                await write_response(request, response)
                return response
            finally:
                del self.requests_by_number[entry.number]
                if not self.requests_by_number:
                    self._idle.set()

        return count

    async def _prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        entry = request.get(ENTRY)
        if entry is not None:
            entry.request_id = response.headers.get("X-Request-Id", "")
        if self.moving_on:
            # The headers are made by now, so that closing alone would not show.
            response.headers["Connection"] = "close"
            response.force_close()


def _refusal(request: web.Request) -> web.Response:
    # An earlier request under the same key may have run, so its resend cannot be
    # told that nothing was.
    run = UNKNOWN if "Idempotency-Key" in request.headers else NOT_RUN
    text = "this instance is stopping; another one takes the request"
    refusal = Refusal("stopping", text, 503, run, COME_BACK_S)
    response = refusal_response(refusal)
    response.force_close()
    return response
