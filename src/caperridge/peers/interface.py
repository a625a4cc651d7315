"""What the rest of an instance sees of its peers: sending, and being told."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from caperridge.records import Record

Handler = Callable[[str, Record], None]


class PeerListener:
    """Is told of changes among the peers; what it does not override is nothing."""

    def opened(self, instance: str) -> None:
        """A stream to ``instance`` was opened, maybe again."""

    def closed(self, instance: str) -> None:
        """There is no stream to ``instance`` any more; it may well live."""

    def removed(self, instance: str) -> None:
        """``instance`` was removed after a suspicion that nothing refuted."""

    def view_changed(self) -> None:
        """Other instances count as live than before, so owners may have moved."""

    def regularly(self) -> None:
        """Some seconds have passed: repeat what may have been lost."""


class Peers(ABC):
    """Best-effort sending: news may be lost, late or doubled, never garbled."""

    @abstractmethod
    def send(self, instance: str, message: Record) -> bool:
        """Queue ``message`` for one peer; False if there is no stream to it."""

    @abstractmethod
    def send_towards(self, instance: str, message: Record) -> bool:
        """Queue ``message`` for a peer or, without a stream to it, one in its zone.

        There, whoever gets it passes it on if it concerns another one. A stream to
        ``instance`` is opened for the next message.
        """

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
    def listen(self, listener: PeerListener) -> None:
        """Have ``listener`` told of changes among the peers."""

    @abstractmethod
    def connected(self) -> list[str]:
        """Return the ids of the peers that there is a stream to, sorted."""

    @abstractmethod
    def zone_of(self, instance: str) -> str:
        """Return where a peer runs; empty if that is not known."""

    @abstractmethod
    def demand(self, instance: str) -> None:
        """Have a stream to ``instance`` for a while, beside those kept anyway."""


class NoPeers(Peers):
    """An instance on its own."""

    def send(self, instance: str, message: Record) -> bool:
        """See :meth:`Peers.send`."""
        return False

    def send_towards(self, instance: str, message: Record) -> bool:
        """See :meth:`Peers.send_towards`."""
        return False

    def send_zone(self, message: Record) -> int:
        """See :meth:`Peers.send_zone`."""
        return 0

    def send_all(self, message: Record) -> int:
        """See :meth:`Peers.send_all`."""
        return 0

    def register(self, kind: type[Record], handler: Handler) -> None:
        """See :meth:`Peers.register`."""

    def listen(self, listener: PeerListener) -> None:
        """See :meth:`Peers.listen`."""

    def connected(self) -> list[str]:
        """See :meth:`Peers.connected`."""
        return []

    def zone_of(self, instance: str) -> str:
        """See :meth:`Peers.zone_of`."""
        return ""

    def demand(self, instance: str) -> None:
        """See :meth:`Peers.demand`."""
