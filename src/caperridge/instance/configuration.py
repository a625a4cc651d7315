"""The task that keeps this instance's configuration at the highest version known.

One reader in each availability zone polls the head of the log often and pushes what
is new to its peers; every other instance polls slowly, in case the reader is wrong,
paused or cut off. A confirm is pushed at once by the instance that took it.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from result import Err, Result

from caperridge.config.model import Caller, Configuration, Operator
from caperridge.decisions.configuration_order import (
    ConfigurationVersions,
    Delta,
    OfferResult,
    PackedDelta,
)
from caperridge.decisions.membership import Membership
from caperridge.instance.actor import Actor
from caperridge.instance.messages import (
    ConfigurationApplied,
    ConfigurationAsked,
    ConfigurationConfirmed,
    ConfigurationHeard,
    HeadRead,
)
from caperridge.log import logger
from caperridge.peers.interface import NoPeers, Peers
from caperridge.peers.messages import ConfigurationAsk, ConfigurationNews
from caperridge.queries.configuration import Head, read_head
from caperridge.records import pack, unpack
from caperridge.store.interface import Platform, ReadError

log = logger(__name__)
READER_KEY = "configuration/reader"
READER_POLL_S = 0.5
POLL_S = 5.0  # of everybody else, less up to a quarter
SETTLE_S = 1.0  # a fresh instance waits so long for higher answers of other peers
ANYTHING = -1  # asked for by an instance that knows no version, not even the empty one


class ConfigurationKeeper(Actor):
    """Owns the version in force; it only ever goes up.

    Args:
        platform: polled for the head.
        applied: told of each version that comes into force.
        membership: says who reads for the zone.
        peers: told of new versions, and asked for them.
        clock: monotonic seconds.
    """

    idle_s = READER_POLL_S

    def __init__(
        self,
        platform: Platform,
        applied: Callable[[ConfigurationApplied], None],
        membership: Membership | None = None,
        peers: Peers | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.known = False
        self.peers = peers or NoPeers()
        self._order = ConfigurationVersions()
        self._platform = platform
        self._applied = applied
        self._membership = membership or Membership("-", "-")
        self._clock = clock
        self._random = random.Random(self._membership.instance)
        self._poll_due = float("-inf")
        self._poll: asyncio.Task[None] | None = None
        self._heard_at: float | None = None
        self._unread = False
        self._whole: tuple[int, bytes] = (0, b"")
        self._callers_by_digest: dict[str, Caller] = {}
        self._operators_by_digest: dict[str, Operator] = {}

    @property
    def current(self) -> Configuration:
        """The version in force."""
        return self._order.current

    def caller(self, token_digest: str) -> Caller | None:
        """Return the caller with this token digest."""
        return self._callers_by_digest.get(token_digest)

    def operator(self, token_digest: str) -> Operator | None:
        """Return the operator with this token digest."""
        return self._operators_by_digest.get(token_digest)

    def apply(self, configuration: Configuration) -> bool:
        """Take over ``configuration`` if it is higher; return whether it was."""
        self.known = True
        if self._order.offer(configuration) is not OfferResult.APPLIED:
            return False
        self._took()
        return True

    def _took(self) -> None:
        configuration = self.current
        self._callers_by_digest = {
            caller.token_sha256: caller
            for caller in configuration.callers_by_name.values()
        }
        self._operators_by_digest = {
            operator.token_sha256: operator
            for operator in configuration.operators_by_name.values()
        }
        log.info("configuration in force", version=configuration.version)
        self._applied(ConfigurationApplied(configuration))

    @singledispatchmethod
    async def handle(self, message: Any) -> None:
        """Act on one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    async def _(self, message: ConfigurationConfirmed) -> None:
        version = message.configuration.version
        news = ConfigurationNews(version)
        if message.delta is not None:
            self._order.add_delta(message.delta)
        if not self.apply(message.configuration):
            return
        if message.delta is not None:
            news = self._news(message.delta)
        self.peers.send_all(news)

    @handle.register
    async def _(self, message: HeadRead) -> None:
        head = message.head
        same = head.configuration.version == self.current.version
        if self._unread and same and head.configuration is not self.current:
            # What peers told may lack fields that their release does not know.
            self._order.current = head.configuration
            self._unread = False
            self.known = True
            self._took()
            return
        if not self.apply(head.configuration):
            return
        self._unread = False
        for delta in head.deltas:
            self._order.add_delta(delta)
            self.peers.send_zone(self._news(delta))
        if not head.deltas:
            self.peers.send_zone(ConfigurationNews(head.configuration.version))

    @handle.register
    async def _(self, message: ConfigurationAsked) -> None:
        if not self.known or message.version >= self.current.version > 0:
            return
        chain = None
        if message.version != ANYTHING:
            chain = self._order.deltas_since(message.version)
        if chain is None:
            self.peers.send(message.instance, self._whole_news())
            return
        for delta in chain:
            self.peers.send(message.instance, self._news(delta))

    @handle.register
    async def _(self, message: ConfigurationHeard) -> None:
        news = message.news
        if not news.data:
            if news.version > self.current.version:
                self._ask(message.instance)
            return
        try:
            offer = self._offer(news)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            log.warning("news that cannot be read", peer=message.instance, why=error)
            return
        if offer is OfferResult.GAP:
            self._ask(message.instance)
            return
        if self._heard_at is None:
            self._heard_at = self._clock()
        if offer is not OfferResult.APPLIED:
            return
        self._took()
        self._pass_on(message.instance, news)

    def _pass_on(self, sender: str, news: ConfigurationNews) -> None:
        """Tell those whom the sender may have no link to.

        Inside a zone everybody has a link to everybody; between zones there are few.
        What came from another zone goes to the own one, and what came from the own
        zone goes over the links to others.
        """
        own_zone = self._membership.live(self._membership.availability_zone)
        if sender not in own_zone:
            self.peers.send_zone(news)
            return
        for instance in self.peers.connected():
            if instance not in own_zone:
                self.peers.send(instance, news)

    def _offer(self, news: ConfigurationNews) -> OfferResult:
        if not news.base_version:
            offer = self._order.offer(Configuration.from_bytes(news.data))
            self._unread = self._unread or offer is OfferResult.APPLIED
            return offer
        packed = PackedDelta(news.base_version, news.version, news.data)
        return self._order.offer_delta(Delta.from_map(unpack(news.data)), packed)

    def _ask(self, instance: str) -> None:
        version = self.current.version if self.known else ANYTHING
        self.peers.send(instance, ConfigurationAsk(version))

    def _news(self, delta: PackedDelta) -> ConfigurationNews:
        if not delta.base_version:
            return self._whole_news()
        return ConfigurationNews(delta.version, delta.base_version, delta.data)

    def _whole_news(self) -> ConfigurationNews:
        version = self.current.version
        if self._whole[0] != version or not self._whole[1]:
            self._whole = (version, pack(self.current))
        return ConfigurationNews(version, 0, self._whole[1])

    @property
    def is_reader(self) -> bool:
        """Whether this instance polls for its zone."""
        membership = self._membership
        zone = membership.availability_zone
        return membership.owner(READER_KEY, zone) == membership.instance

    async def idle(self) -> None:
        """Poll the head when it is due; ask peers while nothing is known."""
        now = self._clock()
        self._whole = (0, b"")
        if not self.known:
            self._settle(now)
        if self._poll is not None and not self._poll.done():
            return
        if now < self._poll_due and not self.is_reader and self.known:
            return
        self._poll_due = now + POLL_S * (1.0 - self._random.random() / 4)
        # A task of its own: a platform that hangs must not hold up what peers say.
        poll = self._read(None if self._unread else self.current)
        self._poll = asyncio.get_running_loop().create_task(poll)

    def _settle(self, now: float) -> None:
        """While the platform is away, rely on what the peers know."""
        if self._heard_at is not None and now >= self._heard_at + SETTLE_S:
            self.known = True
            log.info("configuration from peers", version=self.current.version)
            return
        self.peers.send_all(ConfigurationAsk(ANYTHING))

    async def _read(self, known: Configuration | None) -> None:
        read: Result[Head, ReadError] = await read_head(self._platform, known)
        if isinstance(read, Err):
            return
        self.tell(HeadRead(read.ok_value))

    async def stop(self) -> None:
        """End the task and a poll under way."""
        await super().stop()
        if self._poll is not None:
            self._poll.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._poll

    def state(self) -> dict[str, Any]:
        """Return what operators want to see of it."""
        return {
            "version": self.current.version,
            "known": self.known,
            "reader": self.is_reader,
            "from_peers_only": self._unread,
        }
