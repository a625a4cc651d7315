"""Readiness: waiting for targets of declared services, and an empty member list."""

import logbook
import pytest

from caperridge.instance.members import FIRST_POLLS_S, MembersReader
from caperridge.instance.readiness import AWAIT_TARGETS_S, AwaitedTargets
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember
from conftest import until
from peers.conftest import Mesh

END = AWAIT_TARGETS_S


@pytest.mark.parametrize(
    ("steps", "missing"),
    [
        # Each step: time, declared services, listed services; last, awaited services.
        ([(0, None, set()), (END, None, set())], []),
        ([(0, {"a"}, None)], []),
        ([(0, {"a"}, set())], ["a"]),
        ([(0, {"a", "b"}, {"b", "c"})], ["a"]),
        ([(0, {"a"}, {"a"})], []),
        ([(0, {"a"}, set()), (END - 0.1, {"a"}, set())], ["a"]),
        ([(0, {"a"}, set()), (END, {"a"}, set())], []),
        # Time counts from the first list; once settled, waiting never starts again.
        ([(0, {"a"}, None), (END, {"a"}, set())], ["a"]),
        ([(0, {"a"}, {"a"}), (1, {"a", "b"}, set())], []),
        ([(0, set(), set()), (1, {"a"}, set())], []),
    ],
)
def test_targets_of_declared_services_are_awaited_for_a_while(
    steps: list[tuple[float, set[str] | None, set[str] | None]], missing: list[str]
) -> None:
    current = [steps[0]]
    awaited = AwaitedTargets(
        lambda: current[0][1], lambda: current[0][2], lambda: current[0][0]
    )
    found: list[str] = []
    for step in steps:
        current[0] = step
        found = awaited.missing()
    assert found == missing


async def test_one_that_reads_an_empty_list_is_ready_with_the_first_targets(
    mesh: Mesh,
) -> None:
    instance = await mesh.start("entry-1", listed=False)
    awaited = instance.awaited_targets
    awaited._declared = lambda: {"chat"}
    awaited._clock = lambda: 0.0
    await until(lambda: instance.members.known)
    reasons = instance.not_ready_because()
    assert "it does not know any target of chat yet" in reasons
    target = ListedMember("runner-1", "target", "h:1", "oviedo", service="chat")
    mesh.list_member(target)
    await until(lambda: not instance.not_ready_because())


@pytest.mark.parametrize(("complete", "polls"), [(False, 20), (True, 2)])
async def test_a_list_that_lacks_targets_is_read_as_often_as_at_the_start(
    memory: MemoryPlatform, complete: bool, polls: int
) -> None:
    reader = MembersReader(
        memory, lambda _: None, readers=lambda: 23, complete=lambda: complete
    )
    for _ in range(int(20 * FIRST_POLLS_S / reader.idle_s)):
        await reader.idle()
    assert reader.polls == polls


async def test_an_id_that_two_members_share_is_said_once(
    memory: MemoryPlatform,
) -> None:
    twice = [
        ListedMember("a", "target", "h:1", "oviedo", service="chat"),
        ListedMember("a", "instance", "h:2", "oviedo"),
    ]
    memory.set_members(twice)
    reader = MembersReader(memory, lambda _: None, complete=lambda: False)
    with logbook.TestHandler() as logs:
        for _ in range(int(3 * FIRST_POLLS_S / reader.idle_s)):
            await reader.idle()
    warnings = [record for record in logs.records if "have one id" in record.message]
    assert reader.polls > 1
    assert len(warnings) == 1
