"""Replacement of lost machines at their recent average rate (Cioppino, section 4.2)."""

from collections import deque


class LossTracker:
    """Recent losses of one pool, and the replacements that are due for them.

    The paper rounds the number of replacements randomly. Here the fraction is carried over
    to the next step, which has the same mean and less variance, and needs no random numbers
    in the core.
    """

    def __init__(self, window_s: float = 300.0) -> None:
        self.window_s = window_s
        self.lost_at: deque[float] = deque()  # one time for each machine, oldest first
        self.fraction_due = 0.0  # replacements due but not yet claimed

    def record_loss(self, now: float, count: int = 1) -> None:
        """Record that machines were lost."""
        self.lost_at.extend([now] * count)

    def rate_per_s(self, now: float) -> float:
        """Return the machines lost per second, as a mean over the window."""
        while self.lost_at and self.lost_at[0] < now - self.window_s:
            self.lost_at.popleft()
        return len(self.lost_at) / self.window_s

    def claim_replacements(self, now: float, elapsed_s: float, is_below_target: bool) -> int:
        """Return the machines to rent now for those that were lost, and count them as replaced.

        Args:
            now: Current time.
            elapsed_s: Time since the previous call.
            is_below_target: Whether the pool is smaller than its target. If not, nothing is
                replaced and what was due lapses (the paper's hybrid rule).
        """
        rate = self.rate_per_s(now)
        if not is_below_target:
            self.fraction_due = 0.0
            return 0
        self.fraction_due = min(self.fraction_due + rate * elapsed_s, 5.0)
        whole = int(self.fraction_due)
        self.fraction_due -= whole
        return whole
