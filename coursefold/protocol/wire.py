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

BODY_LIMIT = 64 * 1024
U64 = Annotated[int, Meta(ge=0)]  # MessagePack itself ends below 2**64
Amount = Annotated[float, Meta(ge=0, le=1e12)]
Text = Annotated[str, Meta(min_length=1, max_length=180)]
Rank = Literal["prod", "urgent", "normal", "idle"]
Shape = Literal["array", "ensemble", "standing"]
RANKS: dict[str, int] = {"prod": 0, "urgent": 1, "normal": 2, "idle": 3}

T = TypeVar("T")


class MalformedError(Exception):
    """A body that earns a 400; the text names the field."""


class Job(Struct, frozen=True):
    """POST /work."""

    name: Text = field(name="NameId")
    lane: Text = field(name="Lane")
    team: Text = field(name="Owner")
    shape: Shape = field(name="Shape")
    rank: Rank = field(name="Rank")
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = field(name="Pieces")
    cpus: Amount = field(name="Vcpus")
    gpus: Amount = field(name="Accelerators")
    memory: Amount = field(name="MemoryGb")
    image: Text = field(name="Bundle")
    image_gb: Amount = field(name="ImageGb")
    together: bool = field(name="Together")
    apart: bool = field(name="Apart")
    spot: bool = field(name="Loaners")
    estimate: Amount = field(name="ExpectedS")
    checkpoint: Amount = field(name="SnapshotEveryS")
    save: Amount = field(name="SnapshotS")
    builds: list[Text] | None = field(name="Builds", default=None)
    zone: Text | None = field(name="Site", default=None)
    due: Amount | None = field(name="DueS", default=None)
    prereqs: list[str] | None = field(name="Prereqs", default=None)


class TaskReport(Struct, frozen=True):
    """A task on a machine, as its worker reports it."""

    task: str = field(name="Piece")
    attempt: U64 = field(name="Try")
    state: Literal["pulling", "gathering", "running", "flushing", "exited"] = field(name="Status")
    cause: str | None = field(name="Cause", default=None)
    kept: bool | None = field(name="Kept", default=None)


class Report(Struct, frozen=True):
    """POST /agent/beat, and the body that a worker returns."""

    machine: Text = field(name="Box")
    addr: str = field(name="Addr")
    build: Text = field(name="Build")
    zone: Text = field(name="Site")
    spot: bool = field(name="Loaners")
    session: U64 = field(name="Shift")
    counter: U64 = field(name="Counter")
    token: U64 = field(name="Baton")
    tasks: list[TaskReport] = field(name="Pieces")
    recall: Amount | None = field(name="RecallS", default=None)


class Order(Struct, frozen=True, omit_defaults=True):
    """A command to a worker."""

    verb: Literal["run", "stop", "forget"] = field(name="Verb")
    task: str = field(name="Piece")
    attempt: int = field(name="Try")
    grace: float | None = field(name="WindDownS", default=None)


class Orders(Struct, frozen=True):
    """The answer to a report."""

    token: int = field(name="Baton")
    orders: list[Order] = field(name="Orders")


class DirectOrders(Struct, frozen=True):
    """POST /orders."""

    token: int = field(name="Baton")
    session: int = field(name="Shift")
    orders: list[Order] = field(name="Orders")


class MachineType(Struct, frozen=True):
    """What machines of one kind have and cost."""

    name: Text = field(name="Name")
    cpus: Amount = field(name="Vcpus")
    gpus: Amount = field(name="Accelerators")
    memory: Amount = field(name="MemoryGb")
    cache_gb: Amount = field(name="CacheGb")
    fetch: Amount = field(name="FetchGbPerS")
    price: Amount = field(name="Hourly")
    spot_price: Amount = field(name="LowPrice")
    boot: Amount = field(name="BootS")
    zones: list[Text] = field(name="Sites")


class Catalog(Struct, frozen=True):
    """GET /catalog."""

    builds: list[MachineType] = field(name="Builds")


class HireRequest(Struct, frozen=True):
    """POST /machines."""

    hire: str = field(name="Hire")
    build: str = field(name="Build")
    zone: str = field(name="Site")
    spot: bool = field(name="Loaners")
    count: int = field(name="Count")


class Boxes(Struct, frozen=True):
    """Names of machines."""

    machines: list[str] = field(name="Boxes")


class Listed(Struct, frozen=True):
    """A machine in the cloud's list."""

    name: Text = field(name="NameId")
    addr: str = field(name="Addr")
    build: Text = field(name="Build")
    zone: Text = field(name="Site")
    spot: bool = field(name="Loaners")
    status: str = field(name="Status")
    held: Amount = field(name="HeldS", default=0.0)


class MachineList(Struct, frozen=True):
    """GET /machines."""

    machines: list[Listed] = field(name="Boxes")
    more: bool = field(name="More", default=False)


class KeyRow(Struct, frozen=True):
    """A key of the state service."""

    key: str = field(name="K")
    value: Any = field(name="Value")
    stamp: int = field(name="Stamp")


class KeyRows(Struct, frozen=True):
    """A page of keys."""

    rows: list[KeyRow] = field(name="Rows")
    more: bool = field(name="More")
    ledger: int = field(name="Ledger")


class Ledger(Struct, frozen=True):
    """A revision of the state service."""

    ledger: int = field(name="Ledger")


class Conflict(Struct, frozen=True):
    """A transaction whose conditions failed, and which."""

    ledger: int = field(name="Ledger")
    failed: list[str] = []


class Lease(Struct, frozen=True):
    """A lease of the state service."""

    permit: int = field(name="Permit")


class NewsItem(Struct, frozen=True):
    """A change of one key."""

    stamp: int = field(name="Stamp")
    set: str | None = field(name="Set", default=None)
    value: Any = field(name="Value", default=None)
    remove: str | None = field(name="Remove", default=None)


class News(Struct, frozen=True):
    """GET /follow."""

    ledger: int = field(name="Ledger")
    news: list[NewsItem] = field(name="News")


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
    if len(body) > BODY_LIMIT:
        raise MalformedError("body over 64 KiB")
    job = decode(body, Job)
    _finite(job, JOB_FLOATS)
    if not is_job_id(job.name):
        raise MalformedError("not a job id - at `$.NameId`")
    if job.prereqs is None:
        return job
    for at, name in enumerate(job.prereqs):
        if not is_job_id(name):
            raise MalformedError(f"not a job id - at `$.Prereqs[{at}]`")
    return msgspec.structs.replace(job, prereqs=list(dict.fromkeys(job.prereqs)))


def decode_report(body: bytes) -> Report:
    """A worker's report, checked beyond its types."""
    if len(body) > BODY_LIMIT:
        raise MalformedError("body over 64 KiB")
    report = decode(body, Report)
    _finite(report, REPORT_FLOATS)
    return report
