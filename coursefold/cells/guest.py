"""The guest cell's side: what it reserves, runs and releases for others.

A reservation has a name that is never used again, and only a grant of that name starts
anything, so whatever comes late or twice finds nothing that it fits. The end of a grant is
recorded only once our records show nothing that home no longer lists: so a cancellation that
home leaves out of a frame is known here before any grant is longer for it.
"""

from collections import Counter

from coursefold.cells import edits
from coursefold.cells.config import CellsConfig
from coursefold.cells.decisions import DecisionLog, Step
from coursefold.cells.directory import Directory, OtherCell
from coursefold.cells.estimate import Pools
from coursefold.cells.messages import Frame, GuestState, Handle, Offer, PoolState, Refusal
from coursefold.cells.port import CorePort
from coursefold.coordination.demand import slots_of_machine, slots_of_task
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.storage import records
from coursefold.storage.cell_records import CellLink, Guest, GuestStage
from coursefold.storage.edits import Edit
from coursefold.storage.records import JobRecord, job_key

POOLS_EVERY_S = 1.0
TOLD_RANGES = 50  # of done tasks in each frame, while a job runs; all of them at its release
RESERVED_S = 30.0  # without a word from its home
TAG = "guest"
OVER = (GuestStage.RELEASED, GuestStage.FINISHED)


def handle_of(name: JobId, job: JobRecord) -> Handle:
    """The handle of a guest's record."""
    assert job.guest is not None
    return Handle(name, job.guest.epoch, job.guest.reservation)


class GuestSide:
    """Other cells' jobs here."""

    def __init__(
        self, config: CellsConfig, port: CorePort, directory: Directory, decisions: DecisionLog
    ) -> None:
        self.config, self.port, self.directory = config, port, directory
        self.decisions = decisions
        self.ctx, self.view = port.ctx, port.view
        self.reservations = 0  # under this token; part of their names
        self.refusals: dict[str, dict[Handle, str]] = {}
        self.acted_on: dict[str, tuple[int, int]] = {}
        self.pools: list[PoolState] = []
        self.pools_at = MonotonicTime(-1e9)
        self.counts: Counter[str] = Counter()

    def tick(self) -> None:
        """One round of the leader."""
        self._look_at_pools()
        for name, job in list(self.view.guest_jobs.items()):
            self._check(name, job)
        for cell in self.directory.cells.values():
            frame = cell.frame
            if frame is not None and self.directory.is_reachable(cell.name):
                self._act(cell.name, frame)

    # Guests that are here

    def _check(self, name: JobId, job: JobRecord) -> None:
        """What holds without any word from its home."""
        guest = job.guest
        if guest is None:
            return
        handle = handle_of(name, job)
        if guest.home_cell not in self.directory.cells:
            if guest.stage != GuestStage.GRANTED:
                self._forget(guest.home_cell, handle, "its cell is in our file no more")
            elif job.status == records.LIVE:
                self._revoke(guest.home_cell, handle, "its cell is in our file no more")
        elif guest.stage == GuestStage.GRANTED and job.status == records.LIVE:
            self._revoke_if_lapsed(guest.home_cell, handle)
        elif guest.stage == GuestStage.RESERVED:
            self._forget_if_unheard(guest, handle)

    def _revoke_if_lapsed(self, home: str, handle: Handle) -> None:
        if self.ctx.grants.has_expired(home, self.ctx.now, self.ctx.wall_time):
            self.counts["lapsed"] += 1
            self._revoke(home, handle, "the grant has ended")

    def _forget_if_unheard(self, guest: Guest, handle: Handle) -> None:
        """Room is not held for a cell that may be gone; a grant that comes later finds nothing."""
        waited_s = self.ctx.wall_time - guest.stage_started_at
        if waited_s > RESERVED_S and not self.directory.is_reachable(guest.home_cell):
            self._forget(guest.home_cell, handle, f"its home was not heard for {waited_s:.0f} s")

    def _act(self, home: str, frame: Frame) -> None:
        """Bring the guests of one home to what its newest frame says."""
        offered = {offer.handle[:2] for offer in frame.offers}
        granted, revoked, closed = set(frame.grants), set(frame.revoked), set(frame.closed)
        settled = True
        for name, job in list(self.view.guest_jobs.items()):
            if job.guest is None or job.guest.home_cell != home:
                continue
            handle = handle_of(name, job)
            stage = job.guest.stage
            if stage in OVER:
                if handle in closed:
                    self._forget(home, handle, "confirmed by its home")
            elif handle in granted:
                if stage == GuestStage.RESERVED:
                    self._accept(home, handle)
            elif stage == GuestStage.RESERVED:
                if handle[:2] not in offered or handle in revoked or handle in closed:
                    settled = False
                    self._forget(home, handle, "never granted")
            elif job.status == records.LIVE:
                settled = False
                self._revoke(home, handle, "its home takes it back")
        if settled:
            self._hold(home, frame)
        self._answer_offers(home, frame)

    def _hold(self, home: str, frame: Frame) -> None:
        """Record the grant's end, before any guest runs by it."""
        link = self.view.cell_links.get(home, CellLink())
        left = frame.until - self.ctx.wall_time
        if frame.until > link.held_until and left > 0:
            self.port.change_link(home, edits.hold_grant(frame.until, left), "held")

    def _accept(self, home: str, handle: Handle) -> None:
        if self.ctx.grants.has_expired(home, self.ctx.now, self.ctx.wall_time):
            return  # its end has to be recorded first
        change = edits.accept_grant(home, handle, self.ctx.wall_time)
        if self.port.change_job(handle.job, change, TAG):
            self.counts["granted"] += 1
            self.decisions.note(Step.RUN, home, handle)

    def _revoke(self, home: str, handle: Handle, why: str) -> None:
        if self.port.change_job(handle.job, edits.revoke(home, handle), TAG):
            self.decisions.note(Step.STOP, home, handle, why)

    def _forget(self, home: str, handle: Handle, why: str) -> None:
        if self.port.change_job(handle.job, edits.forget(home, handle), TAG):
            self.decisions.note(Step.DROP, home, handle, why)

    # Offers

    def _answer_offers(self, home: str, frame: Frame) -> None:
        """Once for each frame: reserve room, or say why not."""
        number = (frame.token, frame.seq)
        if self.acted_on.get(home) == number:
            return
        self.acted_on[home] = number
        known = self.refusals.get(home, {})
        refusals = self.refusals[home] = {
            offer.handle: known[offer.handle] for offer in frame.offers if offer.handle in known
        }
        pools = Pools(self.pools)
        for offer in frame.offers:
            if offer.handle not in refusals and not self._is_here(home, offer.handle):
                why = self._why_not(home, offer, pools)
                if why:
                    self._refuse(home, offer.handle, why)
                else:
                    self._reserve(home, offer)
        self.pools = pools.states

    def _is_here(self, home: str, handle: Handle) -> bool:
        """Is the offer reserved already, or an earlier one of the job still to be cleared?"""
        job = self.view.guest_jobs.get(handle.job)
        if job is not None and job.guest is not None and job.guest.home_cell == home:
            return True
        return self.port.is_writing(handle.job)

    def _why_not(self, home: str, offer: Offer, pools: Pools) -> str:
        """Why the job is not taken; empty if it is, and then its room counts as taken."""
        limits = self.config.guests
        if self.config.spill.draining:
            return "the cell takes no guests now"
        if self._live_guests() >= limits.jobs:
            return f"{limits.jobs} guests are here already"
        if offer.handle.job in self.view.jobs:
            return "the id is taken here"
        tasks = offer.spec.task_count - sum(high - low + 1 for low, high in offer.done)
        why = self.port.team_has_room(offer.spec, tasks)
        if why:
            return why
        found = pools.best(offer.spec, tasks)
        if found is None:
            return "no machine type here may run it"
        if found.wait >= offer.expected_s:
            return f"expected wait here {found.wait:.0f} s"
        pools.take(found.pool, offer.spec, tasks)
        return ""

    def _live_guests(self) -> int:
        """Guests that take room, or may yet."""
        stages = (job.guest.stage for job in self.view.guest_jobs.values() if job.guest)
        return sum(stage not in OVER for stage in stages)

    def _refuse(self, home: str, handle: Handle, why: str) -> None:
        self.counts["refused"] += 1
        self.refusals.setdefault(home, {})[handle] = why
        self.decisions.note(Step.REFUSE, home, handle, why)

    def _reserve(self, home: str, offer: Offer) -> None:
        self.reservations += 1
        reservation = f"{self.view.fencing_token}-{self.reservations}"
        handle = offer.handle

        def settled(ok: bool, why: str) -> None:
            if ok:
                self.counts["reserved"] += 1
                self.decisions.note(Step.RESERVE, home, handle._replace(reservation=reservation))
            else:
                self._refuse(home, handle, why)

        change = edits.reserve(home, offer, reservation, self.ctx.wall_time)
        self.port.propose(
            Edit(
                job_key(handle.job),
                change,
                fencing_token=self.view.fencing_token,
                tag=TAG,
                on_settled=settled,
            )
        )

    # Frames

    def _look_at_pools(self) -> None:
        """What guests may still have of each pool: a share of it, behind our own queue."""
        if self.ctx.now - self.pools_at < POOLS_EVERY_S:
            return
        self.pools_at = self.ctx.now
        queue = self.port.queue()
        pools = queue.pools
        shares = [self.config.guests.share * size for size in queue.sizes]
        for job in self.view.guest_jobs.values():
            left = job.spec.task_count - job.done_count
            found = pools.best(job.spec, left)
            if found is None or left <= 0:
                continue
            shares[found.pool] -= left * slots_of_task(job.spec, pools.states[found.pool].kind)
            if job.guest is not None and job.guest.stage == GuestStage.RESERVED:
                pools.take(found.pool, job.spec, left)
        self.pools = [
            pool._replace(
                free=max(0.0, min(pool.free, share)),
                growth=min(
                    pool.growth, float(self.config.guests.growth * slots_of_machine(pool.kind))
                ),
            )
            for pool, share in zip(pools.states, shares, strict=True)
        ]

    def fill(self, frame: Frame, cell: OtherCell) -> Frame:
        """Add what we are to the cell as the guest of its jobs."""
        link = self.view.cell_links.get(cell.name, CellLink())
        states = [
            self._state(name, job)
            for name, job in self.view.guest_jobs.items()
            if job.guest is not None and job.guest.home_cell == cell.name
        ]
        states += self._unknown(cell, {state.handle for state in states})
        refusals = self.refusals.get(cell.name, {})
        return frame._replace(
            held_until=link.held_until,
            guests=tuple(states),
            refusals=tuple(Refusal(handle, why) for handle, why in refusals.items()),
            pools=tuple(self.pools),
        )

    @staticmethod
    def _state(name: JobId, job: JobRecord) -> GuestState:
        assert job.guest is not None
        stage = job.guest.stage
        running = sum(entry.stage != records.ASSIGNED for entry in job.entries)
        whole = stage == GuestStage.RELEASED or len(job.done_ranges) <= TOLD_RANGES
        done = job.done_ranges if whole else []
        return GuestState(handle_of(name, job), stage, running, done, job.attempt)

    def _unknown(self, cell: OtherCell, known: set[Handle]) -> list[GuestState]:
        """What the cell thinks is here and is not: it never will be, under this reservation.

        Our records are those of a leader, complete up to its roster, and a reservation is told
        only once they show it; so one that they do not show is gone for good.
        """
        if cell.frame is None:
            return []
        return [
            GuestState(handle, GuestStage.RELEASED, 0, [], 0)
            for handle in (*cell.frame.grants, *cell.frame.revoked)
            if handle not in known and not self.port.is_unclear(handle.job)
        ]
