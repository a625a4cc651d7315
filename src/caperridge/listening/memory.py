"""The memory that clients make a process hold, and who has to give it back."""

import asyncio
import functools
import math
from abc import ABC, abstractmethod
from collections.abc import Callable

# What one connection costs when nothing is being received on it.
CONNECTION_BYTES = 16 * 2**10
# The same with TLS: its buffers, and what the event loop reads at once.
TLS_CONNECTION_BYTES = 128 * 2**10
# Up to this size a request may use the part of the memory that is kept for small ones.
SMALL_BYTES = 64 * 2**10
SMALL_RESERVE_RATIO = 0.125
# Without progress for this long, a client gives way to others that need the memory.
STALL_S = 1.0
# Interval at which a request that waits for memory looks for stalled clients.
RETRY_INTERVAL_S = 0.2


class Holder(ABC):
    """A client that holds memory of the budget.

    Attributes:
        held_bytes: what it holds.
        large_bytes: what it holds beyond the part that is kept for small requests.
        answer_bytes: what it holds for an answer.
        revocable: whether it can be cut off without breaking a promise.
    """

    __slots__ = ("answer_bytes", "held_bytes", "large_bytes", "revocable")

    def __init__(self) -> None:
        self.held_bytes = 0
        self.large_bytes = 0
        self.answer_bytes = 0
        self.revocable = False

    @abstractmethod
    def stalled_s(self, now: float) -> float:
        """Return the seconds since it last moved.

        Args:
            now: on the event loop's clock.
        """

    @abstractmethod
    def revoke(self) -> None:
        """Cut the client off; called after its memory was given back."""


class MemoryBudget:
    """Bounds what all clients of a process hold together.

    Memory is taken before it is used. If there is none left, clients without progress
    are cut off; if all of them move, a request whose size was known waits, and of those
    that grow the one that holds most is cut off.

    Attributes:
        capacity_bytes: for all clients.
        held_bytes: what they hold.
        revoked: how many clients were cut off.

    Args:
        capacity_bytes: for all clients.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        self.revoked = 0
        self._large_bytes = 0
        self._answer_bytes = 0
        self._revocable: set[Holder] = set()
        self._released = asyncio.Event()

    def take(self, holder: Holder, size: int, large: bool, now: float) -> bool:
        """Take memory; return whether there was enough.

        Args:
            holder: that needs it.
            size: in bytes.
            large: the request is larger than ``SMALL_BYTES``.
            now: on the event loop's clock.
        """
        fits = functools.partial(self._fits, holder, size, large)
        if not self._make_fit(holder, fits, now):
            return False
        self._add(holder, size, large)
        return True

    def take_answer(self, holder: Holder, size: int, now: float) -> bool:
        """Take memory for an answer; return whether there was enough.

        An answer that is the only one gets it always: requests whose bodies hold all of
        the memory wait for their answers.

        Args:
            holder: whose request is answered.
            size: in bytes.
            now: on the event loop's clock.
        """
        fits = functools.partial(self._fits_answer, holder, size)
        if not self._make_fit(holder, fits, now):
            return False
        self._add(holder, size, large=False)
        holder.answer_bytes += size
        self._answer_bytes += size
        return True

    def force(self, holder: Holder, size: int, now: float) -> None:
        """Count memory that is in use already, such as that of an answer."""
        self._make_fit(holder, functools.partial(self._fits, holder, size, False), now)
        self._add(holder, size, large=False)

    async def take_until(
        self, holder: Holder, size: int, large: bool, deadline: float
    ) -> bool:
        """Take memory, and wait for it if there is not enough.

        Args:
            holder: that needs it.
            size: in bytes.
            large: the request is larger than ``SMALL_BYTES``.
            deadline: of the wait, on the event loop's clock.
        """
        take = functools.partial(self.take, holder, size, large)
        return await self._wait(take, deadline)

    async def take_answer_when_free(self, holder: Holder, size: int) -> None:
        """Take memory for an answer, and wait for it if there is not enough."""
        await self._wait(functools.partial(self.take_answer, holder, size), math.inf)

    async def _wait(self, take: Callable[[float], bool], deadline: float) -> bool:
        loop = asyncio.get_running_loop()
        while not take(loop.time()):
            left_s = deadline - loop.time()
            if left_s <= 0:
                return False
            released = self._released
            try:
                async with asyncio.timeout(min(left_s, RETRY_INTERVAL_S)):
                    await released.wait()
            except TimeoutError:
                continue
        return True

    def grow(self, holder: Holder, size: int, large: bool, now: float) -> bool:
        """Take memory for a body of unknown size; the largest such one gives way."""
        while not self.take(holder, size, large, now):
            largest = max(
                self._revocable, key=lambda one: one.large_bytes, default=holder
            )
            if largest is holder or largest.large_bytes <= holder.large_bytes:
                return False
            self._revoke(largest)
        return True

    def set_revocable(self, holder: Holder, revocable: bool) -> None:
        """Record whether a client may be cut off when others need its memory."""
        holder.revocable = revocable
        if revocable:
            self._revocable.add(holder)
        else:
            self._revocable.discard(holder)

    def release(self, holder: Holder, keep_bytes: int = 0) -> None:
        """Give back all that a client holds beyond ``keep_bytes``."""
        self.set_revocable(holder, False)
        # A client that has left holds nothing any more.
        kept_bytes = min(keep_bytes, holder.held_bytes)
        returned = holder.held_bytes - kept_bytes
        self.held_bytes -= returned
        holder.held_bytes = kept_bytes
        self._large_bytes -= holder.large_bytes
        holder.large_bytes = 0
        self._answer_bytes -= holder.answer_bytes
        holder.answer_bytes = 0
        if returned > 0:
            self._released.set()
            self._released = asyncio.Event()

    def _fits(self, holder: Holder, size: int, large: bool) -> bool:
        if not large:
            return self.held_bytes + size <= self.capacity_bytes
        if self._large_bytes == holder.large_bytes:
            return True  # a large request that is the only one is always served
        capacity = self.capacity_bytes * (1 - SMALL_RESERVE_RATIO)
        return self.held_bytes + size <= capacity

    def _fits_answer(self, holder: Holder, size: int) -> bool:
        if self._answer_bytes == holder.answer_bytes:
            return True
        return self.held_bytes + size <= self.capacity_bytes

    def _add(self, holder: Holder, size: int, large: bool) -> None:
        self.held_bytes += size
        holder.held_bytes += size
        if large:
            self._large_bytes += size
            holder.large_bytes += size

    def _make_fit(
        self, requester: Holder, fits: Callable[[], bool], now: float
    ) -> bool:
        """Cut off stalled clients, the longest stalled first, until ``fits``."""
        if fits():
            return True
        stalled = [
            one
            for one in self._revocable
            if one is not requester and one.stalled_s(now) >= STALL_S
        ]
        stalled.sort(key=lambda one: one.stalled_s(now), reverse=True)
        for one in stalled:
            self._revoke(one)
            if fits():
                return True
        return False

    def _revoke(self, holder: Holder) -> None:
        self.revoked += 1
        self.release(holder)
        holder.revoke()
