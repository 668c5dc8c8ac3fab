"""Measured waits until jobs start, and how far the model's expectations are off."""

from collections import deque
from typing import NamedTuple

from coursefold.histograms import new_histogram, record_seconds
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.storage import records
from coursefold.storage.records import JobRecord
from coursefold.storage.view import View

SAMPLES = 200  # of the newest jobs, for the correction
LEAST_SAMPLES = 20
LEAST_FACTOR, MOST_FACTOR = 0.5, 3.0
GRACE_S = 1.0  # added on both sides of the ratio: short waits are all noise
LOOKED_AT_S = 2.0


class Expected(NamedTuple):
    """What the model said of a job when it was first seen waiting, and when that was."""

    since: float  # from when the job's wait counts
    at: float
    seconds: float


def _has_started(job: JobRecord) -> bool:
    return bool(job.entries or job.done_ranges)


class WaitLog:
    """Waits of this cell's own jobs, and the factor that corrects the model by them."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.histogram = new_histogram()
        self.expected: dict[JobId, Expected] = {}
        self.pairs: deque[tuple[float, float]] = deque(maxlen=SAMPLES)
        self.looked_at = MonotonicTime(-1e9)

    def expect(self, name: JobId, wall: float, seconds: float) -> None:
        """Note the model's first word on a waiting job of which nothing has started."""
        job = self.view.jobs.get(name)
        if job is not None and name not in self.expected and not _has_started(job):
            self.expected[name] = Expected(self.view.eligible_at(name, job), wall, seconds)

    def look(self, now: MonotonicTime, wall: float) -> None:
        """Note which of the jobs that waited have started."""
        if now - self.looked_at < LOOKED_AT_S:
            return
        self.looked_at = now
        for name, expected in list(self.expected.items()):
            job = self.view.jobs.get(name)
            if job is not None and not _has_started(job) and not job.is_delegated:
                continue
            del self.expected[name]
            if job is None or job.status != records.LIVE or job.is_delegated:
                continue  # it ended unseen, was cancelled, or waits elsewhere
            waited = max(0.0, wall - expected.since)
            record_seconds(self.histogram, waited)
            self.pairs.append((max(0.0, wall - expected.at), expected.seconds))

    @property
    def factor(self) -> float:
        """Measured waits over expected ones; 1 until enough jobs have started."""
        if len(self.pairs) < LEAST_SAMPLES:
            return 1.0
        measured = GRACE_S + sum(waited for waited, _ in self.pairs) / len(self.pairs)
        modelled = GRACE_S + sum(seconds for _, seconds in self.pairs) / len(self.pairs)
        return min(MOST_FACTOR, max(LEAST_FACTOR, measured / modelled))

    def encoded(self) -> bytes:
        """The histogram for other cells; empty while it is."""
        return bytes(self.histogram.encode()) if self.histogram.get_total_count() else b""
