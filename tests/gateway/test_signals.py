"""Signals to an instance that runs as a process: reload and stop at any time."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import orjson
import pytest

from gateway.conftest import HOST, SETTINGS, World, free_address

ROOT = Path(__file__).parents[2]
REQUEST = f"POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
REQUEST += "X-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"


class Process:
    """One instance as a process, with its settings in a file."""

    def __init__(self, settings: Path, store: str) -> None:
        self._settings = settings
        self._store = store
        self.callers, self.ready, self.peers = (free_address() for _ in range(3))
        self._lines: list[dict] = []

    def configure(self, grace_s: float) -> None:
        text = SETTINGS.format(
            id="e-1",
            zone="a",
            callers=self.callers,
            ready=self.ready,
            peers=self.peers,
            seeds=[],
            store=self._store,
            grace_s=grace_s,
        )
        self._settings.write_text(text)

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "instance.py"),
            env=os.environ | {"CAPERRIDGE_CONFIG": str(self._settings)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.ensure_future(self._read())

    def send(self, number: int) -> None:
        self._process.send_signal(number)

    async def logged(self, message: str) -> dict:
        """Return the first line with ``message``, once it is there."""
        async with asyncio.timeout(10):
            while True:
                for line in self._lines:
                    if line.get("message") == message:
                        return line
                await asyncio.sleep(0.01)

    async def ended(self) -> int:
        async with asyncio.timeout(15):
            await self._reading
            return await self._process.wait()

    async def call(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST.encode())
        return reader, writer

    async def kill(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()

    async def _read(self) -> None:
        assert self._process.stdout is not None
        async for line in self._process.stdout:
            with contextlib.suppress(ValueError):
                self._lines.append(orjson.loads(line))


@pytest.fixture
async def process(world: World, tmp_path: Path) -> AsyncIterator[Process]:
    made = Process(tmp_path / "local.toml", world.store_address)
    made.configure(grace_s=30.0)
    await made.start()
    await made.logged("instance started")
    yield made
    await made.kill()


async def test_a_stop_keeps_to_the_grace_period_of_the_last_reload(
    process: Process,
) -> None:
    """Guards against a kill with open requests after a shorter grace period.

    The stop used the grace period from the start of the process, so its listener would
    stay open for about 25 s here.
    """
    process.configure(grace_s=3.0)
    process.send(signal.SIGHUP)
    await process.logged("settings reloaded")
    process.send(signal.SIGTERM)
    line = await process.logged("listener closes")
    assert line["patience_left_s"] < 3.0
    assert await process.ended() == 0


async def test_signals_during_a_stop_change_nothing(
    world: World, process: Process
) -> None:
    runner = await world.add_runner()
    runner.events = 40
    runner.pause_s = 0.05
    await process.logged("target listed")
    reader, writer = await process.call()
    await reader.readuntil(b"r1-1\n")
    process.send(signal.SIGTERM)
    await process.logged("instance stops")
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        process.send(number)
    await process.logged("settings reloaded")
    assert (await reader.read()).endswith(b"\r\n0\r\n\r\n")
    assert await process.ended() == 0
    writer.close()


async def test_a_stop_while_the_store_is_away_answers_whoever_calls(
    world: World, process: Process
) -> None:
    """A process that has not read a configuration yet stops like any other."""
    world.store.refuse = 503
    other = Process(process._settings.with_name("other.toml"), world.store_address)
    other.configure(grace_s=4.0)
    await other.start()
    try:
        await other.logged("instance started")
        other.send(signal.SIGTERM)
        await other.logged("instance stops")
        reader, writer = await other.call()
        assert b" 503 " in await reader.readline()
        assert await other.ended() == 0
        writer.close()
    finally:
        await other.kill()
