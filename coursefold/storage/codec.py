"""Records as plain data for the wire, and back.

Structs are encoded as lists, for values are limited to a few KiB and every change of a job
writes its record whole.
"""

from typing import Any

import msgspec
from msgspec import Struct

from coursefold.protocol.wire import Catalog, Job
from coursefold.storage.cell_records import Away, CellLink, Guest
from coursefold.storage.records import (
    CATALOG,
    CELL_LINKS,
    ENDINGS,
    JOBS,
    LEVEL,
    MEMBERS,
    OWNERSHIPS,
    POOLS,
    ROSTER,
    SHARE_REQUESTS,
    TYPES,
    VERSIONS,
    Ending,
    Entry,
    JobRecord,
    Level,
    MemberRecord,
    PoolRecord,
    Roster,
    Version,
)
from coursefold.storage.share_records import MachineOwnership, ShareRequest


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
