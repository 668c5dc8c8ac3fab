"""Edits of a machine's ownership record, one for each step of a move.

Only the leader requests, renews and withdraws a move; only the old owner hands the machine over.
All edits are fenced by the roster, and each is refused if the record has changed in a way that
it does not expect. So an edit may be late or repeated. Times are wall-clock times.
"""

from typing import NamedTuple

import msgspec
from msgspec import Struct

from coursefold.storage.edits import Change, DeleteKey, EditResult, NotApplicableError
from coursefold.storage.share_records import MachineOwnership, MoveMode, MoveStage


class Move(NamedTuple):
    """A change of one machine's owner that the leader requests.

    Attributes:
        machine: Machine to be moved.
        source: Controller that owns it.
        target: Controller that is to own it.
        epoch: Revision of the state service that identifies the moves requested in one round.
        mode: How the old owner drains the machine.
        expires_at: Wall-clock time after which the move is withdrawn.
        reason: What caused the move, shown to operators.
    """

    machine: str
    source: str
    target: str
    epoch: int
    mode: MoveMode
    expires_at: float
    reason: str


def _require_record(current: Struct | None) -> MachineOwnership:
    """Return the ownership record; raise NotApplicableError if there is none."""
    if not isinstance(current, MachineOwnership):
        raise NotApplicableError("no record")
    return current


def request_move(move: Move, roster_token: int, wall_time: float) -> Change:
    """Return an edit that requests a move.

    It is refused, with the epoch of the other move, while that one is in progress or is not older.
    """

    def change(current: Struct | None) -> EditResult:
        known = current if isinstance(current, MachineOwnership) else None
        if known is not None and known.stage != MoveStage.SETTLED:
            raise NotApplicableError(f"move {known.epoch} is under way")
        if known is not None and known.epoch >= move.epoch:
            raise NotApplicableError(f"move {known.epoch} is newer")
        settled = known or MachineOwnership(0, MoveStage.SETTLED)
        return msgspec.structs.replace(
            settled,
            epoch=move.epoch,
            stage=MoveStage.DRAINING,
            source=move.source,
            target=move.target,
            roster_token=roster_token,
            mode=move.mode,
            stage_started_at=wall_time,
            expires_at=move.expires_at,
            why=move.reason,
        )

    return change


def renew_move(known: MachineOwnership, roster_token: int) -> Change:
    """Return an edit that continues a move under a new roster, which has both its controllers.

    The move and its epoch stay the same. As the fencing token of the handover is the version of
    this record, writing it anew raises that token: the old one is lower than the new roster's.
    """

    def change(current: Struct | None) -> EditResult:
        if current != known:
            raise NotApplicableError("the move has changed")
        return msgspec.structs.replace(known, roster_token=roster_token)

    return change


def withdraw_move(epoch: int, wall_time: float, reason: str) -> Change:
    """Return an edit that ends a move before its handover; the machine keeps its owner."""

    def change(current: Struct | None) -> EditResult:
        known = _require_record(current)
        if known.epoch != epoch or known.stage != MoveStage.DRAINING:
            raise NotApplicableError("handed over or withdrawn already")
        return msgspec.structs.replace(
            known, stage=MoveStage.SETTLED, stage_started_at=wall_time, why=reason
        )

    return change


def hand_over_machine(
    known: MachineOwnership, version: int, incarnation: int, wall_time: float
) -> Change:
    """Return the old owner's edit that makes the target the owner of the machine.

    The new fencing token is `version`, the revision at which the record of the move was written.
    It is later than the roster and any earlier handover, so it is higher than every token that
    the old owner or any owner before it has used for this machine.

    Args:
        known: Record of the move.
        version: Version of that record, the revision at which it was written.
        incarnation: Lease id of the target's process; the assignment ends with that process.
        wall_time: Time of the handover.
    """

    def change(current: Struct | None) -> EditResult:
        if current != known:
            raise NotApplicableError("the move has changed")
        return msgspec.structs.replace(
            known,
            stage=MoveStage.SETTLED,
            owner=known.target,
            incarnation=incarnation,
            token=version,
            stage_started_at=wall_time,
        )

    return change


def delete_unchanged(known: Struct) -> Change:
    """Return an edit that deletes a record, unless it has changed meanwhile."""

    def change(current: Struct | None) -> EditResult:
        if current != known:
            raise NotApplicableError("changed")
        return DeleteKey()

    return change
