"""The records of the state service and their keys; `codec` brings them to the wire and back.

A job's record is small while it lives and becomes a tiny `Ending` under another prefix when
it is over, so that a starting node reads live jobs only and ended ones take no memory.

Forms that version 0.1 cannot read are written only once every controller can
(`Level`): an ending's time, the roster's second form, and records too large for
one value, which are compressed and laid over several keys (`spreading`).
"""

from msgspec import Struct

from coursefold.protocol.ids import JobId, Key, Member
from coursefold.protocol.wire import Job
from coursefold.storage.cell_records import Away, AwayStage, Guest, GuestStage

ROOT = "cf/"
ROSTER = Key("cf/roster")
CATALOG = Key("cf/catalog")
JOBS = "cf/j/"
ENDINGS = "cf/e/"
MEMBERS = "cf/m/"
POOLS = "cf/p/"
VERSIONS = "cf/v/"
PARTS = "cf/x/"
CELL_LINKS = "cf/c/"
OWNERSHIPS = "cf/s/"
SHARE_REQUESTS = "cf/r/"
LEVEL = Key("cf/level")
TYPES = Key("cf/types")  # the machine types since the switch; `CATALOG` before it
OURS = 1  # the level of the forms that this version writes by itself
WITH_CELLS = 2  # where `deploy/cells.toml` is there: jobs that are away, and guests
WITH_SHARES = 3  # where `deploy/shares.toml` is there: machines whose owner a move has set
NEWEST = WITH_SHARES  # the highest level that this version reads

DEALT, PLACED, STOPPING = 0, 1, 2
LIVE, CANCELLED, DONE = 0, 1, 2
STATUS = {LIVE: "pending", CANCELLED: "cancelled", DONE: "done"}


def job_key(job: JobId) -> Key:
    """Of a job that lives, or has ended lately."""
    return Key(JOBS + job)


def ending_key(job: JobId) -> Key:
    """Of an ended job."""
    return Key(ENDINGS + job)


def member_key(member: Member) -> Key:
    """Of a live controller."""
    return Key(MEMBERS + member)


def pool_key(build: str) -> Key:
    """Of a pool's rentals."""
    return Key(POOLS + build)


def cell_link_key(cell: str) -> Key:
    """Of what is granted to and by another cell."""
    return Key(CELL_LINKS + cell)


def ownership_key(machine: str) -> Key:
    """Of who owns a machine that was moved."""
    return Key(OWNERSHIPS + machine)


def share_request_key(request: str) -> Key:
    """Of an operator's request to move machines."""
    return Key(SHARE_REQUESTS + request)


def version_key(member: str) -> Key:
    """Of what a controller's process can read."""
    return Key(VERSIONS + member)


class Version(Struct, array_like=True, frozen=True):
    """What a controller's process can write and read; `permit` names the process.

    Without a lease: a controller that is down keeps the version that it last had.
    """

    level: int
    permit: int


class Level(Struct, array_like=True, frozen=True):
    """The forms that all controllers are known to read. Only ever raised.

    All but those that had stayed down for long: they may come back as they were.
    """

    level: int
    given_up: list[str] = []


class MemberRecord(Struct, array_like=True, frozen=True):
    """A live controller; attached to its lease, which is its incarnation."""

    name: str
    permit: int
    zone: str


class Roster(Struct, array_like=True, frozen=True):
    """Who leads and who owns machines; this key's Stamp is the token."""

    leader: str
    members: list[MemberRecord]
    level: int = 0  # of the form in which it was read

    def member(self, name: str) -> MemberRecord | None:
        """A member by its name."""
        return next((m for m in self.members if m.name == name), None)


class Entry(Struct, array_like=True, frozen=True):
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
    at: float
    status: int = LIVE
    attempt: int = 0
    entries: list[Entry] = []
    done: list[tuple[int, int]] = []
    errors: int = 0
    retry_at: float = 0.0
    failed_on: list[str] = []
    needs: list[str] = []  # jobs that were not done when this one was accepted
    ready: float = 0.0  # when the last of them was done, once tasks may be dealt
    away: Away | None = None  # where it was handed to
    guest: Guest | None = None  # whose it is, if another cell's

    @property
    def is_away(self) -> bool:
        """Is another cell to run it, so that nothing of it may start here?"""
        return self.away is not None and self.away.stage != AwayStage.HOME

    @property
    def may_start(self) -> bool:
        """May this cell start its tasks, as far as other cells go?"""
        if self.guest is not None:
            return self.guest.stage == GuestStage.GRANTED
        return not self.is_away

    @property
    def counted_tasks(self) -> int:
        """Tasks that count against the team's limit: placed here, or away and not proven gone."""
        away = self.spec.tasks - self.done_count if self.is_away else 0
        return len(self.entries) + away

    @property
    def since(self) -> float:
        """The moment from which all but the deadline counts."""
        return self.ready or self.at

    @property
    def done_count(self) -> int:
        """Tasks that are done."""
        return sum(high - low + 1 for low, high in self.done)

    def is_done(self, index: int) -> bool:
        """Is the task done?"""
        return any(low <= index <= high for low, high in self.done)

    def waiting(self, most: int) -> list[int]:
        """The first indices that are neither done nor in an entry."""
        taken = {entry.index for entry in self.entries}
        found: list[int] = []
        index = 0
        for low, high in [*self.done, (self.spec.tasks, self.spec.tasks)]:
            while index < low and len(found) < most:
                if index not in taken:
                    found.append(index)
                index += 1
            if len(found) >= most:
                break
            index = high + 1
        return found

    @property
    def waiting_count(self) -> int:
        """Tasks that are neither done nor dealt."""
        return self.spec.tasks - self.done_count - len(self.entries)


class Ending(Struct, array_like=True, frozen=True):
    """What is kept of an ended job for good."""

    status: int
    tasks: int
    at: float = 0.0  # when it ended, while a job that needs it may ask


class Hire(Struct, array_like=True, frozen=True):
    """A rental, recorded before it is sent; `machines` is None until answered."""

    name: str
    zone: str
    spot: bool
    count: int
    at: float
    machines: list[str] | None = None


class PoolRecord(Struct, array_like=True, frozen=True):
    """One pool of alike machines: target, integral, rentals, returns under way."""

    target: float = 0.0
    integral: float = 0.0
    hires: list[Hire] = []
    returning: list[str] = []


def add_done(done: list[tuple[int, int]], index: int) -> list[tuple[int, int]]:
    """The ranges with one more index, merged and in order."""
    merged: list[tuple[int, int]] = []
    for low, high in sorted([*done, (index, index)]):
        if merged and low <= merged[-1][1] + 1:
            merged[-1] = (merged[-1][0], max(high, merged[-1][1]))
        else:
            merged.append((low, high))
    return merged
