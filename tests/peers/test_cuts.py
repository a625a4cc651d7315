"""Network partitions over real sockets: what works, what is refused, recovery.

The cells of the table in ``docs/operators/cut-off.md`` name these tests.
"""

import re
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from caperridge.standins.platform import MemoryPlatform
from conftest import DECLARATION, Listen
from peers.cuts import Zones

# A starting instance would wait for targets of a service that has none.
ONE = re.sub(r"\[services\.(billing|lookup)\]\n(\w.*\n)+", "", DECLARATION)
TWO = ONE + "[services.other]\nkind = 'plain'\n"
ITEMS = 40
IN_ORDER = [f"i{n}" for n in range(ITEMS)]


@pytest.fixture
async def zones(memory: MemoryPlatform, listen: Listen) -> AsyncIterator[Zones]:
    """Two zones of two instances, all connected and with one configuration."""
    zones = Zones(memory, listen)
    await zones.start_zone("oviedo", 2)
    await zones.start_zone("bilbao", 2)
    instances = list(zones.instances_by_id.values())
    async with aiohttp.ClientSession() as zones.http:
        await zones.until(lambda: not any(i.not_ready_because() for i in instances))
        await zones.until(lambda: all(len(i.peers.connected()) == 3 for i in instances))
        assert (await zones.confirm(instances[0], ONE))[0] == 200
        await zones.until_version(1, instances)
        yield zones
        for name in list(zones.instances_by_id):
            await zones.stop(name)
    for instance, versions in zones.versions_by_process.items():
        assert versions == sorted(versions), instance.settings.instance_id


def sees_all(zones: Zones) -> bool:
    """Return whether every instance considers every other one live."""
    names = sorted(zones.instances_by_id)
    for instance in zones.instances_by_id.values():
        live = instance.membership.live_by_zone().values()
        if sorted(i for ids in live for i in ids) != names:
            return False
        if not all(len(i.peers.connected()) == 3 for i in zones.of("oviedo")):
            return False
    return True


async def test_zones_that_are_cut_from_each_other_serve_and_meet_again(
    zones: Zones,
) -> None:
    oviedo, bilbao = zones.of("oviedo"), zones.of("bilbao")
    zones.cut("oviedo", "bilbao")
    await zones.until(lambda: all(len(i.peers.connected()) == 1 for i in oviedo))
    for instance in oviedo + bilbao:
        assert await zones.ask(instance) == 200
    status, job = await zones.submit(oviedo[0], ITEMS)
    assert status == 200
    # Both zones reach the platform, so a version spreads without peers.
    assert (await zones.confirm(bilbao[0], TWO))[0] == 200
    await zones.until_version(2, oviedo + bilbao)
    assert await zones.results(bilbao[1], job) == IN_ORDER
    zones.heal()
    await zones.until(lambda: sees_all(zones))


async def test_a_zone_cut_from_the_platform_alone_works_through_peers(
    zones: Zones,
) -> None:
    oviedo, bilbao = zones.of("oviedo"), zones.of("bilbao")
    zones.platforms_by_zone["bilbao"].cut = True
    status, job = await zones.submit(bilbao[0], ITEMS)
    assert status == 200, job
    assert bilbao[0].state()["platform_cut_off"]
    assert (await zones.confirm(bilbao[1], TWO))[0] == 200
    await zones.until_version(2, oviedo + bilbao)
    assert await zones.results(bilbao[1], job) == IN_ORDER
    status, second = await zones.submit(bilbao[0], ITEMS, tokens=2000)
    path = f"/v1/batches/{second['id']}"
    assert (await zones.call(bilbao[1], f"{path}/cancel", {}))[0] == 200
    assert (await zones.call(oviedo[0], path))[1]["status"] == "cancelled"
    for instance in bilbao:
        assert await zones.ask(instance) == 200
        assert instance.session.left_s() > 0
        assert instance.state()["platform_relayed"] > 0
    zones.heal()
    await zones.until(lambda: not any(i.platform.cut_off for i in bilbao))


def refusal_fields(answer: tuple[int, Any]) -> tuple[int, str, str]:
    """Return status, code and run state of a refusal."""
    status, body = answer
    return status, body["error"]["code"], body["error"]["run"]


PLATFORM_AWAY = (503, "platform_away", "not_run")


async def test_a_zone_cut_from_all_serves_online_and_refuses_the_rest(
    zones: Zones,
) -> None:
    oviedo, bilbao = zones.of("oviedo"), zones.of("bilbao")
    status, job = await zones.submit(oviedo[0], ITEMS, tokens=100)
    assert status == 200
    await zones.until(lambda: any(i.streams.state()["running"] for i in bilbao))
    zones.cut("oviedo", "bilbao")
    zones.platforms_by_zone["bilbao"].cut = True
    for instance in bilbao:
        assert await zones.ask(instance) == 200
    assert refusal_fields(await zones.submit(bilbao[0], 1)) == PLATFORM_AWAY
    path = f"/v1/batches/{job['id']}"
    assert refusal_fields(await zones.call(bilbao[0], path)) == PLATFORM_AWAY
    assert (
        refusal_fields(await zones.call(bilbao[0], f"{path}/cancel", {}))
        == PLATFORM_AWAY
    )
    confirmed = await zones.confirm(bilbao[0], TWO)
    assert refusal_fields(confirmed) == PLATFORM_AWAY
    assert "nothing was changed" in confirmed[1]["error"]["message"]
    # A version confirmed elsewhere comes into force here only after recovery.
    assert (await zones.confirm(oviedo[0], TWO))[0] == 200
    await zones.until_version(2, oviedo)
    # Batch work stops with the lease; the other zone takes it over.
    await zones.until(lambda: not any(i.session.left_s() > 0 for i in bilbao))
    await zones.until(lambda: not any(i.streams.state()["running"] for i in bilbao))
    assert await zones.results(oviedo[0], job) == IN_ORDER
    # A restarted instance knows only its seeds.
    await zones.stop("bilbao-1")
    seeds = [bilbao[0].addresses_by_listener["peers"]]
    restarted = await zones.start_in("bilbao", "bilbao-1", seeds=seeds)
    await zones.until(lambda: not restarted.not_ready_because())
    assert restarted.configuration.current.version == 1
    assert await zones.ask(restarted) == 200
    zones.heal()
    await zones.until_version(2, [bilbao[0], restarted, *oviedo])
    await zones.until(lambda: sees_all(zones))
