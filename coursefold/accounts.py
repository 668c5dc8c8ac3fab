"""Where time and money went, from the controllers' logs.

The logs of all controllers are read together, at level `debug`, each line beginning with
the time in seconds. The time account splits the way of each task from its job's acceptance
to its start; the money account splits what each machine cost by what it was used for.
A machine's cost is shared out by processors, at the nominal prices in the log.
"""

import re
from collections.abc import Callable, Iterable
from typing import NamedTuple

LINE_TIME = re.compile(r"^\s*(?P<time>\d+(?:\.\d+)?)\s")

SUCCESS_CAUSE = "done"


def parse_line_time(line: str) -> float:
    """The seconds that a line begins with; 0 where it begins with none."""
    stamp = LINE_TIME.match(line)
    return float(stamp["time"]) if stamp else 0.0


class TaskKey(NamedTuple):
    """One task of one job."""

    job: str
    number: int


class MachineTypeInfo(NamedTuple):
    """What the log says of a machine type."""

    cpus: float
    price_per_hour: float
    spot_price_per_hour: float


class JobInfo:
    """An accepted job."""

    def __init__(self, accepted_at: float, job_class: str, cpus: float) -> None:
        self.accepted_at = accepted_at
        self.job_class = job_class
        self.cpus = cpus


class Attempt:
    """One stay of a task on a machine."""

    def __init__(self, task: TaskKey, machine: str, placed_at: float) -> None:
        self.task, self.machine, self.placed_at = task, machine, placed_at
        self.assigned_at: float | None = None
        self.started_at: float | None = None
        self.ended_at: float | None = None
        self.cause = ""


class MachineInfo:
    """A rented machine."""

    def __init__(self, rented_at: float, pool: str) -> None:
        self.rented_at = rented_at
        self.pool = pool
        self.first_report_at: float | None = None
        self.removed_at: float | None = None
        self.attempts: list[Attempt] = []


class StartDelay(NamedTuple):
    """Seconds of one task's way to its first start."""

    job_class: str
    waiting: float  # accepted, and no machine found yet
    dealt: float  # given to an owner that has not placed it yet
    starting: float  # placed; the worker's report and the image


class CostByUse(NamedTuple):
    """Cost of a pool's machines by use, in the currency of the catalog."""

    booting: float
    useful: float
    repeated: float  # run time of attempts that did not end well
    starting: float  # placed, and not running yet
    beside: float  # unused beside tasks
    empty: float  # nothing on the machine

    @property
    def total(self) -> float:
        """All of the cost."""
        return sum(self)


class LogReader:
    """Collects jobs, machines and attempts from log lines in the order of time."""

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
            (re.compile(r": machine (\S+) \(.*\) reports"), self._machine_up),
            (re.compile(r": machine (\S+) (?:returned|is listed no more)"), self._machine_removed),
            (re.compile(r": machine (\S+): silent for (\S+) s"), self._machine_silent),
            (re.compile(r": machine (\S+) will be taken in (\S+) s"), self._machine_recalled),
            (re.compile(r": deal (\S+): (\S+): done"), self._task_assigned),
            (re.compile(r": place (\S+) on (\S+)$"), self._task_placed),
            (re.compile(r": task (\S+)/(\d+)#\d+ on (\S+) runs"), self._task_started),
            (re.compile(r": task (\S+)/(\d+)#\d+ on (\S+): (\S+)"), self._task_ended),
        ]

    def read_lines(self, lines: Iterable[str]) -> None:
        """Read all lines; those that say nothing of interest are passed over."""
        for line in lines:
            stamp = LINE_TIME.match(line)
            if stamp is None:
                continue
            self.last_time = max(self.last_time, float(stamp["time"]))
            for pattern, handle in self._handlers:
                found = pattern.search(line.rstrip())
                if found:
                    handle(float(stamp["time"]), found)
                    break

    def _add_type(self, now: float, found: re.Match[str]) -> None:
        if found[1] not in self.machine_types:
            info = MachineTypeInfo(float(found[2]), float(found[3]), float(found[4]))
            self.machine_types[found[1]] = info

    def _add_job(self, now: float, found: re.Match[str]) -> None:
        self.jobs.setdefault(found[1], JobInfo(now, found[2], float(found[3])))

    def _add_machines(self, now: float, found: re.Match[str]) -> None:
        for name in found[2].split(","):
            self.machines.setdefault(name, MachineInfo(now, found[1]))

    def _machine_up(self, now: float, found: re.Match[str]) -> None:
        machine = self.machines.get(found[1])
        if machine is not None and machine.first_report_at is None:
            machine.first_report_at = now

    def _machine_removed(self, now: float, found: re.Match[str]) -> None:
        self._end_machine(found[1], now)

    def _machine_silent(self, now: float, found: re.Match[str]) -> None:
        self._end_machine(found[1], now - float(found[2]))

    def _machine_recalled(self, now: float, found: re.Match[str]) -> None:
        self._end_machine(found[1], now + float(found[2]))

    def _end_machine(self, name: str, at: float) -> None:
        machine = self.machines.get(name)
        if machine is not None and machine.removed_at is None:
            machine.removed_at = max(at, machine.rented_at)

    def _task_assigned(self, now: float, found: re.Match[str]) -> None:
        for place in found[2].split(","):
            index = place.partition(":")[0]
            self.assigned_at[TaskKey(found[1], int(index))] = now

    def _task_placed(self, now: float, found: re.Match[str]) -> None:
        for place in found[2].split(","):
            index, _, name = place.partition(":")
            task = TaskKey(found[1], int(index))
            attempt = Attempt(task, name, now)
            attempt.assigned_at = self.assigned_at.pop(task, None)
            self.attempts.setdefault(task, []).append(attempt)
            if name in self.machines:
                self.machines[name].attempts.append(attempt)

    def _find_current_attempt(self, found: re.Match[str]) -> Attempt | None:
        attempts = self.attempts.get(TaskKey(found[1], int(found[2])), [])
        return attempts[-1] if attempts and attempts[-1].machine == found[3] else None

    def _task_started(self, now: float, found: re.Match[str]) -> None:
        attempt = self._find_current_attempt(found)
        if attempt is not None and attempt.started_at is None:
            attempt.started_at = now

    def _task_ended(self, now: float, found: re.Match[str]) -> None:
        attempt = self._find_current_attempt(found)
        if attempt is not None and attempt.ended_at is None:
            attempt.ended_at = now
            attempt.cause = found[4]


def list_start_delays(log: LogReader) -> list[StartDelay]:
    """The way of each task that has started, to its first place and start."""
    found = []
    for task, attempts in log.attempts.items():
        job = log.jobs.get(task.job)
        first = attempts[0]
        if job is None or first.started_at is None:
            continue
        dealt_at = first.placed_at if first.assigned_at is None else first.assigned_at
        shares = StartDelay(
            job.job_class,
            dealt_at - job.accepted_at,
            first.placed_at - dealt_at,
            first.started_at - first.placed_at,
        )
        found.append(shares)
    return found


def _split_machine_cost(log: LogReader, machine: MachineInfo) -> CostByUse:
    """One machine's cost by use."""
    type_name, _, kind = machine.pool.partition("/")
    info = log.machine_types[type_name]
    end = log.last_time if machine.removed_at is None else machine.removed_at
    up_at = end if machine.first_report_at is None else min(end, machine.first_report_at)
    useful = repeated = starting = 0.0
    spans: list[tuple[float, float]] = []
    for attempt in machine.attempts:
        job = log.jobs.get(attempt.task.job)
        if job is None:
            continue
        part = job.cpus / info.cpus
        stop = end if attempt.ended_at is None else min(end, attempt.ended_at)
        begin = min(stop, attempt.placed_at)
        runs_at = stop if attempt.started_at is None else min(stop, attempt.started_at)
        spans.append((begin, stop))
        starting += part * (runs_at - begin)
        if attempt.cause == SUCCESS_CAUSE:
            useful += part * (stop - runs_at)
        else:
            repeated += part * (stop - runs_at)
    occupied = _union_length(spans)
    beside = max(0.0, occupied - useful - repeated - starting)
    empty = max(0.0, end - up_at - occupied)
    price = (info.spot_price_per_hour if kind == "spot" else info.price_per_hour) / 3600.0
    seconds = (up_at - machine.rented_at, useful, repeated, starting, beside, empty)
    return CostByUse(*(price * value for value in seconds))


def _union_length(spans: list[tuple[float, float]]) -> float:
    """The length of the union of intervals."""
    total = 0.0
    reached = float("-inf")
    for begin, end in sorted(spans):
        total += max(0.0, end - max(begin, reached))
        reached = max(reached, end)
    return total


def sum_costs_by_pool(log: LogReader) -> dict[str, CostByUse]:
    """The cost of each pool's machines by use."""
    pools: dict[str, CostByUse] = {}
    for machine in log.machines.values():
        if machine.pool.partition("/")[0] not in log.machine_types:
            continue
        shares = _split_machine_cost(log, machine)
        before = pools.get(machine.pool, CostByUse(0.0, 0.0, 0.0, 0.0, 0.0, 0.0))
        added = (a + b for a, b in zip(before, shares, strict=True))
        pools[machine.pool] = CostByUse(*added)
    return pools


def sum_useful_cpu_seconds(log: LogReader) -> dict[tuple[str, str], float]:
    """Processor seconds of attempts that ended well, by pool and class."""
    found: dict[tuple[str, str], float] = {}
    for machine in log.machines.values():
        for attempt in machine.attempts:
            job = log.jobs.get(attempt.task.job)
            if job is None or attempt.started_at is None or attempt.ended_at is None:
                continue
            if attempt.cause == SUCCESS_CAUSE:
                key = (machine.pool, job.job_class)
                seconds = job.cpus * (attempt.ended_at - attempt.started_at)
                found[key] = found.get(key, 0.0) + seconds
    return found


def quantile(values: list[float], share: float) -> float:
    """The smallest value that at least this share of the values does not exceed."""
    ordered = sorted(values)
    position = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[position]


def format_report(log: LogReader) -> list[str]:
    """Both accounts as lines of text."""
    lines = ["time to the first start, seconds (median, 90th percentile)"]
    shares = list_start_delays(log)
    for name in sorted({share.job_class for share in shares}):
        mine = [share for share in shares if share.job_class == name]
        parts = []
        for part in ("waiting", "dealt", "starting"):
            values = [float(getattr(share, part)) for share in mine]
            parts.append(f"{part} {quantile(values, 0.5):.1f}, {quantile(values, 0.9):.1f}")
        lines.append(f"  {name}: {len(mine)} tasks; " + "; ".join(parts))
    lines.append("cost by use")
    for pool, money in sorted(sum_costs_by_pool(log).items()):
        uses = ", ".join(f"{use} {value:.3f}" for use, value in money._asdict().items())
        lines.append(f"  {pool}: {money.total:.3f} ({uses})")
    lines.append("processor hours that ended well")
    for (pool, name), seconds in sorted(sum_useful_cpu_seconds(log).items()):
        lines.append(f"  {pool} {name}: {seconds / 3600.0:.2f}")
    return lines
