"""Placement of gangs and replicas, demand of pools, and unresponsive zones.

Machines and a part of the team's quota are reserved for one gang at a time.
"""

from typing import Any

import msgspec
import pytest

from coursefold.coordination import jobs
from coursefold.coordination.demand import PoolDemand
from coursefold.coordination.effects import CloudCall
from coursefold.coordination.gangs import GangCandidates
from coursefold.coordination.ordering import LONG_WAIT_S, QueueOrder
from coursefold.coordination.placement import (
    MachineCapacity,
    MachineOffering,
    PlacementSearch,
    PriceIndex,
)
from coursefold.coordination.queueing import find_optimal_servers
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Catalog, Job, decode, encode
from coursefold.storage import codec, records
from coursefold.storage.edits import NotApplicableError
from coursefold.storage.records import PLACED, JobRecord, TaskEntry
from tests.world import CATALOG, JOB, SETTINGS, World

SMALL_TYPE = decode(encode(CATALOG), Catalog).machine_types[0]
LARGE_TYPE = decode(
    encode(
        {
            "Builds": [
                CATALOG["Builds"][0]
                | {"Name": "g8", "Vcpus": 96.0, "Accelerators": 8.0, "MemoryGb": 512.0}
                | {"Hourly": 22.0, "LowPrice": 9.0, "BootS": 10.0}
            ]
        }
    ),
    Catalog,
).machine_types[0]


def make_job(**fields: Any) -> Job:
    """Return a job description with defaults for all other fields, as on the wire."""
    return decode(encode(JOB | {"NameId": "job-1"} | fields), Job)


def test_quota_is_reserved_for_the_gang_that_has_waited_longest() -> None:
    """Otherwise small jobs of the same team, which fit the remaining quota, starve the gang."""
    world = World()
    for number in range(4):
        world.report(f"i-{number}", [])
        world.report(f"i-{number}", [], Counter=2)
    red = {"Owner": "red", "Rank": "urgent"}
    world.submit("job-1", **red)  # one of red's eight GPUs
    gang = {"Shape": "ensemble", "Pieces": 4, "Vcpus": 16.0, "Accelerators": 2.0}
    world.submit("job-2", **red, **gang, Together=True)
    world.run(world.now + 1.0)
    world.submit("job-3", **red)
    world.run(world.now + 1.0)
    assert world.core.view.jobs[JobId("job-3")].entries
    world.run(LONG_WAIT_S + 5.0)
    for number in range(4):
        for sequence in (3, 4):
            world.report(f"i-{number}", [], Counter=sequence)
    world.submit("job-4", **red)
    world.run(world.now + 1.0)
    assert not world.core.view.jobs[JobId("job-4")].entries
    assert "limit of 8 GPUs" in world.core.leader.waiting_reasons[JobId("job-4")]


def test_only_the_longest_waiting_gang_is_ordered_before_smaller_ones() -> None:
    order = QueueOrder([])
    large = make_job(Shape="ensemble", Pieces=32)
    small = make_job(Shape="ensemble", Pieces=2)
    wait_s = LONG_WAIT_S + 1.0
    chosen = order.make_key(large, "job-1", wait_s, 60.0, False, is_longest_waiting_gang=True)
    other = order.make_key(large, "job-2", wait_s, 60.0, False)
    fresh = order.make_key(small, "job-3", 1.0, 60.0, False)
    assert chosen < fresh < other


def test_a_pool_grows_for_a_gang_that_needs_whole_machines_in_one_zone() -> None:
    """Free slots on half used machines are no capacity for such a gang."""
    demand = PoolDemand(SMALL_TYPE, False, 60.0)
    demand.machine_count, demand.busy_slots = 20, 20.0  # every machine is half used
    demand.gang_slots = 8.0
    assert demand.target_slots(0.0005) <= 40
    demand.zone_bound_slots = 8.0
    assert demand.target_slots(0.0005) == 48


def test_what_is_placed_is_not_placed_again() -> None:
    """Both the leader and the owner itself may propose the same placement."""
    placed = JobRecord(
        make_job(), 0.0, attempt=1, entries=[TaskEntry(0, PLACED, 1, "n1", "a", "i-1", 1)]
    )
    for place in (jobs.place, jobs.place_waiting):
        with pytest.raises(NotApplicableError):
            place("n1", [jobs.TaskRef(0, 0, "a", "i-2", 1)])(placed)


def test_classes_are_placed_on_the_type_with_the_lowest_displacement_cost() -> None:
    """An array's task uses a small machine up; a gang's task fits both types equally well."""
    array = make_job(Lane="array", Vcpus=10.0, MemoryGb=54.0)
    gang = make_job(Lane="gang", Vcpus=7.0, MemoryGb=26.0)
    price_index = PriceIndex([SMALL_TYPE, LARGE_TYPE], [array, gang])
    capacities = [
        MachineCapacity("i-1", SMALL_TYPE, "a", False, "n0", 1),
        MachineCapacity("i-2", LARGE_TYPE, "a", False, "n0", 1),
    ]
    for capacity in capacities:
        capacity.cached_images = {"img"}

    def find_type(spec: Job, index: PriceIndex) -> str | None:
        found = PlacementSearch(spec, capacities, price_index=index).find_best()
        return found.type_info.name if found else None

    assert find_type(array, price_index) == "g8"
    assert find_type(gang, price_index) == "g2"
    assert (
        price_index.estimate_displacement_cost(gang, LARGE_TYPE)
        > 0
        == price_index.estimate_displacement_cost(array, LARGE_TYPE)
    )
    assert price_index.find_preferred_type(make_job(Lane="gang")) == "g2"


def test_arrivals_in_batches_make_a_larger_pool() -> None:
    single = find_optimal_servers(0.5, 1 / 60, 0.0007, 0.0005)
    assert find_optimal_servers(0.5, 1 / 60, 0.0007, 0.0005, batch_factor=20.0) > single


def test_replicas_wait_for_the_first_machines_of_their_type() -> None:
    """Replicas run for long, and large machines boot first.

    Without the wait replicas occupy large machines for a whole day.
    """
    world = World()
    leader, ctx = world.core.leader, world.core.ctx
    array = make_job(Lane="array", Vcpus=10.0, MemoryGb=54.0)
    replica = make_job(Lane="web", Shape="standing", Vcpus=5.0, MemoryGb=19.0)
    ctx._price_index, ctx._price_index_at = (
        PriceIndex([SMALL_TYPE, LARGE_TYPE], [array, replica]),
        ctx.now,
    )
    leader.booting_offerings, leader.available_types = [MachineOffering("g2", "a", False)], {"g8"}
    assert leader._should_wait_for_type(replica)
    assert not leader._should_wait_for_type(array)
    leader.available_types = {"g2", "g8"}
    assert not leader._should_wait_for_type(replica)
    leader.booting_offerings, leader.available_types = [], {"g8"}
    assert not leader._should_wait_for_type(replica)


def test_a_refused_page_of_the_machine_list_is_requested_again() -> None:
    """A list of over 500 machines has several pages; a refused page must not discard the list."""
    world = World()
    fleet, ctx = world.core.fleet, world.core.ctx
    world.run(1.0)
    machine = {"Addr": "10.0.0.9:9000", "Build": "g2", "Site": "a", "Loaners": False}
    rows = [
        machine | {"NameId": f"i-{n:06d}", "Status": "starting", "HeldS": 0.0} for n in range(3)
    ]
    refused = iter([True, False])
    requested_starts: list[str | None] = []
    lists_read_before = fleet.lists_read
    fleet.list_requested_at = -1e9
    for _ in range(16):
        world.now += 0.25
        world.enter()
        fleet.tick()
        while ctx.effects:
            call = ctx.effects.pop(0)
            if not isinstance(call, CloudCall) or call.verb != "list":
                continue
            start = call.body.get("From")
            requested_starts.append(start)
            if start is None:
                world.core.receive_cloud_response(
                    call.call_id, 200, encode({"Boxes": rows[:2], "More": True})
                )
            elif next(refused, False):
                world.core.receive_cloud_response(call.call_id, 429, encode({"error": "too many"}))
            else:
                world.core.receive_cloud_response(
                    call.call_id, 200, encode({"Boxes": rows[2:], "More": False})
                )
    assert requested_starts[:3] == [None, "i-000001", "i-000001"]
    assert fleet.lists_read > lists_read_before
    assert {row["NameId"] for row in rows} <= set(fleet.inventory.machines)


def test_machines_reserved_for_one_gang_are_not_candidates_for_the_next() -> None:
    """The search results that gangs share must follow the reservations.

    Machines are reserved in the zone with the most free capacity.
    """
    spec = make_job(Shape="ensemble", Pieces=2, Vcpus=16.0, Accelerators=2.0, Together=True)
    capacities = [
        MachineCapacity(f"i-{n}", SMALL_TYPE, "a" if n < 3 else "b", False, "n0", 1)
        for n in range(6)
    ]
    capacities[0].reserve(make_job(Vcpus=8.0))
    candidates = GangCandidates(capacities)
    assert len(candidates.find_fitting(spec)) == 5
    earmarked = candidates.find_to_earmark(spec)
    assert {c.zone for c in earmarked} == {"a"}
    assert capacities[0] not in earmarked
    for capacity in earmarked:
        capacity.is_unschedulable = True
    capacities[4].is_unschedulable = True  # in the middle of its zone's order
    assert {c.id for c in candidates.find_to_earmark(spec)} == {"i-3", "i-5"}
    assert len(candidates.find_fitting(spec)) == 2
    assert not GangCandidates([]).find_to_earmark(spec)


@pytest.mark.parametrize(("silent", "waits"), [(8, True), (2, False)])
def test_a_zone_that_falls_silent_at_once_is_waited_for(silent: int, waits: bool) -> None:
    """A zone may only be cut off: its machines are not returned at the first lease's end.

    Otherwise a cut of 40 s returns half of the fleet, and all work on it is lost.
    """
    world = World()
    names = [f"i-{n:06d}" for n in range(8)]

    def report(name: str, sequence: int) -> None:
        world.report(name, [], Site="b", Counter=sequence)

    for sequence in (1, 2):
        for name in names:
            report(name, sequence)
        world.run(world.now + 1.0)
    # With a new roster, another controller may have renewed leases: silence proves nothing.
    world.store.set(str(records.ROSTER_KEY), world.store.keys[records.ROSTER_KEY][0])
    place = TaskEntry(0, PLACED, 1, "n0", "b", names[0], 1)
    world.submit("job-1", Site="b")
    key = records.job_key(JobId("job-1"))
    live = world.core.view.jobs[JobId("job-1")]
    placed = msgspec.structs.replace(live, attempt=1, entries=[place])
    world.store.set(key, codec.encode_record(placed))
    started_at, sequence = world.now, 3
    while world.now < started_at + 30.0:
        for name in names[silent:]:
            report(name, sequence)
        sequence += 1
        world.run(world.now + 2.0)
    assert (names[0] not in world.returned) == waits
    machines = [e.machine for e in world.core.view.jobs[JobId("job-1")].entries]
    assert (machines == [names[0]]) == waits
    world.run(started_at + 50.0)
    assert names[0] in world.returned


def test_a_job_bound_to_a_zone_gets_a_machine_there() -> None:
    """Idle machines of another zone cannot run the job, and must not prevent a rental."""
    world = World()
    other_machines = [f"i-elsewhere-{n}" for n in range(4)]
    for sequence in range(1, 30):
        for name in other_machines:
            world.report(name, [], Site="a", Counter=sequence)
        if sequence == 3:
            world.submit("job-1", Site="b")
        world.run(world.now + 1.0)
    rented = [body["Site"] for verb, body in world.calls if verb == "hire"]
    assert rented == ["b"]


def test_jobs_run_without_accelerators_in_a_zone_without_a_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Machines without accelerators are rented in that zone too, and tasks run there."""
    machine_type = CATALOG["Builds"][0] | {"Accelerators": 0.0, "Sites": ["c"]}
    monkeypatch.setitem(CATALOG, "Builds", [machine_type])
    monkeypatch.setitem(SETTINGS["params"], "zones", ["a", "b", "c"])
    world = World()
    world.submit("job-1", Accelerators=0.0)
    world.run(world.now + 8.0)
    hires = [body for verb, body in world.calls if verb == "hire"]
    assert [(hire["Site"], hire["Count"]) for hire in hires] == [("c", 1)]
    (machine,) = world.rentals[hires[0]["Hire"]]
    for sequence in (1, 2):
        world.report(machine, [], Site="c", Counter=sequence)
        world.run(world.now + 1.0)
    answer = world.report(machine, [], Site="c", Counter=3)
    assert answer is not None
    assert [(order.verb, order.task) for order in answer.body["Orders"]] == [("run", "job-1/0")]
