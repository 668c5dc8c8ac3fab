"""The core of a controller: a state machine that turns inputs into effects.

The core does no I/O and reads neither clock nor random source. The caller sets the time before
each input, carries out the effects that the core has left, and sends the edits in its commit
queue. A recorded series of inputs therefore leads to the same decisions again.
"""

import logging
from collections.abc import Iterable
from itertools import islice
from typing import Any

from coursefold import __version__
from coursefold.coordination import jobs, summary
from coursefold.coordination.context import Context
from coursefold.coordination.effects import Effect, NotifyPeers, Response
from coursefold.coordination.election import Election
from coursefold.coordination.extension import Extension
from coursefold.coordination.fleet import FleetManager
from coursefold.coordination.forward import ProposalForwarder
from coursefold.coordination.leader import Leader
from coursefold.coordination.owner import Owner
from coursefold.coordination.requests import RequestHandler
from coursefold.coordination.team_usage import TeamUsageMonitor
from coursefold.coordination.upgrade import Upgrade
from coursefold.policy import Policy
from coursefold.protocol.ids import JobId, MonotonicTime, WallTime
from coursefold.protocol.wire import MalformedError, decode_report
from coursefold.settings import Settings
from coursefold.storage import records
from coursefold.storage.edits import LOW_PRIORITY, Edit
from coursefold.storage.limits import StateServiceLimits
from coursefold.storage.queue import CommitQueue
from coursefold.storage.records import Ending, JobRecord, job_key
from coursefold.storage.view import View

log = logging.getLogger(__name__)

MOVED_ENDINGS_BATCH = 8  # endings moved together


class Core:
    """One controller's state machine.

    Attributes:
        view: The state service's records, kept up to date by the caller.
        queue: Edits to be committed to the state service by the caller.
        ctx: State shared by the parts of the core.
        frame_builders: Builders of the frames to each sibling, by member name.
        team_usage: Logs and checks what teams use.
        extensions: Optional subsystems that take part in each round.
        was_leading: Whether this controller led at the end of the last round.
    """

    def __init__(self, settings: Settings, policy: Policy | None = None) -> None:
        state = settings.params.state
        self.view = View()
        later = state.apply_next()
        self.queue = CommitQueue(
            self.view,
            txn_ops=state.txn_ops,
            value_kb=state.value_kb,
            write_rps=state.write_rps,
            later_limits=StateServiceLimits(
                later.txn_ops, int(later.value_kb * 1024), later.write_rps
            )
            if state.next
            else None,
        )
        self.ctx = Context(settings, self.view, self.queue, policy)
        self.upgrade = Upgrade(self.ctx)
        self.election = Election(self.ctx, self.upgrade)
        rows = summary.MachineRows(self.ctx)
        self.frame_builders = {
            s.member: summary.PeerFrameBuilder(self.ctx, rows, s.member) for s in settings.siblings
        }
        self.forwarding = ProposalForwarder(self.ctx, self.frame_builders)
        self.owner = Owner(self.ctx, self.election, self.forwarding.propose)
        self.leader = Leader(self.ctx)
        self.fleet = FleetManager(self.ctx, self.leader, self.owner.remove_machine)
        self.team_usage = TeamUsageMonitor(self.ctx)
        self.extensions: list[Extension] = []
        self.requests = RequestHandler(self.ctx, lambda: self.leader.waiting_reasons)
        self.was_leading = False

    def set_time(self, now: MonotonicTime, wall_time: WallTime) -> None:
        """Set the time of the inputs that follow.

        Args:
            now: The steady clock's time.
            wall_time: The time of day in seconds since the epoch.
        """
        ctx = self.ctx
        ctx.now, ctx.wall_time = now, wall_time
        ctx.grants.observe(now)
        self.queue.wall_time = wall_time
        if ctx.started_at is None:
            ctx.started_at = now
        if ctx.seen_token != self.view.fencing_token:
            ctx.seen_token, ctx.token_seen_at = self.view.fencing_token, now
        ctx.observe_handovers()

    def take_effects(self) -> list[Effect]:
        """Return the effects of the inputs so far, and clear them."""
        effects, self.ctx.effects = self.ctx.effects, []
        if self.ctx.notify_peers:
            self.ctx.notify_peers = False
            for builder in self.frame_builders.values():
                builder.summary_requested = True
        waiting = [name for name, builder in self.frame_builders.items() if builder.has_pending()]
        if waiting:
            effects.append(NotifyPeers(waiting))
        return effects

    def tick(self) -> None:
        """Run one round of decisions; called after changes and at regular intervals."""
        ctx = self.ctx
        roster = self.view.roster
        self.queue.set_rate_share(ctx.is_leading(), len(roster.members) if roster else 1)
        self.forwarding.tick()
        self.upgrade.tick()
        self.election.tick()
        self.requests.resolve_prerequisites()
        self.owner.tick()
        self.leader.tick()
        self.fleet.tick()
        self.team_usage.tick()
        for extension in self.extensions:
            extension.tick()
        self._move_endings()
        is_leading = ctx.is_leading()
        if is_leading != self.was_leading:
            self.was_leading = is_leading
            log.info(
                "%s, token %d",
                "leading" if is_leading else "no longer leading",
                self.view.fencing_token,
            )

    def _move_endings(self) -> None:
        """Move endings to their permanent keys when nothing else is to be written."""
        ctx = self.ctx
        endings = self.view.endings_to_archive
        if (
            len(endings) < MOVED_ENDINGS_BATCH
            or not ctx.is_leading()
            or not self.queue.has_spare_rate(ctx.now)
        ):
            return
        # An ending that a live job names stays where controllers read it when they start.
        is_named = self.view.prerequisites.has_dependents
        for job_id in list(islice((e for e in endings if not is_named(e)), MOVED_ENDINGS_BATCH)):
            self.queue.propose(
                Edit(
                    job_key(job_id),
                    jobs.move_ending(),
                    priority=LOW_PRIORITY,
                    fencing_token=self.view.fencing_token,
                    tag="sweep",
                )
            )

    def stop_cancelled_tasks(self, job_ids: Iterable[JobId]) -> None:
        """Stop these jobs' tasks on own workers, even while no other decisions are allowed."""
        self.ctx.new_peer_cancellations.extend(job_ids)
        self.owner.stop_peer_cancelled_tasks()

    def peer_connected(self, member: str) -> None:
        """Handle a new connection to a sibling: everything is sent again."""
        self.frame_builders[member].start_connection()
        self.forwarding.resend_proposals(member)

    def next_frame(self, member: str) -> bytes:
        """Return the next frame for a sibling; empty if there is nothing to send."""
        return self.frame_builders[member].build_frame(
            set(self.leader.requested_machines),
            self.election.unreachable_for_workers(),
            self.leader.waiting_reasons,
        )

    def receive_frame(self, frame: bytes) -> bool:
        """Handle a sibling's frame; return False if its connection should be closed."""
        envelope = summary.decode_frame(self.ctx, frame)
        if envelope is None:
            return False
        summary.apply_frame(self.ctx, envelope)
        self.owner.stop_peer_cancelled_tasks()
        self.forwarding.receive_outcomes(list(envelope.outcomes))
        self.forwarding.receive_proposals(envelope.sender, list(envelope.proposals))
        return True

    def receive_cloud_response(self, call_id: int, status: int, body: bytes) -> None:
        """Handle the cloud's response to a `CloudCall`.

        Args:
            call_id: The number of the call.
            status: The HTTP status code; 0 if there was no response.
            body: The response body.
        """
        self.fleet.handle_response(call_id, status, body)

    # Workers

    def handle_report(self, body: bytes, ticket: int) -> None:
        """Handle POST /agent/beat, a worker's report."""
        try:
            report = decode_report(body)
        except MalformedError as error:
            log.info("report refused: %s", error)
            self.ctx.effects.append(Response(ticket, 400, {"error": str(error)}))
            return
        self.owner.handle_report(report, ticket)

    # Users

    def is_healthy(self) -> bool:
        """Return whether this controller can take requests."""
        return (
            self.view.is_loaded
            and not self.requests.is_state_service_silent()
            and self.view.catalog is not None
        )

    def health_status(self) -> dict[str, Any]:
        """Return the `/healthz` response: health, leader, members, versions and extensions."""
        roster = self.view.roster
        health: dict[str, Any] = {
            "ok": self.is_healthy(),
            "version": __version__,
            "leader": roster.leader if roster else None,
            "members": [m.name for m in roster.members] if roster else [],
            "switched": self.view.format_level >= records.BASE_LEVEL,
            "older": self.upgrade.controllers_without_version() if self.view.is_loaded else None,
            "teams": self.team_usage.health_status(),
        }
        for extension in self.extensions:
            health |= extension.health_status()
        return health

    @property
    def requests_awaiting_refresh(self) -> list[int]:
        """Tickets of requests that wait for a view that is as recent as they are."""
        return self.requests.refresh_tickets

    @requests_awaiting_refresh.setter
    def requests_awaiting_refresh(self, tickets: list[int]) -> None:
        self.requests.refresh_tickets = tickets

    def handle_operator_command(self, path: str, body: bytes, ticket: int) -> None:
        """Handle POST of an operator's command."""
        if not any(
            extension.handle_operator_command(path, body, ticket) for extension in self.extensions
        ):
            self.ctx.effects.append(Response(ticket, 404, {"error": "no such path"}))

    def submit(self, body: bytes, ticket: int) -> None:
        """Handle POST /work, which submits a job."""
        self.requests.submit(body, ticket)

    def poll(self, job: str, ticket: int) -> None:
        """Handle GET /work/{id}, a poll of a job's status."""
        self.requests.poll(job, ticket)

    def cancel(self, job: str, ticket: int) -> None:
        """Handle POST /work/{id}/cancel."""
        self.requests.cancel(job, ticket)

    def view_refreshed(self, tickets: list[int]) -> None:
        """Respond to requests that waited: the view is now as recent as they are."""
        self.requests.view_refreshed(tickets)

    def receive_job_result(self, ticket: int, record: JobRecord | Ending | None) -> None:
        """Handle the outcome of a `ReadJobResult`; `record` is None if there is no such job."""
        self.requests.receive_job_result(ticket, record)

    def read_failed(self, ticket: int) -> None:
        """Handle a read or a view refresh that failed."""
        self.requests.read_failed(ticket)

    def forget_ticket(self, ticket: int) -> None:
        """Drop a request whose client has gone or was told to retry."""
        self.requests.forget_ticket(ticket)
