"""Teams' limits and guarantees, counted from the job records.

Everything counts that is dealt and not proven gone: a task whose machine is
silent may still be running there.
"""

from collections.abc import Iterable, Mapping

from coursefold.protocol.wire import Job
from coursefold.settings import Team

SLACK = 1e-6


class QuotaTracker:
    """Use by team at one moment; `take` keeps it true within one round of decisions."""

    def __init__(self, teams: Iterable[Team], usage: Mapping[str, list[float]]) -> None:
        """`usage` is what the records' entries take by team; it is copied."""
        self.teams = {team.name: team for team in teams}
        self.used: dict[str, list[float]] = {name: [0.0, 0.0] for name in self.teams}
        for name, used in usage.items():
            self.used[name] = list(used)

    def add_usage(self, spec: Job, tasks: int) -> None:
        """Count tasks as used."""
        used = self.used.setdefault(spec.team, [0.0, 0.0])
        used[0] += spec.cpus * tasks
        used[1] += spec.gpus * tasks

    def fits_limit(self, spec: Job, tasks: int) -> bool:
        """True if the team may use that much more."""
        return fits_team_limit(self.teams.get(spec.team), spec, tasks, self.used.get(spec.team))

    def is_within_guarantee(self, spec: Job, tasks: int) -> bool:
        """True if the team's use with these tasks stays within its guarantee."""
        team = self.teams.get(spec.team)
        if team is None or not (team.cpus or team.gpus):
            return False
        cpus, gpus = self.used.get(spec.team, [0.0, 0.0])
        return (not team.cpus or cpus + spec.cpus * tasks <= team.cpus + SLACK) and (
            not team.gpus or gpus + spec.gpus * tasks <= team.gpus + SLACK
        )

    def explain_refusal(self, spec: Job) -> str:
        """Why no more of the job may start, in its user's words."""
        team = self.teams[spec.team]
        if team.gpus_max and spec.gpus:
            return f"team at its limit of {team.gpus_max:g} GPUs"
        return f"team at its limit of {team.cpus_max:g} CPUs"


def fits_team_limit(
    team: Team | None, spec: Job, tasks: int, used: list[float] | None = None
) -> bool:
    """True if `tasks` tasks on top of `used` stay within the team's limit."""
    if team is None:
        return False
    cpus, gpus = used or (0.0, 0.0)
    return (not team.cpus_max or cpus + spec.cpus * tasks <= team.cpus_max + SLACK) and (
        not team.gpus_max or gpus + spec.gpus * tasks <= team.gpus_max + SLACK
    )
