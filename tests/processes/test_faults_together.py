"""Processes that are paused past a change, and killed while they are cut off."""

import signal

from conftest import DECLARATION
from processes.test_whole_processes import each_once, ids_of, slow_engines


def wish(name: str) -> dict:
    return {"files": {"all.toml": DECLARATION.replace("lookup", name)}}


async def confirm(town, instance: str, body: dict) -> tuple[int, dict]:
    return await town.operate("/intents/confirm", body, instance)


async def version(town, instance: str) -> int:
    return (await town.operate("/configuration", instance=instance))[1]["version"]


async def test_a_paused_instance_that_wakes_takes_nothing_back(town) -> None:
    _, answer = await town.operate("/intents", wish("stale"), "two")
    stale = wish("stale") | {"digest": answer["plan"]["digest"]}
    paused = town.running_by_name["two"]
    paused.signal(signal.SIGSTOP)
    for number, name in enumerate(("alpha", "beta"), start=2):
        _, answer = await town.operate("/intents", wish(name))
        body = wish(name) | {"digest": answer["plan"]["digest"]}
        status, answer = await confirm(town, "one", body)
        assert (status, answer["version"]) == (200, number)
    paused.signal(signal.SIGCONT)
    # Whatever it believes at this moment, its plan is on a version that has passed.
    status, answer = await confirm(town, "two", stale)
    assert (status, answer["error"]["run"]) == (409, "not_run")
    assert answer["plan"]["base_version"] == 3
    seen = [await version(town, "two")]

    async def caught_up() -> bool:
        seen.append(await version(town, "two"))
        return seen[-1] == 3

    await town.until(caught_up)
    assert seen == sorted(seen)
    assert await version(town, "one") == 3
    _, history = await town.operate("/configuration/history?limit=9", instance="two")
    assert [v["version"] for v in history["versions"]] == [3, 2, 1]


async def test_an_instance_killed_while_its_zone_is_cut_off_loses_nothing(town) -> None:
    await slow_engines(town, 20.0)
    job = await town.submit("two", 40, 12)
    victim, other = await town.holder()
    await town.set_faults("platform", cut_zones=["oviedo"])
    await town.running_by_name[victim].kill()
    await slow_engines(town, 1.0)
    stream = await town.stream(other, "alarm 17?", 10)
    await stream.rest()
    status, answer = await town.ask("GET", f"{town.url(other)}/v1/batches/{job}")
    assert status == 503
    assert answer["error"]["code"].startswith("platform_")
    await town.set_faults("platform")
    await town.list_members(without=victim)
    assert ids_of(await town.results(other, job)) == each_once(40)
