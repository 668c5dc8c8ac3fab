"""What the state service takes, and budgets that keep a node within rates."""

from typing import NamedTuple

from coursefold.protocol.ids import MonotonicTime


class StateServiceLimits(NamedTuple):
    """What the state service takes."""

    txn_ops: int
    value_bytes: int  # bytes
    write_rps: float


class TokenBucket:
    """A token bucket; local, for nodes share the service's rate without asking each other."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.available, self.refilled_at = burst, MonotonicTime(0.0)

    def refill(self, now: MonotonicTime) -> float:
        """Add what has come in since the last look; how much there is."""
        if now > self.refilled_at:
            self.available = min(self.burst, self.available + (now - self.refilled_at) * self.rate)
            self.refilled_at = now
        return self.available

    def spend(self, now: MonotonicTime, amount: float) -> None:
        """Spend an amount."""
        self.refill(now)
        self.available -= amount
