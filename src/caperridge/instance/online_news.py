"""Tells the batch dispatcher of each target of the online load, here or at a peer."""

import time
from collections.abc import Callable

from caperridge.decisions.membership import Membership
from caperridge.decisions.routing import TargetPool
from caperridge.instance.actor import Actor
from caperridge.instance.batch_streams import BatchStreams
from caperridge.instance.messages import OnlineLoad
from caperridge.peers.interface import PeerListener, Peers
from caperridge.peers.messages import LatencyNews, OnlineNews

LATENCY_EVERY_S = 0.25


class OnlineReporter(Actor, PeerListener):
    """Sends news of online load to whoever dispatches batch for the target.

    A change is told at once, without a way through the mailbox: a batch stream has
    to yield before the online request arrives. What is in flight is repeated each
    second, so that a new dispatcher learns of it and a lost message is made good.

    Args:
        book: the targets, with what this instance has in flight.
        membership: says who dispatches for a target.
        streams: the own batch streams.
        peers: the way to other instances.
        clock: monotonic seconds.
    """

    idle_s = 1.0

    def __init__(
        self,
        book: TargetPool,
        membership: Membership,
        streams: BatchStreams,
        peers: Peers,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self._book = book
        self._membership = membership
        self._streams = streams
        self._peers = peers
        self._clock = clock
        # Higher than any of an earlier process under the same id.
        self._sequence = time.time_ns() // 1_000_000
        self._reported_by_target: dict[str, str] = {}
        self._latency_due_by_target: dict[str, float] = {}

    def changed(self, load: OnlineLoad) -> None:
        """Tell of an online start or end, and of what its caller saw."""
        state = self._book.states_by_id.get(load.target)
        if state is None:
            return
        zone = state.member.availability_zone
        owner = self._membership.owner(load.target, zone)
        self._tell(load.target, owner, load.in_flight)
        if owner is not None and (load.first_token_s or load.between_tokens_s):
            self._tell_latency(load, owner)

    async def idle(self) -> None:
        """Repeat what is in flight, and tell a new owner."""
        self.repeat()

    def opened(self, instance: str) -> None:
        """Tell a peer that has just been reached."""
        self.repeat()

    def view_changed(self) -> None:
        """Tell those who look after a target now."""
        self.repeat()

    def repeat(self) -> None:
        """Tell again of every target with requests in flight, e.g. in a new view."""
        for target_id, state in list(self._book.states_by_id.items()):
            if not state.in_flight and target_id not in self._reported_by_target:
                continue
            owner = self._membership.owner(target_id, state.member.availability_zone)
            self._tell(target_id, owner, state.in_flight)

    def _tell(self, target: str, owner: str | None, in_flight: int) -> None:
        before = self._reported_by_target.get(target)
        if before not in (None, owner):
            self._send(target, before, 0)
        if owner is None:
            self._reported_by_target.pop(target, None)
            return
        self._send(target, owner, in_flight)
        if in_flight:
            self._reported_by_target[target] = owner
        else:
            self._reported_by_target.pop(target, None)

    def _send(self, target: str, owner: str, in_flight: int) -> None:
        own_id = self._membership.instance
        if owner == own_id:
            self._streams.online_changed(target, own_id, in_flight)
            return
        self._sequence += 1
        news = OnlineNews(own_id, target, in_flight, self._sequence)
        self._peers.send_or_relay(owner, news)

    def _tell_latency(self, load: OnlineLoad, owner: str) -> None:
        own_id = self._membership.instance
        first_token_s, between_s = load.first_token_s, load.between_tokens_s
        if owner == own_id:
            self._streams.latency_seen(load.target, first_token_s, between_s)
            return
        now = self._clock()
        if now < self._latency_due_by_target.get(load.target, 0.0):
            return
        self._latency_due_by_target[load.target] = now + LATENCY_EVERY_S
        news = LatencyNews(own_id, load.target, first_token_s, between_s)
        self._peers.send(owner, news)
