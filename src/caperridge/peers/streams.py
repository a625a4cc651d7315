"""The open streams of one instance: one to each peer."""

from collections.abc import Iterator
from typing import Any

from caperridge.peers.stream import PeerStream
from caperridge.records import Record


class Streams:
    """Keeps one stream to each peer and sends to some or all of them.

    Args:
        instance: the own id.
        availability_zone: the own one.
    """

    def __init__(self, instance: str, availability_zone: str) -> None:
        self.by_id: dict[str, PeerStream] = {}
        self._instance = instance
        self._availability_zone = availability_zone

    def __iter__(self) -> Iterator[PeerStream]:
        return iter(list(self.by_id.values()))

    def add(self, stream: PeerStream) -> bool:
        """Keep ``stream``, or close it if the one there is better; return which."""
        old = self.by_id.get(stream.instance)
        if old is not None and not old.closed and not self._replaces(stream, old):
            stream.close()
            return False
        if old is not None:
            old.close()
        self.by_id[stream.instance] = stream
        return True

    def drop(self, stream: PeerStream) -> bool:
        """Forget ``stream``; return whether it was the one to its peer."""
        if self.by_id.get(stream.instance) is not stream:
            return False
        del self.by_id[stream.instance]
        return True

    def send(self, instance: str, message: Record) -> bool:
        """Queue ``message`` for one peer; False if there is no stream to it."""
        stream = self.by_id.get(instance)
        return stream is not None and stream.send(message)

    def send_one_of(self, zone: str, message: Record) -> bool:
        """Queue ``message`` for any one peer of ``zone``; False if there is none."""
        for stream in self.by_id.values():
            if stream.hello.availability_zone == zone and stream.send(message):
                return True
        return False

    def send_zone(self, message: Record) -> int:
        """Queue ``message`` for every peer of the own zone; return how many."""
        sent = 0
        for stream in self.by_id.values():
            if stream.hello.availability_zone == self._availability_zone:
                sent += stream.send(message)
        return sent

    def send_all(self, message: Record, but: PeerStream | None = None) -> int:
        """Queue ``message`` for every peer ``but`` one; return how many."""
        return sum(s.send(message) for s in self.by_id.values() if s is not but)

    def close(self) -> None:
        """Close every stream."""
        for stream in self.by_id.values():
            stream.close()

    def to_map(self) -> dict[str, Any]:
        """Return the streams for the dump."""
        return {i: stream.to_map() for i, stream in sorted(self.by_id.items())}

    def _replaces(self, stream: PeerStream, old: PeerStream) -> bool:
        """Return whether ``stream`` is kept rather than ``old``, to the same peer.

        Both ends decide alike: a later incarnation first, then the stream that the
        lower id has opened, then the later one.
        """
        if stream.hello.incarnation != old.hello.incarnation:
            return stream.hello.incarnation > old.hello.incarnation
        if stream.dialed == old.dialed:
            return True
        return stream.dialed == (self._instance < stream.instance)
