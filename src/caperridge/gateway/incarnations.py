"""Confirms which incarnation of a target has run a request.

A target may restart under its id and address, with another software version. Until its
new entry is known, its runs look like those of the earlier incarnation.
"""

import asyncio

from result import Err

from caperridge.decisions.stream_origins import StreamOrigin
from caperridge.gateway.dialect import DecodeError, Dialect
from caperridge.gateway.fleet import Fleet
from caperridge.gateway.targets import Target, name_of
from caperridge.gateway.upstream import TargetClient
from caperridge.log import logger
from caperridge.targets.outcomes import TargetRefused

log = logger(__name__)

# A target answers within milliseconds, also when all of its slots are taken.
ANSWER_TIMEOUT_S = 0.15


class IncarnationCheck:
    """Asks targets which incarnation of them is running.

    Targets that are listed without the time of their start get another id at each
    start, and refuse requests for an earlier one; they are not asked.

    Args:
        fleet: holds the listed targets.
        client: calls targets.
        dialect: reads their answers.
    """

    def __init__(self, fleet: Fleet, client: TargetClient, dialect: Dialect) -> None:
        self._fleet = fleet
        self._client = client
        self._dialect = dialect

    async def is_running(self, target: Target) -> bool | None:
        """Whether this incarnation of a target runs, as of a moment after this call.

        What has run at its address since it was listed was run by it then.

        Returns:
            None if the target does not tell.
        """
        if target.id == target.name:
            return True
        path = self._dialect.load_path
        answer = await self._client.get(target, path, ANSWER_TIMEOUT_S)
        if isinstance(answer, Err):
            error = answer.err_value
            if isinstance(error, TargetRefused) and error.replaced:
                self._mark_replaced(target)
                return False
            return None
        try:
            load = self._dialect.load(answer.ok_value)
        except DecodeError as error:
            log.info("invalid load", target=target.id, reason=str(error))
            return None
        if not load.may_be_from(target):
            self._mark_replaced(target)
            return False
        return True

    async def may_have_written(self, target: str, origin: StreamOrigin) -> bool:
        """Whether events from a target may be taken for those of an origin.

        Args:
            target: id of the incarnation that was listed when they were sent.
            origin: of that incarnation.

        Returns:
            False if a later incarnation of another origin may have sent them. A target
            that has ended without a successor did send them, as far as known.
        """
        name = name_of(target)
        if name == target:
            return True
        listed = self._fleet.targets.find_by_name(name)
        if listed is not None and listed.id == target:
            if await self.is_running(listed) is False:
                return False
            # Its successor may have been listed in the meantime.
            listed = self._fleet.targets.find_by_name(name)
        return listed is None or listed.origin == origin

    def _mark_replaced(self, target: Target) -> None:
        self._fleet.mark_replaced(target.id, asyncio.get_running_loop().time())
