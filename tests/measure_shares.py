"""Measure moves of machines between controllers: `python -m tests.measure_shares 1 2 3`.

The arguments are seeds. This is not part of the test command. Each seed is run without moves
and with moves in both modes, each time with the same jobs. The argument `large` moves 1,000 of
4,000 machines.
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
JOB_COUNT = 160
LARGE_MACHINE_COUNT, MOVE_COUNT = 4000, 1000
SMALL_WRITE_RPS = 60.0  # the write rate in the example of the settings page
FAST = {"at_once": 40, "a_minute": 1200, "limit_s": 120.0}


class Move(NamedTuple):
    """The moves that are requested during a run.

    Attributes:
        name: Title in the output.
        mode: Mode of the moves, "finish" or "drain".
        max_machines: A request is for fewer machines than this.
        every_s: Seconds between two requests.
    """

    name: str
    mode: str
    max_machines: int
    every_s: float


MOVES = (
    Move("some", "finish", 4, 12.0),
    Move("many", "finish", 12, 3.0),
    Move("many, draining", "drain", 12, 3.0),
)


def submit_all(fleet: SharesFleet, seed: int) -> dict[str, str]:
    """Schedule the submission of all jobs; return the kind of each, by name."""
    rng = random.Random(seed)
    kinds: dict[str, str] = {}
    for number in range(JOB_COUNT):
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


def request_moves(fleet: SharesFleet, rng: random.Random, move: Move) -> None:
    """Request a move between two random controllers, and again every `move.every_s` seconds."""
    leader = fleet.leader()
    if leader is not None:
        source, target = rng.sample([node.name for node in fleet.nodes], 2)
        body = {
            "RequestId": f"r-{int(fleet.now * 10)}", "From": source, "To": target, "Type": "g2",
            "Count": rng.randrange(1, move.max_machines), "Mode": move.mode,
            "Until": EPOCH + fleet.now + 20.0,
        }  # fmt: skip
        fleet.send("/shares/move", body, leader)
    if fleet.now < LOAD_S:
        fleet.after(move.every_s, lambda: request_moves(fleet, rng, move))


def run_seed(seed: int, move: Move | None) -> None:
    """Run one seed and print its figures."""
    fleet = SharesFleet(seed, CAPACITY, moves=FAST)
    kinds = submit_all(fleet, seed)
    if move is not None:
        fleet.after(BEGIN_S, lambda: request_moves(fleet, random.Random(seed), move))
    fleet.run(END_S)
    histograms: defaultdict[str, Any] = defaultdict(new_histogram)
    for name, kind in kinds.items():
        job = fleet.jobs[name]
        if job.first_started_at >= 0:
            record_seconds(histograms[kind], job.first_started_at - job.accepted_at)
    tasks = sum(len(job.done) for job in fleet.jobs.values())
    services = sum(fleet.jobs[n].size for n, kind in kinds.items() if kind == "service")
    moved = sum(fleet.handovers.values())
    rows = [n for n in fleet.store.changes if (n.get("Set") or n["Remove"]).startswith("cf/s/")]
    written = sum(json_size_bytes(row.get("Value")) for row in rows)
    title = f"seed {seed}, {move.name if move else 'no moves'}"
    per_move = f"{len(rows) / moved:.1f} changes, {written / moved:.0f} B a move" if moved else ""
    print(
        f"{title}: {moved} handovers ({fleet.handover_with_tasks_count} with tasks), "
        f"{sum(fleet.stops.values())} tasks stopped, "
        f"{fleet.started_count - tasks - services} starts repeated, "
        f"{sum(not job.has_ended() for job in fleet.jobs.values())} jobs not over; {per_move}"
    )
    for kind, histogram in sorted(histograms.items()):
        show(f"  waits of {kind}s", histogram)
    for number, shares in fleet.shares.items():
        if (
            fleet.nodes[number] is fleet.wait_for_leader()
            and shares.durations.handover_s.get_total_count()
        ):
            show("  until the handover", shares.durations.handover_s)
            show("  until the new owner shows it", shares.durations.visible_s)


def show(title: str, histogram: Any) -> None:
    """Print the summary of a histogram of seconds."""
    found = summarize(histogram)
    print(
        f"{title}: {found.total}, median {found.median:.1f} s, 90% {found.p90:.1f} s, "
        f"99% {found.p99:.1f} s",
        flush=True,
    )


def large() -> None:
    """Move a quarter of the machines with the write rate of a small deployment."""
    state = STATE | {"write_rps": SMALL_WRITE_RPS}
    params = {
        "workers": TIMING, "state": state, "cloud": CLOUD,
        "teams": [{"name": "blue", "gpus_max": 0.0}],
        "resources": {"cores": 0.5, "memory_mb": 146.0, "fd_limit": 6000},
    }  # fmt: skip
    moves = {"at_once": 400, "a_minute": 6000}
    fleet = SharesFleet(
        1, int(LARGE_MACHINE_COUNT * 1.04), params=params, check_period_s=1.0, moves=moves
    )
    for number in range(LARGE_MACHINE_COUNT // 40):
        whole_machine = {"Vcpus": 16.0, "Accelerators": 2.0, "Loaners": True, "Pieces": 40}
        fleet.submit(f"job-{number}", 1e6, None, Shape="standing", Rank="prod", **whole_machine)
    fleet.run(90.0)
    placed_before = len(fleet.placed_tasks)
    for number in range(1, 5):
        answer = fleet.move(f"n{number}", "n0", MOVE_COUNT // 4, f"r-{number}")
        print(f"request {number}: {answer.status} {answer.body.get('error', '')}")
        # Requests for the same scope come one after the other, since each one counts from the
        # machines that the previous one left.
        started_at_s, processor_start_s = fleet.now, time.process_time()
        fleet.run_until(lambda n=number: fleet.handovers[(f"n{n}", "n0")] >= MOVE_COUNT // 4, 300.0)  # type: ignore[misc]
        print(
            f"{MOVE_COUNT // 4} of {len(fleet.up())} machines in {fleet.now - started_at_s:.1f} s, "
            f"{time.process_time() - processor_start_s:.1f} s of processor time for all of it; "
            f"{len(fleet.placed_tasks)} of {placed_before} tasks still run",
            flush=True,
        )
    fleet.run(fleet.now + 30.0)
    writes = sum((n.get("Set") or n["Remove"]).startswith("cf/s/") for n in fleet.store.changes)
    print(
        f"{writes} changes of ownership records, "
        f"{len(fleet.placed_tasks)} of {placed_before} tasks still run"
    )
    assert fleet.wait_for_leader().core.view.format_level == records.SHARES_LEVEL


def main() -> None:
    """Measure each seed, or `large`, that is given on the command line."""
    for word in sys.argv[1:]:
        if word == "large":
            large()
            continue
        for move in (None, *MOVES):
            run_seed(int(word), move)


if __name__ == "__main__":
    main()
