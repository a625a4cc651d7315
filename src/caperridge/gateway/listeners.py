"""Listeners of an instance: callers, readiness and metrics."""

from collections.abc import Callable
from typing import Any

import orjson
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

BACKLOG = 1024
# Callers take up connections that have rested for most of the idle limit.
KEEPALIVE_S = 75.0


class Listener:
    """One HTTP listener.

    Args:
        application: that serves it.
        host: address to listen on.
        port: of TCP.
    """

    def __init__(self, application: web.Application, host: str, port: int) -> None:
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            shutdown_timeout=0.1,
        )
        self._host = host
        self._port = port
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Begin to listen."""
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, self._host, self._port, backlog=BACKLOG, reuse_address=True
        )
        await self._site.start()

    def close_door(self) -> None:
        """Take no more connections; those that are open stay."""
        server = self._runner.server
        if self._site is not None and self._site._server is not None:
            self._site._server.close()
        if server is not None:
            server.pre_shutdown()

    async def stop(self) -> None:
        """Close everything."""
        await self._runner.cleanup()


def ready_application(
    ready: Callable[[], bool], state: Callable[[], Any]
) -> web.Application:
    """Return what answers whether the instance takes callers, and its dump."""

    async def readyz(_: web.Request) -> web.Response:
        return web.Response(status=200 if ready() else 503)

    async def dump(_: web.Request) -> web.Response:
        return web.Response(
            body=orjson.dumps(state(), default=str), content_type="application/json"
        )

    application = web.Application()
    application.router.add_get("/readyz", readyz)
    application.router.add_get("/state", dump)
    return application


def metrics_application(registry: CollectorRegistry) -> web.Application:
    """Return what serves the metrics as text."""

    async def metrics(_: web.Request) -> web.Response:
        body = generate_latest(registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    application = web.Application()
    application.router.add_get("/metrics", metrics)
    return application
