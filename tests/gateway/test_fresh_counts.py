"""The placement of a request uses the counts that peers have sent by then."""

from caperridge.gateway.occupancy import Count
from gateway.conftest import World


async def test_a_request_is_placed_after_what_peers_told_was_heard(
    world: World,
) -> None:
    full = await world.add_runner()
    free = await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    occupancy = instance.fleet.occupancy
    slots = instance.fleet.targets.by_id["i-0"].slots

    def receive() -> None:
        occupancy.update_peer_count("a peer", "i-0", Count(online=slots))

    instance.edge.read_peers = receive
    for number in range(4):
        assert (await world.ask(instance, "/ask/1", f"r{number}")).status == 200
    assert len(full.runs) == 0
    assert len(free.runs) == 4
