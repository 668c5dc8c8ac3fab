"""An owner's choice of machines for the tasks that the leader has assigned to it."""

from collections.abc import Iterable

from coursefold.coordination import jobs
from coursefold.coordination.context import Context
from coursefold.coordination.placement import (
    RESOURCE_TOLERANCE,
    FailedSearches,
    MachineCapacity,
    PlacementSearch,
)
from coursefold.coordination.placement_proposals import count_in_flight, log_placement
from coursefold.coordination.transitions import TransitionProposer
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage.edits import LOW_PRIORITY, NORMAL_PRIORITY
from coursefold.storage.records import LIVE, JobRecord, TaskEntry

MAX_SEARCH_S = 3.0  # then a task that fits no machine goes back to the leader


class OwnerPlacement:
    """Places assigned tasks on machines of this controller.

    Attributes:
        unplaced_since: By job and task: when an assigned task was first found to fit nowhere.
    """

    def __init__(self, ctx: Context, transitions: TransitionProposer) -> None:
        self.ctx, self.transitions = ctx, transitions
        self.unplaced_since: dict[tuple[str, int], float] = {}

    def place_assigned_tasks(self) -> None:
        """Propose machines for assigned tasks; hand back those that fit nowhere for too long."""
        ctx = self.ctx
        assigned = ctx.view.assigned_tasks.get(ctx.own_name)
        if not assigned:
            self.unplaced_since.clear()
            return
        for key in [k for k in self.unplaced_since if k not in assigned]:
            del self.unplaced_since[key]
        unplaced = [
            (name, job, entry)
            for (name, _), entry in assigned.items()
            if (name, entry.index) not in ctx.placements_in_flight
            and (job := ctx.view.jobs[name]).status == LIVE
        ]
        if not unplaced:
            return
        machines: list[MachineCapacity] | None = None
        failed_searches = FailedSearches()
        in_flight = self._find_in_flight()
        found: dict[JobId, list[jobs.TaskRef]] = {}
        for name, job, entry in unplaced:
            # The leader's choice comes first; what the task needs is already subtracted there.
            machine = ctx.machine_capacity(entry.machine)
            if machine is not None and self._fits_assigned(
                machine, entry, in_flight.get(machine.id, ())
            ):
                found.setdefault(name, []).append(
                    jobs.TaskRef(entry.index, 0, machine.zone, machine.id, machine.session)
                )
                continue
            if machines is None:
                machines = ctx.available_machines(own_only=True)
            machine = None
            if not failed_searches.covers(job.spec, entry.zone):
                machine = PlacementSearch(
                    job.spec, machines, zone=entry.zone, price_index=ctx.price_index()
                ).reserve_best()
                if machine is None:
                    failed_searches.add(job.spec, entry.zone)
            if machine is not None:
                in_flight.setdefault(machine.id, []).append(job.spec)
                found.setdefault(name, []).append(
                    jobs.TaskRef(entry.index, 0, machine.zone, machine.id, machine.session)
                )
                continue
            since = self.unplaced_since.setdefault((name, entry.index), ctx.now)
            if ctx.now - since > MAX_SEARCH_S:
                self.transitions.propose(
                    name, "undeal", entry, f"undeal{entry.index}", priority=LOW_PRIORITY
                )
        for name, tasks in found.items():
            self._propose_placement(name, ctx.view.jobs[name], tasks)

    def _find_in_flight(self) -> dict[str, list[Job]]:
        """Return by machine the tasks about to be placed where the records do not show them yet."""
        ctx = self.ctx
        in_flight: dict[str, list[Job]] = {}
        for (name, index), (machine, spec) in ctx.placements_in_flight.items():
            entry = ctx.view.find_entry(JobId(name), index)
            if entry is None or entry.machine != machine:
                in_flight.setdefault(machine, []).append(spec)
        return in_flight

    @staticmethod
    def _fits_assigned(
        machine: MachineCapacity, entry: TaskEntry, in_flight: Iterable[Job]
    ) -> bool:
        """Return whether an assigned task, already subtracted, fits beside tasks in flight."""
        for spec in in_flight:
            machine.reserve(spec)
        return (
            not (machine.reserved_for_gang or machine.is_unschedulable)
            and (not entry.zone or entry.zone == machine.zone)
            and min(machine.cpus, machine.gpus, machine.memory_gb) >= -RESOURCE_TOLERANCE
        )

    def _propose_placement(self, name: JobId, job: JobRecord, tasks: list[jobs.TaskRef]) -> None:
        """Propose places for assigned tasks of a job in one edit."""
        end_count = count_in_flight(
            self.ctx, name, job.spec, {task.number: task.machine for task in tasks}
        )

        def on_settled(ok: bool, why: str) -> None:
            end_count()
            log_placement(name, tasks, ok, why)

        transition = jobs.TaskTransition("place", tuple(tasks), self.ctx.own_name)
        self.transitions.propose_transition(name, transition, "", NORMAL_PRIORITY, on_settled)
