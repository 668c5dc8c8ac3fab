"""The edits that raise what a team uses; only the leader proposes them.

Each of them is proposed after a check of the team's limit, and is fenced by the leader's roster.
From the proposal until the outcome its tasks count as in flight, so that the next check counts
them too.
"""

import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple

from coursefold.coordination import jobs
from coursefold.coordination.context import Context
from coursefold.coordination.placement import MachineCapacity
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage.edits import TOO_LARGE, Change, Edit, EditOrigin
from coursefold.storage.records import JobRecord, job_key

log = logging.getLogger(__name__)


class TaskPlacement(NamedTuple):
    """The machine chosen for one task of a job.

    Attributes:
        number: Index of the task in its job.
        machine: The machine, on which the task is reserved.
    """

    number: int
    machine: MachineCapacity


def count_in_flight(
    ctx: Context, name: JobId, spec: Job, machines: Mapping[int, str]
) -> Callable[[], None]:
    """Count a job's tasks as in flight until the returned function is called.

    Args:
        ctx: The shared state that counts them.
        name: The job's name.
        spec: The job's description.
        machines: The machine of each task, by the task's number.
    """
    for number, machine in machines.items():
        ctx.placements_in_flight[(name, number)] = (machine, spec)

    def end() -> None:
        for number in machines:
            ctx.placements_in_flight.pop((name, number), None)

    return end


def log_placement(name: JobId, tasks: list[jobs.TaskRef], ok: bool, why: str) -> None:
    """Log whether places of single tasks were written."""
    places = ",".join(f"{task.number}:{task.machine}" for task in tasks)
    if ok:
        log.info("place %s on %s", name, places)
    else:
        log.info("place %s on %s: not written: %s", name, places, why)


class PlacementProposals:
    """Proposes the leader's assignments and placements of waiting tasks."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx

    def place_tasks(self, name: JobId, job: JobRecord, placements: list[TaskPlacement]) -> None:
        """Place tasks on this controller's machines and assign the others to their owners."""
        self._clear_prerequisites(name, job)
        own_tasks: list[jobs.TaskRef] = []
        assignments: list[jobs.Assignment] = []
        for number, machine in placements:
            if machine.owner == self.ctx.own_name:
                own_tasks.append(jobs.TaskRef(number, 0, machine.zone, machine.id, machine.session))
            else:
                assignments.append(jobs.Assignment(number, machine.owner, machine.zone, machine.id))
        if own_tasks:
            self._place_waiting(name, job, own_tasks)
        if assignments:
            self._assign(name, job, assignments)

    def place_gang(
        self,
        name: JobId,
        job: JobRecord,
        plan: list[MachineCapacity],
        on_too_large: Callable[[], None],
    ) -> None:
        """Write the places of all tasks of a gang in one edit.

        Args:
            name: The job's name.
            job: Its record.
            plan: One machine for each task.
            on_too_large: Called if the record would be too large with all places in it.
        """
        # Sorted by owner: a record stores places that differ only by machine as one run.
        places = sorted((m.owner, m.zone, m.id, m.session) for m in plan)
        end_count = count_in_flight(
            self.ctx, name, job.spec, {number: m.id for number, m in enumerate(plan)}
        )

        def on_settled(ok: bool, why: str) -> None:
            end_count()
            if why == TOO_LARGE:
                on_too_large()
            log.info("gang %s on %s: %s", name, ",".join(m.id for m in plan), why or "placed")

        self._clear_prerequisites(name, job)
        if not self._propose("place_gang", name, jobs.place_gang(places), on_settled, tag="gang"):
            on_settled(False, "under way")

    def _place_waiting(self, name: JobId, job: JobRecord, tasks: list[jobs.TaskRef]) -> None:
        """Write places on own machines for waiting tasks, without assigning them first."""
        end_count = count_in_flight(
            self.ctx, name, job.spec, {task.number: task.machine for task in tasks}
        )

        def on_settled(ok: bool, why: str) -> None:
            end_count()
            log_placement(name, tasks, ok, why)

        change = jobs.place_waiting(self.ctx.own_name, tasks)
        self._propose("place_waiting", name, change, on_settled)

    def _assign(self, name: JobId, job: JobRecord, assignments: list[jobs.Assignment]) -> None:
        end_count = count_in_flight(
            self.ctx, name, job.spec, {task.number: task.machine for task in assignments}
        )

        def on_settled(ok: bool, why: str) -> None:
            end_count()
            owners = ",".join(f"{task.number}:{task.owner}" for task in assignments)
            log.debug("deal %s: %s: %s", name, owners, why or "done")

        self._propose("assign", name, jobs.assign(assignments), on_settled)

    def _propose(
        self,
        kind: str,
        name: JobId,
        change: Change,
        on_settled: Callable[[bool, str], None],
        tag: str = "",
    ) -> bool:
        """Queue an edit that is fenced by the leader's roster; False if it is under way already."""
        ctx = self.ctx
        return ctx.queue.propose(
            Edit(
                job_key(name),
                change,
                fencing_token=ctx.view.fencing_token,
                tag=tag,
                on_settled=on_settled,
                origin=EditOrigin(kind, ctx.own_name),
            )
        )

    def _clear_prerequisites(self, name: JobId, job: JobRecord) -> None:
        """Record that all that the job needs is done, in the transaction of its first edit."""
        ctx = self.ctx
        if job.open_prerequisites:
            change = jobs.clear_prerequisites(ctx.view.eligible_at(name, job))
            ctx.queue.propose(
                Edit(job_key(name), change, fencing_token=ctx.view.fencing_token, tag="release")
            )
