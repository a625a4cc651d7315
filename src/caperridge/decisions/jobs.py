"""Data model of batch jobs, chunks and item results, as their rows hold them."""

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
        id: the id that the caller uses.
        caller: name of the caller that owns it.
        service: name of the service that runs its items.
        endpoint: path of the items, e.g. ``/v1/chat/completions``.
        file: id of the file with the items.
        items: number of items.
        lane_items: items of one lane; see :mod:`caperridge.decisions.chunks`.
        state: ``open``, ``cancelled`` or ``completed``.
        due: when it should be completed, seconds since the epoch.
        created: when it was accepted, seconds since the epoch.
        ended: when it was cancelled or completed, seconds since the epoch; 0 before.
        body_digest: of the request body, to tell a resend from another request.
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
    """The row of a chunk, keyed by its first item.

    Attributes:
        end: index of the item after its last one.
        state: ``claimed``, ``free`` after a split, or ``done``.
        session: the session that claimed it.
        attempts: claims so far, including this one; durable before any work starts.
        deaths: number of holders whose session lapsed while they held it.
        previous: the session that held it before; its checkpoint may have results.
        result: name of the object with the results, once done.
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
    """The faults of an item without a result that the item itself may have caused."""

    __slots__ = ("faults", "index")

    def __init__(self, index: int, faults: int) -> None:
        self.index = index
        self.faults = faults


class CheckpointedItems(Record):
    """The items of a chunk that an earlier holder saved in checkpoints.

    Attributes:
        results_by_index: of the finished items, as maps of ``ItemResult``.
        faults_by_index: number of faults of unfinished items.
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
        """Add one entry of a checkpoint, a result or a fault count."""
        index = saved["index"]
        if "faults" not in saved:
            self.results_by_index[index] = saved
            return
        # Slots are read in any order, and the number of faults only increases.
        known = self.faults_by_index.get(index, 0)
        self.faults_by_index[index] = max(known, saved["faults"])


class ItemResult(Record):
    """The result of one item, stored as one JSON line of the result object."""

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
