"""Pool stability: lost machines are replaced at their recent average rate (section 4.2)."""

from collections import deque


class LossTracker:
    """Average-rate recruitment, used in the hybrid manner.

    The paper rounds the rate by chance; here the fraction is carried over, which
    has the same mean, less variance, and needs no random numbers in the core.
    """

    def __init__(self, window: float = 300.0) -> None:
        self.window_s = window
        self.lost_at: deque[float] = deque()
        self.fraction_due = 0.0

    def record_loss(self, now: float, count: int = 1) -> None:
        """Note machines that were lost."""
        self.lost_at.extend([now] * count)

    def rate_per_s(self, now: float) -> float:
        """Machines lost per second over the window."""
        while self.lost_at and self.lost_at[0] < now - self.window_s:
            self.lost_at.popleft()
        return len(self.lost_at) / self.window_s

    def claim_replacements(self, now: float, elapsed: float, below_threshold: bool) -> int:
        """Machines to rent now; none while the pool is at its threshold (hybrid rule)."""
        rate = self.rate_per_s(now)
        if not below_threshold:
            self.fraction_due = 0.0
            return 0
        self.fraction_due = min(self.fraction_due + rate * elapsed, 5.0)
        whole = int(self.fraction_due)
        self.fraction_due -= whole
        return whole
