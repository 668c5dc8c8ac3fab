"""Edits of job records: every step of a task's life, each checked against the record.

An edit raises NotApplicableError when the record has moved on, so a late or repeated decision
changes nothing. A task has at most one entry, and its entry leaves only when
the task is done or its place is proven gone.
"""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from msgspec import Struct

from coursefold.protocol.wire import Job
from coursefold.storage import records
from coursefold.storage.cell_records import AwayStage, Guest, GuestStage
from coursefold.storage.edits import Change, End, NotApplicableError, Result
from coursefold.storage.records import DEALT, PLACED, STOPPING, Ending, Entry, JobRecord


def _job(record: Struct | None) -> JobRecord:
    if not isinstance(record, JobRecord):
        raise NotApplicableError("over")
    return record


def _live(record: Struct | None) -> JobRecord:
    job = _job(record)
    if job.status != records.LIVE:
        raise NotApplicableError("cancelled")
    return job


def _startable(record: Struct | None) -> JobRecord:
    """A live job that waits for no other: without this, news out of order could start it."""
    job = _live(record)
    if job.needs:
        raise NotApplicableError("waits for other jobs")
    if not job.may_start:
        raise NotApplicableError("another cell's to run, or not granted to us")
    return job


def end_if_complete(job: JobRecord) -> Result:
    """The record itself, or its ending when nothing of it is left to do.

    The ending takes the record's place, which is one change; it moves to where it
    stays (`sweep`) when there is nothing more urgent to write. A job that is away ends on the
    guest cell's word or on proof; another cell's job is not ours to end, so its record says
    what became of it until its home has confirmed that.
    """
    if job.guest is not None:
        return _settle_guest(job, job.guest)
    if job.is_away:
        return job
    if job.status == records.CANCELLED and not job.entries:
        return Ending(records.CANCELLED, job.spec.tasks)
    if job.status == records.LIVE and job.done_count >= job.spec.tasks:
        return Ending(records.DONE, job.spec.tasks)
    return job


def _settle_guest(job: JobRecord, guest: Guest) -> JobRecord:
    if job.entries or guest.stage in (GuestStage.RELEASED, GuestStage.FINISHED):
        return job
    if job.done_count >= job.spec.tasks:
        stage = GuestStage.FINISHED
    elif job.status == records.CANCELLED:
        stage = GuestStage.RELEASED
    else:
        return job
    return msgspec.structs.replace(job, guest=msgspec.structs.replace(guest, stage=stage))


def move_ending() -> Change:
    """Move an ending out of the live jobs' keys, so that a starting node need not read it."""

    def change(record: Struct | None) -> Result:
        if not isinstance(record, Ending):
            raise NotApplicableError("not ended")
        # When it ended is asked by those that need it, and none does any more.
        return End(Ending(record.status, record.tasks))

    return change


def accept(spec: Job, at: float, needs: Sequence[str] = (), cancelled: bool = False) -> Change:
    """A new job; NotApplicableError where it is known already.

    `needs` are the jobs before it that are not done; `cancelled` if one of them never will be.
    """

    def change(record: Struct | None) -> Result:
        if record is not None:
            raise NotApplicableError("known")
        if cancelled:
            return Ending(records.CANCELLED, spec.tasks)
        return JobRecord(msgspec.structs.replace(spec, prereqs=None), at, needs=list(needs))

    return change


def clear_prerequisites(ready: float) -> Change:
    """All that the job needs is done: from here on its tasks may be dealt.

    Made in the transaction of the first deal, so it costs no change of its own. That
    what it needed is done was seen before, and never changes again.
    """

    def change(record: Struct | None) -> Result:
        job = _live(record)
        if not job.needs:
            raise NotApplicableError("waits for nothing")
        return msgspec.structs.replace(job, needs=[], ready=ready)

    return change


def cancel_dependent() -> Change:
    """The ending of a job that needs a cancelled one; it has no task, and never had."""

    def change(record: Struct | None) -> Result:
        job = _live(record)
        if not job.needs or job.entries:
            raise NotApplicableError("waits for nothing")
        return Ending(records.CANCELLED, job.spec.tasks)

    return change


def cancel() -> Change:
    """From here on nothing of the job starts; what has a place is stopped by its owner."""

    def change(record: Struct | None) -> Result:
        job = _live(record)
        kept = [e for e in job.entries if e.stage != DEALT]
        away = job.away
        if away is not None and away.stage == AwayStage.OFFERED:
            # Nobody may start it without a grant, and there will be none.
            away = msgspec.structs.replace(away, stage=AwayStage.HOME)
        return end_if_complete(
            msgspec.structs.replace(job, status=records.CANCELLED, entries=kept, away=away)
        )

    return change


class Assignment(NamedTuple):
    """A waiting task handed to an owner; `machine` is only a hint."""

    number: int
    owner: str
    zone: str
    machine: str


def assign(tasks: list[Assignment]) -> Change:
    """Hand waiting tasks to owners; those that no longer wait are left out."""

    def change(record: Struct | None) -> Result:
        job = _startable(record)
        taken = {e.index for e in job.entries}
        new = [
            Entry(t.number, DEALT, job.attempt, t.owner, t.zone, t.machine)
            for t in tasks
            if t.number not in taken and not job.is_done(t.number)
        ]
        if not new:
            raise NotApplicableError("not waiting")
        return msgspec.structs.replace(job, entries=[*job.entries, *new])

    return change


def unassign(index: int, owner: str) -> Change:
    """Hand a task back for which the owner finds no place."""

    def change(record: Struct | None) -> Result:
        job = _live(record)
        kept = [
            e
            for e in job.entries
            if not (e.index == index and e.stage == DEALT and e.owner == owner)
        ]
        if len(kept) == len(job.entries):
            raise NotApplicableError("not dealt")
        return msgspec.structs.replace(job, entries=kept)

    return change


class TaskRef(NamedTuple):
    """A task at a place, as a step names it; what a step does not need is left empty."""

    number: int
    attempt: int = 0
    zone: str = ""
    machine: str = ""
    session: int = 0


def place(owner: str, tasks: Sequence[TaskRef]) -> Change:
    """Give dealt (or waiting) tasks their machines; each attempt's number is new.

    Those that are done, or no longer the owner's to place, are left out.
    """

    def change(record: Struct | None) -> Result:
        job = _startable(record)
        entries = {e.index: e for e in job.entries}
        attempt = job.attempt
        for task in tasks:
            now = entries.get(task.number)
            if job.is_done(task.number):
                continue
            if now is not None and (now.stage != DEALT or now.owner != owner):
                continue
            attempt += 1
            entries[task.number] = Entry(
                task.number, PLACED, attempt, owner, task.zone, task.machine, task.session
            )
        if attempt == job.attempt:
            raise NotApplicableError("nothing of it is ours to place")
        return msgspec.structs.replace(job, attempt=attempt, entries=list(entries.values()))

    return change


def place_gang(places: list[tuple[str, str, str, int]]) -> Change:
    """Start a gang's next attempt: one (owner, zone, machine, session) for each task.

    NotApplicableError unless every task of the former attempt is proven gone: until then its
    old places forbid starting the same task elsewhere.
    """

    def change(record: Struct | None) -> Result:
        job = _startable(record)
        if job.entries or len(places) != job.spec.tasks:
            raise NotApplicableError("not waiting")
        attempt = job.attempt + 1
        entries = [
            Entry(i, PLACED, attempt, owner, zone, machine, session)
            for i, (owner, zone, machine, session) in enumerate(places)
        ]
        return msgspec.structs.replace(job, attempt=attempt, entries=entries)

    return change


def mark_stopping(index: int | None, attempt: int) -> Change:
    """Write down that a task (all of a gang: None) is to be stopped, before it is told."""

    def change(record: Struct | None) -> Result:
        job = _job(record)
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


def _without(job: JobRecord, index: int, machine: str, attempt: int) -> list[Entry]:
    kept = [
        e
        for e in job.entries
        if not (e.index == index and e.machine == machine and e.attempt == attempt)
    ]
    if len(kept) == len(job.entries):
        raise NotApplicableError("not there")
    return kept


def mark_gone(index: int, machine: str, attempt: int) -> Change:
    """The task's place is proven gone; it waits again, or its cancelled job ends."""

    def change(record: Struct | None) -> Result:
        job = _job(record)
        return end_if_complete(
            msgspec.structs.replace(job, entries=_without(job, index, machine, attempt))
        )

    return change


def mark_done(index: int, machine: str, attempt: int) -> Change:
    """The task is done. A gang completes together: one done task means all are."""

    def change(record: Struct | None) -> Result:
        job = _job(record)
        kept = _without(job, index, machine, attempt)
        if job.status == records.CANCELLED:
            return end_if_complete(msgspec.structs.replace(job, entries=kept))
        if job.spec.shape == "ensemble":
            if job.guest is None:
                return Ending(records.DONE, job.spec.tasks)
            whole = [(0, job.spec.tasks - 1)]
            return end_if_complete(msgspec.structs.replace(job, entries=[], done=whole))
        done = records.add_done(job.done, index)
        return end_if_complete(msgspec.structs.replace(job, entries=kept, done=done, errors=0))

    return change


def mark_failed(index: int, machine: str, attempt: int, wall: float) -> Change:
    """The task ended with an error: it waits again, longer after each error.

    A job submitted with a mistake fails everywhere until its user cancels it;
    without the pause it would take machine after machine from the others.
    """

    def change(record: Struct | None) -> Result:
        job = _job(record)
        errors = job.errors + 1
        pause = min(60.0, 0.5 * 2 ** min(errors - 1, 7))
        return end_if_complete(
            msgspec.structs.replace(
                job,
                entries=_without(job, index, machine, attempt),
                errors=errors,
                retry_at=wall + pause,
                # Tried elsewhere next: that tells a faulty machine from a faulty job.
                failed_on=[*(m for m in job.failed_on if m != machine), machine][-4:],
            )
        )

    return change


class TaskTransition(NamedTuple):
    """An owner's edit in a form that can be sent to the leader."""

    kind: str
    tasks: tuple[TaskRef, ...]
    owner: str
    at: float = 0.0

    def is_valid(self) -> bool:
        """False for what no owner would send."""
        several = self.kind == "place"
        return self.kind in KINDS and (len(self.tasks) == 1 or (several and bool(self.tasks)))

    def to_change(self) -> Change:
        """The edit that the step stands for."""
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
            return mark_failed(task.number, task.machine, task.attempt, self.at)
        return unassign(task.number, self.owner)


KINDS = frozenset({"place", "stop", "stop_all", "gone", "finish", "failed", "undeal"})
