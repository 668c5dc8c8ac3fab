"""Jobs that need other jobs: what is accepted, what waits, what is cancelled with what."""

from typing import Any

import msgspec
import pytest

from coursefold.coordination import core, requests, summary
from coursefold.coordination import jobs as edits
from coursefold.coordination.demand import DemandPlanner, PoolId, RunTimes, UnplacedTasks
from coursefold.coordination.placement import (
    FailedSearches,
    MachineCapacity,
    PlacementSearch,
    PriceIndex,
)
from coursefold.coordination.requests import PendingRequest, Purpose
from coursefold.protocol.ids import JobId, MonotonicTime, WallTime
from coursefold.protocol.wire import Catalog, Job, MachineType, decode, encode
from coursefold.storage import codec, records
from coursefold.storage.edits import Edit, NotApplicableError
from coursefold.storage.records import Ending, JobRecord
from coursefold.storage.view import MachineLoad
from tests.world import EPOCH, JOB, World

RUNNING, EXITED = {"Status": "running"}, {"Status": "exited", "Cause": "done"}


def switched() -> World:
    world = World()
    world.store.set(records.FORMAT_LEVEL_KEY, [1])
    world.run(2.0)
    return world


def key(name: str) -> str:
    return records.job_key(JobId(name))


def ended(world: World, name: str, status: int, at: float = 0.0) -> None:
    """Another node writes how a job ended."""
    world.store.set(key(name), [status, 1, at] if at else [status, 1])
    world.run(world.now + 0.5)


def status(world: World, name: str) -> Any:
    answer = world.poll(name)
    assert answer is not None
    return answer.body.get("Status", answer.status)


def accepted(world: World, name: str, *needs: str, **fields: Any) -> None:
    answer = world.submit(name, Prereqs=list(needs), **fields)
    assert answer is not None
    assert answer.status == 201, answer


# What is accepted


@pytest.mark.parametrize(
    ("prereqs", "answer"),
    [
        (None, 201),
        ([], 201),
        (["job-1", "job-1"], 201),
        ("job-1", 400),
        (["job-1", 7], 400),
        (["task-1"], 400),
        (["job-1", "job-1/0"], 400),
        ({"job-1": 1}, 400),
        (["job-" + "9" * 33], 400),
        (["job-404"], 422),
        (["job-1", "job-404"], 422),
        (["job-2"], 422),  # itself
    ],
)
def test_the_field(prereqs: Any, answer: int) -> None:
    world = switched()
    accepted(world, "job-1")
    before = world.store.revision
    found = world.submit("job-2", Prereqs=prereqs)
    assert found is not None
    assert found.status == answer
    if answer != 201:
        assert world.store.revision == before
    elif prereqs:
        assert world.core.view.jobs[JobId("job-2")].open_prerequisites == ["job-1"]


def test_a_job_accepted_at_another_node_a_moment_ago_is_known() -> None:
    """Our news of it are still on their way; a 422 from our own view would be final."""
    world = switched()
    spec = decode(encode(JOB | {"NameId": "job-1"}), Job)
    world.store.set(key("job-1"), codec.encode_record(JobRecord(spec, EPOCH)))
    assert JobId("job-1") not in world.core.view.jobs
    accepted(world, "job-2", "job-1")
    assert status(world, "job-2") == "pending"


def test_a_job_that_ended_long_ago_is_read_before_the_answer() -> None:
    world = switched()
    world.store.set(records.ending_key(JobId("job-1")), [records.DONE, 1])
    world.run(3.0)
    world.core.view.endings.clear()
    accepted(world, "job-2", "job-1")
    assert world.core.view.jobs[JobId("job-2")].open_prerequisites == []


def test_what_cannot_be_decided_is_not_refused_for_good() -> None:
    world = switched()
    world.state = "down"
    answer = world.submit("job-2", Prereqs=["job-404"])
    assert answer is not None
    assert answer.status == 503
    assert answer.retry_after
    world.state = "up"
    world.store.set(key("job-1"), {"parts": 3, "text": "x"})  # its parts are on their way
    answer = world.submit("job-2", Prereqs=["job-1"])
    assert answer is not None
    assert answer.status == 503


def test_a_repeat_gets_its_state_whatever_it_names() -> None:
    world = switched()
    accepted(world, "job-1")
    accepted(world, "job-2", "job-1")
    for names in (["job-1"], ["job-404"], ["job-2"], []):
        answer = world.submit("job-2", Prereqs=names)
        assert answer is not None
        assert (answer.status, answer.body["Status"]) == (200, "pending")
    world.cancel("job-1")
    answer = world.submit("job-2", Prereqs=["job-1"])
    assert answer is not None
    assert (answer.status, answer.body["Status"]) == (200, "cancelled")


def test_a_flood_of_unknown_names_is_bounded() -> None:
    world = switched()
    waiting = PendingRequest(Purpose.RESOLVE, JobId("job-1"), None)
    world.core.requests.pending.update({-n: waiting for n in range(1, 3000)})
    answer = world.submit("job-2", Prereqs=["job-404"])
    assert answer is not None
    assert answer.status == 503
    assert answer.retry_after


def test_a_long_list_fits_and_a_longer_one_is_refused_once() -> None:
    world = switched()
    names = [f"job-{n * 7919 % 1000003:06d}" for n in range(3000)]
    for name in names:
        world.store.set(records.ending_key(JobId(name)), [records.CANCELLED, 1])
        world.core.view.remember_ending(
            records.ending_key(JobId(name)), Ending(records.CANCELLED, 1)
        )
    accepted(world, "job-1", *names)
    assert status(world, "job-1") == "cancelled"
    world = switched()
    spec = decode(encode(JOB | {"NameId": "job-1"}), Job)
    for name in names:
        world.store.set(key(name), codec.encode_record(JobRecord(spec, EPOCH)))
    world.core.queue.later_limits = world.core.queue.limits._replace(txn_ops=5, value_bytes=2048)
    world.run(3.0)
    accepted(world, "job-1", *names[:1000])
    answer = world.submit("job-2", Prereqs=names)
    assert answer is not None
    assert answer.status == 400


# What waits


def test_nothing_of_a_waiting_job_is_dealt_counted_or_asked_for() -> None:
    world = switched()
    accepted(world, "job-1")
    world.run(4.0)
    hires = world.core.view.pools
    before = sum(h.count for pool in hires.values() for h in pool.rentals)
    accepted(world, "job-2", "job-1", Pieces=6, Owner="red")
    world.run(12.0)
    node = world.core
    assert JobId("job-2") not in node.view.waiting_jobs
    assert node.view.jobs[JobId("job-2")].entries == []
    arrivals = node.fleet.pool_control.recent_arrivals
    assert "job-2" not in arrivals
    assert "job-1" in arrivals
    assert sum(h.count for pool in hires.values() for h in pool.rentals) == before
    answer = world.poll("job-2")
    assert answer is not None
    assert answer.body["why"] == "waiting for job-1 to be done"


def test_a_task_is_dealt_only_when_all_that_its_job_needs_is_done() -> None:
    """A diamond, on a machine with room for all."""
    world = switched()
    small = {"Vcpus": 1.0, "Accelerators": 0.0, "MemoryGb": 1.0}
    accepted(world, "job-1", **small)
    accepted(world, "job-2", "job-1", **small)
    accepted(world, "job-3", "job-1", **small)
    accepted(world, "job-4", "job-2", "job-3", **small)
    counter = 0

    def report(*tasks: dict[str, Any]) -> list[Any]:
        nonlocal counter
        counter += 1
        answer = world.report("i-000000", list(tasks), Counter=counter)
        assert answer is not None
        assert answer.status == 200
        world.run(world.now + 1.0)
        return [o.task for o in answer.body["Orders"] if o.verb == "run"]

    def task(job: int, attempt: int, state: dict[str, Any]) -> dict[str, Any]:
        return {"Piece": f"job-{job}/0", "Try": attempt} | state

    for _ in range(3):
        runs = report()
    assert runs == ["job-1/0"]
    report(task(1, 1, RUNNING))
    assert world.core.view.jobs[JobId("job-2")].entries == []
    report(task(1, 1, EXITED))
    report()
    assert report() == ["job-2/0", "job-3/0"]
    report(task(2, 1, EXITED), task(3, 1, RUNNING))
    assert status(world, "job-4") == "pending"
    assert JobId("job-4") not in world.core.view.waiting_jobs
    report(task(3, 1, EXITED))
    report()
    assert report() == ["job-4/0"]


def test_no_edit_gives_a_waiting_job_a_place() -> None:
    """Whatever a view shows, and whoever proposes it."""
    spec = decode(encode(JOB | {"NameId": "job-2"}), Job)
    record = JobRecord(spec, 0.0, open_prerequisites=["job-1"])
    for change in (
        edits.assign([edits.Assignment(0, "n0", "a", "i-1")]),
        edits.place("n0", [edits.TaskRef(0, 0, "a", "i-1", 1)]),
        edits.place_gang([("n0", "a", "i-1", 1)]),
    ):
        with pytest.raises(NotApplicableError, match="waits for other jobs"):
            change(record)
        free = edits.clear_prerequisites(7.0)(record)
        assert isinstance(free, JobRecord)
        assert free.ready_at == 7.0
        change(free)


def test_a_restarted_node_knows_what_is_open_without_the_ended_jobs() -> None:
    """An ending that a live job names is not moved away from where it is read."""
    world = switched()
    for n in range(12):
        accepted(world, f"job-{n}")
    accepted(world, "job-20", "job-3", "job-4")
    for n in range(12):
        ended(world, f"job-{n}", records.DONE, EPOCH + world.now)
    world.run(world.now + 8.0)
    assert key("job-3") in world.store.keys
    assert key("job-5") not in world.store.keys
    world.restart()
    world.run(world.now + 3.0)
    view = world.core.view
    assert not view.prerequisites.is_blocked(JobId("job-20"))
    assert EPOCH < view.eligible_at(JobId("job-20"), view.jobs[JobId("job-20")]) < EPOCH + world.now


def test_an_ending_that_moved_while_it_was_named_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    world = switched()
    accepted(world, "job-1")
    accepted(world, "job-2", "job-1")
    world.store.set(records.ending_key(JobId("job-1")), [records.CANCELLED, 1])
    world.store.commit(0.0, {"Then": [{"Remove": key("job-1")}]})
    monkeypatch.setattr(requests, "RESOLVE_INTERVAL_S", 1e12)
    world.restart()
    assert status(world, "job-2") == 503  # never an older state
    monkeypatch.undo()
    world.run(world.now + 3.0)
    assert status(world, "job-2") == "cancelled"


def test_all_but_the_deadline_counts_from_when_it_may_start() -> None:
    world = switched()
    accepted(world, "job-1")
    accepted(world, "job-2", "job-1", DueS=900.0)
    world.run(60.0)
    ended(world, "job-1", records.DONE, EPOCH + 55.0)
    for _ in range(2):
        view, job = world.core.view, world.core.view.jobs[JobId("job-2")]
        assert view.eligible_at(JobId("job-2"), job) == EPOCH + 55.0
        (found,) = [
            w for w in world.core.leader.list_queued_jobs(quota(world)) if w.name == "job-2"
        ]
        assert found.age_s == pytest.approx(world.now - 55.0, abs=1.0)
        due_at = world.core.leader.waiting_queue.priority_inheritance.get_effective_priority(
            JobId("job-2"), job
        ).deadline_at
        assert due_at == pytest.approx(job.accepted_at + 900.0)
        world.restart()
        world.run(world.now + 3.0)


def quota(world: World) -> Any:
    from coursefold.coordination.quota import QuotaTracker

    return QuotaTracker(world.core.ctx.settings.params.teams, world.core.view.team_usage)


def test_a_job_is_as_urgent_as_those_that_need_it() -> None:
    """Rank and latest end go back along the chain, by what the jobs between take."""
    world = switched()
    accepted(world, "job-1", Rank="idle")
    accepted(world, "job-2", "job-1", Rank="idle", ExpectedS=30.0)
    accepted(world, "job-3", "job-2", Rank="urgent", DueS=200.0, ExpectedS=20.0)
    urgency, jobs = world.core.leader.waiting_queue.priority_inheritance, world.core.view.jobs
    found = [
        urgency.get_effective_priority(JobId(n), jobs[JobId(n)])
        for n in ("job-1", "job-2", "job-3")
    ]
    assert [u.priority for u in found] == [1, 1, 1]
    ends = [u.deadline_at or 0.0 for u in found]
    assert ends[1] < ends[2] - 20.0
    assert ends[0] < ends[1] - 30.0
    world.cancel("job-3")
    assert urgency.get_effective_priority(JobId("job-1"), jobs[JobId("job-1")]).priority == 3


# What is cancelled with what


def test_what_needs_a_cancelled_job_is_cancelled_at_once() -> None:
    """All of it, before a single ending of it is written, and for good."""
    world = switched()
    accepted(world, "job-1")
    names = [f"job-{n}" for n in range(2, 60)]
    for at, name in enumerate(names):
        accepted(world, name, "job-1" if at < 20 else names[at - 20])
    ledger = world.store.revision
    answer = world.cancel("job-1")
    assert answer is not None
    assert answer.body["Status"] == "cancelled"
    assert world.store.revision == ledger + 1
    assert {status(world, name) for name in names} == {"cancelled"}
    assert world.core.view.jobs  # their own endings are still to be written
    world.restart()
    assert {status(world, name) for name in names} == {"cancelled"}
    world.run(world.now + 30.0)
    assert not world.core.view.jobs
    assert {status(world, name) for name in names} == {"cancelled"}


def test_a_job_that_names_a_cancelled_one_is_accepted_and_cancelled() -> None:
    world = switched()
    accepted(world, "job-1")
    accepted(world, "job-2", "job-1")
    world.cancel("job-1")
    accepted(world, "job-3", "job-2")
    assert world.store.keys[key("job-3")][0][0] == records.CANCELLED  # in one change
    assert status(world, "job-3") == "cancelled"
    world.run(20.0)
    assert status(world, "job-3") == "cancelled"
    assert status(world, "job-2") == "cancelled"


def test_cancelled_at_another_node_while_it_was_named() -> None:
    """Its news come after the acceptance, or before; either way it ends the same."""
    for before in (True, False):
        world = switched()
        accepted(world, "job-1")
        if before:
            world.store.set(key("job-1"), [records.CANCELLED, 1, 9.0])
        accepted(world, "job-2", "job-1")
        if not before:
            world.store.set(key("job-1"), [records.CANCELLED, 1, 9.0])
        assert status(world, "job-2") == "cancelled"


def test_a_cancellation_answered_with_done_cancels_nothing() -> None:
    world = switched()
    accepted(world, "job-1")
    accepted(world, "job-2", "job-1")
    ended(world, "job-1", records.DONE)
    answer = world.cancel("job-1")
    assert answer is not None
    assert answer.body["Status"] == "done"
    assert status(world, "job-2") == "pending"
    assert JobId("job-2") in world.core.view.waiting_jobs


def test_a_cancelled_job_that_still_runs_is_not_done_for_those_that_need_it() -> None:
    world = switched()
    accepted(world, "job-1")
    accepted(world, "job-2", "job-1")
    for counter in (1, 2, 3):
        world.report("i-000000", [], Counter=counter)
        world.run(world.now + 1.0)
    task = {"Piece": "job-1/0", "Try": 1}
    world.report("i-000000", [task | RUNNING], Counter=4)
    world.cancel("job-1")
    assert status(world, "job-2") == "cancelled"
    world.run(world.now + 1.0)
    world.report("i-000000", [task | EXITED], Counter=5)
    world.run(world.now + 5.0)
    assert (status(world, "job-1"), status(world, "job-2")) == ("cancelled", "cancelled")


def test_endings_of_dependents_wait_behind_everything_else() -> None:
    world = switched()
    accepted(world, "job-1")
    for n in range(2, 30):
        accepted(world, f"job-{n}", "job-1")
    queue = world.core.queue
    world.cancel("job-1")
    world.enter().leader.tick()
    queue.propose(Edit(key("job-99"), edits.accept(decode(
        encode(JOB | {"NameId": "job-99"}), Job), EPOCH), priority=0))  # fmt: skip
    assert 0 < sum(any(e.tag == "orphan" for e in w) for w in queue.waiting_edits.values()) <= 8
    batch = queue.next_batch(world.core.ctx.now)
    assert batch is not None
    assert next(iter(batch.results)) == key("job-99")


# Small work


def test_machines_are_lent_with_what_runs_on_them() -> None:
    """Seen: a gang of small tasks, whose best places were beside others, waited for ever."""
    world = World()
    world.submit("job-1")
    for counter in (1, 2, 3):
        world.report("i-000000", [], Counter=counter)
        world.run(world.now + 1.0)
    assert world.core.view.has_entries_on("i-000000")
    summary.reserve_for_gang(world.core.ctx, frozenset(["i-000000"]))
    lent = world.core.ctx.machines["i-000000"].gang_reservation_until
    assert lent > world.core.ctx.now
    world.core.ctx.placements_in_flight[("job-2", 0)] = (
        "i-000000",
        SMALL,
    )  # what we are about to place
    world.enter().set_time(MonotonicTime(lent + 1.0), WallTime(EPOCH))
    summary.reserve_for_gang(world.core.ctx, frozenset(["i-000000"]))
    assert world.core.ctx.machines["i-000000"].gang_reservation_until == lent


SMALL = decode(
    encode(JOB | {"NameId": "job-8", "Vcpus": 1.0, "Accelerators": 0.0, "MemoryGb": 2.0}), Job
)
KIND = MachineType("g2", 16.0, 2.0, 64.0, 100.0, 0.5, 5.0, 2.0, 20.0, ["a"])


def test_small_work_takes_what_is_left_over() -> None:
    """Where nobody else could use it, however much that is; then beside others."""
    tight = msgspec.structs.replace(BUSY, cpus=9.0)  # beside it, another of 6 CPUs fits
    wide = msgspec.structs.replace(BUSY, cpus=2.0, gpus=2.0)
    rooms = [
        MachineCapacity("i-empty", KIND, "a", False, "n0", 1),
        MachineCapacity("i-half", KIND, "a", False, "n0", 1, MachineLoad([tight])),
        MachineCapacity("i-full", KIND, "a", False, "n0", 1, MachineLoad([wide])),
    ]
    other = msgspec.structs.replace(BUSY, cpus=6.0)
    small = msgspec.structs.replace(SMALL, cpus=2.0)
    picker = PlacementSearch(small, rooms, price_index=PriceIndex([KIND], [other]))
    found = [room.id for _ in range(18) if (room := picker.reserve_best()) is not None]
    # Two tasks of 6 CPUs fit the empty machine beside 4 CPUs of small work, and no more.
    assert found == ["i-full"] * 7 + ["i-empty"] * 2 + ["i-half"] * 3 + ["i-empty"] * 6


def test_small_work_stops_nothing_that_has_an_accelerator() -> None:
    may = core.Core(World().core.ctx.settings).leader.preemption.may_stop
    victim = JobRecord(msgspec.structs.replace(BUSY, priority="idle"), 0.0)
    for spec, allowed in ((SMALL, False), (BUSY, True)):
        urgent = msgspec.structs.replace(spec, priority="urgent")
        assert may(urgent, 1, False, JobId("job-9"), victim, None, 99.0) is allowed


def test_small_work_neither_sizes_a_fleet_nor_keeps_it() -> None:
    planner = DemandPlanner(
        Catalog([KIND]), RunTimes(), 0.0, {}, {}, 60.0, PriceIndex([KIND], [BUSY])
    )
    planner.count_arrival(SMALL, 100)
    planner.count_running(SMALL, PoolId("g2", False))
    demand = planner.pools[PoolId("g2", False)]
    assert (demand.arrived_slots, demand.busy_slots, demand.target_slots(0.0005)) == (0.0, 0.0, 0.0)
    planner.pack_waiting([UnplacedTasks(SMALL, 64, {})], [])
    assert demand.target_slots(0.0005) > 0  # but what finds no room at all asks for some


BUSY = decode(encode(JOB | {"NameId": "job-9"}), Job)


class Dealing:
    """The leader's last step of a round, on rooms as they are given."""

    def __init__(self, age: float, reserved: bool) -> None:
        self.world = World()
        accepted(self.world, "job-1")
        self.world.submit("job-2", Vcpus=2.0, Accelerators=0.0, MemoryGb=1.0, Pieces=3)
        self.world.run(1.0)
        self.leader = self.world.core.leader
        self.world.core.ctx.price_index().accelerator_jobs = [
            msgspec.structs.replace(BUSY, cpus=15.0)
        ]
        room = MachineCapacity("i-1", KIND, "a", False, "n9", 1)
        room.earmarked_for_gang = room.is_unschedulable = reserved
        (small,) = [w for w in self.leader.list_queued_jobs(quota(self.world)) if w.name == "job-2"]
        small.age_s = age
        self.leader.jobs_without_capacity.add(JobId("job-1"))
        self.leader.failed_searches = FailedSearches()
        self.leader._assign_small([small], [room], quota(self.world))
        self.dealt = len(self.leader.in_flight.get(JobId("job-2"), ()))


@pytest.mark.parametrize(
    ("age", "reserved", "dealt"),
    [(1.0, False, 0), (30.0, False, 3), (30.0, True, 0)],
)
def test_small_work_leaves_room_to_others_for_a_while(
    age: float, reserved: bool, dealt: int
) -> None:
    """What it would keep a waiting task of 15 CPUs out of; what is gathered, always."""
    assert Dealing(age, reserved).dealt == dealt
