"""Priority inheritance: a job is as urgent as the jobs that need it.

A pipeline's user sets priority and deadline on its last job only. So a job is treated as the
most important of those that need it, directly or through others, and has to be over early
enough for each of them to run before its own deadline.
"""

from collections.abc import Callable
from typing import NamedTuple

from coursefold.coordination.context import Context
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import PRIORITY_ORDER, Job
from coursefold.storage.records import JobRecord

CACHE_S = 10.0  # run times change slowly
GUEST_DELAY_S = 120.0  # from then on another cell's job has its own priority here
LOWEST_PRIORITY = max(PRIORITY_ORDER.values())


class EffectivePriority(NamedTuple):
    """A job's priority and deadline with those of the jobs that need it.

    Attributes:
        priority: Smaller is more important.
        deadline_at: Wall time at which the job has to be over; None without a deadline.
    """

    priority: int
    deadline_at: float | None


class PriorityInheritance:
    """Computes effective priorities.

    They are cached until the dependencies between jobs change, and for `CACHE_S` at most,
    since expected run times may change.
    """

    def __init__(self, ctx: Context, estimate_run_s: Callable[[Job], float]) -> None:
        self.ctx, self.estimate_run_s = ctx, estimate_run_s
        self.cache: dict[JobId, EffectivePriority] = {}
        self.cache_version = -1
        self.cached_at = -1e9

    def get_effective_priority(self, name: JobId, job: JobRecord) -> EffectivePriority:
        """Return priority and deadline of a job, with those of the jobs that need it."""
        needs = self.ctx.view.prerequisites
        if needs.version != self.cache_version or self.ctx.now - self.cached_at > CACHE_S:
            self.cache.clear()
            self.cache_version, self.cached_at = needs.version, self.ctx.now
        if name not in needs.dependents:
            return self._get_own_priority(job)
        return self._inherit_priority(name)

    def get_priority(self, name: JobId, job: JobRecord) -> int:
        """Return the effective priority of a job; smaller is more important."""
        return self.get_effective_priority(name, job).priority

    def _get_own_priority(self, job: JobRecord) -> EffectivePriority:
        deadline_s = job.spec.deadline_s
        priority = PRIORITY_ORDER[job.spec.priority]
        if (
            job.guest is not None
            and self.ctx.wall_time - job.guest.stage_started_at < GUEST_DELAY_S
        ):
            # A cell's own jobs go first, but other cells' jobs must not starve behind them.
            priority = LOWEST_PRIORITY
        return EffectivePriority(
            priority, None if deadline_s is None else job.accepted_at + deadline_s
        )

    def _inherit_priority(self, first: JobId) -> EffectivePriority:
        """Search depth first, without recursion since users may submit chains of any length."""
        view = self.ctx.view
        stack = [first]
        while stack:
            name = stack[-1]
            if name in self.cache:
                stack.pop()
                continue
            dependents = [
                j
                for j in view.prerequisites.dependents.get(name, ())
                if not view.prerequisites.is_cancelled(j)
            ]
            missing = [j for j in dependents if j not in self.cache]
            if missing:
                stack.extend(missing)
                continue
            stack.pop()
            effective = (
                self._get_own_priority(view.jobs[name])
                if name in view.jobs
                else EffectivePriority(3, None)
            )
            for dependent in dependents:
                priority, deadline_at = self.cache[dependent]
                if deadline_at is not None:
                    deadline_at -= self._estimate_duration_s(view.jobs[dependent].spec)
                if effective.deadline_at is not None:
                    deadline_at = (
                        effective.deadline_at
                        if deadline_at is None
                        else min(deadline_at, effective.deadline_at)
                    )
                effective = EffectivePriority(min(priority, effective.priority), deadline_at)
            self.cache[name] = effective
        return self.cache[first]

    def _estimate_duration_s(self, spec: Job) -> float:
        """Return the seconds from when a job may start until its end is known."""
        fetch_s = 0.0
        for type_info in self.ctx.view.catalog.machine_types if self.ctx.view.catalog else ():
            if type_info.fetch_gb_per_s:
                fetch_s = max(fetch_s, spec.image_gb / type_info.fetch_gb_per_s)
        return self.estimate_run_s(spec) + fetch_s + 2.0 * self.ctx.settings.params.workers.report_s
