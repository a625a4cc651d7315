"""Registry of the open streams of one instance, one for each peer."""

from collections.abc import Iterator
from typing import Any

from caperridge.peers.stream import PeerStream
from caperridge.records import Record


class Streams:
    """Holds one stream to each peer and sends to some or all of them.

    Args:
        instance: id of this instance.
        availability_zone: availability zone of this instance.
    """

    def __init__(self, instance: str, availability_zone: str) -> None:
        self.by_id: dict[str, PeerStream] = {}
        self._instance = instance
        self._availability_zone = availability_zone

    def __iter__(self) -> Iterator[PeerStream]:
        return iter(list(self.by_id.values()))

    def add(self, stream: PeerStream) -> bool:
        """Add ``stream``; return False, and close it, if the present one is better."""
        old = self.by_id.get(stream.instance)
        if old is not None and not old.closed and not self._replaces(stream, old):
            stream.close()
            return False
        if old is not None:
            old.close()
        self.by_id[stream.instance] = stream
        return True

    def discard(self, stream: PeerStream) -> bool:
        """Remove ``stream``; return whether it was the current one of its peer."""
        if self.by_id.get(stream.instance) is not stream:
            return False
        del self.by_id[stream.instance]
        return True

    def send(self, instance: str, message: Record) -> bool:
        """Queue ``message`` for one peer; False if it has no stream or a full queue."""
        stream = self.by_id.get(instance)
        return stream is not None and stream.send(message)

    def send_to_any_in(self, zone: str, message: Record) -> bool:
        """Queue ``message`` for any one peer in ``zone``; False if there is none."""
        for stream in self.by_id.values():
            if stream.hello.availability_zone == zone and stream.send(message):
                return True
        return False

    def send_zone(self, message: Record) -> int:
        """Queue ``message`` for every peer in this zone; return how many queued it."""
        sent = 0
        for stream in self.by_id.values():
            if stream.hello.availability_zone == self._availability_zone:
                sent += stream.send(message)
        return sent

    def send_all(self, message: Record, exclude: PeerStream | None = None) -> int:
        """Queue ``message`` for all but ``exclude``; return how many queued it."""
        return sum(s.send(message) for s in self.by_id.values() if s is not exclude)

    def close(self) -> None:
        """Close every stream."""
        for stream in self.by_id.values():
            stream.close()

    def to_map(self) -> dict[str, Any]:
        """Return the streams as a map for the state dump."""
        return {i: stream.to_map() for i, stream in sorted(self.by_id.items())}

    def _replaces(self, stream: PeerStream, old: PeerStream) -> bool:
        """Return whether ``stream`` replaces ``old``, a stream to the same peer.

        Both ends come to the same decision: they prefer the later incarnation, then the
        stream that was opened by the instance with the lower id, then the newer stream.
        """
        if stream.hello.incarnation != old.hello.incarnation:
            return stream.hello.incarnation > old.hello.incarnation
        if stream.dialed == old.dialed:
            return True
        return stream.dialed == (self._instance < stream.instance)
