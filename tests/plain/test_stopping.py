"""A planned stop: what counts as in flight, what is refused, what is cut."""

import asyncio

import aiohttp
import pytest

from conftest import CALLER, until

HEADERS = {"Authorization": f"Bearer {CALLER}"}


@pytest.mark.parametrize(
    ("service", "key", "run"),
    [
        ("lookup", "", "not_run"),
        ("billing", "", "not_run"),
        ("billing", "k", "unknown"),
    ],
)
async def test_a_stopping_instance_refuses_what_is_new(rig, service, key, run) -> None:
    rig.instance.in_flight.refusing = True
    answer = await rig.call(service, key)
    assert (answer.status, answer.run, answer.code) == (503, run, "stopping")
    assert answer.headers["Retry-After"] == "1"
    assert answer.headers["Connection"] == "close"
    assert rig.runs == 0


async def test_a_stop_waits_for_a_call_and_its_record(rig) -> None:
    rig.set_faults("all", late_s=0.2)
    call = asyncio.ensure_future(rig.call("billing", key="k1"))
    await until(lambda: rig.runs == 1)
    stop = asyncio.ensure_future(rig.instance.drain.run())
    await until(lambda: rig.instance.drain.stage == "finishing")
    assert "it is stopping" in rig.instance.not_ready_because()
    (listed,) = rig.instance.drain.state()["in_flight"]
    assert (listed["caller"], listed["path"]) == ("heat", "/services/billing/check")
    assert (await call).status == 200
    await stop
    assert (rig.instance.drain.stage, rig.instance.drain.cut) == (
        "stopped",
        [],
    )
    (row,) = [r for k, r in rig.memory.rows_by_key.items() if k.startswith("call/")]
    assert row.value["state"] == "done"


async def test_an_upload_is_in_flight_until_its_answer(rig) -> None:
    go_on = asyncio.Event()

    async def body():
        yield b'{"custom_id":"a","url":"/v1/completions","body":{"model":"chat"}}\n'
        await go_on.wait()

    form = aiohttp.FormData()
    form.add_field("file", body(), filename="a.jsonl")
    url = rig.callers_url + "/v1/files"
    upload = asyncio.ensure_future(rig.http.post(url, data=form, headers=HEADERS))
    await until(rig.instance.in_flight.listed)
    stop = asyncio.ensure_future(rig.instance.drain.run())
    await until(lambda: rig.instance.drain.stage == "finishing")
    go_on.set()
    async with await upload as response:
        assert response.status == 200
        assert response.headers["Connection"] == "close"
    await stop
    assert rig.instance.drain.cut == []


async def test_what_does_not_end_in_time_is_cut_and_named(rig) -> None:
    rig.instance.settings.drain_s = 0.05
    rig.set_faults("all", late_s=0.2)
    call = asyncio.ensure_future(rig.call("lookup"))
    await until(lambda: rig.runs == 1)
    await rig.instance.drain.run()
    (cut,) = rig.instance.drain.cut
    assert (cut.caller, cut.path) == ("heat", "/services/lookup/check")
    await call
