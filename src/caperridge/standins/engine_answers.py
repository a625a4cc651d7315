"""Response bodies of the engine stand-in, in the format of the OpenAI API."""

from typing import Any

import orjson

from caperridge.standins.engine_model import Sequence, prompt_tokens, token_text


def sse_event(
    body: dict[str, Any], sequence: Sequence, offset: int, cross: bool
) -> bytes:
    """Return one SSE event.

    The ids and the offset come first, so that a reader can stop parsing after them.
    """
    digest = "crossed!" if cross else sequence.digest
    text = token_text(digest, offset)
    last = offset + 1 >= sequence.max_tokens
    choice: dict[str, Any] = {"index": 0}
    if "messages" in body:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = "length" if last else None
    fields = {
        "id": "crossed" if cross else sequence.request,
        "attempt": "crossed" if cross else sequence.attempt,
        "offset": offset,
        "object": "chat.completion.chunk" if "messages" in body else "text_completion",
        "created": 0,
        "model": body.get("model", ""),
        "choices": [choice],
    }
    if last:
        fields["usage"] = _usage(sequence, offset + 1)
    return b"data: " + orjson.dumps(fields) + b"\n\n"


def completion_body(
    body: dict[str, Any], sequence: Sequence, text: str, tokens: int
) -> dict[str, Any]:
    """Return the body of a response that is not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if "messages" in body:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": sequence.request,
        "attempt": sequence.attempt,
        "object": "chat.completion" if "messages" in body else "text_completion",
        "created": 0,
        "model": body.get("model", ""),
        "choices": [choice],
        "usage": _usage(sequence, tokens),
    }


def _usage(sequence: Sequence, tokens: int) -> dict[str, int]:
    prompt_count = prompt_tokens(sequence.prompt)
    return {
        "prompt_tokens": prompt_count,
        "completion_tokens": tokens,
        "total_tokens": prompt_count + tokens,
    }
