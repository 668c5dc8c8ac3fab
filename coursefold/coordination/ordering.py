"""The order of the queue: rank, guarantees, and what can still meet its aim.

Each class's objectives and each job's deadline give latest start times. A job
that can still meet one goes before a job that is late for all of them, a small
gang before a large one, and an array with few tasks left before one with many:
when there is room for either, more users are served in time. Room for a large
gang has to be gathered, though, and small ones that keep coming would nibble it
away for ever: of the gangs that have waited long the oldest comes before all
else of its rank, one at a time, since what is gathered for one stands idle
meanwhile.
"""

from typing import NamedTuple

from coursefold.protocol.wire import RANKS, Job
from coursefold.settings import Objective

LONG_WAIT_S = 180.0  # a large job has to start within 4 minutes, and gathering room takes one
STARVED_S = 600.0


class Order(NamedTuple):
    """A place in the queue; compared field by field, smaller first."""

    group: int
    rank: int
    late: bool
    size: int
    slack: float
    age: float
    name: str


class QueueOrder:
    """Latest starts by the settings' objectives."""

    def __init__(self, objectives: list[Objective]) -> None:
        self.waits: dict[str, list[float]] = {}
        self.finishes: dict[str, list[float]] = {}
        self.guarantees: list[float] = []
        for aim in objectives:
            if aim.within_s <= 0:
                continue
            if aim.kind == "wait":
                self.waits.setdefault(aim.lane, []).append(aim.within_s)
            elif aim.kind == "finished":
                self.finishes.setdefault(aim.lane, []).append(aim.within_s)
            elif aim.kind == "guarantee":
                self.guarantees.append(aim.within_s)

    def latest_starts(self, spec: Job, run: float, within: bool, due: float | None) -> list[float]:
        """Seconds after it might start by which the job must start for each of its aims."""
        starts = list(self.waits.get(spec.lane, []))
        starts += [within_s - run for within_s in self.finishes.get(spec.lane, [])]
        if due is not None:
            starts.append(due - run)
        if within:
            starts += self.guarantees
        return sorted(starts)

    def key(
        self,
        spec: Job,
        name: str,
        age: float,
        run: float,
        within: bool,
        first: bool = False,
        waiting: int = 0,
        rank: int | None = None,
        due: float | None = None,
    ) -> Order:
        """Sort key, smaller first; `first` for the gang that room is gathered for.

        `rank` is that of the most urgent job that needs this one, and `due` is when this one
        has to be over for them, in seconds from the moment from which `age` counts.
        """
        if rank is None:
            rank = RANKS[spec.rank]
        group = 0 if rank == 0 else 1 if within else 2
        if age > STARVED_S:
            group = min(group, 1)
        starts = self.latest_starts(spec, run, within, due)
        ahead = [s - age for s in starts if s > age]
        if first or (spec.shape == "ensemble" and age > STARVED_S):
            return Order(min(group, 1), rank, False, 0, 0.0, -age, name)
        late = bool(starts) and not ahead
        size = spec.tasks if spec.shape == "ensemble" else 0
        if spec.shape == "array" and age <= LONG_WAIT_S:
            size = waiting  # all its tasks have to end in time: the nearly done come first
        return Order(group, rank, late, size, ahead[0] if ahead else 0.0, -age, name)
