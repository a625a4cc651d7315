"""JSON bodies of legal size that decode into many values don't exhaust the machine."""

import pytest

from crowds.conftest import Gateway, Town
from crowds.crowd import ROOMY_DESCRIPTORS, meet
from crowds.forms import COMPRESSED, JOB, MANY_VALUES
from crowds.test_crowds import (
    BODY_BYTES,
    CALL,
    CLOSE,
    DECLARE,
    MODELS,
    ORDINARY,
    OWN_BODY_BYTES,
    OWN_CALL,
    get,
)

pytestmark = pytest.mark.xdist_group("crowds")


async def test_jobs_of_many_values(roomy_gateway: Gateway) -> None:
    """Guards against a job that is decoded before anything bounds what it becomes."""
    await meet(
        MANY_VALUES,
        roomy_gateway.pid,
        roomy_gateway.addresses_by_listener["callers"],
        CALL.replace("/ask/1", "/work/1").encode(),
        BODY_BYTES,
        ORDINARY.encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )


async def test_own_requests_of_many_values(roomy_town: Town) -> None:
    """The same at the own interface."""
    one = roomy_town.running_by_name["one"]
    await meet(
        MANY_VALUES,
        one.process.pid,
        one.addresses_by_listener["callers"],
        OWN_CALL.encode(),
        OWN_BODY_BYTES,
        MODELS.encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )


async def test_declarations_of_many_values(roomy_town: Town) -> None:
    """The same at the listener of operators."""
    one = roomy_town.running_by_name["one"]
    await meet(
        MANY_VALUES,
        one.process.pid,
        one.addresses_by_listener["operators"],
        DECLARE.encode(),
        OWN_BODY_BYTES,
        (get("/readyz") + CLOSE + "\r\n").encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )


async def test_own_requests_that_are_compressed(roomy_town: Town) -> None:
    """Guards against bodies that are decompressed before anything bounds them."""
    one = roomy_town.running_by_name["one"]
    await meet(
        COMPRESSED,
        one.process.pid,
        one.addresses_by_listener["callers"],
        OWN_CALL.encode(),
        OWN_BODY_BYTES,
        MODELS.encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )


async def test_jobs_of_legal_size(roomy_gateway: Gateway) -> None:
    """Guards against jobs that are accepted and held without a bound."""
    await meet(
        JOB,
        roomy_gateway.pid,
        roomy_gateway.addresses_by_listener["callers"],
        CALL.replace("/ask/1", "/work/1").encode(),
        BODY_BYTES,
        ORDINARY.encode(),
        descriptors=ROOMY_DESCRIPTORS,
    )
