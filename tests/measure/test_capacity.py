"""The capacity page says what its runs say, and invents nothing."""

import json
from pathlib import Path

import pytest

from caperridge.measure import capacity
from caperridge.measure.capacity_page import MarkMissingError, fill, tables

DOCS = Path(__file__).parents[2] / "docs"
RUN = {
    "seed": 1,
    "took_s": 1.0,
    "machine": {"cores": 1, "memory_gib": 1.0},
    "versions": {"python": "3"},
}
BATCH = {
    "arms": {
        "no_faults": {
            "accepted": 20_000,
            "chunks": 100,
            "table_writes_per_1000_items": 15.0,
            "table_reads_per_1000_items": 50.0,
        }
    },
    "run": RUN,
}


@pytest.fixture
def recorded() -> dict:
    return {
        path.stem: json.loads(path.read_text())
        for path in (DOCS / "measurements").glob("*.json")
    }


def test_the_page_is_as_its_runs_say(recorded: dict) -> None:
    page = (DOCS / "CAPACITY.md").read_text()
    assert recorded
    assert fill(page, recorded) == page, "run: caperridge measure capacity"


def test_a_changed_figure_makes_the_page_stale(recorded: dict) -> None:
    page = (DOCS / "CAPACITY.md").read_text()
    recorded["relay"]["cpu_us_a_request"] *= 2
    assert fill(page, recorded) != page


def test_without_runs_nothing_measured_is_claimed() -> None:
    by_name = tables({})
    for line in by_name["slopes"].splitlines()[2:]:
        assert "| not measured |" in line
    assert "% of a core |" not in by_name["relay"]
    assert "fits" not in by_name["control"].replace("does not fit", "fits")


def test_a_page_without_a_mark_is_refused() -> None:
    with pytest.raises(MarkMissingError):
        fill("# nothing", {})


def test_chunks_carry_the_measured_writes_to_the_target() -> None:
    # 20,000 items in 100 chunks at 15 writes a thousand: 3 writes a chunk.
    assert capacity.a_chunk({"batch": BATCH}, "table_writes_per_1000_items") == 3.0
    # 430 million items a day over 390 instances, 10 s of work a chunk.
    assert capacity.chunk_items() == pytest.approx(127.6, abs=0.1)
    assert capacity.chunks_per_s() == pytest.approx(39.0, abs=0.1)
    claims = capacity.steady({"batch": BATCH})[4]
    assert claims.writes == pytest.approx(117.0, abs=0.5)


def test_the_reader_of_a_zone_reads_for_all_of_it() -> None:
    sessions, changes, jobs = capacity.steady({})[1:4]
    # 17 zones, 4 pages of sessions every 2.5 s.
    assert sessions.reads == pytest.approx(17 * 4 / 2.5)
    # 17 readers a second, and 373 others every 20 s.
    assert changes.reads == pytest.approx(17 + 373 / 20)
    # 19 pages of jobs and a second look every 30 s; others every 600 s.
    assert jobs.reads == pytest.approx(17 * 20 / 30 + 373 * 19 / 600)


def test_the_sum_says_what_is_missing() -> None:
    loads = [capacity.Load("a", 1.0, 2.0), capacity.Load("b", None, 3.0)]
    assert capacity.total(loads) == capacity.Load(
        "sum without 1 not measured", 1.0, 5.0
    )


def test_relaying_is_worked_out_from_requests_and_tokens() -> None:
    relay = {"cpu_us_a_request": 1000.0, "arms": [{}, {"a_read_us": 50.0}]}
    share = capacity.core_share({"relay": relay}, 390)
    assert share == pytest.approx((6700 * 1e-3 + 2.7e6 * 50e-6) / 390)
