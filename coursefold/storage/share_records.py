"""Records of machines that were moved between controllers, and of operators' move requests.

The owner of a machine without a record follows from a hash (`coordination.rendezvous`). The record
of a machine that was moved names its owner, for as long as that owner's process is in the roster,
and the fencing token that the handover raised for this machine alone.
"""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

UInt64 = Annotated[int, Meta(ge=0)]


class MoveStage(IntEnum):
    """Progress of a machine's move."""

    SETTLED = 0  # no move is in progress
    DRAINING = 1  # the old owner places no new tasks on it and hands it over when it can


class MoveMode(IntEnum):
    """What happens to the tasks on a machine before it is handed over."""

    FINISH = 0  # they run to their end; services keep running through the handover
    DRAIN = 1  # tasks that can save their progress are stopped once other capacity is free


class MachineOwnership(Struct, array_like=True, frozen=True):
    """The owner of a machine, and its move in progress or else its last one."""

    epoch: UInt64  # of the move; rises with each move and is never reused
    stage: MoveStage
    owner: str = ""  # set by the last handover; empty: given by the hash
    incarnation: UInt64 = 0  # lease id of the owner's process; the ownership ends with it
    token: UInt64 = 0  # fencing token of the last handover
    source: str = ""  # the controller that hands the machine over
    target: str = ""  # the controller that receives it
    roster_token: UInt64 = 0  # version of the roster under which the move was requested
    mode: MoveMode = MoveMode.FINISH
    stage_started_at: float = 0.0  # time of day
    expires_at: float = 0.0  # time of day after which the move is withdrawn
    why: str = ""  # why it was requested or withdrawn


class ShareRequest(Struct, array_like=True, frozen=True):
    """An operator's request to move machines, kept as the resulting counts while in force."""

    source: str
    target: str
    machine_type: str
    zone: str  # empty: all zones
    count: UInt64  # machines to move
    source_count: UInt64  # machines that the source is to have
    target_count: UInt64  # machines that the target is to have
    mode: MoveMode
    requested_at: float  # time of day
    expires_at: float  # in force until this time of day
    withdrawn: bool = False
