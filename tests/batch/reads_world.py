"""Simulation of four instances of a zone that share reads of jobs, on a fake clock."""

import asyncio
import copy
import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from result import Err, Result

from caperridge import keys
from caperridge.commands.announce_job import announce_job
from caperridge.commands.sessions import LAPSED
from caperridge.decisions.jobs import CANCELLED, OPEN, Job
from caperridge.instance.batch_messages import JobEnded, JobsListed, SessionsLapsed
from caperridge.instance.jobs_reader import JobsReader
from caperridge.peers.interface import Handler, NoPeers
from caperridge.records import Record
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import DeleteRow, NotDone, PutRow

TICK_S = 0.5
COUNT = 4


class View(NoPeers):
    """One instance's membership, peers and platform, each of which can be faulty.

    Attributes:
        reader: number of the instance that it takes for the reader.
        cut: whether its calls of the platform fail.
        frozen: an old copy of the table that it reads; None for the current one.
        reads: number of calls of the platform by name.
    """

    availability_zone = "z"

    def __init__(self, world: "ReadsWorld", number: int) -> None:
        self.instance = f"i{number}"
        self.number = number
        self.reader = 0
        self.cut = False
        self.frozen: MemoryPlatform | None = None
        self.reads: Counter[str] = Counter()
        self.handlers_by_kind: dict[type[Record], Handler] = {}
        self._world = world

    def owner(self, key: str, availability_zone: str) -> str:
        return f"i{self.reader}"

    def register(self, kind: type[Record], handler: Handler) -> None:
        self.handlers_by_kind[kind] = handler

    def connected(self) -> list[str]:
        return [node.view.instance for node in self._world.nodes]

    def send_zone(self, message: Record) -> int:
        for node in self._world.nodes:
            pair = frozenset((self.number, node.view.number))
            if node.view is self or pair in self._world.cut_pairs:
                continue
            node.inbox.append(message)
        return 1

    def __getattr__(self, name: str) -> Callable[..., Any]:
        """Return a call of the platform: cut off, of an old copy, or current."""
        if name not in ("read", "scan", "transact"):
            raise AttributeError(name)
        source = self.frozen or self._world.platform

        async def call(*arguments: Any) -> Result[Any, Any]:
            self.reads[name] += 1
            if self.cut:
                return Err(NotDone("cut off"))
            return await getattr(source, name)(*arguments)

        return call


class Node:
    """One instance, and the open jobs that its reader reported."""

    def __init__(self, world: "ReadsWorld", number: int) -> None:
        self.view = View(world, number)
        self.inbox: list[Record] = []
        self.paused = False
        self.healthy_since = 0.0
        self.open_ids: set[str] = set()
        self.lapses = 0
        clock = lambda: world.now  # noqa: E731
        view: Any = self.view
        self.reader = JobsReader(view, view, clock, self.take, view)

    @property
    def healthy(self) -> bool:
        return not (self.paused or self.view.cut or self.view.frozen)

    def take(self, message: Record) -> bool:
        if isinstance(message, JobsListed):
            self.open_ids = {job.id for job in message.jobs}
        elif isinstance(message, Job):
            self.open_ids.add(message.id)
        elif isinstance(message, JobEnded):
            self.open_ids.discard(message.job)
        else:
            assert isinstance(message, SessionsLapsed)
            self.lapses += 1
        return True


class ReadsWorld:
    """The table and the instances, and the oracle: when each job changed."""

    def __init__(self) -> None:
        self.now = 0.0
        self.platform = MemoryPlatform(lambda: self.now)
        self.cut_pairs: set[frozenset[int]] = set()
        self.nodes = [Node(self, number) for number in range(COUNT)]
        self.changed_at_by_job: dict[str, float] = {}
        self.open_ids: set[str] = set()
        self.ended_ids: list[str] = []
        self._loop = asyncio.new_event_loop()

    def close(self) -> None:
        self._loop.close()

    def put(self, name: str, state: str, announced: bool = True) -> None:
        """Open or end a job, and announce the change if ``announced``."""
        self._loop.run_until_complete(self._put(name, state, announced))
        self.changed_at_by_job[name] = self.now
        if state == OPEN:
            self.open_ids.add(name)
        else:
            self.open_ids.discard(name)

    async def _put(self, name: str, state: str, announced: bool) -> None:
        job = Job(name, "c", "s", "/", "f", 10, 10, state=state)
        row = keys.open_job(name)
        listed = PutRow(row, job.to_map()) if state == OPEN else DeleteRow(row)
        writes = [PutRow(keys.job(name), job.to_map()), listed]
        await self.platform.transact([], writes, f"{name}{state}")
        if announced:
            await announce_job(self.platform, name, state)

    def cancel(self, name: str, announced: bool = True) -> None:
        self.put(name, CANCELLED, announced)

    def announce_lapse(self, session: str) -> None:
        call = announce_job(self.platform, session, LAPSED)
        self._loop.run_until_complete(call)

    def freeze(self, node: Node) -> None:
        """Let an instance read a copy of the current table from now on."""
        frozen = MemoryPlatform(lambda: self.now)
        for name, value in vars(self.platform).items():
            if name.endswith("_by_key"):
                setattr(frozen, name, copy.deepcopy(value))
        node.view.frozen = frozen

    def heal(self, node: Node) -> None:
        """Remove the faults of an instance."""
        node.paused = node.view.cut = False
        node.view.frozen = None
        node.healthy_since = self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock, and run every instance at each tick."""
        self._loop.run_until_complete(self._advance(math.ceil(seconds / TICK_S)))

    async def _advance(self, ticks: int) -> None:
        for _ in range(ticks):
            self.now += TICK_S
            for node in self.nodes:
                if node.paused:
                    continue
                inbox, node.inbox = node.inbox, []
                for message in inbox:
                    await node.reader.handle(message)
                await node.reader.idle()

    def check(self, bound_s: float) -> None:
        """Check that healthy instances know each change older than ``bound_s``."""
        for node in self.nodes:
            if not node.healthy:
                continue
            for name, at in self.changed_at_by_job.items():
                if self.now - max(at, node.healthy_since) < bound_s:
                    continue
                known = name in node.open_ids
                assert known == (name in self.open_ids), (node.view.instance, name)
