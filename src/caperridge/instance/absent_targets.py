"""Targets at which nobody listens, though the platform lists them.

Items that wait for such a target would wait for as long as it is listed: an instance
that has no other gives them back, and starts again once the target answers.
"""

import asyncio
from collections.abc import Callable, Mapping

from caperridge.targets.engine import EngineClient

ASK_EVERY_S = 1.0  # as often as targets are asked for their load


class AbsentTargets:
    """Those that are absent; each is asked until it answers.

    Args:
        engines: client of the engines.
        clock: monotonic seconds.
        back: called when one has answered.
    """

    def __init__(
        self,
        engines: EngineClient,
        clock: Callable[[], float],
        back: Callable[[], None],
    ) -> None:
        self._engines = engines
        self._clock = clock
        self._back = back
        self._due_by_target: dict[str, float] = {}
        self._asks: set[asyncio.Task[None]] = set()

    def __contains__(self, target: str) -> bool:
        """Return whether nobody listens at ``target``."""
        return target in self._due_by_target

    def note(self, target: str) -> None:
        """Note that nobody was found at ``target``."""
        self._due_by_target.setdefault(target, float("-inf"))

    def ask(self, addresses_by_target: Mapping[str, str]) -> None:
        """Ask those whose time has come.

        Args:
            addresses_by_target: of the targets that count; others are forgotten.
        """
        now = self._clock()
        for target, due in list(self._due_by_target.items()):
            address = addresses_by_target.get(target)
            if address is None:
                del self._due_by_target[target]
                continue
            if now < due:
                continue
            self._due_by_target[target] = now + ASK_EVERY_S
            ask = self._ask(target, address)
            task = asyncio.get_running_loop().create_task(ask)
            self._asks.add(task)
            task.add_done_callback(self._asks.discard)

    async def _ask(self, target: str, address: str) -> None:
        if not await self._engines.is_listening(address):
            return
        self._due_by_target.pop(target, None)
        self._back()
