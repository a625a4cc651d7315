"""An engine that falls silent is given up on, before and after its first event."""

import asyncio

import pytest
from aiohttp import web

from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.outcomes import Lost
from conftest import Listen

EVENT = b'data: {"id":"r","attempt":"a","offset":0}\n\n'
STEADY_EVENTS = 6
STEADY_PAUSE_S = 0.25
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
