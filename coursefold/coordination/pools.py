"""Pool sizes: the leader controls each pool towards its target size c* with a PID controller.

This is Cioppino's control loop (sections 3.1, 3.2 and 4.2): the target c* follows from the
demand, the PID controller turns its distance from the pool's size into machines to rent or
to return, and lost machines are replaced at their recent average rate. See `docs/design.md`.
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
from coursefold.coordination.fleet_size import max_fleet_machines
from coursefold.coordination.inventory import SPARE_REASON, Inventory
from coursefold.coordination.leader import Leader
from coursefold.coordination.loss_tracker import LossTracker
from coursefold.coordination.pid import Gains, compute_pid
from coursefold.coordination.placement import MachineCapacity, MachineOffering
from coursefold.coordination.quota import QuotaTracker
from coursefold.coordination.rentals import RentalManager, parse_pool_key
from coursefold.coordination.waiting import QueuedJob
from coursefold.policy import Adjustment
from coursefold.policy.model import Environment
from coursefold.protocol.wire import Catalog, Job

log = logging.getLogger(__name__)

MAX_PERIOD_S = 10.0  # time that one step accounts for, however long the loop was paused
MAX_TASKS_PER_ARRIVAL = 200  # of one job
# Part of a slot, and of a machine, that is not rented for: otherwise the small integral term
# alone would rent one more machine.
OUTPUT_DEADBAND = 0.25


class PoolControl:
    """The control loops of all pools.

    Attributes:
        max_machines: The most machines that the fleet may hold.
        pid_states: Last error (slots) and integral of each pool.
        run_times: Run times of finished tasks; shared with the leader.
        recent_arrivals: Jobs that arrived in the window: when (wall time), and what.
        active_rules: Names of the policy rules in force, by pool.
        demands: Demand for each pool in the last step.
    """

    def __init__(
        self, ctx: Context, leader: Leader, inventory: Inventory, rentals: RentalManager
    ) -> None:
        self.ctx = ctx
        self.leader = leader
        self.inventory = inventory
        self.rentals = rentals
        self.parameters = ctx.policy.parameters
        self.max_machines = max_fleet_machines(ctx.settings)
        self.gains = Gains(self.parameters.kp, self.parameters.ki, self.parameters.kd)
        self.reset()

    def reset(self) -> None:
        """Forget all state, as a new leader does; the integrals start at zero."""
        self.pid_states: dict[PoolId, tuple[float, float]] = {}
        self.run_times = self.leader.run_times = RunTimes()
        self.recent_arrivals: dict[str, tuple[float, Job]] = {}
        self.active_rules: dict[PoolId, tuple[str, ...]] = {}
        self.demands: dict[PoolId, PoolDemand] = {}

    def plan(self, catalog: Catalog, elapsed_s: float) -> None:
        """Do one step of all control loops.

        Args:
            catalog: Machine types.
            elapsed_s: Time since the last step, at most MAX_PERIOD_S.
        """
        ctx = self.ctx
        for job_class, run_s in ctx.finished_runs:
            self.run_times.add(job_class, run_s, ctx.now)
        ctx.finished_runs.clear()
        loss_rates = {
            pool: losses.rate_per_s(ctx.now)
            for pool, losses in self.inventory.loss_trackers.items()
        }
        planner = DemandPlanner(
            catalog, self.run_times, ctx.now, self.rentals.blocked_until, loss_rates,
            self.parameters.arrivals_window, ctx.price_index(),
        )  # fmt: skip
        self._count_machines(planner)
        self._count_arrivals(planner)
        unplaced_jobs = self._list_unplaced()
        self._count_running(planner)
        planner.pack_waiting(unplaced_jobs, self.current_and_booting_capacity())
        self.demands = planner.pools
        for pool, demand in planner.pools.items():
            self._control(pool, demand, elapsed_s)

    def _count_free_places(self) -> int:
        """Return how many more machines the fleet may hold."""
        machine_count = sum(demand.machine_count for demand in self.demands.values())
        return max(0, self.max_machines - machine_count)

    # Supply and demand

    def _count_machines(self, planner: DemandPlanner) -> None:
        """Count the pools' machines: those that are up or booting, and unanswered requests."""
        inventory = self.inventory
        for machine in inventory.machines.values():
            if machine.id in inventory.returning or machine.lease_expired or machine.quarantined:
                continue
            if machine.pool in planner.pools and not inventory.is_boot_overdue(machine):
                planner.pools[machine.pool].machine_count += 1
        for key, record in self.ctx.view.pools.items():
            demand = planner.pools.get(parse_pool_key(key))
            if demand is not None:
                demand.machine_count += sum(r.count for r in record.rentals if r.machines is None)

    def _count_arrivals(self, planner: DemandPlanner) -> None:
        """Count the arrivals of the window; a job arrives when it may start."""
        ctx = self.ctx
        window_s = self.parameters.arrivals_window
        for name, job in ctx.view.jobs.items():
            if (
                name in self.recent_arrivals
                or ctx.view.prerequisites.is_blocked(name)
                or not job.may_start
            ):
                continue
            arrived_at = ctx.view.eligible_at(name, job)
            if ctx.wall_time - arrived_at < window_s:
                self.recent_arrivals[name] = (arrived_at, job.spec)
        for job_name, (at, spec) in list(self.recent_arrivals.items()):
            if ctx.wall_time - at > window_s:
                del self.recent_arrivals[job_name]
            else:
                planner.count_arrival(spec, min(spec.task_count, MAX_TASKS_PER_ARRIVAL))

    def _list_unplaced(self) -> list[UnplacedTasks]:
        """Return the waiting tasks in queue order, within their teams' limits."""
        ctx = self.ctx
        quota = QuotaTracker(ctx.settings.params.teams, ctx.view.team_usage)
        unplaced_jobs: list[UnplacedTasks] = []
        for queued_job in self.leader.list_queued_jobs(quota):
            count = self._count_allowed(queued_job, quota)
            if count <= 0 or self.leader.is_unwritable(queued_job.name):
                continue
            quota.add_usage(queued_job.job.spec, count)
            tasks_by_zone: dict[str, int] = {}
            for entry in queued_job.job.entries:
                tasks_by_zone[entry.zone] = tasks_by_zone.get(entry.zone, 0) + 1
            unplaced_jobs.append(
                UnplacedTasks(
                    queued_job.job.spec, count, tasks_by_zone, queued_job.slack_s, queued_job.age_s
                )
            )
        return unplaced_jobs

    def _count_allowed(self, queued_job: QueuedJob, quota: QuotaTracker) -> int:
        """Return how many of a job's waiting tasks fit its record and its team's limit."""
        spec = queued_job.job.spec
        count = min(queued_job.job.waiting_count, self.leader.max_entries())
        # A gang for which its team's limit is reserved needs machines as soon as usage drops.
        if self.leader.reserves_quota(queued_job):
            return count
        while count > 0 and not quota.fits_limit(spec, count):
            count = count - 1 if spec.kind == "array" else 0
        return count

    def _count_running(self, planner: DemandPlanner) -> None:
        for name in self.ctx.view.occupied_machines():
            machine = self.inventory.machines.get(name)
            if machine is not None:
                for spec in self.ctx.view.load_of(name).specs:
                    planner.count_running(spec, machine.pool)

    def current_and_booting_capacity(self) -> list[MachineCapacity]:
        """Return what is free on machines that are up, and machines that will be up soon."""
        ctx = self.ctx
        inventory = self.inventory
        capacities = [c for c in ctx.available_machines() if c.id not in inventory.returning]
        available_ids = {c.id for c in capacities}
        for machine in inventory.machines.values():
            type_info = ctx.find_machine_type(machine.machine_type)
            if machine.id in available_ids or machine.id in inventory.returning:
                continue
            if machine.is_up and not inventory.is_recently_handed_over(machine):
                continue
            if type_info and not inventory.is_boot_overdue(machine):
                capacities.append(
                    MachineCapacity(machine.id, type_info, machine.zone, machine.spot, "", 0)
                )
        for capacity in capacities:
            if capacity.reserved_for_gang and capacity.id in self.leader.requested_machines:
                capacity.reserved_for_gang = False
            if ctx.ownership.move_in_progress(capacity.id) is not None:
                # The machine stays in the cell, so its handover is no reason to rent another.
                capacity.is_unschedulable = False
        return capacities

    # The control loop of one pool

    def _control(self, pool: PoolId, demand: PoolDemand, elapsed_s: float) -> None:
        ctx = self.ctx
        target = demand.target_slots(self.parameters.eta, self.max_machines)
        size = demand.machine_count * demand.slots_per_machine
        is_booting = (pool.machine_type, pool.spot) in {
            (machine_type, spot) for machine_type, _, spot in self.leader.booting_offerings
        }
        error = target - size
        last_error, integral = self.pid_states.get(pool, (0.0, 0.0))
        result = compute_pid(
            error,
            last_error,
            integral,
            self.gains,
            hold_integral=is_booting,
            max_integral_output=float(demand.slots_per_machine),
        )
        self.pid_states[pool] = (error, result.integral)
        losses = self.inventory.loss_trackers.get(pool)
        replacements = losses.claim_replacements(ctx.now, elapsed_s, error > 0) if losses else 0
        if target > 0 or demand.machine_count:
            log.debug(
                "pool %s: c*=%.1f c=%d u=%.1f arrivals=%.1f busy=%.1f queued=%.1f backlog=%.1f",
                pool, target, size, result.output, demand.arrived_slots, demand.busy_slots,
                demand.queued_slots, demand.backlog_slots,
            )  # fmt: skip
        adjustment = self._apply_rules(pool, demand, target, losses)
        change = self._machines_to_add(demand, error, result.output, replacements, adjustment)
        if change > 0:
            self._rent(pool, demand, min(change, self._count_free_places()))
        elif change < 0:
            self._return_idle(pool, -change)

    @staticmethod
    def _machines_to_add(
        demand: PoolDemand, error: float, output: float, replacements: int, adjustment: Adjustment
    ) -> int:
        """Return the number of machines to rent, or, if negative, to return.

        Args:
            demand: Demand for the pool.
            error: Target less size, in slots.
            output: Output of the PID controller, in slots.
            replacements: Machines due for recent losses.
            adjustment: Result of the policy rules.
        """
        if output > OUTPUT_DEADBAND and error > 0:
            controlled = max(
                1, math.ceil(output / demand.slots_per_machine - OUTPUT_DEADBAND), replacements
            )
            change = controlled + max(0, adjustment.recruit)
        elif output <= -demand.slots_per_machine and error <= -demand.slots_per_machine:
            change = -int(-output // demand.slots_per_machine) + adjustment.recruit
        else:
            change = adjustment.recruit
        change = max(change, adjustment.at_least - demand.machine_count)
        if adjustment.at_most is not None:
            change = min(change, adjustment.at_most - demand.machine_count)
        return change

    def _apply_rules(
        self, pool: PoolId, demand: PoolDemand, target: float, losses: LossTracker | None
    ) -> Adjustment:
        """Return what the policy rules ask of the pool; log the rules in force when they change."""
        ctx = self.ctx
        if not ctx.policy.rules:
            return Adjustment()
        idle_times_s = [
            ctx.now - capacity.idle_since
            for capacity in ctx.available_machines()
            if (capacity.type_info.name, capacity.spot) == pool and capacity.task_count == 0
        ]
        env: Environment = {
            "lambda": demand.arrived_slots / demand.window_s,
            "mu": 1 / demand.mean_run_s,
            "c": float(demand.machine_count * demand.slots_per_machine),
            "cstar": target,
            "busy": demand.busy_slots,
            "queue": demand.queued_slots + demand.backlog_slots + demand.gang_slots,
            "machines": float(demand.machine_count),
            "price": demand.price_per_slot_s * 3600.0,
            "losses": losses.rate_per_s(ctx.now) * 3600.0 if losses else 0.0,
            "idle": max(idle_times_s, default=0.0),
            "spot": pool.spot,
            "pool": str(pool),
        }
        adjustment = ctx.policy.evaluate_rules(env)
        if adjustment.active_rules != self.active_rules.get(pool, ()):
            self.active_rules[pool] = adjustment.active_rules
            log.info(
                "pool %s: rules in force: %s", pool, ", ".join(adjustment.active_rules) or "none"
            )
        return adjustment

    def _rent(self, pool: PoolId, demand: PoolDemand, count: int) -> None:
        """Request machines in zones where the cloud has capacity, unless a request is pending.

        What exceeds the requests that a pool may have open is requested in a later step.
        """
        count = min(count, self.rentals.count_requestable(pool))
        if count <= 0 or self.rentals.has_pending_write(pool):
            return
        zones = [
            zone
            for zone in demand.type_info.zones
            if not self.rentals.is_blocked(MachineOffering(pool.machine_type, zone, pool.spot))
        ]
        if not zones:
            return
        for zone, zone_count in self._split_by_zone(pool, demand, zones, count).items():
            self.rentals.rent(pool, zone, zone_count)

    def _split_by_zone(
        self, pool: PoolId, demand: PoolDemand, zones: list[str], count: int
    ) -> dict[str, int]:
        """Return machines to rent by zone: first for demand in particular zones, then evenly."""
        existing = dict.fromkeys(zones, 0)
        for machine in self.inventory.machines.values():
            if machine.id in self.inventory.returning:
                continue
            if machine.pool == pool and machine.zone in existing:
                existing[machine.zone] += 1
        split = dict.fromkeys(zones, 0)
        missing = {
            zone: slots / demand.slots_per_machine
            for zone, slots in demand.slots_by_zone.items()
            if zone in split
        }
        for _ in range(count):
            zone = max(missing, key=lambda z: missing[z]) if missing else ""
            if not zone or missing[zone] <= 0:
                zone = min(zones, key=lambda z: (existing[z] + split[z], z))
            else:
                missing[zone] -= 1
            split[zone] += 1
        return split

    def _return_idle(self, pool: PoolId, max_count: int) -> None:
        """Return machines that have been idle for long enough, the longest idle first."""
        ctx = self.ctx
        inventory = self.inventory
        capacities = {c.id: c for c in ctx.available_machines()}
        spare = [
            machine
            for machine in inventory.machines.values()
            if machine.pool == pool
            and machine.id not in inventory.returning
            and machine.id in capacities
            and capacities[machine.id].task_count == 0
            and ctx.now - capacities[machine.id].idle_since > self.parameters.idle
            and not ctx.view.entries_on(machine.id)
        ]
        spare.sort(key=lambda machine: capacities[machine.id].idle_since)
        for machine in spare[:max_count]:
            log.info("machine %s is no longer needed in pool %s", machine.id, pool)
            inventory.returning[machine.id] = SPARE_REASON
