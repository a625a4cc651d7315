"""An engine dies, and the platform goes on listing it."""

from caperridge.measure.fleet import ZONE
from promises.conftest import Fleet, until

ITEMS = 100  # more than one instance claims at first
DEAD = "runner-1"


async def test_items_go_on_elsewhere_when_the_only_engine_here_died(
    fleet: Fleet,
) -> None:
    fleet.slow(50.0)
    anyone = fleet.instances_by_id["entry-1"]
    owner = fleet.instances_by_id[anyone.membership.owner(DEAD, ZONE)]
    await until(lambda: owner.streams.own.by_service.get("chat") == [DEAD])
    job = await fleet.submit("entry-2", ITEMS)
    await until(lambda: owner.dispatcher.state()["items_open_by_chunk"])
    await fleet.standins.kill_engine(DEAD)
    fleet.slow(1.0)
    await fleet.completed("entry-1", job)
    await fleet.check_each_once("entry-3", job, ITEMS)
