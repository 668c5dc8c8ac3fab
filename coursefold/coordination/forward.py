"""Owners' edits of job records, sent to the leader, which commits them together.

Several writers to one record make each other's transactions fail, and failed
ones count against the state service's rate too. So an owner proposes and the
leader writes, as long as they hear each other; else the owner writes itself.
Both ways carry the same edit, checked against the record when it is made and
fenced by the roster: it may be repeated, late, or made twice, to no effect.
"""

import logging
from typing import NamedTuple

from coursefold.coordination.context import Context
from coursefold.coordination.jobs import TaskRef, TaskTransition
from coursefold.coordination.summary import PeerFrameBuilder
from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId, is_job_id
from coursefold.storage.edits import SOON, Edit
from coursefold.storage.records import job_key

log = logging.getLogger(__name__)

HEARD_S = 1.6
WAIT_S = 6.0


class SentProposal(NamedTuple):
    """A proposal under way."""

    edit: Edit
    leader: str
    token: int
    at: float
    proposal: peer_pb2.Proposal


class ProposalForwarder:
    """Both sides: what we proposed to the leader, and what owners proposed to us."""

    def __init__(self, ctx: Context, tellers: dict[str, PeerFrameBuilder]) -> None:
        self.ctx, self.tellers = ctx, tellers
        self.sent: dict[int, SentProposal] = {}
        self.landed: list[peer_pb2.Outcome] = []
        self.taken: set[tuple[str, int]] = set()
        self.last_id = 0

    def _leader(self) -> str | None:
        """The leader, if it is another node and hears us."""
        ctx = self.ctx
        roster = ctx.view.roster
        if roster is None or roster.leader == ctx.me or roster.leader not in self.tellers:
            return None
        peer = ctx.peers.get(roster.leader)
        if peer is None or ctx.now - peer.at > HEARD_S or peer.token != ctx.view.token:
            return None
        return roster.leader

    def propose(self, job: JobId, step: TaskTransition, edit: Edit) -> bool:
        """Propose an edit to the leader, or queue it here. False if its like is under way."""
        ctx = self.ctx
        leader = self._leader()
        if leader is None:
            return ctx.queue.propose(edit)
        if not ctx.queue.claim(edit):
            return False
        self.last_id = max(self.last_id + 1, int(ctx.wall * 1000))
        proposal = peer_pb2.Proposal(
            id=self.last_id, token=ctx.view.token, job=job, kind=step.kind, at=step.at
        )
        for task in step.tasks:
            proposal.tasks.add(**task._asdict())
        self.sent[self.last_id] = SentProposal(edit, leader, ctx.view.token, ctx.now, proposal)
        self.tellers[leader].proposals.append(proposal)
        return True

    def resend_proposals(self, member: str) -> None:
        """A new connection to a sibling: what the old one may have lost is said again."""
        teller = self.tellers[member]
        teller.proposals = [s.proposal for s in self.sent.values() if s.leader == member]

    def tick(self) -> None:
        """Settle what has landed; write ourselves what the leader does not."""
        ctx = self.ctx
        if self.landed:
            still = []
            for outcome in self.landed:
                if outcome.ledger > ctx.view.ledger:
                    still.append(outcome)  # settled once our view shows it
                    continue
                sent = self.sent.pop(outcome.id, None)
                if sent is not None:
                    ctx.queue.settle(sent.edit, outcome.ok, outcome.why)
            self.landed = still
        if not self.sent:
            return
        leader = self._leader()
        for id, sent in list(self.sent.items()):
            if sent.leader == leader and sent.token == ctx.view.token:
                if ctx.now - sent.at < WAIT_S:
                    continue
                log.debug("proposal %d unanswered by %s", id, sent.leader)
            del self.sent[id]
            ctx.queue.release(sent.edit)
            ctx.queue.propose(sent.edit)

    def receive_outcomes(self, found: list[peer_pb2.Outcome]) -> None:
        """Note what the leader says became of our proposals."""
        for outcome in found:
            if outcome.id in self.sent:
                self.landed.append(outcome)

    def receive_proposals(self, sender: str, found: list[peer_pb2.Proposal]) -> None:
        """An owner's edits: queue them, and tell what became of them."""
        ctx = self.ctx
        for item in found:
            key = (sender, item.id)
            if key in self.taken:
                continue
            step = TaskTransition(
                item.kind,
                tuple(
                    TaskRef(t.number, t.attempt, t.zone, t.machine, t.session) for t in item.tasks
                ),
                sender,
                item.at,
            )
            if not ctx.leading() or item.token != ctx.view.token:
                self._answer(sender, item.id, False, "not leading", 0)
                continue
            if not is_job_id(item.job) or not step.is_valid():
                log.error("proposal of %s makes no sense: %s %s", sender, item.kind, item.job[:60])
                self._answer(sender, item.id, False, "malformed", 0)
                continue
            self.taken.add(key)
            job = JobId(item.job)

            def settled(ok: bool, why: str, id: int = item.id, job: JobId = job) -> None:
                self.taken.discard((sender, id))
                self._answer(sender, id, ok, why, ctx.view.changed_at(job_key(job)))

            ctx.queue.propose(
                Edit(job_key(job), step.to_change(), rank=SOON, fence=item.token, done=settled)
            )

    def _answer(self, member: str, id: int, ok: bool, why: str, ledger: int) -> None:
        teller = self.tellers.get(member)
        if teller is not None:
            teller.outcomes.append(peer_pb2.Outcome(id=id, ok=ok, why=why, ledger=ledger))
