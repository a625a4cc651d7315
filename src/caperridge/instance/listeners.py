"""The HTTP listeners of one instance."""

from aiohttp import web

from caperridge.connections import Connections
from caperridge.settings import Address, TlsFiles
from caperridge.tls import server_context

CUT_AFTER_S = 0.5  # what still runs at the very end is cancelled after this


class Listeners:
    """Opens listeners and closes them again; knows where each listens."""

    def __init__(self) -> None:
        self.addresses_by_name: dict[str, Address] = {}
        self._runners: list[web.AppRunner] = []
        self._connections: list[Connections] = []

    async def open(
        self, name: str, app: web.Application, at: Address, files: TlsFiles | None
    ) -> None:
        """Serve ``app`` at ``at``, with TLS if there are files for it."""
        self._connections.append(Connections(app))
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=CUT_AFTER_S,
        )
        await runner.setup()
        self._runners.append(runner)
        context = server_context(files) if files else None
        site = web.TCPSite(runner, at.host, at.port, ssl_context=context)
        await site.start()
        host, port = runner.addresses[0][:2]
        self.addresses_by_name[name] = Address(host, port)

    async def close(self) -> None:
        """Close all, ending what still runs."""
        for runner, connections in zip(self._runners, self._connections, strict=True):
            for site in list(runner.sites):
                await site.stop()
            if runner.server is not None:
                await connections.end_idle(runner.server)
            await runner.cleanup()
