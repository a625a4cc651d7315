"""Fixtures for several instances in one process that share a platform in memory."""

from collections.abc import AsyncIterator

import pytest

from caperridge.instance.process import Instance
from caperridge.keys import token_digest
from caperridge.settings import Address, Settings, TlsFiles
from caperridge.standins.platform import MemoryPlatform
from caperridge.store.interface import ListedMember, Platform
from conftest import OPERATOR

SECRET = "for-tests"


class Mesh:
    """Starts instances and adds them to the member list of the platform."""

    def __init__(self, memory: MemoryPlatform) -> None:
        self.memory = memory
        self.instances_by_id: dict[str, Instance] = {}
        self.members_by_id: dict[str, ListedMember] = {}

    async def start(
        self,
        name: str,
        zone: str = "oviedo",
        secret: str = SECRET,
        listed: bool = True,
        platform: Platform | None = None,
        seeds: list[Address] | None = None,
        tls: TlsFiles | None = None,
        lease_s: float = 10.0,
    ) -> Instance:
        settings = Settings(
            name,
            zone,
            "http://none",
            peers_secret=secret,
            peer_seeds=seeds,
            first_operator_sha256=token_digest(OPERATOR),
            lease_s=lease_s,
            tls_by_listener={"peers": tls} if tls else None,
        )
        instance = Instance(settings, platform or self.memory)
        self.before_start(instance)
        await instance.start()
        self.instances_by_id[name] = instance
        if listed:
            address = str(instance.addresses_by_listener["peers"])
            self.list_member(ListedMember(name, "instance", address, zone))
        return instance

    def before_start(self, instance: Instance) -> None:
        """Modify ``instance`` before it starts; does nothing by default."""

    def list_member(self, member: ListedMember) -> None:
        self.members_by_id[member.id] = member
        self.memory.set_members(list(self.members_by_id.values()))
        for instance in self.instances_by_id.values():
            instance.members.poll_soon()

    async def stop(self, name: str) -> None:
        await self.instances_by_id.pop(name).stop()


@pytest.fixture
async def mesh(memory: MemoryPlatform) -> AsyncIterator[Mesh]:
    mesh = Mesh(memory)
    yield mesh
    for name in list(mesh.instances_by_id):
        await mesh.stop(name)
