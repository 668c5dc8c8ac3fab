"""Messages of users, workers, cloud and state service.

Field names are the wire's own words; everything else in the program uses the
field's standard terms. Strict types make msgspec's refusal the 400 that the
protocol asks for, and its message names the field.
"""

import math
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from coursefold.protocol.ids import is_job_id

MAX_BODY_BYTES = 64 * 1024
UInt64 = Annotated[int, Meta(ge=0)]  # MessagePack itself ends below 2**64
NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e12)]
ShortText = Annotated[str, Meta(min_length=1, max_length=180)]
Priority = Literal["prod", "urgent", "normal", "idle"]
JobKind = Literal["array", "ensemble", "standing"]
PRIORITY_ORDER: dict[str, int] = {"prod": 0, "urgent": 1, "normal": 2, "idle": 3}

T = TypeVar("T")


class MalformedError(Exception):
    """A body that earns a 400; the text names the field."""


class Job(Struct, frozen=True):
    """POST /work."""

    name: ShortText = field(name="NameId")
    job_class: ShortText = field(name="Lane")
    team: ShortText = field(name="Owner")
    kind: JobKind = field(name="Shape")
    priority: Priority = field(name="Rank")
    task_count: Annotated[int, Meta(ge=1, le=100_000)] = field(name="Pieces")
    cpus: NonNegativeFloat = field(name="Vcpus")
    gpus: NonNegativeFloat = field(name="Accelerators")
    memory_gb: NonNegativeFloat = field(name="MemoryGb")
    image: ShortText = field(name="Bundle")
    image_gb: NonNegativeFloat = field(name="ImageGb")
    same_zone: bool = field(name="Together")
    spread_zones: bool = field(name="Apart")
    may_use_spot: bool = field(name="Loaners")
    estimated_run_s: NonNegativeFloat = field(name="ExpectedS")
    checkpoint_interval_s: NonNegativeFloat = field(name="SnapshotEveryS")
    checkpoint_save_s: NonNegativeFloat = field(name="SnapshotS")
    machine_types: list[ShortText] | None = field(name="Builds", default=None)
    zone: ShortText | None = field(name="Site", default=None)
    deadline_s: NonNegativeFloat | None = field(name="DueS", default=None)
    prerequisites: list[str] | None = field(name="Prereqs", default=None)


class TaskReport(Struct, frozen=True):
    """A task on a machine, as its worker reports it."""

    task: str = field(name="Piece")
    attempt: UInt64 = field(name="Try")
    state: Literal["pulling", "gathering", "running", "flushing", "exited"] = field(name="Status")
    cause: str | None = field(name="Cause", default=None)
    progress_saved: bool | None = field(name="Kept", default=None)


class Report(Struct, frozen=True):
    """POST /agent/beat, and the body that a worker returns."""

    machine: ShortText = field(name="Box")
    address: str = field(name="Addr")
    machine_type: ShortText = field(name="Build")
    zone: ShortText = field(name="Site")
    spot: bool = field(name="Loaners")
    session: UInt64 = field(name="Shift")
    sequence: UInt64 = field(name="Counter")
    token: UInt64 = field(name="Baton")
    tasks: list[TaskReport] = field(name="Pieces")
    recall_in_s: NonNegativeFloat | None = field(name="RecallS", default=None)


class Command(Struct, frozen=True, omit_defaults=True):
    """A command to a worker."""

    verb: Literal["run", "stop", "forget"] = field(name="Verb")
    task: str = field(name="Piece")
    attempt: int = field(name="Try")
    grace_s: float | None = field(name="WindDownS", default=None)


class CommandResponse(Struct, frozen=True):
    """The answer to a report."""

    token: int = field(name="Baton")
    commands: list[Command] = field(name="Orders")


class DirectCommands(Struct, frozen=True):
    """POST /orders."""

    token: int = field(name="Baton")
    session: int = field(name="Shift")
    commands: list[Command] = field(name="Orders")


class MachineType(Struct, frozen=True):
    """What machines of one kind have and cost."""

    name: ShortText = field(name="Name")
    cpus: NonNegativeFloat = field(name="Vcpus")
    gpus: NonNegativeFloat = field(name="Accelerators")
    memory_gb: NonNegativeFloat = field(name="MemoryGb")
    cache_gb: NonNegativeFloat = field(name="CacheGb")
    fetch_gb_per_s: NonNegativeFloat = field(name="FetchGbPerS")
    price_per_hour: NonNegativeFloat = field(name="Hourly")
    spot_price_per_hour: NonNegativeFloat = field(name="LowPrice")
    boot_s: NonNegativeFloat = field(name="BootS")
    zones: list[ShortText] = field(name="Sites")


class Catalog(Struct, frozen=True):
    """GET /catalog."""

    machine_types: list[MachineType] = field(name="Builds")


class RentMachinesRequest(Struct, frozen=True):
    """POST /machines."""

    rental: str = field(name="Hire")
    machine_type: str = field(name="Build")
    zone: str = field(name="Site")
    spot: bool = field(name="Loaners")
    count: int = field(name="Count")


class MachineNames(Struct, frozen=True):
    """Names of machines."""

    machines: list[str] = field(name="Boxes")


class ListedMachine(Struct, frozen=True):
    """A machine in the cloud's list."""

    name: ShortText = field(name="NameId")
    address: str = field(name="Addr")
    machine_type: ShortText = field(name="Build")
    zone: ShortText = field(name="Site")
    spot: bool = field(name="Loaners")
    status: str = field(name="Status")
    age_s: NonNegativeFloat = field(name="HeldS", default=0.0)


class MachineList(Struct, frozen=True):
    """GET /machines."""

    machines: list[ListedMachine] = field(name="Boxes")
    has_more: bool = field(name="More", default=False)


class KeyRow(Struct, frozen=True):
    """A key of the state service."""

    key: str = field(name="K")
    value: Any = field(name="Value")
    version: int = field(name="Stamp")


class KeyRows(Struct, frozen=True):
    """A page of keys."""

    rows: list[KeyRow] = field(name="Rows")
    has_more: bool = field(name="More")
    revision: int = field(name="Ledger")


class CommitResult(Struct, frozen=True):
    """A revision of the state service."""

    revision: int = field(name="Ledger")


class Conflict(Struct, frozen=True):
    """A transaction whose conditions failed, and which."""

    revision: int = field(name="Ledger")
    failed: list[str] = []


class Lease(Struct, frozen=True):
    """A lease of the state service."""

    lease_id: int = field(name="Permit")


class KeyUpdate(Struct, frozen=True):
    """A change of one key."""

    version: int = field(name="Stamp")
    set_key: str | None = field(name="Set", default=None)
    value: Any = field(name="Value", default=None)
    removed_key: str | None = field(name="Remove", default=None)


class WatchResponse(Struct, frozen=True):
    """GET /follow."""

    revision: int = field(name="Ledger")
    updates: list[KeyUpdate] = field(name="News")


def encode(value: object) -> bytes:
    """MessagePack; `Any` values must be plain maps, lists, text, numbers."""
    return msgspec.msgpack.encode(value)


def decode(body: bytes, shape: type[T]) -> T:
    """A body in the given shape, or MalformedError with the field's name."""
    try:
        return msgspec.msgpack.decode(body, type=shape)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
        raise MalformedError(str(wrong)) from None


def _floats(shape: type[Struct]) -> list[tuple[str, str]]:
    """The names of a message's amounts, here and on the wire."""
    return [
        (info.name, info.encode_name)
        for info in msgspec.structs.fields(shape)
        if "float" in str(info.type)
    ]


JOB_FLOATS = _floats(Job)
REPORT_FLOATS = _floats(Report)


def _finite(message: Struct, names: list[tuple[str, str]]) -> None:
    for name, wire_name in names:
        value = getattr(message, name)
        if isinstance(value, float) and not math.isfinite(value):
            raise MalformedError(f"not a finite number - at `$.{wire_name}`")


def decode_job(body: bytes) -> Job:
    """A submission, checked beyond its types."""
    if len(body) > MAX_BODY_BYTES:
        raise MalformedError("body over 64 KiB")
    job = decode(body, Job)
    _finite(job, JOB_FLOATS)
    if not is_job_id(job.name):
        raise MalformedError("not a job id - at `$.NameId`")
    if job.prerequisites is None:
        return job
    for at, name in enumerate(job.prerequisites):
        if not is_job_id(name):
            raise MalformedError(f"not a job id - at `$.Prereqs[{at}]`")
    return msgspec.structs.replace(job, prerequisites=list(dict.fromkeys(job.prerequisites)))


def decode_report(body: bytes) -> Report:
    """A worker's report, checked beyond its types."""
    if len(body) > MAX_BODY_BYTES:
        raise MalformedError("body over 64 KiB")
    report = decode(body, Report)
    _finite(report, REPORT_FLOATS)
    return report
