"""A stream goes on only at the software version that began it."""

from gateway.conftest import World
from gateway.runner_standin import RunnerStandin

NEW_VERSION = "v2"


async def mixed_world(world: World) -> tuple[RunnerStandin, RunnerStandin]:
    """Start an instance before a target of each version; return the targets."""
    first = await world.add_runner()
    second = await world.add_runner(software_version=NEW_VERSION)
    await world.add_instance()
    await world.ready()
    return first, second


def data_by_one_version(world: World, id: str, data: list[str]) -> bool:
    """Whether the events are the beginning of what one version writes for ``id``."""
    texts = [runner.text(id)[: len(data)] for runner in world.runners]
    return data in texts


# Guards against a retry that continues a stream at a target of another version.
async def test_a_retry_inside_an_answer_stays_at_the_software_version(
    world: World,
) -> None:
    breaking, other = await mixed_world(world)
    breaking.break_after = 2
    other.break_after = 2
    for number in range(4):
        id = f"r{number}"
        answer = await world.ask(world.instances[0], "/ask/1", id)
        assert answer.data
        assert data_by_one_version(world, id, answer.data)
