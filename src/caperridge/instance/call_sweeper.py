"""The task that forgets old keyed calls, a page at a time."""

import time
from collections.abc import Callable

from result import Err

from caperridge import keys
from caperridge.commands.forget_call import delete_call
from caperridge.decisions.membership import Membership
from caperridge.decisions.plain_calls import CallClaim, is_expired
from caperridge.instance.actor import Actor
from caperridge.store.interface import Platform

SWEEP = "sweep-calls"
PAGE = 200


class CallSweeper(Actor):
    """Sweeps, if it is the one of its availability zone that does.

    Zones sweep beside each other; a row that another one removed is a conflict.

    Args:
        platform: where the calls are.
        membership: says who sweeps.
        clock: seconds since the epoch.
    """

    idle_s = 30.0

    def __init__(
        self,
        platform: Platform,
        membership: Membership,
        clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._membership = membership
        self._clock = clock
        self._after = ""

    async def idle(self) -> None:
        """Look at one page; the next one follows when this task is idle again."""
        zone = self._membership.availability_zone
        if self._membership.owner(SWEEP, zone) != self._membership.instance:
            return
        page = await self._platform.scan(keys.CALLS, self._after, PAGE)
        if isinstance(page, Err):
            return
        for row in page.ok_value:
            if is_expired(CallClaim.from_map(row.value), self._clock()):
                await delete_call(self._platform, row)
        rows = page.ok_value
        self._after = rows[-1].key if len(rows) == PAGE else ""
