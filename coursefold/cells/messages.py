"""Frames between cells as typed messages, and the checks on what comes in.

A frame is taken whole or not at all: one field that no cell of ours would send, and nothing
of it is believed.
"""

import math
from typing import NamedTuple

import msgspec
from google.protobuf.message import DecodeError

from coursefold.protocol import cell_pb2
from coursefold.protocol.ids import JobId, is_job_id
from coursefold.protocol.wire import Job, MachineType, MalformedError, decode_job, encode
from coursefold.storage.cell_records import GuestStage

VERSION = 1
MOST_ITEMS = 20_000  # in one list; twice the jobs that a cell may have away
MOST_EPOCH = 1 << 53
TEXT = 400  # letters of a reason or a reservation's name
LONGEST_S = 3600.0

Ranges = list[tuple[int, int]]


class BadFrameError(Exception):
    """One plain line of why a frame is dropped."""


class Handle(NamedTuple):
    """A job under one offer and, once there is one, one reservation."""

    job: JobId
    epoch: int
    reservation: str = ""


class Offer(NamedTuple):
    """A job that its home cell would have run elsewhere."""

    handle: Handle
    spec: Job
    at: float
    attempt: int
    done: Ranges
    expected_s: float


class GuestState(NamedTuple):
    """What the guest cell's record says of a job."""

    handle: Handle
    stage: GuestStage
    running: int
    done: Ranges
    attempt: int


class Refusal(NamedTuple):
    """An offer that the guest cell does not take."""

    handle: Handle
    why: str


class PoolState(NamedTuple):
    """A pool of alike machines as its cell's leader sees it, in slots."""

    kind: MachineType
    spot: bool
    price: float  # per slot and second
    free: float
    ahead: float
    drain: float
    steady_s: float
    growth: float  # slots of machines that may be rented at once, as far as is known


class Frame(NamedTuple):
    """All that the leader of one cell tells the leader of another."""

    cell: str
    member: str
    token: int
    seq: int
    sent_at: float
    lease_s: float
    cancel_s: float
    draining: bool = False
    until: float = 0.0
    grant_s: float = 0.0
    offers: tuple[Offer, ...] = ()
    grants: tuple[Handle, ...] = ()
    revoked: tuple[Handle, ...] = ()
    closed: tuple[Handle, ...] = ()
    held_until: float = 0.0
    guests: tuple[GuestState, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    pools: tuple[PoolState, ...] = ()
    waits: bytes = b""


def _handle(handle: Handle) -> cell_pb2.Handle:
    return cell_pb2.Handle(job=handle.job, epoch=handle.epoch, reservation=handle.reservation)


def _ranges(done: Ranges) -> list[cell_pb2.Range]:
    return [cell_pb2.Range(low=low, high=high) for low, high in done]


def _pool(pool: PoolState) -> cell_pb2.Pool:
    kind = pool.kind
    return cell_pb2.Pool(
        build=kind.name, spot=pool.spot, cpus=kind.cpus, gpus=kind.gpus, memory=kind.memory_gb,
        zones=kind.zones, fetch=kind.fetch_gb_per_s, boot_s=kind.boot_s, price=pool.price,
        free=pool.free, ahead=pool.ahead, drain=pool.drain, steady_s=pool.steady_s,
        growth=pool.growth,
    )  # fmt: skip


def dump_frame(frame: Frame) -> bytes:
    """A frame's bytes."""
    out = cell_pb2.CellFrame(
        version=VERSION, cell=frame.cell, member=frame.member, token=frame.token, seq=frame.seq,
        sent_at=frame.sent_at, lease_s=frame.lease_s, cancel_s=frame.cancel_s,
        draining=frame.draining, until=frame.until, grant_s=frame.grant_s,
        held_until=frame.held_until, waits=frame.waits,
    )  # fmt: skip
    for offer in frame.offers:
        out.offers.add(
            handle=_handle(offer.handle), spec=encode(offer.spec), at=offer.at,
            attempt=offer.attempt, done=_ranges(offer.done), expected_s=offer.expected_s,
        )  # fmt: skip
    out.grants.extend(map(_handle, frame.grants))
    out.revoked.extend(map(_handle, frame.revoked))
    out.closed.extend(map(_handle, frame.closed))
    for guest in frame.guests:
        out.guests.add(
            handle=_handle(guest.handle), stage=guest.stage, running=guest.running,
            done=_ranges(guest.done), attempt=guest.attempt,
        )  # fmt: skip
    for refusal in frame.refusals:
        out.refusals.add(handle=_handle(refusal.handle), why=refusal.why)
    out.pools.extend(map(_pool, frame.pools))
    return out.SerializeToString()


def _number(value: float, name: str, most: float = 1e12) -> float:
    if not math.isfinite(value) or not 0.0 <= value <= most:
        raise BadFrameError(f"{name} is {value}")
    return value


def _read_handle(item: cell_pb2.Handle) -> Handle:
    if not is_job_id(item.job):
        raise BadFrameError(f"{item.job[:40]!r} is no job")
    if not 0 < item.epoch < MOST_EPOCH:
        raise BadFrameError(f"epoch {item.epoch} of {item.job}")
    if len(item.reservation) > TEXT:
        raise BadFrameError(f"the reservation of {item.job} has {len(item.reservation)} letters")
    return Handle(JobId(item.job), item.epoch, item.reservation)


def _read_named(item: cell_pb2.Handle) -> Handle:
    """A handle that must have a reservation."""
    handle = _read_handle(item)
    if not handle.reservation:
        raise BadFrameError(f"{handle.job} has no reservation")
    return handle


def _read_ranges(items: "list[cell_pb2.Range]", job: JobId, tasks: int) -> Ranges:
    """Ranges in order and apart, within the job's tasks."""
    found: Ranges = []
    after = -1
    for item in items:
        if not after < item.low <= item.high < tasks:
            raise BadFrameError(f"done tasks of {job} from {item.low} to {item.high}")
        found.append((item.low, item.high))
        after = item.high + 1
    return found


MOST_TASKS = 100_000  # by the protocol


def _read_offer(item: cell_pb2.Offer) -> Offer:
    handle = _read_handle(item.handle)
    try:
        spec = decode_job(item.spec)
    except MalformedError as wrong:
        raise BadFrameError(f"description of {handle.job}: {wrong}") from None
    if spec.name != handle.job or spec.kind == "standing":
        raise BadFrameError(f"{handle.job} is offered with the description of {spec.name}")
    return Offer(
        handle,
        msgspec.structs.replace(spec, prerequisites=None),
        _number(item.at, "at"),
        item.attempt,
        _read_ranges(list(item.done), handle.job, spec.task_count),
        _number(item.expected_s, "expected_s"),
    )


def _read_guest(item: cell_pb2.GuestState) -> GuestState:
    handle = _read_named(item.handle)
    try:
        stage = GuestStage(item.stage)
    except ValueError:
        raise BadFrameError(f"stage {item.stage} of {handle.job}") from None
    done = _read_ranges(list(item.done), handle.job, MOST_TASKS)
    return GuestState(handle, stage, item.running, done, item.attempt)


def _read_pool(item: cell_pb2.Pool) -> PoolState:
    if not item.build or not item.zones:
        raise BadFrameError("a pool without a type or zones")
    kind = MachineType(
        name=item.build, cpus=_number(item.cpus, "cpus"), gpus=_number(item.gpus, "gpus"),
        memory_gb=_number(item.memory, "memory"), cache_gb=0.0,
        fetch_gb_per_s=_number(item.fetch, "fetch"), price_per_hour=0.0, spot_price_per_hour=0.0,
        boot_s=_number(item.boot_s, "boot_s", LONGEST_S),
        zones=list(item.zones),
    )  # fmt: skip
    return PoolState(
        kind,
        item.spot,
        _number(item.price, "price"),
        _number(item.free, "free"),
        _number(item.ahead, "ahead"),
        _number(item.drain, "drain"),
        _number(item.steady_s, "steady_s"),
        _number(item.growth, "growth"),
    )


def read_frame(raw: bytes) -> Frame:
    """A frame, or BadFrameError for what no cell of ours sends."""
    try:
        body = cell_pb2.CellFrame.FromString(raw)
    except DecodeError:
        raise BadFrameError(f"{len(raw)} bytes are not readable") from None
    if body.version != VERSION:
        raise BadFrameError(f"version {body.version}")
    lists = (body.offers, body.grants, body.revoked, body.closed, body.guests, body.refusals)
    if any(len(items) > MOST_ITEMS for items in lists):
        raise BadFrameError("a list is too long")
    return Frame(
        cell=body.cell,
        member=body.member,
        token=body.token,
        seq=body.seq,
        sent_at=_number(body.sent_at, "sent_at"),
        lease_s=_number(body.lease_s, "lease_s", LONGEST_S),
        cancel_s=_number(body.cancel_s, "cancel_s", LONGEST_S),
        draining=body.draining,
        until=_number(body.until, "until"),
        grant_s=_number(body.grant_s, "grant_s", LONGEST_S),
        offers=tuple(map(_read_offer, body.offers)),
        grants=tuple(map(_read_named, body.grants)),
        revoked=tuple(map(_read_named, body.revoked)),
        closed=tuple(map(_read_named, body.closed)),
        held_until=_number(body.held_until, "held_until"),
        guests=tuple(map(_read_guest, body.guests)),
        refusals=tuple(Refusal(_read_handle(r.handle), r.why[:TEXT]) for r in body.refusals),
        pools=tuple(map(_read_pool, body.pools)),
        waits=body.waits,
    )
