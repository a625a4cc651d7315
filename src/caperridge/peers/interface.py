"""What the rest of an instance sees of its peers: sending, and being told."""

from abc import ABC, abstractmethod

from caperridge.records import Record


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
        """Queue ``message`` for every connected peer; return how many."""


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
