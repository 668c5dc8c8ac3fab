"""Combinations of failures that occur at the same time.

Each test provokes a combination, asserts that it has occurred, and that it does no harm.
"""

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from coursefold.protocol.ids import JobId
from coursefold.storage import records
from tests.fleet import NODES, Fleet, Node
from tests.production import OURS, Version

ENDLESS_RUN_S = 1e6
TEAMS = [
    {"name": "red", "gpus": 60.0, "gpus_max": 160.0},
    {"name": "blue", "gpus": 60.0, "gpus_max": 200.0},
]


def start_busy_fleet(seed: int, count: int = 24, pieces: int = 6, others: Version = OURS) -> Fleet:
    """Return a fleet on which `count` arrays of `pieces` endless tasks run.

    All controllers but the first are of the version `others`.
    """
    fleet = Fleet(seed, capacity=200, teams=TEAMS)
    for node in fleet.nodes[1:]:
        if others is not OURS:
            node.stop()
            node.version = others
            node.start()
    for number in range(count):
        fleet.submit(f"job-{number}", ENDLESS_RUN_S, Pieces=pieces, Owner="blue")
    fleet.run(60.0)
    assert len(fleet.placed_tasks) == count * pieces
    return fleet


def find_leader(fleet: Fleet) -> Node:
    """Return the controller that takes itself for the leader."""
    return next(n for n in fleet.nodes if n.up and n.enter().ctx.is_leading())


def cancel_at(fleet: Fleet, node: int, name: str, confirmed: Callable[[str], None]) -> None:
    """Cancel a job through one controller, and repeat the request until it is confirmed."""
    job = fleet.jobs[name]
    job.cancel_requested = True

    def handle_answer(answer: Any) -> None:
        if answer is not None and answer.status == 200:
            fleet.record_answer(job, answer)
            confirmed(name)
        else:
            fleet.after(0.3, send)

    def send() -> None:
        fleet.request(node, lambda core, t: core.cancel(name, t), handle_answer, lambda: True)

    send()


def is_live_in_view(node: Node, name: str) -> bool:
    """Return whether the controller's view shows the job as live, thus not cancelled."""
    record = node.core.view.jobs.get(JobId(name))
    return record is not None and record.status == records.LIVE


# The gap: the state service refuses only the leader, and another controller confirms
# cancellations. Then the service is down for all for longer than `cancel_s`, while workers
# go on reporting to the old leader. The simulation fails when a task outlives `cancel_s`.


class CancellationGap:
    """A busy fleet from the moment at which the state service begins to refuse the leader.

    Attributes:
        first: The leader that is refused.
        second: The controller that confirms cancellations.
        outage_at: When the outage for all controllers begins.
        until: When the outage ends.
        unseen: Jobs whose cancellation was confirmed while `first` did not know of it.
    """

    def __init__(
        self, seed: int, refused_s: float = 2.0, outage_s: float = 55.0, others: Version = OURS
    ) -> None:
        self.fleet = fleet = start_busy_fleet(seed, others=others)
        self.first = find_leader(fleet) if others is OURS else fleet.nodes[0]
        self.second = fleet.nodes[(self.first.number + 1) % NODES]
        self.outage_at = fleet.now + refused_s
        self.until = self.outage_at + outage_s
        self.unseen: list[str] = []
        fleet.after(refused_s, lambda: setattr(fleet, "outage_until", self.until))
        self.first.refused_until = self.until
        fleet.run(fleet.now + 0.2)
        for number, name in enumerate(self.list_leader_jobs()[:4]):
            self.cancel(name, refused_s * number / 8.0)

    def list_leader_jobs(self) -> list[str]:
        """Return the jobs with tasks on the old leader's machines."""
        mine = self.first.core.ctx.machines
        return sorted({t.job.name for w, t in self.fleet.placed_tasks.values() if w.id in mine})

    def cancel(self, name: str, delay_s: float) -> None:
        """Cancel a job through `second` after `delay_s`."""

        def confirmed(name: str) -> None:
            if is_live_in_view(self.first, name) and name in self.list_leader_jobs():
                self.unseen.append(name)

        self.fleet.after(
            delay_s, lambda: cancel_at(self.fleet, self.second.number, name, confirmed)
        )

    def play(self) -> None:
        """Run past the outage, and check that the gap occurred and that nothing was lost."""
        self.fleet.run(self.until + 30.0)
        cancelled = [j for j in self.fleet.jobs.values() if j.told_status == "cancelled"]
        early = [j for j in cancelled if j.name in self.unseen and j.cancelled_at < self.outage_at]
        assert len(early) == 4  # confirmed elsewhere, unknown to the node with their machines
        assert not [t for _, t in self.fleet.placed_tasks.values() if t.job in cancelled]
        running = {t.job.name for _, t in self.fleet.placed_tasks.values()}
        assert running == {j.name for j in self.fleet.jobs.values() if j.told_status != "cancelled"}


def test_cancellations_that_the_refused_leader_has_not_seen() -> None:
    gap = CancellationGap(1)
    gap.play()
    # Other tasks ran on without a break: each controller stated what it knew, so leases held.
    assert {w.session for w in gap.fleet.workers.values()} == {1}


def test_the_gap_while_siblings_refuse_each_other() -> None:
    """Nobody can inform the old leader, so it must stop renewing its workers' leases in time."""
    gap = CancellationGap(2)
    gap.fleet.peers_refused_until = gap.until
    gap.play()
    assert max(w.session for w in gap.fleet.workers.values()) > 1


def test_the_gap_where_the_confirming_controller_restarts() -> None:
    """Its new process does not know what the former one confirmed; its new lease shows that."""
    gap = CancellationGap(3)
    fleet, second = gap.fleet, gap.second
    # No other controller has read the cancellations yet, and the last frames are lost.
    for node in fleet.nodes:
        if node is not second:
            node.refused_until = gap.until
    fleet.peers_refused_until = gap.outage_at + 0.5
    fleet.after(gap.outage_at - fleet.now, second.stop)
    fleet.after(gap.outage_at + 1.0 - fleet.now, second.start)
    gap.play()


def test_the_gap_with_siblings_of_an_older_version(old: Version) -> None:
    """Older siblings do not state which cancellations they know, so their outage proves nothing."""
    gap = CancellationGap(6, others=old)
    gap.play()


def test_the_gap_when_the_service_comes_back_for_one_alone() -> None:
    """That controller confirms more, while the old leader still has no state service."""
    gap = CancellationGap(4, outage_s=20.0)
    fleet = gap.fleet
    for node in fleet.nodes:
        if node is not gap.second:
            node.refused_until = gap.until + 40.0
    later = gap.list_leader_jobs()[4:6]
    for name in later:
        gap.cancel(name, gap.until + 1.0 - fleet.now)
    fleet.run(gap.until + 45.0)
    gap.play()
    assert later
    assert all(fleet.jobs[name].told_status == "cancelled" for name in later)


@pytest.mark.parametrize("seed", [7, 8, 11])
def test_the_gap_where_the_leader_is_replaced_before_the_outage(seed: int) -> None:
    """The new owners keep the old leader's machines, and no leader takes them for gone.

    Guards against counting an outage as silence of machines that have not shown the new
    token yet: their tasks would be started elsewhere and run twice.
    """
    gap = CancellationGap(seed, refused_s=2.6)
    fleet = gap.fleet
    gap.first.refused_until = gap.until + 40.0
    token = gap.first.core.view.fencing_token
    fleet.run(gap.outage_at)
    assert max(n.core.view.fencing_token for n in fleet.nodes) > token
    fleet.run(gap.until)
    running = {
        name: place
        for name, place in fleet.placed_tasks.items()
        if not place[1].job.cancel_requested
    }
    fleet.run(gap.until + 60.0)  # each start is checked against what runs
    assert {name: fleet.placed_tasks.get(name) for name in running} == running


def test_an_outage_alone_ends_no_lease() -> None:
    """In an outage beyond `cancel_s` all siblings confirm that no cancellation is missing."""
    fleet = start_busy_fleet(5)
    fleet.outage_until = fleet.now + fleet.timing["cancel_s"] + 20.0
    running = dict(fleet.placed_tasks)
    fleet.run(fleet.outage_until + 10.0)
    assert fleet.placed_tasks == running
    assert {w.session for w in fleet.workers.values()} == {1}


# Frequent polls while responses to transactions are lost


def submit_job(fleet: Fleet, number: int, run_s: float, **fields: Any) -> str:
    """Submit a job of team blue that may use spot machines, and return its name."""
    name = f"job-5{number:05d}"
    given: dict[str, Any] = {"Owner": "blue", "Loaners": True} | fields
    fleet.submit(name, run_s, **given)
    return name


def check_settled(fleet: Fleet) -> None:
    """Check after all failures that each job has ended or runs with all of its tasks."""
    for job in fleet.jobs.values():
        if job.has_ended():
            continue
        assert fleet.now - job.answered_at < 20.0, f"{job.name} is not answered about"
        running_count = sum(1 for _, t in fleet.placed_tasks.values() if t.job is job)
        assert running_count == job.size - len(job.done), (
            f"{job.name}: {running_count} of its tasks run"
        )
    # A task may outlive a confirmed cancellation by the delay of the updates only.
    assert all(late < 1.0 for late, _ in fleet.runs_after_cancellation), (
        fleet.runs_after_cancellation
    )


def test_close_looks_where_answers_are_lost() -> None:
    """Every controller is polled twice within milliseconds, and submissions are repeated."""
    fleet = Fleet(11, capacity=120, teams=TEAMS)
    fleet.run(20.0)
    fleet.rechecks_answers, fleet.lost_commits, fleet.cancel_at_end_share = True, 0.25, 0.4
    rng = fleet.rng
    for number in range(60):
        at = rng.uniform(0.0, 40.0)
        fleet.after(
            at,
            partial(submit_job, fleet, number, rng.uniform(2.0, 8.0), Pieces=rng.randrange(1, 4)),
        )
        if number % 3 == 0:
            name = f"job-5{number:05d}"
            cancel_at_s = at + rng.uniform(0.02, 12.0)
            fleet.after(cancel_at_s, partial(cancel_when_accepted, fleet, name))
    for at in range(0, 40, 2):
        fleet.after(at, lambda: fleet.submit_invalid_jobs(rng.choice(fleet.nodes)))
    fleet.run(70.0)
    fleet.lost_commits = 0.0
    fleet.run(120.0)
    check_settled(fleet)
    end_counts = Counter(j.told_status for j in fleet.jobs.values())
    assert end_counts["done"] >= 10
    assert end_counts["cancelled"] >= 10
    assert fleet.rechecked_count > 1500
    assert fleet.cancelled_at_end_count >= 10
    assert fleet.rejected_job_count >= 60


def cancel_when_accepted(fleet: Fleet, name: str) -> None:
    """Cancel a job as soon as it is accepted, through a random controller."""
    job = fleet.jobs[name]
    if job.accepted_at < 0:
        fleet.after(0.02, lambda: cancel_when_accepted(fleet, name))
    elif not job.has_ended():
        fleet.cancel_job(job, fleet.rng.choice(fleet.nodes))


# Teams at their limit, cancellations on unresponsive machines, and a change of the leader


def stop_leader(fleet: Fleet, restart_after_s: float = 3.0) -> Node:
    """Kill the leader, restart it after `restart_after_s`, and return it."""
    former = find_leader(fleet)
    former.stop()
    fleet.after(restart_after_s, former.start)
    return former


def check_leader_changed(fleet: Fleet, former: Node) -> None:
    """Check that another controller leads."""
    current = find_leader(fleet)
    assert current is not former


TEAMS_WITH_LOW_LIMITS = [
    {"name": "red", "gpus": 4.0, "gpus_max": 8.0},
    {"name": "blue", "gpus": 10.0, "gpus_max": 40.0},
]


@pytest.mark.parametrize(
    "how", ["hung_until", "cut_until", "reports_lost_until", "responses_lost_until"]
)
def test_at_the_limit_while_machines_do_not_answer(how: str) -> None:
    """A cancelled task counts against the limit until it is proven gone, whoever leads."""
    fleet = Fleet(21, capacity=120, teams=TEAMS_WITH_LOW_LIMITS)
    for number in range(14):
        submit_job(fleet, number, ENDLESS_RUN_S, Pieces=6)
    fleet.run(50.0)
    assert fleet.team_use.gpus["blue"] == 40.0  # at the limit, and more jobs wait
    for worker in {w for w, _ in fleet.placed_tasks.values()}:
        setattr(worker, how, fleet.now + 22.0)
    running_before = dict(fleet.placed_tasks)
    for name in sorted({t.job.name for _, t in running_before.values()})[:4]:
        fleet.after(fleet.rng.uniform(0.0, 0.2), partial(cancel_when_accepted, fleet, name))
    fleet.run(fleet.now + 0.3)
    former = stop_leader(fleet)
    fleet.run(fleet.now + 2.7)
    check_leader_changed(fleet, former)
    cancelled = [t for _, t in running_before.values() if t.job.told_status == "cancelled"]
    # Confirmed while the machines did not answer and the leader changed.
    assert len(cancelled) >= 18
    fleet.run(fleet.now + 87.0)  # every start is checked against the limit
    assert fleet.team_use.gpus["blue"] == 40.0
    check_settled_at_limit(fleet)


def check_settled_at_limit(fleet: Fleet) -> None:
    """Check that only running jobs hold machines, so that no part of the limit has leaked."""
    assert {t.job.told_status for _, t in fleet.placed_tasks.values()} == {"running"}
    assert all(late < 1.0 for late, _ in fleet.runs_after_cancellation), (
        fleet.runs_after_cancellation
    )


def test_cancelled_while_work_changes_hands() -> None:
    """Jobs are cancelled in the seconds in which a killed controller is replaced, each in turn."""
    fleet = start_busy_fleet(31)
    for number in range(24):
        fleet.submit(f"job-6{number:02d}", ENDLESS_RUN_S, Pieces=2, Owner="blue", Loaners=True)
    fleet.run(fleet.now + 20.0)
    names = sorted(j.name for j in fleet.jobs.values())
    handover_cancellations = 0
    for node in fleet.nodes:
        token = max(n.core.view.fencing_token for n in fleet.nodes)
        node.stop()
        fleet.after(2.0, node.start)
        for _ in range(6):
            fleet.after(
                fleet.rng.uniform(0.0, 4.0), partial(cancel_when_accepted, fleet, names.pop())
            )
        fleet.run(fleet.now + 6.0)
        assert max(n.core.view.fencing_token for n in fleet.nodes) > token
        handover_cancellations += sum(fleet.now - 6.0 < j.cancelled_at for j in fleet.jobs.values())
    assert handover_cancellations >= 24
    fleet.run(fleet.now + 30.0)
    check_settled(fleet)


def test_reports_kept_for_the_next_leader() -> None:
    """Delayed reports show tasks that ended or were stopped since, and machines that left."""
    fleet = Fleet(41, capacity=120, teams=TEAMS)
    for number in range(30):
        submit_job(fleet, number, fleet.rng.uniform(4.0, 15.0), Pieces=4)
    fleet.run(18.0)
    delivered_count = 0
    for _ in range(4):
        fleet.kept_share = 0.5
        fleet.run(fleet.now + 6.0)
        fleet.kept_share = 0.0
        for worker in fleet.rng.sample([w for w in fleet.workers.values() if not w.gone], 3):
            worker.kill()
            fleet.capacity[(worker.zone, worker.spot)] += 1
        former = stop_leader(fleet)
        token = former.core.view.fencing_token
        while max(n.core.view.fencing_token for n in fleet.nodes) == token:
            fleet.run(fleet.now + 0.05)
        delivered_count += fleet.deliver_kept_reports()
        fleet.run(fleet.now + 4.0)
        check_leader_changed(fleet, former)
    fleet.run(fleet.now + 60.0)
    assert delivered_count > 40
    check_settled(fleet)


def test_machines_up_at_once_while_writes_lag_and_the_leader_ends() -> None:
    """Machines that report before their rental is written must neither be doubled nor lost."""
    fleet = Fleet(51, capacity=160, teams=TEAMS)
    fleet.quick_boot_share, fleet.lost_commits = 0.6, 0.25
    for number in range(30):
        submit_job(fleet, number, fleet.rng.uniform(5.0, 10.0), Pieces=6)
    changes = 0
    for at in (2.0, 5.0, 9.0, 15.0):
        fleet.run(at)
        if any(n.up and n.enter().ctx.is_leading() for n in fleet.nodes):
            stop_leader(fleet, 2.0)
            changes += 1
    assert changes >= 3
    early_count = sum(w.up_at < 12.0 for w in fleet.workers.values())
    assert early_count >= 10
    fleet.run(40.0)
    fleet.lost_commits = 0.0
    fleet.run(140.0)
    check_settled(fleet)
    # Machines rented twice or lost from the records would stay, or jobs would not end.
    assert all(j.told_status == "done" for j in fleet.jobs.values())


def test_four_small_jobs_a_second() -> None:
    """A quarter of the jobs is cancelled; the state service's rate is that of large deployments."""
    fleet = Fleet(61, capacity=160, teams=TEAMS)
    for number in range(240):
        at = 20.0 + number / 4.0
        fleet.after(at, partial(submit_job, fleet, number, 4.0, Vcpus=4.0))
        if number % 4 == 0:
            name = f"job-5{number:05d}"
            fleet.after(
                at + fleet.rng.uniform(0.1, 8.0), partial(cancel_when_accepted, fleet, name)
            )
    fleet.after(45.0, lambda: stop_leader(fleet))
    fleet.run(80.0)
    accepted_count = sum(j.accepted_at >= 0 for j in fleet.jobs.values())
    assert accepted_count >= 230
    fleet.run(125.0)
    check_settled(fleet)
    assert all(j.has_ended() for j in fleet.jobs.values())
    assert sum(j.told_status == "cancelled" for j in fleet.jobs.values()) >= 40


# A team's limit, reserved for the gang that has waited longest


def start_crowded_fleet(replicas: int, pieces: int) -> Fleet:
    """Return a fleet with replicas, a stream of short arrays, and later a gang, of one team.

    The gang needs 20 of the team's 40 GPUs.
    """
    fleet = Fleet(71, capacity=160, teams=TEAMS_WITH_LOW_LIMITS)
    service = {"Shape": "standing", "Rank": "prod", "Pieces": replicas, "Loaners": False}
    submit_job(fleet, 900, ENDLESS_RUN_S, **service)
    for number in range(200):
        at = 1.4 * number
        fleet.after(at, partial(submit_job, fleet, number, 20.0, Pieces=pieces, Vcpus=4.0))
    gang = {"Shape": "ensemble", "Pieces": 10, "Vcpus": 16.0, "Accelerators": 2.0}
    fleet.after(30.0, partial(submit_job, fleet, 901, 20.0, Together=True, **gang))
    return fleet


def find_longest_wait_s(fleet: Fleet) -> float:
    """Return the longest wait in seconds of the arrays accepted over 90 s ago."""
    waits = []
    for job in fleet.jobs.values():
        if job.body["Shape"] == "array" and 0 <= job.accepted_at < fleet.now - 90.0:
            started_at = job.first_started_at if job.first_started_at >= 0 else fleet.now
            waits.append(started_at - job.accepted_at)
    assert len(waits) > 100
    return max(waits)


def test_the_limit_is_kept_for_a_gang_until_its_machines_are_there() -> None:
    """Without the reservation small jobs of the team would delay the gang for ever."""
    fleet = start_crowded_fleet(replicas=6, pieces=2)
    fleet.run(290.0)
    gang = fleet.jobs["job-500901"]
    assert 180.0 < gang.first_started_at - gang.accepted_at < 270.0
    assert find_longest_wait_s(fleet) < 90.0


def test_the_limit_is_not_kept_for_a_gang_that_replicas_keep_out() -> None:
    """Replicas end only on their user's request, and small jobs must not wait for that."""
    fleet = start_crowded_fleet(replicas=22, pieces=1)
    fleet.run(330.0)
    assert fleet.jobs["job-500901"].first_started_at < 0
    assert find_longest_wait_s(fleet) < 60.0


def test_machines_are_not_reserved_for_a_gang_that_can_never_have_them() -> None:
    """The cloud has no more machines, and replicas use a part of each; arrays still fit.

    Reserving machines for the gangs made arrays wait for more than four minutes.
    """
    teams = [{"name": "blue", "gpus": 0.0, "gpus_max": 200.0}]
    fleet = Fleet(81, capacity=80, teams=teams)
    service = {"Shape": "standing", "Rank": "prod", "Pieces": 40, "Vcpus": 10.0}
    submit_job(fleet, 900, ENDLESS_RUN_S, Loaners=False, **service)
    fleet.run(40.0)
    assert len(fleet.placed_tasks) == len(fleet.workers) == 40
    gang = {"Shape": "ensemble", "Rank": "urgent", "Pieces": 14, "Vcpus": 16.0, "Together": True}
    for number in range(3):
        submit_job(fleet, 901 + number, 20.0, Accelerators=2.0, Loaners=False, **gang)
    for number in range(120):
        array = partial(submit_job, fleet, number, 20.0, Vcpus=4.0, Loaners=False)
        fleet.after(10.0 + number, array)
    fleet.run(260.0)
    assert find_longest_wait_s(fleet) < 60.0
