"""The switches of the engine's stand-in."""

from caperridge.records import Record


class EngineFaults(Record):
    """The switches of an engine.

    Attributes:
        hung: steps stop; connections stay open.
        killed: every connection breaks; see :meth:`Engine.kill`.
        slow: steps take this many times as long.
        refuse_status: answer every request with this status; 0 for none.
        refuse_run: the ``run`` word of that refusal, if it should carry one.
        cut_after: drop the connection after so many tokens; 0 for never.
        cross: answer with the text and ids of another request.
        late_s: hold back the first token for so long.
        lose_body: run the request, then drop the connection before the first byte.
        leaving: refuse new requests with 503 and say ``leaving``.
        ignore_fencing: obey orders with an old number.
        report_lag_s: how old the load report is.
        event_lag_s: how late cache events are.
        event_gaps: share of cache events that never appear.
    """

    __slots__ = (
        "cross",
        "cut_after",
        "event_gaps",
        "event_lag_s",
        "hung",
        "ignore_fencing",
        "killed",
        "late_s",
        "leaving",
        "lose_body",
        "refuse_run",
        "refuse_status",
        "report_lag_s",
        "slow",
    )

    def __init__(
        self,
        hung: bool = False,
        slow: float = 1.0,
        refuse_status: int = 0,
        refuse_run: str = "",
        cut_after: int = 0,
        cross: bool = False,
        lose_body: bool = False,
        leaving: bool = False,
        ignore_fencing: bool = False,
        report_lag_s: float = 0.5,
        event_lag_s: float = 1.0,
        event_gaps: float = 0.05,
        killed: bool = False,
        late_s: float = 0.0,
    ) -> None:
        self.hung = hung
        self.slow = slow
        self.refuse_status = refuse_status
        self.refuse_run = refuse_run
        self.cut_after = cut_after
        self.cross = cross
        self.lose_body = lose_body
        self.leaving = leaving
        self.ignore_fencing = ignore_fencing
        self.report_lag_s = report_lag_s
        self.event_lag_s = event_lag_s
        self.event_gaps = event_gaps
        self.killed = killed
        self.late_s = late_s
