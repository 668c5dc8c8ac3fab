"""Records of work that moves between cells.

A job that runs in another cell keeps its record at home, with `Away` in it. The cell that
runs it, the guest cell, has a record of the same name, with `Guest` in it. `CellLink` holds
until when a home cell lets all its guests run, as told on one side and as heard on the other.
"""

from enum import IntEnum

from msgspec import Struct


class DelegationStage(IntEnum):
    """How far the handover of a job to another cell has come, by its home cell's record."""

    HOME = 0  # it has come back; kept for its epoch and for the reason
    OFFERED = 1  # the guest cell may reserve room, and may not start anything
    GRANTED = 2  # the guest cell may start its tasks, for as long as the grant holds
    RUNNING = 3  # the same, and it has said that tasks run
    WITHDRAWN = 4  # the guest cell is to stop it; it comes back once that has proof


class Delegation(Struct, array_like=True, frozen=True):
    """Where a job was handed to. `epoch` counts its offers and never falls."""

    guest_cell: str
    epoch: int
    stage: DelegationStage
    stage_started_at: float  # when the stage began, time of day
    reservation: str = ""  # the guest cell's own name of it, never used again
    expected_home_s: float = 0.0  # seconds until its start, when it was offered
    expected_guest_s: float = 0.0
    why: str = ""  # why it was offered, or why it came back


class GuestStage(IntEnum):
    """What the guest cell may do with a job, by its own record."""

    RESERVED = 1  # counted as promised; nothing starts
    GRANTED = 2  # its tasks are placed like any others, while the grant holds
    RELEASED = 3  # no task is left, and none will start; its home has not confirmed it yet
    FINISHED = 4  # all tasks are done; its home has not confirmed it yet


class Guest(Struct, array_like=True, frozen=True):
    """Whose job this is, and under which offer and reservation it is here."""

    home_cell: str
    epoch: int
    reservation: str
    stage: GuestStage
    stage_started_at: float  # when the stage began, time of day


class CellLink(Struct, array_like=True, frozen=True):
    """How long guests may run: `granted_*` as we told the other cell, `held_*` as it told us.

    A moment is a time of day. The span beside it bounds the same on a steady clock: no more
    than so many seconds lay between the record's writing and that moment.
    """

    granted_until: float = 0.0
    granted_s: float = 0.0
    granted_lease_s: float = 0.0  # after it, workers there may run on so long: their lease
    held_until: float = 0.0
    held_s: float = 0.0
