"""Crowds of clients that don't behave end no process and don't exhaust its machine.

Each guards against a process that runs out of memory or descriptors, hangs, or leaves
ordinary callers without an answer while such a crowd is connected.
"""

import pytest

from conftest import CALLER, OPERATOR
from crowds.conftest import Gateway, Town
from crowds.crowd import ROOMY_DESCRIPTORS, meet
from crowds.forms import FORMS, FRAME_FORMS, UPLOAD, UPLOAD_OF_VALUES, Form
from gateway.conftest import HOST

# One at a time, also where tests run beside each other.
pytestmark = pytest.mark.xdist_group("crowds")

# Largest bodies of the listeners; callers of the platform have that of their limits.
BODY_BYTES = 4 * 2**20
OWN_BODY_BYTES = 8 * 2**20
FRAME_BYTES = 8 * 2**20
# Below the longest line of a file.
UPLOAD_BYTES = 950_000

CALL = (
    f"POST /ask/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {{id}}\r\n"
    "X-Deadline-Ms: 30000\r\n"
)
OWN_CALL = (
    "POST /v1/completions HTTP/1.1\r\nHost: here\r\nContent-Type: application/json\r\n"
    f"Authorization: Bearer {CALLER}\r\n"
)
DECLARE = (
    "POST /intents HTTP/1.1\r\nHost: here\r\nContent-Type: application/json\r\n"
    f"Authorization: Bearer {OPERATOR}\r\n"
)
CLOSE = "Connection: close\r\n"
ORDINARY = f"{CALL}{CLOSE}Content-Length: 8\r\n\r\nquestion"
MODELS = (
    f"GET /v1/models HTTP/1.1\r\nHost: here\r\nAuthorization: Bearer {CALLER}\r\n"
    f"{CLOSE}\r\n"
)


def get(path: str) -> str:
    """Return the first line and headers of a request without a body."""
    return f"GET {path} HTTP/1.1\r\nHost: here\r\n"


def by_name(forms: list[Form]) -> list[pytest.param]:
    return [pytest.param(form, id=form.name) for form in forms]


@pytest.mark.parametrize("form", by_name(FORMS))
async def test_callers_are_answered_beside_a_crowd(
    form: Form, gateway: Gateway
) -> None:
    address = gateway.addresses_by_listener["callers"]
    await meet(form, gateway.pid, address, CALL.encode(), BODY_BYTES, ORDINARY.encode())


@pytest.mark.parametrize("form", by_name(FORMS))
async def test_callers_are_answered_beside_a_crowd_that_is_all_connected(
    form: Form, roomy_gateway: Gateway
) -> None:
    """Guards against leaving all bounds to the number of connections."""
    address = roomy_gateway.addresses_by_listener["callers"]
    await meet(
        form,
        roomy_gateway.pid,
        address,
        CALL.encode(),
        BODY_BYTES,
        ORDINARY.encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )


@pytest.mark.parametrize("form", by_name(FORMS))
async def test_the_readiness_check_is_answered_beside_a_crowd(
    form: Form, gateway: Gateway
) -> None:
    address = gateway.addresses_by_listener["ready"]
    ordinary = get("/readyz") + CLOSE + "\r\n"
    await meet(
        form,
        gateway.pid,
        address,
        get("/state").encode(),
        BODY_BYTES,
        ordinary.encode(),
    )


@pytest.mark.parametrize("form", by_name(FORMS))
async def test_metrics_are_served_beside_a_crowd(form: Form, gateway: Gateway) -> None:
    address = gateway.addresses_by_listener["metrics"]
    ordinary = get("/metrics") + CLOSE + "\r\n"
    await meet(
        form,
        gateway.pid,
        address,
        get("/metrics").encode(),
        BODY_BYTES,
        ordinary.encode(),
    )


@pytest.mark.parametrize("form", by_name(FRAME_FORMS))
async def test_callers_are_answered_beside_a_crowd_at_the_peers(
    form: Form, gateway: Gateway
) -> None:
    peers = gateway.addresses_by_listener["peers"]
    callers = gateway.addresses_by_listener["callers"]
    await meet(
        form,
        gateway.pid,
        peers,
        get("/").encode(),
        FRAME_BYTES,
        ORDINARY.encode(),
        answers_at=callers,
    )


@pytest.mark.parametrize("form", by_name(FORMS))
async def test_own_callers_are_answered_beside_a_crowd(form: Form, town: Town) -> None:
    one = town.running_by_name["one"]
    await meet(
        form,
        one.process.pid,
        one.addresses_by_listener["callers"],
        OWN_CALL.encode(),
        OWN_BODY_BYTES,
        MODELS.encode(),
    )


@pytest.mark.parametrize("form", by_name([UPLOAD, UPLOAD_OF_VALUES]))
async def test_own_callers_are_answered_beside_a_crowd_of_uploads(
    form: Form, town: Town
) -> None:
    one = town.running_by_name["one"]
    head = OWN_CALL.replace("/v1/completions", "/v1/files").replace(
        "application/json", "multipart/form-data; boundary=edge"
    )
    await meet(
        form,
        one.process.pid,
        one.addresses_by_listener["callers"],
        head.encode(),
        UPLOAD_BYTES,
        MODELS.encode(),
    )


@pytest.mark.parametrize("form", by_name(FORMS))
async def test_operators_are_answered_beside_a_crowd(form: Form, town: Town) -> None:
    one = town.running_by_name["one"]
    await meet(
        form,
        one.process.pid,
        one.addresses_by_listener["operators"],
        DECLARE.encode(),
        OWN_BODY_BYTES,
        (get("/readyz") + CLOSE + "\r\n").encode(),
    )


@pytest.mark.parametrize("form", by_name(FRAME_FORMS))
async def test_own_callers_are_answered_beside_a_crowd_at_the_peers(
    form: Form, town: Town
) -> None:
    one = town.running_by_name["one"]
    await meet(
        form,
        one.process.pid,
        one.addresses_by_listener["peers"],
        get("/").encode(),
        FRAME_BYTES,
        MODELS.encode(),
        answers_at=one.addresses_by_listener["callers"],
    )
