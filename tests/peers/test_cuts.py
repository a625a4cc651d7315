"""Zones that are cut off, over real sockets: what goes on, what is refused, reunion.

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

# A service without targets would be awaited by an instance that starts.
ONE = re.sub(r"\[services\.(billing|lookup)\]\n(\w.*\n)+", "", DECLARATION)
TWO = ONE + "[services.other]\nkind = 'plain'\n"
ITEMS = 40
IN_ORDER = [f"i{n}" for n in range(ITEMS)]


@pytest.fixture
async def zones(memory: MemoryPlatform, listen: Listen) -> AsyncIterator[Zones]:
    """Two zones of two instances that know each other and one configuration."""
    zones = Zones(memory, listen)
    await zones.start_zone("oviedo", 2)
    await zones.start_zone("bilbao", 2)
    everybody = list(zones.instances_by_id.values())
    async with aiohttp.ClientSession() as zones.http:
        await zones.until(lambda: not any(i.not_ready_because() for i in everybody))
        await zones.until(lambda: all(len(i.peers.connected()) == 3 for i in everybody))
        assert (await zones.confirm(everybody[0], ONE))[0] == 200
        await zones.until_version(1, everybody)
        yield zones
        for name in list(zones.instances_by_id):
            await zones.stop(name)
    for instance, versions in zones.versions_by_process.items():
        assert versions == sorted(versions), instance.settings.instance_id


def sees_all(zones: Zones) -> bool:
    """Return whether every instance counts every other one as live."""
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
    # The platform is reached by both, so a version needs no peer to spread.
    assert (await zones.confirm(bilbao[0], TWO))[0] == 200
    await zones.until_version(2, oviedo + bilbao)
    assert await zones.results(bilbao[1], job) == IN_ORDER
    zones.reunite()
    await zones.until(lambda: sees_all(zones))


async def test_a_zone_cut_from_the_platform_alone_works_through_peers(
    zones: Zones,
) -> None:
    oviedo, bilbao = zones.of("oviedo"), zones.of("bilbao")
    zones.ways_by_zone["bilbao"].cut = True
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
    zones.reunite()
    await zones.until(lambda: not any(i.platform.cut_off for i in bilbao))


def refused(answer: tuple[int, Any]) -> tuple[int, str, str]:
    """Return what a refusal says that must be true."""
    status, body = answer
    return status, body["error"]["code"], body["error"]["run"]


AWAY = (503, "platform_away", "not_run")


async def test_a_zone_cut_from_all_serves_online_and_refuses_the_rest(
    zones: Zones,
) -> None:
    oviedo, bilbao = zones.of("oviedo"), zones.of("bilbao")
    status, job = await zones.submit(oviedo[0], ITEMS, tokens=100)
    assert status == 200
    await zones.until(lambda: any(i.streams.state()["running"] for i in bilbao))
    zones.cut("oviedo", "bilbao")
    zones.ways_by_zone["bilbao"].cut = True
    for instance in bilbao:
        assert await zones.ask(instance) == 200
    assert refused(await zones.submit(bilbao[0], 1)) == AWAY
    path = f"/v1/batches/{job['id']}"
    assert refused(await zones.call(bilbao[0], path)) == AWAY
    assert refused(await zones.call(bilbao[0], f"{path}/cancel", {})) == AWAY
    confirmed = await zones.confirm(bilbao[0], TWO)
    assert refused(confirmed) == AWAY
    assert "nothing was changed" in confirmed[1]["error"]["message"]
    # What is confirmed elsewhere comes into force here at reunion, not before.
    assert (await zones.confirm(oviedo[0], TWO))[0] == 200
    await zones.until_version(2, oviedo)
    # Batch ends with the lease; the other zone does the work.
    await zones.until(lambda: not any(i.session.left_s() > 0 for i in bilbao))
    await zones.until(lambda: not any(i.streams.state()["running"] for i in bilbao))
    assert await zones.results(oviedo[0], job) == IN_ORDER
    # One that is started again knows nothing but its seeds.
    await zones.stop("bilbao-1")
    seeds = [bilbao[0].addresses_by_listener["peers"]]
    fresh = await zones.start_in("bilbao", "bilbao-1", seeds=seeds)
    await zones.until(lambda: not fresh.not_ready_because())
    assert fresh.configuration.current.version == 1
    assert await zones.ask(fresh) == 200
    zones.reunite()
    await zones.until_version(2, [bilbao[0], fresh, *oviedo])
    await zones.until(lambda: sees_all(zones))
