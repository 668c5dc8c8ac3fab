"""Commands to workers: the difference between a worker's report and the records.

Commands are sent only in responses to reports, and a worker drops a late response, so a `run`
is in flight no longer than one report. This gives a simple proof that a task is gone: a later
report under the current fencing token that does not list it. Stops may also be sent to a
worker's own address.
"""

import logging

from coursefold.coordination import cancellations
from coursefold.coordination.context import Context, Machine
from coursefold.coordination.effects import SendCommands
from coursefold.coordination.transitions import TransitionProposer
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Command, Report, TaskReport
from coursefold.storage.records import ASSIGNED, LIVE, PLACED, STOPPING, JobRecord, TaskEntry

log = logging.getLogger(__name__)

# Exit causes after which the same attempt is run again on the machine. `busy`: an older attempt
# was still there. `incomplete`: the images of the gang's other tasks took longer than
# `gang_wait_s`; the image is on the machine now, and the attempt does not count as failed.
RETRIED_CAUSES = frozenset({"busy", "incomplete"})


class CommandPlanner:
    """Plans commands for own machines, and proposes the transitions that their reports show."""

    def __init__(self, ctx: Context, transitions: TransitionProposer) -> None:
        self.ctx, self.transitions = ctx, transitions

    def commands_for_report(self, machine: Machine, report: Report) -> list[Command]:
        """Return the commands that bring a machine from what it reports to what is recorded."""
        ctx = self.ctx
        forgets: list[Command] = []
        stops: list[Command] = []
        runs: list[Command] = []
        entries = {
            (job_id, entry.index): entry
            for job_id, entry in ctx.view.entries_on(machine.id)
            if entry.stage != ASSIGNED
        }
        for (name, index), task_report in machine.tasks.items():
            task_key = (JobId(name), index)
            entry = entries.get(task_key)
            is_current = entry is not None and entry.attempt == task_report.attempt
            if task_report.state == "exited":
                if is_current and entry is not None and task_report.cause not in RETRIED_CAUSES:
                    self._record_exit(machine, JobId(task_key[0]), entry, task_report)
                else:
                    forgets.append(Command("forget", task_report.task, task_report.attempt))
                continue
            if not is_current or entry is None:
                stops.append(Command("stop", task_report.task, task_report.attempt, 0.0))
                continue
            job = ctx.view.jobs[JobId(task_key[0])]
            if cancellations.is_cancelled_or_expired(ctx, task_key[0]):
                stops.append(Command("stop", task_report.task, task_report.attempt, 0.0))
            elif entry.stage == STOPPING and task_report.state != "flushing":
                stops.append(
                    Command("stop", task_report.task, task_report.attempt, self._stop_grace_s(job))
                )
            elif entry.stage == PLACED:
                self._save_before_recall(machine, JobId(task_key[0]), job, entry)
        for task_key, entry in entries.items():
            self._handle_missing(machine, report, JobId(task_key[0]), entry, runs)
        return [*forgets, *stops, *runs]

    @staticmethod
    def _stop_grace_s(job: JobRecord) -> float:
        return job.spec.checkpoint_save_s + 1.0 if job.spec.checkpoint_interval_s > 0 else 0.0

    def _handle_missing(
        self, machine: Machine, report: Report, job_id: JobId, entry: TaskEntry, runs: list[Command]
    ) -> None:
        """Handle a recorded task that is not listed, or belongs to an older session."""
        ctx = self.ctx
        task_key = (job_id, entry.index)
        listed = machine.tasks.get(task_key)
        if entry.session < report.session:
            self.propose_gone(job_id, entry, machine)
            return
        if listed is not None and listed.state != "exited":
            return
        if (
            listed is not None
            and listed.attempt == entry.attempt
            and listed.cause not in RETRIED_CAUSES
        ):
            return
        job = ctx.view.jobs[job_id]
        if job.status == LIVE and entry.stage == PLACED:
            if cancellations.is_cancelled_or_expired(ctx, job_id):
                return  # the recorded cancellation decides what becomes of the task
            runs.append(Command("run", f"{job_id}/{entry.index}", entry.attempt))
            return
        # Proof that the task is gone. A worker has one report in flight, so this one, newer
        # than any that was responded to, shows the effect of this controller's own `run`.
        # It holds under the current token only: a `run` of a former owner could still be on
        # its way to a worker that does not know the token yet.
        if report.token == ctx.machine_token(machine.id):
            self.propose_gone(job_id, entry, machine)

    def propose_gone(self, job_id: JobId, entry: TaskEntry, machine: Machine) -> None:
        """Propose that a task is recorded as gone; only after proof that it does not run."""
        self.transitions.propose(job_id, "gone", entry, f"gone{entry.index}", machine=machine.id)

    def _save_before_recall(
        self, machine: Machine, job_id: JobId, job: JobRecord, entry: TaskEntry
    ) -> None:
        """Stop a task in time to save its progress before the cloud takes its machine back."""
        if machine.recall_at is None or job.spec.checkpoint_interval_s <= 0:
            return
        remaining_s = machine.recall_at - self.ctx.now
        report_s = self.ctx.settings.params.workers.report_s
        if (
            job.spec.checkpoint_save_s
            < remaining_s
            < job.spec.checkpoint_save_s + 2.5 * report_s + 2.0
        ):
            kind = "stop_all" if job.spec.kind == "ensemble" else "stop"
            self.transitions.propose(job_id, kind, entry, f"stop{entry.index}")

    def _record_exit(
        self, machine: Machine, job_id: JobId, entry: TaskEntry, task_report: TaskReport
    ) -> None:
        """Propose to record an exit; `forget` is sent once it is recorded."""
        ctx = self.ctx
        cause = task_report.cause
        job = ctx.view.jobs[job_id]
        tag = f"exit{entry.index}.{entry.attempt}"
        started_at = None
        if cause == "done":
            kind = "finish"
            started_at = machine.running_since.pop((job_id, entry.index, entry.attempt), None)
            machine.failed_attempts.clear()
        elif cause in ("error", "unknown"):
            kind = "failed"
            if cause == "error":
                self._count_failure(machine, job_id, job)
        else:
            kind = "gone"
        if self.transitions.propose(job_id, kind, entry, tag, machine=machine.id):
            if started_at is not None:
                ctx.finished_runs.append((job.spec.job_class, ctx.now - started_at))
            log.info(
                "task %s/%d#%d on %s: %s", job_id, entry.index, entry.attempt, machine.id, cause
            )

    def _count_failure(self, machine: Machine, job_id: JobId, job: JobRecord) -> None:
        """Count a failure, and quarantine the machine if it is faulty rather than the job.

        A machine is quarantined when tasks of two jobs fail on it with no success in between,
        or two attempts of a job that succeeds elsewhere. A job with a mistake fails on every
        machine and is no evidence against any of them.
        """
        failed_attempt = f"{job_id}.{job.attempt}"
        if failed_attempt in machine.failed_attempts:
            return
        machine.failed_attempts.append(failed_attempt)
        job_ids = {f.partition(".")[0] for f in machine.failed_attempts}
        if not machine.quarantined and (
            len(job_ids) >= 2 or (len(machine.failed_attempts) >= 2 and job.done_count > 0)
        ):
            machine.quarantined = True
            self.ctx.notify_peers = True
            log.info(
                "machine %s quarantined: tasks of %s failed on it", machine.id, ",".join(job_ids)
            )

    def send_stops(self, machine: Machine) -> None:
        """Send stops to a worker's own address without waiting for its next report.

        Only stops are sent this way, and only once they are recorded: a command to a worker's
        own address may be executed minutes late. A late stop of an attempt that has to stop is
        harmless, whereas a late `run` is not.
        """
        ctx = self.ctx
        commands = []
        for job_id, entry in ctx.view.entries_on(machine.id):
            job = ctx.view.jobs[job_id]
            attempt_key = (job_id, entry.index, entry.attempt)
            listed = machine.tasks.get((job_id, entry.index))
            is_cancelled = cancellations.is_cancelled_or_expired(ctx, job_id)
            if (
                (is_cancelled or entry.stage == STOPPING)
                and entry.session == machine.session
                and listed is not None
                and listed.attempt == entry.attempt
                and listed.state not in ("exited", "flushing")
                and attempt_key not in machine.stops_sent
            ):
                machine.stops_sent.add(attempt_key)
                grace_s = 0.0 if is_cancelled else self._stop_grace_s(job)
                commands.append(Command("stop", f"{job_id}/{entry.index}", entry.attempt, grace_s))
        if commands:
            token = ctx.machine_token(machine.id)
            ctx.effects.append(SendCommands(machine.address, token, machine.session, commands))
