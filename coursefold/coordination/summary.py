"""Frames that the controllers of a cell exchange, encoded as protobuf messages.

A frame may hold a summary of the sender's state, proposals, and outcomes of proposals. A
summary holds what has changed since the previous one on the same connection, so its size
depends on the number of changes and not on the number of the sender's machines. Summaries
are hints: no decision on which correctness depends rests on them alone, so a lost, late or
forged one causes delays only. Proposals are checked against the record that they change, see
`forward`.
"""

import logging
from typing import NamedTuple

from google.protobuf.message import DecodeError

from coursefold.coordination import cancellations
from coursefold.coordination.context import Context, PeerMachine, PeerView
from coursefold.coordination.quota import ResourceUsage
from coursefold.coordination.team_usage import count_own_reported
from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId, MonotonicTime

log = logging.getLogger(__name__)

PROTOCOL_VERSION = 2
MAX_REASONS_PER_FRAME = 500  # the others follow in the next frames
MAX_ROWS_BYTES = 512 * 1024  # in one frame; half of the size limit of a frame
SUMMARY_INTERVAL_S = 0.6
ROWS_MAX_AGE_S = 0.05
MAX_FRAME_DELAY_S = 3.0
MAX_REMOVED_ROWS = 20_000  # machines that left, kept for siblings that do not know it yet
MAX_RUN_TIMES_PER_FRAME = 400
MAX_RUN_TIMES_KEPT = 4000  # while there is no leader to send them to


class MachineRow(NamedTuple):
    """What siblings are told of one machine that this controller owns.

    Rows are compared to find changes, so they hold nothing that changes with each report.
    Times are local times in seconds.
    """

    machine_type: str
    zone: str
    spot: bool
    session: int
    unresponsive_since: float | None  # last report of a machine that has stopped reporting
    draining: bool  # it will be taken away, or does not receive responses
    quarantined: bool  # tasks fail on it
    reserved_for_gang: bool  # kept free for a gang that the leader wants to place
    idle_since: float | None  # None while it has tasks or entries
    lease_expired: bool  # it has been silent for longer than its lease
    responses_lost: bool  # it has not received responses for several lease durations
    images: tuple[str, ...]  # container images in its cache


class MachineRows:
    """The rows of the own machines, built once for all siblings, and the order of changes."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.built_at = -1e9
        self.rows: dict[str, MachineRow] = {}
        self.change_count = 0
        # By machine, the number of its last change, in ascending order; for a while, also of
        # machines that are not owned any more.
        self.last_changes: dict[str, int] = {}
        self.removed: dict[str, None] = {}

    def current(self) -> dict[str, MachineRow]:
        """Return the rows by machine, built again if they are older than ROWS_MAX_AGE_S."""
        ctx = self.ctx
        if ctx.now - self.built_at < ROWS_MAX_AGE_S:
            return self.rows
        self.built_at = ctx.now
        previous, self.rows = self.rows, self._build_rows()
        for id, row in self.rows.items():
            if previous.get(id) != row:
                self.removed.pop(id, None)
                self._record_change(id)
        for id in previous:
            if id not in self.rows:
                self.removed[id] = None
                self._record_change(id)
        while len(self.removed) > MAX_REMOVED_ROWS:
            oldest = next(iter(self.removed))
            del self.removed[oldest], self.last_changes[oldest]
        return self.rows

    def _record_change(self, id: str) -> None:
        self.change_count += 1
        self.last_changes.pop(id, None)
        self.last_changes[id] = self.change_count

    def changed_after(self, change: int) -> list[tuple[str, int]]:
        """Return the machines that changed after the given change, with their changes' numbers.

        They are in the order of their changes.
        """
        newest_first: list[tuple[str, int]] = []
        for id, number in reversed(self.last_changes.items()):
            if number <= change:
                break
            newest_first.append((id, number))
        return newest_first[::-1]

    def _build_rows(self) -> dict[str, MachineRow]:
        ctx = self.ctx
        rows: dict[str, MachineRow] = {}
        if not ctx.is_active():
            return rows
        for machine in ctx.machines.values():
            # A report that does not show the own fencing token may be a delayed old one.
            if machine.token_confirmed and ctx.owns(machine.id, machine.zone):
                is_idle = not machine.tasks and not ctx.view.has_entries_on(machine.id)
                rows[machine.id] = MachineRow(
                    machine.machine_type,
                    machine.zone,
                    machine.spot,
                    machine.session,
                    machine.last_report_at if machine.unresponsive else None,
                    machine.recall_at is not None or not machine.receives_responses,
                    machine.quarantined,
                    machine.gang_reservation_until > ctx.now,
                    machine.idle_since if is_idle else None,
                    machine.lease_expired,
                    machine.responses_lost,
                    tuple(machine.cached_images),
                )
        return rows


class PeerFrameBuilder:
    """Builds the frames for one sibling.

    Attributes:
        summary_requested: Whether the next frame has a summary, also before it is due.
        proposals: Proposals to the sibling for the next frame.
        outcomes: Outcomes of the sibling's proposals for the next frame.
        needs_full_summary: Whether no summary has been sent on this connection yet.
        sent_change: The row changes up to this number have been sent on this connection.
        sent_reasons: By job, the reason that was sent last on this connection.
    """

    def __init__(self, ctx: Context, rows: MachineRows, member: str) -> None:
        self.ctx, self.rows, self.member = ctx, rows, member
        self.summary_requested = True
        self.proposals: list[peer_pb2.Proposal] = []
        self.outcomes: list[peer_pb2.Outcome] = []
        self.start_connection()

    def start_connection(self) -> None:
        """Start a new connection, on which everything is sent again."""
        self.connection_started_at = float(self.ctx.wall_time)
        self.sequence = 0
        self.needs_full_summary = True
        self.summary_sent_at = -1e9
        self.sent_change = 0
        self.sent_reasons: dict[str, str] = {}

    def has_pending(self) -> bool:
        """Return whether there is something to send before the next summary is due."""
        return bool(self.summary_requested or self.proposals or self.outcomes)

    def build_frame(
        self,
        requested_machines: set[str],
        unreachable_for_workers: set[str],
        reasons: dict[JobId, str],
    ) -> bytes:
        """Return the next frame, or an empty one if there is nothing to send.

        Args:
            requested_machines: Machines that the leader wants for a gang.
            unreachable_for_workers: Members that workers cannot reach.
            reasons: By job, why it waits; sent by the leader.
        """
        ctx = self.ctx
        is_summary_due = (
            self.needs_full_summary
            or self.summary_requested
            or ctx.now - self.summary_sent_at >= SUMMARY_INTERVAL_S
        )
        if not (is_summary_due or self.proposals or self.outcomes):
            return b""
        self.sequence += 1
        envelope = peer_pb2.Envelope(
            version=PROTOCOL_VERSION,
            sender=ctx.own_name,
            sent_at=ctx.wall_time,
            link=self.connection_started_at,
            seq=self.sequence,
        )
        envelope.proposals.extend(self.proposals)
        envelope.outcomes.extend(self.outcomes)
        self.proposals, self.outcomes = [], []
        if is_summary_due:
            self.summary_requested = False
            self.summary_sent_at = ctx.now
            self._fill_summary(
                envelope.summary, requested_machines, unreachable_for_workers, reasons
            )
        return envelope.SerializeToString()

    def _fill_summary(
        self,
        body: peer_pb2.Summary,
        requested_machines: set[str],
        unreachable_for_workers: set[str],
        reasons: dict[JobId, str],
    ) -> None:
        ctx = self.ctx
        body.token = ctx.view.fencing_token if ctx.is_active() else 0
        body.permit = ctx.lease_id
        body.state_age_s = max(0.0, ctx.now - ctx.state_ok_at)
        body.wanted.extend(sorted(requested_machines))
        body.complaints.extend(sorted(unreachable_for_workers))
        body.full, self.needs_full_summary = self.needs_full_summary, False
        if ctx.view.is_loaded:
            cancellations.fill_message(ctx, self.member, body.cancellations)
        for team, usage in count_own_reported(ctx).items():
            body.team_usage.add(team=team, cpus=usage.cpus, gpus=usage.gpus)
        self._add_rows(body)
        if ctx.is_leading():
            self._add_reasons(body, reasons)
        elif ctx.roster is not None and ctx.roster.leader == self.member:
            for job_class, seconds in ctx.finished_runs[:MAX_RUN_TIMES_PER_FRAME]:
                body.finished.add(lane=job_class, seconds=seconds, tasks=1)
            del ctx.finished_runs[:MAX_RUN_TIMES_PER_FRAME]
        del ctx.finished_runs[:-MAX_RUN_TIMES_KEPT]

    def _add_rows(self, body: peer_pb2.Summary) -> None:
        """Add the rows that changed, up to the size limit; the others go into the next frame.

        A frame over the limit ends the connection, and the first frame of the next connection
        would have the same rows again. So without this limit, siblings would never get a
        frame of a controller with thousands of machines.
        """
        rows = self.rows.current()
        bytes_left = MAX_ROWS_BYTES
        for id, change in self.rows.changed_after(self.sent_change):
            if bytes_left <= 0:
                body.more = self.summary_requested = True
                break
            row = rows.get(id)
            if row is None:
                body.dropped.append(id)
            else:
                bytes_left -= self._add_row(body, id, row)
            self.sent_change = change

    def _add_row(self, body: peer_pb2.Summary, id: str, row: MachineRow) -> int:
        """Add one machine's row and return its size in bytes."""
        now = self.ctx.now
        return body.machines.add(
            id=id, build=row.machine_type, zone=row.zone, spot=row.spot, session=row.session,
            quiet=row.unresponsive_since is not None,
            silent_s=max(0.0, now - (row.unresponsive_since or now)),
            draining=row.draining, sick=row.quarantined, lost=row.lease_expired,
            deaf=row.responses_lost, lent=row.reserved_for_gang, images=row.images,
            idle=row.idle_since is not None, idle_s=max(0.0, now - (row.idle_since or now)),
        ).ByteSize()  # fmt: skip

    def _add_reasons(self, body: peer_pb2.Summary, reasons: dict[JobId, str]) -> None:
        """Add reasons that are new or do not hold any more, up to the limit of a frame."""
        changed = [
            (name, why) for name, why in reasons.items() if self.sent_reasons.get(name) != why
        ]
        removed = [(name, "") for name in self.sent_reasons if name not in reasons]
        for name, why in [*removed, *changed][:MAX_REASONS_PER_FRAME]:
            body.reasons[name] = why
            if why:
                self.sent_reasons[name] = why
            else:
                del self.sent_reasons[name]


def max_frame_age_s(skew_ms: float) -> float:
    """Return the age in seconds from which a frame is dropped whatever the clocks' skew is.

    Args:
        skew_ms: The bound of a controller's clock skew in milliseconds.
    """
    return MAX_FRAME_DELAY_S + 4.0 * skew_ms / 1000.0 + 0.1


def decode_frame(ctx: Context, frame: bytes) -> peer_pb2.Envelope | None:
    """Return the decoded frame, or None if it has to be dropped.

    A frame is dropped if it is unreadable, too old, not sent by a sibling, or not the next one
    of its connection. The first frame of a connection must have a full summary.
    """
    try:
        envelope = peer_pb2.Envelope.FromString(frame)
    except DecodeError:
        log.error("dropping an unreadable peer frame of %d bytes", len(frame))
        return None
    if envelope.version != PROTOCOL_VERSION:
        log.error("dropping a peer frame of unknown protocol version %d", envelope.version)
        return None
    if envelope.sender not in {s.member for s in ctx.settings.siblings}:
        log.error("dropping a peer frame of unknown member %r", envelope.sender[:40])
        return None
    skew_s = ctx.settings.params.skew_ms / 1000.0
    if abs(ctx.wall_time - envelope.sent_at) > MAX_FRAME_DELAY_S + 2 * skew_s:
        log.debug(
            "dropping a peer frame of %s, %.1f s old",
            envelope.sender,
            ctx.wall_time - envelope.sent_at,
        )
        return None
    peer = ctx.peers.get(envelope.sender)
    if peer is None or envelope.link > peer.connection_started_at:
        if not (envelope.HasField("summary") and envelope.summary.full):
            return None
    elif envelope.link < peer.connection_started_at or envelope.seq != peer.sequence + 1:
        # A delayed or repeated frame, or one after a gap, must not replace newer state.
        log.debug("dropping out-of-order peer frame %d from %s", envelope.seq, envelope.sender)
        return None
    return envelope


def apply_frame(ctx: Context, envelope: peer_pb2.Envelope) -> None:
    """Store the content of a sibling's summary, as returned by `decode_frame`."""
    peer = ctx.peers.get(envelope.sender)
    if peer is None or envelope.link > peer.connection_started_at:
        previous = peer
        peer = ctx.peers[envelope.sender] = PeerView(envelope.sender, envelope.link)
        if previous is not None:
            peer.copy_member_state(previous)
    peer.sequence = envelope.seq
    peer.last_frame_at = ctx.now
    if not envelope.HasField("summary"):
        return
    summary = envelope.summary
    if summary.permit != peer.lease_id:
        peer.lease_id, peer.lease_id_seen_at = summary.permit, ctx.now
    peer.token = summary.token
    peer.state_age_s = summary.state_age_s + max(0.0, ctx.wall_time - envelope.sent_at)
    if summary.HasField("cancellations"):
        skew_s = 2.0 * ctx.settings.params.skew_ms / 1000.0
        max_age_s = max(0.0, ctx.wall_time - envelope.sent_at + skew_s)
        cancellations.apply_message(
            ctx, peer, summary.cancellations, MonotonicTime(ctx.now - max_age_s)
        )
    for item in summary.machines:
        machine = PeerMachine(
            item.id, item.build, item.zone, item.spot, item.session, ctx.now - item.silent_s
        )
        machine.draining, machine.quarantined, machine.lease_expired = (
            item.draining,
            item.sick,
            item.lost,
        )
        machine.unresponsive, machine.responses_lost = item.quiet, item.deaf
        machine.reserved_for_gang, machine.is_idle = item.lent, item.idle
        machine.idle_since = ctx.now - item.idle_s
        machine.cached_images = frozenset(item.images)
        peer.machines[item.id] = machine
    peer.reported_usage = {
        item.team: ResourceUsage(item.cpus, item.gpus) for item in summary.team_usage
    }
    for id in summary.dropped:
        peer.machines.pop(id, None)
    peer.is_complete = not summary.more
    peer.requested_machines = frozenset(summary.wanted)
    peer.unreachable_for_workers = frozenset(summary.complaints)
    for name, why in summary.reasons.items():
        if why:
            peer.waiting_reasons[name] = why
        else:
            peer.waiting_reasons.pop(name, None)
    for run in summary.finished:
        ctx.finished_runs.append((run.lane, run.seconds))
    roster = ctx.view.roster
    if (
        roster is not None
        and roster.leader == envelope.sender
        and summary.token == ctx.view.fencing_token
    ):
        reserve_for_gang(ctx, peer.requested_machines)


def reserve_for_gang(ctx: Context, requested_machines: frozenset[str]) -> None:
    """Keep new tasks off own machines for a few seconds because the leader wants them for a gang.

    The leader sees the tasks that run there in the records, but not those that this controller
    is about to place. Machines with tasks are reserved as well as empty ones: otherwise a
    gang of small tasks whose best places are beside other tasks would wait for ever.
    """
    if not requested_machines:
        return
    planned = {id for id, _ in ctx.placements_in_flight.values()}
    for name in requested_machines:
        machine = ctx.machines.get(name)
        if machine is None or not ctx.owns(machine.id, machine.zone) or name in planned:
            continue
        if machine.gang_reservation_until <= ctx.now:
            ctx.notify_peers = True
        machine.gang_reservation_until = MonotonicTime(ctx.now + 4.0)
