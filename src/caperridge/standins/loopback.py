"""HTTP servers on the loopback interface, each on a port chosen by the system."""

import ssl

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 0.1


class LoopbackServers:
    """Runs named applications until they are stopped."""

    def __init__(self) -> None:
        self._runners_by_name: dict[str, web.AppRunner] = {}

    async def serve(
        self, name: str, app: web.Application, tls: ssl.SSLContext | None = None
    ) -> str:
        """Serve ``app``; return its ``host:port``."""
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        self._runners_by_name[name] = runner
        await web.TCPSite(runner, "127.0.0.1", 0, ssl_context=tls).start()
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def stop(self, name: str) -> None:
        """Stop one application; its connections break and new ones are refused."""
        await self._runners_by_name.pop(name).cleanup()

    async def stop_all(self) -> None:
        """Stop all running applications."""
        for name in list(self._runners_by_name):
            await self.stop(name)
