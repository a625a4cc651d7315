"""A planned stop: not ready at once, but serving until callers have moved."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

import aiohttp
import pytest

from caperridge.gateway.process import GatewayInstance
from caperridge.gateway.stopping import stop_times
from gateway.conftest import HOST, Answer, World, free_address, route, until
from loop_clock import LoopClock

ROOT = Path(__file__).parents[2]
# Not reached even if the process stalls for a while.
LONG_GRACE_S = 60.0
# Iterations of the event loop in which a request reaches its runner, and an event its
# caller.
ITERATIONS_PER_STEP = 100


@pytest.mark.parametrize("grace_s", [1.0, 2.0, 3.0, 4.0, 8.0, 30.0])
def test_no_answer_is_given_up_before_the_last_sixth_of_the_grace_period(
    grace_s: float,
) -> None:
    # Guards against streams cut in a short grace period while there was time left.
    started_at = 100.0
    times = stop_times(started_at, grace_s)
    assert started_at < times.callers_moved <= times.listener_closes
    assert (
        times.listener_closes < times.answers_until < times.end < started_at + grace_s
    )
    assert times.answers_until > started_at + grace_s * 5 / 6


async def ready_status(address: str) -> int:
    async with aiohttp.ClientSession() as session:
        try:
            async with session.get(f"http://{address}/readyz") as answer:
                return answer.status
        except aiohttp.ClientError:
            return 0


async def test_requests_that_come_while_it_leaves_are_served(world: World) -> None:
    runner = await world.add_runner()
    runner.pause_s = 0.0
    instance = await world.add_instance()
    await world.ready()
    assert await ready_status(instance.settings.ready) == 200
    clock = LoopClock(still=True, turns=ITERATIONS_PER_STEP)
    stopping = asyncio.ensure_future(instance.stop(8.0))
    await clock.ahead(0.1)
    assert await ready_status(instance.settings.ready) == 503
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    number = 0
    while (
        loop.time() - started_at < 3.2
    ):  # longer than the balancer needs to move callers
        asking = asyncio.ensure_future(world.ask(instance, "/once/1", f"r{number}"))
        await clock.ahead_until(asking.done)
        answer = await asking
        assert answer.data == runner.text(f"r{number}")
        assert answer.headers["Connection"] == "close"
        number += 1
        await clock.ahead(0.1)
    assert number >= 10
    assert not stopping.done()
    await clock.ahead_until(stopping.done)
    assert await stopping == 0


async def test_a_stream_that_runs_at_the_stop_ends_whole(world: World) -> None:
    runner = await world.add_runner()
    runner.events = 60
    runner.pause_s = 0.05
    instance = await world.add_instance()
    await world.ready()
    asking = asyncio.ensure_future(world.ask(instance, "/once/1", "r1"))
    await until(lambda: runner.busy)
    assert await instance.stop(8.0) == 0
    answer = await asking
    assert answer.whole and answer.data == runner.text("r1")


async def test_jobs_are_handed_over_while_callers_are_still_served(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Peers continue the jobs while this instance waits for its callers to move."""
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    steps: list[str] = []
    deregister = instance.registry.deregister
    stop_accepting = instance._listeners[1].stop_accepting

    async def slow_deregister() -> None:
        await asyncio.sleep(0.3)
        await deregister()
        steps.append("left")

    async def closes() -> None:
        steps.append("closed")
        await stop_accepting()

    monkeypatch.setattr(instance.registry, "deregister", slow_deregister)
    monkeypatch.setattr(instance._listeners[1], "stop_accepting", closes)
    await instance.stop(8.0)
    assert steps == ["left", "closed"]


class KeptConnection:
    """A connection that its caller keeps for several requests, unlike the world's."""

    def __init__(self, instance: GatewayInstance) -> None:
        self._host, _, self._port = instance.settings.callers.rpartition(":")

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(
            self._host, int(self._port)
        )

    def send(self, id: str) -> None:
        head = f"POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n"
        head += "X-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
        self._writer.write(head.encode())

    async def ended(self, within_s: float) -> bool:
        """Whether the instance closes the connection within ``within_s``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                return await self._reader.read(1) == b""
        return False

    async def answer(self) -> bytes:
        """Return an answer, or the part of it that was received in ten seconds."""
        try:
            async with asyncio.timeout(10):
                return await self._reader.readuntil(b"\r\n0\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            return error.partial
        except (ConnectionError, TimeoutError):
            return b""


async def listener_closed(instance: GatewayInstance) -> None:
    """Wait until the instance refuses connections."""
    while True:
        connection = KeptConnection(instance)
        try:
            await connection.open()
        except ConnectionError:
            return
        await asyncio.sleep(0.02)


async def test_a_request_on_a_kept_connection_is_not_swallowed_by_a_stop(
    world: World,
) -> None:
    """Guards against requests that are read during a stop and never answered.

    Callers kept sending, so the listener closed with a stream still running. Requests
    sent on kept connections 6.4 s after SIGTERM were read, and the connections closed
    0.35 s later without an answer. The HTTP library's ``pre_shutdown`` only marks idle
    connections as closing: they stay open, and data received on them is discarded
    until the last stream has finished.
    """
    runner = await world.add_runner()
    runner.events = 35  # ends after the listener closes and before the stop ends
    runner.pause_s = 0.05
    instance = await world.add_instance()
    await world.ready()
    kept = KeptConnection(instance)
    await kept.open()
    kept.send("before")
    assert runner.text("before")[-1].encode() in await kept.answer()
    stream = asyncio.ensure_future(world.ask(instance, "/once/1", "long"))
    await until(lambda: runner.busy)
    runner.events = 3
    stopping = asyncio.ensure_future(instance.stop(3.0))
    await listener_closed(instance)
    if not await kept.ended(within_s=0.3):
        kept.send("late")
        assert runner.text("late")[-1].encode() in await kept.answer()
    assert (await stream).whole
    assert await stopping == 0


async def test_a_request_taken_last_has_time_to_end(world: World) -> None:
    """Guards against cutting off the last requests that a stop accepted.

    A stop left 1.4 s to them if callers sent without a pause, while the slowest answer
    during rolling restarts took 1.35 s; a slower one would have been cut off.
    """
    runner = await world.add_runner(slots=64)
    runner.events = 24
    runner.pause_s = 0.1
    instance = await world.add_instance()
    await world.ready()
    clock = LoopClock(still=True, turns=ITERATIONS_PER_STEP)
    stopping = asyncio.ensure_future(instance.stop(6.0))
    asked: list[asyncio.Future[Answer]] = []
    while not stopping.done():
        asked.append(
            asyncio.ensure_future(world.ask(instance, "/once/1", f"r{len(asked)}"))
        )
        await clock.ahead(0.3)
    answers = await asyncio.gather(*asked, return_exceptions=True)
    refused = (aiohttp.ClientConnectorError, ConnectionRefusedError)
    accepted = [answer for answer in answers if not isinstance(answer, refused)]
    assert accepted
    for answer in accepted:
        assert isinstance(answer, Answer) and answer.whole
    assert await stopping == 0


async def test_a_request_taken_in_a_stop_is_answered_before_its_end(
    world: World,
) -> None:
    """Its target may be silent for longer than the instance has left."""
    runner = await world.add_runner()
    runner.silent_after = 0
    instance = await world.add_instance()
    await world.ready()
    stopping = asyncio.ensure_future(instance.stop(4.0))
    await asyncio.sleep(0.1)
    answer = await world.ask(instance, "/once/1", "r1")
    assert answer.status == 504
    assert await stopping == 0


@pytest.mark.parametrize("method", ["POST", "DELETE"])
async def test_a_job_call_taken_in_a_stop_is_answered_before_its_end(
    world: World, method: str
) -> None:
    """The store may be unreachable for longer than the instance has left."""
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    assert (await world.submit(instance, "before", ["i0"])).status == 202
    world.store.refuse = 503
    stopping = asyncio.ensure_future(instance.stop(4.0))
    await asyncio.sleep(1.0)
    if method == "POST":
        answer = await world.submit(instance, "job", ["i1"])
    else:
        answer = await world.call(instance, "DELETE", "/lots/before")
    assert answer.status in (503, 504)
    assert await stopping == 0


async def test_a_short_stop_hands_over_too(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    left = asyncio.Event()
    deregister = instance.registry.deregister

    async def slow_deregister() -> None:
        await asyncio.sleep(0.3)
        await deregister()
        left.set()

    monkeypatch.setattr(instance.registry, "deregister", slow_deregister)
    await instance.stop(3.0)
    assert left.is_set()


async def test_an_error_in_handing_over_cuts_nothing(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The deadlines are long, so that a slow process does not affect the result.
    timeout_ms = int(LONG_GRACE_S * 1000)
    world.configure(2, [route("once", resumable=False, timeoutMs=timeout_ms)])
    runner = await world.add_runner()
    runner.events = 40
    runner.pause_s = 0.1
    instance = await world.add_instance()
    await world.ready()

    async def fails() -> None:
        raise RuntimeError("broken")

    monkeypatch.setattr(instance.registry, "deregister", fails)
    ask = world.ask(instance, "/once/1", "r1", X_Deadline_Ms=str(timeout_ms))
    asking = asyncio.ensure_future(ask)
    await until(lambda: runner.busy)
    assert await instance.stop(LONG_GRACE_S) == 0
    assert (await asking).whole


async def test_the_process_reloads_on_sighup_and_stops_on_sigterm(
    world: World, tmp_path: Path
) -> None:
    await world.add_runner()
    callers, ready, peers = (free_address() for _ in range(3))
    settings = tmp_path / "local.toml"
    settings.write_text(
        f'[instance]\nid = "e-1"\navailability_zone = "a"\nmetrics_port = 0\n'
        f'[listen]\ncallers = "{callers}"\nready = "{ready}"\npeers = "{peers}"\n'
        f"[peers]\nseeds = []\n"
        f'[store]\naddress = "{world.store_address}"\n'
        f"row_bytes = 65536\nobject_bytes = 8388608\n"
        f"[jobs]\nkept_s = 120\n"
        f"[stopping]\ngrace_s = 4\n"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "deploy" / "instance.py"),
        env=os.environ | {"CAPERRIDGE_CONFIG": str(settings)},
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(10):
            while await ready_status(ready) != 200:
                await asyncio.sleep(0.05)
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert await ready_status(ready) == 200
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10):
            output, _ = await process.communicate()
        assert process.returncode == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    text = output.decode()
    for message in ("instance started", "settings reloaded", "instance stopped"):
        assert message in text
