"""Cancels runs without an event yet when their request is quarantined.

A target runs the requests in its queue even after instances have found out that one of
them crashes targets. Closing the connection makes the target drop that request.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from caperridge.gateway.fingerprint import Fingerprint
from caperridge.gateway.inbound import RequestState
from caperridge.gateway.request_guard import RequestGuard
from caperridge.log import logger
from caperridge.records import Record

log = logger(__name__)


class WaitingRun(Record):
    """One run of one request.

    Attributes:
        request: id of the request.
        fingerprint: its fingerprint.
        state: its progress.
        after_event: number of the last event before this run.
        limit: cancels the run.
    """

    __slots__ = ("after_event", "fingerprint", "limit", "request", "state")

    def __init__(
        self,
        request: str,
        fingerprint: Fingerprint,
        state: RequestState,
        limit: asyncio.Timeout,
    ) -> None:
        self.request = request
        self.fingerprint = fingerprint
        self.state = state
        self.after_event = state.last_event
        self.limit = limit


class WaitingRuns:
    """The runs of one instance.

    Args:
        guard: knows which requests are in quarantine.
    """

    def __init__(self, guard: RequestGuard) -> None:
        self._guard = guard
        self._runs_by_number: dict[int, WaitingRun] = {}
        guard.on_quarantined(self._cancel_runs)

    @contextlib.asynccontextmanager
    async def within(
        self, request: str, fingerprint: Fingerprint, state: RequestState
    ) -> AsyncIterator[asyncio.Timeout]:
        """End the block with :class:`TimeoutError` if the run is cancelled.

        Args:
            request: id of the request.
            fingerprint: its fingerprint.
            state: its progress.
        """
        async with asyncio.timeout(None) as limit:
            self._runs_by_number[id(limit)] = WaitingRun(
                request, fingerprint, state, limit
            )
            try:
                yield limit
            finally:
                del self._runs_by_number[id(limit)]

    def _cancel_runs(self, content: str) -> None:
        """Cancel the runs that a suspect covers which has just been quarantined."""
        now = asyncio.get_running_loop().time()
        for run in self._runs_by_number.values():
            if not run.fingerprint.has_key(content) or not self._guard.is_quarantined(
                run.fingerprint
            ):
                continue
            if run.state.last_event != run.after_event or run.limit.expired():
                continue
            log.info(
                "run of quarantined request cancelled",
                request=run.request,
                content=content,
            )
            run.limit.reschedule(now)
