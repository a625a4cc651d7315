"""An event loop on a modelled clock, for real asynchronous code without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class ModelledSelector(selectors.SelectSelector):
    """Never waits and watches no socket: the modelled clock advances instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by ``timeout``.

        Raises:
            RuntimeError: nothing is scheduled, so the wait would not end.
        """
        if timeout is None:
            raise RuntimeError("all tasks wait for something that never happens")
        self.now += max(0.0, timeout)
        return []


class ModelledLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers are due on a modelled clock."""

    def __init__(self) -> None:
        self._modelled = ModelledSelector()
        super().__init__(self._modelled)

    def time(self) -> float:
        """Return the modelled time, in seconds."""
        return self._modelled.now


def run_modelled(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` on a modelled clock; cancel what it leaves behind."""
    with asyncio.Runner(loop_factory=ModelledLoop) as runner:
        return runner.run(main)
