"""Answers of targets, limited in bytes and in time without progress.

Progress is the head, an event, or a part of a body that is no event stream; any other
byte is none.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
from multidict import CIMultiDict

from caperridge.gateway.events import Event, EventSplitter
from caperridge.gateway.open_runs import OpenRuns
from caperridge.targets.reading import TOO_MUCH_READ, BoundedSocket, UnsizedBodies
from caperridge.targets.silence import IdleTimeouts, always
from caperridge.targets.unframed import is_unframed, protocol_of, was_reset

# An event holds a few tokens.
MAX_EVENT_BYTES = 64 * 2**10
MAX_BODY_BYTES = 16 * 2**20
# A body that receives less within its time limit is as good as silent.
MIN_BODY_PROGRESS_BYTES = 4 * 2**10
TARGET_RESTARTED = "its target started again"


async def _no_wait(size: int) -> None:
    """Wait for no memory."""


class BrokenAnswerError(Exception):
    """The answer ended before it was complete."""


class SilentAnswerError(BrokenAnswerError):
    """There was no progress for too long; the connection has been closed."""


class OverlongAnswerError(BrokenAnswerError):
    """The target sent more than an answer may have, or too much between events."""


class Answer:
    """An answer whose head was received; its body is read as a whole or as events.

    Attributes:
        status: HTTP status.
        headers: as received.

    Args:
        response: of the HTTP library.
        watch: closes the connection when the target makes no progress.
        socket: of the connection; None if the answer was received completely.
        target: id of the target that sends it.
        runs: holds the answer until it is closed.
        has_crashed: returns whether the target has crashed by now.
    """

    __slots__ = (
        "_failure",
        "_has_crashed",
        "_open_runs",
        "_protocol",
        "_response",
        "_socket",
        "_splitter",
        "_target",
        "_watch",
        "headers",
        "status",
    )

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        watch: IdleTimeouts,
        socket: BoundedSocket | None,
        target: str,
        runs: OpenRuns,
        has_crashed: Callable[[], Awaitable[bool]],
    ) -> None:
        self._response = response
        self._has_crashed = has_crashed
        self._watch = watch
        self._socket = socket
        self._target = target
        self._open_runs = runs
        self._failure: BrokenAnswerError | None = None
        runs.add(target, self._on_restart, begun=True)
        self._splitter = EventSplitter()
        self._protocol = protocol_of(response)
        self.status = response.status
        self.headers: CIMultiDict[str] = CIMultiDict(response.headers)

    def _record_progress(self) -> None:
        if self._socket is not None:
            self._socket.record_progress()

    async def body(
        self,
        bodies: UnsizedBodies,
        timeout_s: float = math.inf,
        may_end: Callable[[], bool] = always,
        reserve: Callable[[int], Awaitable[None]] = _no_wait,
    ) -> bytes:
        """Return the complete body.

        Args:
            bodies: that are read at the same time.
            timeout_s: longest time without progress, in seconds.
            may_end: returns whether a longer time may end it.
            reserve: waits until there is memory for so many more bytes. The target is
                not read meanwhile, so the wait is no silence of its own.

        Raises:
            BrokenAnswerError: the connection ended before the body did.
            SilentAnswerError: there was no progress for too long.
            OverlongAnswerError: it has too many bytes.
        """
        length = self._response.content_length
        if length is not None and length > MAX_BODY_BYTES:
            raise OverlongAnswerError(f"a body of {length} bytes")
        reserved = length or 0
        if reserved:
            await reserve(reserved)
        watched = self._watch.add(timeout_s, self._on_silence, may_end)
        loop = asyncio.get_running_loop()
        received = bytearray()
        counted = 0
        unsized = length is None
        try:
            with bodies.begin() as body:
                async for chunk in self._chunks():
                    received += chunk
                    size = len(received)
                    within = not unsized or bodies.may_hold(body, size)
                    if size > MAX_BODY_BYTES or not within:
                        raise OverlongAnswerError(f"a body of over {size} bytes")
                    if size > reserved:
                        began = loop.time()
                        watched.timeout_s = math.inf
                        await reserve(size - reserved)
                        reserved = size
                        watched.timeout_s = timeout_s
                        watched.last_received_at += loop.time() - began
                    if self._socket is not None:
                        self._socket.record_payload(len(chunk))
                    if size - counted >= MIN_BODY_PROGRESS_BYTES:
                        counted = size
                        watched.last_received_at = loop.time()
        finally:
            self._watch.remove(watched)
        return bytes(received)

    async def _chunks(self, coalesce_s: float = 0.0) -> AsyncIterator[bytes]:
        """Yield the body as it is received."""
        try:
            while chunk := await self._response.content.readany():
                yield chunk
                if coalesce_s:
                    await self._coalesce(coalesce_s)
        except (aiohttp.ClientError, OSError, RuntimeError) as error:
            # The HTTP library raises a RuntimeError if the end of a chunk wakes its
            # reader and the connection is closed before the reader runs.
            raise self._failure or self._broken(error) from error
        if self._failure is not None:
            raise self._failure
        if not self.is_unframed:
            return
        if was_reset(self._protocol):
            if self._read_too_much:
                raise OverlongAnswerError(TOO_MUCH_READ)
            raise BrokenAnswerError("an answer without a length was reset")
        # The system ends the connections of a crashed process like complete answers.
        if await self._has_crashed():
            raise BrokenAnswerError("its target crashed")

    def _broken(self, error: Exception) -> BrokenAnswerError:
        if self._read_too_much:
            return OverlongAnswerError(TOO_MUCH_READ)
        return BrokenAnswerError(type(error).__name__)

    @property
    def _read_too_much(self) -> bool:
        return self._socket is not None and self._socket.exceeded

    async def events(
        self,
        first_timeout_s: float,
        next_timeout_s: float,
        coalesce_s: float = 0.0,
        may_end: Callable[[], bool] = always,
    ) -> AsyncIterator[list[Event]]:
        """Yield the events of the body, those of one chunk together.

        Args:
            first_timeout_s: longest time until the first event, in seconds.
            next_timeout_s: longest time between two events, in seconds.
            coalesce_s: data received within this time of a chunk, or before the end of
                the body, forms the next chunk. It is lost if the connection breaks
                in the meantime.
            may_end: returns whether a longer time may end it.

        Raises:
            BrokenAnswerError: the body is incomplete or ends within an event.
            SilentAnswerError: there was no event for too long.
            OverlongAnswerError: an event has too many bytes.
        """
        watched = self._watch.add(first_timeout_s, self._on_silence, may_end)
        loop = asyncio.get_running_loop()
        splitter = self._splitter
        began = False
        try:
            async for chunk in self._chunks(coalesce_s):
                events = splitter.feed(chunk)
                if events:
                    began = True
                    self._record_progress()
                    watched.last_received_at = loop.time()
                    watched.timeout_s = next_timeout_s
                yield events
                if splitter.pending_bytes > MAX_EVENT_BYTES:
                    text = f"{splitter.pending_bytes} bytes without an event"
                    raise OverlongAnswerError(text)
        finally:
            self._watch.remove(watched)
        if splitter.rest:
            raise BrokenAnswerError("it ended within an event")
        if splitter.trailer and (began or not self.is_unframed):
            yield [Event(-1, splitter.trailer)]

    async def _coalesce(self, coalesce_s: float) -> None:
        """Wait for more of the body; return early at its end."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(coalesce_s):
                await self._response.content.wait_eof()

    def buffered_events(self) -> list[Event]:
        """Return complete events that were received after :meth:`events` was left."""
        content = self._response.content
        if content.exception() is not None:
            return []
        return self._splitter.feed(content.read_nowait())

    @property
    def at_end(self) -> bool:
        """Whether the complete body was received."""
        return self._response.content.is_eof()

    @property
    def is_unframed(self) -> bool:
        """Whether it has neither a length nor chunks and ends with its connection."""
        return is_unframed(self.headers)

    def close(self) -> None:
        """Close the connection; the target drops the request if it still runs."""
        self._open_runs.remove(self._target, self._on_restart, begun=True)
        self._response.close()

    def _on_silence(self) -> None:
        self._failure = SilentAnswerError("it made no progress")
        self._response.close()

    def _on_restart(self) -> None:
        self._failure = BrokenAnswerError(TARGET_RESTARTED)
        self._response.close()
