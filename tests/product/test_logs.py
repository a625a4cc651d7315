"""What the log says of a request, an attempt, a target and a job."""

import asyncio
import io
import json
from collections.abc import Iterator
from typing import Any

import aiohttp
import logbook
import pytest

from caperridge import log
from caperridge.instance.refusal_log import RefusalLog
from caperridge.log import JsonLinesHandler
from caperridge.refusals import Refusal
from conftest import CALLER, Fleet, until


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    """What is logged while the test runs."""
    lines = io.StringIO()
    with JsonLinesHandler(lines, level=logbook.DEBUG).applicationbound():
        yield lines


def lines_of(stream: io.StringIO, message: str) -> list[dict[str, Any]]:
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    return [line for line in lines if line["message"] == message]


async def test_a_failed_attempt_names_request_attempt_and_target(
    fleet: Fleet, stream: io.StringIO
) -> None:
    for engine in fleet.engines_by_id.values():
        engine.faults.cut_after = 2
    body = {"model": "chat", "prompt": "p", "max_tokens": 3}
    status, answer = await fleet.post("/v1/completions", body)
    assert status == 200
    failed = lines_of(stream, "attempt failed")[0]
    assert failed["request"] == answer["id"]
    assert failed["attempt"].startswith(answer["id"] + ".")
    assert failed["target"] in fleet.engines_by_id


async def test_a_refusal_names_its_request(fleet: Fleet, stream: io.StringIO) -> None:
    _, answer = await fleet.post("/v1/completions", {"model": "x", "prompt": "p"})
    refused = lines_of(stream, "request refused")[0]
    assert refused["request"] == answer["error"]["request_id"]
    assert (refused["code"], refused["run"]) == ("model_not_found", "not_run")


async def test_many_refusals_leave_a_few_lines_and_their_number(
    stream: io.StringIO,
) -> None:
    refusals = RefusalLog(most_lines=3, period_s=0.05)
    for number in range(8):
        refusals.write(Refusal("queue_full", "r", 429, request_id=str(number)), "/v1")
    refusals.write(Refusal("bad_request", "r", 400), "/v1")
    refused = lines_of(stream, "request refused")
    assert [line["request"] for line in refused] == ["0", "1", "2", ""]
    await until(lambda: lines_of(stream, "refusals left out"))
    (left_out,) = lines_of(stream, "refusals left out")
    assert (left_out["code"], left_out["left_out"]) == ("queue_full", 5)
    # The next period has lines of its own, and counts anew.
    refusals.write(Refusal("queue_full", "r", 429, request_id="9"), "/v1")
    assert lines_of(stream, "request refused")[-1]["request"] == "9"
    await asyncio.sleep(0.1)
    assert len(lines_of(stream, "refusals left out")) == 1


async def test_a_failed_item_names_its_job(fleet: Fleet, stream: io.StringIO) -> None:
    for engine in fleet.engines_by_id.values():
        engine.faults.cut_after = 2
    body = {"model": "chat", "prompt": "p", "max_tokens": 3}
    item = {"custom_id": "a", "url": "/v1/completions", "body": body}
    form = aiohttp.FormData()
    form.add_field("file", json.dumps(item).encode(), filename="f.jsonl")
    headers = {"Authorization": f"Bearer {CALLER}"}
    url = fleet.callers_url + "/v1/files"
    async with fleet.http.post(url, data=form, headers=headers) as response:
        file = await response.json()
    body = {"input_file_id": file["id"], "endpoint": "/v1/completions"}
    _, job = await fleet.post("/v1/batches", body)
    await until(lambda: lines_of(stream, "attempt failed"))
    failed = lines_of(stream, "attempt failed")[0]
    assert failed["job"] == job["id"]
    await until(lambda: lines_of(stream, "chunk committed"))


VALUES = ["a\nb", "\ud800", 2**100, b"\xff", object(), {1: 2}, float("nan"), None]


@pytest.mark.parametrize("value", VALUES, ids=lambda value: type(value).__name__)
def test_every_value_leaves_one_line_of_json(stream: io.StringIO, value: Any) -> None:
    log.logger("caperridge.here").warning("odd", value=value, time="mine")
    assert stream.getvalue().count("\n") == 1
    line = json.loads(stream.getvalue())
    assert (line["logger"], line["level"]) == ("here", "warning")
    # A field cannot take the place of one that every line has.
    assert line["time"] != "mine"


def test_an_exception_is_one_line(stream: io.StringIO) -> None:
    try:
        raise ValueError("broken\nin two")
    except ValueError:
        log.logger("caperridge.here").exception("failed")
    line = json.loads(stream.getvalue())
    assert "broken\nin two" in line["exception"]
