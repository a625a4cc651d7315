"""Both ends of a relay to the platform: asking a peer, and answering one."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from result import Err, Result

from caperridge.decisions.membership import Membership
from caperridge.decisions.relay_choice import RelaySelector
from caperridge.log import logger
from caperridge.peers.interface import PeerListener, Peers
from caperridge.peers.messages import RelayAnswer, RelayCall
from caperridge.records import Record
from caperridge.store.interface import NotDone, Platform, Unknown
from caperridge.store.relay import RelayTransport
from caperridge.store.relay_wire import (
    RelayError,
    decode_outcome,
    encode_outcome,
    estimated_size,
    perform,
)

log = logger(__name__)
MOST_RELAYED_BYTES = 4 * 2**20
MOST_CALLS_OUT = 64
MOST_CALLS_IN = 16
MOST_PEERS_ASKED = 3
MARGIN_S = 1.0


class Waiting:
    """A call that waits for its answer."""

    __slots__ = ("answer", "method", "peer")

    def __init__(self, peer: str, method: str, answer: asyncio.Future[Any]) -> None:
        self.peer = peer
        self.method = method
        self.answer = answer


class RelayClient(RelayTransport, PeerListener):
    """Calls the platform through the peers of one instance.

    Args:
        peers: the streams.
        membership: says who lives elsewhere.
        deadline_s: of the platform; a relay has a little longer.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        deadline_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._deadline_s = deadline_s
        self._clock = clock
        self._choice = RelaySelector(membership.instance, membership.availability_zone)
        self._number = 0
        self._needed = False
        self._waiting_by_number: dict[int, Waiting] = {}
        peers.register(RelayAnswer, self.answered)
        peers.add_listener(self)

    async def call(self, method: str, arguments: dict[str, Any]) -> Result[Any, Any]:
        """See :meth:`RelayTransport.call`."""
        self._open_streams()
        if len(self._waiting_by_number) >= MOST_CALLS_OUT:
            return Err(NotDone("too many calls wait for a relay", 1.0, reached=False))
        if estimated_size(arguments) > MOST_RELAYED_BYTES:
            return Err(NotDone("the call is too large for a relay", reached=False))
        asked: set[str] = set()
        outcome: Result[Any, Any] = Err(
            NotDone("no peer reaches the platform", reached=False)
        )
        while len(asked) < MOST_PEERS_ASKED:
            peer = self._pick(asked)
            if peer is None:
                break
            asked.add(peer)
            outcome = await self._ask(peer, method, arguments)
            if not _came_to_nothing(outcome):
                break
            self._choice.record_failure(peer, self._clock())
        return outcome

    def set_needed(self, cut_off: bool) -> None:
        """See :meth:`RelayTransport.set_needed`."""
        self._needed = cut_off
        if cut_off:
            self._open_streams()

    def answered(self, sender: str, message: Record) -> None:
        """Take an answer; one that nobody waits for any more is dropped."""
        assert isinstance(message, RelayAnswer)
        waiting = self._waiting_by_number.get(message.number)
        if waiting is None or waiting.peer != sender or waiting.answer.done():
            return
        try:
            outcome = decode_outcome(waiting.method, message.outcome, message.value)
        except RelayError as error:
            outcome = Err(Unknown(f"the relay's answer is garbled: {error}"))
        waiting.answer.set_result(outcome)

    def closed(self, instance: str) -> None:
        """Give up the calls that ``instance`` can no longer answer."""
        for waiting in self._waiting_by_number.values():
            if waiting.peer == instance and not waiting.answer.done():
                lost = Unknown("the stream to the relay ended", reached=False)
                waiting.answer.set_result(Err(lost))

    def _pick(self, asked: set[str]) -> str | None:
        zones_by_id = {i: self._peers.zone_of(i) for i in self._peers.connected()}
        calls_by_id = Counter(w.peer for w in self._waiting_by_number.values())
        return self._choice.pick(zones_by_id, calls_by_id, asked, self._clock())

    async def _ask(
        self, peer: str, method: str, arguments: dict[str, Any]
    ) -> Result[Any, Any]:
        self._number += 1
        number = self._number
        call = RelayCall(number, method, arguments, self._deadline_s)
        if not self._peers.send(peer, call):
            return Err(NotDone(f"there is no stream to {peer}", reached=False))
        answer = asyncio.get_running_loop().create_future()
        self._waiting_by_number[number] = Waiting(peer, method, answer)
        try:
            async with asyncio.timeout(self._deadline_s + MARGIN_S):
                outcome = await answer
        except TimeoutError:
            self._choice.record_failure(peer, self._clock())
            return Err(Unknown(f"no answer through {peer}", reached=False))
        finally:
            del self._waiting_by_number[number]
        if not _came_to_nothing(outcome):
            self._choice.record_success(peer)
        return outcome

    def _open_streams(self) -> None:
        if not self._needed:
            return
        for peer in self._choice.peers_to_connect(self._membership.live_by_zone()):
            self._peers.request_stream(peer)


class RelayServer:
    """Calls the platform for peers that are cut off from it.

    It knows the direct way only, so calls cannot go round in circles.

    Args:
        platform: the direct one.
        peers: the streams.
    """

    def __init__(self, platform: Platform, peers: Peers) -> None:
        self.answered = 0
        self.refused = 0
        self._platform = platform
        self._peers = peers
        self._tasks: set[asyncio.Task[None]] = set()
        peers.register(RelayCall, self.called)

    def called(self, sender: str, message: Record) -> None:
        """Make a call for ``sender``, unless there are too many under way."""
        assert isinstance(message, RelayCall)
        if len(self._tasks) >= MOST_CALLS_IN:
            self.refused += 1
            busy = NotDone("the relay is busy", 0.2, reached=False)
            self._answer(sender, message.number, Err(busy))
            return
        task = asyncio.get_running_loop().create_task(self._perform(sender, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """End the calls that are under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _perform(self, sender: str, call: RelayCall) -> None:
        try:
            async with asyncio.timeout(call.deadline_s):
                outcome = await perform(self._platform, call.method, call.arguments)
        except RelayError as error:
            outcome = Err(NotDone(str(error)))
        except TimeoutError:
            outcome = Err(Unknown("the relay had no answer in time", reached=False))
        except Exception:
            log.exception("a relayed call failed", peer=sender, method=call.method)
            outcome = Err(Unknown("the relay failed"))
        self._answer(sender, call.number, outcome)

    def _answer(self, sender: str, number: int, outcome: Result[Any, Any]) -> None:
        kind, value = encode_outcome(outcome)
        if estimated_size(value) > MOST_RELAYED_BYTES:
            too_large = NotDone("the answer is too large for a relay")
            kind, value = encode_outcome(Err(too_large))
        self.answered += 1
        self._peers.send(sender, RelayAnswer(number, kind, value))


def _came_to_nothing(outcome: Result[Any, Any]) -> bool:
    """Return whether another peer may be asked, as nothing can have happened."""
    if not isinstance(outcome, Err):
        return False
    error = outcome.err_value
    return isinstance(error, NotDone) and not error.reached
