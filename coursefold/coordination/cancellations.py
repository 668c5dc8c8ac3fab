"""Exchange of cancellations between the controllers of a cell.

During an outage of the state service controllers go on renewing their workers' leases, and
each cancellation that any controller has confirmed to a user must hold all the same. That
nobody can reach the state service any more does not prove that nobody confirmed a
cancellation: if it first refuses the leader alone, another controller may confirm some
before it is down for all. The leader would then renew the leases of cancelled tasks for as
long as the outage lasts.

So controllers tell each other up to which revision their records are complete, and send the
jobs that were cancelled at a later revision than the receiver's. Cancelled jobs without
tasks are not sent: their endings were written only when their tasks were known to have
stopped. A controller confirms a cancellation only once its own records show it, so a message
covers all that its sender can have confirmed before it was sent. A cancellation known from a
sibling only stops the job's tasks at once and keeps it from starting. It is dropped once the
own records have reached its revision; users' requests are not answered from it.
"""

import logging

from coursefold.coordination.context import Context, PeerView
from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId, MonotonicTime, is_job_id
from coursefold.storage import records
from coursefold.storage.records import job_key

log = logging.getLogger(__name__)

# Bounds of the number of cancellations in one frame, at 30 bytes each (8000: 240 KiB).
MIN_FRAME_CANCELLATIONS = 1000
MAX_FRAME_CANCELLATIONS = 8000
MAX_RECORDS_AGE_S = 10.0  # of a receiver's records; seldom more while the state service works
MAX_REVISIONS_AHEAD = 1000  # of a sibling's records, besides those that writes account for


def max_cancellations_per_frame(ctx: Context) -> int:
    """Return how many cancellations one frame may hold.

    These are more than can be confirmed before the receiver's own records are updated.
    """
    rate = ctx.settings.params.state.write_rps
    return min(MAX_FRAME_CANCELLATIONS, max(MIN_FRAME_CANCELLATIONS, int(MAX_RECORDS_AGE_S * rate)))


def fill_message(ctx: Context, member: str, body: peer_pb2.Cancellations) -> None:
    """Add the cancellations that the sibling may not know, by its last message, to `body`."""
    view = ctx.view
    peer = ctx.peers.get(member)
    body.ledger, body.roster = view.revision, view.fencing_token
    body.since = peer.revision if peer else 0
    versions = [(view.version_of(job_key(name)), name) for name in view.cancelled_jobs]
    unknown = sorted(((v, n) for v, n in versions if v > body.since), reverse=True)
    limit = max_cancellations_per_frame(ctx)
    if len(unknown) > limit:
        body.since = unknown[limit][0]  # the sibling sees that older ones are missing
    for version, name in unknown[:limit]:
        if version > body.since:
            body.jobs.add(job=name, stamp=version)


def _is_plausible(ctx: Context, message: peer_pb2.Cancellations) -> bool:
    """Return whether a controller could have sent the message.

    Revisions in it may be ahead of the own records by what can be written in the time since
    those were updated.
    """
    state = ctx.settings.params.state
    silence = max(0.0, ctx.now - ctx.watch_ok_at)
    latest = ctx.view.revision + MAX_REVISIONS_AHEAD + int(4 * state.write_rps * (silence + 10.0))
    return (
        len(message.jobs) <= max_cancellations_per_frame(ctx)
        and message.ledger <= latest
        and message.roster <= latest
        and all(is_job_id(c.job) and message.since < c.stamp <= latest for c in message.jobs)
    )


def apply_message(
    ctx: Context, peer: PeerView, message: peer_pb2.Cancellations, sent_at: MonotonicTime
) -> None:
    """Store a sibling's cancellations, and until when all that it confirmed is known here.

    Args:
        ctx: The shared state.
        peer: What is known of the sibling.
        message: The sibling's message.
        sent_at: The earliest local time at which the message may have been sent.
    """
    if not ctx.view.is_loaded:
        return
    if not _is_plausible(ctx, message):
        log.error("dropping implausible cancellations from member %s", peer.member)
        return
    peer.revision, peer.roster_token = message.ledger, message.roster
    for item in message.jobs:
        name = JobId(item.job)
        if item.stamp > max(ctx.view.revision, ctx.peer_cancellations.get(name, 0)):
            if name not in ctx.peer_cancellations:
                ctx.new_peer_cancellations.append(name)
                log.info("cancel %s: reported by %s, not in the own records yet", name, peer.member)
            ctx.peer_cancellations[name] = item.stamp
    if (
        message.since <= ctx.view.revision  # the own records have all that the message leaves out
        # else the machines may have another owner by now
        and message.roster <= ctx.view.fencing_token
        and _is_known_process(ctx, peer)
    ):
        peer.cancellations_known_until = max(peer.cancellations_known_until, sent_at)


def _is_known_process(ctx: Context, peer: PeerView) -> bool:
    """Return whether the sibling's process is one that existed at the last update of the records.

    A restarted process does not know what the previous one confirmed. The lease id tells the
    processes apart: a known process has the lease id of the roster that is known here, or its
    lease id was known before the last update.
    """
    roster = ctx.view.roster
    member = roster.find_member(peer.member) if roster else None
    if not peer.lease_id:
        return False
    return (member is not None and member.lease_id == peer.lease_id) or (
        peer.lease_id_seen_at <= ctx.watch_ok_at
    )


def known_until(ctx: Context) -> float:
    """Return the moment up to which every cancellation that any controller confirmed is known."""
    siblings = ctx.settings.siblings
    if not siblings:
        return ctx.now
    moments = [
        p.cancellations_known_until if (p := ctx.peers.get(s.member)) else -1e9 for s in siblings
    ]
    return max(ctx.watch_ok_at, min(moments))


def prune(ctx: Context) -> None:
    """Drop siblings' cancellations that the own records contain by now."""
    for name in [
        n for n, version in ctx.peer_cancellations.items() if version <= ctx.view.revision
    ]:
        del ctx.peer_cancellations[name]


def is_cancelled_or_expired(ctx: Context, name: JobId) -> bool:
    """Return whether the job must not run here.

    It is cancelled by the own records or by a sibling's message, or the grant under which it
    runs here for another cell has expired.
    """
    job = ctx.view.jobs.get(name)
    if job is not None and job.status == records.CANCELLED:
        return True
    if ctx.grants.has_job_grant_expired(job, ctx.now, ctx.wall_time):
        return True
    return ctx.peer_cancellations.get(name, 0) > ctx.view.revision
