"""Forwarding of owners' edits of job records to the leader, which commits them together.

Several controllers that write the same record make each other's transactions fail, and failed
transactions count against the state service's rate limit too. So an owner proposes its edits
to the leader as long as the two are connected, and writes them itself otherwise. Either way
it is the same edit, which is checked against the record when it is applied and fenced by the
roster. So an edit that is repeated, late or applied by both has no further effect.
"""

import logging
from typing import NamedTuple

from coursefold.coordination.context import Context
from coursefold.coordination.jobs import TaskRef, TaskTransition
from coursefold.coordination.summary import PeerFrameBuilder
from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId, is_job_id
from coursefold.storage.edits import NORMAL_PRIORITY, Edit, EditOrigin
from coursefold.storage.records import job_key

log = logging.getLogger(__name__)

MAX_LEADER_SILENCE_S = 1.6
OUTCOME_TIMEOUT_S = 6.0


class SentProposal(NamedTuple):
    """A proposal whose outcome is not known yet."""

    edit: Edit
    leader: str  # the member that it was sent to
    token: int  # of the roster under which it was sent
    sent_at: float  # local time in seconds
    proposal: peer_pb2.Proposal


class ProposalForwarder:
    """Sends an owner's proposals to the leader, and handles those received as the leader."""

    def __init__(self, ctx: Context, frame_builders: dict[str, PeerFrameBuilder]) -> None:
        self.ctx, self.frame_builders = ctx, frame_builders
        self.sent: dict[int, SentProposal] = {}  # by proposal id
        self.received_outcomes: list[peer_pb2.Outcome] = []
        self.queued_proposals: set[tuple[str, int]] = set()  # by owner and proposal id
        self.last_proposal_id = 0

    def _reachable_leader(self) -> str | None:
        """Return the leader if it is another controller and connected, else None."""
        ctx = self.ctx
        roster = ctx.view.roster
        if (
            roster is None
            or roster.leader == ctx.own_name
            or roster.leader not in self.frame_builders
        ):
            return None
        peer = ctx.peers.get(roster.leader)
        if (
            peer is None
            or ctx.now - peer.last_frame_at > MAX_LEADER_SILENCE_S
            or peer.token != ctx.view.fencing_token
        ):
            return None
        return roster.leader

    def propose(self, job: JobId, transition: TaskTransition, edit: Edit) -> bool:
        """Propose an edit to the leader, or queue it here if the leader is not reachable.

        Returns:
            False if an edit of the same record with the same tag is under way already.
        """
        ctx = self.ctx
        leader = self._reachable_leader()
        if leader is None:
            return ctx.queue.propose(edit)
        if not ctx.queue.claim_tag(edit):
            return False
        self.last_proposal_id = max(self.last_proposal_id + 1, int(ctx.wall_time * 1000))
        proposal = peer_pb2.Proposal(
            id=self.last_proposal_id,
            token=ctx.view.fencing_token,
            job=job,
            kind=transition.kind,
            at=transition.created_at,
        )
        for task in transition.tasks:
            proposal.tasks.add(**task._asdict())
        self.sent[self.last_proposal_id] = SentProposal(
            edit, leader, ctx.view.fencing_token, ctx.now, proposal
        )
        self.frame_builders[leader].proposals.append(proposal)
        return True

    def resend_proposals(self, member: str) -> None:
        """Send unanswered proposals again on a new connection; the old one may have lost them."""
        frame_builder = self.frame_builders[member]
        frame_builder.proposals = [s.proposal for s in self.sent.values() if s.leader == member]

    def tick(self) -> None:
        """Settle edits whose outcome has arrived, and queue here those that got no outcome.

        An edit is also queued here if the leader is not reachable any more, or was replaced.
        """
        ctx = self.ctx
        if self.received_outcomes:
            not_visible_yet = []
            for outcome in self.received_outcomes:
                if outcome.ledger > ctx.view.revision:
                    not_visible_yet.append(outcome)  # settled once the view contains the edit
                    continue
                sent = self.sent.pop(outcome.id, None)
                if sent is not None:
                    ctx.queue.settle(sent.edit, outcome.ok, outcome.why)
            self.received_outcomes = not_visible_yet
        if not self.sent:
            return
        leader = self._reachable_leader()
        for id, sent in list(self.sent.items()):
            if sent.leader == leader and sent.token == ctx.view.fencing_token:
                if ctx.now - sent.sent_at < OUTCOME_TIMEOUT_S:
                    continue
                log.debug("no outcome of proposal %d from %s; queueing it here", id, sent.leader)
            del self.sent[id]
            ctx.queue.release_tag(sent.edit)
            ctx.queue.propose(sent.edit)

    def receive_outcomes(self, received: list[peer_pb2.Outcome]) -> None:
        """Store the outcomes of own proposals that the leader has sent."""
        for outcome in received:
            if outcome.id in self.sent:
                self.received_outcomes.append(outcome)

    def receive_proposals(self, sender: str, received: list[peer_pb2.Proposal]) -> None:
        """Queue the edits that an owner has proposed, and send it their outcomes.

        A proposal that is received again while its edit is queued is ignored.
        """
        ctx = self.ctx
        for item in received:
            key = (sender, item.id)
            if key in self.queued_proposals:
                continue
            transition = TaskTransition(
                item.kind,
                tuple(
                    TaskRef(t.number, t.attempt, t.zone, t.machine, t.session) for t in item.tasks
                ),
                sender,
                item.at,
            )
            if not ctx.is_leading() or item.token != ctx.view.fencing_token:
                self._add_outcome(sender, item.id, False, "not leading", 0)
                continue
            if not is_job_id(item.job) or not transition.is_valid():
                log.error("malformed proposal from %s: %s %s", sender, item.kind, item.job[:60])
                self._add_outcome(sender, item.id, False, "malformed", 0)
                continue
            self.queued_proposals.add(key)
            job = JobId(item.job)

            def settled(ok: bool, why: str, id: int = item.id, job: JobId = job) -> None:
                self.queued_proposals.discard((sender, id))
                self._add_outcome(sender, id, ok, why, ctx.view.last_change_version(job_key(job)))

            ctx.queue.propose(
                Edit(
                    job_key(job),
                    transition.to_change(),
                    priority=NORMAL_PRIORITY,
                    fencing_token=item.token,
                    on_settled=settled,
                    origin=EditOrigin(transition.kind, sender),
                )
            )

    def _add_outcome(self, member: str, id: int, ok: bool, why: str, revision: int) -> None:
        frame_builder = self.frame_builders.get(member)
        if frame_builder is not None:
            frame_builder.outcomes.append(peer_pb2.Outcome(id=id, ok=ok, why=why, ledger=revision))
