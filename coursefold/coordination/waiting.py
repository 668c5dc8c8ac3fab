"""Jobs with tasks to deal, in the order in which they are served."""

from collections.abc import Callable

from coursefold.coordination.context import Context
from coursefold.coordination.ordering import LONG_WAIT_S, Order, QueueOrder
from coursefold.coordination.quota import QuotaTracker, fits_team_limit
from coursefold.coordination.urgency import PriorityInheritance
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage.records import JobRecord

KEEP_S = 75.0  # a team's limit is kept for its oldest gang so long at a time
PAUSE_S = 20.0


class QueuedJob:
    """A job with tasks to deal, in queue order."""

    __slots__ = ("age_s", "is_within_guarantee", "job", "name", "priority", "slack_s", "sort_key")

    def __init__(
        self, name: JobId, job: JobRecord, within: bool, order: Order, rank: int, age: float
    ) -> None:
        self.name, self.job, self.is_within_guarantee, self.sort_key = name, job, within, order
        self.priority, self.age_s = rank, age
        self.slack_s = order.slack


def merged(found: list[QueuedJob]) -> list[QueuedJob]:
    """Gangs, the small ones first, merged with all other work by everything but size.

    Seen on real processes: size compared with arrays too, so that every new array
    went before an older gang of three.
    """
    gangs_first = sorted(
        (w for w in found if w.job.spec.shape == "ensemble"), key=lambda w: w.sort_key, reverse=True
    )
    others = sorted(
        (w for w in found if w.job.spec.shape != "ensemble"), key=lambda w: w.sort_key, reverse=True
    )
    queue: list[QueuedJob] = []
    while gangs_first and others:
        gang = gangs_first[-1].sort_key._replace(size=0)
        queue.append((gangs_first if gang < others[-1].sort_key else others).pop())
    return queue + gangs_first[::-1] + others[::-1]


class WaitingQueue:
    """Orders what waits by priority, aims and age."""

    def __init__(self, ctx: Context, mean_run: Callable[[Job], float]) -> None:
        self.ctx, self.mean_run = ctx, mean_run
        self.ordering = QueueOrder(ctx.settings.params.objectives)
        self.priority_inheritance = PriorityInheritance(ctx, mean_run)
        self.first: JobId | None = None  # the gang that room is gathered for

    def list_queued_jobs(self, quota: QuotaTracker, reasons: dict[JobId, str]) -> list[QueuedJob]:
        """Jobs that could start something now; why the others could not is added to `reasons`."""
        ctx = self.ctx
        found = []
        self.first = self._longest()
        for name, job in ctx.view.waiting.items():
            if job.retry_at > ctx.wall_time:
                reasons[name] = "its tasks failed; it is tried again later"
                continue
            if ctx.grants.has_job_grant_expired(job, ctx.now, ctx.wall_time):
                reasons[name] = "its home cell's grant has ended"
                continue
            tasks = job.spec.tasks if job.spec.shape != "array" else 1
            within = quota.is_within_guarantee(job.spec, tasks)
            run = self.mean_run(job.spec)
            since = ctx.view.since(name, job)
            rank, due_at = self.priority_inheritance.get_effective_priority(name, job)
            order = self.ordering.key(
                job.spec,
                name,
                ctx.wall_time - since,
                run,
                within,
                name == self.first,
                job.waiting_count,
                rank,
                None if due_at is None else due_at - since,
            )
            found.append(QueuedJob(name, job, within, order, rank, ctx.wall_time - since))
        return merged(found)

    def _longest(self) -> JobId | None:
        """The gang that has waited longest, if that is so long that room is gathered for it."""
        waits = [
            (self.ctx.view.since(name, job), name)
            for name, job in self.ctx.view.waiting.items()
            if job.spec.shape == "ensemble" and job.retry_at <= self.ctx.wall_time
        ]
        at, name = min(waits, default=(self.ctx.wall_time, None))
        return name if self.ctx.wall_time - at > LONG_WAIT_S else None

    def reserves_quota(self, wait: QueuedJob) -> bool:
        """Is the rest of its team's limit kept for this gang, which has waited longest?

        Only while that can help: replicas end when their user says so, and what they take
        is not waited for. And not for long at a time, for its team's other jobs would
        otherwise wait beside free machines and under their limit.
        """
        spec = wait.job.spec
        if wait.name != self.first or (wait.age_s - LONG_WAIT_S) % (KEEP_S + PAUSE_S) >= KEEP_S:
            return False
        lasting = [0.0, 0.0]
        for job in self.ctx.view.jobs.values():
            if job.spec.team == spec.team and job.spec.shape == "standing":
                lasting[0] += job.spec.cpus * len(job.entries)
                lasting[1] += job.spec.gpus * len(job.entries)
        team = next((t for t in self.ctx.settings.params.teams if t.name == spec.team), None)
        return fits_team_limit(team, spec, spec.tasks, lasting)
