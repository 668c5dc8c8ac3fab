"""Commands to workers: the difference between what a report shows and what the records say.

Commands travel in answers to reports only (a worker drops a late answer), so a `run` can be in
flight no longer than one report. That makes the proof of absence simple: a later report under
our token that does not list the task. Stops may also go to a worker's own address.
"""

import logging

from coursefold.coordination import cancellations
from coursefold.coordination.context import Context, Machine
from coursefold.coordination.effects import Direct
from coursefold.coordination.transitions import TransitionProposer
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Order, Report, TaskReport
from coursefold.storage.records import DEALT, LIVE, PLACED, STOPPING, Entry, JobRecord

log = logging.getLogger(__name__)

# Exits after which the task is forgotten and started again in its place. `busy`: an
# older attempt was still there. `incomplete`: the gang's other images took longer
# than `gang_wait_s`; the image is here now, and the attempt is not lost by it.
STARTED_AGAIN = frozenset({"busy", "incomplete"})


class Commands:
    """Finds commands for machines of our part, and has exits written."""

    def __init__(self, ctx: Context, steps: TransitionProposer) -> None:
        self.ctx, self.steps = ctx, steps

    def for_report(self, machine: Machine, report: Report) -> list[Order]:
        """Compare what is there with what should be, and command the difference."""
        ctx = self.ctx
        forgets: list[Order] = []
        stops: list[Order] = []
        runs: list[Order] = []
        entries = {
            (job, e.index): e for job, e in ctx.view.on_machine(machine.id) if e.stage != DEALT
        }
        for (name, number), item in machine.tasks.items():
            place = (JobId(name), number)
            entry = entries.get(place)
            known = entry is not None and entry.attempt == item.attempt
            if item.state == "exited":
                if known and entry is not None and item.cause not in STARTED_AGAIN:
                    self._exited(machine, JobId(place[0]), entry, item)
                else:
                    forgets.append(Order("forget", item.task, item.attempt))
                continue
            if not known or entry is None:
                stops.append(Order("stop", item.task, item.attempt, 0.0))
                continue
            job = ctx.view.jobs[JobId(place[0])]
            if cancellations.is_cancelled_or_expired(ctx, place[0]):
                stops.append(Order("stop", item.task, item.attempt, 0.0))
            elif entry.stage == STOPPING and item.state != "flushing":
                stops.append(Order("stop", item.task, item.attempt, self._grace(job)))
            elif entry.stage == PLACED:
                self._drain(machine, JobId(place[0]), job, entry)
        for place, entry in entries.items():
            self._missing(machine, report, JobId(place[0]), entry, runs)
        return [*forgets, *stops, *runs]

    @staticmethod
    def _grace(job: JobRecord) -> float:
        return job.spec.save + 1.0 if job.spec.checkpoint > 0 else 0.0

    def _missing(
        self, machine: Machine, report: Report, job_id: JobId, entry: Entry, runs: list[Order]
    ) -> None:
        """A task that should be here and is not listed, or belongs to an older session."""
        ctx = self.ctx
        place = (job_id, entry.index)
        listed = machine.tasks.get(place)
        if entry.session < report.session:
            self.gone(job_id, entry, machine)
            return
        if listed is not None and listed.state != "exited":
            return
        if (
            listed is not None
            and listed.attempt == entry.attempt
            and listed.cause not in STARTED_AGAIN
        ):
            return
        job = ctx.view.jobs[job_id]
        if job.status == LIVE and entry.stage == PLACED:
            if cancellations.is_cancelled_or_expired(ctx, job_id):
                return  # its own news decides what becomes of the place
            runs.append(Order("run", f"{job_id}/{entry.index}", entry.attempt))
            return
        # Proof of absence. A worker has one report in flight, so this one, newer than
        # any we answered, shows what came of our own `run`. Only under our own token:
        # a former owner's `run` could still be on its way to a worker without it.
        if report.token == ctx.token_of(machine.id):
            self.gone(job_id, entry, machine)

    def gone(self, job_id: JobId, entry: Entry, machine: Machine) -> None:
        """Have it written that a task's place is proven gone."""
        self.steps.propose(job_id, "gone", entry, f"gone{entry.index}", machine=machine.id)

    def _drain(self, machine: Machine, job_id: JobId, job: JobRecord, entry: Entry) -> None:
        """Save a task's progress before its machine is taken."""
        if machine.recall_at is None or job.spec.checkpoint <= 0:
            return
        left = machine.recall_at - self.ctx.now
        report = self.ctx.settings.params.workers.report_s
        if job.spec.save < left < job.spec.save + 2.5 * report + 2.0:
            kind = "stop_all" if job.spec.shape == "ensemble" else "stop"
            self.steps.propose(job_id, kind, entry, f"stop{entry.index}")

    def _exited(self, machine: Machine, job_id: JobId, entry: Entry, item: TaskReport) -> None:
        """Record an exit; `forget` follows once it is recorded."""
        ctx = self.ctx
        cause = item.cause
        job = ctx.view.jobs[job_id]
        tag = f"exit{entry.index}.{entry.attempt}"
        begun = None
        if cause == "done":
            kind = "finish"
            begun = machine.running.pop((job_id, entry.index, entry.attempt), None)
            machine.failures.clear()
        elif cause in ("error", "unknown"):
            kind = "failed"
            if cause == "error":
                self._suspect(machine, job_id, job)
        else:
            kind = "gone"
        if self.steps.propose(job_id, kind, entry, tag, machine=machine.id):
            if begun is not None:
                ctx.finished.append((job.spec.lane, ctx.now - begun))
            log.info(
                "task %s/%d#%d on %s: %s", job_id, entry.index, entry.attempt, machine.id, cause
            )

    def _suspect(self, machine: Machine, job_id: JobId, job: JobRecord) -> None:
        """Tell a faulty machine from a faulty job.

        A machine is sick when tasks of two jobs fail on it with no success between
        them, or two of a job that succeeds elsewhere. A job that was submitted with
        a mistake fails everywhere and is no proof against any machine.
        """
        mark = f"{job_id}.{job.attempt}"
        if mark in machine.failures:
            return
        machine.failures.append(mark)
        names = {f.partition(".")[0] for f in machine.failures}
        if not machine.sick and (
            len(names) >= 2 or (len(machine.failures) >= 2 and job.done_count > 0)
        ):
            machine.sick = True
            self.ctx.tell = True
            log.info(
                "machine %s fails what it starts (%s): out of use", machine.id, ",".join(names)
            )

    def stop_now(self, machine: Machine) -> None:
        """Tell a worker to stop a task without waiting for its report.

        Only stops go this way, and only once they are written: a command to the
        worker's own address may execute minutes late, and a late stop of an attempt
        that has to stop is harmless, while a late `run` is not.
        """
        ctx = self.ctx
        orders = []
        for job_id, entry in ctx.view.on_machine(machine.id):
            job = ctx.view.jobs[job_id]
            key = (job_id, entry.index, entry.attempt)
            listed = machine.tasks.get((job_id, entry.index))
            off = cancellations.is_cancelled_or_expired(ctx, job_id)
            if (
                (off or entry.stage == STOPPING)
                and entry.session == machine.session
                and listed is not None
                and listed.attempt == entry.attempt
                and listed.state not in ("exited", "flushing")
                and key not in machine.stops_sent
            ):
                machine.stops_sent.add(key)
                grace = 0.0 if off else self._grace(job)
                orders.append(Order("stop", f"{job_id}/{entry.index}", entry.attempt, grace))
        if orders:
            token = ctx.token_of(machine.id)
            ctx.out.append(Direct(machine.addr, token, machine.session, orders))
