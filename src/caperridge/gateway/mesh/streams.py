"""Frames of messages over one connection."""

import asyncio
import functools
import inspect
from typing import Any

from caperridge.gateway.mesh.messages import KINDS_BY_NAME
from caperridge.peers.framing import MessageError, frame, read_body
from caperridge.records import Record, pack, unpack

# Messages that wait for a peer that does not read; the oldest are dropped.
MOST_WAITING = 2000
CONNECT_S = 0.5
# A write that the peer does not take for so long ends the stream.
WRITE_S = 2.0


def encode(message: Record) -> bytes:
    """Return ``message`` as one frame."""
    name = type(message).__name__
    fields = [getattr(message, field) for field in _fields(type(message))]
    return frame(pack([name, *fields]), name)


def decode(body: bytes) -> Record | None:
    """Return the message in the body of a frame; None if its kind is not known.

    Fields beyond those known are dropped: another release may have sent them.

    Raises:
        MessageError: it is no message.
    """
    try:
        name, *fields = unpack(body)
    except (ValueError, TypeError) as error:
        raise MessageError("a frame holds no list") from error
    kind = KINDS_BY_NAME.get(name)
    if kind is None:
        return None
    named: dict[str, Any] = dict(zip(_fields(kind), fields, strict=False))
    try:
        return kind(**named)
    except TypeError as error:
        raise MessageError(f"{name}: {error}") from error


@functools.cache
def _fields(kind: type[Record]) -> list[str]:
    """Return the fields as the constructor takes them; new ones come last."""
    return list(inspect.signature(kind).parameters)


class OutStream:
    """Keeps a connection to one peer and sends what is queued.

    Args:
        address: ``IP:PORT`` of the peer.
        hello: makes the first message of each connection.
    """

    def __init__(self, address: str, hello: Any) -> None:
        self.address = address
        self.connected = False
        self.dropped = 0
        self._hello = hello
        self._waiting: list[bytes] = []
        self._wake = asyncio.Event()

    def send(self, data: bytes) -> bool:
        """Queue one frame; False, and counted, if there is no room or connection."""
        if not self.connected or len(self._waiting) >= MOST_WAITING:
            self.dropped += 1
            return False
        self._waiting.append(data)
        self._wake.set()
        return True

    async def run_once(self) -> None:
        """Connect, and send until the connection ends.

        Raises:
            OSError: there is no connection, or it broke.
            TimeoutError: the peer does not answer, or takes nothing.
        """
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        self._waiting = [encode(self._hello())]
        self.connected = True
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await self._send_all(writer, closed)
        finally:
            self.connected = False
            self._waiting = []
            closed.cancel()
            writer.close()

    async def _send_all(
        self, writer: asyncio.StreamWriter, closed: "asyncio.Future[bytes]"
    ) -> None:
        closed.add_done_callback(lambda _: self._wake.set())
        while not closed.done():
            if self._waiting:
                data = b"".join(self._waiting)
                self._waiting = []
                writer.write(data)
                async with asyncio.timeout(WRITE_S):
                    await writer.drain()
                continue
            self._wake.clear()
            await self._wake.wait()


async def read_message(reader: asyncio.StreamReader) -> Record | None:
    """Return the next message; None if its kind is not known.

    Raises:
        asyncio.IncompleteReadError: the stream ended.
        OSError: it broke.
        MessageError: it holds no message.
    """
    return decode(await read_body(reader))
