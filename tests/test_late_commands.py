"""Late copies of commands that workers have carried out before (LATER, "late copies").

A copy of a start command would run a task on two machines, or after its cancellation: the
worker does not know an attempt any more after `forget`, after the end of its session, or after
a restart, so it would start it again. Start commands are sent in responses to reports alone,
and a worker has one report in flight, whose response it takes once and for 4 s.
"""

from collections.abc import Callable
from functools import partial

import pytest

from coursefold.coordination.effects import Response, SendCommands
from tests.fleet import Fleet, RuleBrokenError, Worker
from tests.fleet_copies import ChangeBeforeCopy
from tests.shares_world import SharesFleet
from tests.test_fleet import (
    check_no_job_lost,
    crash_controllers,
    end_faults,
    hang_workers,
    lose_worker_responses,
    preempt_machines,
    submit_jobs,
)
from tests.test_shares import FAST_MOVES, request_random_moves

MACHINE_COUNT = 160
JOB_COUNT = 60
COPIES_END_AT_S = 200.0  # the last copies are sent at 70 s and arrive within 90 s
RUN_END_AT_S = 260.0


def restart_controllers_in_an_election(fleet: Fleet) -> None:
    """End all controllers; each is back within a second, and one ends again meanwhile."""
    for node in fleet.nodes:
        if node.up:
            node.stop()
            fleet.after(fleet.rng.uniform(0.1, 0.9), node.start)
    again = fleet.rng.choice(fleet.nodes)

    def restart() -> None:
        if again.up:
            again.stop()
            fleet.after(0.1, again.start)

    fleet.after(fleet.rng.uniform(1.0, 2.5), restart)


def restart_machines(fleet: Fleet) -> None:
    """Restart some machines at once; they count from their first session again."""
    for worker in fleet.rng.sample(list(fleet.workers.values()), min(20, len(fleet.workers))):
        if not worker.gone and fleet.now >= worker.up_at:
            worker.restart()


FAULTS: list[Callable[[Fleet], None]] = [
    restart_controllers_in_an_election, restart_machines, crash_controllers, hang_workers,
    lose_worker_responses, preempt_machines,
]  # fmt: skip


def cancel_running_jobs(fleet: Fleet) -> None:
    """Cancel jobs of which tasks are on machines, every few seconds."""
    running = sorted({task.job.name for _, task in fleet.placed_tasks.values()})
    if running:
        job = fleet.jobs[fleet.rng.choice(running)]
        if not job.cancel_requested and not job.has_ended():
            fleet.cancel_job(job, fleet.rng.choice(fleet.nodes))
    if fleet.now < 70.0:
        fleet.after(fleet.rng.uniform(1.0, 4.0), partial(cancel_running_jobs, fleet))


def run_with_copies(fleet: SharesFleet) -> None:
    """Run jobs, cancellations, moves and faults while commands are copied, then check all jobs."""
    fleet.lost_commits, fleet.duplicate_share = 0.02, 0.1
    fleet.copies.share, fleet.copies.slow_response_share = 0.7, 0.1
    submit_jobs(fleet, JOB_COUNT)
    for fault in FAULTS:
        for _ in range(2):
            fleet.after(fleet.rng.uniform(15.0, 68.0), partial(fault, fleet))
    fleet.after(12.0, partial(request_random_moves, fleet, 68.0))
    fleet.after(20.0, partial(cancel_running_jobs, fleet))
    fleet.after(70.0, partial(end_faults, fleet))
    fleet.after(70.0, lambda: setattr(fleet.copies, "slow_response_share", 0.0))
    fleet.after(COPIES_END_AT_S, lambda: setattr(fleet.copies, "share", 0.0))
    fleet.run(RUN_END_AT_S)
    check_no_job_lost(fleet)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_late_copies_of_commands_start_nothing(seed: int) -> None:
    """Guards against a task on two machines, and a cancelled one that runs again."""
    fleet = SharesFleet(seed, MACHINE_COUNT, moves=FAST_MOVES | {"limit_s": 40.0})
    run_with_copies(fleet)
    copies = fleet.copies.commands
    executed = {(copy.way, copy.verb) for copy in copies if copy.is_executed}
    dropped = {(copy.way, copy.verb) for copy in copies if not copy.is_executed}
    assert executed == {("direct", "stop")}  # late stops name their attempt
    assert {("response", "run"), ("response", "stop"), ("response", "forget")} <= dropped
    assert ("direct", "stop") in dropped  # another session or token
    assert set(fleet.copies.changes) == set(ChangeBeforeCopy)  # each has happened in between
    assert sum(fleet.handovers.values()) > 10


class DirectStarts(SharesFleet):
    """Workers receive the copies of responses to reports at their own address."""

    def copy_response(self, worker: Worker, answer: Response, deliver: Callable[[], None]) -> None:
        """Deliver the copies as direct commands, with token and session of the response."""
        node = self.nodes[worker.node]
        token, commands = answer.body["Baton"], answer.body["Orders"]
        direct = SendCommands(worker.id, token, worker.session, commands)
        self.copies.maybe_deliver(lambda: self.receive_commands(node, direct, is_copy=True))


@pytest.mark.parametrize(
    ("seed", "harm"), [(1, "starts after its cancellation"), (8, "starts on .* while it is on")]
)
def test_the_simulation_detects_copies_of_direct_start_commands(seed: int, harm: str) -> None:
    """Guards the check: with start commands to workers' own addresses, copies break the rules."""
    fleet = DirectStarts(seed, MACHINE_COUNT, moves=FAST_MOVES | {"limit_s": 40.0})
    with pytest.raises(RuleBrokenError, match=harm):
        run_with_copies(fleet)
