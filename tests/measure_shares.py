"""Measure moves of machines between controllers: `python -m tests.measure_shares 1 2 3`.

Not part of the test command. Each seed is played without moves, with them in both modes; the
same jobs come each time. `large` shifts 1,000 of 4,000 machines.
"""

import random
import sys
import time
from collections import defaultdict
from typing import Any, NamedTuple

from coursefold.histograms import new_histogram, record_seconds, summarize
from coursefold.storage import records
from coursefold.storage.codec import json_size_bytes
from tests.measure_size import CLOUD, STATE, TIMING
from tests.shares_world import SharesFleet
from tests.world import EPOCH

BEGIN_S, LOAD_S, END_S = 20.0, 150.0, 400.0
CAPACITY = 200
JOBS = 160
LARGE, SHIFTED = 4000, 1000
SMALL_WRITE_RPS = 60.0  # of the settings page's example
FAST = {"at_once": 40, "a_minute": 1200, "limit_s": 120.0}


class Move(NamedTuple):
    """What is asked for during a measured day."""

    name: str
    mode: str
    most: int  # machines at a time
    every_s: float


MOVES = (
    Move("some", "finish", 4, 12.0),
    Move("many", "finish", 12, 3.0),
    Move("many, draining", "drain", 12, 3.0),
)


def submit_all(fleet: SharesFleet, seed: int) -> dict[str, str]:
    """The day's jobs; shape by name."""
    rng = random.Random(seed)
    kinds: dict[str, str] = {}
    for number in range(JOBS):
        name = f"job-{number}"
        fields: dict[str, Any] = {"Owner": rng.choice(["red", "blue"]), "ImageGb": 2.0}
        draw = rng.random()
        if draw < 0.3:
            kinds[name] = "gang"
            fields |= {"Shape": "ensemble", "Rank": "urgent", "Pieces": rng.choice([2, 4, 8])}
            fields |= {"Together": True, "Vcpus": 16.0, "Accelerators": 2.0}
        elif draw < 0.95:
            kinds[name] = "array"
            fields |= {"Pieces": rng.randrange(2, 24), "Loaners": True}
        else:
            kinds[name] = "service"
            fields |= {"Shape": "standing", "Rank": "prod", "Pieces": 2}
        run_s = rng.uniform(8.0, 40.0) if kinds[name] != "service" else 1e6
        at = rng.uniform(0.0, LOAD_S)
        fleet.after(at, lambda n=name, r=run_s, f=fields: fleet.submit(n, r, None, **f))  # type: ignore[misc]
    return kinds


def shift(fleet: SharesFleet, rng: random.Random, move: Move) -> None:
    """Ask for moves between drawn controllers, every few seconds."""
    leader = fleet.leader()
    if leader is not None:
        source, target = rng.sample([node.name for node in fleet.nodes], 2)
        body = {
            "RequestId": f"r-{int(fleet.now * 10)}", "From": source, "To": target, "Type": "g2",
            "Count": rng.randrange(1, move.most), "Mode": move.mode,
            "Until": EPOCH + fleet.now + 20.0,
        }  # fmt: skip
        fleet.send("/shares/move", body, leader)
    if fleet.now < LOAD_S:
        fleet.after(move.every_s, lambda: shift(fleet, rng, move))


def play(seed: int, move: Move | None) -> None:
    """One day, in a few lines."""
    fleet = SharesFleet(seed, CAPACITY, moves=FAST)
    kinds = submit_all(fleet, seed)
    if move is not None:
        fleet.after(BEGIN_S, lambda: shift(fleet, random.Random(seed), move))
    fleet.run(END_S)
    histograms: defaultdict[str, Any] = defaultdict(new_histogram)
    for name, kind in kinds.items():
        job = fleet.jobs[name]
        if job.first_start >= 0:
            record_seconds(histograms[kind], job.first_start - job.accepted_at)
    tasks = sum(len(job.done) for job in fleet.jobs.values())
    services = sum(fleet.jobs[n].size for n, kind in kinds.items() if kind == "service")
    moved = sum(fleet.handovers.values())
    rows = [n for n in fleet.store.news if (n.get("Set") or n["Remove"]).startswith("cf/s/")]
    written = sum(json_size_bytes(row.get("Value")) for row in rows)
    title = f"seed {seed}, {move.name if move else 'no moves'}"
    per_move = f"{len(rows) / moved:.1f} changes, {written / moved:.0f} B a move" if moved else ""
    print(
        f"{title}: {moved} handovers ({fleet.handed_with_tasks} with tasks), "
        f"{sum(fleet.stops.values())} tasks stopped, "
        f"{fleet.starts_seen - tasks - services} starts repeated, "
        f"{sum(not job.over() for job in fleet.jobs.values())} jobs not over; {per_move}"
    )
    for kind, histogram in sorted(histograms.items()):
        show(f"  waits of {kind}s", histogram)
    for number, part in fleet.shares.items():
        if fleet.nodes[number] is fleet.led() and part.durations.handover_s.get_total_count():
            show("  until the handover", part.durations.handover_s)
            show("  until the new owner shows it", part.durations.visible_s)


def show(title: str, histogram: Any) -> None:
    found = summarize(histogram)
    print(
        f"{title}: {found.total}, median {found.median:.1f} s, 90% {found.p90:.1f} s, "
        f"99% {found.p99:.1f} s",
        flush=True,
    )


def large() -> None:
    """Shift a quarter of a fleet within a small deployment's write budget."""
    state = STATE | {"write_rps": SMALL_WRITE_RPS}
    params = {
        "workers": TIMING, "state": state, "cloud": CLOUD,
        "teams": [{"name": "blue", "gpus_max": 0.0}],
        "resources": {"cores": 0.5, "memory_mb": 146.0, "fd_limit": 6000},
    }  # fmt: skip
    moves = {"at_once": 400, "a_minute": 6000}
    fleet = SharesFleet(1, int(LARGE * 1.04), params=params, look_s=1.0, moves=moves)
    for number in range(LARGE // 40):
        whole = {"Vcpus": 16.0, "Accelerators": 2.0, "Loaners": True, "Pieces": 40}
        fleet.submit(f"job-{number}", 1e6, None, Shape="standing", Rank="prod", **whole)
    fleet.run(90.0)
    before = len(fleet.on)
    for number in range(1, 5):
        answer = fleet.move(f"n{number}", "n0", SHIFTED // 4, f"r-{number}")
        print(f"request {number}: {answer.status} {answer.body.get('error', '')}")
        # One request for a scope's counts after the other: each counts from the last one's.
        began, wall = fleet.now, time.process_time()
        fleet.run_until(lambda n=number: fleet.handovers[(f"n{n}", "n0")] >= SHIFTED // 4, 300.0)  # type: ignore[misc]
        print(
            f"{SHIFTED // 4} of {len(fleet.up())} machines in {fleet.now - began:.1f} s, "
            f"{time.process_time() - wall:.1f} s of processor time for all of it; "
            f"{len(fleet.on)} of {before} tasks still run",
            flush=True,
        )
    fleet.run(fleet.now + 30.0)
    writes = sum((n.get("Set") or n["Remove"]).startswith("cf/s/") for n in fleet.store.news)
    print(f"{writes} changes of ownership records, {len(fleet.on)} of {before} tasks still run")
    assert fleet.led().core.view.format_level == records.SHARES_LEVEL


def main() -> None:
    for word in sys.argv[1:]:
        if word == "large":
            large()
            continue
        for move in (None, *MOVES):
            play(int(word), move)


if __name__ == "__main__":
    main()
