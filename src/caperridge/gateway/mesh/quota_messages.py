"""Messages about the quotas of teams, between instances and the owners of windows."""

from typing import Any

from caperridge.records import Record


class QuotaReport(Record):
    """What the sender served of some teams, and what it asks for.

    Attributes:
        number: repeated in the answer.
        teams: of each its name, the requests served without asking, those that wait for
            a grant, and its usual rate at the sender.
    """

    __slots__ = ("number", "teams")

    def __init__(self, number: int, teams: list[list[Any]]) -> None:
        self.number = number
        self.teams = teams


class ForwardedQuotaReport(Record):
    """A report of another instance, about windows that the receiver owns.

    Attributes:
        reporter: instance that reported, and gets the answer.
        number: repeated in the answer.
        teams: as in :class:`QuotaReport`.
        incarnation: of the reporter, which alone takes the answer; empty if unknown.
    """

    __slots__ = ("incarnation", "number", "reporter", "teams")

    def __init__(
        self,
        reporter: str,
        number: int,
        teams: list[list[Any]],
        incarnation: str = "",
    ) -> None:
        self.incarnation = incarnation
        self.number = number
        self.reporter = reporter
        self.teams = teams


class QuotaHandover(Record):
    """The receiver owns these windows from now on.

    Attributes:
        teams: of each its name, the age and the count of the requests in it, and
            whether these are all.
    """

    __slots__ = ("teams",)

    def __init__(self, teams: list[list[Any]]) -> None:
        self.teams = teams


class QuotaVerdict(Record):
    """Answers a report.

    Attributes:
        number: of the report.
        teams: of each its name, how many requests are granted, whether to ask before
            each request, what its window still allows, after how many seconds the first
            of the refused may return, and the seconds between them.
        forwarded_by: instance that was sent the report first; empty if the sender was.
    """

    __slots__ = ("forwarded_by", "number", "teams")

    def __init__(
        self, number: int, teams: list[list[Any]], forwarded_by: str = ""
    ) -> None:
        self.number = number
        self.teams = teams
        self.forwarded_by = forwarded_by
