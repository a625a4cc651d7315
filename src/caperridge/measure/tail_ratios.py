"""Latencies of one arm over those of another, with how sure they are.

A percentile is an order statistic: of ``n`` independent samples, the sample of rank
``p`` lies between those of the ranks ``p`` less and plus about two standard deviations,
``sqrt(p * (1 - p) / n)``. Tokens of one request are not independent, so intervals rest
on requests for both the first token and the time between tokens.
"""

import math
from typing import Any

from caperridge.measure.load import Latencies

DEVIATIONS = 1.96  # 95 in 100
MOST_RATIO = 1.05
LEAST_SHARE = 0.9
MET, MISSED, OPEN = "met", "missed", "open"
RATIOS = (
    ("ttft_p50", 50),
    ("ttft_p95", 95),
    ("ttft_p99", 99),
    ("itl_p50", 50),
    ("itl_p95", 95),
)
AIMED = ("ttft_p95_ratio", "ttft_p99_ratio", "itl_p95_ratio")


class ArmLatencies:
    """What the callers of one arm saw.

    Attributes:
        first_token: times to the first token, one for each request.
        between_tokens: times between tokens.
    """

    __slots__ = ("between_tokens", "first_token")

    def __init__(self, first_token: Latencies, between_tokens: Latencies) -> None:
        self.first_token = first_token
        self.between_tokens = between_tokens

    def of(self, name: str) -> Latencies:
        """Return those that the figure ``name`` is read from."""
        return self.first_token if name.startswith("ttft") else self.between_tokens


def interval_ms(
    latencies: Latencies, percentile: float, requests: int
) -> tuple[float, float]:
    """Return the interval in which the percentile lies, 95 in 100 times.

    >>> latencies = Latencies()
    >>> for number in range(1, 1001):
    ...     latencies.record(number / 1000)
    >>> [round(edge) for edge in interval_ms(latencies, 95, 1000)]
    [936, 964]
    """
    share = percentile / 100
    width = DEVIATIONS * math.sqrt(share * (1 - share) / max(1, requests))
    low = latencies.percentile_ms(100 * max(0.0, share - width))
    high = latencies.percentile_ms(100 * min(1.0, share + width))
    return low, high


def ratios(own: ArmLatencies, alone: ArmLatencies) -> dict[str, float]:
    """Return each latency of ``own`` over that of ``alone``, with its interval.

    The errors of the two arms are independent, so in logarithms they add as squares.
    """
    found: dict[str, float] = {}
    for name, percentile in RATIOS:
        over = own.of(name).percentile_ms(percentile)
        under = alone.of(name).percentile_ms(percentile)
        own_low, own_high = interval_ms(own.of(name), percentile, own.first_token.count)
        alone_low, alone_high = interval_ms(
            alone.of(name), percentile, alone.first_token.count
        )
        down = math.hypot(math.log(over / own_low), math.log(alone_high / under))
        up = math.hypot(math.log(own_high / over), math.log(under / alone_low))
        ratio = over / under
        found[f"{name}_ratio"] = round(ratio, 3)
        found[f"{name}_ratio_low"] = round(ratio * math.exp(-down), 3)
        found[f"{name}_ratio_high"] = round(ratio * math.exp(up), 3)
    return found


def aims(arm: dict[str, Any]) -> dict[str, str]:
    """Return for each aim whether ``arm`` met it, missed it, or cannot say.

    >>> arm = {f"{name}{edge}": 1.04 for name in AIMED for edge in ("_low", "_high")}
    >>> arm |= {"itl_p95_ratio_high": 1.06, "batch_share_of_idle": 0.8}
    >>> aims(arm)["ttft_p99_ratio"], aims(arm)["itl_p95_ratio"]
    ('met', 'open')
    >>> aims(arm)["batch_share_of_idle"]
    'missed'
    """
    found: dict[str, str] = {}
    for name in AIMED:
        if arm[f"{name}_high"] < MOST_RATIO:
            found[name] = MET
        elif arm[f"{name}_low"] >= MOST_RATIO:
            found[name] = MISSED
        else:
            found[name] = OPEN
    share = arm["batch_share_of_idle"]
    found["batch_share_of_idle"] = MET if share > LEAST_SHARE else MISSED
    return found
