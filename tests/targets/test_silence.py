"""Streams on which nothing comes are ended, and only those."""

from caperridge.targets.silence import IdleTimeouts


async def test_only_the_silent_stream_is_ended_and_only_once() -> None:
    watch = IdleTimeouts()
    ended: list[str] = []
    silent = watch.add(1.0, lambda: ended.append("silent"))
    heard = watch.add(1.0, lambda: ended.append("heard"))
    gone = watch.add(1.0, lambda: ended.append("gone"))
    start = silent.last_received_at
    heard.last_received_at = gone.last_received_at = start
    watch.remove(gone)
    watch.sweep(start + 1.0, start + 1.0)
    assert ended == []
    heard.last_received_at = start + 1.0
    watch.sweep(start + 1.5, start + 1.5)
    watch.sweep(start + 1.9, start + 1.9)
    assert ended == ["silent"]
    watch.sweep(start + 2.5, start + 2.5)
    assert ended == ["silent", "heard"]
    watch.close()


async def test_a_sweep_after_a_pause_of_the_process_ends_nothing() -> None:
    watch = IdleTimeouts()
    ended: list[str] = []
    start = watch.add(1.0, lambda: ended.append("silent")).last_received_at
    watch.sweep(start + 9.0, due=start + 0.25)
    assert ended == []
    watch.sweep(start + 9.3, due=start + 9.25)
    assert ended == ["silent"]
    watch.close()
