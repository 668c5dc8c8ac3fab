"""Users' requests: submissions, polls and cancellations, and why a job waits.

Another controller may have told a user something newer than the view of this one shows. So
requests are not answered from records that are older than the request, unless the job's state
is final.
"""

import logging
from collections.abc import Callable
from enum import StrEnum
from itertools import islice
from typing import Any, NamedTuple

import msgspec

from coursefold.coordination import jobs
from coursefold.coordination.context import Context
from coursefold.coordination.effects import ReadJobResult, RefreshView, Response
from coursefold.coordination.placement import fits_machine_type
from coursefold.coordination.quota import fits_team_limit
from coursefold.coordination.remote_placement import describe_remote_placement
from coursefold.protocol.ids import JobId, is_job_id
from coursefold.protocol.wire import Job, MalformedError, decode_job
from coursefold.storage import records
from coursefold.storage.cell_records import DelegationStage
from coursefold.storage.edits import HIGH_PRIORITY, TOO_LARGE, Edit
from coursefold.storage.records import Ending, JobRecord, job_key

log = logging.getLogger(__name__)

MAX_STATE_SILENCE_S = 3.0
MAX_UNFILTERED_MACHINE_TYPES = 8  # if a job lists more, unknown ones are not stored
MAX_BACKLOG_S = 20.0  # of changes that acceptances overtake in the queue; bounds their memory
MAX_PENDING_REQUESTS = 2000
RESOLVE_INTERVAL_S = 1.0
MAX_RESOLVE_READS = 4  # endings of prerequisites read in one interval
MAX_NAMED_JOBS = 5  # in the reason why a job waits


class Purpose(StrEnum):
    """What a job's state is needed for."""

    SUBMIT = "submit"  # the job was submitted, and may be known already
    POLL = "poll"
    CANCEL = "cancel"
    OVER = "over"  # the edit that cancels the job failed: the job may have ended before
    NEED = "need"  # a submitted job has it as a prerequisite
    RESOLVE = "resolve"  # an accepted job has it as a prerequisite


class PendingRequest(NamedTuple):
    """A request that waits for a job's state."""

    purpose: Purpose
    job: JobId  # the job whose state is needed
    spec: Job | None  # the submitted job's description, if the request is a submission


class RequestHandler:
    """Answers users' requests from a view that is at least as new as the request.

    Attributes:
        pending: By ticket, the requests that wait for a job's state. Tickets of requests that
            users made are not negative.
        refresh_tickets: Tickets of requests that wait for the view to be refreshed.
    """

    def __init__(self, ctx: Context, leader_reasons: Callable[[], dict[JobId, str]]) -> None:
        self.ctx, self.view, self.queue = ctx, ctx.view, ctx.queue
        self.leader_reasons = leader_reasons  # used while this controller leads
        self.pending: dict[int, PendingRequest] = {}
        self.refresh_tickets: list[int] = []
        self.last_resolve_at = -1e9
        self.last_internal_ticket = 0

    def is_state_service_silent(self) -> bool:
        """Return whether the state service has not answered for MAX_STATE_SILENCE_S."""
        return self.ctx.now - self.ctx.state_ok_at > MAX_STATE_SILENCE_S

    def _answer_unavailable(self, ticket: int, reason: str, seconds: int = 1) -> None:
        self.ctx.effects.append(Response(ticket, 503, {"error": reason}, retry_after=seconds))

    def resolve_prerequisites(self) -> None:
        """Read the endings of prerequisites that are not in the view.

        Such an ending was moved to its final key just when the job that depends on it was
        accepted.
        """
        if self.ctx.now - self.last_resolve_at < RESOLVE_INTERVAL_S or not self.view.is_loaded:
            return
        self.last_resolve_at = self.ctx.now
        for prerequisite in self.view.unresolved_prerequisites()[:MAX_RESOLVE_READS]:
            self.last_internal_ticket -= 1  # negative, unlike users' tickets
            self.pending[self.last_internal_ticket] = PendingRequest(
                Purpose.RESOLVE, prerequisite, None
            )
            self.ctx.effects.append(ReadJobResult(self.last_internal_ticket, prerequisite))

    def submit(self, body: bytes, ticket: int) -> None:
        """Handle POST /work: accept or reject a job, or return the state of a known one."""
        try:
            spec = decode_job(body)
        except MalformedError as error:
            log.info("submission refused: %s", error)
            self.ctx.effects.append(Response(ticket, 400, {"error": str(error)}))
            return
        if not self.view.is_loaded or self.is_state_service_silent():
            self._answer_unavailable(ticket, "no state service", 2)
            return
        if self.view.catalog is None:
            self._answer_unavailable(ticket, "machine types are not known yet", 1)
            return
        rate = self.queue.limits.write_rps
        if (
            self.queue.count_urgent_keys() > rate
            or len(self.queue.waiting_edits) > MAX_BACKLOG_S * rate
        ):
            self._answer_unavailable(ticket, "too many changes are waiting", 3)
            return
        if len(self.pending) > MAX_PENDING_REQUESTS:
            self._answer_unavailable(ticket, "too many requests", 2)
            return
        if spec.prerequisites and self.view.format_level < records.BASE_LEVEL:
            # A controller with an older version would drop the prerequisites from the record.
            self._answer_unavailable(ticket, "not every controller knows prerequisites yet", 2)
            return
        name = JobId(spec.name)
        if name in self.view.jobs or name in self.view.endings or self._rejection_reason(spec):
            # A job that can never run is rejected only if its id is not known already.
            self._request_fresh_state(ticket, Purpose.SUBMIT, spec.name, spec)
            return
        self._admit(spec, ticket)

    def _admit(self, spec: Job, ticket: int, view_refreshed: bool = False) -> None:
        """Accept a job if all its prerequisites were accepted before it.

        The job is rejected with 422 only if a prerequisite was certainly never accepted: the
        view is as new as the request and does not have it, and a read of the ended jobs after
        that did not find it either.
        """
        view = self.view
        for prerequisite in map(JobId, spec.prerequisites or ()):
            if view.prerequisite_status(prerequisite) is not None:
                continue
            if not view_refreshed:
                # Another controller may have accepted the prerequisite a moment ago.
                self._request_fresh_state(ticket, Purpose.SUBMIT, spec.name, spec)
            elif prerequisite == spec.name:
                self._answer_rejected(ticket, spec, f"needs {prerequisite}, which is itself")
            elif self._has_unreadable_record(prerequisite):
                self._answer_unavailable(ticket, f"the record of {prerequisite} can not be read")
            else:
                self.pending[ticket] = PendingRequest(Purpose.NEED, prerequisite, spec)
                self.ctx.effects.append(ReadJobResult(ticket, prerequisite))
            return
        self._accept(spec, ticket)

    def _answer_rejected(self, ticket: int, spec: Job, reason: str) -> None:
        log.info("refuse %s: %s", spec.name, reason)
        self.ctx.effects.append(Response(ticket, 422, {"error": reason}))

    def _has_unreadable_record(self, job: JobId) -> bool:
        """Return whether the job has a record that cannot be read, or is read only in part."""
        key = job_key(job)
        return key in self.view.unreadable_keys or self.view.has_missing_parts(key)

    def _accept(self, spec: Job, ticket: int) -> None:
        def settled(ok: bool, reason: str) -> None:
            if ok:
                log.info(
                    "accept %s: %d tasks of %s for %s (%g cpus, %g accelerators, %g GB each)",
                    spec.name, spec.task_count, spec.job_class, spec.team, spec.cpus, spec.gpus,
                    spec.memory_gb,
                )  # fmt: skip
                self.ctx.effects.append(
                    Response(ticket, 201, {"NameId": spec.name, "Status": "pending"})
                )
            elif reason == TOO_LARGE and self.queue.later_limits and not self.view.format_level:
                self._answer_unavailable(
                    ticket, "no room for so long a description before the upgrade", 5
                )
            elif reason == "unreadable":
                self._answer_unavailable(ticket, "the job's record can not be read", 5)
            elif reason == "refused":
                self._answer_unavailable(ticket, "the state service does not take it", 5)
            elif reason == TOO_LARGE:
                self.ctx.effects.append(Response(ticket, 400, {"error": "description too large"}))
            else:
                self._request_fresh_state(ticket, Purpose.SUBMIT, spec.name, None)

        catalog = self.view.catalog
        if (
            spec.machine_types is not None
            and len(spec.machine_types) > MAX_UNFILTERED_MACHINE_TYPES
            and catalog is not None
        ):
            # The size of a record is limited, so it cannot hold any number of unknown types.
            known = [t.name for t in catalog.machine_types if t.name in spec.machine_types]
            spec = msgspec.structs.replace(spec, machine_types=known)
        fates = {
            name: self.view.prerequisite_status(JobId(name)) for name in spec.prerequisites or ()
        }
        job_change = jobs.accept(
            spec,
            self.ctx.wall_time,
            [name for name, fate in fates.items() if fate != records.DONE],
            records.CANCELLED in fates.values(),
        )
        self.queue.propose(
            Edit(job_key(JobId(spec.name)), job_change, priority=HIGH_PRIORITY, on_settled=settled)
        )

    def _rejection_reason(self, spec: Job) -> str:
        """Return why the job can never run, or an empty string."""
        teams = {t.name: t for t in self.ctx.settings.params.teams}
        catalog = self.view.catalog
        if spec.team not in teams:
            return f"unknown team {spec.team!r}"
        matching_types = (
            [t for t in catalog.machine_types if fits_machine_type(spec, t)] if catalog else []
        )
        if not matching_types:
            return "a task fits no allowed machine type"
        if not fits_team_limit(
            teams[spec.team], spec, 1 if spec.kind == "array" else spec.task_count
        ):
            return "needs more than the team's limit"
        return ""

    def _request_fresh_state(
        self, ticket: int, purpose: Purpose, job: str, spec: Job | None
    ) -> None:
        """Answer the request once the view is as new as the request.

        Another controller may have told the user something newer than the view shows. One
        request to the state service, sent after these requests arrived, refreshes the view
        for all of them. A final state never changes and is answered at once.
        """
        ending = self.view.endings.get(JobId(job))
        self.pending[ticket] = PendingRequest(purpose, JobId(job), spec)
        if ending is not None:
            self.receive_job_result(ticket, ending)
            return
        self.refresh_tickets.append(ticket)
        self.ctx.effects.append(RefreshView())

    def view_refreshed(self, tickets: list[int]) -> None:
        """Answer these requests; the view has become as new as they are.

        Jobs that the view does not have are read from the state service first.
        """
        for ticket in tickets:
            request = self.pending.get(ticket)
            if request is None:
                continue
            job = request.job
            found = self.view.jobs.get(job) or self.view.endings.get(job)
            stored = self.view.records_by_key.get(job_key(job))
            if found is None and stored is not None and isinstance(stored.record, Ending):
                found = stored.record  # ended, but not moved to its final key yet
            if found is not None:
                self.receive_job_result(ticket, found)
            elif self._has_unreadable_record(job):
                self.pending.pop(ticket, None)
                self._answer_unavailable(ticket, "the job's record can not be read")
            else:
                self.ctx.effects.append(ReadJobResult(ticket, job))  # ended long ago, or unknown

    def poll(self, job: str, ticket: int) -> None:
        """Handle GET /work/{id}, from a refreshed view."""
        if not is_job_id(job):
            self.ctx.effects.append(Response(ticket, 404, {"error": "no such job"}))
            return
        if self.is_state_service_silent():
            self._answer_unavailable(ticket, "no state service", 2)
            return
        if len(self.pending) > MAX_PENDING_REQUESTS:
            self._answer_unavailable(ticket, "too many requests", 2)
            return
        self._request_fresh_state(ticket, Purpose.POLL, job, None)

    def cancel(self, job: str, ticket: int) -> None:
        """Handle POST /work/{id}/cancel."""
        if not is_job_id(job):
            self.ctx.effects.append(Response(ticket, 404, {"error": "no such job"}))
            return
        if not self.view.is_loaded or self.is_state_service_silent():
            self._answer_unavailable(ticket, "no state service", 2)
            return
        if JobId(job) in self.view.jobs and JobId(job) not in self.view.guest_jobs:
            self._cancel(job, ticket)
        else:
            self._request_fresh_state(ticket, Purpose.CANCEL, job, None)

    def _cancel(self, job: str, ticket: int) -> None:
        def settled(ok: bool, reason: str) -> None:
            if ok or reason == "cancelled":
                log.info("cancel %s", job)
                self.ctx.effects.append(
                    Response(ticket, 200, {"NameId": job, "Status": "cancelled"})
                )
            else:
                self._request_fresh_state(ticket, Purpose.OVER, job, None)

        self.queue.propose(
            Edit(job_key(JobId(job)), jobs.cancel(), priority=HIGH_PRIORITY, on_settled=settled)
        )

    def read_failed(self, ticket: int) -> None:
        """Answer a request with 503 because the state service could not be reached."""
        if self.pending.pop(ticket, None) is not None and ticket >= 0:
            self._answer_unavailable(ticket, "no state service", 1)

    def receive_job_result(self, ticket: int, found: JobRecord | Ending | None) -> None:
        """Answer a request from the record of its job, or from None if the job is unknown."""
        request = self.pending.pop(ticket, None)
        if request is None:
            return
        purpose, name, spec = request
        if purpose in (Purpose.NEED, Purpose.RESOLVE):
            if isinstance(found, Ending):
                self.view.remember_ending(records.ending_key(JobId(name)), found)
                if spec is not None:
                    self._admit(spec, ticket, view_refreshed=True)
            elif spec is not None:
                self._answer_rejected(ticket, spec, f"needs {name}, which was never accepted")
            return
        if found is None:
            self._answer_unknown_job(ticket, purpose, spec)
            return
        if isinstance(found, JobRecord) and found.guest is not None:
            self._answer_guest_job(ticket, purpose, found.guest.home_cell)
            return
        if isinstance(found, Ending):
            done = found.task_count if found.status == records.DONE else 0
            body: dict[str, Any] = {
                "NameId": name,
                "Status": records.STATUS_NAMES[found.status],
                "done": done,
                "running": 0,
            }
            self.ctx.effects.append(Response(ticket, 200, body))
            return
        if self._has_unread_prerequisite(JobId(name), found):
            self._answer_unavailable(ticket, "what the job needs has to be read first")
            return
        if purpose is Purpose.CANCEL and found.status == records.LIVE:
            self._cancel(name, ticket)
            return
        has_cancelled_prerequisite = self.view.prerequisites.is_cancelled(JobId(name))
        if (
            purpose is Purpose.OVER
            and found.status == records.LIVE
            and not has_cancelled_prerequisite
        ):
            self._answer_unavailable(ticket, "conflicting changes")
            return
        self.ctx.effects.append(Response(ticket, 200, self.describe(name, found)))

    def _answer_guest_job(self, ticket: int, purpose: Purpose, home: str) -> None:
        """Answer a request for a job of another cell; only that cell answers the job's user."""
        if purpose is Purpose.SUBMIT:
            self._answer_unavailable(ticket, f"the id is in use by a job of cell {home}", 5)
        else:
            self.ctx.effects.append(
                Response(ticket, 404, {"error": f"a job of cell {home}: ask there"})
            )

    def _answer_unknown_job(self, ticket: int, purpose: Purpose, spec: Job | None) -> None:
        if purpose is Purpose.SUBMIT and spec is not None:
            rejection_reason = self._rejection_reason(spec)
            if rejection_reason:
                self._answer_rejected(ticket, spec, rejection_reason)
            else:
                self._admit(spec, ticket, view_refreshed=True)
        elif purpose is Purpose.SUBMIT:
            self._answer_unavailable(ticket, "not accepted yet")
        else:
            self.ctx.effects.append(Response(ticket, 404, {"error": "no such job"}))

    def describe(self, name: str, job: JobRecord) -> dict[str, Any]:
        """Return the body of an answer with a live job's state."""
        running = sum(1 for e in job.entries if e.stage != records.ASSIGNED)
        status = records.STATUS_NAMES[job.status]
        if job.status == records.LIVE and (running or self._runs_in_other_cell(job)):
            status = "running"
        if self.view.prerequisites.is_cancelled(JobId(name)):
            # A prerequisite was cancelled; the job's own ending is written later.
            status = records.STATUS_NAMES[records.CANCELLED]
        body: dict[str, Any] = {
            "NameId": name,
            "Status": status,
            "done": job.done_count,
            "running": running if job.status == records.LIVE else 0,
        }
        reason = self._wait_reason(name)
        if reason and status in ("pending", "running") and job.waiting_count > 0:
            body["why"] = reason
        return body

    @staticmethod
    def _runs_in_other_cell(job: JobRecord) -> bool:
        return job.delegation is not None and job.delegation.stage == DelegationStage.RUNNING

    def _has_unread_prerequisite(self, name: JobId, found: JobRecord) -> bool:
        """Return whether the outcome of a prerequisite has to be read first.

        If the prerequisite was cancelled, another controller may have told the user already
        that this job is cancelled too.
        """
        if found.status != records.LIVE:
            return False
        return any(
            self.view.prerequisite_status(n) is None
            for n in self.view.prerequisites.open_prerequisites.get(name, ())
        )

    def _wait_reason(self, name: str) -> str:
        """Return why the job waits: its prerequisites, or else the reason that the leader gives."""
        ctx = self.ctx
        unfinished = self.view.prerequisites.open_prerequisites.get(JobId(name))
        if unfinished:
            more = (
                f" and {len(unfinished) - MAX_NAMED_JOBS} more"
                if len(unfinished) > MAX_NAMED_JOBS
                else ""
            )
            return f"waiting for {', '.join(islice(unfinished, MAX_NAMED_JOBS))}{more} to be done"
        delegated_job = self.view.delegated_jobs.get(JobId(name))
        if delegated_job is not None and delegated_job.delegation is not None:
            return describe_remote_placement(delegated_job.delegation, ctx.wall_time)
        reason = self._leader_reason(name)
        job = self.view.jobs.get(JobId(name))
        if reason and job is not None and job.delegation is not None:
            return f"{reason}; {describe_remote_placement(job.delegation, ctx.wall_time)}"
        return reason

    def _leader_reason(self, name: str) -> str:
        """Return the leader's reason, which a sibling that leads sends in its summaries."""
        ctx = self.ctx
        if ctx.is_leading():
            return self.leader_reasons().get(JobId(name), "")
        roster = self.view.roster
        peer = ctx.peers.get(roster.leader) if roster else None
        if peer is None or ctx.now - peer.last_frame_at > 5.0:
            return "nobody leads at the moment"
        return peer.waiting_reasons.get(name, "")

    def forget_ticket(self, ticket: int) -> None:
        """Drop a request whose client has disconnected or was told to retry."""
        self.pending.pop(ticket, None)
