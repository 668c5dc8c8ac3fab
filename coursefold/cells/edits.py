"""Edits of job records and cell links, one for each step of a handover between cells.

Each function returns a `Change`, which raises `NotApplicableError` if the record is not in the
state that the step requires. The home cell's steps name the epoch, those of the guest cell also
the reservation, so that a late or repeated step changes nothing.
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
    """Return the union of two lists of task number ranges, in ascending order.

    Both ends of a range are inclusive. Overlapping and adjacent ranges are joined.
    """
    merged: TaskRanges = []
    for first, last in sorted([*ranges, *added]):
        if merged and first <= merged[-1][1] + 1:
            merged[-1] = (merged[-1][0], max(last, merged[-1][1]))
        else:
            merged.append((first, last))
    return merged


# Steps of the home cell


def _require_delegation(
    record: Struct | None, cell: str, handle: Handle
) -> tuple[JobRecord, Delegation]:
    """Return the job and its delegation if it is delegated to the cell under this epoch."""
    if not isinstance(record, JobRecord) or record.delegation is None:
        raise NotApplicableError("not away")
    delegation = record.delegation
    if not record.is_delegated or (delegation.guest_cell, delegation.epoch) != (cell, handle.epoch):
        raise NotApplicableError("away under another epoch")
    return record, delegation


def offer_job(delegation: Delegation, ready_at: float) -> Change:
    """Offer a waiting job to the delegation's cell.

    From this commit on no task of the job starts in the home cell until the job has returned.

    Args:
        delegation: Its epoch must be one above that of the job's previous delegation.
        ready_at: Time of day from which the job has been ready to run; recorded if the job
            had open prerequisites, which are cleared.
    """

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
    """Permit the guest cell, which reserved capacity, to run the job while its grant is valid."""

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
    """Record that the guest cell reports running tasks, so that the user is shown it."""

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
    """Record tasks that the guest cell reports as done.

    They are shown to users, and do not run again if the guest cell is lost.
    """

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
    """Return the job's done ranges with those of `done` added.

    Raises:
        NotApplicableError: If `done` adds nothing or names a task that the job does not have.
    """
    merged = merge_ranges(job.done_ranges, done)
    if merged == job.done_ranges or merged[-1][1] >= job.spec.task_count:
        raise NotApplicableError("nothing new, or no such task")
    return merged


def withdraw_job(cell: str, handle: Handle, wall_time: float, reason: str) -> Change:
    """Tell the guest cell to stop and release the job; `reason` is shown to users."""

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
    """Return the job to its home cell.

    This is correct before any grant, once the guest cell has reported that it released the
    reservation, or once every grant of that cell has expired. `guest_state` is the guest cell's
    report of the release, if there is one; its done tasks and attempt number are taken over.
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
    """End the job, which the guest cell has finished."""

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
    """Record a longer grant to another cell.

    The commit precedes the frame that announces the grant, so that no later leader returns a
    job to the home cell before this grant has expired.

    Args:
        until: End of the grant, time of day.
        span_s: Upper bound of the time from this commit to `until`.
        lease_s: How long workers of the guest cell may run tasks after the grant has ended.
    """

    def change(record: Struct | None) -> EditResult:
        link = record if isinstance(record, CellLink) else CellLink()
        if until <= link.granted_until:
            raise NotApplicableError("granted for longer")
        return replace(link, granted_until=until, granted_s=span_s, granted_lease_s=lease_s)

    return change


# Steps of the guest cell


def reserve_job(home: str, offer: Offer, reservation: str, wall_time: float) -> Change:
    """Create the guest record of an offered job; its tasks may not start before the grant."""

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
    """Return the job and its guest part if it is here under this epoch and reservation."""
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
    """Permit placing the job's tasks: the home cell has granted the reservation."""

    def change(record: Struct | None) -> EditResult:
        job, guest = _require_guest(record, home, handle)
        if guest.stage != GuestStage.RESERVED or job.status != records.LIVE:
            raise NotApplicableError("not reserved")
        return replace(
            job, guest=replace(guest, stage=GuestStage.GRANTED, stage_started_at=wall_time)
        )

    return change


def revoke_job(home: str, handle: Handle) -> Change:
    """Cancel the job here.

    Assigned tasks are dropped and placed ones are stopped; the job is released once none is left.
    """

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
    """Delete the record of a guest whose end is confirmed by its home cell, or never granted."""

    def change(record: Struct | None) -> EditResult:
        job, guest = _require_guest(record, home, handle)
        if job.entries or guest.stage == GuestStage.GRANTED:
            raise NotApplicableError("it may still run")
        return DeleteKey()

    return change


def record_held_grant(until: float, span_s: float) -> Change:
    """Record the end of the grant that the home cell has announced; its guests may run until then.

    Args:
        until: End of the grant, time of day.
        span_s: Upper bound of the time from this commit to `until`.
    """

    def change(record: Struct | None) -> EditResult:
        link = record if isinstance(record, CellLink) else CellLink()
        if until <= link.held_until:
            raise NotApplicableError("known")
        return replace(link, held_until=until, held_s=span_s)

    return change
