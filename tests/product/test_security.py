"""Who may see and do what, and what hostile input cannot reach."""

import io
import json
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import quote

import aiohttp
import logbook
import pytest

from caperridge.keys import token_digest
from caperridge.log import JsonLinesHandler
from conftest import CALLER, DECLARATION, OPERATOR, Fleet

OTHER = "other-token"
SECOND_CALLER = f"""
[callers.frames]
token_sha256 = "{token_digest(OTHER)}"
services = ["lookup"]
"""
HOSTILE = [
    "../../etc/passwd",
    "a\nb",
    '","level":"error',
    "\x1b[31mred",
    "x" * 5000,
    "%2e%2e%2fstate",
    "\u0430dmin",
    "{request}{0}",
]


@pytest.fixture
async def log_lines() -> AsyncIterator[io.StringIO]:
    """What is logged while the test runs."""
    stream = io.StringIO()
    with JsonLinesHandler(stream, level=logbook.DEBUG).applicationbound():
        yield stream


async def ask(fleet: Fleet, token: str, method: str, path: str, **more: Any) -> int:
    """Return the status of one call with ``token``."""
    headers = {"Authorization": f"Bearer {token}"} | more.pop("headers", {})
    url = fleet.callers_url + path
    async with fleet.http.request(method, url, headers=headers, **more) as response:
        body = await response.read()
        assert b"Traceback" not in body
        return response.status


async def upload(fleet: Fleet, custom_id: str = "1", name: str = "f.jsonl") -> Any:
    body = {"model": "chat", "prompt": "p", "max_tokens": 1}
    item = {"custom_id": custom_id, "url": "/v1/completions", "body": body}
    form = aiohttp.FormData()
    form.add_field("purpose", "batch")
    form.add_field("file", json.dumps(item).encode(), filename=name)
    headers = {"Authorization": f"Bearer {CALLER}"}
    url = fleet.callers_url + "/v1/files"
    async with fleet.http.post(url, data=form, headers=headers) as response:
        return await response.json()


async def test_a_caller_sees_nothing_of_another_caller(fleet: Fleet) -> None:
    await fleet.confirm(DECLARATION + SECOND_CALLER)
    file = await upload(fleet)
    body = {"input_file_id": file["id"], "endpoint": "/v1/completions"}
    _, job = await fleet.post("/v1/batches", body)
    for method, path in [
        ("GET", f"/v1/files/{file['id']}"),
        ("GET", f"/v1/files/{file['id']}/content"),
        ("GET", f"/v1/batches/{job['id']}"),
        ("POST", f"/v1/batches/{job['id']}/cancel"),
        ("GET", f"/v1/files/{job['output_file_id']}/content"),
        ("GET", f"/v1/files/{job['error_file_id']}/content"),
    ]:
        assert await ask(fleet, OTHER, method, path) == 404, path
    assert await ask(fleet, OTHER, "POST", "/v1/batches", json=body) == 404
    chat = {"model": "chat", "prompt": "p"}
    assert await ask(fleet, OTHER, "POST", "/v1/completions", json=chat) == 404
    assert await ask(fleet, OTHER, "POST", "/services/billing/x", json={}) == 404
    assert await ask(fleet, CALLER, "GET", f"/v1/batches/{job['id']}") == 200


OPERATORS_ONLY = ["/state", "/configuration", "/requests/req-1"]


@pytest.mark.parametrize("path", OPERATORS_ONLY)
@pytest.mark.parametrize("token", ["", "wrong", CALLER])
async def test_operators_endpoints_need_an_operators_token(
    fleet: Fleet, path: str, token: str
) -> None:
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    async with fleet.http.get(fleet.operators_url + path, headers=headers) as response:
        assert response.status == 401
    for open_path in ("/healthz", "/readyz", "/metrics"):
        async with fleet.http.get(fleet.operators_url + open_path) as response:
            assert response.status == 200


async def test_a_token_is_kept_nowhere(fleet: Fleet, log_lines: io.StringIO) -> None:
    await fleet.post("/v1/completions", {"model": "chat", "prompt": "p"})
    _, state = await fleet.operate("/state")
    _, configuration = await fleet.operate("/configuration")
    rows = [row.value for row in fleet.memory.rows_by_key.values()]
    kept = repr([state, configuration, rows, log_lines.getvalue()])
    kept += repr(list(fleet.memory.objects_by_name.items()))
    assert CALLER not in kept
    assert OPERATOR not in kept
    assert token_digest(CALLER) in kept


@pytest.mark.parametrize("name", HOSTILE)
async def test_a_hostile_name_reaches_no_path_and_no_log_unescaped(
    fleet: Fleet, log_lines: io.StringIO, name: str
) -> None:
    quoted = quote(name, safe="")
    chat = {"model": name, "prompt": "p"}
    statuses = [
        await ask(fleet, CALLER, "POST", "/v1/completions", json=chat),
        await ask(fleet, CALLER, "GET", f"/v1/batches/{quoted}"),
        await ask(fleet, CALLER, "GET", f"/v1/files/{quoted}/content"),
        await ask(fleet, CALLER, "POST", f"/services/{quoted}/x"),
        await ask(fleet, CALLER, "POST", "/v1/batches", json={"input_file_id": name}),
    ]
    assert all(400 <= status < 500 for status in statuses), statuses
    printable = "".join(letter for letter in name if letter.isprintable())
    file = await upload(fleet, custom_id=name[:500], name=printable)
    assert file["items"] == 1
    key = {"Idempotency-Key": quote(name)[:200]}
    body = {"input_file_id": file["id"], "metadata": {"m": name[:500]}}
    batch = await ask(fleet, CALLER, "POST", "/v1/batches", json=body, headers=key)
    assert batch == 200
    for key in (*fleet.memory.rows_by_key, *fleet.memory.objects_by_name):
        assert name not in key
    lines = log_lines.getvalue().splitlines()
    assert lines
    for line in lines:
        assert json.loads(line)["level"] in ("debug", "info", "warning")
        assert "\x1b" not in line


@pytest.mark.parametrize(
    "wrong",
    [
        {"endpoint": "@127.0.0.1:9/v1/completions"},
        {"endpoint": "/control/order"},
        {"endpoint": ["/v1/completions"]},
        {"completion_window": "never"},
        {"metadata": {str(n): "v" for n in range(17)}},
        {"metadata": {"k": "v" * 513}},
        {"metadata": "text"},
    ],
)
async def test_a_job_that_asks_for_the_wrong_thing_is_refused(
    fleet: Fleet, wrong: dict[str, Any]
) -> None:
    file = await upload(fleet)
    body = {"input_file_id": file["id"], "endpoint": "/v1/completions"} | wrong
    assert await ask(fleet, CALLER, "POST", "/v1/batches", json=body) == 400


async def test_a_name_of_an_item_has_an_end(fleet: Fleet) -> None:
    refusal = await upload(fleet, custom_id="x" * 513)
    assert refusal["error"]["code"] == "bad_file"


TOO_MUCH = [
    ("POST", "/v1/completions", {"data": b"[" * 9 * 2**20}, 413),
    ("POST", "/v1/completions", {"data": b"[" * 100_000}, 400),
    ("POST", "/v1/batches", {"headers": {"Idempotency-Key": "k" * 300}}, 400),
    ("GET", "/v1/models", {"headers": {"X-Long": "k" * 9000}}, 400),
    ("GET", "/" + "p" * 9000, {}, 400),
]


@pytest.mark.parametrize(("method", "path", "more", "status"), TOO_MUCH)
async def test_what_is_too_large_is_refused(
    fleet: Fleet, method: str, path: str, more: dict[str, Any], status: int
) -> None:
    assert await ask(fleet, CALLER, method, path, **more) == status
