"""The records of one caller's request: its content, its progress and its reply."""

from abc import ABC, abstractmethod

from multidict import CIMultiDict

from caperridge.decisions.stream_origins import StreamOrigin
from caperridge.gateway.fingerprint import Fingerprint
from caperridge.gateway.routes import Route
from caperridge.gateway.targets import Target
from caperridge.records import Record

# A few broken runs of one request in a row are coincidence; more are caused by the
# request.
MAX_RUNS = 4


class InboundRequest(Record):
    """A caller's request with its complete body.

    Attributes:
        id: as the caller sent it.
        method: HTTP method.
        path: with the query, as received.
        headers: as received.
        body: the complete body.
        route: that matched it.
        arrived: when its head was received, on the event loop's clock.
        deadline: when its answer must be complete, on the event loop's clock.
        objective: when its first event is due, counted from the caller's first try, on
            the event loop's clock.
        resume_after: number of the last event that the caller received; 0 for none.
        stream: id of the caller's try that brought the first event; empty if the
            caller does not say.
        max_tokens: of its answer, as the caller states it; 0 if it does not.
    """

    __slots__ = (
        "arrived",
        "body",
        "deadline",
        "headers",
        "id",
        "max_tokens",
        "method",
        "objective",
        "path",
        "resume_after",
        "route",
        "stream",
    )

    def __init__(
        self,
        id: str,
        method: str,
        path: str,
        headers: CIMultiDict[str],
        body: bytes,
        route: Route,
        arrived: float,
        deadline: float,
        objective: float,
        resume_after: int = 0,
        stream: str = "",
        max_tokens: int = 0,
    ) -> None:
        self.id = id
        self.max_tokens = max_tokens
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.route = route
        self.arrived = arrived
        self.deadline = deadline
        self.objective = objective
        self.resume_after = resume_after
        self.stream = stream


class Failure(Record):
    """Why a request gets no answer from a target.

    Attributes:
        reason: for the caller and the log.
        not_run: it has not run and will not.
        retry_after_s: delay after which the caller may retry; 0 for none.
        timed_out: its deadline has passed.
    """

    __slots__ = ("not_run", "reason", "retry_after_s", "timed_out")

    def __init__(
        self,
        reason: str,
        not_run: bool,
        retry_after_s: float = 0.0,
        timed_out: bool = False,
    ) -> None:
        self.reason = reason
        self.not_run = not_run
        self.retry_after_s = retry_after_s
        self.timed_out = timed_out


class Reply(ABC):
    """Sends the answer to the caller."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether the head of an answer was sent."""

    @abstractmethod
    async def reserve(self, size: int) -> None:
        """Wait until there is memory for so many more bytes of a complete answer."""

    @abstractmethod
    async def send_whole(
        self, status: int, headers: CIMultiDict[str], body: bytes
    ) -> None:
        """Send a complete answer."""

    @abstractmethod
    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the head of a streamed answer."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send more of the body of a streamed answer."""

    @abstractmethod
    async def end(self) -> None:
        """Mark a streamed answer as complete."""


class RequestState:
    """The progress of one request.

    Attributes:
        last_event: number of the last event that was relayed; 0 before the first.
        offers: how often it was sent to a target.
        runs: how often a target started to answer it.
        attempts: runs that count against the route's attempts: those that failed and
            those that this instance broke off, not those that the target broke off.
        tried_targets: targets that are used again only if there are no others.
        sent_at_least_once: it may be running or have run.
        origin: what began its stream; None before the first event.
        began_at: id of the incarnation that was listed for the target of the first
            event; empty if another instance relayed that, or once it is confirmed.
        origin_recorded: whether this instance has recorded that.
        fingerprint: its fingerprint; None until it is needed.
        wrote: the target of its current run has written a part of an answer.
        movable: its current run may be broken off and repeated at another target.
        reserved: target with a slot for its next run; None if there is none.
        admitted_runs: value of ``runs`` when the guard last admitted it; -1 if it has
            to be asked again.
    """

    __slots__ = (
        "admitted_runs",
        "attempts",
        "began_at",
        "fingerprint",
        "last_event",
        "movable",
        "offers",
        "origin",
        "origin_recorded",
        "reserved",
        "runs",
        "sent_at_least_once",
        "tried_targets",
        "wrote",
    )

    def __init__(self, last_event: int) -> None:
        self.last_event = last_event
        self.offers = 0
        self.runs = 0
        self.attempts = 0
        self.tried_targets: set[str] = set()
        self.sent_at_least_once = False
        self.origin: StreamOrigin | None = None
        self.began_at = ""
        self.origin_recorded = False
        self.fingerprint: Fingerprint | None = None
        self.movable = False
        self.wrote = False
        self.reserved: Target | None = None
        self.admitted_runs = -1

    def begin_run(self, route: Route) -> None:
        """Note that it is sent to a target, and may be running from now on."""
        self.sent_at_least_once = True
        self.wrote = False
        exhausted = self.attempts + 1 >= route.max_attempts
        last = exhausted or self.runs + 1 >= MAX_RUNS
        self.movable = route.idempotent and not last

    def may_retry(self, route: Route) -> bool:
        """Whether it may be run once more."""
        exhausted = self.attempts >= route.max_attempts
        return not exhausted and self.runs < MAX_RUNS
