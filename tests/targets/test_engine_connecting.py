"""Connections to an engine that take too long, and pauses of the own process."""

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
FIRST_S = 1.2
DEADLINE_S = 10.0


class Connecting:
    """The loop's way to connect, which leaves the first ones waiting for ever.

    Args:
        held: so many.
        began: called when one of them begins to wait.
    """

    def __init__(self, held: int, began: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self.count = 0
        self._held = held
        self._began = began
        self._connect = loop.sock_connect
        loop.sock_connect = self._sock_connect

    async def _sock_connect(self, sock: socket.socket, address: Any) -> None:
        self.count += 1
        if self.count > self._held:
            await self._connect(sock, address)
            return
        self._began()
        await asyncio.Event().wait()


async def read(client: EngineClient, address: str) -> list[bytes]:
    attempt = Attempt(
        "r", "a", address, "/v1/completions", {}, 0, FIRST_S, FIRST_S, DEADLINE_S
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
    began = asyncio.Event()
    connecting = Connecting(1, began.set)
    client = EngineClient()
    task = asyncio.create_task(read(client, engine))
    await began.wait()
    await clock.pause(FIRST_S)
    assert await task == [EVENT]
    assert connecting.count == 2
    await client.close()


async def test_a_connection_that_does_not_come_is_tried_once(engine: str) -> None:
    clock = LoopClock(still=True)
    began = asyncio.Event()
    connecting = Connecting(9, began.set)
    client = EngineClient()
    task = asyncio.create_task(read(client, engine))
    await began.wait()
    await clock.ahead(FIRST_S)
    with pytest.raises(AttemptFailed) as failed:
        await task
    assert isinstance(failed.value.error, NotSent)
    assert connecting.count == 1
    await client.close()
