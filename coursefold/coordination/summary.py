"""What controllers tell each other, as protobuf.

A summary is sent as what changed since the last one on the same connection, so
it costs by what happens and not by the size of a part. Summaries are hints:
nothing that a rule depends on is decided by them alone, so a lost, late or
forged one costs time and never safety. Proposals are checked against the
record they change (`forward`).
"""

import logging
from coursefold.coordination import cancellations
from coursefold.coordination.context import Context
from coursefold.coordination.context import PeerMachine
from coursefold.coordination.context import PeerView
from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId
from coursefold.protocol.ids import Moment
from google.protobuf.message import DecodeError
from typing import NamedTuple



log = logging.getLogger(__name__)

PROTOCOL_VERSION = 2
MAX_REASONS_PER_FRAME = 500  # told in one frame; the others follow in the next ones
ROWS_BYTES = 512 * 1024  # of rows in one frame, half of what a frame may have
SUMMARY_S = 0.6
ROWS_S = 0.05
LATE_S = 3.0
GONE_KEPT = 20_000  # machines that left, for siblings that have not been told yet
FINISHED = 400  # run times told in one frame
FINISHED_KEPT = 4000  # while there is no leader to tell


class MachineRow(NamedTuple):
    """One machine of our part as siblings see it; equal as long as nothing of note changes."""

    build: str
    zone: str
    spot: bool
    session: int
    unresponsive_since: float | None
    draining: bool
    sick: bool
    lent: bool
    idle_since: float | None
    lost: bool
    deaf: bool
    images: tuple[str, ...]


class MachineRows:
    """The rows of our part, made once for all siblings, and in which order they changed."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.at = -1e9
        self.rows: dict[str, MachineRow] = {}
        self.changes = 0
        # By machine, the number of its last change, in order; gone ones too, for a while.
        self.changed: dict[str, int] = {}
        self.gone: dict[str, None] = {}

    def current(self) -> dict[str, MachineRow]:
        """The rows as they are now, by machine."""
        ctx = self.ctx
        if ctx.now - self.at < ROWS_S:
            return self.rows
        self.at = ctx.now
        before, self.rows = self.rows, self._make()
        for id, row in self.rows.items():
            if before.get(id) != row:
                self.gone.pop(id, None)
                self._note(id)
        for id in before:
            if id not in self.rows:
                self.gone[id] = None
                self._note(id)
        while len(self.gone) > GONE_KEPT:
            oldest = next(iter(self.gone))
            del self.gone[oldest], self.changed[oldest]
        return self.rows

    def _note(self, id: str) -> None:
        self.changes += 1
        self.changed.pop(id, None)
        self.changed[id] = self.changes

    def changed_after(self, change: int) -> list[tuple[str, int]]:
        """Machines that changed after a change, and the numbers of theirs, in order."""
        found: list[tuple[str, int]] = []
        for id, number in reversed(self.changed.items()):
            if number <= change:
                break
            found.append((id, number))
        return found[::-1]

    def _make(self) -> dict[str, MachineRow]:
        ctx = self.ctx
        rows: dict[str, MachineRow] = {}
        if not ctx.is_active():
            return rows
        for m in ctx.machines.values():
            # One that has not shown our token may be a late copy of an old report.
            if m.token_confirmed and ctx.owns(m.id, m.zone):
                idle = not m.tasks and not ctx.view.occupies(m.id)
                rows[m.id] = MachineRow(
                    m.machine_type, m.zone, m.spot, m.session,
                    m.last_report_at if m.unresponsive else None,
                    m.recall_at is not None or not m.receives_responses, m.quarantined,
                    m.gang_reservation_until > ctx.now, m.idle_since if idle else None,
                    m.lease_expired, m.responses_lost, tuple(m.cached_images),
                )  # fmt: skip
        return rows


class PeerFrameBuilder:
    """Makes the frames for one sibling."""

    def __init__(self, ctx: Context, rows: MachineRows, member: str) -> None:
        self.ctx, self.rows, self.member = ctx, rows, member
        self.summary_requested = True
        self.proposals: list[peer_pb2.Proposal] = []
        self.outcomes: list[peer_pb2.Outcome] = []
        self.start_connection()

    def start_connection(self) -> None:
        """A new connection: the sibling may have nothing yet."""
        self.link = float(self.ctx.wall_time)
        self.seq = 0
        self.full = True
        self.told_at = -1e9
        self.told_change = 0  # of the rows; all up to it have been told on this connection
        self.said: dict[str, str] = {}

    def has_pending(self) -> bool:
        """Is there something to say before the next summary is due?"""
        return bool(self.summary_requested or self.proposals or self.outcomes)

    def build_frame(
        self, wanted: set[str], unreachable: set[str], reasons: dict[JobId, str]
    ) -> bytes:
        """The next frame; empty if there is nothing to say."""
        ctx = self.ctx
        due = self.full or self.summary_requested or ctx.now - self.told_at >= SUMMARY_S
        if not (due or self.proposals or self.outcomes):
            return b""
        self.seq += 1
        out = peer_pb2.Envelope(
            version=PROTOCOL_VERSION,
            sender=ctx.own_name,
            sent_at=ctx.wall_time,
            link=self.link,
            seq=self.seq,
        )
        out.proposals.extend(self.proposals)
        out.outcomes.extend(self.outcomes)
        self.proposals, self.outcomes = [], []
        if due:
            self.summary_requested = False
            self.told_at = ctx.now
            self._summary(out.summary, wanted, unreachable, reasons)
        return out.SerializeToString()

    def _summary(
        self,
        body: peer_pb2.Summary,
        wanted: set[str],
        unreachable: set[str],
        reasons: dict[JobId, str],
    ) -> None:
        ctx = self.ctx
        body.token = ctx.view.token if ctx.is_active() else 0
        body.permit = ctx.lease_id
        body.state_age_s = max(0.0, ctx.now - ctx.state_ok_at)
        body.wanted.extend(sorted(wanted))
        body.complaints.extend(sorted(unreachable))
        body.full, self.full = self.full, False
        if ctx.view.loaded:
            cancellations.fill_message(ctx, self.member, body.cancellations)
        self._tell_rows(body)
        if ctx.is_leading():
            self._tell_reasons(body, reasons)
        elif ctx.roster is not None and ctx.roster.leader == self.member:
            for lane, seconds in ctx.finished_runs[:FINISHED]:
                body.finished.add(lane=lane, seconds=seconds, tasks=1)
            del ctx.finished_runs[:FINISHED]
        del ctx.finished_runs[:-FINISHED_KEPT]

    def _tell_rows(self, body: peer_pb2.Summary) -> None:
        """Rows that changed, as many as a frame has room for; the rest in the next one.

        A frame over the limit would end the connection, and the next one begin with the same
        rows: one controller with thousands of machines would never be heard of.
        """
        rows = self.rows.current()
        room = ROWS_BYTES
        for id, change in self.rows.changed_after(self.told_change):
            if room <= 0:
                body.more = self.summary_requested = True
                break
            row = rows.get(id)
            if row is None:
                body.dropped.append(id)
            else:
                room -= self._add_row(body, id, row)
            self.told_change = change

    def _add_row(self, body: peer_pb2.Summary, id: str, row: MachineRow) -> int:
        """Add one machine's row; its size in bytes."""
        now = self.ctx.now
        return body.machines.add(
            id=id, build=row.build, zone=row.zone, spot=row.spot, session=row.session,
            quiet=row.unresponsive_since is not None,
            silent_s=max(0.0, now - (row.unresponsive_since or now)),
            draining=row.draining, sick=row.sick, lost=row.lost, deaf=row.deaf,
            lent=row.lent, images=row.images, idle=row.idle_since is not None,
            idle_s=max(0.0, now - (row.idle_since or now)),
        ).ByteSize()  # fmt: skip

    def _tell_reasons(self, body: peer_pb2.Summary, reasons: dict[JobId, str]) -> None:
        """Reasons that are new or hold no more, as many as a frame has room for."""
        changed = [(name, why) for name, why in reasons.items() if self.said.get(name) != why]
        over = [(name, "") for name in self.said if name not in reasons]
        for name, why in [*over, *changed][:MAX_REASONS_PER_FRAME]:
            body.reasons[name] = why
            if why:
                self.said[name] = why
            else:
                del self.said[name]


def max_frame_age_s(skew_ms: float) -> float:
    """Age in seconds beyond which a frame is refused, whatever the clocks make of it."""
    return LATE_S + 4.0 * skew_ms / 1000.0 + 0.1


def decode_frame(ctx: Context, frame: bytes) -> peer_pb2.Envelope | None:
    """A sibling's frame, if it is readable, a sibling's, and the next one of its connection."""
    try:
        envelope = peer_pb2.Envelope.FromString(frame)
    except DecodeError:
        log.error("peer frame of %d bytes is not readable", len(frame))
        return None
    if envelope.version != PROTOCOL_VERSION:
        log.error("peer frame of version %d dropped", envelope.version)
        return None
    if envelope.sender not in {s.member for s in ctx.settings.siblings}:
        log.error("peer frame of unknown member %r dropped", envelope.sender[:40])
        return None
    skew = ctx.settings.params.skew_ms / 1000.0
    if abs(ctx.wall_time - envelope.sent_at) > LATE_S + 2 * skew:
        log.debug(
            "peer frame of %s is %.1f s old",
            envelope.sender,
            ctx.wall_time - envelope.sent_at,
        )
        return None
    known = ctx.peers.get(envelope.sender)
    if known is None or envelope.link > known.connection_started_at:
        if not (envelope.HasField("summary") and envelope.summary.full):
            return None
    elif envelope.link < known.connection_started_at or envelope.seq != known.sequence + 1:
        # A held or repeated frame, or one after a gap: what is newer stands.
        log.debug("peer frame %d of %s out of order", envelope.seq, envelope.sender)
        return None
    return envelope


def apply_frame(ctx: Context, envelope: peer_pb2.Envelope) -> None:
    """Note what a sibling's frame says."""
    view = ctx.peers.get(envelope.sender)
    if view is None or envelope.link > view.connection_started_at:
        before = view
        view = ctx.peers[envelope.sender] = PeerView(envelope.sender, envelope.link)
        if before is not None:
            view.copy_member_state(before)
    view.sequence = envelope.seq
    view.last_frame_at = ctx.now
    if not envelope.HasField("summary"):
        return
    body = envelope.summary
    if body.permit != view.lease_id:
        view.lease_id, view.lease_id_seen_at = body.permit, ctx.now
    view.token = body.token
    view.state_age_s = body.state_age_s + max(0.0, ctx.wall_time - envelope.sent_at)
    if body.HasField("cancellations"):
        skew = 2.0 * ctx.settings.params.skew_ms / 1000.0
        late = max(0.0, ctx.wall_time - envelope.sent_at + skew)
        cancellations.apply_message(ctx, view, body.cancellations, Moment(ctx.now - late))
    for item in body.machines:
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
        view.machines[item.id] = machine
    for id in body.dropped:
        view.machines.pop(id, None)
    view.is_complete = not body.more
    view.requested_machines = frozenset(body.wanted)
    view.unreachable_for_workers = frozenset(body.complaints)
    for name, why in body.reasons.items():
        if why:
            view.waiting_reasons[name] = why
        else:
            view.waiting_reasons.pop(name, None)
    for done in body.finished:
        ctx.finished_runs.append((done.lane, done.seconds))
    roster = ctx.view.roster
    if roster is not None and roster.leader == envelope.sender and body.token == ctx.view.token:
        reserve_for_gang(ctx, view.requested_machines)


def reserve_for_gang(ctx: Context, wanted: frozenset[str]) -> None:
    """Place nothing new on machines of our part while the leader wants them.

    What runs there already is in the records that the leader sees; what we are about to
    place is not. Seen: only empty machines were lent, and a gang of small tasks, whose best
    places were beside others, waited for ever.
    """
    if not wanted:
        return
    planned = {machine for machine, _ in ctx.placements_in_flight.values()}
    for name in wanted:
        m = ctx.machines.get(name)
        if m is None or not ctx.owns(m.id, m.zone) or name in planned:
            continue
        if m.gang_reservation_until <= ctx.now:
            ctx.notify_peers = True
        m.gang_reservation_until = Moment(ctx.now + 4.0)
