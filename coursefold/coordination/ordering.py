"""The order of the queue: priority, guarantees, and which jobs can still meet an objective.

The objectives of a job's class and its deadline give latest start times. A job that can
still meet one goes before a job that is late for all of them, a small gang before a large
one, and an array with few tasks left before one with many: where there is room for either,
this serves more users in time.

Room for a large gang has to be kept free until there is enough of it, and small gangs that
keep arriving would use it up without end. So of the gangs that have waited for long the
oldest goes before all other jobs of its priority, one at a time, since what is kept free for
a gang stays idle meanwhile.
"""

from typing import NamedTuple

from coursefold.protocol.wire import PRIORITY_ORDER, Job
from coursefold.settings import Objective

LONG_WAIT_S = 180.0  # a large job has to start within 240 s, of which freeing machines takes 60
STARVATION_S = 600.0


class QueueKey(NamedTuple):
    """Sort key of a job in the queue; compared field by field, smaller first.

    Attributes:
        group: 0 for the highest priority, 1 within the team's guarantee or starved, 2 others.
        priority: Number of the priority; 0 is the most important.
        is_late: Whether the job can meet none of its objectives any more.
        size: Tasks of a gang, waiting tasks of an array that is not old, or 0.
        slack_s: Seconds until the next latest start; 0 if there is none.
        minus_age_s: Seconds since the job might start, negated: the oldest first.
        name: The job's name, to make the order total.
    """

    group: int
    priority: int
    is_late: bool
    size: int
    slack_s: float
    minus_age_s: float
    name: str


class QueueOrder:
    """Computes sort keys from the objectives in the settings.

    Attributes:
        start_limits_s: By class: seconds within which a job has to start.
        finish_limits_s: By class: seconds within which a job has to be finished.
        guarantee_limits_s: Seconds within which a job within its team's guarantee has to start.
    """

    def __init__(self, objectives: list[Objective]) -> None:
        self.start_limits_s: dict[str, list[float]] = {}
        self.finish_limits_s: dict[str, list[float]] = {}
        self.guarantee_limits_s: list[float] = []
        for objective in objectives:
            if objective.within_s <= 0:
                continue
            if objective.kind == "wait":
                self.start_limits_s.setdefault(objective.job_class, []).append(objective.within_s)
            elif objective.kind == "finished":
                self.finish_limits_s.setdefault(objective.job_class, []).append(objective.within_s)
            elif objective.kind == "guarantee":
                self.guarantee_limits_s.append(objective.within_s)

    def compute_latest_starts(
        self, spec: Job, run_s: float, is_within_guarantee: bool, deadline_s: float | None
    ) -> list[float]:
        """Return the latest start for each of the job's objectives, the earliest first.

        In seconds from the moment when the job may start; `deadline_s` counts from there too.
        """
        starts = list(self.start_limits_s.get(spec.job_class, []))
        starts += [within_s - run_s for within_s in self.finish_limits_s.get(spec.job_class, [])]
        if deadline_s is not None:
            starts.append(deadline_s - run_s)
        if is_within_guarantee:
            starts += self.guarantee_limits_s
        return sorted(starts)

    def make_key(
        self,
        spec: Job,
        name: str,
        age_s: float,
        run_s: float,
        is_within_guarantee: bool,
        is_longest_waiting_gang: bool = False,
        waiting_count: int = 0,
        priority: int | None = None,
        deadline_s: float | None = None,
    ) -> QueueKey:
        """Return the job's sort key, smaller first.

        Args:
            spec: The job.
            name: Its name.
            age_s: Seconds since the job might start.
            run_s: Expected run time of a task.
            is_within_guarantee: Whether its team's use with it stays within its guarantee.
            is_longest_waiting_gang: Whether machines are kept free for this gang.
            waiting_count: Tasks that have no place.
            priority: That of the most important job that needs this one; None for its own.
            deadline_s: When the job has to be over for itself and for those that need it, in
                seconds from the moment from which `age_s` counts; None without a deadline.
        """
        if priority is None:
            priority = PRIORITY_ORDER[spec.priority]
        group = 0 if priority == 0 else 1 if is_within_guarantee else 2
        if age_s > STARVATION_S:
            group = min(group, 1)
        starts = self.compute_latest_starts(spec, run_s, is_within_guarantee, deadline_s)
        slacks_s = [start_s - age_s for start_s in starts if start_s > age_s]
        if is_longest_waiting_gang or (spec.kind == "ensemble" and age_s > STARVATION_S):
            return QueueKey(min(group, 1), priority, False, 0, 0.0, -age_s, name)
        is_late = bool(starts) and not slacks_s
        size = spec.task_count if spec.kind == "ensemble" else 0
        if spec.kind == "array" and age_s <= LONG_WAIT_S:
            # All its tasks have to end in time: arrays with few tasks left go first.
            size = waiting_count
        return QueueKey(
            group, priority, is_late, size, slacks_s[0] if slacks_s else 0.0, -age_s, name
        )
