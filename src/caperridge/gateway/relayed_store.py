"""Failover of store calls to a peer, for an instance that cannot reach the store.

The store may serve some machines and refuse others. A call that was certainly not done
goes on to a peer that reaches the store. One whose outcome is unknown is returned to
its caller, who repeats it under the same condition, through a peer then.
"""

import asyncio
import itertools
import random
from typing import Any

from result import Err, Result

from caperridge.gateway.background import log_failure
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import StoreAnswer, StoreAsk
from caperridge.gateway.relay_codec import (
    answer_from_plain,
    answer_to_plain,
    transaction_from_plain,
    transaction_to_plain,
)
from caperridge.gateway.rows import (
    ChangesError,
    Done,
    Rejected,
    RowsRead,
    RowStore,
    StoreError,
    StoreLimits,
    Transaction,
    TransactionError,
)
from caperridge.gateway.watcher import StoreReachability
from caperridge.log import logger
from caperridge.store.interface import NotDone, Unknown

log = logger(__name__)

# After a failure, calls go to a peer first for this long; the table watchers poll
# meanwhile and find out whether the store serves this instance again.
PEER_FIRST_S = 1.0
# A peer in another availability zone is 2 ms away, the store some 25 ms.
PEER_TIMEOUT_S = 1.0


class PendingCall:
    """A call that a peer was asked for.

    Attributes:
        peer: id.
        answer: of that peer, once it is received.
    """

    __slots__ = ("answer", "peer")

    def __init__(self, peer: str) -> None:
        self.peer = peer
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[StoreAnswer] = loop.create_future()


class RelayedStore(RowStore):
    """Calls the store directly, or through a peer while the store is unreachable.

    Args:
        store: called directly.
        mesh: of peers.
        reach: whether the store answers here.
        chance: chooses among peers.
    """

    def __init__(
        self,
        store: RowStore,
        mesh: Mesh,
        reach: StoreReachability,
        chance: random.Random,
    ) -> None:
        self._store = store
        self._mesh = mesh
        self._reach = reach
        self._chance = chance
        self._peer_first_until = 0.0
        self._numbers = itertools.count(1)
        self._pending_by_number: dict[int, PendingCall] = {}
        self._relay_tasks: set[asyncio.Task[None]] = set()
        mesh.register(StoreAsk, self._serve)
        mesh.register(StoreAnswer, self._receive_answer)

    @property
    def limits(self) -> StoreLimits:
        """See :attr:`RowStore.limits`."""
        return self._store.limits

    async def read(
        self,
        table: str,
        part: str = "",
        first: str = "",
        end: str = "",
        limit: int = 500,
    ) -> Result[RowsRead, StoreError]:
        """See :meth:`RowStore.read`."""
        return await self._call("read", [table, part, first, end, limit])

    async def transact(
        self, transaction: Transaction
    ) -> Result[Done, TransactionError]:
        """See :meth:`RowStore.transact`."""
        return await self._call("transact", transaction_to_plain(transaction))

    async def changes(
        self, table: str, since: int, wait_s: float
    ) -> Result[RowsRead, ChangesError]:
        """See :meth:`RowStore.changes`; never through a peer, whose copies serve."""
        return await self._store.changes(table, since, wait_s)

    async def put_object(self, name: str, data: bytes) -> Result[None, StoreError]:
        """See :meth:`RowStore.put_object`."""
        return await self._call("put_object", [name, data])

    async def get_object(self, name: str) -> Result[bytes | None, StoreError]:
        """See :meth:`RowStore.get_object`."""
        return await self._call("get_object", [name])

    async def drop_object(self, name: str) -> Result[None, StoreError]:
        """See :meth:`RowStore.drop_object`."""
        return await self._call("drop_object", [name])

    async def _call(self, name: str, arguments: list[Any]) -> Result[Any, Any]:
        loop = asyncio.get_running_loop()
        peer_first = (
            loop.time() < self._peer_first_until
            or self._reach.unreachable_since is not None
        )
        if peer_first:
            answer = await self._call_peer(name, arguments)
            if answer is not None:
                return answer
        answer = await _call_store(self._store, name, arguments)
        if not _is_failed_call(answer):
            self._peer_first_until = 0.0
            return answer
        self._peer_first_until = loop.time() + PEER_FIRST_S
        self._reach.recheck()
        if peer_first or isinstance(answer.err_value, Unknown):
            return answer
        relayed = await self._call_peer(name, arguments)
        return answer if relayed is None else relayed

    async def _call_peer(self, name: str, arguments: list[Any]) -> Any:
        """Return a peer's answer; None if no peer can be asked or reached.

        A write that a peer was sent and did not answer is unknown.
        """
        peer = self._choose_peer()
        if peer is None:
            return None
        number = next(self._numbers)
        pending = self._pending_by_number[number] = PendingCall(peer.id)
        try:
            if not self._mesh.send(peer.id, StoreAsk(number, name, arguments)):
                return None
            async with asyncio.timeout(PEER_TIMEOUT_S):
                answer = await pending.answer
        except TimeoutError:
            log.info("peer did not answer a relayed call", peer=peer.id, call=name)
            return Err(Unknown("the peer did not answer", reached=False))
        finally:
            del self._pending_by_number[number]
        log.debug("call relayed", peer=peer.id, call=name, outcome=answer.outcome)
        try:
            return answer_from_plain(
                name, answer.outcome, answer.fields, answer.rejected
            )
        except ValueError as error:
            log.error("relayed call answered wrongly", peer=peer.id, reason=str(error))
            return Err(Unknown(str(error), reached=False))

    def _choose_peer(self) -> Member | None:
        alive = [peer for peer in self._mesh.alive() if peer.store_reached]
        # A leaving peer may stop before it has the store's answer.
        reaching = [peer for peer in alive if not peer.leaving] or alive
        local = [peer for peer in reaching if peer.zone == self._mesh.zone]
        choices = local or reaching
        return self._chance.choice(choices) if choices else None

    def _serve(self, peer: str, request: StoreAsk) -> None:
        # Another process may have taken its place before the store answers.
        incarnation = self._mesh.incarnation_of(peer)
        task = asyncio.get_running_loop().create_task(
            self._relay(peer, incarnation, request)
        )
        self._relay_tasks.add(task)
        task.add_done_callback(self._relay_tasks.discard)
        task.add_done_callback(log_failure)

    async def _relay(self, peer: str, incarnation: str, request: StoreAsk) -> None:
        try:
            answer = await _call_store(self._store, request.call, request.arguments)
        except (TypeError, ValueError) as error:
            log.error(
                "call not relayed", peer=peer, call=request.call, reason=str(error)
            )
            return
        outcome, fields = answer_to_plain(answer)
        rejected = isinstance(answer, Err) and isinstance(answer.err_value, Rejected)
        reply = StoreAnswer(request.number, outcome, fields, rejected)
        self._mesh.send(peer, reply, incarnation)

    def _receive_answer(self, peer: str, answer: StoreAnswer) -> None:
        pending = self._pending_by_number.get(answer.number)
        if pending is None or pending.peer != peer or pending.answer.done():
            return
        pending.answer.set_result(answer)


async def _call_store(
    store: RowStore, name: str, arguments: list[Any]
) -> Result[Any, Any]:
    """Call ``store`` with plain arguments.

    Raises:
        ValueError: the call is unknown.
    """
    if name == "transact":
        return await store.transact(transaction_from_plain(arguments))
    if name == "read":
        return await store.read(*arguments)
    if name == "put_object":
        return await store.put_object(*arguments)
    if name == "get_object":
        return await store.get_object(*arguments)
    if name == "drop_object":
        return await store.drop_object(*arguments)
    raise ValueError(f"unknown call {name}")


def _is_failed_call(answer: Result[Any, Any]) -> bool:
    if not isinstance(answer, Err):
        return False
    error = answer.err_value
    return isinstance(error, NotDone | Unknown) and not isinstance(error, Rejected)
