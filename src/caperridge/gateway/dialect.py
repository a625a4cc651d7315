"""The interface of wire dialects, implemented by an adapter.

The gateway forwards requests unchanged. The adapter defines the few headers that the
gateway reads or sets, and the formats of configuration, targets and jobs.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from multidict import CIMultiDict, MultiMapping

from caperridge.gateway.jobs.model import JobRequest, ResultsPage
from caperridge.gateway.routes import RoutingTable
from caperridge.gateway.targets import Target, TargetLoad
from caperridge.records import Record


class HeaderNames(Record):
    """Names of the headers that the gateway reads or sets.

    Attributes:
        request: id of a request, from callers and to targets.
        deadline: remaining time that the caller waits, in ms.
        incarnation: id of the only target that may run the request.
        not_run: in an answer of a target: the request was not run.
        signature: of the target that sent an answer.
        team: name of the team of a request, to targets.
        resume: number of the last event that was received.
        stream: id of the caller's try that brought the first event of a stream.
        wait: how long a read of results may wait for new ones, in ms.
        prompt: the parts of the prompt in order, as ID:TOKENS separated by commas;
            empty if requests do not state them.
        tokens: how many tokens the prompt has and the answer may have, separated by a
            comma; empty if requests do not state them.
    """

    __slots__ = (
        "deadline",
        "incarnation",
        "not_run",
        "prompt",
        "request",
        "resume",
        "signature",
        "stream",
        "team",
        "tokens",
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
        stream: str,
        wait: str,
        team: str,
        prompt: str = "",
        tokens: str = "",
    ) -> None:
        self.request = request
        self.deadline = deadline
        self.incarnation = incarnation
        self.not_run = not_run
        self.prompt = prompt
        self.tokens = tokens
        self.signature = signature
        self.resume = resume
        self.stream = stream
        self.wait = wait
        self.team = team


class JobsPaths(Record):
    """Paths of jobs and bodies; the last part of a path is the id of the job.

    Attributes:
        jobs: path prefix of a job's results, and of its cancellation.
        bodies: path prefix of the bodies of a job.
        position: query parameter with the first requested position.
        item: query parameter with the id of the item whose body is requested.
    """

    __slots__ = ("bodies", "item", "jobs", "position")

    def __init__(self, jobs: str, bodies: str, position: str, item: str) -> None:
        self.jobs = jobs
        self.bodies = bodies
        self.position = position
        self.item = item


class DecodeError(Exception):
    """Received data is not in the expected format."""


class Dialect(ABC):
    """Decodes and encodes the messages of callers, operators and targets.

    Attributes:
        headers: names of headers.
        per_attempt_headers: lower-case names of headers whose value may differ between
            a caller's tries of one request.
        paths: of jobs and bodies.
        configuration_table: table of the store that holds the configuration.
        configuration_key: key of its row.
        targets_table: table of the store that lists the targets.
        load_path: path at which a target reports its load.
    """

    headers: HeaderNames
    per_attempt_headers: frozenset[str]
    paths: JobsPaths
    configuration_table: str
    configuration_key: str
    targets_table: str
    load_path: str

    def prompt_parts(self, headers: MultiMapping[str]) -> list[str]:
        """Return the ids of the parts of a request's prompt, in order.

        The last part belongs to the request itself, the others may be shared.

        Args:
            headers: of the request; names are matched case-insensitively.
        """
        if not self.headers.prompt:
            return []
        stated = ",".join(headers.getall(self.headers.prompt, []))
        ids = [part.partition(":")[0].strip().lower() for part in stated.split(",")]
        return [id for id in ids if id]

    def max_answer_tokens(self, headers: MultiMapping[str]) -> int:
        """Return the most tokens that a request's answer may have; 0 if unstated.

        Args:
            headers: of the request; names are matched case-insensitively.
        """
        stated = headers.get(self.headers.tokens, "") if self.headers.tokens else ""
        tokens = stated.partition(",")[2].strip()
        return int(tokens) if tokens.isdecimal() and tokens.isascii() else 0

    @abstractmethod
    def configuration(self, value: bytes) -> RoutingTable:
        """Return the configuration in a row's value.

        Raises:
            DecodeError: the value is no valid configuration.
        """

    @abstractmethod
    def target(self, name: str, value: bytes) -> Target:
        """Return the target that a row's value describes.

        Args:
            name: under which it is listed.
            value: of the row.

        Raises:
            DecodeError: the value is no valid target; lists all findings.
        """

    @abstractmethod
    def load(self, body: bytes) -> TargetLoad:
        """Return the load in a target's report.

        Raises:
            DecodeError: the report is invalid.
        """

    @abstractmethod
    def job(self, body: bytes) -> JobRequest:
        """Return the job in the body of a caller's request.

        Raises:
            DecodeError: the body is no valid job.
        """

    @abstractmethod
    def results(self, page: ResultsPage) -> bytes:
        """Return the body of the answer to a read of results.

        Results that exceed the size of an answer are left out, but never the first.
        """

    @abstractmethod
    def client_error_not_run(self, status: int, headers: Mapping[str, str]) -> bool:
        """Whether an answer of a target states that it did not run the request."""

    @abstractmethod
    def from_another_target(self, status: int) -> bool:
        """Whether the answer was sent by another target than the addressed one."""


def end_to_end_headers(
    headers: CIMultiDict[str], own: frozenset[str]
) -> CIMultiDict[str]:
    """Return ``headers`` without hop-by-hop headers and without ``own``.

    Args:
        headers: as received.
        own: lower-case names of headers that the gateway sets itself.

    >>> head = CIMultiDict({"Connection": "x-a", "X-A": "1", "X-B": "2", "Te": "t"})
    >>> list(end_to_end_headers(head, frozenset()))
    ['X-B']
    """
    connection_headers = {
        token.strip().lower()
        for value in headers.getall("Connection", [])
        for token in value.split(",")
    }
    end_to_end: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if lower in HOP_BY_HOP_HEADERS or lower in connection_headers or lower in own:
            continue
        end_to_end.add(name, value)
    return end_to_end


# RFC 9110, section 7.6.1, and the message framing, which is per connection.
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
