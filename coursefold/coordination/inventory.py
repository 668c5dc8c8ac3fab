"""The leader's inventory: machines that exist as far as it knows, and their losses and returns.

Three sources are combined: the cloud's list, which lags behind; what owners learn from their
workers' reports; and the cloud's responses to rental requests. A machine is returned only
for a reason, and its tasks count as gone only on proof (`docs/architecture.md`, "Proofs").
"""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from coursefold.coordination import jobs
from coursefold.coordination.context import LEASE_DRIFT_FACTOR, Context
from coursefold.coordination.demand import PoolId
from coursefold.coordination.loss_tracker import LossTracker
from coursefold.protocol.wire import ListedMachine
from coursefold.storage.edits import Edit, EditOrigin
from coursefold.storage.records import ASSIGNED, job_key

log = logging.getLogger(__name__)

# An empty machine is kept for so long after its lease: it may come back from a network
# partition or a hang.
SILENT_RETENTION_S = 45.0
MIN_MACHINES_FOR_PARTITION = 6  # the silence of fewer says nothing about their zone
OVERDUE_BOOT_FACTOR = 1.6  # of the nominal boot time; most machines take up to 1.5
DEFAULT_BOOT_S = 60.0
MAX_PEER_SUMMARY_AGE_S = 3.0
TOKEN_CONFIRMATION_S = 4.0  # after a lease; by then every live worker has confirmed a new token
RETURNED_RETENTION_S = 180.0  # the cloud's list may still show a returned machine
TAKEOVER_GRACE_S = 10.0  # losses noticed earlier are those of the former leader's time
SPARE_REASON = "spare"


class OwnerReport(NamedTuple):
    """What a machine's owner knows of it.

    Attributes:
        silent_s: Time since the machine's last report.
        quarantined: Whether tasks fail on the machine, so that it gets no new ones.
        lease_expired: Whether it has been silent for longer than its lease.
        responses_lost: Whether its reports arrive but responses do not reach it.
    """

    silent_s: float
    quarantined: bool
    lease_expired: bool
    responses_lost: bool


class RentedMachine:
    """A machine that exists as far as the leader knows.

    Attributes:
        rented_at: When it was rented, as far as known.
        listed_at: When a list last showed it; 0 if none has.
        status: Status in the cloud's list: starting, running or failed.
        is_up: Whether an owner has reported it.
        lease_expired: See `OwnerReport`, like the following two.
        quarantined: See `OwnerReport`.
        silent_s: See `OwnerReport`.
    """

    __slots__ = (
        "id", "is_up", "lease_expired", "listed_at", "machine_type", "quarantined", "rented_at",
        "silent_s", "spot", "status", "zone",
    )  # fmt: skip

    def __init__(self, id: str, machine_type: str, zone: str, spot: bool, rented_at: float) -> None:
        self.id = id
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.rented_at = rented_at
        self.listed_at = 0.0
        self.status = "starting"
        self.is_up = False
        self.lease_expired = False
        self.quarantined = False
        self.silent_s = 0.0

    @property
    def pool(self) -> PoolId:
        """Pool to which the machine belongs."""
        return PoolId(self.machine_type, self.spot)


class Inventory:
    """Machines that exist, returns, and recent losses.

    Attributes:
        machines: Machines by name.
        returning: Machines to be returned, with the reason.
        returned_at: When machines were returned, of those returned recently.
        loss_trackers: Recent losses by pool.
        leading_since: Since when this controller has led without a break.
    """

    def __init__(
        self, ctx: Context, loss_window_s: float, mark_departed: Callable[[str], None]
    ) -> None:
        """Create an empty inventory.

        Args:
            ctx: State of the core.
            loss_window_s: Window over which the rate of losses is averaged.
            mark_departed: Called with the name of each machine that was returned.
        """
        self.ctx = ctx
        self.loss_window_s = loss_window_s
        self.mark_departed = mark_departed
        self.leading_since = 0.0
        self.reset()

    def reset(self) -> None:
        """Forget all machines; a new leader learns them from reports and lists."""
        self.machines: dict[str, RentedMachine] = {}
        self.returned_at: dict[str, float] = {}
        self.returning: dict[str, str] = {}
        self.loss_trackers: dict[PoolId, LossTracker] = {}

    # The cloud's list and responses

    def add(self, name: str, pool: PoolId, zone: str, rented_at: float) -> None:
        """Add a rented machine, unless it is known or was returned."""
        if name not in self.machines and name not in self.returned_at:
            self.machines[name] = RentedMachine(name, pool.machine_type, zone, pool.spot, rented_at)

    def update_from_list(self, rows: Iterable[ListedMachine], list_interval_s: float) -> None:
        """Apply a complete machine list; machines missing for long enough count as lost.

        Args:
            rows: All machines of the list.
            list_interval_s: Time from one list to the next.
        """
        ctx = self.ctx
        lag_s = ctx.settings.params.cloud.list_lag_s
        for row in rows:
            if row.name in self.returned_at:
                continue
            if row.name not in self.machines:
                pool = PoolId(row.machine_type, row.spot)
                self.add(row.name, pool, row.zone, ctx.now - row.age_s - lag_s)
                log.info("machine %s found in the cloud's list (%s)", row.name, row.status)
            machine = self.machines[row.name]
            machine.listed_at = ctx.now
            machine.status = row.status
        for machine in list(self.machines.values()):
            missing_s = ctx.now - max(machine.listed_at, machine.rented_at + lag_s)
            if missing_s > 2 * lag_s + 2 * list_interval_s and not self._is_reporting(machine):
                log.info("machine %s is listed no more", machine.id)
                self._remove_unlisted(machine)

    def record_returned(self, names: Iterable[str]) -> None:
        """Remove returned machines; the return proves that everything on them is gone."""
        for name in names:
            log.info("machine %s returned (%s)", name, self.returning.get(name, ""))
            self.returned_at[name] = self.ctx.now
            self.returning.pop(name, None)
            self.machines.pop(name, None)
            self.mark_departed(name)
            self._record_tasks_gone(name)

    # Reports of owners

    def update_from_owners(self) -> None:
        """Combine what owners know of their machines with the cloud's list."""
        reports, current_owners = self._collect_reports()
        partitioned_zones = self._find_partitioned_zones(reports)
        for machine in list(self.machines.values()):
            if machine.id in self.returned_at:
                continue
            report = reports.get(machine.id)
            if report is not None:
                self._apply_report(machine, report, machine.zone in partitioned_zones)
            else:
                self._check_unreported(machine, current_owners, partitioned_zones)
        self._prove_orphans_gone(reports, current_owners, partitioned_zones)
        for name, at in list(self.returned_at.items()):
            if self.ctx.now - at > RETURNED_RETENTION_S:
                del self.returned_at[name]

    def _collect_reports(self) -> tuple[dict[str, OwnerReport], set[str]]:
        """Return what owners know of machines, and the owners whose knowledge is up to date."""
        ctx = self.ctx
        reports: dict[str, OwnerReport] = {}
        for own in ctx.machines.values():
            if not own.token_confirmed:
                # The report may be a late copy, or our responses may not reach the machine.
                continue
            reports[own.id] = OwnerReport(
                ctx.now - own.last_report_at, own.quarantined, own.lease_expired, own.responses_lost
            )
            if not own.lease_expired:
                self.add(own.id, PoolId(own.machine_type, own.spot), own.zone, ctx.now)
        current_owners = {str(ctx.own_name)}
        for peer in ctx.peers.values():
            if (
                ctx.now - peer.last_frame_at > MAX_PEER_SUMMARY_AGE_S
                or peer.token != ctx.view.fencing_token
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

    def _apply_report(
        self, machine: RentedMachine, report: OwnerReport, is_partitioned: bool
    ) -> None:
        """Apply an owner's report.

        Args:
            machine: Machine that the report is about.
            report: The owner's report.
            is_partitioned: Whether the machine's zone is probably partitioned from this one.
        """
        machine.silent_s = report.silent_s
        machine.is_up = True
        if report.responses_lost:
            # Without responses the machine runs no new tasks. Its old tasks ended with its
            # lease, or end with the return.
            self._schedule_return(machine, "does not hear us")
        if report.lease_expired != machine.lease_expired:
            machine.lease_expired = report.lease_expired
            self._record_loss(machine, report.lease_expired)
        if report.lease_expired and not is_partitioned:
            self._check_silent(machine)
        machine.quarantined = report.quarantined
        if (
            report.quarantined
            and not report.lease_expired
            and not self.ctx.view.entries_on(machine.id)
        ):
            # Only once it is empty: tasks that already run there, such as replicas, may well
            # continue without a fault, and a return would end them.
            self._schedule_return(machine, "sick")

    def _check_unreported(
        self, machine: RentedMachine, current_owners: set[str], partitioned_zones: set[str]
    ) -> None:
        """Schedule the return of a machine that failed, or that its owner should know by now."""
        ctx = self.ctx
        if machine.status == "failed":
            self._schedule_return(machine, "failed")
            return
        if machine.zone in partitioned_zones or not self.is_confirmation_period_over(machine.id):
            return
        if ctx.owner_of(machine.id, machine.zone) not in current_owners:
            return
        if machine.is_up:
            self._schedule_return(machine, "not heard under this roster")
        elif ctx.now - machine.rented_at > 2.0 * self._boot_s(machine) + 20.0:
            self._schedule_return(machine, "never up")

    def _find_partitioned_zones(self, reports: dict[str, OwnerReport]) -> set[str]:
        """Return zones of which most machines are silent: probably a network partition.

        The machines of such a zone are not returned while the zone's own controllers may still
        renew their leases (see `_prove_orphans_gone`). Otherwise a partition of 40 s makes the
        leader return half of the fleet and rent it anew, although all tasks there continue
        under these controllers. Machines that are in fact dead are shown as failed by the
        cloud's list, or missing from it, after half a minute.
        """
        ctx = self.ctx
        if ctx.now - ctx.token_seen_at > self._max_renewal_s():
            return set()
        up_by_zone: dict[str, int] = {}
        live_by_zone: dict[str, int] = {}
        for machine in self.machines.values():
            if machine.id in self.returning:
                continue
            if not (machine.is_up or machine.status == "running"):
                continue
            up_by_zone[machine.zone] = up_by_zone.get(machine.zone, 0) + 1
            report = reports.get(machine.id)
            if report is not None and not report.lease_expired:
                live_by_zone[machine.zone] = live_by_zone.get(machine.zone, 0) + 1
        return {
            zone
            for zone, up_count in up_by_zone.items()
            if up_count >= MIN_MACHINES_FOR_PARTITION and 2 * live_by_zone.get(zone, 0) < up_count
        }

    def _prove_orphans_gone(
        self,
        reports: dict[str, OwnerReport],
        current_owners: set[str],
        partitioned_zones: set[str],
    ) -> None:
        """Prove tasks gone that are placed on machines which no owner reports.

        They are gone once no former owner can have renewed the machine's lease. Before that,
        outside partitioned zones, the machine's return is scheduled, which is a proof as well.
        """
        ctx = self.ctx
        if not self.is_confirmation_period_over():
            return
        for name in ctx.view.occupied_machines():
            report = reports.get(name)
            if report is not None and not (report.lease_expired and name not in self.machines):
                # The owner receives its reports, or will prove from its silence that the tasks
                # are gone, or the leader returns the machine. The exception: a machine whose
                # lease expired before it confirmed the token of this roster. Its silence
                # proves nothing, and if a former leader returned it, nobody else provides a
                # proof. Its tasks would keep their places for ever, and a gang would never
                # start.
                continue
            placed = [e for _, e in ctx.view.entries_on(name) if e.stage != ASSIGNED]
            if not placed:
                continue
            if ctx.owner_of(name, placed[0].zone) not in current_owners:
                continue
            if not self.is_confirmation_period_over(name):
                continue
            if self.leading_duration_s(name) > self._max_renewal_s():
                self._record_tasks_gone(name)
            elif name not in self.returning and placed[0].zone not in partitioned_zones:
                self.returning[name] = "unheard of, with tasks"

    def _check_silent(self, machine: RentedMachine) -> None:
        """Schedule the return of a machine whose lease has expired, once it was silent for long.

        Its tasks have ended, but the machine may come back. Without the delay, a dozen machines
        behind a short partition are returned, and new ones boot when the old ones would have
        been back. Waiting costs nothing for a dead machine, which the cloud lists for half a
        minute. There is no delay where the return is needed to prove that tasks are gone.
        """
        lease_s = self.ctx.settings.params.workers.lease_s
        has_tasks = bool(self.ctx.view.entries_on(machine.id))
        if machine.silent_s > lease_s * LEASE_DRIFT_FACTOR + 3.0 and has_tasks:
            self._schedule_return(machine, "silent, with tasks")
        elif machine.silent_s > lease_s + SILENT_RETENTION_S or machine.status == "failed":
            self._schedule_return(machine, "silent")

    # Losses and returns

    def _schedule_return(self, machine: RentedMachine, reason: str) -> None:
        if machine.id not in self.returning:
            log.info("machine %s will be returned: %s", machine.id, reason)
            self.returning[machine.id] = reason

    def _record_loss(self, machine: RentedMachine, is_lost: bool) -> None:
        """Record the loss of a machine, if it was lost.

        Machines that are silent when a controller begins to lead were lost, or returned, before.
        """
        if is_lost and machine.is_up and self.ctx.now - self.ctx.token_seen_at > TAKEOVER_GRACE_S:
            losses = self.loss_trackers.setdefault(machine.pool, LossTracker(self.loss_window_s))
            losses.record_loss(self.ctx.now)

    def _remove_unlisted(self, machine: RentedMachine) -> None:
        """Remove a machine that the list lacks; a return is to prove that its tasks are gone."""
        self.machines.pop(machine.id, None)
        self._record_loss(machine, not machine.lease_expired)
        if self.ctx.view.entries_on(machine.id):
            self.returning.setdefault(machine.id, "lost, with tasks")

    def _record_tasks_gone(self, machine: str) -> None:
        """Write into the jobs' records that a machine's tasks are proven gone."""
        ctx = self.ctx
        for job_id, entry in ctx.view.entries_on(machine):
            if entry.stage == ASSIGNED:
                continue
            change = jobs.mark_gone(entry.index, machine, entry.attempt)
            edit = Edit(
                job_key(job_id),
                change,
                fencing_token=ctx.view.fencing_token,
                tag=f"gone{entry.index}",
                origin=EditOrigin("gone", ctx.own_name),
            )
            ctx.queue.propose(edit)

    # Time

    def is_recently_handed_over(self, machine: RentedMachine) -> bool:
        """Return whether a handover is so recent that the new owner may not report it yet."""
        handed_over_at = self.ctx.ownership.seen_at(machine.id)
        return not machine.lease_expired and self.ctx.now - handed_over_at < TOKEN_CONFIRMATION_S

    def is_boot_overdue(self, machine: RentedMachine) -> bool:
        """Return whether a booting machine should be up by now.

        Such a machine does not count as capacity, and another one is rented: one machine in
        sixteen takes several times its boot time, and array tasks that count on it wait for
        minutes beside a pool that seems large enough.
        """
        age_s = self.ctx.now - machine.rented_at
        return not machine.is_up and age_s > OVERDUE_BOOT_FACTOR * self._boot_s(machine)

    def _boot_s(self, machine: RentedMachine) -> float:
        type_info = self.ctx.find_machine_type(machine.machine_type)
        return type_info.boot_s if type_info else DEFAULT_BOOT_S

    def _is_reporting(self, machine: RentedMachine) -> bool:
        """Return whether the machine's owner receives its reports."""
        return machine.is_up and machine.silent_s < self.ctx.max_report_age_s()

    def is_confirmation_period_over(self, machine: str = "") -> bool:
        """Return whether every live worker should have confirmed the fencing token by now.

        Args:
            machine: Name of a machine, if the question is whether this one should have
                confirmed its own token, which a handover raises above the roster's.
        """
        lease_s = self.ctx.settings.params.workers.lease_s
        return (
            self.leading_duration_s(machine) > lease_s * LEASE_DRIFT_FACTOR + TOKEN_CONFIRMATION_S
        )

    def leading_duration_s(self, machine: str = "") -> float:
        """Return for how long this controller has led under this roster without a break.

        Time without the state service does not count. Owners keep their workers meanwhile, and
        machines that changed owners just before may not have confirmed the new token. If it
        did count, an outage of a minute after a new roster would pass for a minute of silence,
        and tasks (of eight machines in one such outage) would be started elsewhere while they
        still run.

        Args:
            machine: Name of a machine, if the duration is to begin no earlier than its last
                handover, which changes the owner as a new roster does.
        """
        return self.ctx.now - max(self.ctx.machine_token_seen_at(machine), self.leading_since)

    def _max_renewal_s(self) -> float:
        """Return for how long after a new roster a former owner may have renewed leases."""
        return self.ctx.settings.params.workers.cancel_s * LEASE_DRIFT_FACTOR + 5.0
