"""Only streams whose idle timeout has expired are ended."""

from caperridge.targets.silence import IdleTimeouts


async def test_only_the_silent_stream_is_ended_and_only_once() -> None:
    timeouts = IdleTimeouts()
    ended: list[str] = []
    idle = timeouts.add(1.0, lambda: ended.append("silent"))
    active = timeouts.add(1.0, lambda: ended.append("heard"))
    removed = timeouts.add(1.0, lambda: ended.append("gone"))
    start = idle.last_received_at
    active.last_received_at = removed.last_received_at = start
    timeouts.remove(removed)
    timeouts.sweep(start + 1.0, start + 1.0)
    assert ended == []
    active.last_received_at = start + 1.0
    timeouts.sweep(start + 1.5, start + 1.5)
    timeouts.sweep(start + 1.9, start + 1.9)
    assert ended == ["silent"]
    timeouts.sweep(start + 2.5, start + 2.5)
    assert ended == ["silent", "heard"]
    timeouts.close()


async def test_a_sweep_after_a_pause_of_the_process_ends_nothing() -> None:
    timeouts = IdleTimeouts()
    ended: list[str] = []
    start = timeouts.add(1.0, lambda: ended.append("silent")).last_received_at
    timeouts.sweep(start + 9.0, due=start + 0.25)
    assert ended == []
    timeouts.sweep(start + 9.3, due=start + 9.25)
    assert ended == ["silent"]
    timeouts.close()
