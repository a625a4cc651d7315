"""Simulated loading of weights by the engine stand-in."""

import asyncio
import contextlib
from typing import Any

from caperridge.standins.weights import WeightStore

# Reading weights in several chunks lets concurrent loads share a store.
LOAD_CHUNKS = 20


class Loader:
    """Executes the latest order; ``loaded`` is updated when its weights are read.

    For an engine that starts with ``preloaded`` weights, the first order only states
    what these weights are.

    Args:
        gb_per_s: load rate without a store, in GB per second.
        store: weight store shared with other engines.
        preloaded: whether the engine starts with weights.
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

    def apply_order(self, desired: dict[str, Any]) -> bool:
        """Start loading ``desired``; return whether this interrupts serving."""
        ordered = {key: value for key, value in desired.items() if key != "gb"}
        if self._task is not None:
            self._task.cancel()
        if ordered == self.loaded or (self.serving and not self.loaded):
            self.loaded, self.loading, self.serving = ordered, False, True
            return False
        stops = self.serving and not self._same_weights(ordered)
        self.serving = self.serving and not stops
        self.loading = True
        load = self._load(ordered, float(desired.get("gb", 0.0)))
        self._task = asyncio.get_running_loop().create_task(load)
        return stops

    def _same_weights(self, ordered: dict[str, Any]) -> bool:
        return all(
            self.loaded.get(key) == ordered.get(key) for key in ("model", "version")
        )

    async def _load(self, ordered: dict[str, Any], gb: float) -> None:
        for _ in range(LOAD_CHUNKS):
            if self._store is not None:
                await self._store.take(int(gb * 1e9 / LOAD_CHUNKS))
                continue
            await asyncio.sleep(gb / self._gb_per_s / LOAD_CHUNKS)
        self.loaded, self.loading, self.serving = ordered, False, True

    async def stop(self) -> None:
        """Cancel a load in progress."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
