"""Plots of runs, made to be looked at; needs the ``plots`` extra."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

# Okabe and Ito: told apart also by those who see few colours.
BLUE, ORANGE, GREEN, BLACK = "#0072B2", "#D55E00", "#009E73", "#000000"
SIZE_INCHES = (7.0, 4.2)
DOTS_AN_INCH = 150


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


DRAW_BY_PLOT_BY_EXPERIMENT: dict[str, dict[str, Draw]] = {
    "relay": {"cost": _relay_cost, "first-token": _relay_first_token},
}
