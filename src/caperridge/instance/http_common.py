"""What the HTTP listeners share: tokens, JSON bodies, refusals as answers."""

import asyncio
import re
from typing import Any

import orjson
from aiohttp import web

from caperridge import bearer
from caperridge.commands.accept_file import BadFile
from caperridge.instance.refusal_log import RefusalLog
from caperridge.listening.answers import PiecewiseResponse
from caperridge.listening.bodies import (
    BodyRefusedError,
    read_body,
    reserve,
    reserve_values,
)
from caperridge.log import logger
from caperridge.refusals import NOT_RUN, UNKNOWN, Refusal, RefusedError
from caperridge.store.interface import NotDone

log = logger(__name__)
MAX_HEADER_CHARS = 256
MAX_REASON_CHARS = 600
OWN_HEADERS = ("Idempotency-Key", "X-Request-Id")
REFUSAL_LOG = web.AppKey("refusal_log", RefusalLog)
MAX_BODY_BYTES = web.AppKey("max_body_bytes", int)
_PLAIN_ID = re.compile(r"[A-Za-z0-9_-]{1,80}")


def bearer_digest(request: web.Request) -> str:
    """Return the digest of the request's bearer token; empty if it has none."""
    return bearer.bearer_digest(request.headers)


def app_with_refusals(most_body_bytes: int) -> web.Application:
    """Return an application without routes whose refusals are answered and logged."""
    app = web.Application(
        client_max_size=most_body_bytes, middlewares=[answer_refusals]
    )
    app[REFUSAL_LOG] = RefusalLog()
    app[MAX_BODY_BYTES] = most_body_bytes
    return app


@web.middleware
async def answer_refusals(request: web.Request, handler: Any) -> web.StreamResponse:
    """Turn a refusal into its HTTP answer, and whatever else goes wrong into one."""
    try:
        _check_headers(request)
        return await handler(request)
    except RefusedError as refused:
        return _answer(request, refused.refusal)
    except web.HTTPRequestEntityTooLarge:
        return _answer(request, Refusal("too_large", "the body is too large", 413))
    except web.HTTPNotFound:
        return _answer(request, Refusal("not_found", "there is no such path", 404))
    except web.HTTPMethodNotAllowed:
        refusal = Refusal("method_not_allowed", "not with this method", 405)
        return _answer(request, refusal)
    except ConnectionResetError as error:
        # The other side hung up; there is nobody to answer.
        raise asyncio.CancelledError from error
    except web.HTTPException:
        raise
    except Exception:
        log.exception("a request could not be handled", path=request.path)
        text = "the instance failed; its log says how"
        return _answer(request, Refusal("internal", text, 500, UNKNOWN))


def _check_headers(request: web.Request) -> None:
    for name in OWN_HEADERS:
        if len(request.headers.get(name, "")) > MAX_HEADER_CHARS:
            raise bad_request(f"{name} is longer than {MAX_HEADER_CHARS} characters")


async def whole_body(request: web.Request) -> bytes:
    """Return the whole body of a request, or refuse it."""
    try:
        return await read_body(request, request.app[MAX_BODY_BYTES])
    except BodyRefusedError as error:
        raise _body_refusal(error) from error


async def json_body(request: web.Request) -> bytes:
    """Return the whole body of a request, whose values there is memory for."""
    body = await whole_body(request)
    try:
        await reserve_values(request, body)
    except BodyRefusedError as error:
        raise _body_refusal(error) from error
    return body


async def reserve_memory(request: web.Request, size: int) -> None:
    """Take memory for a body that is read in parts, or refuse it."""
    try:
        await reserve(request, size)
    except BodyRefusedError as error:
        raise _body_refusal(error) from error


def _body_refusal(error: BodyRefusedError) -> RefusedError:
    if error.status == 413:
        return RefusedError(Refusal("too_large", error.reason, 413))
    if error.status == 408:
        return RefusedError(Refusal("too_slow", error.reason, 408))
    if error.status == 503:
        retry_after_s = error.retry_after_s
        return RefusedError(
            Refusal("no_memory", error.reason, 503, NOT_RUN, retry_after_s)
        )
    return bad_request(error.reason)


def _answer(request: web.Request, refusal: Refusal) -> web.Response:
    # What callers send stands in reasons; it must not come back at any length.
    refusal.reason = refusal.reason[:MAX_REASON_CHARS]
    request.app[REFUSAL_LOG].write(refusal, request.path[:MAX_HEADER_CHARS])
    return refusal_response(refusal)


def refusal_response(refusal: Refusal) -> web.Response:
    """Return the HTTP answer that says ``refusal``."""
    return web.json_response(
        refusal.body(), status=refusal.status, headers=refusal.headers()
    )


def json_of(data: bytes) -> Any:
    """Return the value of a JSON body, or refuse it."""
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise bad_request(f"the body is not JSON: {error}") from error


def bad_request(reason: str) -> RefusedError:
    """Return the refusal of an input that is wrong."""
    return RefusedError(Refusal("bad_request", reason, 400))


def plain_id(text: str) -> str:
    """Return ``text`` if it can be an id of ours, else one that none has."""
    return text if _PLAIN_ID.fullmatch(text) else "-"


def platform_refusal(error: Any, what: str) -> RefusedError:
    """Return the refusal that a failed call to the platform leads to."""
    if isinstance(error, BadFile):
        text = f"{len(error.findings)} lines are wrong"
        return RefusedError(Refusal("bad_file", text, 400, findings=error.findings))
    if isinstance(error, NotDone):
        text = f"{what} cannot be handled now: {error.reason}"
        retry = max(1.0, error.retry_after_s)
        return RefusedError(Refusal("platform_away", text, 503, NOT_RUN, retry))
    text = f"it is not known what became of {what}; ask again with the same key"
    return RefusedError(Refusal("platform_unknown", text, 503, UNKNOWN, 2.0))


def abort(request: web.Request) -> None:
    """Drop the connection, so that an answer cannot pass for whole."""
    if request.transport is not None:
        request.transport.abort()


def json_response(value: Any, status: int = 200) -> web.Response:
    """Return ``value`` as a JSON answer."""
    return PiecewiseResponse(
        body=orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS, default=str),
        status=status,
        content_type="application/json",
    )
