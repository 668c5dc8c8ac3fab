"""The records in the state service and their keys; `codec` converts them to and from plain data.

A job's record is deleted when the job ends. What remains is a small `Ending` under another prefix,
so that a starting controller reads live jobs only and ended jobs take no memory.

Forms of records that version 0.1 cannot read are written only once every controller can read them
(`FormatLevel`): the time in an ending, the second form of the roster, and records that exceed the
size of one value, which are compressed and split over several keys (`record_parts`).
"""

from collections import Counter
from collections.abc import Iterable

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
MACHINE_TYPES_KEY = Key("cf/types")  # replaces CATALOG_KEY once a format level is set
BASE_LEVEL = 1  # forms of this version without a cells or shares file
CELLS_LEVEL = 2  # with a cells file: also delegated jobs and guests
SHARES_LEVEL = 3  # with a shares file: also owners of moved machines
NEWEST_LEVEL = SHARES_LEVEL  # the highest level that this version can read

ASSIGNED, PLACED, STOPPING = 0, 1, 2  # stages of a task's entry
LIVE, CANCELLED, DONE = 0, 1, 2  # status of a job
STATUS_NAMES = {LIVE: "pending", CANCELLED: "cancelled", DONE: "done"}


def job_key(job: JobId) -> Key:
    """Return the key of a live job or of one whose ending has not been archived yet."""
    return Key(JOB_PREFIX + job)


def ending_key(job: JobId) -> Key:
    """Return the permanent key of an ended job."""
    return Key(ENDING_PREFIX + job)


def member_key(member: MemberName) -> Key:
    """Return the key of a live controller."""
    return Key(MEMBER_PREFIX + member)


def pool_key(pool: str) -> Key:
    """Return the key of a pool's rentals."""
    return Key(POOL_PREFIX + pool)


def cell_link_key(cell: str) -> Key:
    """Return the key of the grants to and from another cell."""
    return Key(CELL_LINK_PREFIX + cell)


def ownership_key(machine: str) -> Key:
    """Return the key of the ownership of a machine that was moved."""
    return Key(OWNERSHIP_PREFIX + machine)


def share_request_key(request: str) -> Key:
    """Return the key of an operator's request to move machines."""
    return Key(SHARE_REQUEST_PREFIX + request)


def version_key(member: str) -> Key:
    """Return the key of the format level that a controller's process can read."""
    return Key(VERSION_PREFIX + member)


def count_by_kind(keys: Iterable[str]) -> str:
    """Return how many of the keys there are of each kind, e.g. `2 cf/c/, 1 cf/level, 9 cf/j/`."""
    kinds = Counter(
        key if "/" not in key.removeprefix(ROOT) else ROOT + key.split("/")[1] + "/" for key in keys
    )
    return ", ".join(f"{count} {kind}" for kind, count in sorted(kinds.items()))


class MemberVersion(Struct, array_like=True, frozen=True):
    """The format level that a controller's process can read and write.

    The key has no lease, so the version of a controller that is down remains known.
    `lease_id` identifies the process.
    """

    level: int
    lease_id: int


class FormatLevel(Struct, array_like=True, frozen=True):
    """The format level that all controllers are known to read; it is never lowered.

    `ignored_members` had been down for long when the level was raised, and may come back with
    an older version.
    """

    level: int
    ignored_members: list[str] = []


class MemberRecord(Struct, array_like=True, frozen=True):
    """A live controller. The key is attached to its lease, whose id identifies its process."""

    name: str
    lease_id: int
    zone: str


class Roster(Struct, array_like=True, frozen=True):
    """The leader, and the members that own machines; the key's version is the fencing token."""

    leader: str
    members: list[MemberRecord]
    level: int = 0  # format level of the form that it was read in

    def find_member(self, name: str) -> MemberRecord | None:
        """Return the member of this name, or None."""
        return next((member for member in self.members if member.name == name), None)


class TaskEntry(Struct, array_like=True, frozen=True):
    """A task that is assigned to an owner, or is placed and not yet proven to have ended.

    `session` is that of the machine's worker when the task was placed.
    """

    index: int  # the task's number
    stage: int  # ASSIGNED, PLACED or STOPPING
    attempt: int
    owner: str
    zone: str = ""
    machine: str = ""
    session: int = 0


class JobRecord(Struct, array_like=True, frozen=True):
    """An accepted job that has not ended, or a cancelled one whose tasks may still run.

    Points in time are times of day.
    """

    spec: Job
    accepted_at: float
    status: int = LIVE  # LIVE or CANCELLED
    attempt: int = 0  # number of the last attempt of any task
    entries: list[TaskEntry] = []
    done_ranges: list[tuple[int, int]] = []  # first and last numbers of tasks that are done
    failure_count: int = 0  # failed attempts since a task was last done
    retry_at: float = 0.0  # after a failure, when the next attempt may start
    failed_on: list[str] = []  # machines of recent failures; others are tried first
    open_prerequisites: list[str] = []  # jobs that were not done when this one was accepted
    ready_at: float = 0.0  # when the last of them was done; set once tasks may be assigned
    delegation: Delegation | None = None  # set if it was offered to another cell
    guest: Guest | None = None  # set if it is another cell's job

    @property
    def is_delegated(self) -> bool:
        """Whether another cell is to run the job, so that none of its tasks may start here."""
        return self.delegation is not None and self.delegation.stage != DelegationStage.HOME

    @property
    def may_start(self) -> bool:
        """Whether this cell may start the job's tasks with respect to other cells."""
        if self.guest is not None:
            return self.guest.stage == GuestStage.GRANTED
        return not self.is_delegated

    @property
    def quota_task_count(self) -> int:
        """Number of tasks that count against the team's limit.

        These are the tasks with an entry, and all unfinished tasks of a delegated job.
        """
        delegated_count = self.spec.task_count - self.done_count if self.is_delegated else 0
        return len(self.entries) + delegated_count

    @property
    def eligible_at(self) -> float:
        """Time of day from which waiting is counted; a deadline counts from acceptance instead."""
        return self.ready_at or self.accepted_at

    @property
    def done_count(self) -> int:
        """Number of tasks that are done."""
        return sum(high - low + 1 for low, high in self.done_ranges)

    def is_done(self, index: int) -> bool:
        """Return whether the task is done."""
        return any(low <= index <= high for low, high in self.done_ranges)

    def waiting_indices(self, limit: int) -> list[int]:
        """Return the lowest numbers, at most `limit`, of tasks neither done nor in an entry."""
        entry_indices = {entry.index for entry in self.entries}
        found: list[int] = []
        index = 0
        for low, high in [*self.done_ranges, (self.spec.task_count, self.spec.task_count)]:
            while index < low and len(found) < limit:
                if index not in entry_indices:
                    found.append(index)
                index += 1
            if len(found) >= limit:
                break
            index = high + 1
        return found

    @property
    def waiting_count(self) -> int:
        """Number of tasks that are neither done nor assigned."""
        return self.spec.task_count - self.done_count - len(self.entries)


class Ending(Struct, array_like=True, frozen=True):
    """What is kept of an ended job permanently."""

    status: int  # CANCELLED or DONE
    task_count: int
    ended_at: float = 0.0  # time of day; 0: not recorded, or no longer needed by other jobs


class Rental(Struct, array_like=True, frozen=True):
    """A rental of machines, recorded before the request is sent to the cloud provider."""

    name: str
    zone: str
    spot: bool
    count: int
    requested_at: float  # time of day
    machines: list[str] | None = None  # None until the response has arrived


class PoolRecord(Struct, array_like=True, frozen=True):
    """The rentals of a pool: machines of one type, either spot or not.

    This version does not use `target`, `integral` and `returning`; they keep their places in the
    stored list.
    """

    target: float = 0.0
    integral: float = 0.0
    rentals: list[Rental] = []
    returning: list[str] = []


def add_to_ranges(ranges: list[tuple[int, int]], index: int) -> list[tuple[int, int]]:
    """Return the ranges with one more task number, merged and in ascending order."""
    merged: list[tuple[int, int]] = []
    for low, high in sorted([*ranges, (index, index)]):
        if merged and low <= merged[-1][1] + 1:
            merged[-1] = (merged[-1][0], max(high, merged[-1][1]))
        else:
            merged.append((low, high))
    return merged
