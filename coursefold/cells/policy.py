"""Decides which waiting jobs move to another cell, and to which one.

A job moves when its expected wait here exceeds the expected wait there by more than the cost of
the move and the operators' margin. The cost is the time of the image fetch and of the handover,
and the higher price of slots: with the policy's η, one unit of price weighs as much as (1-η)/η
seconds of wait. The margin does not apply to a job whose deadline would be missed here and met
there.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from coursefold.cells.config import SpillLimits
from coursefold.cells.estimate import ExpectedWait, PoolEstimator, image_fetch_s
from coursefold.coordination.demand import slots_of_task
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job

HANDOVER_DELAY_S = 3.0  # offer, reservation and grant take a commit and a frame each
MAX_CANDIDATES = 200  # jobs considered in one round, those with the longest waits


class SpillCandidate(NamedTuple):
    """A waiting job that may be moved.

    Attributes:
        task_count: Its waiting tasks.
        home_wait_s: Expected wait in this cell.
        run_s: Mean run time of its tasks.
        price_per_slot_s: Price of a slot in this cell, per second.
        deadline_in_s: Seconds from now until its deadline; None without one.
        excluded_cell: A cell that it returned from a moment ago; may be empty.
    """

    name: JobId
    spec: Job
    task_count: int
    home_wait_s: float
    run_s: float
    price_per_slot_s: float
    deadline_in_s: float | None
    excluded_cell: str = ""


class SpillChoice(NamedTuple):
    """A job, the cell to offer it to, the expected waits in both cells, and why it moves."""

    name: JobId
    cell: str
    home_wait_s: float
    remote_wait_s: float
    reason: str


class SpillTarget(NamedTuple):
    """A cell that may be offered jobs."""

    pools: PoolEstimator
    max_offers: int  # further offers that it may be made now


def move_cost_s(
    candidate: SpillCandidate, pools: PoolEstimator, pool_index: int, eta: float
) -> float:
    """Return the cost of moving the job to the pool, expressed in seconds of wait."""
    pool = pools.states[pool_index]
    extra_price = max(0.0, pool.price_per_slot_s - candidate.price_per_slot_s)
    slot_seconds = candidate.run_s * slots_of_task(candidate.spec, pool.type_info)
    return (
        HANDOVER_DELAY_S
        + image_fetch_s(candidate.spec, pool)
        + (1 - eta) / eta * extra_price * slot_seconds
    )


def _compute_gain(
    candidate: SpillCandidate, target: SpillTarget, eta: float
) -> tuple[float, ExpectedWait] | None:
    """Return the seconds gained by moving the job, and its wait there; None if it cannot run."""
    expected = target.pools.find_shortest_wait(candidate.spec, candidate.task_count)
    if expected is None:
        return None
    cost = move_cost_s(candidate, target.pools, expected.pool_index, eta)
    return candidate.home_wait_s - expected.wait_s - cost, expected


def _find_spill_reason(
    candidate: SpillCandidate, gain_s: float, remote_wait_s: float, limits: SpillLimits
) -> str:
    """Return why the job moves; empty if it stays."""
    if gain_s > limits.min_gain_s:
        return f"saves {gain_s:.0f} s"
    deadline_in_s = candidate.deadline_in_s
    if deadline_in_s is None or gain_s <= 0:
        return ""
    is_late_here = candidate.home_wait_s + candidate.run_s > deadline_in_s
    is_late_there = remote_wait_s + HANDOVER_DELAY_S + candidate.run_s > deadline_in_s
    return "its deadline would be missed here" if is_late_here and not is_late_there else ""


def choose_moves(
    candidates: Iterable[SpillCandidate],
    targets: Mapping[str, SpillTarget],
    limits: SpillLimits,
    eta: float,
) -> list[SpillChoice]:
    """Return the offers to make now, longest waits first.

    The load of each chosen job is added to the pools of its target.
    """
    remaining_offers = {name: target.max_offers for name, target in targets.items()}
    by_wait = sorted(candidates, key=lambda c: (-c.home_wait_s, c.name))[:MAX_CANDIDATES]
    choices: list[SpillChoice] = []
    for candidate in by_wait:
        best: tuple[float, str, ExpectedWait] | None = None
        for cell, target in targets.items():
            if remaining_offers[cell] <= 0 or cell == candidate.excluded_cell:
                continue
            gain = _compute_gain(candidate, target, eta)
            if gain is not None and (best is None or gain[0] > best[0]):
                best = (gain[0], cell, gain[1])
        if best is None:
            continue
        gain_s, cell, expected = best
        reason = _find_spill_reason(candidate, gain_s, expected.wait_s, limits)
        if reason:
            targets[cell].pools.add_load(expected.pool_index, candidate.spec, candidate.task_count)
            remaining_offers[cell] -= 1
            choices.append(
                SpillChoice(candidate.name, cell, candidate.home_wait_s, expected.wait_s, reason)
            )
    return choices
