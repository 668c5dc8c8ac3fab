"""Records of jobs that run in another cell than the one that accepted them.

The cell that accepted a job, its home cell, keeps the job's record with a `Delegation` in it.
The cell that runs the job, the guest cell, has a record under the same job id, with a `Guest` in
it. A `CellLink` records until when a home cell permits all its guests in another cell to run:
in the home cell as it was granted, and in the guest cell as it was received.
"""

from enum import IntEnum

from msgspec import Struct


class DelegationStage(IntEnum):
    """Progress of a job's handover to another cell, in its home cell's record."""

    HOME = 0  # came back; the delegation is kept for its epoch and its reason
    OFFERED = 1  # the guest cell may reserve capacity, but may not start anything
    GRANTED = 2  # the guest cell may start the job's tasks while the grant is valid
    RUNNING = 3  # as GRANTED, and the guest cell has reported running tasks
    WITHDRAWN = 4  # the guest cell is to stop the job, which comes back once that is proven


class Delegation(Struct, array_like=True, frozen=True):
    """The cell that a job was handed to."""

    guest_cell: str
    epoch: int  # counts the job's offers; never decreases
    stage: DelegationStage
    stage_started_at: float  # time of day
    reservation: str = ""  # id given by the guest cell, which never uses it again
    # Seconds until the job's start that were expected when it was offered, in either cell.
    expected_home_s: float = 0.0
    expected_guest_s: float = 0.0
    why: str = ""  # why it was offered, or why it came back


class GuestStage(IntEnum):
    """What the guest cell may do with a job, in its own record."""

    RESERVED = 1  # capacity is set aside for it; nothing starts
    GRANTED = 2  # its tasks are placed like those of local jobs while the grant is valid
    RELEASED = 3  # no task is left and none will start; not yet confirmed by the home cell
    FINISHED = 4  # all tasks are done; not yet confirmed by the home cell


class Guest(Struct, array_like=True, frozen=True):
    """The home cell of another cell's job, and the offer and reservation it is here under."""

    home_cell: str
    epoch: int  # of the offer
    reservation: str
    stage: GuestStage
    stage_started_at: float  # time of day


class CellLink(Struct, array_like=True, frozen=True):
    """How long guests may run: `granted_*` to the other cell, `held_*` from it.

    The end of a grant is a time of day. The duration beside it is an upper bound of the time
    from the writing of the record to that end. It is counted on a monotonic clock, so that the
    grant is judged correctly also if the time of day is set.
    """

    granted_until: float = 0.0
    granted_s: float = 0.0
    # How long workers of the guest cell may keep tasks running after the grant: their lease.
    granted_lease_s: float = 0.0
    held_until: float = 0.0
    held_s: float = 0.0
