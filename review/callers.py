"""Calls of clients about batch jobs, each on a connection of its own."""

import base64
from typing import Any

import aiohttp

from town import HOST, Instance

CALL_TIMEOUT_S = 4.0


def job_body(ids: list[str], path: str, tokens: int) -> dict[str, Any]:
    """Return the body of a job with one item for each id."""
    return {
        "requests": [
            {
                "id": id,
                "path": f"{path}{id}",
                "headers": {
                    "X-Model": "m",
                    "X-Token-Usage": f"350,{tokens - 350}",
                    "X-Prompt-Prefix": f"5c1e07a2:100,{id[:8]}:250",
                },
                "body": base64.b64encode(f"body of {id}".encode()).decode(),
                "tokens": tokens,
            }
            for id in ids
        ]
    }


async def call(
    instance: Instance,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Make one call; return the status, 0 if there was none, and the JSON body."""
    own = {"Host": HOST} | (headers or {})
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, f"http://{instance.callers}{path}", json=body, headers=own
            ) as answer,
        ):
            fields = None
            if answer.content_type == "application/json":
                fields = await answer.json()
            return answer.status, fields
    except (aiohttp.ClientError, TimeoutError):
        return 0, None
