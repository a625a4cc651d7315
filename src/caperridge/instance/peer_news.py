"""What this instance makes of the news that its peers send."""

from collections.abc import Callable
from functools import singledispatchmethod

from caperridge.decisions.jobs import CANCELLED
from caperridge.decisions.membership import Membership
from caperridge.decisions.routing import TargetPool
from caperridge.instance.batch_streams import BatchStreams
from caperridge.instance.messages import JobsChanged
from caperridge.peers.interface import PeerListener, Peers
from caperridge.peers.messages import (
    JobNews,
    LatencyNews,
    OnlineNews,
    TargetNews,
)
from caperridge.records import Record


class PeerNews(PeerListener):
    """Hands each piece of news to the part that it concerns.

    Args:
        books: of targets; each is told that a target is leaving.
        streams: the own batch streams.
        jobs_changed: the batch dispatcher.
        membership: says who dispatches for a target.
        peers: the streams to other instances.
    """

    def __init__(
        self,
        books: list[TargetPool],
        streams: BatchStreams,
        jobs_changed: Callable[[JobsChanged], object],
        membership: Membership,
        peers: Peers,
    ) -> None:
        self._books = books
        self._streams = streams
        self._jobs_changed = jobs_changed
        self._membership = membership
        self._peers = peers
        # Bound once: news of online load comes with each request.
        self._take_one = self._take
        for kind in (OnlineNews, LatencyNews, JobNews, TargetNews):
            peers.register(kind, self.take)
        peers.add_listener(self)

    def opened(self, instance: str) -> None:
        """Forget what a peer said on an earlier stream, perhaps as another process."""
        self._streams.sender_gone(instance)

    def removed(self, instance: str) -> None:
        """Forget what a dead peer said."""
        self._streams.sender_gone(instance)

    def take(self, sender: str, message: Record) -> None:
        """Act on ``message``, which came from ``sender``."""
        self._take_one(message, sender)

    @singledispatchmethod
    def _take(self, message: Record, sender: str) -> None:
        raise NotImplementedError(type(message).__name__)

    @_take.register
    def _(self, message: OnlineNews, sender: str) -> None:
        if sender == message.instance and self._passed_on(message):
            return
        self._streams.online_changed(
            message.target, message.instance, message.in_flight, message.sequence
        )

    def _passed_on(self, message: OnlineNews) -> bool:
        """Pass news on, once, to the dispatcher that this instance knows of.

        The sender may be in another zone, or see other instances live than this one.
        """
        state = self._books[0].states_by_id.get(message.target)
        if state is None:
            return False
        zone = state.member.availability_zone
        owner = self._membership.owner(message.target, zone)
        if owner in (None, self._membership.instance, message.instance):
            return False
        return self._peers.send(owner, message)

    @_take.register
    def _(self, message: LatencyNews, sender: str) -> None:
        self._streams.latency_seen(
            message.target, message.first_token_s, message.between_tokens_s
        )

    @_take.register
    def _(self, message: JobNews, sender: str) -> None:
        cancelled = message.job if message.state == CANCELLED else ""
        self._jobs_changed(JobsChanged(cancelled))

    @_take.register
    def _(self, message: TargetNews, sender: str) -> None:
        if not message.leaving:
            return
        for book in self._books:
            state = book.states_by_id.get(message.target)
            if state is not None and state.member.incarnation == message.incarnation:
                book.mark_leaving(message.target)
