"""Measured waits until jobs start, and how far the model's expectations are off."""

from collections import deque
from typing import NamedTuple

from coursefold.histograms import new_histogram, record_seconds
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.storage import records
from coursefold.storage.records import JobRecord
from coursefold.storage.view import View

MAX_SAMPLES = 200  # of the newest jobs, for the correction
MIN_SAMPLES = 20
MIN_CORRECTION_FACTOR, MAX_CORRECTION_FACTOR = 0.5, 3.0
RATIO_OFFSET_S = 1.0  # added on both sides of the ratio: short waits are all noise
CHECK_INTERVAL_S = 2.0


class WaitEstimate(NamedTuple):
    """What the model said of a job when it was first seen waiting, and when that was."""

    eligible_at: float  # from when the job's wait counts
    estimated_at: float
    expected_s: float


def _has_started(job: JobRecord) -> bool:
    return bool(job.entries or job.done_ranges)


class WaitTracker:
    """Waits of this cell's own jobs, and the factor that corrects the model by them."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.histogram = new_histogram()
        self.estimates: dict[JobId, WaitEstimate] = {}
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self.checked_at = MonotonicTime(-1e9)

    def record_estimate(self, name: JobId, wall_time: float, expected_s: float) -> None:
        """Note the model's first word on a waiting job of which nothing has started."""
        job = self.view.jobs.get(name)
        if job is not None and name not in self.estimates and not _has_started(job):
            self.estimates[name] = WaitEstimate(
                self.view.eligible_at(name, job), wall_time, expected_s
            )

    def record_started_jobs(self, now: MonotonicTime, wall_time: float) -> None:
        """Note which of the jobs that waited have started."""
        if now - self.checked_at < CHECK_INTERVAL_S:
            return
        self.checked_at = now
        for name, estimate in list(self.estimates.items()):
            job = self.view.jobs.get(name)
            if job is not None and not _has_started(job) and not job.is_delegated:
                continue
            del self.estimates[name]
            if job is None or job.status != records.LIVE or job.is_delegated:
                continue  # it ended unseen, was cancelled, or waits elsewhere
            waited_s = max(0.0, wall_time - estimate.eligible_at)
            record_seconds(self.histogram, waited_s)
            self.samples.append((max(0.0, wall_time - estimate.estimated_at), estimate.expected_s))

    @property
    def correction_factor(self) -> float:
        """Measured waits over expected ones; 1 until enough jobs have started."""
        if len(self.samples) < MIN_SAMPLES:
            return 1.0
        measured_s = RATIO_OFFSET_S + sum(waited_s for waited_s, _ in self.samples) / len(
            self.samples
        )
        modelled_s = RATIO_OFFSET_S + sum(seconds for _, seconds in self.samples) / len(
            self.samples
        )
        return min(MAX_CORRECTION_FACTOR, max(MIN_CORRECTION_FACTOR, measured_s / modelled_s))

    def encode_histogram(self) -> bytes:
        """The histogram for other cells; empty while it is."""
        return bytes(self.histogram.encode()) if self.histogram.get_total_count() else b""
