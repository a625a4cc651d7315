"""The messages between the tasks that do batch work in one instance."""

from caperridge.decisions.chunks import Chunk
from caperridge.decisions.job_board import ClaimQuota
from caperridge.decisions.jobs import CheckpointedItems, ChunkState, Job
from caperridge.records import Record


class JobsListed(Record):
    """Every open job, as just read."""

    __slots__ = ("jobs",)

    def __init__(self, jobs: list[Job]) -> None:
        self.jobs = jobs


class SessionsLapsed(Record):
    """A session was declared lapsed: its chunks may be taken over."""

    __slots__ = ()


class ClaimWanted(Record):
    """There is room for items of a service.

    Attributes:
        service: which one.
        session: the own session.
        want: how much, and of which jobs.
        in_hand: keys of the chunks that are worked on here.
    """

    __slots__ = ("in_hand", "service", "session", "want")

    def __init__(
        self, service: str, session: str, want: ClaimQuota, in_hand: set[str]
    ) -> None:
        self.service = service
        self.session = session
        self.want = want
        self.in_hand = in_hand


class ChunkClaimed(Record):
    """A chunk is ours.

    Attributes:
        job: its job.
        chunk: its range.
        state: its row, with us as its holder.
        session: that claims it.
        lines: its items.
        saved: what an earlier holder saved of the items.
    """

    __slots__ = ("chunk", "job", "lines", "saved", "session", "state")

    def __init__(
        self,
        job: Job,
        chunk: Chunk,
        state: ChunkState,
        session: str,
        lines: list[bytes],
        saved: CheckpointedItems,
    ) -> None:
        self.job = job
        self.chunk = chunk
        self.state = state
        self.session = session
        self.lines = lines
        self.saved = saved


class ClaimEnded(Record):
    """Nothing more was to be claimed.

    Attributes:
        service: what was asked for.
        reasons_by_job: why nothing of a job could be claimed.
        remaining_by_job: items not committed of the jobs that were looked at.
    """

    __slots__ = ("reasons_by_job", "remaining_by_job", "service")

    def __init__(
        self,
        service: str,
        reasons_by_job: dict[str, str],
        remaining_by_job: dict[str, int],
    ) -> None:
        self.service = service
        self.reasons_by_job = reasons_by_job
        self.remaining_by_job = remaining_by_job


class JobEnded(Record):
    """A job was found completed or cancelled."""

    __slots__ = ("job",)

    def __init__(self, job: str) -> None:
        self.job = job


class CommitWanted(Record):
    """All items of a chunk have ended; ``data`` is its result object."""

    __slots__ = ("chunk", "completed", "data", "failed", "session", "state")

    def __init__(
        self,
        chunk: Chunk,
        state: ChunkState,
        session: str,
        data: bytes,
        completed: int,
        failed: int,
    ) -> None:
        self.chunk = chunk
        self.state = state
        self.session = session
        self.data = data
        self.completed = completed
        self.failed = failed


class ChunkSettled(Record):
    """A chunk was committed, or refused for ``reason``."""

    __slots__ = ("chunk", "reason", "state")

    def __init__(self, chunk: Chunk, state: ChunkState | None, reason: str) -> None:
        self.chunk = chunk
        self.state = state
        self.reason = reason


class ReturnWanted(Record):
    """A chunk that cannot be worked on here is to be given back, once it is saved."""

    __slots__ = ("chunk", "session", "state")

    def __init__(self, chunk: Chunk, state: ChunkState, session: str) -> None:
        self.chunk = chunk
        self.state = state
        self.session = session


class CheckpointWanted(Record):
    """Results of a session that are not committed, packed, and where they go."""

    __slots__ = ("data", "session", "slot")

    def __init__(self, session: str, slot: int, data: bytes) -> None:
        self.session = session
        self.slot = slot
        self.data = data
