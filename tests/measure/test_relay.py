"""The bench of the relay counts what it should, whatever the time it took."""

import threading

import pytest

from caperridge.measure.relay import Interrupted, RelayBench, run_round


def test_a_round_relays_every_token_and_an_interrupt_ends_it() -> None:
    stopping = threading.Event()
    bench = RelayBench(stopping)
    try:
        for address in (bench.address, bench.plain_address, bench.engine_address):
            figures = run_round(bench, address, requests=3, writes=4, events_a_write=5)
            assert figures["tokens"] == 3 * 16
            assert figures["streams_not_whole"] == 0
        assert bench.loop.cpu_s() > 0
        stopping.set()
        with pytest.raises(Interrupted):
            run_round(bench, bench.address, requests=1, writes=100, events_a_write=1)
    finally:
        bench.stop()
