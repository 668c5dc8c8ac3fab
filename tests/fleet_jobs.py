"""Users' jobs and their tasks in the simulated fleet."""

from typing import Any


class RuleBrokenError(AssertionError):
    """A rule of the protocol was broken."""


class Task:
    """A task on a worker."""

    def __init__(self, job: "UserJob", number: int, attempt: int, at: float, fetch: float) -> None:
        self.job, self.number, self.attempt = job, number, attempt
        self.ready_at = at + fetch
        self.state = "pulling"
        self.cause: str | None = None
        self.end_at = 0.0

    @property
    def name(self) -> str:
        return f"{self.job.name}/{self.number}"

    def to_report_row(self) -> dict[str, Any]:
        row: dict[str, Any] = {"Piece": self.name, "Try": self.attempt, "Status": self.state}
        return row | ({"Cause": self.cause} if self.cause else {})


class UserJob:
    """A job and what its user was told."""

    def __init__(self, name: str, body: dict[str, Any], run_s: float) -> None:
        self.name, self.body, self.run_s = name, body, run_s
        self.accepted_at = self.cancelled_at = self.answered_at = self.ended_at = -1.0
        self.told_status = ""
        self.needs: list[UserJob] = []
        self.done: set[int] = set()
        self.cancel_requested = False
        self.first_started_at = -1.0

    @property
    def size(self) -> int:
        return int(self.body["Pieces"])

    @property
    def is_gang(self) -> bool:
        return bool(self.body["Shape"] == "ensemble")

    def has_ended(self) -> bool:
        return self.told_status in ("done", "cancelled")

    def complete(self) -> bool:
        return bool(self.done) if self.is_gang else len(self.done) == self.size

    def cancellation_told_at(self) -> float:
        """When the user was told that it, or a job before it, is cancelled; -1: never."""
        told = [
            need.cancellation_told_at() for need in self.needs if need.cancellation_told_at() >= 0
        ]
        if self.told_status == "cancelled" and self.cancel_requested:
            told.append(self.cancelled_at)
        return min(told, default=-1.0)
