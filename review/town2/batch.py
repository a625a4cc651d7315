"""The batch route of the deployment, and batch jobs as clients send them."""

import base64
from typing import Any

from town2.town import HOST


def batch_route(**changes: Any) -> dict[str, Any]:
    """Return the batch route, like that of arcn-caperridge."""
    return {
        "name": "log-summary",
        "host": HOST,
        "pathPrefix": "/pule252/",
        "kind": "batch",
        "timeoutMs": 15000,
        "targetLatencyMs": 400,
        "runTargetMs": 18000,
        "retentionS": 60,
        "maxQueuedTokens": 1400000,
        "priority": 2,
        "service": "calor-llm",
        "maxAttempts": 3,
        "resumable": True,
    } | changes


def batch_job(id: str, items: int) -> dict[str, Any]:
    """Return a batch job as a client sends it."""
    return {
        "requests": [
            {
                "id": f"{id}i{number}",
                "path": f"/pule252/{id}/{number}",
                "headers": {"X-Model": "m", "X-Token-Usage": "300,200"},
                "body": base64.b64encode(f"{id} {number}".encode() * 20).decode(),
                "tokens": 500,
            }
            for number in range(items)
        ]
    }


def stream_route(**changes: Any) -> dict[str, Any]:
    """Return the route of a stream that may not be repeated, like `alarm-query`."""
    return {
        "name": "alarm-query",
        "host": HOST,
        "pathPrefix": "/raxa460/",
        "kind": "streaming",
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "gapTargetMs": 200,
        "priority": 0,
        "service": "calor-llm",
        "maxAttempts": 1,
        "resumable": False,
    } | changes
