"""Engines and plain services that send bytes without end.

Guards against attempts that last until their deadline, and against the memory that the
bytes take.
"""

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from multidict import CIMultiDict

from caperridge.targets.engine import Attempt, AttemptFailed, EngineClient
from caperridge.targets.outcomes import Lost, NotSent, WrongAnswer
from caperridge.targets.plain import PlainCall, PlainClient
from gateway.endless import FORMS, EndlessTarget

# Long enough that only a bound in bytes ends an attempt.
TIMEOUT_S = 300.0


@pytest_asyncio.fixture(params=FORMS.values(), ids=FORMS)
async def address(request: pytest.FixtureRequest) -> AsyncIterator[str]:
    """The address of a target that sends without end."""
    target = EndlessTarget(request.param)
    yield await target.start()
    await target.stop()


async def test_an_attempt_at_an_engine_is_lost(address: str) -> None:
    client = EngineClient(TIMEOUT_S, TIMEOUT_S)
    attempt = Attempt("r", "a", address, "/v1/completions", {})
    with pytest.raises(AttemptFailed) as failed:
        async for _ in client.stream(attempt):
            pass
    assert isinstance(failed.value.error, Lost | WrongAnswer)
    assert await client.get(address, "/control/load") is None
    await client.close()


async def test_a_call_of_a_plain_service_gets_no_answer(address: str) -> None:
    client = PlainClient(TIMEOUT_S)
    headers = CIMultiDict({"X-Request-Id": "r"})
    answer = await client.call(address, PlainCall("GET", "/x", headers))
    assert answer.is_err()
    assert not isinstance(answer.err_value, NotSent)
    await client.close()
