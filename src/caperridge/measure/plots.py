"""Plots of runs, made to be looked at; needs the ``plots`` extra."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from caperridge.measure.capacity import (
    CONTROL_CORE_SHARE,
    CONTROL_KB_PER_S,
    CONTROL_MB,
)

# Okabe and Ito: told apart also by those who see few colours.
BLUE, ORANGE, GREEN, BLACK = "#0072B2", "#D55E00", "#009E73", "#000000"
SIZE_INCHES = (7.0, 4.2)
DOTS_AN_INCH = 150
TAIL_TICKS_MS = (50, 100, 200, 500, 1000, 2000, 5000)


class PlotsMissingError(Exception):
    """Matplotlib is not installed."""


Draw = Callable[[Any, dict[str, Any]], None]


def draw_all(name: str, figures: dict[str, Any], out: Path) -> list[Path]:
    """Write the plots of a run into ``out``; return their paths.

    Raises:
        PlotsMissingError: the ``plots`` extra is not installed.
    """
    try:
        import matplotlib

        matplotlib.use("agg")
        from matplotlib import pyplot
    except ImportError as error:
        raise PlotsMissingError from error
    paths: list[Path] = []
    for plot, draw in DRAW_BY_PLOT_BY_EXPERIMENT.get(name, {}).items():
        part = PART_BY_PLOT.get(plot)
        if part is not None and part not in figures:
            continue
        figure, axes = pyplot.subplots(figsize=SIZE_INCHES, layout="constrained")
        axes.spines[["top", "right"]].set_visible(False)
        axes.grid(axis="y", color="#dddddd")
        axes.set_axisbelow(True)
        draw(axes, figures)
        path = out / f"{name}-{plot}.png"
        figure.savefig(path, dpi=DOTS_AN_INCH)
        pyplot.close(figure)
        paths.append(path)
    return paths


def bars(
    axes: Any, labels: list[str], values_by_series: dict[str, list[float]]
) -> None:
    """Draw groups of bars with their values written above them."""
    width = 0.8 / len(values_by_series)
    colours = (BLUE, ORANGE, GREEN, BLACK)
    for number, (series, values) in enumerate(values_by_series.items()):
        places = [at + (number + 0.5) * width - 0.4 for at in range(len(labels))]
        drawn = axes.bar(places, values, width * 0.92, color=colours[number])
        drawn.set_label(series)
        axes.bar_label(drawn, fmt="%.3g", padding=2, fontsize=9)
    axes.set_xticks(range(len(labels)), labels)
    if len(values_by_series) > 1:
        axes.legend(frameon=False)


def _relay_cost(axes: Any, figures: dict[str, Any]) -> None:
    arms = figures["arms"][1:]
    events = [arm["events_a_write"] for arm in arms]
    unread = figures["plain_relay"]["arms"][1:]
    series = (
        ("caperridge: each event checked", figures["arms"][1:], BLUE, "o-", 8),
        (
            "bytes passed on unread",
            unread,
            ORANGE,
            "s--",
            -14,
        ),
    )
    axes.set_xscale("log")
    axes.set_yscale("log")
    for label, drawn, colour, style, above in series:
        rates = [arm["tokens_per_core_s"] for arm in drawn]
        axes.plot(events, rates, style, color=colour, linewidth=2, label=label)
        for x, y in zip(events, rates, strict=True):
            axes.annotate(
                f"{y:,.0f}",
                (x, y),
                xytext=(0, above),
                textcoords="offset points",
                ha="right" if above > 0 else "left",
            )
    axes.set_xticks(events, [str(count) for count in events])
    axes.set_yticks([10_000, 100_000, 1_000_000], ["10,000", "100,000", "1,000,000"])
    axes.minorticks_off()
    axes.margins(x=0.15, y=0.12)
    axes.legend(frameon=False, loc="upper left")
    axes.set_xlabel("tokens that one read brings")
    axes.set_ylabel("tokens a second of one core")
    axes.set_title("What one core of one instance relays")


def _relay_first_token(axes: Any, figures: dict[str, Any]) -> None:
    ways = {
        "direct": figures["first_token"]["direct_ttft_us"],
        "through an instance": figures["first_token"]["relayed_ttft_us"],
    }
    names = ["p50", "p90", "p99"]
    values = {way: [at[name] / 1000 for name in names] for way, at in ways.items()}
    bars(axes, names, values)
    axes.set_xlabel("percentile of the calls")
    axes.set_ylabel("time to the first token (ms)")
    axes.set_title("First token, direct and through one instance")


def _tail_against_batch(axes: Any, figures: dict[str, Any]) -> None:
    """Each arm is a point: what batch got, against what online suffered."""
    arms = {
        name: arm
        for name, arm in figures.items()
        if isinstance(arm, dict) and "batch_share_of_idle" in arm
    }
    axes.set_yscale("log")
    ordered = sorted(arms.items(), key=lambda item: item[1]["batch_share_of_idle"])
    for number, (name, arm) in enumerate(ordered):
        ours = name.startswith("caperridge")
        x, y = arm["batch_share_of_idle"] * 100, arm["ttft_p99_ms"]
        axes.plot(x, y, "o" if ours else "s", color=BLUE if ours else ORANGE)
        # Neighbours lie close: their labels go above and below in turn.
        axes.annotate(
            name.replace("_", " "),
            (x, y),
            xytext=(0, 8 if number % 2 else -16),
            textcoords="offset points",
            ha="center",
        )
    axes.minorticks_off()
    axes.set_yticks(TAIL_TICKS_MS, [f"{tick:,}" for tick in TAIL_TICKS_MS])
    axes.margins(x=0.12, y=0.2)
    axes.set_xlabel("idle capacity that batch got (%)")
    axes.set_ylabel("online first token at p99 (ms)")
    axes.set_title("Online tail against batch throughput, by policy")


def _modelled_trade(axes: Any, figures: dict[str, Any]) -> None:
    """Each arm has a point for either latency, above what batch got."""
    arms_by_name = {
        name: arm
        for name, arm in figures["modelled"].items()
        if isinstance(arm, dict) and "batch_share_of_idle" in arm
    }
    series = (
        ("first token at p99", "ttft_p99_ratio", BLUE, "o"),
        ("between tokens at p95", "itl_p95_ratio", ORANGE, "s"),
    )
    ordered = sorted(arms_by_name, key=lambda n: arms_by_name[n]["batch_share_of_idle"])
    shares = [100 * arms_by_name[name]["batch_share_of_idle"] for name in ordered]
    for label, field, colour, marker in series:
        ratios = [arms_by_name[name][field] for name in ordered]
        axes.plot(shares, ratios, marker, color=colour, label=label, markersize=7)
    top = 1.0
    for number, (name, share) in enumerate(zip(ordered, shares, strict=True)):
        highest = max(arms_by_name[name][field] for _, field, _, _ in series)
        top = max(top, highest)
        # Neighbours lie close: one label stands higher than the next.
        axes.annotate(
            name.replace("caperridge", "").strip("_").replace("_", " ") or "declared",
            (share, highest),
            xytext=(0, 8 if number % 2 else 24),
            textcoords="offset points",
            ha="center",
        )
    axes.axhline(1.0, color=BLACK, linewidth=1.0, linestyle="--")
    axes.set_ylim(0.99, top + 0.03)
    axes.margins(x=0.15)
    axes.legend(frameon=False, loc="upper left")
    axes.set_xlabel("idle capacity that batch got (%)")
    axes.set_ylabel("latency over that of online alone")
    axes.set_title("Harm and throughput by the engine model, by declared trade")


def _freed_place(axes: Any, figures: dict[str, Any]) -> None:
    arms = figures["freed_place"]
    labels = {"own": "request at the dispatcher", "by_peer": "request at a peer"}
    there = [name for name in labels if arms.get(name, {}).get("preempted")]
    values = {
        "median": [arms[name]["after_p50_ms"] for name in there],
        "latest": [arms[name]["after_most_ms"] for name in there],
    }
    if there:
        bars(axes, [labels[name] for name in there], values)
    axes.axhline(0.0, color=BLACK, linewidth=1.0)
    axes.margins(y=0.2)
    axes.set_ylabel("place freed after the request came (ms)")
    axes.set_title("When a batch stream's place is free; below 0: before")


def _control_shares(axes: Any, figures: dict[str, Any]) -> None:
    target = figures["target"]
    shares_by_name = {
        "processor (2.4% of a core)": target["cpu_share"] / CONTROL_CORE_SHARE,
        "memory (64 MB)": target["rss_mb"] / CONTROL_MB,
        "traffic (17 KB/s)": target["bytes_per_s"] / 1000 / CONTROL_KB_PER_S,
    }
    percents = [100 * share for share in shares_by_name.values()]
    bars(axes, list(shares_by_name), {"share": percents})
    axes.axhline(100, color=BLACK, linewidth=1.5, linestyle="--")
    axes.set_ylim(0, max(115, *percents) * 1.05)
    axes.set_ylabel("share of the limit (%)")
    axes.set_title("Control of one instance, carried to the target size")


DRAW_BY_PLOT_BY_EXPERIMENT: dict[str, dict[str, Draw]] = {
    "control": {"limits": _control_shares},
    "online-tail": {
        "tail-and-batch": _tail_against_batch,
        "modelled": _modelled_trade,
        "freed-place": _freed_place,
    },
    "relay": {"cost": _relay_cost, "first-token": _relay_first_token},
}
# Plots of a part that not every run has.
PART_BY_PLOT = {"modelled": "modelled", "freed-place": "freed_place"}
