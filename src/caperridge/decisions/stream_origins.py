"""Which software version began a stream: the only one at which it goes on.

What two software versions of a target write does not fit together.
"""

from caperridge.records import Record


class StreamOrigin(Record):
    """What began a stream.

    Attributes:
        service: of the target.
        software_version: of the target.
    """

    __slots__ = ("service", "software_version")

    def __init__(self, service: str, software_version: str) -> None:
        self.service = service
        self.software_version = software_version
