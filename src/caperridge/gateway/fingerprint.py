"""Fingerprints of requests, by which repeats of one request are recognised.

Each try of a caller has its own id. The content (method, host, path and body) stays the
same, and usually so do the headers that identify the caller. Callers whose headers are
all the same count as one, because a balancer may hide their addresses.

Different requests that share a part of their prompts are recognised by that part.
"""

import hashlib
from collections.abc import Iterable, Sequence
from typing import Any

from caperridge.decisions.suspect_keys import part_keys
from caperridge.records import Record

CONTENT_BYTES = 12
CALLER_BYTES = 6


class Fingerprint(Record):
    """The fingerprint of one request.

    Attributes:
        content: hash of method, host, path and body, in hex.
        caller: hash of the headers that a caller repeats at each try, in hex.
        parts: keys of the parts of its prompt that other requests may share.
    """

    __slots__ = ("caller", "content", "parts")

    def __init__(self, content: str, caller: str, parts: tuple[str, ...] = ()) -> None:
        self.content = content
        self.caller = caller
        self.parts = parts

    def log_fields(self) -> dict[str, Any]:
        """Return the fields that identify the request in a line of the log."""
        return {"content": self.content, "caller": self.caller, "parts": self.parts}

    def has_key(self, key: str) -> bool:
        """Whether a suspect of this key covers the request."""
        return key == self.content or key in self.parts


def fingerprint_of(
    method: str,
    host: str,
    path: str,
    body: bytes,
    headers: Iterable[tuple[str, str]],
    volatile: frozenset[str],
    prompt_parts: Sequence[str] = (),
) -> Fingerprint:
    """Return the fingerprint of a request.

    Args:
        method: HTTP method.
        host: that it was sent to.
        path: with the query.
        body: the complete body.
        headers: those that are forwarded.
        volatile: lower-case names of headers that differ from try to try.
        prompt_parts: ids of the parts of its prompt, in order; empty if unknown.

    >>> sent = [("X-Id", "1"), ("X-Team", "a")]
    >>> one = fingerprint_of("POST", "h", "/p", b"?", sent, frozenset({"x-id"}))
    >>> sent = [("x-team", "a"), ("X-Id", "2")]
    >>> one == fingerprint_of("POST", "h", "/p", b"?", sent, frozenset({"x-id"}))
    True
    >>> one.content == fingerprint_of("GET", "h", "/p", b"?", sent, frozenset()).content
    False
    """
    content = hashlib.blake2b(digest_size=CONTENT_BYTES)
    for part in (method, host.lower(), path):
        content.update(part.encode(errors="surrogateescape"))
        content.update(b"\x00")
    content.update(body)
    stable = sorted(
        (name.lower(), value) for name, value in headers if name.lower() not in volatile
    )
    caller = hashlib.blake2b(
        repr(stable).encode(errors="surrogateescape"), digest_size=CALLER_BYTES
    )
    return Fingerprint(content.hexdigest(), caller.hexdigest(), part_keys(prompt_parts))
