"""Behaviour of the engine stand-in, including each injected fault."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson
import pytest

from caperridge.standins.engine import Engine, make_app
from caperridge.standins.engine_faults import EngineFaults
from caperridge.standins.engine_model import (
    EngineCosts,
    EngineModel,
    Sequence,
    answer_digest,
    answer_text,
)
from conftest import Listen, until

BODY = {"model": "m", "prompt": "the same prompt " * 40, "max_tokens": 8}
STREAM = BODY | {"stream": True}


class Client:
    """Sends requests to one engine."""

    def __init__(self, engine: Engine, url: str, http: aiohttp.ClientSession) -> None:
        self.engine = engine
        self.url = url
        self.http = http

    async def complete(
        self, body: dict[str, Any], attempt: str = "a"
    ) -> tuple[int, bytes]:
        headers = {"X-Request-Id": "r", "X-Attempt-Id": attempt}
        url = self.url + "/v1/completions"
        async with self.http.post(url, json=body, headers=headers) as response:
            return response.status, await response.read()

    async def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        async with self.http.request(method, self.url + path, json=body) as response:
            data = await response.read()
            return response.status, orjson.loads(data) if data else None


@pytest.fixture
async def client(listen: Listen) -> AsyncIterator[Client]:
    """A client of an engine that loads 1000 GB per second."""
    engine = Engine(EngineCosts(step_s=0.002, sequence_s=0.0), gb_per_s=1000.0)
    address = await listen(make_app(engine))
    async with aiohttp.ClientSession() as http:
        yield Client(engine, f"http://{address}", http)


def events_of(data: bytes) -> list[dict[str, Any]]:
    events = data.split(b"\n\n")
    assert events[-2:] == [b"data: [DONE]", b""]
    return [orjson.loads(event.removeprefix(b"data: ")) for event in events[:-2]]


def text_of(events: list[dict[str, Any]]) -> str:
    return "".join(event["choices"][0]["text"] for event in events)


async def test_a_stream_has_ids_offsets_and_usage(client: Client) -> None:
    _, data = await client.complete(STREAM)
    assert data.startswith(b'data: {"id":"r","attempt":"a","offset":0,')
    events = events_of(data)
    assert [event["offset"] for event in events] == list(range(8))
    assert text_of(events) == answer_text(BODY["prompt"], 8)
    assert ["usage" in event for event in events] == [False] * 7 + [True]
    assert events[-1]["usage"]["completion_tokens"] == 8
    _, whole = await client.complete(BODY)
    assert orjson.loads(whole)["usage"] == events[-1]["usage"]


async def test_a_resumed_stream_goes_on_at_its_offset(client: Client) -> None:
    _, data = await client.complete(STREAM | {"resume_from": 5})
    events = events_of(data)
    assert [event["offset"] for event in events] == [5, 6, 7]
    assert events[-1]["usage"]["completion_tokens"] == 8


async def test_an_exported_kv_cache_is_imported_elsewhere(client: Client) -> None:
    long_request = STREAM | {"max_tokens": 10_000}
    running = asyncio.ensure_future(client.complete(long_request, "first"))
    await until(lambda: client.engine.tokens_produced >= 3)
    status, kv = await client.call("GET", "/kv/first")
    assert status == 200
    await client.call("POST", "/control/cancel", {"attempt": "first"})
    running.cancel()
    _, exported = await client.call("GET", "/kv/first")
    assert exported["digest"] == kv["digest"]
    assert exported["produced"] >= kv["produced"]
    assert (await client.call("GET", "/kv/none"))[0] == 404
    assert (await client.call("PUT", "/kv/second", exported))[0] == 204
    max_tokens = exported["produced"] + 2
    resumed = long_request | {
        "resume_from": exported["produced"],
        "max_tokens": max_tokens,
    }
    _, data = await client.complete(resumed, "second")
    offsets = [event["offset"] for event in events_of(data)]
    assert offsets == [exported["produced"], exported["produced"] + 1]


FITS = [("p", 3, True), ("p", 4, False), ("another", 3, False)]


@pytest.mark.parametrize(("prompt", "produced", "fits"), FITS)
async def test_a_kv_cache_serves_only_where_it_fits(
    client: Client, prompt: str, produced: int, fits: bool
) -> None:
    kv = {"digest": answer_digest("p"), "produced": 3}
    await client.call("PUT", "/kv/second", kv)
    sequence = Sequence("second", "r", prompt, 10, produced)
    client.engine.submit(sequence)
    assert sequence.kv_ready == fits


@pytest.mark.parametrize(
    ("kv_ready", "produced", "prefilled"),
    [(True, 3, 0), (False, 3, 203), (False, 0, 200)],
)
def test_an_imported_kv_cache_leaves_nothing_to_prefill(
    kv_ready: bool, produced: int, prefilled: int
) -> None:
    model = EngineModel(EngineCosts(step_s=0.0, sequence_s=0.0, prefill_s=1.0))
    prompt = "x" * (199 * 4)
    model.submit(Sequence("a", "r", prompt, 10, produced, kv_ready))
    step = model.step()
    assert step is not None
    assert step.duration_s == prefilled


FENCING = [(False, [True, False, True], {"version": "3"}), (True, [True] * 3, None)]


@pytest.mark.parametrize(("ignored", "obeyed", "desired"), FENCING)
async def test_orders_are_fenced_unless_it_ignores_the_number(
    client: Client, ignored: bool, obeyed: list[bool], desired: Any
) -> None:
    client.engine.faults.ignore_fencing = ignored
    answers = []
    for fence, version in [(5, "2"), (4, "1"), (6, "3")]:
        order = {"fence": fence, "desired": {"model": "m", "version": version}}
        answers.append((await client.call("POST", "/control/order", order))[0] == 200)
    assert answers == obeyed
    _, state = await client.call("GET", "/control/state")
    assert state["fence"] == 6
    assert state["desired"]["version"] == "3"


async def test_what_is_loaded_follows_what_is_desired(client: Client) -> None:
    for version in ("1", "2"):
        desired = {"model": "m", "version": version, "gb": 50.0}
        await client.call("POST", "/control/order", {"fence": 1, "desired": desired})
    _, state = await client.call("GET", "/control/state")
    assert (state["loaded"]["version"], state["loading"]) == ("1", True)
    status, refusal = await client.complete(BODY)
    assert (status, orjson.loads(refusal)["error"]["run"]) == (503, "not_run")
    await until(lambda: client.engine.loader.loaded.get("version") == "2")
    assert (await client.complete(BODY))[0] == 200


CUT_ANSWERS = [
    (EngineFaults(killed=True), 0),
    (EngineFaults(cut_after=3), 3),
    (EngineFaults(lose_body=True), 0),
]


@pytest.mark.parametrize(("faults", "tokens"), CUT_ANSWERS)
async def test_a_broken_answer_never_passes_for_whole(
    client: Client, faults: EngineFaults, tokens: int
) -> None:
    await client.call("PUT", "/standin/faults", faults.to_map())
    data = b""
    with pytest.raises(aiohttp.ClientError):
        async with client.http.post(
            client.url + "/v1/completions", json=STREAM
        ) as response:
            async for piece in response.content.iter_any():
                data += piece
    assert b"[DONE]" not in data
    assert data.count(b"data: ") == tokens


async def test_a_killed_engine_breaks_what_runs(client: Client) -> None:
    long_request = STREAM | {"max_tokens": 100_000}
    running = asyncio.ensure_future(client.complete(long_request))
    await until(lambda: client.engine.tokens_produced > 2)
    client.engine.kill()
    with pytest.raises(aiohttp.ClientError):
        await running
    assert not client.engine.model.running_by_attempt


COMPLETE_ANSWERS = [
    (EngineFaults(slow=5.0), True),
    (EngineFaults(late_s=0.05), True),
    (EngineFaults(cross=True), False),
]


@pytest.mark.parametrize(("faults", "right"), COMPLETE_ANSWERS)
async def test_a_slow_or_late_answer_is_right_and_a_crossed_one_is_not(
    client: Client, faults: EngineFaults, right: bool
) -> None:
    client.engine.faults = faults
    events = events_of((await client.complete(STREAM))[1])
    assert (text_of(events) == answer_text(BODY["prompt"], 8)) == right
    assert (events[0]["id"] == "r") == right


async def test_a_hung_engine_goes_on_when_it_wakes(client: Client) -> None:
    client.engine.faults.hung = True
    running = asyncio.ensure_future(client.complete(STREAM))
    await until(lambda: client.engine.model.waiting)
    assert not client.engine.tokens_produced
    client.engine.faults.hung = False
    assert len(events_of((await running)[1])) == 8


async def test_reports_lag_and_cache_events_have_gaps(client: Client) -> None:
    engine = client.engine
    engine.faults = EngineFaults(report_lag_s=30.0, event_lag_s=30.0, event_gaps=0.5)
    for number in range(10):
        await client.complete(BODY | {"prompt": f"{number} another prompt " * 40})
    assert await client.call("GET", "/control/load") == (
        200,
        {"running": 0, "waiting": 0},
    )
    assert await client.call("GET", "/control/cache-events") == (200, [])
    # The same reports and events, read 60 s later.
    later = asyncio.get_running_loop().time() + 60.0
    visible_events = engine.cache_events(-1, later)
    blocks = 10 * len(Sequence("a", "r", "0 another prompt " * 40, 1).blocks)
    assert 0 < len(visible_events) < blocks
    assert engine.load_report(later)["waiting"] == 0
