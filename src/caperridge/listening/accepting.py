"""Puts the guard before the HTTP library's protocols."""

import asyncio
import ssl
from collections.abc import Callable

from aiohttp import web

from caperridge.listening.connection import GuardedConnection
from caperridge.listening.guard import Client, ConnectionGuard, Listening
from caperridge.listening.tls import TlsGreeting

# For timeouts of the library that the guard replaces.
UNLIMITED_S = 10.0**8


def http_protocols(
    server: web.Server | None,
    guard: ConnectionGuard,
    listening: Listening,
    tls: ssl.SSLContext | None = None,
) -> Callable[[], asyncio.BaseProtocol]:
    """Return a factory of the protocols of new connections.

    Args:
        server: of the library, set up.
        guard: of all connections of the process.
        listening: listener that accepts them.
        tls: TLS context of the connections; None for no TLS.
    """
    assert server is not None

    def protocol(greeting: Client | None = None) -> asyncio.BaseProtocol:
        return GuardedConnection(server(), guard, listening, greeting)

    def greeting() -> asyncio.BaseProtocol:
        assert tls is not None
        return TlsGreeting(protocol, tls, guard, listening)

    return protocol if tls is None else greeting
