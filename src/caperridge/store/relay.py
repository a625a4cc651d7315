"""Failover of platform calls to a relay through a peer during a network partition.

The reported outcomes stay correct: a call that may have been sent is *unknown* unless
an answer was received. A call is tried on the other path only if it certainly had no
effect or is safe to repeat.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from result import Ok, Result

from caperridge.log import logger
from caperridge.store.interface import (
    Committed,
    Condition,
    ListedMember,
    NotDone,
    Platform,
    ReadError,
    Row,
    Unknown,
    Write,
    WriteError,
)
from caperridge.store.wire import encode

log = logger(__name__)
PROBE_INTERVAL_S = 1.0
Call = Callable[[], Any]


class RelayTransport(ABC):
    """Sends platform calls through a peer."""

    @abstractmethod
    async def call(self, method: str, arguments: dict[str, Any]) -> Result[Any, Any]:
        """Return the outcome; ``NotDone`` if no peer could be asked."""

    @abstractmethod
    def set_needed(self, cut_off: bool) -> None:
        """Set whether calls are relayed now, so that streams to peers are kept open."""


class RelayedPlatform(Platform):
    """Calls the platform directly, or through a peer if it is unreachable.

    Args:
        direct: the platform over this instance's own connections.
        clock: monotonic time, in seconds.
    """

    def __init__(self, direct: Platform, clock: Callable[[], float]) -> None:
        self.direct = direct
        self.cut_off = False
        self.relayed = 0
        self.transport: RelayTransport | None = None
        self._clock = clock
        self._probe_due = 0.0
        self._probe: asyncio.Task[None] | None = None

    async def transact(
        self, conditions: list[Condition], writes: list[Write], token: str
    ) -> Result[Committed, WriteError]:
        """See :meth:`Platform.transact`; sent at most once per call."""
        arguments = {
            "conditions": [encode(condition) for condition in conditions],
            "writes": [encode(write) for write in writes],
            "token": token,
        }
        return await self._call(
            "transact",
            arguments,
            lambda: self.direct.transact(conditions, writes, token),
            repeatable=False,
        )

    async def read(self, keys: list[str]) -> Result[dict[str, Row], ReadError]:
        """See :meth:`Platform.read`."""
        return await self._call("read", {"keys": keys}, lambda: self.direct.read(keys))

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], ReadError]:
        """See :meth:`Platform.scan`."""
        arguments = {"prefix": prefix, "after": after, "limit": limit}
        return await self._call(
            "scan", arguments, lambda: self.direct.scan(prefix, after, limit)
        )

    async def put_object(self, name: str, data: bytes) -> Result[None, ReadError]:
        """See :meth:`Platform.put_object`; safe to repeat with the same bytes."""
        arguments = {"name": name, "data": data}
        return await self._call(
            "put_object", arguments, lambda: self.direct.put_object(name, data)
        )

    async def get_object(
        self, name: str, start: int = 0, length: int | None = None
    ) -> Result[bytes | None, ReadError]:
        """See :meth:`Platform.get_object`."""
        arguments = {"name": name, "start": start, "length": length}
        return await self._call(
            "get_object",
            arguments,
            lambda: self.direct.get_object(name, start, length),
        )

    async def list_objects(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[str], ReadError]:
        """See :meth:`Platform.list_objects`."""
        arguments = {"prefix": prefix, "after": after, "limit": limit}
        return await self._call(
            "list_objects",
            arguments,
            lambda: self.direct.list_objects(prefix, after, limit),
        )

    async def delete_object(self, name: str) -> Result[None, ReadError]:
        """See :meth:`Platform.delete_object`."""
        return await self._call(
            "delete_object", {"name": name}, lambda: self.direct.delete_object(name)
        )

    async def members(self) -> Result[list[ListedMember], ReadError]:
        """See :meth:`Platform.members`."""
        return await self._call("members", {}, lambda: self.direct.members())

    async def close(self) -> None:
        """Cancel the running probe, if any."""
        if self._probe is not None:
            self._probe.cancel()
            await asyncio.gather(self._probe, return_exceptions=True)

    async def _call(
        self,
        method: str,
        arguments: dict[str, Any],
        direct: Call,
        repeatable: bool = True,
    ) -> Result[Any, Any]:
        if self.transport is None:
            return await direct()
        if self.cut_off:
            self._probe_if_due()
            outcome = await self._relay(method, arguments)
            if not _certainly_not_sent(outcome):
                return outcome
        outcome = await direct()
        was_cut_off = self.cut_off
        self._update_reachability(outcome)
        if was_cut_off or _responded(outcome):
            return outcome
        if not (repeatable or _certainly_not_sent(outcome)):
            # It may have taken effect: the caller settles that, now through the relay.
            return outcome
        relayed = await self._relay(method, arguments)
        return outcome if _certainly_not_sent(relayed) else relayed

    async def _relay(self, method: str, arguments: dict[str, Any]) -> Result[Any, Any]:
        assert self.transport is not None
        outcome = await self.transport.call(method, arguments)
        if _responded(outcome):
            self.relayed += 1
        return outcome

    def _update_reachability(self, outcome: Result[Any, Any]) -> None:
        cut_off = not _responded(outcome)
        if cut_off == self.cut_off:
            return
        self.cut_off = cut_off
        self._probe_due = self._clock() + PROBE_INTERVAL_S
        if cut_off:
            log.warning("the platform is not reached: relaying through peers")
        else:
            log.info("the platform is reachable again")
        if self.transport is not None:
            self.transport.set_needed(cut_off)

    def _probe_if_due(self) -> None:
        """Probe the direct path in the background, at most once per interval."""
        if self._clock() < self._probe_due:
            return
        if self._probe is not None and not self._probe.done():
            return
        self._probe_due = self._clock() + PROBE_INTERVAL_S
        self._probe = asyncio.get_running_loop().create_task(self._probe_direct())

    async def _probe_direct(self) -> None:
        self._update_reachability(await self.direct.read([]))


def _responded(outcome: Result[Any, Any]) -> bool:
    """Return whether the platform responded at all."""
    if isinstance(outcome, Ok):
        return True
    error = outcome.err_value
    return not isinstance(error, NotDone | Unknown) or error.reached


def _certainly_not_sent(outcome: Result[Any, Any]) -> bool:
    """Return whether the call certainly did not reach the platform."""
    if isinstance(outcome, Ok):
        return False
    error = outcome.err_value
    return isinstance(error, NotDone) and not error.reached
