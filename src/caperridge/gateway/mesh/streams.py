"""One-way message streams: framed messages over TCP connections between instances.

Both ends are protocols rather than tasks with streams: a fleet of sixty exchanges
thousands of small messages a second, and waking a task for each took most of an idle
instance's processor time.
"""

import asyncio
import functools
import inspect
from collections.abc import Callable

from caperridge.gateway.mesh.messages import KINDS_BY_NAME
from caperridge.gateway.mesh.paced_reading import PacedReader
from caperridge.gateway.silent_sockets import set_user_timeout
from caperridge.listening.guard import Client, ConnectionGuard, Listening
from caperridge.listening.limits import ConnectionSettings
from caperridge.listening.memory import CONNECTION_BYTES
from caperridge.log import logger
from caperridge.peers.framing import (
    MAX_FRAME_BYTES,
    FrameError,
    FrameSplitter,
    MessageError,
    frame,
)
from caperridge.records import Record, pack, unpack

log = logger(__name__)

CONNECT_TIMEOUT_S = 0.5
# A connection is closed when the peer's system acknowledges nothing for this long. Near
# peers get something every 0.7 s and are lost after 1.5 s, so a dead stream is replaced
# before that. Systems acknowledge at once, also for slow processes.
USER_TIMEOUT_MS = 600
# Bytes that may wait for a slow peer before a message is dropped; one message may be as
# large as an object of the store. A peer that lags so far gets the whole state with the
# next heartbeat it reads. Sixty peers of a zone that is cut off then hold 15 MB here.
MAX_PENDING_BYTES = 256 * 2**10
# The first message of a stream names all members, some 100 bytes each.
MAX_HELLO_BYTES = 256 * 2**10
# Peers send it as soon as they are connected.
HELLO_TIMEOUT_S = 30.0
STREAM_LIMITS = ConnectionSettings().limits


def encode(message: Record) -> bytes:
    """Return ``message`` as one frame."""
    return frame(encode_body(message), type(message).__name__)


def encode_body(message: Record) -> bytes:
    """Return ``message`` as the body of a frame."""
    fields = [getattr(message, field) for field in _fields(type(message))]
    return pack([type(message).__name__, *fields])


def decode(body: bytes) -> Record | None:
    """Return the message in the body of a frame; None if its kind is unknown.

    Unknown fields at the end are dropped: a newer release may have sent them.

    Raises:
        MessageError: the body is not a valid message.
    """
    try:
        name, *fields = unpack(body)
    except (ValueError, TypeError) as error:
        raise MessageError("the body of a frame is not a list") from error
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
    """Return the fields in constructor order; new ones are added at the end."""
    return list(inspect.signature(kind).parameters)


class OutStream(asyncio.Protocol):
    """Connects to one peer and sends to it.

    Args:
        address: ``IP:PORT`` of the peer.
        hello: returns the first message of each connection.
    """

    def __init__(self, address: str, hello: Callable[[], Record]) -> None:
        self.address = address
        self.connected = False
        self.opened_at = 0.0  # of the present connection, on the loop's clock
        self.dropped = 0
        self.last_sent_at = float("-inf")  # on the loop's clock
        self._hello = hello
        self._transport: asyncio.Transport | None = None
        self._closed = asyncio.Event()
        self._time = asyncio.get_running_loop().time

    def send(self, data: bytes) -> bool:
        """Send one frame; False, and counted, if there is no connection or room."""
        transport = self._transport
        if not self.connected or transport is None:
            return False
        if transport.get_write_buffer_size() > MAX_PENDING_BYTES:
            self.dropped += 1
            return False
        transport.write(data)
        self.last_sent_at = self._time()
        return True

    async def run_once(self) -> None:
        """Connect, and wait until the connection is closed.

        Raises:
            OSError: the connection failed.
            TimeoutError: the peer did not answer.
        """
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._closed.clear()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, _ = await loop.create_connection(lambda: self, host, int(port))
        try:
            await self._closed.wait()
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
        self._closed.set()

    def close(self) -> None:
        """Close the connection, if there is one; the dialer opens another."""
        if self._transport is not None:
            self._transport.abort()


class InStream(asyncio.Protocol, Client):
    """Receives what one peer sends on a connection that it opened.

    Args:
        reader: reads the connection.
        guard: of all connections of the process; None for none.
        on_message: called with the stream and each message.
        on_closed: called with the stream and the reason when it is closed.
    """

    def __init__(
        self,
        reader: PacedReader,
        on_message: Callable[["InStream", Record | None], None],
        on_closed: Callable[["InStream", str], None],
        guard: ConnectionGuard | None = None,
    ) -> None:
        Client.__init__(self, Listening("peers", STREAM_LIMITS))
        # Sender of this stream, set after the hello.
        self.instance = ""
        self.incarnation = ""
        # Incarnation that the next message is for; empty if it is for any.
        self.recipient = ""
        self._reader = reader
        self._descriptor = -1
        self._on_message = on_message
        self._on_closed = on_closed
        self._guard = guard
        self._moved_at = asyncio.get_running_loop().time()
        self._splitter = FrameSplitter(MAX_HELLO_BYTES)
        self._transport: asyncio.Transport | None = None
        self._reason = "its stream ended"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.pause_reading()
        self.peer = (transport.get_extra_info("peername") or ("",))[0]
        if self._guard is not None and not self._guard.add(self):
            transport.abort()
            return
        self._descriptor = transport.get_extra_info("socket").fileno()
        self._reader.add(self._descriptor, self._received)

    def _received(self, data: bytes) -> None:
        """Handle received bytes; none means the end of the connection."""
        if not data:
            self.close()
            return
        self._moved_at = asyncio.get_running_loop().time()
        try:
            for body in self._splitter.feed(data):
                self._on_message(self, decode(body))
            self._count_pending()
        except (FrameError, MessageError) as error:
            self._reason = str(error)
            self.close()
        except Exception as error:  # as the event loop does for transports it reads
            self._reason = type(error).__name__
            log.error("message handler failed", exc_info=(type(error), error, None))
            self.close()

    def _count_pending(self) -> None:
        """Take the memory of an unfinished message; close the stream if it is short."""
        if self._guard is None:
            return
        memory = self._guard.memory
        if self._splitter.pending_bytes <= CONNECTION_BYTES:
            if self.held_bytes > CONNECTION_BYTES:
                memory.release(self, CONNECTION_BYTES)
            return
        needed = CONNECTION_BYTES + self._splitter.pending_bytes - self.held_bytes
        if not memory.take(self, needed, False, self._moved_at):
            self.abort("no memory is left for its message")
            return
        memory.set_revocable(self, True)

    # What the guard of all connections asks.

    @property
    def busy(self) -> bool:
        """Whether the sender has said who it is."""
        return bool(self.instance)

    def admit(self, instance: str, incarnation: str) -> None:
        """Note who the sender is; from now on it may send messages of any size."""
        self.instance = instance
        self.incarnation = incarnation
        self._splitter.max_bytes = MAX_FRAME_BYTES

    def stalled_s(self, now: float) -> float:
        """See :meth:`Holder.stalled_s`."""
        return now - self._moved_at

    def check(self, now: float) -> None:
        """Close the connection if its sender has not said in time who it is.

        Args:
            now: on the event loop's clock.
        """
        if not self.busy and self.stalled_s(now) > HELLO_TIMEOUT_S:
            self.abort("its first message takes too long")

    def revoke(self) -> None:
        """See :meth:`Holder.revoke`."""
        self.abort("others need the memory of its unfinished message")

    def make_room(self) -> None:
        """See :meth:`Client.make_room`."""
        self.abort("others need its connection")

    def abort(self, reason: str) -> None:
        """Close the connection for a reason that is counted and logged."""
        assert self._guard is not None
        self._guard.count_closed(self, reason)
        self._reason = reason
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self._transport = None
        if self._guard is not None:
            self._guard.remove(self)
        self._reader.remove(self._descriptor)
        self._on_closed(self, self._reason)

    def close(self) -> None:
        """Close the connection; bytes not read yet are dropped."""
        self._reader.remove(self._descriptor)
        if self._transport is not None:
            self._transport.abort()
