"""Answers are at least as new as the request, and a proposal applied twice changes nothing."""

from typing import Any

import pytest

from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.storage import codec, records
from coursefold.storage.records import JobRecord, TaskEntry
from coursefold.transport.state import StateClient
from tests.world import SETTINGS, World


def find_record(world: World, name: str) -> JobRecord:
    """Return the live record of a job in the controller's view."""
    found = world.core.view.jobs[JobId(name)]
    assert isinstance(found, JobRecord)
    return found


def test_a_poll_sees_what_another_node_wrote_before_it() -> None:
    """Another controller confirmed a cancellation whose update has not arrived here yet."""
    world = World()
    world.submit("job-1")
    world.run(2.0)
    live = world.store.keys[records.job_key(JobId("job-1"))][0]
    world.store.set(records.job_key(JobId("job-1")), [*live[:2], records.CANCELLED, *live[3:]])
    answer = world.poll("job-1")
    assert answer is not None
    assert answer.body["Status"] == "cancelled"


def test_a_job_that_ended_long_ago_is_read() -> None:
    world = World()
    world.store.set(records.ending_key(JobId("job-7")), [records.DONE, 3])
    world.core.view.endings.clear()
    answer = world.poll("job-7")
    assert answer is not None
    assert (answer.status, answer.body["done"]) == (200, 3)
    answer = world.poll("job-8")
    assert answer is not None
    assert answer.status == 404


def test_an_ending_that_is_not_archived_yet_is_found_after_it_left_memory() -> None:
    """The number of endings kept in memory is bounded; a 404 would mean that a job was lost."""
    world = World()
    world.submit("job-1")
    world.cancel("job-1")
    world.core.view.endings.clear()
    answer = world.poll("job-1")
    assert answer is not None
    assert answer.body["Status"] == "cancelled"


def test_a_part_of_the_rate_is_reserved_for_reads() -> None:
    """Without it a busy leader refuses every poll for a job that ended long ago."""
    now = [MonotonicTime(10.0)]
    client = StateClient("127.0.0.1:1", 100.0, 5, lambda: now[0], lambda _: None)
    assert sum(client.try_reserve_read() for _ in range(50)) == 8
    now[0] = MonotonicTime(11.0)
    assert sum(client.try_reserve_read() for _ in range(50)) == 4


def test_endings_are_archived_when_nothing_else_is_to_be_written() -> None:
    """A job's end is one write to its key, which every start of a controller would read for ever.

    Archived endings have another prefix, which is not read at the start.
    """
    world = World()
    for number in range(10):
        world.submit(f"job-{number}")
        world.cancel(f"job-{number}")
    world.run(6.0)
    assert (
        not any(key.startswith(records.JOB_PREFIX) for key in world.store.keys)
        or len([key for key in world.store.keys if key.startswith(records.JOB_PREFIX)]) < 8
    )
    assert sum(key.startswith(records.ENDING_PREFIX) for key in world.store.keys) >= 8
    answer = world.poll("job-0")
    assert answer is not None
    assert answer.body["Status"] == "cancelled"


def build_frame(
    world: World, sequence: int, *proposals: peer_pb2.Proposal, full: bool = False
) -> bytes:
    """Return a frame of n1 on its connection; sequence numbers begin with 1."""
    envelope = peer_pb2.Envelope(version=2, sender="n1", sent_at=world.core.ctx.wall_time, link=5.0)
    envelope.seq = sequence
    envelope.summary.full = full
    envelope.summary.token = world.core.view.fencing_token
    envelope.proposals.extend(proposals)
    return envelope.SerializeToString()


def build_proposal(world: World, id: int, kind: str, **task: Any) -> peer_pb2.Proposal:
    """Return a proposal about one task of job-1, under the token of this roster."""
    proposal = peer_pb2.Proposal(id=id, token=world.core.view.fencing_token, job="job-1", kind=kind)
    proposal.tasks.add(**task)
    return proposal


def add_member_with_task(world: World) -> None:
    """Make n1 a member that n0 leads, with a task of job-1 placed on its machine i-5."""
    world.join("n1", "b")
    world.submit("job-1", Pieces=2)
    world.run(2.0)
    placed = TaskEntry(0, records.PLACED, 1, "n1", "b", "i-5", 1)
    value = codec.encode_record(
        JobRecord(find_record(world, "job-1").spec, 0.0, attempt=1, entries=[placed])
    )
    world.store.set(records.job_key(JobId("job-1")), value)
    world.run(2.5)


def test_an_owners_proposal_is_applied_once() -> None:
    """A repeated proposal and a late one of an ended attempt must change nothing."""
    world = World()
    add_member_with_task(world)
    done = {"number": 0, "attempt": 1, "machine": "i-5"}
    world.peer(build_frame(world, 1, full=True))
    world.peer(build_frame(world, 2, build_proposal(world, 1, "finish", **done)))
    assert find_record(world, "job-1").done_ranges == [(0, 0)]
    revision = world.store.revision
    world.peer(build_frame(world, 3, build_proposal(world, 1, "finish", **done)))
    world.peer(build_frame(world, 4, build_proposal(world, 2, "gone", **done)))
    assert world.store.revision == revision
    outcomes = world.core.frame_builders["n1"].outcomes
    assert [(o.id, o.ok) for o in outcomes] == [(1, True), (1, False), (2, False)]


def test_invalid_proposals_change_nothing() -> None:
    """Proposals with a former token, of an unknown kind, and without a task."""
    world = World()
    add_member_with_task(world)
    world.peer(build_frame(world, 1, full=True))
    revision = world.store.revision
    stale = build_proposal(world, 1, "finish", number=0, attempt=1, machine="i-5")
    stale.token -= 1
    for sequence, invalid in enumerate((stale, build_proposal(world, 2, "burn", number=0)), 2):
        world.peer(build_frame(world, sequence, invalid))
    empty = peer_pb2.Proposal(id=3, token=world.core.view.fencing_token, job="job-1", kind="finish")
    world.peer(build_frame(world, 4, empty))
    assert world.store.revision == revision


def test_a_repeated_frame_or_one_after_a_gap_ends_the_connection() -> None:
    """Delayed packets arrive in order; rows of an old connection must not replace newer ones."""
    world = World()
    add_member_with_task(world)
    first = build_frame(world, 1, full=True)
    assert world.core.receive_frame(first)
    assert not world.core.receive_frame(first)
    assert not world.core.receive_frame(build_frame(world, 3))
    assert world.core.receive_frame(build_frame(world, 2))


def test_tasks_on_a_lost_machine_that_the_leader_does_not_know_are_proven_gone() -> None:
    """A machine fell silent before it showed this roster's token, and a former leader returned it.

    Its owner may not declare its tasks gone, so without the leader they would stay there for ever.
    """
    world = World()
    add_member_with_task(world)
    for sequence in range(1, 30):
        envelope = peer_pb2.Envelope.FromString(build_frame(world, sequence, full=sequence == 1))
        envelope.sent_at = world.core.ctx.wall_time
        row = {"build": "g2", "zone": "b", "session": 1, "quiet": True, "silent_s": 30.0}
        envelope.summary.machines.add(id="i-5", lost=True, **row)
        assert world.core.receive_frame(envelope.SerializeToString())
        world.run(world.now + 1.0)
    assert "i-5" in world.returned
    assert not any(e.machine == "i-5" for e in find_record(world, "job-1").entries)


@pytest.mark.parametrize(("cancel_s", "renewed"), [(40.0, True), (16.0, False)])
def test_no_lease_outlives_a_cancellation_missing_from_the_updates(
    monkeypatch: pytest.MonkeyPatch, cancel_s: float, renewed: bool
) -> None:
    """The controller's own lease is valid, but its last update is 6 s old.

    Workers' leases last 10 s, so one renewed now may outlive `cancel_s`.
    """
    workers = SETTINGS["params"]["workers"] | {"cancel_s": cancel_s}
    monkeypatch.setitem(SETTINGS["params"], "workers", workers)
    world = World()
    world.run(1.0)
    world.report("i-000000", [], Counter=1)
    world.run(world.now + 1.0)
    world.core.ctx.watch_ok_at = MonotonicTime(100.0 + world.now - 6.0)
    answer = world.report("i-000000", [], Counter=2)
    assert answer is not None
    assert (answer.status == 200) == renewed
