"""Handover of jobs between simulated cells, under failures that could lose or double them.

Each test causes a failure and asserts that it occurred. The simulated world checks the
protocol's invariants across all cells, at every task start and every answer.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from coursefold.storage.cell_records import DelegationStage, GuestStage
from tests.cells_world import NAMES, TIMING, CellFleet, CellsWorld

GRANT_S = 12.0
SETTLE_S = 3.0
# Until the jobs of a lost cell are home again: the grant, the workers' lease and the margins.
RETURN_LIMIT_S = GRANT_S + TIMING["lease_s"] + 8.0
END_LIMIT_S = 260.0


def overloaded_world(
    seed: int = 1, jobs: int = 20, run_s: float = 20.0, **fields: Any
) -> CellsWorld:
    """Return a world after 5 s in which east has more work than machines.

    East has twelve machines and, by default, work for eighty (20 arrays that take four whole
    machines each); the other cells are empty.
    """
    world = CellsWorld(seed, grant_s=GRANT_S, **fields)
    world.run(5.0)
    world.submit_many("east", jobs, run_s)
    return world


def find_guest_cell(world: CellsWorld, stage: GuestStage) -> CellFleet | None:
    """Return a cell that has a guest in this stage, or None."""
    other_cells = (world[name] for name in NAMES[1:])
    return next((fleet for fleet in other_cells if stage in fleet.guests().values()), None)


def run_until_guest(world: CellsWorld, stage: GuestStage) -> CellFleet:
    """Run until a cell other than east has a guest in this stage, and return it."""
    world.run_until(lambda: find_guest_cell(world, stage) is not None, 60.0)
    fleet = find_guest_cell(world, stage)
    assert fleet is not None
    return fleet


def count_guest_tasks(world: CellsWorld) -> int:
    """Return how many tasks run on the machines of cells other than east."""
    east_workers = set(world["east"].workers.values())
    return sum(worker not in east_workers for worker, _ in world.placed_tasks.values())


def assert_all_end(world: CellsWorld) -> None:
    """Run until every job has ended, once, and no trace of a handover is left."""
    world.run_until(lambda: not world.unfinished(), END_LIMIT_S)
    assert all(job.complete() for job in world.jobs.values() if job.told_status == "done")
    remaining_cells = [name for name in NAMES if not world[name].vanished]
    world.run_until(lambda: not any(world[name].guests() for name in remaining_cells), END_LIMIT_S)
    assert not any(world[name].stages_away() for name in remaining_cells)


def test_an_overloaded_cell_spills_jobs_and_polls_name_the_guest_cell() -> None:
    """Guards against jobs that wait in a full cell while others are empty.

    Also guards against polls that hide from users in which cell their jobs are.
    """
    world = overloaded_world()
    run_until_guest(world, GuestStage.GRANTED)
    delegated = [name for name, stage in world["east"].stages_away().items()]
    answers: list[Any] = []
    for node in range(3):
        world["east"].request(
            node, lambda core, ticket: core.poll(delegated[0], ticket), answers.append, lambda: True
        )
    world.run(world.now + 2.0)
    assert len(answers) == 3
    for answer in answers:
        assert answer.status == 200
        assert "expected wait here" in answer.body["why"]
        assert any(f"in cell {name}" in answer.body["why"] for name in ("north", "west"))
    leader = world["east"].leader()
    assert leader is not None
    cells_health = leader.core.health_status()["cells"]
    assert set(delegated) & {moved["job"] for moved in cells_health["moved"]}
    assert any(
        line["line"].startswith(f"grant {delegated[0]}, cell") for line in cells_health["decisions"]
    )
    assert_all_end(world)
    assert world.count("finished") >= 3
    assert world.count("finished") == world.count("granted")


def test_a_cell_with_enough_machines_offers_no_job() -> None:
    """Guards against moves that gain nothing because home can rent enough machines itself."""
    world = overloaded_world(capacity={"east": 120})
    assert_all_end(world)
    assert world.count("offered") == 0


@pytest.mark.parametrize("stage", [GuestStage.RESERVED, GuestStage.GRANTED])
def test_jobs_of_a_vanished_guest_cell_return_home_and_run_once(stage: GuestStage) -> None:
    """Guards against jobs that are lost with their guest cell or run twice.

    Before the grant a job may return at once; afterwards only once its grant must have expired.
    """
    world = overloaded_world()
    fleet = run_until_guest(world, stage)
    names = [name for name, at in fleet.guests().items() if at == stage]
    fleet.vanish()
    assert_all_end(world)
    assert names
    assert world.count("returned") >= len(names)


def test_an_offer_to_a_vanished_cell_is_withdrawn() -> None:
    """Guards against jobs that wait for ever for the answer of a cell that has vanished."""
    world = overloaded_world()
    offered = DelegationStage.OFFERED
    world.run_until(lambda: offered in world["east"].stages_away().values(), 60.0)
    offered_cells = {
        job.delegation.guest_cell
        for job in world["east"].records().values()
        if job.is_delegated and job.delegation
    }
    for name in offered_cells:
        assert not world[name].guests()
        world[name].vanish()
    assert_all_end(world)
    assert world.count("unanswered") >= 1


def test_a_half_done_array_is_completed_at_home_after_its_cell_vanishes() -> None:
    """Guards against arrays that are lost, or taken back while their tasks may still run.

    Tasks whose completion was not reported are repeated, as with a lost machine; no others are.
    """
    world = overloaded_world(run_s=30.0)
    run_until_guest(world, GuestStage.GRANTED)

    def half_done(fleet: CellFleet) -> list[str]:
        return [name for name in fleet.guests() if 0 < len(world.jobs[name].done) < 4]

    world.run_until(lambda: any(half_done(world[name]) for name in ("north", "west")), 90.0)
    fleet = next(world[name] for name in ("north", "west") if half_done(world[name]))
    half_done_names = half_done(fleet)
    fleet.vanish()
    world.run(world.now + GRANT_S)
    assert set(half_done_names) <= world["east"].away_at(fleet.name)  # the grant may still be valid
    world.run_until(
        lambda: not set(half_done_names) & world["east"].away_at(fleet.name), RETURN_LIMIT_S
    )
    assert_all_end(world)
    assert world.count("lost") >= len(half_done_names)


def test_a_job_whose_cell_vanishes_before_it_reports_the_end_is_repeated() -> None:
    """Guards against jobs that never end because their completion was not reported.

    The cell vanishes after the last task has ended and before its next frame to home.
    """
    world = overloaded_world()
    run_until_guest(world, GuestStage.GRANTED)

    def finished_unreported(fleet: CellFleet) -> list[str]:
        return [
            name
            for name in fleet.guests()
            if world.jobs[name].complete() and not world.jobs[name].has_ended()
        ]

    world.run_until(
        lambda: any(finished_unreported(world[name]) for name in ("north", "west")), 90.0
    )
    fleet = next(world[name] for name in ("north", "west") if finished_unreported(world[name]))
    names = finished_unreported(fleet)
    fleet.vanish()
    assert_all_end(world)
    assert all(world.jobs[name].told_status == "done" for name in names)
    assert world.count("lost") >= len(names)


def test_guests_stop_and_return_when_the_state_service_of_home_fails() -> None:
    """Guards against guests that run on without a grant while home can write nothing.

    Home renews no grant meanwhile, so the guest cells stop the jobs in time and return them.
    """
    world = overloaded_world(run_s=60.0)
    run_until_guest(world, GuestStage.GRANTED)
    world.run_until(lambda: count_guest_tasks(world) >= 4, 60.0)
    world["east"].outage_until = world.now + 60.0
    world.run(world.now + GRANT_S + TIMING["lease_s"] + 1.0)
    assert count_guest_tasks(world) == 0
    assert_all_end(world)
    assert world.count("returned") >= 1


def test_guests_of_a_vanished_home_cell_stop_when_the_grant_expires() -> None:
    """Guards against guests that run on after their home cell has vanished."""
    world = overloaded_world(run_s=200.0)
    run_until_guest(world, GuestStage.GRANTED)
    world.run_until(lambda: count_guest_tasks(world) >= 4, 60.0)
    world["east"].vanish()
    world.run(world.now + GRANT_S + TIMING["lease_s"] + 1.0)
    assert count_guest_tasks(world) == 0
    world.run(world.now + 10.0)
    for name in ("north", "west"):
        # Kept until the home cell or an operator allows the deletion.
        assert set(world[name].guests().values()) <= {GuestStage.RELEASED}


def test_guests_stop_when_the_grant_expires_without_a_state_service() -> None:
    """Guards against guests that outlive their grant because their cell can write nothing.

    Its controllers keep renewing the leases of the workers for long after the grant has expired.
    """
    world = overloaded_world(run_s=200.0)
    fleet = run_until_guest(world, GuestStage.GRANTED)
    world.run_until(lambda: count_guest_tasks(world) >= 4, 60.0)
    for name in ("north", "west"):
        world.cut_links("east", name, 1e9)
        world[name].outage_until = world.now + 100.0
    world.run(world.now + GRANT_S + TIMING["lease_s"] + 1.0)
    assert count_guest_tasks(world) == 0
    assert fleet.leader() is None  # no leader could stop the guests


@pytest.mark.parametrize("stage", [GuestStage.RESERVED, GuestStage.GRANTED, GuestStage.FINISHED])
@pytest.mark.parametrize("side", ["home", "guest"])
def test_a_handover_continues_after_its_leader_is_replaced(stage: GuestStage, side: str) -> None:
    """Guards against handovers that stop half way.

    The leader of the home or the guest cell ends at one of the stages; its successor goes on.
    """
    world = overloaded_world()
    fleet = run_until_guest(world, stage)
    node = (world["east"] if side == "home" else fleet).leader()
    assert node is not None
    node.stop()
    world.run(world.now + 4.0)
    assert world["east"].leader() is not None
    node.start()
    assert_all_end(world)


def test_a_delayed_reservation_has_no_effect_after_the_offer_was_withdrawn() -> None:
    """Guards against a job that is granted to two cells.

    North's frames are cut off while it reserves the job, and arrive after home has withdrawn the
    offer and could offer the job to west.
    """
    world = overloaded_world(capacity={"west": 0, "north": 60})
    world.cut_until[("north", "east")] = (
        1e9  # cleared at once: frames have to arrive until the offer
    )
    world.cut_until.clear()
    world.run_until(lambda: world["east"].stages_away() != {}, 60.0)
    world.cut_until[("north", "east")] = world.now + 25.0
    world.run_until(lambda: GuestStage.RESERVED in world["north"].guests().values(), 5.0)
    names = set(world["north"].guests())
    world.run(world.now + 8.0)
    assert not names & world["east"].away_at("north")  # returned home: no answer arrived
    assert_all_end(world)
    assert world.count("unanswered") >= len(names)


def test_duplicate_delayed_and_reordered_frames_have_no_effect() -> None:
    """Guards against outdated frames that undo or repeat a step of a handover."""
    world = overloaded_world(seed=3)
    world.duplicate_share, world.slow_share = 0.3, 0.2
    assert_all_end(world)
    assert world.duplicate_count > 50
    assert world.count("finished") >= 3


@pytest.mark.parametrize("frames_of_home_cut", [True, False])
def test_jobs_return_home_when_a_link_fails_in_one_direction(frames_of_home_cut: bool) -> None:
    """Guards against guests kept for ever by a cell that is reachable in one direction only.

    Either frames from home arrive and no answer gets back, or the reverse.
    """
    world = overloaded_world(run_s=40.0)
    fleet = run_until_guest(world, GuestStage.GRANTED)
    names = set(fleet.guests())
    sender, recipient = ("east", fleet.name) if frames_of_home_cut else (fleet.name, "east")
    world.cut_until[(sender, recipient)] = world.now + 50.0
    world.run_until(lambda: not names & world["east"].away_at(fleet.name), 50.0)
    assert_all_end(world)
    assert world.count("returned") >= len(names)


def test_jobs_of_a_cell_that_stalls_past_its_grant_run_once() -> None:
    """Guards against tasks that run twice.

    All controllers of the guest cell stall until home has taken the jobs back, then continue.
    """
    world = overloaded_world(run_s=60.0)
    fleet = run_until_guest(world, GuestStage.GRANTED)
    world.run_until(lambda: count_guest_tasks(world) >= 2, 60.0)
    names = set(fleet.guests())
    stall_s = GRANT_S + TIMING["lease_s"] + 15.0
    for node in fleet.nodes:
        node.frozen_until = world.now + stall_s
    world.run(world.now + stall_s - 1.0)
    assert not names & world["east"].away_at(fleet.name)  # returned home during the stall
    assert_all_end(world)
    assert world.count("lost") >= len(names)


def handover_steps() -> list[tuple[str, Callable[[CellsWorld], bool]]]:
    """Return the name and the test of each handover step at which a job is cancelled."""
    return [
        ("offered", lambda world: DelegationStage.OFFERED in world["east"].stages_away().values()),
        ("reserved", lambda world: find_guest_cell(world, GuestStage.RESERVED) is not None),
        ("granted", lambda world: DelegationStage.GRANTED in world["east"].stages_away().values()),
        ("running", lambda world: DelegationStage.RUNNING in world["east"].stages_away().values()),
        ("finished", lambda world: find_guest_cell(world, GuestStage.FINISHED) is not None),
    ]


@pytest.mark.parametrize("reachable", [True, False], ids=["reachable", "cut off"])
@pytest.mark.parametrize("step", range(5))
def test_a_delegated_job_that_is_cancelled_stops_within_cancel_s(
    step: int, reachable: bool
) -> None:
    """Guards against tasks that run on in another cell after a confirmed cancellation.

    The cancellation comes at each handover step, also while the guest cell is unreachable.
    The world checks `cancel_s` after each confirmation that no task is left.
    """
    world = overloaded_world(run_s=30.0 if step < 4 else 10.0)
    _, is_reached = handover_steps()[step]
    world.run_until(lambda: is_reached(world), 90.0)
    delegated = set(world["east"].stages_away())
    if not reachable:
        for name in ("north", "west"):
            world.cut_links("east", name, 100.0)
    for name in delegated:
        world["east"].cancel_job(world.jobs[name], world["east"].nodes[0])
    world.run(world.now + 2.0)
    assert delegated
    assert all(world.jobs[name].told_status in ("cancelled", "done") for name in delegated)
    world.run(world.now + TIMING["cancel_s"] + 1.0)
    assert not {task.job.name for _, task in world.placed_tasks.values()} & delegated
    assert_all_end(world)


def test_a_grant_is_not_renewed_past_an_undelivered_cancellation() -> None:
    """Guards against a grant that is renewed for a cancelled job.

    The guest cell is cut off just after the cancellation and must stop within `cancel_s`.
    """
    world = overloaded_world(run_s=100.0)
    fleet = run_until_guest(world, GuestStage.GRANTED)
    world.run_until(lambda: count_guest_tasks(world) >= 4, 60.0)
    name = next(iter(fleet.guests()))
    world["east"].cancel_job(world.jobs[name], world["east"].nodes[1])
    world.run_until(lambda: world.jobs[name].told_status == "cancelled", 3.0)
    world.cut_until[("east", fleet.name)] = 1e9
    cancelled_at = world.now
    world.run(cancelled_at + GRANT_S + TIMING["lease_s"] + 2.0)
    assert name not in {task.job.name for _, task in world.placed_tasks.values()}
    assert world.now - cancelled_at < TIMING["cancel_s"]


def test_jobs_do_not_circulate_when_every_cell_is_full() -> None:
    """Guards against jobs that are passed from cell to cell without ever running.

    A job may move once towards a shorter queue; it must not move in circles.
    """
    world = CellsWorld(2, capacity=dict.fromkeys(NAMES, 8), grant_s=GRANT_S)
    world.run(5.0)
    for cell_index, cell in enumerate(NAMES):
        world.submit_many(cell, 14, 20.0, first=100 * cell_index)
    world.run(world.now + 60.0)
    early_offers = world.count("offered")
    for fleet in world.fleets.values():
        node = fleet.leader()
        assert node is not None
        waiting = list(node.core.view.waiting_jobs)
        assert waiting
        assert all(node.core.leader.waiting_reasons.get(name) for name in waiting)
        for record in fleet.records().values():
            # No guest is delegated further.
            assert record.guest is None or record.delegation is None
    epochs = [
        record.delegation.epoch
        for fleet in world.fleets.values()
        for record in fleet.records().values()
        if record.delegation
    ]
    assert_all_end(world)
    # In the first seconds every cell still expects to rent further machines.
    assert world.count("granted") <= 42 / 3
    assert world.count("offered") - early_offers <= 4
    assert max(epochs, default=0) <= 2  # at most once to each other cell


def test_a_cell_that_becomes_empty_is_offered_a_few_jobs_at_a_time() -> None:
    """Guards against one cell that attracts all waiting jobs.

    Its reported free slots lag behind, so at most 8 offers to it may be unanswered.
    """
    world = overloaded_world(jobs=60, capacity={"west": 0, "north": 0})
    # Both expect to rent machines until their cloud has refused.
    world.run(world.now + 90.0)
    assert not any(world[name].guests() for name in ("north", "west"))
    assert world.count("returned") >= 1
    world["north"].capacity = dict.fromkeys(world["north"].capacity, 40)
    max_open_offers = 0
    for _ in range(200):
        world.run(world.now + 0.5)
        open_offers = list(world["east"].stages_away().values()).count(DelegationStage.OFFERED)
        max_open_offers = max(max_open_offers, open_offers)
    assert 1 <= max_open_offers <= 8
    assert len(world["east"].stages_away()) < 30
    assert_all_end(world)


def test_a_cell_with_guests_does_not_offer_its_own_jobs() -> None:
    """Guards against two full cells that exchange their jobs.

    The exchanged jobs would then wait behind the other cell's own jobs.
    """
    world = overloaded_world(jobs=30, run_s=40.0, capacity={"north": 16, "west": 0})
    world.run_until(lambda: GuestStage.GRANTED in world["north"].guests().values(), 60.0)
    world.submit_many("north", 12, 40.0, first=100)
    steps_with_both = 0
    while world["north"].guests() and world.now < 200.0:
        world.run(world.now + 0.5)
        steps_with_both += bool(world["north"].guests()) and bool(world["north"].records())
        open_offers = [
            name
            for name, stage in world["north"].stages_away().items()
            if stage == DelegationStage.OFFERED
        ]
        assert not (open_offers and set(world["north"].guests().values()) & {GuestStage.GRANTED})
    assert steps_with_both > 20
    assert_all_end(world)


def test_a_reservation_for_a_vanished_home_cell_is_removed() -> None:
    """Guards against slots that stay reserved for a home cell that never grants the job."""
    world = overloaded_world()
    fleet = run_until_guest(world, GuestStage.RESERVED)
    names = {name for name, at in fleet.guests().items() if at == GuestStage.RESERVED}
    world["east"].vanish()
    world.run(world.now + 40.0)
    assert names
    assert not names & set(fleet.guests())


def test_a_job_starts_after_prerequisites_that_ran_in_another_cell() -> None:
    """Guards against jobs that start before prerequisites in another cell are done, or never.

    The world checks at each start that all prerequisites of the job are done.
    """
    world = overloaded_world()
    run_until_guest(world, GuestStage.GRANTED)
    prerequisites = sorted(world["east"].stages_away())[:3]
    world["east"].submit("job-900", 5.0, Prereqs=prerequisites)
    world.run(world.now + 3.0)
    assert not any(world.jobs[name].has_ended() for name in prerequisites)
    assert_all_end(world)
    assert world.jobs["job-900"].told_status == "done"


def test_a_draining_cell_refuses_guests_and_makes_no_offers() -> None:
    """Guards against jobs that are handed over to or from a cell that operators drain."""
    world = overloaded_world(spill={"draining": True})
    world.run(world.now + 60.0)
    assert world.count("offered") == 0
    assert not any(fleet.guests() for fleet in world.fleets.values())


def test_nothing_is_offered_until_all_controllers_have_the_cells_file() -> None:
    """Guards against handover records that a controller of the cell does not look for.

    One of east's controllers has no cells file, so nothing may be written until it has one.
    """
    world = CellsWorld(1, grant_s=GRANT_S)
    world.without_file["east"] = {"n2"}
    world["east"].nodes[2].stop()
    world["east"].nodes[2].start()
    world.run(5.0)
    world.submit_many("east", 20, 20.0)
    world.run(40.0)
    assert world.count("offered") == 0
    assert all(node.core.view.format_level <= 1 for node in world["east"].nodes)
    world.without_file.clear()
    world["east"].nodes[2].stop()
    world["east"].nodes[2].start()
    assert_all_end(world)
    assert world.count("offered") >= 1


def test_a_cell_without_the_cells_file_gets_no_guests() -> None:
    """Guards against a cell without the file that keeps the others from exchanging jobs."""
    world = CellsWorld(1, grant_s=GRANT_S)
    world.without_file["north"] = {"n0", "n1", "n2"}
    for node in world["north"].nodes:
        node.stop()
        node.start()
    world["north"].cells_by_node.clear()
    world.run(5.0)
    world.submit_many("east", 20, 20.0)
    assert_all_end(world)
    assert not world["north"].guests()
    assert world.count("finished") >= 3


def test_a_job_that_waits_for_its_teams_limit_is_not_offered() -> None:
    """Guards against moves that gain nothing.

    The job counts against the limit elsewhere too; the world checks the limit over all cells.
    """
    teams = [{"name": "red", "gpus_max": 16.0}]
    world = CellsWorld(1, teams=teams, grant_s=GRANT_S)
    world.run(5.0)
    world.submit_many("east", 12, 20.0, Owner="red")
    assert_all_end(world)
    assert world.count("offered") == 0


def test_a_job_of_a_team_unknown_elsewhere_stays_with_the_reason() -> None:
    """Guards against jobs that run outside their limits in a cell that does not know their team."""
    other_teams = [{"name": "red", "gpus_max": 16.0}]
    world = overloaded_world(teams_of={"north": other_teams, "west": other_teams})
    world.run(world.now + 30.0)
    assert world.count("refused") >= 1
    reasons = [
        record.delegation.why for record in world["east"].records().values() if record.delegation
    ]
    assert any("team blue is not known here" in why for why in reasons)
    assert not any(world[name].guests() for name in ("north", "west"))
    assert_all_end(world)


def test_polls_and_cancellations_of_a_guest_name_its_home_cell() -> None:
    """Guards against two cells that answer for one job.

    Only home can confirm a status or a cancellation; the guest cell answers 404 and names it.
    """
    world = overloaded_world()
    fleet = run_until_guest(world, GuestStage.GRANTED)
    name = next(iter(fleet.guests()))
    answers: list[Any] = []
    fleet.request(0, lambda core, ticket: core.poll(name, ticket), answers.append, lambda: True)
    fleet.request(0, lambda core, ticket: core.cancel(name, ticket), answers.append, lambda: True)
    world.run(world.now + 2.0)
    assert [answer.status for answer in answers] == [404, 404]
    assert all("cell east" in answer.body["error"] for answer in answers)
    assert_all_end(world)


def inject_fault(world: CellsWorld) -> None:
    """Inject a random fault of one kind between or in cells."""
    rng = world.rng
    fleet = world[rng.choice(NAMES)]
    first_cell, second_cell = rng.sample(NAMES, 2)
    kind = rng.randrange(8)
    if kind == 0:
        world.cut_links(first_cell, second_cell, rng.uniform(2.0, 40.0), both=rng.random() < 0.5)
    elif kind == 1:
        node = rng.choice(fleet.nodes)
        if node.up:
            node.stop()
            fleet.after(rng.choice([0.1, 0.3, 4.0]), node.start)
    elif kind == 2:
        fleet.outage_until = world.now + rng.uniform(3.0, 30.0)
    elif kind == 3:
        for node in fleet.nodes:
            node.frozen_until = world.now + rng.uniform(3.0, 30.0)
    elif kind == 4:
        rng.choice(fleet.nodes).refused_until = world.now + rng.uniform(3.0, 20.0)
    elif kind == 5:
        for worker in rng.sample(list(fleet.workers.values()), min(6, len(fleet.workers))):
            worker.hung_until = world.now + rng.uniform(2.0, 22.0)
    elif kind == 6:
        for worker in rng.sample(list(fleet.workers.values()), min(4, len(fleet.workers))):
            worker.cut_until = world.now + rng.uniform(2.0, 25.0)
    else:
        fleet.lost_commits = rng.choice([0.0, 0.1, 0.3])


@pytest.mark.parametrize("seed", range(6))
def test_drawn_days_with_all_troubles(seed: int) -> None:
    """Guards against handovers that random faults lose or double.

    Each job ends once, none runs on two machines, and no poll goes back to an earlier status.
    """
    world = CellsWorld(seed + 20, grant_s=GRANT_S)
    world.duplicate_share, world.slow_share = 0.1, 0.1
    rng = world.rng
    for number in range(36):
        fields: dict[str, Any] = {"Pieces": rng.choice([1, 2, 4]), "Vcpus": 16.0}
        fields |= {"Accelerators": 2.0, "Loaners": True, "ImageGb": 1.0}
        if rng.random() < 0.3:
            fields |= {"Shape": "ensemble", "Together": True}
        cancel_after_s = rng.uniform(10.0, 60.0) if rng.random() < 0.25 else None
        run_s = rng.uniform(10.0, 40.0)
        submit = partial(world["east"].submit, f"job-{number}", run_s, cancel_after_s, **fields)
        world["east"].after(rng.uniform(4.0, 50.0), submit)
    for _ in range(12):
        world.run(world.now + rng.uniform(2.0, 10.0))
        inject_fault(world)
    vanishing_cell = world[rng.choice(NAMES[1:])] if seed % 2 else None
    if vanishing_cell is not None:
        vanishing_cell.vanish()
    world.run(max(world.now, 60.0))
    for fleet in world.fleets.values():
        fleet.lost_commits = 0.0
    assert world.count("offered") + world.frame_count > 0
    assert_all_end(world)
    assert len(world.jobs) == 36
