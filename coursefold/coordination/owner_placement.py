"""Places for the tasks that the leader dealt to this node."""

import logging
from collections.abc import Iterable

from coursefold.coordination import jobs
from coursefold.coordination.context import Context
from coursefold.coordination.placement import (
    SLACK,
    FailedSearches,
    MachineCapacity,
    PlacementSearch,
)
from coursefold.coordination.transitions import TransitionProposer
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage.edits import LATER, SOON
from coursefold.storage.records import LIVE, Entry, JobRecord

log = logging.getLogger(__name__)

SEARCH_S = 3.0  # without room for a dealt task: it goes back to the leader


class OwnerPlacement:
    """Chooses machines in our part."""

    def __init__(self, ctx: Context, steps: TransitionProposer) -> None:
        self.ctx, self.steps = ctx, steps
        self.dealt_since: dict[tuple[str, int], float] = {}

    def place_assigned_tasks(self) -> None:
        """Find machines in our part for the tasks dealt to us."""
        ctx = self.ctx
        dealt = ctx.view.dealt.get(ctx.own_name)
        if not dealt:
            self.dealt_since.clear()
            return
        for key in [k for k in self.dealt_since if k not in dealt]:
            del self.dealt_since[key]
        mine = [
            (name, job, e)
            for (name, _), e in dealt.items()
            if (name, e.index) not in ctx.placements_in_flight
            and (job := ctx.view.jobs[name]).status == LIVE
        ]
        if not mine:
            return
        rooms: list[MachineCapacity] | None = None
        refused = FailedSearches()
        extra = self._under_way()
        found: dict[JobId, list[jobs.TaskRef]] = {}
        for name, job, entry in mine:
            # The hint's own share is what we look for: its room counts as taken for us.
            room = ctx.machine_capacity(entry.machine)
            if room is not None and self._fits(room, entry, extra.get(room.id, ())):
                found.setdefault(name, []).append(
                    jobs.TaskRef(entry.index, 0, room.zone, room.id, room.session)
                )
                continue
            if rooms is None:
                rooms = ctx.available_machines(own_only=True)
            room = None
            if not refused.covers(job.spec, entry.zone):
                room = PlacementSearch(
                    job.spec, rooms, zone=entry.zone, price_index=ctx.price_index()
                ).reserve_best()
                if room is None:
                    refused.add(job.spec, entry.zone)
            if room is not None:
                extra.setdefault(room.id, []).append(job.spec)
                found.setdefault(name, []).append(
                    jobs.TaskRef(entry.index, 0, room.zone, room.id, room.session)
                )
                continue
            since = self.dealt_since.setdefault((name, entry.index), ctx.now)
            if ctx.now - since > SEARCH_S:
                self.steps.propose(name, "undeal", entry, f"undeal{entry.index}", rank=LATER)
        for name, tasks in found.items():
            self.propose_placement(name, ctx.view.jobs[name], tasks)

    def _under_way(self) -> dict[str, list[Job]]:
        """What is about to be placed where the records do not show it yet, by machine."""
        ctx = self.ctx
        found: dict[str, list[Job]] = {}
        for (name, index), (machine, spec) in ctx.placements_in_flight.items():
            entry = ctx.view.entry(JobId(name), index)
            if entry is None or entry.machine != machine:
                found.setdefault(machine, []).append(spec)
        return found

    @staticmethod
    def _fits(room: MachineCapacity, entry: Entry, extra: Iterable[Job]) -> bool:
        """Does the hint, whose room counts the task already, still hold?"""
        for spec in extra:
            room.reserve(spec)
        return (
            not (room.reserved_for_gang or room.is_unschedulable)
            and (not entry.zone or entry.zone == room.zone)
            and min(room.cpus, room.gpus, room.memory_gb) >= -SLACK
        )

    def propose_placement(self, name: JobId, job: JobRecord, tasks: list[jobs.TaskRef]) -> None:
        """Write a job's new places, all at once; until then they count as taken."""
        ctx = self.ctx
        for task in tasks:
            ctx.placements_in_flight[(name, task.number)] = (task.machine, job.spec)

        def settled(ok: bool, why: str) -> None:
            for task in tasks:
                ctx.placements_in_flight.pop((name, task.number), None)
            where = ",".join(f"{t.number}:{t.machine}" for t in tasks)
            if ok:
                log.info("place %s on %s", name, where)
            else:
                log.debug("place %s on %s: %s", name, where, why)

        step = jobs.TaskTransition("place", tuple(tasks), ctx.own_name)
        self.steps.propose_transition(name, step, "", SOON, settled)
