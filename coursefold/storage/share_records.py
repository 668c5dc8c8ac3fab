"""Records of machines whose owner is set by a move, and of operators' requests to move some.

A machine without a record is owned by hash (`coordination.rendezvous`). The record of one that was
moved names its owner for as long as that owner's process is in the roster, and the fencing
token which the handover raised for this machine alone.
"""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

UInt64 = Annotated[int, Meta(ge=0)]


class MoveStage(IntEnum):
    """How far the move of a machine has come."""

    SETTLED = 0  # no move is under way
    DRAINING = 1  # the old owner places nothing new there, and hands it over when it can


class MoveMode(IntEnum):
    """What becomes of the tasks on a machine before it is handed over."""

    FINISH = 0  # they run to their end; services go on running through the handover
    DRAIN = 1  # tasks that can save their progress are stopped once they have room elsewhere


class MachineOwnership(Struct, array_like=True, frozen=True):
    """Who owns a machine, and the move under way, or the last one."""

    epoch: UInt64  # of the move; rises with each and is never used again
    stage: MoveStage
    owner: str = ""  # set by the last handover; empty: by hash
    incarnation: UInt64 = 0  # the lease of that owner's process; the assignment ends with it
    token: UInt64 = 0  # the fencing token of the last handover
    source: str = ""
    target: str = ""
    roster_token: UInt64 = 0  # the roster under which the move was requested
    mode: MoveMode = MoveMode.FINISH
    stage_started_at: float = 0.0  # when the stage began, time of day
    expires_at: float = 0.0  # the move is withdrawn after this, time of day
    why: str = ""  # why it was requested, or withdrawn


class ShareRequest(Struct, array_like=True, frozen=True):
    """An operator's request, kept as the counts that it asks for until it ends."""

    source: str
    target: str
    machine_type: str
    zone: str  # empty: all zones
    count: UInt64
    source_count: UInt64  # machines that the source is to have
    target_count: UInt64
    mode: MoveMode
    requested_at: float
    expires_at: float  # in force until this time of day
    withdrawn: bool = False
