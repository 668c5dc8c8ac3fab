"""Messages of the HTTP interfaces: users, workers, the cloud provider and the state service.

`field(name=...)` gives the key that is used on the wire; the attribute has the usual term of the
field. Types are checked strictly: a message that msgspec rejects is answered with status 400,
and msgspec's error text names the offending key.
"""

import math
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from coursefold.protocol.ids import is_job_id

MAX_BODY_BYTES = 64 * 1024
UInt64 = Annotated[int, Meta(ge=0)]  # MessagePack has no integers of 2**64 and above
NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e12)]
ShortText = Annotated[str, Meta(min_length=1, max_length=180)]
Priority = Literal["prod", "urgent", "normal", "idle"]
JobKind = Literal["array", "ensemble", "standing"]
PRIORITY_ORDER: dict[str, int] = {"prod": 0, "urgent": 1, "normal": 2, "idle": 3}  # 0: highest

T = TypeVar("T")


class MalformedError(Exception):
    """A request body is invalid and is answered with status 400; the text names the key."""


class Job(Struct, frozen=True):
    """A job as a user submits it: the body of POST /work.

    Resources are those of one task.
    """

    name: ShortText = field(name="NameId")
    job_class: ShortText = field(name="Lane")
    team: ShortText = field(name="Owner")
    # array: independent tasks; ensemble: a gang, whose tasks run together; standing: a service.
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
    machine_types: list[ShortText] | None = field(name="Builds", default=None)  # None: any
    zone: ShortText | None = field(name="Site", default=None)  # None: any
    # Seconds from acceptance until the job should be done; None: no deadline.
    deadline_s: NonNegativeFloat | None = field(name="DueS", default=None)
    prerequisites: list[str] | None = field(name="Prereqs", default=None)  # ids of other jobs


class TaskReport(Struct, frozen=True):
    """The state of one task in a worker's report."""

    task: str = field(name="Piece")  # in the form of `ids.TaskId`
    attempt: UInt64 = field(name="Try")
    state: Literal["pulling", "gathering", "running", "flushing", "exited"] = field(name="Status")
    cause: str | None = field(name="Cause", default=None)  # why it exited
    progress_saved: bool | None = field(name="Kept", default=None)


class Report(Struct, frozen=True):
    """A worker's report: the body of POST /agent/beat, and of its response to POST /orders."""

    machine: ShortText = field(name="Box")
    address: str = field(name="Addr")
    machine_type: ShortText = field(name="Build")
    zone: ShortText = field(name="Site")
    spot: bool = field(name="Loaners")
    session: UInt64 = field(name="Shift")
    sequence: UInt64 = field(name="Counter")
    token: UInt64 = field(name="Baton")  # the highest fencing token that the worker has seen
    tasks: list[TaskReport] = field(name="Pieces")
    # Seconds until the cloud provider takes the machine back; None: no notice was given.
    recall_in_s: NonNegativeFloat | None = field(name="RecallS", default=None)


class Command(Struct, frozen=True, omit_defaults=True):
    """A command to a worker about one attempt of a task."""

    verb: Literal["run", "stop", "forget"] = field(name="Verb")
    task: str = field(name="Piece")  # in the form of `ids.TaskId`
    attempt: int = field(name="Try")
    # Time that a stopped task has to save its progress.
    grace_s: float | None = field(name="WindDownS", default=None)


class CommandResponse(Struct, frozen=True):
    """The response to a worker's report: its owner's fencing token and commands."""

    token: int = field(name="Baton")
    commands: list[Command] = field(name="Orders")


class DirectCommands(Struct, frozen=True):
    """Commands that a controller sends to a worker's own address: the body of POST /orders."""

    token: int = field(name="Baton")
    session: int = field(name="Shift")
    commands: list[Command] = field(name="Orders")


class MachineType(Struct, frozen=True):
    """Resources, prices and zones of one machine type."""

    name: ShortText = field(name="Name")
    cpus: NonNegativeFloat = field(name="Vcpus")
    gpus: NonNegativeFloat = field(name="Accelerators")
    memory_gb: NonNegativeFloat = field(name="MemoryGb")
    cache_gb: NonNegativeFloat = field(name="CacheGb")  # space for cached images
    fetch_gb_per_s: NonNegativeFloat = field(name="FetchGbPerS")
    price_per_hour: NonNegativeFloat = field(name="Hourly")
    spot_price_per_hour: NonNegativeFloat = field(name="LowPrice")
    boot_s: NonNegativeFloat = field(name="BootS")
    zones: list[ShortText] = field(name="Sites")


class Catalog(Struct, frozen=True):
    """The machine types that can be rented: the response to GET /catalog."""

    machine_types: list[MachineType] = field(name="Builds")


class RentMachinesRequest(Struct, frozen=True):
    """A rental of machines: the body of POST /machines."""

    rental: str = field(name="Hire")
    machine_type: str = field(name="Build")
    zone: str = field(name="Site")
    spot: bool = field(name="Loaners")
    count: int = field(name="Count")


class MachineNames(Struct, frozen=True):
    """Names of machines."""

    machines: list[str] = field(name="Boxes")


class ListedMachine(Struct, frozen=True):
    """A machine in the cloud provider's list."""

    name: ShortText = field(name="NameId")
    address: str = field(name="Addr")
    machine_type: ShortText = field(name="Build")
    zone: ShortText = field(name="Site")
    spot: bool = field(name="Loaners")
    status: str = field(name="Status")
    age_s: NonNegativeFloat = field(name="HeldS", default=0.0)  # time since it was rented


class MachineList(Struct, frozen=True):
    """One page of the cloud provider's list: the response to GET /machines."""

    machines: list[ListedMachine] = field(name="Boxes")
    has_more: bool = field(name="More", default=False)


class KeyRow(Struct, frozen=True):
    """A key of the state service with its value and version."""

    key: str = field(name="K")
    value: Any = field(name="Value")
    version: int = field(name="Stamp")


class MissingKey(Struct, frozen=True):
    """The response to a read of a key that did not exist at this revision."""

    revision: int = field(name="Ledger")


class KeyRows(Struct, frozen=True):
    """One page of keys, and a revision that the page is at least as new as."""

    rows: list[KeyRow] = field(name="Rows")
    has_more: bool = field(name="More")
    revision: int = field(name="Ledger")


class CommitResult(Struct, frozen=True):
    """The revision of the state service that contains a committed transaction."""

    revision: int = field(name="Ledger")


class Conflict(Struct, frozen=True):
    """The response to a transaction whose conditions did not hold; `failed` names the keys."""

    revision: int = field(name="Ledger")
    failed: list[str] = []


class Lease(Struct, frozen=True):
    """A new lease of the state service."""

    lease_id: int = field(name="Permit")


class KeyUpdate(Struct, frozen=True):
    """A change of one key: either `set_key` with its new value, or `removed_key` is given."""

    version: int = field(name="Stamp")
    set_key: str | None = field(name="Set", default=None)
    value: Any = field(name="Value", default=None)
    removed_key: str | None = field(name="Remove", default=None)


class WatchResponse(Struct, frozen=True):
    """Changes after a revision, and the revision they lead to: the response to GET /follow."""

    revision: int = field(name="Ledger")
    updates: list[KeyUpdate] = field(name="News")


def encode(value: object) -> bytes:
    """Encode a value as MessagePack.

    Values of fields typed `Any` have to be plain maps, lists, texts and numbers.
    """
    return msgspec.msgpack.encode(value)


def decode(body: bytes, message_type: type[T]) -> T:
    """Decode a MessagePack body as the given message.

    Raises:
        MalformedError: The body is not valid for this type; the text names the key.
    """
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedError(str(error)) from None


def _list_float_fields(message_type: type[Struct]) -> list[tuple[str, str]]:
    """Return the attribute names of a message's floats with their keys on the wire."""
    return [
        (info.name, info.encode_name)
        for info in msgspec.structs.fields(message_type)
        if "float" in str(info.type)
    ]


JOB_FLOAT_FIELDS = _list_float_fields(Job)
REPORT_FLOAT_FIELDS = _list_float_fields(Report)


def _require_finite(message: Struct, fields: list[tuple[str, str]]) -> None:
    for name, wire_name in fields:
        value = getattr(message, name)
        if isinstance(value, float) and not math.isfinite(value):
            raise MalformedError(f"not a finite number - at `$.{wire_name}`")


def decode_job(body: bytes) -> Job:
    """Decode a submitted job and check its size, its numbers and the form of its job ids.

    Duplicate prerequisites are dropped.

    Raises:
        MalformedError: The body is not a valid job; the text names the key.
    """
    if len(body) > MAX_BODY_BYTES:
        raise MalformedError("body over 64 KiB")
    job = decode(body, Job)
    _require_finite(job, JOB_FLOAT_FIELDS)
    if not is_job_id(job.name):
        raise MalformedError("not a job id - at `$.NameId`")
    if job.prerequisites is None:
        return job
    for index, name in enumerate(job.prerequisites):
        if not is_job_id(name):
            raise MalformedError(f"not a job id - at `$.Prereqs[{index}]`")
    return msgspec.structs.replace(job, prerequisites=list(dict.fromkeys(job.prerequisites)))


def decode_report(body: bytes) -> Report:
    """Decode a worker's report and check its size and its numbers.

    Raises:
        MalformedError: The body is not a valid report; the text names the key.
    """
    if len(body) > MAX_BODY_BYTES:
        raise MalformedError("body over 64 KiB")
    report = decode(body, Report)
    _require_finite(report, REPORT_FLOAT_FIELDS)
    return report
