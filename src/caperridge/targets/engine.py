"""HTTP client of model engines: streams server-sent events and cancels attempts.

Each answer is requested as a stream, even if the caller wants it in one piece: a stream
can be resumed from its offset when the engine is lost or a batch item is preempted.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson

from caperridge.answer_heads import CheckedResponse, fault_of
from caperridge.targets.events import EventChecker, WrongEventError
from caperridge.targets.outcomes import (
    AttemptError,
    InvalidAnswer,
    Lost,
    NotSent,
    TargetRefused,
    WrongAnswer,
)
from caperridge.targets.own_pauses import PauseAwareTimeout, PauseMonitor
from caperridge.targets.reading import (
    TOO_MUCH_READ,
    BoundedConnections,
    has_read_too_much,
)
from caperridge.targets.silence import IdleTimeouts

MAX_CONNECT_S = 1.0
CONNECT_TIMEOUT_RATIO = 0.8  # of the remaining time for the first event


class AttemptFailed(Exception):  # noqa: N818 - read as "attempt failed"
    """One attempt failed; ``error`` is the reason."""

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
        resume_from: offset of the first token to send.
        first_event_s: timeout of the first event; None for the client's default.
        between_events_s: timeout between two events; None for the client's default.
        max_wait_s: longest wait for the first event, pauses of this process included;
            after it the caller no longer wants an answer.
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
    """HTTP client of all engines; one per instance.

    Args:
        first_event_s: default timeout of the first event, in seconds.
        between_events_s: default timeout between two events, in seconds.
    """

    def __init__(
        self, first_event_s: float = 30.0, between_events_s: float = 5.0
    ) -> None:
        self._first_event_s = first_event_s
        self._between_events_s = between_events_s
        self._session: aiohttp.ClientSession | None = None
        self._connections = BoundedConnections()
        self._idle_timeouts = IdleTimeouts()
        self._pauses = PauseMonitor()

    async def close(self) -> None:
        """Close all connections."""
        self._idle_timeouts.close()
        self._pauses.close()
        if self._session is not None:
            await self._session.close()

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            # One request per connection: a late answer can't reach a later request,
            # and the library has no stale connection on which to repeat a call.
            self._session = aiohttp.ClientSession(
                connector=self._connections.connector(),
                response_class=CheckedResponse,
            )
        return self._session

    async def stream(self, attempt: Attempt) -> AsyncIterator[list[bytes]]:
        """Yield checked token events as they arrive, until the ``[DONE]`` event.

        Raises:
            AttemptFailed: with the error, which shows whether the target is to blame.
        """
        body = dict(attempt.body)
        body["stream"] = True
        if attempt.resume_from:
            body["resume_from"] = attempt.resume_from
        first_s = attempt.first_event_s or self._first_event_s
        try:
            async with self._pauses.timeout(
                first_s, attempt.max_wait_s
            ) as event_timeout:
                response = await self._post(attempt, body, event_timeout)
            try:
                if response.status != 200:
                    async with asyncio.timeout_at(event_timeout.due):
                        raise AttemptFailed(await _read_refusal(response))
                async for events in self._events(response, attempt, event_timeout.due):
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
            fault = fault_of(error)
            if fault:
                raise AttemptFailed(InvalidAnswer(fault)) from error
            too_much = has_read_too_much(error)
            reason = TOO_MUCH_READ if too_much else type(error).__name__
            raise AttemptFailed(Lost(reason)) from error
        except WrongEventError as error:
            raise AttemptFailed(WrongAnswer(str(error))) from error

    async def _post(
        self, attempt: Attempt, body: dict[str, Any], event_timeout: PauseAwareTimeout
    ) -> aiohttp.ClientResponse:
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            paused_s = self._pauses.paused_s
            # A connect timeout proves that no byte was sent, so it has to expire before
            # the timeout of the first event. Reads have their own timeout: see
            # targets/silence.py.
            connect_s = min(
                MAX_CONNECT_S, (event_timeout.due - started_at) * CONNECT_TIMEOUT_RATIO
            )
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
                if self._pauses.paused_s == paused_s or event_timeout.due <= now:
                    raise
                # The process was paused; the connection may have been made in time.

    async def _events(
        self, response: aiohttp.ClientResponse, attempt: Attempt, due: float
    ) -> AsyncIterator[list[bytes]]:
        between_s = attempt.between_events_s or self._between_events_s
        loop = asyncio.get_running_loop()
        checker = EventChecker(attempt.request, attempt.attempt, attempt.resume_from)
        content, clock = response.content, loop.time
        idle = TimeoutError("no data within the idle timeout")
        socket = self._connections.track(response)
        read_timeout = self._idle_timeouts.add(
            due - clock(), lambda: content.set_exception(idle)
        )
        try:
            while not checker.received_done:
                # Cheaper per read than the iterator of the reader.
                data = await content.readany()
                if not data:
                    break
                events = checker.feed(data)
                if events:
                    if socket is not None:
                        socket.record_progress()
                    # A slow consumer is not the target's fault.
                    read_timeout.timeout_s = math.inf
                    yield events
                    read_timeout.last_received_at = clock()
                    read_timeout.timeout_s = between_s
                if checker.wrong_event is not None:
                    raise checker.wrong_event
        finally:
            self._idle_timeouts.remove(read_timeout)
        if not checker.received_done:
            raise AttemptFailed(Lost("the stream ended without its closing mark"))

    async def get(self, address: str, path: str) -> Any:
        """Return the decoded answer of a control ``path``; None if there is none."""
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
        """Return whether the engine answers at all, with any status."""
        try:
            async with self._open().get(
                f"http://{address}/control/load",
                timeout=aiohttp.ClientTimeout(total=1.0),
            ):
                return True
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def cancel(self, address: str, attempt: str) -> None:
        """Ask the engine to cancel the attempt; best effort."""
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
