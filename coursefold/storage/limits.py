"""Limits of the state service, and a token bucket that keeps a controller within its rate."""

from typing import NamedTuple

from coursefold.protocol.ids import MonotonicTime


class StateServiceLimits(NamedTuple):
    """The largest transaction and value, and the highest rate, that the state service accepts.

    Attributes:
        txn_ops: Changes in one transaction.
        value_bytes: Size of one value.
        write_rps: Changes per second, of all controllers together.
    """

    txn_ops: int
    value_bytes: int
    write_rps: float


class TokenBucket:
    """A token bucket for this controller's part of the state service's rate.

    Each controller keeps its own: they divide the rate between them without asking each other.

    Attributes:
        rate: Amount per second that is added.
        burst: The most that is kept.
        available: What may be spent now; negative after an overdraft.
        refilled_at: When `available` was last brought up to date.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.available, self.refilled_at = burst, MonotonicTime(0.0)

    def refill(self, now: MonotonicTime) -> float:
        """Add what has accrued since the last call, and return what is available."""
        if now > self.refilled_at:
            self.available = min(self.burst, self.available + (now - self.refilled_at) * self.rate)
            self.refilled_at = now
        return self.available

    def spend(self, now: MonotonicTime, amount: float) -> None:
        """Spend an amount, even if less than that is available."""
        self.refill(now)
        self.available -= amount
