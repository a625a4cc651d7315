"""The configuration in force at this instance; its version only increases."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from caperridge.decisions.quota import QuotaLimit
from caperridge.gateway.routes import RoutingTable
from caperridge.gateway.targets import Target
from caperridge.listening.limits import CallerLimits
from caperridge.log import logger

log = logger(__name__)

# Limits of callers while no configuration is known.
STARTING_LIMITS = CallerLimits(64 * 2**10, 64 * 2**20, 30.0, 75.0)
# Callers that have not heard of smaller limits may still use the larger ones.
LIMIT_OVERLAP_S = 10.0


class ConfigurationInForce:
    """Holds the newest version that was received.

    Attributes:
        table: in force; None before the first.
        since: when it came in force, on the event loop's clock.
        newer_announced: returns whether a peer has a newer version.
    """

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        self.since = 0.0
        self._previous_limits = STARTING_LIMITS
        self._changed: list[Callable[[], None]] = []
        self._next = asyncio.Event()
        self.newer_announced: Callable[[], bool] = lambda: False

    def in_service(self, targets: Iterable[Target]) -> list[Target]:
        """Return those of ``targets`` whose service is configured."""
        if self.table is None:
            return []
        services = self.table.services_by_name
        return [target for target in targets if target.service in services]

    async def wait_for_newer(self, timeout_s: float) -> bool:
        """Wait for the next version if a peer has announced one.

        Returns:
            Whether a newer version is in force now.
        """
        if not self.newer_announced():
            return False
        next_version = self._next
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await next_version.wait()
        return next_version.is_set()

    def limit_of(self, team: str) -> QuotaLimit | None:
        """Return the limit of a team in the version in force; None if it has none."""
        return self.table.limit_of(team) if self.table is not None else None

    def caller_limits(self) -> CallerLimits:
        """Return the limits in force; each the larger one soon after a change."""
        if self.table is None:
            return STARTING_LIMITS
        limits = self.table.limits
        if limits == self._previous_limits:
            return limits
        if asyncio.get_running_loop().time() - self.since > LIMIT_OVERLAP_S:
            self._previous_limits = limits
        return limits.widest(self._previous_limits)

    def on_change(self, call: Callable[[], None]) -> None:
        """Call ``call`` when another version is in force."""
        self._changed.append(call)

    def offer(self, table: RoutingTable, source: str) -> bool:
        """Put ``table`` in force if it is newer; ``source`` is who sent it."""
        before = self.table.version if self.table is not None else None
        if before is not None and table.version <= before:
            return False
        if self.table is not None:
            self._previous_limits = self.table.limits
        self.table = table
        self.since = asyncio.get_running_loop().time()
        log.info(
            "configuration in force",
            version=table.version,
            before=before,
            source=source,
            routes=len(table.routes),
        )
        self._next.set()
        self._next = asyncio.Event()
        for call in self._changed:
            call()
        return True
