"""A batch item on its way through the batch streams of one instance."""

from typing import Any

from caperridge.commands.started_items import HeldChunk, StartedRow
from caperridge.decisions.plain_items import FinalResult


class ItemWork:
    """One batch item to be run.

    Attributes:
        request: unique for the item, e.g. ``batch_1.17``.
        job: id of its job.
        service: name of the service.
        path: of the endpoint.
        body: what is sent.
        texts: the tokens so far, kept over preemption and loss of a target.
        software_version: of the target that wrote them.
        attempts: attempts at targets so far.
        preemptions: how often it gave way to online requests.
        last_target: where it ran last; its prompt may still be cached there.
        context: the dispatcher's own; returned untouched.
    """

    __slots__ = (
        "attempts",
        "body",
        "context",
        "job",
        "last_target",
        "path",
        "preemptions",
        "request",
        "service",
        "software_version",
        "texts",
    )

    def __init__(
        self,
        request: str,
        job: str,
        service: str,
        path: str,
        body: dict[str, Any],
        context: Any = None,
    ) -> None:
        self.request = request
        self.job = job
        self.service = service
        self.path = path
        self.body = body
        self.context = context
        self.texts: list[str] = []
        self.software_version = ""
        self.attempts = 0
        self.preemptions = 0
        self.last_target = ""

    def goes_on_at(self, software_version: str) -> bool:
        """Whether a target of this version may continue the tokens so far."""
        return not self.texts or self.software_version == software_version

    @property
    def irreplaceable(self) -> bool:
        """Whether its result is gone for good if it is not saved."""
        return False

    @property
    def tokens_left(self) -> int | None:
        """How many tokens may still come; None if the body sets no limit."""
        most = self.body.get("max_tokens")
        return None if not isinstance(most, int) else most - len(self.texts)


class PlainItemWork(ItemWork):
    """One batch item for a plain service.

    Attributes:
        url: as the item says; checked before it is sent.
        method: of HTTP, as the item says.
        caller: whose job it is.
        index: in the job.
        chunk: under whose claim it runs.
        row: that says durably that it is started; None before.
        sent: it may have reached a target.
        final: how it ended; None before.
        answer: body of the answer, if there is one.
    """

    __slots__ = (
        "answer",
        "caller",
        "chunk",
        "final",
        "index",
        "method",
        "row",
        "sent",
        "url",
    )

    def __init__(
        self,
        request: str,
        job: str,
        service: str,
        url: str,
        method: str,
        caller: str,
        body: dict[str, Any],
        index: int,
        chunk: HeldChunk,
        context: Any = None,
    ) -> None:
        super().__init__(request, job, service, url, body, context)
        self.url = url
        self.method = method
        self.caller = caller
        self.index = index
        self.chunk = chunk
        self.row: StartedRow | None = None
        self.sent = False
        self.final: FinalResult | None = None
        self.answer: Any = None

    @property
    def irreplaceable(self) -> bool:
        """Whether its result is gone for good if it is not saved."""
        return self.row is not None
