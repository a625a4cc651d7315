"""State machine of configuration replication, with an oracle of confirmed versions.

It guards against versions that go down, stay different between instances, are lost, or
differ from what was confirmed, while instances are cut off, paused or replaced.
"""

import asyncio
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Err, Ok

from caperridge.commands.confirm_intent import HeadMoved
from caperridge.config.model import Configuration
from caperridge.decisions.plans import make_plan
from caperridge.queries.configuration import read_version
from caperridge.store.interface import Unknown
from configuration.world import Member, World, with_callers

ZONES = ("oviedo", "bilbao")
PICK = st.integers(0, 9)


class ConfigurationMachine(RuleBasedStateMachine):
    """Cuts, pauses and replaces instances while operators confirm plans."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = World()
        self.confirmed: dict[int, Configuration] = {}
        self.unknown_outcomes: list[tuple[Configuration, str]] = []
        self.versions_by_name: dict[str, int] = {}
        self.number = 0
        for zone in ZONES * 2:
            self.world.start(zone)

    def teardown(self) -> None:
        self.runner.close()

    def run(self, work: Any) -> Any:
        return self.runner.run(work)

    def pick(self, pick: int) -> Member:
        members = list(self.world.members_by_name.values())
        return members[pick % len(members)]

    def record(self, wanted: Configuration, digest: str, outcome: Any) -> None:
        if isinstance(outcome, Ok):
            version = outcome.ok_value.version
            content = wanted.replace(version=version)
            assert self.confirmed.setdefault(version, content) == content
            return
        if isinstance(outcome.err_value, Unknown):
            self.unknown_outcomes.append((wanted, digest))

    @rule(pick=PICK, lost=st.booleans())
    def confirm(self, pick: int, lost: bool) -> None:
        member = self.pick(pick)
        self.number += 1
        wanted = with_callers("a", share=float(self.number))
        digest = make_plan(member.keeper.current, wanted).digest
        member.platform.loses = {"transact"} if lost else set()
        self.record(
            wanted, digest, self.run(self.world.confirm(member, wanted, digest))
        )
        member.platform.loses = set()

    @rule(pick=PICK, other=PICK)
    def race(self, pick: int, other: int) -> None:
        first, second = self.pick(pick), self.pick(other)
        base = first.keeper.current
        if base.version != second.keeper.current.version:
            return
        outcomes = []
        for member, share in ((first, 0.25), (second, 0.5)):
            wanted = with_callers("a", share=share + self.number)
            digest = make_plan(base, wanted).digest
            outcome = self.run(self.world.confirm(member, wanted, digest))
            self.record(wanted, digest, outcome)
            outcomes.append(outcome)
        self.number += 1
        assert sum(isinstance(outcome, Ok) for outcome in outcomes) <= 1

    @precondition(lambda self: self.unknown_outcomes)
    @rule(pick=PICK)
    def ask_again(self, pick: int) -> None:
        wanted, digest = self.unknown_outcomes[0]
        outcome = self.run(self.world.confirm(self.pick(pick), wanted, digest))
        if isinstance(outcome, Ok) or isinstance(outcome.err_value, HeadMoved):
            self.unknown_outcomes.pop(0)
            self.record(wanted, digest, outcome)

    @rule(zone=st.sampled_from(ZONES), peers=st.booleans(), platform=st.booleans())
    def cut(self, zone: str, peers: bool, platform: bool) -> None:
        (self.world.cut_zones.add if peers else self.world.cut_zones.discard)(zone)
        for member in self.world.members_by_name.values():
            if member.zone == zone:
                member.platform.cut = platform

    @rule(pick=PICK, paused=st.booleans())
    def pause(self, pick: int, paused: bool) -> None:
        self.pick(pick).paused = paused

    @rule(pick=PICK, stale=st.booleans())
    def read_stale(self, pick: int, stale: bool) -> None:
        rows = dict(self.world.memory.rows_by_key) if stale else None
        self.pick(pick).platform.stale_rows = rows

    @rule(pick=PICK)
    def replace(self, pick: int) -> None:
        old = self.pick(pick)
        self.world.stop(old)
        fresh = self.world.start(old.zone)
        fresh.platform.cut = old.platform.cut

    @rule(rounds=st.integers(1, 12))
    def pass_time(self, rounds: int) -> None:
        self.run(self.world.run(rounds))

    @rule()
    def heal(self) -> None:
        self.world.cut_zones.clear()
        for member in self.world.members_by_name.values():
            member.platform.cut = member.paused = False
            member.platform.stale_rows = None
        self.run(self.world.run(14))
        newest = max(self.confirmed, default=0)
        versions = {m.version for m in self.world.members_by_name.values()}
        # A version whose confirmation was lost may be in force too.
        assert len(versions) == 1
        assert versions.pop() >= newest
        assert all(m.keeper.known for m in self.world.members_by_name.values())

    @invariant()
    def no_version_goes_down(self) -> None:
        for name, member in self.world.members_by_name.items():
            assert member.versions == sorted(member.versions)
            assert member.version >= self.versions_by_name.get(name, 0)
            self.versions_by_name[name] = member.version

    @invariant()
    def what_is_in_force_was_confirmed(self) -> None:
        for member in self.world.members_by_name.values():
            confirmed = self.confirmed.get(member.version)
            assert confirmed is None or member.keeper.current == confirmed

    @invariant()
    def what_was_confirmed_survives(self) -> None:
        for version, content in list(self.confirmed.items())[-2:]:
            read = self.run(read_version(self.world.memory, version))
            assert not isinstance(read, Err)
            assert read.ok_value == content


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
