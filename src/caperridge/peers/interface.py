"""What the rest of an instance sees of its peers: sending, and being told."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from caperridge.records import Record

Handler = Callable[[str, Record], None]


class Peers(ABC):
    """Best-effort sending: news may be lost, late or doubled, never garbled."""

    @abstractmethod
    def send(self, instance: str, message: Record) -> bool:
        """Queue ``message`` for one peer; False if there is no stream to it."""

    @abstractmethod
    def send_zone(self, message: Record) -> int:
        """Queue ``message`` for every peer of the own zone; return how many."""

    @abstractmethod
    def send_all(self, message: Record) -> int:
        """Queue ``message`` for every connected peer; return how many.

        News of jobs and targets is passed on by those who hear it for the first time,
        so it reaches every instance that can be reached at all.
        """

    @abstractmethod
    def register(self, kind: type[Record], handler: Handler) -> None:
        """Have ``handler`` told of each message of ``kind``, with its sender's id.

        It is called on the loop and must not block; a task's ``tell`` does for most.
        """

    @abstractmethod
    def connected(self) -> list[str]:
        """Return the ids of the peers that there is a stream to, sorted."""


class NoPeers(Peers):
    """An instance on its own."""

    def send(self, instance: str, message: Record) -> bool:
        """See :meth:`Peers.send`."""
        return False

    def send_zone(self, message: Record) -> int:
        """See :meth:`Peers.send_zone`."""
        return 0

    def send_all(self, message: Record) -> int:
        """See :meth:`Peers.send_all`."""
        return 0

    def register(self, kind: type[Record], handler: Handler) -> None:
        """See :meth:`Peers.register`."""

    def connected(self) -> list[str]:
        """See :meth:`Peers.connected`."""
        return []
