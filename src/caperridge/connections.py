"""The connections of an HTTP server, ended without losing a request that was read.

Closing them is not left to the HTTP library: at its shutdown it marks a connection
without a request as closing but leaves it open, reads whatever comes on it, and throws
that away until the last handler has ended. A caller cannot tell such a request from one
that ran. Here a connection is closed only while nothing is read from it and no request
of it runs; until then it is read only while a request of it runs.
"""

import asyncio
import contextlib
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

# Turns of the loop from reading a request to its handler: one wakes the connection's
# task and one starts the handler; the rest are spare.
TURNS_TO_HANDLER = 5
# Pause between looks for connections that have become idle; a stop is that much longer.
LOOK_S = 0.05


class Connections:
    """Which connections of a server have a request that is being answered.

    Args:
        application: whose requests are watched; not yet served.
    """

    def __init__(self, application: web.Application) -> None:
        self._busy: set[RequestHandler] = set()
        # Of those that a look has paused: where no request has begun since.
        self._quiet: set[RequestHandler] = set()
        self._ending = False
        application.middlewares.insert(0, self._middleware())

    async def end_idle(self, server: web.Server) -> None:
        """Close every connection on which no request runs.

        From now on the others are read from only while a request of theirs runs: one
        that came after its end could have no time left.
        """
        self._ending = True
        idle = [one for one in server.connections if one not in self._busy]
        self._quiet = set(idle)
        for connection in idle:
            _pause(connection)
        # What was read before the pause has begun after it; it may have ended as well,
        # with another request read behind it.
        await _turns()
        for connection in idle:
            if connection not in self._quiet:
                continue
            if _read_below(connection):
                _resume(connection)  # a request of it begins before the next look
                continue
            connection.force_close()
        self._quiet = set()
        # Those that had nothing more to send are not counted as open after it.
        await _turns()

    async def end_all(self, server: web.Server, until: float) -> int:
        """Close each connection as it becomes idle; return how many are left.

        Args:
            server: that takes no more connections.
            until: end of the wait, on the loop's clock.
        """
        loop = asyncio.get_running_loop()
        while True:
            # Before it is asked what is left: a connection that was accepted just
            # before the door closed is known some turns later.
            await asyncio.sleep(LOOK_S)
            await self.end_idle(server)
            if not server.connections or loop.time() >= until:
                return len(server.connections)

    def _middleware(self) -> Any:
        @web.middleware
        async def watch(request: web.Request, handler: Any) -> web.StreamResponse:
            connection = request.protocol
            self._busy.add(connection)
            self._quiet.discard(connection)
            if self._ending:
                _resume(connection)  # its body may be still to come
            try:
                response = await handler(request)
                await finish(request, response)
                return response
            finally:
                self._busy.discard(connection)
                if self._ending:
                    _pause(connection)

        return watch


async def finish(request: web.Request, response: web.StreamResponse) -> None:
    """Write a whole answer, which the library else does after its handler's end."""
    if response.prepared:
        return
    # A caller that has gone needs no answer; the library notices that, too.
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        await response.write_eof()


async def _turns() -> None:
    for _ in range(TURNS_TO_HANDLER):
        await asyncio.sleep(0)


def _read_below(connection: RequestHandler) -> bool:
    """Whether TLS has read what the paused connection has not: its socket is read on.

    Closing would throw that away, and the caller could not tell.
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
