"""Preemption: less important tasks are stopped to make room for more important ones.

The stop is written to the victim's record first, with the time that it has to save its
progress. Its resources count as free only once its place is confirmed gone.
"""

import logging
from collections.abc import Callable

from coursefold.coordination import jobs
from coursefold.coordination.context import Context
from coursefold.coordination.placement import MachineCapacity, estimate_fetch_s, may_run_on
from coursefold.coordination.quota import QuotaTracker
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage.edits import Edit
from coursefold.storage.records import LIVE, PLACED, STOPPING, JobRecord, TaskEntry, job_key

log = logging.getLogger(__name__)

REPEAT_S = 12.0  # after victims were chosen: the time that they may take to end
GUARANTEE_DELAY_S = 30.0  # before a team's guarantee stops others: a machine could boot instead
RETRY_S = 2.0  # after a search without result, since it goes through the whole fleet
MAX_SEARCHES = 4  # in one round


class Preemption:
    """Chooses victims, at most once per waiting task until the last choice could take effect.

    Attributes:
        not_before: By job and task: the time before which no other search is made for it.
        search_count: Searches in this round.
    """

    def __init__(self, ctx: Context, get_priority: Callable[[JobId, JobRecord], int]) -> None:
        """Takes the effective priority of a job as `get_priority`; smaller is more important."""
        self.ctx, self.get_priority = ctx, get_priority
        self.not_before: dict[tuple[str, int], float] = {}
        self.search_count = 0

    def start_round(self) -> None:
        """Start a round of assignments."""
        self.search_count = 0
        for key in [k for k, until in self.not_before.items() if until < self.ctx.now]:
            del self.not_before[key]

    def get_delay_s(self, spec: Job) -> float:
        """Return how long a job waits for machines to become free before it stops others."""
        return 0.0 if spec.kind == "standing" else 8.0

    def may_stop(
        self,
        spec: Job,
        priority: int,
        is_within_guarantee: bool,
        victim_name: JobId,
        victim: JobRecord,
        quota: QuotaTracker | None,
        age_s: float,
    ) -> bool:
        """Return whether a job may stop tasks of another one.

        It may stop those of lower priority and, if it is within its team's guarantee, those
        of another team beyond its guarantee. The latter only after `GUARANTEE_DELAY_S`:
        otherwise arrays of two teams within their guarantees would stop one task of a third
        team's after the other, up to a hundred for an array of 41 tasks, which would then
        miss all its objectives.
        """
        if not spec.gpus and victim.spec.gpus:
            return False  # it only fills what tasks with accelerators leave over
        if self.get_priority(victim_name, victim) > priority:
            return True
        return (
            is_within_guarantee
            and quota is not None
            and age_s > GUARANTEE_DELAY_S
            and victim.spec.team != spec.team
            # The guarantee would allow it, but a replica's users notice every second.
            and victim.spec.kind != "standing"
            and not quota.is_within_guarantee(victim.spec, 0)
            and bool(quota.teams[victim.spec.team].gpus or quota.teams[victim.spec.team].cpus)
        )

    def _start_search(self, name: JobId, job: JobRecord, index: int, age_s: float) -> bool:
        """Return whether victims may be searched for a task now, and count the search."""
        if age_s < self.get_delay_s(job.spec):
            return False
        if self.search_count >= MAX_SEARCHES or (name, index) in self.not_before:
            return False
        self.search_count += 1
        self.not_before[(name, index)] = self.ctx.now + RETRY_S
        return True

    def _get_lowest_priority(self, machine: MachineCapacity) -> int:
        """Return the least important priority on a machine, which is the highest number."""
        return self.ctx.view.load_of(machine.id).lowest_priority

    def find_victims(
        self,
        machine: MachineCapacity,
        spec: Job,
        priority: int,
        is_within_guarantee: bool,
        quota: QuotaTracker | None,
        age_s: float,
    ) -> list[tuple[JobId, TaskEntry]] | None:
        """Return the tasks to stop on a machine so that a task fits, the cheapest first.

        None if stopping does not suffice, if the task fits already, or if tasks there are
        being stopped already. Tasks with checkpoints come first, then less important ones,
        then those of newer jobs.
        """
        ctx = self.ctx
        placed = [
            (name, entry, ctx.view.jobs[name])
            for name, entry in ctx.view.entries_on(machine.id)
            if (name, entry.index) not in ctx.placements_in_flight
        ]
        if any(entry.stage == STOPPING for _, entry, _ in placed):
            return None
        candidates = [
            (name, entry, job)
            for name, entry, job in placed
            if entry.stage == PLACED
            and job.status == LIVE
            and (job.spec.kind != "ensemble" or job.spec.task_count == 1)
            and self.may_stop(spec, priority, is_within_guarantee, name, job, quota, age_s)
        ]
        candidates.sort(
            key=lambda c: (
                c[2].spec.checkpoint_interval_s <= 0,
                -self.get_priority(c[0], c[2]),
                -c[2].accepted_at,
            )
        )
        victims: list[tuple[JobId, TaskEntry]] = []
        for name, entry, job in candidates:
            if machine.fits_task(spec):
                break
            machine.release(job.spec)
            victims.append((name, entry))
        is_enough = machine.fits_task(spec)
        for name, _ in victims:
            machine.reserve(ctx.view.jobs[name].spec)
        return victims if is_enough and victims else None

    def preempt_for_task(
        self,
        name: JobId,
        job: JobRecord,
        index: int,
        machines: list[MachineCapacity],
        is_within_guarantee: bool,
        quota: QuotaTracker | None,
        age_s: float,
    ) -> None:
        """Stop tasks on one machine, if that makes room for a task of the job."""
        if not self._start_search(name, job, index, age_s):
            return
        best: list[tuple[JobId, TaskEntry]] | None = None
        lowest_cost_s = 0.0
        priority = self.get_priority(name, job)
        is_guaranteed = is_within_guarantee and quota is not None and age_s > GUARANTEE_DELAY_S
        for machine in machines:
            if not (is_guaranteed or self._get_lowest_priority(machine) > priority):
                continue  # no task there may be stopped
            if (
                machine.is_unschedulable
                or machine.reserved_for_gang
                or not may_run_on(job.spec, machine)
            ):
                continue
            victims = self.find_victims(
                machine, job.spec, priority, is_within_guarantee, quota, age_s
            )
            if victims is None:
                continue
            # A machine that has to fetch the image first would start the task late all the same.
            cost_s = estimate_fetch_s(job.spec, machine) + 10.0 * len(victims)
            if best is None or cost_s < lowest_cost_s:
                best, lowest_cost_s = victims, cost_s
        if best is not None:
            self._stop_victims(name, index, best)

    def preempt_for_gang(
        self,
        name: JobId,
        job: JobRecord,
        machines: list[MachineCapacity],
        is_within_guarantee: bool,
        age_s: float,
    ) -> None:
        """Stop tasks for a gang, only if that makes room for all its tasks.

        Each machine counts for one task; guarantees are not used.
        """
        if not self._start_search(name, job, 0, age_s):
            return
        priority = self.get_priority(name, job)
        machines = [
            machine
            for machine in machines
            if (machine.fits_task(job.spec) or self._get_lowest_priority(machine) > priority)
            and may_run_on(job.spec, machine)
        ]
        if not any(self._get_lowest_priority(machine) > priority for machine in machines):
            return
        zones = sorted({machine.zone for machine in machines}) if job.spec.same_zone else [""]
        for zone in zones:
            chosen: list[tuple[JobId, TaskEntry]] = []
            place_count = 0
            for machine in sorted(machines, key=lambda candidate: -candidate.largest_free_share):
                if zone and machine.zone != zone:
                    continue
                if machine.fits_task(job.spec):
                    place_count += 1
                elif place_count < job.spec.task_count:
                    victims = self.find_victims(
                        machine, job.spec, priority, is_within_guarantee, None, age_s
                    )
                    if victims is not None:
                        chosen.extend(victims)
                        place_count += 1
            if place_count >= job.spec.task_count and chosen:
                self._stop_victims(name, 0, chosen)
                return

    def _stop_victims(
        self, name: JobId, index: int, victims: list[tuple[JobId, TaskEntry]]
    ) -> None:
        ctx = self.ctx
        self.not_before[(name, index)] = ctx.now + REPEAT_S
        for victim, entry in victims:
            log.info("stopping %s/%d to make room for %s", victim, entry.index, name)
            ctx.queue.propose(
                Edit(
                    job_key(victim),
                    jobs.mark_stopping(entry.index, entry.attempt),
                    fencing_token=ctx.view.fencing_token,
                    tag=f"stop{entry.index}",
                )
            )
