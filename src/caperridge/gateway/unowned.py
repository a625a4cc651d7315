"""Detection of orphaned runs at targets after instances were lost.

An instance that loses power closes no connection: its runs go on at their targets for
seconds, in slots that look free. For that time the instance that grants a target's
slots asks the target for its load and sends the excess to the others.
"""

import asyncio
from collections.abc import Callable

from result import Err

from caperridge.gateway.dialect import DecodeError, Dialect
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.mesh.member import Member
from caperridge.gateway.mesh.mesh import Mesh
from caperridge.gateway.mesh.messages import UnownedRuns
from caperridge.gateway.occupancy import Count
from caperridge.gateway.targets import Target
from caperridge.gateway.upstream import TargetClient
from caperridge.log import logger
from caperridge.targets.outcomes import TargetRefused

log = logger(__name__)

# Longer than most runs of items, so that orphaned runs have ended by then.
SCAN_DURATION_S = 7.0
SCAN_INTERVAL_S = 0.25
# A target's load is some 100 ms old; without updates it expires after this time.
REPORT_TTL_S = 0.8
LOAD_TIMEOUT_S = 0.3
# Key of the orphaned runs in the counts by instance.
ORPHANED = "?"


class OrphanedRunScan:
    """Polls targets while there may be orphaned runs.

    Args:
        fleet: whose counts get the orphaned runs.
        client: calls targets.
        dialect: reads their answers.
        mesh: of peers; the loss of one starts a scan.
        targets: returns those that this instance grants.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: TargetClient,
        dialect: Dialect,
        mesh: Mesh,
        targets: Callable[[], list[Target]],
    ) -> None:
        self._targets = targets
        self._fleet = fleet
        self._client = client
        self._dialect = dialect
        self._mesh = mesh
        self._scan_until = 0.0
        self._last_by_target: dict[str, int] = {}
        self._recorded_at_by_target: dict[str, float] = {}
        mesh.register(UnownedRuns, self._record_count)
        mesh.on_lost(self._member_lost)

    def _member_lost(self, member: Member) -> None:
        if not member.leaving:  # a planned stop leaves no orphaned runs
            self.start_scan()

    def start_scan(self) -> None:
        """Poll targets for a while from now on."""
        self._scan_until = asyncio.get_running_loop().time() + SCAN_DURATION_S

    async def run(self) -> None:
        """Poll until cancelled; also after a start there may be orphaned runs."""
        self.start_scan()
        while True:
            now = asyncio.get_running_loop().time()
            self._expire(now)
            if now < self._scan_until:
                await self._scan()
            await asyncio.sleep(SCAN_INTERVAL_S)

    async def _scan(self) -> None:
        await asyncio.gather(
            *(self._check_target(target) for target in self._targets())
        )

    async def _check_target(self, target: Target) -> None:
        answer = await self._client.get(target, self._dialect.load_path, LOAD_TIMEOUT_S)
        if isinstance(answer, Err):
            error = answer.err_value
            if isinstance(error, TargetRefused) and error.replaced:
                now = asyncio.get_running_loop().time()
                self._fleet.mark_replaced(target.id, now)
            return
        try:
            load = self._dialect.load(answer.ok_value)
        except DecodeError as error:
            log.info("invalid load", target=target.id, reason=str(error))
            return
        if not load.may_be_from(target):
            return  # restarted; its row will show the new incarnation
        occupancy = self._fleet.occupancy
        known = (
            occupancy.total_at(target.id).total
            - occupancy.count_of(ORPHANED, target.id).total
        )
        orphaned = max(0, load.total - known)
        # A run that just ended may still be in one answer, but not in the next.
        lasting = min(orphaned, self._last_by_target.get(target.id, 0))
        self._last_by_target[target.id] = orphaned
        if lasting or occupancy.count_of(ORPHANED, target.id).total:
            message = UnownedRuns(target.id, lasting)
            self._mesh.send_near(message)
            self._record_count(self._mesh.instance, message)

    def _record_count(self, peer: str, message: UnownedRuns) -> None:
        before = self._fleet.occupancy.count_of(ORPHANED, message.target).total
        self._recorded_at_by_target[message.target] = asyncio.get_running_loop().time()
        if before == message.count:
            return
        log.info(
            "orphaned runs", target=message.target, count=message.count, source=peer
        )
        self._fleet.occupancy.update_peer_count(
            ORPHANED, message.target, Count(message.count)
        )
        self._fleet.notify_changed()

    def _expire(self, now: float) -> None:
        for target, recorded_at in list(self._recorded_at_by_target.items()):
            if now - recorded_at > REPORT_TTL_S:
                del self._recorded_at_by_target[target]
                self._fleet.occupancy.update_peer_count(ORPHANED, target, Count())
                self._fleet.notify_changed()
