"""An engine dies, and the platform goes on listing it."""

from caperridge.instance.process import Instance
from caperridge.measure.fleet import ZONE
from promises.conftest import Fleet, until

ITEMS = 100  # more than one instance claims at first
DEAD = "runner-1"


async def test_items_go_on_elsewhere_when_the_only_engine_here_died(
    fleet: Fleet,
) -> None:
    owner = await owner_of_dead(fleet)
    job = await begun(fleet, owner)
    await fleet.standins.kill_engine(DEAD)
    fleet.slow(1.0)
    await fleet.completed("entry-1", job)
    await fleet.check_each_once("entry-3", job, ITEMS)


async def test_an_engine_that_is_back_gets_items_again(fleet: Fleet) -> None:
    owner = await owner_of_dead(fleet)
    job = await begun(fleet, owner)
    await fleet.standins.kill_engine(DEAD)
    fleet.slow(1.0)
    await fleet.completed("entry-1", job)
    assert not owner.streams.serves("chat")
    engine = await fleet.standins.add_engine(DEAD)
    owner.members.poll_soon()
    await until(lambda: owner.streams.serves("chat"))
    job = await begun(fleet, owner)
    fleet.slow(1.0)
    await fleet.completed("entry-1", job)
    await fleet.check_each_once("entry-3", job, ITEMS)
    assert engine.runs_by_request


async def owner_of_dead(fleet: Fleet) -> Instance:
    """Return the instance that sends items to the engine, and to no other."""
    anyone = fleet.instances_by_id["entry-1"]
    owner = fleet.instances_by_id[anyone.membership.owner(DEAD, ZONE)]
    await until(lambda: owner.streams.own.by_service.get("chat") == [DEAD])
    return owner


async def begun(fleet: Fleet, owner: Instance) -> str:
    """Return a job that makes no progress yet and of which ``owner`` has items."""
    fleet.slow(50.0)
    job = await fleet.submit("entry-2", ITEMS)
    await until(lambda: owner.dispatcher.state()["items_open_by_chunk"])
    return job
