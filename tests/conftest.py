"""Fixtures shared by all tests: stand-ins on loopback and an instance before them."""

import asyncio
import contextlib
import itertools
import signal
import ssl
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any

import aiohttp
import pytest
from aiohttp import web

import known_red
from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.settings import Settings
from caperridge.standins import engine as engine_standin
from caperridge.standins import plain as plain_standin
from caperridge.standins import platform as platform_standin
from caperridge.standins.engine import Engine
from caperridge.standins.engine_model import EngineCosts
from caperridge.standins.loopback import LoopbackServers
from caperridge.standins.plain import PlainService
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember

OPERATOR = "operator-token"
CALLER = "caller-token"
DECLARATION = f"""
[services.chat]
kind = "engine"
model = "north"
version = "1"
[services.billing]
kind = "plain"
repeatable = false
[services.lookup]
kind = "plain"
[models.north]
gb_by_version = {{ "1" = 10.0 }}
[callers.heat]
token_sha256 = "{token_digest(CALLER)}"
[operators.ana]
token_sha256 = "{token_digest(OPERATOR)}"
"""

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
Listen = Callable[..., Awaitable[str]]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests, and only these, to fail.

    One that passes is an error unless its line says that it fails now and then only.
    """
    reds_by_test = known_red.read()
    for item in items:
        red = reds_by_test.get(item.nodeid)
        if red is None:
            continue
        reason = f"{red.cause}; {red.issue}"
        item.add_marker(pytest.mark.xfail(reason=reason, strict=red.always))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Print the tests that are known to fail."""
    for red in known_red.read().values():
        terminalreporter.write_line(f"known red: {red.test}: {red.cause}; {red.issue}")


@pytest.fixture(scope="session", autouse=True)
def interrupts() -> Iterator[None]:
    """Take Ctrl-C as at a terminal; a shell's background jobs start with it ignored."""
    before = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, before)


@pytest.fixture
async def listen() -> AsyncIterator[Listen]:
    """Serve applications on ports from the system; returns ``host:port``."""
    servers = LoopbackServers()
    names = itertools.count()

    async def serve(app: web.Application, tls: ssl.SSLContext | None = None) -> str:
        return await servers.serve(str(next(names)), app, tls)

    yield serve
    await servers.stop_all()


@pytest.fixture
def memory() -> MemoryPlatform:
    """A platform in memory."""
    return MemoryPlatform(time.monotonic)


class Fleet:
    """Stand-ins and one instance, with the configuration confirmed."""

    def __init__(self, memory: MemoryPlatform) -> None:
        self.memory = memory
        self.engines_by_id: dict[str, Engine] = {}
        self.plain_by_id: dict[str, PlainService] = {}
        self.members: list[ListedMember] = []
        self.instance: Instance
        self.http: aiohttp.ClientSession

    @property
    def callers_url(self) -> str:
        return f"http://{self.instance.addresses_by_listener['callers']}"

    @property
    def operators_url(self) -> str:
        return f"http://{self.instance.addresses_by_listener['operators']}"

    async def post(self, path: str, body: Any, **headers: str) -> tuple[int, Any]:
        headers["Authorization"] = f"Bearer {CALLER}"
        url = self.callers_url + path
        async with self.http.post(url, json=body, headers=headers) as response:
            return response.status, await response.json()

    async def get(self, path: str) -> tuple[int, Any]:
        headers = {"Authorization": f"Bearer {CALLER}"}
        async with self.http.get(self.callers_url + path, headers=headers) as response:
            return response.status, await response.json()

    async def operate(self, path: str, body: Any = None) -> tuple[int, Any]:
        headers = {"Authorization": f"Bearer {OPERATOR}"}
        method = "GET" if body is None else "POST"
        async with self.http.request(
            method, self.operators_url + path, json=body, headers=headers
        ) as response:
            return response.status, await response.json()

    async def confirm(self, declaration: str) -> int:
        files = {"files": {"all.toml": declaration}}
        _, answer = await self.operate("/intents", files)
        body = files | {"digest": answer["plan"]["digest"]}
        _, answer = await self.operate("/intents/confirm", body)
        return answer["version"]


async def until(holds: Callable[[], Any], seconds: float = 10.0) -> None:
    """Wait until ``holds()`` is true; fail after ``seconds``."""
    async with asyncio.timeout(seconds):
        while not holds():
            await asyncio.sleep(0.01)


@pytest.fixture
async def fleet(memory: MemoryPlatform, listen: Listen) -> AsyncIterator[Fleet]:
    """Two engines and two plain services before one instance, ready to serve."""
    fleet = Fleet(memory)
    for name in ("runner-1", "runner-2"):
        engine = Engine(EngineCosts(step_s=0.001, sequence_s=0.0001))
        fleet.engines_by_id[name] = engine
        address = await listen(engine_standin.make_app(engine))
        fleet.members.append(
            ListedMember(name, "target", address, "oviedo", service="chat")
        )
    for service in ("billing", "lookup"):
        plain = PlainService()
        fleet.plain_by_id[service] = plain
        address = await listen(plain_standin.make_app(plain))
        fleet.members.append(
            ListedMember(service, "target", address, "oviedo", service=service)
        )
    memory.set_members(fleet.members)
    platform_address = await listen(platform_standin.make_app(memory))
    fleet.instance = Instance(
        Settings(
            "entry-1",
            "oviedo",
            f"http://{platform_address}",
            first_operator_sha256=token_digest(OPERATOR),
            lease_s=5.0,
            balancer_s=0.01,
            drain_s=5.0,
        )
    )
    await fleet.instance.start()
    async with aiohttp.ClientSession() as fleet.http:
        await until(lambda: not fleet.instance.not_ready_because())
        await fleet.confirm(DECLARATION)
        await until(lambda: fleet.instance.configuration.current.version == 1)
        yield fleet
    await fleet.instance.stop()


class RawServer:
    """Runs one script for each connection and counts what arrived."""

    def __init__(self) -> None:
        self.address = ""
        self.connections = 0
        self.heads: list[bytes] = []
        self._script: Script

    async def serve(self, script: Script) -> asyncio.Server:
        self._script = script
        server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return server

    async def head(self, reader: asyncio.StreamReader) -> bytes:
        """Read and count the head of one request."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        return head

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await self._script(reader, writer)
        finally:
            writer.close()


@pytest.fixture
async def raw() -> AsyncIterator[Callable[[Script], Awaitable[RawServer]]]:
    """Return a function that serves a script and returns its counting server."""
    servers: list[asyncio.Server] = []

    async def start(script: Script) -> RawServer:
        server = RawServer()
        servers.append(await server.serve(script))
        return server

    yield start
    for server in servers:
        server.close()
