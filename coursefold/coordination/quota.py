"""Limits and guarantees of teams, counted from the job records.

A task counts from its assignment to an owner until its place is confirmed gone: a task on a
machine that no longer reports may still be running there.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from coursefold.protocol.wire import Job
from coursefold.settings import Team

RESOURCE_TOLERANCE = 1e-6  # CPUs or accelerators; absorbs rounding errors of sums


class ResourceUsage(NamedTuple):
    """An amount of CPUs and accelerators."""

    cpus: float = 0.0
    gpus: float = 0.0

    def plus(self, other: "ResourceUsage") -> "ResourceUsage":
        """Return the sum."""
        return ResourceUsage(self.cpus + other.cpus, self.gpus + other.gpus)

    def exceeds_limit(self, team: Team) -> bool:
        """Return whether this is more than the team may use."""
        return bool(
            (team.cpus_max and self.cpus > team.cpus_max + RESOURCE_TOLERANCE)
            or (team.gpus_max and self.gpus > team.gpus_max + RESOURCE_TOLERANCE)
        )

    def __str__(self) -> str:
        return f"{self.cpus:g} CPUs, {self.gpus:g} GPUs"


NO_USAGE = ResourceUsage()


def usage_of_tasks(spec: Job, task_count: int) -> ResourceUsage:
    """Return what that many tasks of the job use."""
    return ResourceUsage(spec.cpus * task_count, spec.gpus * task_count)


def add_usage(
    totals: dict[str, ResourceUsage], amounts: Iterable[tuple[str, ResourceUsage]]
) -> None:
    """Add amounts of teams to the teams' totals."""
    for team, usage in amounts:
        totals[team] = totals.get(team, NO_USAGE).plus(usage)


class QuotaTracker:
    """Use of CPUs and accelerators by team during one round of decisions.

    Attributes:
        teams: The settings' teams by name.
        usage_by_team: [CPUs, accelerators] in use by team, with what this round has added.
    """

    def __init__(self, teams: Iterable[Team], usage: Mapping[str, list[float]]) -> None:
        """Starts from `usage`, what the entries of the records take by team; it is copied."""
        self.teams = {team.name: team for team in teams}
        self.usage_by_team: dict[str, list[float]] = {name: [0.0, 0.0] for name in self.teams}
        for name, used in usage.items():
            self.usage_by_team[name] = list(used)

    def add_usage(self, spec: Job, tasks: int) -> None:
        """Count that many tasks of the job as used by its team."""
        used = self.usage_by_team.setdefault(spec.team, [0.0, 0.0])
        used[0] += spec.cpus * tasks
        used[1] += spec.gpus * tasks

    def fits_limit(self, spec: Job, tasks: int) -> bool:
        """Return whether that many more tasks of the job stay within its team's limit."""
        return fits_team_limit(
            self.teams.get(spec.team), spec, tasks, self.usage_by_team.get(spec.team)
        )

    def is_within_guarantee(self, spec: Job, tasks: int) -> bool:
        """Return whether the team's use with these tasks stays within its guarantee.

        False for a team without a guarantee.
        """
        team = self.teams.get(spec.team)
        if team is None or not (team.cpus or team.gpus):
            return False
        cpus, gpus = self.usage_by_team.get(spec.team, [0.0, 0.0])
        return (not team.cpus or cpus + spec.cpus * tasks <= team.cpus + RESOURCE_TOLERANCE) and (
            not team.gpus or gpus + spec.gpus * tasks <= team.gpus + RESOURCE_TOLERANCE
        )

    def explain_refusal(self, spec: Job) -> str:
        """Return why the team's limit lets no more tasks of the job start, for its user."""
        team = self.teams[spec.team]
        if team.gpus_max and spec.gpus:
            return f"team at its limit of {team.gpus_max:g} GPUs"
        return f"team at its limit of {team.cpus_max:g} CPUs"


def fits_team_limit(
    team: Team | None, spec: Job, tasks: int, used: list[float] | None = None
) -> bool:
    """Return whether `tasks` tasks on top of `used` stay within the team's limit.

    `used` is [CPUs, accelerators]; None counts as nothing. An unknown team may use nothing.
    """
    if team is None:
        return False
    cpus, gpus = used or (0.0, 0.0)
    return (
        not team.cpus_max or cpus + spec.cpus * tasks <= team.cpus_max + RESOURCE_TOLERANCE
    ) and (not team.gpus_max or gpus + spec.gpus * tasks <= team.gpus_max + RESOURCE_TOLERANCE)
