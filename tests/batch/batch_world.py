"""Simulation of the batch logic of several instances, with a fake table and clock."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok, Result

from caperridge import keys
from caperridge.commands import chunk_claims, sessions
from caperridge.commands.accept_file import STORED
from caperridge.commands.complete_job import complete_job
from caperridge.decisions.chunks import Chunk
from caperridge.decisions.claims import ChunkRow, Split, must_fail, plan_claims
from caperridge.decisions.jobs import DONE, OPEN, ChunkState, Job
from caperridge.decisions.leases import Lease, SessionWatch
from caperridge.queries.jobs import (
    read_open_jobs,
    read_session_states,
    read_view,
    scan_all,
)
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import Conflict, NotDone, PutRow, Unknown

LEASE_S = 10.0
CRASHING_ITEM = 3


class LossyPlatform(MemoryPlatform):
    """Loses the answers of the next ``lose_next`` writes that take effect."""

    lose_next = 0

    async def transact(self, conditions, writes, token):
        outcome = await super().transact(conditions, writes, token)
        if isinstance(outcome, Ok) and self.lose_next:
            self.lose_next -= 1
            return Err(Unknown("lost"))
        return outcome


class HeldChunk:
    """A chunk that an instance believes it holds, and the items that it finished."""

    def __init__(self, chunk: Chunk, state: ChunkState, session: str) -> None:
        self.chunk = chunk
        self.state = state
        self.session = session
        self.done: set[int] = set()


class Node:
    """One instance; its state in memory is lost when it crashes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.session = ""
        self.lease = Lease(LEASE_S)
        self.watch = SessionWatch()
        self.held_by_key: dict[str, HeldChunk] = {}
        self.planned: list[Any] = []
        self.paused = False
        self.renewals = 0


class World:
    """The table, the instances, and the oracle of accepted jobs and results."""

    def __init__(self) -> None:
        self.now = 0.0
        self.platform = LossyPlatform(lambda: self.now)
        self.nodes = [Node(f"n{number}") for number in range(3)]
        self.starts = 3
        self.kills_by_job: dict[str, int] = {}
        self.killer_jobs: set[str] = set()
        self.accepted_by_id: dict[str, Job] = {}
        self.cancelled_done_by_id: dict[str, set[int]] = {}
        self.attempts_by_key: dict[str, int] = {}
        self.results_by_item: dict[tuple[str, int], str] = {}
        self._loop = asyncio.new_event_loop()
        stored = PutRow(keys.file("f"), {"state": STORED})
        self.do(self.platform.transact([], [stored], "file"))

    def close(self) -> None:
        self._loop.close()

    def do(self, call: Coroutine[Any, Any, Result[Any, Any]]) -> Result[Any, Any]:
        """Run a call; an outcome of "not done" or a conflict must not change a row."""
        before = dict(self.platform.rows_by_key)
        outcome = self._loop.run_until_complete(call)
        if isinstance(outcome, Err) and isinstance(
            outcome.err_value, NotDone | Conflict
        ):
            assert dict(self.platform.rows_by_key) == before, outcome
        return outcome

    def renew(self, node: Node) -> None:
        if node.paused or not node.lease.renewal_due(self.now):
            return
        if not node.session:
            self.starts += 1
            name = f"{node.name}-{self.starts}"
            opened = sessions.open_session(self.platform, name, node.name, LEASE_S)
            if isinstance(self.do(opened), Ok):
                node.session = name
                node.lease.record_renewal(self.now)
                node.held_by_key.clear()
            return
        node.renewals += 1
        outcome = self.do(
            sessions.renew_session(self.platform, node.session, node.renewals)
        )
        if isinstance(outcome, Ok):
            node.lease.record_renewal(self.now)
        elif isinstance(outcome.err_value, Conflict):
            node.session = ""
            node.lease.mark_lost()
        else:
            node.lease.record_failed_renewal(self.now, 0.0, 0.5)

    def observe(self, node: Node) -> None:
        rows = self.do(scan_all(self.platform, keys.SESSIONS))
        if node.paused or isinstance(rows, Err):
            return
        alive: dict[str, tuple[int, float]] = {}
        for row in rows.ok_value:
            if row.value["state"] == sessions.ALIVE:
                name = row.key.removeprefix(keys.SESSIONS)
                alive[name] = (row.version, row.value["lease_s"])
        for name, version in node.watch.observe(alive, self.now, self.now).items():
            for other in self.nodes:
                # A holder that still relies on its lease may not be declared lapsed.
                if other.session == name:
                    assert other.lease.remaining_s(self.now) <= 0
            self.do(sessions.lapse_session(self.platform, name, version))

    def claim(self, node: Node, size: int, stale: bool = False) -> bool:
        """Claim what the planner chooses, or complete a job whose chunks are all done.

        A stale claim is only planned now and carried out by :meth:`claim_planned`.

        Returns:
            Whether a claim succeeded or was planned, or a job was to be completed.
        """
        if node.paused or node.lease.remaining_s(self.now) <= 0:
            return False
        jobs = self.do(read_open_jobs(self.platform))
        if isinstance(jobs, Err):
            return False
        for job in jobs.ok_value:
            view = self.do(read_view(self.platform, job))
            if isinstance(view, Err):
                return False
            if view.ok_value.complete():
                completed, failed = view.ok_value.counts()
                self.do(complete_job(self.platform, job.id, 1.0, completed, failed))
                return True
            states = self.do(
                read_session_states(self.platform, view.ok_value.holders())
            )
            if isinstance(states, Err):
                return False

            def abandoned(row: ChunkRow, start: int) -> bool | None:
                session = row.state.session
                if session == node.session:
                    held = keys.chunk(job.id, start) in node.held_by_key  # noqa: B023
                    return None if held else False
                state = states.ok_value[session]  # noqa: B023
                return None if state == sessions.ALIVE else state == sessions.LAPSED

            actions = plan_claims(view.ok_value, node.name, size, size, abandoned)
            if not actions:
                continue
            node.planned = actions
            return True if stale else self.claim_planned(node)
        return False

    def claim_planned(self, node: Node) -> bool:
        actions, node.planned = node.planned, []
        if not actions or not node.session:
            return False
        call = chunk_claims.claim_chunks(self.platform, actions, node.session)
        if isinstance(self.do(call), Err):
            return False
        for action in actions:
            if not isinstance(action, Split):
                self._hold(node, action)
        return True

    def _hold(self, node: Node, action: Any) -> None:
        state = chunk_claims.claimed_state(action, node.session)
        key = keys.chunk(action.chunk.job, action.chunk.start)
        assert state.attempts > self.attempts_by_key.get(key, 0), "attempts forgotten"
        self.attempts_by_key[key] = state.attempts
        node.held_by_key[key] = HeldChunk(action.chunk, state, node.session)

    def run(self, node: Node, held: HeldChunk) -> bool:
        """Run the next item; False if it crashed the instance."""
        if must_fail(held.chunk, held.state.deaths):
            held.done.add(held.chunk.start)
            return True
        for index in range(held.chunk.start, held.chunk.end):
            if index in held.done:
                continue
            if index == CRASHING_ITEM and held.chunk.job in self.killer_jobs:
                kills = self.kills_by_job.get(held.chunk.job, 0) + 1
                self.kills_by_job[held.chunk.job] = kills
                self.kill(node)
                return False
            held.done.add(index)
            return True
        return True

    def commit(self, node: Node, held: HeldChunk) -> None:
        """Commit without checking the own lease: the table must refuse late commits."""
        name = f"{held.session}-{held.state.attempts}-{held.chunk.start}"
        done = held.state.replace(
            state=DONE, result=name, completed=held.chunk.items, failed=0
        )
        finished = chunk_claims.FinishedChunk(held.chunk, done)
        rows = self.platform.rows_by_key
        row = rows[finished.key]
        entitled = (
            rows[keys.session(held.session)].value["state"] == sessions.ALIVE
            and rows[keys.job(held.chunk.job)].value["state"] == OPEN
            and row.value["session"] == held.session
            and row.value["attempts"] == held.state.attempts
            and row.value["state"] != DONE
        )
        call = chunk_claims.commit_chunks(self.platform, [finished], held.session)
        outcome = self.do(call)
        if isinstance(outcome, Ok):
            assert entitled, "a commit took effect that nobody was entitled to"
        if isinstance(outcome, Ok) or isinstance(outcome.err_value, Conflict):
            node.held_by_key.pop(finished.key, None)

    def kill(self, node: Node) -> None:
        """Crash the instance; another replaces it under a new session."""
        self.nodes[self.nodes.index(node)] = Node(node.name)

    def done_items(self, job_id: str) -> dict[int, str]:
        """Return the result object of each committed item; no item may have two."""
        results: dict[int, str] = {}
        for key, row in self.platform.rows_by_key.items():
            if not key.startswith(keys.chunks(job_id)) or row.value["state"] != DONE:
                continue
            for index in range(int(key[-6:]), row.value["end"]):
                assert index not in results, "an item was committed twice"
                results[index] = row.value["result"]
        return results

    def check(self) -> None:
        """Check what must hold at any time."""
        for job_id in self.accepted_by_id:
            done = self.done_items(job_id)
            for index, result in done.items():
                first = self.results_by_item.setdefault((job_id, index), result)
                assert first == result, "a committed result changed"
            for known_job, index in self.results_by_item:
                assert known_job != job_id or index in done, "a result is gone"
            if job_id in self.cancelled_done_by_id:
                assert set(done) == self.cancelled_done_by_id[job_id]
