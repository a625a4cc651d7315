"""What passes between a caller and a plain service, and what its refusal says."""

from collections.abc import Iterable, Mapping

import orjson
from multidict import CIMultiDict

from caperridge.records import Record

# Headers of one connection; they never pass (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Set anew for the target, or meant for this system alone.
OF_THE_REQUEST = frozenset(
    {"authorization", "content-length", "expect", "host", "x-caller", "x-request-id"}
)
OF_THE_ANSWER = frozenset({"content-length", "x-request-id"})
MOST_KEPT_BYTES = 4096


def towards_target(
    headers: Mapping[str, str], request: str, caller: str
) -> CIMultiDict[str]:
    """Return the headers that a service gets.

    The caller's token stays here; the service learns who calls from ``X-Caller``.

    Args:
        headers: as the caller sent them.
        request: id of the request.
        caller: name of the caller.

    >>> came = CIMultiDict(Authorization="Bearer secret", Connection="x-a")
    >>> came.extend({"X-A": "1", "X-B": "2"})
    >>> dict(towards_target(came, "req-1", "heat"))
    {'X-B': '2', 'X-Request-Id': 'req-1', 'X-Caller': 'heat'}
    """
    passed = _without(headers, HOP_BY_HOP | OF_THE_REQUEST)
    passed["X-Request-Id"] = request
    passed["X-Caller"] = caller
    return passed


def towards_caller(headers: Mapping[str, str], request: str) -> CIMultiDict[str]:
    """Return the headers that the caller gets with a service's answer."""
    passed = _without(headers, HOP_BY_HOP | OF_THE_ANSWER)
    passed["X-Request-Id"] = request
    return passed


def kept(headers: Mapping[str, str]) -> list[list[str]]:
    """Return the headers that are recorded with an answer, in bounded size."""
    pairs: list[list[str]] = []
    size = 0
    for name, value in _without(headers, HOP_BY_HOP | OF_THE_ANSWER).items():
        size += len(name) + len(value)
        if size > MOST_KEPT_BYTES:
            break
        pairs.append([name, value])
    return pairs


def of_pairs(pairs: Iterable[list[str]]) -> CIMultiDict[str]:
    """Return the headers that :func:`kept` made ``pairs`` of."""
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in pairs:
        headers.add(name, value)
    return headers


class TargetWord(Record):
    """What a target's refusal says of itself."""

    __slots__ = ("leaving", "run")

    def __init__(self, run: str = "", leaving: bool = False) -> None:
        self.run = run
        self.leaving = leaving


def target_word(status: int, body: bytes) -> TargetWord:
    """Return what an answer says of itself if it is a refusal for now; else nothing.

    >>> target_word(503, b'{"error": {"run": "not_run"}}').run
    'not_run'
    """
    if status not in (429, 503):
        return TargetWord()
    try:
        error = orjson.loads(body)["error"]
        return TargetWord(str(error.get("run", "")), error.get("code") == "leaving")
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
        return TargetWord()


def _without(headers: Mapping[str, str], names: frozenset[str]) -> CIMultiDict[str]:
    named = {n.strip().lower() for n in headers.get("Connection", "").split(",")}
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in names and name.lower() not in named:
            passed.add(name, value)
    return passed
