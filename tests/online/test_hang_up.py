"""A caller that hangs up between two events is no error of ours."""

import aiohttp
import pytest
from aiohttp import web

from conftest import CALLER, Fleet, until


async def test_a_reset_while_writing_ends_the_stream_without_an_error(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    written: list[bytes] = []
    write = web.StreamResponse.write

    async def reset(response: web.StreamResponse, data: bytes) -> None:
        if "X-Request-Id" in response.headers:
            written.append(data)
            if len(written) == 2:
                raise aiohttp.ClientConnectionResetError("planted")
        await write(response, data)

    monkeypatch.setattr(web.StreamResponse, "write", reset)
    body = {"model": "north", "prompt": "p", "max_tokens": 40, "stream": True}
    headers = {"Authorization": f"Bearer {CALLER}"}
    url = fleet.callers_url + "/v1/completions"
    async with fleet.http.post(url, json=body, headers=headers) as response:
        data = await response.read()
    await until(lambda: fleet.instance.online.in_flight == 0)
    assert b"[DONE]" not in data
    assert len(written) == 2
    assert not [r for r in caplog.records if r.name.startswith("aiohttp")]
