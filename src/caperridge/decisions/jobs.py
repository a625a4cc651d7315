"""What a job and its chunks are, as their rows hold them."""

from typing import Any

from caperridge.records import Record

OPEN = "open"
CANCELLED = "cancelled"
COMPLETED = "completed"

CLAIMED = "claimed"
FREE = "free"
DONE = "done"


class Job(Record):
    """One batch job.

    Attributes:
        id: its name towards the caller.
        caller: whom it belongs to.
        service: which service its items go to.
        endpoint: path of the items, e.g. ``/v1/chat/completions``.
        file: id of the file with the items.
        items: how many.
        chunk_items: items of one chunk.
        state: ``open``, ``cancelled`` or ``completed``.
        due: when it should be done, seconds since the epoch.
        created: when it was accepted, seconds since the epoch.
        ended: when it was cancelled or completed; 0 before.
        body_digest: of what was asked, to tell a resend from another request.
        metadata: what the caller attached.
    """

    __slots__ = (
        "body_digest",
        "caller",
        "chunk_items",
        "created",
        "due",
        "ended",
        "endpoint",
        "file",
        "id",
        "items",
        "metadata",
        "service",
        "state",
    )

    def __init__(
        self,
        id: str,
        caller: str,
        service: str,
        endpoint: str,
        file: str,
        items: int,
        chunk_items: int,
        state: str = OPEN,
        due: float = 0.0,
        created: float = 0.0,
        ended: float = 0.0,
        body_digest: str = "",
        metadata: dict[str, Any] | None = None,
    ) -> None:
        self.id = id
        self.caller = caller
        self.service = service
        self.endpoint = endpoint
        self.file = file
        self.items = items
        self.chunk_items = chunk_items
        self.state = state
        self.due = due
        self.created = created
        self.ended = ended
        self.body_digest = body_digest
        self.metadata = metadata or {}


class ChunkState(Record):
    """The row of a chunk.

    Attributes:
        state: ``claimed``, ``free`` again, or ``done``.
        session: who claims it.
        attempts: claims so far, this one included; durable before any work starts.
        result: object with the results, once done.
        completed: items with an answer, once done.
        failed: items that failed for good, once done.
    """

    __slots__ = ("attempts", "completed", "failed", "result", "session", "state")

    def __init__(
        self,
        state: str,
        session: str = "",
        attempts: int = 1,
        result: str = "",
        completed: int = 0,
        failed: int = 0,
    ) -> None:
        self.state = state
        self.session = session
        self.attempts = attempts
        self.result = result
        self.completed = completed
        self.failed = failed


class ItemResult(Record):
    """What became of one item, as the result object holds it, a JSON line each."""

    __slots__ = ("body", "custom_id", "error", "index", "status")

    def __init__(
        self,
        index: int,
        custom_id: str,
        status: int = 200,
        body: dict[str, Any] | None = None,
        error: dict[str, Any] | None = None,
    ) -> None:
        self.index = index
        self.custom_id = custom_id
        self.status = status
        self.body = body
        self.error = error
