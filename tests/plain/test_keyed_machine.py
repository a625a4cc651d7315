"""State machine of keyed calls, with an oracle that counts runs.

It guards against a second run of a call under the same key, and against another answer
than the recorded one, while writes fail, lose their answers or land late.
"""

from typing import Any
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    precondition,
    rule,
)
from result import Ok

from caperridge import keys
from caperridge.commands.plain_claims import (
    Claimed,
    claim_call,
    record_answer,
    record_lost,
    release_call,
)
from caperridge.commands.sessions import lapse_session, open_session
from caperridge.decisions.plain_calls import (
    DONE,
    RUNNING,
    AnswerRecorded,
    CallClaim,
    KeyReused,
    OutcomeUnknown,
    StillRunning,
    on_resend,
)
from caperridge.queries.plain_calls import is_holder_alive
from caperridge.store import settle
from caperridge.store.interface import Unknown
from plain.conftest import ClaimFaults

KEYS = st.sampled_from(["k1", "k1", "k2"])
FAULTS = st.sampled_from(["", "", "", "outage", "lost", "dropped"])


def done(coroutine: Any) -> Any:
    """Run a coroutine that only awaits pauses of zero length."""
    with patch.object(settle, "RETRY_DELAY_S", 0):
        while True:
            try:
                coroutine.send(None)
            except StopIteration as stopped:
                return stopped.value


class LatePlatform(ClaimFaults):
    """Stores dropped transactions, so that they can take effect late."""

    def __init__(self) -> None:
        super().__init__()
        self.dropped: list[Any] = []

    async def transact(self, conditions, writes, token):
        outcome = await super().transact(conditions, writes, token)
        if isinstance(outcome, Ok) or not isinstance(outcome.err_value, Unknown):
            return outcome
        self.dropped.append((conditions, writes, token))
        return outcome


class KeyedCallMachine(RuleBasedStateMachine):
    """Claims, runs, records and ends sessions in any order; the oracle counts runs."""

    claimed = Bundle("claimed")
    ran = Bundle("ran")

    def __init__(self) -> None:
        super().__init__()
        self.platform = LatePlatform()
        self.requests = 0
        self.runs_by_key: dict[str, int] = {}
        self.digests_by_request: dict[str, str] = {}
        self.answers_by_key: dict[str, bytes] = {}
        self.dead_sessions: set[str] = set()
        self.unclaimed: list[Any] = []
        self.holders_by_key: dict[str, str] = {}
        self.session = ""
        self.lapse()

    @rule(
        target=claimed,
        key=KEYS,
        digest=st.sampled_from(["d1", "d1", "d2"]),
        fault=FAULTS,
    )
    def send(self, key, digest, fault):
        self.requests += 1
        self.platform.claim = fault
        self.digests_by_request[f"r{self.requests}"] = digest
        claim = CallClaim(RUNNING, f"r{self.requests}", digest, self.session, 0.0)
        outcome = done(claim_call(self.platform, row(key), claim))
        self.platform.claim = ""
        if isinstance(outcome, Ok):
            self.holders_by_key[key] = claim.request
            return multiple((key, claim))
        if isinstance(outcome.err_value, Claimed):
            self.check_resend(key, digest, outcome.err_value.claim)
        if isinstance(outcome.err_value, Unknown):
            self.unclaimed.append((key, claim))
        return multiple()

    def check_resend(self, key, digest, found):
        alive = done(is_holder_alive(self.platform, found)).ok_value
        action = on_resend(found, digest, alive, now=1.0)
        other = digest != self.digests_by_request[found.request]
        assert isinstance(action, KeyReused) == other
        if key in self.answers_by_key and not isinstance(action, KeyReused):
            assert isinstance(action, AnswerRecorded)
            assert action.claim.body == self.answers_by_key[key]
        if isinstance(action, StillRunning):
            assert found.session not in self.dead_sessions
        assert isinstance(
            action, AnswerRecorded | KeyReused | OutcomeUnknown | StillRunning
        )

    @rule(target=ran, sender=consumes(claimed))
    def run(self, sender):
        key, _ = sender
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        return sender

    @rule(sender=consumes(claimed), fault=FAULTS)
    def certainly_not_run(self, sender, fault):
        key, claim = sender
        del self.holders_by_key[key]
        self.platform.record = fault
        done(release_call(self.platform, row(key), claim.request))
        self.platform.record = ""

    @precondition(lambda self: self.unclaimed)
    @rule()
    def give_back(self):
        key, claim = self.unclaimed.pop()
        done(release_call(self.platform, row(key), claim.request))

    @rule(sender=ran, fault=FAULTS)
    def record(self, sender, fault):
        key, claim = sender
        self.platform.record = fault
        answer = claim.replace(state=DONE, status=200, body=claim.request.encode())
        outcome = done(record_answer(self.platform, row(key), answer))
        self.platform.record = ""
        if isinstance(outcome, Ok):
            self.answers_by_key[key] = answer.body

    @rule(sender=consumes(ran), fault=FAULTS)
    def lose(self, sender, fault):
        key, claim = sender
        self.platform.record = fault
        done(record_lost(self.platform, row(key), claim.request, "cut", 1.0))
        self.platform.record = ""

    @rule()
    def lapse(self):
        if self.session:
            version = self.platform.rows_by_key[keys.session(self.session)].version
            done(lapse_session(self.platform, self.session, version))
            self.dead_sessions.add(self.session)
        self.session = f"s{len(self.dead_sessions)}"
        done(open_session(self.platform, self.session, "i", 5.0))

    @precondition(lambda self: self.platform.dropped)
    @rule()
    def a_dropped_write_lands_late(self):
        done(self.platform.transact(*self.platform.dropped.pop(0)))

    @invariant()
    def at_most_one_run(self):
        assert all(runs <= 1 for runs in self.runs_by_key.values())

    @invariant()
    def a_claim_stays_with_its_sender(self):
        for key, request in self.holders_by_key.items():
            assert self.platform.rows_by_key[row(key)].value["request"] == request


def row(key: str) -> str:
    return keys.call("heat", "billing", key)


KeyedCallMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
test_keyed_calls_run_at_most_once = KeyedCallMachine.TestCase
