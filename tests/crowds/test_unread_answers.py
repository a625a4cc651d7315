"""Large answers that nobody reads don't exhaust the machine of a process."""

import asyncio
import base64

import aiohttp
import orjson
import pytest

from crowds.conftest import Gateway, Town
from crowds.crowd import ROOMY_DESCRIPTORS, meet
from crowds.forms import UNREAD_ANSWER
from crowds.test_crowds import BODY_BYTES, CALL, CALLER, MODELS, ORDINARY
from gateway.conftest import HOST
from processes.conftest import BEARER

pytestmark = pytest.mark.xdist_group("crowds")

# Within the limits of an answer, and beyond what the kernel takes of one.
ANSWER_BYTES = 8 * 2**20
FILE_BYTES = 8 * 10**6
# A page of results has 1 MB.
EVENT_BYTES = 30_000
EVENTS = 10
ITEMS = 4
PATIENCE_S = 30.0


async def test_whole_answers_that_nobody_reads(roomy_gateway: Gateway) -> None:
    """Guards against answers that are held before anything counts them."""
    for runner in roomy_gateway.world.runners:
        runner.whole_bytes = ANSWER_BYTES
    address = roomy_gateway.addresses_by_listener["callers"]
    await meet(
        UNREAD_ANSWER,
        roomy_gateway.pid,
        address,
        CALL.replace("/ask/1", "/ask/whole").encode(),
        BODY_BYTES,
        ORDINARY.encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )


async def test_bodies_of_items_that_nobody_reads(roomy_gateway: Gateway) -> None:
    """Guards against reading a job for each caller that asks for a body of it."""
    address = roomy_gateway.addresses_by_listener["callers"]
    for runner in roomy_gateway.world.runners:
        runner.refuse = True
    item = {"id": "large", "path": "/work/large", "headers": {}, "tokens": 10}
    item["body"] = base64.b64encode(bytes(BODY_BYTES // 4 * 3 - 3000)).decode()
    headers = {"Host": HOST, "X-Request-Id": "job"}
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{address}/work/job", json={"requests": [item]}, headers=headers
        ) as response,
    ):
        assert response.status == 202
    for runner in roomy_gateway.world.runners:
        runner.refuse = False
    head = f"GET /items/job?id=large HTTP/1.1\r\nHost: {HOST}\r\n"
    await meet(
        UNREAD_ANSWER,
        roomy_gateway.pid,
        address,
        head.encode(),
        BODY_BYTES,
        ORDINARY.encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )


async def test_results_that_nobody_reads(roomy_gateway: Gateway) -> None:
    """Guards against pages of results that are read before anything counts them."""
    address = roomy_gateway.addresses_by_listener["callers"]
    for runner in roomy_gateway.world.runners:
        runner.filling = "x" * EVENT_BYTES
        runner.events = EVENTS
    items = [
        {"id": f"i{number}", "path": "/work/1", "headers": {}, "tokens": 10, "body": ""}
        for number in range(ITEMS)
    ]
    headers = {"Host": HOST, "X-Request-Id": "job"}
    async with aiohttp.ClientSession() as session:
        url = f"http://{address}/work/job"
        async with session.post(
            url, json={"requests": items}, headers=headers
        ) as response:
            assert response.status == 202
        listed = 0
        async with asyncio.timeout(PATIENCE_S):
            while listed < ITEMS:
                url = f"http://{address}/lots/job?sinceRev={ITEMS - 1}"
                headers = {"Host": HOST, "X-Wait-Ms": "1000"}
                async with session.get(url, headers=headers) as response:
                    page = await response.json()
                listed = page["nextToken"]
    for runner in roomy_gateway.world.runners:
        runner.filling = ""
    head = f"GET /lots/job?sinceRev=0 HTTP/1.1\r\nHost: {HOST}\r\n"
    await meet(
        UNREAD_ANSWER,
        roomy_gateway.pid,
        address,
        head.encode(),
        BODY_BYTES,
        ORDINARY.encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )


async def test_files_that_nobody_reads(roomy_town: Town) -> None:
    """Guards against parts of files that are held for each of their readers."""
    one = roomy_town.running_by_name["one"]
    address = one.addresses_by_listener["callers"]
    file = await _upload(address, FILE_BYTES)
    head = f"GET /v1/files/{file}/content HTTP/1.1\r\nHost: here\r\n"
    await meet(
        UNREAD_ANSWER,
        one.process.pid,
        address,
        (head + f"Authorization: Bearer {CALLER}\r\n").encode(),
        BODY_BYTES,
        MODELS.encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )


async def _upload(address: str, size: int) -> str:
    """Upload a file of batch items and return its id."""
    body = {"model": "chat", "prompt": "x" * 1000}
    lines = []
    length = 0
    while length < size:
        item = {"custom_id": f"i{len(lines)}", "url": "/v1/completions", "body": body}
        lines.append(orjson.dumps(item))
        length += len(lines[-1]) + 1
    form = aiohttp.FormData()
    form.add_field("purpose", "batch")
    form.add_field("file", b"\n".join(lines), filename="items.jsonl")
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{address}/v1/files", data=form, headers=BEARER
        ) as response,
    ):
        assert response.status == 200
        return (await response.json())["id"]
