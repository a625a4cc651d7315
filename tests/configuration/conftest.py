"""Fixtures of the configuration tests."""

import pytest

from configuration.world import World


@pytest.fixture
def world() -> World:
    """Return a world with two availability zones of two instances each."""
    world = World()
    for zone in ("oviedo", "oviedo", "bilbao", "bilbao"):
        world.start(zone)
    return world
