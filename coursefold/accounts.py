"""Reports of task start delays and machine costs, computed from the controllers' logs.

The input is the merged logs of all controllers, written at level `debug`, in which each line
begins with the time in seconds. The first report splits the time from the acceptance of a job to
the first start of each task; the second splits the cost of each machine by how it was used.
A machine's cost is divided in proportion to the processors used, at the list prices in the log.
"""

import re
from collections.abc import Callable, Iterable
from typing import NamedTuple

LINE_TIME = re.compile(r"^\s*(?P<time>\d+(?:\.\d+)?)\s")

SUCCESS_CAUSE = "done"


def parse_line_time(line: str) -> float:
    """Return the time in seconds that a line begins with, or 0 if there is none."""
    time_match = LINE_TIME.match(line)
    return float(time_match["time"]) if time_match else 0.0


class TaskKey(NamedTuple):
    """A task, identified by its job and its index in the job."""

    job: str
    number: int


class MachineTypeInfo(NamedTuple):
    """Processors and hourly prices of a machine type."""

    cpus: float
    price_per_hour: float
    spot_price_per_hour: float


class JobInfo:
    """An accepted job; `cpus` are the processors of each of its tasks."""

    def __init__(self, accepted_at: float, job_class: str, cpus: float) -> None:
        self.accepted_at = accepted_at
        self.job_class = job_class
        self.cpus = cpus


class Attempt:
    """An attempt to run a task on a machine; a time that is not known yet is None."""

    def __init__(self, task: TaskKey, machine: str, placed_at: float) -> None:
        self.task, self.machine, self.placed_at = task, machine, placed_at
        self.assigned_at: float | None = None
        self.started_at: float | None = None
        self.ended_at: float | None = None
        self.cause = ""


class MachineInfo:
    """A rented machine; `pool` is its machine type and `/spot` or `/ordinary`."""

    def __init__(self, rented_at: float, pool: str) -> None:
        self.rented_at = rented_at
        self.pool = pool
        self.first_report_at: float | None = None
        self.removed_at: float | None = None
        self.attempts: list[Attempt] = []


class StartDelay(NamedTuple):
    """Seconds that a task spent in each stage before its first start."""

    job_class: str
    waiting: float  # accepted, but not assigned to an owner
    dealt: float  # assigned to an owner, but not placed
    starting: float  # placed; until the worker has reported in and has the image


class CostByUse(NamedTuple):
    """Cost of a pool's machines by use, in the currency of the catalog."""

    booting: float
    useful: float
    repeated: float  # run time of attempts that did not succeed
    starting: float  # placed, but not running yet
    beside: float  # unused processors while tasks are on the machine
    empty: float  # no task on the machine

    @property
    def total(self) -> float:
        """The whole cost of the pool."""
        return sum(self)


class LogReader:
    """Collects jobs, machines and attempts from log lines in chronological order.

    Attributes:
        machine_types: Machine types by name.
        jobs: Accepted jobs by name.
        machines: Rented machines by name.
        attempts: Attempts of each task, oldest first.
        assigned_at: Assignment time of tasks that are assigned and not placed.
        last_time: Latest time in the log.
    """

    def __init__(self) -> None:
        self.machine_types: dict[str, MachineTypeInfo] = {}
        self.jobs: dict[str, JobInfo] = {}
        self.machines: dict[str, MachineInfo] = {}
        self.attempts: dict[TaskKey, list[Attempt]] = {}
        self.assigned_at: dict[TaskKey, float] = {}
        self.last_time = 0.0
        self._handlers: list[tuple[re.Pattern[str], Callable[[float, re.Match[str]], None]]] = [
            (
                re.compile(r": type (\S+): (\S+) cpus, .*, (\S+) an hour, (\S+) when"),
                self._add_type,
            ),
            (re.compile(r": accept (\S+): \d+ tasks of (\S+) .*\((\S+) cpus"), self._add_job),
            (re.compile(r": hire \S+: \d+ of \d+ in (\S+) \S+: (\S+)"), self._add_machines),
            (re.compile(r": machine (\S+) \(.*\) reports"), self._record_first_report),
            (re.compile(r": machine (\S+) (?:returned|is listed no more)"), self._record_removal),
            (re.compile(r": machine (\S+): silent for (\S+) s"), self._record_silence),
            (re.compile(r": machine (\S+) will be taken in (\S+) s"), self._record_recall),
            (re.compile(r": deal (\S+): (\S+): done"), self._record_assignment),
            (re.compile(r": place (\S+) on (\S+)$"), self._record_placement),
            (re.compile(r": task (\S+)/(\d+)#\d+ on (\S+) runs"), self._record_start),
            (re.compile(r": task (\S+)/(\d+)#\d+ on (\S+): (\S+)"), self._record_end),
        ]

    def read_lines(self, lines: Iterable[str]) -> None:
        """Read all lines, ignoring those without a time or a known message."""
        for line in lines:
            time_match = LINE_TIME.match(line)
            if time_match is None:
                continue
            self.last_time = max(self.last_time, float(time_match["time"]))
            for pattern, handler in self._handlers:
                match = pattern.search(line.rstrip())
                if match:
                    handler(float(time_match["time"]), match)
                    break

    def _add_type(self, now: float, match: re.Match[str]) -> None:
        if match[1] not in self.machine_types:
            info = MachineTypeInfo(float(match[2]), float(match[3]), float(match[4]))
            self.machine_types[match[1]] = info

    def _add_job(self, now: float, match: re.Match[str]) -> None:
        self.jobs.setdefault(match[1], JobInfo(now, match[2], float(match[3])))

    def _add_machines(self, now: float, match: re.Match[str]) -> None:
        for name in match[2].split(","):
            self.machines.setdefault(name, MachineInfo(now, match[1]))

    def _record_first_report(self, now: float, match: re.Match[str]) -> None:
        machine = self.machines.get(match[1])
        if machine is not None and machine.first_report_at is None:
            machine.first_report_at = now

    def _record_removal(self, now: float, match: re.Match[str]) -> None:
        self._end_machine(match[1], now)

    def _record_silence(self, now: float, match: re.Match[str]) -> None:
        self._end_machine(match[1], now - float(match[2]))

    def _record_recall(self, now: float, match: re.Match[str]) -> None:
        self._end_machine(match[1], now + float(match[2]))

    def _end_machine(self, name: str, at: float) -> None:
        machine = self.machines.get(name)
        if machine is not None and machine.removed_at is None:
            machine.removed_at = max(at, machine.rented_at)

    def _record_assignment(self, now: float, match: re.Match[str]) -> None:
        for placement in match[2].split(","):
            index = placement.partition(":")[0]
            self.assigned_at[TaskKey(match[1], int(index))] = now

    def _record_placement(self, now: float, match: re.Match[str]) -> None:
        for placement in match[2].split(","):
            index, _, name = placement.partition(":")
            task = TaskKey(match[1], int(index))
            attempt = Attempt(task, name, now)
            attempt.assigned_at = self.assigned_at.pop(task, None)
            self.attempts.setdefault(task, []).append(attempt)
            if name in self.machines:
                self.machines[name].attempts.append(attempt)

    def _find_current_attempt(self, match: re.Match[str]) -> Attempt | None:
        attempts = self.attempts.get(TaskKey(match[1], int(match[2])), [])
        return attempts[-1] if attempts and attempts[-1].machine == match[3] else None

    def _record_start(self, now: float, match: re.Match[str]) -> None:
        attempt = self._find_current_attempt(match)
        if attempt is not None and attempt.started_at is None:
            attempt.started_at = now

    def _record_end(self, now: float, match: re.Match[str]) -> None:
        attempt = self._find_current_attempt(match)
        if attempt is not None and attempt.ended_at is None:
            attempt.ended_at = now
            attempt.cause = match[4]


def list_start_delays(log: LogReader) -> list[StartDelay]:
    """Return the start delays of all tasks that have started, up to their first start."""
    delays = []
    for task, attempts in log.attempts.items():
        job = log.jobs.get(task.job)
        first = attempts[0]
        if job is None or first.started_at is None:
            continue
        assigned_at = first.placed_at if first.assigned_at is None else first.assigned_at
        delay = StartDelay(
            job.job_class,
            assigned_at - job.accepted_at,
            first.placed_at - assigned_at,
            first.started_at - first.placed_at,
        )
        delays.append(delay)
    return delays


def _split_machine_cost(log: LogReader, machine: MachineInfo) -> CostByUse:
    """Return the cost of a machine by use."""
    type_name, _, kind = machine.pool.partition("/")
    info = log.machine_types[type_name]
    end = log.last_time if machine.removed_at is None else machine.removed_at
    first_report_at = end if machine.first_report_at is None else min(end, machine.first_report_at)
    useful = repeated = starting = 0.0
    spans: list[tuple[float, float]] = []
    for attempt in machine.attempts:
        job = log.jobs.get(attempt.task.job)
        if job is None:
            continue
        cpu_share = job.cpus / info.cpus
        stop = end if attempt.ended_at is None else min(end, attempt.ended_at)
        begin = min(stop, attempt.placed_at)
        started_at = stop if attempt.started_at is None else min(stop, attempt.started_at)
        spans.append((begin, stop))
        starting += cpu_share * (started_at - begin)
        if attempt.cause == SUCCESS_CAUSE:
            useful += cpu_share * (stop - started_at)
        else:
            repeated += cpu_share * (stop - started_at)
    occupied = _union_length(spans)
    beside = max(0.0, occupied - useful - repeated - starting)
    empty = max(0.0, end - first_report_at - occupied)
    price_per_s = (info.spot_price_per_hour if kind == "spot" else info.price_per_hour) / 3600.0
    seconds = (first_report_at - machine.rented_at, useful, repeated, starting, beside, empty)
    return CostByUse(*(price_per_s * value for value in seconds))


def _union_length(spans: list[tuple[float, float]]) -> float:
    """Return the total length of the union of intervals."""
    total = 0.0
    reached = float("-inf")
    for begin, end in sorted(spans):
        total += max(0.0, end - max(begin, reached))
        reached = max(reached, end)
    return total


def sum_costs_by_pool(log: LogReader) -> dict[str, CostByUse]:
    """Return the cost of each pool's machines by use, for pools of known machine types."""
    costs_by_pool: dict[str, CostByUse] = {}
    for machine in log.machines.values():
        if machine.pool.partition("/")[0] not in log.machine_types:
            continue
        costs = _split_machine_cost(log, machine)
        previous = costs_by_pool.get(machine.pool, CostByUse(0.0, 0.0, 0.0, 0.0, 0.0, 0.0))
        total = (a + b for a, b in zip(previous, costs, strict=True))
        costs_by_pool[machine.pool] = CostByUse(*total)
    return costs_by_pool


def sum_useful_cpu_seconds(log: LogReader) -> dict[tuple[str, str], float]:
    """Return the processor seconds of successful attempts by pool and job class."""
    cpu_seconds: dict[tuple[str, str], float] = {}
    for machine in log.machines.values():
        for attempt in machine.attempts:
            job = log.jobs.get(attempt.task.job)
            if job is None or attempt.started_at is None or attempt.ended_at is None:
                continue
            if attempt.cause == SUCCESS_CAUSE:
                key = (machine.pool, job.job_class)
                seconds = job.cpus * (attempt.ended_at - attempt.started_at)
                cpu_seconds[key] = cpu_seconds.get(key, 0.0) + seconds
    return cpu_seconds


def quantile(values: list[float], share: float) -> float:
    """Return the value at position `share` (0 to 1) of the sorted values, which are not empty."""
    ordered = sorted(values)
    position = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[position]


def format_report(log: LogReader) -> list[str]:
    """Format both reports as lines of text."""
    lines = ["time to the first start, seconds (median, 90th percentile)"]
    delays = list_start_delays(log)
    for name in sorted({delay.job_class for delay in delays}):
        class_delays = [delay for delay in delays if delay.job_class == name]
        columns = []
        for stage in ("waiting", "dealt", "starting"):
            values = [float(getattr(delay, stage)) for delay in class_delays]
            columns.append(f"{stage} {quantile(values, 0.5):.1f}, {quantile(values, 0.9):.1f}")
        lines.append(f"  {name}: {len(class_delays)} tasks; " + "; ".join(columns))
    lines.append("cost by use")
    for pool, costs in sorted(sum_costs_by_pool(log).items()):
        uses = ", ".join(f"{use} {cost:.3f}" for use, cost in costs._asdict().items())
        lines.append(f"  {pool}: {costs.total:.3f} ({uses})")
    lines.append("processor hours that ended well")
    for (pool, name), seconds in sorted(sum_useful_cpu_seconds(log).items()):
        lines.append(f"  {pool} {name}: {seconds / 3600.0:.2f}")
    return lines
