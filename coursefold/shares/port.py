"""The core as shares see it: all that they ask of it and may do to it, in one place."""

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

MAX_PEER_SILENCE_S = 1.6  # ago at most: a sibling that is to take a machine over
MAX_STATE_AGE_S = 2.0  # ago at most: the state service, by that sibling
MAX_ROW_AGE_S = 3.0  # ago at most: an owner's rows
MAX_JOB_WAIT_S = 30.0  # of a job beside room on a machine that is to move
WORKER_SOCKET_SHARE = 0.75  # of a controller's; the rest is for users, siblings and services


class MachineState(NamedTuple):
    """A machine as the leader sees it; `obstacle` says why it can not be moved now."""

    id: str
    machine_type: str
    zone: str
    owner: str
    ending_task_count: int  # that end by themselves
    is_reported: bool  # its owner tells us of it
    obstacle: str


class CorePort:
    """One controller's core."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.ctx = core.ctx
        self.view = core.view
        self.ownership = core.ctx.ownership

    # Who decides

    def is_active(self) -> bool:
        """May this controller decide for its machines, in the forms that shares need?"""
        return self.ctx.is_active() and self.view.format_level >= records.SHARES_LEVEL

    def is_leading(self) -> bool:
        """May this controller decide for all of them?"""
        return self.ctx.is_leading() and self.view.format_level >= records.SHARES_LEVEL

    def leader_name(self) -> str:
        """The controller that leads, as far as is known."""
        return self.ctx.roster.leader if self.ctx.roster else ""

    def member_names(self) -> list[str]:
        """Controllers in the roster."""
        return [member.name for member in self.ctx.roster.members] if self.ctx.roster else []

    def roster_members(self) -> list[MemberRecord]:
        """The same, with their zones."""
        return self.ctx.roster.members if self.ctx.roster else []

    def has_complete_inventory(self) -> bool:
        """Have we led for so long that all machines that are heard have been counted?"""
        inventory = self.core.fleet.inventory
        return (
            self.core.fleet.lists_read > 0
            and inventory.leading_duration_s() > self.ctx.max_report_age_s()
        )

    def incarnation_of(self, member: str) -> int:
        """The lease of a member's process; 0 if it is not in the roster."""
        found = self.ctx.roster.find_member(member) if self.ctx.roster else None
        return found.lease_id if found else 0

    def max_machines(self) -> int:
        """Machines that one controller has connections for."""
        return int(self.ctx.settings.params.resources.fd_limit * WORKER_SOCKET_SHARE)

    def can_take_over(self, member: str) -> bool:
        """Is the sibling well enough to be handed a machine just now?"""
        peer = self.ctx.peers.get(member)
        return (
            peer is not None
            and self.ctx.now - peer.last_frame_at <= MAX_PEER_SILENCE_S
            and peer.token == self.view.fencing_token
            and peer.state_age_s <= MAX_STATE_AGE_S
        )

    # The leader's view of the machines

    def list_machines(self) -> list[MachineState]:
        """All machines that are up and stay, by name."""
        ctx = self.ctx
        inventory = self.core.fleet.inventory
        found = []
        for name, rented in sorted(inventory.machines.items()):
            if not rented.is_up or rented.lease_expired or name in inventory.returning:
                continue
            owner = ctx.owner_of(name, rented.zone) or ""
            row = self._find_row(name, owner)
            obstacle = self._obstacle(row) if row is not None else "its owner does not show it"
            if not obstacle and name in self.core.leader.requested_machines:
                obstacle = "it is kept free for a gang or a return"
            tasks = self._count_ending_tasks(name)
            shown = row is not None
            found.append(
                MachineState(name, rented.machine_type, rented.zone, owner, tasks, shown, obstacle)
            )
        return found

    def owner_of(self, machine: str) -> str:
        """The controller that owns a machine of the inventory; empty for any other."""
        rented = self.core.fleet.inventory.machines.get(machine)
        return (self.ctx.owner_of(machine, rented.zone) or "") if rented else ""

    def is_reported_by_owner(self, machine: str) -> bool:
        """Does the machine's owner tell us of it?"""
        owner = self.owner_of(machine)
        return bool(owner) and self._find_row(machine, owner) is not None

    def is_leaving(self, machine: str) -> bool:
        """Is the machine lost, being returned, or gone from the inventory?"""
        inventory = self.core.fleet.inventory
        rented = inventory.machines.get(machine)
        return rented is None or rented.lease_expired or machine in inventory.returning

    def is_gone(self, machine: str) -> bool:
        """Is the machine gone for good, as far as lists and records say?"""
        inventory = self.core.fleet.inventory
        return (
            self.core.fleet.lists_read > 1
            and machine not in inventory.machines
            and not self.view.has_entries_on(machine)
        )

    def is_owned_by_hash(self, machine: str, record: MachineOwnership) -> bool:
        """Would the machine's owner be the same without its record?"""
        rented = self.core.fleet.inventory.machines.get(machine)
        if self.ownership.assigned_owner(machine) is None:
            return True
        roster = self.ctx.roster
        if rented is None or roster is None:
            return False
        return self.ctx.owner_by_hash(machine, rented.zone, roster) == record.owner

    def _find_row(self, machine: str, owner: str) -> Machine | PeerMachine | None:
        """What the machine's owner tells of it, if it does and is up to date."""
        if owner == self.ctx.own_name:
            own = self.ctx.machines.get(machine)
            return own if own is not None and own.token_confirmed else None
        peer = self.ctx.peers.get(owner)
        if peer is None or not self._is_current(peer):
            return None
        return peer.machines.get(machine)

    def _is_current(self, peer: PeerView) -> bool:
        return (
            self.ctx.now - peer.last_frame_at <= MAX_ROW_AGE_S
            and peer.token == self.view.fencing_token
        )

    def _obstacle(self, row: Machine | PeerMachine) -> str:
        if row.quarantined:
            return "it is faulty"
        if row.lease_expired or row.unresponsive or row.responses_lost:
            return "it is not heard"
        if isinstance(row, Machine):
            leaving, lent = (
                row.recall_at is not None or not row.receives_responses,
                row.gang_reservation_until > self.ctx.now,
            )
        else:
            leaving, lent = row.draining, row.reserved_for_gang
        if leaving:
            return "the cloud takes it back, or it does not hear us"
        return "it is kept free for a gang or a return" if lent else ""

    def find_needed_by_waiting_jobs(self, machines: Iterable[str]) -> set[str]:
        """Of machines that are to move, those with room for a task that has waited for long."""
        core, wall = self.core, self.ctx.wall_time
        waiting = [
            self.view.jobs[name].spec
            for name in core.leader.jobs_without_capacity
            if name in self.view.jobs
            and wall - self.view.eligible_at(name, self.view.jobs[name]) > MAX_JOB_WAIT_S
        ]
        if not waiting:
            return set()
        moving = set(machines)
        rooms = [room for room in self.ctx.available_machines() if room.id in moving]
        return {
            r.id
            for r in rooms
            if any(may_run_on(spec, r) and r.fits_task(spec) for spec in waiting)
        }

    # One machine of ours

    def find_handover_obstacle(self, machine: str) -> str:
        """Why a machine of ours can not be handed over now, apart from tasks that have to end."""
        own = self.ctx.machines.get(machine)
        if own is None or not own.token_confirmed:
            return "it has not shown our token"
        lease = self.ctx.settings.params.workers.lease_s * LEASE_DRIFT_FACTOR
        if self.ctx.now - own.last_report_at > min(self.ctx.max_report_age_s(), lease):
            return "it is not heard"
        if any(place == machine for place, _ in self.ctx.placements_in_flight.values()):
            return "a task is about to be placed there"
        listed = {
            (JobId(job), number) for (job, number), item in own.tasks.items()
            if item.state != "exited"
        }  # fmt: skip
        placed = {(job, entry.index) for job, entry in self.view.entries_on(machine)}
        if len(own.tasks) != len(listed) or not listed <= placed:
            return "a task's end is not written yet"
        return self._obstacle(own)

    def list_tasks_to_end(self, machine: str) -> list[tuple[JobId, TaskEntry]]:
        """Tasks that have to end before a handover: all but replicas that stay where they are."""
        own = self.ctx.machines.get(machine)
        found = []
        for job_id, entry in self.view.entries_on(machine):
            if entry.stage == ASSIGNED:
                continue  # only a hint; its owner finds another machine
            is_service = self.view.jobs[job_id].spec.kind == "standing"
            listed = own.tasks.get((job_id, entry.index)) if own else None
            is_running = listed is not None and listed.state == "running"
            if not (is_service and entry.stage == PLACED and is_running):
                found.append((job_id, entry))
        return found

    def _count_ending_tasks(self, machine: str) -> int:
        return sum(
            entry.stage != ASSIGNED and self.view.jobs[job_id].spec.kind != "standing"
            for job_id, entry in self.view.entries_on(machine)
        )

    def can_stop_without_loss(self, job: JobRecord, entry: TaskEntry) -> bool:
        """Could this task be stopped without losing work?"""
        spec = job.spec
        return spec.kind == "array" and spec.checkpoint_interval_s > 0 and entry.stage == PLACED

    def available_machines(self) -> list[MachineCapacity]:
        """Free room on all machines that take tasks."""
        return [
            room
            for room in self.ctx.available_machines()
            if not (room.is_unschedulable or room.reserved_for_gang)
        ]

    @staticmethod
    def reserve_capacity(spec: Job, rooms: Iterable[MachineCapacity]) -> bool:
        """Is there room for a task of the job? Then it counts as taken."""
        room = next((r for r in rooms if may_run_on(spec, r) and r.fits_task(spec)), None)
        if room is None:
            return False
        room.reserve(spec)
        return True

    def save_and_stop(self, job: JobId, entry: TaskEntry) -> bool:
        """Have a task stopped with time to save its progress."""
        steps = self.core.owner.command_planner.transitions
        return steps.propose(job, "stop", entry, f"stop{entry.index}")

    # Writing

    def change_ownership(
        self, machine: str, change: Change, tag: str, *, rank: int = NORMAL_PRIORITY
    ) -> bool:
        """Have a machine's record changed; False while the same change is under way."""
        edit = Edit(
            ownership_key(machine),
            change,
            priority=rank,
            fencing_token=self.view.fencing_token,
            tag=tag,
        )
        return self.core.queue.propose(edit)

    def write_request(self, request: str, change: Change, ticket: int, answer: Any) -> None:
        """Have an operator's request written; it is answered once that is done."""

        def settled(ok: bool, why: str) -> None:
            if ok:
                self.respond(ticket, 200, answer(self.view.share_requests.get(request)))
            else:
                self.respond(ticket, 503, {"error": f"not written: {why}"}, retry_after=1)

        edit = Edit(
            share_request_key(request),
            change,
            fencing_token=self.view.fencing_token,
            on_settled=settled,
        )
        self.core.queue.propose(edit)

    def delete_request(self, request: str, change: Change) -> None:
        """Have the record of a request that is over removed."""
        edit = Edit(
            share_request_key(request), change, fencing_token=self.view.fencing_token, tag="forget"
        )
        self.core.queue.propose(edit)

    def has_spare_write_rate(self) -> bool:
        """Is there room to write what is never urgent?"""
        return self.core.queue.has_spare_rate(self.ctx.now)

    def respond(
        self, ticket: int, status: int, body: dict[str, Any], retry_after: int | None = None
    ) -> None:
        """Answer an operator's command."""
        self.ctx.effects.append(Response(ticket, status, body, retry_after))
