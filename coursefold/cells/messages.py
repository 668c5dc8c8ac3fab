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
MAX_LIST_ITEMS = 20_000  # in one list; twice the jobs that a cell may have away
EPOCH_LIMIT = 1 << 53
MAX_TEXT_CHARS = 400  # letters of a reason or a reservation's name
MAX_DURATION_S = 3600.0

TaskRanges = list[tuple[int, int]]


class InvalidFrameError(Exception):
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
    accepted_at: float
    attempt: int
    done_ranges: TaskRanges
    expected_wait_s: float


class GuestState(NamedTuple):
    """What the guest cell's record says of a job."""

    handle: Handle
    stage: GuestStage
    running_count: int
    done_ranges: TaskRanges
    attempt: int


class Refusal(NamedTuple):
    """An offer that the guest cell does not take."""

    handle: Handle
    reason: str


class PoolState(NamedTuple):
    """A pool of alike machines as its cell's leader sees it, in slots."""

    type_info: MachineType
    spot: bool
    price_per_slot_s: float  # per slot and second
    free_slots: float
    queued_slots: float
    freed_slots_per_s: float
    steady_wait_s: float
    growth_slots: float  # slots of machines that may be rented at once, as far as is known


class Frame(NamedTuple):
    """All that the leader of one cell tells the leader of another."""

    cell: str
    member: str
    fencing_token: int
    sequence: int
    sent_at: float
    lease_s: float
    cancel_s: float
    draining: bool = False
    granted_until: float = 0.0
    grant_s: float = 0.0
    offers: tuple[Offer, ...] = ()
    grants: tuple[Handle, ...] = ()
    revoked: tuple[Handle, ...] = ()
    closed: tuple[Handle, ...] = ()
    held_until: float = 0.0
    guests: tuple[GuestState, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    pools: tuple[PoolState, ...] = ()
    wait_histogram: bytes = b""


def _encode_handle(handle: Handle) -> cell_pb2.Handle:
    return cell_pb2.Handle(job=handle.job, epoch=handle.epoch, reservation=handle.reservation)


def _encode_ranges(done: TaskRanges) -> list[cell_pb2.Range]:
    return [cell_pb2.Range(low=low, high=high) for low, high in done]


def _encode_pool(pool: PoolState) -> cell_pb2.Pool:
    kind = pool.type_info
    return cell_pb2.Pool(
        build=kind.name, spot=pool.spot, cpus=kind.cpus, gpus=kind.gpus, memory=kind.memory_gb,
        zones=kind.zones, fetch=kind.fetch_gb_per_s, boot_s=kind.boot_s,
        price=pool.price_per_slot_s, free=pool.free_slots, ahead=pool.queued_slots,
        drain=pool.freed_slots_per_s, steady_s=pool.steady_wait_s, growth=pool.growth_slots,
    )  # fmt: skip


def encode_frame(frame: Frame) -> bytes:
    """A frame's bytes."""
    message = cell_pb2.CellFrame(
        version=VERSION, cell=frame.cell, member=frame.member, token=frame.fencing_token,
        seq=frame.sequence, sent_at=frame.sent_at, lease_s=frame.lease_s, cancel_s=frame.cancel_s,
        draining=frame.draining, until=frame.granted_until, grant_s=frame.grant_s,
        held_until=frame.held_until, waits=frame.wait_histogram,
    )  # fmt: skip
    for offer in frame.offers:
        message.offers.add(
            handle=_encode_handle(offer.handle), spec=encode(offer.spec), at=offer.accepted_at,
            attempt=offer.attempt, done=_encode_ranges(offer.done_ranges),
            expected_s=offer.expected_wait_s,
        )  # fmt: skip
    message.grants.extend(map(_encode_handle, frame.grants))
    message.revoked.extend(map(_encode_handle, frame.revoked))
    message.closed.extend(map(_encode_handle, frame.closed))
    for guest in frame.guests:
        message.guests.add(
            handle=_encode_handle(guest.handle), stage=guest.stage, running=guest.running_count,
            done=_encode_ranges(guest.done_ranges), attempt=guest.attempt,
        )  # fmt: skip
    for refusal in frame.refusals:
        message.refusals.add(handle=_encode_handle(refusal.handle), why=refusal.reason)
    message.pools.extend(map(_encode_pool, frame.pools))
    return message.SerializeToString()


def _check_number(value: float, name: str, maximum: float = 1e12) -> float:
    if not math.isfinite(value) or not 0.0 <= value <= maximum:
        raise InvalidFrameError(f"{name} is {value}")
    return value


def _decode_handle(item: cell_pb2.Handle) -> Handle:
    if not is_job_id(item.job):
        raise InvalidFrameError(f"{item.job[:40]!r} is no job")
    if not 0 < item.epoch < EPOCH_LIMIT:
        raise InvalidFrameError(f"epoch {item.epoch} of {item.job}")
    if len(item.reservation) > MAX_TEXT_CHARS:
        raise InvalidFrameError(
            f"the reservation of {item.job} has {len(item.reservation)} letters"
        )
    return Handle(JobId(item.job), item.epoch, item.reservation)


def _decode_reserved_handle(item: cell_pb2.Handle) -> Handle:
    """A handle that must have a reservation."""
    handle = _decode_handle(item)
    if not handle.reservation:
        raise InvalidFrameError(f"{handle.job} has no reservation")
    return handle


def _decode_ranges(items: "list[cell_pb2.Range]", job: JobId, tasks: int) -> TaskRanges:
    """Ranges in order and apart, within the job's tasks."""
    found: TaskRanges = []
    next_free = -1
    for item in items:
        if not next_free < item.low <= item.high < tasks:
            raise InvalidFrameError(f"done tasks of {job} from {item.low} to {item.high}")
        found.append((item.low, item.high))
        next_free = item.high + 1
    return found


MAX_TASK_COUNT = 100_000  # by the protocol


def _decode_offer(item: cell_pb2.Offer) -> Offer:
    handle = _decode_handle(item.handle)
    try:
        spec = decode_job(item.spec)
    except MalformedError as wrong:
        raise InvalidFrameError(f"description of {handle.job}: {wrong}") from None
    if spec.name != handle.job or spec.kind == "standing":
        raise InvalidFrameError(f"{handle.job} is offered with the description of {spec.name}")
    return Offer(
        handle,
        msgspec.structs.replace(spec, prerequisites=None),
        _check_number(item.at, "at"),
        item.attempt,
        _decode_ranges(list(item.done), handle.job, spec.task_count),
        _check_number(item.expected_s, "expected_s"),
    )


def _decode_guest_state(item: cell_pb2.GuestState) -> GuestState:
    handle = _decode_reserved_handle(item.handle)
    try:
        stage = GuestStage(item.stage)
    except ValueError:
        raise InvalidFrameError(f"stage {item.stage} of {handle.job}") from None
    done = _decode_ranges(list(item.done), handle.job, MAX_TASK_COUNT)
    return GuestState(handle, stage, item.running, done, item.attempt)


def _decode_pool(item: cell_pb2.Pool) -> PoolState:
    if not item.build or not item.zones:
        raise InvalidFrameError("a pool without a type or zones")
    kind = MachineType(
        name=item.build, cpus=_check_number(item.cpus, "cpus"),
        gpus=_check_number(item.gpus, "gpus"),
        memory_gb=_check_number(item.memory, "memory"), cache_gb=0.0,
        fetch_gb_per_s=_check_number(item.fetch, "fetch"), price_per_hour=0.0,
        spot_price_per_hour=0.0,
        boot_s=_check_number(item.boot_s, "boot_s", MAX_DURATION_S),
        zones=list(item.zones),
    )  # fmt: skip
    return PoolState(
        kind,
        item.spot,
        _check_number(item.price, "price"),
        _check_number(item.free, "free"),
        _check_number(item.ahead, "ahead"),
        _check_number(item.drain, "drain"),
        _check_number(item.steady_s, "steady_s"),
        _check_number(item.growth, "growth"),
    )


def decode_frame(raw: bytes) -> Frame:
    """A frame, or BadFrameError for what no cell of ours sends."""
    try:
        message = cell_pb2.CellFrame.FromString(raw)
    except DecodeError:
        raise InvalidFrameError(f"{len(raw)} bytes are not readable") from None
    if message.version != VERSION:
        raise InvalidFrameError(f"version {message.version}")
    lists = (
        message.offers,
        message.grants,
        message.revoked,
        message.closed,
        message.guests,
        message.refusals,
    )
    if any(len(items) > MAX_LIST_ITEMS for items in lists):
        raise InvalidFrameError("a list is too long")
    return Frame(
        cell=message.cell,
        member=message.member,
        fencing_token=message.token,
        sequence=message.seq,
        sent_at=_check_number(message.sent_at, "sent_at"),
        lease_s=_check_number(message.lease_s, "lease_s", MAX_DURATION_S),
        cancel_s=_check_number(message.cancel_s, "cancel_s", MAX_DURATION_S),
        draining=message.draining,
        granted_until=_check_number(message.until, "until"),
        grant_s=_check_number(message.grant_s, "grant_s", MAX_DURATION_S),
        offers=tuple(map(_decode_offer, message.offers)),
        grants=tuple(map(_decode_reserved_handle, message.grants)),
        revoked=tuple(map(_decode_reserved_handle, message.revoked)),
        closed=tuple(map(_decode_reserved_handle, message.closed)),
        held_until=_check_number(message.held_until, "held_until"),
        guests=tuple(map(_decode_guest_state, message.guests)),
        refusals=tuple(
            Refusal(_decode_handle(r.handle), r.why[:MAX_TEXT_CHARS]) for r in message.refusals
        ),
        pools=tuple(map(_decode_pool, message.pools)),
        wait_histogram=message.waits,
    )
