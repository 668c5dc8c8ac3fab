"""Edits of job records: each transition of a job or task, checked against the current record.

Each function returns a `Change`, which computes the next record from the current one. It
raises NotApplicableError if the transition does not apply to the current record, so a late or
repeated decision changes nothing. A task has at most one entry in its job's record. The entry
is removed only when the task is done or is known not to run on its machine any more.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec
from msgspec import Struct

from coursefold.protocol.wire import Job
from coursefold.storage import records
from coursefold.storage.cell_records import DelegationStage, Guest, GuestStage
from coursefold.storage.edits import ArchiveEnding, Change, EditResult, NotApplicableError
from coursefold.storage.records import ASSIGNED, PLACED, STOPPING, Ending, JobRecord, TaskEntry


def _require_job(record: Struct | None) -> JobRecord:
    if not isinstance(record, JobRecord):
        raise NotApplicableError("over")
    return record


def _require_live_job(record: Struct | None) -> JobRecord:
    job = _require_job(record)
    if job.status != records.LIVE:
        raise NotApplicableError("cancelled")
    return job


def _require_startable_job(record: Struct | None) -> JobRecord:
    """Return the record of a live job whose tasks may start here.

    The check of prerequisites keeps updates that arrive out of order from starting a job
    too early.
    """
    job = _require_live_job(record)
    if job.open_prerequisites:
        raise NotApplicableError("waits for other jobs")
    if not job.may_start:
        raise NotApplicableError("another cell's to run, or not granted to us")
    return job


def end_if_complete(job: JobRecord) -> EditResult:
    """Return the job's ending if nothing is left to do, else the record itself.

    The ending replaces the record under the same key, which is a single change; `move_ending`
    moves it to its final key when there is nothing more urgent to write. A job that runs in
    another cell ends when that cell reports its end or its end is proven otherwise. The record
    of a job that runs here for another cell is not ended here: it keeps the outcome until the
    home cell has confirmed it.
    """
    if job.guest is not None:
        return _end_guest_if_complete(job, job.guest)
    if job.is_delegated:
        return job
    if job.status == records.CANCELLED and not job.entries:
        return Ending(records.CANCELLED, job.spec.task_count)
    if job.status == records.LIVE and job.done_count >= job.spec.task_count:
        return Ending(records.DONE, job.spec.task_count)
    return job


def _end_guest_if_complete(job: JobRecord, guest: Guest) -> JobRecord:
    if job.entries or guest.stage in (GuestStage.RELEASED, GuestStage.FINISHED):
        return job
    if job.done_count >= job.spec.task_count:
        stage = GuestStage.FINISHED
    elif job.status == records.CANCELLED:
        stage = GuestStage.RELEASED
    else:
        return job
    return msgspec.structs.replace(job, guest=msgspec.structs.replace(guest, stage=stage))


def move_ending() -> Change:
    """Return an edit that moves an ending out of the live jobs' keys.

    A starting controller reads all live jobs' keys, and need not read ended jobs.
    """

    def change(record: Struct | None) -> EditResult:
        if not isinstance(record, Ending):
            raise NotApplicableError("not ended")
        # Only dependent jobs use the time of the end, and none is left.
        return ArchiveEnding(Ending(record.status, record.task_count))

    return change


def accept(
    spec: Job,
    submitted_at: float,
    open_prerequisites: Sequence[str] = (),
    has_cancelled_prerequisite: bool = False,
) -> Change:
    """Return an edit that stores a new job; it does not apply if the job is known already.

    Args:
        spec: The job's description.
        submitted_at: Wall-clock time of the submission in seconds.
        open_prerequisites: The prerequisites that are not done yet.
        has_cancelled_prerequisite: Whether a prerequisite was cancelled, so that the job can
            never start; it is stored as cancelled then.
    """

    def change(record: Struct | None) -> EditResult:
        if record is not None:
            raise NotApplicableError("known")
        if has_cancelled_prerequisite:
            return Ending(records.CANCELLED, spec.task_count)
        return JobRecord(
            msgspec.structs.replace(spec, prerequisites=None),
            submitted_at,
            open_prerequisites=list(open_prerequisites),
        )

    return change


def clear_prerequisites(ready_at: float) -> Change:
    """Return an edit that clears a job's prerequisites, so that its tasks may be assigned.

    The edit is part of the transaction of the first assignment, so it costs no change of its
    own. The caller has seen that all prerequisites are done, which never changes again.

    Args:
        ready_at: Wall-clock time in seconds from which the job could start.
    """

    def change(record: Struct | None) -> EditResult:
        job = _require_live_job(record)
        if not job.open_prerequisites:
            raise NotApplicableError("waits for nothing")
        return msgspec.structs.replace(job, open_prerequisites=[], ready_at=ready_at)

    return change


def cancel_dependent() -> Change:
    """Return an edit that ends a job because a prerequisite was cancelled.

    Such a job has never had an entry, so there are no tasks to stop.
    """

    def change(record: Struct | None) -> EditResult:
        job = _require_live_job(record)
        if not job.open_prerequisites or job.entries:
            raise NotApplicableError("waits for nothing")
        return Ending(records.CANCELLED, job.spec.task_count)

    return change


def cancel() -> Change:
    """Return an edit that cancels a job.

    No task of the job starts after it; the owners of the machines stop the tasks that have
    been placed. Tasks that were assigned but not placed are dropped.
    """

    def change(record: Struct | None) -> EditResult:
        job = _require_live_job(record)
        placed = [e for e in job.entries if e.stage != ASSIGNED]
        delegation = job.delegation
        if delegation is not None and delegation.stage == DelegationStage.OFFERED:
            # The other cell may not start the job without a grant, and none will be given.
            delegation = msgspec.structs.replace(delegation, stage=DelegationStage.HOME)
        return end_if_complete(
            msgspec.structs.replace(
                job, status=records.CANCELLED, entries=placed, delegation=delegation
            )
        )

    return change


class Assignment(NamedTuple):
    """A waiting task that the leader assigns to the owner of a machine."""

    number: int  # index of the task in its job
    owner: str
    zone: str
    machine: str  # a hint; the owner may place the task on another machine


def assign(tasks: list[Assignment]) -> Change:
    """Return an edit that assigns waiting tasks to owners, without those that no longer wait."""

    def change(record: Struct | None) -> EditResult:
        job = _require_startable_job(record)
        with_entry = {e.index for e in job.entries}
        new_entries = [
            TaskEntry(t.number, ASSIGNED, job.attempt, t.owner, t.zone, t.machine)
            for t in tasks
            if t.number not in with_entry and not job.is_done(t.number)
        ]
        if not new_entries:
            raise NotApplicableError("not waiting")
        return msgspec.structs.replace(job, entries=[*job.entries, *new_entries])

    return change


def unassign(index: int, owner: str) -> Change:
    """Return an edit that takes an assigned task back because its owner has no place for it."""

    def change(record: Struct | None) -> EditResult:
        job = _require_live_job(record)
        remaining = [
            e
            for e in job.entries
            if not (e.index == index and e.stage == ASSIGNED and e.owner == owner)
        ]
        if len(remaining) == len(job.entries):
            raise NotApplicableError("not dealt")
        return msgspec.structs.replace(job, entries=remaining)

    return change


class TaskRef(NamedTuple):
    """The task that a transition is about; fields that its kind does not need stay empty.

    The field names are those of the protobuf message of the same content.
    """

    number: int  # index of the task in its job
    attempt: int = 0
    zone: str = ""
    machine: str = ""
    session: int = 0  # the worker's session on the machine


def place(owner: str, tasks: Sequence[TaskRef]) -> Change:
    """Return an edit by which an owner places tasks that the leader has assigned to it.

    Tasks without an assignment to this owner in this zone are left out: only an assignment
    shows that the leader has counted the task against its team's limit.
    """

    def is_assigned(entry: TaskEntry | None, task: TaskRef) -> bool:
        return (
            entry is not None
            and entry.stage == ASSIGNED
            and entry.owner == owner
            and entry.zone in ("", task.zone)
        )

    return _place_tasks(owner, tasks, is_assigned)


def place_waiting(owner: str, tasks: Sequence[TaskRef]) -> Change:
    """Return an edit by which the leader places waiting tasks on machines of its own.

    The leader has counted the tasks against their team's limit. Tasks that are assigned, placed
    or done are left out.
    """
    return _place_tasks(owner, tasks, lambda entry, _: entry is None)


def _place_tasks(
    owner: str,
    tasks: Sequence[TaskRef],
    may_place: Callable[[TaskEntry | None, TaskRef], bool],
) -> Change:
    """Return an edit that places those tasks for whose present entry `may_place` holds.

    Each placed task gets a new attempt number.
    """

    def change(record: Struct | None) -> EditResult:
        job = _require_startable_job(record)
        entries = {e.index: e for e in job.entries}
        attempt = job.attempt
        for task in tasks:
            if job.is_done(task.number) or not may_place(entries.get(task.number), task):
                continue
            attempt += 1
            entries[task.number] = TaskEntry(
                task.number, PLACED, attempt, owner, task.zone, task.machine, task.session
            )
        if attempt == job.attempt:
            raise NotApplicableError("nothing of it is ours to place")
        return msgspec.structs.replace(job, attempt=attempt, entries=list(entries.values()))

    return change


def place_gang(places: list[tuple[str, str, str, int]]) -> Change:
    """Return an edit that starts a gang's next attempt.

    It applies only if no entry of the previous attempt is left: as long as a task may still
    run on its old machine, it must not start elsewhere.

    Args:
        places: One (owner, zone, machine, session) for each task, in the tasks' order.
    """

    def change(record: Struct | None) -> EditResult:
        job = _require_startable_job(record)
        if job.entries or len(places) != job.spec.task_count:
            raise NotApplicableError("not waiting")
        attempt = job.attempt + 1
        entries = [
            TaskEntry(i, PLACED, attempt, owner, zone, machine, session)
            for i, (owner, zone, machine, session) in enumerate(places)
        ]
        return msgspec.structs.replace(job, attempt=attempt, entries=entries)

    return change


def mark_stopping(index: int | None, attempt: int) -> Change:
    """Return an edit that records that a task is to be stopped, before the worker is told.

    Args:
        index: The task's index, or None for all tasks of the attempt (a gang).
        attempt: The attempt to stop.
    """

    def change(record: Struct | None) -> EditResult:
        job = _require_job(record)
        entries = [
            msgspec.structs.replace(e, stage=STOPPING)
            if e.stage == PLACED and e.attempt == attempt and index in (None, e.index)
            else e
            for e in job.entries
        ]
        if entries == job.entries:
            raise NotApplicableError("not placed")
        return msgspec.structs.replace(job, entries=entries)

    return change


def _entries_without(job: JobRecord, index: int, machine: str, attempt: int) -> list[TaskEntry]:
    remaining = [
        e
        for e in job.entries
        if not (e.index == index and e.machine == machine and e.attempt == attempt)
    ]
    if len(remaining) == len(job.entries):
        raise NotApplicableError("not there")
    return remaining


def mark_gone(index: int, machine: str, attempt: int) -> Change:
    """Return an edit for a task that is known not to run on its machine any more.

    The task waits again; if its job is cancelled and this was the last entry, the job ends.
    """

    def change(record: Struct | None) -> EditResult:
        job = _require_job(record)
        return end_if_complete(
            msgspec.structs.replace(job, entries=_entries_without(job, index, machine, attempt))
        )

    return change


def mark_done(index: int, machine: str, attempt: int) -> Change:
    """Return an edit for a task that is done.

    The tasks of a gang complete together: if one is done, all are.
    """

    def change(record: Struct | None) -> EditResult:
        job = _require_job(record)
        remaining = _entries_without(job, index, machine, attempt)
        if job.status == records.CANCELLED:
            return end_if_complete(msgspec.structs.replace(job, entries=remaining))
        if job.spec.kind == "ensemble":
            if job.guest is None:
                return Ending(records.DONE, job.spec.task_count)
            all_tasks = [(0, job.spec.task_count - 1)]
            return end_if_complete(msgspec.structs.replace(job, entries=[], done_ranges=all_tasks))
        done_ranges = records.add_to_ranges(job.done_ranges, index)
        return end_if_complete(
            msgspec.structs.replace(
                job, entries=remaining, done_ranges=done_ranges, failure_count=0
            )
        )

    return change


def mark_failed(index: int, machine: str, attempt: int, failed_at: float) -> Change:
    """Return an edit for a task that ended with an error; the job's tasks are retried later.

    The delay doubles with each error in a row, from 0.5 s up to 60 s. A job with a faulty
    description fails everywhere until its user cancels it, and without a delay it would
    occupy one machine after another.

    Args:
        index: The task's index.
        machine: The machine on which it failed.
        attempt: The attempt that failed.
        failed_at: Wall-clock time of the failure in seconds.
    """

    def change(record: Struct | None) -> EditResult:
        job = _require_job(record)
        failure_count = job.failure_count + 1
        retry_delay_s = min(60.0, 0.5 * 2 ** min(failure_count - 1, 7))
        return end_if_complete(
            msgspec.structs.replace(
                job,
                entries=_entries_without(job, index, machine, attempt),
                failure_count=failure_count,
                retry_at=failed_at + retry_delay_s,
                # The next attempt runs elsewhere, to tell a faulty machine from a faulty job.
                failed_on=[*(m for m in job.failed_on if m != machine), machine][-4:],
            )
        )

    return change


class TaskTransition(NamedTuple):
    """An owner's edit of a job record, in a form that can be sent to the leader."""

    kind: str  # one of TRANSITION_KINDS
    tasks: tuple[TaskRef, ...]  # one task, or several for "place"
    owner: str
    created_at: float = 0.0  # wall-clock time in seconds; used for "failed"

    def is_valid(self) -> bool:
        """Return whether the kind is known and the number of tasks fits it."""
        allows_several = self.kind == "place"
        return self.kind in TRANSITION_KINDS and (
            len(self.tasks) == 1 or (allows_several and bool(self.tasks))
        )

    def to_change(self) -> Change:
        """Return the edit that the transition stands for."""
        if self.kind == "place":
            return place(self.owner, self.tasks)
        task = self.tasks[0]
        if self.kind == "stop":
            return mark_stopping(task.number, task.attempt)
        if self.kind == "stop_all":
            return mark_stopping(None, task.attempt)
        if self.kind == "gone":
            return mark_gone(task.number, task.machine, task.attempt)
        if self.kind == "finish":
            return mark_done(task.number, task.machine, task.attempt)
        if self.kind == "failed":
            return mark_failed(task.number, task.machine, task.attempt, self.created_at)
        return unassign(task.number, self.owner)


TRANSITION_KINDS = frozenset({"place", "stop", "stop_all", "gone", "finish", "failed", "undeal"})
