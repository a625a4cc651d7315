"""Log lines are rate-limited, and a reader that stops reading blocks no writer."""

import os
from collections.abc import Iterator

import pytest

from caperridge.log_stream import MAX_BUFFERED_BYTES, BoundedStream


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def test_lines_over_the_budget_are_counted_and_said(pipe: tuple[int, int]) -> None:
    now = [0.0]
    stream = BoundedStream(pipe[1], lambda: now[0], lines_per_s=10, burst_lines=2)
    for number in range(5):
        stream.write(f"line {number}\n")
    now[0] = 1.0
    stream.write("later\n")
    lines = os.read(pipe[0], 4096).decode().splitlines()
    assert lines[:2] == ["line 0", "line 1"]
    assert '"count":3' in lines[2]
    assert lines[3] == "later"
    assert stream.dropped == 3


def test_a_full_pipe_blocks_nobody_and_keeps_lines_whole(pipe: tuple[int, int]) -> None:
    now = [0.0]
    stream = BoundedStream(pipe[1], lambda: now[0], lines_per_s=1e9, burst_lines=1e9)
    line = "x" * 999 + "\n"
    for _ in range(2 * MAX_BUFFERED_BYTES // 1000):
        stream.write(line)
    assert stream.dropped > 0
    read = bytearray()
    os.set_blocking(pipe[0], False)
    while True:
        try:
            read += os.read(pipe[0], 65536)
        except BlockingIOError:
            break
        stream.flush()
    stream.write("last\n")
    read += os.read(pipe[0], 65536)
    lines = read.decode().splitlines()
    assert lines[-1] == "last"
    assert "log lines dropped" in lines[-2]
    assert all(len(one) == 999 for one in lines[:-2])


def test_a_reader_that_is_gone_costs_nothing() -> None:
    read_end, write_end = os.pipe()
    stream = BoundedStream(write_end)
    os.close(read_end)
    stream.write("nobody reads this\n")
    os.close(write_end)
