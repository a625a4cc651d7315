"""Connection pool of the store client, replaced as a whole after a lost answer.

A keep-alive connection may have stopped responding without a reset, and so may all
others that were open at that moment. Each would cost the next call its whole timeout,
so after a call without an answer no further call uses them; new ones are opened.
"""

import contextlib
import socket
from collections.abc import AsyncIterator

import aiohttp

from caperridge.answer_heads import CheckedResponse
from caperridge.gateway.silent_sockets import enable_keepalive, set_user_timeout
from caperridge.no_repeat import prevent_retry
from caperridge.targets.reading import TOO_MUCH_READ, BoundedConnections

# Busy instances call several times per second; an idle connection costs little.
KEEPALIVE_TIMEOUT_S = 20
# The store's host acknowledges data within milliseconds, even if the answer takes
# longer.
USER_TIMEOUT_MS = 1000


class SessionPool:
    """Hands out sessions of the HTTP library; new calls use the current one.

    A retired session is closed when its last call has finished.
    """

    def __init__(self) -> None:
        self._connections = BoundedConnections(_prepare_socket)
        self._current: aiohttp.ClientSession | None = None
        self._calls_by_session: dict[aiohttp.ClientSession, int] = {}

    @contextlib.asynccontextmanager
    async def acquire(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Yield the current session for one call."""
        session = self._current
        if session is None:
            session = self._current = self._make_session()
            self._calls_by_session[session] = 0
        self._calls_by_session[session] += 1
        try:
            yield session
        finally:
            await self._release(session)

    def retire(self, session: aiohttp.ClientSession) -> bool:
        """Use ``session`` for no further calls, as one of its calls got no answer.

        Returns:
            False if it had been retired before.
        """
        if self._current is not session:
            return False
        self._current = None
        return True

    async def close(self) -> None:
        """Close all connections."""
        self._current = None
        for session in list(self._calls_by_session):
            await session.close()
        self._calls_by_session.clear()

    async def _release(self, session: aiohttp.ClientSession) -> None:
        calls = self._calls_by_session.get(session)
        if calls is None:
            return
        self._calls_by_session[session] = calls - 1
        if calls == 1 and session is not self._current:
            del self._calls_by_session[session]
            await session.close()

    def _make_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                socket_factory=self._connections.make_socket,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            response_class=CheckedResponse,
            middlewares=(prevent_retry,),
        )

    async def read(self, response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
        """Return the complete body of a response.

        Raises:
            aiohttp.ClientPayloadError: it has more than ``max_bytes``.
        """
        socket = self._connections.track(response)
        received = bytearray()
        async for chunk in response.content.iter_any():
            if socket is not None:
                socket.record_payload(len(chunk))
            received += chunk
            if len(received) > max_bytes:
                raise aiohttp.ClientPayloadError(f"over {max_bytes} bytes")
        if socket is not None and socket.exceeded:
            raise aiohttp.ClientPayloadError(TOO_MUCH_READ)
        return bytes(received)


def _prepare_socket(created: socket.socket) -> None:
    set_user_timeout(created, USER_TIMEOUT_MS)
    enable_keepalive(created)
