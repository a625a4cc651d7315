"""The messages to the task that owns the peer streams."""

from caperridge.peers.stream import PeerStream
from caperridge.records import Record


class Opened:
    """A stream passed its handshake."""

    __slots__ = ("stream",)

    def __init__(self, stream: PeerStream) -> None:
        self.stream = stream


class Ended:
    """A stream is over."""

    __slots__ = ("stream",)

    def __init__(self, stream: PeerStream) -> None:
        self.stream = stream


class Heard:
    """A message came."""

    __slots__ = ("message", "stream")

    def __init__(self, stream: PeerStream, message: Record) -> None:
        self.stream = stream
        self.message = message


class DialFailed(Record):
    """Nobody was reached who could prove to be the one wanted.

    Attributes:
        key: id of the peer, or the address of a seed.
        reason: a sentence for a person.
    """

    __slots__ = ("key", "reason")

    def __init__(self, key: str, reason: str) -> None:
        self.key = key
        self.reason = reason
