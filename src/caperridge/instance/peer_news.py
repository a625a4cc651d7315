"""What this instance makes of the news that its peers send."""

from collections.abc import Callable
from functools import singledispatchmethod

from caperridge.decisions.jobs import CANCELLED
from caperridge.decisions.membership import Membership
from caperridge.decisions.routing import TargetBook
from caperridge.instance.messages import JobsChanged, OnlineLoad
from caperridge.peers.interface import Peers
from caperridge.peers.messages import (
    JobNews,
    LatencyNews,
    OnlineNews,
    TargetNews,
)
from caperridge.records import Record

OnlineChanged = Callable[[str, str, int], None]


class OnlineLoads:
    """Tells the dispatcher of each target of this instance's own online load.

    A peer may miss news, and the dispatcher may change; so what is in flight is told
    again whenever a stream opens or the view of who lives changes.

    Args:
        membership: says who dispatches for a target.
        peers: the way to it.
        zone_of: availability zone of a target; None if it is not known.
        online_changed: the own batch streams.
    """

    def __init__(
        self,
        membership: Membership,
        peers: Peers,
        zone_of: Callable[[str], str | None],
        online_changed: OnlineChanged,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._zone_of = zone_of
        self._online_changed = online_changed
        self._in_flight_by_target: dict[str, int] = {}
        self._told_by_target: dict[str, str] = {}
        self._sequence = 0

    def changed(self, load: OnlineLoad) -> None:
        """Tell of one target."""
        if load.in_flight:
            self._in_flight_by_target[load.target] = load.in_flight
        else:
            self._in_flight_by_target.pop(load.target, None)
        self._tell(load.target, load.in_flight)

    def repeat(self, instance: str = "") -> None:
        """Tell again of every target, or of those that ``instance`` looks after."""
        for target, in_flight in list(self._in_flight_by_target.items()):
            if not instance or self._owner(target) == instance:
                self._tell(target, in_flight)

    def _owner(self, target: str) -> str | None:
        zone = self._zone_of(target)
        return None if zone is None else self._membership.owner(target, zone)

    def _tell(self, target: str, in_flight: int) -> None:
        owner = self._owner(target)
        before = self._told_by_target.get(target)
        if before is not None and before != owner:
            self._tell_one(before, target, 0)
        if owner is None:
            self._told_by_target.pop(target, None)
            return
        if in_flight:
            self._told_by_target[target] = owner
        else:
            self._told_by_target.pop(target, None)
        self._tell_one(owner, target, in_flight)

    def _tell_one(self, owner: str, target: str, in_flight: int) -> None:
        own = self._membership.instance
        if owner == own:
            self._online_changed(target, own, in_flight)
            return
        self._sequence += 1
        news = OnlineNews(own, target, in_flight, self._sequence)
        self._peers.send(owner, news)


class PeerNews:
    """Hands each piece of news to the part that it concerns.

    Args:
        books: of targets; each is told that a target is leaving.
        online_changed: the own batch streams.
        jobs_changed: the batch dispatcher.
    """

    def __init__(
        self,
        books: list[TargetBook],
        online_changed: OnlineChanged,
        jobs_changed: Callable[[JobsChanged], object],
    ) -> None:
        self.latency_seen: Callable[[LatencyNews], None] = lambda news: None
        self._books = books
        self._online_changed = online_changed
        self._jobs_changed = jobs_changed
        self._sequences_by_sender: dict[str, dict[str, int]] = {}

    def listen(self, peers: Peers) -> None:
        """Have ``peers`` tell of every kind that is handled here."""
        for kind in (OnlineNews, LatencyNews, JobNews, TargetNews):
            peers.register(kind, self.take)

    def opened(self, sender: str) -> None:
        """Forget what a peer said on an earlier stream, perhaps as another process."""
        for target in self._sequences_by_sender.pop(sender, {}):
            self._online_changed(target, sender, 0)

    removed = opened

    def take(self, sender: str, message: Record) -> None:
        """Act on ``message``, which came from ``sender``."""
        self._take(message, sender)

    @singledispatchmethod
    def _take(self, message: Record, sender: str) -> None:
        raise NotImplementedError(type(message).__name__)

    @_take.register
    def _(self, message: OnlineNews, sender: str) -> None:
        sequences_by_target = self._sequences_by_sender.setdefault(sender, {})
        if message.sequence <= sequences_by_target.get(message.target, 0):
            return
        sequences_by_target[message.target] = message.sequence
        self._online_changed(message.target, sender, message.in_flight)

    @_take.register
    def _(self, message: LatencyNews, sender: str) -> None:
        self.latency_seen(message)

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
