"""What controllers tell each other, as protobuf.

Summaries are hints: nothing that a rule depends on is decided by them alone,
so a lost, late or forged one costs time and never safety.
"""

import logging

from google.protobuf.message import DecodeError

from coursefold.coordination.context import Context, PeerMachine, PeerView
from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId

log = logging.getLogger(__name__)

VERSION = 1


REASONS = 200


def build(ctx: Context, wanted: set[str], complaints: set[str], reasons: dict[JobId, str]) -> bytes:
    """This node's summary for its siblings."""
    out = peer_pb2.Envelope(version=VERSION, sender=ctx.me, sent_at=ctx.wall)
    body = out.summary
    body.token = ctx.view.token if ctx.active() else 0
    body.permit = ctx.permit
    body.state_age_s = max(0.0, ctx.now - ctx.state_ok_at)
    body.wanted.extend(sorted(wanted))
    body.complaints.extend(sorted(complaints))
    if ctx.active():
        for m in ctx.machines.values():
            if not ctx.owns(m.id, m.zone):
                continue
            idle = not m.tasks and not ctx.view.on_machine(m.id)
            body.machines.add(
                id=m.id,
                build=m.build,
                zone=m.zone,
                spot=m.spot,
                session=m.session,
                silent_s=max(0.0, ctx.now - m.heard),
                draining=m.recall_at is not None,
                sick=m.sick,
                lost=m.lost,
                lent=m.lent_until > ctx.now,
                images=list(m.images),
                idle=idle,
                idle_s=max(0.0, ctx.now - m.idle_since) if idle else 0.0,
            )
    if ctx.leading():
        body.reasons.update(dict(list(reasons.items())[:REASONS]))
    else:
        for lane, seconds in ctx.finished[:100]:
            body.finished.add(lane=lane, seconds=seconds, tasks=1)
        ctx.finished.clear()
    return out.SerializeToString()


def take(ctx: Context, frame: bytes) -> None:
    """A sibling's frame; what is not readable, or not a sibling's, changes nothing."""
    try:
        envelope = peer_pb2.Envelope.FromString(frame)
    except DecodeError:
        log.error("peer frame of %d bytes is not readable", len(frame))
        return
    if envelope.version != VERSION:
        log.error("peer frame of version %d dropped", envelope.version)
        return
    if envelope.sender not in {s.member for s in ctx.settings.siblings}:
        log.error("peer frame of unknown member %r dropped", envelope.sender[:40])
        return
    skew = ctx.settings.params.skew_ms / 1000.0
    if abs(ctx.wall - envelope.sent_at) > 1.5 + 2 * skew:
        log.debug("peer frame of %s is %.1f s old", envelope.sender, ctx.wall - envelope.sent_at)
        return
    body = envelope.summary
    view = PeerView(envelope.sender, body.token, body.permit, body.state_age_s, ctx.now)
    for item in body.machines:
        machine = PeerMachine(
            item.id, item.build, item.zone, item.spot, item.session, item.silent_s
        )
        machine.draining, machine.sick, machine.lost = item.draining, item.sick, item.lost
        machine.lent, machine.idle, machine.idle_s = item.lent, item.idle, item.idle_s
        machine.images = frozenset(item.images)
        view.machines[item.id] = machine
    view.wanted = frozenset(body.wanted)
    view.complaints = frozenset(body.complaints)
    view.reasons = dict(body.reasons)
    ctx.peers[envelope.sender] = view
    for done in body.finished:
        ctx.finished.append((done.lane, done.seconds))
    roster = ctx.view.roster
    if roster is not None and roster.leader == envelope.sender and body.token == ctx.view.token:
        lend(ctx, view.wanted)


def lend(ctx: Context, wanted: frozenset[str]) -> None:
    """Keep empty machines of our part free while the leader wants them."""
    for name in wanted:
        m = ctx.machines.get(name)
        if m is None or not ctx.owns(m.id, m.zone) or ctx.view.on_machine(name):
            continue
        if any(machine == name for machine, _ in ctx.pending.values()):
            continue
        if m.lent_until <= ctx.now:
            ctx.tell = True
        m.lent_until = ctx.now + 4.0
