"""Measure how a fleet's cost grows with its machines: `python -m tests.measure_size 1000 2000`.

Not part of the test command. Five controllers and their surroundings are simulated in one
process; the controllers' own processor time is told apart from the simulation's.
"""

import resource
import sys
import time
from collections import defaultdict
from typing import Any

from coursefold.coordination.core import Core
from coursefold.coordination.leader import Leader
from tests.fleet import Fleet
from tests.world import SETTINGS

RENT_S = 45.0  # until all machines are up
MEASURED_S = 15.0
# Reports as seldom as a fleet of thousands would have them.
TIMING = SETTINGS["params"]["workers"] | {"report_s": 8.0, "lease_s": 24.0, "cancel_s": 60.0}
STATE = {"rps": 1000.0, "write_rps": 400.0, "value_kb": 16.0, "txn_ops": 64}
CLOUD = {"rps": 20.0, "list_lag_s": 4.0}
TASKS = 40


def large_fleet(machines: int, seed: int = 1) -> Fleet:
    """A fleet whose jobs ask for so many whole machines, of which there are a few more."""
    fleet = Fleet(
        seed, capacity=int(machines * 1.04), workers=TIMING, state=STATE, cloud=CLOUD,
        teams=[{"name": "blue", "gpus_max": 0.0}],
    )  # fmt: skip
    for number in range(machines // TASKS):
        fleet.submit(
            f"job-{number}", 1e6, Shape="standing", Rank="prod", Pieces=TASKS, Loaners=True,
            Vcpus=16.0, Accelerators=2.0,
        )  # fmt: skip
    return fleet


class Meter:
    """Processor time and calls of methods, by name; bytes of frames."""

    def __init__(self) -> None:
        self.seconds: dict[str, float] = defaultdict(float)
        self.calls: dict[str, int] = defaultdict(int)
        self.frame_bytes = 0

    def clear(self) -> None:
        self.seconds.clear()
        self.calls.clear()
        self.frame_bytes = 0

    def wrap(self, owner: type, name: str) -> None:
        inner = getattr(owner, name)

        def timed(*args: Any, **kwargs: Any) -> Any:
            began = time.process_time()
            try:
                result = inner(*args, **kwargs)
            finally:
                self.seconds[f"{owner.__name__}.{name}"] += time.process_time() - began
                self.calls[f"{owner.__name__}.{name}"] += 1
            if name == "next_frame":
                self.frame_bytes += len(result)
            return result

        setattr(owner, name, timed)


def measure(machines: int, meter: Meter) -> None:
    """Print one line of what a fleet of this size costs."""
    fleet = large_fleet(machines)
    fleet.run(RENT_S)
    meter.clear()
    fleet.run(RENT_S + MEASURED_S)
    core = sum(
        meter.seconds[f"Core.{name}"]
        for name in (
            "tick",
            "handle_report",
            "receive_frame",
            "next_frame",
            "receive_cloud_response",
        )
    )
    rounds = meter.calls["Leader.tick"] or 1
    print(
        f"{len(fleet.workers)} machines, {len(fleet.placed_tasks)} tasks placed: "
        f"{1000 * core / MEASURED_S:.0f} ms of processor time a second, "
        f"{1e6 * core / MEASURED_S / machines:.1f} us a machine; "
        f"dealing {1000 * meter.seconds['Leader.tick'] / rounds:.2f} ms a round; "
        f"frames {meter.frame_bytes / MEASURED_S / 1024:.1f} KiB a second; "
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB at most",
        flush=True,
    )


def main() -> None:
    meter = Meter()
    for name in ("tick", "handle_report", "receive_frame", "next_frame", "receive_cloud_response"):
        meter.wrap(Core, name)
    meter.wrap(Leader, "tick")
    for size in map(int, sys.argv[1:]):
        measure(size, meter)


if __name__ == "__main__":
    main()
