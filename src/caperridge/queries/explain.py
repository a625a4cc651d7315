"""Explaining one request: from the own traces, or from the peer that served it."""

import asyncio
from typing import Any

from caperridge.instance.traces import Traces
from caperridge.peers.interface import Peers
from caperridge.peers.messages import TraceAnswer, TraceAsk

TRACE_TIMEOUT_S = 1.5


class PendingTrace:
    """One question that is out.

    Attributes:
        answer: set with the trace, or with None when nobody has it.
        left: peers that have not answered yet.
    """

    __slots__ = ("answer", "unanswered")

    def __init__(self) -> None:
        self.answer: asyncio.Future[dict[str, Any] | None]
        self.answer = asyncio.get_running_loop().create_future()
        self.unanswered = 0


class TraceLookup:
    """Finds traces, here and at peers.

    Args:
        traces: of this instance.
        peers: the others; may be exchanged once they are wired.
    """

    def __init__(self, traces: Traces, peers: Peers) -> None:
        self.peers = peers
        self._traces = traces
        self._asked_by_number: dict[int, PendingTrace] = {}
        self._number = 0

    async def explain(self, request: str) -> dict[str, Any] | None:
        """Return the trace of ``request``; None if no instance keeps one."""
        trace = self._traces.find(request)
        if trace is not None:
            return trace.to_map()
        self._number += 1
        number = self._number
        asked = self._asked_by_number[number] = PendingTrace()
        try:
            asked.unanswered = self.peers.send_all(TraceAsk(number, request))
            if not asked.unanswered:
                return None
            async with asyncio.timeout(TRACE_TIMEOUT_S):
                return await asked.answer
        except TimeoutError:
            return None
        finally:
            del self._asked_by_number[number]

    def answer_peer(self, sender: str, message: TraceAsk) -> None:
        """Answer the question of a peer."""
        trace = self._traces.find(message.request)
        found = trace.to_map() if trace is not None else None
        self.peers.send(sender, TraceAnswer(message.number, found))

    def record_answer(self, _sender: str, message: TraceAnswer) -> None:
        """Take in the answer of a peer."""
        asked = self._asked_by_number.get(message.number)
        if asked is None or asked.answer.done():
            return
        asked.unanswered -= 1
        if message.trace is not None or asked.unanswered <= 0:
            asked.answer.set_result(message.trace)
