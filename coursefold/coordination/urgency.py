"""How urgent a job is for the sake of those that need it.

A pipeline's user sets priority and deadline on its last job only. So a job is treated
as the most urgent of those that need it, directly or through others, and has to be over
early enough for each of them to run before its own latest end.
"""

from collections.abc import Callable
from typing import NamedTuple

from coursefold.coordination.context import Context
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import RANKS, Job
from coursefold.storage.records import JobRecord

FRESH_S = 10.0  # run times change slowly
GUEST_PATIENCE_S = 120.0  # then another cell's job has its own priority here
LEAST_URGENT = max(RANKS.values())


class EffectivePriority(NamedTuple):
    """Priority (smaller is more important), and when the job has to be over, if at all."""

    priority: int
    deadline_at: float | None


class PriorityInheritance:
    """Found once for each job, until who needs whom changes or run times may have."""

    def __init__(self, ctx: Context, run: Callable[[Job], float]) -> None:
        self.ctx, self.run = ctx, run
        self.known: dict[JobId, EffectivePriority] = {}
        self.version = -1
        self.at = -1e9

    def get_effective_priority(self, name: JobId, job: JobRecord) -> EffectivePriority:
        """Priority and latest end of a job, for the sake of those that need it too."""
        needs = self.ctx.view.needs
        if needs.version != self.version or self.ctx.now - self.at > FRESH_S:
            self.known.clear()
            self.version, self.at = needs.version, self.ctx.now
        if name not in needs.by:
            return self._own(job)
        return self._along(name)

    def get_priority(self, name: JobId, job: JobRecord) -> int:
        """Priority of a job, smaller is more important."""
        return self.get_effective_priority(name, job).priority

    def _own(self, job: JobRecord) -> EffectivePriority:
        due = job.spec.due
        rank = RANKS[job.spec.rank]
        if job.guest is not None and self.ctx.wall_time - job.guest.at < GUEST_PATIENCE_S:
            # A cell's own work goes first, but guests do not starve behind it.
            rank = LEAST_URGENT
        return EffectivePriority(rank, None if due is None else job.at + due)

    def _along(self, first: JobId) -> EffectivePriority:
        """Depth first without recursion: a chain may be as long as its user likes."""
        view = self.ctx.view
        stack = [first]
        while stack:
            name = stack[-1]
            if name in self.known:
                stack.pop()
                continue
            after = [j for j in view.needs.by.get(name, ()) if not view.needs.is_doomed(j)]
            missing = [j for j in after if j not in self.known]
            if missing:
                stack.extend(missing)
                continue
            stack.pop()
            urgent = self._own(view.jobs[name]) if name in view.jobs else EffectivePriority(3, None)
            for later in after:
                rank, deadline_at = self.known[later]
                if deadline_at is not None:
                    deadline_at -= self._takes(view.jobs[later].spec)
                if urgent.deadline_at is not None:
                    deadline_at = (
                        urgent.deadline_at
                        if deadline_at is None
                        else min(deadline_at, urgent.deadline_at)
                    )
                urgent = EffectivePriority(min(rank, urgent.priority), deadline_at)
            self.known[name] = urgent
        return self.known[first]

    def _takes(self, spec: Job) -> float:
        """From the moment when a job may start until it is known to be over."""
        fetch = 0.0
        for kind in self.ctx.view.catalog.builds if self.ctx.view.catalog else ():
            if kind.fetch:
                fetch = max(fetch, spec.image_gb / kind.fetch)
        return self.run(spec) + fetch + 2.0 * self.ctx.settings.params.workers.report_s
