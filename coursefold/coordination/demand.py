"""Demand for each pool: arrival rate λ, service rate μ, and the target size c* in slots.

A pool consists of machines of one type, either spot or ordinary. A slot is one accelerator's
share of a machine, or one CPU's share where the machine has no accelerators. A task takes
as many slots as the share of the machine that it needs is worth.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from coursefold.coordination import gangs
from coursefold.coordination.fleet_size import MAX_LIMIT_MACHINES
from coursefold.coordination.placement import (
    EMPTY_PRICE_INDEX,
    FailedSearches,
    MachineCapacity,
    MachineOffering,
    PlacementSearch,
    PriceIndex,
    compute_machine_share,
    fits_machine_type,
)
from coursefold.coordination.queueing import find_optimal_servers
from coursefold.protocol.wire import Catalog, Job, MachineType

MAX_RELIEF_WAIT_S = 30.0  # see DemandPlanner._count_relieved
RUN_TIME_WINDOW_S = 1800.0
DEFAULT_RUN_S = 60.0
ZONE_GROWTH_DELAY_S = 10.0  # wait after which free slots in other zones no longer count
MIN_RUN_S = 1.0
LOAD_HORIZON_S = 3600.0  # a longer run time counts as this one: it may be in a wrong unit


class PoolId(NamedTuple):
    """Machines of one type, either spot or ordinary."""

    machine_type: str
    spot: bool

    def __str__(self) -> str:
        return f"{self.machine_type}/{'spot' if self.spot else 'ordinary'}"


def slots_of_machine(type_info: MachineType) -> int:
    """Return the number of slots of one machine."""
    return max(1, round(type_info.gpus or type_info.cpus))


def slots_of_task(spec: Job, type_info: MachineType) -> float:
    """Return the number of slots that one task of the job takes on a machine of the type."""
    return compute_machine_share(spec, type_info) * slots_of_machine(type_info)


class RunTimes:
    """Mean run times by job class, from the tasks that finished in the last 30 minutes."""

    def __init__(self) -> None:
        # By job class: when a task finished, and for how long it was on its machine.
        self.samples: dict[str, deque[tuple[float, float]]] = {}
        self.cached_means_s: dict[str, float] = {}
        self.cached_at = 0.0

    def add(self, job_class: str, run_s: float, now: float) -> None:
        """Record for how long a task of the class was on its machine."""
        self.samples.setdefault(job_class, deque(maxlen=200)).append((now, run_s))
        self.cached_means_s.pop(job_class, None)

    def mean_run_s(self, spec: Job, now: float) -> float:
        """Return the mean of the job's class.

        Returns the estimate of the job's owner while no task of the class has finished, or
        DEFAULT_RUN_S without an estimate.
        """
        if now - self.cached_at > 30.0:
            self.cached_means_s.clear()
            self.cached_at = now
        cached_s = self.cached_means_s.get(spec.job_class)
        if cached_s is not None:
            return cached_s
        samples = self.samples.get(spec.job_class)
        while samples and samples[0][0] < now - RUN_TIME_WINDOW_S:
            samples.popleft()
        if samples:
            mean_s = self.cached_means_s[spec.job_class] = max(
                MIN_RUN_S, sum(run_s for _, run_s in samples) / len(samples)
            )
            return mean_s
        return max(MIN_RUN_S, spec.estimated_run_s or DEFAULT_RUN_S)


class UnplacedTasks(NamedTuple):
    """Tasks of one job that wait for a machine.

    Attributes:
        spec: Job description.
        task_count: Number of tasks without a machine.
        tasks_by_zone: Number of the job's tasks that have a machine, by zone.
        slack_s: Time that the tasks may still wait without missing an objective.
        age_s: Time since the job could have started.
    """

    spec: Job
    task_count: int
    tasks_by_zone: dict[str, int]
    slack_s: float = 0.0
    age_s: float = 0.0


class PoolDemand:
    """What jobs need of one pool, in slots.

    Attributes:
        type_info: Machine type of the pool.
        spot: Whether the pool consists of spot machines.
        window_s: Length of the window in which arrivals are counted.
        slots_per_machine: Slots of one machine.
        arrived_slots: Slots of the tasks that arrived in the window.
        sum_squared_arrivals: Sum of the squared slots of each arrival.
        arrived_slot_s: Expected run times of the arrivals, times their slots.
        busy_slots: Slots of the tasks that have a machine.
        batch_slots: The part of `busy_slots` whose tasks end by themselves.
        batch_slot_s: Expected run times of these tasks, times their slots.
        claimed_slots: The part of `batch_slots` that becomes free in time for waiting tasks.
        standing_slots: Slots of replicas, which do not end by themselves, placed or not.
        queued_slots: Slots of waiting tasks that fit machines which are up or booting, and
            of all waiting replicas.
        backlog_slots: Slots of other waiting tasks, for which machines have to be rented.
        gang_slots: Slots that gangs lack.
        zone_bound_slots: Slots that gangs and jobs bound to one zone have lacked for longer
            than ZONE_GROWTH_DELAY_S.
        slots_by_zone: Slots to be rented in particular zones.
        machine_count: Machines that are up, will be up soon, or are being requested.
    """

    def __init__(self, type_info: MachineType, spot: bool, window_s: float) -> None:
        self.type_info, self.spot, self.window_s = type_info, spot, window_s
        self.slots_per_machine = slots_of_machine(type_info)
        self.arrived_slots = 0.0
        self.sum_squared_arrivals = 0.0
        self.arrived_slot_s = 0.0
        self.busy_slots = 0.0
        self.batch_slots = 0.0
        self.batch_slot_s = 0.0
        self.claimed_slots = 0.0
        self.standing_slots = 0.0
        self.queued_slots = 0.0
        self.backlog_slots = 0.0
        self.gang_slots = 0.0
        self.zone_bound_slots = 0.0
        self.slots_by_zone: dict[str, float] = {}
        self.capped = False
        self.machine_count = 0

    @property
    def price_per_slot_s(self) -> float:
        """Price of one slot per second."""
        return (
            (self.type_info.spot_price_per_hour if self.spot else self.type_info.price_per_hour)
            / 3600.0
            / self.slots_per_machine
        )

    @property
    def mean_batch_run_s(self) -> float:
        """Mean run time of the placed tasks that end by themselves, weighted by slots."""
        return self.batch_slot_s / self.batch_slots if self.batch_slots else DEFAULT_RUN_S

    @property
    def mean_run_s(self) -> float:
        """Mean time for which an arrival takes a slot, 1/μ."""
        return self.arrived_slot_s / self.arrived_slots if self.arrived_slots else DEFAULT_RUN_S

    @property
    def batch_factor(self) -> float:
        """Factor (1 + E[X²]/E[X]) / 2 by which arrivals of X slots at once lengthen the wait.

        This is the part of the second moment in the wait of M^[X]/M/c queues: besides what
        already waits, a slot has on average half of the others of its batch before it.
        """
        return (
            max(1.0, (1.0 + self.sum_squared_arrivals / self.arrived_slots) / 2)
            if self.arrived_slots
            else 1.0
        )

    def target_slots(self, eta: float, max_machines: int = MAX_LIMIT_MACHINES) -> float:
        """Return the target size: c*, raised to what placed and waiting tasks need.

        Args:
            eta: Weight of the wait against the cost, between 0 and 1.
            max_machines: The most machines that the fleet may hold; limits c*.
        """
        arrival_rate = self.arrived_slots / self.window_s
        optimum = 0.0
        if arrival_rate:
            optimum = float(
                find_optimal_servers(
                    arrival_rate,
                    1 / self.mean_run_s,
                    self.price_per_slot_s,
                    eta,
                    self.batch_factor,
                    max_machines * self.slots_per_machine,
                )
            )
        needed = self.busy_slots + self.queued_slots + max(self.backlog_slots, self.gang_slots)
        if self.zone_bound_slots:
            # A gang, or a job bound to a zone, needs capacity in one zone. Free slots do not
            # help it if they are half a machine here and a whole one in another zone, so the
            # pool grows from its present size.
            needed = max(
                needed, self.machine_count * self.slots_per_machine + self.zone_bound_slots
            )
        return max(optimum + self.standing_slots, needed)


def compute_effective_price(
    spec: Job, type_info: MachineType, spot: bool, run_s: float, losses_per_s: float
) -> float:
    """Return the hourly price of one task, with its share of boot, image fetch and lost work.

    Args:
        spec: Job of the task.
        type_info: Machine type on which the task runs.
        spot: Whether the machine is a spot machine.
        run_s: Mean run time of the task.
        losses_per_s: Rate of losses; a loss repeats the work since the last checkpoint.
    """
    hourly = type_info.spot_price_per_hour if spot else type_info.price_per_hour
    fetch_s = spec.image_gb / type_info.fetch_gb_per_s if type_info.fetch_gb_per_s else 0.0
    repeated_share = losses_per_s * (
        min(spec.checkpoint_interval_s, run_s) if spec.checkpoint_interval_s else run_s
    )
    overhead_factor = 1.0 + (fetch_s + 0.3 * type_info.boot_s) / max(run_s, 10.0) + repeated_share
    return hourly * compute_machine_share(spec, type_info) * overhead_factor


class DemandPlanner:
    """Distributes the demand of one moment over the pools, the cheapest first.

    Attributes:
        pools: Demand for each pool of the catalog.
        blocked_until: Offerings without capacity, and until when none of them is requested.
        loss_rates: Machines lost per second, by pool.
    """

    def __init__(
        self,
        catalog: Catalog,
        run_times: RunTimes,
        now: float,
        blocked_until: dict[MachineOffering, float],
        loss_rates: dict[PoolId, float],
        window_s: float,
        price_index: PriceIndex = EMPTY_PRICE_INDEX,
    ) -> None:
        self.window_s, self.price_index = window_s, price_index
        self.failed_searches = FailedSearches()
        self.catalog, self.run_times, self.now = catalog, run_times, now
        self.blocked_until, self.loss_rates = blocked_until, loss_rates
        self.pools = {
            PoolId(type_info.name, spot): PoolDemand(type_info, spot, window_s)
            for type_info in catalog.machine_types
            for spot in (False, True)
        }

    def _uses_leftovers(self, spec: Job, type_info: MachineType) -> bool:
        """Return whether the job needs no accelerators but the type is rented for their sake.

        Such a task uses what tasks with accelerators leave free. It neither counts as use of
        the machine nor makes the pool grow, unless it finds no free capacity at all.
        """
        return not spec.gpus and type_info.gpus > 0 and bool(self.price_index.accelerator_jobs)

    def eligible_pools(self, spec: Job) -> list[PoolId]:
        """Return the pools that the job may use, the cheapest first."""
        run_s = self.run_times.mean_run_s(spec, self.now) if spec.kind != "standing" else 600.0
        priced = []
        for pool, demand in self.pools.items():
            if fits_machine_type(spec, demand.type_info) and (spec.may_use_spot or not pool.spot):
                loss_rate = self.loss_rates.get(pool, 0.0)
                price = compute_effective_price(spec, demand.type_info, pool.spot, run_s, loss_rate)
                priced.append(
                    (
                        price + self.price_index.estimate_displacement_cost(spec, demand.type_info),
                        pool,
                    )
                )
        return [pool for _, pool in sorted(priced)]

    def open_zones(self, pool: PoolId, spec: Job) -> list[str]:
        """Return the zones where machines of the pool can be rented for this job."""
        zones = self.pools[pool].type_info.zones if spec.zone is None else [spec.zone]
        return [
            zone
            for zone in zones
            if self.blocked_until.get(MachineOffering(pool.machine_type, zone, pool.spot), 0.0)
            <= self.now
        ]

    def _counted_run_s(self, spec: Job) -> float:
        """Return the mean run time of the job's class, as far as it counts for sizes.

        Arrivals within the horizon cannot build up more load. Tasks that run for longer count
        for as long as they run.
        """
        return min(LOAD_HORIZON_S, self.run_times.mean_run_s(spec, self.now))

    def count_arrival(self, spec: Job, task_count: int) -> None:
        """Count a job that arrived in the window.

        A pool that cannot grow is counted only for as much as its machines can serve in the
        window; the rest goes to the next cheapest pool. Replicas are no arrivals, since they
        do not end by themselves.
        """
        if spec.kind == "standing":
            return
        run_s = self._counted_run_s(spec)
        remaining = float(task_count)
        pools = self.eligible_pools(spec)
        for index, pool in enumerate(pools):
            demand = self.pools[pool]
            if self._uses_leftovers(spec, demand.type_info):
                return
            task_slots = slots_of_task(spec, demand.type_info)
            counted = remaining
            if not self.open_zones(pool, spec) and index + 1 < len(pools):
                servable_slots = (
                    demand.machine_count
                    * demand.slots_per_machine
                    * self.window_s
                    / max(run_s, 1.0)
                )
                counted = min(
                    remaining, max(0.0, servable_slots - demand.arrived_slots) / task_slots
                )
            demand.arrived_slots += counted * task_slots
            demand.sum_squared_arrivals += (counted * task_slots) ** 2
            demand.arrived_slot_s += counted * task_slots * run_s
            remaining -= counted
            if remaining <= 0:
                return

    def count_running(self, spec: Job, pool: PoolId) -> None:
        """Count a task that has a machine of the pool."""
        demand = self.pools.get(pool)
        if demand is None or self._uses_leftovers(spec, demand.type_info):
            return
        task_slots = slots_of_task(spec, demand.type_info)
        demand.busy_slots += task_slots
        if spec.kind == "standing":
            demand.standing_slots += task_slots
        else:
            demand.batch_slots += task_slots
            demand.batch_slot_s += task_slots * self._counted_run_s(spec)

    def pack_waiting(
        self, unplaced_jobs: Iterable[UnplacedTasks], capacities: list[MachineCapacity]
    ) -> None:
        """Count waiting tasks: first on free and booting machines, the rest as growth.

        Args:
            unplaced_jobs: Waiting tasks in queue order.
            capacities: Machines that are up or booting; what the tasks take is reserved there.
        """
        gang_capacity = gangs.GangCandidates(
            capacity for capacity in capacities if not capacity.reserved_for_gang
        )
        for unplaced in unplaced_jobs:
            spec = unplaced.spec
            if spec.kind == "ensemble" and unplaced.task_count > 1:
                self._pack_gang(unplaced, gang_capacity)
                continue
            tasks_by_zone = dict(unplaced.tasks_by_zone)
            search = (
                None
                if self.failed_searches.covers(spec)
                else PlacementSearch(spec, capacities, tasks_by_zone, price_index=self.price_index)
            )
            for placed_count in range(unplaced.task_count):
                capacity = search.reserve_best() if search else None
                if capacity is None:
                    if not (spec.spread_zones or spec.same_zone):
                        self.failed_searches.add(spec)
                    remaining = unplaced.task_count - placed_count
                    remaining -= self._count_relieved(unplaced, remaining)
                    if remaining > 0:
                        self._request_growth(unplaced, remaining, tasks_by_zone)
                    break
                self._count_queued(spec, PoolId(capacity.type_info.name, capacity.spot))

    def _count_relieved(self, unplaced: UnplacedTasks, task_count: int) -> int:
        """Return how many waiting tasks need no new machine: busy slots become free in time.

        "In time" means within the job's slack and MAX_RELIEF_WAIT_S, but no less than the boot
        time of a new machine, which could not help any sooner. With the whole window instead
        of MAX_RELIEF_WAIT_S, arrays use up their slack in this wait and end late.
        """
        spec = unplaced.spec
        if spec.kind == "standing":
            return 0
        relieved = 0
        for pool in self.eligible_pools(spec):
            demand = self.pools[pool]
            horizon_s = max(demand.type_info.boot_s, min(unplaced.slack_s, MAX_RELIEF_WAIT_S))
            task_slots = slots_of_task(spec, demand.type_info)
            freed_slots = demand.batch_slots * min(
                1.0, horizon_s / max(demand.mean_batch_run_s, 1.0)
            )
            count = min(
                task_count - relieved, int((freed_slots - demand.claimed_slots) / task_slots)
            )
            if count > 0:
                demand.claimed_slots += count * task_slots
                relieved += count
        return relieved

    def _count_queued(self, spec: Job, pool: PoolId) -> None:
        """Count a waiting task for which the pool has capacity now or after a boot."""
        demand = self.pools[pool]
        if self._uses_leftovers(spec, demand.type_info):
            return
        task_slots = slots_of_task(spec, demand.type_info)
        demand.queued_slots += task_slots
        if spec.kind == "standing":
            demand.standing_slots += task_slots

    def _pack_gang(self, unplaced: UnplacedTasks, gang_capacity: gangs.GangCandidates) -> None:
        """Count a waiting gang: on free and booting machines if all of it fits there.

        Otherwise the cheapest pool that can grow is to have enough machines for it in one
        zone, the one that has most of them already.
        """
        capacities = gang_capacity.find_fitting(unplaced.spec)
        plan = gangs.find_gang_placement(unplaced.spec, capacities, self.price_index)
        if plan is not None:
            for capacity in plan:
                capacity.reserve(unplaced.spec)
                self._count_queued(unplaced.spec, PoolId(capacity.type_info.name, capacity.spot))
            return
        for pool in self.eligible_pools(unplaced.spec):
            open_zones = self.open_zones(pool, unplaced.spec)
            if not open_zones:
                continue
            usable_by_zone = {
                zone: sum(
                    1 for c in capacities if c.zone == zone and (c.type_info.name, c.spot) == pool
                )
                for zone in open_zones
            }
            zone = max(open_zones, key=lambda z: (usable_by_zone[z], z))
            demand = self.pools[pool]
            task_slots = slots_of_task(unplaced.spec, demand.type_info)
            # What is free in the zone is reserved for the gang; the rest has to be rented.
            to_reserve = min(usable_by_zone[zone], unplaced.task_count)
            for capacity in capacities:
                if not to_reserve:
                    break
                if capacity.zone == zone:
                    capacity.reserve(unplaced.spec)
                    self._count_queued(
                        unplaced.spec, PoolId(capacity.type_info.name, capacity.spot)
                    )
                    to_reserve -= 1
            missing = unplaced.task_count - min(usable_by_zone[zone], unplaced.task_count)
            demand.gang_slots += missing * task_slots
            if unplaced.age_s > ZONE_GROWTH_DELAY_S:
                demand.zone_bound_slots += missing * task_slots
            demand.slots_by_zone[zone] = demand.slots_by_zone.get(zone, 0.0) + missing * task_slots
            return

    def _request_growth(
        self, unplaced: UnplacedTasks, task_count: int, tasks_by_zone: dict[str, int]
    ) -> None:
        """Count tasks as demand of the cheapest pool that can grow; without one they only wait."""
        spec = unplaced.spec
        for pool in self.eligible_pools(spec):
            open_zones = self.open_zones(pool, spec)
            if spec.same_zone and tasks_by_zone:
                open_zones = [zone for zone in open_zones if zone in tasks_by_zone]
            if not open_zones:
                continue
            demand = self.pools[pool]
            task_slots = slots_of_task(spec, demand.type_info)
            for _ in range(task_count):
                if spec.spread_zones or spec.zone is not None:
                    zone = min(open_zones, key=lambda z: (tasks_by_zone.get(z, 0), z))
                    tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + 1
                    demand.slots_by_zone[zone] = demand.slots_by_zone.get(zone, 0.0) + task_slots
                if spec.zone is not None and unplaced.age_s > ZONE_GROWTH_DELAY_S:
                    demand.zone_bound_slots += task_slots
                if spec.kind == "standing":
                    demand.standing_slots += task_slots
                    demand.queued_slots += task_slots
                else:
                    demand.backlog_slots += task_slots
            return
