"""Reaching the peers that there should be a stream to, with back-off and jitter."""

import asyncio
import random
from collections.abc import Callable

from caperridge.decisions.backoff import backoff_s
from caperridge.instance.peer_messages import DialFailed, Opened
from caperridge.log import logger
from caperridge.peers.connect import Connector
from caperridge.peers.handshake import HandshakeError
from caperridge.settings import Address

log = logger(__name__)
AWAIT_CALL_S = 2.0
FORGET_S = 60.0
LASTING_S = 5.0


class Dialing:
    """The tries to reach one peer."""

    __slots__ = ("due", "failures", "reached_at", "task")

    def __init__(self, due: float) -> None:
        self.due = due
        self.failures = 0
        self.reached_at = due
        self.task: asyncio.Task[None] | None = None

    @property
    def busy(self) -> bool:
        """Whether a try is under way."""
        return self.task is not None and not self.task.done()


class Dialer:
    """Owns the tries; part of the task that owns the streams.

    Args:
        instance: the own id.
        connector: opens the streams.
        tell: the task, told :class:`Opened` or :class:`DialFailed` of each try.
        chance: draws the jitter.
    """

    def __init__(
        self,
        instance: str,
        connector: Connector,
        tell: Callable[[Opened | DialFailed], bool],
        chance: random.Random,
    ) -> None:
        self.failures = 0
        self._instance = instance
        self._connector = connector
        self._tell = tell
        self._chance = chance
        self._dialing_by_key: dict[str, Dialing] = {}

    def want(
        self, instance: str, address: str, now: float, eager: bool = False
    ) -> None:
        """Try to reach a peer, unless it is too early.

        Args:
            instance: whom to expect; empty for a seed.
            address: its listener for peers.
            now: monotonic seconds.
            eager: the other end does not know that there should be a stream.
        """
        key = instance or address
        dialing = self._dialing_by_key.get(key)
        if dialing is None:
            # The lower id calls first, so that both do not call at once.
            waits = instance and self._instance > instance and not eager
            dialing = Dialing(now + AWAIT_CALL_S if waits else now)
            self._dialing_by_key[key] = dialing
        if now < dialing.due or dialing.busy:
            return
        dialing.due = now
        dial = self._dial(key, instance, address)
        dialing.task = asyncio.get_running_loop().create_task(dial)

    def failed(self, message: DialFailed, now: float) -> None:
        """Note a failed try; the next one waits longer."""
        self.failures += 1
        dialing = self._dialing_by_key.get(message.key)
        if dialing is None:
            return
        dialing.failures += 1
        dialing.due = now + backoff_s(dialing.failures, self._chance.random())
        if dialing.failures == 1:
            log.info("peer not reached", peer=message.key, reason=message.reason)

    def reached(self, instance: str, now: float) -> None:
        """Note that there is a stream to a peer, whoever opened it."""
        dialing = self._dialing_by_key.setdefault(instance, Dialing(now))
        dialing.reached_at = now

    def ended(self, instance: str, now: float) -> None:
        """Note that a stream ended; one that lasted wipes out earlier failures."""
        dialing = self._dialing_by_key.get(instance)
        if dialing is None:
            return
        if now - dialing.reached_at >= LASTING_S:
            dialing.failures = 0
        dialing.failures += 1
        dialing.due = now + backoff_s(dialing.failures, self._chance.random())

    def forget_old(self, now: float) -> None:
        """Forget tries that nobody wants any more."""
        for key, dialing in list(self._dialing_by_key.items()):
            if not dialing.busy and now - dialing.due > FORGET_S:
                del self._dialing_by_key[key]

    async def stop(self) -> None:
        """End every try."""
        tasks = [d.task for d in self._dialing_by_key.values() if d.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _dial(self, key: str, instance: str, address: str) -> None:
        try:
            stream = await self._connector.dial(Address.parse(address), instance)
        except (OSError, TimeoutError, ValueError, HandshakeError) as error:
            self._tell(DialFailed(key, str(error) or type(error).__name__))
            return
        if not self._tell(Opened(stream)):
            stream.close()
