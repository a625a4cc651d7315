"""Bodies in a content coding reach targets as they were sent."""

import gzip

import pytest

from gateway.conftest import World

ENCODED = gzip.compress(b"question" * 10, mtime=0)


@pytest.mark.parametrize("body", [ENCODED, b"not compressed"])
async def test_an_encoded_body_passes_unchanged(world: World, body: bytes) -> None:
    """Guards against bodies that the HTTP library decodes, or rejects, on the way.

    The target got the decoded body under the headers of the encoded one.
    """
    runner = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    answer = await world.ask(instance, "/ask/1", "r1", body, Content_Encoding="gzip")
    assert answer.data == runner.text("r1")
    assert runner.runs[0].body == body
    assert runner.runs[0].headers["Content-Encoding"] == "gzip"
