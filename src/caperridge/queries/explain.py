"""Lookup of a request's trace, on this instance or on the peer that served it."""

import asyncio
from typing import Any

from caperridge.instance.traces import Traces
from caperridge.peers.interface import Peers
from caperridge.peers.messages import TraceAnswer, TraceAsk

TRACE_TIMEOUT_S = 1.5


class PendingTrace:
    """A trace request that some peers have not answered.

    Attributes:
        answer: set to the trace, or to None if no peer has it.
        unanswered: number of peers that have not answered.
    """

    __slots__ = ("answer", "unanswered")

    def __init__(self) -> None:
        self.answer: asyncio.Future[dict[str, Any] | None]
        self.answer = asyncio.get_running_loop().create_future()
        self.unanswered = 0


class TraceLookup:
    """Finds traces on this instance and on peers.

    Args:
        traces: traces of this instance.
        peers: the other instances; may be replaced once they are connected.
    """

    def __init__(self, traces: Traces, peers: Peers) -> None:
        self.peers = peers
        self._traces = traces
        self._pending_by_number: dict[int, PendingTrace] = {}
        self._number = 0

    async def explain(self, request: str) -> dict[str, Any] | None:
        """Return the trace of ``request``; None if no instance has one."""
        trace = self._traces.find(request)
        if trace is not None:
            return trace.to_map()
        self._number += 1
        number = self._number
        pending = self._pending_by_number[number] = PendingTrace()
        try:
            pending.unanswered = self.peers.send_all(TraceAsk(number, request))
            if not pending.unanswered:
                return None
            async with asyncio.timeout(TRACE_TIMEOUT_S):
                return await pending.answer
        except TimeoutError:
            return None
        finally:
            del self._pending_by_number[number]

    def answer_peer(self, sender: str, message: TraceAsk) -> None:
        """Answer the trace request of a peer."""
        trace = self._traces.find(message.request)
        found = trace.to_map() if trace is not None else None
        self.peers.send(sender, TraceAnswer(message.number, found))

    def record_answer(self, _sender: str, message: TraceAnswer) -> None:
        """Record the answer of a peer."""
        pending = self._pending_by_number.get(message.number)
        if pending is None or pending.answer.done():
            return
        pending.unanswered -= 1
        if message.trace is not None or pending.unanswered <= 0:
            pending.answer.set_result(message.trace)
