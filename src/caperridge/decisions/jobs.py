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
        lane_items: items of one lane; see :mod:`caperridge.decisions.chunks`.
        state: ``open``, ``cancelled`` or ``completed``.
        due: when it should be done, seconds since the epoch.
        created: when it was accepted, seconds since the epoch.
        ended: when it was cancelled or completed; 0 before.
        body_digest: of what was asked, to tell a resend from another request.
        metadata: what the caller attached.
        completed: items with an answer; 0 until the job is completed.
        failed: items that failed for good; 0 until the job is completed.
    """

    __slots__ = (
        "body_digest",
        "caller",
        "completed",
        "created",
        "due",
        "ended",
        "endpoint",
        "failed",
        "file",
        "id",
        "items",
        "lane_items",
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
        lane_items: int,
        state: str = OPEN,
        due: float = 0.0,
        created: float = 0.0,
        ended: float = 0.0,
        body_digest: str = "",
        metadata: dict[str, Any] | None = None,
        completed: int = 0,
        failed: int = 0,
    ) -> None:
        self.id = id
        self.caller = caller
        self.service = service
        self.endpoint = endpoint
        self.file = file
        self.items = items
        self.lane_items = lane_items
        self.state = state
        self.due = due
        self.created = created
        self.ended = ended
        self.body_digest = body_digest
        self.metadata = metadata or {}
        self.completed = completed
        self.failed = failed


class ChunkState(Record):
    """The row of a chunk, named by its first item.

    Attributes:
        end: the item after its last one.
        state: ``claimed``, ``free`` after a split, or ``done``.
        session: who claims it.
        attempts: claims so far, this one included; durable before any work starts.
        deaths: holders whose session lapsed while they held it.
        previous: the session that held it before; its checkpoint may have results.
        result: object with the results, once done.
        completed: items with an answer, once done.
        failed: items that failed for good, once done.
    """

    __slots__ = (
        "attempts",
        "completed",
        "deaths",
        "end",
        "failed",
        "previous",
        "result",
        "session",
        "state",
    )

    def __init__(
        self,
        end: int,
        state: str,
        session: str = "",
        attempts: int = 1,
        deaths: int = 0,
        previous: str = "",
        result: str = "",
        completed: int = 0,
        failed: int = 0,
    ) -> None:
        self.end = end
        self.state = state
        self.session = session
        self.attempts = attempts
        self.deaths = deaths
        self.previous = previous
        self.result = result
        self.completed = completed
        self.failed = failed


class ItemFaults(Record):
    """How many faults that may be its own an item has had, while it has no result."""

    __slots__ = ("faults", "index")

    def __init__(self, index: int, faults: int) -> None:
        self.index = index
        self.faults = faults


class CheckpointedItems(Record):
    """What an earlier holder of a chunk saved of its items.

    Attributes:
        results_by_index: of the items that have ended, as maps of ``ItemResult``.
        faults_by_index: of items that have had faults.
    """

    __slots__ = ("faults_by_index", "results_by_index")

    def __init__(
        self,
        results_by_index: dict[int, dict[str, Any]] | None = None,
        faults_by_index: dict[int, int] | None = None,
    ) -> None:
        self.results_by_index = results_by_index or {}
        self.faults_by_index = faults_by_index or {}

    def add(self, saved: dict[str, Any]) -> None:
        """Take one entry of a checkpoint, of either kind."""
        index = saved["index"]
        if "faults" not in saved:
            self.results_by_index[index] = saved
            return
        # Slots are read in any order, and faults only ever become more.
        known = self.faults_by_index.get(index, 0)
        self.faults_by_index[index] = max(known, saved["faults"])


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
