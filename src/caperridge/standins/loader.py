"""How the engine's stand-in loads what it is ordered to hold."""

import asyncio
import contextlib
from typing import Any

from caperridge.standins.weights import WeightStore

BLOCKS = 20  # a load takes its weights in so many pieces, so that loads share a store


class Loader:
    """Follows the last order: ``loaded`` becomes it once its GB were read.

    An engine that starts with ``preloaded`` weights takes its first order as a
    statement of what they are.

    Args:
        gb_per_s: its rate when no store is given.
        store: shared with other engines.
        preloaded: whether it starts with weights.
    """

    def __init__(
        self,
        gb_per_s: float,
        store: WeightStore | None = None,
        preloaded: bool = True,
    ) -> None:
        self.loaded: dict[str, Any] = {}
        self.loading = False
        self.serving = preloaded
        self._gb_per_s = gb_per_s
        self._store = store
        self._task: asyncio.Task[None] | None = None

    def follow(self, desired: dict[str, Any]) -> bool:
        """Begin to load ``desired``; return whether serving stops meanwhile."""
        wanted = {key: value for key, value in desired.items() if key != "gb"}
        if self._task is not None:
            self._task.cancel()
        if wanted == self.loaded or (self.serving and not self.loaded):
            self.loaded, self.loading, self.serving = wanted, False, True
            return False
        stops = self.serving and not self._same_weights(wanted)
        self.serving = self.serving and not stops
        self.loading = True
        load = self._load(wanted, float(desired.get("gb", 0.0)))
        self._task = asyncio.get_running_loop().create_task(load)
        return stops

    def _same_weights(self, wanted: dict[str, Any]) -> bool:
        return all(
            self.loaded.get(key) == wanted.get(key) for key in ("model", "version")
        )

    async def _load(self, wanted: dict[str, Any], gb: float) -> None:
        for _ in range(BLOCKS):
            if self._store is not None:
                await self._store.take(int(gb * 1e9 / BLOCKS))
                continue
            await asyncio.sleep(gb / self._gb_per_s / BLOCKS)
        self.loaded, self.loading, self.serving = wanted, False, True

    async def stop(self) -> None:
        """Stop a load under way."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
