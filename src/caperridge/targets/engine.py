"""The client of a model engine: streams with checked events, and cancels.

Every answer is taken as a stream, also where the caller wants it whole: a stream can
be resumed from its offset when the engine is lost or batch has to yield.
"""

import asyncio
import contextlib
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
from caperridge.targets.silence import SilenceWatch

REFUSAL_S = 5.0
# Reads have their own watch: see targets/silence.py.
CONNECT_ONLY = aiohttp.ClientTimeout(total=None, sock_connect=2.0)


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
    """

    __slots__ = ("address", "attempt", "body", "path", "request", "resume_from")

    def __init__(
        self,
        request: str,
        attempt: str,
        address: str,
        path: str,
        body: dict[str, Any],
        resume_from: int = 0,
    ) -> None:
        self.request = request
        self.attempt = attempt
        self.address = address
        self.path = path
        self.body = body
        self.resume_from = resume_from


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
        self._silence = SilenceWatch()

    async def close(self) -> None:
        """Close all connections."""
        self._silence.close()
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
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": attempt.request,
            "X-Attempt-Id": attempt.attempt,
        }
        try:
            async with asyncio.timeout(self._first_event_s):
                response = await self._open().post(
                    f"http://{attempt.address}{attempt.path}",
                    data=orjson.dumps(body),
                    headers=headers,
                    timeout=CONNECT_ONLY,
                    allow_redirects=False,
                )
            async with response:
                if response.status != 200:
                    async with asyncio.timeout(REFUSAL_S):
                        refused = await _refused(response)
                    raise AttemptFailed(refused)
                async for events in self._events(response, attempt):
                    yield events
        except aiohttp.ClientConnectorError as error:
            raise AttemptFailed(NotSent(f"no connection: {error.strerror}")) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise AttemptFailed(NotSent("no connection in time")) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise AttemptFailed(Lost(type(error).__name__)) from error
        except WrongEventError as error:
            raise AttemptFailed(WrongAnswer(str(error))) from error

    async def _events(
        self, response: aiohttp.ClientResponse, attempt: Attempt
    ) -> AsyncIterator[list[bytes]]:
        checker = EventChecker(attempt.request, attempt.attempt, attempt.resume_from)
        content, clock = response.content, asyncio.get_running_loop().time
        silent = TimeoutError("nothing came for too long")
        watched = self._silence.add(
            self._first_event_s, lambda: content.set_exception(silent)
        )
        try:
            # A method of the reader costs less for each read than its iterator.
            while data := await content.readany():
                watched.heard_at = clock()
                events = checker.feed(data)
                if events:
                    watched.limit_s = self._between_events_s
                    yield events
        finally:
            self._silence.remove(watched)
        if not checker.whole:
            raise AttemptFailed(Lost("the stream ended without its closing mark"))

    async def cancel(self, address: str, attempt: str) -> None:
        """Ask the engine to drop the attempt; best effort."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self._open().post(
                f"http://{address}/control/cancel",
                json={"attempt": attempt},
                timeout=aiohttp.ClientTimeout(total=2.0),
            ):
                pass


async def _refused(response: aiohttp.ClientResponse) -> TargetRefused:
    reason, run, leaving = f"status {response.status}", "", False
    try:
        error = orjson.loads(await response.read())["error"]
        reason, run = str(error.get("message", reason)), str(error.get("run", ""))
        leaving = error.get("code") == "leaving"
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
        pass
    return TargetRefused(response.status, reason, run or "unknown", leaving)
