"""Use of CPUs and accelerators by team: as the leader counts it, and as machines report it.

The two are independent. The leader counts the entries of the records and what is about to be
written; that a task is on a machine is known from the machine's reports. More on the machines
than a team's limit allows is a fault, whatever the records say.
"""

import logging
from collections.abc import Mapping
from typing import Any

from coursefold.coordination.context import Context
from coursefold.coordination.quota import NO_USAGE, ResourceUsage, add_usage, usage_of_tasks
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.settings import Team
from coursefold.storage.queue import CommittedJob

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
MIN_EXCESS_S = 2.0  # before a warning: siblings' summaries are older than own reports
MAX_SUMMARY_AGE_S = 3.0


def count_usage_in_flight(ctx: Context) -> dict[str, ResourceUsage]:
    """Return by team what placements and offers in flight use, unless the records show it."""
    totals: dict[str, ResourceUsage] = {}
    for (name, index), (_, spec) in ctx.placements_in_flight.items():
        job_id = JobId(name)
        if ctx.view.find_entry(job_id, index) is None and job_id in ctx.view.jobs:
            add_usage(totals, [(spec.team, usage_of_tasks(spec, 1))])
    for job_id in ctx.offers_in_flight:
        job = ctx.view.jobs.get(job_id)
        if job is not None and not job.is_delegated:
            unfinished = usage_of_tasks(job.spec, job.spec.task_count - job.done_count)
            add_usage(totals, [(job.spec.team, unfinished)])
    return totals


def count_team_usage(ctx: Context) -> dict[str, list[float]]:
    """Return [CPUs, accelerators] by team: by the records, and by what is being written."""
    totals = {team: list(usage) for team, usage in ctx.view.team_usage.items()}
    for team, usage in count_usage_in_flight(ctx).items():
        total = totals.setdefault(team, [0.0, 0.0])
        total[0] += usage.cpus
        total[1] += usage.gpus
    return totals


class TeamUsageMonitor:
    """Logs each change of a team's use, and compares machines' reports with the limits.

    Attributes:
        exceeded_since: By team, since when the machines have reported more than its limit.
        warned_teams: The teams for which that has been logged.
        checked_at: When the reports were last compared with the limits.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.exceeded_since: dict[str, float] = {}
        self.warned_teams: set[str] = set()
        self.checked_at = MonotonicTime(-1e9)
        ctx.queue.on_jobs_committed = self.log_changes

    def _limits(self) -> dict[str, Team]:
        return {team.name: team for team in self.ctx.settings.params.teams}

    def log_changes(self, committed: list[CommittedJob]) -> None:
        """Log the changes of teams' use that a transaction has made."""
        if not log.isEnabledFor(logging.INFO):
            return
        in_flight: Mapping[str, ResourceUsage] | None = None
        for change in committed:
            job = change.after or change.before
            task_count = _count_added_tasks(change)
            if job is None or not task_count:
                continue
            if in_flight is None:
                in_flight = count_usage_in_flight(self.ctx)
            team = job.spec.team
            log.info(
                "team %s: %+g CPUs, %+g GPUs by %s of %s (token %d, revision %d, records read to "
                "%d): %s recorded, %s in flight",
                team,
                job.spec.cpus * task_count,
                job.spec.gpus * task_count,
                " and ".join(sorted({str(e.origin or e.tag or "request") for e in change.edits})),
                change.job,
                self.ctx.view.fencing_token,
                change.revision,
                self.ctx.view.revision,
                ResourceUsage(*self.ctx.view.team_usage.get(team, NO_USAGE)),
                in_flight.get(team, NO_USAGE),
            )

    def count_reported(self) -> dict[str, ResourceUsage]:
        """Return by team what all machines report, as far as this controller hears of it."""
        totals: dict[str, ResourceUsage] = {}
        add_usage(totals, count_own_reported(self.ctx).items())
        ctx = self.ctx
        for peer in ctx.peers.values():
            is_recent = ctx.now - peer.last_frame_at <= MAX_SUMMARY_AGE_S
            if is_recent and peer.token == ctx.view.fencing_token:
                add_usage(totals, peer.reported_usage.items())
        return totals

    def tick(self) -> None:
        """Warn, as the leader, of a team whose tasks on machines exceed its limit."""
        ctx = self.ctx
        if not ctx.is_leading():
            self.exceeded_since.clear()
            self.warned_teams.clear()
            return
        if ctx.now - self.checked_at < CHECK_INTERVAL_S:
            return
        self.checked_at = ctx.now
        reported = self.count_reported()
        for name, team in self._limits().items():
            usage = reported.get(name, NO_USAGE)
            if not usage.exceeds_limit(team):
                self.exceeded_since.pop(name, None)
                self.warned_teams.discard(name)
                continue
            since = self.exceeded_since.setdefault(name, ctx.now)
            if ctx.now - since >= MIN_EXCESS_S and name not in self.warned_teams:
                self.warned_teams.add(name)
                log.warning("team %s exceeds its limit: machines report %s", name, usage)

    def health_status(self) -> dict[str, Any]:
        """Return by team the limits, and the use as counted here and as machines report it."""
        counted = count_team_usage(self.ctx)
        reported = self.count_reported()
        return {
            name: {
                "limit": ResourceUsage(team.cpus_max, team.gpus_max)._asdict(),
                "counted": ResourceUsage(*counted.get(name, NO_USAGE))._asdict(),
                "reported": reported.get(name, NO_USAGE)._asdict(),
            }
            for name, team in self._limits().items()
        }


def _count_added_tasks(change: CommittedJob) -> int:
    """Return how many more tasks count against the team's limit after the change."""
    after = change.after.quota_task_count if change.after else 0
    before = change.before.quota_task_count if change.before else 0
    return after - before


def count_own_reported(ctx: Context) -> dict[str, ResourceUsage]:
    """Return by team what the tasks on own machines use, by the machines' recent reports.

    A machine that has not reported for a while may be gone with its tasks, so it is left out.
    """
    totals: dict[str, ResourceUsage] = {}
    oldest_report_at = ctx.now - ctx.max_report_age_s()
    for machine in ctx.machines.values():
        if machine.reported_usage and machine.last_report_at >= oldest_report_at:
            add_usage(totals, machine.reported_usage.items())
    return totals
