"""The configuration in force at this instance; its version only increases."""

import asyncio
from collections.abc import Callable

from caperridge.gateway.routes import RoutingTable
from caperridge.log import logger

log = logger(__name__)


class ConfigurationInForce:
    """Holds the newest version that was received."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        self.since = 0.0
        self._changed: list[Callable[[], None]] = []

    def on_change(self, call: Callable[[], None]) -> None:
        """Call ``call`` when another version is in force."""
        self._changed.append(call)

    def offer(self, table: RoutingTable, source: str) -> bool:
        """Put ``table`` in force if it is newer; ``source`` is who sent it."""
        before = self.table.version if self.table is not None else None
        if before is not None and table.version <= before:
            return False
        self.table = table
        self.since = asyncio.get_running_loop().time()
        log.info(
            "configuration in force",
            version=table.version,
            before=before,
            source=source,
            routes=len(table.routes),
        )
        for call in self._changed:
            call()
        return True
