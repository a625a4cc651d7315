"""The dispatcher of a target preempts batch for online requests sent by a peer."""

from caperridge.measure.batch_feed import BatchFeed
from caperridge.measure.fleet import SERVICE, FleetShape, running_fleet
from caperridge.measure.load import LoadFigures, one_request
from caperridge.standins.engine_model import EngineCosts
from conftest import until

TARGET = "runner-1"
COSTS = EngineCosts(step_s=0.008, sequence_s=0.0001, most_running=6)


async def test_news_of_a_peer_makes_batch_yield() -> None:
    shape = FleetShape(engines=1, instances=2, costs=COSTS)
    async with running_fleet(shape) as fleet:
        feed = BatchFeed(fleet, least_tokens=2000, most_tokens=2000)
        feed.start(waiting=12)
        owners = [i for i in fleet.instances_by_id.values() if i.streams.own]
        await until(lambda: sum(i.streams.own.owns(TARGET) for i in owners) == 1)
        owner = next(i for i in owners if i.streams.own.owns(TARGET))
        other = next(i for i in owners if i is not owner)
        # One slot is reserved for requests of peers.
        await until(lambda: len(owner.streams.state()["running"]) == 5)
        assert not other.streams.state()["running"]
        preempted = owner.metrics.preempted.labels(SERVICE)
        before = preempted._value.get()
        figures = LoadFigures()
        url = f"http://{other.addresses_by_listener['callers']}"
        body = {"model": SERVICE, "prompt": "alarm?", "max_tokens": 5}
        await one_request(fleet.http, url, body, figures)
        assert (figures.answered, figures.failed) == (1, 0)
        assert preempted._value.get() > before
        await until(lambda: len(owner.streams.state()["running"]) == 5)
        feed.stop()
