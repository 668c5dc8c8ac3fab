"""HDR histograms of durations in milliseconds."""

from typing import NamedTuple

from hdrh.histogram import HdrHistogram

MIN_DURATION_MS = 1
MAX_DURATION_MS = 24 * 3600 * 1000
SIGNIFICANT_DIGITS = 2


class Summary(NamedTuple):
    """Summary of a distribution of durations.

    Attributes:
        total: Count of recorded durations.
        median: Median in seconds.
        p90: 90th percentile in seconds.
        p99: 99th percentile in seconds.
    """

    total: int
    median: float
    p90: float
    p99: float


def new_histogram() -> HdrHistogram:
    """Create an empty histogram from 1 ms to 24 hours, exact to two significant digits."""
    return HdrHistogram(MIN_DURATION_MS, MAX_DURATION_MS, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration; values outside the histogram's range are clamped to it."""
    histogram.record_value(min(MAX_DURATION_MS, max(MIN_DURATION_MS, int(seconds * 1000))))


def summarize(histogram: HdrHistogram) -> Summary:
    """Return the count, median, and 90th and 99th percentiles of a histogram."""
    percentiles = [histogram.get_value_at_percentile(p) / 1000.0 for p in (50, 90, 99)]
    return Summary(histogram.get_total_count(), *percentiles)


def decode_summary(encoded: bytes) -> Summary | None:
    """Return the summary of an encoded histogram, or None if it cannot be decoded."""
    try:
        return summarize(HdrHistogram.decode(encoded))
    except Exception:  # the library passes on any exception of its C code and of zlib
        return None
