"""The guest cell's part of a handover: reserves, runs and releases other cells' jobs.

A reservation's id is never used again, and only a grant that names it starts tasks, so late and
repeated messages have no effect. The end of a grant is recorded only once the records here hold
no guest that its home cell no longer lists. So a cancellation, which the home cell shows by
leaving the job out of a frame, takes effect here before any longer grant does.
"""

from collections import Counter

from coursefold.cells import edits
from coursefold.cells.config import CellsConfig
from coursefold.cells.decisions import DecisionLog, HandoverStep
from coursefold.cells.directory import CellDirectory, RemoteCell
from coursefold.cells.estimate import PoolEstimator
from coursefold.cells.messages import Frame, GuestState, Handle, Offer, PoolState, Refusal
from coursefold.cells.port import CorePort
from coursefold.coordination.demand import slots_of_machine, slots_of_task
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.storage import records
from coursefold.storage.cell_records import CellLink, Guest, GuestStage
from coursefold.storage.edits import Edit
from coursefold.storage.records import JobRecord, job_key

POOLS_REFRESH_INTERVAL_S = 1.0
# A running job with more ranges of done tasks sends none; at its release it sends all of them.
MAX_PROGRESS_RANGES = 50
RESERVATION_TIMEOUT_S = 30.0  # without a frame from the home cell
EDIT_TAG = "guest"
ENDED_STAGES = (GuestStage.RELEASED, GuestStage.FINISHED)


def guest_handle(name: JobId, job: JobRecord) -> Handle:
    """Return the handle of a guest's record."""
    assert job.guest is not None
    return Handle(name, job.guest.epoch, job.guest.reservation)


class GuestSide:
    """Manages other cells' jobs in this cell.

    Attributes:
        reservation_count: Reservations under this fencing token; part of their ids.
        refusals: Refused offers and why, by home cell, for as long as its frames list them.
        answered_frames: Token and sequence of the last frame whose offers were answered, by cell.
        pools: What guests may use of each pool, less the offers accepted since it was computed.
        counts: Numbers of events since the start of this process, shown on /healthz.
    """

    def __init__(
        self, config: CellsConfig, port: CorePort, directory: CellDirectory, decisions: DecisionLog
    ) -> None:
        self.config, self.port, self.directory = config, port, directory
        self.decisions = decisions
        self.ctx, self.view = port.ctx, port.view
        self.reservation_count = 0
        self.refusals: dict[str, dict[Handle, str]] = {}
        self.answered_frames: dict[str, tuple[int, int]] = {}
        self.pools: list[PoolState] = []
        self.pools_read_at = MonotonicTime(-1e9)
        self.counts: Counter[str] = Counter()

    def tick(self) -> None:
        """Run one round on the leader."""
        self._update_pools()
        for name, job in list(self.view.guest_jobs.items()):
            self._check_guest(name, job)
        for cell in self.directory.cells.values():
            frame = cell.frame
            if frame is not None and self.directory.is_reachable(cell.name):
                self._apply_frame(cell.name, frame)

    # Guests

    def _check_guest(self, name: JobId, job: JobRecord) -> None:
        """Revoke or delete the guest where no frame from its home cell is needed for that."""
        guest = job.guest
        if guest is None:
            return
        handle = guest_handle(name, job)
        if guest.home_cell not in self.directory.cells:
            if guest.stage != GuestStage.GRANTED:
                self._delete(guest.home_cell, handle, "its cell is in our file no more")
            elif job.status == records.LIVE:
                self._revoke(guest.home_cell, handle, "its cell is in our file no more")
        elif guest.stage == GuestStage.GRANTED and job.status == records.LIVE:
            self._revoke_if_grant_expired(guest.home_cell, handle)
        elif guest.stage == GuestStage.RESERVED:
            self._delete_if_home_silent(guest, handle)

    def _revoke_if_grant_expired(self, home: str, handle: Handle) -> None:
        """Stop the guest if the grant of its home cell has expired."""
        if self.ctx.grants.has_expired(home, self.ctx.now, self.ctx.wall_time):
            self.counts["lapsed"] += 1
            self._revoke(home, handle, "the grant has ended")

    def _delete_if_home_silent(self, guest: Guest, handle: Handle) -> None:
        """Drop a reservation whose home cell may be gone, to free its capacity.

        A grant that arrives later names a reservation that no longer exists, and has no effect.
        """
        waited_s = self.ctx.wall_time - guest.stage_started_at
        if waited_s > RESERVATION_TIMEOUT_S and not self.directory.is_reachable(guest.home_cell):
            self._delete(guest.home_cell, handle, f"its home was not heard for {waited_s:.0f} s")

    def _apply_frame(self, home: str, frame: Frame) -> None:
        """Update the guests of one home cell to its newest frame, and answer its offers."""
        offered = {offer.handle[:2] for offer in frame.offers}
        granted, revoked, closed = set(frame.grants), set(frame.revoked), set(frame.closed)
        is_settled = True
        for name, job in list(self.view.guest_jobs.items()):
            if job.guest is None or job.guest.home_cell != home:
                continue
            handle = guest_handle(name, job)
            stage = job.guest.stage
            if stage in ENDED_STAGES:
                if handle in closed:
                    self._delete(home, handle, "confirmed by its home")
            elif handle in granted:
                if stage == GuestStage.RESERVED:
                    self._accept_grant(home, handle)
            elif stage == GuestStage.RESERVED:
                if handle[:2] not in offered or handle in revoked or handle in closed:
                    is_settled = False
                    self._delete(home, handle, "never granted")
            elif job.status == records.LIVE:
                is_settled = False
                self._revoke(home, handle, "its home takes it back")
        if is_settled:
            self._record_grant(home, frame)
        self._answer_offers(home, frame)

    def _record_grant(self, home: str, frame: Frame) -> None:
        """Record the end of the grant, before any guest runs under it."""
        link = self.view.cell_links.get(home, CellLink())
        remaining = frame.granted_until - self.ctx.wall_time
        if frame.granted_until > link.held_until and remaining > 0:
            self.port.change_link(
                home, edits.record_held_grant(frame.granted_until, remaining), "held"
            )

    def _accept_grant(self, home: str, handle: Handle) -> None:
        """Permit the guest's tasks to run, unless no valid grant is recorded."""
        if self.ctx.grants.has_expired(home, self.ctx.now, self.ctx.wall_time):
            return  # the end of the new grant must be recorded first
        change = edits.accept_grant(home, handle, self.ctx.wall_time)
        if self.port.change_job(handle.job, change, EDIT_TAG):
            self.counts["granted"] += 1
            self.decisions.record(HandoverStep.RUN, home, handle)

    def _revoke(self, home: str, handle: Handle, reason: str) -> None:
        """Stop the guest's tasks and release it."""
        if self.port.change_job(handle.job, edits.revoke_job(home, handle), EDIT_TAG):
            self.decisions.record(HandoverStep.STOP, home, handle, reason)

    def _delete(self, home: str, handle: Handle, reason: str) -> None:
        """Delete the guest's record."""
        if self.port.change_job(handle.job, edits.delete_guest(home, handle), EDIT_TAG):
            self.decisions.record(HandoverStep.DROP, home, handle, reason)

    # Offers

    def _answer_offers(self, home: str, frame: Frame) -> None:
        """Reserve or refuse each new offer; done once for each frame."""
        frame_id = (frame.fencing_token, frame.sequence)
        if self.answered_frames.get(home) == frame_id:
            return
        self.answered_frames[home] = frame_id
        known = self.refusals.get(home, {})
        refusals = self.refusals[home] = {
            offer.handle: known[offer.handle] for offer in frame.offers if offer.handle in known
        }
        pools = PoolEstimator(self.pools)
        for offer in frame.offers:
            if offer.handle not in refusals and not self._is_here(home, offer.handle):
                reason = self._explain_refusal(home, offer, pools)
                if reason:
                    self._refuse(home, offer.handle, reason)
                else:
                    self._reserve(home, offer)
        self.pools = pools.states

    def _is_here(self, home: str, handle: Handle) -> bool:
        """Return whether a record or change exists for this or an earlier offer of the job."""
        job = self.view.guest_jobs.get(handle.job)
        if job is not None and job.guest is not None and job.guest.home_cell == home:
            return True
        return self.port.has_pending_change(handle.job)

    def _explain_refusal(self, home: str, offer: Offer, pools: PoolEstimator) -> str:
        """Return why the offer is refused; if empty, its load has been added to `pools`."""
        limits = self.config.guests
        if self.config.spill.draining:
            return "the cell takes no guests now"
        if self._count_live_guests() >= limits.jobs:
            return f"{limits.jobs} guests are here already"
        if offer.handle.job in self.view.jobs:
            return "the id is taken here"
        tasks = offer.spec.task_count - sum(high - low + 1 for low, high in offer.done_ranges)
        reason = self.port.explain_team_refusal(offer.spec, tasks)
        if reason:
            return reason
        expected = pools.find_shortest_wait(offer.spec, tasks)
        if expected is None:
            return "no machine type here may run it"
        if expected.wait_s >= offer.expected_wait_s:
            return f"expected wait here {expected.wait_s:.0f} s"
        pools.add_load(expected.pool_index, offer.spec, tasks)
        return ""

    def _count_live_guests(self) -> int:
        """Count the guests that use capacity or may do so later."""
        stages = (job.guest.stage for job in self.view.guest_jobs.values() if job.guest)
        return sum(stage not in ENDED_STAGES for stage in stages)

    def _refuse(self, home: str, handle: Handle, reason: str) -> None:
        """Keep the refusal for the frames to the home cell."""
        self.counts["refused"] += 1
        self.refusals.setdefault(home, {})[handle] = reason
        self.decisions.record(HandoverStep.REFUSE, home, handle, reason)

    def _reserve(self, home: str, offer: Offer) -> None:
        """Commit a reservation; the offer is refused if that fails."""
        self.reservation_count += 1
        reservation = f"{self.view.fencing_token}-{self.reservation_count}"
        handle = offer.handle

        def settled(ok: bool, reason: str) -> None:
            if ok:
                self.counts["reserved"] += 1
                self.decisions.record(
                    HandoverStep.RESERVE, home, handle._replace(reservation=reservation)
                )
            else:
                self._refuse(home, handle, reason)

        change = edits.reserve_job(home, offer, reservation, self.ctx.wall_time)
        self.port.propose(
            Edit(
                job_key(handle.job),
                change,
                fencing_token=self.view.fencing_token,
                tag=EDIT_TAG,
                on_settled=settled,
            )
        )

    # Frames

    def _update_pools(self) -> None:
        """Compute what guests may still use of each pool, once in POOLS_REFRESH_INTERVAL_S.

        That is the configured share of the pool, behind the jobs waiting in this cell.
        """
        if self.ctx.now - self.pools_read_at < POOLS_REFRESH_INTERVAL_S:
            return
        self.pools_read_at = self.ctx.now
        queue = self.port.read_queue()
        pools = queue.pools
        shares = [self.config.guests.share * size for size in queue.pool_slots]
        for job in self.view.guest_jobs.values():
            remaining = job.spec.task_count - job.done_count
            expected = pools.find_shortest_wait(job.spec, remaining)
            if expected is None or remaining <= 0:
                continue
            shares[expected.pool_index] -= remaining * slots_of_task(
                job.spec, pools.states[expected.pool_index].type_info
            )
            if job.guest is not None and job.guest.stage == GuestStage.RESERVED:
                pools.add_load(expected.pool_index, job.spec, remaining)
        self.pools = [
            pool._replace(
                free_slots=max(0.0, min(pool.free_slots, share)),
                growth_slots=min(
                    pool.growth_slots,
                    float(self.config.guests.growth * slots_of_machine(pool.type_info)),
                ),
            )
            for pool, share in zip(pools.states, shares, strict=True)
        ]

    def add_guest_part(self, frame: Frame, cell: RemoteCell) -> Frame:
        """Return the frame with the fields that this cell sends as guest cell of `cell`."""
        link = self.view.cell_links.get(cell.name, CellLink())
        states = [
            self._describe_guest(name, job)
            for name, job in self.view.guest_jobs.items()
            if job.guest is not None and job.guest.home_cell == cell.name
        ]
        states += self._list_unknown_handles(cell, {state.handle for state in states})
        refusals = self.refusals.get(cell.name, {})
        return frame._replace(
            held_until=link.held_until,
            guests=tuple(states),
            refusals=tuple(Refusal(handle, reason) for handle, reason in refusals.items()),
            pools=tuple(self.pools),
        )

    @staticmethod
    def _describe_guest(name: JobId, job: JobRecord) -> GuestState:
        """Return what the home cell is told of a guest."""
        assert job.guest is not None
        stage = job.guest.stage
        running = sum(entry.stage != records.ASSIGNED for entry in job.entries)
        is_whole = stage == GuestStage.RELEASED or len(job.done_ranges) <= MAX_PROGRESS_RANGES
        done = job.done_ranges if is_whole else []
        return GuestState(guest_handle(name, job), stage, running, done, job.attempt)

    def _list_unknown_handles(self, cell: RemoteCell, known: set[Handle]) -> list[GuestState]:
        """Report as released the jobs that the home cell lists and that are not here.

        This is final. A leader's records are complete up to its roster, and a reservation is
        announced only once they hold it; so one that they do not hold has been deleted.
        """
        if cell.frame is None:
            return []
        return [
            GuestState(handle, GuestStage.RELEASED, 0, [], 0)
            for handle in (*cell.frame.grants, *cell.frame.revoked)
            if handle not in known and not self.port.has_unreadable_record(handle.job)
        ]
