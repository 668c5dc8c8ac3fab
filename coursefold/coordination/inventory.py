"""The machines that the leader believes to exist, and what became of them.

Three sources are brought together: the cloud's list, which lags; what owners hear from
their workers; and the answers to our own requests. A machine is given up only with a
reason, and its tasks count as gone only on proof (`docs/architecture.md`, "Proofs").
"""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from coursefold.coordination import jobs
from coursefold.coordination.context import LEASE_DRIFT_FACTOR, Context
from coursefold.coordination.demand import PoolId
from coursefold.coordination.loss_tracker import LossTracker
from coursefold.protocol.wire import Listed
from coursefold.storage.edits import Edit
from coursefold.storage.records import DEALT, job_key

log = logging.getLogger(__name__)

SILENT_KEPT_S = 45.0  # an empty machine whose lease is over may come back: a cut, a hang
PROBABLE_CUT = 6  # machines; of fewer, silence says nothing about their zone
LATE_BOOTS = 1.6  # times the boot time; most machines take up to 1.5
DEFAULT_BOOT_S = 60.0
PEER_SUMMARY_MAX_AGE_S = 3.0
SETTLING_S = 4.0  # beyond a lease, until every worker should have shown the new token
RETURNED_REMEMBERED_S = 180.0  # the cloud's list may show a returned machine meanwhile
NEW_LEADER_S = 10.0  # what falls silent before this was lost before our time
SPARE_REASON = "spare"


class OwnerReport(NamedTuple):
    """What a machine's owner says of it."""

    silent_s: float
    quarantined: bool
    lease_expired: bool
    responses_lost: bool


class RentedMachine:
    """A machine that the leader believes to exist."""

    __slots__ = (
        "id", "is_up", "lease_expired", "listed_at", "machine_type", "quarantined", "rented_at",
        "silent_s", "spot", "status", "zone",
    )  # fmt: skip

    def __init__(self, id: str, build: str, zone: str, spot: bool, hired_at: float) -> None:
        self.id = id
        self.machine_type = build
        self.zone = zone
        self.spot = spot
        self.rented_at = hired_at
        self.listed_at = 0.0
        self.status = "starting"
        self.is_up = False
        self.lease_expired = False
        self.quarantined = False
        self.silent_s = 0.0

    @property
    def pool(self) -> PoolId:
        """The pool of machines like this one."""
        return PoolId(self.machine_type, self.spot)


class Inventory:
    """Machines by name, those being returned with the reason, and recent losses by pool."""

    def __init__(self, ctx: Context, loss_window: float, depart: Callable[[str], None]) -> None:
        self.ctx = ctx
        self.loss_window_s = loss_window
        self.mark_departed = depart
        self.leading_since = 0.0
        self.reset()

    def reset(self) -> None:
        """Begin anew from reports and lists, as a new leader does."""
        self.machines: dict[str, RentedMachine] = {}
        self.returned_at: dict[str, float] = {}
        self.returning: dict[str, str] = {}
        self.loss_trackers: dict[PoolId, LossTracker] = {}

    # What the cloud says

    def add(self, name: str, pool: PoolId, zone: str, hired_at: float) -> None:
        """Note a machine that the cloud rented to us, unless it is known or was returned."""
        if name not in self.machines and name not in self.returned_at:
            self.machines[name] = RentedMachine(name, pool.machine_type, zone, pool.spot, hired_at)

    def update_from_list(self, rows: Iterable[Listed], list_every_s: float) -> None:
        """Note a whole machine list; what it lacks for long enough is lost."""
        ctx = self.ctx
        lag = ctx.settings.params.cloud.list_lag_s
        for row in rows:
            if row.name in self.returned_at:
                continue
            if row.name not in self.machines:
                pool = PoolId(row.build, row.spot)
                self.add(row.name, pool, row.zone, ctx.now - row.held - lag)
                log.info("machine %s is listed (%s)", row.name, row.status)
            machine = self.machines[row.name]
            machine.listed_at = ctx.now
            machine.status = row.status
        for machine in list(self.machines.values()):
            unlisted = ctx.now - max(machine.listed_at, machine.rented_at + lag)
            if unlisted > 2 * lag + 2 * list_every_s and not self._reports(machine):
                log.info("machine %s is listed no more", machine.id)
                self._lose(machine)

    def record_returned(self, names: Iterable[str]) -> None:
        """Machines that were given back: they and everything on them are gone, which is proof."""
        for name in names:
            log.info("machine %s returned (%s)", name, self.returning.get(name, ""))
            self.returned_at[name] = self.ctx.now
            self.returning.pop(name, None)
            self.machines.pop(name, None)
            self.mark_departed(name)
            self._tasks_are_gone(name)

    # What owners say

    def update_from_owners(self) -> None:
        """Bring what owners hear together with what the cloud lists."""
        reports, current_owners = self._owner_reports()
        cut_off = self._cut_off_zones(reports)
        for machine in list(self.machines.values()):
            if machine.id in self.returned_at:
                continue
            report = reports.get(machine.id)
            if report is not None:
                self._apply(machine, report, machine.zone in cut_off)
            else:
                self._check_unheard(machine, current_owners, cut_off)
        self._prove_orphans_gone(reports, current_owners, cut_off)
        for name, at in list(self.returned_at.items()):
            if self.ctx.now - at > RETURNED_REMEMBERED_S:
                del self.returned_at[name]

    def _owner_reports(self) -> tuple[dict[str, OwnerReport], set[str]]:
        """Reports on all machines that are heard of, and the owners that are up to date."""
        ctx = self.ctx
        reports: dict[str, OwnerReport] = {}
        for own in ctx.machines.values():
            if not own.token_confirmed:
                continue  # perhaps a late copy of a report, or a machine that does not hear us
            reports[own.id] = OwnerReport(
                ctx.now - own.last_report_at, own.quarantined, own.lease_expired, own.responses_lost
            )
            if not own.lease_expired:
                self.add(own.id, PoolId(own.machine_type, own.spot), own.zone, ctx.now)
        current_owners = {str(ctx.own_name)}
        for peer in ctx.peers.values():
            if (
                ctx.now - peer.last_frame_at > PEER_SUMMARY_MAX_AGE_S
                or peer.token != ctx.view.token
            ):
                continue
            if peer.is_complete:
                current_owners.add(peer.member)
            for other in peer.machines.values():
                if other.id in reports:
                    continue
                silent_s = other.silence_s(ctx.now)
                reports[other.id] = OwnerReport(
                    silent_s, other.quarantined, other.lease_expired, other.responses_lost
                )
                if not other.lease_expired:
                    self.add(other.id, PoolId(other.machine_type, other.spot), other.zone, ctx.now)
        return reports, current_owners

    def _apply(self, machine: RentedMachine, report: OwnerReport, cut_off: bool) -> None:
        """Note an owner's report on a machine."""
        machine.silent_s = report.silent_s
        machine.is_up = True
        if report.responses_lost:
            # Its reports come, our answers do not arrive: nothing can be run there,
            # and what ran there ended with its lease, or ends with the return.
            self._give_up(machine, "does not hear us")
        if report.lease_expired != machine.lease_expired:
            machine.lease_expired = report.lease_expired
            self._count_loss(machine, report.lease_expired)
        if report.lease_expired and not cut_off:
            self._check_silent(machine)
        machine.quarantined = report.quarantined
        if (
            report.quarantined
            and not report.lease_expired
            and not self.ctx.view.on_machine(machine.id)
        ):
            # What already runs on a faulty machine may well run on: seen, a
            # replica of five minutes was ended by returning its machine.
            self._give_up(machine, "sick")

    def _check_unheard(
        self, machine: RentedMachine, current_owners: set[str], cut_off: set[str]
    ) -> None:
        """Give up a machine that its owner does not know, once it should."""
        ctx = self.ctx
        if machine.status == "failed":
            self._give_up(machine, "failed")
            return
        if machine.zone in cut_off or not self.is_settled(machine.id):
            return
        if ctx.owner_of(machine.id, machine.zone) not in current_owners:
            return
        if machine.is_up:
            self._give_up(machine, "not heard under this roster")
        elif ctx.now - machine.rented_at > 2.0 * self._boot_s(machine) + 20.0:
            self._give_up(machine, "never up")

    def _cut_off_zones(self, reports: dict[str, OwnerReport]) -> set[str]:
        """Zones of which most machines went silent together: most likely cut off, not dead.

        Seen: a zone was cut off for 40 s, and half of the fleet was returned and rented
        anew, while its own controllers kept all that ran there. So its machines are waited
        for as long as those controllers may renew leases (until orphans are proven gone).
        A machine that is dead after all is listed so, or no more, after half a minute.
        """
        ctx = self.ctx
        if ctx.now - ctx.token_seen_at > self._longest_renewal():
            return set()
        up: dict[str, int] = {}
        heard: dict[str, int] = {}
        for machine in self.machines.values():
            if machine.id in self.returning:
                continue
            if not (machine.is_up or machine.status == "running"):
                continue
            up[machine.zone] = up.get(machine.zone, 0) + 1
            report = reports.get(machine.id)
            if report is not None and not report.lease_expired:
                heard[machine.zone] = heard.get(machine.zone, 0) + 1
        return {z for z, n in up.items() if n >= PROBABLE_CUT and 2 * heard.get(z, 0) < n}

    def _prove_orphans_gone(
        self, reports: dict[str, OwnerReport], current_owners: set[str], cut_off: set[str]
    ) -> None:
        """Places on machines that nobody hears and no list shows: prove them gone."""
        ctx = self.ctx
        if not self.is_settled():
            return
        for name in ctx.view.occupied():
            report = reports.get(name)
            if report is not None and not (report.lease_expired and name not in self.machines):
                # Its owner hears it, or will prove its silence, or we return it. But of a
                # lost machine that showed no token of this roster, silence proves nothing;
                # and if it was returned under a former leader, nobody else asks for proof.
                # Seen in a drawn day of the tests: a gang of two never started.
                continue
            placed = [e for _, e in ctx.view.on_machine(name) if e.stage != DEALT]
            if not placed:
                continue
            if ctx.owner_of(name, placed[0].zone) not in current_owners:
                continue
            if not self.is_settled(name):
                continue
            if self.leading_duration_s(name) > self._longest_renewal():
                # Longer than any former owner may have gone on renewing its lease.
                self._tasks_are_gone(name)
            elif name not in self.returning and placed[0].zone not in cut_off:
                self.returning[name] = "unheard of, with tasks"

    def _check_silent(self, machine: RentedMachine) -> None:
        """A machine whose lease is over. Its tasks are gone; the machine may not be.

        Seen: a dozen machines were cut off for a while, returned, and rented and
        booted again while the old ones would have been back. A dead machine stays
        in the list for half a minute and costs nothing; so the return waits, unless
        it is needed as proof that tasks are gone.
        """
        lease = self.ctx.settings.params.workers.lease_s
        has_tasks = bool(self.ctx.view.on_machine(machine.id))
        if machine.silent_s > lease * LEASE_DRIFT_FACTOR + 3.0 and has_tasks:
            self._give_up(machine, "silent, with tasks")
        elif machine.silent_s > lease + SILENT_KEPT_S or machine.status == "failed":
            self._give_up(machine, "silent")

    # Losses and returns

    def _give_up(self, machine: RentedMachine, why: str) -> None:
        if machine.id not in self.returning:
            log.info("machine %s given up: %s", machine.id, why)
            self.returning[machine.id] = why

    def _count_loss(self, machine: RentedMachine, lost: bool) -> None:
        """What is silent when a leader begins was lost, or returned, before its time."""
        if lost and machine.is_up and self.ctx.now - self.ctx.token_seen_at > NEW_LEADER_S:
            losses = self.loss_trackers.setdefault(machine.pool, LossTracker(self.loss_window_s))
            losses.record_loss(self.ctx.now)

    def _lose(self, machine: RentedMachine) -> None:
        self.machines.pop(machine.id, None)
        self._count_loss(machine, not machine.lease_expired)
        if self.ctx.view.on_machine(machine.id):
            self.returning.setdefault(machine.id, "lost, with tasks")

    def _tasks_are_gone(self, machine: str) -> None:
        """Write down that a machine's tasks are proven gone."""
        ctx = self.ctx
        for job, entry in ctx.view.on_machine(machine):
            if entry.stage == DEALT:
                continue
            change = jobs.mark_gone(entry.index, machine, entry.attempt)
            edit = Edit(job_key(job), change, fence=ctx.view.token, tag=f"gone{entry.index}")
            ctx.queue.propose(edit)

    # Time

    def is_recently_handed_over(self, machine: RentedMachine) -> bool:
        """Was it handed over so lately that its new owner may not have told us of it yet?"""
        handed_over_at = self.ctx.ownership.seen_at(machine.id)
        return not machine.lease_expired and self.ctx.now - handed_over_at < SETTLING_S

    def is_boot_overdue(self, machine: RentedMachine) -> bool:
        """Should it be up by now? Then nothing waits for it, and another is rented.

        Seen: one machine in sixteen took several times its boot time, and array tasks
        that counted on those waited for minutes beside a pool that seemed large enough.
        """
        age = self.ctx.now - machine.rented_at
        return not machine.is_up and age > LATE_BOOTS * self._boot_s(machine)

    def _boot_s(self, machine: RentedMachine) -> float:
        kind = self.ctx.find_machine_type(machine.machine_type)
        return kind.boot if kind else DEFAULT_BOOT_S

    def _reports(self, machine: RentedMachine) -> bool:
        """True while the machine's owner hears from it."""
        return machine.is_up and machine.silent_s < self.ctx.max_report_age_s()

    def is_settled(self, machine: str = "") -> bool:
        """Have we led for so long that every worker that lives has shown our token?

        Of a machine: its own, which a handover has raised after the roster's.
        """
        lease = self.ctx.settings.params.workers.lease_s
        return self.leading_duration_s(machine) > lease * LEASE_DRIFT_FACTOR + SETTLING_S

    def leading_duration_s(self, machine: str = "") -> float:
        """For how long this node has led, under this roster and without a break.

        Of a machine: and since its last handover, which is a change of owner like a roster.

        Time without the state service does not count: owners keep their workers meanwhile,
        and machines that changed hands just before may not have shown the new token. Seen
        in a hunt: a minute's outage after a new roster was taken for a minute's silence,
        and eight machines' tasks were started elsewhere while they ran.
        """
        return self.ctx.now - max(self.ctx.machine_token_seen_at(machine), self.leading_since)

    def _longest_renewal(self) -> float:
        """For how long after a new roster a former owner may still have renewed leases."""
        return self.ctx.settings.params.workers.cancel_s * LEASE_DRIFT_FACTOR + 5.0
