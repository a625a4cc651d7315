"""Opening of connections by an event loop that may be busy or paused.

An event loop looks for expired timers and for opened connections at once, but the
connection attempt learns of its success some iterations later. After a pause longer
than a connect timeout, all attempts would fail whose connections were opened during it.
"""

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from socket import socket
from typing import Any

import aiohttp

# A connection attempt learns of its success in the fourth iteration of the event loop.
MIN_ITERATIONS = 8


class ConnectTimeout:
    """A timeout that expires only after some iterations of the event loop.

    Args:
        limit: rescheduled when the timeout expires.
        timeout_s: duration from :meth:`start` on, in seconds.
    """

    __slots__ = ("_handle", "_iterations", "_limit", "_loop", "_timeout_s")

    def __init__(self, limit: asyncio.Timeout, timeout_s: float) -> None:
        self._limit = limit
        self._timeout_s = timeout_s
        self._loop = asyncio.get_running_loop()
        self._iterations = 0
        self._handle: asyncio.Handle | None = None

    def start(self) -> None:
        """Start the time, unless it was started before."""
        if self._handle is None:
            self._handle = self._loop.call_later(self._timeout_s, self._expire_soon)

    def close(self) -> None:
        """Cancel the timeout."""
        if self._handle is not None:
            self._handle.cancel()

    def _expire_soon(self) -> None:
        self._iterations += 1
        if self._iterations <= MIN_ITERATIONS:
            self._handle = self._loop.call_soon(self._expire_soon)
            return
        self._limit.reschedule(self._loop.time())


_timeout_of_attempt: ContextVar[ConnectTimeout | None] = ContextVar(
    "timeout_of_attempt", default=None
)


class SingleUseConnector(aiohttp.TCPConnector):
    """Opens one connection for each request, with a :class:`ConnectTimeout`.

    Args:
        make_socket: returns a new socket for an address.
    """

    def __init__(self, make_socket: Callable[[aiohttp.AddrInfoType], socket]) -> None:
        super().__init__(limit=0, force_close=True, socket_factory=self._begin)
        self._make_socket = make_socket

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Open a connection for a request.

        Args:
            req: the request.
            traces: of the session.
            timeout: of the request; its ``sock_connect`` is the timeout, from the
                creation of the first socket on.

        Raises:
            TimeoutError: the other side did not respond.
            aiohttp.ClientConnectorError: the connection could not be opened.
        """
        if timeout.sock_connect is None:
            return await super().connect(req, traces, timeout)
        untimed = aiohttp.ClientTimeout(connect=timeout.connect)
        async with asyncio.timeout(None) as limit:
            connect_timeout = ConnectTimeout(limit, timeout.sock_connect)
            token = _timeout_of_attempt.set(connect_timeout)
            try:
                return await super().connect(req, traces, untimed)
            finally:
                _timeout_of_attempt.reset(token)
                connect_timeout.close()

    def _begin(self, address: aiohttp.AddrInfoType) -> socket:
        timeout = _timeout_of_attempt.get()
        if timeout is not None:
            timeout.start()
        return self._make_socket(address)
