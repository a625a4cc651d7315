"""Accepted configuration holds: races of operators, lost answers."""

import asyncio
from typing import Any

from caperridge.measure.fleet import StandinFleet
from promises.conftest import Fleet, until


def wish(standins: StandinFleet, name: str) -> dict[str, Any]:
    declaration = standins.declaration().replace("services.lookup", f"services.{name}")
    return {"files": {"all.toml": declaration}}


async def plan(fleet: Fleet, instance: str, body: dict[str, Any]) -> dict[str, Any]:
    _, answer = await fleet.operate(instance, "/intents", body)
    return body | {"digest": answer["plan"]["digest"]}


def watch_versions(fleet: Fleet) -> dict[str, list[int]]:
    """Note each version that comes into force, by instance."""
    seen_by_id: dict[str, list[int]] = {}
    for name, instance in fleet.instances_by_id.items():
        seen = seen_by_id.setdefault(name, [])
        applied = instance.configuration._applied

        def note(message: Any, seen: Any = seen, applied: Any = applied) -> None:
            seen.append(message.configuration.version)
            applied(message)

        instance.configuration._applied = note
    return seen_by_id


def check_never_down(seen_by_id: dict[str, list[int]]) -> None:
    """Check what came into force; one told by peers is read again, and stays."""
    for seen in seen_by_id.values():
        assert seen == sorted(seen)


def in_force(fleet: Fleet, version: int) -> bool:
    return all(
        instance.configuration.current.version == version
        for instance in fleet.instances_by_id.values()
    )


async def test_of_two_operators_at_two_instances_one_wins_though_answers_are_lost(
    fleet: Fleet,
) -> None:
    seen_by_id = watch_versions(fleet)
    wishes_by_id = {
        name: await plan(fleet, name, wish(fleet.standins, service))
        for name, service in (("entry-1", "alpha"), ("entry-2", "beta"))
    }
    # Slow enough that both have read the head before either has changed it.
    fleet.platform.faults.slow_s = 0.05
    fleet.platform.faults.lose_answers = 1.0
    asked = [
        fleet.operate(name, "/intents/confirm", body)
        for name, body in wishes_by_id.items()
    ]
    answers = await asyncio.gather(*asked)
    assert sorted(status for status, _ in answers) == [200, 409]
    won = next(n for n, (status, _) in enumerate(answers) if status == 200)
    assert answers[won][1]["version"] == 2
    lost = answers[1 - won][1]
    assert (lost["error"]["run"], lost["plan"]["base_version"]) == ("not_run", 2)
    fleet.platform.faults.lose_answers = 0.0
    # The winner's client lost its connection and asks again, at a third instance.
    again = list(wishes_by_id.values())[won]
    status, answer = await fleet.operate("entry-3", "/intents/confirm", again)
    assert (status, answer["version"], answer["already"]) == (200, 2, True)
    await until(lambda: in_force(fleet, 2))
    service = ("alpha", "beta")[won]
    for instance in fleet.instances_by_id.values():
        current = instance.configuration.current
        assert {service} == {"alpha", "beta"} & set(current.services_by_name)
    # The loser's new plan holds, once it has been seen.
    second = list(wishes_by_id.values())[1 - won]
    second = second | {"digest": lost["plan"]["digest"]}
    status, answer = await fleet.operate("entry-3", "/intents/confirm", second)
    assert (status, answer["version"]) == (200, 3)
    await until(lambda: in_force(fleet, 3))
    check_never_down(seen_by_id)


async def test_many_operators_at_once_leave_one_history_that_all_agree_on(
    fleet: Fleet,
) -> None:
    seen_by_id = watch_versions(fleet)
    fleet.platform.faults.lose_answers = 0.5

    async def insist(number: int) -> int:
        """Confirm one change, planning anew as long as others are faster."""
        name = f"entry-{number % 3 + 1}"
        body = {"files": {"all.toml": fleet.standins.declaration()}}
        body["files"]["more.toml"] = f"[services.s{number}]\nkind = 'plain'\n"
        body = await plan(fleet, name, body)
        while True:
            status, answer = await fleet.operate(name, "/intents/confirm", body)
            if status == 200:
                return answer["version"]
            assert (
                status == 409
                or answer["error"]["run"] == "unknown"
                or (answer["error"]["code"] == "platform_away")
            )
            if status == 409:
                body["digest"] = answer["plan"]["digest"]

    confirmed = await asyncio.gather(*map(insist, range(6)))
    assert sorted(confirmed) == list(range(2, 8))
    await until(lambda: in_force(fleet, 7))
    check_never_down(seen_by_id)
    contents = [i.configuration.current for i in fleet.instances_by_id.values()]
    assert contents[0] == contents[1] == contents[2]
