"""Edits of job records and links: every step of a handover, each checked against the record.

Home's steps name the epoch, the guest's the reservation too, so that a late or repeated one
changes nothing.
"""

import msgspec
from msgspec import Struct

from coursefold.cells.messages import GuestState, Handle, Offer, TaskRanges
from coursefold.coordination.jobs import end_if_complete
from coursefold.storage import records
from coursefold.storage.cell_records import CellLink, Delegation, DelegationStage, Guest, GuestStage
from coursefold.storage.edits import Change, DeleteKey, EditResult, NotApplicableError
from coursefold.storage.records import Ending, JobRecord

replace = msgspec.structs.replace


def merge_ranges(ranges: TaskRanges, added: TaskRanges) -> TaskRanges:
    """Ranges of task numbers brought together, in order."""
    merged: TaskRanges = []
    for first, last in sorted([*ranges, *added]):
        if merged and first <= merged[-1][1] + 1:
            merged[-1] = (merged[-1][0], max(last, merged[-1][1]))
        else:
            merged.append((first, last))
    return merged


# The home cell's


def _require_delegation(
    record: Struct | None, cell: str, handle: Handle
) -> tuple[JobRecord, Delegation]:
    """The record, if the job is away under this epoch."""
    if not isinstance(record, JobRecord) or record.delegation is None:
        raise NotApplicableError("not away")
    delegation = record.delegation
    if not record.is_delegated or (delegation.guest_cell, delegation.epoch) != (cell, handle.epoch):
        raise NotApplicableError("away under another epoch")
    return record, delegation


def offer_job(delegation: Delegation, ready_at: float) -> Change:
    """From here on nothing of the job starts at home, until it has come back."""

    def change(record: Struct | None) -> EditResult:
        if not isinstance(record, JobRecord) or record.status != records.LIVE:
            raise NotApplicableError("over")
        last_epoch = record.delegation.epoch if record.delegation else 0
        if (
            record.is_delegated
            or record.entries
            or record.guest is not None
            or delegation.epoch != last_epoch + 1
        ):
            raise NotApplicableError("not waiting")
        return replace(
            record,
            delegation=delegation,
            open_prerequisites=[],
            ready_at=ready_at if record.open_prerequisites else record.ready_at,
        )

    return change


def grant_job(cell: str, handle: Handle, wall_time: float) -> Change:
    """The guest cell has reserved room: it may start the job, for as long as the grant holds."""

    def change(record: Struct | None) -> EditResult:
        job, delegation = _require_delegation(record, cell, handle)
        if delegation.stage != DelegationStage.OFFERED or job.status != records.LIVE:
            raise NotApplicableError("not offered")
        granted = replace(
            delegation,
            stage=DelegationStage.GRANTED,
            reservation=handle.reservation,
            stage_started_at=wall_time,
        )
        return replace(job, delegation=granted)

    return change


def mark_running(cell: str, handle: Handle, wall_time: float) -> Change:
    """The guest cell says that tasks run: for the job's user."""

    def change(record: Struct | None) -> EditResult:
        job, delegation = _require_delegation(record, cell, handle)
        if (
            delegation.stage != DelegationStage.GRANTED
            or delegation.reservation != handle.reservation
        ):
            raise NotApplicableError("not granted")
        return replace(
            job,
            delegation=replace(
                delegation, stage=DelegationStage.RUNNING, stage_started_at=wall_time
            ),
        )

    return change


def note_progress(cell: str, handle: Handle, done: TaskRanges) -> Change:
    """Tasks that the guest cell says are done: shown to users, and not repeated if it is lost."""

    def change(record: Struct | None) -> EditResult:
        job, delegation = _require_delegation(record, cell, handle)
        if (
            delegation.stage == DelegationStage.OFFERED
            or delegation.reservation != handle.reservation
        ):
            raise NotApplicableError("another reservation")
        return replace(job, done_ranges=_add_done_ranges(job, done))

    return change


def _add_done_ranges(job: JobRecord, done: TaskRanges) -> TaskRanges:
    """The job's done tasks and those that it has been told of."""
    merged = merge_ranges(job.done_ranges, done)
    if merged == job.done_ranges or merged[-1][1] >= job.spec.task_count:
        raise NotApplicableError("nothing new, or no such task")
    return merged


def withdraw_job(cell: str, handle: Handle, wall_time: float, reason: str) -> Change:
    """Have the guest cell stop and release the job."""

    def change(record: Struct | None) -> EditResult:
        job, delegation = _require_delegation(record, cell, handle)
        if delegation.stage not in (DelegationStage.GRANTED, DelegationStage.RUNNING):
            raise NotApplicableError("not granted")
        return replace(
            job,
            delegation=replace(
                delegation, stage=DelegationStage.WITHDRAWN, stage_started_at=wall_time, why=reason
            ),
        )

    return change


def return_job(
    cell: str, handle: Handle, wall_time: float, reason: str, guest_state: GuestState | None = None
) -> Change:
    """The job is at home again: on the guest cell's word, on proof, or before any grant.

    `told` is that word: it names the reservation, and what was done there is done.
    """

    def change(record: Struct | None) -> EditResult:
        job, delegation = _require_delegation(record, cell, handle)
        if (
            delegation.stage != DelegationStage.OFFERED
            and delegation.reservation != handle.reservation
        ):
            raise NotApplicableError("another reservation")
        returned = replace(
            delegation, stage=DelegationStage.HOME, stage_started_at=wall_time, why=reason
        )
        if guest_state is not None:
            done = [
                r
                for r in merge_ranges(job.done_ranges, guest_state.done_ranges)
                if r[1] < job.spec.task_count
            ]
            job = replace(job, done_ranges=done, attempt=max(job.attempt, guest_state.attempt))
        return end_if_complete(replace(job, delegation=returned))

    return change


def finish_job(cell: str, handle: Handle) -> Change:
    """The guest cell has finished the job."""

    def change(record: Struct | None) -> EditResult:
        job, delegation = _require_delegation(record, cell, handle)
        if (
            delegation.stage == DelegationStage.OFFERED
            or delegation.reservation != handle.reservation
        ):
            raise NotApplicableError("another reservation")
        if job.status == records.CANCELLED:
            return Ending(records.CANCELLED, job.spec.task_count)
        return Ending(records.DONE, job.spec.task_count)

    return change


def extend_grant(until: float, span_s: float, lease_s: float) -> Change:
    """Written before the guest cell is told: no successor takes a job back sooner."""

    def change(record: Struct | None) -> EditResult:
        link = record if isinstance(record, CellLink) else CellLink()
        if until <= link.granted_until:
            raise NotApplicableError("granted for longer")
        return replace(link, granted_until=until, granted_s=span_s, granted_lease_s=lease_s)

    return change


# The guest cell's


def reserve_job(home: str, offer: Offer, reservation: str, wall_time: float) -> Change:
    """Promise room for another cell's job; nothing of it starts yet."""

    def change(record: Struct | None) -> EditResult:
        if record is not None:
            raise NotApplicableError("the id is taken here")
        guest = Guest(home, offer.handle.epoch, reservation, GuestStage.RESERVED, wall_time)
        return JobRecord(
            offer.spec,
            offer.accepted_at,
            attempt=offer.attempt,
            done_ranges=offer.done_ranges,
            ready_at=wall_time,
            guest=guest,
        )

    return change


def _require_guest(record: Struct | None, home: str, handle: Handle) -> tuple[JobRecord, Guest]:
    if not isinstance(record, JobRecord) or record.guest is None:
        raise NotApplicableError("not a guest")
    guest = record.guest
    if (guest.home_cell, guest.epoch, guest.reservation) != (
        home,
        handle.epoch,
        handle.reservation,
    ):
        raise NotApplicableError("under another reservation")
    return record, guest


def accept_grant(home: str, handle: Handle, wall_time: float) -> Change:
    """Home has granted the reservation: its tasks may be placed."""

    def change(record: Struct | None) -> EditResult:
        job, guest = _require_guest(record, home, handle)
        if guest.stage != GuestStage.RESERVED or job.status != records.LIVE:
            raise NotApplicableError("not reserved")
        return replace(
            job, guest=replace(guest, stage=GuestStage.GRANTED, stage_started_at=wall_time)
        )

    return change


def revoke_job(home: str, handle: Handle) -> Change:
    """Nothing of it starts any more; what has a place is stopped, and then it is released."""

    def change(record: Struct | None) -> EditResult:
        job, guest = _require_guest(record, home, handle)
        if job.status != records.LIVE or guest.stage not in (
            GuestStage.RESERVED,
            GuestStage.GRANTED,
        ):
            raise NotApplicableError("revoked")
        remaining_entries = [entry for entry in job.entries if entry.stage != records.ASSIGNED]
        return end_if_complete(replace(job, status=records.CANCELLED, entries=remaining_entries))

    return change


def delete_guest(home: str, handle: Handle) -> Change:
    """Its home has confirmed what became of it, or never granted it: the record goes."""

    def change(record: Struct | None) -> EditResult:
        job, guest = _require_guest(record, home, handle)
        if job.entries or guest.stage == GuestStage.GRANTED:
            raise NotApplicableError("it may still run")
        return DeleteKey()

    return change


def record_held_grant(until: float, span_s: float) -> Change:
    """What home has told us: guests may run until then."""

    def change(record: Struct | None) -> EditResult:
        link = record if isinstance(record, CellLink) else CellLink()
        if until <= link.held_until:
            raise NotApplicableError("known")
        return replace(link, held_until=until, held_s=span_s)

    return change
