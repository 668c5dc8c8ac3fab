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

    def row(self) -> dict[str, Any]:
        row: dict[str, Any] = {"Piece": self.name, "Try": self.attempt, "Status": self.state}
        return row | ({"Cause": self.cause} if self.cause else {})


class UserJob:
    """A job and what its user was told."""

    def __init__(self, name: str, body: dict[str, Any], run_s: float) -> None:
        self.name, self.body, self.run_s = name, body, run_s
        self.accepted_at = self.cancelled_at = self.answered_at = self.over_at = -1.0
        self.told = ""
        self.needs: list[UserJob] = []
        self.done: set[int] = set()
        self.cancel = False
        self.first_start = -1.0

    @property
    def size(self) -> int:
        return int(self.body["Pieces"])

    @property
    def gang(self) -> bool:
        return bool(self.body["Shape"] == "ensemble")

    def over(self) -> bool:
        return self.told in ("done", "cancelled")

    def complete(self) -> bool:
        return bool(self.done) if self.gang else len(self.done) == self.size

    def lost(self) -> float:
        """When the user was told that it, or a job before it, is cancelled; -1: never."""
        told = [need.lost() for need in self.needs if need.lost() >= 0]
        if self.told == "cancelled" and self.cancel:
            told.append(self.cancelled_at)
        return min(told, default=-1.0)
