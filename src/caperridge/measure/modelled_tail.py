"""The frontier of online tail against batch share, by the engine model.

Minutes of load with a hand-moved clock; what one process adds that is engines,
instance and callers at once is left out.
"""

from typing import Any

from caperridge.measure.load import schedule
from caperridge.measure.modelled_runner import ModelledRunner, ModelShape
from caperridge.measure.tail_load import (
    COSTS,
    LONG_ANSWERS,
    SHORT_ANSWERS,
    OnlineMix,
)
from caperridge.measure.tail_ratios import ArmLatencies, aims, ratios

SECONDS = 150.0
MEAN_ITEM_TOKENS = 80
PEER_NEWS_S = 0.004
OWN_NEWS_S = 0.0
TRADES = (0.0, 0.25, 0.5, 0.75, 1.0)


def modelled(seed: int) -> dict[str, Any]:
    """Return the whole trade for long answers, and its middle for short ones.

    News of online requests is of the own process, or of a peer and comes later than
    the request.
    """
    trades = [(f"weight_{weight:g}", weight, OWN_NEWS_S) for weight in TRADES]
    by_peers = ("weight_0.5_by_peers", 0.5, PEER_NEWS_S)
    middle = [(name, weight, news) for name, weight, news in trades if weight == 0.5]
    return {
        "long_answers": _arms(LONG_ANSWERS, [*trades, by_peers], seed),
        "short_answers": _arms(SHORT_ANSWERS, [*middle, by_peers], seed),
    }


def _arms(
    mix: OnlineMix, arms: list[tuple[str, float, float]], seed: int
) -> dict[str, Any]:
    """Return the figures of one runner with its share of the load.

    Args:
        mix: what online callers ask for.
        arms: name, trade, and how late the news of online requests is.
        seed: of the load and the items.
    """
    load = mix.load(SECONDS, engines=1)
    tokens = sum(arrival.tokens for arrival in schedule(load, seed))
    quiet = ModelledRunner(ModelShape(COSTS, load, item_tokens=None, seed=seed))
    figures: dict[str, Any] = {"alone": quiet.run()}
    alone = ArmLatencies(quiet.first_token, quiet.between_tokens)
    for name, weight, news_s in arms:
        shape = ModelShape(COSTS, load, weight, news_s=news_s, seed=seed)
        runner = ModelledRunner(shape)
        own = runner.run()
        items = runner.batch_tokens / MEAN_ITEM_TOKENS
        answers = own["online_answers"]
        idle = mix.idle_tokens(1, SECONDS, answers, items, tokens)
        own["batch_share_of_idle"] = round(runner.batch_tokens / idle, 3)
        own |= ratios(ArmLatencies(runner.first_token, runner.between_tokens), alone)
        figures[name] = own | {"aims": aims(own)}
    return figures
