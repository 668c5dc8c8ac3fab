"""An owner's work: its workers' reports, the commands they get, places in its part.

Commands travel in answers to reports only (a worker drops a late answer), so
a `run` can be in flight no longer than one report. That makes the proof of
absence simple: a later report under our token that does not list the task.
"""

import logging
from collections.abc import Callable

from coursefold.coordination import jobs
from coursefold.coordination.context import DRIFT, Context, Machine
from coursefold.coordination.effects import Answer, Direct
from coursefold.coordination.election import Election
from coursefold.coordination.parts import owner as owner_of
from coursefold.coordination.placement import choose
from coursefold.protocol.ids import JobId, parse_task
from coursefold.protocol.wire import Order, Report, TaskReport
from coursefold.storage.queue import LATER, SOON, Change, Edit
from coursefold.storage.records import (
    CANCELLED,
    DEALT,
    LIVE,
    PLACED,
    STOPPING,
    Entry,
    JobRecord,
    job_key,
)

log = logging.getLogger(__name__)


# Exits after which the task is forgotten and started again in its place. `busy`: an
# older attempt was still there. `incomplete`: the gang's other images took longer
# than `gang_wait_s`; the image is here now, and the attempt is not lost by it.
AGAIN = frozenset({"busy", "incomplete"})


class Owner:
    """Acts for the machines whose hash falls to this node."""

    def __init__(self, ctx: Context, election: Election) -> None:
        self.ctx, self.election = ctx, election
        self.dealt_since: dict[tuple[str, int], float] = {}

    # Reports

    def report(self, r: Report, ticket: int) -> None:
        """Answer a report: 200 with commands, 421 with the owner, or 503."""
        ctx = self.ctx
        roster = ctx.view.roster
        if roster is None or not ctx.view.loaded:
            self._refuse(ticket)
            return
        owner = owner_of(r.machine, r.zone, roster)
        if owner != ctx.me:
            if ctx.now - ctx.follow_ok_at > 8.0 or owner is None:
                self._refuse(ticket)
                return
            self.election.knock(owner, r.machine)
            ctx.out.append(Answer(ticket, 421, {"Foreman": owner}))
            return
        if r.token > ctx.view.token or not ctx.active():
            if r.token <= ctx.view.token and self.may_keep():
                self._keep(r, ticket)
            else:
                self._refuse(ticket)
            return
        m = self._machine(r)
        if (r.session, r.counter) <= (m.session, m.counter):
            self._refuse(ticket)  # late or reordered: its list is as old as it is
            return
        self._take(m, r)
        orders = self._orders(m, r)
        m.answered = ctx.now
        ctx.out.append(Answer(ticket, 200, {"Baton": ctx.view.token, "Orders": orders}))

    def _refuse(self, ticket: int) -> None:
        self.ctx.out.append(Answer(ticket, 503, {"error": "not entitled"}, retry_after=1))

    def _machine(self, r: Report) -> Machine:
        m = self.ctx.machines.get(r.machine)
        if m is None:
            m = Machine(r.machine, r.build, r.zone, r.spot)
            m.idle_since = self.ctx.now
            self.ctx.machines[r.machine] = m
            self.ctx.tell = True
            log.info("machine %s (%s, %s%s) reports", m.id, m.build, m.zone, ", spot" * m.spot)
        return m

    def may_keep(self) -> bool:
        """Without the state service: may we go on renewing our workers' leases?

        A cancellation may have been promised since we last heard from the state
        service, unless the outage is everyone's. So without the siblings' word
        we stop early enough for the worker's lease to end within `cancel_s`.
        """
        ctx = self.ctx
        workers = ctx.settings.params.workers
        if ctx.my_record() is None:
            return False
        silence = ctx.now - ctx.follow_ok_at
        peers = [p for p in ctx.peers.values() if ctx.now - p.at < 2.5]
        if silence > 4.0 and any(p.state_age < 2.0 for p in peers):
            return False  # only we are refused: let the others have our workers
        if len(peers) == len(ctx.settings.siblings) and all(p.state_age > 2.0 for p in peers):
            return True
        return silence < workers.cancel_s - workers.lease_s * DRIFT - 5.0

    def _keep(self, r: Report, ticket: int) -> None:
        """Renew a lease and command nothing but the end of cancelled tasks."""
        ctx = self.ctx
        m = self._machine(r)
        if (r.session, r.counter) <= (m.session, m.counter):
            self._refuse(ticket)
            return
        self._take(m, r)
        orders = []
        for item in r.tasks:
            task = parse_task(item.task)
            job = ctx.view.jobs.get(task.job) if task else None
            if job is not None and job.status == CANCELLED and item.state != "exited":
                orders.append(Order("stop", item.task, item.attempt, 0.0))
        m.answered = ctx.now
        ctx.out.append(Answer(ticket, 200, {"Baton": ctx.view.token, "Orders": orders}))

    def _take(self, m: Machine, r: Report) -> None:
        """Note what the report shows."""
        ctx = self.ctx
        if r.session != m.session:
            m.running.clear()
            m.told.clear()
            m.images.clear() if m.session == 0 else None
        m.session, m.counter, m.token = r.session, r.counter, r.token
        m.heard, m.addr, m.lost = ctx.now, r.addr, False
        if r.recall is not None and m.recall_at is None:
            log.info("machine %s will be taken in %.1f s", m.id, r.recall)
            ctx.tell = True
        m.recall_at = None if r.recall is None else ctx.now + r.recall
        m.tasks = {}
        for item in r.tasks:
            task = parse_task(item.task)
            if task is None:
                log.error("machine %s lists %r, which is no task", m.id, item.task)
                continue
            m.tasks[(task.job, task.number)] = item
            job = ctx.view.jobs.get(task.job)
            if job is not None and item.state in ("running", "gathering", "flushing"):
                kind = ctx.kind(m.build)
                m.remember_image(job.spec.image, job.spec.image_gb, kind.cache_gb if kind else 0.0)
            if item.state == "running":
                m.running.setdefault((task.job, task.number, item.attempt), ctx.now)
        if m.tasks or ctx.view.on_machine(m.id):
            m.idle_since = ctx.now

    def _orders(self, m: Machine, r: Report) -> list[Order]:
        """Compare what is there with what should be, and command the difference."""
        ctx = self.ctx
        forgets: list[Order] = []
        stops: list[Order] = []
        runs: list[Order] = []
        entries = {(job, e.index): e for job, e in ctx.view.on_machine(m.id) if e.stage != DEALT}
        for (name, number), item in m.tasks.items():
            place = (JobId(name), number)
            entry = entries.get(place)
            known = entry is not None and entry.attempt == item.attempt
            if item.state == "exited":
                if known and entry is not None and item.cause not in AGAIN:
                    self._exited(m, JobId(place[0]), entry, item)
                else:
                    forgets.append(Order("forget", item.task, item.attempt))
                continue
            if not known or entry is None:
                stops.append(Order("stop", item.task, item.attempt, 0.0))
                continue
            job = ctx.view.jobs[JobId(place[0])]
            if job.status == CANCELLED:
                stops.append(Order("stop", item.task, item.attempt, 0.0))
            elif entry.stage == STOPPING and item.state != "flushing":
                stops.append(Order("stop", item.task, item.attempt, self._grace(job)))
            elif entry.stage == PLACED:
                self._drain(m, JobId(place[0]), job, entry)
        for place, entry in entries.items():
            self._missing(m, r, JobId(place[0]), entry, runs)
        return [*forgets, *stops, *runs]

    @staticmethod
    def _grace(job: JobRecord) -> float:
        return job.spec.save + 1.0 if job.spec.checkpoint > 0 else 0.0

    def _missing(
        self, m: Machine, r: Report, job_id: JobId, entry: Entry, runs: list[Order]
    ) -> None:
        """A task that should be here and is not listed, or belongs to an older session."""
        ctx = self.ctx
        place = (job_id, entry.index)
        listed = m.tasks.get(place)
        if entry.session < r.session:
            self._edit(job_id, jobs.gone(entry.index, m.id, entry.attempt), f"gone{entry.index}")
            return
        if listed is not None and listed.state != "exited":
            return
        if listed is not None and listed.attempt == entry.attempt and listed.cause not in AGAIN:
            return
        job = ctx.view.jobs[job_id]
        if job.status == LIVE and entry.stage == PLACED:
            runs.append(Order("run", f"{job_id}/{entry.index}", entry.attempt))
            return
        # Proof of absence. A worker has one report in flight, so this one, newer than
        # any we answered, shows what came of our own `run`. Only under our own token:
        # a former owner's `run` could still be on its way to a worker without it.
        if r.token == ctx.view.token:
            self._edit(job_id, jobs.gone(entry.index, m.id, entry.attempt), f"gone{entry.index}")

    def _drain(self, m: Machine, job_id: JobId, job: JobRecord, entry: Entry) -> None:
        """Save a task's progress before its machine is taken."""
        if m.recall_at is None or job.spec.checkpoint <= 0:
            return
        left = m.recall_at - self.ctx.now
        report = self.ctx.settings.params.workers.report_s
        if job.spec.save < left < job.spec.save + 2.5 * report + 2.0:
            index = None if job.spec.shape == "ensemble" else entry.index
            self._edit(job_id, jobs.stopping(index, entry.attempt), f"stop{entry.index}")

    def _exited(self, m: Machine, job_id: JobId, entry: Entry, item: TaskReport) -> None:
        """Record an exit; `forget` follows once it is recorded."""
        ctx = self.ctx
        cause = item.cause
        job = ctx.view.jobs[job_id]
        tag = f"exit{entry.index}.{entry.attempt}"
        change: Change
        if cause == "done":
            change = jobs.finish(entry.index, m.id, entry.attempt)
            begun = m.running.pop((job_id, entry.index, entry.attempt), None)
            if begun is not None and not ctx.queue.busy(job_key(job_id)):
                ctx.finished.append((job.spec.lane, ctx.now - begun))
            m.failures.clear()
        elif cause in ("error", "unknown"):
            change = jobs.failed(entry.index, m.id, entry.attempt, ctx.wall)
            if cause == "error":
                self._suspect(m, job_id, job)
        else:
            change = jobs.gone(entry.index, m.id, entry.attempt)
        if self._edit(job_id, change, tag):
            log.info("task %s/%d#%d on %s: %s", job_id, entry.index, entry.attempt, m.id, cause)

    def _suspect(self, m: Machine, job_id: JobId, job: JobRecord) -> None:
        """Tell a faulty machine from a faulty job.

        A machine is sick when tasks of two jobs fail on it with no success between
        them, or two of a job that succeeds elsewhere. A job that was submitted with
        a mistake fails everywhere and is no proof against any machine.
        """
        mark = f"{job_id}.{job.attempt}"
        if mark in m.failures:
            return
        m.failures.append(mark)
        names = {f.partition(".")[0] for f in m.failures}
        if not m.sick and (len(names) >= 2 or (len(m.failures) >= 2 and job.done_count > 0)):
            m.sick = True
            self.ctx.tell = True
            log.info("machine %s fails what it starts (%s): out of use", m.id, ",".join(names))

    def _edit(
        self,
        job_id: JobId,
        change: Change,
        tag: str,
        rank: int = SOON,
        done: Callable[[bool, str], None] | None = None,
    ) -> bool:
        ctx = self.ctx
        return ctx.queue.propose(
            Edit(job_key(job_id), change, rank=rank, fence=ctx.view.token, tag=tag, done=done)
        )

    # The part

    def tick(self) -> None:
        ctx = self.ctx
        if not ctx.active():
            return
        lease = ctx.settings.params.workers.lease_s
        for m in list(ctx.machines.values()):
            if not ctx.owns(m.id, m.zone):
                del ctx.machines[m.id]
                continue
            # Counted from the roster's change: an owner that was cut off and comes
            # back has not heard what its stand-in heard, and must not give it up.
            quiet = ctx.now - max(m.heard, m.answered, ctx.token_since)
            if quiet > lease * DRIFT + 0.5 and not m.lost:
                m.lost = True
                ctx.tell = True
                log.info("machine %s: silent for %.1f s", m.id, quiet)
            if m.lost:
                self._expire(m)
            else:
                self._stop_now(m)
            if quiet > 120.0 and not ctx.view.on_machine(m.id):
                del ctx.machines[m.id]
        self.place()

    def _stop_now(self, m: Machine) -> None:
        """Tell a worker to stop a task without waiting for its report.

        Only stops go this way, and only once they are written: a command to the
        worker's own address may execute minutes late, and a late stop of an attempt
        that has to stop is harmless, while a late `run` is not.
        """
        ctx = self.ctx
        orders = []
        for job_id, entry in ctx.view.on_machine(m.id):
            job = ctx.view.jobs[job_id]
            key = (job_id, entry.index, entry.attempt)
            listed = m.tasks.get((job_id, entry.index))
            if (
                (job.status == CANCELLED or entry.stage == STOPPING)
                and entry.session == m.session
                and listed is not None
                and listed.attempt == entry.attempt
                and listed.state not in ("exited", "flushing")
                and key not in m.told
            ):
                m.told.add(key)
                grace = 0.0 if job.status == CANCELLED else self._grace(job)
                orders.append(Order("stop", f"{job_id}/{entry.index}", entry.attempt, grace))
        if orders:
            ctx.out.append(Direct(m.addr, ctx.view.token, m.session, orders))

    def _expire(self, m: Machine) -> None:
        """Its lease is over: nobody but us could renew it, and we did not.

        True only if the worker has seen our token: else a former owner that is cut
        off from the state service, but not from the worker, may have answered it.
        """
        ctx = self.ctx
        if m.token != ctx.view.token:
            return
        for job_id, entry in ctx.view.on_machine(m.id):
            if entry.stage != DEALT:
                self._edit(
                    job_id, jobs.gone(entry.index, m.id, entry.attempt), f"gone{entry.index}"
                )

    def place(self) -> None:
        """Find machines in our part for the tasks dealt to us."""
        ctx = self.ctx
        mine = [
            (name, job, e)
            for name, job in ctx.view.jobs.items()
            if job.status == LIVE
            for e in job.entries
            if e.stage == DEALT and e.owner == ctx.me and (name, e.index) not in ctx.pending
        ]
        seen = {(name, e.index) for name, _, e in mine}
        for key in [k for k in self.dealt_since if k not in seen]:
            del self.dealt_since[key]
        if not mine:
            return
        rooms = ctx.rooms(mine_only=True)
        by_id = {room.id: room for room in rooms}
        for name, job, entry in mine:
            hint = by_id.get(entry.machine)
            if hint is not None:
                hint.give(job.spec)  # the hint's own share is what we look for
            room = hint
            if hint is None or choose(job.spec, [hint], zone=entry.zone) is None:
                room = choose(job.spec, rooms, zone=entry.zone)
            if room is not None:
                room.take(job.spec)
                self.propose_place(name, job, entry.index, room.id, room.zone, room.session)
            else:
                if hint is not None:
                    hint.take(job.spec)
                since = self.dealt_since.setdefault((name, entry.index), ctx.now)
                if ctx.now - since > 3.0:
                    self._edit(
                        name, jobs.undeal(entry.index, ctx.me), f"undeal{entry.index}", LATER
                    )

    def propose_place(
        self, name: JobId, job: JobRecord, index: int, machine: str, zone: str, session: int
    ) -> None:
        ctx = self.ctx
        key = (name, index)
        ctx.pending[key] = (machine, job.spec)

        def settled(ok: bool, why: str) -> None:
            ctx.pending.pop(key, None)
            if ok:
                log.info("place %s/%d on %s", name, index, machine)
            else:
                log.debug("place %s/%d on %s: %s", name, index, machine, why)

        change = jobs.place(index, ctx.me, zone, machine, session)
        if not self._edit(name, change, f"place{index}", SOON, settled):
            ctx.pending.pop(key, None)
