"""Encodes and decodes the frames between cells, and validates received frames.

A frame is accepted or rejected as a whole: one field that no correct controller would send
makes all of it invalid.
"""

import math
from typing import NamedTuple

import msgspec
from google.protobuf.message import DecodeError

from coursefold.protocol import cell_pb2
from coursefold.protocol.ids import JobId, is_job_id
from coursefold.protocol.wire import Job, MachineType, MalformedError, decode_job, encode
from coursefold.storage.cell_records import GuestStage

VERSION = 1  # of the protocol
MAX_LIST_ITEMS = 20_000  # in one list; twice the jobs that a cell may have delegated
EPOCH_LIMIT = 1 << 53  # exclusive
MAX_TEXT_CHARS = 400  # of a reason or a reservation id
MAX_DURATION_S = 3600.0

TaskRanges = list[tuple[int, int]]  # first and last task number, both inclusive


class InvalidFrameError(Exception):
    """The frame is invalid; the text is one line that says why."""


class Handle(NamedTuple):
    """Identifies a job under one offer (`epoch`) and, once it exists, one reservation."""

    job: JobId
    epoch: int
    reservation: str = ""


class Offer(NamedTuple):
    """A job that its home cell offers to another cell."""

    handle: Handle
    spec: Job
    accepted_at: float  # time of day
    attempt: int
    done_ranges: TaskRanges
    expected_wait_s: float  # in the home cell


class GuestState(NamedTuple):
    """The state of a job according to the guest cell's record."""

    handle: Handle
    stage: GuestStage
    running_count: int
    done_ranges: TaskRanges
    attempt: int


class Refusal(NamedTuple):
    """An offer that the guest cell refuses."""

    handle: Handle
    reason: str


class PoolState(NamedTuple):
    """A pool of machines of one type, counted in slots.

    Attributes:
        free_slots: Slots that are free now.
        queued_slots: Slots that waiting tasks need beyond the free ones.
        freed_slots_per_s: Rate at which slots become free while the pool is full.
        steady_wait_s: Expected wait in the pool's queue at its present load, E[W].
        growth_slots: Slots of machines that may still be rented, as far as is known.
    """

    type_info: MachineType
    spot: bool
    price_per_slot_s: float
    free_slots: float
    queued_slots: float
    freed_slots_per_s: float
    steady_wait_s: float
    growth_slots: float


class Frame(NamedTuple):
    """All that the leader of one cell sends to the leader of another.

    Attributes:
        member: The sending controller.
        fencing_token: Of the sending leader; with `sequence` it orders the cell's frames.
        sent_at: Time of day by the sender's clock.
        lease_s: Lease of the sending cell's workers.
        cancel_s: Bound on cancellations in the sending cell.
        granted_until: As home cell: end of the grant to the receiver, time of day.
        grant_s: Duration of that grant.
        offers: As home cell: jobs that the receiver may reserve capacity for.
        grants: As home cell: jobs that the receiver may run.
        revoked: As home cell: jobs that the receiver is to stop and release.
        closed: As home cell: guests whose records the receiver may delete.
        held_until: As guest cell: end of the grant that it has recorded.
        guests: As guest cell: states of the receiver's jobs.
        refusals: As guest cell: refused offers.
        pools: Capacity for guests.
        wait_histogram: Encoded histogram of the waits in the sending cell; may be empty.
    """

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
    """Return the protobuf form of a handle."""
    return cell_pb2.Handle(job=handle.job, epoch=handle.epoch, reservation=handle.reservation)


def _encode_ranges(done: TaskRanges) -> list[cell_pb2.Range]:
    """Return the protobuf form of task ranges."""
    return [cell_pb2.Range(low=low, high=high) for low, high in done]


def _encode_pool(pool: PoolState) -> cell_pb2.Pool:
    """Return the protobuf form of a pool's state."""
    kind = pool.type_info
    return cell_pb2.Pool(
        build=kind.name, spot=pool.spot, cpus=kind.cpus, gpus=kind.gpus, memory=kind.memory_gb,
        zones=kind.zones, fetch=kind.fetch_gb_per_s, boot_s=kind.boot_s,
        price=pool.price_per_slot_s, free=pool.free_slots, ahead=pool.queued_slots,
        drain=pool.freed_slots_per_s, steady_s=pool.steady_wait_s, growth=pool.growth_slots,
    )  # fmt: skip


def encode_frame(frame: Frame) -> bytes:
    """Return the frame as bytes."""
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
    """Return the value if it is finite and within 0 and the maximum."""
    if not math.isfinite(value) or not 0.0 <= value <= maximum:
        raise InvalidFrameError(f"{name} is {value}, which is out of range")
    return value


def _decode_handle(item: cell_pb2.Handle) -> Handle:
    """Return a valid handle; its reservation may be empty."""
    if not is_job_id(item.job):
        raise InvalidFrameError(f"{item.job[:40]!r} is not a job id")
    if not 0 < item.epoch < EPOCH_LIMIT:
        raise InvalidFrameError(f"epoch {item.epoch} of {item.job} is out of range")
    if len(item.reservation) > MAX_TEXT_CHARS:
        raise InvalidFrameError(
            f"reservation id of {item.job} has {len(item.reservation)} characters"
        )
    return Handle(JobId(item.job), item.epoch, item.reservation)


def _decode_reserved_handle(item: cell_pb2.Handle) -> Handle:
    """Return a valid handle that has a reservation."""
    handle = _decode_handle(item)
    if not handle.reservation:
        raise InvalidFrameError(f"{handle.job} has no reservation")
    return handle


def _decode_ranges(items: "list[cell_pb2.Range]", job: JobId, tasks: int) -> TaskRanges:
    """Return task ranges, which must be ascending, not adjacent, and within the job's tasks."""
    found: TaskRanges = []
    next_free = -1
    for item in items:
        if not next_free < item.low <= item.high < tasks:
            raise InvalidFrameError(
                f"range of done tasks of {job} from {item.low} to {item.high} is invalid"
            )
        found.append((item.low, item.high))
        next_free = item.high + 1
    return found


MAX_TASK_COUNT = 100_000  # of one job, by the protocol


def _decode_offer(item: cell_pb2.Offer) -> Offer:
    """Return a valid offer; prerequisites are left out, as they are met."""
    handle = _decode_handle(item.handle)
    try:
        spec = decode_job(item.spec)
    except MalformedError as error:
        raise InvalidFrameError(f"description of {handle.job}: {error}") from None
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
    """Return a valid state of a guest."""
    handle = _decode_reserved_handle(item.handle)
    try:
        stage = GuestStage(item.stage)
    except ValueError:
        raise InvalidFrameError(f"stage {item.stage} of {handle.job} is unknown") from None
    done = _decode_ranges(list(item.done), handle.job, MAX_TASK_COUNT)
    return GuestState(handle, stage, item.running, done, item.attempt)


def _decode_pool(item: cell_pb2.Pool) -> PoolState:
    """Return a valid state of a pool; fields that cells do not exchange are 0."""
    if not item.build or not item.zones:
        raise InvalidFrameError("a pool has no machine type or no zones")
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
    """Return the decoded frame.

    Raises:
        InvalidFrameError: If any part of it is invalid.
    """
    try:
        message = cell_pb2.CellFrame.FromString(raw)
    except DecodeError:
        raise InvalidFrameError(f"{len(raw)} bytes are not a protobuf message") from None
    if message.version != VERSION:
        raise InvalidFrameError(f"version {message.version} is not supported")
    lists = (
        message.offers,
        message.grants,
        message.revoked,
        message.closed,
        message.guests,
        message.refusals,
    )
    if any(len(items) > MAX_LIST_ITEMS for items in lists):
        raise InvalidFrameError("a list has too many items")
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
