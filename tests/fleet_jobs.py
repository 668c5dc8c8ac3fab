"""Jobs of the simulated cluster and their tasks."""

from typing import Any


class RuleBrokenError(AssertionError):
    """A rule of the protocol was broken in the simulation."""


class Task:
    """One attempt of a task on a worker.

    Attributes:
        number: Index of the task in its job.
        state: Status as in the worker's reports, from "pulling" to "exited".
        cause: Why the task exited; None before.
    """

    def __init__(
        self, job: "UserJob", number: int, attempt: int, created_at: float, fetch_s: float
    ) -> None:
        self.job, self.number, self.attempt = job, number, attempt
        self.ready_at = created_at + fetch_s
        self.state = "pulling"
        self.cause: str | None = None
        self.end_at = 0.0

    @property
    def name(self) -> str:
        return f"{self.job.name}/{self.number}"

    def to_report_row(self) -> dict[str, Any]:
        """Return the task's entry of a worker's report."""
        row: dict[str, Any] = {"Piece": self.name, "Try": self.attempt, "Status": self.state}
        return row | ({"Cause": self.cause} if self.cause else {})


class UserJob:
    """A job and the statuses that its user was told.

    Points in time are -1 before the event.

    Attributes:
        run_s: How long each task runs.
        accepted_at: When the job's acceptance was first confirmed.
        cancelled_at: When the user was first told that the job is cancelled.
        answered_at: When the last response with a status arrived.
        ended_at: When the user was first told that the job is done or cancelled.
        told_status: The last status that the user was told; empty before.
        needs: The prerequisites.
        done: Indices of the tasks that have finished.
        cancel_requested: Whether a user has requested the job's cancellation.
        first_started_at: When a task of the job first started.
    """

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
        """Return whether the user was told that the job is done or cancelled."""
        return self.told_status in ("done", "cancelled")

    def complete(self) -> bool:
        """Return whether all tasks have finished; for a gang, whether one of them has."""
        return bool(self.done) if self.is_gang else len(self.done) == self.size

    def cancellation_told_at(self) -> float:
        """Return when the user was told of the first cancellation of the job or a prerequisite.

        Prerequisites count transitively. The value is -1 if none is cancelled.
        """
        cancellation_times = [
            need.cancellation_told_at() for need in self.needs if need.cancellation_told_at() >= 0
        ]
        if self.told_status == "cancelled" and self.cancel_requested:
            cancellation_times.append(self.cancelled_at)
        return min(cancellation_times, default=-1.0)
