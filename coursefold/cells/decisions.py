"""Logs this process's decisions about handovers, and keeps the newest for operators."""

import logging
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from coursefold.cells.messages import Handle
from coursefold.protocol.ids import JobId

log = logging.getLogger(__name__)

MAX_DECISIONS = 200  # kept in memory; the log has all of them


class HandoverStep(StrEnum):
    """A step of a handover; the first five are decided by the home cell, the rest by the guest."""

    OFFER = "offer"
    GRANT = "grant"
    WITHDRAW = "withdraw"
    TAKE_BACK = "take back"
    FINISH = "finish"
    RESERVE = "reserve"
    REFUSE = "refuse"
    RUN = "may run"
    STOP = "stop"
    DROP = "drop"


class Decision(NamedTuple):
    """A step of a job's handover to or from another cell, `cell`."""

    decided_at: float  # time of day
    step: HandoverStep
    job: JobId
    cell: str
    epoch: int
    reservation: str
    reason: str

    def format_line(self) -> str:
        """Return the decision as one line, as it is logged."""
        reservation = f", reservation {self.reservation}" if self.reservation else ""
        why = f": {self.reason}" if self.reason else ""
        return f"{self.step} {self.job}, cell {self.cell}, epoch {self.epoch}{reservation}{why}"


class DecisionLog:
    """Logs decisions, counts them by step, and keeps the newest."""

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self.wall_clock = wall_clock
        self.newest: deque[Decision] = deque(maxlen=MAX_DECISIONS)
        self.counts: Counter[HandoverStep] = Counter()

    def record(self, step: HandoverStep, cell: str, handle: Handle, reason: str = "") -> None:
        """Record a decided step; its commit, if it needs one, may still be in flight."""
        job, epoch, reservation = handle
        decision = Decision(self.wall_clock(), step, job, cell, epoch, reservation, reason)
        self.newest.append(decision)
        self.counts[step] += 1
        log.info("%s", decision.format_line())

    def list_newest(self, limit: int) -> list[dict[str, Any]]:
        """Return up to `limit` newest decisions for the health status, the last one first."""
        newest_first = list(self.newest)[-limit:][::-1]
        return [
            {"at": round(decision.decided_at, 1), "line": decision.format_line()}
            for decision in newest_first
        ]
