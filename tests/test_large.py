"""Room for large jobs: gathered, with quota, for one at a time."""

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

SMALL = decode(encode(CATALOG), Catalog).machine_types[0]
LARGE = decode(
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


def job(**fields: Any) -> Job:
    return decode(encode(JOB | {"NameId": "job-1"} | fields), Job)


def test_quota_is_kept_for_the_gang_that_has_waited_longest() -> None:
    """Seen: small jobs of the same team, which fit what was left, went on for ever."""
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
        for at in (3, 4):
            world.report(f"i-{number}", [], Counter=at)
    world.submit("job-4", **red)
    world.run(world.now + 1.0)
    assert not world.core.view.jobs[JobId("job-4")].entries
    assert "limit of 8 GPUs" in world.core.leader.waiting_reasons[JobId("job-4")]


def test_one_gang_at_a_time_goes_before_smaller_ones() -> None:
    order = QueueOrder([])
    large = job(Shape="ensemble", Pieces=32)
    small = job(Shape="ensemble", Pieces=2)
    late = LONG_WAIT_S + 1.0
    chosen = order.make_key(large, "job-1", late, 60.0, False, is_longest_waiting_gang=True)
    other = order.make_key(large, "job-2", late, 60.0, False)
    fresh = order.make_key(small, "job-3", 1.0, 60.0, False)
    assert chosen < fresh < other


def test_a_pool_grows_for_a_gang_that_its_free_halves_do_not_help() -> None:
    demand = PoolDemand(SMALL, False, 60.0)
    demand.machine_count, demand.busy_slots = 20, 20.0  # every machine half full
    demand.gang_slots = 8.0
    assert demand.target_slots(0.0005) <= 40
    demand.zone_bound_slots = 8.0
    assert demand.target_slots(0.0005) == 48


def test_what_is_placed_is_not_placed_again() -> None:
    """A step may come twice, by the leader and by the owner itself."""
    placed = JobRecord(
        job(), 0.0, attempt=1, entries=[TaskEntry(0, PLACED, 1, "n1", "a", "i-1", 1)]
    )
    with pytest.raises(NotApplicableError):
        jobs.place("n1", [jobs.TaskRef(0, 0, "a", "i-2", 1)])(placed)


def test_classes_go_where_they_displace_least() -> None:
    """One array task takes a small machine whole; a gang's task fits both types alike."""
    array = job(Lane="array", Vcpus=10.0, MemoryGb=54.0)
    gang = job(Lane="gang", Vcpus=7.0, MemoryGb=26.0)
    market = PriceIndex([SMALL, LARGE], [array, gang])
    rooms = [
        MachineCapacity("i-1", SMALL, "a", False, "n0", 1),
        MachineCapacity("i-2", LARGE, "a", False, "n0", 1),
    ]
    for room in rooms:
        room.cached_images = {"img"}

    def first(spec: Job, known: PriceIndex) -> str | None:
        found = PlacementSearch(spec, rooms, price_index=known).find_best()
        return found.type_info.name if found else None

    assert first(array, market) == "g8"
    assert first(gang, market) == "g2"
    assert (
        market.estimate_displacement_cost(gang, LARGE)
        > 0
        == market.estimate_displacement_cost(array, LARGE)
    )
    assert market.find_preferred_type(job(Lane="gang")) == "g2"


def test_arrivals_in_lumps_make_a_larger_pool() -> None:
    single = find_optimal_servers(0.5, 1 / 60, 0.0007, 0.0005)
    assert find_optimal_servers(0.5, 1 / 60, 0.0007, 0.0005, batch_factor=20.0) > single


def test_replicas_wait_for_the_first_machines_of_their_type() -> None:
    """They stay for long: seen on the large machines, which boot first, for a whole day."""
    world = World()
    leader, ctx = world.core.leader, world.core.ctx
    array = job(Lane="array", Vcpus=10.0, MemoryGb=54.0)
    replica = job(Lane="web", Shape="standing", Vcpus=5.0, MemoryGb=19.0)
    ctx._price_index, ctx._price_index_at = PriceIndex([SMALL, LARGE], [array, replica]), ctx.now
    leader.booting_offerings, leader.available_types = [MachineOffering("g2", "a", False)], {"g8"}
    assert leader._should_wait_for_type(replica)
    assert not leader._should_wait_for_type(array)
    leader.available_types = {"g2", "g8"}
    assert not leader._should_wait_for_type(replica)
    leader.booting_offerings, leader.available_types = [], {"g8"}
    assert not leader._should_wait_for_type(replica)


def test_a_page_of_the_list_that_was_refused_is_asked_for_again() -> None:
    """Over 500 machines a list has several pages; one refusal must not lose the list."""
    world = World()
    fleet, ctx = world.core.fleet, world.core.ctx
    world.run(1.0)
    box = {"Addr": "10.0.0.9:9000", "Build": "g2", "Site": "a", "Loaners": False}
    rows = [box | {"NameId": f"i-{n:06d}", "Status": "starting", "HeldS": 0.0} for n in range(3)]
    refused = iter([True, False])
    asked: list[str | None] = []
    before = fleet.lists_read
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
            asked.append(start)
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
    assert asked[:3] == [None, "i-000001", "i-000001"]
    assert fleet.lists_read > before
    assert {row["NameId"] for row in rows} <= set(fleet.inventory.machines)


def test_what_gangs_have_in_common_is_found_once_and_rightly() -> None:
    """Rooms kept for one gang are not offered to the next; the emptiest zone is kept."""
    spec = job(Shape="ensemble", Pieces=2, Vcpus=16.0, Accelerators=2.0, Together=True)
    rooms = [
        MachineCapacity(f"i-{n}", SMALL, "a" if n < 3 else "b", False, "n0", 1) for n in range(6)
    ]
    rooms[0].reserve(job(Vcpus=8.0))
    floor = GangCandidates(rooms)
    assert len(floor.find_fitting(spec)) == 5
    kept = floor.find_to_earmark(spec)
    assert {r.zone for r in kept} == {"a"}
    assert rooms[0] not in kept
    for room in kept:
        room.is_unschedulable = True
    rooms[4].is_unschedulable = True  # in the middle of its zone's order
    assert {r.id for r in floor.find_to_earmark(spec)} == {"i-3", "i-5"}
    assert len(floor.find_fitting(spec)) == 2
    assert not GangCandidates([]).find_to_earmark(spec)


@pytest.mark.parametrize(("silent", "waits"), [(8, True), (2, False)])
def test_a_zone_that_falls_silent_at_once_is_waited_for(silent: int, waits: bool) -> None:
    """Seen: a zone cut off for 40 s; half of the fleet was returned, and all on it lost."""
    world = World()
    names = [f"i-{n:06d}" for n in range(8)]

    def report(name: str, at: int) -> None:
        world.report(name, [], Site="b", Counter=at)

    for at in (1, 2):
        for name in names:
            report(name, at)
        world.run(world.now + 1.0)
    # Others may have renewed their leases since: silence alone proves nothing about them.
    world.store.set(str(records.ROSTER_KEY), world.store.keys[records.ROSTER_KEY][0])
    place = TaskEntry(0, PLACED, 1, "n0", "b", names[0], 1)
    world.submit("job-1", Site="b")
    key = records.job_key(JobId("job-1"))
    live = world.core.view.jobs[JobId("job-1")]
    held = msgspec.structs.replace(live, attempt=1, entries=[place])
    world.store.set(key, codec.encode_record(held))
    began, at = world.now, 3
    while world.now < began + 30.0:
        for name in names[silent:]:
            report(name, at)
        at += 1
        world.run(world.now + 2.0)
    assert (names[0] not in world.returned) == waits
    places = [e.machine for e in world.core.view.jobs[JobId("job-1")].entries]
    assert (places == [names[0]]) == waits
    world.run(began + 50.0)
    assert names[0] in world.returned


def test_a_job_bound_to_a_zone_gets_a_machine_there() -> None:
    """Idle machines of another zone are no room for it, and no reason not to rent."""
    world = World()
    elsewhere = [f"i-elsewhere-{n}" for n in range(4)]
    for at in range(1, 30):
        for name in elsewhere:
            world.report(name, [], Site="a", Counter=at)
        if at == 3:
            world.submit("job-1", Site="b")
        world.run(world.now + 1.0)
    rented = [body["Site"] for verb, body in world.calls if verb == "hire"]
    assert rented == ["b"]


def test_a_fleet_without_accelerators_and_a_zone_without_a_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both are served: machines are rented in that zone too, and tasks run there."""
    kind = CATALOG["Builds"][0] | {"Accelerators": 0.0, "Sites": ["c"]}
    monkeypatch.setitem(CATALOG, "Builds", [kind])
    monkeypatch.setitem(SETTINGS["params"], "zones", ["a", "b", "c"])
    world = World()
    world.submit("job-1", Accelerators=0.0)
    world.run(world.now + 8.0)
    hires = [body for verb, body in world.calls if verb == "hire"]
    assert [(hire["Site"], hire["Count"]) for hire in hires] == [("c", 1)]
    (machine,) = world.rentals[hires[0]["Hire"]]
    for at in (1, 2):
        world.report(machine, [], Site="c", Counter=at)
        world.run(world.now + 1.0)
    answer = world.report(machine, [], Site="c", Counter=3)
    assert answer is not None
    assert [(order.verb, order.task) for order in answer.body["Orders"]] == [("run", "job-1/0")]
