"""Tests that fail for a fault that is known, as KNOWN-RED.txt lists them."""

from pathlib import Path

from caperridge.records import Record

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
MOST = 3
# Tests whose entries don't count: the users asked for one line for each of them.
UNCOUNTED = "tests/crowds/"
# How the cause of a test begins that fails at some runs only.
NOW_AND_THEN = "now and then"


class KnownRed(Record):
    """One test of the list.

    Attributes:
        test: its node id.
        cause: of its failure.
        issue: that is open for it.
    """

    __slots__ = ("cause", "issue", "test")

    def __init__(self, test: str, cause: str, issue: str) -> None:
        self.test = test
        self.cause = cause
        self.issue = issue

    @property
    def always(self) -> bool:
        """Whether it fails at every run, so that passing is an error."""
        return not self.cause.startswith(NOW_AND_THEN)


def parse(text: str) -> dict[str, KnownRed]:
    """Return the tests of a list by their node ids.

    Raises:
        ValueError: a line lacks its cause or its issue, or there are too many.

    >>> list(parse("tests/a.py::test_b: it waits too long; issue 4"))
    ['tests/a.py::test_b']
    """
    reds_by_test: dict[str, KnownRed] = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test, _, rest = line.partition(": ")
        cause, _, issue = rest.rpartition("; ")
        if not cause or not issue.startswith("issue "):
            raise ValueError(f"not 'TEST: CAUSE; issue N': {line}")
        reds_by_test[test] = KnownRed(test, cause, issue)
    counted = [test for test in reds_by_test if not test.startswith(UNCOUNTED)]
    if len(counted) > MOST:
        raise ValueError(f"{len(counted)} tests are listed, {MOST} at most")
    return reds_by_test


def read() -> dict[str, KnownRed]:
    """Return the tests listed for this checkout by their node ids."""
    return parse(LIST.read_text()) if LIST.exists() else {}
