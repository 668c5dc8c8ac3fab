"""Hostile and oversized input changes nothing and ends nothing."""

import math
from typing import Any

import pytest

from coursefold.protocol.wire import encode
from tests.world import JOB, World

GOOD = JOB | {"NameId": "job-1"}


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
def test_a_bad_field_is_a_400_that_names_it(change: dict[str, Any], field: str) -> None:
    world = World()
    answer = world.ask(lambda t: world.core.submit(encode(GOOD | change), t))
    assert answer is not None
    assert answer.status == 400
    assert field in answer.body["error"]


@pytest.mark.parametrize(
    "body", [b"", b"\xff" * 100, encode([1, 2]), encode({}), b"\x81", encode("x") * 3]
)
def test_what_is_no_job_is_a_400(body: bytes) -> None:
    world = World()
    for handler in (world.core.submit, world.core.handle_report):
        answer = world.ask(lambda t, h=handler: h(body, t))
        assert answer is not None
        assert answer.status == 400


def test_missing_fields_and_unknown_ones() -> None:
    world = World()
    for name in GOOD:
        short = {key: value for key, value in GOOD.items() if key != name}
        answer = world.ask(lambda t, s=short: world.core.submit(encode(s), t))
        assert answer is not None
        wanted = 201 if name in ("Builds", "Site", "DueS") else 400
        assert answer.status in (wanted, 200)
    answer = world.ask(lambda t: world.core.submit(encode(GOOD | {"Colour": "red"}), t))
    assert answer is not None
    assert answer.status in (200, 201)


def test_frames_of_strangers_and_other_versions_change_nothing() -> None:
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
    world.peer(stale)  # held back by a cut
    assert world.core.ctx.peers == {}
    world.peer(world.peer_frame("n1"))
    assert set(world.core.ctx.peers) == {"n1"}


def test_a_hundred_thousand_tasks_stay_small() -> None:
    world = World()
    for number in range(40):
        world.report(f"i-{number}", [])
    answer = world.submit("job-1", Pieces=100_000, Vcpus=0.1, Accelerators=0.0, MemoryGb=0.1)
    assert answer is not None
    assert answer.status == 201
    world.run(6.0)
    (job,) = world.core.view.jobs.values()
    most = world.core.leader.max_entries()
    assert 0 < len(job.entries) <= most < 1000


@pytest.mark.parametrize(
    "told",
    [
        {"job-1": 10**9},  # a revision that cannot be
        {"job-1": 0},  # one before those that it says follow
        {"no job": 1},
        {f"job-{n}": 1 for n in range(2000)},
    ],
)
def test_cancellations_that_make_no_sense_are_dropped(told: dict[str, int]) -> None:
    """They stop nothing, stay in no memory, and vouch for nothing."""
    world = World()
    world.join("n1", "b")
    world.run(2.0)
    permit = world.core.view.members["n1"].lease_id
    world.submit("job-1")
    world.report("i-1", [])
    world.run(3.0)
    world.peer(world.peer_frame("n1", lease_id=permit, cancellations={}))
    known = world.core.ctx.peers["n1"].cancellations_known_until
    assert known > 0
    world.run(4.0)
    world.peer(world.peer_frame("n1", lease_id=permit, cancellations=told))
    ctx = world.core.ctx
    assert ctx.peer_cancellations == {}
    assert ctx.peers["n1"].cancellations_known_until == known
    assert world.sent_commands == []


def test_a_cancellation_of_an_unknown_job_is_forgotten_in_time() -> None:
    world = World()
    world.peer(world.peer_frame("n1", cancellations={"job-7": 3}))
    assert set(world.core.ctx.peer_cancellations) == {"job-7"}
    for _ in range(4):
        world.submit(f"job-{world.store.revision}")
    world.run(2.0)
    assert world.core.ctx.peer_cancellations == {}
