"""The HTTP listeners of one instance."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from caperridge.connections import Connections
from caperridge.door import SocketListener
from caperridge.listening.accepting import UNLIMITED_S, http_protocols
from caperridge.listening.guard import READ_BYTES, ConnectionGuard, Listening
from caperridge.listening.limits import CallerLimits
from caperridge.settings import Address, TlsFiles
from caperridge.tls import server_context

CUT_AFTER_S = 0.5  # what still runs at the very end is cancelled after this
# Nobody has waited for calls of operators before; they make some calls of the platform.
OPERATORS_CUT_AFTER_S = 5.0
# The library's own wait after it; by then nothing is left, or everything is cut.
CANCEL_S = 0.1


class Listener:
    """One of them.

    Args:
        app: that answers.
        cut_after_s: how long what runs is waited for when it closes.
        guard: of all connections of the process.
        listening: its name and the limits of its clients.
    """

    __slots__ = (
        "_connections",
        "_cut_after_s",
        "_door",
        "_guard",
        "_listening",
        "_runner",
    )

    def __init__(
        self,
        app: web.Application,
        cut_after_s: float,
        guard: ConnectionGuard,
        listening: Listening,
    ) -> None:
        self._guard = guard
        self._listening = listening
        self._connections = Connections(app)
        self._cut_after_s = cut_after_s
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            lingering_time=0.0,  # see Connections
            keepalive_timeout=UNLIMITED_S,  # the guard closes idle connections
            read_bufsize=READ_BYTES,
            shutdown_timeout=CANCEL_S,
        )
        self._door: SocketListener | None = None

    async def open(self, at: Address, files: TlsFiles | None) -> Address:
        """Listen at ``at``, with TLS if there are files for it; return where."""
        await self._runner.setup()
        context = server_context(files) if files else None
        self._door = await SocketListener.open(
            http_protocols(self._runner.server, self._guard, self._listening, context),
            at.host,
            at.port,
        )
        return Address(*self._door.address)

    async def close(self) -> None:
        """End each connection when idle, then what still runs."""
        if self._door is not None:
            await self._door.close()
        if self._runner.server is not None:
            until = asyncio.get_running_loop().time() + self._cut_after_s
            # What was accepted last is read from, too: one look would not be enough.
            await self._connections.close_all(self._runner.server, until)
        await self._runner.cleanup()


class Listeners:
    """Opens listeners and closes them again; knows where each listens.

    Args:
        guard: of all connections of the process.
        limits: returns the limits of the clients of all listeners.
    """

    def __init__(
        self, guard: ConnectionGuard, limits: Callable[[], CallerLimits]
    ) -> None:
        self._guard = guard
        self._limits = limits
        self.addresses_by_name: dict[str, Address] = {}
        self._listeners: list[Listener] = []

    async def open(
        self,
        name: str,
        app: web.Application,
        at: Address,
        files: TlsFiles | None,
        cut_after_s: float = CUT_AFTER_S,
    ) -> None:
        """Serve ``app`` at ``at``.

        Args:
            name: of the listener.
            app: that answers.
            at: where to listen.
            files: for TLS; None for none.
            cut_after_s: how long what runs is waited for when all are closed.
        """
        listening = Listening(name, self._limits)
        listener = Listener(app, cut_after_s, self._guard, listening)
        self._listeners.append(listener)
        self.addresses_by_name[name] = await listener.open(at, files)

    async def close(self) -> None:
        """Close all at once."""
        await asyncio.gather(*(listener.close() for listener in self._listeners))
        self._guard.close()
