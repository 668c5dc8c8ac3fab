"""Edits of job records: every step of a task's life, each checked against the record.

An edit raises Void when the record has moved on, so a late or repeated decision
changes nothing. A task has at most one entry, and its entry leaves only when
the task is done or its place is proven gone.
"""

import msgspec
from msgspec import Struct

from coursefold.protocol.wire import Job
from coursefold.storage import records
from coursefold.storage.queue import Change, End, Result, Void
from coursefold.storage.records import DEALT, PLACED, STOPPING, Ending, Entry, JobRecord


def _job(record: Struct | None) -> JobRecord:
    if not isinstance(record, JobRecord):
        raise Void("over")
    return record


def _live(record: Struct | None) -> JobRecord:
    job = _job(record)
    if job.status != records.LIVE:
        raise Void("cancelled")
    return job


def settle(job: JobRecord) -> Result:
    """The record itself, or its ending when nothing of it is left to do."""
    if job.status == records.CANCELLED and not job.entries:
        return End(Ending(records.CANCELLED, job.spec.tasks))
    if job.status == records.LIVE and job.done_count >= job.spec.tasks:
        return End(Ending(records.DONE, job.spec.tasks))
    return job


def accept(spec: Job, at: float) -> Change:
    """A new job; Void where it is known already."""

    def change(record: Struct | None) -> Result:
        if record is not None:
            raise Void("known")
        return JobRecord(spec, at)

    return change


def cancel() -> Change:
    """From here on nothing of the job starts; what has a place is stopped by its owner."""

    def change(record: Struct | None) -> Result:
        job = _live(record)
        kept = [e for e in job.entries if e.stage != DEALT]
        return settle(msgspec.structs.replace(job, status=records.CANCELLED, entries=kept))

    return change


def deal(index: int, owner: str, zone: str, machine: str) -> Change:
    """Hand a waiting task to an owner; `machine` is only a hint."""

    def change(record: Struct | None) -> Result:
        job = _live(record)
        if job.is_done(index) or any(e.index == index for e in job.entries):
            raise Void("not waiting")
        entry = Entry(index, DEALT, job.attempt, owner, zone, machine)
        return msgspec.structs.replace(job, entries=[*job.entries, entry])

    return change


def undeal(index: int, owner: str) -> Change:
    """Hand a task back for which the owner finds no place."""

    def change(record: Struct | None) -> Result:
        job = _live(record)
        kept = [
            e
            for e in job.entries
            if not (e.index == index and e.stage == DEALT and e.owner == owner)
        ]
        if len(kept) == len(job.entries):
            raise Void("not dealt")
        return msgspec.structs.replace(job, entries=kept)

    return change


def place(index: int, owner: str, zone: str, machine: str, session: int) -> Change:
    """Give a dealt (or waiting) task its machine; the attempt's number is new."""

    def change(record: Struct | None) -> Result:
        job = _live(record)
        if job.is_done(index):
            raise Void("done")
        now = next((e for e in job.entries if e.index == index), None)
        if now is not None and (now.stage != DEALT or now.owner != owner):
            raise Void("not dealt to us")
        attempt = job.attempt + 1
        entry = Entry(index, PLACED, attempt, owner, zone, machine, session)
        rest = [e for e in job.entries if e.index != index]
        return msgspec.structs.replace(job, attempt=attempt, entries=[*rest, entry])

    return change


def place_gang(places: list[tuple[str, str, str, int]]) -> Change:
    """Start a gang's next attempt: one (owner, zone, machine, session) for each task.

    Void unless every task of the former attempt is proven gone: until then its
    old places forbid starting the same task elsewhere.
    """

    def change(record: Struct | None) -> Result:
        job = _live(record)
        if job.entries or len(places) != job.spec.tasks:
            raise Void("not waiting")
        attempt = job.attempt + 1
        entries = [
            Entry(i, PLACED, attempt, owner, zone, machine, session)
            for i, (owner, zone, machine, session) in enumerate(places)
        ]
        return msgspec.structs.replace(job, attempt=attempt, entries=entries)

    return change


def stopping(index: int | None, attempt: int) -> Change:
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
            raise Void("not placed")
        return msgspec.structs.replace(job, entries=entries)

    return change


def _without(job: JobRecord, index: int, machine: str, attempt: int) -> list[Entry]:
    kept = [
        e
        for e in job.entries
        if not (e.index == index and e.machine == machine and e.attempt == attempt)
    ]
    if len(kept) == len(job.entries):
        raise Void("not there")
    return kept


def gone(index: int, machine: str, attempt: int) -> Change:
    """The task's place is proven gone; it waits again, or its cancelled job ends."""

    def change(record: Struct | None) -> Result:
        job = _job(record)
        return settle(msgspec.structs.replace(job, entries=_without(job, index, machine, attempt)))

    return change


def finish(index: int, machine: str, attempt: int) -> Change:
    """The task is done. A gang completes together: one done task means all are."""

    def change(record: Struct | None) -> Result:
        job = _job(record)
        kept = _without(job, index, machine, attempt)
        if job.status == records.CANCELLED:
            return settle(msgspec.structs.replace(job, entries=kept))
        if job.spec.shape == "ensemble":
            return End(Ending(records.DONE, job.spec.tasks))
        done = records.add_done(job.done, index)
        return settle(msgspec.structs.replace(job, entries=kept, done=done, errors=0))

    return change


def failed(index: int, machine: str, attempt: int, wall: float) -> Change:
    """The task ended with an error: it waits again, longer after each error.

    A job submitted with a mistake fails everywhere until its user cancels it;
    without the pause it would take machine after machine from the others.
    """

    def change(record: Struct | None) -> Result:
        job = _job(record)
        errors = job.errors + 1
        pause = min(60.0, 0.5 * 2 ** min(errors - 1, 7))
        return settle(
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
