"""Connect timeouts of an engine, with and without a pause of this process."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import pytest
from aiohttp import web

from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.outcomes import NotSent
from conftest import Listen
from loop_clock import LoopClock

EVENT = b'data: {"id":"r","attempt":"a","offset":0}\n\n'
FIRST_EVENT_TIMEOUT_S = 1.2
MAX_WAIT_S = 10.0


class BlockingConnector:
    """Replaces the loop's ``sock_connect``; the first connections never complete.

    Args:
        blocked_count: number of connections that never complete.
        on_blocked: called when one of them starts to wait.
    """

    def __init__(self, blocked_count: int, on_blocked: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self.count = 0
        self._blocked_count = blocked_count
        self._on_blocked = on_blocked
        self._connect = loop.sock_connect
        loop.sock_connect = self._sock_connect

    async def _sock_connect(self, sock: socket.socket, address: Any) -> None:
        self.count += 1
        if self.count > self._blocked_count:
            await self._connect(sock, address)
            return
        self._on_blocked()
        await asyncio.Event().wait()


async def read(client: EngineClient, address: str) -> list[bytes]:
    attempt = Attempt(
        "r",
        "a",
        address,
        "/v1/completions",
        {},
        0,
        FIRST_EVENT_TIMEOUT_S,
        FIRST_EVENT_TIMEOUT_S,
        MAX_WAIT_S,
    )
    return [event async for events in client.stream(attempt) for event in events]


@pytest.fixture
async def engine(listen: Listen) -> str:
    async def complete(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(EVENT + b"data: [DONE]\n\n")
        return response

    app = web.Application()
    app.router.add_post("/v1/completions", complete)
    return await listen(app)


async def test_a_connection_that_a_pause_cut_short_is_tried_again(engine: str) -> None:
    clock = LoopClock(still=True)
    blocked = asyncio.Event()
    connector = BlockingConnector(1, blocked.set)
    client = EngineClient()
    task = asyncio.create_task(read(client, engine))
    await blocked.wait()
    await clock.pause(FIRST_EVENT_TIMEOUT_S)
    assert await task == [EVENT]
    assert connector.count == 2
    await client.close()


async def test_a_connection_that_does_not_come_is_tried_once(engine: str) -> None:
    clock = LoopClock(still=True)
    blocked = asyncio.Event()
    connector = BlockingConnector(9, blocked.set)
    client = EngineClient()
    task = asyncio.create_task(read(client, engine))
    await blocked.wait()
    await clock.ahead(FIRST_EVENT_TIMEOUT_S)
    with pytest.raises(AttemptFailed) as failed:
        await task
    assert isinstance(failed.value.error, NotSent)
    assert connector.count == 1
    await client.close()
