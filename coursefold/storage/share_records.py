"""Records of machines whose owner is set by a move, and of operators' requests to move some.

A machine without a record is owned by hash (`coordination.rendezvous`). The record of one that was
moved names its owner for as long as that owner's process is in the roster, and the fencing
token which the handover raised for this machine alone.
"""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

Revision = Annotated[int, Meta(ge=0)]


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

    epoch: Revision  # of the move; rises with each and is never used again
    stage: MoveStage
    owner: str = ""  # set by the last handover; empty: by hash
    incarnation: Revision = 0  # the lease of that owner's process; the assignment ends with it
    token: Revision = 0  # the fencing token of the last handover
    source: str = ""
    target: str = ""
    roster: Revision = 0  # the roster under which the move was requested
    mode: MoveMode = MoveMode.FINISH
    at: float = 0.0  # when the stage began, time of day
    until: float = 0.0  # the move is withdrawn after this, time of day
    why: str = ""  # why it was requested, or withdrawn


class ShareRequest(Struct, array_like=True, frozen=True):
    """An operator's request, kept as the counts that it asks for until it ends."""

    source: str
    target: str
    build: str
    zone: str  # empty: all zones
    count: Revision
    source_count: Revision  # machines that the source is to have
    target_count: Revision
    mode: MoveMode
    at: float
    until: float  # in force until this time of day
    withdrawn: bool = False
