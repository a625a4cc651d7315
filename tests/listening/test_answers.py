"""Answers that are read for callers, and what stays of them on idle connections."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web
from prometheus_client import CollectorRegistry

from caperridge.connections import Connections
from caperridge.door import SocketListener
from caperridge.listening import answers
from caperridge.listening.accepting import http_protocols
from caperridge.listening.answers import (
    MAX_FREE_READS,
    PIECE_BYTES,
    AnswerReads,
    PiecewiseResponse,
)
from caperridge.listening.guard import ConnectionGuard, Listening
from caperridge.listening.limits import ConnectionSettings
from caperridge.machine import Machine
from conftest import until

ANSWER_BYTES = 8 * PIECE_BYTES + 1
MACHINE = Machine(32 * 2**20, 1024)
# So many fit into the memory of large requests beside the free ones.
READ_BYTES = 2**20
CALLERS = 40


class Server:
    """Answers with as many bytes as it is asked for.

    Attributes:
        guard: of its connections.
        responses: that it made.
        reading: answers that are being read now.
        most_reading: the largest number of them.
    """

    def __init__(self) -> None:
        settings = ConnectionSettings()
        self.guard = ConnectionGuard(MACHINE, settings, CollectorRegistry())
        self.responses: list[PiecewiseResponse] = []
        self.reading = 0
        self.most_reading = 0
        self._reads = AnswerReads(READ_BYTES)
        self._listening = Listening("callers", settings.limits)

    async def start(self) -> None:
        application = web.Application()
        application.router.add_get("/whole", self._whole)
        application.router.add_get("/read", self._read)
        Connections(application)
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        self._door = await SocketListener.open(
            http_protocols(self._runner.server, self.guard, self._listening),
            "127.0.0.1",
            0,
        )
        host, port = self._door.address
        self.url = f"http://{host}:{port}"

    async def stop(self) -> None:
        await self._door.close()
        await self._runner.cleanup()
        self.guard.close()

    async def _whole(self, _: web.Request) -> web.Response:
        self.responses.append(PiecewiseResponse(body=bytes(ANSWER_BYTES)))
        return self.responses[-1]

    async def _read(self, request: web.Request) -> web.Response:
        async with self._reads.reading(request) as admitted:
            if not admitted:
                return web.Response(status=503)
            self.reading += 1
            self.most_reading = max(self.most_reading, self.reading)
            await asyncio.sleep(0.05)
            self.reading -= 1
        return web.Response()


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    made = Server()
    await made.start()
    yield made
    await made.stop()


async def test_an_answer_in_pieces_is_whole_and_then_freed(server: Server) -> None:
    """Guards against idle connections that keep their last answer."""
    async with aiohttp.ClientSession() as session:
        for _ in range(2):
            async with session.get(server.url + "/whole") as response:
                assert response.headers["Content-Length"] == str(ANSWER_BYTES)
                assert await response.read() == bytes(ANSWER_BYTES)
        await until(lambda: [one.body for one in server.responses] == [None, None])
        assert server.guard.state()["open"] == 1


async def test_a_head_of_an_answer_has_its_length_and_no_body(server: Server) -> None:
    async with (
        aiohttp.ClientSession() as session,
        session.head(server.url + "/whole") as response,
    ):
        assert response.headers["Content-Length"] == str(ANSWER_BYTES)
        assert await response.read() == b""


async def test_answers_beyond_a_few_are_read_within_the_memory(
    server: Server,
) -> None:
    """Guards against callers that make the instance read large answers all at once."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def ask() -> int:
            async with session.get(server.url + "/read") as response:
                return response.status

        statuses = await asyncio.gather(*(ask() for _ in range(CALLERS)))
    assert set(statuses) == {200}
    fitting = server.guard.memory.capacity_bytes // READ_BYTES
    assert MAX_FREE_READS < server.most_reading <= MAX_FREE_READS + fitting


async def test_who_finds_no_memory_in_time_is_told(
    server: Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(answers, "MAX_WAIT_S", 0.0)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def ask() -> int:
            async with session.get(server.url + "/read") as response:
                return response.status

        statuses = await asyncio.gather(*(ask() for _ in range(CALLERS)))
    assert set(statuses) == {200, 503}
    assert server.reading == 0


async def test_callers_that_leave_while_answers_are_read_leave_nothing(
    server: Server,
) -> None:
    """Guards against an account that fills with clients that are gone."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        asking = [
            asyncio.ensure_future(session.get(server.url + "/read"))
            for _ in range(CALLERS)
        ]
        await until(lambda: server.reading > MAX_FREE_READS)
        for one in asking:
            one.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
    await until(lambda: server.guard.state()["open"] == 0)
    await asyncio.sleep(0.2)
    assert server.guard.memory.held_bytes == 0
