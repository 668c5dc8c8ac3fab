"""The core of a controller: inputs in, effects out.

No I/O, no clock, no randomness: every input comes with the time, and what is to
be sent, written or answered is left in the outbox. A recorded series of inputs
therefore gives the same decisions again.
"""

import logging
from collections.abc import Iterable
from itertools import islice
from typing import Any

from coursefold import __version__
from coursefold.coordination import jobs, summary
from coursefold.coordination.context import Context
from coursefold.coordination.effects import Answer, Effect, Tell
from coursefold.coordination.election import Election
from coursefold.coordination.extension import Extension
from coursefold.coordination.fleet import FleetManager
from coursefold.coordination.forward import ProposalForwarder
from coursefold.coordination.leader import Leader
from coursefold.coordination.owner import Owner
from coursefold.coordination.requests import RequestHandler
from coursefold.coordination.upgrade import Upgrade
from coursefold.policy import Policy
from coursefold.protocol.ids import JobId, Moment, WallTime
from coursefold.protocol.wire import MalformedError, decode_report
from coursefold.settings import Settings
from coursefold.storage import records
from coursefold.storage.edits import LATER, Edit
from coursefold.storage.limits import Limits
from coursefold.storage.queue import CommitQueue
from coursefold.storage.records import Ending, JobRecord, job_key
from coursefold.storage.view import View

log = logging.getLogger(__name__)

SWEEP = 8  # endings moved together


class Core:
    """One controller's state machine."""

    def __init__(self, settings: Settings, policy: Policy | None = None) -> None:
        state = settings.params.state
        self.view = View()
        later = state.later()
        self.queue = CommitQueue(
            self.view,
            txn_ops=state.txn_ops,
            value_kb=state.value_kb,
            write_rps=state.write_rps,
            later=Limits(later.txn_ops, int(later.value_kb * 1024), later.write_rps)
            if state.next
            else None,
        )
        self.ctx = Context(settings, self.view, self.queue, policy)
        self.upgrade = Upgrade(self.ctx)
        self.election = Election(self.ctx, self.upgrade)
        rows = summary.MachineRows(self.ctx)
        self.tellers = {
            s.member: summary.PeerFrameBuilder(self.ctx, rows, s.member) for s in settings.siblings
        }
        self.forwarding = ProposalForwarder(self.ctx, self.tellers)
        self.owner = Owner(self.ctx, self.election, self.forwarding.propose)
        self.leader = Leader(self.ctx, self.owner)
        self.fleet = FleetManager(self.ctx, self.leader)
        self.extensions: list[Extension] = []
        self.requests = RequestHandler(self.ctx, lambda: self.leader.waiting_reasons)
        self.was_leading = False

    def at(self, now: Moment, wall: WallTime) -> None:
        """Set the time of the inputs that follow."""
        ctx = self.ctx
        ctx.now, ctx.wall = now, wall
        ctx.grants.observe(now)
        self.queue.wall = wall
        if ctx.started is None:
            ctx.started = now
        if ctx.token_seen != self.view.token:
            ctx.token_seen, ctx.token_since = self.view.token, now
        ctx.observe_handovers()

    def drain(self) -> list[Effect]:
        """What the inputs so far ask for."""
        out, self.ctx.out = self.ctx.out, []
        if self.ctx.tell:
            self.ctx.tell = False
            for teller in self.tellers.values():
                teller.summary_requested = True
        waiting = [name for name, teller in self.tellers.items() if teller.has_pending()]
        if waiting:
            out.append(Tell(waiting))
        return out

    def tick(self) -> None:
        """Time has passed, or records have changed."""
        ctx = self.ctx
        roster = self.view.roster
        self.queue.share(ctx.leading(), len(roster.members) if roster else 1)
        self.forwarding.tick()
        self.upgrade.tick()
        self.election.tick()
        self.requests.resolve_prerequisites()
        self.owner.tick()
        self.leader.tick()
        self.fleet.tick()
        for extension in self.extensions:
            extension.tick()
        self._sweep()
        leading = ctx.leading()
        if leading != self.was_leading:
            self.was_leading = leading
            log.info("%s, token %d", "leading" if leading else "no longer leading", self.view.token)

    def _sweep(self) -> None:
        """Move endings to where they stay, when nothing else is to be written."""
        ctx = self.ctx
        unswept = self.view.unswept
        if len(unswept) < SWEEP or not ctx.leading() or not self.queue.idle(ctx.now):
            return
        # An ending that a live job names stays where starting nodes read it.
        named = self.view.needs.named
        for name in list(islice((n for n in unswept if not named(n)), SWEEP)):
            self.queue.propose(
                Edit(
                    job_key(name),
                    jobs.move_ending(),
                    rank=LATER,
                    fence=self.view.token,
                    tag="sweep",
                )
            )

    def stop_tasks(self, names: Iterable[JobId]) -> None:
        """Have our workers stop these jobs' tasks now, also while we may decide nothing else."""
        self.ctx.handed_now.extend(names)
        self.owner.stop_handed()

    def linked(self, member: str) -> None:
        """A new connection to a sibling."""
        self.tellers[member].start_connection()
        self.forwarding.resend_proposals(member)

    def frame(self, member: str) -> bytes:
        """The next frame for a sibling; empty if there is nothing to say."""
        return self.tellers[member].build_frame(
            set(self.leader.requested_machines),
            self.election.unreachable_for_workers(),
            self.leader.waiting_reasons,
        )

    def peer(self, frame: bytes) -> bool:
        """A sibling's frame; False if its connection should end."""
        envelope = summary.decode_frame(self.ctx, frame)
        if envelope is None:
            return False
        summary.apply_frame(self.ctx, envelope)
        self.owner.stop_handed()
        self.forwarding.receive_outcomes(list(envelope.outcomes))
        self.forwarding.receive_proposals(envelope.sender, list(envelope.proposals))
        return True

    def cloud(self, call: int, status: int, body: bytes) -> None:
        """What the cloud answered to a request; status 0 is no answer."""
        self.fleet.handle_response(call, status, body)

    # Workers

    def report(self, body: bytes, ticket: int) -> None:
        """POST /agent/beat."""
        try:
            report = decode_report(body)
        except MalformedError as wrong:
            log.info("report refused: %s", wrong)
            self.ctx.out.append(Answer(ticket, 400, {"error": str(wrong)}))
            return
        self.owner.report(report, ticket)

    # Users

    def healthy(self) -> bool:
        """Can this node take requests?"""
        return (
            self.view.loaded
            and not self.requests.is_state_service_silent()
            and self.view.catalog is not None
        )

    def condition(self) -> dict[str, Any]:
        """What an operator asks of one node: is it well, and who has which version?"""
        roster = self.view.roster
        condition: dict[str, Any] = {
            "ok": self.healthy(),
            "version": __version__,
            "leader": roster.leader if roster else None,
            "members": [m.name for m in roster.members] if roster else [],
            "switched": self.view.level >= records.OURS,
            "older": self.upgrade.controllers_without_version() if self.view.loaded else None,
        }
        for extension in self.extensions:
            condition |= extension.condition()
        return condition

    @property
    def questions(self) -> list[int]:
        """Tickets of questions that wait for a view as new as they are."""
        return self.requests.refresh_tickets

    @questions.setter
    def questions(self, tickets: list[int]) -> None:
        self.requests.refresh_tickets = tickets

    def operate(self, path: str, body: bytes, ticket: int) -> None:
        """POST of an operator's command."""
        if not any(extension.operate(path, body, ticket) for extension in self.extensions):
            self.ctx.out.append(Answer(ticket, 404, {"error": "no such path"}))

    def submit(self, body: bytes, ticket: int) -> None:
        """POST /work."""
        self.requests.submit(body, ticket)

    def poll(self, job: str, ticket: int) -> None:
        """GET /work/{id}."""
        self.requests.poll(job, ticket)

    def cancel(self, job: str, ticket: int) -> None:
        """POST /work/{id}/cancel."""
        self.requests.cancel(job, ticket)

    def vouched(self, tickets: list[int]) -> None:
        """The view is now as new as these questions."""
        self.requests.view_refreshed(tickets)

    def read(self, ticket: int, found: JobRecord | Ending | None) -> None:
        """What the state service knows of the job asked for."""
        self.requests.record_read(ticket, found)

    def read_failed(self, ticket: int) -> None:
        """The state service could not be asked."""
        self.requests.read_failed(ticket)

    def forget_ticket(self, ticket: int) -> None:
        """The asker has gone or was told to come back."""
        self.requests.forget_ticket(ticket)
