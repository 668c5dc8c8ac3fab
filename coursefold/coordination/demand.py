"""How many slots each pool should have: λ, μ, c* and its raises.

A pool is alike machines: one type, ordinary or spot. A slot is one
accelerator's share of a machine (one core's, where it has none); a task takes
as many slots as its largest share of the machine is worth.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from coursefold.coordination import gangs
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

RELIEF_S = 30.0
HISTORY_S = 1800.0
DEFAULT_RUN_S = 60.0
PATIENT_S = 10.0
MIN_RUN_S = 1.0


class PoolId(NamedTuple):
    """Alike machines: one type, ordinary or spot."""

    machine_type: str
    spot: bool

    def __str__(self) -> str:
        return f"{self.machine_type}/{'spot' if self.spot else 'ordinary'}"


def slots_of_machine(kind: MachineType) -> int:
    """Slots of one machine."""
    return max(1, round(kind.gpus or kind.cpus))


def slots_of_task(spec: Job, kind: MachineType) -> float:
    """Slots that a task takes."""
    return compute_machine_share(spec, kind) * slots_of_machine(kind)


class RunTimes:
    """Mean time on a machine by class, from tasks finished in the last 30 minutes."""

    def __init__(self) -> None:
        self.samples: dict[str, deque[tuple[float, float]]] = {}
        self.cached_means_s: dict[str, float] = {}
        self.cached_at = 0.0

    def add(self, lane: str, seconds: float, now: float) -> None:
        """Note how long a task of a class was on its machine."""
        self.samples.setdefault(lane, deque(maxlen=200)).append((now, seconds))
        self.cached_means_s.pop(lane, None)

    def mean_run_s(self, spec: Job, now: float) -> float:
        """The measured mean, or the owner's estimate if no task finished yet."""
        if now - self.cached_at > 30.0:
            self.cached_means_s.clear()
            self.cached_at = now
        found = self.cached_means_s.get(spec.lane)
        if found is not None:
            return found
        seen = self.samples.get(spec.lane)
        while seen and seen[0][0] < now - HISTORY_S:
            seen.popleft()
        if seen:
            mean = self.cached_means_s[spec.lane] = max(
                MIN_RUN_S, sum(s for _, s in seen) / len(seen)
            )
            return mean
        return max(MIN_RUN_S, spec.estimate or DEFAULT_RUN_S)


class UnplacedTasks(NamedTuple):
    """Unplaced tasks of one job, and the seconds they may still wait for their aims."""

    spec: Job
    task_count: int
    tasks_by_zone: dict[str, int]
    slack_s: float = 0.0
    age_s: float = 0.0


class PoolDemand:
    """What one pool is asked for, in slots."""

    def __init__(self, kind: MachineType, spot: bool, window: float) -> None:
        self.type_info, self.spot, self.window_s = kind, spot, window
        self.slots_per_machine = slots_of_machine(kind)
        self.arrived_slots = 0.0
        self.arrived_slots_squared = 0.0
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
        """Per slot and second."""
        return (
            (self.type_info.spot_price if self.spot else self.type_info.price)
            / 3600.0
            / self.slots_per_machine
        )

    @property
    def mean_batch_run_s(self) -> float:
        """Mean time of the tasks in place."""
        return self.batch_slot_s / self.batch_slots if self.batch_slots else DEFAULT_RUN_S

    @property
    def mean_run_s(self) -> float:
        """Mean time that an arrival takes a slot, 1/μ."""
        return self.arrived_slot_s / self.arrived_slots if self.arrived_slots else DEFAULT_RUN_S

    @property
    def batch_factor(self) -> float:
        """(1 + E[X²]/E[X]) / 2 for arrivals of X slots at once.

        The second moment's part in the wait of M^[X]/M/c queues: in a lump of X, a slot
        finds half the others of its lump before it, besides what waits already.
        """
        return (
            max(1.0, (1.0 + self.arrived_slots_squared / self.arrived_slots) / 2)
            if self.arrived_slots
            else 1.0
        )

    def target_slots(self, eta: float) -> float:
        """c*: the optimum of cost against wait, and the raises."""
        rate = self.arrived_slots / self.window_s
        base = 0.0
        if rate:
            base = float(
                find_optimal_servers(
                    rate, 1 / self.mean_run_s, self.price_per_slot_s, eta, self.batch_factor
                )
            )
        raised = self.busy_slots + self.queued_slots + max(self.backlog_slots, self.gang_slots)
        if self.zone_bound_slots:
            # A gang, or a job bound to a zone, has waited for room of one zone: what is free,
            # half a machine here and a whole one in another zone, does not help it, so the
            # pool grows from its size.
            raised = max(
                raised, self.machine_count * self.slots_per_machine + self.zone_bound_slots
            )
        return max(base + self.standing_slots, raised)


def effective_price(spec: Job, kind: MachineType, spot: bool, run: float, loss: float) -> float:
    """Price of one task's run, with its boot, its fetch and what a loss repeats."""
    hourly = kind.spot_price if spot else kind.price
    fetch = spec.image_gb / kind.fetch if kind.fetch else 0.0
    lost = loss * (min(spec.checkpoint, run) if spec.checkpoint else run)
    overhead = 1.0 + (fetch + 0.3 * kind.boot) / max(run, 10.0) + lost
    return hourly * compute_machine_share(spec, kind) * overhead


class DemandPlanner:
    """Spreads demand over pools, the cheapest first, for one moment."""

    def __init__(
        self,
        catalog: Catalog,
        runs: RunTimes,
        now: float,
        blocked: dict[MachineOffering, float],
        losses: dict[PoolId, float],
        window: float,
        market: PriceIndex = EMPTY_PRICE_INDEX,
    ) -> None:
        self.window_s, self.market = window, market
        self.refused = FailedSearches()
        self.catalog, self.run_times, self.now = catalog, runs, now
        self.blocked_until, self.loss_rates = blocked, losses
        self.pools = {
            PoolId(kind.name, spot): PoolDemand(kind, spot, window)
            for kind in catalog.builds
            for spot in (False, True)
        }

    def _leftover(self, spec: Job, kind: MachineType) -> bool:
        """A task without accelerators on a machine that is rented for those with them.

        It fills what they leave over, so it neither counts as use of the machine nor asks
        for more of them, but for what finds no room at all.
        """
        return not spec.gpus and kind.gpus > 0 and bool(self.market.accelerator_jobs)

    def eligible_pools(self, spec: Job) -> list[PoolId]:
        """Pools that the job allows, cheapest first."""
        run = self.run_times.mean_run_s(spec, self.now) if spec.shape != "standing" else 600.0
        found = []
        for pool, demand in self.pools.items():
            if fits_machine_type(spec, demand.type_info) and (spec.spot or not pool.spot):
                loss = self.loss_rates.get(pool, 0.0)
                price = effective_price(spec, demand.type_info, pool.spot, run, loss)
                found.append(
                    (price + self.market.estimate_displacement_cost(spec, demand.type_info), pool)
                )
        return [pool for _, pool in sorted(found)]

    def open_zones(self, pool: PoolId, spec: Job) -> list[str]:
        """Zones where the pool could still grow for this job."""
        zones = self.pools[pool].type_info.zones if spec.zone is None else [spec.zone]
        return [
            z
            for z in zones
            if self.blocked_until.get(MachineOffering(pool.machine_type, z, pool.spot), 0.0)
            <= self.now
        ]

    def count_arrival(self, spec: Job, tasks: int) -> None:
        """Count an arrival of the window; a pool that cannot grow takes what it has."""
        if spec.shape == "standing":
            return
        run = self.run_times.mean_run_s(spec, self.now)
        left = float(tasks)
        choices = self.eligible_pools(spec)
        for at, pool in enumerate(choices):
            demand = self.pools[pool]
            if self._leftover(spec, demand.type_info):
                return
            w = slots_of_task(spec, demand.type_info)
            take = left
            if not self.open_zones(pool, spec) and at + 1 < len(choices):
                able = (
                    demand.machine_count * demand.slots_per_machine * self.window_s / max(run, 1.0)
                )
                take = min(left, max(0.0, able - demand.arrived_slots) / w)
            demand.arrived_slots += take * w
            demand.arrived_slots_squared += (take * w) ** 2
            demand.arrived_slot_s += take * w * run
            left -= take
            if left <= 0:
                return

    def count_running(self, spec: Job, pool: PoolId) -> None:
        """Count a task that has a place in the pool."""
        demand = self.pools.get(pool)
        if demand is None or self._leftover(spec, demand.type_info):
            return
        w = slots_of_task(spec, demand.type_info)
        demand.busy_slots += w
        if spec.shape == "standing":
            demand.standing_slots += w
        else:
            demand.batch_slots += w
            demand.batch_slot_s += w * self.run_times.mean_run_s(spec, self.now)

    def pack_waiting(self, needs: Iterable[UnplacedTasks], rooms: list[MachineCapacity]) -> None:
        """Waiting tasks take the free and the booting room first; the rest asks for more."""
        floor = gangs.GangCandidates(r for r in rooms if not r.reserved_for_gang)
        for need in needs:
            spec = need.spec
            if spec.shape == "ensemble" and need.task_count > 1:
                self._pack_gang(need, floor)
                continue
            zones = dict(need.tasks_by_zone)
            picker = (
                None
                if self.refused.covers(spec)
                else PlacementSearch(spec, rooms, zones, price_index=self.market)
            )
            for done in range(need.task_count):
                room = picker.reserve_best() if picker else None
                if room is None:
                    if not (spec.apart or spec.together):
                        self.refused.add(spec)
                    left = need.task_count - done
                    left -= self._relieved(need, left)
                    if left > 0:
                        self._grow(need, left, zones)
                    break
                self._queue(spec, PoolId(room.type_info.name, room.spot))

    def _relieved(self, need: UnplacedTasks, tasks: int) -> int:
        """Waiting tasks that busy slots will have room for in time anyway.

        "In time" is half a minute, or what the job's aims leave; but never less than
        a new machine takes to boot, for that could not help sooner. With a whole
        window, arrays that had slack used it up here and were late for the rest.
        """
        spec = need.spec
        if spec.shape == "standing":
            return 0
        found = 0
        for pool in self.eligible_pools(spec):
            demand = self.pools[pool]
            horizon = max(demand.type_info.boot, min(need.slack_s, RELIEF_S))
            w = slots_of_task(spec, demand.type_info)
            freed = demand.batch_slots * min(1.0, horizon / max(demand.mean_batch_run_s, 1.0))
            take = min(tasks - found, int((freed - demand.claimed_slots) / w))
            if take > 0:
                demand.claimed_slots += take * w
                found += take
        return found

    def _queue(self, spec: Job, pool: PoolId) -> None:
        demand = self.pools[pool]
        if self._leftover(spec, demand.type_info):
            return
        w = slots_of_task(spec, demand.type_info)
        demand.queued_slots += w
        if spec.shape == "standing":
            demand.standing_slots += w

    def _pack_gang(self, need: UnplacedTasks, floor: gangs.GangCandidates) -> None:
        rooms = floor.find_fitting(need.spec)
        plan = gangs.find_gang_placement(need.spec, rooms, self.market)
        if plan is not None:
            for room in plan:
                room.reserve(need.spec)
                self._queue(need.spec, PoolId(room.type_info.name, room.spot))
            return
        for pool in self.eligible_pools(need.spec):
            open_zones = self.open_zones(pool, need.spec)
            if not open_zones:
                continue
            have = {
                z: sum(1 for r in rooms if r.zone == z and (r.type_info.name, r.spot) == pool)
                for z in open_zones
            }
            zone = max(open_zones, key=lambda z: (have[z], z))
            demand = self.pools[pool]
            w = slots_of_task(need.spec, demand.type_info)
            # What the zone has free is kept for the gang; the rest has to be rented.
            kept = min(have[zone], need.task_count)
            for room in rooms:
                if not kept:
                    break
                if room.zone == zone:
                    room.reserve(need.spec)
                    self._queue(need.spec, PoolId(room.type_info.name, room.spot))
                    kept -= 1
            short = need.task_count - min(have[zone], need.task_count)
            demand.gang_slots += short * w
            if need.age_s > PATIENT_S:
                demand.zone_bound_slots += short * w
            demand.slots_by_zone[zone] = demand.slots_by_zone.get(zone, 0.0) + short * w
            return

    def _grow(self, need: UnplacedTasks, tasks: int, zones: dict[str, int]) -> None:
        """Ask the cheapest pool that can still grow; none can: the task just waits."""
        spec = need.spec
        for pool in self.eligible_pools(spec):
            open_zones = self.open_zones(pool, spec)
            if spec.together and zones:
                open_zones = [z for z in open_zones if z in zones]
            if not open_zones:
                continue
            demand = self.pools[pool]
            w = slots_of_task(spec, demand.type_info)
            for _ in range(tasks):
                if spec.apart or spec.zone is not None:
                    zone = min(open_zones, key=lambda z: (zones.get(z, 0), z))
                    zones[zone] = zones.get(zone, 0) + 1
                    demand.slots_by_zone[zone] = demand.slots_by_zone.get(zone, 0.0) + w
                if spec.zone is not None and need.age_s > PATIENT_S:
                    demand.zone_bound_slots += w
                if spec.shape == "standing":
                    demand.standing_slots += w
                    demand.queued_slots += w
                else:
                    demand.backlog_slots += w
            return
