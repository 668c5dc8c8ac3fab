"""May workers' leases be renewed while there is no state service?"""

from coursefold.coordination import cancellations, summary
from coursefold.coordination.context import Context

ALONE_S = 8.0  # without state service and siblings: then it is most likely we who are cut off
HEARD_S = 2.5  # ago at most: a sibling is there
NEWS_S = 4.0  # older news: the state service does not answer us
SERVED_S = 2.0  # a sibling that had an answer of the state service so lately has it


class LeaseRenewal:
    """Decides on renewals that rest on no fresh records."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        # The news under which a sibling was heard that lacks the state service as well.
        self.sibling_heard_at_news = -1.0

    def may_renew(self) -> bool:
        """Without the state service: may we go on renewing our workers' leases?

        A cancellation may have been promised since we last heard from the state
        service: so we stop early enough for the worker's lease to end within `cancel_s`.
        Longer only while every sibling is heard, is without it too, and has told us all
        that it knew (`cancellations`): the bound counts from that moment then. That
        nobody has the state service proves nothing by itself.
        """
        ctx = self.ctx
        if ctx.my_record() is None:
            return False
        # A lease counts from when the report was sent, which is before we answer it, and a
        # promise that we do not know of is younger than our last news. Seen: five seconds
        # held back here let a cut zone's leases end just before the cut did.
        longest = ctx.longest_renewal()
        silence = ctx.now - ctx.follow_ok_at
        peers = [p for p in ctx.peers.values() if ctx.now - p.at < HEARD_S]
        if silence > NEWS_S and any(p.state_age < SERVED_S for p in peers):
            return False  # only we are refused: let the others have our workers
        if (
            len(peers) == len(ctx.settings.siblings)
            and all(p.state_age > SERVED_S for p in peers)
            and ctx.now - cancellations.known_until(ctx) < longest
        ):
            return True
        if peers and silence > NEWS_S:
            self.sibling_heard_at_news = ctx.follow_ok_at
        was_alone = self.sibling_heard_at_news != ctx.follow_ok_at
        if not peers and ctx.settings.siblings and was_alone:
            # Neither the state service nor any sibling: the others, who may have both,
            # can take our workers over before their leases end, if we let them go.
            return silence < min(ALONE_S, longest)
        return silence < longest

    def may_renew_released(self) -> bool:
        """May we renew the lease of a machine whose handover we have sent and not seen?

        Siblings' words do not count here: a new owner that hears nothing of the machine waits
        for the longest renewal after our last news, and no longer (proof 6). Without any
        renewal an outage that begins just then would end the machine's tasks.
        """
        ctx = self.ctx
        return ctx.my_record() is not None and (ctx.now - ctx.follow_ok_at < ctx.longest_renewal())

    def stands_in_for(self, owner: str) -> bool:
        """Keep another's workers: it ended, and is back where no state service answers.

        Seen: a controller of a zone that was cut off crashed, and so did one just before an
        outage. The new process knows no roster, so all its workers' leases ran out beside
        siblings that kept their own. What it says after our last news, under another lease
        than the roster's, shows that nobody will act for it under this token again: so no
        silence is counted that our answers would make wrong.
        """
        ctx = self.ctx
        peer = ctx.peers.get(owner)
        roster = ctx.view.roster
        member = roster.member(owner) if roster else None
        oldest = summary.max_frame_age_s(ctx.settings.params.skew_ms)
        return (
            peer is not None
            and member is not None
            and ctx.now - ctx.follow_ok_at > max(NEWS_S, oldest)
            and ctx.now - peer.at < HEARD_S
            and peer.permit != member.permit
            and self.may_renew()
        )
