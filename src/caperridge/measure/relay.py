"""What one instance adds to a stream: processor time a token, time to the first.

The instance has a thread of its own; its processor time is that thread's. The engine
before it is a cheap one in a second thread, the callers plain sockets in a third
that reads rarely, so that the threads seldom wait for one another.

Two kinds of arm: *paced*, where every token comes in a read of its own, as from an
engine at 20 tokens a second, and *bursts*, where the instance is so far behind (or
the engine so quick) that a read brings several. Processor time is fitted as a cost
for each read plus a cost for each event; a sizing needs both.
"""

import asyncio
import socket
import statistics
import sys
import threading
import time
from typing import Any

import orjson
from aiohttp import web
from hdrh.histogram import HdrHistogram

from caperridge.config.declarations import parse
from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.measure.histograms import summary
from caperridge.measure.options import Options
from caperridge.measure.paced_engine import PacedEngine
from caperridge.measure.plain_relay import start_plain_relay
from caperridge.measure.threads import LoopThread, serve, wait_for
from caperridge.settings import Settings
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember

TOKEN = "measured"
DECLARATION = f"""
[services.chat]
kind = "engine"
model = "north"
version = "1"
most_running = 100000
[models.north]
gb_by_version = {{ "1" = 10.0 }}
[callers.load]
token_sha256 = "{token_digest(TOKEN)}"
"""
STREAMS = 100
STEP_S = 0.02
WRITES = 120
EVENTS_A_WRITE = (1, 4, 16, 64)
READ_EVERY_S = 0.05
MOST_WAIT_S = 30.0
OWN_SECONDS = 30.0
LEAST_WRITES = 30
PROBES = 500
LEAST_PROBES = 100
PROBES_S = 60.0
PROBE_PAUSE_S = 0.002
PROBE_STREAMS = 40
PROBE_STEP_S = 0.05
WAYS = ("direct", "relayed")
SWITCH_S = 0.0001
FIRST_TOKEN = b'"offset":0,'
TOKEN_MARK = b'"offset":'
END_MARK = b"data: [DONE]"
READ_BYTES = 2**20


class Interrupted(Exception):  # noqa: N818 - read as "the run was interrupted"
    """Nobody waits for the figures any more."""


async def instance_before(engine_address: str, platform: MemoryPlatform) -> Instance:
    """Start an instance that knows one engine and one caller."""
    platform.set_members(
        [ListedMember("runner-1", "target", engine_address, "one", service="chat")]
    )
    settings = Settings("measured-1", "one", "http://127.0.0.1:1")
    instance = Instance(settings, platform)
    configuration = parse({"measure.toml": DECLARATION})
    configuration.version = 1
    instance.configuration.apply(configuration)
    await instance.start()
    return instance


class RelayBench:
    """One instance with its platform, and one engine, each in a thread of its own.

    Args:
        stopping: set when the run should end early.
    """

    def __init__(self, stopping: threading.Event) -> None:
        self.engine = PacedEngine()
        self.stopping = stopping
        self._runners: list[web.AppRunner] = []
        self._standins = LoopThread("stand-ins")
        self.loop = LoopThread("instance")
        self.engine_address = self._standins.call(
            serve(self.engine.make_app(), self._runners)
        )
        self.instance: Instance = self.loop.call(
            instance_before(self.engine_address, MemoryPlatform(time.monotonic))
        )
        self.address = str(self.instance.addresses_by_listener["callers"])
        ready = wait_for(lambda: not self.instance.not_ready_because(), 10.0)
        if not ready:
            raise RuntimeError("the instance did not become ready")
        # In the same thread, so that both are measured by the same clock.
        self._plain, self.plain_address = self.loop.call(
            start_plain_relay(self.engine_address)
        )

    def pause(self, seconds: float) -> None:
        """Wait.

        Raises:
            Interrupted: the run should end.
        """
        if self.stopping.wait(seconds):
            raise Interrupted

    def stop(self) -> None:
        """End all threads."""
        self._plain.close()
        self.loop.call(self.instance.stop())
        self.loop.stop()
        for runner in self._runners:
            self._standins.call(runner.cleanup())
        self._standins.stop()


def request_bytes(address: str, tokens: int) -> bytes:
    """Return a request for a stream of ``tokens`` as a caller sends it."""
    body = orjson.dumps(
        {
            "model": "north",
            "messages": [{"role": "user", "content": "how warm is it? " * 8}],
            "max_tokens": tokens,
            "stream": True,
        }
    )
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\n"
        f"Host: {address}\r\nAuthorization: Bearer {TOKEN}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


class Call:
    """One streamed request over a socket of its own."""

    __slots__ = ("_parts", "_socket", "ended")

    def __init__(self, address: str, tokens: int) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), MOST_WAIT_S)
        self._socket.sendall(request_bytes(address, tokens))
        self._parts: list[bytes] = []
        self.ended = False

    def read(self) -> None:
        """Take what has come, without waiting."""
        self._socket.setblocking(False)
        try:
            while data := self._socket.recv(READ_BYTES):
                self._parts.append(data)
            self.ended = True
        except BlockingIOError:
            return

    def wait_first(self) -> None:
        """Wait for the first token."""
        seen = b""
        while FIRST_TOKEN not in seen:
            data = self._socket.recv(READ_BYTES)
            if not data:
                raise RuntimeError(f"the stream ended early: {seen[:200]!r}")
            seen += data

    def wait_end(self) -> None:
        """Take what is left of the answer."""
        while self._socket.recv(READ_BYTES):
            continue

    def tokens(self) -> int:
        """Return how many tokens came; 0 if the closing mark did not."""
        data = b"".join(self._parts)
        return data.count(TOKEN_MARK) if END_MARK in data else 0

    def close(self) -> None:
        """Hang up."""
        self._socket.close()


def run_round(
    bench: RelayBench, address: str, requests: int, writes: int, events_a_write: int
) -> dict[str, Any]:
    """Relay streams, all at once; return tokens, seconds and processor time."""
    bench.engine.step_s = STEP_S
    bench.engine.events_a_write = events_a_write
    tokens = 1 + (writes - 1) * events_a_write
    cpu, begun = bench.loop.cpu_s(), time.monotonic()
    calls = [Call(address, tokens) for _ in range(requests)]
    until = begun + MOST_WAIT_S
    while not all(call.ended for call in calls) and time.monotonic() < until:
        bench.pause(READ_EVERY_S)
        for call in calls:
            call.read()
    cpu, wall = bench.loop.cpu_s() - cpu, time.monotonic() - begun
    whole = [call.tokens() for call in calls]
    for call in calls:
        call.close()
    return {
        "requests": requests,
        "writes_a_stream": writes,
        "events_a_write": events_a_write,
        "tokens": sum(whole),
        "streams_not_whole": sum(1 for count in whole if count != tokens),
        "cpu_s": cpu,
        "wall_s": wall,
    }


def throughput(bench: RelayBench, address: str, writes: int) -> dict[str, Any]:
    """Return the processor time of a request, a read and an event, and the arms.

    Args:
        bench: with everything that runs.
        address: of the relay to measure.
        writes: of each stream, and so about its reads.
    """
    run_round(bench, address, STREAMS, 10, 1)
    short = run_round(bench, address, STREAMS * 3, 1, 1)
    a_request_s = short["cpu_s"] / short["requests"]
    arms: list[dict[str, Any]] = []
    for events_a_write in EVENTS_A_WRITE:
        arm = run_round(bench, address, STREAMS, writes, events_a_write)
        reads = arm["requests"] * arm["writes_a_stream"]
        arm["a_read_us"] = (arm["cpu_s"] - a_request_s * arm["requests"]) / reads * 1e6
        arm["tokens_per_core_s"] = 1e6 * events_a_write / arm["a_read_us"]
        arms.append(arm)
    slope, intercept = statistics.linear_regression(
        EVENTS_A_WRITE, [arm["a_read_us"] for arm in arms]
    )
    return {
        "cpu_us_a_request": a_request_s * 1e6,
        "cpu_us_a_read": intercept,
        "cpu_us_an_event": slope,
        "arms": [short, *arms],
    }


def first_token(bench: RelayBench, probes: int) -> dict[str, Any]:
    """Return the time to the first token, direct and through the instance.

    Both take turns, each over a connection of its own, beside streams that go
    through the instance at a moderate rate.
    """
    bench.engine.step_s = PROBE_STEP_S
    bench.engine.events_a_write = 1
    background = int(PROBES_S / PROBE_STEP_S) + PROBE_STREAMS
    calls = [Call(bench.address, background) for _ in range(PROBE_STREAMS)]
    histograms_by_way = {way: HdrHistogram(1, 60_000_000, 3) for way in WAYS}
    addresses_by_way = dict(
        zip(WAYS, (bench.engine_address, bench.address), strict=True)
    )
    switch_s = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_S)
    try:
        for number in range(probes * 2):
            way = WAYS[number % 2]
            begun = time.perf_counter()
            call = Call(addresses_by_way[way], 1)
            call.wait_first()
            taken = time.perf_counter() - begun
            call.wait_end()
            call.close()
            histograms_by_way[way].record_value(max(1, int(taken * 1e6)))
            bench.pause(PROBE_PAUSE_S)
    finally:
        sys.setswitchinterval(switch_s)
        for call in calls:
            call.close()
    return {
        "background_tokens_per_s": PROBE_STREAMS / PROBE_STEP_S,
        "probes_each_way": probes,
        **{f"{way}_ttft_us": summary(h) for way, h in histograms_by_way.items()},
    }


def measure(options: Options, stopping: threading.Event) -> dict[str, Any]:
    """Run all arms; blocks its thread."""
    scale = options.scale(OWN_SECONDS)
    writes = max(LEAST_WRITES, int(WRITES * scale))
    bench = RelayBench(stopping)
    try:
        cost = throughput(bench, bench.address, writes)
        bound = throughput(bench, bench.plain_address, writes)
        ttft = first_token(bench, max(LEAST_PROBES, int(PROBES * scale)))
    finally:
        bench.stop()
    added = {
        f"added_ttft_{name}_ms": (
            ttft["relayed_ttft_us"][name] - ttft["direct_ttft_us"][name]
        )
        / 1000
        for name in ("p50", "p99")
    }
    rate_by_events = _rates(cost)
    return {
        "tokens_per_core_s": rate_by_events["1"],
        **added,
        "tokens_per_core_s_by_events_a_read": rate_by_events,
        "plain_relay_tokens_per_core_s_by_events_a_read": _rates(bound),
        "streams_not_whole": sum(arm["streams_not_whole"] for arm in cost["arms"]),
        **cost,
        "plain_relay": bound,
        "first_token": ttft,
    }


def _rates(cost: dict[str, Any]) -> dict[str, float]:
    return {
        str(arm["events_a_write"]): arm["tokens_per_core_s"] for arm in cost["arms"][1:]
    }


async def run(options: Options) -> dict[str, Any]:
    """Measure the relay of one instance."""
    stopping = threading.Event()
    try:
        return await asyncio.to_thread(measure, options, stopping)
    finally:
        stopping.set()
