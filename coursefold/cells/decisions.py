"""The decisions of this process about jobs that move, for the log and for operators."""

import logging
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from coursefold.cells.messages import Handle
from coursefold.protocol.ids import JobId

log = logging.getLogger(__name__)

MAX_DECISIONS = 200  # the newest, in memory; all are in the log


class HandoverStep(StrEnum):
    """What was decided; the first five by a job's home cell."""

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
    """One step of one job's handover; `cell` is the other one."""

    decided_at: float  # time of day
    step: HandoverStep
    job: JobId
    cell: str
    epoch: int
    reservation: str
    reason: str

    def format_line(self) -> str:
        """In one line, as in the log."""
        reservation = f", reservation {self.reservation}" if self.reservation else ""
        why = f": {self.reason}" if self.reason else ""
        return f"{self.step} {self.job}, cell {self.cell}, epoch {self.epoch}{reservation}{why}"


class DecisionLog:
    """Logs decisions, counts them, and keeps the newest."""

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self.wall_clock = wall_clock
        self.newest: deque[Decision] = deque(maxlen=MAX_DECISIONS)
        self.counts: Counter[HandoverStep] = Counter()

    def record(self, step: HandoverStep, cell: str, handle: Handle, reason: str = "") -> None:
        """A step was decided and is being written."""
        job, epoch, reservation = handle
        decision = Decision(self.wall_clock(), step, job, cell, epoch, reservation, reason)
        self.newest.append(decision)
        self.counts[step] += 1
        log.info("%s", decision.format_line())

    def list_newest(self, limit: int) -> list[dict[str, Any]]:
        """The newest decisions, the last one first, for a controller's condition."""
        found = list(self.newest)[-limit:][::-1]
        return [
            {"at": round(decision.decided_at, 1), "line": decision.format_line()}
            for decision in found
        ]
