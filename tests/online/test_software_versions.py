"""An answer is continued only at the software version that began it."""

import pytest

from caperridge.instance.completions_http import VERSION_HEADER
from caperridge.standins.engine import Engine
from conftest import Listen
from online.conftest import TOKENS, FaultyTarget, Front


# Guards against a retry that continues an answer at a target of another version.
async def test_a_retry_inside_an_answer_stays_at_the_software_version(
    front: Front, good: tuple[Engine, str], listen: Listen
) -> None:
    front.add("a-faulty", await listen(FaultyTarget("cut stream").app()), "v1")
    front.add("b-newer", good[1], "v2")
    answer = await front.ask(stream=True)
    assert answer.offsets == [0, 1]
    assert (answer.error["code"], answer.error["run"]) == ("no_target", "unknown")
    assert not answer.marked
    assert not good[0].runs_by_request


# Guards against answers that are lost although a target of their version is left.
async def test_a_retry_goes_on_at_another_target_of_the_software_version(
    front: Front, good: tuple[Engine, str], listen: Listen
) -> None:
    newer = FaultyTarget("cut stream")
    front.add("a-faulty", await listen(FaultyTarget("cut stream").app()), "v1")
    front.add("b-newer", await listen(newer.app()), "v2")
    front.add("c-good", good[1], "v1")
    answer = await front.ask(stream=True)
    assert answer.marked
    assert answer.offsets == list(range(TOKENS))
    assert newer.runs == 0


# Guards against an answer whose caller comes back and gets the rest of another version.
async def test_a_caller_comes_back_to_the_software_version_it_names(
    front: Front, good: tuple[Engine, str], listen: Listen
) -> None:
    other = FaultyTarget("ended without the mark")
    front.add("a-other", await listen(other.app()), "v2")
    front.add("b-good", good[1], "v1")
    answer = await front.ask(stream=True, resume_from=3, resume_version="v1")
    assert answer.offsets == list(range(3, TOKENS))
    assert answer.headers[VERSION_HEADER] == "v1"
    assert other.runs == 0


@pytest.mark.parametrize(
    ("fields", "status", "code"),
    [
        ({}, 400, "bad_request"),
        ({"resume_version": 1}, 400, "bad_request"),
        ({"resume_version": "v0"}, 503, "no_target"),
    ],
)
async def test_an_answer_of_unknown_or_lost_software_version_is_refused_at_once(
    front: Front,
    good: tuple[Engine, str],
    fields: dict[str, object],
    status: int,
    code: str,
) -> None:
    front.add("good", good[1], "v1")
    answer = await front.ask(stream=True, resume_from=3, **fields)
    assert (answer.status, answer.error["code"]) == (status, code)
    assert answer.error["run"] == "not_run"
    assert not good[0].runs_by_request
