"""Expected waits: how long a job would wait in a cell as it is.

The queue is that of the pools (M/M/c, `coordination.queueing`): E[W] for what arrives while
the pool keeps up, and what is ahead over the rate at which slots become free where it does
not. Where more machines can be rented, nobody waits for much longer than a boot.
"""

from collections.abc import Iterable
from typing import NamedTuple

from coursefold.cells.messages import PoolState
from coursefold.coordination.demand import PoolDemand, slots_of_task
from coursefold.coordination.placement import fits_machine_type
from coursefold.coordination.queueing import evaluate_queue
from coursefold.protocol.wire import Job

BOOT_FACTOR = 1.3  # machines take up to half as long again
LONGEST_S = 3600.0  # beyond it one wait is as bad as another
BUSIEST = 0.99  # of a pool's slots; from there on the wait is told by what is ahead
ZONES_APART = 2


class Expectation(NamedTuple):
    """An expected wait in seconds, and the number of the pool."""

    wait: float
    pool: int


def pool_state(demand: PoolDemand, growth: float) -> PoolState:
    """A pool as it is, booting machines included, before anything that waits is placed."""
    size = float(demand.machine_count * demand.slots_per_machine)
    mean_run = demand.mean_batch_run_s if demand.batch_slots else demand.mean_run_s
    steady = 0.0
    rate = demand.arrived_slots / demand.window_s
    if 0 < rate * demand.mean_run_s < BUSIEST * size:
        steady = (
            evaluate_queue(int(size), rate, 1 / demand.mean_run_s).mean_wait_s * demand.batch_factor
        )
    return PoolState(
        kind=demand.type_info,
        spot=demand.spot,
        price=demand.price_per_slot_s,
        free=max(0.0, size - demand.busy_slots),
        ahead=0.0,
        # Of a pool that is full; what is free is told apart. Replicas do not end by themselves.
        drain=max(0.0, size - demand.standing_slots) / max(1.0, mean_run),
        steady_s=min(LONGEST_S, steady),
        growth=growth,
    )


def may_use(spec: Job, pool: PoolState) -> bool:
    """May the job's tasks run in the pool?"""
    if not fits_machine_type(spec, pool.kind) or (pool.spot and not spec.may_use_spot):
        return False
    return not spec.spread_zones or len(pool.kind.zones) >= ZONES_APART


def fetch_s(spec: Job, pool: PoolState) -> float:
    """Seconds until the job's image is there."""
    return spec.image_gb / pool.kind.fetch_gb_per_s if pool.kind.fetch_gb_per_s else 0.0


def pool_wait(spec: Job, tasks: int, pool: PoolState) -> float:
    """Expected seconds until so many of the job's tasks start in the pool."""
    slots = tasks * slots_of_task(spec, pool.kind)
    lacking = slots + pool.ahead - pool.free
    if lacking <= 0:
        # There is room now; the less, the more likely it is gone on arrival.
        return pool.steady_s * (slots / pool.free if pool.free else 0.0)
    wait = LONGEST_S
    if pool.drain > 0:
        wait = min(LONGEST_S, pool.steady_s + lacking / pool.drain)
    if lacking <= pool.growth:
        wait = min(wait, pool.kind.boot_s * BOOT_FACTOR)
    return wait


class Pools:
    """The pools of one cell, filled step by step by what is on its way to them."""

    def __init__(self, states: Iterable[PoolState]) -> None:
        self.states = list(states)

    def best(self, spec: Job, tasks: int) -> Expectation | None:
        """The shortest expected wait of the job's tasks, and where; None: no pool may run it."""
        found: Expectation | None = None
        for at, pool in enumerate(self.states):
            if not may_use(spec, pool):
                continue
            wait = pool_wait(spec, tasks, pool)
            if found is None or wait < found.wait:
                found = Expectation(wait, at)
        return found

    def take(self, at: int, spec: Job, tasks: int) -> None:
        """The job is on its way to this pool."""
        pool = self.states[at]
        left = pool.free - tasks * slots_of_task(spec, pool.kind)
        self.states[at] = pool._replace(free=max(0.0, left), ahead=pool.ahead + max(0.0, -left))
