"""The task that reads the platform's list of members and shares it with its peers.

The list is long, so the instances of an availability zone share the reading: each
polls as seldom as there are others, at its own moments, and tells its zone what has
changed. Nobody has to be chosen for it, and the loss of one only makes it slower.
"""

import random
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from result import Err

from caperridge.instance.actor import Actor
from caperridge.instance.messages import MembersListed
from caperridge.log import logger
from caperridge.peers.interface import NoPeers, Peers
from caperridge.peers.messages import ListAsk, ListNews
from caperridge.records import Record
from caperridge.store.interface import ListedMember, Platform

log = logger(__name__)
POLL_S = 3.0
FIRST_POLLS_S = 1.0
JITTER = 0.5


class FromPeer:
    """A message of a peer about the list."""

    __slots__ = ("message", "sender")

    def __init__(self, sender: str, message: Record) -> None:
        self.sender = sender
        self.message = message


class MembersReader(Actor):
    """Polls the list; keeps the last one while the platform is away.

    Args:
        platform: whose list.
        listed: told of each list that differs from the one before.
        peers: with whom it is shared.
        readers: how many instances share the reading.
        introductions: instances that are connected but not listed.
        introduce: told of those that a peer knows.
        complete: whether the list seems to hold what it should; until then it is read
            as often as at the start.
    """

    idle_s = 0.5

    def __init__(
        self,
        platform: Platform,
        listed: Callable[[MembersListed], None],
        peers: Peers | None = None,
        readers: Callable[[], int] = lambda: 1,
        introductions: Callable[[], list[list[str]]] = lambda: [],
        introduce: Callable[[str, str, str], None] = lambda *_: None,
        complete: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.known = False
        self.polls = 0
        self._platform = platform
        self._listed = listed
        self._peers = peers or NoPeers()
        self._readers = readers
        self._introductions = introductions
        self._introduce = introduce
        self._complete = complete
        self._members_by_id: dict[str, ListedMember] = {}
        self._shared_ids: set[str] = set()
        self._polls_left_s = 0.0
        self._heard = 0
        self._random = random.Random()
        for kind in (ListNews, ListAsk):
            self._peers.register(kind, self._from_peer)

    def poll_soon(self) -> None:
        """Read the list at the next turn, e.g. as it is known to have changed."""
        self._polls_left_s = 0.0

    def _from_peer(self, sender: str, message: Record) -> None:
        self.tell(FromPeer(sender, message))

    async def handle(self, message: Any) -> None:
        """Act on one message."""
        self._take(message.message, message.sender)

    @singledispatchmethod
    def _take(self, message: Record, sender: str) -> None:
        raise NotImplementedError(type(message).__name__)

    @_take.register
    def _(self, message: ListNews, sender: str) -> None:
        for introduced in message.introduced:
            self._introduce(*introduced[:3])
        if not (message.whole or self.known):
            # A change of a list that is not known is of no use.
            return
        members_by_id = {} if message.whole else dict(self._members_by_id)
        for fields in message.members:
            member = ListedMember.from_map(fields)
            members_by_id[member.id] = member
        for member_id in message.removed:
            members_by_id.pop(member_id, None)
        self._heard += 1
        self._apply(members_by_id)

    @_take.register
    def _(self, message: ListAsk, sender: str) -> None:
        if not self.known:
            return
        members = [member.to_map() for member in self._members_by_id.values()]
        introduced = self._introductions()
        self._peers.send(sender, ListNews(members, [], True, introduced))

    async def idle(self) -> None:
        """Read the list if it is this instance's turn."""
        self._polls_left_s -= self.idle_s
        if self._polls_left_s > 0:
            return
        heard = self._heard
        self.polls += 1
        members = await self._platform.members()
        self._polls_left_s = self._pause_s()
        if isinstance(members, Err):
            self._ask_peer()
            return
        if heard != self._heard and self.known:
            # A peer was quicker, and its list may be the newer one.
            return
        members_by_id = self._by_id(members.ok_value)
        self._share(members_by_id)
        self._apply(members_by_id)

    def _by_id(self, members: list[ListedMember]) -> dict[str, ListedMember]:
        members_by_id: dict[str, ListedMember] = {}
        shared: set[str] = set()
        for member in members:
            if member.id in members_by_id:
                shared.add(member.id)
            members_by_id[member.id] = member
        for member_id in sorted(shared - self._shared_ids):
            # Said once: only one of them can be used until the list is put right.
            log.warning("two members of the platform's list have one id", id=member_id)
        self._shared_ids = shared
        return members_by_id

    def _pause_s(self) -> float:
        if not (self.known and self._complete()):
            return FIRST_POLLS_S
        mean_s = POLL_S * max(1, self._readers())
        return mean_s * (1 + JITTER * (2 * self._random.random() - 1))

    def _ask_peer(self) -> None:
        """Take the list from a peer while this instance has none."""
        connected = self._peers.connected()
        if not self.known and connected:
            self._peers.send(self._random.choice(connected), ListAsk())

    def _share(self, members_by_id: dict[str, ListedMember]) -> None:
        if not self.known:
            return
        before = self._members_by_id
        changed = [m.to_map() for i, m in members_by_id.items() if before.get(i) != m]
        removed = [i for i in before if i not in members_by_id]
        if changed or removed:
            self._peers.send_zone(ListNews(changed, removed))

    def _apply(self, members_by_id: dict[str, ListedMember]) -> None:
        if self.known and members_by_id == self._members_by_id:
            return
        self.known = True
        self._members_by_id = members_by_id
        self._listed(MembersListed(list(members_by_id.values())))
