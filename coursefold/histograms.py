"""Distributions of durations, as HDR histograms."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram

MIN_DURATION_MS = 1
MAX_DURATION_MS = 24 * 3600 * 1000
SIGNIFICANT_DIGITS = 2


class Summary(NamedTuple):
    """A distribution of durations, in seconds."""

    total: int
    median: float
    p90: float
    p99: float


def new_histogram() -> HdrHistogram:
    """An empty histogram of milliseconds."""
    return HdrHistogram(MIN_DURATION_MS, MAX_DURATION_MS, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Add one duration; what is out of range counts as the nearest that is not."""
    histogram.record_value(min(MAX_DURATION_MS, max(MIN_DURATION_MS, int(seconds * 1000))))


def summarize(histogram: HdrHistogram) -> Summary:
    """Median and high percentiles."""
    found = [histogram.get_value_at_percentile(p) / 1000.0 for p in (50, 90, 99)]
    return Summary(histogram.get_total_count(), *found)


def decode_summary(encoded: bytes) -> Summary | None:
    """The summary of an encoded histogram; None for what is not one."""
    try:
        return summarize(HdrHistogram.decode(encoded))
    except Exception:  # the library raises whatever its C code or zlib do
        return None
