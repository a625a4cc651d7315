"""The task that keeps this instance's configuration at the highest version known."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from result import Err

from caperridge.config.model import Caller, Configuration, Operator
from caperridge.instance.actor import Actor
from caperridge.instance.messages import ConfigurationApplied
from caperridge.log import logger
from caperridge.platform.interface import Platform
from caperridge.queries.configuration import read_head

log = logger(__name__)


class ConfigurationKeeper(Actor):
    """Owns the version in force; it only ever goes up.

    Args:
        platform: polled for the head.
        applied: told of each version that comes into force.
    """

    def __init__(
        self, platform: Platform, applied: Callable[[ConfigurationApplied], None]
    ) -> None:
        super().__init__()
        self.current = Configuration()
        self.known = False
        self._platform = platform
        self._applied = applied
        self._callers_by_digest: dict[str, Caller] = {}
        self._operators_by_digest: dict[str, Operator] = {}

    def caller(self, token_digest: str) -> Caller | None:
        """Return the caller with this token digest."""
        return self._callers_by_digest.get(token_digest)

    def operator(self, token_digest: str) -> Operator | None:
        """Return the operator with this token digest."""
        return self._operators_by_digest.get(token_digest)

    def apply(self, configuration: Configuration) -> bool:
        """Take over ``configuration`` if it is higher; return whether it was."""
        self.known = True
        if configuration.version <= self.current.version:
            return False
        self.current = configuration
        self._callers_by_digest = {
            caller.token_sha256: caller
            for caller in configuration.callers_by_name.values()
        }
        self._operators_by_digest = {
            operator.token_sha256: operator
            for operator in configuration.operators_by_name.values()
        }
        log.info("configuration in force", version=configuration.version)
        self._applied(ConfigurationApplied(configuration))
        return True

    @singledispatchmethod
    async def handle(self, message: Any) -> None:
        """Act on one message."""
        raise NotImplementedError(type(message).__name__)

    @handle.register
    async def _(self, message: ConfigurationApplied) -> None:
        self.apply(message.configuration)

    async def idle(self) -> None:
        """Poll the head."""
        read = await read_head(self._platform, self.current)
        if isinstance(read, Err):
            return
        self.apply(read.ok_value.configuration)
