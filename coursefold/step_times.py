"""Processor time of the steps that a controller runs on its event loop.

While a step runs, nobody gets a response, so its cost shows in the log and on /healthz.
"""

import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager

log = logging.getLogger(__name__)

SLOW_STEP_S = 0.5  # a load balancer's probe fails after 1 s without a response


class StepTimes:
    """Measures steps, keeps the slowest of each kind, and logs those that are slow.

    Attributes:
        slowest_s: Processor time of the slowest step by kind, in seconds.
    """

    def __init__(self) -> None:
        self.slowest_s: dict[str, float] = {}

    @contextmanager
    def measure(self, kind: str) -> Iterator[None]:
        """Measure the enclosed step."""
        started_at = time.process_time()
        try:
            yield
        finally:
            self.record(kind, time.process_time() - started_at)

    def record(self, kind: str, cpu_s: float) -> None:
        """Record the processor time of a step."""
        self.slowest_s[kind] = max(cpu_s, self.slowest_s.get(kind, 0.0))
        if cpu_s >= SLOW_STEP_S:
            log.warning("slow step: %s took %.2f s of processor time", kind, cpu_s)

    def health_status(self) -> dict[str, float]:
        """Return the slowest step of each kind, in milliseconds."""
        return {kind: round(cpu_s * 1000.0, 1) for kind, cpu_s in self.slowest_s.items()}
