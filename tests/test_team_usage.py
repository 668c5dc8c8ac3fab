"""What teams use: the log of its changes, and the comparison of machines' reports with limits."""

import logging

import pytest

from coursefold.coordination.summary import MachineRows, PeerFrameBuilder
from tests.test_limits import start_leader, start_receiver
from tests.world import World

RED_JOB = {"Owner": "red", "Pieces": 10, "Loaners": True}
OWN_MACHINE = "i-000001"


def running_tasks(count: int) -> list[dict[str, object]]:
    """Return a report's rows of running tasks of job-1."""
    return [{"Piece": f"job-1/{i}", "Try": i + 1, "Status": "running"} for i in range(count)]


def report_repeatedly(world: World, count: int, seconds: int) -> None:
    """Report that many running tasks of job-1 each second."""
    for _ in range(seconds):
        sequence = round(world.now * 4) + 1
        world.report(OWN_MACHINE, running_tasks(count), Counter=sequence)
        world.run(world.now + 1.0)


def start_world_with_job() -> World:
    """Return a world whose controller leads and has a job of the team red, limited to 8 GPUs."""
    world = start_leader()
    world.submit("job-1", **RED_JOB)
    return world


def test_a_change_of_use_is_logged_with_its_edit_and_count(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    world = start_world_with_job()
    report_repeatedly(world, 0, 2)
    token = world.core.view.fencing_token
    lines = [r.getMessage() for r in caplog.records if r.getMessage().startswith("team red")]
    assert lines[0].startswith(
        f"team red: +16 CPUs, +2 GPUs by place_waiting by n0 of job-1 (token {token},"
    )
    assert lines[0].endswith("16 CPUs, 2 GPUs recorded, 0 CPUs, 0 GPUs in flight")


def test_more_on_the_machines_than_the_limit_is_warned_of_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = start_world_with_job()
    report_repeatedly(world, 10, 6)
    warnings = [r.getMessage() for r in caplog.records if r.levelno == logging.WARNING]
    assert warnings == ["team red exceeds its limit: machines report 80 CPUs, 10 GPUs"]


def test_what_machines_report_within_the_limit_is_not_warned_of(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = start_world_with_job()
    report_repeatedly(world, 8, 6)
    assert not [r for r in caplog.records if r.levelno == logging.WARNING]
    red = world.core.health_status()["teams"]["red"]
    assert red["limit"] == {"cpus": 0.0, "gpus": 8.0}
    assert red["reported"] == {"cpus": 64.0, "gpus": 8.0}


def test_siblings_tell_what_their_machines_report() -> None:
    world = start_world_with_job()
    report_repeatedly(world, 3, 2)
    receiver = start_receiver(world)
    ctx = world.core.ctx
    receiver.receive_all(PeerFrameBuilder(ctx, MachineRows(ctx), "n1"), {})
    assert receiver.ctx.peers["n0"].reported_usage == {"red": (24.0, 3.0)}
