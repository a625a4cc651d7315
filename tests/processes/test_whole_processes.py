"""The whole path as processes, under kills, freezes, stops and an outage."""

import asyncio
import signal
from collections import Counter

from caperridge.standins.engine_model import answer_text


def ids_of(results: list) -> Counter:
    return Counter(result["custom_id"] for result in results)


def each_once(items: int) -> Counter:
    return Counter(f"i{number}" for number in range(items))


async def slow_engines(town, times: float) -> None:
    for runner in ("runner-1", "runner-2"):
        await town.set_faults(runner, slow=times)


async def test_online_goes_on_through_an_outage_and_batch_after_it(town) -> None:
    await town.set_faults("platform", outage=True)
    stream = await town.stream("one", "alarm 17?", 20)
    assert await stream.rest() == answer_text("alarm 17?", 20)
    url = town.url("two") + "/services/billing/check"
    status, answer = await town.ask("POST", url, {}, **{"Idempotency-Key": "k"})
    assert (status, answer["error"]["run"]) == (503, "unknown")
    assert (await town.counters("billing"))["runs"] == 0
    await town.set_faults("platform")

    async def accepted() -> bool:
        status, _ = await town.ask("POST", url, {}, **{"Idempotency-Key": "k"})
        return status == 200

    await town.until(accepted)
    assert (await town.counters("billing"))["runs_by_key"] == {"k": 1}
    job = await town.submit("one", 20, 3)
    assert ids_of(await town.results("two", job)) == each_once(20)


async def test_what_a_killed_instance_held_is_done_once_or_unknown(
    listed_town,
) -> None:
    town = listed_town
    await town.set_faults("billing", hung=True)
    path = "/services/billing/check"
    key = {"Idempotency-Key": "k"}
    await slow_engines(town, 20.0)
    job = await town.submit("two", 40, 12)
    victim, other = await town.holder()
    url = town.url(victim) + path
    call = asyncio.ensure_future(town.ask("POST", url, {}, **key))

    async def ran() -> bool:
        return (await town.counters("billing"))["runs"] == 1

    await town.until(ran)
    await town.running_by_name[victim].kill()
    await asyncio.gather(call, return_exceptions=True)
    await town.set_faults("billing")
    await slow_engines(town, 1.0)
    await town.list_members(without=victim)
    assert ids_of(await town.results(other, job)) == each_once(40)

    async def resolved() -> bool:
        status, answer = await town.ask("POST", town.url(other) + path, {}, **key)
        assert (status, answer["error"]["run"]) == (409, "unknown")
        return answer["error"]["code"] == "outcome_unknown"

    await town.until(resolved)
    assert (await town.counters("billing"))["runs_by_key"] == {"k": 1}


async def test_an_instance_frozen_past_its_lease_doubles_nothing(listed_town) -> None:
    town = listed_town
    await slow_engines(town, 20.0)
    job = await town.submit("two", 40, 12)
    name, other = await town.holder()
    frozen = town.running_by_name[name]
    session = (await town.operate("/state", instance=name))[1]["session"]
    frozen.signal(signal.SIGSTOP)
    await town.list_members(without=name)
    await slow_engines(town, 1.0)
    before = await town.results(other, job)
    frozen.signal(signal.SIGCONT)

    async def lapsed() -> bool:
        _, state = await town.operate("/state", instance=name)
        return state["session"] not in ("", session)

    await town.until(lapsed)
    assert ids_of(before) == each_once(40)
    assert await town.results(name, job) == before


async def test_a_planned_stop_cuts_no_stream(town) -> None:
    await slow_engines(town, 4.0)
    streams = [await town.stream("one", f"alarm {n}?", 30) for n in range(6)]
    stopping = town.running_by_name["one"]
    stopping.signal(signal.SIGTERM)
    await town.until(lambda: not_ready(town, "one"))
    late = await town.stream("one", "alarm late?", 5)
    assert await late.rest() == answer_text("alarm late?", 5)
    for number, stream in enumerate(streams):
        assert await stream.rest() == answer_text(f"alarm {number}?", 30)
    assert await asyncio.wait_for(stopping.process.wait(), 20) == 0
    stages = [record["stage"] for record in stopping.logged("stopping")]
    assert stages == ["not_ready", "finishing", "handing_over", "closing", "stopped"]


async def not_ready(town, name: str) -> bool:
    return not await town.ready(name)


async def test_a_second_signal_ends_a_stop_and_names_what_it_cut(town) -> None:
    await slow_engines(town, 50.0)
    stream = await town.stream("one", "alarm 17?", 500)
    stopping = town.running_by_name["one"]
    stopping.signal(signal.SIGTERM)
    await town.until(lambda: stopping.logged("stopping"))
    stopping.signal(signal.SIGTERM)
    assert await asyncio.wait_for(stopping.process.wait(), 20) == 6
    await stopping.reader
    (cut,) = stopping.logged("request cut by the stop")
    assert cut["request_id"] == stream.response.headers["X-Request-Id"]
    assert (cut["caller"], cut["tokens"] >= 1) == ("heat", True)
    stream.response.close()


async def test_a_stream_whose_engine_is_killed_comes_whole(town) -> None:
    await slow_engines(town, 4.0)
    streams = [await town.stream("one", f"alarm {n}?", 40) for n in range(4)]
    await town.running_by_name["runner-1"].kill()
    for number, stream in enumerate(streams):
        assert await stream.rest() == answer_text(f"alarm {number}?", 40)
