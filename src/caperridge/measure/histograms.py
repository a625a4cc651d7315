"""Summaries of the histograms that the library keeps."""

from hdrh.histogram import HdrHistogram

PERCENTILES_BY_NAME = {"p50": 50.0, "p90": 90.0, "p95": 95.0, "p99": 99.0}


def summary(histogram: HdrHistogram) -> dict[str, float]:
    """Return count, mean, percentiles and maximum, in the histogram's unit."""
    shown: dict[str, float] = {
        "count": histogram.get_total_count(),
        "mean": histogram.get_mean_value(),
    }
    for name, percentile in PERCENTILES_BY_NAME.items():
        shown[name] = histogram.get_value_at_percentile(percentile)
    shown["max"] = histogram.get_max_value()
    return shown
