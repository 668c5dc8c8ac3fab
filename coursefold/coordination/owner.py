"""An owner's work: its workers' reports, and which machines of its part are silent.

What they are told is found by `commands`, where dealt tasks go by `placing`.
"""

import logging

from coursefold.coordination import cancellations
from coursefold.coordination.commands import Commands
from coursefold.coordination.context import DRIFT, Context, Machine
from coursefold.coordination.effects import Answer
from coursefold.coordination.election import Election
from coursefold.coordination.hearing import Hearing
from coursefold.coordination.lease_renewal import LeaseRenewal
from coursefold.coordination.owner_placement import OwnerPlacement
from coursefold.coordination.transitions import ForwardTransition, TransitionProposer
from coursefold.protocol.ids import parse_task
from coursefold.protocol.wire import Order, Report
from coursefold.storage.records import DEALT

log = logging.getLogger(__name__)


SWEEP_S = 0.5  # between looks at the whole part
FORGET_S = 120.0  # of silence: then a machine without tasks is no longer ours
DEPARTED = 20_000  # machines; 2 MB


class Owner:
    """Acts for the machines whose hash falls to this node."""

    def __init__(self, ctx: Context, election: Election, forward: ForwardTransition) -> None:
        self.ctx, self.election = ctx, election
        steps = TransitionProposer(ctx, forward)
        self.hearing = Hearing(ctx)
        self.renewal = LeaseRenewal(ctx)
        self.commands = Commands(ctx, steps)
        self.placing = OwnerPlacement(ctx, steps)
        self.swept_at = -1e9
        self.swept_token = -1
        self.departed: dict[str, tuple[int, int]] = {}

    # Reports

    def report(self, report: Report, ticket: int) -> None:
        """Answer a report: 200 with commands, 421 with the owner, or 503."""
        ctx = self.ctx
        roster = ctx.view.roster
        if roster is None or not ctx.view.loaded:
            self._refuse(ticket)
            return
        owner = ctx.owner(report.machine, report.zone)
        if owner != ctx.me:
            if (
                owner is not None
                and self.renewal.stands_in_for(owner)
                and report.token <= ctx.token_of(report.machine)
            ):
                self._keep(report, ticket)
                return
            if ctx.now - ctx.follow_ok_at > ctx.news_age() or owner is None:
                self._refuse(ticket)
                return
            self.election.record_misdirected(owner, report.machine)
            ctx.out.append(Answer(ticket, 421, {"Foreman": owner}))
            return
        if not self._may_command(report.machine, report.token):
            if report.token <= ctx.token_of(report.machine) and self._may_renew(report.machine):
                self._keep(report, ticket)
            else:
                self._refuse(ticket)
            return
        machine = self._machine(report)
        if machine is None or (report.session, report.counter) <= (
            machine.session,
            machine.counter,
        ):
            self._refuse(ticket)  # late or reordered: its list is as old as it is
            return
        self.hearing.check(machine, report)
        self._take(machine, report)
        orders = self.commands.for_report(machine, report)
        self._accept(machine, ticket, orders)

    def _may_command(self, machine: str, shown: int) -> bool:
        """May we decide on a machine of our part that has shown this token?"""
        ctx = self.ctx
        return (
            shown <= ctx.token_of(machine)
            and ctx.active()
            and not ctx.ownership.is_behind(machine)
            and not ctx.ownership.is_released(machine)
        )

    def _may_renew(self, machine: str) -> bool:
        """May we renew the lease of a machine that we may not command?"""
        if self.ctx.ownership.is_behind(machine):
            return False
        if self.ctx.ownership.is_released(machine):
            return self.renewal.may_renew_released()
        return not self.ctx.active() and self.renewal.may_renew()

    def _accept(self, machine: Machine, ticket: int, orders: list[Order]) -> None:
        """Answer a machine's report under its fencing token, which renews its lease."""
        ctx = self.ctx
        machine.answered = ctx.now
        body = {"Baton": ctx.token_of(machine.id), "Orders": orders}
        ctx.out.append(Answer(ticket, 200, body))

    def _refuse(self, ticket: int) -> None:
        self.ctx.out.append(Answer(ticket, 503, {"error": "not entitled"}, retry_after=1))

    def _machine(self, report: Report) -> Machine | None:
        """The machine that reports; None if this is a late copy from one that has left."""
        ctx = self.ctx
        machine = ctx.machines.get(report.machine)
        if machine is None:
            if (report.session, report.counter) <= self.departed.get(report.machine, (-1, -1)):
                return None
            machine = Machine(report.machine, report.build, report.zone, report.spot)
            machine.idle_since = ctx.now
            ctx.machines[report.machine] = machine
            log.info(
                "machine %s (%s, %s%s) reports",
                machine.id,
                machine.build,
                machine.zone,
                ", spot" * machine.spot,
            )
        return machine

    def depart(self, machine: str) -> None:
        """A machine of our part is no more. What of its reports comes late is told by this."""
        known = self.ctx.machines.pop(machine, None)
        if known is not None:
            self.departed[machine] = (known.session, known.counter)
            while len(self.departed) > DEPARTED:
                del self.departed[next(iter(self.departed))]

    def _keep(self, report: Report, ticket: int) -> None:
        """Renew a lease and command nothing but the end of cancelled tasks."""
        ctx = self.ctx
        machine = self._machine(report)
        if machine is None or (report.session, report.counter) <= (
            machine.session,
            machine.counter,
        ):
            self._refuse(ticket)
            return
        self._take(machine, report)
        orders = []
        for item in report.tasks:
            task = parse_task(item.task)
            off = task is not None and cancellations.is_cancelled_or_expired(ctx, task.job)
            if off and item.state != "exited":
                orders.append(Order("stop", item.task, item.attempt, 0.0))
        self._accept(machine, ticket, orders)

    def _take(self, machine: Machine, report: Report) -> None:
        """Note what the report shows."""
        ctx = self.ctx
        if report.session != machine.session:
            machine.running.clear()
            machine.stops_sent.clear()
            machine.images.clear() if machine.session == 0 else None
        machine.session, machine.counter, machine.token = (
            report.session,
            report.counter,
            report.token,
        )
        machine.heard, machine.addr, machine.lost = ctx.now, report.addr, False
        if report.recall is not None and machine.recall_at is None:
            log.info("machine %s will be taken in %.1f s", machine.id, report.recall)
            ctx.tell = True
        machine.recall_at = None if report.recall is None else ctx.now + report.recall
        machine.tasks = {}
        for item in report.tasks:
            task = parse_task(item.task)
            if task is None:
                log.error("machine %s lists %r, which is no task", machine.id, item.task)
                continue
            machine.tasks[(task.job, task.number)] = item
            job = ctx.view.jobs.get(task.job)
            if job is not None and item.state in ("running", "gathering", "flushing"):
                kind = ctx.kind(machine.build)
                machine.remember_image(
                    job.spec.image, job.spec.image_gb, kind.cache_gb if kind else 0.0
                )
            attempt = (task.job, task.number, item.attempt)
            if item.state == "running" and attempt not in machine.running:
                machine.running[attempt] = ctx.now
                log.debug("task %s#%d on %s runs", item.task, item.attempt, machine.id)
        if machine.tasks or ctx.view.on_machine(machine.id):
            machine.idle_since = ctx.now

    # The part

    def tick(self) -> None:
        """What changed at once; the whole part twice a second."""
        ctx = self.ctx
        moved, ctx.view.moved = ctx.view.moved, {}
        cancellations.prune(ctx)
        if not ctx.active():
            return
        for name in moved:
            machine = ctx.machines.get(name)
            if machine is not None and not machine.lost:
                self.commands.stop_now(machine)
        if ctx.now - self.swept_at >= SWEEP_S or self.swept_token != ctx.view.token:
            self.swept_at, self.swept_token = ctx.now, ctx.view.token
            self._sweep()
        self.placing.place_assigned_tasks()

    def _sweep(self) -> None:
        """Which of our machines are silent."""
        ctx = self.ctx
        lease = ctx.settings.params.workers.lease_s * DRIFT + 0.5
        alive = ctx.alive_within()
        for machine in list(ctx.machines.values()):
            if not ctx.owns(machine.id, machine.zone):
                del ctx.machines[machine.id]
                continue
            if ctx.ownership.is_released(machine.id):
                continue  # another may renew its lease by now: silence towards us proves nothing
            # Counted from the roster's change: an owner that was cut off and comes
            # back has not heard what its stand-in heard, and must not give it up.
            quiet = ctx.now - max(machine.heard, machine.answered, ctx.token_since)
            if quiet > lease and not machine.lost:
                machine.lost = True
                log.info("machine %s: silent for %.1f s", machine.id, quiet)
            if machine.lost:
                self._expire(machine)
            # Written once as a chained comparison, which turned the mark over at every look:
            # half of the machines that had fallen silent for a moment stayed marked for good,
            # took no tasks from the leader, and were never returned.
            machine.quiet = ctx.now - machine.heard > alive
            if quiet > FORGET_S and not ctx.view.on_machine(machine.id):
                self.depart(machine.id)

    def stop_handed(self) -> None:
        """Stop what a sibling says is cancelled, also while we may decide nothing else.

        A worker that does not report to us now gets the word all the same; one that has
        seen a higher token than ours ignores it.
        """
        ctx = self.ctx
        names, ctx.handed_now = ctx.handed_now, []
        places = {
            entry.machine: None
            for name in names
            if (job := ctx.view.jobs.get(name)) is not None
            for entry in job.entries
        }
        for place in places:
            if (machine := ctx.machines.get(place)) is not None:
                self.commands.stop_now(machine)

    def _expire(self, machine: Machine) -> None:
        """Its lease is over: nobody but us could renew it, and we did not.

        True only if the worker has seen our token: else a former owner that is cut
        off from the state service, but not from the worker, may have answered it.
        """
        ctx = self.ctx
        if machine.token != ctx.token_of(machine.id):
            return
        for job_id, entry in ctx.view.on_machine(machine.id):
            if entry.stage != DEALT:
                self.commands.gone(job_id, entry, machine)
