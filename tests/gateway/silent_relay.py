"""A TCP relay whose open connections can go silent without a reset."""

import asyncio
import contextlib


class SilentRelay:
    """Relays bytes until :meth:`silence`; connections opened later work.

    What is sent into a silent connection is accepted and dropped, as is its end.

    Attributes:
        address: that callers connect to.
        opened: number of connections accepted so far.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.opened = 0
        self._target = target
        self._server: asyncio.Server | None = None
        self._silent: set[asyncio.Event] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    def silence(self) -> None:
        """Drop everything on the connections that are open now."""
        for silent in self._silent:
            silent.set()
        self._silent = set()

    def reset(self) -> None:
        """Reset the connections that are open now."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers = set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        host, _, port = self._target.rpartition(":")
        there, back = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, back}
        silent = asyncio.Event()
        self._silent.add(silent)
        for source, sink in ((reader, back), (there, writer)):
            task = asyncio.ensure_future(_relay(source, sink, silent))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


async def _relay(
    source: asyncio.StreamReader, sink: asyncio.StreamWriter, silent: asyncio.Event
) -> None:
    with contextlib.suppress(OSError):
        while data := await source.read(65536):
            if not silent.is_set():
                sink.write(data)
                await sink.drain()
    if not silent.is_set():
        sink.transport.abort() if source.exception() else sink.close()
