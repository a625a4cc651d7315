"""What the gateway has to know of a wire dialect; the adapter says it.

The gateway passes requests on as they came. The few headers it reads or sets, and the
forms of configuration, targets and jobs, are named here and given by the adapter.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from multidict import CIMultiDict

from caperridge.gateway.jobs.model import JobRequest, ResultsPage
from caperridge.gateway.routes import RoutingTable
from caperridge.gateway.targets import Target, TargetLoad
from caperridge.records import Record


class HeaderNames(Record):
    """Headers that the gateway reads or sets.

    Attributes:
        request: id of a request, at callers and targets.
        deadline: what is left of the time the caller waits, in ms.
        incarnation: id of the target that alone may run a request.
        not_run: in an answer of a target: it has not run the request.
        signature: of the target that made an answer.
        resume: number of the last event that was received.
        wait: how long a read of results may be held, in ms.
    """

    __slots__ = (
        "deadline",
        "incarnation",
        "not_run",
        "request",
        "resume",
        "signature",
        "wait",
    )

    def __init__(
        self,
        request: str,
        deadline: str,
        incarnation: str,
        not_run: str,
        signature: str,
        resume: str,
        wait: str,
    ) -> None:
        self.request = request
        self.deadline = deadline
        self.incarnation = incarnation
        self.not_run = not_run
        self.signature = signature
        self.resume = resume
        self.wait = wait


class JobsPaths(Record):
    """Where callers read jobs and bodies; the last part of a path is the job's id.

    Attributes:
        jobs: prefix of the path of a job's results, and of its cancellation.
        bodies: prefix of the path of a job's bodies.
        position: parameter with the first position wanted.
        item: parameter with the id of the item whose body is wanted.
    """

    __slots__ = ("bodies", "item", "jobs", "position")

    def __init__(self, jobs: str, bodies: str, position: str, item: str) -> None:
        self.jobs = jobs
        self.bodies = bodies
        self.position = position
        self.item = item


class DecodeError(Exception):
    """Bytes from outside that cannot be what they should be."""


class Dialect(ABC):
    """Decodes and encodes what callers, operators and targets exchange."""

    headers: HeaderNames
    # Lower-case names of what a caller may send otherwise at each try of one request.
    per_attempt_headers: frozenset[str]
    paths: JobsPaths
    configuration_table: str
    configuration_key: str
    targets_table: str
    load_path: str

    @abstractmethod
    def configuration(self, value: bytes) -> RoutingTable:
        """Return the configuration in a row's value.

        Raises:
            DecodeError: it holds none.
        """

    @abstractmethod
    def target(self, name: str, value: bytes) -> Target:
        """Return the target that a row's value describes.

        Args:
            name: under which it is listed.
            value: of the row.

        Raises:
            DecodeError: it names no target to use; says everything that is wrong.
        """

    @abstractmethod
    def load(self, body: bytes) -> TargetLoad:
        """Return how many requests run or wait at a target, as it says.

        Raises:
            DecodeError: it does not say.
        """

    @abstractmethod
    def job(self, body: bytes) -> JobRequest:
        """Return the job that a caller sends.

        Raises:
            DecodeError: it is no job.
        """

    @abstractmethod
    def results(self, page: ResultsPage) -> bytes:
        """Return the answer to a read of results."""

    @abstractmethod
    def client_error_not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Whether an answer of a target promises that it did not run the request."""

    @abstractmethod
    def from_another_target(self, status: int) -> bool:
        """Whether the answer comes from another target than was meant."""


def end_to_end_headers(
    headers: CIMultiDict[str], own: frozenset[str]
) -> CIMultiDict[str]:
    """Return ``headers`` without those of one connection and without ``own``.

    Args:
        headers: as they came.
        own: lower-case names that the gateway sets itself.

    >>> head = CIMultiDict({"Connection": "x-a", "X-A": "1", "X-B": "2", "Te": "t"})
    >>> list(end_to_end_headers(head, frozenset()))
    ['X-B']
    """
    named = {
        word.strip().lower()
        for value in headers.getall("Connection", [])
        for word in value.split(",")
    }
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if lower in HOP_BY_HOP_HEADERS or lower in named or lower in own:
            continue
        kept.add(name, value)
    return kept


# RFC 9110, 7.6.1, and the framing that each connection has of its own.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
