"""Adapter between shares and the core: all that shares read from the core and change in it."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from coursefold.coordination.context import LEASE_DRIFT_FACTOR, Machine, PeerMachine, PeerView
from coursefold.coordination.core import Core
from coursefold.coordination.effects import Response
from coursefold.coordination.placement import MachineCapacity, may_run_on
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job
from coursefold.storage import records
from coursefold.storage.edits import NORMAL_PRIORITY, Change, Edit
from coursefold.storage.records import (
    ASSIGNED,
    PLACED,
    JobRecord,
    MemberRecord,
    TaskEntry,
    ownership_key,
    share_request_key,
)
from coursefold.storage.share_records import MachineOwnership

MAX_PEER_SILENCE_S = 1.6  # since the last frame of a sibling that is to take a machine over
MAX_STATE_AGE_S = 2.0  # since that sibling last heard from the state service
MAX_ROW_AGE_S = 3.0  # since the last frame with an owner's machine rows
MAX_JOB_WAIT_S = 30.0  # of a job that would fit on a machine that is to move
WORKER_SOCKET_SHARE = 0.75  # of a controller's sockets; the rest: users, siblings and services


class MachineState(NamedTuple):
    """A machine as the leader sees it.

    Attributes:
        id: Name of the machine.
        machine_type: Its machine type.
        zone: Its zone.
        owner: Controller that owns it; empty if there is none.
        ending_task_count: Tasks on it that end by themselves, which are all but replicas.
        is_reported: Whether its owner currently reports it.
        obstacle: Why it cannot be moved now; empty if it can.
    """

    id: str
    machine_type: str
    zone: str
    owner: str
    ending_task_count: int
    is_reported: bool
    obstacle: str


class CorePort:
    """Access to one controller's core."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.ctx = core.ctx
        self.view = core.view
        self.ownership = core.ctx.ownership

    # Authority and membership

    def is_active(self) -> bool:
        """Return whether this controller may command its machines, and shares are switched on.

        They are once the cell's format level has the records that shares need.
        """
        return self.ctx.is_active() and self.view.format_level >= records.SHARES_LEVEL

    def is_leading(self) -> bool:
        """Return whether this controller leads the cell, and shares are switched on."""
        return self.ctx.is_leading() and self.view.format_level >= records.SHARES_LEVEL

    def leader_name(self) -> str:
        """Return the name of the leader; empty if it is not known."""
        return self.ctx.roster.leader if self.ctx.roster else ""

    def member_names(self) -> list[str]:
        """Return the names of the controllers in the roster."""
        return [member.name for member in self.ctx.roster.members] if self.ctx.roster else []

    def roster_members(self) -> list[MemberRecord]:
        """Return the controllers in the roster, with their zones."""
        return self.ctx.roster.members if self.ctx.roster else []

    def has_complete_inventory(self) -> bool:
        """Return whether this leader knows all machines.

        It does once it has read a list of the cloud, and has led for longer than a machine that
        takes tasks may go without a report.
        """
        inventory = self.core.fleet.inventory
        return (
            self.core.fleet.lists_read > 0
            and inventory.leading_duration_s() > self.ctx.max_report_age_s()
        )

    def incarnation_of(self, member: str) -> int:
        """Return the lease id of a member's process; 0 if it is not in the roster."""
        member_record = self.ctx.roster.find_member(member) if self.ctx.roster else None
        return member_record.lease_id if member_record else 0

    def max_machines(self) -> int:
        """Return for how many machines a controller has connections."""
        return int(self.ctx.settings.params.resources.fd_limit * WORKER_SOCKET_SHARE)

    def can_take_over(self, member: str) -> bool:
        """Return whether a sibling can be handed a machine now.

        It can if it was heard from just now, has the same roster, and reaches the state service.
        """
        peer = self.ctx.peers.get(member)
        return (
            peer is not None
            and self.ctx.now - peer.last_frame_at <= MAX_PEER_SILENCE_S
            and peer.token == self.view.fencing_token
            and peer.state_age_s <= MAX_STATE_AGE_S
        )

    # The leader's view of the machines

    def list_machines(self) -> list[MachineState]:
        """Return all machines that are up and are not being returned, sorted by name."""
        ctx = self.ctx
        inventory = self.core.fleet.inventory
        states = []
        for name, rented in sorted(inventory.machines.items()):
            if not rented.is_up or rented.lease_expired or name in inventory.returning:
                continue
            owner = ctx.owner_of(name, rented.zone) or ""
            row = self._find_row(name, owner)
            obstacle = (
                self._find_machine_obstacle(row)
                if row is not None
                else "its owner does not show it"
            )
            if not obstacle and name in self.core.leader.requested_machines:
                obstacle = "it is kept free for a gang or a return"
            task_count = self._count_ending_tasks(name)
            is_reported = row is not None
            states.append(
                MachineState(
                    name,
                    rented.machine_type,
                    rented.zone,
                    owner,
                    task_count,
                    is_reported,
                    obstacle,
                )
            )
        return states

    def owner_of(self, machine: str) -> str:
        """Return the owner of a machine of the inventory; empty for any other machine."""
        rented = self.core.fleet.inventory.machines.get(machine)
        return (self.ctx.owner_of(machine, rented.zone) or "") if rented else ""

    def is_reported_by_owner(self, machine: str) -> bool:
        """Return whether the machine's owner currently reports it."""
        owner = self.owner_of(machine)
        return bool(owner) and self._find_row(machine, owner) is not None

    def is_leaving(self, machine: str) -> bool:
        """Return whether the machine is silent past its lease, being returned, or not listed."""
        inventory = self.core.fleet.inventory
        rented = inventory.machines.get(machine)
        return rented is None or rented.lease_expired or machine in inventory.returning

    def is_gone(self, machine: str) -> bool:
        """Return whether the machine is neither in the cloud's lists nor in task records.

        The leader has to have read at least two lists.
        """
        inventory = self.core.fleet.inventory
        return (
            self.core.fleet.lists_read > 1
            and machine not in inventory.machines
            and not self.view.has_entries_on(machine)
        )

    def is_owned_by_hash(self, machine: str, record: MachineOwnership) -> bool:
        """Return whether the machine's owner would be the same without its ownership record."""
        rented = self.core.fleet.inventory.machines.get(machine)
        if self.ownership.assigned_owner(machine) is None:
            return True
        roster = self.ctx.roster
        if rented is None or roster is None:
            return False
        return self.ctx.owner_by_hash(machine, rented.zone, roster) == record.owner

    def _find_row(self, machine: str, owner: str) -> Machine | PeerMachine | None:
        """Return the owner's row of a machine; None if there is none or it is out of date."""
        if owner == self.ctx.own_name:
            own = self.ctx.machines.get(machine)
            return own if own is not None and own.token_confirmed else None
        peer = self.ctx.peers.get(owner)
        if peer is None or not self._is_current(peer):
            return None
        return peer.machines.get(machine)

    def _is_current(self, peer: PeerView) -> bool:
        """Return whether a sibling's rows are recent and of the same roster."""
        return (
            self.ctx.now - peer.last_frame_at <= MAX_ROW_AGE_S
            and peer.token == self.view.fencing_token
        )

    def _find_machine_obstacle(self, row: Machine | PeerMachine) -> str:
        """Return why the state of a machine prevents its move; empty if it does not."""
        if row.quarantined:
            return "it is faulty"
        if row.lease_expired or row.unresponsive or row.responses_lost:
            return "it is not heard"
        if isinstance(row, Machine):
            is_leaving, is_reserved = (
                row.recall_at is not None or not row.receives_responses,
                row.gang_reservation_until > self.ctx.now,
            )
        else:
            is_leaving, is_reserved = row.draining, row.reserved_for_gang
        if is_leaving:
            return "the cloud takes it back, or it does not hear us"
        return "it is kept free for a gang or a return" if is_reserved else ""

    def find_needed_by_waiting_jobs(self, machines: Iterable[str]) -> set[str]:
        """Return those of the machines on which a task of a long-waiting job would fit.

        Long is more than `MAX_JOB_WAIT_S`, for a job for which the leader found no machine.
        """
        core, wall_time = self.core, self.ctx.wall_time
        waiting = [
            self.view.jobs[name].spec
            for name in core.leader.jobs_without_capacity
            if name in self.view.jobs
            and wall_time - self.view.eligible_at(name, self.view.jobs[name]) > MAX_JOB_WAIT_S
        ]
        if not waiting:
            return set()
        names = set(machines)
        candidates = [machine for machine in self.ctx.available_machines() if machine.id in names]
        return {
            machine.id
            for machine in candidates
            if any(may_run_on(spec, machine) and machine.fits_task(spec) for spec in waiting)
        }

    # Machines that this controller owns

    def find_handover_obstacle(self, machine: str) -> str:
        """Return why an owned machine cannot be handed over now, apart from tasks that have to end.

        Empty if it can.
        """
        own = self.ctx.machines.get(machine)
        if own is None or not own.token_confirmed:
            return "it has not shown our token"
        lease_s = self.ctx.settings.params.workers.lease_s * LEASE_DRIFT_FACTOR
        if self.ctx.now - own.last_report_at > min(self.ctx.max_report_age_s(), lease_s):
            return "it is not heard"
        if any(target == machine for target, _ in self.ctx.placements_in_flight.values()):
            return "a task is about to be placed there"
        listed = {
            (JobId(job), index) for (job, index), task in own.tasks.items()
            if task.state != "exited"
        }  # fmt: skip
        placed = {(job, entry.index) for job, entry in self.view.entries_on(machine)}
        if len(own.tasks) != len(listed) or not listed <= placed:
            return "a task's end is not written yet"
        return self._find_machine_obstacle(own)

    def list_tasks_to_end(self, machine: str) -> list[tuple[JobId, TaskEntry]]:
        """Return the tasks that have to end before a handover: all but running replicas."""
        own = self.ctx.machines.get(machine)
        tasks = []
        for job_id, entry in self.view.entries_on(machine):
            if entry.stage == ASSIGNED:
                continue  # the assignment is only a hint; its owner finds another machine
            is_replica = self.view.jobs[job_id].spec.kind == "standing"
            listed = own.tasks.get((job_id, entry.index)) if own else None
            is_running = listed is not None and listed.state == "running"
            if not (is_replica and entry.stage == PLACED and is_running):
                tasks.append((job_id, entry))
        return tasks

    def _count_ending_tasks(self, machine: str) -> int:
        """Return how many tasks on the machine end by themselves: all but replicas."""
        return sum(
            entry.stage != ASSIGNED and self.view.jobs[job_id].spec.kind != "standing"
            for job_id, entry in self.view.entries_on(machine)
        )

    def can_stop_without_loss(self, job: JobRecord, entry: TaskEntry) -> bool:
        """Return whether a task can be stopped without losing work, as it saves checkpoints."""
        spec = job.spec
        return spec.kind == "array" and spec.checkpoint_interval_s > 0 and entry.stage == PLACED

    def available_machines(self) -> list[MachineCapacity]:
        """Return the free capacity of all machines that accept tasks."""
        return [
            machine
            for machine in self.ctx.available_machines()
            if not (machine.is_unschedulable or machine.reserved_for_gang)
        ]

    @staticmethod
    def reserve_capacity(spec: Job, machines: Iterable[MachineCapacity]) -> bool:
        """Reserve capacity for a task of the job on one of the machines; False if it fits on none.

        The reservation is made in the given objects only.
        """
        machine = next((m for m in machines if may_run_on(spec, m) and m.fits_task(spec)), None)
        if machine is None:
            return False
        machine.reserve(spec)
        return True

    def save_and_stop(self, job: JobId, entry: TaskEntry) -> bool:
        """Propose to stop a task with time to save its progress; False if that is pending."""
        transitions = self.core.owner.command_planner.transitions
        return transitions.propose(job, "stop", entry, f"stop{entry.index}")

    # Writes and responses

    def change_ownership(
        self, machine: str, change: Change, tag: str, *, priority: int = NORMAL_PRIORITY
    ) -> bool:
        """Propose an edit of a machine's record; False while one with the same tag is pending."""
        edit = Edit(
            ownership_key(machine),
            change,
            priority=priority,
            fencing_token=self.view.fencing_token,
            tag=tag,
        )
        return self.core.queue.propose(edit)

    def write_request(self, request: str, change: Change, ticket: int, response_body: Any) -> None:
        """Propose an edit of an operator's request, and answer the command once it is settled.

        Args:
            request: Id of the request.
            change: The edit.
            ticket: Identifies the command to be answered.
            response_body: Returns the body of the answer for the request as written, or None.
        """

        def on_settled(ok: bool, reason: str) -> None:
            if ok:
                self.respond(ticket, 200, response_body(self.view.share_requests.get(request)))
            else:
                self.respond(ticket, 503, {"error": f"not written: {reason}"}, retry_after=1)

        edit = Edit(
            share_request_key(request),
            change,
            fencing_token=self.view.fencing_token,
            on_settled=on_settled,
        )
        self.core.queue.propose(edit)

    def delete_request(self, request: str, change: Change) -> None:
        """Propose to delete the record of an expired request."""
        edit = Edit(
            share_request_key(request), change, fencing_token=self.view.fencing_token, tag="forget"
        )
        self.core.queue.propose(edit)

    def has_spare_write_rate(self) -> bool:
        """Return whether the commit queue has spare rate for edits that are never urgent."""
        return self.core.queue.has_spare_rate(self.ctx.now)

    def respond(
        self, ticket: int, status: int, body: dict[str, Any], retry_after: int | None = None
    ) -> None:
        """Answer an operator's command; `retry_after` is in seconds."""
        self.ctx.effects.append(Response(ticket, status, body, retry_after))
