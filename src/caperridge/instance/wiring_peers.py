"""Connects an instance with its peers: their news, and the platform through them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from caperridge.instance.members import MembersReader
from caperridge.instance.messages import (
    ConfigurationAsked,
    ConfigurationHeard,
    LoadedHeard,
    MembersListed,
)
from caperridge.instance.peers import PeerMesh
from caperridge.instance.relay import RelayClient
from caperridge.peers.messages import (
    ConfigurationAsk,
    ConfigurationNews,
    LoadedNews,
    LoadNews,
    TraceAnswer,
    TraceAsk,
)
from caperridge.store.interface import Platform
from caperridge.store.relay import RelayedPlatform

if TYPE_CHECKING:
    from caperridge.instance.process import Instance


def listen_to_peers(instance: "Instance", mesh: PeerMesh) -> None:
    """Hand the peers' news to the tasks that it concerns."""
    keeper = instance.configuration

    def version_heard(peer: str, version: int) -> None:
        # A heartbeat tells of a version whose news may have been lost.
        if version > keeper.current.version:
            keeper.tell(ConfigurationHeard(peer, ConfigurationNews(version)))

    mesh.configuration_version = lambda: keeper.current.version
    mesh.version_heard = version_heard
    mesh.add_listener(instance.online_news)
    mesh.register(
        ConfigurationNews,
        lambda peer, news: keeper.tell(ConfigurationHeard(peer, news)),
    )
    mesh.register(
        ConfigurationAsk,
        lambda peer, ask: keeper.tell(ConfigurationAsked(peer, ask.version)),
    )
    mesh.register(LoadedNews, lambda _, news: instance.orderer.tell(LoadedHeard(news)))
    mesh.register(LoadNews, lambda _, news: instance.online.loads_told(news))
    mesh.register(TraceAsk, instance.explanations.answer_peer)
    mesh.register(TraceAnswer, instance.explanations.record_answer)


def relayed_platform(
    instance: "Instance", direct: Platform, mesh: PeerMesh, clock: Callable[[], float]
) -> RelayedPlatform:
    """Return the platform, reached through a peer where it must be."""
    relayed = RelayedPlatform(direct, clock)
    relayed.transport = RelayClient(
        mesh, instance.membership, instance.settings.platform_deadline_s, clock
    )
    return relayed


def members_reader(
    instance: "Instance", listed: Callable[[MembersListed], None]
) -> MembersReader:
    """Return the reader of the list, which shares the work with peers if it has any."""
    mesh = instance.mesh
    if mesh is None:
        return MembersReader(instance.platform, listed)
    zone = instance.settings.availability_zone
    return MembersReader(
        instance.platform,
        listed,
        mesh,
        lambda: len(instance.membership.live(zone)),
        mesh.introductions,
        mesh.introduce,
        lambda: not instance.awaited_targets.missing(),
    )
