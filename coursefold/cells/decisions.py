"""The decisions of this process about jobs that move, for the log and for operators."""

import logging
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from coursefold.cells.messages import Handle
from coursefold.protocol.ids import JobId

log = logging.getLogger(__name__)

KEPT = 200  # the newest, in memory; all are in the log


class Step(StrEnum):
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

    at: float  # time of day
    step: Step
    job: JobId
    cell: str
    epoch: int
    reservation: str
    why: str

    def line(self) -> str:
        """In one line, as in the log."""
        reservation = f", reservation {self.reservation}" if self.reservation else ""
        why = f": {self.why}" if self.why else ""
        return f"{self.step} {self.job}, cell {self.cell}, epoch {self.epoch}{reservation}{why}"


class DecisionLog:
    """Logs decisions, counts them, and keeps the newest."""

    def __init__(self, wall: Callable[[], float]) -> None:
        self.wall = wall
        self.newest: deque[Decision] = deque(maxlen=KEPT)
        self.counts: Counter[Step] = Counter()

    def note(self, step: Step, cell: str, handle: Handle, why: str = "") -> None:
        """A step was decided and is being written."""
        job, epoch, reservation = handle
        decision = Decision(self.wall(), step, job, cell, epoch, reservation, why)
        self.newest.append(decision)
        self.counts[step] += 1
        log.info("%s", decision.line())

    def shown(self, most: int) -> list[dict[str, Any]]:
        """The newest decisions, the last one first, for a controller's condition."""
        found = list(self.newest)[-most:][::-1]
        return [{"at": round(decision.at, 1), "line": decision.line()} for decision in found]
