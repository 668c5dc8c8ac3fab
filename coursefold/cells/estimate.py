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

BOOT_TIME_FACTOR = 1.3  # machines take up to half as long again
MAX_WAIT_S = 3600.0  # beyond it one wait is as bad as another
MAX_UTILIZATION = 0.99  # of a pool's slots; from there on the wait is told by what is ahead
MIN_SPREAD_ZONES = 2


class ExpectedWait(NamedTuple):
    """An expected wait in seconds, and the number of the pool."""

    wait_s: float
    pool_index: int


def compute_pool_state(demand: PoolDemand, growth_slots: float) -> PoolState:
    """A pool as it is, booting machines included, before anything that waits is placed."""
    slots_total = float(demand.machine_count * demand.slots_per_machine)
    mean_run_s = demand.mean_batch_run_s if demand.batch_slots else demand.mean_run_s
    steady_wait_s = 0.0
    rate = demand.arrived_slots / demand.window_s
    if 0 < rate * demand.mean_run_s < MAX_UTILIZATION * slots_total:
        steady_wait_s = (
            evaluate_queue(int(slots_total), rate, 1 / demand.mean_run_s).mean_wait_s
            * demand.batch_factor
        )
    return PoolState(
        type_info=demand.type_info,
        spot=demand.spot,
        price_per_slot_s=demand.price_per_slot_s,
        free_slots=max(0.0, slots_total - demand.busy_slots),
        queued_slots=0.0,
        # Of a pool that is full; what is free is told apart. Replicas do not end by themselves.
        freed_slots_per_s=max(0.0, slots_total - demand.standing_slots) / max(1.0, mean_run_s),
        steady_wait_s=min(MAX_WAIT_S, steady_wait_s),
        growth_slots=growth_slots,
    )


def may_run_in(spec: Job, pool: PoolState) -> bool:
    """May the job's tasks run in the pool?"""
    if not fits_machine_type(spec, pool.type_info) or (pool.spot and not spec.may_use_spot):
        return False
    return not spec.spread_zones or len(pool.type_info.zones) >= MIN_SPREAD_ZONES


def image_fetch_s(spec: Job, pool: PoolState) -> float:
    """Seconds until the job's image is there."""
    return spec.image_gb / pool.type_info.fetch_gb_per_s if pool.type_info.fetch_gb_per_s else 0.0


def estimate_wait_s(spec: Job, task_count: int, pool: PoolState) -> float:
    """Expected seconds until so many of the job's tasks start in the pool."""
    slots = task_count * slots_of_task(spec, pool.type_info)
    missing_slots = slots + pool.queued_slots - pool.free_slots
    if missing_slots <= 0:
        # There is room now; the less, the more likely it is gone on arrival.
        return pool.steady_wait_s * (slots / pool.free_slots if pool.free_slots else 0.0)
    wait_s = MAX_WAIT_S
    if pool.freed_slots_per_s > 0:
        wait_s = min(MAX_WAIT_S, pool.steady_wait_s + missing_slots / pool.freed_slots_per_s)
    if missing_slots <= pool.growth_slots:
        wait_s = min(wait_s, pool.type_info.boot_s * BOOT_TIME_FACTOR)
    return wait_s


class PoolEstimator:
    """The pools of one cell, filled step by step by what is on its way to them."""

    def __init__(self, states: Iterable[PoolState]) -> None:
        self.states = list(states)

    def find_shortest_wait(self, spec: Job, task_count: int) -> ExpectedWait | None:
        """The shortest expected wait of the job's tasks, and where; None: no pool may run it."""
        found: ExpectedWait | None = None
        for at, pool in enumerate(self.states):
            if not may_run_in(spec, pool):
                continue
            wait_s = estimate_wait_s(spec, task_count, pool)
            if found is None or wait_s < found.wait_s:
                found = ExpectedWait(wait_s, at)
        return found

    def add_load(self, pool_index: int, spec: Job, task_count: int) -> None:
        """The job is on its way to this pool."""
        pool = self.states[pool_index]
        free_after = pool.free_slots - task_count * slots_of_task(spec, pool.type_info)
        self.states[pool_index] = pool._replace(
            free_slots=max(0.0, free_after), queued_slots=pool.queued_slots + max(0.0, -free_after)
        )
