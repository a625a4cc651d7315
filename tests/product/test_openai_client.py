"""The official client, unchanged, against one instance."""

import asyncio
import json
from collections.abc import AsyncIterator

import openai
import pytest
from openai import AsyncOpenAI, DefaultAsyncHttpxClient

from caperridge.standins.engine import POISON
from caperridge.standins.engine_model import answer_text
from conftest import CALLER, Fleet

PROMPT = "user: alarm 17?\n"
MESSAGES = [{"role": "user", "content": "alarm 17?"}]


@pytest.fixture
async def client(fleet: Fleet) -> AsyncIterator[AsyncOpenAI]:
    """The client of one caller; it does not read proxies of the environment."""
    async with (
        DefaultAsyncHttpxClient(trust_env=False) as http,
        AsyncOpenAI(
            base_url=fleet.callers_url + "/v1", api_key=CALLER, http_client=http
        ) as client,
    ):
        yield client


async def test_it_streams_a_chat_completion(client: AsyncOpenAI) -> None:
    stream = await client.chat.completions.create(
        model="chat", messages=MESSAGES, max_tokens=20, stream=True
    )
    text, usage = "", None
    async for chunk in stream:
        text += chunk.choices[0].delta.content or ""
        usage = chunk.usage
    assert text == answer_text(PROMPT, 20)
    assert usage is not None
    assert usage.completion_tokens == 20


async def test_it_gets_a_whole_completion_and_the_models(client: AsyncOpenAI) -> None:
    answer = await client.chat.completions.create(
        model="chat", messages=MESSAGES, max_tokens=7
    )
    assert answer.choices[0].message.content == answer_text(PROMPT, 7)
    assert answer.usage is not None
    assert answer.usage.completion_tokens == 7
    models = [model.id async for model in client.models.list()]
    assert "chat" in models


async def test_it_carries_a_batch_through(client: AsyncOpenAI) -> None:
    lines = []
    for number in range(6):
        content = POISON if number == 2 else f"log {number}"
        message = {"role": "user", "content": content}
        body = {"model": "chat", "messages": [message], "max_tokens": 3}
        lines.append(
            {
                "custom_id": f"i{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": body,
            }
        )
    data = "\n".join(json.dumps(line) for line in lines).encode()
    file = await client.files.create(file=("logs.jsonl", data), purpose="batch")
    batch = await client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
        metadata={"shift": "night"},
        extra_headers={"Idempotency-Key": "night-1"},
    )
    async with asyncio.timeout(20):
        while batch.status != "completed":
            await asyncio.sleep(0.05)
            batch = await client.batches.retrieve(batch.id)
    assert batch.request_counts is not None
    assert (batch.request_counts.completed, batch.request_counts.failed) == (5, 1)
    assert batch.metadata == {"shift": "night"}
    assert batch.output_file_id is not None
    assert batch.error_file_id is not None
    output = await client.files.content(batch.output_file_id)
    results = [json.loads(line) for line in output.text.splitlines()]
    assert [result["custom_id"] for result in results] == ["i0", "i1", "i3", "i4", "i5"]
    for result in results:
        text = result["response"]["body"]["choices"][0]["message"]["content"]
        assert text == answer_text(f"user: log {result['custom_id'][1:]}\n", 3)
    errors = await client.files.content(batch.error_file_id)
    assert json.loads(errors.text)["custom_id"] == "i2"


async def test_it_cancels_a_batch(client: AsyncOpenAI, fleet: Fleet) -> None:
    for engine in fleet.engines_by_id.values():
        engine.faults.hung = True
    body = {"model": "chat", "prompt": "p", "max_tokens": 3}
    item = {"custom_id": "a", "url": "/v1/completions", "body": body}
    data = json.dumps(item).encode()
    file = await client.files.create(file=("one.jsonl", data), purpose="batch")
    batch = await client.batches.create(
        input_file_id=file.id, endpoint="/v1/completions", completion_window="24h"
    )
    batch = await client.batches.cancel(batch.id)
    assert batch.status == "cancelled"


async def test_refusals_become_its_exceptions(
    client: AsyncOpenAI, fleet: Fleet
) -> None:
    with pytest.raises(openai.NotFoundError) as absent:
        await client.chat.completions.create(model="none", messages=MESSAGES)
    assert absent.value.code == "model_not_found"
    with pytest.raises(openai.AuthenticationError):
        await client.with_options(api_key="wrong").models.list()
    with pytest.raises(openai.BadRequestError) as bad:
        await client.files.create(file=("bad.jsonl", b"nonsense"), purpose="batch")
    assert bad.value.code == "bad_file"
