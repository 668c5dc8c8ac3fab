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
from coursefold.coordination.demand import Runs
from coursefold.coordination.ordering import LONG_S
from coursefold.coordination.owner import Owner
from coursefold.coordination.placement import Picker, Place, Refused, Room, fits_type
from coursefold.coordination.quota import Quota
from coursefold.coordination.waiting import KEEP_S, PAUSE_S, Waiting, WaitingQueue
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
    room: Room


def may_use(spec: Job, place: Place) -> bool:
    """May the job's tasks run on such machines: type, zone, spot or ordinary?"""
    return (
        (spec.builds is None or place.build in spec.builds)
        and (spec.zone is None or spec.zone == place.zone)
        and (spec.spot or not place.spot)
    )


class Leader:
    """Deals while this node leads."""

    def __init__(self, ctx: Context, owner: Owner) -> None:
        self.ctx, self.owner = ctx, owner
        self.wanted: dict[str, float] = {}
        self.reasons: dict[JobId, str] = {}
        self.short: set[JobId] = set()
        self.booting: list[Place] = []
        self.blocked: set[Place] = set()
        self.logged_reasons: dict[JobId, str] = {}
        self.runs = Runs()
        self.waiting = WaitingQueue(ctx, lambda spec: self.runs.mean(spec, ctx.now))
        self.preemption = preemption.Preemption(ctx, self.waiting.urgency.rank)
        self.up: set[str] = set()
        self.flying: dict[JobId, set[int]] = {}
        self.refused = Refused()
        self.gangs_refused: dict[tuple[object, ...], int] = {}
        self.why: dict[tuple[object, ...], str] = {}

    def most_entries(self) -> int:
        """As many tasks at once as a record has room for."""
        queue = self.ctx.queue
        if self.ctx.view.level:
            return max(4, queue.limits.value * queue.most_parts() // PACKED_BYTES)
        return max(4, int((queue.limits.value - RECORD_BYTES) / ENTRY_BYTES))

    def queue(self, quota: Quota) -> list[Waiting]:
        """Jobs that could start something now, the most pressing first."""
        return self.waiting.queue(quota, self.reasons)

    def keeps_quota(self, wait: Waiting) -> bool:
        """Is the rest of its team's limit kept for this gang, which has waited longest?"""
        return self.waiting.keeps_quota(wait)

    def tick(self) -> None:
        """One round of dealing, while this node leads."""
        ctx = self.ctx
        if not ctx.leading():
            self.wanted.clear()
            return
        self._undeal_lost()
        self._end_orphans()
        self.reasons = {}
        self.short.clear()
        self.why.clear()
        self.refused = Refused()
        self.gangs_refused = {}
        self.preemption.begin()
        quota = Quota(ctx.settings.params.teams, ctx.view.usage)
        for (name, index), (_, spec) in ctx.pending.items():
            if ctx.view.entry(JobId(name), index) is None and JobId(name) in ctx.view.jobs:
                quota.take(spec, 1)
        self.flying = {}
        for key, index in ctx.pending:
            self.flying.setdefault(JobId(key), set()).add(index)
        queue = self.queue(quota)
        if queue:
            self._deal_all(queue, quota)
        for machine in [m for m, until in self.wanted.items() if until < ctx.now]:
            del self.wanted[machine]
        for wait in queue:
            if wait.order.late and wait.name in self.reasons:
                self.reasons[wait.name] += "; it is late for its aims"
        self._tell_reasons()

    def _deal_all(self, queue: list[Waiting], quota: Quota) -> None:
        rooms = self.ctx.rooms()
        self.up = {r.kind.name for r in rooms if not r.spot}
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
            needed = self.ctx.market().needed
            rooms = [r for r in rooms if r.spot or r.kind.name not in needed]
            floor = self._floor(rooms)
        for wait in large:
            if wait.job.spec.spot:
                self._serve(wait, rooms, floor, quota)
        if not small:
            return
        self._deal_small(small, most, quota)

    def _deal_small(self, small: list[Waiting], rooms: list[Room], quota: Quota) -> None:
        """Deal work without accelerators: what those with them leave over.

        While they wait for room, it goes only where it keeps none of them out; beside what
        is gathered for a gang too. What has waited for long takes what is free all the same,
        but for the gathered: it needs little, and not for long. Seen on a day with more gangs
        than machines: a tenth of the arrays of a pipeline's second stage waited 269 s.
        """
        for room in rooms:
            room.kept = bool(self.short)
            if room.reserved:
                room.draining = False
        floor = self._floor(rooms)
        for wait in small:
            self._serve(wait, rooms, floor, quota)
        patient = [w for w in small if w.name in self.short and w.age > PATIENT_S]
        if not patient:
            return
        for room in rooms:
            room.kept = room.reserved
        self.refused, self.gangs_refused = Refused(), {}
        floor = self._floor(rooms)
        for wait in patient:
            self._serve(wait, rooms, floor, quota)

    def _floor(self, rooms: list[Room]) -> gangs.Floor:
        """Rooms for gangs; what is lent is lent to this leader, or to one before it."""
        return gangs.Floor(r for r in rooms if not r.lent or r.id in self.wanted)

    def _serve(self, wait: Waiting, rooms: list[Room], floor: gangs.Floor, quota: Quota) -> bool:
        """Place what can be; False if the job still waits for room."""
        if wait.job.spec.shape == "ensemble" and wait.job.spec.tasks > 1:
            self._gang(wait, floor, quota)
        else:
            self._tasks(wait, rooms, quota)
        return wait.name not in self.short

    def _why_no_room(self, job: JobRecord) -> str:
        """In a user's words: machines are booting, the cloud is empty, or all are busy."""
        spec = job.spec
        kind = (tuple(spec.builds or ()), spec.zone, spec.spot)
        found = self.why.get(kind)
        if found is None:
            found = self.why[kind] = self._look_why(spec)
        return found

    def _look_why(self, spec: Job) -> str:
        booting = [place for place in self.booting if may_use(spec, place)]
        if booting:
            zones = {zone for _, zone, _ in booting}
            where = f" in {zones.pop()}" if len(zones) == 1 else ""
            count = "a machine" if len(booting) == 1 else f"{len(booting)} machines"
            return f"waiting for {count} to boot{where}"
        if any(may_use(spec, place) for place in self.blocked):
            return "waiting for room on a machine: the cloud has no more of some kinds"
        return "waiting for room on a machine"

    def _tell_reasons(self) -> None:
        """Log why a job waits, once it has waited a while and whenever the reason changes."""
        ctx = self.ctx
        for name, why in self.reasons.items():
            job = ctx.view.jobs.get(name)
            if (
                job
                and ctx.wall - ctx.view.since(name, job) > 5.0
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

    def _tasks(self, wait: Waiting, rooms: list[Room], quota: Quota) -> None:
        """Deal a job's waiting tasks one by one while room, limit and record allow."""
        spec = wait.job.spec
        under_way = self.flying.get(wait.name, set())
        if under_way and (spec.apart or spec.together):
            return  # zones of what is under way are not settled yet
        if self._soon(spec):
            self.reasons[wait.name] = self._why_no_room(wait.job)
            return
        choices = self._choose_rooms(wait, rooms, quota, under_way)
        if choices:
            self._write_choices(wait.name, wait.job, choices)

    def _choose_rooms(
        self, wait: Waiting, rooms: list[Room], quota: Quota, under_way: set[int]
    ) -> list[Choice]:
        """Rooms for a job's waiting tasks, as many as there are; a reason if there are too few."""
        job = wait.job
        spec = job.spec
        refused = self.refused.covers(spec)
        most = self._most_to_deal(job, under_way, refused, len(rooms))
        picker: Picker | None = None
        choices: list[Choice] = []
        for number in job.waiting(most):
            if number in under_way:
                continue
            if not quota.fits(spec, 1):
                self.reasons[wait.name] = quota.why_not(spec)
                break
            if picker is None and not refused:
                zones = self._zones(job)
                market = self.ctx.market()
                picker = Picker(spec, rooms, zones, avoid=job.failed_on, market=market)
            room = picker.take() if picker else None
            if room is None:
                self._finds_no_room(wait, number, rooms, quota, refused)
                break
            quota.take(spec, 1)
            choices.append(Choice(number, room))
        return choices

    def _most_to_deal(
        self, job: JobRecord, under_way: set[int], refused: bool, machines: int
    ) -> int:
        """How many waiting tasks to look at, those under way included."""
        room_left = self.most_entries() - len(job.entries) - len(under_way)
        if room_left <= 0:
            return 0
        most = max(LEAST_DEALT, int(DEALT_SHARE * machines))
        return (1 if refused else min(room_left, most)) + len(under_way)

    def _finds_no_room(
        self, wait: Waiting, number: int, rooms: list[Room], quota: Quota, refused: bool
    ) -> None:
        """A task finds no room: nothing that needs as much looks again in this round."""
        job = wait.job
        if not (refused or job.spec.apart or job.spec.together):
            self.refused.add(job.spec)
        if wait.age <= KEEP_S or not self._pauses():
            self.short.add(wait.name)
        self.reasons[wait.name] = self._why_no_room(job)
        self.preemption.consider(wait.name, job, number, rooms, wait.within, quota, wait.age)

    def _write_choices(self, name: JobId, job: JobRecord, choices: list[Choice]) -> None:
        """Place on our own machines, and deal the rest to their owners."""
        self._release(name, job)
        self.flying.setdefault(name, set()).update(choice.number for choice in choices)
        places: list[jobs.TaskRef] = []
        deals: list[jobs.Assignment] = []
        for number, room in choices:
            if room.owner == self.ctx.me:
                places.append(jobs.TaskRef(number, 0, room.zone, room.id, room.session))
            else:
                deals.append(jobs.Assignment(number, room.owner, room.zone, room.id))
        if places:
            self.owner.placing.propose_place(name, job, places)
        if deals:
            self._deal(name, job, deals)

    def _slack(self, wait: Waiting) -> float:
        """How long a start may take for the next aim, once the worker has been told."""
        return wait.slack - self.ctx.settings.params.workers.report_s if wait.slack else inf

    def _soon(self, spec: Job) -> bool:
        """Should a replica wait for the first machines of the type that it belongs on?

        It stays for long where it starts. Seen: large machines boot first, and at the
        start all replicas took them, for the whole day, from tasks that fit no others.
        """
        best = self.ctx.market().best(spec) if spec.shape == "standing" else None
        if best is None or best in self.up:
            return False
        return any(build == best and not spot for build, _, spot in self.booting)

    def _deal(self, name: JobId, job: JobRecord, deals: list[jobs.Assignment]) -> None:
        ctx = self.ctx
        for task in deals:
            ctx.pending[(name, task.number)] = (task.machine, job.spec)

        def settled(ok: bool, why: str) -> None:
            for task in deals:
                ctx.pending.pop((name, task.number), None)
            log.debug(
                "deal %s: %s: %s", name, ",".join(f"{t.number}:{t.owner}" for t in deals),
                why or "done",
            )  # fmt: skip

        edit = Edit(job_key(name), jobs.assign(deals), fence=ctx.view.token, done=settled)
        ctx.queue.propose(edit)

    def _gang(self, wait: Waiting, floor: gangs.Floor, quota: Quota) -> None:
        """Place a whole gang; machines of other owners have to be lent first."""
        name, job = wait.name, wait.job
        if job.entries:
            self.reasons[name] = "waiting for the former attempt's tasks to be gone"
            self._end_attempt(name, job)
            return
        if self.ctx.queue.busy(job_key(name)):
            return
        if not quota.fits(job.spec, job.spec.tasks):
            self.reasons[name] = quota.why_not(job.spec)
            if self.keeps_quota(wait):
                # Else its team's small jobs, which fit what is left, would go on for ever.
                quota.take(job.spec, job.spec.tasks)
            return
        plan = self._plan_gang(wait, floor)
        if plan is None:
            self._gang_finds_no_room(wait, floor, quota)
            return
        for room in plan:
            room.take(job.spec)
            room.draining = True
        quota.take(job.spec, job.spec.tasks)
        missing = [r for r in plan if r.owner != self.ctx.me and not r.lent]
        if missing:
            self.reasons[name] = "waiting for machines to be lent"
            for room in missing:
                self._want(room)
            return
        self._place_gang(name, job, plan)

    def _plan_gang(self, wait: Waiting, floor: gangs.Floor) -> list[Room] | None:
        """Rooms for the whole gang; None without a look where a smaller one like it had none."""
        spec = wait.job.spec
        kind = (spec.zone, spec.spot, tuple(spec.builds or ()), spec.together)
        key = (*kind, spec.cpus, spec.gpus, spec.memory)
        least_refused = self.gangs_refused.get(key, NEVER_REFUSED)
        plan = None
        if spec.tasks < least_refused:
            rooms = floor.holding(spec)
            plan = gangs.fill(spec, rooms, self.ctx.market(), self._slack(wait))
        if plan is None:
            self.gangs_refused[key] = min(least_refused, spec.tasks)
        return plan

    def _gang_finds_no_room(self, wait: Waiting, floor: gangs.Floor, quota: Quota) -> None:
        """Gather machines for the gang, or stop lesser work, where that can help."""
        name, job = wait.name, wait.job
        self.reasons[name] = f"{self._why_no_room(job)} ({job.spec.tasks} tasks at once)"
        if self._gathers(wait, floor):
            self.short.add(name)
            self._gather(job.spec, floor)
        self.preemption.consider_gang(name, job, floor.rooms, wait.within, wait.age)
        if self.keeps_quota(wait):
            # Seen: machines for it were booting, and what its team's limit had just left
            # free for it went to an array; so it waited again, for seven minutes in all.
            quota.take(job.spec, job.spec.tasks)

    def _place_gang(self, name: JobId, job: JobRecord, plan: list[Room]) -> None:
        """Write all places of a gang at once."""
        ctx = self.ctx
        # By owner: the record holds places that differ only by machine as one run.
        places = sorted((r.owner, r.zone, r.id, r.session) for r in plan)

        def settled(ok: bool, why: str) -> None:
            for number in range(job.spec.tasks):
                ctx.pending.pop((name, number), None)
            log.info("gang %s on %s: %s", name, ",".join(r.id for r in plan), why or "placed")

        self._release(name, job)
        for number, room in enumerate(plan):
            ctx.pending[(name, number)] = (room.id, job.spec)
        edit = Edit(
            job_key(name),
            jobs.place_gang(places),
            fence=ctx.view.token,
            tag="gang",
            done=settled,
        )
        if not ctx.queue.propose(edit):
            settled(False, "under way")

    def _gathers(self, wait: Waiting, floor: gangs.Floor) -> bool:
        """Is lesser work kept off machines for this gang, for which there is no room yet?

        Not where it can not come to pass, and one that has waited for very long pauses
        now and then: nobody is to wait for minutes beside a free machine.
        """
        if wait.age > LONG_S + KEEP_S and self._pauses():
            return False
        return floor.possible(wait.job.spec) or self._may_grow(wait.job.spec)

    def _pauses(self) -> bool:
        """The moments in which old reservations hold nobody back."""
        return self.ctx.wall % (KEEP_S + PAUSE_S) >= KEEP_S

    def _may_grow(self, spec: Job) -> bool:
        """Are there machines that the job may use still to come?"""
        catalog = self.ctx.view.catalog
        kinds = [k for k in catalog.builds if fits_type(spec, k)] if catalog else []
        names = {k.name for k in kinds}
        places = {Place(k.name, z, spot) for k in kinds for z in k.zones for spot in (False, True)}
        places -= self.blocked
        places |= {place for place in self.booting if place.build in names}
        return any(may_use(spec, place) for place in places)

    def _gather(self, spec: Job, floor: gangs.Floor) -> None:
        for room in floor.reserve(spec) if spec.gpus else ():
            # In this round only: keeps lesser work off.
            room.draining = room.reserved = True
            if room.owner != self.ctx.me and room.tasks == 0:
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

    def _want(self, room: Room) -> None:
        if room.id not in self.wanted:
            self.ctx.tell = True
        self.wanted[room.id] = self.ctx.now + 2.0
