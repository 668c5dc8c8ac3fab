"""Answers are never older than the question, and steps may come twice."""

from typing import Any

import pytest

from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.storage import codec, records
from coursefold.storage.records import JobRecord, TaskEntry
from coursefold.transport.state import StateClient
from tests.world import SETTINGS, World


def record(world: World, name: str) -> JobRecord:
    found = world.core.view.jobs[JobId(name)]
    assert isinstance(found, JobRecord)
    return found


def test_a_poll_sees_what_another_node_wrote_before_it() -> None:
    """Another node has told the user "cancelled"; our news of it are still on their way."""
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


def test_an_ending_that_has_not_moved_is_known_however_long_ago_it_was() -> None:
    """Its memory of endings is bounded; a 404 here would have forgotten a job."""
    world = World()
    world.submit("job-1")
    world.cancel("job-1")
    world.core.view.endings.clear()
    answer = world.poll("job-1")
    assert answer is not None
    assert answer.body["Status"] == "cancelled"


def test_reads_keep_a_part_of_the_rate_whatever_else_is_sent() -> None:
    """Seen by reading: a busy leader refused every poll for a job that ended long ago."""
    now = [MonotonicTime(10.0)]
    client = StateClient("127.0.0.1:1", 100.0, 5, lambda: now[0], lambda _: None)
    assert sum(client.try_reserve_read() for _ in range(50)) == 8
    now[0] = MonotonicTime(11.0)
    assert sum(client.try_reserve_read() for _ in range(50)) == 4


def test_endings_move_away_when_nothing_else_is_to_be_written() -> None:
    """They take one change at a job's end, and must not be read by every start for ever."""
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


def frame(world: World, seq: int, *proposals: peer_pb2.Proposal, full: bool = False) -> bytes:
    envelope = peer_pb2.Envelope(version=2, sender="n1", sent_at=world.core.ctx.wall_time, link=5.0)
    envelope.seq = seq
    envelope.summary.full = full
    envelope.summary.token = world.core.view.fencing_token
    envelope.proposals.extend(proposals)
    return envelope.SerializeToString()


def proposal(world: World, id: int, kind: str, **task: Any) -> peer_pb2.Proposal:
    found = peer_pb2.Proposal(id=id, token=world.core.view.fencing_token, job="job-1", kind=kind)
    found.tasks.add(**task)
    return found


def led(world: World) -> None:
    """n1 owns machines under our lead, and a task has its place on one of them."""
    world.join("n1", "b")
    world.submit("job-1", Pieces=2)
    world.run(2.0)
    placed = TaskEntry(0, records.PLACED, 1, "n1", "b", "i-5", 1)
    value = codec.encode_record(
        JobRecord(record(world, "job-1").spec, 0.0, attempt=1, entries=[placed])
    )
    world.store.set(records.job_key(JobId("job-1")), value)
    world.run(2.5)


def test_an_owners_step_is_made_once() -> None:
    """The same proposal on a new connection, and a late one of an attempt that is gone."""
    world = World()
    led(world)
    done = {"number": 0, "attempt": 1, "machine": "i-5"}
    world.peer(frame(world, 1, full=True))
    world.peer(frame(world, 2, proposal(world, 1, "finish", **done)))
    assert record(world, "job-1").done_ranges == [(0, 0)]
    ledger = world.store.revision
    world.peer(frame(world, 3, proposal(world, 1, "finish", **done)))
    world.peer(frame(world, 4, proposal(world, 2, "gone", **done)))
    assert world.store.revision == ledger
    outcomes = world.core.frame_builders["n1"].outcomes
    assert [(o.id, o.ok) for o in outcomes] == [(1, True), (1, False), (2, False)]


def test_what_no_owner_would_propose_changes_nothing() -> None:
    world = World()
    led(world)
    world.peer(frame(world, 1, full=True))
    ledger = world.store.revision
    stale = proposal(world, 1, "finish", number=0, attempt=1, machine="i-5")
    stale.token -= 1
    for at, bad in enumerate((stale, proposal(world, 2, "burn", number=0)), 2):
        world.peer(frame(world, at, bad))
    empty = peer_pb2.Proposal(id=3, token=world.core.view.fencing_token, job="job-1", kind="finish")
    world.peer(frame(world, 4, empty))
    assert world.store.revision == ledger


def test_a_repeated_frame_or_one_after_a_gap_ends_the_connection() -> None:
    """Held packets come late and in order; rows of an old connection must not win."""
    world = World()
    led(world)
    first = frame(world, 1, full=True)
    assert world.core.receive_frame(first)
    assert not world.core.receive_frame(first)
    assert not world.core.receive_frame(frame(world, 3))
    assert world.core.receive_frame(frame(world, 2))


def test_tasks_on_a_lost_machine_that_the_leader_does_not_know_are_proven_gone() -> None:
    """It fell silent before it showed this roster's token, so its owner may not say that
    its tasks are gone; and it was returned under a former leader. Seen: they stayed there.
    """
    world = World()
    led(world)
    for seq in range(1, 30):
        envelope = peer_pb2.Envelope.FromString(frame(world, seq, full=seq == 1))
        envelope.sent_at = world.core.ctx.wall_time
        row = {"build": "g2", "zone": "b", "session": 1, "quiet": True, "silent_s": 30.0}
        envelope.summary.machines.add(id="i-5", lost=True, **row)
        assert world.core.receive_frame(envelope.SerializeToString())
        world.run(world.now + 1.0)
    assert "i-5" in world.returned
    assert not any(e.machine == "i-5" for e in record(world, "job-1").entries)


@pytest.mark.parametrize(("cancel_s", "renewed"), [(40.0, True), (16.0, False)])
def test_no_lease_outlives_a_cancellation_that_our_news_lack(
    monkeypatch: pytest.MonkeyPatch, cancel_s: float, renewed: bool
) -> None:
    """Our own lease is safe, but the news stopped 6 s ago; workers' leases take 10 s."""
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
