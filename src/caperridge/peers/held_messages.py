"""Messages about requests that crash targets, from which instances quarantine them.

Both kinds are flooded: each instance forwards them on first receipt. ``said_at``
distinguishes consecutive messages with the same content.
"""

from caperridge.records import Record


class EndNews(Record):
    """A target crashed, and a request that ran there was lost.

    Attributes:
        instance: id of the instance that observed the crash.
        target: id of the target.
        content: digest of the request's content.
        caller: caller of the request.
        age_s: how long the request had been at the target, in seconds.
        events: number of events that the request had produced there.
        said_at: time of sending, on the clock of ``instance``.
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
    """A request completed, which exonerates it.

    Attributes:
        instance: id of the instance that observed it.
        content: digest of the request's content.
        caller: caller of the request.
        ago_s: how long ago it completed, in seconds.
        said_at: time of sending, on the clock of ``instance``.
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
