"""When an instance becomes ready, and the task that says in the log why it is not."""

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from caperridge.instance.actor import Actor
from caperridge.log import logger

if TYPE_CHECKING:
    from caperridge.instance.process import Instance

log = logger(__name__)
AWAIT_TARGETS_S = 5.0


class AwaitedTargets:
    """Which declared services have no target yet that this instance knows.

    The list lags, and one that is read while the platform starts may be empty; whoever
    is ready then refuses what others serve. A service may have no targets in truth,
    so they are awaited for some seconds from the first list on, and never again.

    Args:
        declared: returns the names of the services; None until they are known.
        listed: returns the services that have targets; None until a list is known.
        clock: monotonic seconds.
    """

    def __init__(
        self,
        declared: Callable[[], Collection[str] | None],
        listed: Callable[[], Collection[str] | None],
        clock: Callable[[], float],
    ) -> None:
        self._declared = declared
        self._listed = listed
        self._clock = clock
        self._since: float | None = None
        self._over = False

    def missing(self) -> list[str]:
        """Return the services whose targets are still awaited."""
        if self._over:
            return []
        declared, listed = self._declared(), self._listed()
        if declared is None or listed is None:
            return []
        if self._since is None:
            self._since = self._clock()
        missing = sorted(set(declared) - set(listed))
        self._over = not missing or self._clock() - self._since >= AWAIT_TARGETS_S
        return [] if self._over else missing


def awaited_targets_of(
    instance: "Instance", clock: Callable[[], float]
) -> AwaitedTargets:
    """Return what is awaited by the configuration and the list of ``instance``."""

    def declared() -> Collection[str] | None:
        keeper = instance.configuration
        return keeper.current.services_by_name if keeper.known else None

    def listed() -> Collection[str] | None:
        if not instance.members.known:
            return None
        states = instance.online.book.states_by_id.values()
        return {state.member.service for state in states}

    return AwaitedTargets(declared, listed, clock)


def not_ready_because(instance: "Instance") -> list[str]:
    """Return what keeps ``instance`` from being ready; empty if it is."""
    missing: list[str] = []
    if instance.drain.stopping:
        missing.append("it is stopping")
    if not instance.configuration.known:
        missing.append("it does not know the configuration yet")
    if not instance.members.known:
        missing.append("it does not know the targets yet")
    for service in instance.awaited_targets.missing():
        missing.append(f"it does not know any target of {service} yet")
    if instance.membership.superseded:
        missing.append("a later process has its id")
    return missing


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
