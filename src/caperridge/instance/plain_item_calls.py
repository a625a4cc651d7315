"""What a batch item for a plain service sends, and what is kept of its answer."""

import re
from typing import Any

import orjson
from multidict import CIMultiDict

from caperridge.decisions.plain_items import FinalResult
from caperridge.instance.item_work import PlainItemWork
from caperridge.records import Record
from caperridge.refusals import NOT_RUN
from caperridge.targets.plain import PlainAnswer, PlainCall

PREFIX = "/services/"
METHODS = ("POST", "PUT", "PATCH", "GET", "DELETE")

_ADDRESSED = re.compile(r"/services/([A-Za-z0-9._-]{1,64})(/[!-~]*)")
_DOTS = re.compile(r"(\.|%2e){1,2}", re.IGNORECASE)


class ServicePath(Record):
    """A plain service and the path below it, with the query."""

    __slots__ = ("path", "service")

    def __init__(self, service: str, path: str) -> None:
        self.service = service
        self.path = path


def service_path(url: str) -> ServicePath | None:
    """Return what ``url`` names; None unless it stays below one service.

    The path is appended to a target's address, so nothing passes that could end the
    path or lead out of it.

    >>> service_path("/services/billing/check?a=1").path
    '/check?a=1'
    >>> service_path("/services/billing/../other") is None
    True
    >>> service_path("http://elsewhere/services/billing/check") is None
    True
    """
    found = _ADDRESSED.fullmatch(url)
    if found is None:
        return None
    service, path = found.groups()
    if "#" in path or "\\" in path:
        return None
    for part in path.partition("?")[0].split("/"):
        if _DOTS.fullmatch(part):
            return None
    return ServicePath(service, path)


def call_of(work: PlainItemWork) -> PlainCall | FinalResult:
    """Return what is sent for an item, or its end if that cannot be."""
    found = service_path(work.url)
    if found is None or found.service != work.service:
        text = f"its url must be below /services/{work.service}/"
        return FinalResult(400, "wrong_url", text, NOT_RUN)
    if work.method not in METHODS:
        text = f"its method must be one of {[*METHODS]}"
        return FinalResult(400, "wrong_method", text, NOT_RUN)
    headers = CIMultiDict(
        {
            "Content-Type": "application/json",
            "X-Request-Id": work.request,
            "X-Caller": work.caller,
            # The same for each holder of the chunk.
            "Idempotency-Key": f"{work.job}.{work.index}",
        }
    )
    body = orjson.dumps(work.body) if work.body else b""
    return PlainCall(work.method, found.path, headers, body)


def result_body(answer: PlainAnswer) -> Any:
    """Return the body as a result holds it: the JSON value, or else the text."""
    try:
        return orjson.loads(answer.body)
    except orjson.JSONDecodeError:
        return answer.body.decode(errors="replace")
