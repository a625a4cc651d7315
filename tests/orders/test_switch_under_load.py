"""Tests that a switch of the version under load refuses no request."""

import asyncio
from typing import Any

from conftest import DECLARATION, Fleet, until

CHAT = {
    "model": "chat",
    "max_tokens": 8,
    "messages": [{"role": "user", "content": "alarm?"}],
}
SWITCHED = DECLARATION.replace('version = "1"', 'version = "2"').replace(
    '"1" = 10.0', '"1" = 10.0, "2" = 20.0'
)


async def send_until(fleet: Fleet, stop: asyncio.Event) -> list[tuple[int, Any]]:
    """Send requests one by one; return the statuses, with the answer if not 200."""
    answers: list[tuple[int, Any]] = []
    while not stop.is_set():
        status, answer = await fleet.post("/v1/chat/completions", CHAT)
        answers.append((status, None if status == 200 else answer))
        await asyncio.sleep(0.005)
    return answers


async def test_a_switch_refuses_no_request(fleet: Fleet) -> None:
    engines = list(fleet.engines_by_id.values())
    await until(lambda: all(engine.loader.loaded for engine in engines))
    stop = asyncio.Event()
    callers = [asyncio.create_task(send_until(fleet, stop)) for _ in range(6)]
    await fleet.confirm(SWITCHED)
    await until(
        lambda: all(engine.loader.loaded["version"] == "2" for engine in engines), 60.0
    )
    stop.set()
    answers = [answer for caller in callers for answer in await caller]
    assert answers
    assert [refused for refused in answers if refused != (200, None)] == []
    assert sum(engine.cut_by_load for engine in engines) == 0
    assert fleet.instance.online.book.has_usable("chat")
