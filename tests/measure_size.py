"""Measure the controllers' cost by cluster size: `python -m tests.measure_size 1000 2000`.

The arguments are numbers of machines. This is not part of the test command. Five controllers
and their environment are simulated in one process; the processor time of the controllers is
counted separately from that of the simulation.
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

RENT_S = 45.0  # time in which all machines are rented and boot
MEASURED_S = 15.0
# Thousands of machines report as rarely as in a deployment of that size.
TIMING = SETTINGS["params"]["workers"] | {"report_s": 8.0, "lease_s": 24.0, "cancel_s": 60.0}
STATE = {"rps": 1000.0, "write_rps": 400.0, "value_kb": 16.0, "txn_ops": 64}
CLOUD = {"rps": 20.0, "list_lag_s": 4.0}
TASKS_PER_JOB = 40


def large_fleet(machines: int, seed: int = 1) -> Fleet:
    """Return a cluster whose jobs need so many whole machines; 4% more can be rented."""
    fleet = Fleet(
        seed, capacity=int(machines * 1.04), workers=TIMING, state=STATE, cloud=CLOUD,
        teams=[{"name": "blue", "gpus_max": 0.0}],
    )  # fmt: skip
    for number in range(machines // TASKS_PER_JOB):
        fleet.submit(
            f"job-{number}", 1e6, Shape="standing", Rank="prod", Pieces=TASKS_PER_JOB, Loaners=True,
            Vcpus=16.0, Accelerators=2.0,
        )  # fmt: skip
    return fleet


class Meter:
    """Measures processor time and calls of methods, and the size of frames.

    Attributes:
        seconds: Processor time spent in a method, by class and method name.
        calls: Number of calls, by class and method name.
        frame_bytes: Size of all frames that `Core.next_frame` returned.
    """

    def __init__(self) -> None:
        self.seconds: dict[str, float] = defaultdict(float)
        self.calls: dict[str, int] = defaultdict(int)
        self.frame_bytes = 0

    def clear(self) -> None:
        """Set all figures to zero."""
        self.seconds.clear()
        self.calls.clear()
        self.frame_bytes = 0

    def wrap(self, owner: type, name: str) -> None:
        """Replace a method of a class by one that is measured."""
        inner = getattr(owner, name)

        def timed(*args: Any, **kwargs: Any) -> Any:
            started_at_s = time.process_time()
            try:
                result = inner(*args, **kwargs)
            finally:
                self.seconds[f"{owner.__name__}.{name}"] += time.process_time() - started_at_s
                self.calls[f"{owner.__name__}.{name}"] += 1
            if name == "next_frame":
                self.frame_bytes += len(result)
            return result

        setattr(owner, name, timed)


def measure(machines: int, meter: Meter) -> None:
    """Print one line with the cost of a cluster of this size."""
    fleet = large_fleet(machines)
    fleet.run(RENT_S)
    meter.clear()
    fleet.run(RENT_S + MEASURED_S)
    core_s = sum(
        meter.seconds[f"Core.{name}"]
        for name in (
            "tick",
            "handle_report",
            "receive_frame",
            "next_frame",
            "receive_cloud_response",
        )
    )
    round_count = meter.calls["Leader.tick"] or 1
    print(
        f"{len(fleet.workers)} machines, {len(fleet.placed_tasks)} tasks placed: "
        f"{1000 * core_s / MEASURED_S:.0f} ms of processor time a second, "
        f"{1e6 * core_s / MEASURED_S / machines:.1f} us a machine; "
        f"dealing {1000 * meter.seconds['Leader.tick'] / round_count:.2f} ms a round; "
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
