"""The list of tests that are known to fail stays short, whole and visible."""

from pathlib import Path

import pytest

import known_red

ROOT = Path(__file__).parents[1]

LINE = "tests/a.py::test_{}: it waits too long; issue 4\n"


def test_the_list_of_this_checkout_can_be_read() -> None:
    counted = [
        test for test in known_red.read() if not test.startswith(known_red.UNCOUNTED)
    ]
    assert len(counted) <= known_red.MOST


def test_every_test_of_the_list_exists() -> None:
    """One that was renamed or removed would stay listed and never be run."""
    for test in known_red.read():
        path, _, name = test.partition("::")
        if not path.startswith("tests/"):
            continue  # a day of a deployment, with its command
        function = name.partition("[")[0]
        assert f"def {function}(" in (ROOT / path).read_text()


def test_no_more_than_three_tests_may_be_listed() -> None:
    known_red.parse("".join(LINE.format(number) for number in range(3)))
    with pytest.raises(ValueError, match="4 tests are listed"):
        known_red.parse("".join(LINE.format(number) for number in range(4)))


def test_crowds_are_listed_one_by_one_without_a_cap() -> None:
    crowd = "tests/crowds/test_crowds.py::test_{}: too much memory; issue 4\n"
    crowds = "".join(crowd.format(number) for number in range(9))
    three = "".join(LINE.format(number) for number in range(3))
    assert len(known_red.parse(crowds + three)) == 12


@pytest.mark.parametrize("line", ["tests/a.py::test_b", "tests/a.py::test_b: why"])
def test_a_line_without_cause_or_issue_is_refused(line: str) -> None:
    with pytest.raises(ValueError, match="not 'TEST"):
        known_red.parse(line)


def test_only_a_test_that_fails_now_and_then_may_pass() -> None:
    listed = known_red.parse(
        "tests/a.py::test_b: now and then it waits too long; issue 4\n" + LINE.format(1)
    )
    assert [red.always for red in listed.values()] == [False, True]
