"""All instances are replaced, one by one, while they work."""

import asyncio

from caperridge.standins.engine_model import answer_text
from promises.conftest import Fleet, until

ITEMS = 60
TOKENS = 60


async def test_a_roll_cuts_no_stream_and_results_stay_readable(fleet: Fleet) -> None:
    finished = await fleet.submit("entry-1", 10)
    await fleet.completed("entry-1", finished)
    before = await fleet.results("entry-1", finished)
    fleet.slow(5.0)
    running = await fleet.submit("entry-2", ITEMS)
    await fleet.holder()
    for old in list(fleet.instances_by_id):
        new = old.replace("entry", "newer")
        streams = [
            asyncio.ensure_future(fleet.complete(name, f"{old} {name}?", TOKENS))
            for name in fleet.instances_by_id
        ]
        names = list(fleet.instances_by_id)
        await until(lambda old=old: fleet.instances_by_id[old].in_flight.listed())
        await fleet.standins.add_instance(new)
        leaving = fleet.instances_by_id[old]
        await leaving.drain.run()
        assert not leaving.drain.cut
        texts = await asyncio.gather(*streams)
        assert texts == [answer_text(f"{old} {name}?", TOKENS) for name in names]
        await fleet.standins.remove_instance(old)
        await until(lambda new=new: not fleet.instances_by_id[new].not_ready_because())
        for name in fleet.instances_by_id:
            assert await fleet.results(name, finished) == before
    fleet.slow(1.0)
    await fleet.completed("newer-1", running)
    await fleet.check_each_once("newer-3", running, ITEMS)
    assert await fleet.results("newer-2", finished) == before
