"""The home cell's side: what it offers, grants, and takes back.

Each step is written before the guest cell is told, so that every later leader of this cell
knows at least as much as any guest was told. A job that was granted comes back on one of two
proofs: the guest cell's word on exactly this reservation, or the end of every grant that it
can have been told, and of what its tasks may go on for after that.
"""

from collections import Counter
from typing import NamedTuple

from coursefold.cells import edits
from coursefold.cells.config import SKEW_CLOCKS, CellsConfig, longest_grant
from coursefold.cells.decisions import DecisionLog, Step
from coursefold.cells.directory import Directory, OtherCell
from coursefold.cells.estimate import Pools
from coursefold.cells.messages import Frame, GuestState, Handle, Offer
from coursefold.cells.policy import Candidate, Choice, Target, choose
from coursefold.cells.port import CorePort, WaitingJob
from coursefold.cells.waits import WaitLog
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.settings import CLOCK_DRIFT_FACTOR
from coursefold.storage import records
from coursefold.storage.cell_records import CellLink, Delegation, DelegationStage, GuestStage
from coursefold.storage.edits import LOW_PRIORITY
from coursefold.storage.records import JobRecord

CHOOSE_EVERY_S = 1.0
PROGRESS_EVERY_S = 0.5  # one job's, a change each
OFFER_S = 6.0  # without an answer: the job comes back, for nothing was granted
RENEW_AT = 0.7  # of its span: what is left of a grant when it is renewed
GRANT_AT = 0.4  # and what must be left of one when a job is granted under it
FIRST_LOOK_S = 15.0  # a granted job is left alone for so long
PROOF_MARGIN_S = 5.0  # an answer may be executed 4 s after it was given
DONE_RANGES = 500  # a job with more is not offered: they would fill the frames


class SeenGrant(NamedTuple):
    """The end of the grants to a cell as recorded, and when this process first saw it."""

    until: float
    at: MonotonicTime


class HomeSide:
    """Our jobs in other cells."""

    def __init__(
        self,
        config: CellsConfig,
        port: CorePort,
        directory: Directory,
        waits: WaitLog,
        decisions: DecisionLog,
    ) -> None:
        self.config, self.port, self.directory = config, port, directory
        self.waits, self.decisions = waits, decisions
        self.ctx, self.view = port.ctx, port.view
        self.seen: dict[str, SeenGrant] = {}
        self.chosen_at = MonotonicTime(-1e9)
        self.progress_at = MonotonicTime(-1e9)
        self.counts: Counter[str] = Counter()

    def observe(self) -> None:
        """Note the grants that the records show; on every controller, for it may lead next."""
        for cell, link in self.view.cell_links.items():
            known = self.seen.get(cell)
            if known is None or known.until != link.granted_until:
                self.seen[cell] = SeenGrant(link.granted_until, self.ctx.now)

    def tick(self) -> None:
        """One round of the leader."""
        for name, job in list(self.view.delegated_jobs.items()):
            away = job.delegation
            if away is not None:
                self._follow(name, job, away, Handle(name, away.epoch, away.reservation))
        for cell in self.directory.cells.values():
            self._renew(cell)
        if self.ctx.now - self.chosen_at >= CHOOSE_EVERY_S:
            self.chosen_at = self.ctx.now
            self._offer_more()

    # Jobs that are away

    def _follow(self, name: JobId, job: JobRecord, away: Delegation, handle: Handle) -> None:
        if away.stage == DelegationStage.OFFERED:
            self._follow_offer(name, away, handle)
            return
        told = self._told(away, handle)
        if told is not None and told.stage == GuestStage.FINISHED:
            if self.port.change_job(
                name, edits.finish(away.guest_cell, handle), f"cell{away.epoch}"
            ):
                self.counts["finished"] += 1
                self.decisions.note(Step.FINISH, away.guest_cell, handle)
        elif told is not None and told.stage == GuestStage.RELEASED:
            self._take_back(name, away, handle, self._why_back(away), told)
        elif self._is_proven_gone(away.guest_cell):
            self._take_back(name, away, handle, "the cell was not heard until its grant was over")
            self.counts["lost"] += 1
        elif told is not None and told.running and away.stage == DelegationStage.GRANTED:
            change = edits.mark_running(away.guest_cell, handle, self.ctx.wall_time)
            self.port.change_job(name, change, f"cell{away.epoch}")
        elif told is not None and told.done and job.status == records.LIVE:
            self._note_progress(name, job, away, told)
        elif away.stage == DelegationStage.GRANTED and job.status == records.LIVE:
            self._withdraw_if_stuck(name, job, away, handle)

    def _note_progress(
        self, name: JobId, job: JobRecord, away: Delegation, told: GuestState
    ) -> None:
        """Write what is done there, one job at a time, when nothing else waits to be written."""
        if self.ctx.now - self.progress_at < PROGRESS_EVERY_S or not self.port.is_idle():
            return
        if edits.merged(job.done_ranges, told.done) == job.done_ranges:
            return
        self.progress_at = self.ctx.now
        change = edits.note_progress(away.guest_cell, told.handle, told.done)
        self.port.change_job(name, change, f"cell{away.epoch}", LOW_PRIORITY)

    @staticmethod
    def _why_back(away: Delegation) -> str:
        if away.stage == DelegationStage.WITHDRAWN:
            return away.why
        return "the cell has released it"

    def _told(self, away: Delegation, handle: Handle) -> GuestState | None:
        cell = self.directory.cells.get(away.guest_cell)
        frame = cell.frame if cell else None
        if frame is None:
            return None
        return next((state for state in frame.guests if state.handle == handle), None)

    def _follow_offer(self, name: JobId, away: Delegation, handle: Handle) -> None:
        cell = self.directory.cells.get(away.guest_cell)
        frame = cell.frame if cell else None
        if cell is not None and frame is not None:
            for state in frame.guests:
                if state.handle[:2] == handle[:2] and state.stage == GuestStage.RESERVED:
                    self._grant(cell, name, state.handle)
                    return
            for refusal in frame.refusals:
                if refusal.handle[:2] == handle[:2]:
                    self._take_back(name, away, handle, f"refused: {refusal.why}")
                    self.counts["refused"] += 1
                    return
        if self.ctx.wall_time - away.stage_started_at > OFFER_S:
            self._take_back(name, away, handle, "no answer")
            self.counts["unanswered"] += 1

    def _grant(self, cell: OtherCell, name: JobId, handle: Handle) -> None:
        link = self.view.cell_links.get(cell.name, CellLink())
        left = link.granted_until - self.ctx.wall_time
        if not self.directory.is_reachable(cell.name) or left < GRANT_AT * link.granted_s:
            return  # the grant is renewed first; or the offer runs out
        if left <= 0:
            return
        change = edits.grant(cell.name, handle, self.ctx.wall_time)
        if self.port.change_job(name, change, f"cell{handle.epoch}"):
            self.counts["granted"] += 1
            self.decisions.note(Step.GRANT, cell.name, handle)

    def _take_back(
        self,
        name: JobId,
        away: Delegation,
        handle: Handle,
        why: str,
        told: GuestState | None = None,
    ) -> None:
        change = edits.take_back(away.guest_cell, handle, self.ctx.wall_time, why, told)
        if self.port.change_job(name, change, f"cell{away.epoch}"):
            self.counts["returned"] += 1
            self.decisions.note(Step.TAKE_BACK, away.guest_cell, handle, why)

    def _withdraw_if_stuck(
        self, name: JobId, job: JobRecord, away: Delegation, handle: Handle
    ) -> None:
        """Room that was promised has not come to be: the job may do better at home."""
        granted_s = self.ctx.wall_time - away.stage_started_at
        limits = self.config.spill
        if granted_s > limits.start_s:
            why = f"nothing of it ran there in {limits.start_s:.0f} s"
        elif granted_s > FIRST_LOOK_S and self._expected_there(job, away) > limits.start_s:
            why = "its room there is gone"
        else:
            return
        change = edits.withdraw(away.guest_cell, handle, self.ctx.wall_time, why)
        if self.port.change_job(name, change, f"cell{away.epoch}"):
            self.decisions.note(Step.WITHDRAW, away.guest_cell, handle, why)

    def _expected_there(self, job: JobRecord, away: Delegation) -> float:
        """The wait that the guest cell's pools tell for a job that is in their queue."""
        cell = self.directory.cells.get(away.guest_cell)
        if cell is None or not self.directory.is_reachable(away.guest_cell):
            return 0.0
        expected = Pools(cell.pools).best(job.spec, 1)
        return expected.wait if expected else 0.0

    # Grants

    def _is_proven_gone(self, cell: str) -> bool:
        """Has every grant that the cell can know of run out, and all that ran under it ended?

        Counted by the time of day, and by the steady clock since this process first saw the
        last grant's record, so that a clock that is set forwards takes nothing back early.
        """
        link = self.view.cell_links.get(cell)
        seen = self.seen.get(cell)
        if link is None or seen is None or not link.granted_until:
            return True  # never was anything granted
        skew = SKEW_CLOCKS * self.ctx.settings.params.skew_ms / 1000.0
        margin = skew + PROOF_MARGIN_S
        if self.ctx.wall_time < link.granted_until + link.granted_lease_s + margin:
            return False
        span = (link.granted_s + link.granted_lease_s) * CLOCK_DRIFT_FACTOR + margin
        return self.ctx.now - seen.at > span

    def _renew(self, cell: OtherCell) -> None:
        """Extend the grant to a cell that hears us and has work of ours.

        Not while it has not acknowledged the last extension: a cell that is heard but does
        not hear would else keep our jobs for ever.
        """
        frame = cell.frame
        link = self.view.cell_links.get(cell.name, CellLink())
        if frame is None or not self.directory.is_reachable(cell.name):
            return
        stages = [
            job.delegation.stage for job in self._jobs_at(cell.name).values() if job.delegation
        ]
        if not stages:
            return
        is_held = any(stage != DelegationStage.OFFERED for stage in stages)
        if is_held and frame.held_until < link.granted_until:
            return
        span = self._span(frame)
        # From the moment up to which our records show every cancellation: what was confirmed
        # after it is younger than the grant.
        base = self.ctx.wall_time - max(0.0, self.ctx.now - self.ctx.watch_ok_at)
        if span <= 0 or link.granted_until - base > RENEW_AT * span:
            return
        change = edits.extend_grant(base + span, span, frame.lease_s)
        self.port.change_link(cell.name, change, "granted")

    def _span(self, frame: Frame) -> float:
        """How long a grant to the cell may be, for cancellations to hold there."""
        return min(self.config.grant_s, longest_grant(self.ctx.settings, frame.lease_s))

    def _jobs_at(self, cell: str) -> dict[JobId, JobRecord]:
        away = self.view.delegated_jobs.items()
        return {
            name: job for name, job in away if job.delegation and job.delegation.guest_cell == cell
        }

    # Offers

    def _offer_more(self) -> None:
        queue = self.port.queue()
        for wait in queue.waiting:
            if wait.job.guest is None:
                self.waits.expect(wait.name, self.ctx.wall_time, wait.expected_s)
        targets = self._targets()
        if not targets:
            return
        candidates = self._candidates(queue.waiting, queue.pools)
        for choice in choose(candidates, targets, self.config.spill, self.port.eta()):
            self._offer(choice)

    def _targets(self) -> dict[str, Target]:
        limits = self.config.spill
        found: dict[str, Target] = {}
        if limits.draining or self._has_guests():
            return found
        for cell in self.directory.cells.values():
            frame = cell.frame
            if frame is None or not self.directory.is_reachable(cell.name) or frame.draining:
                continue
            stages = [
                job.delegation.stage for job in self._jobs_at(cell.name).values() if job.delegation
            ]
            open_offers = sum(stage == DelegationStage.OFFERED for stage in stages)
            room = min(limits.offers - open_offers, limits.jobs - len(stages))
            if room > 0 and self._span(frame) > 0:
                pools = Pools(cell.pools)
                found[cell.name] = Target(pools, room)
                cell.pools = pools.states  # what is offered now counts until the next frame
        return found

    def _has_guests(self) -> bool:
        """Do other cells' jobs take room here? Our own go before them, and need no other cell.

        Seen: two cells that were both full exchanged their jobs, and a gang of two waited
        behind the other's own work for longer than it would have at home.
        """
        stages = (job.guest.stage for job in self.view.guest_jobs.values() if job.guest)
        return any(stage in (GuestStage.RESERVED, GuestStage.GRANTED) for stage in stages)

    def _candidates(self, waiting: list[WaitingJob], pools: Pools) -> list[Candidate]:
        """Jobs that may go: whole, none of their tasks placed, within their team's limit."""
        quota = self.port.quota()
        placed = self.port.about_to_be_placed()
        found: list[Candidate] = []
        for wait in waiting:
            spec = wait.job.spec
            if (
                wait.name in placed
                or not self._may_go(wait)
                or not quota.fits_limit(spec, wait.tasks)
            ):
                continue
            quota.add_usage(spec, wait.tasks)
            best = pools.best(spec, 1)
            price = pools.states[best.pool].price if best else 0.0
            due = None
            if spec.deadline_s is not None:
                due = wait.job.accepted_at + spec.deadline_s - self.ctx.wall_time
            here_s = wait.expected_s * self.waits.factor
            run_s, avoid = self.port.run_s(spec), self._avoid(wait.job)
            found.append(Candidate(wait.name, spec, wait.tasks, here_s, run_s, price, due, avoid))
        return found

    def _may_go(self, wait: WaitingJob) -> bool:
        job = wait.job
        if job.guest is not None or job.entries or job.spec.kind == "standing":
            return False
        if wait.age < self.config.spill.after_s or len(job.done_ranges) > DONE_RANGES:
            return False
        return wait.name in self.view.waiting_jobs and not self.port.is_writing(wait.name)

    def _avoid(self, job: JobRecord) -> str:
        """The cell that the job came back from a moment ago."""
        away = job.delegation
        if (
            away is None
            or self.ctx.wall_time - away.stage_started_at >= self.config.spill.return_pause_s
        ):
            return ""
        return away.guest_cell

    def _offer(self, choice: Choice) -> None:
        job = self.view.jobs[choice.name]
        epoch = (job.delegation.epoch if job.delegation else 0) + 1
        away = Delegation(
            choice.cell, epoch, DelegationStage.OFFERED, self.ctx.wall_time,
            expected_home_s=round(choice.here_s, 1), expected_guest_s=round(choice.there_s, 1),
            why=choice.why,
        )  # fmt: skip
        change = edits.offer(away, self.view.eligible_at(choice.name, job))
        if self.port.change_job(choice.name, change, f"cell{epoch}"):
            self.counts["offered"] += 1
            waits = f"expected wait here {choice.here_s:.0f} s, there {choice.there_s:.0f} s"
            handle = Handle(choice.name, epoch)
            self.decisions.note(Step.OFFER, choice.cell, handle, f"{choice.why} ({waits})")

    # Frames

    def fill(self, frame: Frame, cell: OtherCell) -> Frame:
        """Add what we are to the cell as its guests' home."""
        offers: list[Offer] = []
        grants: list[Handle] = []
        revoked: list[Handle] = []
        for name, job in self._jobs_at(cell.name).items():
            away = job.delegation
            if away is None:
                continue
            handle = Handle(name, away.epoch, away.reservation)
            if away.stage == DelegationStage.OFFERED:
                offers.append(
                    Offer(
                        handle,
                        job.spec,
                        job.accepted_at,
                        job.attempt,
                        job.done_ranges,
                        away.expected_home_s,
                    )
                )
            elif away.stage == DelegationStage.WITHDRAWN or job.status != records.LIVE:
                revoked.append(handle)
            else:
                grants.append(handle)
        link = self.view.cell_links.get(cell.name, CellLink())
        return frame._replace(
            until=link.granted_until,
            grant_s=link.granted_s,
            offers=tuple(offers),
            grants=tuple(grants),
            revoked=tuple(revoked),
            closed=self._closed(cell),
        )

    def _closed(self, cell: OtherCell) -> tuple[Handle, ...]:
        """Guests that the cell names and that are not ours there, or not any more.

        Final: an epoch or a reservation that is over is never used again.
        """
        if cell.frame is None:
            return ()
        return tuple(
            state.handle
            for state in cell.frame.guests
            if not self._is_current(cell.name, state.handle)
            and not self.port.is_unclear(state.handle.job)
        )

    def _is_current(self, cell: str, handle: Handle) -> bool:
        job = self.view.delegated_jobs.get(handle.job)
        away = job.delegation if job else None
        if away is None or (away.guest_cell, away.epoch) != (cell, handle.epoch):
            return False
        return away.stage == DelegationStage.OFFERED or away.reservation == handle.reservation
