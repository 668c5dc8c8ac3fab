"""The queue: jobs with tasks to place, in the order in which they are served."""

from collections.abc import Callable

from coursefold.coordination.context import Context
from coursefold.coordination.ordering import LONG_WAIT_S, QueueKey, QueueOrder
from coursefold.coordination.quota import QuotaTracker, fits_team_limit
from coursefold.coordination.urgency import PriorityInheritance
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage.records import JobRecord

# What is kept free for a gang that has waited for long is open to other jobs in between:
RESERVATION_S = 75.0
RESERVATION_PAUSE_S = 20.0


class QueuedJob:
    """A job with tasks to place, as it stands in the queue in one round.

    Attributes:
        age_s: Seconds since the job might start.
        is_within_guarantee: Whether its team's use with it stays within its guarantee.
        job: The job's record.
        name: Its name.
        priority: Effective priority; smaller is more important.
        slack_s: Seconds until the next latest start; 0 if there is none.
        sort_key: Its place in the queue.
    """

    __slots__ = ("age_s", "is_within_guarantee", "job", "name", "priority", "slack_s", "sort_key")

    def __init__(
        self,
        name: JobId,
        job: JobRecord,
        is_within_guarantee: bool,
        sort_key: QueueKey,
        priority: int,
        age_s: float,
    ) -> None:
        self.name, self.job, self.is_within_guarantee, self.sort_key = (
            name,
            job,
            is_within_guarantee,
            sort_key,
        )
        self.priority, self.age_s = priority, age_s
        self.slack_s = sort_key.slack_s


def merge_gangs(found: list[QueuedJob]) -> list[QueuedJob]:
    """Return the queue: gangs, small ones first, merged with other jobs regardless of size.

    If gangs and arrays were compared by size, every new array with fewer tasks would go
    before an older gang of three.
    """
    gangs = sorted(
        (w for w in found if w.job.spec.kind == "ensemble"), key=lambda w: w.sort_key, reverse=True
    )
    others = sorted(
        (w for w in found if w.job.spec.kind != "ensemble"), key=lambda w: w.sort_key, reverse=True
    )
    queue: list[QueuedJob] = []
    while gangs and others:
        gang_key = gangs[-1].sort_key._replace(size=0)
        queue.append((gangs if gang_key < others[-1].sort_key else others).pop())
    return queue + gangs[::-1] + others[::-1]


class WaitingQueue:
    """Orders waiting jobs by priority, objectives and age.

    Attributes:
        longest_waiting_gang: The gang that machines are kept free for, or None.
    """

    def __init__(self, ctx: Context, mean_run_s: Callable[[Job], float]) -> None:
        """Takes the expected run time of a job's tasks as `mean_run_s`."""
        self.ctx, self.mean_run_s = ctx, mean_run_s
        self.queue_order = QueueOrder(ctx.settings.params.objectives)
        self.priority_inheritance = PriorityInheritance(ctx, mean_run_s)
        self.longest_waiting_gang: JobId | None = None

    def list_queued_jobs(self, quota: QuotaTracker, reasons: dict[JobId, str]) -> list[QueuedJob]:
        """Return jobs that could start a task now, and add to `reasons` why others could not."""
        ctx = self.ctx
        found = []
        self.longest_waiting_gang = self._find_longest_waiting_gang()
        for name, job in ctx.view.waiting_jobs.items():
            if job.retry_at > ctx.wall_time:
                reasons[name] = "its tasks failed; it is tried again later"
                continue
            if ctx.grants.has_job_grant_expired(job, ctx.now, ctx.wall_time):
                reasons[name] = "its home cell's grant has ended"
                continue
            tasks = job.spec.task_count if job.spec.kind != "array" else 1
            is_within_guarantee = quota.is_within_guarantee(job.spec, tasks)
            run_s = self.mean_run_s(job.spec)
            since = ctx.view.eligible_at(name, job)
            priority, deadline_at = self.priority_inheritance.get_effective_priority(name, job)
            sort_key = self.queue_order.make_key(
                job.spec,
                name,
                ctx.wall_time - since,
                run_s,
                is_within_guarantee,
                name == self.longest_waiting_gang,
                job.waiting_count,
                priority,
                None if deadline_at is None else deadline_at - since,
            )
            found.append(
                QueuedJob(name, job, is_within_guarantee, sort_key, priority, ctx.wall_time - since)
            )
        return merge_gangs(found)

    def _find_longest_waiting_gang(self) -> JobId | None:
        """Return the gang that has waited longest, if it has waited for over `LONG_WAIT_S`."""
        gangs = [
            (self.ctx.view.eligible_at(name, job), name)
            for name, job in self.ctx.view.waiting_jobs.items()
            if job.spec.kind == "ensemble" and job.retry_at <= self.ctx.wall_time
        ]
        since, name = min(gangs, default=(self.ctx.wall_time, None))
        return name if self.ctx.wall_time - since > LONG_WAIT_S else None

    def reserves_quota(self, queued: QueuedJob) -> bool:
        """Return whether the rest of its team's limit is kept for this job.

        That is so for the gang that has waited longest, if its team's replicas leave it
        enough: replicas end only on request, so what they use does not become free. It is
        done for `RESERVATION_S` at a time, with pauses, since the team's other jobs wait
        meanwhile beside free machines and below their limit.
        """
        spec = queued.job.spec
        if (
            queued.name != self.longest_waiting_gang
            or (queued.age_s - LONG_WAIT_S) % (RESERVATION_S + RESERVATION_PAUSE_S) >= RESERVATION_S
        ):
            return False
        replica_usage = [0.0, 0.0]
        for job in self.ctx.view.jobs.values():
            if job.spec.team == spec.team and job.spec.kind == "standing":
                replica_usage[0] += job.spec.cpus * len(job.entries)
                replica_usage[1] += job.spec.gpus * len(job.entries)
        team = next((t for t in self.ctx.settings.params.teams if t.name == spec.team), None)
        return fits_team_limit(team, spec, spec.task_count, replica_usage)
