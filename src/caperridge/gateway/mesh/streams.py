"""Frames of messages over one connection: one end speaks, the other hears.

Both are protocols rather than tasks with streams: a fleet of sixty exchanges thousands
of small messages a second, and waking a task for each cost most of an idle instance's
processor time.
"""

import asyncio
import functools
import inspect
from collections.abc import Callable

from caperridge.gateway.mesh.messages import KINDS_BY_NAME
from caperridge.gateway.mesh.paced_reading import PacedReader
from caperridge.gateway.silent_sockets import set_user_timeout
from caperridge.log import logger
from caperridge.peers.framing import FrameError, FrameSplitter, MessageError, frame
from caperridge.records import Record, pack, unpack

log = logger(__name__)

CONNECT_S = 0.5
# What a peer's system did not acknowledge for so long went into a silent connection.
# Near peers hear something every 0.7 s and are lost after 1.5 s; a stream that fell
# silent is replaced before. Systems acknowledge at once, also for slow processes.
USER_TIMEOUT_MS = 600
# What may wait for a peer that does not read, before another message is taken; one may
# be as large as an object of the store. Beyond, messages are dropped; a peer that lags
# so far hears the whole state from the next heartbeat it reads. Sixty peers of a zone
# that is cut off hold 15 MB of a process then.
MAX_PENDING_BYTES = 256 * 2**10


def encode(message: Record) -> bytes:
    """Return ``message`` as one frame."""
    return frame(encode_body(message), type(message).__name__)


def encode_body(message: Record) -> bytes:
    """Return ``message`` as the body of a frame."""
    fields = [getattr(message, field) for field in _fields(type(message))]
    return pack([type(message).__name__, *fields])


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
    known = len(_fields(kind))
    try:
        return kind(*fields) if len(fields) <= known else kind(*fields[:known])
    except TypeError as error:
        raise MessageError(f"{name}: {error}") from error


@functools.cache
def _fields(kind: type[Record]) -> list[str]:
    """Return the fields as the constructor takes them; new ones come last."""
    return list(inspect.signature(kind).parameters)


class OutStream(asyncio.Protocol):
    """Keeps a connection to one peer and sends to it.

    Args:
        address: ``IP:PORT`` of the peer.
        hello: makes the first message of each connection.
    """

    def __init__(self, address: str, hello: Callable[[], Record]) -> None:
        self.address = address
        self.connected = False
        self.opened_at = 0.0  # of the connection that there is, on the loop's clock
        self.dropped = 0
        self.sent_at = float("-inf")  # by the loop's clock
        self._hello = hello
        self._transport: asyncio.Transport | None = None
        self._ended = asyncio.Event()
        self._time = asyncio.get_running_loop().time

    def send(self, data: bytes) -> bool:
        """Send one frame; False, and counted, if there is no room or connection."""
        transport = self._transport
        if not self.connected or transport is None:
            return False
        if transport.get_write_buffer_size() > MAX_PENDING_BYTES:
            self.dropped += 1
            return False
        transport.write(data)
        self.sent_at = self._time()
        return True

    async def run_once(self) -> None:
        """Connect, and stay until the connection ends.

        Raises:
            OSError: there is no connection.
            TimeoutError: the peer does not answer.
        """
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._ended.clear()
        async with asyncio.timeout(CONNECT_S):
            transport, _ = await loop.create_connection(lambda: self, host, int(port))
        try:
            await self._ended.wait()
        finally:
            self.connected = False
            transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        set_user_timeout(transport.get_extra_info("socket"), USER_TIMEOUT_MS)
        self._transport = transport
        self.connected = True
        self.opened_at = asyncio.get_running_loop().time()
        self.send(encode(self._hello()))

    def connection_lost(self, exc: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self.connected = False
        self._transport = None
        self._ended.set()

    def end(self) -> None:
        """End the connection, if there is one; another is opened soon."""
        if self._transport is not None:
            self._transport.abort()


class InStream(asyncio.Protocol):
    """Hears what one peer says on a connection that it opened.

    Args:
        reader: reads the connection.
        heard: called with the stream and each message.
        ended: called with the stream when the connection has ended, and why.
    """

    def __init__(
        self,
        reader: PacedReader,
        heard: Callable[["InStream", Record | None], None],
        ended: Callable[["InStream", str], None],
    ) -> None:
        # Set by who listens: which life of which instance speaks here.
        self.instance = ""
        self.incarnation = ""
        self._reader = reader
        self._descriptor = -1
        self._heard = heard
        self._ended = ended
        self._splitter = FrameSplitter()
        self._transport: asyncio.Transport | None = None
        self._reason = "its stream ended"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.pause_reading()
        self._descriptor = transport.get_extra_info("socket").fileno()
        self._reader.add(self._descriptor, self._received)

    def _received(self, data: bytes) -> None:
        """Take what the connection brought; nothing is its end."""
        if not data:
            self.close()
            return
        try:
            for body in self._splitter.feed(data):
                self._heard(self, decode(body))
        except (FrameError, MessageError) as error:
            self._reason = str(error)
            self.close()
        except Exception as error:  # as the loop does with a transport it reads itself
            self._reason = type(error).__name__
            log.error("a message failed", exc_info=(type(error), error, None))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self._transport = None
        self._reader.remove(self._descriptor)
        self._ended(self, self._reason)

    def close(self) -> None:
        """End the connection; what has come on it and was not read is dropped."""
        self._reader.remove(self._descriptor)
        if self._transport is not None:
            self._transport.abort()
