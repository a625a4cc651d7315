"""Reading an online request, and putting a whole answer together."""

from collections.abc import Mapping
from typing import Any

import orjson

from caperridge.config.model import Caller, Service
from caperridge.decisions.affinity import prefix_blocks, prompt_tokens
from caperridge.instance.traces import Trace
from caperridge.targets.events import text_of
from caperridge.targets.prompt import prompt_of

STREAM_FIELDS = ("stream", "stream_options", "resume_from", "resume_version")
ASSUMED_TOKENS = 256  # of an answer whose request does not limit it
DEFAULT_DEADLINE_S = 10.0
LONGEST_DEADLINE_S = 600.0


class BadInputError(ValueError):
    """The request cannot be what its caller means; the text says why."""


class OnlineRequest:
    """One request on its way.

    Attributes:
        id: unique, also towards the engine.
        caller: who asks.
        service: what answers.
        path: of the endpoint.
        body: as sent, without the fields that concern the stream.
        trace: its steps.
        resume_from: offset of the first token that the caller still wants.
        software_version: of the targets that may answer; None before the first token
            of a new answer.
        deadline: on the own clock; no first token is wanted after it.
        tokens: of the prompt, about.
        blocks: hashes of the prompt's prefix.
        content: digest of what is asked for, once that mattered.
    """

    __slots__ = (
        "blocks",
        "body",
        "caller",
        "content",
        "deadline",
        "id",
        "path",
        "resume_from",
        "service",
        "software_version",
        "tokens",
        "trace",
    )

    def __init__(
        self,
        id: str,
        caller: Caller,
        service: Service,
        path: str,
        body: dict[str, Any],
        trace: Trace,
        resume_from: int = 0,
        deadline: float = 0.0,
        software_version: str | None = None,
    ) -> None:
        self.id = id
        self.caller = caller
        self.service = service
        self.path = path
        self.body = {k: v for k, v in body.items() if k not in STREAM_FIELDS}
        self.trace = trace
        self.resume_from = resume_from
        self.software_version = software_version
        self.deadline = deadline
        self.content = ""
        prompt = prompt_of(body)
        self.tokens = prompt_tokens(prompt)
        self.blocks = prefix_blocks(prompt)

    @property
    def adapter(self) -> str:
        """The adapter that the caller named as the model; empty if none."""
        model = self.body["model"]
        return model if model in self.service.adapters else ""

    @property
    def tokens_asked(self) -> int:
        """Tokens that the request may use, prompt and answer."""
        return self.tokens + (self.body.get("max_tokens") or ASSUMED_TOKENS)


def check_body(body: Any) -> int:
    """Check what the caller sent; return the offset to resume from.

    Raises:
        BadInputError: with the reason.
    """
    if not isinstance(body, dict) or not isinstance(body.get("model"), str):
        raise BadInputError("the body must be an object with a model")
    try:
        prompt_of(body)
    except (AttributeError, TypeError):
        raise BadInputError("messages must be a list of objects") from None
    most = body.get("max_tokens")
    if most is not None and (type(most) is not int or most < 1):
        raise BadInputError("max_tokens must be a whole number above 0")
    resume_from = body.get("resume_from", 0)
    if type(resume_from) is not int or resume_from < 0:
        raise BadInputError("resume_from must be a whole number, 0 or above")
    if resume_from and not body.get("stream"):
        raise BadInputError("resume_from needs a streamed answer")
    if not isinstance(body.get("resume_version", ""), str):
        raise BadInputError("resume_version must be a text")
    if most is not None and resume_from >= most:
        raise BadInputError("resume_from must be below max_tokens")
    return resume_from


def deadline_s(headers: Mapping[str, str]) -> float:
    """Return in how many seconds the caller gives up waiting for a first token.

    Raises:
        BadInputError: the header holds no time.

    >>> deadline_s({"X-Deadline-Ms": "1800"}), deadline_s({"Timeout": "2.5"})
    (1.8, 2.5)
    """
    text, unit_s = headers.get("X-Deadline-Ms"), 0.001
    if text is None:
        text, unit_s = headers.get("Timeout"), 1.0
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        seconds = float(text) * unit_s
    except ValueError:
        seconds = -1.0
    if not seconds > 0.0:
        raise BadInputError("the deadline must be a time above 0")
    return min(seconds, LONGEST_DEADLINE_S)


def whole_answer(request: OnlineRequest, events: list[bytes]) -> dict[str, Any]:
    """Return the answer in one piece, of the events of its stream."""
    text = "".join(text_of(event) for event in events)
    last: dict[str, Any] = {"choices": [{"finish_reason": "stop"}]}
    if events:
        last = orjson.loads(events[-1][len(b"data: ") :])
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": last["choices"][0].get("finish_reason"),
    }
    chat = "messages" in request.body
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request.id,
        "object": "chat.completion" if chat else "text_completion",
        "created": last.get("created", 0),
        "model": request.body["model"],
        "choices": [choice],
        "usage": {
            "prompt_tokens": request.tokens,
            "completion_tokens": len(events),
            "total_tokens": request.tokens + len(events),
        },
    }
