"""The way in which a load begins and ends, through the row of its weight store."""

from collections.abc import Iterable

from result import Err

from caperridge.commands.orders import put_loads
from caperridge.config.model import Service, WeightStore
from caperridge.decisions.load_pacing import Load, active_loads, blocked_reason
from caperridge.decisions.reconcile import serves_online
from caperridge.queries.orders import read_loads
from caperridge.store.interface import ListedMember, Platform
from caperridge.targets.orders import OrderClient

PLATFORM_AWAY = "the platform is away"


class LoadGate:
    """Lets loads begin at the pace of the weight store, and no last runner go.

    Args:
        platform: where the lists of loads are.
        client: asks other runners whether they serve.
    """

    def __init__(self, platform: Platform, client: OrderClient) -> None:
        self._platform = platform
        self._client = client

    async def begin(
        self,
        store: WeightStore,
        wanted: Load,
        member: ListedMember,
        service: Service,
        others: Iterable[ListedMember],
    ) -> str:
        """Enter ``wanted`` into the list; return why not, or nothing.

        Args:
            store: from which it loads.
            wanted: the load.
            member: the target that would load.
            service: what it serves.
            others: the other targets of the service.
        """
        read = await read_loads(self._platform, store.name)
        if isinstance(read, Err):
            return PLATFORM_AWAY
        row, listed = read.ok_value
        loads = [
            load
            for load in active_loads(listed, store.gb_per_s, wanted.at)
            if load.target != member.id
        ]
        # Asked after the list was read: who begins meanwhile changes the list, and
        # then this one's entry is refused.
        serving = await self._serving(member, service, others) if wanted.out else []
        why = blocked_reason(loads, wanted, serving)
        if why:
            return why
        put = await put_loads(self._platform, store.name, row, [*loads, wanted])
        return "another load began just now" if isinstance(put, Err) else ""

    async def _serving(
        self, member: ListedMember, service: Service, others: Iterable[ListedMember]
    ) -> list[str]:
        """Return one other target of the region that serves online, if there is."""
        for other in others:
            if other.region != member.region or other.state == "leaving":
                continue
            seen = await self._client.observe(other.address)
            if isinstance(seen, Err):
                continue
            observed = seen.ok_value
            if observed.loading or observed.leaving:
                continue
            if serves_online(observed.loaded, service):
                return [other.id]
        return []

    async def lists(self, store: WeightStore, target_id: str) -> bool:
        """Return whether the list is known to hold a load of a target."""
        read = await read_loads(self._platform, store.name)
        if isinstance(read, Err):
            return False
        return any(load.target == target_id for load in read.ok_value[1])

    async def end(self, store: WeightStore, target_id: str) -> bool:
        """Take a target's load out of the list; return whether it is out."""
        read = await read_loads(self._platform, store.name)
        if isinstance(read, Err):
            return False
        row, listed = read.ok_value
        left = [load for load in listed if load.target != target_id]
        if left == listed:
            return True
        put = await put_loads(self._platform, store.name, row, left)
        return not isinstance(put, Err)
