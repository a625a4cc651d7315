"""Callers' load: streamed completions that arrive at random, with bursts.

The schedule is drawn beforehand from a seed, so that each arm of an experiment gets
the same requests at the same moments.
"""

import asyncio
import random
import time

import aiohttp
from hdrh.histogram import HdrHistogram

from caperridge.measure.fleet import CALLER, SERVICE, StandinFleet
from caperridge.records import Record
from caperridge.targets.events import DONE_EVENT

LONGEST_US = 600_000_000
SIGNIFICANT_FIGURES = 3
LAG_TICK_S = 0.005


class LoadShape(Record):
    """How online requests come.

    Attributes:
        seconds: how long requests keep arriving.
        requests_per_s: between bursts, over the whole fleet.
        burst_factor: how many times as many come within a burst.
        burst_every_s: from the start of one burst to that of the next.
        burst_s: length of a burst.
        prompt_characters: of each prompt.
        least_tokens: shortest answer.
        most_tokens: longest answer.
    """

    __slots__ = (
        "burst_every_s",
        "burst_factor",
        "burst_s",
        "least_tokens",
        "most_tokens",
        "prompt_characters",
        "requests_per_s",
        "seconds",
    )

    def __init__(
        self,
        seconds: float,
        requests_per_s: float,
        burst_factor: float = 4.0,
        burst_every_s: float = 5.0,
        burst_s: float = 1.5,
        prompt_characters: int = 200,
        least_tokens: int = 8,
        most_tokens: int = 24,
    ) -> None:
        self.seconds = seconds
        self.requests_per_s = requests_per_s
        self.burst_factor = burst_factor
        self.burst_every_s = burst_every_s
        self.burst_s = burst_s
        self.prompt_characters = prompt_characters
        self.least_tokens = least_tokens
        self.most_tokens = most_tokens


class Arrival(Record):
    """One request of the schedule, ``at`` seconds after its start."""

    __slots__ = ("at", "number", "tokens")

    def __init__(self, at: float, number: int, tokens: int) -> None:
        self.at = at
        self.number = number
        self.tokens = tokens


def schedule(shape: LoadShape, seed: int) -> list[Arrival]:
    """Return the arrivals: a Poisson process whose rate is raised in bursts.

    A burst ends each period, so that a load begins quietly.
    """
    rng = random.Random(seed)
    fastest = shape.requests_per_s * shape.burst_factor
    arrivals: list[Arrival] = []
    at = 0.0
    while True:
        at += rng.expovariate(fastest)
        if at >= shape.seconds:
            return arrivals
        quiet_s = shape.burst_every_s - shape.burst_s
        in_burst = at % shape.burst_every_s >= quiet_s
        if not in_burst and rng.random() >= 1 / shape.burst_factor:
            continue
        tokens = rng.randint(shape.least_tokens, shape.most_tokens)
        arrivals.append(Arrival(at, len(arrivals), tokens))


class Latencies:
    """A histogram of latencies, read in milliseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, LONGEST_US, SIGNIFICANT_FIGURES)

    @property
    def count(self) -> int:
        """How many were recorded."""
        return self._histogram.get_total_count()

    def record(self, seconds: float) -> None:
        """Add one."""
        self._histogram.record_value(max(1, int(seconds * 1e6)))

    def percentile_ms(self, percentile: float) -> float:
        """Return the latency that ``percentile`` in a hundred do not exceed."""
        return round(self._histogram.get_value_at_percentile(percentile) / 1000, 2)


class LoadFigures:
    """What the callers of one load saw."""

    def __init__(self) -> None:
        self.first_token = Latencies()
        self.between_tokens = Latencies()
        self.answered = 0
        self.refused = 0
        self.cut = 0
        self.tokens = 0

    @property
    def failed(self) -> int:
        """How many requests got no whole answer."""
        return self.refused + self.cut


async def run_load(
    fleet: StandinFleet, shape: LoadShape, seed: int, name: str = "load"
) -> LoadFigures:
    """Send the schedule to the instances in turn; return when all are answered."""
    figures = LoadFigures()
    started = time.monotonic()
    async with (
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http,
        asyncio.TaskGroup() as group,
    ):
        for arrival in schedule(shape, seed):
            await asyncio.sleep(max(0.0, started + arrival.at - time.monotonic()))
            urls = fleet.callers_urls()
            url = urls[arrival.number % len(urls)]
            prompt = f"{name} {arrival.number} ".ljust(shape.prompt_characters, "?")
            body = {"model": SERVICE, "prompt": prompt, "max_tokens": arrival.tokens}
            group.create_task(one_request(http, url, body, figures))
    return figures


async def one_request(
    http: aiohttp.ClientSession, url: str, body: dict, figures: LoadFigures
) -> None:
    """Send one streamed completion and note what its caller sees."""
    headers = {"Authorization": f"Bearer {CALLER}"}
    started = last = time.monotonic()
    tokens = 0
    data = b""
    try:
        async with http.post(
            url + "/v1/completions", json=body | {"stream": True}, headers=headers
        ) as response:
            if response.status != 200:
                figures.refused += 1
                return
            async for data in response.content.iter_any():
                now = time.monotonic()
                events = data.count(b"data: {")
                if not events:
                    continue
                if tokens:
                    figures.between_tokens.record(now - last)
                else:
                    figures.first_token.record(now - started)
                tokens += events
                last = now
    except (aiohttp.ClientError, OSError):
        figures.cut += 1
        return
    figures.tokens += tokens
    if tokens == body["max_tokens"] and data.endswith(DONE_EVENT):
        figures.answered += 1
    else:
        figures.cut += 1


class LoopWatch:
    """Watches the process that measures: lag of its event loop, share of a core."""

    def __init__(self) -> None:
        self._lag = Latencies()
        self._task: asyncio.Task[None] | None = None
        self._started = self._cpu = 0.0

    def start(self) -> None:
        """Start watching."""
        self._started, self._cpu = time.monotonic(), time.process_time()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> dict[str, float]:
        """Stop; return ``loop_lag_p99_ms`` and ``cpu_share``."""
        if self._task is not None:
            self._task.cancel()
        elapsed = max(1e-9, time.monotonic() - self._started)
        return {
            "loop_lag_p99_ms": self._lag.percentile_ms(99),
            "cpu_share": round((time.process_time() - self._cpu) / elapsed, 3),
        }

    async def _run(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_TICK_S)
            self._lag.record(max(0.0, time.monotonic() - before - LAG_TICK_S))
