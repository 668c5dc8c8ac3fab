"""Numbers from outside must not decide what a step of a controller costs, nor rent a whole cloud.

Costs are processor time, so that a busy machine does not change the verdict.
"""

import itertools
import math
import time
from typing import Any

import msgspec
import pytest

from coursefold.coordination.demand import LOAD_HORIZON_S, DemandPlanner, PoolId, RunTimes
from coursefold.coordination.fleet_size import MIN_LIMIT_MACHINES, max_fleet_machines
from coursefold.coordination.gangs import find_gang_placement
from coursefold.coordination.leader import UNWRITABLE_PAUSE_S
from coursefold.coordination.placement import MAX_TASKS_PER_MACHINE, MachineCapacity
from coursefold.coordination.queueing import (
    MAX_POOL_SLOTS,
    SEARCH_LOAD_FACTOR,
    SEARCH_MARGIN_SLOTS,
    erlang_c,
    find_optimal_servers,
)
from coursefold.coordination.rentals import MAX_MACHINES_PER_REQUEST, MAX_OPEN_REQUESTS
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Catalog, Job, decode, encode
from coursefold.step_times import SLOW_STEP_S
from tests import world as simulated
from tests.world import CATALOG, JOB, World

HUGE = 1e12  # the highest amount that is accepted in any field
TINY = 5e-324
WINDOW_S = 150.0
MACHINES = 20


class TimedWorld(World):
    """A world that notes the processor time of the slowest tick."""

    slowest_tick_s = 0.0

    def run(self, until: float) -> None:
        """Advance the clock and time each tick."""
        tick = type(self.core).tick.__get__(self.core)

        def timed_tick() -> None:
            started_at = time.process_time()
            tick()
            self.slowest_tick_s = max(self.slowest_tick_s, time.process_time() - started_at)

        self.core.tick = timed_tick  # type: ignore[method-assign]
        super().run(until)

    def count_requested_machines(self) -> int:
        """Return how many machines the cloud was asked for."""
        return sum(body["Count"] for verb, body in self.calls if verb == "hire")


def play(jobs: list[dict[str, Any]]) -> TimedWorld:
    """Play the first seconds of these jobs beside an ordinary one, on up to `MACHINES` machines."""
    world = TimedWorld()
    for number, fields in enumerate(jobs, 1):
        answer = world.submit(f"job-{number}", **fields)
        assert answer is not None
        assert answer.status == 201
    world.submit("job-900", Lane="other")
    world.run(3.0)
    for sequence in (1, 2, 3):
        for machine in range(MACHINES):
            world.report(f"i-9{machine:02d}", [], Counter=sequence)
    world.run(8.0)
    return world


JOBS: dict[str, dict[str, Any]] = {
    "nanoseconds": {"ExpectedS": 35e9},
    "microseconds, largest array": {"ExpectedS": 35e6, "Pieces": 200},
    "the highest estimate": {"ExpectedS": HUGE, "Pieces": 100_000},
    "the lowest estimate": {"ExpectedS": TINY},
    "image": {"ImageGb": HUGE},
    "checkpoints": {"SnapshotEveryS": HUGE, "SnapshotS": HUGE},
    "deadline": {"DueS": TINY},
    "array": {"Pieces": 100_000},
    "array in a zone": {"Pieces": 100_000, "Site": "a"},
    "replicas in all zones": {"Pieces": 100_000, "Shape": "standing", "Apart": True},
    "gang": {"Pieces": 100_000, "Shape": "ensemble"},
    "gang in a zone": {"Pieces": 100_000, "Shape": "ensemble", "Site": "a", "Together": True},
}


@pytest.mark.parametrize("job_count", [1, 5])
@pytest.mark.parametrize("fields", JOBS.values(), ids=JOBS)
def test_a_jobs_numbers_do_not_decide_what_a_round_costs(
    fields: dict[str, Any], job_count: int
) -> None:
    """Guards against one job that keeps every controller from answering (review/2)."""
    world = play([fields] * job_count)
    assert world.slowest_tick_s < SLOW_STEP_S
    assert world.count_requested_machines() <= MIN_LIMIT_MACHINES
    poll = world.poll("job-900")
    assert poll is not None
    assert poll.status == 200


TYPES: dict[str, dict[str, Any]] = {
    "cpus": {"Vcpus": HUGE, "Accelerators": 0.0},
    "accelerators": {"Accelerators": HUGE},
    "memory": {"MemoryGb": HUGE},
    "free of charge": {"Hourly": 0.0, "LowPrice": 0.0},
    "expensive": {"Hourly": HUGE, "LowPrice": HUGE},
    "boot": {"BootS": HUGE},
    "fetch": {"FetchGbPerS": TINY},
}


@pytest.mark.parametrize("estimate_s", [60.0, 35e9])
@pytest.mark.parametrize("fields", TYPES.values(), ids=TYPES)
def test_a_clouds_numbers_do_not_decide_what_a_round_costs(
    fields: dict[str, Any], estimate_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    catalog = {"Builds": [CATALOG["Builds"][0] | fields]}
    monkeypatch.setattr(simulated, "CATALOG", catalog)
    world = play([{"ExpectedS": estimate_s, "Accelerators": 0.0, "Loaners": True}])
    assert world.slowest_tick_s < SLOW_STEP_S


def test_an_estimate_in_the_wrong_unit_counts_as_one_of_an_hour() -> None:
    """Guards against a cloud rented as a whole for one job, until its first task is done.

    Other jobs in the pool keep the load and the mean run time that they have beside such a job
    of an hour.
    """
    types = decode(encode(CATALOG), Catalog)

    def plan(estimate_s: float) -> tuple[float, float, float]:
        planner = DemandPlanner(types, RunTimes(), 0.0, {}, {}, WINDOW_S)
        for name, run_s in (("job-1", estimate_s), ("job-2", 60.0)):
            job = JOB | {"NameId": name, "Lane": name, "ExpectedS": run_s}
            planner.count_arrival(decode(encode(job), Job), 1)
            planner.count_running(decode(encode(job), Job), PoolId("g2", False))
        demand = planner.pools[PoolId("g2", False)]
        return demand.target_slots(0.0005), demand.mean_run_s, demand.mean_batch_run_s

    assert plan(35e9) == plan(LOAD_HORIZON_S)
    assert plan(2000.0) < plan(LOAD_HORIZON_S)
    assert plan(35e9)[0] <= 2 * LOAD_HORIZON_S / WINDOW_S


TASKS_WITHOUT_NEEDS = {
    "Pieces": 100_000, "Shape": "ensemble", "Vcpus": 0.0, "Accelerators": 0.0, "MemoryGb": 0.0,
}  # fmt: skip


def test_a_machine_takes_as_many_tasks_as_its_report_can_list() -> None:
    """Guards against a round that fills one machine with a whole gang that needs nothing."""
    types = decode(encode(CATALOG), Catalog).machine_types
    machine = MachineCapacity("i-1", types[0], "a", False, "n0", 1)
    spec = decode(encode(JOB | TASKS_WITHOUT_NEEDS | {"NameId": "job-1"}), Job)
    assert find_gang_placement(spec, [machine]) is None
    fitting = msgspec.structs.replace(spec, task_count=MAX_TASKS_PER_MACHINE)
    assert find_gang_placement(fitting, [machine]) == [machine] * MAX_TASKS_PER_MACHINE


def test_a_gang_whose_record_gets_too_large_is_not_planned_in_each_round() -> None:
    """Guards against rounds that all take a second for a gang that can't be written."""
    world = TimedWorld()
    world.submit("job-1", **(TASKS_WITHOUT_NEEDS | {"Pieces": 15_000}))
    world.run(3.0)
    for sequence in (1, 2):
        for machine in range(MACHINES):
            world.report(f"i-9{machine:02d}", [], Counter=sequence)
    job = JobId("job-1")
    world.run(8.0)
    leader = world.core.leader
    assert "no room" in leader.waiting_reasons[job]
    assert leader.is_unwritable(job)
    assert list(leader.unwritable_until) == [job]
    for sequence in range(3, 3 + int(UNWRITABLE_PAUSE_S / 4) + 2):
        for machine in range(MACHINES):
            world.report(f"i-9{machine:02d}", [], Counter=sequence)
        world.run(world.now + 4.0)
    assert leader.unwritable_until[job] > world.core.ctx.now  # tried again once, and set aside


def test_a_pool_has_a_limited_number_of_open_requests() -> None:
    """Guards against a record of requests that is too large to be written."""
    world = TimedWorld()
    world.run(6.0)  # until the first list of machines
    world.cloud = "down"
    control, pool = world.core.fleet.pool_control, PoolId("g2", False)
    for _ in range(3):
        control._rent(pool, control.demands[pool], 100_000)
        world.run(world.now + 1.0)
    open_requests = [
        rental for record in world.core.view.pools.values() for rental in record.rentals
    ]
    assert len(open_requests) == MAX_OPEN_REQUESTS
    assert all(rental.count <= MAX_MACHINES_PER_REQUEST for rental in open_requests)


def test_the_fleets_limit_follows_from_connections_and_is_no_less_than_4000_machines() -> None:
    settings = World().core.ctx.settings
    assert max_fleet_machines(settings) == MIN_LIMIT_MACHINES == 4000  # 3 times 900 connections


# c*


def find_by_all_steps(
    arrival_rate: float, service_rate: float, price: float, eta: float, batch_factor: float
) -> int:
    """Return c* by the search that begins with one server, as it was before it had a limit."""
    load = arrival_rate / service_rate
    limit = SEARCH_MARGIN_SLOTS + int(SEARCH_LOAD_FACTOR * load)
    lowest, blocking = math.inf, 1.0
    for servers in range(1, limit):
        blocking = load * blocking / (servers + load * blocking)
        if servers <= load:
            continue
        utilization = load / servers
        waiting = blocking / (1 - utilization + utilization * blocking)
        wait_s = waiting / ((1 - utilization) * servers * service_rate)
        length = waiting * utilization / (1 - utilization)
        total = eta * batch_factor * wait_s + (1 - eta) * price * max(0.0, servers - length)
        if total >= lowest:
            return servers - 1
        lowest = total
    return limit


LOADS = [0.01, 0.3, 1.0, 2.5, 10.0, 33.3, 250.0, 999.9, 1000.1, 2222.2, 12345.6]
RUN_S = [5.0, 60.0, 3600.0]
PRICES = [0.0, 1e-12, 1e-4, 7e-4, 0.02]


@pytest.mark.parametrize("load", LOADS)
def test_the_optimum_is_the_former_one_for_loads_of_ordinary_fleets(load: float) -> None:
    """The search starts near the load and ends at a limit; neither may change c*."""
    for run_s, price, eta, batch_factor in itertools.product(
        RUN_S, PRICES, [0.00015, 0.0005, 0.5], [1.0, 60.0]
    ):
        arguments = (load / run_s, 1 / run_s, price, eta, batch_factor)
        assert find_optimal_servers(*arguments) == find_by_all_steps(*arguments)


def test_the_optimum_stays_within_the_slots_that_the_fleet_may_hold() -> None:
    assert find_optimal_servers(50.0, 1 / 60, 7e-4, 0.0005, slot_limit=400) == 400
    assert find_optimal_servers(3.0, 1 / 60, 0.0, 0.0005, slot_limit=190) == 190
    assert find_optimal_servers(HUGE, TINY, 7e-4, 0.0005) == MAX_POOL_SLOTS


@pytest.mark.parametrize("load", [0.5, 900.0, 1.1e6, HUGE])
def test_the_probability_to_wait_is_found_in_few_steps(load: float) -> None:
    started_at = time.process_time()
    some = erlang_c(int(load + 2 * math.sqrt(load)) + 1, load)
    none = erlang_c(10**15, load)
    assert time.process_time() - started_at < SLOW_STEP_S
    assert 0 < some < 1
    assert none == 0


def test_the_limit_of_many_servers_continues_the_recurrence() -> None:
    """Both forms agree where one takes over from the other."""
    below, above = MAX_POOL_SLOTS - 1.0, MAX_POOL_SLOTS + 1.0
    for excess in (500, 1000, 2000):
        exact = erlang_c(int(below) + excess, below)
        assert erlang_c(int(above) + excess, above) == pytest.approx(exact, rel=0.01)
