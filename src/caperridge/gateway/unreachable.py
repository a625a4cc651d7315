"""Probing of targets that no connection could be opened to."""

import asyncio

from caperridge.gateway.fleet import Fleet
from caperridge.gateway.upstream import TargetClient

PROBE_INTERVAL_S = 0.5


async def probe_unreachable(fleet: Fleet, client: TargetClient) -> None:
    """Probe unreachable targets until they accept connections again."""
    while True:
        await asyncio.sleep(PROBE_INTERVAL_S)
        for id, address in list(fleet.unreachable.items()):
            if id not in fleet.targets.by_id:
                fleet.unreachable.pop(id, None)
            elif await client.is_reachable(address):
                fleet.mark_reachable(id)
