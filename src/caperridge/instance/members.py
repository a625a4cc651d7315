"""The task that reads the platform's list of members."""

from collections.abc import Callable

from result import Err

from caperridge.instance.actor import Actor
from caperridge.instance.messages import MembersListed
from caperridge.platform.interface import Platform


class MembersReader(Actor):
    """Polls the list; keeps the last one while the platform is away.

    Args:
        platform: whose list.
        listed: told of each list read.
    """

    def __init__(
        self, platform: Platform, listed: Callable[[MembersListed], None]
    ) -> None:
        super().__init__()
        self.known = False
        self._platform = platform
        self._listed = listed

    async def idle(self) -> None:
        """Read the list."""
        members = await self._platform.members()
        if isinstance(members, Err):
            return
        self.known = True
        self._listed(MembersListed(members.ok_value))
