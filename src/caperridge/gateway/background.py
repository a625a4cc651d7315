"""Tasks that run as long as the instance, and what becomes of those that fail."""

import asyncio
from collections.abc import Awaitable, Callable

from caperridge.gateway.metrics import GatewayMetrics
from caperridge.log import logger

log = logger(__name__)

# A task that fails each time it starts must not keep the instance busy.
RESTART_DELAY_S = 0.5


class BackgroundTasks:
    """Runs tasks until they are stopped; one that ends earlier is restarted.

    Attributes:
        tasks_by_name: the running tasks.

    Args:
        metrics: counts tasks that ended.
    """

    def __init__(self, metrics: GatewayMetrics) -> None:
        self.tasks_by_name: dict[str, asyncio.Task[None]] = {}
        self._metrics = metrics

    def start(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run ``work`` until it is cancelled.

        Args:
            name: for logs and metrics.
            work: called again if it ended.
        """
        task = asyncio.get_running_loop().create_task(self._run(name, work))
        self.tasks_by_name[name] = task

    async def stop(self) -> None:
        """Cancel all tasks and wait for their ends."""
        tasks = self.tasks_by_name.values()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await work()
                log.error("background task ended", task=name)
            except Exception:
                log.exception("background task failed", task=name)
            self._metrics.background_failures.labels(name).inc()
            await asyncio.sleep(RESTART_DELAY_S)


def log_failure(task: "asyncio.Task[None]") -> None:
    """Log the error that ended a task; to be added to it as a callback."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        name = task.get_coro().__qualname__
        log.error("task failed", task=name, exc_info=(type(error), error, None))
