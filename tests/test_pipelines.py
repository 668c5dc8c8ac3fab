"""Jobs that need other jobs: what is accepted, what waits, what is cancelled with what."""

from typing import Any

import pytest

from coursefold.coordination import jobs as edits
from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import Job, decode, encode
from coursefold.storage import records
from coursefold.storage.queue import Edit, Void
from coursefold.storage.records import Ending, JobRecord
from tests.world import EPOCH, JOB, World

RUNNING, EXITED = {"Status": "running"}, {"Status": "exited", "Cause": "done"}


def switched() -> World:
    world = World()
    world.store.set(records.LEVEL, [1])
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
    assert answer is not None and answer.status == 201, answer


# What is accepted


@pytest.mark.parametrize(
    "prereqs, answer",
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
    before = world.store.ledger
    found = world.submit("job-2", Prereqs=prereqs)
    assert found is not None and found.status == answer
    if answer != 201:
        assert world.store.ledger == before
    elif prereqs:
        assert world.core.view.jobs[JobId("job-2")].needs == ["job-1"]


def test_a_job_accepted_at_another_node_a_moment_ago_is_known() -> None:
    """Our news of it are still on their way; a 422 from our own view would be final."""
    world = switched()
    spec = decode(encode(JOB | {"NameId": "job-1"}), Job)
    world.store.set(key("job-1"), records.dump(JobRecord(spec, EPOCH)))
    assert JobId("job-1") not in world.core.view.jobs
    accepted(world, "job-2", "job-1")
    assert status(world, "job-2") == "pending"


def test_a_job_that_ended_long_ago_is_read_before_the_answer() -> None:
    world = switched()
    world.store.set(records.ending_key(JobId("job-1")), [records.DONE, 1])
    world.run(3.0)
    world.core.view.endings.clear()
    accepted(world, "job-2", "job-1")
    assert world.core.view.jobs[JobId("job-2")].needs == []


def test_what_cannot_be_decided_is_not_refused_for_good() -> None:
    world = switched()
    world.state = "down"
    answer = world.submit("job-2", Prereqs=["job-404"])
    assert answer is not None and answer.status == 503 and answer.retry_after
    world.state = "up"
    world.store.set(key("job-1"), {"parts": 3, "text": "x"})  # its parts are on their way
    answer = world.submit("job-2", Prereqs=["job-1"])
    assert answer is not None and answer.status == 503


def test_a_repeat_gets_its_state_whatever_it_names() -> None:
    world = switched()
    accepted(world, "job-1")
    accepted(world, "job-2", "job-1")
    for names in (["job-1"], ["job-404"], ["job-2"], []):
        answer = world.submit("job-2", Prereqs=names)
        assert answer is not None and (answer.status, answer.body["Status"]) == (200, "pending")
    world.cancel("job-1")
    answer = world.submit("job-2", Prereqs=["job-1"])
    assert answer is not None and (answer.status, answer.body["Status"]) == (200, "cancelled")


def test_a_flood_of_unknown_names_is_bounded() -> None:
    world = switched()
    world.core.asking.update({-n: ("resolve", "job-1", None) for n in range(1, 3000)})
    answer = world.submit("job-2", Prereqs=["job-404"])
    assert answer is not None and answer.status == 503 and answer.retry_after


def test_a_long_list_fits_and_a_longer_one_is_refused_once() -> None:
    world = switched()
    names = [f"job-{n * 7919 % 1000003:06d}" for n in range(3000)]
    for name in names:
        world.store.set(records.ending_key(JobId(name)), [records.CANCELLED, 1])
        world.core.view.remember(records.ending_key(JobId(name)), Ending(records.CANCELLED, 1))
    accepted(world, "job-1", *names)
    assert status(world, "job-1") == "cancelled"
    world = switched()
    spec = decode(encode(JOB | {"NameId": "job-1"}), Job)
    for name in names:
        world.store.set(key(name), records.dump(JobRecord(spec, EPOCH)))
    world.core.queue.later = world.core.queue.limits._replace(txn_ops=5, value=2048)
    world.run(3.0)
    accepted(world, "job-1", *names[:1000])
    answer = world.submit("job-2", Prereqs=names)
    assert answer is not None and answer.status == 400


# What waits


def test_nothing_of_a_waiting_job_is_dealt_counted_or_asked_for() -> None:
    world = switched()
    accepted(world, "job-1")
    world.run(4.0)
    hires = world.core.view.pools
    before = sum(h.count for pool in hires.values() for h in pool.hires)
    accepted(world, "job-2", "job-1", Pieces=6, Owner="red")
    world.run(12.0)
    core = world.core
    assert JobId("job-2") not in core.view.waiting
    assert core.view.jobs[JobId("job-2")].entries == []
    assert "job-2" not in core.fleet.arrivals and "job-1" in core.fleet.arrivals
    assert sum(h.count for pool in hires.values() for h in pool.hires) == before
    answer = world.poll("job-2")
    assert answer is not None and answer.body["why"] == "waiting for job-1 to be done"


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
        assert answer is not None and answer.status == 200
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
    assert JobId("job-4") not in world.core.view.waiting
    report(task(3, 1, EXITED))
    report()
    assert report() == ["job-4/0"]


def test_no_edit_gives_a_waiting_job_a_place() -> None:
    """Whatever a view shows, and whoever proposes it."""
    spec = decode(encode(JOB | {"NameId": "job-2"}), Job)
    record = JobRecord(spec, 0.0, needs=["job-1"])
    for change in (
        edits.deal([edits.Dealt(0, "n0", "a", "i-1")]),
        edits.place("n0", [edits.Task(0, 0, "a", "i-1", 1)]),
        edits.place_gang([("n0", "a", "i-1", 1)]),
    ):
        with pytest.raises(Void, match="waits for other jobs"):
            change(record)
        free = edits.release(7.0)(record)
        assert isinstance(free, JobRecord) and free.ready == 7.0
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
    assert key("job-3") in world.store.keys and key("job-5") not in world.store.keys
    world.restart()
    world.run(world.now + 3.0)
    view = world.core.view
    assert not view.needs.holds(JobId("job-20"))
    assert EPOCH < view.since(JobId("job-20"), view.jobs[JobId("job-20")]) < EPOCH + world.now


def test_an_ending_that_moved_while_it_was_named_is_read() -> None:
    world = switched()
    accepted(world, "job-1")
    accepted(world, "job-2", "job-1")
    world.store.set(records.ending_key(JobId("job-1")), [records.CANCELLED, 1])
    world.store.commit(0.0, {"Then": [{"Remove": key("job-1")}]})
    world.restart()
    assert status(world, "job-2") in (503, "cancelled")  # never an older state
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
        assert view.since(JobId("job-2"), job) == EPOCH + 55.0
        (found,) = [w for w in world.core.leader.queue(quota(world)) if w.name == "job-2"]
        assert found.age == pytest.approx(world.now - 55.0, abs=1.0)
        due_at = world.core.leader.urgency.of(JobId("job-2"), job).due_at
        assert due_at == pytest.approx(job.at + 900.0)
        world.restart()
        world.run(world.now + 3.0)


def quota(world: World) -> Any:
    from coursefold.coordination.quota import Quota

    return Quota(world.core.ctx.settings.params.teams, world.core.view.usage)


def test_a_job_is_as_urgent_as_those_that_need_it() -> None:
    """Rank and latest end go back along the chain, by what the jobs between take."""
    world = switched()
    accepted(world, "job-1", Rank="idle")
    accepted(world, "job-2", "job-1", Rank="idle", ExpectedS=30.0)
    accepted(world, "job-3", "job-2", Rank="urgent", DueS=200.0, ExpectedS=20.0)
    urgency, jobs = world.core.leader.urgency, world.core.view.jobs
    found = [urgency.of(JobId(n), jobs[JobId(n)]) for n in ("job-1", "job-2", "job-3")]
    assert [u.rank for u in found] == [1, 1, 1]
    ends = [u.due_at or 0.0 for u in found]
    assert ends[1] < ends[2] - 20.0 and ends[0] < ends[1] - 30.0
    world.cancel("job-3")
    assert urgency.of(JobId("job-1"), jobs[JobId("job-1")]).rank == 3


# What is cancelled with what


def test_what_needs_a_cancelled_job_is_cancelled_at_once() -> None:
    """All of it, before a single ending of it is written, and for good."""
    world = switched()
    accepted(world, "job-1")
    names = [f"job-{n}" for n in range(2, 60)]
    for at, name in enumerate(names):
        accepted(world, name, "job-1" if at < 20 else names[at - 20])
    ledger = world.store.ledger
    answer = world.cancel("job-1")
    assert answer is not None and answer.body["Status"] == "cancelled"
    assert world.store.ledger == ledger + 1
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
    assert status(world, "job-3") == "cancelled"
    world.run(20.0)
    assert status(world, "job-3") == "cancelled" and status(world, "job-2") == "cancelled"


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
    assert answer is not None and answer.body["Status"] == "done"
    assert status(world, "job-2") == "pending"
    assert JobId("job-2") in world.core.view.waiting


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
        encode(JOB | {"NameId": "job-99"}), Job), EPOCH), rank=0))  # fmt: skip
    assert 0 < sum(any(e.tag == "orphan" for e in w) for w in queue.waiting.values()) <= 8
    batch = queue.next_batch(world.core.ctx.now)
    assert batch is not None and next(iter(batch.results)) == key("job-99")


# Small work


def test_gangs_of_small_tasks_start_beside_other_work() -> None:
    """Machines of another owner are lent with what runs on them."""
    from tests.test_questions import frame, led

    world = World()
    led(world)
    lent = [m for m in world.core.ctx.machines.values() if m.lent_until > world.core.ctx.now]
    assert lent == []
    mine = next(
        name for name in (f"i-{n:06d}" for n in range(99)) if world.core.ctx.owns(name, "a")
    )
    world.submit("job-7", Vcpus=1.0, Accelerators=0.0, Owner="red")
    for counter in range(1, 5):
        world.report(mine, [], Counter=counter)
        world.run(world.now + 1.0)
    assert world.core.view.occupies(mine)
    from coursefold.coordination import summary

    summary.lend(world.core.ctx, frozenset([mine]))
    assert world.core.ctx.machines[mine].lent_until > world.core.ctx.now
    assert frame(world, 1, full=True)
