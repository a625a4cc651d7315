"""Connection draining of an HTTP server, without losing a request that was read.

The shutdown of the HTTP library is not used: it marks an idle connection as closing but
leaves it open, and reads and discards what arrives on it until the last handler has
finished. A caller cannot distinguish a discarded request from one that ran. Here a
connection is closed only while reading is paused and none of its requests runs; until
then, it is read only while one of its requests runs.
"""

import asyncio
import contextlib
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler, RequestPayloadError

from caperridge.listening.bodies import connection_of

# Iterations of the event loop from reading a request to its handler: one wakes the task
# of the connection and one starts the handler; the others are a margin.
ITERATIONS_TO_HANDLER = 5
# Interval of polling for idle connections; it lengthens a stop by as much.
POLL_INTERVAL_S = 0.05
# Longest time for the rest of a body that came after its answer.
LINGER_S = 3.0


class Connections:
    """Tracks the connections of a server with a running request, and closes them.

    Args:
        application: application whose requests are tracked; not served yet.
    """

    def __init__(self, application: web.Application) -> None:
        self._busy: set[RequestHandler] = set()
        # Connections that were paused and on which no request has started since.
        self._unused_since_pause: set[RequestHandler] = set()
        self._closing = False
        application.middlewares.insert(0, self._middleware())

    async def close_idle(self, server: web.Server) -> None:
        """Close every connection without a running request.

        From now on the others are read only while one of their requests runs, as a
        request that arrives after that could have no time left.
        """
        self._closing = True
        idle = [one for one in server.connections if one not in self._busy]
        self._unused_since_pause = set(idle)
        for connection in idle:
            _pause(connection)
        # Afterwards each request read before the pause has started. It may even have
        # finished, with another request read after it.
        await _run_iterations()
        for connection in idle:
            if connection not in self._unused_since_pause:
                continue
            if _has_unread_tls_data(connection):
                _resume(connection)  # its request starts before the next poll
                continue
            connection.force_close()
        self._unused_since_pause = set()
        # Afterwards, closed connections with nothing left to send are not counted.
        await _run_iterations()

    async def close_all(self, server: web.Server, until: float) -> int:
        """Close each connection when it becomes idle; return how many remain open.

        Args:
            server: server that accepts no more connections.
            until: deadline on the clock of the event loop, in seconds.
        """
        loop = asyncio.get_running_loop()
        while True:
            # First sleep: a connection accepted just before the listener closed is
            # registered with the server some iterations later.
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.close_idle(server)
            if not server.connections or loop.time() >= until:
                return len(server.connections)

    def _middleware(self) -> Any:
        @web.middleware
        async def track(request: web.Request, handler: Any) -> web.StreamResponse:
            connection = request.protocol
            guarded = connection_of(request)
            self._busy.add(connection)
            self._unused_since_pause.discard(connection)
            if self._closing:
                _resume(connection)  # its body may not have arrived yet
            try:
                return await _respond(request, handler)
            finally:
                self._busy.discard(connection)
                if guarded is not None:
                    guarded.request_ended()
                if self._closing:
                    _pause(connection)

        return track


async def _respond(request: web.Request, handler: Any) -> web.StreamResponse:
    """Have a request answered, and read its whole body.

    Closing a connection with unread data resets it, and the reset may reach the caller
    before it has read the answer (RFC 9112, section 9.6). The library would read the
    rest only after the connection counts as idle, and end the pause of its reading.
    """
    try:
        response = await handler(request)
    except web.HTTPException as refusal:
        await write_response(request, refusal)
        await _discard_body(request)
        raise
    await write_response(request, response)
    await _discard_body(request)
    return response


async def _discard_body(request: web.Request) -> None:
    """Read and discard the rest of a body, unless it breaks off or takes too long."""
    with contextlib.suppress(OSError, RequestPayloadError):
        async with asyncio.timeout(LINGER_S):
            while not request.content.is_eof():
                await request.content.readany()


async def write_response(request: web.Request, response: web.StreamResponse) -> None:
    """Write the whole response, which the library would do after the handler."""
    if response.prepared:
        return
    guarded = connection_of(request)
    if guarded is not None and isinstance(response, web.Response):
        guarded.count_answer(response.content_length or 0)
    # A caller that disconnected needs no response; the library detects that as well.
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        await response.write_eof()


async def _run_iterations() -> None:
    for _ in range(ITERATIONS_TO_HANDLER):
        await asyncio.sleep(0)


def _has_unread_tls_data(connection: RequestHandler) -> bool:
    """Return whether TLS holds data that the paused connection has not read.

    TLS goes on reading the socket during a pause. Closing the connection would discard
    that data, and the caller could not detect it.
    """
    transport = connection.transport
    if transport is None or transport.is_closing():
        return False
    size = getattr(transport, "get_read_buffer_size", None)
    return size is not None and size() > 0


def _pause(connection: RequestHandler) -> None:
    if connection.transport is not None:
        connection.transport.pause_reading()


def _resume(connection: RequestHandler) -> None:
    if connection.transport is not None:
        connection.transport.resume_reading()
