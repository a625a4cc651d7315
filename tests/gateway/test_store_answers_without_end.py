"""A store that sends bytes without end.

Guards against calls whose answers take memory without a bound, until they time out.
"""

from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from result import Result

from caperridge.platform import store as platform_store
from caperridge.platform.store import MAX_ROWS_BYTES, HttpRowStore
from caperridge.platform.store_limits import PlatformStoreLimits
from gateway.conftest import World
from gateway.endless import FORMS, EndlessTarget

# Long enough that only a bound in bytes ends a call.
TIMEOUT_S = 300.0
OBJECT_BYTES = 2**20


@pytest_asyncio.fixture(params=FORMS.values(), ids=FORMS)
async def store(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[HttpRowStore]:
    for name in ("CALL_TIMEOUT_S", "LONG_POLL_SLACK_S"):
        monkeypatch.setattr(platform_store, name, TIMEOUT_S)
    monkeypatch.setattr(HttpRowStore._call, "__defaults__", _long_defaults())
    target = EndlessTarget(request.param)
    limits = PlatformStoreLimits(object_bytes=OBJECT_BYTES)
    client = HttpRowStore(await target.start(), limits)
    yield client
    await client.close()
    await target.stop()


def _long_defaults() -> tuple:
    """Return the defaults of a call, with a longer timeout."""
    short = HttpRowStore._call.__defaults__
    assert short is not None
    return tuple(TIMEOUT_S if isinstance(one, float) else one for one in short)


async def test_no_call_reads_without_end(store: HttpRowStore) -> None:
    answers: list[Result] = [
        await store.read("table"),
        await store.changes("table", 0, 0.0),
        await store.get_object("object"),
    ]
    assert all(answer.is_err() for answer in answers)


@pytest.mark.parametrize("size", [0, 1, 70_000, 300_000, OBJECT_BYTES])
async def test_an_object_within_the_limit_is_read(world: World, size: int) -> None:
    store = HttpRowStore(
        world.store_address, PlatformStoreLimits(object_bytes=OBJECT_BYTES)
    )
    data = bytes(size)
    (await store.put_object("object", data)).unwrap()
    for _ in range(3):  # on the same connection
        assert (await store.get_object("object")).unwrap() == data
    await store.close()


def test_the_rows_of_one_answer_fit() -> None:
    """The store returns at most 1 MB of rows."""
    assert MAX_ROWS_BYTES > 1_000_000 * 4 / 3 + 500 * 4 * 200
