"""Message types of the protocol between instances.

Each message is a record, sent as a msgpack map with its kind under ``is``. So that two
releases can run side by side, fields added by a release have a default, and unknown
kinds are skipped. Fields that equal their default are not sent, nor is ``instance``
where it names the sender.
"""

from typing import Any

from caperridge.peers.held_messages import EndNews, SoundNews
from caperridge.records import Record

PROTOCOL = 2  # since 2 some kinds have a compact form


class Hello(Record):
    """First message in each direction; see :mod:`caperridge.peers.handshake`.

    Attributes:
        instance: id of the sender.
        availability_zone: availability zone of the sender.
        incarnation: increases with each start of an instance of that id.
        nonce: new for each stream; the other end's proof must cover it.
        proof: proof that the sender knows the secret; empty in the first of the three
            hellos of a handshake.
        protocol: protocol version of the messages.
        release: version of the program.
        port: port of the sender's peer listener.
        known_incarnation: highest incarnation of the receiver that the sender knows.
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
    """Heartbeat of the sender, with gossip about other instances.

    Attributes:
        instance: id of the sender.
        incarnation: increases with each start of an instance of that id; 0 means that
            of the hello.
        sequence: increases with each heartbeat.
        configuration_version: version in force at the sender.
        leaving: whether the sender is shutting down as planned.
        rumours: ``[instance, incarnation, state, sequence]`` of other instances.
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
    """Number of online requests that an instance has in flight at a target.

    ``sequence`` increases with each update of that instance; older ones are ignored.
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
    """Several :class:`OnlineNews` of one instance in one message.

    Attributes:
        counts: ``[target, in_flight, sequence]`` of each; the sequence is the
            difference from the previous one.
        instance: instance whose requests are counted; empty for the sender.
    """

    __slots__ = ("counts", "instance")

    def __init__(self, counts: list[list[Any]], instance: str = "") -> None:
        self.counts = counts
        self.instance = instance


class LatencyNews(Record):
    """Latency of the sender's online requests at a target, for the batch dispatcher."""

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
    """Load of the targets that the sender owns.

    Attributes:
        instance: id of the sender.
        loads: ``[target, incarnation, waiting, online]`` of each target: ``waiting`` is
            the number of sequences queued inside it, ``online`` that of the online
            requests of all instances there.
    """

    __slots__ = ("instance", "loads")

    def __init__(
        self, instance: str = "", loads: list[list[Any]] | None = None
    ) -> None:
        self.instance = instance
        self.loads = loads or []


class JobNews(Record):
    """A job was accepted, cancelled or finished; ``state`` is that of its row."""

    __slots__ = ("job", "state")

    def __init__(self, job: str, state: str) -> None:
        self.job = job
        self.state = state


class JobsRead(Record):
    """Job changes that the reader of the zone found in their row; maybe none.

    Attributes:
        number: number of the newest change.
        base: number of the last change before ``changes``; if it is higher than the
            last one that the receiver knows, changes are missing.
        changes: ``[subject, state]`` of each, at most as many as the row holds.
        jobs: open jobs that were read, as maps; may be incomplete.
        digest: digest of the ids of all open jobs at ``number``; 0 for none.
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
    """The sender has checked all sessions and watches them for its zone."""

    __slots__ = ()


class TargetNews(Record):
    """A target reported that it is leaving, or failed at the sender."""

    __slots__ = ("incarnation", "leaving", "target")

    def __init__(self, target: str, incarnation: int, leaving: bool) -> None:
        self.target = target
        self.incarnation = incarnation
        self.leaving = leaving


class LoadedNews(Record):
    """What a target has loaded, as reported by its orderer.

    The highest pair of ``fence`` and ``sequence`` wins; older messages are ignored.

    Attributes:
        target: id of the target.
        fence: fencing token of the orderer.
        sequence: increases with each update of that orderer.
        loaded: ``model``, ``version``, ``adapters`` and ``role``.
        held: whether it is about to load and must not get new requests.
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
    """A version of the configuration, as a delta or a snapshot.

    Attributes:
        version: resulting version.
        base_version: version that the delta applies to; 0 for a snapshot.
        data: msgpack of the delta or snapshot; empty to announce only that the version
            exists.
    """

    __slots__ = ("base_version", "data", "version")

    def __init__(self, version: int, base_version: int = 0, data: bytes = b"") -> None:
        self.version = version
        self.base_version = base_version
        self.data = data


class ConfigurationAsk(Record):
    """Requests the configuration versions after ``version``."""

    __slots__ = ("version",)

    def __init__(self, version: int) -> None:
        self.version = version


class RelayCall(Record):
    """Asks a peer to call the platform for an instance that cannot reach it.

    Attributes:
        number: correlates the answer with the call.
        method: method of :class:`~caperridge.store.interface.Platform`.
        arguments: arguments in their wire form.
        deadline_s: maximum time to wait, in seconds.
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
    """Answer to a :class:`RelayCall`; ``outcome`` is ``ok`` or an error class."""

    __slots__ = ("number", "outcome", "value")

    def __init__(self, number: int, outcome: str, value: Any = None) -> None:
        self.number = number
        self.outcome = outcome
        self.value = value


class ListNews(Record):
    """Changes of the platform's member list, or the whole list.

    Attributes:
        members: new or changed members, as maps.
        removed: ids of removed members.
        whole: whether ``members`` is the whole list.
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
    """Requests the whole member list from a peer while the platform is unreachable."""

    __slots__ = ()


class TraceAsk(Record):
    """Requests the trace of a request, for ``explain`` at another instance."""

    __slots__ = ("number", "request")

    def __init__(self, number: int, request: str) -> None:
        self.number = number
        self.request = request


class TraceAnswer(Record):
    """Answer to a :class:`TraceAsk`; ``trace`` is None if there is none."""

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
