"""Traces: what happened to each recent request, step by step, in bounded memory."""

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from caperridge.records import Record

MOST_TRACES = 2000
MOST_STEPS = 64


class TraceStep(Record):
    """One step of a request.

    Attributes:
        at: seconds since the epoch.
        what: e.g. ``admitted``, ``sent``, ``moved``, ``refused``.
        why: a sentence for a person.
        details: e.g. the targets weighed with their scores.
    """

    __slots__ = ("at", "details", "what", "why")

    def __init__(
        self, at: float, what: str, why: str, details: dict[str, Any] | None = None
    ) -> None:
        self.at = at
        self.what = what
        self.why = why
        self.details = details or {}


class Trace:
    """The steps of one request."""

    __slots__ = ("_clock", "caller", "kind", "request", "steps")

    def __init__(
        self, request: str, caller: str, kind: str, clock: Callable[[], float]
    ) -> None:
        self.request = request
        self.caller = caller
        self.kind = kind
        self.steps: list[TraceStep] = []
        self._clock = clock

    def add(self, what: str, why: str, **details: Any) -> None:
        """Append a step, unless the trace is full."""
        if len(self.steps) < MOST_STEPS:
            self.steps.append(TraceStep(self._clock(), what, why, details))

    def to_map(self) -> dict[str, Any]:
        """Return the trace for ``/requests/ID``."""
        return {
            "request": self.request,
            "caller": self.caller,
            "kind": self.kind,
            "steps": [step.to_map() for step in self.steps],
        }


class Traces:
    """The newest traces by request id; the oldest goes first."""

    def __init__(
        self, most: int = MOST_TRACES, clock: Callable[[], float] = time.time
    ) -> None:
        self._by_request: OrderedDict[str, Trace] = OrderedDict()
        self._most = most
        self._clock = clock

    def open(self, request: str, caller: str, kind: str) -> Trace:
        """Start and return the trace of a request."""
        trace = Trace(request, caller, kind, self._clock)
        self._by_request[request] = trace
        if len(self._by_request) > self._most:
            self._by_request.popitem(last=False)
        return trace

    def find(self, request: str) -> Trace | None:
        """Return the trace of a request if it is still kept."""
        return self._by_request.get(request)

    def __len__(self) -> int:
        return len(self._by_request)
