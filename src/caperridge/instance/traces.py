"""Traces: what happened to each recent request, step by step, in bounded memory.

A step is kept as its msgpack bytes: small, and its size is known. When all traces
together outgrow their bound, the oldest trace goes.
"""

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from caperridge.records import Record, pack, unpack

MOST_BYTES = 8 * 2**20
MOST_STEPS = 64
TRACE_BYTES = 600  # of a trace without its steps, about
STEP_BYTES = 40  # of a step besides its bytes, about


class TraceStep(Record):
    """One step of a request.

    Attributes:
        at: seconds since the epoch.
        what: e.g. ``admitted``, ``sent``, ``failed``, ``refused``.
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

    __slots__ = ("_packed", "_traces", "caller", "kind", "left_out", "request")

    def __init__(
        self, request: str, caller: str, kind: str, traces: "Traces | None" = None
    ) -> None:
        self.request = request
        self.caller = caller
        self.kind = kind
        self.left_out = 0
        self._packed: list[bytes] = []
        self._traces = traces

    @property
    def steps(self) -> list[TraceStep]:
        """The steps so far, the oldest first."""
        return [TraceStep.from_map(unpack(data)) for data in self._packed]

    @property
    def size(self) -> int:
        """About how many bytes the trace takes."""
        return TRACE_BYTES + sum(len(data) + STEP_BYTES for data in self._packed)

    def add(self, what: str, why: str, **details: Any) -> None:
        """Append a step; the last ones replace each other when the trace is full."""
        now = time.time() if self._traces is None else self._traces.clock()
        data = pack(TraceStep(now, what, why, details))
        grown = len(data) + STEP_BYTES
        if len(self._packed) >= MOST_STEPS:
            grown = len(data) - len(self._packed[-1])
            self._packed[-1] = data
            self.left_out += 1
        else:
            self._packed.append(data)
        if self._traces is not None:
            self._traces.grown(self, grown)

    def to_map(self) -> dict[str, Any]:
        """Return the trace for ``/requests/ID``."""
        return {
            "request": self.request,
            "caller": self.caller,
            "kind": self.kind,
            "steps": [step.to_map() for step in self.steps],
            "left_out": self.left_out,
        }


class Traces:
    """The newest traces by request id; the oldest goes first.

    Args:
        most_bytes: that all traces may take.
        clock: seconds since the epoch.
    """

    def __init__(
        self, most_bytes: int = MOST_BYTES, clock: Callable[[], float] = time.time
    ) -> None:
        self.clock = clock
        self.bytes = 0
        self._by_request: OrderedDict[str, Trace] = OrderedDict()
        self._most_bytes = most_bytes

    def open(self, request: str, caller: str, kind: str) -> Trace:
        """Start and return the trace of a request."""
        trace = Trace(request, caller, kind, self)
        self._by_request[request] = trace
        self.bytes += trace.size
        self._shrink()
        return trace

    def find(self, request: str) -> Trace | None:
        """Return the trace of a request if it is still kept."""
        return self._by_request.get(request)

    def grown(self, trace: Trace, by: int) -> None:
        """Count what a kept trace has grown by."""
        if self._by_request.get(trace.request) is not trace:
            return
        self.bytes += by
        self._shrink()

    def _shrink(self) -> None:
        while self.bytes > self._most_bytes and len(self._by_request) > 1:
            _, oldest = self._by_request.popitem(last=False)
            self.bytes -= oldest.size

    def __len__(self) -> int:
        return len(self._by_request)
