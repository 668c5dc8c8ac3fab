"""The leader's decisions: which waiting task goes to which owner, and where gangs run.

The leader knows what is free on all machines, from the entries of the records and the
summaries of its siblings. It keeps teams within their limits, orders the queue and assigns
tasks to the owners of machines. For a single task its choice of a machine is a hint, and the
owner decides. The places of a gang are decided by the leader alone, on machines that their
owners have reserved for it.
"""

import logging
from itertools import islice
from math import inf

from coursefold.coordination import gangs, jobs, preemption
from coursefold.coordination.context import Context
from coursefold.coordination.demand import RunTimes
from coursefold.coordination.ordering import LONG_WAIT_S
from coursefold.coordination.placement import (
    FailedSearches,
    MachineCapacity,
    MachineOffering,
    PlacementSearch,
    fits_machine_type,
)
from coursefold.coordination.placement_proposals import PlacementProposals, TaskPlacement
from coursefold.coordination.quota import QuotaTracker
from coursefold.coordination.team_usage import count_team_usage
from coursefold.coordination.waiting import (
    RESERVATION_PAUSE_S,
    RESERVATION_S,
    QueuedJob,
    WaitingQueue,
)
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage.edits import LOW_PRIORITY, Edit, EditOrigin
from coursefold.storage.records import PLACED, JobRecord, job_key

log = logging.getLogger(__name__)

ENTRY_BYTES = 70  # one entry of a record that fits one key
RECORD_BYTES = 1500  # such a record without its entries
PACKED_ENTRY_BYTES = 24  # one entry of a record spread over several keys; 8 to 16 are usual
MIN_ROUND_TASKS = 200  # tasks of one job that may always be assigned in one round
ROUND_TASKS_PER_MACHINE = 0.25  # where that is more: rounds of larger fleets take longer
ACCELERATOR_PRECEDENCE_S = 20.0  # a waiting job without accelerators is held back this long
UNWRITABLE_PAUSE_S = 120.0  # before a gang whose record got too large is planned again
NO_FAILED_GANG_TASKS = 1 << 30  # more tasks than a gang can have
MAX_DEPENDENT_ENDINGS = 8  # proposed in one round, for jobs that need a cancelled one


def may_use_offering(spec: Job, offering: MachineOffering) -> bool:
    """Return whether the job allows the offering's machine type, zone and spot."""
    return (
        (spec.machine_types is None or offering.machine_type in spec.machine_types)
        and (spec.zone is None or spec.zone == offering.zone)
        and (spec.may_use_spot or not offering.spot)
    )


class Leader:
    """Assigns tasks while this controller leads.

    Attributes:
        requested_machines: Machines that their owners are asked to keep free, for gangs or
            returns, and until when.
        waiting_reasons: Why each waiting job waits, in its user's words.
        jobs_without_capacity: Jobs that found no machine in this round and hold others back.
        booting_offerings: What the machines that boot were rented as, once for each machine.
        blocked_offerings: What the cloud has refused for lack of capacity a moment ago.
        logged_reasons: The reason last logged for each waiting job.
        run_times: Run times of finished tasks by class.
        waiting_queue: Orders the jobs that have tasks to place.
        proposals: Proposes the edits that assign and place tasks.
        preemption: Stops less important tasks.
        available_types: Types of which an ordinary machine takes tasks.
        in_flight: By job, the tasks whose assignment or placement is being written.
        failed_searches: What found no machine in this round.
        smallest_failed_gangs: By needs, the size of the smallest gang that did not fit.
        unwritable_until: Gangs that are not planned, since their record would be too large.
        no_capacity_reasons: By choice of machines, the reason for waiting in this round.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.requested_machines: dict[str, float] = {}
        self.waiting_reasons: dict[JobId, str] = {}
        self.jobs_without_capacity: set[JobId] = set()
        self.booting_offerings: list[MachineOffering] = []
        self.blocked_offerings: set[MachineOffering] = set()
        self.logged_reasons: dict[JobId, str] = {}
        self.run_times = RunTimes()
        self.waiting_queue = WaitingQueue(
            ctx, lambda spec: self.run_times.mean_run_s(spec, ctx.now)
        )
        self.proposals = PlacementProposals(ctx)
        self.preemption = preemption.Preemption(
            ctx, self.waiting_queue.priority_inheritance.get_priority
        )
        self.available_types: set[str] = set()
        self.in_flight: dict[JobId, set[int]] = {}
        self.failed_searches = FailedSearches()
        self.smallest_failed_gangs: dict[tuple[object, ...], int] = {}
        self.unwritable_until: dict[JobId, float] = {}
        self.no_capacity_reasons: dict[tuple[object, ...], str] = {}

    def max_entries(self) -> int:
        """Return how many tasks at once the record of one job has room for."""
        queue = self.ctx.queue
        if self.ctx.view.format_level:
            return max(4, queue.limits.value_bytes * queue.max_parts() // PACKED_ENTRY_BYTES)
        return max(4, int((queue.limits.value_bytes - RECORD_BYTES) / ENTRY_BYTES))

    def is_unwritable(self, name: JobId) -> bool:
        """Return whether a gang's record would be too large with all its tasks in it."""
        return self.ctx.now < self.unwritable_until.get(name, 0.0)

    def _pause_unwritable(self, name: JobId) -> None:
        """Plan a gang no more for a while, since its record would be too large."""
        self.unwritable_until[name] = self.ctx.now + UNWRITABLE_PAUSE_S

    def list_queued_jobs(self, quota: QuotaTracker) -> list[QueuedJob]:
        """Return the jobs that could start a task now, the most urgent first."""
        return self.waiting_queue.list_queued_jobs(quota, self.waiting_reasons)

    def reserves_quota(self, queued: QueuedJob) -> bool:
        """Return whether the rest of its team's limit is kept for this job."""
        return self.waiting_queue.reserves_quota(queued)

    def tick(self) -> None:
        """Run one round of assignments if this controller leads."""
        ctx = self.ctx
        if not ctx.is_leading():
            self.requested_machines.clear()
            return
        self._unassign_from_departed()
        self._propose_dependent_endings()
        self.waiting_reasons = {}
        self.jobs_without_capacity.clear()
        self.no_capacity_reasons.clear()
        self.failed_searches = FailedSearches()
        self.smallest_failed_gangs = {}
        self.preemption.start_round()
        quota = QuotaTracker(ctx.settings.params.teams, count_team_usage(ctx))
        self.unwritable_until = {
            name: until for name, until in self.unwritable_until.items() if until > ctx.now
        }
        self.in_flight = {}
        for key, index in ctx.placements_in_flight:
            self.in_flight.setdefault(JobId(key), set()).add(index)
        queue = self.list_queued_jobs(quota)
        if queue:
            self._assign_all(queue, quota)
        for machine in [m for m, until in self.requested_machines.items() if until < ctx.now]:
            del self.requested_machines[machine]
        for queued in queue:
            if queued.sort_key.is_late and queued.name in self.waiting_reasons:
                self.waiting_reasons[queued.name] += "; it is late for its aims"
        self._log_waiting_reasons()

    def _assign_all(self, queue: list[QueuedJob], quota: QuotaTracker) -> None:
        machines = self.ctx.available_machines()
        self.available_types = {m.type_info.name for m in machines if not m.spot}
        # Ordinary machines go first to jobs that may use no others: a task that may run on
        # spot machines would take the place of a gang or replica, and be stopped for it.
        lacks_capacity = False
        candidates = self._make_gang_candidates(machines)
        without_accelerators = [queued for queued in queue if not queued.job.spec.gpus]
        with_accelerators = [queued for queued in queue if queued.job.spec.gpus]
        for queued in with_accelerators:
            if not queued.job.spec.may_use_spot:
                lacks_capacity |= not self._serve_job(queued, machines, candidates, quota)
        all_machines = machines
        if lacks_capacity:
            needed_types = self.ctx.price_index().needed_ordinary_types
            machines = [m for m in machines if m.spot or m.type_info.name not in needed_types]
            candidates = self._make_gang_candidates(machines)
        for queued in with_accelerators:
            if queued.job.spec.may_use_spot:
                self._serve_job(queued, machines, candidates, quota)
        if not without_accelerators:
            return
        self._assign_small(without_accelerators, all_machines, quota)

    def _assign_small(
        self, jobs_to_place: list[QueuedJob], machines: list[MachineCapacity], quota: QuotaTracker
    ) -> None:
        """Assign tasks without accelerators to what those with accelerators leave over.

        While jobs with accelerators wait, these tasks go only where they keep none of them
        out; that includes machines earmarked for a gang. After `ACCELERATOR_PRECEDENCE_S`
        they take any free room except on earmarked machines, since they need little and not
        for long. Without that, on a day with more gangs than machines, a tenth of the arrays
        of a pipeline's second stage waited for 269 s.
        """
        for machine in machines:
            machine.has_protected_accelerators = bool(self.jobs_without_capacity)
            if machine.earmarked_for_gang:
                machine.is_unschedulable = False
        candidates = self._make_gang_candidates(machines)
        for queued in jobs_to_place:
            self._serve_job(queued, machines, candidates, quota)
        overdue = [
            queued
            for queued in jobs_to_place
            if queued.name in self.jobs_without_capacity and queued.age_s > ACCELERATOR_PRECEDENCE_S
        ]
        if not overdue:
            return
        for machine in machines:
            machine.has_protected_accelerators = machine.earmarked_for_gang
        self.failed_searches, self.smallest_failed_gangs = FailedSearches(), {}
        candidates = self._make_gang_candidates(machines)
        for queued in overdue:
            self._serve_job(queued, machines, candidates, quota)

    def _make_gang_candidates(self, machines: list[MachineCapacity]) -> gangs.GangCandidates:
        """Return the machines for gangs.

        A reserved machine counts only if this leader has requested it, since it may be
        reserved for a former leader.
        """
        return gangs.GangCandidates(
            m for m in machines if not m.reserved_for_gang or m.id in self.requested_machines
        )

    def _serve_job(
        self,
        queued: QueuedJob,
        machines: list[MachineCapacity],
        candidates: gangs.GangCandidates,
        quota: QuotaTracker,
    ) -> bool:
        """Place what can be placed of a job; return False if it lacks machines."""
        if queued.job.spec.kind == "ensemble" and queued.job.spec.task_count > 1:
            self._serve_gang(queued, candidates, quota)
        else:
            self._serve_tasks(queued, machines, quota)
        return queued.name not in self.jobs_without_capacity

    def _explain_no_capacity(self, job: JobRecord) -> str:
        """Return, in its user's words, why no machine has room for a task of the job."""
        spec = job.spec
        key = (tuple(spec.machine_types or ()), spec.zone, spec.may_use_spot)
        reason = self.no_capacity_reasons.get(key)
        if reason is None:
            reason = self.no_capacity_reasons[key] = self._find_no_capacity_reason(spec)
        return reason

    def _find_no_capacity_reason(self, spec: Job) -> str:
        booting = [o for o in self.booting_offerings if may_use_offering(spec, o)]
        if booting:
            zones = {zone for _, zone, _ in booting}
            where = f" in {zones.pop()}" if len(zones) == 1 else ""
            count = "a machine" if len(booting) == 1 else f"{len(booting)} machines"
            return f"waiting for {count} to boot{where}"
        if any(may_use_offering(spec, offering) for offering in self.blocked_offerings):
            return "waiting for room on a machine: the cloud has no more of some kinds"
        return "waiting for room on a machine"

    def _log_waiting_reasons(self) -> None:
        """Log why a job waits, once it has waited for 5 s and whenever the reason changes."""
        ctx = self.ctx
        for name, reason in self.waiting_reasons.items():
            job = ctx.view.jobs.get(name)
            if (
                job
                and ctx.wall_time - ctx.view.eligible_at(name, job) > 5.0
                and self.logged_reasons.get(name) != reason
            ):
                log.info("job %s waits: %s", name, reason)
                self.logged_reasons[name] = reason
        for name in [n for n in self.logged_reasons if n not in ctx.view.jobs]:
            del self.logged_reasons[name]

    def _unassign_from_departed(self) -> None:
        """Return tasks to the queue that are assigned to owners no longer in the roster."""
        ctx = self.ctx
        roster = ctx.view.roster
        for owner, assigned in ctx.view.assigned_tasks.items():
            if roster is not None and roster.find_member(owner) is not None:
                continue
            for (name, index), _ in assigned.items():
                ctx.queue.propose(
                    Edit(
                        job_key(name),
                        jobs.unassign(index, owner),
                        fencing_token=ctx.view.fencing_token,
                        tag=f"undeal{index}",
                        origin=EditOrigin("undeal", ctx.own_name),
                    )
                )

    def _propose_dependent_endings(self) -> None:
        """Propose the endings of jobs that need a cancelled one, a few at a time.

        All controllers derive these endings from the records, so writing them is never urgent.
        """
        ctx = self.ctx
        for name in islice(ctx.view.prerequisites.cancelled, MAX_DEPENDENT_ENDINGS):
            ctx.queue.propose(
                Edit(
                    job_key(name),
                    jobs.cancel_dependent(),
                    priority=LOW_PRIORITY,
                    fencing_token=ctx.view.fencing_token,
                    tag="orphan",
                )
            )

    def _count_tasks_by_zone(self, job: JobRecord) -> dict[str, int]:
        counts: dict[str, int] = {}
        for entry in job.entries:
            counts[entry.zone] = counts.get(entry.zone, 0) + 1
        return counts

    def _serve_tasks(
        self, queued: QueuedJob, machines: list[MachineCapacity], quota: QuotaTracker
    ) -> None:
        """Place a job's waiting tasks one by one while machines, limit and record allow."""
        spec = queued.job.spec
        in_flight = self.in_flight.get(queued.name, set())
        if in_flight and (spec.spread_zones or spec.same_zone):
            return  # the zones of tasks in flight are not certain yet
        if self._should_wait_for_type(spec):
            self.waiting_reasons[queued.name] = self._explain_no_capacity(queued.job)
            return
        placements = self._choose_machines(queued, machines, quota, in_flight)
        if placements:
            self.in_flight.setdefault(queued.name, set()).update(p.number for p in placements)
            self.proposals.place_tasks(queued.name, queued.job, placements)

    def _choose_machines(
        self,
        queued: QueuedJob,
        machines: list[MachineCapacity],
        quota: QuotaTracker,
        in_flight: set[int],
    ) -> list[TaskPlacement]:
        """Return machines for as many waiting tasks as possible.

        A reason for waiting is recorded if some tasks get none.
        """
        job = queued.job
        spec = job.spec
        has_failed = self.failed_searches.covers(spec)
        max_tasks = self._get_max_tasks(job, in_flight, has_failed, len(machines))
        search: PlacementSearch | None = None
        placements: list[TaskPlacement] = []
        for number in job.waiting_indices(max_tasks):
            if number in in_flight:
                continue
            if not quota.fits_limit(spec, 1):
                self.waiting_reasons[queued.name] = quota.explain_refusal(spec)
                break
            if search is None and not has_failed:
                tasks_by_zone = self._count_tasks_by_zone(job)
                price_index = self.ctx.price_index()
                search = PlacementSearch(
                    spec, machines, tasks_by_zone, avoid=job.failed_on, price_index=price_index
                )
            machine = search.reserve_best() if search else None
            if machine is None:
                self._handle_no_capacity(queued, number, machines, quota, has_failed)
                break
            quota.add_usage(spec, 1)
            placements.append(TaskPlacement(number, machine))
        return placements

    def _get_max_tasks(
        self, job: JobRecord, in_flight: set[int], has_failed: bool, machine_count: int
    ) -> int:
        """Return how many waiting tasks to consider in this round, with those in flight."""
        free_entries = self.max_entries() - len(job.entries) - len(in_flight)
        if free_entries <= 0:
            return 0
        round_tasks = max(MIN_ROUND_TASKS, int(ROUND_TASKS_PER_MACHINE * machine_count))
        return (1 if has_failed else min(free_entries, round_tasks)) + len(in_flight)

    def _handle_no_capacity(
        self,
        queued: QueuedJob,
        number: int,
        machines: list[MachineCapacity],
        quota: QuotaTracker,
        has_failed: bool,
    ) -> None:
        """Record that a task found no machine, and preempt others for it where that may be.

        Tasks that need as much are not searched for again in this round. A job that has
        waited for over `RESERVATION_S` holds no others back during pauses.
        """
        job = queued.job
        if not (has_failed or job.spec.spread_zones or job.spec.same_zone):
            self.failed_searches.add(job.spec)
        if queued.age_s <= RESERVATION_S or not self._is_reservation_pause():
            self.jobs_without_capacity.add(queued.name)
        self.waiting_reasons[queued.name] = self._explain_no_capacity(job)
        self.preemption.preempt_for_task(
            queued.name, job, number, machines, queued.is_within_guarantee, quota, queued.age_s
        )

    def _get_start_slack_s(self, queued: QueuedJob) -> float:
        """Return how long the start may take on the worker for the job's next objective.

        Infinite without one. The worker may learn of the task only with its next report.
        """
        return queued.slack_s - self.ctx.settings.params.workers.report_s if queued.slack_s else inf

    def _should_wait_for_type(self, spec: Job) -> bool:
        """Return whether a replica waits for the first machine of its preferred type.

        A replica stays for long where it starts. Large machines boot first; without this,
        all replicas take them when a cell starts, for the whole day, from tasks that fit on
        no other type.
        """
        preferred = (
            self.ctx.price_index().find_preferred_type(spec) if spec.kind == "standing" else None
        )
        if preferred is None or preferred in self.available_types:
            return False
        return any(
            machine_type == preferred and not spot
            for machine_type, _, spot in self.booting_offerings
        )

    def _serve_gang(
        self, queued: QueuedJob, candidates: gangs.GangCandidates, quota: QuotaTracker
    ) -> None:
        """Place a whole gang, once the owners of its machines have reserved them for it."""
        name, job = queued.name, queued.job
        if job.entries:
            self.waiting_reasons[name] = "waiting for the former attempt's tasks to be gone"
            self._stop_attempt(name, job)
            return
        if self.ctx.queue.is_busy(job_key(name)):
            return
        if self.is_unwritable(name):
            self.waiting_reasons[name] = "its record has no room for all its tasks at once"
            return
        if not quota.fits_limit(job.spec, job.spec.task_count):
            self.waiting_reasons[name] = quota.explain_refusal(job.spec)
            if self.reserves_quota(queued):
                # Otherwise its team's small jobs, which fit what is left of the limit, would
                # keep taking it.
                quota.add_usage(job.spec, job.spec.task_count)
            return
        plan = self._plan_gang(queued, candidates)
        if plan is None:
            self._handle_gang_without_capacity(queued, candidates, quota)
            return
        for machine in plan:
            machine.reserve(job.spec)
            machine.is_unschedulable = True
        quota.add_usage(job.spec, job.spec.task_count)
        unreserved = [m for m in plan if m.owner != self.ctx.own_name and not m.reserved_for_gang]
        if unreserved:
            self.waiting_reasons[name] = "waiting for machines to be lent"
            for machine in unreserved:
                self._request_machine(machine)
            return
        self.proposals.place_gang(name, job, plan, lambda: self._pause_unwritable(name))

    def _plan_gang(
        self, queued: QueuedJob, candidates: gangs.GangCandidates
    ) -> list[MachineCapacity] | None:
        """Return machines for the whole gang, or None.

        Nothing is searched if a gang with the same needs and no more tasks has not fitted.
        """
        spec = queued.job.spec
        constraints = (
            spec.zone,
            spec.may_use_spot,
            tuple(spec.machine_types or ()),
            spec.same_zone,
        )
        key = (*constraints, spec.cpus, spec.gpus, spec.memory_gb)
        smallest_failed = self.smallest_failed_gangs.get(key, NO_FAILED_GANG_TASKS)
        plan = None
        if spec.task_count < smallest_failed:
            machines = candidates.find_fitting(spec)
            plan = gangs.find_gang_placement(
                spec, machines, self.ctx.price_index(), self._get_start_slack_s(queued)
            )
        if plan is None:
            self.smallest_failed_gangs[key] = min(smallest_failed, spec.task_count)
        return plan

    def _handle_gang_without_capacity(
        self, queued: QueuedJob, candidates: gangs.GangCandidates, quota: QuotaTracker
    ) -> None:
        """Earmark machines for a gang that does not fit, or preempt for it, if that can help."""
        name, job = queued.name, queued.job
        self.waiting_reasons[name] = (
            f"{self._explain_no_capacity(job)} ({job.spec.task_count} tasks at once)"
        )
        if self._may_earmark(queued, candidates):
            self.jobs_without_capacity.add(name)
            self._earmark_machines(job.spec, candidates)
        self.preemption.preempt_for_gang(
            name, job, candidates.machines, queued.is_within_guarantee, queued.age_s
        )
        if self.reserves_quota(queued):
            # Its machines may be booting. Otherwise an array could take what the team's limit
            # has just left free for the gang, which then waits again, for 7 minutes in all.
            quota.add_usage(job.spec, job.spec.task_count)

    def _may_earmark(self, queued: QueuedJob, candidates: gangs.GangCandidates) -> bool:
        """Return whether less important tasks are kept off machines for a gang.

        Not for a gang that could never be placed. For one that has waited for very long
        there are pauses, so that no other job waits for minutes beside a free machine.
        """
        if queued.age_s > LONG_WAIT_S + RESERVATION_S and self._is_reservation_pause():
            return False
        return candidates.may_fit_eventually(queued.job.spec) or self._may_get_machines(
            queued.job.spec
        )

    def _is_reservation_pause(self) -> bool:
        """Return whether jobs that have waited for long hold no others back just now."""
        return self.ctx.wall_time % (RESERVATION_S + RESERVATION_PAUSE_S) >= RESERVATION_S

    def _may_get_machines(self, spec: Job) -> bool:
        """Return whether machines that the job may use are booting or could be rented."""
        catalog = self.ctx.view.catalog
        types = [t for t in catalog.machine_types if fits_machine_type(spec, t)] if catalog else []
        names = {t.name for t in types}
        offerings = {
            MachineOffering(t.name, zone, spot)
            for t in types
            for zone in t.zones
            for spot in (False, True)
        }
        offerings -= self.blocked_offerings
        offerings |= {o for o in self.booting_offerings if o.machine_type in names}
        return any(may_use_offering(spec, offering) for offering in offerings)

    def _earmark_machines(self, spec: Job, candidates: gangs.GangCandidates) -> None:
        """Keep less important tasks off the emptiest machines, in this round only."""
        for machine in candidates.find_to_earmark(spec) if spec.gpus else ():
            machine.is_unschedulable = machine.earmarked_for_gang = True
            if machine.owner != self.ctx.own_name and machine.task_count == 0:
                self._request_machine(machine)

    def _stop_attempt(self, name: JobId, job: JobRecord) -> None:
        """Stop the rest of a gang that lost a task; its next attempt needs them all gone."""
        attempt = job.entries[0].attempt
        if any(entry.stage == PLACED for entry in job.entries):
            self.ctx.queue.propose(
                Edit(
                    job_key(name),
                    jobs.mark_stopping(None, attempt),
                    fencing_token=self.ctx.view.fencing_token,
                    tag=f"end{attempt}",
                )
            )

    def _request_machine(self, machine: MachineCapacity) -> None:
        """Ask a machine's owner to reserve it, for 2 s if the request is not repeated."""
        if machine.id not in self.requested_machines:
            self.ctx.notify_peers = True
        self.requested_machines[machine.id] = self.ctx.now + 2.0
