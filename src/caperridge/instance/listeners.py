"""The HTTP listeners of one instance."""

import asyncio

from aiohttp import web

from caperridge.connections import Connections
from caperridge.door import Door
from caperridge.settings import Address, TlsFiles
from caperridge.tls import server_context

CUT_AFTER_S = 0.5  # what still runs at the very end is cancelled after this
# The library's own wait after it; by then nothing is left, or everything is cut.
CANCEL_S = 0.1


class Listeners:
    """Opens listeners and closes them again; knows where each listens."""

    def __init__(self) -> None:
        self.addresses_by_name: dict[str, Address] = {}
        self._runners: list[web.AppRunner] = []
        self._doors: list[Door] = []
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
            shutdown_timeout=CANCEL_S,
        )
        await runner.setup()
        self._runners.append(runner)
        context = server_context(files) if files else None
        door = await Door.open(runner.server, at.host, at.port, context)
        self._doors.append(door)
        self.addresses_by_name[name] = Address(*door.address)

    async def close(self) -> None:
        """Close all, ending what still runs after a moment."""
        for door in self._doors:
            await door.close()
        until = asyncio.get_running_loop().time() + CUT_AFTER_S
        # What was accepted last is read from, too, so one look would not be enough.
        await asyncio.gather(
            *(
                connections.end_all(runner.server, until)
                for runner, connections in zip(
                    self._runners, self._connections, strict=True
                )
                if runner.server is not None
            )
        )
        for runner in self._runners:
            await runner.cleanup()
