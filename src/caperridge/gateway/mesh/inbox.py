"""Streams of peers: which process sends each message, and for which process it is.

An instance keeps its id when its process is replaced. A stream belongs to the process
that sent its hello, and what arrives on it later than another process of that instance
is dropped. So is a message for an earlier process of this instance: its sender did not
know yet that this one has taken its place.
"""

from collections.abc import Callable

from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.messages import Hello
from caperridge.gateway.mesh.paced_reading import PacedReader
from caperridge.gateway.mesh.relay_messages import Recipient
from caperridge.gateway.mesh.streams import InStream
from caperridge.listening.guard import ConnectionGuard
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)


class Inbox:
    """Receives from all peers.

    Attributes:
        guard: of all connections of the process; None for none.

    Args:
        incarnation: of this process.
        members_by_id: all known members.
        on_hello: called with the first message of each stream.
        on_message: called with its sender and each later message; with none where its
            kind is unknown or it is for another process.
        on_closed: called with each closed stream and the reason.
    """

    def __init__(
        self,
        incarnation: str,
        members_by_id: dict[str, Member],
        on_hello: Callable[[Hello], None],
        on_message: Callable[[Member, Record | None], None],
        on_closed: Callable[[InStream, str], None],
    ) -> None:
        self._incarnation = incarnation
        self._members_by_id = members_by_id
        self._on_hello = on_hello
        self._on_message = on_message
        self._on_closed = on_closed
        self._streams: set[InStream] = set()
        self.guard: ConnectionGuard | None = None

    def accept(self, reader: PacedReader) -> InStream:
        """Return the receiver of a new connection."""
        return InStream(reader, self._receive, self._closed, self.guard)

    def has_stream_of(self, incarnation: str) -> bool:
        """Whether a stream of this process of a peer is open."""
        return any(one.incarnation == incarnation for one in self._streams)

    def close(self) -> None:
        """Close all streams."""
        for stream in list(self._streams):
            stream.close()

    def _receive(self, stream: InStream, message: Record | None) -> None:
        """Handle a message; the first on a stream must be a hello."""
        if not stream.instance:
            self._identify(stream, message)
            return
        member = self._members_by_id.get(stream.instance)
        if member is None or member.incarnation != stream.incarnation:
            return
        if isinstance(message, Recipient):
            stream.recipient = message.incarnation
            return
        recipient, stream.recipient = stream.recipient, ""
        if recipient and recipient != self._incarnation:
            log.info(
                "message for another process dropped",
                peer=member.id,
                kind=type(message).__name__,
                recipient=recipient,
            )
            message = None
        self._on_message(member, message)

    def _identify(self, stream: InStream, message: Record | None) -> None:
        """Record whose stream this is; older ones of that sender are closed.

        The end of an older one may not have arrived.
        """
        if not isinstance(message, Hello):
            stream.close()
            return
        stream.admit(message.instance, message.incarnation)
        self._streams.add(stream)
        self._on_hello(message)
        for other in list(self._streams):
            if other is not stream and other.instance == stream.instance:
                other.close()

    def _closed(self, stream: InStream, reason: str) -> None:
        self._streams.discard(stream)
        self._on_closed(stream, reason)
