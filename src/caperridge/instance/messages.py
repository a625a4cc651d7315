"""The messages between the tasks of one instance."""

from typing import Any

from caperridge.config.model import Configuration
from caperridge.decisions.configuration_order import PackedDelta
from caperridge.peers.messages import ConfigurationNews, LoadedNews
from caperridge.queries.configuration import Head
from caperridge.records import Record
from caperridge.store.interface import ListedMember
from caperridge.targets.outcomes import AttemptError


class ConfigurationApplied(Record):
    """A higher version is in force in this instance."""

    __slots__ = ("configuration",)

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration


class ConfigurationConfirmed(Record):
    """This instance confirmed a version.

    ``delta`` is what leads to it, or None if everybody has to read it whole.
    """

    __slots__ = ("configuration", "delta")

    def __init__(self, configuration: Configuration, delta: PackedDelta | None) -> None:
        self.configuration = configuration
        self.delta = delta


class ConfigurationHeard(Record):
    """A peer told of a version of the configuration."""

    __slots__ = ("instance", "news")

    def __init__(self, instance: str, news: ConfigurationNews) -> None:
        self.instance = instance
        self.news = news


class ConfigurationAsked(Record):
    """A peer asked for the configuration above ``version``."""

    __slots__ = ("instance", "version")

    def __init__(self, instance: str, version: int) -> None:
        self.instance = instance
        self.version = version


class HeadRead(Record):
    """The head of the configuration's log was read from the platform."""

    __slots__ = ("head",)

    def __init__(self, head: Head) -> None:
        self.head = head


class LoadedHeard(Record):
    """A peer told what a target holds."""

    __slots__ = ("news",)

    def __init__(self, news: LoadedNews) -> None:
        self.news = news


class MembersListed(Record):
    """The platform's list was read."""

    __slots__ = ("members",)

    def __init__(self, members: list[ListedMember]) -> None:
        self.members = members


class JobsChanged(Record):
    """Jobs were accepted or cancelled here or elsewhere; read them soon."""

    __slots__ = ("cancelled",)

    def __init__(self, cancelled: str = "") -> None:
        self.cancelled = cancelled


class OnlineLoad(Record):
    """How many online requests this instance has in flight at a target.

    Attributes:
        target: where they are.
        in_flight: how many there are now.
        first_token_s: time to the first token of the one that ended; 0 if unknown.
        between_tokens_s: its mean time between tokens; 0 if unknown.
    """

    __slots__ = ("between_tokens_s", "first_token_s", "in_flight", "target")

    def __init__(
        self,
        target: str,
        in_flight: int,
        first_token_s: float = 0.0,
        between_tokens_s: float = 0.0,
    ) -> None:
        self.target = target
        self.in_flight = in_flight
        self.first_token_s = first_token_s
        self.between_tokens_s = between_tokens_s


class ItemEnded(Record):
    """A batch item ended; ``error`` is None if its answer is whole."""

    __slots__ = ("error", "work")

    def __init__(self, work: Any, error: AttemptError | None) -> None:
        self.work = work
        self.error = error
