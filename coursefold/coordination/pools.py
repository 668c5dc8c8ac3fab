"""Pool sizes: the leader steers each pool of alike machines to c* by PID.

Cioppino's control loop (sections 3.1, 3.2 and 4.2): what the queue asks for gives c*, the
PID turns its distance from the pool's size into machines to rent or to give back, and lost
machines are replaced at their recent average rate. See `docs/design.md`.
"""

import logging
import math

from coursefold.coordination.context import Context
from coursefold.coordination.demand import (
    DemandPlanner,
    PoolDemand,
    PoolId,
    RunTimes,
    UnplacedTasks,
)
from coursefold.coordination.inventory import SPARE_REASON, Inventory
from coursefold.coordination.leader import Leader
from coursefold.coordination.loss_tracker import LossTracker
from coursefold.coordination.pid import Gains, compute_pid
from coursefold.coordination.placement import MachineCapacity, MachineOffering
from coursefold.coordination.quota import QuotaTracker
from coursefold.coordination.rentals import RentalManager, parse_pool_key
from coursefold.coordination.waiting import QueuedJob
from coursefold.policy import Adjustment
from coursefold.policy.model import Env
from coursefold.protocol.wire import Catalog, Job

log = logging.getLogger(__name__)

MAX_PERIOD_S = 10.0  # of one step of the loop, after a pause
COUNTED_TASKS = 200  # of one job's arrival
LEAST_DRIVE = 0.25  # slots; the integral's small share alone does not rent one more


class PoolControl:
    """One control loop for each pool."""

    def __init__(
        self, ctx: Context, leader: Leader, inventory: Inventory, hires: RentalManager
    ) -> None:
        self.ctx = ctx
        self.leader = leader
        self.inventory = inventory
        self.rentals = hires
        self.parameters = ctx.policy.parameters
        self.gains = Gains(self.parameters.kp, self.parameters.ki, self.parameters.kd)
        self.reset()

    def reset(self) -> None:
        """Begin anew, as a new leader does; the integral starts at zero."""
        self.pid_states: dict[PoolId, tuple[float, float]] = {}
        self.run_times = self.leader.run_times = RunTimes()
        self.recent_arrivals: dict[str, tuple[float, Job]] = {}
        self.active_rules: dict[PoolId, tuple[str, ...]] = {}
        self.demands: dict[PoolId, PoolDemand] = {}  # of the last step

    def plan(self, catalog: Catalog, elapsed: float) -> None:
        """One step of all loops."""
        ctx = self.ctx
        for lane, seconds in ctx.finished_runs:
            self.run_times.add(lane, seconds, ctx.now)
        ctx.finished_runs.clear()
        losses = {
            pool: lost.rate_per_s(ctx.now) for pool, lost in self.inventory.loss_trackers.items()
        }
        planner = DemandPlanner(
            catalog, self.run_times, ctx.now, self.rentals.blocked_until, losses,
            self.parameters.arrivals_window, ctx.price_index(),
        )  # fmt: skip
        self._count_machines(planner)
        self._count_arrivals(planner)
        needs = self._needs()
        self._count_running(planner)
        planner.pack_waiting(needs, self.current_and_booting_capacity())
        self.demands = planner.pools
        for pool, demand in planner.pools.items():
            self._steer(pool, demand, elapsed)

    # What there is, and what is asked for

    def _count_machines(self, planner: DemandPlanner) -> None:
        """Sizes of pools: machines that are up or will be soon, and unanswered hires."""
        inventory = self.inventory
        for machine in inventory.machines.values():
            if machine.id in inventory.returning or machine.lease_expired or machine.quarantined:
                continue
            if machine.pool in planner.pools and not inventory.is_boot_overdue(machine):
                planner.pools[machine.pool].machine_count += 1
        for name, record in self.ctx.view.pools.items():
            demand = planner.pools.get(parse_pool_key(name))
            if demand is not None:
                demand.machine_count += sum(h.count for h in record.hires if h.machines is None)

    def _count_arrivals(self, planner: DemandPlanner) -> None:
        """Arrivals of the window; a job arrives when it may start."""
        ctx = self.ctx
        window = self.parameters.arrivals_window
        for name, job in ctx.view.jobs.items():
            if name in self.recent_arrivals or ctx.view.needs.holds(name) or not job.may_start:
                continue
            since = ctx.view.since(name, job)
            if ctx.wall_time - since < window:
                self.recent_arrivals[name] = (since, job.spec)
        for seen, (at, spec) in list(self.recent_arrivals.items()):
            if ctx.wall_time - at > window:
                del self.recent_arrivals[seen]
            else:
                planner.count_arrival(spec, min(spec.tasks, COUNTED_TASKS))

    def _needs(self) -> list[UnplacedTasks]:
        """Tasks that wait, in queue order and within their teams' limits."""
        ctx = self.ctx
        quota = QuotaTracker(ctx.settings.params.teams, ctx.view.usage)
        needs: list[UnplacedTasks] = []
        for wait in self.leader.list_queued_jobs(quota):
            count = self._within_limits(wait, quota)
            if count <= 0:
                continue
            quota.add_usage(wait.job.spec, count)
            zones: dict[str, int] = {}
            for entry in wait.job.entries:
                zones[entry.zone] = zones.get(entry.zone, 0) + 1
            needs.append(UnplacedTasks(wait.job.spec, count, zones, wait.slack_s, wait.age_s))
        return needs

    def _within_limits(self, wait: QueuedJob, quota: QuotaTracker) -> int:
        """How many of a job's waiting tasks its record and its team's limit have room for."""
        spec = wait.job.spec
        count = min(wait.job.waiting_count, self.leader.max_entries())
        # What its team's limit is kept for needs its machines once the limit has room.
        if self.leader.reserves_quota(wait):
            return count
        while count > 0 and not quota.fits_limit(spec, count):
            count = count - 1 if spec.shape == "array" else 0
        return count

    def _count_running(self, planner: DemandPlanner) -> None:
        for name in self.ctx.view.occupied():
            machine = self.inventory.machines.get(name)
            if machine is not None:
                for spec in self.ctx.view.load(name).specs:
                    planner.count_running(spec, machine.pool)

    def current_and_booting_capacity(self) -> list[MachineCapacity]:
        """Free room now, and the machines that are about to be up."""
        ctx = self.ctx
        inventory = self.inventory
        rooms = [r for r in ctx.available_machines() if r.id not in inventory.returning]
        have = {r.id for r in rooms}
        for machine in inventory.machines.values():
            kind = ctx.find_machine_type(machine.machine_type)
            if machine.id in have or machine.id in inventory.returning:
                continue
            if machine.is_up and not inventory.is_recently_handed_over(machine):
                continue
            if kind and not inventory.is_boot_overdue(machine):
                rooms.append(MachineCapacity(machine.id, kind, machine.zone, machine.spot, "", 0))
        for room in rooms:
            if room.reserved_for_gang and room.id in self.leader.requested_machines:
                room.reserved_for_gang = False
            if ctx.ownership.move_in_progress(room.id) is not None:
                room.is_unschedulable = False  # it stays ours: a move rents nothing
        return rooms

    # The loop of one pool

    def _steer(self, pool: PoolId, demand: PoolDemand, elapsed: float) -> None:
        ctx = self.ctx
        target = demand.target_slots(self.parameters.eta)
        size = demand.machine_count * demand.slots_per_machine
        booting = (pool.machine_type, pool.spot) in {
            (b, spot) for b, _, spot in self.leader.booting_offerings
        }
        error = target - size
        last, integral = self.pid_states.get(pool, (0.0, 0.0))
        result = compute_pid(
            error, last, integral, self.gains, hold=booting, clamp=float(demand.slots_per_machine)
        )
        self.pid_states[pool] = (error, result.integral)
        lost = self.inventory.loss_trackers.get(pool)
        replaced = lost.claim_replacements(ctx.now, elapsed, error > 0) if lost else 0
        if target > 0 or demand.machine_count:
            log.debug(
                "pool %s: c*=%.1f c=%d u=%.1f arrivals=%.1f busy=%.1f queued=%.1f backlog=%.1f",
                pool, target, size, result.output, demand.arrived_slots, demand.busy_slots,
                demand.queued_slots, demand.backlog_slots,
            )  # fmt: skip
        ruled = self._ruled(pool, demand, target, lost)
        want = self._whole_machines(demand, error, result.output, replaced, ruled)
        if want > 0:
            self._rent(pool, demand, want)
        elif want < 0:
            self._give_back(pool, -want)

    @staticmethod
    def _whole_machines(
        demand: PoolDemand, error: float, drive: float, replaced: int, ruled: Adjustment
    ) -> int:
        """Machines to rent, or, below zero, to give back."""
        if drive > LEAST_DRIVE and error > 0:
            steered = max(1, math.ceil(drive / demand.slots_per_machine - LEAST_DRIVE), replaced)
            want = steered + max(0, ruled.recruit)
        elif drive <= -demand.slots_per_machine and error <= -demand.slots_per_machine:
            want = -int(-drive // demand.slots_per_machine) + ruled.recruit
        else:
            want = ruled.recruit
        want = max(want, ruled.at_least - demand.machine_count)
        if ruled.at_most is not None:
            want = min(want, ruled.at_most - demand.machine_count)
        return want

    def _ruled(
        self, pool: PoolId, demand: PoolDemand, target: float, lost: LossTracker | None
    ) -> Adjustment:
        """What the operators' rules ask of this pool; said once when it changes."""
        ctx = self.ctx
        if not ctx.policy.rules:
            return Adjustment()
        waits = [
            ctx.now - room.idle_since
            for room in ctx.available_machines()
            if (room.type_info.name, room.spot) == pool and room.task_count == 0
        ]
        env: Env = {
            "lambda": demand.arrived_slots / demand.window_s,
            "mu": 1 / demand.mean_run_s,
            "c": float(demand.machine_count * demand.slots_per_machine),
            "cstar": target,
            "busy": demand.busy_slots,
            "queue": demand.queued_slots + demand.backlog_slots + demand.gang_slots,
            "machines": float(demand.machine_count),
            "price": demand.price_per_slot_s * 3600.0,
            "losses": lost.rate_per_s(ctx.now) * 3600.0 if lost else 0.0,
            "idle": max(waits, default=0.0),
            "spot": pool.spot,
            "pool": str(pool),
        }
        adjustment = ctx.policy.adjust(env)
        if adjustment.fired != self.active_rules.get(pool, ()):
            self.active_rules[pool] = adjustment.fired
            log.info("pool %s: rules in force: %s", pool, ", ".join(adjustment.fired) or "none")
        return adjustment

    def _rent(self, pool: PoolId, demand: PoolDemand, want: int) -> None:
        """Rent whole machines, split over zones by what asked for them."""
        if self.rentals.has_pending_write(pool):
            return
        zones = [
            zone
            for zone in demand.type_info.zones
            if not self.rentals.is_blocked(MachineOffering(pool.machine_type, zone, pool.spot))
        ]
        if not zones:
            return
        for zone, count in self._split(pool, demand, zones, want).items():
            self.rentals.rent(pool, zone, count)

    def _split(
        self, pool: PoolId, demand: PoolDemand, zones: list[str], want: int
    ) -> dict[str, int]:
        """Machines to rent by zone: first what asks for a zone, then evenly."""
        have = dict.fromkeys(zones, 0)
        for machine in self.inventory.machines.values():
            if machine.id in self.inventory.returning:
                continue
            if machine.pool == pool and machine.zone in have:
                have[machine.zone] += 1
        split = dict.fromkeys(zones, 0)
        needs = {
            z: w / demand.slots_per_machine for z, w in demand.slots_by_zone.items() if z in split
        }
        for _ in range(want):
            zone = max(needs, key=lambda z: needs[z]) if needs else ""
            if not zone or needs[zone] <= 0:
                zone = min(zones, key=lambda z: (have[z] + split[z], z))
            else:
                needs[zone] -= 1
            split[zone] += 1
        return split

    def _give_back(self, pool: PoolId, most: int) -> None:
        """Return machines that are empty and have been for a while."""
        ctx = self.ctx
        inventory = self.inventory
        rooms = {r.id: r for r in ctx.available_machines()}
        spare = [
            machine
            for machine in inventory.machines.values()
            if machine.pool == pool
            and machine.id not in inventory.returning
            and machine.id in rooms
            and rooms[machine.id].task_count == 0
            and ctx.now - rooms[machine.id].idle_since > self.parameters.idle
            and not ctx.view.on_machine(machine.id)
        ]
        spare.sort(key=lambda machine: rooms[machine.id].idle_since)
        for machine in spare[:most]:
            log.info("machine %s is spare in %s", machine.id, pool)
            inventory.returning[machine.id] = SPARE_REASON
