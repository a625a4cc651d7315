"""State machine of orderers with paused holders, late orders and ended sessions.

It guards against two instances that may order one target at the same time, a target
that accepts an older fencing number or does not reach its desired state, and a service
that loses its last serving runner.
"""

import asyncio
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from orders.world import Member, World, declared

PICK = st.integers(0, 9)


class OrderMachine(RuleBasedStateMachine):
    """Pauses and replaces orderers and ends their sessions while versions change."""

    checks = True
    empty = False

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = World(targets=2, checks=self.checks, empty=self.empty)
        for _ in range(3):
            self.world.start()
        self.run(self.world.run(0.5 if self.empty else 3.0))

    def teardown(self) -> None:
        self.heal()
        self.runner.close()

    def run(self, work: Any) -> Any:
        return self.runner.run(work)

    def pick(self, pick: int) -> Member:
        members = list(self.world.members_by_name.values())
        return members[pick % len(members)]

    @rule(version=st.sampled_from("123"), batch=st.integers(0, 1))
    def declare(self, version: str, batch: int) -> None:
        self.world.wanted = declared(version, self.checks, batch)
        self.run(self.world.spread())

    @rule(pick=PICK, paused=st.booleans())
    def pause(self, pick: int, paused: bool) -> None:
        self.pick(pick).paused = paused

    @rule(pick=PICK, delays=st.booleans())
    def delay_orders(self, pick: int, delays: bool) -> None:
        self.pick(pick).client.delays = delays

    @rule()
    def late_orders_arrive(self) -> None:
        self.world.arrive()

    @rule(pick=PICK)
    def end_session(self, pick: int) -> None:
        self.world.end_session(self.pick(pick))

    @rule(pick=PICK, version=st.sampled_from("123"))
    def take_over_early(self, pick: int, version: str) -> None:
        """Let another instance take over while the holder still relies on its lease."""
        holder = self.pick(pick)
        holder.paused = True
        self.world.end_session(holder)
        self.declare(version, 0)
        self.run(self.world.run(4.0))

    @rule(pick=PICK, alone=st.booleans())
    def view(self, pick: int, alone: bool) -> None:
        self.pick(pick).alone = alone

    @rule(outage=st.booleans())
    def platform(self, outage: bool) -> None:
        self.world.memory.faults.outage = outage

    @rule(pick=PICK)
    def replace(self, pick: int) -> None:
        del self.world.members_by_name[self.pick(pick).name]
        self.world.start()

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0, 15.0]))
    def pass_time(self, seconds: float) -> None:
        self.run(self.world.run(seconds))

    def heal(self) -> None:
        self.world.arrive()
        self.world.memory.faults.outage = False
        for member in self.world.members_by_name.values():
            member.paused = member.alone = member.client.delays = False
        # Time for a lease to expire, lost loads to time out, and two loads in turn.
        self.run(self.world.run(300.0, step_s=1.0))
        service = self.world.wanted.services_by_name["chat"]
        for target in self.world.targets_by_id.values():
            observed = target.observe()
            assert observed.loaded == observed.desired or observed.desired is None
            assert target.loaded.version == service.version
        roles = [t.loaded.role for t in self.world.targets_by_id.values()]
        assert roles.count("batch") == service.batch_runners

    @invariant()
    def a_checking_target_obeys_no_older_number(self) -> None:
        for target in self.world.targets_by_id.values():
            fences = [fence for fence, _ in target.orders]
            assert not self.checks or fences == sorted(fences)


class UncheckedMachine(OrderMachine):
    """The same with targets that accept every order, whatever its fencing number."""

    checks = False


class EmptyMachine(OrderMachine):
    """The same with targets that have not loaded anything."""

    empty = True


@pytest.mark.parametrize("machine", [OrderMachine, UncheckedMachine, EmptyMachine])
def test_orders_hold(machine: type[OrderMachine]) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
        ),
    )
