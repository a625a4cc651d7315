"""Interface to the peers of an instance: best-effort sending and notifications."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from caperridge.records import Record

Handler = Callable[[str, Record], None]


class PeerListener:
    """Is notified of changes among the peers; each method does nothing by default."""

    def opened(self, instance: str) -> None:
        """A stream to ``instance`` was opened, perhaps not the first one."""

    def closed(self, instance: str) -> None:
        """The stream to ``instance`` was closed; the instance may still be live."""

    def removed(self, instance: str) -> None:
        """``instance`` was removed, as a suspicion against it was not refuted."""

    def view_changed(self) -> None:
        """The set of live instances changed, so owners may have changed."""

    def resend_state(self) -> None:
        """Resend state that may have been lost; called every few seconds."""


class Peers(ABC):
    """Best-effort sending: messages may be lost, late or doubled, never corrupted."""

    @abstractmethod
    def send(self, instance: str, message: Record) -> bool:
        """Queue ``message`` for one peer; False if it has no stream or a full queue."""

    @abstractmethod
    def send_or_relay(self, instance: str, message: Record) -> bool:
        """Queue ``message`` for a peer or, without a stream to it, one in its zone.

        The receiver in that zone forwards it if it is meant for another instance. A
        stream to ``instance`` is requested for later messages.
        """

    @abstractmethod
    def send_zone(self, message: Record) -> int:
        """Queue ``message`` for every peer in this zone; return how many queued it."""

    @abstractmethod
    def send_all(self, message: Record) -> int:
        """Queue ``message`` for every connected peer; return how many queued it.

        Messages about jobs and targets are flooded: receivers forward them on first
        receipt, so they get to every reachable instance.
        """

    @abstractmethod
    def register(self, kind: type[Record], handler: Handler) -> None:
        """Call ``handler`` with the sender's id and each message of ``kind``.

        It is called on the event loop and must not block; most handlers only queue the
        message with a task's ``tell``.
        """

    @abstractmethod
    def add_listener(self, listener: PeerListener) -> None:
        """Notify ``listener`` of changes among the peers."""

    @abstractmethod
    def connected(self) -> list[str]:
        """Return the sorted ids of the peers that have an open stream."""

    @abstractmethod
    def zone_of(self, instance: str) -> str:
        """Return the availability zone of a peer; empty if unknown."""

    @abstractmethod
    def request_stream(self, instance: str) -> None:
        """Keep a stream to ``instance`` for a while, besides the regular ones."""


class NoPeers(Peers):
    """Implementation for an instance without peers."""

    def send(self, instance: str, message: Record) -> bool:
        """See :meth:`Peers.send`."""
        return False

    def send_or_relay(self, instance: str, message: Record) -> bool:
        """See :meth:`Peers.send_or_relay`."""
        return False

    def send_zone(self, message: Record) -> int:
        """See :meth:`Peers.send_zone`."""
        return 0

    def send_all(self, message: Record) -> int:
        """See :meth:`Peers.send_all`."""
        return 0

    def register(self, kind: type[Record], handler: Handler) -> None:
        """See :meth:`Peers.register`."""

    def add_listener(self, listener: PeerListener) -> None:
        """See :meth:`Peers.add_listener`."""

    def connected(self) -> list[str]:
        """See :meth:`Peers.connected`."""
        return []

    def zone_of(self, instance: str) -> str:
        """See :meth:`Peers.zone_of`."""
        return ""

    def request_stream(self, instance: str) -> None:
        """See :meth:`Peers.request_stream`."""
