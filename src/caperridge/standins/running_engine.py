"""The engine stand-in without its HTTP server: runs sequences and obeys orders."""

import asyncio
import contextlib
import random
from collections import OrderedDict, deque
from typing import Any

from caperridge.records import Record
from caperridge.standins.engine_faults import EngineFaults
from caperridge.standins.engine_model import EngineCosts, EngineModel, Sequence
from caperridge.standins.loader import Loader
from caperridge.standins.weights import WeightStore

MAX_KV_CACHES = 256


class KvCache(Record):
    """KV cache of a sequence, identified by its prompt digest and tokens produced."""

    __slots__ = ("digest", "produced")

    def __init__(self, digest: str, produced: int) -> None:
        self.digest = digest
        self.produced = produced

    def fits(self, sequence: Sequence) -> bool:
        """Return whether ``sequence`` continues exactly at this state."""
        return (self.digest, self.produced) == (sequence.digest, sequence.produced)


class Engine:
    """One running engine.

    Args:
        costs: step durations and capacities of the simulated engine.
        seed: seed of the random gaps in its cache events.
        gb_per_s: load rate without a store, in GB per second.
        store: weight store that it loads from.
        preloaded: whether it starts with weights loaded.
        software_version: of the engine, not of its weights.
    """

    def __init__(
        self,
        costs: EngineCosts | None = None,
        seed: int = 0,
        gb_per_s: float = 100.0,
        store: WeightStore | None = None,
        preloaded: bool = True,
        software_version: str = "",
    ) -> None:
        self.software_version = software_version
        self.model = EngineModel(costs or EngineCosts())
        self.faults = EngineFaults()
        self.runs_by_request: dict[str, int] = {}
        self.tokens_produced = 0
        self.fence = 0
        self.obeyed: list[dict[str, Any]] = []
        self.desired: dict[str, Any] = {}
        self.killed = asyncio.Event()
        self.loader = Loader(gb_per_s, store, preloaded)
        self.cut_by_load = 0
        self.transports: set[asyncio.Transport] = set()
        self._random = random.Random(seed)
        self._queues_by_attempt: dict[str, asyncio.Queue[int | None]] = {}
        self._kv_by_attempt: OrderedDict[str, KvCache] = OrderedDict()
        self._work = asyncio.Event()
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=1000)
        self._events: list[tuple[float, int, int]] = []
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start running steps; requires a running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop running steps and cancel a load in progress."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        await self.loader.stop()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            if self.faults.hung:
                await asyncio.sleep(0.01)
                continue
            step = self.model.step()
            self._report(loop.time())
            if step is None:
                self._work.clear()
                await self._work.wait()
                due = loop.time()
                continue
            # Schedules from the previous due time to compensate for late wake-ups.
            due = max(due + step.duration_s * self.faults.slow, loop.time() - 0.1)
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._emit(step.emitted, step.finished)

    def _emit(self, emitted: list[Sequence], finished: list[Sequence]) -> None:
        self.tokens_produced += len(emitted)
        for sequence in emitted:
            queue = self._queues_by_attempt.get(sequence.attempt)
            if queue is not None:
                queue.put_nowait(sequence.produced - 1)
        for sequence in finished:
            queue = self._queues_by_attempt.get(sequence.attempt)
            if queue is not None:
                queue.put_nowait(None)

    def _report(self, now: float) -> None:
        report = {
            "running": len(self.model.running_by_attempt),
            "waiting": len(self.model.waiting),
        }
        self._reports.append((now, report))
        for block in self.model.added_blocks:
            if self._random.random() >= self.faults.event_gaps:
                self._events.append((now, len(self._events), block))
        self.model.added_blocks.clear()

    def submit(self, sequence: Sequence) -> asyncio.Queue[int | None]:
        """Submit ``sequence``; return a queue of its token offsets, ended by None."""
        queue: asyncio.Queue[int | None] = asyncio.Queue()
        self._queues_by_attempt[sequence.attempt] = queue
        runs = self.runs_by_request.get(sequence.request, 0)
        self.runs_by_request[sequence.request] = runs + 1
        kv = self._kv_by_attempt.get(sequence.attempt)
        sequence.kv_ready = kv is not None and kv.fits(sequence)
        self.model.submit(sequence)
        self._work.set()
        return queue

    def cancel(self, attempt: str) -> bool:
        """Cancel the attempt; return whether it was running or waiting."""
        self._queues_by_attempt.pop(attempt, None)
        running = self.model.running_by_attempt.get(attempt)
        if running is not None:
            # The KV cache of a cancelled sequence can still be exported for a while.
            self.import_kv(attempt, KvCache(running.digest, running.produced))
        return self.model.cancel(attempt)

    def export_kv(self, attempt: str) -> KvCache | None:
        """Return the KV cache of a running or recently cancelled sequence."""
        running = self.model.running_by_attempt.get(attempt)
        if running is not None:
            return KvCache(running.digest, running.produced)
        return self._kv_by_attempt.get(attempt)

    def import_kv(self, attempt: str, kv: KvCache) -> None:
        """Store a KV cache for a later attempt; the oldest are evicted first."""
        self._kv_by_attempt[attempt] = kv
        while len(self._kv_by_attempt) > MAX_KV_CACHES:
            self._kv_by_attempt.popitem(last=False)

    def load_report(self, now: float) -> dict[str, Any]:
        """Return the newest report that is at least ``report_lag_s`` old."""
        visible = {"running": 0, "waiting": 0}
        for at, report in self._reports:
            if at <= now - self.faults.report_lag_s:
                visible = report
        return visible

    def cache_events(self, after: int, now: float) -> list[list[int]]:
        """Return ``[number, block]`` of visible cache events after number ``after``."""
        visible_until = now - self.faults.event_lag_s
        return [[n, b] for at, n, b in self._events[after + 1 :] if at <= visible_until]

    def kill(self) -> None:
        """Crash: break all connections, refuse new ones, cancel all sequences."""
        self.faults.killed = True
        self.killed.set()
        for transport in list(self.transports):
            transport.abort()
        for attempt in list(self._queues_by_attempt):
            self.cancel(attempt)

    def order(self, fence: int, desired: dict[str, Any]) -> bool:
        """Obey an order unless its fencing token is outdated; return whether obeyed."""
        if fence < self.fence and not self.faults.ignore_fencing:
            return False
        self.fence = max(self.fence, fence)
        self.desired = desired
        self.obeyed.append({"fence": fence, "desired": desired})
        if self.loader.apply_order(desired):
            self.cut_by_load += len(self._queues_by_attempt)
        return True
