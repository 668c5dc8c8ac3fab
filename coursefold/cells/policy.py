"""Whether a waiting job spills, and where to.

A job is worth moving when its expected wait here exceeds the one there by more than the move
costs: the image's fetch, the handover, and a dearer slot, weighed by the paper's η, in which
a second of wait is worth (1-η)/η of a second's price. A deadline that would be missed here
and met there decides without the operators' margin.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from coursefold.cells.config import SpillLimits
from coursefold.cells.estimate import ExpectedWait, PoolEstimator, image_fetch_s
from coursefold.coordination.demand import slots_of_task
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job

HANDOVER_DELAY_S = 3.0  # offer, reservation and grant: a commit and a frame each
MAX_CANDIDATES = 200  # jobs in one round, those with the longest waits


class SpillCandidate(NamedTuple):
    """A job that may be moved."""

    name: JobId
    spec: Job
    task_count: int
    home_wait_s: float
    run_s: float
    price_per_slot_s: float  # of a slot here, per second
    deadline_in_s: float | None
    excluded_cell: str = ""  # a cell that it came back from a moment ago


class SpillChoice(NamedTuple):
    """A job, the cell it is offered to, and both expected waits."""

    name: JobId
    cell: str
    home_wait_s: float
    remote_wait_s: float
    reason: str


class SpillTarget(NamedTuple):
    """A cell that may be offered work."""

    pools: PoolEstimator
    max_offers: int  # offers that it may still be made


def move_cost_s(
    candidate: SpillCandidate, pools: PoolEstimator, pool_index: int, eta: float
) -> float:
    """What moving costs, in seconds of wait."""
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
    found = target.pools.find_shortest_wait(candidate.spec, candidate.task_count)
    if found is None:
        return None
    cost = move_cost_s(candidate, target.pools, found.pool_index, eta)
    return candidate.home_wait_s - found.wait_s - cost, found


def _find_spill_reason(
    candidate: SpillCandidate, gain_s: float, remote_wait_s: float, limits: SpillLimits
) -> str:
    """Why the job is moved; empty if it is not."""
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
    """Which jobs to offer now, the longest waits first; each fills its target's pools."""
    remaining_offers = {name: target.max_offers for name, target in targets.items()}
    by_wait = sorted(candidates, key=lambda c: (-c.home_wait_s, c.name))[:MAX_CANDIDATES]
    found: list[SpillChoice] = []
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
        why = _find_spill_reason(candidate, gain_s, expected.wait_s, limits)
        if why:
            targets[cell].pools.add_load(expected.pool_index, candidate.spec, candidate.task_count)
            remaining_offers[cell] -= 1
            found.append(
                SpillChoice(candidate.name, cell, candidate.home_wait_s, expected.wait_s, why)
            )
    return found
