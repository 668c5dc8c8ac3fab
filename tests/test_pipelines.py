"""Jobs with prerequisites: validation, blocking and cancellation; placement of small tasks."""

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
from coursefold.storage.machine_load import MachineLoad
from coursefold.storage.records import Ending, JobRecord, TaskEntry
from tests.world import EPOCH, JOB, World

RUNNING, EXITED = {"Status": "running"}, {"Status": "exited", "Cause": "done"}


def create_upgraded_world() -> World:
    """Returns a cell whose stored format level allows prerequisites."""
    world = World()
    world.store.set(records.FORMAT_LEVEL_KEY, [1])
    world.run(2.0)
    return world


def key(name: str) -> str:
    """Returns the key of a job in the state service."""
    return records.job_key(JobId(name))


def write_ending(world: World, name: str, status: int, ended_at: float = 0.0) -> None:
    """Writes how a job ended, as another controller does; without a time if `ended_at` is 0."""
    world.store.set(key(name), [status, 1, ended_at] if ended_at else [status, 1])
    world.run(world.now + 0.5)


def status(world: World, name: str) -> Any:
    """Returns the status of a job in a poll, or the HTTP status of a refused poll."""
    answer = world.poll(name)
    assert answer is not None
    return answer.body.get("Status", answer.status)


def submit_accepted(world: World, name: str, *prerequisites: str, **fields: Any) -> None:
    """Submits a job and checks that it is accepted."""
    answer = world.submit(name, Prereqs=list(prerequisites), **fields)
    assert answer is not None
    assert answer.status == 201, answer


# Validation


@pytest.mark.parametrize(
    ("prerequisites", "expected_status"),
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
        (["job-2"], 422),  # the job itself
    ],
)
def test_prerequisites_are_validated_and_refused_jobs_write_nothing(
    prerequisites: Any, expected_status: int
) -> None:
    """Malformed, unknown and self-referring prerequisites are refused before anything is stored."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    revision = world.store.revision
    answer = world.submit("job-2", Prereqs=prerequisites)
    assert answer is not None
    assert answer.status == expected_status
    if expected_status != 201:
        assert world.store.revision == revision
    elif prerequisites:
        assert world.core.view.jobs[JobId("job-2")].open_prerequisites == ["job-1"]


def test_prerequisite_just_accepted_by_another_controller_is_found() -> None:
    """The view of this controller may lack the update; answering 422 from it would be final."""
    world = create_upgraded_world()
    spec = decode(encode(JOB | {"NameId": "job-1"}), Job)
    world.store.set(key("job-1"), codec.encode_record(JobRecord(spec, EPOCH)))
    assert JobId("job-1") not in world.core.view.jobs
    submit_accepted(world, "job-2", "job-1")
    assert status(world, "job-2") == "pending"


def test_ended_prerequisite_missing_from_the_view_is_read_before_the_answer() -> None:
    """The view forgets old endings; a prerequisite missing there must not count as unknown."""
    world = create_upgraded_world()
    world.store.set(records.ending_key(JobId("job-1")), [records.DONE, 1])
    world.run(3.0)
    world.core.view.endings.clear()
    submit_accepted(world, "job-2", "job-1")
    assert world.core.view.jobs[JobId("job-2")].open_prerequisites == []


def test_prerequisite_that_cannot_be_read_is_answered_with_503() -> None:
    """A 422 is final for the user, so it must not result from an outage or a value half written."""
    world = create_upgraded_world()
    world.state = "down"
    answer = world.submit("job-2", Prereqs=["job-404"])
    assert answer is not None
    assert answer.status == 503
    assert answer.retry_after
    world.state = "up"
    world.store.set(key("job-1"), {"parts": 3, "text": "x"})  # the parts are not written yet
    answer = world.submit("job-2", Prereqs=["job-1"])
    assert answer is not None
    assert answer.status == 503


def test_repeated_submission_gets_its_state_whatever_prerequisites_it_names() -> None:
    """A repeated submission must not be validated again and refused."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    submit_accepted(world, "job-2", "job-1")
    for names in (["job-1"], ["job-404"], ["job-2"], []):
        answer = world.submit("job-2", Prereqs=names)
        assert answer is not None
        assert (answer.status, answer.body["Status"]) == (200, "pending")
    world.cancel("job-1")
    answer = world.submit("job-2", Prereqs=["job-1"])
    assert answer is not None
    assert (answer.status, answer.body["Status"]) == (200, "cancelled")


def test_submission_is_answered_with_503_when_too_many_lookups_are_pending() -> None:
    """Unknown prerequisites must not let the pending lookups grow without limit."""
    world = create_upgraded_world()
    pending = PendingRequest(Purpose.RESOLVE, JobId("job-1"), None)
    world.core.requests.pending.update({-n: pending for n in range(1, 3000)})
    answer = world.submit("job-2", Prereqs=["job-404"])
    assert answer is not None
    assert answer.status == 503
    assert answer.retry_after


def test_long_prerequisite_list_is_accepted_and_one_above_the_limits_refused() -> None:
    """A list that the limits of the state service exclude gets a final 400, not endless retries."""
    world = create_upgraded_world()
    names = [f"job-{n * 7919 % 1000003:06d}" for n in range(3000)]
    for name in names:
        world.store.set(records.ending_key(JobId(name)), [records.CANCELLED, 1])
        world.core.view.remember_ending(
            records.ending_key(JobId(name)), Ending(records.CANCELLED, 1)
        )
    submit_accepted(world, "job-1", *names)
    assert status(world, "job-1") == "cancelled"
    world = create_upgraded_world()
    spec = decode(encode(JOB | {"NameId": "job-1"}), Job)
    for name in names:
        world.store.set(key(name), codec.encode_record(JobRecord(spec, EPOCH)))
    world.core.queue.later_limits = world.core.queue.limits._replace(txn_ops=5, value_bytes=2048)
    world.run(3.0)
    submit_accepted(world, "job-1", *names[:1000])
    answer = world.submit("job-2", Prereqs=names)
    assert answer is not None
    assert answer.status == 400


# Blocking


def test_blocked_job_is_not_assigned_nor_counted_as_demand() -> None:
    """A job that waits for prerequisites must not cause rentals of machines."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    world.run(4.0)
    pools = world.core.view.pools
    rental_count = sum(rental.count for pool in pools.values() for rental in pool.rentals)
    submit_accepted(world, "job-2", "job-1", Pieces=6, Owner="red")
    world.run(12.0)
    controller = world.core
    assert JobId("job-2") not in controller.view.waiting_jobs
    assert controller.view.jobs[JobId("job-2")].entries == []
    arrivals = controller.fleet.pool_control.recent_arrivals
    assert "job-2" not in arrivals
    assert "job-1" in arrivals
    assert sum(rental.count for pool in pools.values() for rental in pool.rentals) == rental_count
    answer = world.poll("job-2")
    assert answer is not None
    assert answer.body["why"] == "waiting for job-1 to be done"


def test_task_is_assigned_only_when_all_prerequisites_are_done() -> None:
    """Four jobs depend on each other in a diamond; one machine has capacity for all of them."""
    world = create_upgraded_world()
    small = {"Vcpus": 1.0, "Accelerators": 0.0, "MemoryGb": 1.0}
    submit_accepted(world, "job-1", **small)
    submit_accepted(world, "job-2", "job-1", **small)
    submit_accepted(world, "job-3", "job-1", **small)
    submit_accepted(world, "job-4", "job-2", "job-3", **small)
    sequence = 0

    def report(*tasks: dict[str, Any]) -> list[Any]:
        nonlocal sequence
        sequence += 1
        answer = world.report("i-000000", list(tasks), Counter=sequence)
        assert answer is not None
        assert answer.status == 200
        world.run(world.now + 1.0)
        return [command.task for command in answer.body["Orders"] if command.verb == "run"]

    def task(job: int, attempt: int, state: dict[str, Any]) -> dict[str, Any]:
        return {"Piece": f"job-{job}/0", "Try": attempt} | state

    for _ in range(3):
        started_tasks = report()
    assert started_tasks == ["job-1/0"]
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


def test_no_edit_places_a_blocked_job() -> None:
    """The edit checks the record itself, because the view of the proposer may be outdated."""
    spec = decode(encode(JOB | {"NameId": "job-2"}), Job)
    waiting = JobRecord(spec, 0.0, open_prerequisites=["job-1"])
    assigned = msgspec.structs.replace(
        waiting, entries=[TaskEntry(0, records.ASSIGNED, 0, "n0", "a", "i-1")]
    )
    task = edits.TaskRef(0, 0, "a", "i-1", 1)
    for edit, record in (
        (edits.assign([edits.Assignment(0, "n0", "a", "i-1")]), waiting),
        (edits.place("n0", [task]), assigned),
        (edits.place_waiting("n0", [task]), waiting),
        (edits.place_gang([("n0", "a", "i-1", 1)]), waiting),
    ):
        with pytest.raises(NotApplicableError, match="waits for other jobs"):
            edit(record)
        eligible = edits.clear_prerequisites(7.0)(record)
        assert isinstance(eligible, JobRecord)
        assert eligible.ready_at == 7.0
        edit(eligible)


def test_restarted_controller_knows_the_prerequisites_of_live_jobs() -> None:
    """An ending that a live job names must not be archived: a restart reads only the job keys."""
    world = create_upgraded_world()
    for n in range(12):
        submit_accepted(world, f"job-{n}")
    submit_accepted(world, "job-20", "job-3", "job-4")
    for n in range(12):
        write_ending(world, f"job-{n}", records.DONE, EPOCH + world.now)
    world.run(world.now + 8.0)
    assert key("job-3") in world.store.keys
    assert key("job-5") not in world.store.keys
    world.restart()
    world.run(world.now + 3.0)
    view = world.core.view
    assert not view.prerequisites.is_blocked(JobId("job-20"))
    assert EPOCH < view.eligible_at(JobId("job-20"), view.jobs[JobId("job-20")]) < EPOCH + world.now


def test_ending_archived_while_a_live_job_names_it_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """Until the archived ending is read, a poll is refused rather than answered as pending."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    submit_accepted(world, "job-2", "job-1")
    world.store.set(records.ending_key(JobId("job-1")), [records.CANCELLED, 1])
    world.store.commit(0.0, {"Then": [{"Remove": key("job-1")}]})
    monkeypatch.setattr(requests, "RESOLVE_INTERVAL_S", 1e12)
    world.restart()
    assert status(world, "job-2") == 503
    monkeypatch.undo()
    world.run(world.now + 3.0)
    assert status(world, "job-2") == "cancelled"


def test_age_counts_from_eligibility_and_the_deadline_from_acceptance() -> None:
    """Time spent waiting for prerequisites must not age a job, also after a restart."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    submit_accepted(world, "job-2", "job-1", DueS=900.0)
    world.run(60.0)
    write_ending(world, "job-1", records.DONE, EPOCH + 55.0)
    for _ in range(2):
        view, job = world.core.view, world.core.view.jobs[JobId("job-2")]
        assert view.eligible_at(JobId("job-2"), job) == EPOCH + 55.0
        (queued,) = [
            q for q in world.core.leader.list_queued_jobs(create_quota(world)) if q.name == "job-2"
        ]
        assert queued.age_s == pytest.approx(world.now - 55.0, abs=1.0)
        deadline_at = world.core.leader.waiting_queue.priority_inheritance.get_effective_priority(
            JobId("job-2"), job
        ).deadline_at
        assert deadline_at == pytest.approx(job.accepted_at + 900.0)
        world.restart()
        world.run(world.now + 3.0)


def create_quota(world: World) -> Any:
    """Returns a quota tracker with the usage of the view."""
    from coursefold.coordination.quota import QuotaTracker

    return QuotaTracker(world.core.ctx.settings.params.teams, world.core.view.team_usage)


def test_job_inherits_priority_and_deadline_from_its_dependents() -> None:
    """The inherited deadline is earlier by the expected run time of the jobs between."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1", Rank="idle")
    submit_accepted(world, "job-2", "job-1", Rank="idle", ExpectedS=30.0)
    submit_accepted(world, "job-3", "job-2", Rank="urgent", DueS=200.0, ExpectedS=20.0)
    inheritance, jobs = world.core.leader.waiting_queue.priority_inheritance, world.core.view.jobs
    inherited = [
        inheritance.get_effective_priority(JobId(n), jobs[JobId(n)])
        for n in ("job-1", "job-2", "job-3")
    ]
    assert [effective.priority for effective in inherited] == [1, 1, 1]
    deadlines = [effective.deadline_at or 0.0 for effective in inherited]
    assert deadlines[1] < deadlines[2] - 20.0
    assert deadlines[0] < deadlines[1] - 30.0
    world.cancel("job-3")
    assert inheritance.get_effective_priority(JobId("job-1"), jobs[JobId("job-1")]).priority == 3


# Cancellation


def test_dependents_of_a_cancelled_job_are_cancelled_by_the_same_write() -> None:
    """Dependents read as cancelled before their own endings are written, also after a restart."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    names = [f"job-{n}" for n in range(2, 60)]
    for index, name in enumerate(names):
        submit_accepted(world, name, "job-1" if index < 20 else names[index - 20])
    revision = world.store.revision
    answer = world.cancel("job-1")
    assert answer is not None
    assert answer.body["Status"] == "cancelled"
    assert world.store.revision == revision + 1
    assert {status(world, name) for name in names} == {"cancelled"}
    assert world.core.view.jobs  # the endings of the dependents are not written yet
    world.restart()
    assert {status(world, name) for name in names} == {"cancelled"}
    world.run(world.now + 30.0)
    assert not world.core.view.jobs
    assert {status(world, name) for name in names} == {"cancelled"}


def test_job_with_a_cancelled_prerequisite_is_accepted_and_cancelled() -> None:
    """The prerequisite is cancelled through its own one, before its ending is written."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    submit_accepted(world, "job-2", "job-1")
    world.cancel("job-1")
    submit_accepted(world, "job-3", "job-2")
    assert world.store.keys[key("job-3")][0][0] == records.CANCELLED  # by the same commit
    assert status(world, "job-3") == "cancelled"
    world.run(20.0)
    assert status(world, "job-3") == "cancelled"
    assert status(world, "job-2") == "cancelled"


def test_prerequisite_cancelled_by_another_controller_cancels_the_new_job() -> None:
    """The update arrives before or after the acceptance; the job is cancelled in both cases."""
    for is_cancelled_first in (True, False):
        world = create_upgraded_world()
        submit_accepted(world, "job-1")
        if is_cancelled_first:
            world.store.set(key("job-1"), [records.CANCELLED, 1, 9.0])
        submit_accepted(world, "job-2", "job-1")
        if not is_cancelled_first:
            world.store.set(key("job-1"), [records.CANCELLED, 1, 9.0])
        assert status(world, "job-2") == "cancelled"


def test_cancelling_a_done_job_does_not_cancel_its_dependents() -> None:
    """The cancellation comes after the ending was written and must not reach the dependents."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    submit_accepted(world, "job-2", "job-1")
    write_ending(world, "job-1", records.DONE)
    answer = world.cancel("job-1")
    assert answer is not None
    assert answer.body["Status"] == "done"
    assert status(world, "job-2") == "pending"
    assert JobId("job-2") in world.core.view.waiting_jobs


def test_cancelled_job_whose_task_still_exits_done_stays_cancelled_for_dependents() -> None:
    """The task exits as done after the cancellation, which must not release the dependents."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    submit_accepted(world, "job-2", "job-1")
    for sequence in (1, 2, 3):
        world.report("i-000000", [], Counter=sequence)
        world.run(world.now + 1.0)
    task = {"Piece": "job-1/0", "Try": 1}
    world.report("i-000000", [task | RUNNING], Counter=4)
    world.cancel("job-1")
    assert status(world, "job-2") == "cancelled"
    world.run(world.now + 1.0)
    world.report("i-000000", [task | EXITED], Counter=5)
    world.run(world.now + 5.0)
    assert (status(world, "job-1"), status(world, "job-2")) == ("cancelled", "cancelled")


def test_endings_of_dependents_are_written_after_other_edits() -> None:
    """Many endings of dependents must not delay the acceptance of other jobs."""
    world = create_upgraded_world()
    submit_accepted(world, "job-1")
    for n in range(2, 30):
        submit_accepted(world, f"job-{n}", "job-1")
    queue = world.core.queue
    world.cancel("job-1")
    world.enter().leader.tick()
    queue.propose(Edit(key("job-99"), edits.accept(decode(
        encode(JOB | {"NameId": "job-99"}), Job), EPOCH), priority=0))  # fmt: skip
    assert 0 < sum(any(e.tag == "orphan" for e in w) for w in queue.waiting_edits.values()) <= 8
    batch = queue.next_batch(world.core.ctx.now)
    assert batch is not None
    assert next(iter(batch.results)) == key("job-99")


# Small tasks


def test_busy_machine_is_reserved_for_a_gang_but_not_beyond_a_placement_in_flight() -> None:
    """A gang of small tasks whose best places are beside other tasks must not wait for ever."""
    world = World()
    world.submit("job-1")
    for sequence in (1, 2, 3):
        world.report("i-000000", [], Counter=sequence)
        world.run(world.now + 1.0)
    assert world.core.view.has_entries_on("i-000000")
    summary.reserve_for_gang(world.core.ctx, frozenset(["i-000000"]))
    reserved_until = world.core.ctx.machines["i-000000"].gang_reservation_until
    assert reserved_until > world.core.ctx.now
    world.core.ctx.placements_in_flight[("job-2", 0)] = ("i-000000", SMALL)
    world.enter().set_time(MonotonicTime(reserved_until + 1.0), WallTime(EPOCH))
    summary.reserve_for_gang(world.core.ctx, frozenset(["i-000000"]))
    assert world.core.ctx.machines["i-000000"].gang_reservation_until == reserved_until


SMALL = decode(
    encode(JOB | {"NameId": "job-8", "Vcpus": 1.0, "Accelerators": 0.0, "MemoryGb": 2.0}), Job
)
TYPE_INFO = MachineType("g2", 16.0, 2.0, 64.0, 100.0, 0.5, 5.0, 2.0, 20.0, ["a"])


def test_small_tasks_fill_capacity_that_accelerator_jobs_cannot_use_first() -> None:
    """Capacity without use for accelerator jobs comes first, then machines with other tasks."""
    tight = msgspec.structs.replace(BUSY, cpus=9.0)  # leaves capacity for another task of 6 CPUs
    wide = msgspec.structs.replace(BUSY, cpus=2.0, gpus=2.0)
    machines = [
        MachineCapacity("i-empty", TYPE_INFO, "a", False, "n0", 1),
        MachineCapacity("i-half", TYPE_INFO, "a", False, "n0", 1, MachineLoad([tight])),
        MachineCapacity("i-full", TYPE_INFO, "a", False, "n0", 1, MachineLoad([wide])),
    ]
    other = msgspec.structs.replace(BUSY, cpus=6.0)
    small = msgspec.structs.replace(SMALL, cpus=2.0)
    search = PlacementSearch(small, machines, price_index=PriceIndex([TYPE_INFO], [other]))
    reserved = [m.id for _ in range(18) if (m := search.reserve_best()) is not None]
    # Two tasks of 6 CPUs fit the empty machine beside 4 CPUs of small work, and no more.
    assert reserved == ["i-full"] * 7 + ["i-empty"] * 2 + ["i-half"] * 3 + ["i-empty"] * 6


def test_small_task_does_not_preempt_a_job_with_accelerators() -> None:
    """Tasks without accelerators only fill the capacity that other tasks leave over."""
    may_stop = core.Core(World().core.ctx.settings).leader.preemption.may_stop
    victim = JobRecord(msgspec.structs.replace(BUSY, priority="idle"), 0.0)
    for spec, allowed in ((SMALL, False), (BUSY, True)):
        urgent = msgspec.structs.replace(spec, priority="urgent")
        assert may_stop(urgent, 1, False, JobId("job-9"), victim, None, 99.0) is allowed


def test_small_tasks_add_demand_only_when_no_machine_has_capacity() -> None:
    """Tasks without accelerators run beside others and alone must not make a pool grow."""
    planner = DemandPlanner(
        Catalog([TYPE_INFO]), RunTimes(), 0.0, {}, {}, 60.0, PriceIndex([TYPE_INFO], [BUSY])
    )
    planner.count_arrival(SMALL, 100)
    planner.count_running(SMALL, PoolId("g2", False))
    demand = planner.pools[PoolId("g2", False)]
    assert (demand.arrived_slots, demand.busy_slots, demand.target_slots(0.0005)) == (0.0, 0.0, 0.0)
    planner.pack_waiting([UnplacedTasks(SMALL, 64, {})], [])
    assert demand.target_slots(0.0005) > 0  # tasks that fit nowhere do add demand


BUSY = decode(encode(JOB | {"NameId": "job-9"}), Job)


class SmallTaskAssignment:
    """Runs the last step of a leader's round, the assignment of small tasks, on one machine.

    Attributes:
        assigned_count: tasks that were assigned.
    """

    def __init__(self, age_s: float, is_reserved: bool) -> None:
        self.world = World()
        submit_accepted(self.world, "job-1")
        self.world.submit("job-2", Vcpus=2.0, Accelerators=0.0, MemoryGb=1.0, Pieces=3)
        self.world.run(1.0)
        self.leader = self.world.core.leader
        self.world.core.ctx.price_index().accelerator_jobs = [
            msgspec.structs.replace(BUSY, cpus=15.0)
        ]
        machine = MachineCapacity("i-1", TYPE_INFO, "a", False, "n9", 1)
        machine.earmarked_for_gang = machine.is_unschedulable = is_reserved
        (small,) = [
            q for q in self.leader.list_queued_jobs(create_quota(self.world)) if q.name == "job-2"
        ]
        small.age_s = age_s
        self.leader.jobs_without_capacity.add(JobId("job-1"))
        self.leader.failed_searches = FailedSearches()
        self.leader._assign_small([small], [machine], create_quota(self.world))
        self.assigned_count = len(self.leader.in_flight.get(JobId("job-2"), ()))


@pytest.mark.parametrize(
    ("age_s", "is_reserved", "assigned_count"),
    [(1.0, False, 0), (30.0, False, 3), (30.0, True, 0)],
)
def test_small_tasks_leave_capacity_to_waiting_accelerator_jobs_for_a_while(
    age_s: float, is_reserved: bool, assigned_count: int
) -> None:
    """Capacity for a waiting task of 15 CPUs is left for a while; a gang reservation, always."""
    assert SmallTaskAssignment(age_s, is_reserved).assigned_count == assigned_count
