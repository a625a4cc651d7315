"""The messages between instances.

Each is a record, sent as a msgpack map with its kind under ``is``. A field that a
release adds has a default, and a kind that a release does not know is skipped, so
that two releases run side by side. A field with its default is not sent, nor is
``instance`` where it names the sender.
"""

from typing import Any

from caperridge.peers.held_messages import EndNews, SoundNews
from caperridge.records import Record

PROTOCOL = 2  # since 2 some kinds have a short form


class Hello(Record):
    """Opens a stream in each direction; see :mod:`caperridge.peers.handshake`.

    Attributes:
        instance: who says hello.
        availability_zone: where it runs.
        incarnation: raised with each start of an instance of that id.
        nonce: fresh for each stream; the other's proof must cover it.
        proof: that the sender knows the secret; empty in the first of three.
        protocol: of the messages.
        release: of the program.
        port: of the sender's own listener for peers.
        known_incarnation: the highest of the addressee that the sender knows.
    """

    __slots__ = (
        "availability_zone",
        "incarnation",
        "instance",
        "known_incarnation",
        "nonce",
        "port",
        "proof",
        "protocol",
        "release",
    )

    def __init__(
        self,
        instance: str,
        availability_zone: str,
        incarnation: int,
        nonce: bytes = b"",
        proof: bytes = b"",
        protocol: int = PROTOCOL,
        release: str = "",
        port: int = 0,
        known_incarnation: int = 0,
    ) -> None:
        self.instance = instance
        self.availability_zone = availability_zone
        self.incarnation = incarnation
        self.nonce = nonce
        self.proof = proof
        self.protocol = protocol
        self.release = release
        self.port = port
        self.known_incarnation = known_incarnation


class Heartbeat(Record):
    """The sender lives; what it says of others is ``rumours``.

    Attributes:
        instance: the sender.
        incarnation: raised with each start of an instance of that id; 0: as in the
            hello.
        sequence: raised with each heartbeat.
        configuration_version: in force at the sender.
        leaving: the sender is stopping as planned.
        rumours: ``[instance, incarnation, state, sequence]`` of others.
    """

    __slots__ = (
        "configuration_version",
        "incarnation",
        "instance",
        "leaving",
        "rumours",
        "sequence",
    )

    def __init__(
        self,
        instance: str = "",
        incarnation: int = 0,
        sequence: int = 0,
        configuration_version: int = 0,
        leaving: bool = False,
        rumours: list[list[Any]] | None = None,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.sequence = sequence
        self.configuration_version = configuration_version
        self.leaving = leaving
        self.rumours = rumours or []


class OnlineNews(Record):
    """How many online requests the sender has in flight at a target now.

    ``sequence`` rises with each news of the sender; an older one is ignored.
    """

    __slots__ = ("in_flight", "instance", "sequence", "target")

    def __init__(
        self, instance: str, target: str, in_flight: int = 0, sequence: int = 0
    ) -> None:
        self.instance = instance
        self.target = target
        self.in_flight = in_flight
        self.sequence = sequence


class OnlineCounts(Record):
    """Several :class:`OnlineNews` of one sender in one message.

    Attributes:
        counts: ``[target, in_flight, sequence]`` of each; the sequence is given as the
            difference from that of the one before.
        instance: whose requests they are; empty for the sender's.
    """

    __slots__ = ("counts", "instance")

    def __init__(self, counts: list[list[Any]], instance: str = "") -> None:
        self.counts = counts
        self.instance = instance


class LatencyNews(Record):
    """What the sender's online callers saw at a target, for the batch dispatcher."""

    __slots__ = ("between_tokens_s", "first_token_s", "instance", "target")

    def __init__(
        self,
        instance: str = "",
        target: str = "",
        first_token_s: float = 0.0,
        between_tokens_s: float = 0.0,
    ) -> None:
        self.instance = instance
        self.target = target
        self.first_token_s = first_token_s
        self.between_tokens_s = between_tokens_s


class LoadNews(Record):
    """What the sender, who looks after these targets, knows of their load.

    Attributes:
        instance: the sender.
        loads: ``[target, incarnation, waiting, online]`` each: the sequences that
            wait inside it, and the online requests of all instances there.
    """

    __slots__ = ("instance", "loads")

    def __init__(
        self, instance: str = "", loads: list[list[Any]] | None = None
    ) -> None:
        self.instance = instance
        self.loads = loads or []


class JobNews(Record):
    """A job was accepted, cancelled or ended; ``state`` as in its row."""

    __slots__ = ("job", "state")

    def __init__(self, job: str, state: str) -> None:
        self.job = job
        self.state = state


class JobsRead(Record):
    """What the zone's reader found in the row of job changes, or that nothing changed.

    Attributes:
        number: of the newest change.
        base: number of the last change before ``changes``; higher than what the
            receiver knows is a gap.
        changes: ``[subject, state]`` of each, at most as many as the row keeps.
        jobs: the jobs that were found open, as maps; some may be left out.
        digest: of the ids of all open jobs at ``number``; 0 for none.
    """

    __slots__ = ("base", "changes", "digest", "jobs", "number")

    def __init__(
        self,
        number: int,
        base: int = 0,
        changes: list[list[str]] | None = None,
        jobs: list[dict[str, Any]] | None = None,
        digest: int = 0,
    ) -> None:
        self.number = number
        self.base = base
        self.changes = changes or []
        self.jobs = jobs or []
        self.digest = digest


class SessionsWatched(Record):
    """The sender looked at all sessions and watches them for its zone."""

    __slots__ = ()


class TargetNews(Record):
    """A target said that it is leaving, or failed at the sender."""

    __slots__ = ("incarnation", "leaving", "target")

    def __init__(self, target: str, incarnation: int, leaving: bool) -> None:
        self.target = target
        self.incarnation = incarnation
        self.leaving = leaving


class LoadedNews(Record):
    """What a target holds, from its orderer; older than ``fence, sequence``: ignored.

    Attributes:
        target: which one.
        fence: number of the orderer.
        sequence: raised with each news of that orderer.
        loaded: ``model``, ``version``, ``adapters`` and ``role``.
        held: it is about to load, and should get nothing new.
    """

    __slots__ = ("fence", "held", "loaded", "sequence", "target")

    def __init__(
        self,
        target: str,
        fence: int,
        sequence: int,
        loaded: dict[str, Any] | None = None,
        held: bool = False,
    ) -> None:
        self.target = target
        self.fence = fence
        self.sequence = sequence
        self.loaded = loaded or {}
        self.held = held


class ConfigurationNews(Record):
    """A version of the configuration, as a delta or whole.

    Attributes:
        version: which it leads to.
        base_version: what the delta applies to; 0 for a whole one.
        data: msgpack of the delta or of the whole; empty to say only that it exists.
    """

    __slots__ = ("base_version", "data", "version")

    def __init__(self, version: int, base_version: int = 0, data: bytes = b"") -> None:
        self.version = version
        self.base_version = base_version
        self.data = data


class ConfigurationAsk(Record):
    """Asks for the configuration above ``version``."""

    __slots__ = ("version",)

    def __init__(self, version: int) -> None:
        self.version = version


class RelayCall(Record):
    """Asks a peer to call the platform for an instance that is cut off from it.

    Attributes:
        number: matches the answer.
        method: of :class:`~caperridge.store.interface.Platform`.
        arguments: as the platform's wire form has them.
        deadline_s: longest wait.
    """

    __slots__ = ("arguments", "deadline_s", "method", "number")

    def __init__(
        self, number: int, method: str, arguments: dict[str, Any], deadline_s: float
    ) -> None:
        self.number = number
        self.method = method
        self.arguments = arguments
        self.deadline_s = deadline_s


class RelayAnswer(Record):
    """Answers a :class:`RelayCall`; ``outcome`` is ``ok`` or the error's class."""

    __slots__ = ("number", "outcome", "value")

    def __init__(self, number: int, outcome: str, value: Any = None) -> None:
        self.number = number
        self.outcome = outcome
        self.value = value


class ListNews(Record):
    """What changed in the platform's list of members, or all of it.

    Attributes:
        members: new or changed, as maps.
        removed: ids that are gone.
        whole: nothing else is in the list.
        introduced: ``[instance, zone, address]`` of instances not listed yet.
    """

    __slots__ = ("introduced", "members", "removed", "whole")

    def __init__(
        self,
        members: list[dict[str, Any]],
        removed: list[str] | None = None,
        whole: bool = False,
        introduced: list[list[str]] | None = None,
    ) -> None:
        self.members = members
        self.removed = removed or []
        self.whole = whole
        self.introduced = introduced or []


class ListAsk(Record):
    """Asks a peer for all of the platform's list, as the platform is away."""

    __slots__ = ()


class TraceAsk(Record):
    """Asks for the trace of a request, for ``explain`` at another instance."""

    __slots__ = ("number", "request")

    def __init__(self, number: int, request: str) -> None:
        self.number = number
        self.request = request


class TraceAnswer(Record):
    """Answers a :class:`TraceAsk`; ``trace`` is None if there is none."""

    __slots__ = ("number", "trace")

    def __init__(self, number: int, trace: dict[str, Any] | None) -> None:
        self.number = number
        self.trace = trace


KINDS_BY_NAME: dict[str, type[Record]] = {
    kind.__name__: kind
    for kind in (
        Hello,
        Heartbeat,
        OnlineNews,
        OnlineCounts,
        LatencyNews,
        LoadNews,
        JobNews,
        JobsRead,
        SessionsWatched,
        TargetNews,
        LoadedNews,
        ConfigurationNews,
        ConfigurationAsk,
        RelayCall,
        RelayAnswer,
        ListNews,
        ListAsk,
        TraceAsk,
        TraceAnswer,
        EndNews,
        SoundNews,
    )
}
