"""The task that orders the targets this instance looks after.

Each target has one orderer, an instance of its availability zone. It compares what
the target should hold with what it says it holds, and orders the difference away;
see :mod:`caperridge.decisions.reconcile` for the steps, and
:mod:`caperridge.decisions.load_pacing` for when a load may begin.
"""

import asyncio
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from result import Err

from caperridge.commands.orders import acquire_target, release_target
from caperridge.commands.sessions import lapse_session
from caperridge.config.model import Configuration, Service
from caperridge.decisions.load_pacing import Load
from caperridge.decisions.loaded_book import LoadedStates
from caperridge.decisions.membership import Membership
from caperridge.decisions.order_leases import (
    DeclareLapsed,
    OrderLease,
    OrderRow,
    TakeOver,
)
from caperridge.decisions.reconcile import (
    Loaded,
    Observed,
    Step,
    desired_of,
    gb_between,
    next_step,
    role_of,
)
from caperridge.instance.actor import Actor
from caperridge.instance.load_gate import LoadGate
from caperridge.instance.loaded_news import LoadedTeller
from caperridge.instance.messages import (
    ConfigurationApplied,
    LoadedHeard,
    MembersListed,
)
from caperridge.instance.session import SessionKeeper
from caperridge.log import logger
from caperridge.peers.interface import NoPeers, Peers
from caperridge.queries.orders import read_order
from caperridge.store.interface import Conflict, ListedMember, Platform
from caperridge.targets.orders import OldFence, OrderClient

log = logger(__name__)
LOOK_S = 10.0  # between looks at a target that holds what it should
SOON_S = 0.5  # between looks at one that does not
DRAIN_S = 30.0  # longest wait for the streams of a runner that is to be switched
HOLD_S = 1.0  # until everybody has heard that it should get nothing new


class Ordered:
    """A target that this instance looks after."""

    __slots__ = (
        "due",
        "held_since",
        "lease",
        "load",
        "member",
        "touched",
        "unlisted",
        "why",
    )

    def __init__(self, member: ListedMember, checks_fencing: bool) -> None:
        self.member = member
        self.lease = OrderLease(checks_fencing)
        self.due = float("-inf")
        self.held_since: float | None = None
        self.load: Load | None = None  # as entered into its weight store's list
        self.unlisted = False  # a former orderer may have left its load in the list
        self.touched = False  # its row may name a session of this instance
        self.why = ""


class Orderer(Actor):
    """Reconciles the targets that this instance owns.

    Args:
        platform: where holds and loads are.
        session: under whose lease targets are held.
        membership: says whose the targets are.
        client: towards the engines.
        clock: monotonic seconds.
        lease_s: of the own session.
        wall_clock: seconds since the epoch, for the times of loads.
    """

    idle_s = 0.25

    def __init__(
        self,
        platform: Platform,
        session: SessionKeeper,
        membership: Membership,
        client: OrderClient,
        clock: Callable[[], float],
        lease_s: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self.book = LoadedStates()
        self.peers: Peers = NoPeers()
        self.changed: Callable[[], None] = lambda: None
        self.drain_s = DRAIN_S
        self.hold_s = HOLD_S
        self._platform = platform
        self._session = session
        self._membership = membership
        self._client = client
        self._clock = clock
        self._lease_s = lease_s
        self._wall_clock = wall_clock
        self._gate = LoadGate(platform, client)
        self._configuration = Configuration()
        self._targets_by_id: dict[str, ListedMember] = {}
        self._ordered_by_id: dict[str, Ordered] = {}
        self._teller = LoadedTeller(
            self.book,
            lambda news: self.peers.send_all(news),
            lambda: self.changed(),
            clock,
        )

    @singledispatchmethod
    async def handle(self, message: Any) -> None:
        """Act on one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    async def _(self, message: ConfigurationApplied) -> None:
        self._configuration = message.configuration
        self._look_soon()

    @handle.register
    async def _(self, message: MembersListed) -> None:
        targets_by_id = {m.id: m for m in message.members if m.kind == "target"}
        if targets_by_id != self._targets_by_id:
            self._targets_by_id = targets_by_id
            self.book.retain(set(targets_by_id))
            self._look_soon()

    @handle.register
    async def _(self, message: LoadedHeard) -> None:
        self._teller.heard(message.news)

    def _look_soon(self) -> None:
        for ordered in self._ordered_by_id.values():
            ordered.due = self._clock()

    def _service_of(self, member: ListedMember) -> Service | None:
        service = self._configuration.services_by_name.get(member.service)
        return service if service and service.kind == "engine" else None

    def _mine(self, member: ListedMember) -> bool:
        if member.state == "leaving" or self._service_of(member) is None:
            return False
        zone = self._membership.availability_zone
        if member.availability_zone != zone:
            return False
        return self._membership.owner(member.id, zone) == self._membership.instance

    async def idle(self) -> None:
        """Look at the targets that are due."""
        if self._session.left_s() <= 0:
            # Nothing may be ordered. What is held stays noted: the session may yet be
            # renewed, and then its rows still name it.
            return
        await self._adopt()
        now = self._clock()
        due = [o for o in self._ordered_by_id.values() if o.due <= now]
        await asyncio.gather(*(self._look(ordered) for ordered in due))

    async def _adopt(self) -> None:
        """Begin with targets that became ours, and let go of those that are not."""
        for target_id, member in self._targets_by_id.items():
            ordered = self._ordered_by_id.get(target_id)
            service = self._service_of(member)
            if service is None or not self._mine(member):
                continue
            if ordered is None:
                ordered = Ordered(member, service.checks_fencing)
                self._ordered_by_id[target_id] = ordered
            ordered.member = member
            ordered.lease.checks_fencing = service.checks_fencing
        for target_id, ordered in list(self._ordered_by_id.items()):
            listed = self._targets_by_id.get(target_id)
            if listed is not None and self._mine(listed):
                continue
            if ordered.touched and not await self._release(target_id):
                continue
            del self._ordered_by_id[target_id]
            self._teller.forget(target_id)

    async def _release(self, target_id: str) -> bool:
        """Give up the row of a target if it names the own session."""
        session_id = self._session.session_id
        released = await release_target(self._platform, target_id, session_id)
        return not isinstance(released, Err) or isinstance(released.err_value, Conflict)

    async def _look(self, ordered: Ordered) -> None:
        ordered.due = self._clock() + SOON_S
        service = self._service_of(ordered.member)
        if service is None or not await self._hold(ordered):
            return
        seen = await self._client.observe(ordered.member.address)
        if isinstance(seen, Err):
            ordered.why = f"it does not answer: {seen.err_value.reason}"
            return
        observed = seen.ok_value
        if observed.fence > ordered.lease.fence:
            ordered.lease.mark_lost()
            return
        desired = self._desired(ordered.member, service)
        step = next_step(observed, desired)
        if step is Step.NOTHING:
            await self._settled(ordered, observed)
            return
        if step is Step.WAIT:
            ordered.why = "it loads"
            return
        gb = gb_between(self._configuration, observed.loaded, desired)
        out = step is Step.ORDER_OUT
        if (gb > 0 or out) and not await self._may_begin(ordered, service, gb, out):
            return
        if out and not await self._drained(ordered, observed):
            return
        if out and not await self._still_listed(ordered):
            return
        await self._order(ordered, desired, gb)

    def _desired(self, member: ListedMember, service: Service) -> Loaded:
        loaded_by_target: dict[str, Loaded | None] = {}
        for target in self._targets_by_id.values():
            if target.service != service.name or target.state == "leaving":
                continue
            state = self.book.by_target.get(target.id)
            known = state is not None and not state.held
            loaded_by_target[target.id] = state.loaded if known else None
        role = role_of(member.id, service, loaded_by_target)
        return desired_of(self._configuration, service, role)

    async def _hold(self, ordered: Ordered) -> bool:
        """Return whether the target is held; take it if that is possible."""
        session_id = self._session.session_id
        if ordered.lease.held_by(session_id):
            return True
        # Another may have ordered it meanwhile: what was begun has to begin again.
        ordered.load, ordered.held_since, ordered.unlisted = None, None, False
        target_id = ordered.member.id
        read = await read_order(self._platform, target_id)
        if isinstance(read, Err):
            ordered.why = "the platform is away"
            return False
        seen = read.ok_value
        decision = ordered.lease.decide(
            seen.order, seen.holder, session_id, self._clock()
        )
        if isinstance(decision, DeclareLapsed):
            await lapse_session(self._platform, decision.session, decision.version)
        if not isinstance(decision, TakeOver):
            ordered.why = "another instance orders it"
            return False
        ordered.touched = True
        row = OrderRow(session_id, decision.fence, self._lease_s)
        taken = await acquire_target(self._platform, target_id, seen.row, row)
        if isinstance(taken, Err):
            return False
        ordered.lease.record_takeover(session_id, decision)
        log.info("target taken", target=target_id, fence=decision.fence)
        return True

    async def _may_begin(
        self, ordered: Ordered, service: Service, gb: float, out: bool
    ) -> bool:
        """Enter the load into the list of its weight store, if it may begin."""
        entered = ordered.load
        if entered is not None and (entered.out or not out):
            return True
        member = ordered.member
        others = [
            other
            for other in self._targets_by_id.values()
            if other.service == service.name and other.id != member.id
        ]
        store = self._configuration.weight_store(member.region)
        load = Load(member.id, service.name, gb, self._wall_clock(), out)
        ordered.why = await self._gate.begin(store, load, member, service, others)
        if ordered.why:
            return False
        ordered.load = load
        ordered.unlisted = False
        return True

    async def _drained(self, ordered: Ordered, observed: Observed) -> bool:
        """Hold new requests off the target, and wait until none runs there."""
        now = self._clock()
        if ordered.held_since is None:
            ordered.held_since = now
            self._tell(ordered, observed.loaded or Loaded(), held=True)
            ordered.why = "new requests go elsewhere"
        if now < ordered.held_since + self.hold_s:
            return False
        if now >= ordered.held_since + self.drain_s:
            return True
        running = await self._client.running(ordered.member.address)
        if isinstance(running, Err):
            return False
        ordered.why = f"{running.ok_value} requests still run there"
        return running.ok_value == 0

    async def _still_listed(self, ordered: Ordered) -> bool:
        """Return whether the load was not given up by others meanwhile."""
        store = self._configuration.weight_store(ordered.member.region)
        if await self._gate.lists(store, ordered.member.id):
            return True
        ordered.load = None
        return False

    async def _order(self, ordered: Ordered, desired: Loaded, gb: float) -> None:
        lease = ordered.lease
        session_id = self._session.session_id
        left_s = self._session.left_s()
        deadline_s = self._client.deadline_s
        if not lease.may_order(session_id, left_s, deadline_s, self._clock()):
            ordered.why = "the former holder's lease is waited out"
            return
        address = ordered.member.address
        told = await self._client.order(address, lease.fence, desired, gb)
        if isinstance(told, Err) and isinstance(told.err_value, OldFence):
            log.warning("order refused", target=ordered.member.id, fence=lease.fence)
            lease.mark_lost()
            return
        ordered.why = "it was told"
        log.info("target told", target=ordered.member.id, fence=lease.fence)

    async def _settled(self, ordered: Ordered, observed: Observed) -> None:
        """The target holds what it should: let everybody know, and free its place."""
        self._tell(ordered, observed.loaded or Loaded(), held=False)
        ordered.held_since = None
        if not ordered.unlisted:
            store = self._configuration.weight_store(ordered.member.region)
            if not await self._gate.end(store, ordered.member.id):
                return
        ordered.load, ordered.unlisted = None, True
        ordered.why = ""
        ordered.due = self._clock() + LOOK_S

    def _tell(self, ordered: Ordered, loaded: Loaded, held: bool) -> None:
        self._teller.tell(ordered.member.id, ordered.lease.fence, loaded, held)

    def state(self) -> dict[str, Any]:
        """Return what the orderer knows, for the dump."""
        return {
            "why_by_target": {
                target_id: ordered.why or "it holds what it should"
                for target_id, ordered in self._ordered_by_id.items()
            },
            "fence_by_target": {
                target_id: ordered.lease.fence
                for target_id, ordered in self._ordered_by_id.items()
            },
            "loaded_by_target": {
                target_id: state.to_map()
                for target_id, state in self.book.by_target.items()
            },
        }
