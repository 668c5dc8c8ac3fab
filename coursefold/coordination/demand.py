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
from coursefold.coordination.queueing import optimum
from coursefold.protocol.wire import Catalog, Job, MachineType

RELIEF_S = 30.0
HISTORY_S = 1800.0
DEFAULT_RUN_S = 60.0
PATIENT_S = 10.0
MIN_RUN_S = 1.0


class PoolId(NamedTuple):
    """Alike machines: one type, ordinary or spot."""

    build: str
    spot: bool

    def __str__(self) -> str:
        return f"{self.build}/{'spot' if self.spot else 'ordinary'}"


def slots(kind: MachineType) -> int:
    """Slots of one machine."""
    return max(1, round(kind.gpus or kind.cpus))


def weight(spec: Job, kind: MachineType) -> float:
    """Slots that a task takes."""
    return compute_machine_share(spec, kind) * slots(kind)


class Runs:
    """Mean time on a machine by class, from tasks finished in the last 30 minutes."""

    def __init__(self) -> None:
        self.seen: dict[str, deque[tuple[float, float]]] = {}
        self.means: dict[str, float] = {}
        self.counted_at = 0.0

    def add(self, lane: str, seconds: float, now: float) -> None:
        """Note how long a task of a class was on its machine."""
        self.seen.setdefault(lane, deque(maxlen=200)).append((now, seconds))
        self.means.pop(lane, None)

    def mean(self, spec: Job, now: float) -> float:
        """The measured mean, or the owner's estimate if no task finished yet."""
        if now - self.counted_at > 30.0:
            self.means.clear()
            self.counted_at = now
        found = self.means.get(spec.lane)
        if found is not None:
            return found
        seen = self.seen.get(spec.lane)
        while seen and seen[0][0] < now - HISTORY_S:
            seen.popleft()
        if seen:
            mean = self.means[spec.lane] = max(MIN_RUN_S, sum(s for _, s in seen) / len(seen))
            return mean
        return max(MIN_RUN_S, spec.estimate or DEFAULT_RUN_S)


class Need(NamedTuple):
    """Unplaced tasks of one job, and the seconds they may still wait for their aims."""

    spec: Job
    tasks: int
    zones: dict[str, int]
    slack: float = 0.0
    age: float = 0.0


class PoolDemand:
    """What one pool is asked for, in slots."""

    def __init__(self, kind: MachineType, spot: bool, window: float) -> None:
        self.kind, self.spot, self.window = kind, spot, window
        self.k = slots(kind)
        self.arrivals = 0.0
        self.squares = 0.0
        self.work = 0.0
        self.busy = 0.0
        self.batch = 0.0
        self.batch_work = 0.0
        self.promised = 0.0
        self.service = 0.0
        self.queued = 0.0
        self.backlog = 0.0
        self.gang = 0.0
        self.apart = 0.0
        self.zones: dict[str, float] = {}
        self.capped = False
        self.machines = 0

    @property
    def price(self) -> float:
        """Per slot and second."""
        return (self.kind.spot_price if self.spot else self.kind.price) / 3600.0 / self.k

    @property
    def mean_busy(self) -> float:
        """Mean time of the tasks in place."""
        return self.batch_work / self.batch if self.batch else DEFAULT_RUN_S

    @property
    def mean_run(self) -> float:
        """Mean time that an arrival takes a slot, 1/μ."""
        return self.work / self.arrivals if self.arrivals else DEFAULT_RUN_S

    @property
    def batch_factor(self) -> float:
        """(1 + E[X²]/E[X]) / 2 for arrivals of X slots at once.

        The second moment's part in the wait of M^[X]/M/c queues: in a lump of X, a slot
        finds half the others of its lump before it, besides what waits already.
        """
        return max(1.0, (1.0 + self.squares / self.arrivals) / 2) if self.arrivals else 1.0

    def target(self, eta: float) -> float:
        """c*: the optimum of cost against wait, and the raises."""
        rate = self.arrivals / self.window
        base = 0.0
        if rate:
            base = float(optimum(rate, 1 / self.mean_run, self.price, eta, self.batch_factor))
        raised = self.busy + self.queued + max(self.backlog, self.gang)
        if self.apart:
            # A gang, or a job bound to a zone, has waited for room of one zone: what is free,
            # half a machine here and a whole one in another zone, does not help it, so the
            # pool grows from its size.
            raised = max(raised, self.machines * self.k + self.apart)
        return max(base + self.service, raised)


def effective_price(spec: Job, kind: MachineType, spot: bool, run: float, loss: float) -> float:
    """Price of one task's run, with its boot, its fetch and what a loss repeats."""
    hourly = kind.spot_price if spot else kind.price
    fetch = spec.image_gb / kind.fetch if kind.fetch else 0.0
    lost = loss * (min(spec.checkpoint, run) if spec.checkpoint else run)
    overhead = 1.0 + (fetch + 0.3 * kind.boot) / max(run, 10.0) + lost
    return hourly * compute_machine_share(spec, kind) * overhead


class Planner:
    """Spreads demand over pools, the cheapest first, for one moment."""

    def __init__(
        self,
        catalog: Catalog,
        runs: Runs,
        now: float,
        blocked: dict[MachineOffering, float],
        losses: dict[PoolId, float],
        window: float,
        market: PriceIndex = EMPTY_PRICE_INDEX,
    ) -> None:
        self.window, self.market = window, market
        self.refused = FailedSearches()
        self.catalog, self.runs, self.now = catalog, runs, now
        self.blocked, self.losses = blocked, losses
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

    def choices(self, spec: Job) -> list[PoolId]:
        """Pools that the job allows, cheapest first."""
        run = self.runs.mean(spec, self.now) if spec.shape != "standing" else 600.0
        found = []
        for pool, demand in self.pools.items():
            if fits_machine_type(spec, demand.kind) and (spec.spot or not pool.spot):
                loss = self.losses.get(pool, 0.0)
                price = effective_price(spec, demand.kind, pool.spot, run, loss)
                found.append(
                    (price + self.market.estimate_displacement_cost(spec, demand.kind), pool)
                )
        return [pool for _, pool in sorted(found)]

    def open_zones(self, pool: PoolId, spec: Job) -> list[str]:
        """Zones where the pool could still grow for this job."""
        zones = self.pools[pool].kind.zones if spec.zone is None else [spec.zone]
        return [
            z
            for z in zones
            if self.blocked.get(MachineOffering(pool.build, z, pool.spot), 0.0) <= self.now
        ]

    def arrived(self, spec: Job, tasks: int) -> None:
        """Count an arrival of the window; a pool that cannot grow takes what it has."""
        if spec.shape == "standing":
            return
        run = self.runs.mean(spec, self.now)
        left = float(tasks)
        choices = self.choices(spec)
        for at, pool in enumerate(choices):
            demand = self.pools[pool]
            if self._leftover(spec, demand.kind):
                return
            w = weight(spec, demand.kind)
            take = left
            if not self.open_zones(pool, spec) and at + 1 < len(choices):
                able = demand.machines * demand.k * self.window / max(run, 1.0)
                take = min(left, max(0.0, able - demand.arrivals) / w)
            demand.arrivals += take * w
            demand.squares += (take * w) ** 2
            demand.work += take * w * run
            left -= take
            if left <= 0:
                return

    def running(self, spec: Job, pool: PoolId) -> None:
        """Count a task that has a place in the pool."""
        demand = self.pools.get(pool)
        if demand is None or self._leftover(spec, demand.kind):
            return
        w = weight(spec, demand.kind)
        demand.busy += w
        if spec.shape == "standing":
            demand.service += w
        else:
            demand.batch += w
            demand.batch_work += w * self.runs.mean(spec, self.now)

    def pack(self, needs: Iterable[Need], rooms: list[MachineCapacity]) -> None:
        """Waiting tasks take the free and the booting room first; the rest asks for more."""
        floor = gangs.GangCandidates(r for r in rooms if not r.reserved_for_gang)
        for need in needs:
            spec = need.spec
            if spec.shape == "ensemble" and need.tasks > 1:
                self._pack_gang(need, floor)
                continue
            zones = dict(need.zones)
            picker = (
                None
                if self.refused.covers(spec)
                else PlacementSearch(spec, rooms, zones, price_index=self.market)
            )
            for done in range(need.tasks):
                room = picker.reserve_best() if picker else None
                if room is None:
                    if not (spec.apart or spec.together):
                        self.refused.add(spec)
                    left = need.tasks - done
                    left -= self._relieved(need, left)
                    if left > 0:
                        self._grow(need, left, zones)
                    break
                self._queue(spec, PoolId(room.type_info.name, room.spot))

    def _relieved(self, need: Need, tasks: int) -> int:
        """Waiting tasks that busy slots will have room for in time anyway.

        "In time" is half a minute, or what the job's aims leave; but never less than
        a new machine takes to boot, for that could not help sooner. With a whole
        window, arrays that had slack used it up here and were late for the rest.
        """
        spec = need.spec
        if spec.shape == "standing":
            return 0
        found = 0
        for pool in self.choices(spec):
            demand = self.pools[pool]
            horizon = max(demand.kind.boot, min(need.slack, RELIEF_S))
            w = weight(spec, demand.kind)
            freed = demand.batch * min(1.0, horizon / max(demand.mean_busy, 1.0))
            take = min(tasks - found, int((freed - demand.promised) / w))
            if take > 0:
                demand.promised += take * w
                found += take
        return found

    def _queue(self, spec: Job, pool: PoolId) -> None:
        demand = self.pools[pool]
        if self._leftover(spec, demand.kind):
            return
        w = weight(spec, demand.kind)
        demand.queued += w
        if spec.shape == "standing":
            demand.service += w

    def _pack_gang(self, need: Need, floor: gangs.GangCandidates) -> None:
        rooms = floor.find_fitting(need.spec)
        plan = gangs.find_gang_placement(need.spec, rooms, self.market)
        if plan is not None:
            for room in plan:
                room.reserve(need.spec)
                self._queue(need.spec, PoolId(room.type_info.name, room.spot))
            return
        for pool in self.choices(need.spec):
            open_zones = self.open_zones(pool, need.spec)
            if not open_zones:
                continue
            have = {
                z: sum(1 for r in rooms if r.zone == z and (r.type_info.name, r.spot) == pool)
                for z in open_zones
            }
            zone = max(open_zones, key=lambda z: (have[z], z))
            demand = self.pools[pool]
            w = weight(need.spec, demand.kind)
            # What the zone has free is kept for the gang; the rest has to be rented.
            kept = min(have[zone], need.tasks)
            for room in rooms:
                if not kept:
                    break
                if room.zone == zone:
                    room.reserve(need.spec)
                    self._queue(need.spec, PoolId(room.type_info.name, room.spot))
                    kept -= 1
            short = need.tasks - min(have[zone], need.tasks)
            demand.gang += short * w
            if need.age > PATIENT_S:
                demand.apart += short * w
            demand.zones[zone] = demand.zones.get(zone, 0.0) + short * w
            return

    def _grow(self, need: Need, tasks: int, zones: dict[str, int]) -> None:
        """Ask the cheapest pool that can still grow; none can: the task just waits."""
        spec = need.spec
        for pool in self.choices(spec):
            open_zones = self.open_zones(pool, spec)
            if spec.together and zones:
                open_zones = [z for z in open_zones if z in zones]
            if not open_zones:
                continue
            demand = self.pools[pool]
            w = weight(spec, demand.kind)
            for _ in range(tasks):
                if spec.apart or spec.zone is not None:
                    zone = min(open_zones, key=lambda z: (zones.get(z, 0), z))
                    zones[zone] = zones.get(zone, 0) + 1
                    demand.zones[zone] = demand.zones.get(zone, 0.0) + w
                if spec.zone is not None and need.age > PATIENT_S:
                    demand.apart += w
                if spec.shape == "standing":
                    demand.service += w
                    demand.queued += w
                else:
                    demand.backlog += w
            return
