"""Conversion of records to plain data for the state service, and back.

Structs become lists without field names: values are limited to a few KiB, and every change of a
job writes its whole record.
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
    """A job's description without field names. Its fields are copied by name to and from `Job`."""

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
    """Successive entries that differ only by task number and machine, and in attempts as below.

    A gang of hundreds of tasks has an entry for each, and its record has to fit one value. Its
    entries are ordered by owner, so that a few runs hold them all.

    Attributes:
        index: Number of the first task; the others follow one by one.
        attempt: Attempt of the first task.
        attempt_step: 0 if all attempts are the same, as in a gang; 1 if each is one higher than
            the one before, as in an array.
        prefix: The common start of the machines' names.
        suffixes: The rest of each machine's name, separated by spaces.
    """

    index: int
    stage: int
    attempt: int
    attempt_step: int
    owner: str
    zone: str
    session: int
    prefix: str
    suffixes: str


def common_prefix(names: list[str]) -> str:
    """Return the longest prefix that all names have in common."""
    low, high = min(names), max(names)
    for index, letter in enumerate(low):
        if index >= len(high) or high[index] != letter:
            return low[:index]
    return low


def pack_entries(entries: list[TaskEntry]) -> list[EntryRun]:
    """Convert entries to runs, in the same order."""
    runs: list[EntryRun] = []
    start = 0
    while start < len(entries):
        first = entries[start]
        attempt_step = int(
            start + 1 < len(entries) and entries[start + 1].attempt == first.attempt + 1
        )
        end = start + 1
        while end < len(entries) and entries[end] == TaskEntry(
            first.index + end - start, first.stage, first.attempt + attempt_step * (end - start),
            first.owner, first.zone, entries[end].machine, first.session,
        ):  # fmt: skip
            end += 1
        names = [entry.machine for entry in entries[start:end]]
        prefix = common_prefix(names)
        suffixes = [name[len(prefix) :] for name in names]
        # Names are given by the cloud provider; one with a space gets a run of its own.
        if any(" " in name for name in suffixes):
            end, prefix, suffixes = start + 1, names[0], [""]
        common = (first.owner, first.zone, first.session)
        run = EntryRun(
            first.index, first.stage, first.attempt, attempt_step, *common, prefix,
            " ".join(suffixes),
        )  # fmt: skip
        runs.append(run)
        start = end
    return runs


def unpack_entries(runs: list[EntryRun]) -> list[TaskEntry]:
    """Convert runs back to entries."""
    entries: list[TaskEntry] = []
    for run in runs:
        for offset, suffix in enumerate(run.suffixes.split(" ")):
            attempt, machine = run.attempt + run.attempt_step * offset, run.prefix + suffix
            entries.append(
                TaskEntry(
                    run.index + offset,
                    run.stage,
                    attempt,
                    run.owner,
                    run.zone,
                    machine,
                    run.session,
                )
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
    """The roster's second form, written once a format level is set.

    A process of version 0.1 cannot read it, and so neither leads nor owns machines.
    """

    level: int
    leader: str
    members: list[MemberRecord]


def _to_spec(job: Job) -> _Spec:
    return _Spec(*(getattr(job, name) for name in _Spec.__struct_fields__))


def _to_job(spec: _Spec) -> Job:
    return Job(**{name: getattr(spec, name) for name in _Spec.__struct_fields__})


# How many fields each record has at least: empty ones beyond them are omitted at the end. Version
# 0.1 recognizes an ending as a list of two.
_MIN_FIELDS: dict[type[Struct], int] = {_Job: 6, Ending: 2, Roster: 2}


def encode_record(record: Struct, level: int = 0) -> Any:
    """Convert a record to plain data, in the newest form that all controllers can read.

    `level` is the format level that they share; 0 stands for the forms of version 0.1.
    """
    if isinstance(record, JobRecord):
        record = _Job(
            _to_spec(record.spec), record.accepted_at, record.status, record.attempt,
            pack_entries(record.entries), record.done_ranges, record.failure_count,
            record.retry_at, record.failed_on, record.open_prerequisites, record.ready_at,
            record.delegation, record.guest,
        )  # fmt: skip
    elif isinstance(record, Roster) and level:
        record = _Roster(level, record.leader, record.members)
    value = msgspec.to_builtins(record)
    min_fields = _MIN_FIELDS.get(type(record))
    if min_fields is not None:
        while len(value) > min_fields and not value[-1]:
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
    """Convert the plain data at a key to its record; returns None if the key is of no known kind.

    Raises:
        msgspec.ValidationError: The value does not have the form of the key's record.
    """
    if key == ROSTER_KEY:
        if isinstance(value, list) and value and isinstance(value[0], int):
            roster = msgspec.convert(value, _Roster)
            return Roster(roster.leader, roster.members, roster.level)
        return msgspec.convert(value, Roster)
    if key in (CATALOG_KEY, MACHINE_TYPES_KEY):
        return msgspec.convert(value, Catalog)
    if key == FORMAT_LEVEL_KEY:
        return msgspec.convert(value, FormatLevel)
    for prefix, record_type in RECORD_TYPES.items():
        if key.startswith(prefix):
            if prefix == JOB_PREFIX and isinstance(value, list) and 2 <= len(value) <= 3:
                return msgspec.convert(value, Ending)  # not archived yet
            record = msgspec.convert(value, record_type)
            if isinstance(record, _Job):
                return JobRecord(
                    _to_job(record.spec), record.accepted_at, record.status, record.attempt,
                    unpack_entries(record.entries), record.done_ranges, record.failure_count,
                    record.retry_at, record.failed_on, record.open_prerequisites, record.ready_at,
                    record.delegation, record.guest,
                )  # fmt: skip
            return record
    return None


def json_size_bytes(value: Any) -> int:
    """Return a value's size in JSON, by which the state service applies its limits."""
    return len(msgspec.json.encode(value))
