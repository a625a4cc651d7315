"""The client of a model engine: streams with checked events, and cancels.

Every answer is taken as a stream, also where the caller wants it whole: a stream can
be resumed from its offset when the engine is lost or batch has to yield.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson

from caperridge.targets.events import EventChecker, WrongEventError
from caperridge.targets.outcomes import (
    AttemptError,
    Lost,
    NotSent,
    TargetRefused,
    WrongAnswer,
)
from caperridge.targets.own_pauses import PauseAwareTimeout, PauseMonitor
from caperridge.targets.silence import IdleTimeouts

MAX_CONNECT_S = 1.0
CONNECT_TIMEOUT_RATIO = 0.8  # of the time for the first event


class AttemptFailed(Exception):  # noqa: N818 - read as "attempt failed"
    """One attempt failed; ``error`` says how."""

    def __init__(self, error: AttemptError) -> None:
        super().__init__(error.reason)
        self.error = error


class Attempt:
    """One attempt of one request at one engine.

    Attributes:
        request: id of the request.
        attempt: id of this attempt.
        address: ``host:port`` of the engine.
        path: e.g. ``/v1/chat/completions``.
        body: the request, without the fields that concern the stream.
        resume_from: offset of the first token still wanted.
        first_event_s: longest wait for the first event; None for the client's.
        between_events_s: longest wait between two events; None for the client's.
        max_wait_s: when nobody wants a first event any more, from the start on.
    """

    __slots__ = (
        "address",
        "attempt",
        "between_events_s",
        "body",
        "first_event_s",
        "max_wait_s",
        "path",
        "request",
        "resume_from",
    )

    def __init__(
        self,
        request: str,
        attempt: str,
        address: str,
        path: str,
        body: dict[str, Any],
        resume_from: int = 0,
        first_event_s: float | None = None,
        between_events_s: float | None = None,
        max_wait_s: float = math.inf,
    ) -> None:
        self.request = request
        self.attempt = attempt
        self.address = address
        self.path = path
        self.body = body
        self.resume_from = resume_from
        self.first_event_s = first_event_s
        self.between_events_s = between_events_s
        self.max_wait_s = max_wait_s


class EngineClient:
    """Talks to engines; one for each instance.

    Args:
        first_event_s: longest wait for the first event, in seconds.
        between_events_s: longest wait between two events.
    """

    def __init__(
        self, first_event_s: float = 30.0, between_events_s: float = 5.0
    ) -> None:
        self._first_event_s = first_event_s
        self._between_events_s = between_events_s
        self._session: aiohttp.ClientSession | None = None
        self._silence = IdleTimeouts()
        self._pauses = PauseMonitor()

    async def close(self) -> None:
        """Close all connections."""
        self._silence.close()
        self._pauses.close()
        if self._session is not None:
            await self._session.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            # A connection serves one request: a late answer finds nobody, and the
            # library has no kept-alive connection on which it would repeat a call.
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    async def stream(self, attempt: Attempt) -> AsyncIterator[list[bytes]]:
        """Yield checked token events as they come, until the closing mark.

        Raises:
            AttemptFailed: with what is known of the target's part in it.
        """
        body = dict(attempt.body)
        body["stream"] = True
        if attempt.resume_from:
            body["resume_from"] = attempt.resume_from
        first_s = attempt.first_event_s or self._first_event_s
        try:
            async with self._pauses.timeout(first_s, attempt.max_wait_s) as limit:
                response = await self._post(attempt, body, limit)
            try:
                if response.status != 200:
                    async with asyncio.timeout_at(limit.due):
                        raise AttemptFailed(await _read_refusal(response))
                async for events in self._events(response, attempt, limit.due):
                    yield events
            finally:
                response.close()
        except aiohttp.ClientConnectorError as error:
            raise AttemptFailed(NotSent(f"no connection: {error.strerror}")) from error
        except aiohttp.ConnectionTimeoutError as error:
            late = NotSent("no connection in time", broken_off=True)
            raise AttemptFailed(late) from error
        except TimeoutError as error:
            late = Lost("no event in time", broken_off=True)
            raise AttemptFailed(late) from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptFailed(Lost(type(error).__name__)) from error
        except WrongEventError as error:
            raise AttemptFailed(WrongAnswer(str(error))) from error

    async def _post(
        self, attempt: Attempt, body: dict[str, Any], limit: PauseAwareTimeout
    ) -> aiohttp.ClientResponse:
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            lost_s = self._pauses.paused_s
            # A connection that takes too long is certain not to have carried a byte,
            # so its limit has to run out before the other. Reads have a watch: see
            # targets/silence.py.
            connect_s = min(MAX_CONNECT_S, (limit.due - began) * CONNECT_TIMEOUT_RATIO)
            try:
                return await self._open().post(
                    f"http://{attempt.address}{attempt.path}",
                    data=orjson.dumps(body),
                    headers={
                        "Content-Type": "application/json",
                        "X-Request-Id": attempt.request,
                        "X-Attempt-Id": attempt.attempt,
                    },
                    timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
                    allow_redirects=False,
                )
            except aiohttp.ConnectionTimeoutError:
                now = loop.time()
                self._pauses.check(now)
                if self._pauses.paused_s == lost_s or limit.due <= now:
                    raise
                # It may have come while the process stood still.

    async def _events(
        self, response: aiohttp.ClientResponse, attempt: Attempt, due: float
    ) -> AsyncIterator[list[bytes]]:
        between_s = attempt.between_events_s or self._between_events_s
        loop = asyncio.get_running_loop()
        checker = EventChecker(attempt.request, attempt.attempt, attempt.resume_from)
        content, clock = response.content, loop.time
        silent = TimeoutError("nothing came for too long")
        watched = self._silence.add(
            due - clock(), lambda: content.set_exception(silent)
        )
        try:
            while not checker.received_done:
                # A method of the reader costs less for each read than its iterator.
                data = await content.readany()
                if not data:
                    break
                events = checker.feed(data)
                if events:
                    # Whoever reads slowly is not the target's fault.
                    watched.timeout_s = math.inf
                    yield events
                    watched.last_received_at = clock()
                    watched.timeout_s = between_s
                if checker.wrong_event is not None:
                    raise checker.wrong_event
        finally:
            self._silence.remove(watched)
        if not checker.received_done:
            raise AttemptFailed(Lost("the stream ended without its closing mark"))

    async def get(self, address: str, path: str) -> Any:
        """Return what the engine's control ``path`` says; None if it does not."""
        try:
            async with self._open().get(
                f"http://{address}{path}", timeout=aiohttp.ClientTimeout(total=1.0)
            ) as response:
                if response.status != 200:
                    return None
                return orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, orjson.JSONDecodeError):
            return None

    async def is_listening(self, address: str) -> bool:
        """Return whether the engine answers at all, whatever it says."""
        try:
            async with self._open().get(
                f"http://{address}/control/load",
                timeout=aiohttp.ClientTimeout(total=1.0),
            ):
                return True
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def cancel(self, address: str, attempt: str) -> None:
        """Ask the engine to drop the attempt; best effort."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self._open().post(
                f"http://{address}/control/cancel",
                json={"attempt": attempt},
                timeout=aiohttp.ClientTimeout(total=2.0),
            ):
                pass


async def _read_refusal(response: aiohttp.ClientResponse) -> TargetRefused:
    reason, run, leaving = f"status {response.status}", "", False
    try:
        error = orjson.loads(await response.read())["error"]
        reason, run = str(error.get("message", reason)), str(error.get("run", ""))
        leaving = error.get("code") == "leaving"
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
        pass
    return TargetRefused(response.status, reason, run or "unknown", leaving)
