"""Cancellations that a sibling may have promised and we may not have seen.

Without the state service we go on renewing our workers' leases, and each promised
cancellation has to hold all the same. Seen: the state service refused the leader alone,
another controller confirmed cancellations, then it was down for all. Everybody was
without it, the leader took that for proof that nobody could have promised anything,
and cancelled tasks ran on for as long as the outage.

So controllers tell each other up to which revision their records are complete, and
hand over the cancelled jobs with a later one. Who is cancelled and has no task left is
not told: its ending was written on proof that its places are gone. A controller confirms
a cancellation only once its own records show it, so what a process told at a moment is all
that it can have confirmed until then. What was handed over is stopped at once and never
started, and forgotten once our own records have come as far; no user is answered by it.
"""

import logging

from coursefold.coordination.context import Context, PeerView
from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId, Moment, is_job_id
from coursefold.storage import records
from coursefold.storage.records import job_key

log = logging.getLogger(__name__)

LEAST_TOLD = 1000  # in one frame, at 30 bytes each
MOST_TOLD = 8000  # 240 KiB
CONFIRMED_S = 10.0  # a listener's records are seldom older while there is a state service
AHEAD = 1000  # revisions that a sibling may be ahead of us at any time


def max_cancellations_per_frame(ctx: Context) -> int:
    """Cancellations in one frame: more than are confirmed before a listener's next news."""
    rate = ctx.settings.params.state.write_rps
    return min(MOST_TOLD, max(LEAST_TOLD, int(CONFIRMED_S * rate)))


def fill_message(ctx: Context, member: str, body: peer_pb2.Cancellations) -> None:
    """What we know and the sibling, by its own last word, may not."""
    view = ctx.view
    peer = ctx.peers.get(member)
    body.ledger, body.roster = view.ledger, view.token
    body.since = peer.ledger if peer else 0
    stamps = [(view.stamp(job_key(name)), name) for name in view.cancelled]
    found = sorted(((s, n) for s, n in stamps if s > body.since), reverse=True)
    most = max_cancellations_per_frame(ctx)
    if len(found) > most:
        body.since = found[most][0]  # the sibling sees that it was not told all
    for stamp, name in found[:most]:
        if stamp > body.since:
            body.jobs.add(job=name, stamp=stamp)


def _sound(ctx: Context, told: peer_pb2.Cancellations) -> bool:
    """False for what no controller would say."""
    state = ctx.settings.params.state
    silence = max(0.0, ctx.now - ctx.follow_ok_at)
    latest = ctx.view.ledger + AHEAD + int(4 * state.write_rps * (silence + 10.0))
    return (
        len(told.jobs) <= max_cancellations_per_frame(ctx)
        and told.ledger <= latest
        and told.roster <= latest
        and all(is_job_id(c.job) and told.since < c.stamp <= latest for c in told.jobs)
    )


def apply_message(ctx: Context, peer: PeerView, told: peer_pb2.Cancellations, sent: Moment) -> None:
    """Note a sibling's word: what it hands over, and up to when nothing of it is unknown to us."""
    if not ctx.view.loaded:
        return
    if not _sound(ctx, told):
        log.error("cancellations told by %s make no sense and are dropped", peer.member)
        return
    peer.ledger, peer.roster = told.ledger, told.roster
    for item in told.jobs:
        name = JobId(item.job)
        if item.stamp > max(ctx.view.ledger, ctx.handed.get(name, 0)):
            if name not in ctx.handed:
                ctx.handed_now.append(name)
                log.info("cancel %s: known to %s and not yet to us", name, peer.member)
            ctx.handed[name] = item.stamp
    if (
        told.since <= ctx.view.ledger  # we know all that came before what it handed over
        and told.roster <= ctx.view.token  # else our machines may be another's by now
        and _same_process(ctx, peer)
    ):
        peer.known_until = max(peer.known_until, sent)


def _same_process(ctx: Context, peer: PeerView) -> bool:
    """Was the sibling's process there at our last news?

    A new one does not know what its former self confirmed. The lease's number tells them
    apart: it is the one of the roster that we hold, or we had heard of it before.
    """
    roster = ctx.view.roster
    member = roster.member(peer.member) if roster else None
    if not peer.permit:
        return False
    return (member is not None and member.permit == peer.permit) or (
        peer.permit_at <= ctx.follow_ok_at
    )


def known_until(ctx: Context) -> float:
    """The moment up to which we know every cancellation that anybody confirmed."""
    siblings = ctx.settings.siblings
    if not siblings:
        return ctx.now
    told = [p.known_until if (p := ctx.peers.get(s.member)) else -1e9 for s in siblings]
    return max(ctx.follow_ok_at, min(told))


def prune(ctx: Context) -> None:
    """Drop what our own records show by now."""
    for name in [n for n, stamp in ctx.handed.items() if stamp <= ctx.view.ledger]:
        del ctx.handed[name]


def is_cancelled_or_expired(ctx: Context, name: JobId) -> bool:
    """Is the job cancelled, by our records or by a sibling's word, or its grant over?"""
    job = ctx.view.jobs.get(name)
    if job is not None and job.status == records.CANCELLED:
        return True
    if ctx.grants.is_over(job, ctx.now, ctx.wall):
        return True
    return ctx.handed.get(name, 0) > ctx.view.ledger
