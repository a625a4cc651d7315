"""State machine of claims, pauses, crashes, lost answers and outages, with an oracle.

It guards against items that are lost or committed twice, results that change, and jobs
that never end.
"""

import pytest
from batch_world import LEASE_S, World
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok

from caperridge.commands.accept_job import OtherBody, accept_job, new_job_id
from caperridge.commands.cancel_job import cancel_job
from caperridge.decisions.jobs import COMPLETED, Job
from caperridge.store import settle
from caperridge.store.interface import Conflict

NODES = st.integers(0, 2)
MAX_KILLS = 12


class BatchMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.jobs_by_key: dict[str, Job] = {}

    def teardown(self) -> None:
        self.check_jobs_end()
        self.world.check()
        self.world.close()

    @initialize()
    def start(self) -> None:
        for node in self.world.nodes:
            self.world.renew(node)
        self.accept("a", "x", 7, killer=False)

    @rule(
        key=st.sampled_from("ab"),
        body=st.sampled_from("xy"),
        items=st.integers(1, 9),
        killer=st.booleans(),
    )
    def accept(self, key: str, body: str, items: int, killer: bool) -> None:
        job = Job(new_job_id(), "c", "s", "/", "f", items, 5, due=9.0, body_digest=body)
        outcome = self.world.do(accept_job(self.world.platform, job, key))
        first = self.jobs_by_key.get(key)
        if isinstance(outcome, Err):
            if isinstance(outcome.err_value, OtherBody):
                assert first is None or first.body_digest != body
            return
        accepted = outcome.ok_value
        if first is not None:
            assert accepted.id == first.id
            assert first.body_digest == body
            return
        self.jobs_by_key[key] = accepted
        self.world.accepted_by_id[accepted.id] = accepted
        if killer and accepted.id == job.id:
            self.world.killer_jobs.add(accepted.id)

    @rule(node=NODES, size=st.integers(1, 4), stale=st.booleans())
    def claim(self, node: int, size: int, stale: bool) -> None:
        self.world.claim(self.world.nodes[node], size, stale)

    @rule(first=NODES, second=NODES, size=st.integers(1, 5))
    def claim_at_once(self, first: int, second: int, size: int) -> None:
        nodes = self.world.nodes
        self.world.claim(nodes[first], size, stale=True)
        self.world.claim(nodes[second], size, stale=True)
        self.world.claim_planned(nodes[first])
        self.world.claim_planned(nodes[second])

    @rule(node=NODES)
    def claim_planned(self, node: int) -> None:
        self.world.claim_planned(self.world.nodes[node])

    @rule(node=NODES)
    def run_and_commit(self, node: int) -> None:
        chosen = self.world.nodes[node]
        if chosen.paused or chosen.lease.remaining_s(self.world.now) <= 0:
            return
        for held in list(chosen.held_by_key.values()):
            if len(held.done) < held.chunk.items:
                self.world.run(chosen, held)
                return
            self.world.commit(chosen, held)

    @rule(node=NODES, size=st.integers(1, 5))
    def claim_and_finish(self, node: int, size: int) -> None:
        """Claim chunks and run their items, up to the commit."""
        self.world.claim(self.world.nodes[node], size)
        for held in list(self.world.nodes[node].held_by_key.values()):
            while len(held.done) < held.chunk.items:
                if not self.world.run(self.world.nodes[node], held):
                    return

    @rule(node=NODES, other=NODES, size=st.integers(1, 5))
    def pause_past_the_lease(self, node: int, other: int, size: int) -> None:
        self.claim_and_finish(node, size)
        self.world.nodes[node].paused = True
        self.pass_time(LEASE_S / 4, 6)
        self.world.claim(self.world.nodes[other], size)
        self.world.nodes[node].paused = False
        self.commit_late(node)

    @rule(node=NODES)
    def commit_late(self, node: int) -> None:
        chosen = self.world.nodes[node]
        for held in list(chosen.held_by_key.values()):
            self.world.commit(chosen, held)

    @rule(node=NODES)
    def pause_or_wake(self, node: int) -> None:
        chosen = self.world.nodes[node]
        chosen.paused = not chosen.paused

    @rule(node=NODES)
    def kill(self, node: int) -> None:
        self.world.kill(self.world.nodes[node])

    @rule(seconds=st.sampled_from([1.0, 4.0]), times=st.sampled_from([1, 4]))
    def pass_time(self, seconds: float, times: int) -> None:
        for _ in range(times):
            self.world.now += seconds
            for node in self.world.nodes:
                self.world.renew(node)
                self.world.observe(node)

    @rule(key=st.sampled_from("aab"))
    def cancel(self, key: str) -> None:
        job = self.jobs_by_key.get(key)
        if job is None:
            return
        outcome = self.world.do(cancel_job(self.world.platform, job.id, 1.0))
        if isinstance(outcome, Ok):
            done = set(self.world.done_items(job.id))
            self.world.cancelled_done_by_id.setdefault(job.id, done)
        elif isinstance(outcome.err_value, Conflict):
            state = self.world.platform.rows_by_key[f"job/{job.id}"].value["state"]
            assert state == COMPLETED

    @rule(answers=st.integers(1, 2))
    def lose_answers(self, answers: int) -> None:
        self.world.platform.lose_next = answers

    @rule(node=NODES, seconds=st.sampled_from([2.0, 30.0]), key=st.sampled_from("ab"))
    def outage(self, node: int, seconds: float, key: str) -> None:
        self.world.platform.faults.outage = True
        for _ in range(10):
            self.pass_time(seconds / 10, 1)
        self.claim(node, 2, False)
        self.commit_late(node)
        self.cancel(key)
        self.accept("b", "x", 4, False)
        self.world.platform.faults.outage = False

    def check_jobs_end(self) -> None:
        """Check that without further faults every open job ends in bounded time."""
        world = self.world
        world.platform.lose_next = 0
        for node in world.nodes:
            node.paused = False
        for _ in range(250):
            self.pass_time(LEASE_S / 5, 1)
            for number in range(3):
                node = world.nodes[number]
                world.claim(node, 4)
                for _ in range(5):
                    self.run_and_commit(number)
            if all(self._ended(job_id) for job_id in world.accepted_by_id):
                break
        for job_id, job in world.accepted_by_id.items():
            assert self._ended(job_id), "a job never ends"
            if job_id not in world.cancelled_done_by_id:
                assert len(world.done_items(job_id)) == job.items
            assert world.kills_by_job.get(job_id, 0) <= MAX_KILLS

    def _ended(self, job_id: str) -> bool:
        row = self.world.platform.rows_by_key[f"job/{job_id}"]
        return row.value["state"] != "open"

    @invariant()
    def holds(self) -> None:
        self.world.check()


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(settle, "RETRY_DELAY_S", 0.0)


def test_batch_survives_any_order_of_faults() -> None:
    run_state_machine_as_test(
        BatchMachine,
        settings=settings(
            max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
        ),
    )
