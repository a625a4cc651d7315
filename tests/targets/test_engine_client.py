"""Timeouts of an engine that stops sending, before and after its first event."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from aiohttp import web

from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.outcomes import Lost
from conftest import Listen
from loop_clock import LoopClock

EVENT = b'data: {"id":"r","attempt":"a","offset":0}\n\n'
EVENT_COUNT = 6
EVENT_INTERVAL_S = 0.25
FIRST_EVENT_TIMEOUT_S = 1.2
MAX_WAIT_S = 10.0
WRITTEN_BY_CASE = {"no answer": None, "a head alone": b"", "one event": EVENT}


@pytest.mark.parametrize("written", WRITTEN_BY_CASE.values(), ids=WRITTEN_BY_CASE)
async def test_a_silent_engine_is_lost(listen: Listen, written: bytes | None) -> None:
    async def complete(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        if written is not None:
            await response.prepare(request)
            await response.write(written)
        await asyncio.sleep(60)
        return response

    app = web.Application()
    app.router.add_post("/v1/completions", complete)
    # After the first event only the timeout between events applies.
    client = EngineClient(first_event_s=60.0 if written else 0.2, between_events_s=0.1)
    attempt = Attempt("r", "a", await listen(app), "/v1/completions", {})
    received: list[bytes] = []
    with pytest.raises(AttemptFailed) as failed:
        async with asyncio.timeout(20):
            async for events in client.stream(attempt):
                received += events
    assert isinstance(failed.value.error, Lost)
    assert received == ([EVENT] if written else [])
    await client.close()


async def test_a_slow_engine_that_goes_on_is_not_lost(listen: Listen) -> None:
    async def complete(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for offset in range(EVENT_COUNT):
            event = EVENT.replace(b'"offset":0', b'"offset":%d' % offset)
            await response.write(event)
            await asyncio.sleep(EVENT_INTERVAL_S)
        await response.write(b"data: [DONE]\n\n")
        return response

    app = web.Application()
    app.router.add_post("/v1/completions", complete)
    client = EngineClient(between_events_s=EVENT_INTERVAL_S * 3)
    attempt = Attempt("r", "a", await listen(app), "/v1/completions", {})
    count = 0
    async for events in client.stream(attempt):
        count += len(events)
    assert count == EVENT_COUNT
    await client.close()


class BlockedEngine:
    """An engine that answers only after ``may_answer`` is set."""

    def __init__(self) -> None:
        self.received_call = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def complete(self, request: web.Request) -> web.StreamResponse:
        self.received_call.set()
        await self.may_answer.wait()
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(EVENT + b"data: [DONE]\n\n")
        return response


class BlockedCall:
    """A call to a :class:`BlockedEngine`, on a stopped clock."""

    def __init__(self, address: str, engine: BlockedEngine, max_wait_s: float) -> None:
        self.engine = engine
        self.clock = LoopClock(still=True)
        self._client = EngineClient()
        self._attempt = Attempt(
            "r",
            "a",
            address,
            "/v1/completions",
            {},
            0,
            FIRST_EVENT_TIMEOUT_S,
            FIRST_EVENT_TIMEOUT_S,
            max_wait_s,
        )

    async def _read(self) -> list[bytes]:
        return [
            e async for events in self._client.stream(self._attempt) for e in events
        ]

    async def start(self) -> "asyncio.Task[list[bytes]]":
        """Start the call and return it after the engine has received it."""
        task = asyncio.create_task(self._read())
        await self.engine.received_call.wait()
        return task

    async def close(self) -> None:
        self.engine.may_answer.set()
        await self._client.close()


@pytest.fixture
async def blocked_call(
    listen: Listen,
) -> AsyncIterator[Callable[[float], Awaitable[BlockedCall]]]:
    calls: list[BlockedCall] = []

    async def call(max_wait_s: float) -> BlockedCall:
        engine = BlockedEngine()
        app = web.Application()
        app.router.add_post("/v1/completions", engine.complete)
        calls.append(BlockedCall(await listen(app), engine, max_wait_s))
        return calls[-1]

    yield call
    for each in calls:
        await each.close()


async def test_a_pause_of_the_own_process_is_no_silence_of_the_engine(
    blocked_call: Callable[[float], Awaitable[BlockedCall]],
) -> None:
    call = await blocked_call(MAX_WAIT_S)
    task = await call.start()
    for _ in range(3):
        await call.clock.pause(FIRST_EVENT_TIMEOUT_S / 2)
        await call.clock.ahead(0.2)
    assert not task.done()
    call.engine.may_answer.set()
    assert await task == [EVENT]


async def test_an_engine_silent_between_pauses_is_lost_all_the_same(
    blocked_call: Callable[[float], Awaitable[BlockedCall]],
) -> None:
    call = await blocked_call(MAX_WAIT_S)
    task = await call.start()
    await call.clock.pause(FIRST_EVENT_TIMEOUT_S)
    await call.clock.ahead(FIRST_EVENT_TIMEOUT_S + 0.1)
    with pytest.raises(AttemptFailed) as failed:
        await task
    assert isinstance(failed.value.error, Lost)


async def test_no_pause_puts_the_end_off_beyond_what_the_caller_waits(
    blocked_call: Callable[[float], Awaitable[BlockedCall]],
) -> None:
    call = await blocked_call(FIRST_EVENT_TIMEOUT_S * 1.5)
    task = await call.start()
    await call.clock.pause(FIRST_EVENT_TIMEOUT_S)
    await call.clock.ahead(FIRST_EVENT_TIMEOUT_S * 0.5 + 0.1)
    with pytest.raises(AttemptFailed) as failed:
        await task
    assert isinstance(failed.value.error, Lost)
