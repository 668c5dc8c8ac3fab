"""What the state service takes, and budgets that keep a node within rates."""

from typing import NamedTuple

from coursefold.protocol.ids import Moment


class Limits(NamedTuple):
    """What the state service takes."""

    txn_ops: int
    value: int  # bytes
    write_rps: float


class Budget:
    """A token bucket; local, for nodes share the service's rate without asking each other."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.level, self.at = burst, Moment(0.0)

    def fill(self, now: Moment) -> float:
        """Add what has come in since the last look; how much there is."""
        if now > self.at:
            self.level = min(self.burst, self.level + (now - self.at) * self.rate)
            self.at = now
        return self.level

    def take(self, now: Moment, amount: float) -> None:
        """Spend an amount."""
        self.fill(now)
        self.level -= amount
