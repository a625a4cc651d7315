"""One request inside the limits is served in calm, whatever way it is sent."""

import pytest

from crowds.conftest import Gateway
from crowds.crowd import ID, ask
from crowds.forms import JOB_ITEMS, job
from crowds.test_crowds import BODY_BYTES, CALL, CLOSE

pytestmark = pytest.mark.xdist_group("crowds")

HEAD = (CALL + CLOSE).encode().replace(b"30000", b"55000")
# The limit of the head that the configuration of the tests sets.
HEAD_BYTES = 16 * 2**10


def with_length(body: bytes) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def in_chunks(body: bytes, size: int) -> bytes:
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(chunks) + b"0\r\n\r\n"


def with_large_head(header_bytes: int) -> bytes:
    """Return a request whose head has nearly the largest size."""
    header = b"X-Filling: %s\r\n" % (b"x" * header_bytes)
    lines = b""
    while len(HEAD) + len(lines) + len(header) + 100 < HEAD_BYTES:
        lines += header
    return HEAD + lines + b"Content-Length: 0\r\n\r\n"


BODY = bytes(range(256)) * (BODY_BYTES // 256)

REQUESTS = [
    pytest.param(with_length(BODY), BODY, id="largest_body"),
    pytest.param(in_chunks(BODY, 2**16), BODY, id="largest_body_in_large_chunks"),
    pytest.param(in_chunks(BODY, 1), BODY, id="largest_body_in_tiny_chunks"),
    pytest.param(with_large_head(4000), b"", id="large_head"),
    pytest.param(b"\r\n" + with_length(b"question"), b"question", id="empty_line"),
]


@pytest.mark.parametrize(("request_bytes", "body"), REQUESTS)
async def test_a_request_inside_the_limits_is_served(
    request_bytes: bytes, body: bytes, gateway: Gateway
) -> None:
    """Guards against a limit that refuses what clients may send."""
    address = gateway.addresses_by_listener["callers"]
    assert ID in request_bytes
    assert await ask(address, request_bytes) == 200
    runs = [run for runner in gateway.world.runners for run in runner.runs]
    assert [run.body == body for run in runs] == [True]


def job_with_long_headers() -> bytes:
    """Return a job whose items state as many parts of prompts as fit its size."""
    parts = ",".join(f"{number:08x}:100" for number in range(1200))
    headers = f'{{"X-Model":"m","X-Prompt-Prefix":"{parts}"}}'
    item = '{"id":"i%d","path":"/work/1","headers":%s,"tokens":9,"body":"QUJD"}'
    items = ",".join(item % (number, headers) for number in range(JOB_ITEMS))
    body = f'{{"requests":[{items}]}}'.encode()
    head = HEAD.replace(b"/ask/1", b"/work/1")
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


JOBS = [
    pytest.param(
        b"".join(job(HEAD.replace(b"/ask/1", b"/work/1"), BODY_BYTES)), id="large"
    ),
    pytest.param(job_with_long_headers(), id="long_headers"),
]


@pytest.mark.parametrize("request_bytes", JOBS)
async def test_a_job_inside_the_limits_is_accepted(
    request_bytes: bytes, gateway: Gateway
) -> None:
    """Guards against an estimate of its values that refuses it."""
    address = gateway.addresses_by_listener["callers"]
    assert await ask(address, request_bytes) == 202
