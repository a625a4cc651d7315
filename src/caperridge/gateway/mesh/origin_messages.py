"""Messages about the software versions that began streams."""

from caperridge.records import Record


class StreamsBegan(Record):
    """The receiver keeps the origin of these streams.

    Attributes:
        service: of the target that began them.
        software_version: of that target.
        keep_s: for how long, in seconds.
        streams: hashes of their ids.
        target: id of its incarnation as listed; empty if ids are not used again.
    """

    __slots__ = ("keep_s", "service", "software_version", "streams", "target")

    def __init__(
        self,
        service: str,
        software_version: str,
        keep_s: float,
        streams: list[int],
        target: str = "",
    ) -> None:
        self.service = service
        self.software_version = software_version
        self.keep_s = keep_s
        self.streams = streams
        self.target = target


class StreamAsk(Record):
    """Asks for the origin of a stream.

    Attributes:
        number: repeated in the answer.
        stream: hash of its id.
        service: that began it, if the receiver doesn't know the stream.
        within_s: the stream began at most so long ago, in seconds.
    """

    __slots__ = ("number", "service", "stream", "within_s")

    def __init__(self, number: int, stream: int, service: str, within_s: float) -> None:
        self.number = number
        self.stream = stream
        self.service = service
        self.within_s = within_s


class StreamAnswer(Record):
    """Answers a :class:`StreamAsk`.

    Attributes:
        number: of the question.
        service: of the target that began the stream; empty if that is not known.
        software_version: of that target; empty if it may be one of several.
        inferred: the stream itself is not known; these are the versions that its
            service has had for as long as the stream may last.
        list_version: up to which the sender knows the list of targets.
        target: id of the incarnation that began it, as listed; empty if ids are not
            used again.
    """

    __slots__ = (
        "inferred",
        "list_version",
        "number",
        "service",
        "software_version",
        "target",
    )

    def __init__(
        self,
        number: int,
        service: str,
        software_version: str,
        inferred: bool,
        list_version: int = -1,
        target: str = "",
    ) -> None:
        self.number = number
        self.service = service
        self.software_version = software_version
        self.inferred = inferred
        self.list_version = list_version
        self.target = target
