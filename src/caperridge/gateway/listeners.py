"""The HTTP listeners of an instance: callers, readiness and metrics."""

from collections.abc import Callable
from typing import Any

import orjson
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from caperridge.connections import Connections
from caperridge.door import SocketListener
from caperridge.gateway.settings import Settings
from caperridge.listening.accepting import UNLIMITED_S, http_protocols
from caperridge.listening.answers import PiecewiseResponse
from caperridge.listening.guard import READ_BYTES, ConnectionGuard, Listening
from caperridge.listening.limits import MAX_HEAD_BYTES

BACKLOG = 1024


class Listener:
    """One HTTP listener.

    Args:
        application: serves its requests.
        host: address to listen on.
        port: TCP port.
        guard: of all connections of the process.
        listening: its name and the limits of its clients.
    """

    def __init__(
        self,
        application: web.Application,
        host: str,
        port: int,
        guard: ConnectionGuard,
        listening: Listening,
    ) -> None:
        self._guard = guard
        self._listening = listening
        self._connections = Connections(application)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            lingering_time=0.0,  # see Connections
            auto_decompress=False,  # bodies are forwarded unchanged
            keepalive_timeout=UNLIMITED_S,  # the guard closes idle connections
            read_bufsize=READ_BYTES,
            shutdown_timeout=0.1,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        self._host = host
        self._port = port
        self._door: SocketListener | None = None

    async def start(self) -> None:
        """Start listening."""
        await self._runner.setup()
        self._door = await SocketListener.open(
            http_protocols(self._runner.server, self._guard, self._listening),
            self._host,
            self._port,
            backlog=BACKLOG,
        )

    @property
    def connections(self) -> int:
        """Number of open connections, with or without a request."""
        server = self._runner.server
        return len(server.connections) if server is not None else 0

    async def stop_accepting(self) -> None:
        """Close the listening socket; requests on open connections continue."""
        if self._door is not None:
            await self._door.close()
            self._door = None

    async def drain_connections(self, until: float) -> int:
        """Close each connection once it is idle; return how many remain open.

        Args:
            until: end of the wait, on the event loop's clock.
        """
        if self._runner.server is None:
            return 0
        return await self._connections.close_all(self._runner.server, until)

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        await self.stop_accepting()
        await self._runner.cleanup()


def listen_at(
    application: web.Application,
    address: str,
    guard: ConnectionGuard,
    listening: Listening,
) -> Listener:
    """Return the listener of ``application`` at ``IP:PORT``; it has to be started."""
    host, _, port = address.rpartition(":")
    return Listener(application, host, int(port), guard, listening)


def own_listeners(
    settings: Settings,
    guard: ConnectionGuard,
    ready: web.Application,
    metrics: web.Application,
) -> list[Listener]:
    """Return the listeners of the readiness check and, if they are served, metrics."""
    limits = settings.connections.limits
    listeners = [listen_at(ready, settings.ready, guard, Listening("ready", limits))]
    if settings.metrics_port:
        address = f"0.0.0.0:{settings.metrics_port}"
        listening = Listening("metrics", limits)
        listeners.append(listen_at(metrics, address, guard, listening))
    return listeners


def ready_application(
    ready: Callable[[], bool], state: Callable[[], Any]
) -> web.Application:
    """Return the application of the readiness check and the state dump."""

    async def readyz(_: web.Request) -> web.Response:
        return web.Response(status=200 if ready() else 503)

    async def dump(_: web.Request) -> web.Response:
        return PiecewiseResponse(
            body=orjson.dumps(state(), default=str), content_type="application/json"
        )

    application = web.Application()
    application.router.add_get("/readyz", readyz)
    application.router.add_get("/state", dump)
    return application


def metrics_application(registry: CollectorRegistry) -> web.Application:
    """Return the application that serves the metrics in the Prometheus text format."""

    async def metrics(_: web.Request) -> web.Response:
        body = generate_latest(registry)
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return PiecewiseResponse(body=body, headers=headers)

    application = web.Application()
    application.router.add_get("/metrics", metrics)
    return application
