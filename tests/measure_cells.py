"""Measure spilling between three simulated cells: `python -m tests.measure_cells 1 2 3`.

Not part of the test command. Each seed is played without spilling, with it, and with it while
a cell vanishes; the same jobs come each time.
"""

import random
import sys
from collections import defaultdict
from typing import Any, NamedTuple

from coursefold.histograms import new_histogram, summarize
from tests.cells_world import NAMES, CellsWorld

GRANT_S = 12.0
CAPACITY = {"east": 40, "north": 120, "west": 120}  # a quarter for each zone and kind
END_S = 600.0
LOAD_S = 120.0  # in which the jobs come
VANISHED_AT_S = 60.0
# Of each cell: arrays and gangs that come within LOAD_S.
ARRIVALS = {"east": (60, 30), "north": (12, 6), "west": (12, 6)}


class Result(NamedTuple):
    """One day's figures."""

    waits: dict[str, dict[str, float]]
    world: CellsWorld
    restart_delays_s: list[float]
    repeated_task_count: int


def submit_all(world: CellsWorld, seed: int) -> dict[str, tuple[str, str]]:
    """The day's jobs; cell and class by name."""
    rng = random.Random(seed)
    kinds: dict[str, tuple[str, str]] = {}
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
            kinds[name] = (cell, str(fields["Lane"]))
            run_s, at = rng.uniform(15.0, 45.0), rng.uniform(0.0, LOAD_S)
            fleet = world[cell]
            fleet.after(at, lambda f=fleet, n=name, r=run_s, w=fields: f.submit(n, r, None, **w))  # type: ignore[misc]
    return kinds


def play(seed: int, spills: bool, lost: bool = False) -> Result:
    """One day."""
    world = CellsWorld(seed, CAPACITY, grant_s=GRANT_S, spill={"draining": not spills})
    world.run(5.0)
    kinds = submit_all(world, seed)
    again: list[float] = []
    repeated = 0
    if lost:
        world.run(VANISHED_AT_S)
        gone = set(world["north"].guests())
        begun = {n: len(world.jobs[n].done) for n in gone}
        repeated = sum(begun.values())
        world["north"].vanish()
        missing = {name for name in gone if not world.jobs[name].complete()}
        while missing and world.now < END_S:
            world.run(world.now + 0.2)
            running = {task.job.name for _, task in world.placed_tasks.values()}
            for name in sorted(missing & running):
                again.append(world.now - VANISHED_AT_S)
                missing.discard(name)
    while world.now < END_S and (world.now < LOAD_S + 5.0 or world.unfinished()):
        world.run(world.now + 1.0)
    histograms: defaultdict[str, Any] = defaultdict(new_histogram)
    for name, (cell, lane) in kinds.items():
        job = world.jobs[name]
        if job.first_started_at >= 0 and not (lost and cell == "north"):
            histograms[f"{cell} {lane}"].record_value(
                max(1, int(1000 * (job.first_started_at - job.accepted_at)))
            )
    waits = {key: summarize(found)._asdict() for key, found in sorted(histograms.items())}
    return Result(waits, world, again, repeated)


def show(title: str, result: Result) -> None:
    """A day in a few lines."""
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
    for key, found in result.waits.items():
        print(
            f"  {key}: {found['total']:.0f} jobs, median {found['median']:.1f} s, "
            f"90% {found['p90']:.1f} s, 99% {found['p99']:.1f} s"
        )
    if result.restart_delays_s:
        spread = sorted(result.restart_delays_s)
        print(
            f"  lost with the cell: {len(spread)} jobs run again after {spread[0]:.1f} to "
            f"{spread[-1]:.1f} s, median {spread[len(spread) // 2]:.1f} s; "
            f"{result.repeated_task_count} tasks were done there and unheard"
        )


def main() -> None:
    for seed in map(int, sys.argv[1:]):
        show(f"seed {seed}, without spilling", play(seed, spills=False))
        show(f"seed {seed}, with spilling", play(seed, spills=True))
        show(f"seed {seed}, a cell vanishes", play(seed, spills=True, lost=True))


if __name__ == "__main__":
    main()
