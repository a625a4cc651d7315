"""The limits in force for callers: what is refused, with which promise, and when."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from caperridge.gateway.configuration import LIMIT_OVERLAP_S
from caperridge.gateway.mesh.streams import HELLO_TIMEOUT_S, MAX_HELLO_BYTES
from caperridge.gateway.process import GatewayInstance
from caperridge.listening.memory import CONNECTION_BYTES, Holder
from gateway.conftest import HOST, ROUTES, World, configuration, until
from loop_clock import LoopClock

HEAD = f"POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Limits of the configuration of the tests.
BODY_BYTES = 4 * 2**20
HEAD_BYTES = 16 * 2**10
HEAD_S = 3.0
IDLE_S = 15.0
TIMEOUT_S = 5.0
# Far more than the kernel buffers at both ends of a connection.
ANSWERS = 400
ANSWER_BYTES = 100_000
WHOLE_BYTES = 3 * 10**6


class Caller:
    """A raw connection to a listener."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()

    async def status(self) -> int:
        """Return the status of the next answer; 0 if the connection was closed."""
        try:
            async with asyncio.timeout(10.0):
                line = await self.reader.readline()
        except ConnectionError:
            return 0
        return int(line.split()[1]) if line else 0

    async def answer(self) -> tuple[int, dict[str, str]]:
        """Return status and headers of the next answer."""
        status = await self.status()
        headers: dict[str, str] = {}
        while line := (await self.reader.readline()).strip().decode():
            name, _, value = line.partition(": ")
            headers[name] = value
        return status, headers

    @property
    def closed(self) -> bool:
        return self.reader.at_eof() or self.reader.exception() is not None


async def connect(address: str) -> Caller:
    host, _, port = address.rpartition(":")
    return Caller(*await asyncio.open_connection(host, int(port)))


@pytest.fixture
async def instance(world: World) -> AsyncIterator[GatewayInstance]:
    await world.add_runner()
    one = await world.add_instance()
    await world.ready()
    # Afterwards the limits in force are not widened by those before the first ones.
    one.configuration.since -= 2 * LIMIT_OVERLAP_S
    one.configuration.caller_limits()
    yield one


@pytest.fixture
async def caller(instance: GatewayInstance) -> AsyncIterator[Caller]:
    made = await connect(instance.settings.callers)
    yield made
    made.writer.close()


async def test_a_head_over_the_limit_is_refused_for_good(caller: Caller) -> None:
    """Guards against limits that are decoded and never applied."""
    filling = b"X-Filling: %s\r\n" % (b"x" * 1000) * (HEAD_BYTES // 1000 + 1)
    await caller.send(HEAD + filling + b"Content-Length: 0\r\n\r\n")
    assert await caller.status() == 431


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(HEAD + b"X-Long: " + b"x" * 3 * HEAD_BYTES, id="line"),
        pytest.param(HEAD + b"X-More: x\r\n" * HEAD_BYTES, id="headers"),
        pytest.param(b"\r\n" * 3 * HEAD_BYTES, id="empty_lines"),
    ],
)
async def test_a_head_without_end_is_cut_off(sent: bytes, caller: Caller) -> None:
    await caller.send(sent)
    assert await caller.status() in (0, 400, 431)
    await until(lambda: caller.closed)


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(b"5;extension=" + b"x" * 3 * HEAD_BYTES, id="extension"),
        pytest.param(b"1\r\nx\r\n0\r\n" + b"X: x\r\n" * HEAD_BYTES, id="trailers"),
    ],
)
async def test_framing_without_end_is_cut_off(
    sent: bytes, caller: Caller, world: World
) -> None:
    await caller.send(CHUNKED + sent)
    assert await caller.status() in (0, 400)
    assert not world.runners[0].runs


@pytest.mark.parametrize(
    "rest",
    [
        pytest.param(b"X: x\r\n" * HEAD_BYTES, id="trailers"),
        pytest.param(b"not a size\r\n", id="size"),
    ],
)
async def test_a_body_that_cannot_be_parsed_ends_its_request(
    rest: bytes, caller: Caller, world: World
) -> None:
    """Guards against a request that waits for a body which nobody reads any more."""
    await caller.send(CHUNKED + b"1\r\nx\r\n")
    await asyncio.sleep(0.05)
    await caller.send(b"0\r\n" * rest.startswith(b"X") + rest)
    assert await caller.status() in (0, 400)
    async with asyncio.timeout(10.0):
        with contextlib.suppress(ConnectionError):
            await caller.reader.read()
    assert caller.closed
    assert not world.runners[0].runs


async def test_a_body_over_the_limit_is_refused_before_it_is_sent(
    caller: Caller,
) -> None:
    await caller.send(HEAD + b"Content-Length: %d\r\n\r\n" % (BODY_BYTES + 1))
    assert await caller.status() == 413


async def test_a_chunked_body_over_the_limit_is_refused(caller: Caller) -> None:
    chunk = b"%x\r\n%s\r\n" % (2**16, bytes(2**16))
    sending = asyncio.create_task(
        caller.send(CHUNKED + chunk * (BODY_BYTES // 2**16 + 1))
    )
    assert await caller.status() == 413
    sending.cancel()


async def test_a_head_that_takes_too_long_is_refused_with_a_promise(
    caller: Caller,
) -> None:
    """Guards against connections that stay open with a head that never ends."""
    await caller.send(HEAD)
    await asyncio.sleep(0.1)
    clock = LoopClock()
    await clock.ahead(HEAD_S - 1.0)
    assert not caller.closed
    await clock.ahead(2.0)
    assert await caller.status() == 408


async def test_a_connection_is_kept_for_the_idle_limit_and_not_longer(
    caller: Caller,
) -> None:
    """Guards against both: callers reuse connections for four fifths of the limit."""
    await caller.send(b"GET /readyz HTTP/1.1\r\nHost: here\r\n\r\n")
    status, headers = await caller.answer()
    await caller.reader.readexactly(int(headers["Content-Length"]))
    assert status == 404
    clock = LoopClock()
    await clock.ahead(IDLE_S * 0.9)
    assert not caller.closed
    await clock.ahead(IDLE_S * 0.2)
    await until(lambda: caller.closed)


async def test_a_stray_line_end_after_a_body_does_not_begin_a_head(
    caller: Caller,
) -> None:
    """Guards against closing a kept connection early for what some clients send."""
    await caller.send(b"\r\n")
    await asyncio.sleep(0.1)
    clock = LoopClock()
    await clock.ahead(HEAD_S * 2)
    assert not caller.closed


async def test_a_body_that_stops_is_refused_at_the_deadline(
    caller: Caller, world: World
) -> None:
    """Guards against a body without a bound in time; the request has not run."""
    await caller.send(HEAD + b"X-Deadline-Ms: 5000\r\nContent-Length: 9\r\n\r\nhalf")
    await asyncio.sleep(0.1)
    clock = LoopClock()
    await clock.ahead(TIMEOUT_S - 1.0)
    assert not caller.closed
    await clock.ahead(2.0)
    assert await caller.status() == 408
    assert not world.runners[0].runs


async def test_a_stalled_body_gives_way_to_an_ordinary_request(
    caller: Caller, instance: GatewayInstance, world: World
) -> None:
    """Guards against ordinary callers without an answer while others stand still."""
    memory = instance.connections.memory
    await caller.send(HEAD + b"Content-Length: 100000\r\n\r\nhalf")
    await until(lambda: memory.held_bytes > 200_000)
    await asyncio.sleep(1.2)
    memory.capacity_bytes = memory.held_bytes
    answer = await world.ask(instance, "/ask/2", "r2")
    assert answer.status == 200
    status, headers = await caller.answer()
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert [run.id for run in world.runners[0].runs] == ["r2"]


async def test_idle_connections_give_way_to_an_ordinary_request(
    instance: GatewayInstance, world: World
) -> None:
    """Guards against connections that send nothing and take the memory of bodies."""
    idle = [await connect(instance.settings.callers) for _ in range(16)]
    memory = instance.connections.memory
    await until(lambda: memory.held_bytes >= 16 * CONNECTION_BYTES)
    await asyncio.sleep(1.2)
    memory.capacity_bytes = memory.held_bytes
    answer = await world.ask(instance, "/ask/2", "r2", b"x" * CONNECTION_BYTES)
    assert answer.status == 200
    await until(lambda: any(one.closed for one in idle))
    assert not all(one.closed for one in idle)
    for one in idle:
        one.writer.close()


async def test_results_wait_for_readers_that_do_not_read(
    caller: Caller, instance: GatewayInstance, world: World
) -> None:
    """Guards against large answers that many callers ask for and don't read."""
    await world.submit(instance, "j1", ["a", "b"])
    assert (await world.results(instance, "j1")).status == 200
    memory = instance.connections.memory
    capacity, memory.capacity_bytes = memory.capacity_bytes, memory.held_bytes
    request = f"GET /lots/j1?sinceRev=0 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    await caller.send(request)
    status, headers = await caller.answer()
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    await caller.reader.readexactly(int(headers["Content-Length"]))
    memory.capacity_bytes = capacity
    await caller.send(request)
    assert await caller.status() == 200


class AnswerHolder(Holder):
    """Another client that holds the memory of an answer, and moves."""

    def stalled_s(self, now: float) -> float:
        return 0.0

    def revoke(self) -> None:
        raise AssertionError


@pytest.mark.parametrize("unframed", [False, True])
async def test_a_whole_answer_waits_for_memory_and_is_delivered(
    unframed: bool, caller: Caller, instance: GatewayInstance, world: World
) -> None:
    """Guards against answers that wait and are blamed on their target, or are lost."""
    (runner,) = world.runners
    runner.whole_bytes = WHOLE_BYTES
    runner.unframed = unframed
    memory = instance.connections.memory
    holder = AnswerHolder()
    assert memory.take_answer(holder, 1, asyncio.get_running_loop().time())
    memory.capacity_bytes = memory.held_bytes + 2 * CONNECTION_BYTES
    await caller.send(HEAD.replace(b"/ask/1", b"/ask/whole") + b"\r\n")
    await until(lambda: len(runner.runs) == 1)
    # Longer than a silent target is waited for.
    clock = LoopClock()
    await clock.ahead(1.5)
    memory.release(holder)
    status, headers = await caller.answer()
    assert status == 200
    body = await caller.reader.readexactly(WHOLE_BYTES)
    assert body == bytes(WHOLE_BYTES)
    assert [len(one.runs) for one in world.runners] == [1]
    if not unframed:
        assert headers["Content-Length"] == str(WHOLE_BYTES)


async def test_answers_do_not_pile_up_for_a_caller_that_does_not_read(
    instance: GatewayInstance, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests in a row whose answers are kept, however many."""
    made = 0

    def large_state(_: GatewayInstance) -> dict[str, str]:
        nonlocal made
        made += 1
        return {"filling": "x" * ANSWER_BYTES}

    monkeypatch.setattr("caperridge.gateway.process.state_of", large_state)
    caller = await connect(instance.settings.ready)
    caller.writer.write(b"GET /state HTTP/1.1\r\nHost: here\r\n\r\n" * ANSWERS)
    before = -1
    while made != before:
        before = made
        await asyncio.sleep(0.5)
    # What is made and not read waits in the kernel, at both ends, and here.
    assert made < ANSWERS / 2


async def test_larger_limits_count_at_once_and_smaller_ones_later(
    instance: GatewayInstance, world: World
) -> None:
    """Guards against refusing callers that use the limits of either configuration."""
    for version, size in ((2, 2 * BODY_BYTES), (3, BODY_BYTES // 2)):
        changed = configuration(version, ROUTES)
        changed["limits"]["maxBodyBytes"] = size
        world.store.put("op", "config", changed)
        await until(lambda new=version: instance.configuration.table.version == new)
        assert instance.configuration.caller_limits().body_bytes == 2 * BODY_BYTES
    instance.configuration.since -= 2 * LIMIT_OVERLAP_S
    instance.configuration.caller_limits()
    assert instance.configuration.caller_limits().body_bytes == BODY_BYTES // 2


async def test_whoever_does_not_say_who_it_is_is_no_peer(
    instance: GatewayInstance,
) -> None:
    """Guards against connections at the peers' listener that send nothing."""
    caller = await connect(instance.settings.peers)
    await asyncio.sleep(0.1)
    clock = LoopClock()
    await clock.ahead(HELLO_TIMEOUT_S + 1.0)
    await until(lambda: caller.closed)


async def test_a_large_message_is_read_from_peers_only(
    instance: GatewayInstance,
) -> None:
    """Guards against frames that strangers send and the instance keeps."""
    caller = await connect(instance.settings.peers)
    await caller.send((MAX_HELLO_BYTES + 1).to_bytes(4, "big"))
    await until(lambda: caller.closed)
