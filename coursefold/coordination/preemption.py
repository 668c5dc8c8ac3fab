"""Making room for more important work by stopping less important work.

The stop is written to the victim's record first, with its grace for saving;
the room counts as free only once the victim is proven gone.
"""

import logging
from collections.abc import Callable

from coursefold.coordination import jobs
from coursefold.coordination.context import Context
from coursefold.coordination.placement import MachineCapacity, fetch_time, may_run_on
from coursefold.coordination.quota import QuotaTracker
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage.edits import Edit
from coursefold.storage.records import LIVE, PLACED, STOPPING, Entry, JobRecord, job_key

log = logging.getLogger(__name__)

AGAIN_S = 12.0
GUARANTEE_S = 30.0
RETRY_S = 2.0  # after a look that found nothing: it walks the whole fleet
LOOKS = 4  # in one round


class Preemption:
    """Chooses victims; one plan per waiting task until it had time to work."""

    def __init__(self, ctx: Context, rank: Callable[[JobId, JobRecord], int]) -> None:
        self.ctx, self.rank = ctx, rank
        self.plans: dict[tuple[str, int], float] = {}
        self.looks = 0

    def begin(self) -> None:
        """A new round of dealing."""
        self.looks = 0
        for key in [k for k, until in self.plans.items() if until < self.ctx.now]:
            del self.plans[key]

    def patience(self, spec: Job) -> float:
        """Replicas wait for nothing; other work gives machines a while to free up."""
        return 0.0 if spec.shape == "standing" else 8.0

    def may_stop(
        self,
        spec: Job,
        rank: int,
        within: bool,
        name: JobId,
        victim: JobRecord,
        quota: QuotaTracker | None,
        age: float,
    ) -> bool:
        """The protocol's rule: a lower rank, or another team's work beyond its guarantee.

        The latter only after a machine could have booted instead. Seen: arrays of two
        teams within their guarantees stopped one task of a third's after the other, up
        to a hundred for an array of 41, and it was late for all its aims.
        """
        if not spec.gpus and victim.spec.gpus:
            return False  # it uses what work with accelerators leaves over
        if self.rank(name, victim) > rank:
            return True
        return (
            within
            and quota is not None
            and age > GUARANTEE_S
            and victim.spec.team != spec.team
            # The rule would allow it, but a replica's users notice every second.
            and victim.spec.shape != "standing"
            and not quota.is_within_guarantee(victim.spec, 0)
            and bool(quota.teams[victim.spec.team].gpus or quota.teams[victim.spec.team].cpus)
        )

    def _ready(self, name: JobId, job: JobRecord, index: int, age: float) -> bool:
        if age < self.patience(job.spec):
            return False
        if self.looks >= LOOKS or (name, index) in self.plans:
            return False
        self.looks += 1
        self.plans[(name, index)] = self.ctx.now + RETRY_S
        return True

    def _lowest(self, room: MachineCapacity) -> int:
        """The least important rank on a machine, which is the highest number."""
        return self.ctx.view.load(room.id).lowest

    def victims(
        self,
        room: MachineCapacity,
        spec: Job,
        rank: int,
        within: bool,
        quota: QuotaTracker | None,
        age: float,
    ) -> list[tuple[JobId, Entry]] | None:
        """The fewest and cheapest tasks to stop on a machine, or None if that is not enough."""
        ctx = self.ctx
        on = [
            (name, e, ctx.view.jobs[name])
            for name, e in ctx.view.on_machine(room.id)
            if (name, e.index) not in ctx.placements_in_flight
        ]
        if any(e.stage == STOPPING for _, e, _ in on):
            return None  # room is being made here already
        able = [
            (name, e, job)
            for name, e, job in on
            if e.stage == PLACED
            and job.status == LIVE
            and (job.spec.shape != "ensemble" or job.spec.tasks == 1)
            and self.may_stop(spec, rank, within, name, job, quota, age)
        ]
        able.sort(key=lambda v: (v[2].spec.checkpoint <= 0, -self.rank(v[0], v[2]), -v[2].at))
        chosen: list[tuple[JobId, Entry]] = []
        for name, e, job in able:
            if room.fits_task(spec):
                break
            room.release(job.spec)
            chosen.append((name, e))
        enough = room.fits_task(spec)
        for name, _ in chosen:
            room.reserve(ctx.view.jobs[name].spec)
        return chosen if enough and chosen else None

    def consider(
        self,
        name: JobId,
        job: JobRecord,
        index: int,
        rooms: list[MachineCapacity],
        within: bool,
        quota: QuotaTracker | None,
        age: float,
    ) -> None:
        """Make room for one task, if stopping others can."""
        if not self._ready(name, job, index, age):
            return
        best: list[tuple[JobId, Entry]] | None = None
        least = 0.0
        rank = self.rank(name, job)
        owed = within and quota is not None and age > GUARANTEE_S
        for room in rooms:
            if not (owed or self._lowest(room) > rank):
                continue  # nothing there that this may stop
            if room.is_unschedulable or room.reserved_for_gang or not may_run_on(job.spec, room):
                continue
            found = self.victims(room, job.spec, rank, within, quota, age)
            if found is None:
                continue
            # A place whose image has to come first is taken late all the same.
            price = fetch_time(job.spec, room) + 10.0 * len(found)
            if best is None or price < least:
                best, least = found, price
        if best is not None:
            self._stop(name, index, best)

    def consider_gang(
        self, name: JobId, job: JobRecord, rooms: list[MachineCapacity], within: bool, age: float
    ) -> None:
        """Make room for a gang: only if every missing place can be freed."""
        if not self._ready(name, job, 0, age):
            return
        rank = self.rank(name, job)
        rooms = [
            r
            for r in rooms
            if (r.fits_task(job.spec) or self._lowest(r) > rank) and may_run_on(job.spec, r)
        ]
        if not any(self._lowest(r) > rank for r in rooms):
            return
        zones = sorted({r.zone for r in rooms}) if job.spec.together else [""]
        for zone in zones:
            chosen: list[tuple[JobId, Entry]] = []
            places = 0
            for room in sorted(rooms, key=lambda r: -r.largest_free_share):
                if zone and room.zone != zone:
                    continue
                if room.fits_task(job.spec):
                    places += 1
                elif places < job.spec.tasks:
                    found = self.victims(room, job.spec, rank, within, None, age)
                    if found is not None:
                        chosen.extend(found)
                        places += 1
            if places >= job.spec.tasks and chosen:
                self._stop(name, 0, chosen)
                return

    def _stop(self, name: JobId, index: int, victims: list[tuple[JobId, Entry]]) -> None:
        ctx = self.ctx
        self.plans[(name, index)] = ctx.now + AGAIN_S
        for victim, entry in victims:
            log.info("stop %s/%d for %s", victim, entry.index, name)
            ctx.queue.propose(
                Edit(
                    job_key(victim),
                    jobs.mark_stopping(entry.index, entry.attempt),
                    fence=ctx.view.token,
                    tag=f"stop{entry.index}",
                )
            )
