"""Edits of a machine's ownership record: each step of a move, checked against the record.

Only the leader requests, renews and withdraws; only the old owner hands over. All are fenced by the
roster, and each fails where the record has moved on, so it may be late or repeated.
"""

from typing import NamedTuple

import msgspec
from msgspec import Struct

from coursefold.storage.edits import Change, DeleteKey, EditResult, NotApplicableError
from coursefold.storage.share_records import MachineOwnership, MoveMode, MoveStage


class Move(NamedTuple):
    """What the leader asks for: one machine's change of owner."""

    machine: str
    source: str
    target: str
    epoch: int
    mode: MoveMode
    expires_at: float
    reason: str


def _require_record(current: Struct | None) -> MachineOwnership:
    if not isinstance(current, MachineOwnership):
        raise NotApplicableError("no record")
    return current


def request_move(move: Move, roster: int, wall: float) -> Change:
    """Have a machine drained; refused, with its epoch, while another move is under way."""

    def change(current: Struct | None) -> EditResult:
        known = current if isinstance(current, MachineOwnership) else None
        if known is not None and known.stage != MoveStage.SETTLED:
            raise NotApplicableError(f"move {known.epoch} is under way")
        if known is not None and known.epoch >= move.epoch:
            raise NotApplicableError(f"move {known.epoch} is newer")
        blank = known or MachineOwnership(0, MoveStage.SETTLED)
        return msgspec.structs.replace(
            blank,
            epoch=move.epoch,
            stage=MoveStage.DRAINING,
            source=move.source,
            target=move.target,
            roster_token=roster,
            mode=move.mode,
            stage_started_at=wall,
            expires_at=move.expires_at,
            why=move.reason,
        )

    return change


def renew_move(known: MachineOwnership, roster: int) -> Change:
    """Go on with a move under a new roster, of which both its controllers are members.

    It is the same move. But its record is new, and so is the fencing token of its handover:
    that of the old request would be lower than the roster's.
    """

    def change(current: Struct | None) -> EditResult:
        if current != known:
            raise NotApplicableError("the move has changed")
        return msgspec.structs.replace(known, roster_token=roster)

    return change


def withdraw_move(epoch: int, wall: float, why: str) -> Change:
    """End a move before the handover: the machine stays with the owner that it has."""

    def change(current: Struct | None) -> EditResult:
        known = _require_record(current)
        if known.epoch != epoch or known.stage != MoveStage.DRAINING:
            raise NotApplicableError("handed over or withdrawn already")
        return msgspec.structs.replace(
            known, stage=MoveStage.SETTLED, stage_started_at=wall, why=why
        )

    return change


def hand_over_machine(known: MachineOwnership, stamp: int, incarnation: int, wall: float) -> Change:
    """The old owner's last word: from this commit on the machine is the new owner's.

    The new fencing token is the revision at which the move was requested. It is later than
    the roster and than any handover before, so it is higher than every token that the old
    owner, or one before it, has ever used for this machine.
    """

    def change(current: Struct | None) -> EditResult:
        if current != known:
            raise NotApplicableError("the move has changed")
        return msgspec.structs.replace(
            known,
            stage=MoveStage.SETTLED,
            owner=known.target,
            incarnation=incarnation,
            token=stamp,
            stage_started_at=wall,
        )

    return change


def delete_unchanged(known: Struct) -> Change:
    """Remove a record that is no longer needed, unless it has changed meanwhile."""

    def change(current: Struct | None) -> EditResult:
        if current != known:
            raise NotApplicableError("changed")
        return DeleteKey()

    return change
