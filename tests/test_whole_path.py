"""The whole path: a completion, a job, an intent and a plain call, over HTTP."""

import asyncio

import aiohttp
import orjson

from caperridge.standins.engine import POISON
from caperridge.standins.engine_model import answer_text
from conftest import CALLER, DECLARATION, Fleet

CHAT = {"model": "chat", "messages": [{"role": "user", "content": "alarm 17?"}]}
PROMPT = "user: alarm 17?\n"


async def test_a_streamed_completion_is_whole(fleet: Fleet) -> None:
    texts: list[str] = []
    headers = {"Authorization": f"Bearer {CALLER}"}
    body = CHAT | {"stream": True, "max_tokens": 20}
    url = fleet.callers_url + "/v1/chat/completions"
    async with fleet.http.post(url, json=body, headers=headers) as response:
        lines = (await response.read()).decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""]
    for line in lines[:-2]:
        event = orjson.loads(line.removeprefix("data: "))
        texts.append(event["choices"][0]["delta"]["content"])
    assert "".join(texts) == answer_text(PROMPT, 20)


async def test_a_whole_completion_is_the_same_text(fleet: Fleet) -> None:
    status, answer = await fleet.post("/v1/chat/completions", CHAT)
    assert status == 200
    assert answer["choices"][0]["message"]["content"] == answer_text(PROMPT, 16)


async def test_a_job_completes_with_results_in_order(fleet: Fleet) -> None:
    lines = []
    for number in range(30):
        prompt = POISON if number == 7 else f"log {number}"
        body = {"model": "chat", "prompt": prompt, "max_tokens": 3}
        item = {"custom_id": f"i{number}", "url": "/v1/completions", "body": body}
        lines.append(orjson.dumps(item))
    form = aiohttp.FormData()
    form.add_field("purpose", "batch")
    form.add_field("file", b"\n".join(lines), filename="logs.jsonl")
    headers = {"Authorization": f"Bearer {CALLER}"}
    url = fleet.callers_url + "/v1/files"
    async with fleet.http.post(url, data=form, headers=headers) as response:
        file = await response.json()
    body = {
        "input_file_id": file["id"],
        "endpoint": "/v1/completions",
        "completion_window": "24h",
    }
    status, job = await fleet.post("/v1/batches", body, **{"Idempotency-Key": "k"})
    assert (status, job["status"]) == (200, "in_progress")
    _, again = await fleet.post("/v1/batches", body, **{"Idempotency-Key": "k"})
    assert again["id"] == job["id"]
    async with asyncio.timeout(20):
        while job["status"] != "completed":
            await asyncio.sleep(0.05)
            _, job = await fleet.get(f"/v1/batches/{job['id']}")
    assert job["request_counts"] == {"total": 30, "completed": 29, "failed": 1}
    url = f"{fleet.callers_url}/v1/files/{job['output_file_id']}/content"
    async with fleet.http.get(url, headers=headers) as response:
        results = [orjson.loads(line) for line in (await response.read()).splitlines()]
    assert [r["custom_id"] for r in results] == [f"i{n}" for n in range(30) if n != 7]
    for result in results:
        text = result["response"]["body"]["choices"][0]["text"]
        assert text == answer_text(f"log {result['custom_id'][1:]}", 3)


async def test_a_confirmed_intent_is_in_force(fleet: Fleet) -> None:
    declaration = DECLARATION.replace('version = "1"', 'version = "2"').replace(
        '"1" = 10.0', '"2" = 11.0'
    )
    assert await fleet.confirm(declaration) == 2
    status, answer = await fleet.operate("/configuration")
    assert status == 200
    assert answer["services_by_name"]["chat"]["version"] == "2"


async def test_a_plain_call_runs_once(fleet: Fleet) -> None:
    status, answer = await fleet.post("/services/billing/check?house=9", {"kwh": 3})
    assert status == 200
    assert answer["path"] == "/check?house=9"
    assert fleet.plain_by_id["billing"].runs_by_request == {answer["request"]: 1}


async def test_a_stranger_is_refused(fleet: Fleet) -> None:
    url = fleet.callers_url + "/v1/chat/completions"
    async with fleet.http.post(url, json=CHAT) as response:
        answer = await response.json()
    assert response.status == 401
    assert answer["error"]["run"] == "not_run"
