"""Renewal of workers' leases while the state service is unavailable."""

from coursefold.coordination import cancellations, summary
from coursefold.coordination.context import Context

ISOLATED_RENEWAL_S = 8.0  # without state service and siblings; this controller is then isolated
PEER_ALIVE_S = 2.5  # a sibling with a more recent frame is reachable
WATCH_LOST_S = 4.0  # the state service does not answer this controller for longer
PEER_HAS_STATE_S = 2.0  # a sibling with a more recent answer has the state service


class LeaseRenewal:
    """Decides whether leases may be renewed without fresh records."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        # The `watch_ok_at` under which a sibling without the state service was last heard.
        self.sibling_heard_at_watch = -1.0

    def may_renew(self) -> bool:
        """Return whether leases may be renewed while the state service does not answer.

        Another controller may have confirmed a cancellation since the last update from the
        state service, so renewal stops early enough for the worker's lease to end within
        `cancel_s`. Renewal goes on for longer only while frames of every sibling arrive, all
        siblings lack the state service too, and each has sent all cancellations that it knew
        (`cancellations`): the limit then counts from that moment. That no controller has the
        state service now does not show that none of them confirmed a cancellation before.
        """
        ctx = self.ctx
        if ctx.own_record() is None:
            return False
        # No further margin is needed: a lease counts from when the report was sent, which is
        # before the response, and an unknown cancellation is newer than the last update. With
        # 5 s less, the leases of a zone that was cut off ended just before the cut did.
        max_renewal_s = ctx.max_renewal_s()
        silence_s = ctx.now - ctx.watch_ok_at
        peers = [p for p in ctx.peers.values() if ctx.now - p.last_frame_at < PEER_ALIVE_S]
        if silence_s > WATCH_LOST_S and any(p.state_age_s < PEER_HAS_STATE_S for p in peers):
            return False  # only this controller is refused: siblings can take over the workers
        if (
            len(peers) == len(ctx.settings.siblings)
            and all(p.state_age_s > PEER_HAS_STATE_S for p in peers)
            and ctx.now - cancellations.known_until(ctx) < max_renewal_s
        ):
            return True
        if peers and silence_s > WATCH_LOST_S:
            self.sibling_heard_at_watch = ctx.watch_ok_at
        was_isolated = self.sibling_heard_at_watch != ctx.watch_ok_at
        if not peers and ctx.settings.siblings and was_isolated:
            # Neither the state service nor a sibling answers. Siblings that have both can take
            # over the workers before their leases end, provided that renewal stops early.
            return silence_s < min(ISOLATED_RENEWAL_S, max_renewal_s)
        return silence_s < max_renewal_s

    def may_renew_released(self) -> bool:
        """Return whether to renew the lease of a machine whose handover was sent but not seen.

        What siblings say does not count here: a new owner without reports from the machine
        waits for `max_renewal_s` after this controller's last update, and no longer (proof 6).
        Without any renewal, an outage that begins just then would end the machine's tasks.
        """
        ctx = self.ctx
        return ctx.own_record() is not None and (ctx.now - ctx.watch_ok_at < ctx.max_renewal_s())

    def stands_in_for(self, owner: str) -> bool:
        """Return whether to renew leases for an owner that restarted without the state service.

        After a crash in a zone that is cut off, or just before an outage, the new process knows
        no roster, so the leases of all its workers would expire although siblings could renew
        them. Its frames after this controller's last update, under another lease than the
        roster's, show that no process will act for the owner under this token again. So no
        process can take a worker's silence as proof of an expired lease that is renewed here.
        """
        ctx = self.ctx
        peer = ctx.peers.get(owner)
        roster = ctx.view.roster
        member = roster.find_member(owner) if roster else None
        max_age_s = summary.max_frame_age_s(ctx.settings.params.skew_ms)
        return (
            peer is not None
            and member is not None
            and ctx.now - ctx.watch_ok_at > max(WATCH_LOST_S, max_age_s)
            and ctx.now - peer.last_frame_at < PEER_ALIVE_S
            and peer.lease_id != member.lease_id
            and self.may_renew()
        )
