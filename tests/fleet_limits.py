"""What teams' tasks on machines use in a simulated cluster, against the teams' limits."""

from collections import defaultdict
from typing import Any

from tests.fleet_jobs import UserJob

TOLERANCE = 1e-6  # CPUs or accelerators; absorbs rounding errors of sums


class TeamUse:
    """CPUs and accelerators that the tasks on machines use, by team."""

    def __init__(self) -> None:
        self.cpus: defaultdict[str, float] = defaultdict(float)
        self.gpus: defaultdict[str, float] = defaultdict(float)

    def add(self, job: UserJob, task_count: int) -> None:
        """Count tasks of the job that started, or with a negative number that have left."""
        team = str(job.body["Owner"])
        self.cpus[team] += task_count * float(job.body["Vcpus"])
        self.gpus[team] += task_count * float(job.body["Accelerators"])


class TeamLimits:
    """What each team may use at most; 0 means no limit."""

    def __init__(self, teams: list[dict[str, Any]]) -> None:
        self.cpus = {team["name"]: float(team.get("cpus_max", 0.0)) for team in teams}
        self.gpus = {team["name"]: float(team.get("gpus_max", 0.0)) for team in teams}

    def find_excess(self, team: str, use: TeamUse) -> str:
        """Return what the team uses beyond its limit, or an empty string."""
        for resource, limits, used in (
            ("CPUs", self.cpus, use.cpus),
            ("GPUs", self.gpus, use.gpus),
        ):
            limit = limits.get(team, 0.0)
            if limit and used[team] > limit + TOLERANCE:
                return f"{used[team]:g} {resource} of at most {limit:g}"
        return ""
