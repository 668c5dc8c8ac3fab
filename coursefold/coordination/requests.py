"""Users' requests: submissions, polls and cancellations, and why a job waits.

Another node may have told a user something newer than our view shows, so no answer is given
from records older than the question, unless it is final.
"""

import logging
from collections.abc import Callable
from enum import StrEnum
from itertools import islice
from typing import Any, NamedTuple

import msgspec

from coursefold.coordination import jobs
from coursefold.coordination.context import Context
from coursefold.coordination.effects import Answer, Read, Vouch
from coursefold.coordination.placement import fits_machine_type
from coursefold.coordination.quota import fits_team_limit
from coursefold.coordination.whereabouts import away_reason
from coursefold.protocol.ids import JobId, is_job_id
from coursefold.protocol.wire import Job, MalformedError, decode_job
from coursefold.storage import records
from coursefold.storage.cell_records import AwayStage
from coursefold.storage.edits import FIRST, Edit
from coursefold.storage.records import Ending, JobRecord, job_key

log = logging.getLogger(__name__)

STATE_SILENCE_S = 3.0
BUILDS = 8  # machine types of a job beyond which unknown ones are not stored
BACKLOG_S = 20.0  # of changes that wait behind acceptances, which bounds their memory
ASKING = 2000  # questions that may wait at once
RESOLVE_INTERVAL_S = 1.0
RESOLVING = 4  # endings read at once for the sake of jobs that need them
NAMED = 5  # jobs told in a reason


class Purpose(StrEnum):
    """What a job's state is asked for."""

    SUBMIT = "submit"  # its submission came, and it may be known
    POLL = "poll"
    CANCEL = "cancel"
    OVER = "over"  # a cancellation came too late
    NEED = "need"  # a submission names it as one that has to be done before
    RESOLVE = "resolve"  # a job that was accepted needs it


class PendingRequest(NamedTuple):
    """A request that waits for a job's state; `spec` is the submission's, if it is one."""

    purpose: Purpose
    job: JobId
    spec: Job | None


class RequestHandler:
    """Answers users, from a view that is as new as their questions."""

    def __init__(self, ctx: Context, reasons: Callable[[], dict[JobId, str]]) -> None:
        self.ctx, self.view, self.queue = ctx, ctx.view, ctx.queue
        self.reasons = reasons  # the leader's, while this node leads
        self.pending: dict[int, PendingRequest] = {}
        self.refresh_tickets: list[int] = []  # tickets that wait for a view as new as they are
        self.resolved_at = -1e9
        self.resolving = 0

    def is_state_service_silent(self) -> bool:
        """Has the state service not answered for a while?"""
        return self.ctx.now - self.ctx.state_ok_at > STATE_SILENCE_S

    def _later(self, ticket: int, why: str, seconds: int = 1) -> None:
        self.ctx.out.append(Answer(ticket, 503, {"error": why}, retry_after=seconds))

    def resolve_prerequisites(self) -> None:
        """Read the endings of jobs that others need and that we do not hold.

        They moved away just when the job that names them was accepted.
        """
        if self.ctx.now - self.resolved_at < RESOLVE_INTERVAL_S or not self.view.loaded:
            return
        self.resolved_at = self.ctx.now
        for need in self.view.unresolved()[:RESOLVING]:
            self.resolving -= 1  # tickets of our own are negative
            self.pending[self.resolving] = PendingRequest(Purpose.RESOLVE, need, None)
            self.ctx.out.append(Read(self.resolving, need))

    def submit(self, body: bytes, ticket: int) -> None:
        """POST /work."""
        try:
            spec = decode_job(body)
        except MalformedError as wrong:
            log.info("submission refused: %s", wrong)
            self.ctx.out.append(Answer(ticket, 400, {"error": str(wrong)}))
            return
        if not self.view.loaded or self.is_state_service_silent():
            self._later(ticket, "no state service", 2)
            return
        if self.view.catalog is None:
            self._later(ticket, "machine types are not known yet", 1)
            return
        rate = self.queue.limits.write_rps
        if self.queue.urgent() > rate or len(self.queue.waiting) > BACKLOG_S * rate:
            self._later(ticket, "too many changes are waiting", 3)
            return
        if len(self.pending) > ASKING:
            self._later(ticket, "too many requests", 2)
            return
        if spec.prereqs and self.view.level < records.OURS:
            # An older version would take the job and lose what it needs.
            self._later(ticket, "not every controller knows prerequisites yet", 2)
            return
        name = JobId(spec.name)
        if name in self.view.jobs or name in self.view.endings or self._never(spec):
            # Also for what can never run: an id that is known gets its state.
            self._ask(ticket, Purpose.SUBMIT, spec.name, spec)
            return
        self._admit(spec, ticket)

    def _admit(self, spec: Job, ticket: int, vouched: bool = False) -> None:
        """Accept a job if all that it needs was accepted; 422 only on proof that it was not.

        The proof: the view is as new as the question, the job it names is not among the
        live ones, nor among the ended ones as read after that.
        """
        view = self.view
        for need in map(JobId, spec.prereqs or ()):
            if view.fate(need) is not None:
                continue
            if not vouched:
                # It may have been accepted at another node a moment ago.
                self._ask(ticket, Purpose.SUBMIT, spec.name, spec)
            elif need == spec.name:
                self._reject(ticket, spec, f"needs {need}, which is itself")
            elif self._unclear(need):
                self._later(ticket, f"the record of {need} can not be read")
            else:
                self.pending[ticket] = PendingRequest(Purpose.NEED, need, spec)
                self.ctx.out.append(Read(ticket, need))
            return
        self._accept(spec, ticket)

    def _reject(self, ticket: int, spec: Job, why: str) -> None:
        log.info("refuse %s: %s", spec.name, why)
        self.ctx.out.append(Answer(ticket, 422, {"error": why}))

    def _unclear(self, job: JobId) -> bool:
        """Is there a record of the job that we can not read, or not yet?"""
        key = job_key(job)
        return key in self.view.unreadable or self.view.incomplete(key)

    def _accept(self, spec: Job, ticket: int) -> None:
        def settled(ok: bool, why: str) -> None:
            if ok:
                log.info(
                    "accept %s: %d tasks of %s for %s (%g cpus, %g accelerators, %g GB each)",
                    spec.name, spec.tasks, spec.lane, spec.team, spec.cpus, spec.gpus, spec.memory,
                )  # fmt: skip
                self.ctx.out.append(Answer(ticket, 201, {"NameId": spec.name, "Status": "pending"}))
            elif why == "too large" and self.queue.later and not self.view.level:
                self._later(ticket, "no room for so long a description before the upgrade", 5)
            elif why == "unreadable":
                self._later(ticket, "the job's record can not be read", 5)
            elif why == "refused":
                self._later(ticket, "the state service does not take it", 5)
            elif why == "too large":
                self.ctx.out.append(Answer(ticket, 400, {"error": "description too large"}))
            else:
                self._ask(ticket, Purpose.SUBMIT, spec.name, None)

        catalog = self.view.catalog
        if spec.builds is not None and len(spec.builds) > BUILDS and catalog is not None:
            # A record has room for a job's description, not for any number of unknown types.
            known = [k.name for k in catalog.builds if k.name in spec.builds]
            spec = msgspec.structs.replace(spec, builds=known)
        fates = {need: self.view.fate(JobId(need)) for need in spec.prereqs or ()}
        change = jobs.accept(
            spec,
            self.ctx.wall,
            [need for need, fate in fates.items() if fate != records.DONE],
            records.CANCELLED in fates.values(),
        )
        self.queue.propose(Edit(job_key(JobId(spec.name)), change, rank=FIRST, done=settled))

    def _never(self, spec: Job) -> str:
        """Why a job can never run, or nothing."""
        teams = {t.name: t for t in self.ctx.settings.params.teams}
        catalog = self.view.catalog
        if spec.team not in teams:
            return f"unknown team {spec.team!r}"
        kinds = [k for k in catalog.builds if fits_machine_type(spec, k)] if catalog else []
        if not kinds:
            return "a task fits no allowed machine type"
        if not fits_team_limit(teams[spec.team], spec, 1 if spec.shape == "array" else spec.tasks):
            return "needs more than the team's limit"
        return ""

    def _ask(self, ticket: int, what: Purpose, job: str, spec: Job | None) -> None:
        """A question for a state that is as new as the question.

        Another node may have told the user something newer than our view. One
        request to the state service, sent after the questions came, brings the view
        up to date for all that wait; a final state never changes and needs none.
        """
        ending = self.view.endings.get(JobId(job))
        self.pending[ticket] = PendingRequest(what, JobId(job), spec)
        if ending is not None:
            self.record_read(ticket, ending)
            return
        self.refresh_tickets.append(ticket)
        self.ctx.out.append(Vouch())

    def view_refreshed(self, tickets: list[int]) -> None:
        """The view is now as new as these questions."""
        for ticket in tickets:
            asked = self.pending.get(ticket)
            if asked is None:
                continue
            job = asked.job
            found = self.view.jobs.get(job) or self.view.endings.get(job)
            held = self.view.held.get(job_key(job))
            if found is None and held is not None and isinstance(held.record, Ending):
                found = held.record  # ended and not moved yet, however long ago
            if found is not None:
                self.record_read(ticket, found)
            elif self._unclear(job):
                self.pending.pop(ticket, None)
                self._later(ticket, "the job's record can not be read")
            else:
                self.ctx.out.append(Read(ticket, job))  # ended long ago, or unknown

    def poll(self, job: str, ticket: int) -> None:
        """GET /work/{id}: read through, for another node may have said something newer."""
        if not is_job_id(job):
            self.ctx.out.append(Answer(ticket, 404, {"error": "no such job"}))
            return
        if self.is_state_service_silent():
            self._later(ticket, "no state service", 2)
            return
        if len(self.pending) > ASKING:
            self._later(ticket, "too many requests", 2)
            return
        self._ask(ticket, Purpose.POLL, job, None)

    def cancel(self, job: str, ticket: int) -> None:
        """POST /work/{id}/cancel."""
        if not is_job_id(job):
            self.ctx.out.append(Answer(ticket, 404, {"error": "no such job"}))
            return
        if not self.view.loaded or self.is_state_service_silent():
            self._later(ticket, "no state service", 2)
            return
        if JobId(job) in self.view.jobs and JobId(job) not in self.view.guests:
            self._cancel(job, ticket)
        else:
            self._ask(ticket, Purpose.CANCEL, job, None)

    def _cancel(self, job: str, ticket: int) -> None:
        def settled(ok: bool, why: str) -> None:
            if ok or why == "cancelled":
                log.info("cancel %s", job)
                self.ctx.out.append(Answer(ticket, 200, {"NameId": job, "Status": "cancelled"}))
            else:
                self._ask(ticket, Purpose.OVER, job, None)

        self.queue.propose(Edit(job_key(JobId(job)), jobs.cancel(), rank=FIRST, done=settled))

    def read_failed(self, ticket: int) -> None:
        """The state service could not be asked."""
        if self.pending.pop(ticket, None) is not None and ticket >= 0:
            self._later(ticket, "no state service", 1)

    def record_read(self, ticket: int, found: JobRecord | Ending | None) -> None:
        """What the state service knows of the job asked for."""
        asked = self.pending.pop(ticket, None)
        if asked is None:
            return
        what, name, spec = asked
        if what in (Purpose.NEED, Purpose.RESOLVE):
            if isinstance(found, Ending):
                self.view.remember(records.ending_key(JobId(name)), found)
                if spec is not None:
                    self._admit(spec, ticket, vouched=True)
            elif spec is not None:
                self._reject(ticket, spec, f"needs {name}, which was never accepted")
            return
        if found is None:
            self._unknown(ticket, what, spec)
            return
        if isinstance(found, JobRecord) and found.guest is not None:
            self._not_ours(ticket, what, found.guest.home)
            return
        if isinstance(found, Ending):
            done = found.tasks if found.status == records.DONE else 0
            body: dict[str, Any] = {
                "NameId": name,
                "Status": records.STATUS[found.status],
                "done": done,
                "running": 0,
            }
            self.ctx.out.append(Answer(ticket, 200, body))
            return
        if self._undecided(JobId(name), found):
            self._later(ticket, "what the job needs has to be read first")
            return
        if what is Purpose.CANCEL and found.status == records.LIVE:
            self._cancel(name, ticket)
            return
        doomed = self.view.needs.is_doomed(JobId(name))
        if what is Purpose.OVER and found.status == records.LIVE and not doomed:
            self._later(ticket, "conflicting changes")
            return
        self.ctx.out.append(Answer(ticket, 200, self.describe(name, found)))

    def _not_ours(self, ticket: int, what: Purpose, home: str) -> None:
        """The job is here for another cell, which alone answers its user."""
        if what is Purpose.SUBMIT:
            self._later(ticket, f"the id is in use by a job of cell {home}", 5)
        else:
            self.ctx.out.append(Answer(ticket, 404, {"error": f"a job of cell {home}: ask there"}))

    def _unknown(self, ticket: int, what: Purpose, spec: Job | None) -> None:
        if what is Purpose.SUBMIT and spec is not None:
            never = self._never(spec)
            if never:
                self._reject(ticket, spec, never)
            else:
                self._admit(spec, ticket, vouched=True)
        elif what is Purpose.SUBMIT:
            self._later(ticket, "not accepted yet")
        else:
            self.ctx.out.append(Answer(ticket, 404, {"error": "no such job"}))

    def describe(self, name: str, job: JobRecord) -> dict[str, Any]:
        """A live job's state as its user sees it."""
        running = sum(1 for e in job.entries if e.stage != records.DEALT)
        status = records.STATUS[job.status]
        if job.status == records.LIVE and (running or self._runs_elsewhere(job)):
            status = "running"
        if self.view.needs.is_doomed(JobId(name)):
            # It follows from what it needs; its own ending is written when there is time.
            status = records.STATUS[records.CANCELLED]
        body: dict[str, Any] = {
            "NameId": name,
            "Status": status,
            "done": job.done_count,
            "running": running if job.status == records.LIVE else 0,
        }
        reason = self._reason(name)
        if reason and status in ("pending", "running") and job.waiting_count > 0:
            body["why"] = reason
        return body

    @staticmethod
    def _runs_elsewhere(job: JobRecord) -> bool:
        return job.away is not None and job.away.stage == AwayStage.RUNNING

    def _undecided(self, name: JobId, found: JobRecord) -> bool:
        """Needs the job one that has ended, and we do not know how?

        If it was cancelled, another node may have said so of this one too.
        """
        if found.status != records.LIVE:
            return False
        return any(self.view.fate(n) is None for n in self.view.needs.left.get(name, ()))

    def _reason(self, name: str) -> str:
        """Why the job waits: for other jobs by its record, else by the leader's word."""
        ctx = self.ctx
        left = self.view.needs.left.get(JobId(name))
        if left:
            more = f" and {len(left) - NAMED} more" if len(left) > NAMED else ""
            return f"waiting for {', '.join(islice(left, NAMED))}{more} to be done"
        away = self.view.away.get(JobId(name))
        if away is not None and away.away is not None:
            return away_reason(away.away, ctx.wall)
        reason = self._leaders_reason(name)
        job = self.view.jobs.get(JobId(name))
        if reason and job is not None and job.away is not None:
            return f"{reason}; {away_reason(job.away, ctx.wall)}"
        return reason

    def _leaders_reason(self, name: str) -> str:
        """The leader's word, here or as it told us."""
        ctx = self.ctx
        if ctx.leading():
            return self.reasons().get(JobId(name), "")
        roster = self.view.roster
        peer = ctx.peers.get(roster.leader) if roster else None
        if peer is None or ctx.now - peer.at > 5.0:
            return "nobody leads at the moment"
        return peer.reasons.get(name, "")

    def forget_ticket(self, ticket: int) -> None:
        """The asker has gone or was told to come back."""
        self.pending.pop(ticket, None)
