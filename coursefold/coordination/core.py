"""The core of a controller: inputs in, effects out.

No I/O, no clock, no randomness: every input comes with the time, and what is to
be sent, written or answered is left in the outbox. A recorded series of inputs
therefore gives the same decisions again.
"""

import logging
from collections.abc import Iterable
from itertools import islice
from typing import Any

import msgspec

from coursefold import __version__
from coursefold.coordination import jobs, summary
from coursefold.coordination.context import Context
from coursefold.coordination.effects import Answer, Effect, Read, Tell, Vouch
from coursefold.coordination.election import Election
from coursefold.coordination.extension import Extension
from coursefold.coordination.fleet import Fleet
from coursefold.coordination.forward import Forwarding
from coursefold.coordination.leader import Leader
from coursefold.coordination.owner import Owner
from coursefold.coordination.placement import fits_type
from coursefold.coordination.quota import limit_fits
from coursefold.coordination.upgrade import Upgrade
from coursefold.coordination.whereabouts import away_reason
from coursefold.policy import Policy
from coursefold.protocol.ids import JobId, Moment, WallTime, is_job_id
from coursefold.protocol.wire import Job, MalformedError, decode_job, decode_report
from coursefold.settings import Settings
from coursefold.storage import records
from coursefold.storage.cell_records import AwayStage
from coursefold.storage.queue import FIRST, LATER, CommitQueue, Edit, Limits
from coursefold.storage.records import Ending, JobRecord, job_key
from coursefold.storage.view import View

log = logging.getLogger(__name__)

STATE_SILENCE_S = 3.0
SWEEP = 8  # endings moved together
BUILDS = 8
BACKLOG_S = 20.0  # of changes that wait behind acceptances, which bounds their memory
ASKING = 2000  # questions that may wait at once
RESOLVE_S = 1.0
RESOLVING = 4  # endings read at once for the sake of jobs that need them
NAMED = 5  # jobs told in a reason


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
        rows = summary.Rows(self.ctx)
        self.tellers = {
            s.member: summary.Teller(self.ctx, rows, s.member) for s in settings.siblings
        }
        self.forwarding = Forwarding(self.ctx, self.tellers)
        self.owner = Owner(self.ctx, self.election, self.forwarding.edit)
        self.leader = Leader(self.ctx, self.owner)
        self.fleet = Fleet(self.ctx, self.leader)
        self.extensions: list[Extension] = []
        self.asking: dict[int, tuple[str, str, Job | None]] = {}
        self.questions: list[int] = []
        self.was_leading = False
        self.resolved_at = -1e9
        self.resolving = 0

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

    def drain(self) -> list[Effect]:
        """What the inputs so far ask for."""
        out, self.ctx.out = self.ctx.out, []
        if self.ctx.tell:
            self.ctx.tell = False
            for teller in self.tellers.values():
                teller.urgent = True
        waiting = [name for name, teller in self.tellers.items() if teller.waits()]
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
        self._resolve()
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
                Edit(job_key(name), jobs.sweep(), rank=LATER, fence=self.view.token, tag="sweep")
            )

    def _resolve(self) -> None:
        """Read the endings of jobs that others need and that we do not hold.

        They moved away just when the job that names them was accepted.
        """
        if self.ctx.now - self.resolved_at < RESOLVE_S or not self.view.loaded:
            return
        self.resolved_at = self.ctx.now
        for need in self.view.unresolved()[:RESOLVING]:
            self.resolving -= 1  # tickets of our own are negative
            self.asking[self.resolving] = ("resolve", need, None)
            self.ctx.out.append(Read(self.resolving, need))

    def stop_tasks(self, names: Iterable[JobId]) -> None:
        """Have our workers stop these jobs' tasks now, also while we may decide nothing else."""
        self.ctx.handed_now.extend(names)
        self.owner.stop_handed()

    def linked(self, member: str) -> None:
        """A new connection to a sibling."""
        self.tellers[member].begin()
        self.forwarding.linked(member)

    def frame(self, member: str) -> bytes:
        """The next frame for a sibling; empty if there is nothing to say."""
        return self.tellers[member].frame(
            set(self.leader.wanted), self.election.unreachable_for_workers(), self.leader.reasons
        )

    def peer(self, frame: bytes) -> bool:
        """A sibling's frame; False if its connection should end."""
        envelope = summary.read(self.ctx, frame)
        if envelope is None:
            return False
        summary.take(self.ctx, envelope)
        self.owner.stop_handed()
        self.forwarding.outcomes(list(envelope.outcomes))
        self.forwarding.proposals(envelope.sender, list(envelope.proposals))
        return True

    def cloud(self, call: int, status: int, body: bytes) -> None:
        self.fleet.outcome(call, status, body)

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
        return self.view.loaded and not self.state_silent() and self.view.catalog is not None

    def condition(self) -> dict[str, Any]:
        """What an operator asks of one node: is it well, and who has which version?"""
        roster = self.view.roster
        condition: dict[str, Any] = {
            "ok": self.healthy(),
            "version": __version__,
            "leader": roster.leader if roster else None,
            "members": [m.name for m in roster.members] if roster else [],
            "switched": self.view.level >= records.OURS,
            "older": self.upgrade.waits_for() if self.view.loaded else None,
        }
        for extension in self.extensions:
            condition |= extension.condition()
        return condition

    def state_silent(self) -> bool:
        return self.ctx.now - self.ctx.state_ok_at > STATE_SILENCE_S

    def _later(self, ticket: int, why: str, seconds: int = 1) -> None:
        self.ctx.out.append(Answer(ticket, 503, {"error": why}, retry_after=seconds))

    def submit(self, body: bytes, ticket: int) -> None:
        """POST /work."""
        try:
            spec = decode_job(body)
        except MalformedError as wrong:
            log.info("submission refused: %s", wrong)
            self.ctx.out.append(Answer(ticket, 400, {"error": str(wrong)}))
            return
        if not self.view.loaded or self.state_silent():
            self._later(ticket, "no state service", 2)
            return
        if self.view.catalog is None:
            self._later(ticket, "machine types are not known yet", 1)
            return
        rate = self.queue.limits.write_rps
        if self.queue.urgent() > rate or len(self.queue.waiting) > BACKLOG_S * rate:
            self._later(ticket, "too many changes are waiting", 3)
            return
        if len(self.asking) > ASKING:
            self._later(ticket, "too many requests", 2)
            return
        if spec.prereqs and self.view.level < records.OURS:
            # An older version would take the job and lose what it needs.
            self._later(ticket, "not every controller knows prerequisites yet", 2)
            return
        name = JobId(spec.name)
        if name in self.view.jobs or name in self.view.endings or self._never(spec):
            # Also for what can never run: an id that is known gets its state.
            self._ask(ticket, "submit", spec.name, spec)
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
                self._ask(ticket, "submit", spec.name, spec)
            elif need == spec.name:
                self._reject(ticket, spec, f"needs {need}, which is itself")
            elif self._unclear(need):
                self._later(ticket, f"the record of {need} can not be read")
            else:
                self.asking[ticket] = ("need", need, spec)
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
                self._ask(ticket, "submit", spec.name, None)

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
        kinds = [k for k in catalog.builds if fits_type(spec, k)] if catalog else []
        if not kinds:
            return "a task fits no allowed machine type"
        if not limit_fits(teams[spec.team], spec, 1 if spec.shape == "array" else spec.tasks):
            return "needs more than the team's limit"
        return ""

    def _ask(self, ticket: int, what: str, job: str, spec: Job | None) -> None:
        """A question for a state that is as new as the question.

        Another node may have told the user something newer than our view. One
        request to the state service, sent after the questions came, brings the view
        up to date for all that wait; a final state never changes and needs none.
        """
        ending = self.view.endings.get(JobId(job))
        self.asking[ticket] = (what, job, spec)
        if ending is not None:
            self.read(ticket, ending)
            return
        self.questions.append(ticket)
        self.ctx.out.append(Vouch())

    def vouched(self, tickets: list[int]) -> None:
        """The view is now as new as these questions."""
        for ticket in tickets:
            asked = self.asking.get(ticket)
            if asked is None:
                continue
            job = JobId(asked[1])
            found = self.view.jobs.get(job) or self.view.endings.get(job)
            held = self.view.held.get(job_key(job))
            if found is None and held is not None and isinstance(held.record, Ending):
                found = held.record  # ended and not moved yet, however long ago
            if found is not None:
                self.read(ticket, found)
            elif self._unclear(job):
                self.asking.pop(ticket, None)
                self._later(ticket, "the job's record can not be read")
            else:
                self.ctx.out.append(Read(ticket, job))  # ended long ago, or unknown

    def poll(self, job: str, ticket: int) -> None:
        """GET /work/{id}: read through, for another node may have said something newer."""
        if not is_job_id(job):
            self.ctx.out.append(Answer(ticket, 404, {"error": "no such job"}))
            return
        if self.state_silent():
            self._later(ticket, "no state service", 2)
            return
        if len(self.asking) > ASKING:
            self._later(ticket, "too many requests", 2)
            return
        self._ask(ticket, "poll", job, None)

    def cancel(self, job: str, ticket: int) -> None:
        """POST /work/{id}/cancel."""
        if not is_job_id(job):
            self.ctx.out.append(Answer(ticket, 404, {"error": "no such job"}))
            return
        if not self.view.loaded or self.state_silent():
            self._later(ticket, "no state service", 2)
            return
        if JobId(job) in self.view.jobs and JobId(job) not in self.view.guests:
            self._cancel(job, ticket)
        else:
            self._ask(ticket, "cancel", job, None)

    def _cancel(self, job: str, ticket: int) -> None:
        def settled(ok: bool, why: str) -> None:
            if ok or why == "cancelled":
                log.info("cancel %s", job)
                self.ctx.out.append(Answer(ticket, 200, {"NameId": job, "Status": "cancelled"}))
            else:
                self._ask(ticket, "over", job, None)

        self.queue.propose(Edit(job_key(JobId(job)), jobs.cancel(), rank=FIRST, done=settled))

    def read_failed(self, ticket: int) -> None:
        """The state service could not be asked."""
        if self.asking.pop(ticket, None) is not None and ticket >= 0:
            self._later(ticket, "no state service", 1)

    def read(self, ticket: int, found: JobRecord | Ending | None) -> None:
        """What the state service knows of the job asked for."""
        asked = self.asking.pop(ticket, None)
        if asked is None:
            return
        what, name, spec = asked
        if what in ("need", "resolve"):
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
        if what == "cancel" and found.status == records.LIVE:
            self._cancel(name, ticket)
            return
        doomed = self.view.needs.is_doomed(JobId(name))
        if what == "over" and found.status == records.LIVE and not doomed:
            self._later(ticket, "conflicting changes")
            return
        self.ctx.out.append(Answer(ticket, 200, self.describe(name, found)))

    def _not_ours(self, ticket: int, what: str, home: str) -> None:
        """The job is here for another cell, which alone answers its user."""
        if what == "submit":
            self._later(ticket, f"the id is in use by a job of cell {home}", 5)
        else:
            self.ctx.out.append(Answer(ticket, 404, {"error": f"a job of cell {home}: ask there"}))

    def _unknown(self, ticket: int, what: str, spec: Job | None) -> None:
        if what == "submit" and spec is not None:
            never = self._never(spec)
            if never:
                self._reject(ticket, spec, never)
            else:
                self._admit(spec, ticket, vouched=True)
        elif what == "submit":
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
            return self.leader.reasons.get(JobId(name), "")
        roster = self.view.roster
        peer = ctx.peers.get(roster.leader) if roster else None
        if peer is None or ctx.now - peer.at > 5.0:
            return "nobody leads at the moment"
        return peer.reasons.get(name, "")

    def forget_ticket(self, ticket: int) -> None:
        """The asker has gone or was told to come back."""
        self.asking.pop(ticket, None)
