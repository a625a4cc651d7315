"""Background tasks of an instance that end by an error."""

import json
from collections.abc import Callable
from io import StringIO

import pytest

from caperridge.gateway import background
from caperridge.gateway.process import GatewayInstance
from caperridge.gateway.targets import Target
from caperridge.log import JsonLinesHandler
from gateway.conftest import World, until


class InjectedError(Exception):
    """Raised by a part that a test breaks."""


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Callable[[], list[dict]]:
    """Return what was logged so far; tasks are restarted soon."""
    monkeypatch.setattr(background, "RESTART_DELAY_S", 0.01)
    stream = StringIO()
    handler = JsonLinesHandler(stream, level="ERROR")
    handler.push_application()
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    handler.pop_application()


# What each task calls in each round, by its name.
PARTS_BY_TASK = {
    "watch op": ("_watchers", 0, "_wait_for_poll"),
    "watch servers": ("_watchers", 1, "_wait_for_poll"),
    "watch job-index": ("_watchers", 2, "_wait_for_poll"),
    "watch held-requests": ("_watchers", 3, "_wait_for_poll"),
    "keep jobs": ("keeper", "_claim_orphans"),
    "register": ("registry", "_read_members"),
    "tick": ("recalls", "expire"),
    "send heartbeats": ("updates", "send_heartbeat"),
    "probe unreachable": ("client", "is_reachable"),
    "scan orphaned runs": ("orphan_scan", "_expire"),
    "sweep jobs": ("sweeper", "expired_jobs"),
    "expire quarantine": ("guard", "rows", "remove_expired"),
    "write quarantine": ("guard", "rows", "_write"),
}


def break_once(part: object, name: str) -> Callable[[], bool]:
    """Have a method raise once; return a function that tells if it ran after it."""
    method = getattr(part, name)
    calls = 0

    def broken(*args: object, **kwargs: object) -> object:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise InjectedError(name)
        return method(*args, **kwargs)

    setattr(part, name, broken)
    return lambda: calls > 1


def start_rounds(instance: GatewayInstance) -> None:
    """Give the tasks that wait for work some, so that each has a round soon."""
    for target in instance.fleet.targets.by_id.values():
        instance.fleet.mark_crashed(target)
    instance.guard.rows.schedule_write("c1")
    for watcher in instance._watchers:
        watcher.poll_now()


# Guards against background tasks that end by an error and are missed by nobody: the
# instance no longer follows the list, or a target stays out for good.
@pytest.mark.parametrize("task", PARTS_BY_TASK)
async def test_a_background_task_that_fails_is_logged_counted_and_restarted(
    world: World,
    lines: Callable[[], list[dict]],
    task: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for module in ("gateway.jobs.sweep", "gateway.request_guard"):
        monkeypatch.setattr(f"caperridge.{module}.SWEEP_INTERVAL_S", 0.05)
    monkeypatch.setattr("caperridge.gateway.watcher.LONG_POLL_S", 0.1)
    monkeypatch.setattr("caperridge.gateway.registry.POLL_INTERVAL_S", 0.1)
    await world.add_runner()
    instance = await world.add_instance()
    await world.ready()
    assert set(instance.background.tasks_by_name) == set(PARTS_BY_TASK)
    part: object = instance
    *path, name = PARTS_BY_TASK[task]
    for step in path:
        part = part[step] if isinstance(step, int) else getattr(part, step)
    ran_again = break_once(part, name)
    start_rounds(instance)
    await until(ran_again)
    [failed] = [one for one in lines() if one["message"] == "background task failed"]
    assert failed["task"] == task
    assert "InjectedError" in failed["exception"]
    value = instance.metrics.registry.get_sample_value
    name = "caperridge_gateway_background_failures_total"
    assert value(name, {"task": task}) == 1


# Guards against a list of targets that is followed no more after an entry that no check
# foresaw.
async def test_an_entry_that_fails_keeps_no_other_from_being_applied(
    world: World,
    lines: Callable[[], list[dict]],
) -> None:
    instance = await world.add_instance()
    decode = instance._dialect.target

    def broken(name: str, value: bytes) -> Target:
        if name == "odd":
            raise InjectedError(name)
        return decode(name, value)

    instance._dialect.target = broken
    world.store.put("servers", "odd", {})
    runner = await world.add_runner()
    await world.ready()
    assert (await world.ask(instance, "/ask/1", "r1")).data == runner.text("r1")
    assert [one["target"] for one in lines() if "target" in one] == ["odd"]
