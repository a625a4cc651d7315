"""Bounds on what is read from targets and from the store.

Either may send bytes without end when it is in trouble: in a line of a head, in interim
answers, in the size of a chunk, in comments or in one event. The HTTP library buffers
or skips what comes before a delimiter, and its users see none of it. So bytes are
counted as a connection receives them, and whoever reads an answer reports its progress.
"""

import contextlib
import errno
import functools
import socket
import weakref
from collections.abc import Callable, Iterator

import aiohttp

from caperridge.answer_heads import HeadLines, invalid_line
from caperridge.targets.connecting import SingleUseConnector

# Fits the longest head and event, and what the HTTP library reads ahead of its user.
MAX_BYTES_WITHOUT_PROGRESS = 256 * 2**10
# One read; the bound can be exceeded by as much.
MAX_READ_BYTES = 64 * 2**10
# Of bodies without a stated length, which may have no end; all that are read at once.
MAX_UNSIZED_BYTES = 6 * 2**20
TOO_MUCH_READ = "too many bytes without progress"


class BoundedSocket(socket.socket):
    """A socket that fails when it receives too much without progress.

    Attributes:
        unaccounted_bytes: received since the last progress.
        head: checks the head of the one answer on its connection; None if more answers
            may follow.
        on_close: called when the connection is closed, from either side.
    """

    unaccounted_bytes = 0
    head: HeadLines | None = None
    on_close: Callable[[], None] | None = None

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receive at most :data:`MAX_READ_BYTES`.

        Raises:
            OSError: with ``EMSGSIZE`` if there was no progress for too many bytes, with
                ``EBADMSG`` if a line of the head is none.
        """
        data = super().recv(min(size, MAX_READ_BYTES), flags)
        self.unaccounted_bytes += len(data)
        if self.exceeded:
            raise OSError(errno.EMSGSIZE, TOO_MUCH_READ)
        if self.head is not None and not self.head.complete:
            fault = self.head.feed(data)
            if fault:
                raise invalid_line(fault)
        return data

    @property
    def exceeded(self) -> bool:
        """Whether it has received too much without progress."""
        return self.unaccounted_bytes > MAX_BYTES_WITHOUT_PROGRESS

    def record_progress(self) -> None:
        """Record that what was received so far is of use."""
        self.unaccounted_bytes = 0

    def record_payload(self, size: int) -> None:
        """Record that ``size`` bytes of a body were received.

        They account for as many bytes of framing, so that a body of tiny chunks is no
        way to send far more than its size.
        """
        self.unaccounted_bytes = max(0, self.unaccounted_bytes - 2 * size)

    def close(self) -> None:
        """Close the socket."""
        super().close()
        if self.on_close is not None:
            self.on_close()
            self.on_close = None


class BoundedConnections:
    """The connections of one client, whose sockets are bounded.

    Args:
        prepare: sets further options of each new socket.
    """

    def __init__(
        self, prepare: Callable[[socket.socket], None] = lambda created: None
    ) -> None:
        self._prepare = prepare
        self._sockets_by_descriptor: weakref.WeakValueDictionary[int, BoundedSocket] = (
            weakref.WeakValueDictionary()
        )

    def connector(self) -> aiohttp.TCPConnector:
        """Return a connector with one connection for each request."""
        return SingleUseConnector(self._make_socket_of_one_answer)

    def _make_socket_of_one_answer(
        self, address: aiohttp.AddrInfoType
    ) -> BoundedSocket:
        created = self.make_socket(address)
        created.head = HeadLines()
        return created

    def make_socket(self, address: aiohttp.AddrInfoType) -> BoundedSocket:
        """Return a socket, as the HTTP library's connectors ask for it."""
        family, kind, protocol, _, _ = address
        created = BoundedSocket(family, kind, protocol)
        self._prepare(created)
        self._sockets_by_descriptor[created.fileno()] = created
        return created

    def track(self, response: aiohttp.ClientResponse) -> BoundedSocket | None:
        """Return the socket that a response is read from; None if it is complete.

        The HTTP library closes the connection when it finds an error after a body, and
        leaves that body open. It is failed then, so that its reader does not wait.
        The head that was received counts as progress.
        """
        connection = response.connection
        if connection is None or connection.transport is None:
            return None
        wrapper = connection.transport.get_extra_info("socket")
        found = self._sockets_by_descriptor.get(wrapper.fileno())
        if found is not None:
            found.record_progress()
            found.on_close = functools.partial(_fail_open_body, response.content)
        return found


def _fail_open_body(body: aiohttp.StreamReader) -> None:
    if not body.is_eof() and body.exception() is None:
        body.set_exception(aiohttp.ClientPayloadError("an error after the body"))


def has_read_too_much(error: BaseException | None) -> bool:
    """Whether an error of the HTTP library is due to a :class:`BoundedSocket`."""
    while error is not None:
        if isinstance(error, OSError) and error.errno == errno.EMSGSIZE:
            return True
        error = error.__cause__
    return False


class UnsizedBodies:
    """The bodies without a stated length that are being buffered at the same time.

    If they exceed :data:`MAX_UNSIZED_BYTES`, the next one that grows beyond an equal
    share is given up, so that an endless one does not displace the others.
    """

    def __init__(self) -> None:
        self._sizes_by_body: dict[int, int] = {}
        self._next = 0

    @contextlib.contextmanager
    def begin(self) -> Iterator[int]:
        """Yield the key of a body while it is read."""
        key = self._next
        self._next += 1
        self._sizes_by_body[key] = 0
        try:
            yield key
        finally:
            del self._sizes_by_body[key]

    def may_hold(self, body: int, size: int) -> bool:
        """Whether a body of ``size`` bytes so far may be read on."""
        self._sizes_by_body[body] = size
        if sum(self._sizes_by_body.values()) <= MAX_UNSIZED_BYTES:
            return True
        return size <= MAX_UNSIZED_BYTES / len(self._sizes_by_body)
