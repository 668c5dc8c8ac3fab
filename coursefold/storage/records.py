"""The records of the state service, and their codec.

Structs are encoded as lists, for values are limited to a few KiB and every
change of a job writes its record whole. A job's record is small while it lives
and becomes a tiny `Ending` under another prefix when it is over, so that a
starting node reads live jobs only and ended ones take no memory.

Forms that version 0.1 cannot read are written only once every controller can
(`Level`): an ending's time, the roster's second form, and records too large for
one value, which are compressed and laid over several keys (`spread`).
"""

import base64
import binascii
import zlib
from typing import Any, NamedTuple, TypeVar

import msgspec
from msgspec import Struct

from coursefold.protocol.ids import JobId, Key, Member
from coursefold.protocol.wire import Catalog, Job
from coursefold.storage.cell_records import Away, AwayStage, CellLink, Guest, GuestStage
from coursefold.storage.share_records import MachineOwnership, ShareRequest

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

T = TypeVar("T")


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


class _Spec(Struct, array_like=True, frozen=True):
    """A job's description without field names."""

    name: str
    lane: str
    team: str
    shape: str
    rank: str
    tasks: int
    cpus: float
    gpus: float
    memory: float
    image: str
    image_gb: float
    together: bool
    apart: bool
    spot: bool
    estimate: float
    checkpoint: float
    save: float
    builds: list[str] | None
    zone: str | None
    due: float | None


class Run(Struct, array_like=True, frozen=True):
    """Entries in a row that differ only by number and machine.

    A gang of hundreds has one entry a task, and has to fit one value: its places are
    ordered by owner, so that a few runs hold them all. Attempts are the same in a gang
    and rise one by one in an array; `machines` are ends of names with a common prefix.
    """

    index: int
    stage: int
    attempt: int
    rising: int
    owner: str
    zone: str
    session: int
    prefix: str
    machines: str


def common_prefix(names: list[str]) -> str:
    """The longest start that all names share."""
    low, high = min(names), max(names)
    for at, letter in enumerate(low):
        if at >= len(high) or high[at] != letter:
            return low[:at]
    return low


def pack(entries: list[Entry]) -> list[Run]:
    """Entries as runs, in the same order."""
    runs: list[Run] = []
    at = 0
    while at < len(entries):
        first = entries[at]
        rising = int(at + 1 < len(entries) and entries[at + 1].attempt == first.attempt + 1)
        end = at + 1
        while end < len(entries) and entries[end] == Entry(
            first.index + end - at, first.stage, first.attempt + rising * (end - at), first.owner,
            first.zone, entries[end].machine, first.session,
        ):  # fmt: skip
            end += 1
        names = [e.machine for e in entries[at:end]]
        prefix = common_prefix(names)
        ends = [name[len(prefix) :] for name in names]
        if any(" " in name for name in ends):  # never seen; a name is the cloud's own
            end, prefix, ends = at + 1, names[0], [""]
        same = (first.owner, first.zone, first.session)
        run = Run(first.index, first.stage, first.attempt, rising, *same, prefix, " ".join(ends))
        runs.append(run)
        at = end
    return runs


def unpack(runs: list[Run]) -> list[Entry]:
    """The entries of runs."""
    entries: list[Entry] = []
    for r in runs:
        for k, name in enumerate(r.machines.split(" ")):
            attempt, machine = r.attempt + r.rising * k, r.prefix + name
            entries.append(
                Entry(r.index + k, r.stage, attempt, r.owner, r.zone, machine, r.session)
            )
    return entries


class _Job(Struct, array_like=True, frozen=True):
    spec: _Spec
    at: float
    status: int
    attempt: int
    entries: list[Run]
    done: list[tuple[int, int]]
    errors: int = 0
    retry_at: float = 0.0
    failed_on: list[str] = []
    needs: list[str] = []
    ready: float = 0.0
    away: Away | None = None
    guest: Guest | None = None


class _Roster(Struct, array_like=True, frozen=True):
    """The roster since the switch. An old process cannot read it, so it never leads or owns."""

    level: int
    leader: str
    members: list[MemberRecord]


def _plain(job: Job) -> _Spec:
    return _Spec(*(getattr(job, name) for name in _Spec.__struct_fields__))


def _rich(spec: _Spec) -> Job:
    return Job(**{name: getattr(spec, name) for name in _Spec.__struct_fields__})


# Fields that may be left out at a record's end when they are empty. For an ending that is
# what version 0.1 knows it by: a list of two.
_LEAST: dict[type[Struct], int] = {_Job: 6, Ending: 2, Roster: 2}


def dump(record: Struct, level: int = 0) -> Any:
    """A record as plain data for the wire, in the newest form that all controllers read."""
    if isinstance(record, JobRecord):
        record = _Job(
            _plain(record.spec), record.at, record.status, record.attempt, pack(record.entries),
            record.done, record.errors, record.retry_at, record.failed_on, record.needs,
            record.ready, record.away, record.guest,
        )  # fmt: skip
    elif isinstance(record, Roster) and level:
        record = _Roster(level, record.leader, record.members)
    value = msgspec.to_builtins(record)
    least = _LEAST.get(type(record))
    if least is not None:
        while len(value) > least and not value[-1]:
            value.pop()
    return value


SHAPES: dict[str, type[Struct]] = {
    JOBS: _Job,
    ENDINGS: Ending,
    MEMBERS: MemberRecord,
    POOLS: PoolRecord,
    VERSIONS: Version,
    CELL_LINKS: CellLink,
    OWNERSHIPS: MachineOwnership,
    SHARE_REQUESTS: ShareRequest,
}


def parse(key: str, value: Any) -> Struct | None:
    """The record at a key, or None where the key is not ours."""
    if key == ROSTER:
        if isinstance(value, list) and value and isinstance(value[0], int):
            newer = msgspec.convert(value, _Roster)
            return Roster(newer.leader, newer.members, newer.level)
        return msgspec.convert(value, Roster)
    if key in (CATALOG, TYPES):
        return msgspec.convert(value, Catalog)
    if key == LEVEL:
        return msgspec.convert(value, Level)
    for prefix, shape in SHAPES.items():
        if key.startswith(prefix):
            if prefix == JOBS and isinstance(value, list) and 2 <= len(value) <= 3:
                return msgspec.convert(value, Ending)  # ended, not yet moved
            record = msgspec.convert(value, shape)
            if isinstance(record, _Job):
                return JobRecord(
                    _rich(record.spec), record.at, record.status, record.attempt,
                    unpack(record.entries), record.done, record.errors, record.retry_at,
                    record.failed_on, record.needs, record.ready, record.away, record.guest,
                )  # fmt: skip
            return record
    return None


def size(value: Any) -> int:
    """Bytes of a value in JSON form, which is how the limits count."""
    return len(msgspec.json.encode(value))


class Spread(NamedTuple):
    """A value laid over several keys: the record's own, and its parts in order."""

    head: Any
    parts: list[str]


FRAME = 40  # a head's own bytes around its text
UNPACKED = 8 * 1024 * 1024


class Packed(Struct, frozen=True, forbid_unknown_fields=True):
    """The head of a record too large for one value: how many parts follow, and the first text."""

    parts: int
    text: str


def spread(value: Any, limit: int) -> Spread:
    """A value as it is written within `limit` bytes a key.

    One that fits stays as it is, for people to read. A larger one is compressed (a
    gang's places differ by a few digits each) and cut; head and parts are written in one
    transaction, so that they carry the same Stamp, which is how a reader knows that they
    belong together.
    """
    if size(value) <= limit:
        return Spread(value, [])
    text = base64.b64encode(zlib.compress(msgspec.msgpack.encode(value), 6)).decode()
    room = limit - FRAME
    cut = [text[at : at + room] for at in range(0, len(text), room)]
    return Spread({"parts": len(cut) - 1, "text": cut[0]}, cut[1:])


def packed(value: Any) -> Packed | None:
    """The head of a record that is laid over several keys, or None for a plain value."""
    if not isinstance(value, dict) or "parts" not in value:
        return None
    try:
        return msgspec.convert(value, Packed)
    except msgspec.ValidationError as wrong:
        raise ValueError(str(wrong)) from None


def join(texts: list[str]) -> Any:
    """A spread value put together again; ValueError if it is damaged."""
    try:
        unpacker = zlib.decompressobj()
        raw = unpacker.decompress(base64.b64decode("".join(texts), validate=True), UNPACKED)
        if not unpacker.eof:
            raise ValueError("cut short or too large")
        return msgspec.msgpack.decode(raw)
    except (binascii.Error, zlib.error, msgspec.MsgspecError) as wrong:
        raise ValueError(str(wrong)) from None


def part_key(key: str, number: int) -> Key:
    """The key of a record's part, counted from 1."""
    return Key(f"{PARTS}{key.removeprefix(ROOT)}/{number}")


def parts_prefix(key: str) -> str:
    """What the keys of all parts of a record begin with."""
    return f"{PARTS}{key.removeprefix(ROOT)}/"


def head_key(part: str) -> Key:
    """The record that a part belongs to."""
    return Key(ROOT + part.removeprefix(PARTS).rpartition("/")[0])
