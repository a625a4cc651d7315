"""What instances tell each other of requests that end targets.

Both are passed on by whoever hears them for the first time; ``said_at`` tells one from
the next of the same.
"""

from caperridge.records import Record


class EndNews(Record):
    """A target ended, and a request was lost with it.

    Attributes:
        instance: that saw it.
        target: its id.
        content: digest of what was asked for.
        caller: who asked.
        age_s: how long it had been there, in seconds.
        events: that it had made there.
        said_at: on the clock of ``instance``.
    """

    __slots__ = (
        "age_s",
        "caller",
        "content",
        "events",
        "instance",
        "said_at",
        "target",
    )

    def __init__(
        self,
        instance: str,
        target: str,
        content: str,
        caller: str,
        age_s: float,
        events: int,
        said_at: float,
    ) -> None:
        self.instance = instance
        self.target = target
        self.content = content
        self.caller = caller
        self.age_s = age_s
        self.events = events
        self.said_at = said_at


class SoundNews(Record):
    """A request ended well.

    Attributes:
        instance: where.
        content: digest of what was asked for.
        caller: who asked.
        ago_s: how long ago, in seconds.
        said_at: on the clock of ``instance``.
    """

    __slots__ = ("ago_s", "caller", "content", "instance", "said_at")

    def __init__(
        self, instance: str, content: str, caller: str, ago_s: float, said_at: float
    ) -> None:
        self.instance = instance
        self.content = content
        self.caller = caller
        self.ago_s = ago_s
        self.said_at = said_at
