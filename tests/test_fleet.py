"""Concurrent faults in a simulated cell of hundreds of machines.

Each seed draws its own run: jobs of all kinds, and every kind of fault at random times until
`FAULTS_END_AT_S`. Every rule of the protocol is checked at every step. At the end no job may be
lost: each job that was accepted and not cancelled has run or has ended, and its polls were
answered in the last 20 s.
"""

from collections.abc import Callable

import pytest

from tests.fleet import NODES, ZONES, Fleet, RuleBrokenError

FAULTS_END_AT_S = 70.0
RUN_END_AT_S = 260.0  # machines are freed for a large job once it has waited 180 s
MACHINE_COUNT = 240
TEAMS = [
    {"name": "red", "gpus": 60.0, "gpus_max": 160.0},
    {"name": "blue", "gpus": 60.0, "gpus_max": 200.0},
]


def submit_jobs(fleet: Fleet, count: int = 80) -> None:
    """Submits gangs of up to 24 whole machines, arrays and services at random times."""
    rng = fleet.rng
    for number in range(count):
        name = f"job-{number}"
        submitted_at = 0.0 if number < 0.3 * count else rng.uniform(0.0, FAULTS_END_AT_S)
        cancel_after_s = rng.uniform(5.0, 60.0) if rng.random() < 0.15 else None
        team = rng.choice(["red", "blue"])
        image = f"img-{rng.randrange(6)}"
        kind_draw = rng.random()
        if kind_draw < 0.4:
            fields = {
                "Shape": "ensemble", "Rank": "urgent", "Pieces": rng.choice([1, 2, 4, 8, 24]),
                "Together": True, "Vcpus": 16.0, "Accelerators": 2.0,
            }  # fmt: skip
        elif kind_draw < 0.88:
            fields = {"Pieces": rng.randrange(1, 40), "Loaners": True}
        else:
            fields = {"Shape": "standing", "Rank": "prod", "Pieces": rng.choice([2, 4, 8])}
            fields |= {"Apart": True, "Vcpus": 5.0}
        fields |= {"Owner": team, "Bundle": image}
        run_s = rng.uniform(5.0, 30.0) if kind_draw < 0.88 else 1e6
        fleet.after(
            submitted_at,
            lambda n=name, f=fields, r=run_s, c=cancel_after_s: fleet.submit(n, r, c, **f),  # type: ignore[misc]
        )


def crash_controllers(fleet: Fleet) -> None:
    """Ends one, several or all controllers; each restarts after 0.1 s to 4 s."""
    count = fleet.rng.choice([1, 1, 2, NODES])
    for node in fleet.rng.sample(fleet.nodes, count):
        if node.up:
            node.stop()
            fleet.after(fleet.rng.choice([0.1, 0.3, 4.0]), node.start)


def fail_state_service(fleet: Fleet) -> None:
    """Makes the state service unavailable to all controllers."""
    fleet.outage_until = fleet.now + fleet.rng.uniform(3.0, 14.0)


def refuse_state_service(fleet: Fleet) -> None:
    """Makes the state service unavailable to one controller."""
    fleet.rng.choice(fleet.nodes).refused_until = fleet.now + fleet.rng.uniform(3.0, 20.0)


def disconnect_controller_except_workers(fleet: Fleet) -> None:
    """Disconnects a controller from the state service, cloud and siblings, not from its workers."""
    fleet.rng.choice(fleet.nodes).cut_until = fleet.now + fleet.rng.uniform(5.0, 30.0)


def refuse_peer_connections(fleet: Fleet) -> None:
    """Cuts all connections between controllers."""
    fleet.peers_refused_until = fleet.now + fleet.rng.uniform(3.0, 15.0)


def lose_worker_responses(fleet: Fleet) -> None:
    """Lets reports of some workers arrive, but drops all responses and commands to them."""
    for worker in fleet.rng.sample(list(fleet.workers.values()), min(6, len(fleet.workers))):
        worker.responses_lost_until = fleet.now + fleet.rng.uniform(5.0, 60.0)


def cut_off_workers(fleet: Fleet) -> None:
    """Disconnects some workers from all controllers."""
    for worker in fleet.rng.sample(list(fleet.workers.values()), min(20, len(fleet.workers))):
        worker.cut_until = fleet.now + fleet.rng.uniform(2.0, 25.0)


def preempt_machines(fleet: Fleet, count: int = 15) -> None:
    """Takes machines away without notice, all at the same time."""
    for worker in fleet.rng.sample(list(fleet.workers.values()), min(count, len(fleet.workers))):
        if not worker.gone:
            worker.kill()
            fleet.capacity[(worker.zone, worker.spot)] += 1


def fail_cloud(fleet: Fleet) -> None:
    """Makes the cloud interface unavailable."""
    fleet.cloud_down_until = fleet.now + fleet.rng.uniform(3.0, 15.0)


FAULTS: list[Callable[[Fleet], None]] = [
    crash_controllers, crash_controllers, fail_state_service, refuse_state_service,
    disconnect_controller_except_workers, refuse_peer_connections, lose_worker_responses,
    cut_off_workers, preempt_machines, fail_cloud,
]  # fmt: skip


def cut_off_zone(fleet: Fleet) -> None:
    """Disconnects a zone from all others; its reports arrive late, all at the same time."""
    fleet.cut_zone, fleet.zone_cut_until = ZONES[1], fleet.now + fleet.rng.uniform(15.0, 30.0)
    for node in fleet.nodes:
        if node.zone == fleet.cut_zone:
            node.cut_until = fleet.zone_cut_until


def freeze_controller(fleet: Fleet) -> None:
    """Stops a controller for a time while its clocks go on."""
    node = fleet.rng.choice(fleet.nodes)
    node.frozen_until = fleet.now + fleet.rng.uniform(3.0, 20.0)


def hang_workers(fleet: Fleet) -> None:
    """Stops many workers for less or more than their lease; then they continue."""
    for worker in fleet.rng.sample(list(fleet.workers.values()), min(60, len(fleet.workers))):
        worker.hung_until = fleet.now + fleet.rng.uniform(2.0, 22.0)


def preempt_many_machines(fleet: Fleet) -> None:
    """Takes 60 machines away at the same time."""
    preempt_machines(fleet, 60)


def fail_state_service_and_controllers(fleet: Fleet) -> None:
    """Fails the state service and then ends all controllers; some restart after 0.1 s."""
    fail_state_service(fleet)
    for node in fleet.nodes:
        if node.up:
            node.stop()
            fleet.after(fleet.rng.choice([0.1, 4.0]), node.start)


def end_faults(fleet: Fleet) -> None:
    """Ends all faults; machines that were taken away stay so."""
    fleet.lost_commits = fleet.duplicate_share = 0.0
    fleet.outage_until = fleet.cloud_down_until = fleet.peers_refused_until = 0.0
    fleet.zone_cut_until = 0.0
    for node in fleet.nodes:
        node.refused_until = node.cut_until = 0.0
        node.frozen_until = min(node.frozen_until, fleet.now)
    for worker in fleet.workers.values():
        worker.cut_until = min(worker.cut_until, fleet.now)
        worker.responses_lost_until = min(worker.responses_lost_until, fleet.now)
        worker.hung_until = min(worker.hung_until, fleet.now)


LARGE_FLEET_FAULTS: list[tuple[float, Callable[[Fleet], None]]] = [
    (18.0, freeze_controller), (20.0, preempt_many_machines), (22.0, hang_workers),
    (26.0, cut_off_zone), (30.0, crash_controllers), (33.0, lose_worker_responses),
    (40.0, refuse_peer_connections), (44.0, preempt_many_machines),
    (46.0, disconnect_controller_except_workers), (48.0, freeze_controller), (50.0, hang_workers),
    (52.0, fail_state_service_and_controllers), (56.5, crash_controllers),
    (60.0, preempt_many_machines),
]  # fmt: skip


@pytest.mark.parametrize("seed", [1, 2, 109])
def test_troubles_together(seed: int) -> None:
    """Faults that are handled well alone must not lose jobs or break rules in combination."""
    run_with_faults(seed)


def test_a_far_larger_fleet() -> None:
    """900 machines, of which many fail at the same time."""
    fleet = run_with_faults(
        9, machine_count=900, job_count=220, end_at=170.0, fixed_faults=LARGE_FLEET_FAULTS
    )
    assert len(fleet.workers) > 700


def run_with_faults(
    seed: int,
    machine_count: int = MACHINE_COUNT,
    job_count: int = 80,
    end_at: float = RUN_END_AT_S,
    fixed_faults: list[tuple[float, Callable[[Fleet], None]]] | None = None,
) -> Fleet:
    """Runs a simulated cell with jobs and faults and checks it at the end.

    Args:
        seed: seed of all random choices.
        machine_count: machines that the cloud can rent out.
        job_count: jobs to submit.
        end_at: simulated time of the end, in seconds.
        fixed_faults: times and faults; drawn from the seed if None.
    """
    team_scale = machine_count / MACHINE_COUNT
    teams = [t | {k: float(t[k]) * team_scale for k in ("gpus", "gpus_max")} for t in TEAMS]  # type: ignore[arg-type]
    fleet = Fleet(seed, capacity=machine_count, teams=teams)
    fleet.lost_commits, fleet.duplicate_share = 0.02, 0.05
    submit_jobs(fleet, job_count)
    faults = fixed_faults or [
        (fleet.rng.uniform(10.0, FAULTS_END_AT_S - 2.0), fleet.rng.choice(FAULTS))
        for _ in range(fleet.rng.randrange(6, 14))
    ]
    for fault_at, fault in faults:
        fleet.after(fault_at, lambda f=fault: f(fleet))  # type: ignore[misc]
    fleet.after(FAULTS_END_AT_S, lambda: end_faults(fleet))
    fleet.run(end_at)
    check_no_job_lost(fleet)
    assert len(fleet.workers) > 100
    assert {w.zone for w in fleet.workers.values()} == set(ZONES)
    return fleet


def check_no_job_lost(fleet: Fleet) -> None:
    """Raises `RuleBrokenError` for a job that never ran or whose polls got no answer for 20 s."""
    for job in fleet.jobs.values():
        if job.has_ended():
            continue
        if fleet.now - job.answered_at > 20.0:
            raise RuleBrokenError(f"{job.name}: no poll was answered since {job.answered_at:.1f}")
        if job.first_started_at < 0:
            raise RuleBrokenError(f"{job.name}: has never run")
