"""The leader's dealing: which waiting task goes to which owner, and gangs whole.

The leader sees free room everywhere (entries of the records, siblings'
summaries), keeps teams within their limits, orders the queue, and deals. An
owner still chooses the machine in its part; the leader's choice is a hint. A
gang's places are the leader's own decision, on machines lent by their owners.
"""

import logging
from itertools import islice
from math import inf
from typing import NamedTuple

from coursefold.coordination import gangs, jobs, preemption
from coursefold.coordination.context import Context
from coursefold.coordination.demand import RunTimes
from coursefold.coordination.ordering import LONG_WAIT_S
from coursefold.coordination.owner import Owner
from coursefold.coordination.placement import (
    FailedSearches,
    MachineCapacity,
    MachineOffering,
    PlacementSearch,
    fits_machine_type,
)
from coursefold.coordination.quota import QuotaTracker
from coursefold.coordination.waiting import KEEP_S, PAUSE_S, QueuedJob, WaitingQueue
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage.edits import LATER, Edit
from coursefold.storage.records import PLACED, JobRecord, job_key

log = logging.getLogger(__name__)

ENTRY_BYTES = 70
RECORD_BYTES = 1500
PACKED_BYTES = 24  # an entry in a record laid over several keys; measured: 8 to 16
LEAST_DEALT = 200  # tasks of one job that may be dealt in one round
DEALT_SHARE = 0.25  # of the machines, where that is more: rounds take longer with more of them
PATIENT_S = 20.0  # small work leaves room to work with accelerators for so long
NEVER_REFUSED = 1 << 30  # tasks, more than a gang can have
ORPHANS = 8  # endings of jobs that need a cancelled one, written at a time


class Choice(NamedTuple):
    """A room for one task of a job."""

    number: int
    room: MachineCapacity


def may_use(spec: Job, place: MachineOffering) -> bool:
    """May the job's tasks run on such machines: type, zone, spot or ordinary?"""
    return (
        (spec.builds is None or place.machine_type in spec.builds)
        and (spec.zone is None or spec.zone == place.zone)
        and (spec.spot or not place.spot)
    )


class Leader:
    """Deals while this node leads."""

    def __init__(self, ctx: Context, owner: Owner) -> None:
        self.ctx, self.owner = ctx, owner
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
        self.preemption = preemption.Preemption(
            ctx, self.waiting_queue.priority_inheritance.get_priority
        )
        self.available_types: set[str] = set()
        self.in_flight: dict[JobId, set[int]] = {}
        self.failed_searches = FailedSearches()
        self.gangs_refused: dict[tuple[object, ...], int] = {}
        self.why: dict[tuple[object, ...], str] = {}

    def max_entries(self) -> int:
        """As many tasks at once as a record has room for."""
        queue = self.ctx.queue
        if self.ctx.view.level:
            return max(4, queue.limits.value * queue.most_parts() // PACKED_BYTES)
        return max(4, int((queue.limits.value - RECORD_BYTES) / ENTRY_BYTES))

    def list_queued_jobs(self, quota: QuotaTracker) -> list[QueuedJob]:
        """Jobs that could start something now, the most pressing first."""
        return self.waiting_queue.list_queued_jobs(quota, self.waiting_reasons)

    def reserves_quota(self, wait: QueuedJob) -> bool:
        """Is the rest of its team's limit kept for this gang, which has waited longest?"""
        return self.waiting_queue.reserves_quota(wait)

    def tick(self) -> None:
        """One round of dealing, while this node leads."""
        ctx = self.ctx
        if not ctx.is_leading():
            self.requested_machines.clear()
            return
        self._undeal_lost()
        self._end_orphans()
        self.waiting_reasons = {}
        self.jobs_without_capacity.clear()
        self.why.clear()
        self.failed_searches = FailedSearches()
        self.gangs_refused = {}
        self.preemption.begin()
        quota = QuotaTracker(ctx.settings.params.teams, ctx.view.usage)
        for (name, index), (_, spec) in ctx.placements_in_flight.items():
            if ctx.view.entry(JobId(name), index) is None and JobId(name) in ctx.view.jobs:
                quota.add_usage(spec, 1)
        self.in_flight = {}
        for key, index in ctx.placements_in_flight:
            self.in_flight.setdefault(JobId(key), set()).add(index)
        queue = self.list_queued_jobs(quota)
        if queue:
            self._deal_all(queue, quota)
        for machine in [m for m, until in self.requested_machines.items() if until < ctx.now]:
            del self.requested_machines[machine]
        for wait in queue:
            if wait.sort_key.late and wait.name in self.waiting_reasons:
                self.waiting_reasons[wait.name] += "; it is late for its aims"
        self._tell_reasons()

    def _deal_all(self, queue: list[QueuedJob], quota: QuotaTracker) -> None:
        rooms = self.ctx.available_machines()
        self.available_types = {r.type_info.name for r in rooms if not r.spot}
        # Ordinary machines first to those that may use no others: a task that may run
        # on spot machines would sit where a gang or replica could be, and be stopped.
        short = False
        floor = self._floor(rooms)
        small = [wait for wait in queue if not wait.job.spec.gpus]
        large = [wait for wait in queue if wait.job.spec.gpus]
        for wait in large:
            if not wait.job.spec.spot:
                short |= not self._serve(wait, rooms, floor, quota)
        most = rooms
        if short:
            needed = self.ctx.price_index().needed_ordinary_types
            rooms = [r for r in rooms if r.spot or r.type_info.name not in needed]
            floor = self._floor(rooms)
        for wait in large:
            if wait.job.spec.spot:
                self._serve(wait, rooms, floor, quota)
        if not small:
            return
        self._assign_small(small, most, quota)

    def _assign_small(
        self, small: list[QueuedJob], rooms: list[MachineCapacity], quota: QuotaTracker
    ) -> None:
        """Deal work without accelerators: what those with them leave over.

        While they wait for room, it goes only where it keeps none of them out; beside what
        is gathered for a gang too. What has waited for long takes what is free all the same,
        but for the gathered: it needs little, and not for long. Seen on a day with more gangs
        than machines: a tenth of the arrays of a pipeline's second stage waited 269 s.
        """
        for room in rooms:
            room.has_protected_accelerators = bool(self.jobs_without_capacity)
            if room.earmarked_for_gang:
                room.is_unschedulable = False
        floor = self._floor(rooms)
        for wait in small:
            self._serve(wait, rooms, floor, quota)
        patient = [w for w in small if w.name in self.jobs_without_capacity and w.age_s > PATIENT_S]
        if not patient:
            return
        for room in rooms:
            room.has_protected_accelerators = room.earmarked_for_gang
        self.failed_searches, self.gangs_refused = FailedSearches(), {}
        floor = self._floor(rooms)
        for wait in patient:
            self._serve(wait, rooms, floor, quota)

    def _floor(self, rooms: list[MachineCapacity]) -> gangs.GangCandidates:
        """Rooms for gangs; what is lent is lent to this leader, or to one before it."""
        return gangs.GangCandidates(
            r for r in rooms if not r.reserved_for_gang or r.id in self.requested_machines
        )

    def _serve(
        self,
        wait: QueuedJob,
        rooms: list[MachineCapacity],
        floor: gangs.GangCandidates,
        quota: QuotaTracker,
    ) -> bool:
        """Place what can be; False if the job still waits for room."""
        if wait.job.spec.shape == "ensemble" and wait.job.spec.tasks > 1:
            self._gang(wait, floor, quota)
        else:
            self._tasks(wait, rooms, quota)
        return wait.name not in self.jobs_without_capacity

    def _why_no_room(self, job: JobRecord) -> str:
        """In a user's words: machines are booting, the cloud is empty, or all are busy."""
        spec = job.spec
        kind = (tuple(spec.builds or ()), spec.zone, spec.spot)
        found = self.why.get(kind)
        if found is None:
            found = self.why[kind] = self._look_why(spec)
        return found

    def _look_why(self, spec: Job) -> str:
        booting = [place for place in self.booting_offerings if may_use(spec, place)]
        if booting:
            zones = {zone for _, zone, _ in booting}
            where = f" in {zones.pop()}" if len(zones) == 1 else ""
            count = "a machine" if len(booting) == 1 else f"{len(booting)} machines"
            return f"waiting for {count} to boot{where}"
        if any(may_use(spec, place) for place in self.blocked_offerings):
            return "waiting for room on a machine: the cloud has no more of some kinds"
        return "waiting for room on a machine"

    def _tell_reasons(self) -> None:
        """Log why a job waits, once it has waited a while and whenever the reason changes."""
        ctx = self.ctx
        for name, why in self.waiting_reasons.items():
            job = ctx.view.jobs.get(name)
            if (
                job
                and ctx.wall_time - ctx.view.since(name, job) > 5.0
                and self.logged_reasons.get(name) != why
            ):
                log.info("%s waits: %s", name, why)
                self.logged_reasons[name] = why
        for name in [n for n in self.logged_reasons if n not in ctx.view.jobs]:
            del self.logged_reasons[name]

    def _undeal_lost(self) -> None:
        """Deals to owners that are no longer members go back into the queue."""
        ctx = self.ctx
        roster = ctx.view.roster
        for owner, dealt in ctx.view.dealt.items():
            if roster is not None and roster.member(owner) is not None:
                continue
            for (name, index), _ in dealt.items():
                ctx.queue.propose(
                    Edit(
                        job_key(name),
                        jobs.unassign(index, owner),
                        fence=ctx.view.token,
                        tag=f"undeal{index}",
                    )
                )

    def _end_orphans(self) -> None:
        """Write down the endings of jobs that need a cancelled one, a few at a time.

        Every node knows them already, so they wait behind everything else.
        """
        ctx = self.ctx
        for name in islice(ctx.view.needs.doomed, ORPHANS):
            ctx.queue.propose(
                Edit(
                    job_key(name),
                    jobs.cancel_dependent(),
                    rank=LATER,
                    fence=ctx.view.token,
                    tag="orphan",
                )
            )

    def _release(self, name: JobId, job: JobRecord) -> None:
        """What the job needs is done: let its tasks be dealt, in the same transaction."""
        ctx = self.ctx
        if job.needs:
            change = jobs.clear_prerequisites(ctx.view.since(name, job))
            ctx.queue.propose(Edit(job_key(name), change, fence=ctx.view.token, tag="release"))

    def _zones(self, job: JobRecord) -> dict[str, int]:
        zones: dict[str, int] = {}
        for e in job.entries:
            zones[e.zone] = zones.get(e.zone, 0) + 1
        return zones

    def _tasks(self, wait: QueuedJob, rooms: list[MachineCapacity], quota: QuotaTracker) -> None:
        """Deal a job's waiting tasks one by one while room, limit and record allow."""
        spec = wait.job.spec
        under_way = self.in_flight.get(wait.name, set())
        if under_way and (spec.apart or spec.together):
            return  # zones of what is under way are not settled yet
        if self._should_wait_for_type(spec):
            self.waiting_reasons[wait.name] = self._why_no_room(wait.job)
            return
        choices = self._choose_rooms(wait, rooms, quota, under_way)
        if choices:
            self._write_choices(wait.name, wait.job, choices)

    def _choose_rooms(
        self,
        wait: QueuedJob,
        rooms: list[MachineCapacity],
        quota: QuotaTracker,
        under_way: set[int],
    ) -> list[Choice]:
        """Rooms for a job's waiting tasks, as many as there are; a reason if there are too few."""
        job = wait.job
        spec = job.spec
        refused = self.failed_searches.covers(spec)
        most = self._most_to_deal(job, under_way, refused, len(rooms))
        picker: PlacementSearch | None = None
        choices: list[Choice] = []
        for number in job.waiting(most):
            if number in under_way:
                continue
            if not quota.fits_limit(spec, 1):
                self.waiting_reasons[wait.name] = quota.explain_refusal(spec)
                break
            if picker is None and not refused:
                zones = self._zones(job)
                market = self.ctx.price_index()
                picker = PlacementSearch(
                    spec, rooms, zones, avoid=job.failed_on, price_index=market
                )
            room = picker.reserve_best() if picker else None
            if room is None:
                self._finds_no_room(wait, number, rooms, quota, refused)
                break
            quota.add_usage(spec, 1)
            choices.append(Choice(number, room))
        return choices

    def _most_to_deal(
        self, job: JobRecord, under_way: set[int], refused: bool, machines: int
    ) -> int:
        """How many waiting tasks to look at, those under way included."""
        room_left = self.max_entries() - len(job.entries) - len(under_way)
        if room_left <= 0:
            return 0
        most = max(LEAST_DEALT, int(DEALT_SHARE * machines))
        return (1 if refused else min(room_left, most)) + len(under_way)

    def _finds_no_room(
        self,
        wait: QueuedJob,
        number: int,
        rooms: list[MachineCapacity],
        quota: QuotaTracker,
        refused: bool,
    ) -> None:
        """A task finds no room: nothing that needs as much looks again in this round."""
        job = wait.job
        if not (refused or job.spec.apart or job.spec.together):
            self.failed_searches.add(job.spec)
        if wait.age_s <= KEEP_S or not self._pauses():
            self.jobs_without_capacity.add(wait.name)
        self.waiting_reasons[wait.name] = self._why_no_room(job)
        self.preemption.consider(
            wait.name, job, number, rooms, wait.is_within_guarantee, quota, wait.age_s
        )

    def _write_choices(self, name: JobId, job: JobRecord, choices: list[Choice]) -> None:
        """Place on our own machines, and deal the rest to their owners."""
        self._release(name, job)
        self.in_flight.setdefault(name, set()).update(choice.number for choice in choices)
        places: list[jobs.TaskRef] = []
        deals: list[jobs.Assignment] = []
        for number, room in choices:
            if room.owner == self.ctx.own_name:
                places.append(jobs.TaskRef(number, 0, room.zone, room.id, room.session))
            else:
                deals.append(jobs.Assignment(number, room.owner, room.zone, room.id))
        if places:
            self.owner.owner_placement.propose_placement(name, job, places)
        if deals:
            self._deal(name, job, deals)

    def _slack(self, wait: QueuedJob) -> float:
        """How long a start may take for the next aim, once the worker has been told."""
        return wait.slack_s - self.ctx.settings.params.workers.report_s if wait.slack_s else inf

    def _should_wait_for_type(self, spec: Job) -> bool:
        """Should a replica wait for the first machines of the type that it belongs on?

        It stays for long where it starts. Seen: large machines boot first, and at the
        start all replicas took them, for the whole day, from tasks that fit no others.
        """
        best = (
            self.ctx.price_index().find_preferred_type(spec) if spec.shape == "standing" else None
        )
        if best is None or best in self.available_types:
            return False
        return any(build == best and not spot for build, _, spot in self.booting_offerings)

    def _deal(self, name: JobId, job: JobRecord, deals: list[jobs.Assignment]) -> None:
        ctx = self.ctx
        for task in deals:
            ctx.placements_in_flight[(name, task.number)] = (task.machine, job.spec)

        def settled(ok: bool, why: str) -> None:
            for task in deals:
                ctx.placements_in_flight.pop((name, task.number), None)
            log.debug(
                "deal %s: %s: %s", name, ",".join(f"{t.number}:{t.owner}" for t in deals),
                why or "done",
            )  # fmt: skip

        edit = Edit(job_key(name), jobs.assign(deals), fence=ctx.view.token, done=settled)
        ctx.queue.propose(edit)

    def _gang(self, wait: QueuedJob, floor: gangs.GangCandidates, quota: QuotaTracker) -> None:
        """Place a whole gang; machines of other owners have to be lent first."""
        name, job = wait.name, wait.job
        if job.entries:
            self.waiting_reasons[name] = "waiting for the former attempt's tasks to be gone"
            self._end_attempt(name, job)
            return
        if self.ctx.queue.busy(job_key(name)):
            return
        if not quota.fits_limit(job.spec, job.spec.tasks):
            self.waiting_reasons[name] = quota.explain_refusal(job.spec)
            if self.reserves_quota(wait):
                # Else its team's small jobs, which fit what is left, would go on for ever.
                quota.add_usage(job.spec, job.spec.tasks)
            return
        plan = self._plan_gang(wait, floor)
        if plan is None:
            self._gang_finds_no_room(wait, floor, quota)
            return
        for room in plan:
            room.reserve(job.spec)
            room.is_unschedulable = True
        quota.add_usage(job.spec, job.spec.tasks)
        missing = [r for r in plan if r.owner != self.ctx.own_name and not r.reserved_for_gang]
        if missing:
            self.waiting_reasons[name] = "waiting for machines to be lent"
            for room in missing:
                self._want(room)
            return
        self._place_gang(name, job, plan)

    def _plan_gang(
        self, wait: QueuedJob, floor: gangs.GangCandidates
    ) -> list[MachineCapacity] | None:
        """Rooms for the whole gang; None without a look where a smaller one like it had none."""
        spec = wait.job.spec
        kind = (spec.zone, spec.spot, tuple(spec.builds or ()), spec.together)
        key = (*kind, spec.cpus, spec.gpus, spec.memory)
        least_refused = self.gangs_refused.get(key, NEVER_REFUSED)
        plan = None
        if spec.tasks < least_refused:
            rooms = floor.find_fitting(spec)
            plan = gangs.find_gang_placement(spec, rooms, self.ctx.price_index(), self._slack(wait))
        if plan is None:
            self.gangs_refused[key] = min(least_refused, spec.tasks)
        return plan

    def _gang_finds_no_room(
        self, wait: QueuedJob, floor: gangs.GangCandidates, quota: QuotaTracker
    ) -> None:
        """Gather machines for the gang, or stop lesser work, where that can help."""
        name, job = wait.name, wait.job
        self.waiting_reasons[name] = f"{self._why_no_room(job)} ({job.spec.tasks} tasks at once)"
        if self._gathers(wait, floor):
            self.jobs_without_capacity.add(name)
            self._gather(job.spec, floor)
        self.preemption.consider_gang(
            name, job, floor.machines, wait.is_within_guarantee, wait.age_s
        )
        if self.reserves_quota(wait):
            # Seen: machines for it were booting, and what its team's limit had just left
            # free for it went to an array; so it waited again, for seven minutes in all.
            quota.add_usage(job.spec, job.spec.tasks)

    def _place_gang(self, name: JobId, job: JobRecord, plan: list[MachineCapacity]) -> None:
        """Write all places of a gang at once."""
        ctx = self.ctx
        # By owner: the record holds places that differ only by machine as one run.
        places = sorted((r.owner, r.zone, r.id, r.session) for r in plan)

        def settled(ok: bool, why: str) -> None:
            for number in range(job.spec.tasks):
                ctx.placements_in_flight.pop((name, number), None)
            log.info("gang %s on %s: %s", name, ",".join(r.id for r in plan), why or "placed")

        self._release(name, job)
        for number, room in enumerate(plan):
            ctx.placements_in_flight[(name, number)] = (room.id, job.spec)
        edit = Edit(
            job_key(name),
            jobs.place_gang(places),
            fence=ctx.view.token,
            tag="gang",
            done=settled,
        )
        if not ctx.queue.propose(edit):
            settled(False, "under way")

    def _gathers(self, wait: QueuedJob, floor: gangs.GangCandidates) -> bool:
        """Is lesser work kept off machines for this gang, for which there is no room yet?

        Not where it can not come to pass, and one that has waited for very long pauses
        now and then: nobody is to wait for minutes beside a free machine.
        """
        if wait.age_s > LONG_WAIT_S + KEEP_S and self._pauses():
            return False
        return floor.may_fit_eventually(wait.job.spec) or self._may_grow(wait.job.spec)

    def _pauses(self) -> bool:
        """The moments in which old reservations hold nobody back."""
        return self.ctx.wall_time % (KEEP_S + PAUSE_S) >= KEEP_S

    def _may_grow(self, spec: Job) -> bool:
        """Are there machines that the job may use still to come?"""
        catalog = self.ctx.view.catalog
        kinds = [k for k in catalog.builds if fits_machine_type(spec, k)] if catalog else []
        names = {k.name for k in kinds}
        places = {
            MachineOffering(k.name, z, spot)
            for k in kinds
            for z in k.zones
            for spot in (False, True)
        }
        places -= self.blocked_offerings
        places |= {place for place in self.booting_offerings if place.machine_type in names}
        return any(may_use(spec, place) for place in places)

    def _gather(self, spec: Job, floor: gangs.GangCandidates) -> None:
        for room in floor.find_to_earmark(spec) if spec.gpus else ():
            # In this round only: keeps lesser work off.
            room.is_unschedulable = room.earmarked_for_gang = True
            if room.owner != self.ctx.own_name and room.task_count == 0:
                self._want(room)

    def _end_attempt(self, name: JobId, job: JobRecord) -> None:
        """A gang that lost a task: stop the rest, for the next attempt needs them all gone."""
        attempt = job.entries[0].attempt
        if any(e.stage == PLACED for e in job.entries):
            self.ctx.queue.propose(
                Edit(
                    job_key(name),
                    jobs.mark_stopping(None, attempt),
                    fence=self.ctx.view.token,
                    tag=f"end{attempt}",
                )
            )

    def _want(self, room: MachineCapacity) -> None:
        if room.id not in self.requested_machines:
            self.ctx.notify_peers = True
        self.requested_machines[room.id] = self.ctx.now + 2.0
