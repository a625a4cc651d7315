"""One authenticated stream to one peer: send queue, reader and idle timeout."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from caperridge.log import logger
from caperridge.peers.batching import batch_online_counts, split_online_counts
from caperridge.peers.codec import Codec, NamesError
from caperridge.peers.frames import SENDER_FIELD
from caperridge.peers.framing import FrameError, MessageError, read_body
from caperridge.peers.messages import Hello, OnlineCounts
from caperridge.peers.outbox import Outbox
from caperridge.records import Record

log = logger(__name__)
SILENCE_TIMEOUT_S = 15.0
WRITE_TIMEOUT_S = 5.0
MAX_WRITE_BYTES = 256 * 2**10


class PeerStream:
    """Reads and writes the messages of one stream until either end closes it.

    Args:
        reader: reader of the connection, after the handshake.
        writer: writer of the connection.
        hello: hello of the other end.
        dialed: whether this end opened the connection.
        on_message: called on the event loop for each message; must not block.
        own: id of the instance at this end.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: Hello,
        dialed: bool,
        on_message: Callable[["PeerStream", Record], None],
        own: str = "",
    ) -> None:
        self.hello = hello
        self.dialed = dialed
        self.bytes_in = 0
        self.bytes_out = 0
        self.unreadable = 0
        self.unknown_kinds = 0
        self.closed = False
        host = writer.get_extra_info("peername")[0]
        self.address = f"{host}:{hello.port}" if hello.port else ""
        self._reader = reader
        self._writer = writer
        self._on_message = on_message
        self._own = own
        self._codec = Codec(own, hello.protocol)
        self._outbox = Outbox()
        self._wake = asyncio.Event()
        self._reported_counts = (0, 0, 0)
        self._last_bytes_in = -1
        self._last_received_at = 0.0

    @property
    def instance(self) -> str:
        """The id of the peer."""
        return self.hello.instance

    @property
    def dropped(self) -> int:
        """Number of messages dropped because the send queue was full."""
        return self._outbox.dropped

    def send(self, message: Record) -> bool:
        """Queue ``message``; False if the stream is closed or its queue is full."""
        if self.closed or not self._outbox.put(message):
            return False
        self._wake.set()
        return True

    def to_map(self) -> dict[str, Any]:
        """Return the stream as a map for the state dump."""
        return {
            "address": self.address,
            "availability_zone": self.hello.availability_zone,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
            "dialed": self.dialed,
            "dropped": self.dropped,
            "protocol": self.hello.protocol,
            "release": self.hello.release,
            "unknown_kinds": self.unknown_kinds,
            "unreadable": self.unreadable,
        }

    def take_counts(self) -> tuple[int, int, int]:
        """Return bytes in, bytes out and messages dropped since the last call."""
        previous = self._reported_counts
        self._reported_counts = (self.bytes_in, self.bytes_out, self.dropped)
        bytes_in, bytes_out, dropped = self._reported_counts
        return bytes_in - previous[0], bytes_out - previous[1], dropped - previous[2]

    def close_if_silent(self, now: float) -> None:
        """Close the stream after ``SILENCE_TIMEOUT_S`` without received bytes.

        Args:
            now: monotonic time in seconds.
        """
        if self.bytes_in != self._last_bytes_in:
            self._last_bytes_in = self.bytes_in
            self._last_received_at = now
        elif now - self._last_received_at >= SILENCE_TIMEOUT_S:
            log.warning("stream dropped", peer=self.instance, reason="it is silent")
            self.close()

    def close(self) -> None:
        """Close the stream; :meth:`run` returns soon after."""
        self.closed = True
        self._wake.set()
        self._writer.close()

    async def run(self) -> None:
        """Read and write until the stream is closed."""
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self._read()), loop.create_task(self._write())]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.close()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await self._writer.wait_closed()

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not self.closed:
                body = await self._next_body()
                if body is None:
                    return
                self.bytes_in += len(body) + 4
                self._handle_body(body)

    async def _next_body(self) -> bytes | None:
        try:
            return await read_body(self._reader)
        except FrameError as error:
            log.warning("stream dropped", peer=self.instance, reason=str(error))
            return None

    def _handle_body(self, body: bytes) -> None:
        try:
            message = self._codec.decode(body)
            if isinstance(message, OnlineCounts):
                for update in split_online_counts(message, self.instance):
                    self._on_message(self, update)
                return
        except NamesError as error:
            log.error("stream dropped", peer=self.instance, reason=str(error))
            self.close()
            return
        except (MessageError, ValueError, TypeError) as error:
            self.unreadable += 1
            log.warning("message skipped", peer=self.instance, reason=str(error))
            return
        if message is None:
            self.unknown_kinds += 1
            return
        if SENDER_FIELD in message.__slots__ and not message.instance:
            message.instance = self.instance
        self._on_message(self, message)

    async def _write(self) -> None:
        with contextlib.suppress(TimeoutError, OSError):
            while not self.closed:
                await self._wake.wait()
                self._wake.clear()
                for data in self._encode_queued():
                    self._writer.write(data)
                    self.bytes_out += len(data)
                    if self._writer.transport.get_write_buffer_size():
                        # Usually the kernel takes all bytes, which saves a timer.
                        async with asyncio.timeout(WRITE_TIMEOUT_S):
                            await self._writer.drain()

    def _encode_queued(self) -> list[bytes]:
        """Return the queued messages, joined into buffers of bounded size."""
        buffers: list[bytes] = []
        buffer = bytearray()
        for message in batch_online_counts(self._outbox.drain(), self._own):
            try:
                buffer += self._codec.encode(message)
            except MessageError as error:
                log.error("message not sent", peer=self.instance, reason=str(error))
                continue
            if len(buffer) >= MAX_WRITE_BYTES:
                buffers.append(bytes(buffer))
                buffer = bytearray()
        if buffer:
            buffers.append(bytes(buffer))
        return buffers
