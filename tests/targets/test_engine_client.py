"""An engine that falls silent is given up on, before and after its first event."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from aiohttp import web

from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.outcomes import Lost
from conftest import Listen
from loop_clock import LoopClock

EVENT = b'data: {"id":"r","attempt":"a","offset":0}\n\n'
STEADY_EVENTS = 6
STEADY_PAUSE_S = 0.25
FIRST_S = 1.2
DEADLINE_S = 10.0
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
    # After the first event the pause between events counts alone.
    client = EngineClient(first_event_s=60.0 if written else 0.2, between_events_s=0.1)
    attempt = Attempt("r", "a", await listen(app), "/v1/completions", {})
    seen: list[bytes] = []
    with pytest.raises(AttemptFailed) as failed:
        async with asyncio.timeout(20):
            async for events in client.stream(attempt):
                seen += events
    assert isinstance(failed.value.error, Lost)
    assert seen == ([EVENT] if written else [])
    await client.close()


async def test_a_slow_engine_that_goes_on_is_not_lost(listen: Listen) -> None:
    async def complete(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for offset in range(STEADY_EVENTS):
            event = EVENT.replace(b'"offset":0', b'"offset":%d' % offset)
            await response.write(event)
            await asyncio.sleep(STEADY_PAUSE_S)
        await response.write(b"data: [DONE]\n\n")
        return response

    app = web.Application()
    app.router.add_post("/v1/completions", complete)
    client = EngineClient(between_events_s=STEADY_PAUSE_S * 3)
    attempt = Attempt("r", "a", await listen(app), "/v1/completions", {})
    count = 0
    async for events in client.stream(attempt):
        count += len(events)
    assert count == STEADY_EVENTS
    await client.close()


class Held:
    """An engine that answers once it may."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def complete(self, request: web.Request) -> web.StreamResponse:
        self.asked.set()
        await self.may_answer.wait()
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(EVENT + b"data: [DONE]\n\n")
        return response


class HeldCall:
    """A call of an engine that answers once it may, on a clock that stands still."""

    def __init__(self, address: str, engine: Held, max_wait_s: float) -> None:
        self.engine = engine
        self.clock = LoopClock(still=True)
        self._client = EngineClient()
        self._attempt = Attempt(
            "r", "a", address, "/v1/completions", {}, 0, FIRST_S, FIRST_S, max_wait_s
        )

    async def _read(self) -> list[bytes]:
        return [
            e async for events in self._client.stream(self._attempt) for e in events
        ]

    async def begin(self) -> "asyncio.Task[list[bytes]]":
        """Return the call, which has reached the engine."""
        task = asyncio.create_task(self._read())
        await self.engine.asked.wait()
        return task

    async def close(self) -> None:
        self.engine.may_answer.set()
        await self._client.close()


@pytest.fixture
async def held_call(
    listen: Listen,
) -> AsyncIterator[Callable[[float], Awaitable[HeldCall]]]:
    calls: list[HeldCall] = []

    async def call(max_wait_s: float) -> HeldCall:
        engine = Held()
        app = web.Application()
        app.router.add_post("/v1/completions", engine.complete)
        calls.append(HeldCall(await listen(app), engine, max_wait_s))
        return calls[-1]

    yield call
    for each in calls:
        await each.close()


async def test_a_pause_of_the_own_process_is_no_silence_of_the_engine(
    held_call: Callable[[float], Awaitable[HeldCall]],
) -> None:
    call = await held_call(DEADLINE_S)
    task = await call.begin()
    for _ in range(3):
        await call.clock.pause(FIRST_S / 2)
        await call.clock.ahead(0.2)
    assert not task.done()
    call.engine.may_answer.set()
    assert await task == [EVENT]


async def test_an_engine_silent_between_pauses_is_lost_all_the_same(
    held_call: Callable[[float], Awaitable[HeldCall]],
) -> None:
    call = await held_call(DEADLINE_S)
    task = await call.begin()
    await call.clock.pause(FIRST_S)
    await call.clock.ahead(FIRST_S + 0.1)
    with pytest.raises(AttemptFailed) as failed:
        await task
    assert isinstance(failed.value.error, Lost)


async def test_no_pause_puts_the_end_off_beyond_what_the_caller_waits(
    held_call: Callable[[float], Awaitable[HeldCall]],
) -> None:
    call = await held_call(FIRST_S * 1.5)
    task = await call.begin()
    await call.clock.pause(FIRST_S)
    await call.clock.ahead(FIRST_S * 0.5 + 0.1)
    with pytest.raises(AttemptFailed) as failed:
        await task
    assert isinstance(failed.value.error, Lost)
