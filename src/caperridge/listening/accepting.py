"""Puts the guard before the HTTP library's protocols."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from caperridge.listening.connection import GuardedConnection
from caperridge.listening.guard import ConnectionGuard, Listening

# For timeouts of the library that the guard replaces.
UNLIMITED_S = 10.0**8


def http_protocols(
    server: web.Server | None, guard: ConnectionGuard, listening: Listening
) -> Callable[[], asyncio.BaseProtocol]:
    """Return a factory of the protocols of new connections.

    Args:
        server: of the library, set up.
        guard: of all connections of the process.
        listening: listener that accepts them.
    """
    assert server is not None

    def protocol() -> asyncio.BaseProtocol:
        return GuardedConnection(server(), guard, listening)

    return protocol
