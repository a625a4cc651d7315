"""Fault injection settings of the engine stand-in."""

from caperridge.records import Record


class EngineFaults(Record):
    """Faults injected into one engine.

    Attributes:
        hung: no steps run; connections stay open.
        killed: all connections break; see :meth:`Engine.kill`.
        slow: factor on the duration of steps.
        refuse_status: HTTP status to refuse all requests with; 0 for none.
        refuse_run: ``run`` field of that refusal; empty to omit it.
        cut_after: number of tokens after which the connection is dropped; 0 for
            never.
        cross: answer with the text and ids of another request.
        late_s: delay of the first token in seconds.
        lose_body: run the request, then drop the connection before the first byte.
        leaving: refuse new requests with status 503 and code ``leaving``.
        ignore_fencing: obey orders with an outdated fencing token.
        report_lag_s: age of the load report in seconds.
        event_lag_s: delay of cache events in seconds.
        event_gaps: ratio of cache events that are never reported.
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
