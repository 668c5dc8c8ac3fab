"""Whether a waiting job spills, and where to.

A job is worth moving when its expected wait here exceeds the one there by more than the move
costs: the image's fetch, the handover, and a dearer slot, weighed by the paper's η, in which
a second of wait is worth (1-η)/η of a second's price. A deadline that would be missed here
and met there decides without the operators' margin.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from coursefold.cells.config import SpillLimits
from coursefold.cells.estimate import Expectation, Pools, fetch_s
from coursefold.coordination.demand import slots_of_task
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job

HANDOVER_S = 3.0  # offer, reservation and grant: a commit and a frame each
LOOKED_AT = 200  # jobs in one round, those with the longest waits


class Candidate(NamedTuple):
    """A job that may be moved."""

    name: JobId
    spec: Job
    tasks: int
    here_s: float
    run_s: float
    price: float  # of a slot here, per second
    due_in_s: float | None
    avoid: str = ""  # a cell that it came back from a moment ago


class Choice(NamedTuple):
    """A job, the cell it is offered to, and both expected waits."""

    name: JobId
    cell: str
    here_s: float
    there_s: float
    why: str


class Target(NamedTuple):
    """A cell that may be offered work."""

    pools: Pools
    room: int  # offers that it may still be made


def cost_s(candidate: Candidate, pools: Pools, at: int, eta: float) -> float:
    """What moving costs, in seconds of wait."""
    pool = pools.states[at]
    dearer = max(0.0, pool.price - candidate.price)
    slot_seconds = candidate.run_s * slots_of_task(candidate.spec, pool.kind)
    return HANDOVER_S + fetch_s(candidate.spec, pool) + (1 - eta) / eta * dearer * slot_seconds


def _gain(candidate: Candidate, target: Target, eta: float) -> tuple[float, Expectation] | None:
    found = target.pools.best(candidate.spec, candidate.tasks)
    if found is None:
        return None
    cost = cost_s(candidate, target.pools, found.pool, eta)
    return candidate.here_s - found.wait - cost, found


def _why(candidate: Candidate, gain: float, there_s: float, limits: SpillLimits) -> str:
    """Why the job is moved; empty if it is not."""
    if gain > limits.min_gain_s:
        return f"saves {gain:.0f} s"
    due = candidate.due_in_s
    if due is None or gain <= 0:
        return ""
    late_here = candidate.here_s + candidate.run_s > due
    late_there = there_s + HANDOVER_S + candidate.run_s > due
    return "its deadline would be missed here" if late_here and not late_there else ""


def choose(
    candidates: Iterable[Candidate],
    targets: Mapping[str, Target],
    limits: SpillLimits,
    eta: float,
) -> list[Choice]:
    """Which jobs to offer now, the longest waits first; each fills its target's pools."""
    room = {name: target.room for name, target in targets.items()}
    longest = sorted(candidates, key=lambda c: (-c.here_s, c.name))[:LOOKED_AT]
    found: list[Choice] = []
    for candidate in longest:
        best: tuple[float, str, Expectation] | None = None
        for cell, target in targets.items():
            if room[cell] <= 0 or cell == candidate.avoid:
                continue
            gain = _gain(candidate, target, eta)
            if gain is not None and (best is None or gain[0] > best[0]):
                best = (gain[0], cell, gain[1])
        if best is None:
            continue
        gained, cell, there = best
        why = _why(candidate, gained, there.wait, limits)
        if why:
            targets[cell].pools.take(there.pool, candidate.spec, candidate.tasks)
            room[cell] -= 1
            found.append(Choice(candidate.name, cell, candidate.here_s, there.wait, why))
    return found
