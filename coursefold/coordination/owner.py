"""An owner's work: its workers' reports, the commands they get, places in its part.

Commands travel in answers to reports only (a worker drops a late answer), so
a `run` can be in flight no longer than one report. That makes the proof of
absence simple: a later report under our token that does not list the task.
"""

import logging
from collections.abc import Callable, Iterable

from coursefold.coordination import cancellations, jobs, summary
from coursefold.coordination.context import DRIFT, Context, Machine
from coursefold.coordination.effects import Answer, Direct
from coursefold.coordination.election import Election
from coursefold.coordination.placement import SLACK, Picker, Refused, Room
from coursefold.protocol.ids import JobId, parse_task
from coursefold.protocol.wire import Job, Order, Report, TaskReport
from coursefold.storage.edits import LATER, SOON, Edit
from coursefold.storage.records import (
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

ALONE_S = 8.0  # without state service and siblings: then it is most likely we who are cut off
HEARD_S = 2.5
NEWS_S = 4.0
SWEEP_S = 0.5
HELD_S = 0.2  # reports closer than this were held back and let go together
DEAF = 1.5  # leases
FORGET_S = 120.0
DEPARTED = 20_000  # machines; 2 MB


class Owner:
    """Acts for the machines whose hash falls to this node."""

    def __init__(
        self, ctx: Context, election: Election, forward: Callable[[JobId, jobs.Step, Edit], bool]
    ) -> None:
        self.ctx, self.election, self.forward = ctx, election, forward
        self.dealt_since: dict[tuple[str, int], float] = {}
        self.swept_at = -1e9
        self.swept_token = -1
        self.departed: dict[str, tuple[int, int]] = {}
        self.watched: set[str] = set()
        # The news under which a sibling was heard that lacks the state service as well.
        self.sibling_heard_at_news = -1.0

    # Reports

    def report(self, r: Report, ticket: int) -> None:
        """Answer a report: 200 with commands, 421 with the owner, or 503."""
        ctx = self.ctx
        roster = ctx.view.roster
        if roster is None or not ctx.view.loaded:
            self._refuse(ticket)
            return
        owner = ctx.owner(r.machine, r.zone)
        if owner != ctx.me:
            if owner is not None and self._stands_in(owner) and r.token <= ctx.view.token:
                self._keep(r, ticket)
                return
            if ctx.now - ctx.follow_ok_at > ctx.news_age() or owner is None:
                self._refuse(ticket)
                return
            self.election.note_misdirected(owner, r.machine)
            ctx.out.append(Answer(ticket, 421, {"Foreman": owner}))
            return
        if r.token > ctx.view.token or not ctx.active():
            if r.token <= ctx.view.token and self.may_keep():
                self._keep(r, ticket)
            else:
                self._refuse(ticket)
            return
        m = self._machine(r)
        if m is None or (r.session, r.counter) <= (m.session, m.counter):
            self._refuse(ticket)  # late or reordered: its list is as old as it is
            return
        self._check_hearing(m, r)
        self._take(m, r)
        orders = self._orders(m, r)
        m.answered = ctx.now
        ctx.out.append(Answer(ticket, 200, {"Baton": ctx.view.token, "Orders": orders}))

    def _refuse(self, ticket: int) -> None:
        self.ctx.out.append(Answer(ticket, 503, {"error": "not entitled"}, retry_after=1))

    def _machine(self, r: Report) -> Machine | None:
        """The machine that reports; None if this is a late copy from one that has left."""
        ctx = self.ctx
        m = ctx.machines.get(r.machine)
        if m is None:
            if (r.session, r.counter) <= self.departed.get(r.machine, (-1, -1)):
                return None
            m = Machine(r.machine, r.build, r.zone, r.spot)
            m.idle_since = ctx.now
            ctx.machines[r.machine] = m
            log.info("machine %s (%s, %s%s) reports", m.id, m.build, m.zone, ", spot" * m.spot)
        return m

    def depart(self, machine: str) -> None:
        """A machine of our part is no more. What of its reports comes late is told by this."""
        m = self.ctx.machines.pop(machine, None)
        if m is not None:
            self.departed[machine] = (m.session, m.counter)
            while len(self.departed) > DEPARTED:
                del self.departed[next(iter(self.departed))]

    def _check_hearing(self, m: Machine, r: Report) -> None:
        """Does the machine hear us? Its reports alone do not say so.

        A machine whose way in is cut goes on reporting, and a copy of an old report
        looks like a live machine. Two signs are needed. It has shown our token, which
        only our answer can have told it. And its last two reports came soon after each
        other: one that gets no answer waits 4 s and then asks the other nodes first,
        while one that was cut off both ways sends what was held back all at once.
        """
        ctx = self.ctx
        gap = ctx.now - m.heard if m.session else 0.0
        hears = m.hears if gap < HELD_S else gap < self._apart()
        proven = r.token == ctx.view.token or (m.proven and r.session == m.session)
        if (hears, proven) != (m.hears, m.proven):
            ctx.tell = True
        if hears:
            m.deaf_since = None
            if m.deaf:
                m.deaf = False
                log.info("machine %s hears us again", m.id)
        elif m.deaf_since is None:
            m.deaf_since = ctx.now
        elif not m.deaf and ctx.now - m.deaf_since > DEAF * ctx.settings.params.workers.lease_s:
            m.deaf = ctx.tell = True
            log.info("machine %s reports, but does not hear us", m.id)
        m.hears, m.proven = hears, proven

    def _apart(self) -> float:
        """Reports to one node that come no sooner than this may be of a worker without answers."""
        return 9.0 if self.ctx.settings.siblings else 4.5

    def may_keep(self) -> bool:
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
        if silence > NEWS_S and any(p.state_age < 2.0 for p in peers):
            return False  # only we are refused: let the others have our workers
        if (
            len(peers) == len(ctx.settings.siblings)
            and all(p.state_age > 2.0 for p in peers)
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

    def _stands_in(self, owner: str) -> bool:
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
        oldest = summary.oldest(ctx.settings.params.skew_ms)
        return (
            peer is not None
            and member is not None
            and ctx.now - ctx.follow_ok_at > max(NEWS_S, oldest)
            and ctx.now - peer.at < HEARD_S
            and peer.permit != member.permit
            and self.may_keep()
        )

    def _keep(self, r: Report, ticket: int) -> None:
        """Renew a lease and command nothing but the end of cancelled tasks."""
        ctx = self.ctx
        m = self._machine(r)
        if m is None or (r.session, r.counter) <= (m.session, m.counter):
            self._refuse(ticket)
            return
        self._take(m, r)
        orders = []
        for item in r.tasks:
            task = parse_task(item.task)
            off = task is not None and cancellations.is_off(ctx, task.job)
            if off and item.state != "exited":
                orders.append(Order("stop", item.task, item.attempt, 0.0))
        m.answered = ctx.now
        ctx.out.append(Answer(ticket, 200, {"Baton": ctx.view.token, "Orders": orders}))

    def _take(self, m: Machine, r: Report) -> None:
        """Note what the report shows."""
        ctx = self.ctx
        if r.session != m.session:
            m.running.clear()
            m.stops_sent.clear()
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
            attempt = (task.job, task.number, item.attempt)
            if item.state == "running" and attempt not in m.running:
                m.running[attempt] = ctx.now
                log.debug("task %s#%d on %s runs", item.task, item.attempt, m.id)
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
            if cancellations.is_off(ctx, place[0]):
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
            self._gone(job_id, entry, m)
            return
        if listed is not None and listed.state != "exited":
            return
        if listed is not None and listed.attempt == entry.attempt and listed.cause not in AGAIN:
            return
        job = ctx.view.jobs[job_id]
        if job.status == LIVE and entry.stage == PLACED:
            if cancellations.is_off(ctx, job_id):
                return  # its own news decides what becomes of the place
            runs.append(Order("run", f"{job_id}/{entry.index}", entry.attempt))
            return
        # Proof of absence. A worker has one report in flight, so this one, newer than
        # any we answered, shows what came of our own `run`. Only under our own token:
        # a former owner's `run` could still be on its way to a worker without it.
        if r.token == ctx.view.token:
            self._gone(job_id, entry, m)

    def _gone(self, job_id: JobId, entry: Entry, m: Machine) -> None:
        self._step(job_id, "gone", entry, f"gone{entry.index}", machine=m.id)

    def _drain(self, m: Machine, job_id: JobId, job: JobRecord, entry: Entry) -> None:
        """Save a task's progress before its machine is taken."""
        if m.recall_at is None or job.spec.checkpoint <= 0:
            return
        left = m.recall_at - self.ctx.now
        report = self.ctx.settings.params.workers.report_s
        if job.spec.save < left < job.spec.save + 2.5 * report + 2.0:
            kind = "stop_all" if job.spec.shape == "ensemble" else "stop"
            self._step(job_id, kind, entry, f"stop{entry.index}")

    def _exited(self, m: Machine, job_id: JobId, entry: Entry, item: TaskReport) -> None:
        """Record an exit; `forget` follows once it is recorded."""
        ctx = self.ctx
        cause = item.cause
        job = ctx.view.jobs[job_id]
        tag = f"exit{entry.index}.{entry.attempt}"
        begun = None
        if cause == "done":
            kind = "finish"
            begun = m.running.pop((job_id, entry.index, entry.attempt), None)
            m.failures.clear()
        elif cause in ("error", "unknown"):
            kind = "failed"
            if cause == "error":
                self._suspect(m, job_id, job)
        else:
            kind = "gone"
        if self._step(job_id, kind, entry, tag, machine=m.id):
            if begun is not None:
                ctx.finished.append((job.spec.lane, ctx.now - begun))
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

    def _step(
        self, job_id: JobId, kind: str, entry: Entry, tag: str, *, machine: str = "",
        rank: int = SOON,
    ) -> bool:  # fmt: skip
        """Have one task's step written; False if it is under way already."""
        task = jobs.Task(entry.index, entry.attempt, machine=machine)
        return self._write(job_id, jobs.Step(kind, (task,), self.ctx.me, self.ctx.wall), tag, rank)

    def _write(
        self,
        job_id: JobId,
        step: jobs.Step,
        tag: str,
        rank: int = SOON,
        done: Callable[[bool, str], None] | None = None,
    ) -> bool:
        edit = Edit(
            job_key(job_id),
            step.change(),
            rank=rank,
            fence=self.ctx.view.token,
            tag=tag,
            done=done,
        )
        return self.forward(job_id, step, edit)

    # The part

    def tick(self) -> None:
        """What changed at once; the whole part twice a second."""
        ctx = self.ctx
        moved, ctx.view.moved = ctx.view.moved, {}
        cancellations.prune(ctx)
        if not ctx.active():
            return
        for machine in moved:
            m = ctx.machines.get(machine)
            if m is not None and not m.lost:
                self._stop_now(m)
        if ctx.now - self.swept_at >= SWEEP_S or self.swept_token != ctx.view.token:
            self.swept_at, self.swept_token = ctx.now, ctx.view.token
            self._sweep()
        self.place()

    def _sweep(self) -> None:
        """Which of our machines are silent."""
        ctx = self.ctx
        lease = ctx.settings.params.workers.lease_s * DRIFT + 0.5
        alive = ctx.alive_within()
        for m in list(ctx.machines.values()):
            if not ctx.owns(m.id, m.zone):
                del ctx.machines[m.id]
                continue
            # Counted from the roster's change: an owner that was cut off and comes
            # back has not heard what its stand-in heard, and must not give it up.
            quiet = ctx.now - max(m.heard, m.answered, ctx.token_since)
            if quiet > lease and not m.lost:
                m.lost = True
                log.info("machine %s: silent for %.1f s", m.id, quiet)
            if m.lost:
                self._expire(m)
            # Written once as a chained comparison, which turned the mark over at every look:
            # half of the machines that had fallen silent for a moment stayed marked for good,
            # took no tasks from the leader, and were never returned.
            m.quiet = ctx.now - m.heard > alive
            if quiet > FORGET_S and not ctx.view.on_machine(m.id):
                self.depart(m.id)

    def stop_handed(self) -> None:
        """Stop what a sibling says is cancelled, also while we may decide nothing else.

        A worker that does not report to us now gets the word all the same; one that has
        seen a higher token than ours ignores it.
        """
        ctx = self.ctx
        names, ctx.handed_now = ctx.handed_now, []
        machines = {
            e.machine: None
            for name in names
            if (job := ctx.view.jobs.get(name)) is not None
            for e in job.entries
        }
        for machine in machines:
            if (m := ctx.machines.get(machine)) is not None:
                self._stop_now(m)

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
            off = cancellations.is_off(ctx, job_id)
            if (
                (off or entry.stage == STOPPING)
                and entry.session == m.session
                and listed is not None
                and listed.attempt == entry.attempt
                and listed.state not in ("exited", "flushing")
                and key not in m.stops_sent
            ):
                m.stops_sent.add(key)
                grace = 0.0 if off else self._grace(job)
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
                self._gone(job_id, entry, m)

    def place(self) -> None:
        """Find machines in our part for the tasks dealt to us."""
        ctx = self.ctx
        dealt = ctx.view.dealt.get(ctx.me)
        if not dealt:
            self.dealt_since.clear()
            return
        for key in [k for k in self.dealt_since if k not in dealt]:
            del self.dealt_since[key]
        mine = [
            (name, job, e)
            for (name, _), e in dealt.items()
            if (name, e.index) not in ctx.pending and (job := ctx.view.jobs[name]).status == LIVE
        ]
        if not mine:
            return
        rooms: list[Room] | None = None
        refused = Refused()
        extra = self._under_way()
        found: dict[JobId, list[jobs.Task]] = {}
        for name, job, entry in mine:
            # The hint's own share is what we look for: its room counts as taken for us.
            room = ctx.room(entry.machine)
            if room is not None and self._fits(room, entry, extra.get(room.id, ())):
                found.setdefault(name, []).append(
                    jobs.Task(entry.index, 0, room.zone, room.id, room.session)
                )
                continue
            if rooms is None:
                rooms = ctx.rooms(mine_only=True)
            room = None
            if not refused.covers(job.spec, entry.zone):
                room = Picker(job.spec, rooms, zone=entry.zone, market=ctx.market()).take()
                if room is None:
                    refused.add(job.spec, entry.zone)
            if room is not None:
                extra.setdefault(room.id, []).append(job.spec)
                found.setdefault(name, []).append(
                    jobs.Task(entry.index, 0, room.zone, room.id, room.session)
                )
                continue
            since = self.dealt_since.setdefault((name, entry.index), ctx.now)
            if ctx.now - since > 3.0:
                self._step(name, "undeal", entry, f"undeal{entry.index}", rank=LATER)
        for name, tasks in found.items():
            self.propose_place(name, ctx.view.jobs[name], tasks)

    def _under_way(self) -> dict[str, list[Job]]:
        """What is about to be placed where the records do not show it yet, by machine."""
        ctx = self.ctx
        found: dict[str, list[Job]] = {}
        for (name, index), (machine, spec) in ctx.pending.items():
            entry = ctx.view.entry(JobId(name), index)
            if entry is None or entry.machine != machine:
                found.setdefault(machine, []).append(spec)
        return found

    @staticmethod
    def _fits(room: Room, entry: Entry, extra: Iterable[Job]) -> bool:
        """Does the hint, whose room counts the task already, still hold?"""
        for spec in extra:
            room.take(spec)
        return (
            not (room.lent or room.draining)
            and (not entry.zone or entry.zone == room.zone)
            and min(room.cpus, room.gpus, room.memory) >= -SLACK
        )

    def propose_place(self, name: JobId, job: JobRecord, tasks: list[jobs.Task]) -> None:
        """Write a job's new places, all at once; until then they count as taken."""
        ctx = self.ctx
        for task in tasks:
            ctx.pending[(name, task.number)] = (task.machine, job.spec)

        def settled(ok: bool, why: str) -> None:
            for task in tasks:
                ctx.pending.pop((name, task.number), None)
            where = ",".join(f"{t.number}:{t.machine}" for t in tasks)
            if ok:
                log.info("place %s on %s", name, where)
            else:
                log.debug("place %s on %s: %s", name, where, why)

        step = jobs.Step("place", tuple(tasks), ctx.me)
        self._write(name, step, "", SOON, settled)
