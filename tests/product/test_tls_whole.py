"""Two whole instances with TLS on every listener, and the command line before them."""

import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from caperridge.cli.errors import NOT_REACHED
from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.settings import Settings
from caperridge.standins import engine as engine_standin
from caperridge.standins.engine import Engine
from caperridge.standins.platform import MemoryPlatform, make_app
from caperridge.store.interface import ListedMember
from caperridge.tls import TlsFiles, server_context
from cli.conftest import Run
from conftest import CALLER, DECLARATION, OPERATOR, Listen, until
from product.conftest import Authority

ITEMS = 6


@pytest.fixture
async def platform_url(
    memory: MemoryPlatform, authority: Authority, listen: Listen
) -> str:
    """The platform over TLS."""
    context = server_context(authority.issue("platform"))
    return f"https://{await listen(make_app(memory), context)}"


def with_tls(name: str, platform_url: str, authority: Authority) -> Instance:
    """Return an instance, not started, whose listeners all have TLS."""
    tls: dict[str, TlsFiles] = {
        "callers": authority.issue(f"{name}-callers"),
        "operators": authority.issue(f"{name}-operators"),
        "peers": authority.issue(f"{name}-peers", with_authority=True),
    }
    return Instance(
        Settings(
            name,
            "oviedo",
            platform_url,
            platform_authority=authority.file,
            peers_secret="s",
            first_operator_sha256=token_digest(OPERATOR),
            lease_s=5.0,
            balancer_s=0.01,
            drain_s=5.0,
            tls_by_listener=tls,
        )
    )


@pytest.fixture
async def pair(
    memory: MemoryPlatform, platform_url: str, authority: Authority, listen: Listen
) -> AsyncIterator[list[Instance]]:
    """Two instances that know each other, before one engine."""
    engine = await listen(engine_standin.make_app(Engine()))
    members = [ListedMember("runner-1", "target", engine, "oviedo", service="chat")]
    memory.set_members(members)
    instances: list[Instance] = []
    for name in ("entry-1", "entry-2"):
        instance = with_tls(name, platform_url, authority)
        await instance.start()
        instances.append(instance)
        address = str(instance.addresses_by_listener["peers"])
        members.append(ListedMember(name, "instance", address, "oviedo"))
        memory.set_members(members)
    await until(lambda: not any(one.not_ready_because() for one in instances))
    await until(lambda: all(connected(one) == 1 for one in instances))
    yield instances
    for instance in instances:
        await instance.stop()


def connected(instance: Instance) -> float:
    """Return to how many peers there is a stream."""
    return instance.metrics.registry.get_sample_value("caperridge_peers_connected")


def url(instance: Instance, listener: str) -> str:
    return f"https://{instance.addresses_by_listener[listener]}"


async def test_the_command_line_serves_operator_and_caller_over_tls(
    pair: list[Instance], authority: Authority, run_here: Run, tmp_path: Path
) -> None:
    one, two = pair
    trusting = {"CAPERRIDGE_AUTHORITY": authority.file, "CAPERRIDGE_TOKEN": OPERATOR}
    at_one = trusting | {"CAPERRIDGE_OPERATORS": url(one, "operators")}
    directory = tmp_path / "declarations"
    directory.mkdir()
    (directory / "all.toml").write_text(DECLARATION)
    planned = await run_here("plan", str(directory), "--json", **at_one)
    digest = json.loads(planned.out)["digest"]
    wait = ("--wait", "20")
    confirmed = await run_here("confirm", str(directory), digest, *wait, **at_one)
    assert confirmed.code == 0, confirmed.err
    # It came from the peer or the platform; both ways have TLS.
    await until(lambda: two.configuration.current.version == 1)

    lines = [
        {
            "custom_id": str(number),
            "url": "/v1/completions",
            "body": {"model": "chat", "prompt": f"log {number}", "max_tokens": 2},
        }
        for number in range(ITEMS)
    ]
    items = tmp_path / "items.jsonl"
    items.write_text("\n".join(json.dumps(line) for line in lines))
    as_caller = {
        "CAPERRIDGE_AUTHORITY": authority.file,
        "CAPERRIDGE_TOKEN": CALLER,
        "CAPERRIDGE_CALLERS": url(two, "callers"),
    }
    sent = await run_here("jobs", "submit", str(items), "--wait", **as_caller)
    assert sent.code == 0, sent.err

    dumped = await run_here("dump", **at_one)
    assert json.loads(dumped.out)["configuration_version"] == 1


async def test_an_authority_that_is_not_trusted_is_not_reached(
    pair: list[Instance], run_here: Run
) -> None:
    at_one = {
        "CAPERRIDGE_AUTHORITY": "",
        "CAPERRIDGE_TOKEN": OPERATOR,
        "CAPERRIDGE_OPERATORS": url(pair[0], "operators"),
    }
    ended = await run_here("dump", **at_one)
    assert ended.code == NOT_REACHED
    assert "certificate" in ended.err.lower()
