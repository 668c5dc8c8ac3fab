"""Estimates how long a job would wait in a cell in its present state.

Each pool is modelled as an M/M/c queue (`coordination.queueing`). While the pool keeps up with
its load, the expected wait is E[W] of that queue. Otherwise it is the number of queued slots
divided by the rate at which slots become free. Where more machines can be rented, the wait is
limited to little more than the time of a boot.
"""

from collections.abc import Iterable
from typing import NamedTuple

from coursefold.cells.messages import PoolState
from coursefold.coordination.demand import PoolDemand, slots_of_task
from coursefold.coordination.placement import fits_machine_type
from coursefold.coordination.queueing import evaluate_queue
from coursefold.protocol.wire import Job

BOOT_TIME_FACTOR = 1.3  # machines take up to 1.5 times as long as their type says
MAX_WAIT_S = 3600.0  # longer waits count as equally bad
MAX_UTILIZATION = 0.99  # share of busy slots above which only queued slots set the wait
MIN_SPREAD_ZONES = 2  # of a pool, for jobs that spread over zones


class ExpectedWait(NamedTuple):
    """The expected wait in a pool, and the index of that pool."""

    wait_s: float
    pool_index: int


def compute_pool_state(demand: PoolDemand, growth_slots: float) -> PoolState:
    """Return the state of a pool, booting machines included, before waiting tasks are added."""
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
        # The rate of a full pool, as free slots are separate. Replicas do not end by themselves.
        freed_slots_per_s=max(0.0, slots_total - demand.standing_slots) / max(1.0, mean_run_s),
        steady_wait_s=min(MAX_WAIT_S, steady_wait_s),
        growth_slots=growth_slots,
    )


def may_run_in(spec: Job, pool: PoolState) -> bool:
    """Return whether the job's tasks may run in the pool."""
    if not fits_machine_type(spec, pool.type_info) or (pool.spot and not spec.may_use_spot):
        return False
    return not spec.spread_zones or len(pool.type_info.zones) >= MIN_SPREAD_ZONES


def image_fetch_s(spec: Job, pool: PoolState) -> float:
    """Return the seconds that fetching the job's image takes; 0 if the rate is not known."""
    return spec.image_gb / pool.type_info.fetch_gb_per_s if pool.type_info.fetch_gb_per_s else 0.0


def estimate_wait_s(spec: Job, task_count: int, pool: PoolState) -> float:
    """Return the expected seconds until that number of the job's tasks has started in the pool."""
    slots = task_count * slots_of_task(spec, pool.type_info)
    missing_slots = slots + pool.queued_slots - pool.free_slots
    if missing_slots <= 0:
        # Slots are free now; the fewer, the more likely they are taken before the job arrives.
        return pool.steady_wait_s * (slots / pool.free_slots if pool.free_slots else 0.0)
    wait_s = MAX_WAIT_S
    if pool.freed_slots_per_s > 0:
        wait_s = min(MAX_WAIT_S, pool.steady_wait_s + missing_slots / pool.freed_slots_per_s)
    if missing_slots <= pool.growth_slots:
        wait_s = min(wait_s, pool.type_info.boot_s * BOOT_TIME_FACTOR)
    return wait_s


class PoolEstimator:
    """Estimates waits in the pools of one cell, to which the load of jobs is added one by one.

    Attributes:
        states: State of each pool, with the added load.
    """

    def __init__(self, states: Iterable[PoolState]) -> None:
        self.states = list(states)

    def find_shortest_wait(self, spec: Job, task_count: int) -> ExpectedWait | None:
        """Return the shortest expected wait of the job's tasks; None if no pool may run them."""
        shortest: ExpectedWait | None = None
        for index, pool in enumerate(self.states):
            if not may_run_in(spec, pool):
                continue
            wait_s = estimate_wait_s(spec, task_count, pool)
            if shortest is None or wait_s < shortest.wait_s:
                shortest = ExpectedWait(wait_s, index)
        return shortest

    def add_load(self, pool_index: int, spec: Job, task_count: int) -> None:
        """Add the load of the job's tasks to a pool."""
        pool = self.states[pool_index]
        free_after = pool.free_slots - task_count * slots_of_task(spec, pool.type_info)
        self.states[pool_index] = pool._replace(
            free_slots=max(0.0, free_after), queued_slots=pool.queued_slots + max(0.0, -free_after)
        )
