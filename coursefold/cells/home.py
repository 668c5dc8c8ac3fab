"""The home cell's part of a handover: offers, grants and the return of jobs.

Each step is committed before it is announced to the guest cell, so that every later leader of
this cell knows at least as much as any guest cell was told. A granted job returns on one of two
proofs: the guest cell reports that exactly this reservation has ended, or every grant that the
guest cell can have received has expired, and so has the time for which its workers may keep
tasks running after that.
"""

import logging
from collections import Counter
from typing import NamedTuple

from coursefold.cells import edits
from coursefold.cells.config import SKEWED_CLOCK_COUNT, CellsConfig, max_grant_s
from coursefold.cells.decisions import DecisionLog, HandoverStep
from coursefold.cells.directory import CellDirectory, RemoteCell
from coursefold.cells.estimate import PoolEstimator
from coursefold.cells.messages import Frame, GuestState, Handle, Offer
from coursefold.cells.policy import SpillCandidate, SpillChoice, SpillTarget, choose_moves
from coursefold.cells.port import CorePort, WaitingJob
from coursefold.cells.waits import WaitTracker
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.settings import CLOCK_DRIFT_FACTOR
from coursefold.storage import records
from coursefold.storage.cell_records import CellLink, Delegation, DelegationStage, GuestStage
from coursefold.storage.edits import LOW_PRIORITY
from coursefold.storage.records import JobRecord

log = logging.getLogger(__name__)

CHOOSE_INTERVAL_S = 1.0
PROGRESS_INTERVAL_S = 0.5  # between two commits of progress, each of one job
OFFER_TIMEOUT_S = 6.0  # an unanswered offer is then returned, as nothing was granted
RENEW_BELOW_RATIO = 0.7  # a grant is renewed when less than this share of its duration is left
MIN_GRANT_RATIO = 0.4  # share of a grant's duration that must be left to grant a job under it
START_CHECK_DELAY_S = 15.0  # before a granted job that does not run is checked
EXPIRY_MARGIN_S = 5.0  # a worker may execute a response 4 s after it was given
MAX_DONE_RANGES = 500  # a job with more is not offered, since its ranges would fill the frames


class SeenGrant(NamedTuple):
    """The recorded end of the grants to a cell, and when this process first saw that record."""

    granted_until: float  # time of day
    seen_at: MonotonicTime


class HomeSide:
    """Manages this cell's jobs that are delegated to other cells.

    Attributes:
        seen_grants: Last recorded grant, by guest cell.
        chosen_at: Time of the last round of offers.
        progress_at: Time of the last commit of progress.
        counts: Numbers of events since the start of this process, shown on /healthz.
    """

    def __init__(
        self,
        config: CellsConfig,
        port: CorePort,
        directory: CellDirectory,
        waits: WaitTracker,
        decisions: DecisionLog,
    ) -> None:
        self.config, self.port, self.directory = config, port, directory
        self.waits, self.decisions = waits, decisions
        self.ctx, self.view = port.ctx, port.view
        self.seen_grants: dict[str, SeenGrant] = {}
        self.chosen_at = MonotonicTime(-1e9)
        self.progress_at = MonotonicTime(-1e9)
        self.counts: Counter[str] = Counter()

    def observe_grants(self) -> None:
        """Record when grants are first seen; runs on every controller, since any may lead next."""
        for cell, link in self.view.cell_links.items():
            known = self.seen_grants.get(cell)
            if known is None or known.granted_until != link.granted_until:
                self.seen_grants[cell] = SeenGrant(link.granted_until, self.ctx.now)

    def tick(self) -> None:
        """Run one round on the leader."""
        for name, job in list(self.view.delegated_jobs.items()):
            delegation = job.delegation
            if delegation is not None:
                self._follow_delegation(
                    name, job, delegation, Handle(name, delegation.epoch, delegation.reservation)
                )
        for cell in self.directory.cells.values():
            self._renew_grant(cell)
        if self.ctx.now - self.chosen_at >= CHOOSE_INTERVAL_S:
            self.chosen_at = self.ctx.now
            self._offer_jobs()

    # Delegated jobs

    def _follow_delegation(
        self, name: JobId, job: JobRecord, delegation: Delegation, handle: Handle
    ) -> None:
        """Take the next step that the guest cell's newest frame or the time calls for."""
        if delegation.stage == DelegationStage.OFFERED:
            self._follow_offer(name, delegation, handle)
            return
        guest_state = self._find_guest_state(delegation, handle)
        if guest_state is not None and guest_state.stage == GuestStage.FINISHED:
            if self.port.change_job(
                name, edits.finish_job(delegation.guest_cell, handle), f"cell{delegation.epoch}"
            ):
                self.counts["finished"] += 1
                self.decisions.record(HandoverStep.FINISH, delegation.guest_cell, handle)
        elif guest_state is not None and guest_state.stage == GuestStage.RELEASED:
            self._return_job(name, delegation, handle, self._return_reason(delegation), guest_state)
        elif self._has_grant_expired(delegation.guest_cell):
            log.info("grants to %s: %s", delegation.guest_cell, self._describe_grant(delegation))
            self._return_job(
                name, delegation, handle, "the cell was not heard until its grant was over"
            )
            self.counts["lost"] += 1
        elif (
            guest_state is not None
            and guest_state.running_count
            and delegation.stage == DelegationStage.GRANTED
        ):
            change = edits.mark_running(delegation.guest_cell, handle, self.ctx.wall_time)
            self.port.change_job(name, change, f"cell{delegation.epoch}")
        elif guest_state is not None and guest_state.done_ranges and job.status == records.LIVE:
            self._note_progress(name, job, delegation, guest_state)
        elif delegation.stage == DelegationStage.GRANTED and job.status == records.LIVE:
            self._withdraw_if_stuck(name, job, delegation, handle)

    def _note_progress(
        self, name: JobId, job: JobRecord, delegation: Delegation, guest_state: GuestState
    ) -> None:
        """Commit done tasks, one job at a time, while the write queue has a spare rate."""
        if (
            self.ctx.now - self.progress_at < PROGRESS_INTERVAL_S
            or not self.port.has_spare_write_rate()
        ):
            return
        if edits.merge_ranges(job.done_ranges, guest_state.done_ranges) == job.done_ranges:
            return
        self.progress_at = self.ctx.now
        change = edits.note_progress(
            delegation.guest_cell, guest_state.handle, guest_state.done_ranges
        )
        self.port.change_job(name, change, f"cell{delegation.epoch}", LOW_PRIORITY)

    @staticmethod
    def _return_reason(delegation: Delegation) -> str:
        """Return why a released job returns."""
        if delegation.stage == DelegationStage.WITHDRAWN:
            return delegation.why
        return "the cell has released it"

    def _find_guest_state(self, delegation: Delegation, handle: Handle) -> GuestState | None:
        """Return what the guest cell's newest frame says of the job, if anything."""
        cell = self.directory.cells.get(delegation.guest_cell)
        frame = cell.frame if cell else None
        if frame is None:
            return None
        return next((state for state in frame.guests if state.handle == handle), None)

    def _follow_offer(self, name: JobId, delegation: Delegation, handle: Handle) -> None:
        """Grant a reserved offer; return one that was refused or timed out."""
        cell = self.directory.cells.get(delegation.guest_cell)
        frame = cell.frame if cell else None
        if cell is not None and frame is not None:
            for state in frame.guests:
                if state.handle[:2] == handle[:2] and state.stage == GuestStage.RESERVED:
                    self._grant_job(cell, name, state.handle)
                    return
            for refusal in frame.refusals:
                if refusal.handle[:2] == handle[:2]:
                    self._return_job(name, delegation, handle, f"refused: {refusal.reason}")
                    self.counts["refused"] += 1
                    return
        if self.ctx.wall_time - delegation.stage_started_at > OFFER_TIMEOUT_S:
            self._return_job(name, delegation, handle, "no answer")
            self.counts["unanswered"] += 1

    def _grant_job(self, cell: RemoteCell, name: JobId, handle: Handle) -> None:
        """Grant the job if enough is left of the grant to its guest cell."""
        link = self.view.cell_links.get(cell.name, CellLink())
        remaining_s = link.granted_until - self.ctx.wall_time
        if (
            not self.directory.is_reachable(cell.name)
            or remaining_s < MIN_GRANT_RATIO * link.granted_s
        ):
            return  # until the grant is renewed; without renewal the offer times out
        if remaining_s <= 0:
            return
        change = edits.grant_job(cell.name, handle, self.ctx.wall_time)
        if self.port.change_job(name, change, f"cell{handle.epoch}"):
            self.counts["granted"] += 1
            self.decisions.record(HandoverStep.GRANT, cell.name, handle)

    def _return_job(
        self,
        name: JobId,
        delegation: Delegation,
        handle: Handle,
        reason: str,
        guest_state: GuestState | None = None,
    ) -> None:
        change = edits.return_job(
            delegation.guest_cell, handle, self.ctx.wall_time, reason, guest_state
        )
        if self.port.change_job(name, change, f"cell{delegation.epoch}"):
            self.counts["returned"] += 1
            self.decisions.record(HandoverStep.TAKE_BACK, delegation.guest_cell, handle, reason)

    def _withdraw_if_stuck(
        self, name: JobId, job: JobRecord, delegation: Delegation, handle: Handle
    ) -> None:
        """Withdraw a granted job that does not start, as it may start sooner in its home cell."""
        granted_s = self.ctx.wall_time - delegation.stage_started_at
        limits = self.config.spill
        if granted_s > limits.start_s:
            reason = f"nothing of it ran there in {limits.start_s:.0f} s"
        elif (
            granted_s > START_CHECK_DELAY_S
            and self._expected_guest_wait_s(job, delegation) > limits.start_s
        ):
            reason = "its room there is gone"
        else:
            return
        change = edits.withdraw_job(delegation.guest_cell, handle, self.ctx.wall_time, reason)
        if self.port.change_job(name, change, f"cell{delegation.epoch}"):
            self.decisions.record(HandoverStep.WITHDRAW, delegation.guest_cell, handle, reason)

    def _expected_guest_wait_s(self, job: JobRecord, delegation: Delegation) -> float:
        """Return the expected wait of one task of a job that is queued in the guest cell.

        It is 0 if the cell is not reachable.
        """
        cell = self.directory.cells.get(delegation.guest_cell)
        if cell is None or not self.directory.is_reachable(delegation.guest_cell):
            return 0.0
        expected = PoolEstimator(cell.pools).find_shortest_wait(job.spec, 1)
        return expected.wait_s if expected else 0.0

    # Grants

    def _has_grant_expired(self, cell: str) -> bool:
        """Return whether all grants to the cell have expired and tasks under them have ended.

        Both clocks must agree: the time of day, and the monotonic clock, counted from when this
        process first saw the last grant's record. So setting the time of day forwards does not
        return a job early. A job is granted only under a recorded grant, so without a readable
        record the end of the grant is unknown.
        """
        link = self.view.cell_links.get(cell)
        seen = self.seen_grants.get(cell)
        if self.port.has_unreadable_link(cell) or link is None or seen is None:
            return False
        if not link.granted_until:
            return False
        skew_s = SKEWED_CLOCK_COUNT * self.ctx.settings.params.skew_ms / 1000.0
        margin_s = skew_s + EXPIRY_MARGIN_S
        if self.ctx.wall_time < link.granted_until + link.granted_lease_s + margin_s:
            return False
        span_s = (link.granted_s + link.granted_lease_s) * CLOCK_DRIFT_FACTOR + margin_s
        return self.ctx.now - seen.seen_at > span_s

    def _describe_grant(self, delegation: Delegation) -> str:
        """Return what this process knows of the last grant to a delegation's cell, for the log."""
        link = self.view.cell_links.get(delegation.guest_cell)
        seen = self.seen_grants.get(delegation.guest_cell)
        if link is None or seen is None:
            return f"none is known (job {delegation.stage.name.lower()})"
        ended_s = self.ctx.wall_time - link.granted_until
        return f"ended {ended_s:.1f} s ago, first seen {self.ctx.now - seen.seen_at:.1f} s ago"

    def _renew_grant(self, cell: RemoteCell) -> None:
        """Extend the grant to a cell that has jobs of this cell.

        It is not extended before the cell has acknowledged the last extension. Otherwise a cell
        whose frames arrive here, but which receives none, would keep its guests forever.
        """
        frame = cell.frame
        link = self.view.cell_links.get(cell.name, CellLink())
        if frame is None or not self.directory.is_reachable(cell.name):
            return
        stages = [
            job.delegation.stage
            for job in self._jobs_delegated_to(cell.name).values()
            if job.delegation
        ]
        if not stages:
            return
        is_held = any(stage != DelegationStage.OFFERED for stage in stages)
        if is_held and frame.held_until < link.granted_until:
            return
        span_s = self._grant_span_s(frame)
        # The grant counts from the time up to which the records here show every cancellation,
        # so that any cancellation that they lack was confirmed after the grant began.
        current_at = self.ctx.wall_time - max(0.0, self.ctx.now - self.ctx.watch_ok_at)
        if span_s <= 0 or link.granted_until - current_at > RENEW_BELOW_RATIO * span_s:
            return
        change = edits.extend_grant(current_at + span_s, span_s, frame.lease_s)
        self.port.change_link(cell.name, change, "granted")

    def _grant_span_s(self, frame: Frame) -> float:
        """Return the longest grant, in seconds, that keeps the bound on cancellations there."""
        return min(self.config.grant_s, max_grant_s(self.ctx.settings, frame.lease_s))

    def _jobs_delegated_to(self, cell: str) -> dict[JobId, JobRecord]:
        """Return the jobs of this cell that are delegated to the other one."""
        delegated = self.view.delegated_jobs.items()
        return {
            name: job
            for name, job in delegated
            if job.delegation and job.delegation.guest_cell == cell
        }

    # Offers

    def _offer_jobs(self) -> None:
        """Record expected waits, and offer the jobs that would start sooner elsewhere."""
        queue = self.port.read_queue()
        for waiting_job in queue.waiting_jobs:
            if waiting_job.job.guest is None:
                self.waits.record_estimate(
                    waiting_job.name, self.ctx.wall_time, waiting_job.expected_wait_s
                )
        targets = self._find_targets()
        if not targets:
            return
        candidates = self._find_candidates(queue.waiting_jobs, queue.pools)
        for choice in choose_moves(candidates, targets, self.config.spill, self.port.eta()):
            self._offer_job(choice)

    def _find_targets(self) -> dict[str, SpillTarget]:
        """Return the cells that may be offered jobs now, by name."""
        limits = self.config.spill
        found: dict[str, SpillTarget] = {}
        if limits.draining or self._has_guests():
            return found
        for cell in self.directory.cells.values():
            frame = cell.frame
            if frame is None or not self.directory.is_reachable(cell.name) or frame.draining:
                continue
            stages = [
                job.delegation.stage
                for job in self._jobs_delegated_to(cell.name).values()
                if job.delegation
            ]
            open_offer_count = sum(stage == DelegationStage.OFFERED for stage in stages)
            remaining_offers = min(limits.offers - open_offer_count, limits.jobs - len(stages))
            if remaining_offers > 0 and self._grant_span_s(frame) > 0:
                pools = PoolEstimator(cell.pools)
                found[cell.name] = SpillTarget(pools, remaining_offers)
                cell.pools = pools.states  # offers made now count as load until the next frame
        return found

    def _has_guests(self) -> bool:
        """Return whether other cells' jobs hold capacity here.

        Local jobs take precedence over guests, and so need no other cell. Otherwise two full
        cells would exchange their jobs, and a gang of two would wait behind the other cell's
        own jobs for longer than in its home cell.
        """
        stages = (job.guest.stage for job in self.view.guest_jobs.values() if job.guest)
        return any(stage in (GuestStage.RESERVED, GuestStage.GRANTED) for stage in stages)

    def _find_candidates(
        self, waiting: list[WaitingJob], pools: PoolEstimator
    ) -> list[SpillCandidate]:
        """Return jobs that may move: no task is placed, and their team's limit permits them."""
        quota = self.port.new_quota_tracker()
        placed = self.port.list_jobs_being_placed()
        found: list[SpillCandidate] = []
        for waiting_job in waiting:
            spec = waiting_job.job.spec
            if (
                waiting_job.name in placed
                or not self._may_move(waiting_job)
                or not quota.fits_limit(spec, waiting_job.task_count)
            ):
                continue
            quota.add_usage(spec, waiting_job.task_count)
            best = pools.find_shortest_wait(spec, 1)
            price_per_slot_s = pools.states[best.pool_index].price_per_slot_s if best else 0.0
            deadline_in_s = None
            if spec.deadline_s is not None:
                deadline_in_s = waiting_job.job.accepted_at + spec.deadline_s - self.ctx.wall_time
            home_wait_s = waiting_job.expected_wait_s * self.waits.correction_factor
            run_s, excluded_cell = (
                self.port.mean_run_s(spec),
                self._recently_left_cell(waiting_job.job),
            )
            found.append(
                SpillCandidate(
                    waiting_job.name,
                    spec,
                    waiting_job.task_count,
                    home_wait_s,
                    run_s,
                    price_per_slot_s,
                    deadline_in_s,
                    excluded_cell,
                )
            )
        return found

    def _may_move(self, waiting_job: WaitingJob) -> bool:
        """Return whether the job's own state permits offering it."""
        job = waiting_job.job
        if job.guest is not None or job.entries or job.spec.kind == "standing":
            return False
        if waiting_job.age_s < self.config.spill.after_s or len(job.done_ranges) > MAX_DONE_RANGES:
            return False
        return waiting_job.name in self.view.waiting_jobs and not self.port.has_pending_change(
            waiting_job.name
        )

    def _recently_left_cell(self, job: JobRecord) -> str:
        """Return the cell that the job returned from within `return_pause_s`, if any, or ""."""
        delegation = job.delegation
        if (
            delegation is None
            or self.ctx.wall_time - delegation.stage_started_at >= self.config.spill.return_pause_s
        ):
            return ""
        return delegation.guest_cell

    def _offer_job(self, choice: SpillChoice) -> None:
        """Commit an offer under the job's next epoch."""
        job = self.view.jobs[choice.name]
        epoch = (job.delegation.epoch if job.delegation else 0) + 1
        delegation = Delegation(
            choice.cell, epoch, DelegationStage.OFFERED, self.ctx.wall_time,
            expected_home_s=round(choice.home_wait_s, 1),
            expected_guest_s=round(choice.remote_wait_s, 1),
            why=choice.reason,
        )  # fmt: skip
        change = edits.offer_job(delegation, self.view.eligible_at(choice.name, job))
        if self.port.offer_job(choice.name, change, f"cell{epoch}"):
            self.counts["offered"] += 1
            waits = (
                f"expected wait here {choice.home_wait_s:.0f} s, there {choice.remote_wait_s:.0f} s"
            )
            handle = Handle(choice.name, epoch)
            self.decisions.record(
                HandoverStep.OFFER, choice.cell, handle, f"{choice.reason} ({waits})"
            )

    # Frames

    def add_home_part(self, frame: Frame, cell: RemoteCell) -> Frame:
        """Return the frame with the fields that this cell sends as home of its jobs in `cell`."""
        offers: list[Offer] = []
        grants: list[Handle] = []
        revoked: list[Handle] = []
        for name, job in self._jobs_delegated_to(cell.name).items():
            delegation = job.delegation
            if delegation is None:
                continue
            handle = Handle(name, delegation.epoch, delegation.reservation)
            if delegation.stage == DelegationStage.OFFERED:
                offers.append(
                    Offer(
                        handle,
                        job.spec,
                        job.accepted_at,
                        job.attempt,
                        job.done_ranges,
                        delegation.expected_home_s,
                    )
                )
            elif delegation.stage == DelegationStage.WITHDRAWN or job.status != records.LIVE:
                revoked.append(handle)
            else:
                grants.append(handle)
        link = self.view.cell_links.get(cell.name, CellLink())
        return frame._replace(
            granted_until=link.granted_until,
            grant_s=link.granted_s,
            offers=tuple(offers),
            grants=tuple(grants),
            revoked=tuple(revoked),
            closed=self._closed_handles(cell),
        )

    def _closed_handles(self, cell: RemoteCell) -> tuple[Handle, ...]:
        """Return the guests in the cell's frame that are not, or no longer, delegated to it.

        This is final, since an epoch or a reservation that has ended is never used again.
        """
        if cell.frame is None:
            return ()
        return tuple(
            state.handle
            for state in cell.frame.guests
            if not self._is_current(cell.name, state.handle)
            and not self.port.has_unreadable_record(state.handle.job)
        )

    def _is_current(self, cell: str, handle: Handle) -> bool:
        """Return whether the job is delegated to the cell under this handle."""
        job = self.view.delegated_jobs.get(handle.job)
        delegation = job.delegation if job else None
        if delegation is None or (delegation.guest_cell, delegation.epoch) != (cell, handle.epoch):
            return False
        return (
            delegation.stage == DelegationStage.OFFERED
            or delegation.reservation == handle.reservation
        )
