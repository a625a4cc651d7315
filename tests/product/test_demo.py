"""The demo, with little work and short pauses."""

from caperridge.demo.story import Pace, Story
from caperridge.demo.tally import Tally

SHORT = Pace(logs=90, stories=30, unwanted=30, burst=8, outage_s=0.3, pause_s=0.05)


async def test_it_plays_every_act_and_nothing_is_lost() -> None:
    told: list[str] = []
    tally = await Story(told.append, SHORT).run()
    counts = tally.to_map()
    assert tally.good, (counts, told)
    assert (counts["accepted"], counts["completed"]) == (120, 119)
    # The torn page among the logs can never be done, and says so.
    assert counts["failed_items"] == 1
    assert counts["online_requests"] > 8
    assert counts["ttft_p99_ms"] > 0
    assert counts["batch_items_per_s"] > 0
    assert len(told) == 12


def test_a_loss_a_double_or_a_wrong_answer_is_bad() -> None:
    assert Tally().good
    for field in ("lost", "doubled", "online_wrong"):
        tally = Tally()
        setattr(tally, field, 1)
        assert not tally.good
        assert tally.to_map()[field] == 1
