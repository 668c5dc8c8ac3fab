"""Measures waits until jobs start, and corrects the model's estimates by them."""

from collections import deque
from typing import NamedTuple

from coursefold.histograms import new_histogram, record_seconds
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.storage import records
from coursefold.storage.records import JobRecord
from coursefold.storage.view import View

MAX_SAMPLES = 200  # started jobs that the correction is computed from, the newest ones
MIN_SAMPLES = 20  # with fewer there is no correction
MIN_CORRECTION_FACTOR, MAX_CORRECTION_FACTOR = 0.5, 3.0
RATIO_OFFSET_S = 1.0  # added to both means of the ratio, as very short waits are mostly noise
CHECK_INTERVAL_S = 2.0


class WaitEstimate(NamedTuple):
    """The model's estimate for a job when it was first seen waiting."""

    eligible_at: float  # start of the job's wait, time of day
    estimated_at: float  # time of day
    expected_s: float  # further wait from `estimated_at` on


def _has_started(job: JobRecord) -> bool:
    """Return whether any task of the job has been placed or is done."""
    return bool(job.entries or job.done_ranges)


class WaitTracker:
    """Tracks the waits of this cell's own jobs.

    Attributes:
        histogram: Measured waits of all jobs since the start of this process.
        estimates: Estimates for jobs that have not started.
        samples: Measured and estimated wait of the newest started jobs, each in seconds and
            counted from the time of the estimate.
    """

    def __init__(self, view: View) -> None:
        self.view = view
        self.histogram = new_histogram()
        self.estimates: dict[JobId, WaitEstimate] = {}
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self.checked_at = MonotonicTime(-1e9)

    def record_estimate(self, name: JobId, wall_time: float, expected_s: float) -> None:
        """Record the first estimate for a waiting job of which no task has started."""
        job = self.view.jobs.get(name)
        if job is not None and name not in self.estimates and not _has_started(job):
            self.estimates[name] = WaitEstimate(
                self.view.eligible_at(name, job), wall_time, expected_s
            )

    def record_started_jobs(self, now: MonotonicTime, wall_time: float) -> None:
        """Record the waits of jobs that have started since the last call."""
        if now - self.checked_at < CHECK_INTERVAL_S:
            return
        self.checked_at = now
        for name, estimate in list(self.estimates.items()):
            job = self.view.jobs.get(name)
            if job is not None and not _has_started(job) and not job.is_delegated:
                continue
            del self.estimates[name]
            if job is None or job.status != records.LIVE or job.is_delegated:
                continue  # it ended between two checks, was cancelled, or waits in another cell
            waited_s = max(0.0, wall_time - estimate.eligible_at)
            record_seconds(self.histogram, waited_s)
            self.samples.append((max(0.0, wall_time - estimate.estimated_at), estimate.expected_s))

    @property
    def correction_factor(self) -> float:
        """Ratio of measured to estimated waits, within bounds; 1 until enough jobs have started."""
        if len(self.samples) < MIN_SAMPLES:
            return 1.0
        measured_s = RATIO_OFFSET_S + sum(waited_s for waited_s, _ in self.samples) / len(
            self.samples
        )
        modelled_s = RATIO_OFFSET_S + sum(expected_s for _, expected_s in self.samples) / len(
            self.samples
        )
        return min(MAX_CORRECTION_FACTOR, max(MIN_CORRECTION_FACTOR, measured_s / modelled_s))

    def encode_histogram(self) -> bytes:
        """Return the encoded histogram for other cells; empty bytes if it has no values."""
        return bytes(self.histogram.encode()) if self.histogram.get_total_count() else b""
