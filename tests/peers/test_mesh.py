"""Up to three connected instances in one process, end to end."""

from caperridge.instance.process import Instance
from caperridge.peers.messages import JobNews, OnlineNews
from caperridge.records import Record
from conftest import until
from peers.conftest import Mesh

NAMES = ["entry-1", "entry-2", "entry-3"]


async def start_connected(mesh: Mesh) -> list[Instance]:
    instances = [await mesh.start(name) for name in NAMES]
    await until(lambda: all(len(i.peers.connected()) == 2 for i in instances))
    return instances


async def test_instances_of_a_zone_connect_and_agree_on_owners(mesh: Mesh) -> None:
    instances = await start_connected(mesh)
    assert [i.membership.live("oviedo") for i in instances] == [NAMES] * 3
    owners = {i.membership.owner("runner-7", "oviedo") for i in instances}
    assert len(owners) == 1
    assert instances[0].state()["peers"]["streams_by_id"].keys() == set(NAMES[1:])


async def test_news_reaches_the_part_that_it_concerns(mesh: Mesh) -> None:
    first, second, _ = await start_connected(mesh)
    received: list[tuple[str, Record]] = []
    second.peers.register(
        OnlineNews, lambda sender, news: received.append((sender, news))
    )
    news = OnlineNews("entry-1", "runner-1", 3, 1)
    assert first.peers.send("entry-2", news)
    await until(lambda: received == [("entry-1", news)])


async def test_news_of_a_job_comes_once_though_it_is_passed_on(mesh: Mesh) -> None:
    instances = await start_connected(mesh)
    received: list[str] = []
    for instance in instances:
        instance.peers.register(JobNews, lambda sender, news: received.append(news.job))
    assert instances[0].peers.send_all(JobNews("batch_1", "open")) == 2
    assert instances[0].peers.send_all(JobNews("batch_2", "open")) == 2
    await until(lambda: received.count("batch_2") >= 2)
    assert sorted(received) == ["batch_1", "batch_1", "batch_2", "batch_2"]


async def test_news_of_a_job_is_passed_on_to_who_was_not_told(mesh: Mesh) -> None:
    instances = await start_connected(mesh)
    received: list[str] = []
    instances[2].peers.register(JobNews, lambda sender, news: received.append(sender))
    assert instances[0].peers.send("entry-2", JobNews("batch_1", "open"))
    await until(lambda: received == ["entry-2"])


async def test_a_peer_with_another_secret_is_refused(mesh: Mesh) -> None:
    first = await mesh.start("entry-1")
    stranger = await mesh.start("entry-2", secret="another")
    await until(lambda: first.state()["peers"]["refused_handshakes"] > 0)
    assert first.peers.connected() == stranger.peers.connected() == []


async def test_a_stopping_instance_is_owner_of_nothing_at_once(mesh: Mesh) -> None:
    first, second, _ = await start_connected(mesh)
    first.mesh.leave()
    await until(lambda: second.membership.live("oviedo") == NAMES[1:])
    assert first.membership.live("oviedo") == NAMES[1:]


async def test_what_is_kept_of_an_instance_that_is_gone_is_forgotten(
    mesh: Mesh,
) -> None:
    first = await mesh.start("entry-1")
    await mesh.start("entry-2")
    await until(lambda: first.versions_of_peers().keys() == {"entry-2"})
    await mesh.stop("entry-2")
    await until(lambda: not first.peers.connected())
    first.membership.members_by_id.pop("entry-2", None)
    first.membership.zones_by_id.pop("entry-2")
    first.mesh._forget_gone()
    assert first.versions_of_peers() == {}
