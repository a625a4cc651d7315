"""Records of jobs, items and results, stored as msgpack."""

from caperridge.decisions.stream_origins import StreamOrigin
from caperridge.records import Record

COMPLETED = "completed"
DEAD = "dead"


class JobItem(Record):
    """One request of a job.

    Attributes:
        id: unique in the job; sent to targets as the id of the request.
        path: that it is sent to, with POST.
        headers: as pairs, in order.
        body: of the request.
        tokens: of the prompt, plus the maximum number to be generated.
    """

    __slots__ = ("body", "headers", "id", "path", "tokens")

    def __init__(
        self, id: str, path: str, headers: list[list[str]], body: bytes, tokens: int
    ) -> None:
        self.id = id
        self.path = path
        self.headers = headers
        self.body = body
        self.tokens = tokens


class JobRequest(Record):
    """A job as a caller sends it."""

    __slots__ = ("items",)

    def __init__(self, items: list[JobItem]) -> None:
        self.items = items

    @property
    def tokens(self) -> int:
        """Sum of the tokens of the items."""
        return sum(item.tokens for item in self.items)


class JobEntry(Record):
    """A job's row in the index of all jobs.

    Attributes:
        id: given by the caller, and unique for its team; see :func:`job_of_team`.
        route: name of the route that matched it.
        host: that it was sent to.
        total: number of items.
        sent_s: time of acceptance, in seconds of the store's clock.
        waiting_tokens: of unfinished items; never rises.
        object: name of the object with the items.
        open: whether more results may be listed.
        team: that sent it; empty if its route needs no key.
    """

    __slots__ = (
        "host",
        "id",
        "object",
        "open",
        "route",
        "sent_s",
        "team",
        "total",
        "waiting_tokens",
    )

    def __init__(
        self,
        id: str,
        route: str,
        host: str,
        total: int,
        sent_s: float,
        waiting_tokens: int,
        object: str,
        open: bool = True,
        team: str = "",
    ) -> None:
        self.team = team
        self.id = id
        self.route = route
        self.host = host
        self.total = total
        self.sent_s = sent_s
        self.waiting_tokens = waiting_tokens
        self.object = object
        self.open = open


class JobHead(Record):
    """Holder and state of a job; each write is conditional on its version.

    Attributes:
        holder: incarnation of the instance that holds the job; empty if none.
        total: number of items.
        listed: number of results.
        cancelled: whether the caller cancelled it.
        turn: incremented by each write, to distinguish an own write whose answer was
            lost from a write of another holder.
    """

    __slots__ = ("cancelled", "holder", "listed", "total", "turn")

    def __init__(
        self,
        holder: str,
        total: int,
        listed: int = 0,
        cancelled: bool = False,
        turn: int = 0,
    ) -> None:
        self.holder = holder
        self.total = total
        self.listed = listed
        self.cancelled = cancelled
        self.turn = turn

    @property
    def finished(self) -> bool:
        """Whether no more results will be listed."""
        return self.cancelled or self.listed >= self.total


class ItemProgress(Record):
    """Progress of an unfinished item.

    Attributes:
        event: number of the last event in ``text``; 0 before the first.
        text: data of the events so far, joined by line feeds.
        failures: number of attempts that a target reported as failed.
        service: of the targets that wrote ``text``.
        software_version: of these targets; empty if an earlier release stored it.
        target: id of the incarnation that was listed for the last of them; empty if ids
            are not used again.
    """

    __slots__ = ("event", "failures", "service", "software_version", "target", "text")

    def __init__(
        self,
        event: int = 0,
        text: bytes = b"",
        failures: int = 0,
        service: str = "",
        software_version: str = "",
        target: str = "",
    ) -> None:
        self.event = event
        self.text = text
        self.failures = failures
        self.service = service
        self.software_version = software_version
        self.target = target

    def goes_on_at(self, origin: StreamOrigin) -> bool:
        """Whether a target of this service and version may continue the text."""
        if not self.event:
            return True
        return StreamOrigin(self.service, self.software_version) == origin


class ItemResult(Record):
    """Result of an item.

    Attributes:
        item: id of the item.
        state: ``COMPLETED`` or ``DEAD``.
        text: data of all events, joined by line feeds; empty if it is in an object.
        object: name of the object with a text too large for a row.
    """

    __slots__ = ("item", "object", "state", "text")

    def __init__(
        self, item: str, state: str, text: bytes = b"", object: str = ""
    ) -> None:
        self.item = item
        self.state = state
        self.text = text
        self.object = object


class ResultsPage(Record):
    """Results from one position on."""

    __slots__ = ("first", "results", "total")

    def __init__(self, total: int, first: int, results: list[ItemResult]) -> None:
        self.total = total
        self.first = first
        self.results = results
