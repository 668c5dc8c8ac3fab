"""Malformed, hostile and oversized input is refused without any effect on the controller."""

import math
from typing import Any

import pytest

from coursefold.protocol.wire import encode
from tests.world import JOB, World

VALID_JOB = JOB | {"NameId": "job-1"}


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"Pieces": 0}, "Pieces"),
        ({"Pieces": 100_001}, "Pieces"),
        ({"Pieces": 1.5}, "Pieces"),
        ({"Pieces": True}, "Pieces"),
        ({"Vcpus": -1.0}, "Vcpus"),
        ({"Vcpus": math.nan}, "Vcpus"),
        ({"MemoryGb": math.inf}, "MemoryGb"),
        ({"Rank": "highest"}, "Rank"),
        ({"Shape": None}, "Shape"),
        ({"Builds": "g2"}, "Builds"),
        ({"NameId": "job-1/0"}, "NameId"),
        ({"NameId": "JOB-1"}, "NameId"),
        ({"DueS": "soon"}, "DueS"),
    ],
)
def test_an_invalid_field_is_answered_with_400_and_its_name(
    change: dict[str, Any], field: str
) -> None:
    world = World()
    answer = world.ask(lambda t: world.core.submit(encode(VALID_JOB | change), t))
    assert answer is not None
    assert answer.status == 400
    assert field in answer.body["error"]


@pytest.mark.parametrize(
    "body", [b"", b"\xff" * 100, encode([1, 2]), encode({}), b"\x81", encode("x") * 3]
)
def test_a_malformed_body_is_answered_with_400(body: bytes) -> None:
    world = World()
    for handler in (world.core.submit, world.core.handle_report):
        answer = world.ask(lambda t, h=handler: h(body, t))
        assert answer is not None
        assert answer.status == 400


def test_missing_required_fields_are_refused_and_unknown_fields_accepted() -> None:
    world = World()
    for name in VALID_JOB:
        incomplete = {key: value for key, value in VALID_JOB.items() if key != name}
        answer = world.ask(lambda t, s=incomplete: world.core.submit(encode(s), t))
        assert answer is not None
        expected_status = 201 if name in ("Builds", "Site", "DueS") else 400
        assert answer.status in (expected_status, 200)
    answer = world.ask(lambda t: world.core.submit(encode(VALID_JOB | {"Colour": "red"}), t))
    assert answer is not None
    assert answer.status in (200, 201)


def test_frames_of_unknown_senders_and_other_versions_change_nothing() -> None:
    """The same holds for malformed frames, and for those that are delivered too late."""
    world = World()
    for frame in (
        b"\xff" * 40,
        world.peer_frame("n9"),
        world.peer_frame("n1", version=1),
        world.peer_frame("n1")[:-3],
    ):
        world.peer(frame)
        assert world.core.ctx.peers == {}
    stale = world.peer_frame("n1")
    world.run(10.0)
    world.peer(stale)  # delayed by a network partition
    assert world.core.ctx.peers == {}
    world.peer(world.peer_frame("n1"))
    assert set(world.core.ctx.peers) == {"n1"}


def test_the_record_of_a_job_of_100000_tasks_stays_small() -> None:
    world = World()
    for number in range(40):
        world.report(f"i-{number}", [])
    answer = world.submit("job-1", Pieces=100_000, Vcpus=0.1, Accelerators=0.0, MemoryGb=0.1)
    assert answer is not None
    assert answer.status == 201
    world.run(6.0)
    (job,) = world.core.view.jobs.values()
    max_entries = world.core.leader.max_entries()
    assert 0 < len(job.entries) <= max_entries < 1000


@pytest.mark.parametrize(
    "told",
    [
        {"job-1": 10**9},  # a revision far in the future
        {"job-1": 0},  # a revision that the frame states as already included
        {"no job": 1},
        {f"job-{n}": 1 for n in range(2000)},
    ],
)
def test_invalid_cancellations_of_a_peer_are_dropped(told: dict[str, int]) -> None:
    """They stop no task, are not kept, and do not extend what the peer has confirmed to know."""
    world = World()
    world.join("n1", "b")
    world.run(2.0)
    lease_id = world.core.view.members["n1"].lease_id
    world.submit("job-1")
    world.report("i-1", [])
    world.run(3.0)
    world.peer(world.peer_frame("n1", lease_id=lease_id, cancellations={}))
    known_until = world.core.ctx.peers["n1"].cancellations_known_until
    assert known_until > 0
    world.run(4.0)
    world.peer(world.peer_frame("n1", lease_id=lease_id, cancellations=told))
    ctx = world.core.ctx
    assert ctx.peer_cancellations == {}
    assert ctx.peers["n1"].cancellations_known_until == known_until
    assert world.sent_commands == []


def test_a_cancellation_of_an_unknown_job_is_dropped_after_later_writes() -> None:
    """Once the view has passed the cancellation's revision, the record itself decides."""
    world = World()
    world.peer(world.peer_frame("n1", cancellations={"job-7": 3}))
    assert set(world.core.ctx.peer_cancellations) == {"job-7"}
    for _ in range(4):
        world.submit(f"job-{world.store.revision}")
    world.run(2.0)
    assert world.core.ctx.peer_cancellations == {}
