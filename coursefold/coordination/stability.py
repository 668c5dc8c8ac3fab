"""Pool stability: lost machines are replaced at their recent average rate (section 4.2)."""

from collections import deque


class Losses:
    """Average-rate recruitment, used in the hybrid manner.

    The paper rounds the rate by chance; here the fraction is carried over, which
    has the same mean, less variance, and needs no random numbers in the core.
    """

    def __init__(self, window: float = 300.0) -> None:
        self.window = window
        self.times: deque[float] = deque()
        self.carry = 0.0

    def lost(self, now: float, count: int = 1) -> None:
        """Note machines that were lost."""
        self.times.extend([now] * count)

    def rate(self, now: float) -> float:
        """Machines lost per second over the window."""
        while self.times and self.times[0] < now - self.window:
            self.times.popleft()
        return len(self.times) / self.window

    def due(self, now: float, elapsed: float, below_threshold: bool) -> int:
        """Machines to rent now; none while the pool is at its threshold (hybrid rule)."""
        rate = self.rate(now)
        if not below_threshold:
            self.carry = 0.0
            return 0
        self.carry = min(self.carry + rate * elapsed, 5.0)
        whole = int(self.carry)
        self.carry -= whole
        return whole
