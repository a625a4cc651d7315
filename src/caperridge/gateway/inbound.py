"""A caller's request on its way: what came, what became of it, and the way back."""

from abc import ABC, abstractmethod

from multidict import CIMultiDict

from caperridge.gateway.fingerprint import Fingerprint
from caperridge.gateway.routes import Route
from caperridge.records import Record

# Runs of one request that broke at their targets; a few in a row are bad luck, more
# are the request's own doing.
MAX_RUNS = 4


class InboundRequest(Record):
    """A caller's request, whole.

    Attributes:
        id: as the caller gave it.
        method: of HTTP.
        path: with the query, as it came.
        headers: as they came.
        body: whole.
        route: that took it.
        arrived: when its head had come, on the loop's clock.
        deadline: when it must have its final answer, on the loop's clock.
        objective: when it should have its first event, counted from its caller's first
            try, on the loop's clock.
        resume_after: number of the last event that the caller has; 0 for none.
    """

    __slots__ = (
        "arrived",
        "body",
        "deadline",
        "headers",
        "id",
        "method",
        "objective",
        "path",
        "resume_after",
        "route",
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
    ) -> None:
        self.id = id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.route = route
        self.arrived = arrived
        self.deadline = deadline
        self.objective = objective
        self.resume_after = resume_after


class ForwardingFailure(Record):
    """Why a request gets no answer of a target.

    Attributes:
        reason: a sentence for a person.
        not_run: it has not run and never will.
        retry_after_s: when asking again makes sense.
        timed_out: its time is over.
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
    """The way back to the caller."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether the head of an answer has gone out."""

    @abstractmethod
    async def send_whole(
        self, status: int, headers: CIMultiDict[str], body: bytes
    ) -> None:
        """Send a whole answer."""

    @abstractmethod
    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the head of a streamed answer."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send more of its body."""

    @abstractmethod
    async def end(self) -> None:
        """End it as whole."""


class ForwardingState:
    """What has become of one request so far.

    Attributes:
        last_event: number of the last event that went out; 0 before the first.
        offers: how often it was sent to a target.
        runs: how often a target began to answer it.
        attempts: runs that count against the route's attempts: those that ended with
            a failure and those that this end broke off; not those that broke.
        refused_by: targets that are not asked again.
        sent_at_least_once: it may run or have run.
        mark: what it asks for, once that mattered.
        admitted_runs: value of ``runs`` when it was last found that it may be sent.
    """

    __slots__ = (
        "admitted_runs",
        "attempts",
        "last_event",
        "mark",
        "offers",
        "refused_by",
        "runs",
        "sent_at_least_once",
    )

    def __init__(self, last_event: int) -> None:
        self.last_event = last_event
        self.offers = 0
        self.runs = 0
        self.attempts = 0
        self.refused_by: set[str] = set()
        self.sent_at_least_once = False
        self.mark: Fingerprint | None = None
        self.admitted_runs = -1

    def may_retry(self, route: Route) -> bool:
        """Whether another target may run it."""
        enough = self.attempts >= route.max_attempts
        return not enough and self.runs < MAX_RUNS
