"""A state machine over limits, queue, routing, ejection and the `run` word.

The oracle keeps its own plain record of what happened and knows no policy.
"""

from collections import deque

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from caperridge.config.model import Caller
from caperridge.decisions.fair_queue import FairQueue, QueuedRequest
from caperridge.decisions.limit_share import LimitShare
from caperridge.decisions.limits import BURST_S, RateLimiter
from caperridge.decisions.progress import MAX_ATTEMPTS, Progress
from caperridge.decisions.routing import TargetPool
from caperridge.decisions.target_state import RequestProfile, TargetReport
from caperridge.refusals import NOT_RUN
from caperridge.store.interface import ListedMember
from caperridge.targets.outcomes import Lost, NotSent, TargetRefused, WrongAnswer

MOST_WAITING = 3
MOST_RUNNING = 1
INSTANCES = 2
TARGETS = ("t1", "t2", "t3", "t4", "t5", "t6")
CALLERS = {
    "rate": Caller("rate", "0" * 64, requests_per_s=0.2),
    "tokens": Caller("tokens", "0" * 64, tokens_per_s=40.0),
    "few": Caller("few", "0" * 64, most_running=5, share=3.0),
    "free": Caller("free", "0" * 64),
}
FAILURES = {
    "refused connection": (NotSent("x"), False),
    "lost": (Lost("x"), True),
    "wrong": (WrongAnswer("x"), True),
    "busy, not run": (TargetRefused(429, "x", "not_run"), False),
    "busy, silent": (TargetRefused(503, "x"), True),
    "leaving": (TargetRefused(503, "x", "not_run", leaving=True), False),
}


class Running:
    """One request as the oracle sees it."""

    def __init__(self, caller: str, deadline: float, repeatable: bool) -> None:
        self.caller = caller
        self.deadline = deadline
        self.repeatable = repeatable
        self.progress = Progress()
        self.target = ""
        self.bytes_left = False
        self.runs = 0
        self.attempts = 0


class PolicyMachine(RuleBasedStateMachine):
    """Drives the policy as an instance does."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.book = TargetPool("oviedo", seed=1)
        self.limits = RateLimiter()
        self.queue = FairQueue(MOST_WAITING)
        self.members: dict[str, ListedMember] = {}
        self.gone: set[tuple[str, int]] = set()
        self.running: list[Running] = []
        self.admitted: dict[str, deque[tuple[float, int]]] = {
            name: deque() for name in CALLERS
        }

    @initialize(count=st.integers(2, len(TARGETS)))
    def listed(self, count: int) -> None:
        for name in TARGETS[:count]:
            self.members[name] = ListedMember(
                name, "target", f"{name}:1", "oviedo", service="chat", incarnation=1
            )
        self.book.apply_list(self.members.values(), self.now)

    @rule(seconds=st.sampled_from([0.01, 0.2, 1.0, 7.0, 40.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        self.pump()

    @rule(
        caller=st.sampled_from(sorted(CALLERS)),
        tokens=st.integers(1, 60),
        patience_s=st.sampled_from([0.05, 1.0, 30.0]),
        repeatable=st.booleans(),
        count=st.sampled_from([1, 1, 6]),
    )
    def arrive(
        self,
        caller: str,
        tokens: int,
        patience_s: float,
        repeatable: bool,
        count: int,
    ) -> None:
        for _ in range(count):
            self.arrives(caller, tokens, patience_s, repeatable)

    def arrives(
        self, caller: str, tokens: int, patience_s: float, repeatable: bool
    ) -> None:
        over = self.limits.admit(
            CALLERS[caller], tokens, LimitShare(INSTANCES), self.now
        )
        if over is not None:
            assert over.retry_after_s > 0
            return
        self.admitted[caller].append((self.now, tokens))
        request = Running(caller, self.now + patience_s, repeatable)
        if not len(self.queue) and self.has_room():
            self.start(request)
            return
        waiting = QueuedRequest(
            "r", caller, CALLERS[caller].share, request.deadline, request
        )
        dropped = self.queue.push(waiting)
        if dropped is not None:
            self.limits.release(dropped.caller)
        self.pump()

    def has_room(self) -> bool:
        return self.book.has_capacity("chat", MOST_RUNNING, self.now)

    def pump(self) -> None:
        while self.has_room():
            best, late = self.queue.pop(self.now)
            for waiting in late:
                assert waiting.deadline <= self.now
                self.limits.release(waiting.caller)
            if best is None:
                return
            assert best.deadline > self.now
            self.start(best.context)

    def start(self, request: Running) -> None:
        request.attempts += 1
        assert request.attempts <= MAX_ATTEMPTS
        weighed = self.book.choose(
            "chat",
            request.progress.excluded,
            RequestProfile(most_running=MOST_RUNNING),
            self.now,
        )
        usable = [
            name
            for name, member in self.members.items()
            if (name, member.incarnation) not in self.gone
            and name not in request.progress.excluded
        ]
        if not weighed:
            assert not usable
            self.end(request, request.progress.run)
            return
        assert weighed[0].target in usable
        request.target = weighed[0].target
        self.book.record_start(request.target)
        self.running.append(request)

    def end(self, request: Running, run: str | None = None) -> None:
        if run == NOT_RUN:
            assert not request.bytes_left
        if not request.repeatable:
            assert request.runs <= 1
        self.limits.release(request.caller)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def succeeds(self, data: st.DataObject) -> None:
        request = self.running.pop(
            data.draw(st.integers(0, len(self.running) - 1), label="request")
        )
        request.runs += 1
        self.book.record_finish(request.target)
        self.book.record_success(request.target, self.now)
        self.end(request)
        self.pump()

    @precondition(lambda self: self.running)
    @rule(data=st.data(), how=st.sampled_from(sorted(FAILURES)))
    def fails(self, data: st.DataObject, how: str) -> None:
        index = data.draw(st.integers(0, len(self.running) - 1), label="request")
        self.fail(self.running[index], how)
        self.pump()

    @precondition(lambda self: self.running)
    @rule(how=st.sampled_from(["busy, not run", "refused connection"]))
    def fails_everywhere(self, how: str) -> None:
        request = self.running[-1]
        while request in self.running:
            self.fail(request, how)
        self.pump()

    def fail(self, request: Running, how: str) -> None:
        self.running.remove(request)
        error, sent = FAILURES[how]
        request.bytes_left |= sent
        request.runs += sent
        self.book.record_finish(request.target)
        if self.book.record_failure(request.target, error, self.now):
            self.check_floor()
        request.progress.record_failure(request.target, error, believes_not_run=True)
        if isinstance(error, TargetRefused) and error.leaving:
            self.leaves(request.target)
        stop = request.progress.stop_reason(
            error, request.repeatable, request.deadline, self.now
        )
        if stop is not None:
            self.end(request, request.progress.run)
        else:
            self.start(request)

    def leaves(self, target: str) -> None:
        self.book.mark_leaving(target)
        if target in self.members:
            self.gone.add((target, self.members[target].incarnation))

    @rule(name=st.sampled_from(TARGETS), old=st.booleans())
    def peer_says_leaving(self, name: str, old: bool) -> None:
        name = self.known(name)
        incarnation = self.members[name].incarnation - old
        self.book.mark_leaving(name, incarnation)
        if not old:
            self.gone.add((name, incarnation))

    @rule(name=st.sampled_from(TARGETS))
    def is_replaced(self, name: str) -> None:
        name = self.known(name)
        member = self.members[name]
        self.members[name] = member.replace(incarnation=member.incarnation + 1)
        # What ran at the former one is lost with it.
        lost = [r for r in self.running if r.target == name]
        self.running = [r for r in self.running if r.target != name]
        self.book.apply_list(self.members.values(), self.now)
        for request in lost:
            self.end(request)

    @rule(name=st.sampled_from(TARGETS))
    def list_drops_and_shows_again(self, name: str) -> None:
        rest = [m for m in self.members.values() if m.id != name]
        self.book.apply_list(rest, self.now)
        for request in self.running[:1]:
            if request.target == name:
                self.fail(request, "lost")
        self.book.apply_list(self.members.values(), self.now)

    @rule(name=st.sampled_from(TARGETS), leaving=st.booleans())
    def late_list(self, name: str, leaving: bool) -> None:
        name = self.known(name)
        stale = dict(self.members)
        state = "leaving" if leaving else "live"
        stale[name] = stale[name].replace(state=state)
        if leaving:
            self.gone.add((name, stale[name].incarnation))
        self.book.apply_list(stale.values(), self.now)

    @rule(name=st.sampled_from(TARGETS), online=st.integers(0, 6))
    def report_comes(self, name: str, online: int) -> None:
        name = self.known(name)
        self.book.record_report(name, TargetReport(0, online, at=self.now))
        self.pump()

    def known(self, name: str) -> str:
        return name if name in self.members else TARGETS[0]

    def check_floor(self) -> None:
        usable = [s for s in self.book.states_by_id.values() if not s.leaving]
        out = [s for s in usable if s.health.is_ejected(self.now)]
        assert len(out) <= len(usable) / 2

    @invariant()
    def limits_hold(self) -> None:
        rate = CALLERS["rate"].requests_per_s / INSTANCES
        times = [at for at, _ in self.admitted["rate"]]
        for index, since in enumerate(times):
            for count, at in enumerate(times[index:], 1):
                most = max(1.0, rate * BURST_S) + rate * (at - since)
                assert count <= most + 1e-6
        rate = CALLERS["tokens"].tokens_per_s / INSTANCES
        taken = [tokens for _, tokens in self.admitted["tokens"]]
        if taken:
            passed_s = self.now - self.admitted["tokens"][0][0]
            # One request larger than the bucket may leave it in debt.
            assert sum(taken[:-1]) <= rate * (BURST_S + passed_s) + 60
        assert self.limits.running("few") <= 3

    @invariant()
    def queue_is_bounded(self) -> None:
        assert len(self.queue) <= MOST_WAITING

    @invariant()
    def counts_agree(self) -> None:
        for name, state in self.book.states_by_id.items():
            here = sum(1 for request in self.running if request.target == name)
            assert state.in_flight == here
        tracked = sum(s.running for s in self.limits.usage_by_caller.values())
        assert tracked == len(self.running) + len(self.queue)


@pytest.mark.parametrize("steps", [25, 60])
def test_the_policy_keeps_its_promises(steps: int) -> None:
    run_state_machine_as_test(
        PolicyMachine,
        settings=settings(
            derandomize=True,
            max_examples=120,
            stateful_step_count=steps,
            deadline=None,
        ),
    )
