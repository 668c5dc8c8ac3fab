"""Measure spilling between three simulated cells: `python -m tests.measure_cells 1 2 3`.

The arguments are seeds. This is not part of the test command. Each seed is run without
spilling, with spilling, and with spilling and the loss of a cell, each time with the same jobs.
"""

import random
import sys
from collections import defaultdict
from typing import Any, NamedTuple

from coursefold.histograms import new_histogram, summarize
from tests.cells_world import NAMES, CellsWorld

GRANT_S = 12.0
CAPACITY = {"east": 40, "north": 120, "west": 120}  # machines; a quarter for each zone, spot or not
END_S = 600.0
LOAD_S = 120.0  # time in which the jobs are submitted
VANISHED_AT_S = 60.0
# Number of arrays and gangs submitted within LOAD_S, by cell.
ARRIVALS = {"east": (60, 30), "north": (12, 6), "west": (12, 6)}


class Result(NamedTuple):
    """The figures of one run.

    Attributes:
        waits: Summary of the waits for the first start in seconds, by cell and job class.
        world: The cells at the end of the run.
        restart_delays_s: For each job that was lost with a cell, seconds from the loss until it
            runs again.
        repeated_task_count: Tasks of these jobs that had finished in the lost cell.
    """

    waits: dict[str, dict[str, float]]
    world: CellsWorld
    restart_delays_s: list[float]
    repeated_task_count: int


def submit_all(world: CellsWorld, seed: int) -> dict[str, tuple[str, str]]:
    """Schedule the submission of all jobs; return the cell and class of each, by name."""
    rng = random.Random(seed)
    cell_and_class: dict[str, tuple[str, str]] = {}
    for cell, (arrays, gangs) in ARRIVALS.items():
        for number in range(arrays + gangs):
            name = f"job-{NAMES.index(cell) + 1}{number:04d}"
            is_gang = number >= arrays
            fields = {
                "Pieces": rng.choice([2, 4, 8] if is_gang else [4, 8, 16]), "Loaners": not is_gang,
                "ImageGb": 2.0, "Vcpus": 16.0, "Accelerators": 2.0, "Lane": "array",
            }  # fmt: skip
            if is_gang:
                fields |= {"Shape": "ensemble", "Together": True, "Rank": "urgent", "Lane": "gang"}
            cell_and_class[name] = (cell, str(fields["Lane"]))
            run_s, at = rng.uniform(15.0, 45.0), rng.uniform(0.0, LOAD_S)
            fleet = world[cell]
            fleet.after(at, lambda f=fleet, n=name, r=run_s, w=fields: f.submit(n, r, None, **w))  # type: ignore[misc]
    return cell_and_class


def run_seed(seed: int, spills: bool, lost: bool = False) -> Result:
    """Run one seed.

    Args:
        seed: Seed of the simulation and of the jobs.
        spills: Whether cells delegate jobs to each other.
        lost: Whether the cell `north` is lost at VANISHED_AT_S.
    """
    world = CellsWorld(seed, CAPACITY, grant_s=GRANT_S, spill={"draining": not spills})
    world.run(5.0)
    cell_and_class = submit_all(world, seed)
    restart_delays_s: list[float] = []
    repeated_task_count = 0
    if lost:
        world.run(VANISHED_AT_S)
        guests = set(world["north"].guests())
        done_counts = {n: len(world.jobs[n].done) for n in guests}
        repeated_task_count = sum(done_counts.values())
        world["north"].vanish()
        missing = {name for name in guests if not world.jobs[name].complete()}
        while missing and world.now < END_S:
            world.run(world.now + 0.2)
            running = {task.job.name for _, task in world.placed_tasks.values()}
            for name in sorted(missing & running):
                restart_delays_s.append(world.now - VANISHED_AT_S)
                missing.discard(name)
    while world.now < END_S and (world.now < LOAD_S + 5.0 or world.unfinished()):
        world.run(world.now + 1.0)
    histograms: defaultdict[str, Any] = defaultdict(new_histogram)
    for name, (cell, job_class) in cell_and_class.items():
        job = world.jobs[name]
        if job.first_started_at >= 0 and not (lost and cell == "north"):
            histograms[f"{cell} {job_class}"].record_value(
                max(1, int(1000 * (job.first_started_at - job.accepted_at)))
            )
    waits = {key: summarize(histogram)._asdict() for key, histogram in sorted(histograms.items())}
    return Result(waits, world, restart_delays_s, repeated_task_count)


def show(title: str, result: Result) -> None:
    """Print the figures of one run."""
    world = result.world
    jobs = max(1, len(world.jobs))
    print(
        f"{title}: ended at {world.now:.0f} s, {len(world.unfinished())} unfinished; "
        f"{world.count('offered')} offered, {world.count('granted')} granted, "
        f"{world.count('finished')} finished elsewhere, {world.count('returned')} returned "
        f"({world.count('refused')} refused); {world.frame_count} frames, "
        f"{world.frame_count / jobs:.1f} a job, "
        f"{world.frame_bytes / max(1, world.frame_count):.0f} B each"
    )
    for key, summary in result.waits.items():
        print(
            f"  {key}: {summary['total']:.0f} jobs, median {summary['median']:.1f} s, "
            f"90% {summary['p90']:.1f} s, 99% {summary['p99']:.1f} s"
        )
    if result.restart_delays_s:
        delays_s = sorted(result.restart_delays_s)
        print(
            f"  lost with the cell: {len(delays_s)} jobs run again after {delays_s[0]:.1f} to "
            f"{delays_s[-1]:.1f} s, median {delays_s[len(delays_s) // 2]:.1f} s; "
            f"{result.repeated_task_count} tasks were done there and unheard"
        )


def main() -> None:
    """Measure each seed that is given on the command line."""
    for seed in map(int, sys.argv[1:]):
        show(f"seed {seed}, without spilling", run_seed(seed, spills=False))
        show(f"seed {seed}, with spilling", run_seed(seed, spills=True))
        show(f"seed {seed}, a cell vanishes", run_seed(seed, spills=True, lost=True))


if __name__ == "__main__":
    main()
