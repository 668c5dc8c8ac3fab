"""Records as plain data for the wire, and back.

Structs are encoded as lists, for values are limited to a few KiB and every change of a job
writes its record whole.
"""

from typing import Any

import msgspec
from msgspec import Struct

from coursefold.protocol.wire import Catalog, Job
from coursefold.storage.cell_records import CellLink, Delegation, Guest
from coursefold.storage.records import (
    CATALOG_KEY,
    CELL_LINK_PREFIX,
    ENDING_PREFIX,
    FORMAT_LEVEL_KEY,
    JOB_PREFIX,
    MACHINE_TYPES_KEY,
    MEMBER_PREFIX,
    OWNERSHIP_PREFIX,
    POOL_PREFIX,
    ROSTER_KEY,
    SHARE_REQUEST_PREFIX,
    VERSION_PREFIX,
    Ending,
    FormatLevel,
    JobRecord,
    MemberRecord,
    MemberVersion,
    PoolRecord,
    Roster,
    TaskEntry,
)
from coursefold.storage.share_records import MachineOwnership, ShareRequest


class _Spec(Struct, array_like=True, frozen=True):
    """A job's description without field names."""

    name: str
    job_class: str
    team: str
    kind: str
    priority: str
    task_count: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    same_zone: bool
    spread_zones: bool
    may_use_spot: bool
    estimated_run_s: float
    checkpoint_interval_s: float
    checkpoint_save_s: float
    machine_types: list[str] | None
    zone: str | None
    deadline_s: float | None


class EntryRun(Struct, array_like=True, frozen=True):
    """Entries in a row that differ only by number and machine.

    A gang of hundreds has one entry a task, and has to fit one value: its places are
    ordered by owner, so that a few runs hold them all. Attempts are the same in a gang
    and rise one by one in an array; `machines` are ends of names with a common prefix.
    """

    index: int
    stage: int
    attempt: int
    attempt_step: int
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


def pack_entries(entries: list[TaskEntry]) -> list[EntryRun]:
    """Entries as runs, in the same order."""
    runs: list[EntryRun] = []
    at = 0
    while at < len(entries):
        first = entries[at]
        rising = int(at + 1 < len(entries) and entries[at + 1].attempt == first.attempt + 1)
        end = at + 1
        while end < len(entries) and entries[end] == TaskEntry(
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
        run = EntryRun(
            first.index, first.stage, first.attempt, rising, *same, prefix, " ".join(ends)
        )
        runs.append(run)
        at = end
    return runs


def unpack_entries(runs: list[EntryRun]) -> list[TaskEntry]:
    """The entries of runs."""
    entries: list[TaskEntry] = []
    for r in runs:
        for k, name in enumerate(r.machines.split(" ")):
            attempt, machine = r.attempt + r.attempt_step * k, r.prefix + name
            entries.append(
                TaskEntry(r.index + k, r.stage, attempt, r.owner, r.zone, machine, r.session)
            )
    return entries


class _Job(Struct, array_like=True, frozen=True):
    spec: _Spec
    accepted_at: float
    status: int
    attempt: int
    entries: list[EntryRun]
    done_ranges: list[tuple[int, int]]
    failure_count: int = 0
    retry_at: float = 0.0
    failed_on: list[str] = []
    open_prerequisites: list[str] = []
    ready_at: float = 0.0
    delegation: Delegation | None = None
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


def encode_record(record: Struct, level: int = 0) -> Any:
    """A record as plain data for the wire, in the newest form that all controllers read."""
    if isinstance(record, JobRecord):
        record = _Job(
            _plain(record.spec), record.accepted_at, record.status, record.attempt,
            pack_entries(record.entries), record.done_ranges, record.failure_count,
            record.retry_at, record.failed_on, record.open_prerequisites, record.ready_at,
            record.delegation, record.guest,
        )  # fmt: skip
    elif isinstance(record, Roster) and level:
        record = _Roster(level, record.leader, record.members)
    value = msgspec.to_builtins(record)
    least = _LEAST.get(type(record))
    if least is not None:
        while len(value) > least and not value[-1]:
            value.pop()
    return value


RECORD_TYPES: dict[str, type[Struct]] = {
    JOB_PREFIX: _Job,
    ENDING_PREFIX: Ending,
    MEMBER_PREFIX: MemberRecord,
    POOL_PREFIX: PoolRecord,
    VERSION_PREFIX: MemberVersion,
    CELL_LINK_PREFIX: CellLink,
    OWNERSHIP_PREFIX: MachineOwnership,
    SHARE_REQUEST_PREFIX: ShareRequest,
}


def decode_record(key: str, value: Any) -> Struct | None:
    """The record at a key, or None where the key is not ours."""
    if key == ROSTER_KEY:
        if isinstance(value, list) and value and isinstance(value[0], int):
            newer = msgspec.convert(value, _Roster)
            return Roster(newer.leader, newer.members, newer.level)
        return msgspec.convert(value, Roster)
    if key in (CATALOG_KEY, MACHINE_TYPES_KEY):
        return msgspec.convert(value, Catalog)
    if key == FORMAT_LEVEL_KEY:
        return msgspec.convert(value, FormatLevel)
    for prefix, shape in RECORD_TYPES.items():
        if key.startswith(prefix):
            if prefix == JOB_PREFIX and isinstance(value, list) and 2 <= len(value) <= 3:
                return msgspec.convert(value, Ending)  # ended, not yet moved
            record = msgspec.convert(value, shape)
            if isinstance(record, _Job):
                return JobRecord(
                    _rich(record.spec), record.accepted_at, record.status, record.attempt,
                    unpack_entries(record.entries), record.done_ranges, record.failure_count,
                    record.retry_at, record.failed_on, record.open_prerequisites, record.ready_at,
                    record.delegation, record.guest,
                )  # fmt: skip
            return record
    return None


def json_size_bytes(value: Any) -> int:
    """Bytes of a value in JSON form, which is how the limits count."""
    return len(msgspec.json.encode(value))
