"""Decoding of the platform's data into the product's types; the rest is refused."""

import base64
from typing import Any

import orjson
import pytest

from caperridge.findings import FindingsError
from caperridge.gateway.dialect import DecodeError
from caperridge.gateway.jobs.model import COMPLETED, DEAD, ItemResult, ResultsPage
from caperridge.gateway.routes import BATCH, STREAMING, Share
from caperridge.gateway.settings import parse
from caperridge.platform.dialect import PlatformDialect

CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "unknown": 1,
    "routes": [
        {
            "name": "r-1",
            "host": "Nony24.example",
            "pathPrefix": "/lohu/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 300,
            "priority": 0,
            "trafficSplit": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 10},
            ],
            "maxAttempts": 2,
            "resumable": True,
            "gapTargetMs": 200,
        },
        {
            "name": "r-2",
            "host": "nony24.example",
            "pathPrefix": "/pule/",
            "kind": "batch",
            "timeoutMs": 15000,
            "targetLatencyMs": 400,
            "service": "a",
            "maxAttempts": 3,
            "runTargetMs": 18000,
            "maxQueuedTokens": 1400000,
            "retentionS": 60,
        },
    ],
    "services": [{"name": "a", "healthPath": "/healthz", "engine": {"slots": 8}}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
SETTINGS = """
[instance]
id = "e-1"
availability_zone = "a"
metrics_port = 0
later_key = 1
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peers = "127.0.0.1:3"
[peers]
seeds = ["127.0.0.1:3"]
[store]
address = "127.0.0.1:4"
row_bytes = 65536
object_bytes = 8388608
[jobs]
kept_s = 120
[stopping]
grace_s = 8
"""


@pytest.fixture
def dialect() -> PlatformDialect:
    return PlatformDialect()


def test_a_configuration_is_decoded(dialect: PlatformDialect) -> None:
    table = dialect.configuration(orjson.dumps(CONFIGURATION))
    stream = table.find("nony24.example:80", "/lohu/2f?x=1")
    job = table.find("nony24.example", "/pule/1")
    assert table.version == 7
    assert stream is not None and job is not None
    assert (stream.kind, stream.idempotent, stream.timeout_s) == (STREAMING, True, 5.0)
    assert stream.shares == [Share("a", 90.0), Share("b", 10.0)]
    assert job.kind == BATCH and job.batch is not None
    assert (job.batch.due_s, job.batch.max_waiting_tokens) == (18.0, 1400000)
    assert table.limits.body_bytes == 4194304


def without(fields: dict[str, Any], *path: Any) -> dict[str, Any]:
    copy = orjson.loads(orjson.dumps(fields))
    parent = copy
    for part in path[:-1]:
        parent = parent[part]
    del parent[path[-1]]
    return copy


@pytest.mark.parametrize(
    "path",
    [
        ("version",),
        ("routes", 0, "host"),
        ("routes", 1, "runTargetMs"),
        ("services",),
        ("limits", "maxBodyBytes"),
    ],
)
def test_a_configuration_that_lacks_something_is_refused(
    dialect: PlatformDialect, path: tuple[Any, ...]
) -> None:
    with pytest.raises(DecodeError):
        dialect.configuration(orjson.dumps(without(CONFIGURATION, *path)))


@pytest.mark.parametrize("value", [b"", b"[]", b"7", b"\xff"])
def test_bytes_that_are_nothing_are_refused(
    dialect: PlatformDialect, value: bytes
) -> None:
    with pytest.raises(DecodeError):
        dialect.configuration(value)
    with pytest.raises(DecodeError):
        dialect.target("i", value)
    with pytest.raises(DecodeError):
        dialect.job(value)


def test_a_target_is_decoded(dialect: PlatformDialect) -> None:
    entry = {
        "service": "a",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "draining",
        "coldLeftMs": 0,
        "seq": 4,
    }
    target = dialect.target("i-1", orjson.dumps(entry))
    assert (target.id, target.slots, target.draining) == ("i-1", 8, True)
    assert not dialect.target("i-1", orjson.dumps(entry | {"state": "ready"})).draining


def test_a_job_and_its_results(dialect: PlatformDialect) -> None:
    item = {
        "id": "x",
        "path": "/pule/1",
        "headers": {"X-Model": "m"},
        "body": base64.b64encode(b"\x00body").decode(),
        "tokens": 940,
    }
    job = dialect.job(orjson.dumps({"requests": [item]}))
    assert (job.tokens, job.items[0].body) == (940, b"\x00body")
    results = [ItemResult("x", COMPLETED, b"a\nb"), ItemResult("y", DEAD)]
    answer = orjson.loads(dialect.results(ResultsPage(5, 2, results)))
    assert answer == {
        "total": 5,
        "nextToken": 4,
        "results": [
            {"id": "x", "state": "completed", "message": "a\nb"},
            {"id": "y", "state": "dead_letter", "message": ""},
        ],
    }


@pytest.mark.parametrize(
    "text",
    [b"a" * 40_000, b'"' * 40_000, b"\x01" * 40_000, b"\xff" * 40_000, b"\n" * 2],
)
def test_a_page_of_results_stays_within_its_size_as_sent(
    dialect: PlatformDialect, text: bytes
) -> None:
    """Guards against pages over the limit when the encoding makes texts longer."""
    results = [ItemResult(f"x{number}", COMPLETED, text) for number in range(200)]
    first = 0
    while first < len(results):
        body = dialect.results(ResultsPage(len(results), first, results[first:]))
        assert len(body) <= 1_000_000
        page = orjson.loads(body)
        assert page["results"][0]["id"] == f"x{first}"
        assert page["nextToken"] == first + len(page["results"])
        first = page["nextToken"]


def test_a_result_larger_than_a_page_is_a_page_of_its_own(
    dialect: PlatformDialect,
) -> None:
    """Guards against a caller that never gets past a large result."""
    results = [ItemResult("x", COMPLETED, b"a" * 1_000_001), ItemResult("y", DEAD)]
    page = orjson.loads(dialect.results(ResultsPage(2, 0, results)))
    assert ([one["id"] for one in page["results"]], page["nextToken"]) == (["x"], 1)


def test_settings_skip_what_they_do_not_know() -> None:
    settings = parse(SETTINGS, "local.toml")
    assert (settings.instance, settings.grace_s) == ("e-1", 8.0)


def test_settings_report_everything_that_is_missing_at_once() -> None:
    text = SETTINGS.replace('address = "127.0.0.1:4"\n', "").replace("grace_s = 8", "")
    with pytest.raises(FindingsError) as raised:
        parse(text, "local.toml")
    assert "store.address: is missing" in str(raised.value)
    assert "stopping.grace_s: is missing" in str(raised.value)


def test_a_stream_that_is_taken_up_has_the_fingerprint_of_its_first_try() -> None:
    """Else a request that crashes targets is a new one with each take-up."""
    names = PlatformDialect().headers
    for name in (names.request, names.resume, names.stream):
        assert name.lower() in PlatformDialect().per_attempt_headers
