"""The task that says in the log when an instance becomes ready, and why it is not."""

from collections.abc import Callable

from caperridge.instance.actor import Actor
from caperridge.log import logger

log = logger(__name__)


class ReadinessLog(Actor):
    """Logs each change of what keeps the instance from being ready.

    Args:
        instance: id of this instance.
        because: returns the reasons; empty when it is ready.
    """

    def __init__(self, instance: str, because: Callable[[], list[str]]) -> None:
        super().__init__()
        self._instance = instance
        self._because = because
        self._logged: list[str] | None = None

    async def idle(self) -> None:
        """Compare with what was logged last."""
        because = self._because()
        if because == self._logged:
            return
        self._logged = because
        if because:
            log.warning("not ready yet", instance=self._instance, because=because)
            return
        log.info("ready", instance=self._instance)
