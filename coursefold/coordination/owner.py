"""The owner: handles its workers' reports and detects silent machines.

`commands` decides what workers are told, `owner_placement` on which machines assigned tasks run.
"""

import logging

from coursefold.coordination import cancellations
from coursefold.coordination.commands import CommandPlanner
from coursefold.coordination.context import LEASE_DRIFT_FACTOR, Context, Machine
from coursefold.coordination.effects import Response
from coursefold.coordination.election import Election
from coursefold.coordination.lease_renewal import LeaseRenewal
from coursefold.coordination.owner_placement import OwnerPlacement
from coursefold.coordination.quota import add_usage, usage_of_tasks
from coursefold.coordination.response_monitor import ResponseMonitor
from coursefold.coordination.transitions import ForwardTransition, TransitionProposer
from coursefold.protocol.ids import parse_task_id
from coursefold.protocol.wire import Command, Report
from coursefold.storage.records import ASSIGNED

log = logging.getLogger(__name__)


SCAN_INTERVAL_S = 0.5  # between checks of all own machines
REMOVE_SILENT_S = 120.0  # a machine without tasks that is silent for longer is removed
MAX_DEPARTED_MACHINES = 20_000  # 2 MB


class Owner:
    """Acts for the machines that this controller owns.

    Attributes:
        scanned_at: When all own machines were last checked.
        scanned_token: The roster's fencing token at that check.
        departed_sequences: Session and sequence number of the last report of removed machines.
    """

    def __init__(self, ctx: Context, election: Election, forward: ForwardTransition) -> None:
        self.ctx, self.election = ctx, election
        transitions = TransitionProposer(ctx, forward)
        self.response_monitor = ResponseMonitor(ctx)
        self.lease_renewal = LeaseRenewal(ctx)
        self.command_planner = CommandPlanner(ctx, transitions)
        self.owner_placement = OwnerPlacement(ctx, transitions)
        self.scanned_at = -1e9
        self.scanned_token = -1
        self.departed_sequences: dict[str, tuple[int, int]] = {}

    # Reports

    def handle_report(self, report: Report, ticket: int) -> None:
        """Respond to a report: 200 with commands, 421 with the owner's name, or 503.

        Args:
            report: The worker's report.
            ticket: The transport's number of the request.
        """
        ctx = self.ctx
        roster = ctx.view.roster
        if roster is None or not ctx.view.is_loaded:
            self._refuse(ticket)
            return
        owner = ctx.owner_of(report.machine, report.zone)
        if owner != ctx.own_name:
            if (
                owner is not None
                and self.lease_renewal.stands_in_for(owner)
                and report.token <= ctx.machine_token(report.machine)
            ):
                self._renew_only(report, ticket)
                return
            if ctx.now - ctx.watch_ok_at > ctx.max_view_age_s() or owner is None:
                self._refuse(ticket)
                return
            self.election.record_misdirected(owner, report.machine)
            ctx.effects.append(Response(ticket, 421, {"Foreman": owner}))
            return
        if not self._may_command(report.machine, report.token):
            if report.token <= ctx.machine_token(report.machine) and self._may_renew(
                report.machine
            ):
                self._renew_only(report, ticket)
            else:
                self._refuse(ticket)
            return
        machine = self._find_or_add_machine(report)
        if machine is None or (report.session, report.sequence) <= (
            machine.session,
            machine.sequence,
        ):
            self._refuse(ticket)  # late or reordered, so its task list is out of date
            return
        self.response_monitor.check(machine, report)
        self._apply_report(machine, report)
        commands = self.command_planner.commands_for_report(machine, report)
        self._respond(machine, ticket, commands)

    def _may_command(self, machine: str, shown_token: int) -> bool:
        """Return whether to command an own machine that has shown this fencing token."""
        ctx = self.ctx
        return (
            shown_token <= ctx.machine_token(machine)
            and ctx.is_active()
            and not ctx.ownership.is_behind(machine)
            and not ctx.ownership.is_released(machine)
        )

    def _may_renew(self, machine: str) -> bool:
        """Return whether to renew the lease of an own machine that must not be commanded now."""
        if self.ctx.ownership.is_behind(machine):
            return False
        if self.ctx.ownership.is_released(machine):
            return self.lease_renewal.may_renew_released()
        return not self.ctx.is_active() and self.lease_renewal.may_renew()

    def _respond(self, machine: Machine, ticket: int, commands: list[Command]) -> None:
        """Respond to a report under the machine's fencing token, which renews the lease."""
        ctx = self.ctx
        machine.last_response_at = ctx.now
        body = {"Baton": ctx.machine_token(machine.id), "Orders": commands}
        ctx.effects.append(Response(ticket, 200, body))

    def _refuse(self, ticket: int) -> None:
        self.ctx.effects.append(Response(ticket, 503, {"error": "not entitled"}, retry_after=1))

    def _find_or_add_machine(self, report: Report) -> Machine | None:
        """Return the reporting machine; None for a late report from a removed one."""
        ctx = self.ctx
        machine = ctx.machines.get(report.machine)
        if machine is None:
            if (report.session, report.sequence) <= self.departed_sequences.get(
                report.machine, (-1, -1)
            ):
                return None
            machine = Machine(report.machine, report.machine_type, report.zone, report.spot)
            machine.idle_since = ctx.now
            ctx.machines[report.machine] = machine
            log.info(
                "machine %s (%s, %s%s) reports",
                machine.id,
                machine.machine_type,
                machine.zone,
                ", spot" * machine.spot,
            )
        return machine

    def remove_machine(self, machine: str) -> None:
        """Remove an own machine, and note its last report so that late copies are recognized."""
        removed = self.ctx.machines.pop(machine, None)
        if removed is not None:
            self.departed_sequences[machine] = (removed.session, removed.sequence)
            while len(self.departed_sequences) > MAX_DEPARTED_MACHINES:
                del self.departed_sequences[next(iter(self.departed_sequences))]

    def _renew_only(self, report: Report, ticket: int) -> None:
        """Renew a lease and send no commands other than stops of cancelled tasks."""
        ctx = self.ctx
        machine = self._find_or_add_machine(report)
        if machine is None or (report.session, report.sequence) <= (
            machine.session,
            machine.sequence,
        ):
            self._refuse(ticket)
            return
        self._apply_report(machine, report)
        commands = []
        for task_report in report.tasks:
            task = parse_task_id(task_report.task)
            is_cancelled = task is not None and cancellations.is_cancelled_or_expired(ctx, task.job)
            if is_cancelled and task_report.state != "exited":
                commands.append(Command("stop", task_report.task, task_report.attempt, 0.0))
        self._respond(machine, ticket, commands)

    def _apply_report(self, machine: Machine, report: Report) -> None:
        """Update the machine's state from its report."""
        ctx = self.ctx
        if report.session != machine.session:
            machine.running_since.clear()
            machine.stops_sent.clear()
            machine.cached_images.clear() if machine.session == 0 else None
        machine.session, machine.sequence, machine.token = (
            report.session,
            report.sequence,
            report.token,
        )
        machine.last_report_at, machine.address, machine.lease_expired = (
            ctx.now,
            report.address,
            False,
        )
        if report.recall_in_s is not None and machine.recall_at is None:
            log.info("machine %s will be taken in %.1f s", machine.id, report.recall_in_s)
            ctx.notify_peers = True
        machine.recall_at = None if report.recall_in_s is None else ctx.now + report.recall_in_s
        machine.tasks, machine.reported_usage = {}, {}
        for task_report in report.tasks:
            task = parse_task_id(task_report.task)
            if task is None:
                log.error(
                    "machine %s reports an invalid task name %r", machine.id, task_report.task
                )
                continue
            machine.tasks[(task.job, task.number)] = task_report
            job = ctx.view.jobs.get(task.job)
            if job is not None and task_report.state in ("running", "gathering", "flushing"):
                usage = usage_of_tasks(job.spec, 1)
                add_usage(machine.reported_usage, [(job.spec.team, usage)])
                type_info = ctx.find_machine_type(machine.machine_type)
                machine.record_image_use(
                    job.spec.image, job.spec.image_gb, type_info.cache_gb if type_info else 0.0
                )
            attempt = (task.job, task.number, task_report.attempt)
            if task_report.state == "running" and attempt not in machine.running_since:
                machine.running_since[attempt] = ctx.now
                log.debug(
                    "task %s#%d on %s runs", task_report.task, task_report.attempt, machine.id
                )
        if machine.tasks or ctx.view.entries_on(machine.id):
            machine.idle_since = ctx.now

    # Own machines

    def tick(self) -> None:
        """Handle changed machines at once, and check all own machines twice a second."""
        ctx = self.ctx
        changed_machines, ctx.view.changed_machines = ctx.view.changed_machines, {}
        cancellations.prune(ctx)
        if not ctx.is_active():
            return
        for machine_id in changed_machines:
            machine = ctx.machines.get(machine_id)
            if machine is not None and not machine.lease_expired:
                self.command_planner.send_stops(machine)
        if (
            ctx.now - self.scanned_at >= SCAN_INTERVAL_S
            or self.scanned_token != ctx.view.fencing_token
        ):
            self.scanned_at, self.scanned_token = ctx.now, ctx.view.fencing_token
            self._scan_machines()
        self.owner_placement.place_assigned_tasks()

    def _scan_machines(self) -> None:
        """Mark silent machines, and remove those that are gone or have another owner."""
        ctx = self.ctx
        lease_s = ctx.settings.params.workers.lease_s * LEASE_DRIFT_FACTOR + 0.5
        max_report_age_s = ctx.max_report_age_s()
        for machine in list(ctx.machines.values()):
            if not ctx.owns(machine.id, machine.zone):
                del ctx.machines[machine.id]
                continue
            if ctx.ownership.is_released(machine.id):
                continue  # its new owner may renew the lease by now: silence here proves nothing
            # Counted from the roster's change at the earliest: an owner that returns after a
            # partition has not received the reports that its substitute received, and must not
            # take the machine for lost.
            silence_s = ctx.now - max(
                machine.last_report_at, machine.last_response_at, ctx.token_seen_at
            )
            if silence_s > lease_s and not machine.lease_expired:
                machine.lease_expired = True
                log.info("machine %s: silent for %.1f s", machine.id, silence_s)
            if machine.lease_expired:
                self._expire(machine)
            # Not chained with a comparison to the previous value: such a chain inverts the mark
            # at every check, so that half of the machines that were silent for a moment stay
            # marked, take no tasks from the leader, and are never returned.
            machine.unresponsive = ctx.now - machine.last_report_at > max_report_age_s
            if silence_s > REMOVE_SILENT_S and not ctx.view.entries_on(machine.id):
                self.remove_machine(machine.id)

    def stop_peer_cancelled_tasks(self) -> None:
        """Stop tasks of jobs that only a sibling knows to be cancelled.

        This is done even while this controller may take no other decisions. The stop also goes
        to workers that do not report here now; a worker that has seen a higher fencing token
        ignores it.
        """
        ctx = self.ctx
        job_ids, ctx.new_peer_cancellations = ctx.new_peer_cancellations, []
        machine_ids = {
            entry.machine: None
            for job_id in job_ids
            if (job := ctx.view.jobs.get(job_id)) is not None
            for entry in job.entries
        }
        for machine_id in machine_ids:
            if (machine := ctx.machines.get(machine_id)) is not None:
                self.command_planner.send_stops(machine)

    def _expire(self, machine: Machine) -> None:
        """Propose the tasks of a machine with an expired lease as gone.

        The lease has expired for certain only if the worker has seen the current fencing token:
        then no other controller can have renewed it. Otherwise a former owner that is cut off
        from the state service, but not from the worker, may have responded to it.
        """
        ctx = self.ctx
        if machine.token != ctx.machine_token(machine.id):
            return
        for job_id, entry in ctx.view.entries_on(machine.id):
            if entry.stage != ASSIGNED:
                self.command_planner.propose_gone(job_id, entry, machine)
