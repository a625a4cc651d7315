"""The last check before a batch item starts at a target."""

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.outcomes import NotSent


class LeaseGuard:
    """An engine client that starts nothing once the lease has ended.

    A process that was paused may wake with items queued and a lease long lapsed, and
    run a queued start before anything else notices.

    Args:
        engines: the client that it stands before.
        may_start: whether the lease lasts.
    """

    def __init__(self, engines: EngineClient, may_start: Callable[[], bool]) -> None:
        self._engines = engines
        self._may_start = may_start

    async def stream(self, attempt: Attempt) -> AsyncIterator[list[bytes]]:
        """See :meth:`EngineClient.stream`.

        Raises:
            AttemptFailed: not sent, as the lease has ended; or as the client does.
        """
        if not self._may_start():
            raise AttemptFailed(NotSent("the lease has ended"))
        async with aclosing(self._engines.stream(attempt)) as batches:
            async for events in batches:
                yield events

    async def cancel(self, address: str, attempt: str) -> None:
        """See :meth:`EngineClient.cancel`."""
        await self._engines.cancel(address, attempt)

    async def is_listening(self, address: str) -> bool:
        """See :meth:`EngineClient.is_listening`."""
        return await self._engines.is_listening(address)
