"""A loopback proxy that delays, resets or silences the connections through it."""

import asyncio
import contextlib

from gateway.unframed import reset

PASS = "pass"
DELAY = "delay"
RESET = "reset"
SILENCE = "silence"  # what comes is read and dropped, in both directions
SILENCE_BACK = "silence_back"  # requests pass, answers do not
MODES = (DELAY, RESET, SILENCE, SILENCE_BACK)
DELAY_S = 0.08


class FaultProxy:
    """Passes connections on to one address, as its mode says.

    Attributes:
        mode: one of the constants above; heeded for each piece of data.
        address: that it listens on.
    """

    def __init__(self, upstream: str) -> None:
        self.mode = PASS
        self.address = ""
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def set_mode(self, mode: str) -> None:
        """Change the mode; ``RESET`` also ends what is open."""
        self.mode = mode
        if mode == RESET:
            for writer in list(self._writers):
                reset(writer.transport)

    def restart(self, upstream: str) -> None:
        """Pass connections on to another address; those that are open are reset."""
        mode, self._upstream = self.mode, upstream
        self.set_mode(RESET)
        self.mode = mode

    def stop(self) -> None:
        """End everything."""
        self.set_mode(RESET)
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.mode == RESET:
                return
            host, _, port = self._upstream.rpartition(":")
            there, back = await asyncio.open_connection(host, int(port))
            self._writers.add(back)
            try:
                await asyncio.gather(
                    self._copy(reader, back, forth=True),
                    self._copy(there, writer, forth=False),
                )
            finally:
                self._writers.discard(back)
                back.transport.abort()
        except OSError:
            # Either end is gone; an answer may have no other sign that it is cut.
            reset(writer.transport)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forth: bool
    ) -> None:
        lost = False
        while data := await reader.read(65536):
            if self.mode == DELAY:
                await asyncio.sleep(DELAY_S)
            if self.mode == SILENCE or (self.mode == SILENCE_BACK and not forth):
                lost = True
            if lost:
                continue  # what comes after a gap is never delivered
            if self.mode == RESET:
                break
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        if lost:
            return
        with contextlib.suppress(OSError):
            writer.write_eof()
