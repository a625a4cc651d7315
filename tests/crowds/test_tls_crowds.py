"""Crowds at listeners with TLS end no process and don't exhaust its machine."""

import contextlib
import ssl
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from caperridge.tls import TlsFiles, client_context
from crowds.conftest import Town
from crowds.crowd import MACHINE, ROOMY_DESCRIPTORS, ROOMY_MACHINE, meet
from crowds.forms import FORMS, GREETING_FORMS, Form
from crowds.test_crowds import (
    MODELS,
    OWN_BODY_BYTES,
    OWN_CALL,
    by_name,
)
from processes.conftest import running_town
from product.conftest import Authority

pytestmark = pytest.mark.xdist_group("crowds")


class TlsTown:
    """Two instances whose callers and peers use TLS.

    Attributes:
        town: the processes.
        tls: context of their callers.
    """

    def __init__(self, town: Town, tls: ssl.SSLContext) -> None:
        self.town = town
        self.tls = tls

    @property
    def pid(self) -> int:
        return self.town.running_by_name["one"].process.pid

    def address(self, listener: str) -> str:
        return self.town.running_by_name["one"].addresses_by_listener[listener]


@contextlib.asynccontextmanager
async def _running(folder: Path, machine: str) -> AsyncIterator[TlsTown]:
    authority = Authority(folder)
    settings = machine
    for listener in ("callers", "peers"):
        files = authority.issue(listener, with_authority=listener == "peers")
        settings += _section(listener, files)
    tls = client_context(authority.file)
    async with running_town(folder, peers=True, settings=settings, tls=tls) as town:
        yield TlsTown(town, tls)


def _section(listener: str, files: TlsFiles) -> str:
    text = f'[tls.{listener}]\ncertificate = "{files.certificate}"\n'
    text += f'key = "{files.key}"\n'
    return text + (f'authority = "{files.authority}"\n' if files.authority else "")


@pytest.fixture
async def tls_town(tmp_path: Path) -> AsyncIterator[TlsTown]:
    """Instances with few descriptors."""
    async with _running(tmp_path, MACHINE) as town:
        yield town


@pytest.fixture
async def roomy_tls_town(tmp_path: Path) -> AsyncIterator[TlsTown]:
    """The same with descriptors for every connection of a crowd."""
    async with _running(tmp_path, ROOMY_MACHINE) as town:
        yield town


@pytest.mark.parametrize("form", by_name(FORMS))
async def test_callers_are_answered_beside_a_crowd(
    form: Form, tls_town: TlsTown
) -> None:
    await meet(
        form,
        tls_town.pid,
        tls_town.address("callers"),
        OWN_CALL.encode(),
        OWN_BODY_BYTES,
        MODELS.encode(),
        tls=tls_town.tls,
    )


@pytest.mark.parametrize("form", by_name(FORMS))
async def test_callers_are_answered_beside_a_crowd_that_is_all_connected(
    form: Form, roomy_tls_town: TlsTown
) -> None:
    """Guards against what TLS holds for a connection and no account knows."""
    await meet(
        form,
        roomy_tls_town.pid,
        roomy_tls_town.address("callers"),
        OWN_CALL.encode(),
        OWN_BODY_BYTES,
        MODELS.encode(),
        descriptors=ROOMY_DESCRIPTORS,
        tls=roomy_tls_town.tls,
    )


@pytest.mark.parametrize("form", by_name(GREETING_FORMS))
@pytest.mark.parametrize("listener", ["callers", "peers"])
async def test_callers_are_answered_beside_a_crowd_without_a_handshake(
    listener: str, form: Form, tls_town: TlsTown
) -> None:
    """Guards against connections that nothing counts before their handshake."""
    await meet(
        form,
        tls_town.pid,
        tls_town.address(listener),
        b"",
        0,
        MODELS.encode(),
        answers_at=tls_town.address("callers"),
        tls=tls_town.tls,
        greets=False,
    )
