"""The records of the state service and their keys; `codec` brings them to the wire and back.

A job's record is small while it lives and becomes a tiny `Ending` under another prefix when
it is over, so that a starting node reads live jobs only and ended ones take no memory.

Forms that version 0.1 cannot read are written only once every controller can
(`Level`): an ending's time, the roster's second form, and records too large for
one value, which are compressed and laid over several keys (`record_parts`).
"""

from msgspec import Struct

from coursefold.protocol.ids import JobId, Key, MemberName
from coursefold.protocol.wire import Job
from coursefold.storage.cell_records import Delegation, DelegationStage, Guest, GuestStage

ROOT = "cf/"
ROSTER_KEY = Key("cf/roster")
CATALOG_KEY = Key("cf/catalog")
JOB_PREFIX = "cf/j/"
ENDING_PREFIX = "cf/e/"
MEMBER_PREFIX = "cf/m/"
POOL_PREFIX = "cf/p/"
VERSION_PREFIX = "cf/v/"
PART_PREFIX = "cf/x/"
CELL_LINK_PREFIX = "cf/c/"
OWNERSHIP_PREFIX = "cf/s/"
SHARE_REQUEST_PREFIX = "cf/r/"
FORMAT_LEVEL_KEY = Key("cf/level")
MACHINE_TYPES_KEY = Key("cf/types")  # the machine types since the switch; `CATALOG` before it
BASE_LEVEL = 1  # the level of the forms that this version writes by itself
CELLS_LEVEL = 2  # where `deploy/cells.toml` is there: jobs that are away, and guests
SHARES_LEVEL = 3  # where `deploy/shares.toml` is there: machines whose owner a move has set
NEWEST_LEVEL = SHARES_LEVEL  # the highest level that this version reads

ASSIGNED, PLACED, STOPPING = 0, 1, 2
LIVE, CANCELLED, DONE = 0, 1, 2
STATUS_NAMES = {LIVE: "pending", CANCELLED: "cancelled", DONE: "done"}


def job_key(job: JobId) -> Key:
    """Of a job that lives, or has ended lately."""
    return Key(JOB_PREFIX + job)


def ending_key(job: JobId) -> Key:
    """Of an ended job."""
    return Key(ENDING_PREFIX + job)


def member_key(member: MemberName) -> Key:
    """Of a live controller."""
    return Key(MEMBER_PREFIX + member)


def pool_key(build: str) -> Key:
    """Of a pool's rentals."""
    return Key(POOL_PREFIX + build)


def cell_link_key(cell: str) -> Key:
    """Of what is granted to and by another cell."""
    return Key(CELL_LINK_PREFIX + cell)


def ownership_key(machine: str) -> Key:
    """Of who owns a machine that was moved."""
    return Key(OWNERSHIP_PREFIX + machine)


def share_request_key(request: str) -> Key:
    """Of an operator's request to move machines."""
    return Key(SHARE_REQUEST_PREFIX + request)


def version_key(member: str) -> Key:
    """Of what a controller's process can read."""
    return Key(VERSION_PREFIX + member)


class MemberVersion(Struct, array_like=True, frozen=True):
    """What a controller's process can write and read; `permit` names the process.

    Without a lease: a controller that is down keeps the version that it last had.
    """

    level: int
    lease_id: int


class FormatLevel(Struct, array_like=True, frozen=True):
    """The forms that all controllers are known to read. Only ever raised.

    All but those that had stayed down for long: they may come back as they were.
    """

    level: int
    ignored_members: list[str] = []


class MemberRecord(Struct, array_like=True, frozen=True):
    """A live controller; attached to its lease, which is its incarnation."""

    name: str
    lease_id: int
    zone: str


class Roster(Struct, array_like=True, frozen=True):
    """Who leads and who owns machines; this key's Stamp is the token."""

    leader: str
    members: list[MemberRecord]
    level: int = 0  # of the form in which it was read

    def find_member(self, name: str) -> MemberRecord | None:
        """A member by its name."""
        return next((m for m in self.members if m.name == name), None)


class TaskEntry(Struct, array_like=True, frozen=True):
    """A task that is dealt to an owner or has a place not yet proven gone."""

    index: int
    stage: int
    attempt: int
    owner: str
    zone: str = ""
    machine: str = ""
    session: int = 0


class JobRecord(Struct, array_like=True, frozen=True):
    """An accepted job that is not over, or cancelled with tasks not yet proven gone."""

    spec: Job
    accepted_at: float
    status: int = LIVE
    attempt: int = 0
    entries: list[TaskEntry] = []
    done_ranges: list[tuple[int, int]] = []
    failure_count: int = 0
    retry_at: float = 0.0
    failed_on: list[str] = []
    open_prerequisites: list[str] = []  # jobs that were not done when this one was accepted
    ready_at: float = 0.0  # when the last of them was done, once tasks may be dealt
    delegation: Delegation | None = None  # where it was handed to
    guest: Guest | None = None  # whose it is, if another cell's

    @property
    def is_delegated(self) -> bool:
        """Is another cell to run it, so that nothing of it may start here?"""
        return self.delegation is not None and self.delegation.stage != DelegationStage.HOME

    @property
    def may_start(self) -> bool:
        """May this cell start its tasks, as far as other cells go?"""
        if self.guest is not None:
            return self.guest.stage == GuestStage.GRANTED
        return not self.is_delegated

    @property
    def quota_task_count(self) -> int:
        """Tasks that count against the team's limit: placed here, or away and not proven gone."""
        away = self.spec.task_count - self.done_count if self.is_delegated else 0
        return len(self.entries) + away

    @property
    def eligible_at(self) -> float:
        """The moment from which all but the deadline counts."""
        return self.ready_at or self.accepted_at

    @property
    def done_count(self) -> int:
        """Tasks that are done."""
        return sum(high - low + 1 for low, high in self.done_ranges)

    def is_done(self, index: int) -> bool:
        """Is the task done?"""
        return any(low <= index <= high for low, high in self.done_ranges)

    def waiting_indices(self, limit: int) -> list[int]:
        """The first indices that are neither done nor in an entry."""
        taken = {entry.index for entry in self.entries}
        found: list[int] = []
        index = 0
        for low, high in [*self.done_ranges, (self.spec.task_count, self.spec.task_count)]:
            while index < low and len(found) < limit:
                if index not in taken:
                    found.append(index)
                index += 1
            if len(found) >= limit:
                break
            index = high + 1
        return found

    @property
    def waiting_count(self) -> int:
        """Tasks that are neither done nor dealt."""
        return self.spec.task_count - self.done_count - len(self.entries)


class Ending(Struct, array_like=True, frozen=True):
    """What is kept of an ended job for good."""

    status: int
    task_count: int
    ended_at: float = 0.0  # when it ended, while a job that needs it may ask


class Rental(Struct, array_like=True, frozen=True):
    """A rental, recorded before it is sent; `machines` is None until answered."""

    name: str
    zone: str
    spot: bool
    count: int
    requested_at: float
    machines: list[str] | None = None


class PoolRecord(Struct, array_like=True, frozen=True):
    """One pool of alike machines: target, integral, rentals, returns under way."""

    target: float = 0.0
    integral: float = 0.0
    rentals: list[Rental] = []
    returning: list[str] = []


def add_to_ranges(ranges: list[tuple[int, int]], index: int) -> list[tuple[int, int]]:
    """The ranges with one more index, merged and in order."""
    merged: list[tuple[int, int]] = []
    for low, high in sorted([*ranges, (index, index)]):
        if merged and low <= merged[-1][1] + 1:
            merged[-1] = (merged[-1][0], max(high, merged[-1][1]))
        else:
            merged.append((low, high))
    return merged
