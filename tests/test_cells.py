"""Jobs that spill between cells, and the failures that could lose or double them.

Each test makes its failure happen and asserts that it did. The world checks the protocol's
rules at every start and answer, across all cells.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from coursefold.storage.cell_records import DelegationStage, GuestStage
from tests.cells_world import NAMES, TIMING, CellFleet, CellsWorld

GRANT_S = 12.0
SETTLE_S = 3.0
# Until a lost cell's jobs are home again: the grant, the workers' lease, and the margins.
LOST_S = GRANT_S + TIMING["lease_s"] + 8.0
MOST_S = 260.0


def overloaded(seed: int = 1, jobs: int = 20, run_s: float = 20.0, **fields: Any) -> CellsWorld:
    """East has twelve machines and work for eighty; the others are empty."""
    world = CellsWorld(seed, grant_s=GRANT_S, **fields)
    world.run(5.0)
    world.submit_many("east", jobs, run_s)
    return world


def guest_cell(world: CellsWorld, stage: GuestStage) -> CellFleet | None:
    """A cell that has a guest in this stage."""
    found = (world[name] for name in NAMES[1:])
    return next((fleet for fleet in found if stage in fleet.guests().values()), None)


def reach(world: CellsWorld, stage: GuestStage) -> CellFleet:
    """Run until a cell has a guest in this stage."""
    world.run_until(lambda: guest_cell(world, stage) is not None, 60.0)
    found = guest_cell(world, stage)
    assert found is not None
    return found


def guests_running(world: CellsWorld) -> int:
    """Tasks of east's jobs on other cells' machines."""
    east = set(world["east"].workers.values())
    return sum(worker not in east for worker, _ in world.placed_tasks.values())


def all_end(world: CellsWorld) -> None:
    """Every job ends, once, and nothing of a handover is left over."""
    world.run_until(lambda: not world.unfinished(), MOST_S)
    assert all(job.complete() for job in world.jobs.values() if job.told_status == "done")
    left = [name for name in NAMES if not world[name].vanished]
    world.run_until(lambda: not any(world[name].guests() for name in left), MOST_S)
    assert not any(world[name].stages_away() for name in left)


def test_an_overloaded_cell_spills_and_its_users_are_told_where() -> None:
    world = overloaded()
    reach(world, GuestStage.GRANTED)
    away = [name for name, stage in world["east"].stages_away().items()]
    answers: list[Any] = []
    for node in range(3):
        world["east"].request(node, lambda c, t: c.poll(away[0], t), answers.append, lambda: True)
    world.run(world.now + 2.0)
    assert len(answers) == 3
    for answer in answers:
        assert answer.status == 200
        assert "expected wait here" in answer.body["why"]
        assert any(f"in cell {name}" in answer.body["why"] for name in ("north", "west"))
    leader = world["east"].leader()
    assert leader is not None
    shown = leader.core.health_status()["cells"]
    assert set(away) & {moved["job"] for moved in shown["moved"]}
    assert any(line["line"].startswith(f"grant {away[0]}, cell") for line in shown["decisions"])
    all_end(world)
    assert world.count("finished") >= 3
    assert world.count("finished") == world.count("granted")


def test_without_an_overload_nothing_is_moved() -> None:
    world = overloaded(capacity={"east": 120})
    all_end(world)
    assert world.count("offered") == 0


@pytest.mark.parametrize("stage", [GuestStage.RESERVED, GuestStage.GRANTED])
def test_a_guest_cell_that_vanishes_loses_no_job_and_runs_none_twice(stage: GuestStage) -> None:
    """Lost before the grant: back at once. After it: once no grant can hold any more."""
    world = overloaded()
    fleet = reach(world, stage)
    names = [name for name, at in fleet.guests().items() if at == stage]
    fleet.vanish()
    all_end(world)
    assert names
    assert world.count("returned") >= len(names)


def test_a_cell_that_vanishes_before_it_answers_an_offer() -> None:
    world = overloaded()
    offered = DelegationStage.OFFERED
    world.run_until(lambda: offered in world["east"].stages_away().values(), 60.0)
    targets = {
        j.delegation.guest_cell
        for j in world["east"].records().values()
        if j.is_delegated and j.delegation
    }
    for name in targets:
        assert not world[name].guests()
        world[name].vanish()
    all_end(world)
    assert world.count("unanswered") >= 1


def test_half_an_array_is_done_when_its_cell_vanishes() -> None:
    """What was done there unheard is repeated, as with a lost machine; nothing else is."""
    world = overloaded(run_s=30.0)
    reach(world, GuestStage.GRANTED)

    def half_done(fleet: CellFleet) -> list[str]:
        return [name for name in fleet.guests() if 0 < len(world.jobs[name].done) < 4]

    world.run_until(lambda: any(half_done(world[n]) for n in ("north", "west")), 90.0)
    fleet = next(world[name] for name in ("north", "west") if half_done(world[name]))
    halves = half_done(fleet)
    fleet.vanish()
    world.run(world.now + GRANT_S)
    assert set(halves) <= world["east"].away_at(fleet.name)  # no proof yet
    world.run_until(lambda: not set(halves) & world["east"].away_at(fleet.name), LOST_S)
    all_end(world)
    assert world.count("lost") >= len(halves)


def test_a_cell_vanishes_after_the_last_task_and_before_its_word() -> None:
    world = overloaded()
    reach(world, GuestStage.GRANTED)

    def finished_unheard(fleet: CellFleet) -> list[str]:
        return [
            n for n in fleet.guests() if world.jobs[n].complete() and not world.jobs[n].has_ended()
        ]

    world.run_until(lambda: any(finished_unheard(world[n]) for n in ("north", "west")), 90.0)
    fleet = next(world[name] for name in ("north", "west") if finished_unheard(world[name]))
    names = finished_unheard(fleet)
    fleet.vanish()
    all_end(world)
    assert all(world.jobs[name].told_status == "done" for name in names)
    assert world.count("lost") >= len(names)


def test_the_home_cell_loses_its_state_service_while_its_jobs_run_elsewhere() -> None:
    """No grant is renewed meanwhile, so the guests are stopped in time, and come back."""
    world = overloaded(run_s=60.0)
    reach(world, GuestStage.GRANTED)
    world.run_until(lambda: guests_running(world) >= 4, 60.0)
    world["east"].outage_until = world.now + 60.0
    world.run(world.now + GRANT_S + TIMING["lease_s"] + 1.0)
    assert guests_running(world) == 0
    all_end(world)
    assert world.count("returned") >= 1


def test_the_home_cell_vanishes_and_its_guests_end_with_the_grant() -> None:
    world = overloaded(run_s=200.0)
    reach(world, GuestStage.GRANTED)
    world.run_until(lambda: guests_running(world) >= 4, 60.0)
    world["east"].vanish()
    world.run(world.now + GRANT_S + TIMING["lease_s"] + 1.0)
    assert guests_running(world) == 0
    world.run(world.now + 10.0)
    for name in ("north", "west"):
        # Kept until the home cell, or an operator, says that it may go.
        assert set(world[name].guests().values()) <= {GuestStage.RELEASED}


def test_guests_end_with_the_grant_also_without_a_state_service() -> None:
    """Nobody can write anything then, and workers' leases are renewed for long after."""
    world = overloaded(run_s=200.0)
    fleet = reach(world, GuestStage.GRANTED)
    world.run_until(lambda: guests_running(world) >= 4, 60.0)
    for name in ("north", "west"):
        world.cut_links("east", name, 1e9)
        world[name].outage_until = world.now + 100.0
    world.run(world.now + GRANT_S + TIMING["lease_s"] + 1.0)
    assert guests_running(world) == 0
    assert fleet.leader() is None  # nobody could decide


@pytest.mark.parametrize("stage", [GuestStage.RESERVED, GuestStage.GRANTED, GuestStage.FINISHED])
@pytest.mark.parametrize("side", ["home", "guest"])
def test_a_leader_ends_at_each_step(stage: GuestStage, side: str) -> None:
    world = overloaded()
    fleet = reach(world, stage)
    node = (world["east"] if side == "home" else fleet).leader()
    assert node is not None
    node.stop()
    world.run(world.now + 4.0)
    assert world["east"].leader() is not None
    node.start()
    all_end(world)


def test_a_delayed_acceptance_comes_after_another_cell_was_granted() -> None:
    """North reserves and is not heard; the job goes to west, then north's word arrives."""
    world = overloaded(capacity={"west": 0, "north": 60})
    world.cut_until[("north", "east")] = 1e9  # heard until then only as far as offers need
    world.cut_until.clear()
    world.run_until(lambda: world["east"].stages_away() != {}, 60.0)
    world.cut_until[("north", "east")] = world.now + 25.0
    world.run_until(lambda: GuestStage.RESERVED in world["north"].guests().values(), 5.0)
    names = set(world["north"].guests())
    world.run(world.now + 8.0)
    assert not names & world["east"].away_at("north")  # taken back: no answer
    all_end(world)
    assert world.count("unanswered") >= len(names)


def test_copies_of_frames_late_and_in_another_order_change_nothing() -> None:
    world = overloaded(seed=3)
    world.duplicate_share, world.slow_share = 0.3, 0.2
    all_end(world)
    assert world.duplicate_count > 50
    assert world.count("finished") >= 3


@pytest.mark.parametrize("heard", [True, False])
def test_a_link_cut_in_one_direction(heard: bool) -> None:
    """A cell that is heard but does not hear, and one that hears but is not heard."""
    world = overloaded(run_s=40.0)
    fleet = reach(world, GuestStage.GRANTED)
    names = set(fleet.guests())
    one, other = ("east", fleet.name) if heard else (fleet.name, "east")
    world.cut_until[(one, other)] = world.now + 50.0
    world.run_until(lambda: not names & world["east"].away_at(fleet.name), 50.0)
    all_end(world)
    assert world.count("returned") >= len(names)


def test_a_cell_that_stalls_past_its_grant_and_goes_on() -> None:
    world = overloaded(run_s=60.0)
    fleet = reach(world, GuestStage.GRANTED)
    world.run_until(lambda: guests_running(world) >= 2, 60.0)
    names = set(fleet.guests())
    stall = GRANT_S + TIMING["lease_s"] + 15.0
    for node in fleet.nodes:
        node.frozen_until = world.now + stall
    world.run(world.now + stall - 1.0)
    assert not names & world["east"].away_at(fleet.name)  # taken back while it stood still
    all_end(world)
    assert world.count("lost") >= len(names)


def steps() -> list[tuple[str, Callable[[CellsWorld], bool]]]:
    """The steps of a handover at which a user may cancel."""
    return [
        ("offered", lambda w: DelegationStage.OFFERED in w["east"].stages_away().values()),
        ("reserved", lambda w: guest_cell(w, GuestStage.RESERVED) is not None),
        ("granted", lambda w: DelegationStage.GRANTED in w["east"].stages_away().values()),
        ("running", lambda w: DelegationStage.RUNNING in w["east"].stages_away().values()),
        ("finished", lambda w: guest_cell(w, GuestStage.FINISHED) is not None),
    ]


@pytest.mark.parametrize("reachable", [True, False], ids=["reachable", "cut off"])
@pytest.mark.parametrize("step", range(5))
def test_a_job_is_cancelled_at_home_at_each_step(step: int, reachable: bool) -> None:
    """Confirmed as ever, and gone within `cancel_s`, also where its cell can't be reached.

    The world checks at `cancel_s` after each confirmation that no task is left.
    """
    world = overloaded(run_s=30.0 if step < 4 else 10.0)
    _, reached = steps()[step]
    world.run_until(lambda: reached(world), 90.0)
    away = set(world["east"].stages_away())
    if not reachable:
        for name in ("north", "west"):
            world.cut_links("east", name, 100.0)
    for name in away:
        world["east"].cancel_job(world.jobs[name], world["east"].nodes[0])
    world.run(world.now + 2.0)
    assert away
    assert all(world.jobs[name].told_status in ("cancelled", "done") for name in away)
    world.run(world.now + TIMING["cancel_s"] + 1.0)
    assert not {task.job.name for _, task in world.placed_tasks.values()} & away
    all_end(world)


def test_grants_are_not_renewed_past_a_cancellation_that_was_not_heard() -> None:
    """A cell that is cut off just after a cancellation holds no grant for longer than planned."""
    world = overloaded(run_s=100.0)
    fleet = reach(world, GuestStage.GRANTED)
    world.run_until(lambda: guests_running(world) >= 4, 60.0)
    name = next(iter(fleet.guests()))
    world["east"].cancel_job(world.jobs[name], world["east"].nodes[1])
    world.run_until(lambda: world.jobs[name].told_status == "cancelled", 3.0)
    world.cut_until[("east", fleet.name)] = 1e9
    cancelled_at = world.now
    world.run(cancelled_at + GRANT_S + TIMING["lease_s"] + 2.0)
    assert name not in {task.job.name for _, task in world.placed_tasks.values()}
    assert world.now - cancelled_at < TIMING["cancel_s"]


def test_when_every_cell_is_full_nothing_circulates() -> None:
    """A job may move once towards the shorter queue; it does not go round."""
    world = CellsWorld(2, capacity=dict.fromkeys(NAMES, 8), grant_s=GRANT_S)
    world.run(5.0)
    for at, cell in enumerate(NAMES):
        world.submit_many(cell, 14, 20.0, first=100 * at)
    world.run(world.now + 60.0)
    early = world.count("offered")
    for fleet in world.fleets.values():
        node = fleet.leader()
        assert node is not None
        waiting = list(node.core.view.waiting_jobs)
        assert waiting
        assert all(node.core.leader.waiting_reasons.get(name) for name in waiting)
        for record in fleet.records().values():
            assert record.guest is None or record.delegation is None  # no guest is passed on
    epochs = [
        record.delegation.epoch
        for fleet in world.fleets.values()
        for record in fleet.records().values()
        if record.delegation
    ]
    all_end(world)
    # In the first seconds all believe that they can still rent machines.
    assert world.count("granted") <= 42 / 3
    assert world.count("offered") - early <= 4
    assert max(epochs, default=0) <= 2  # at most once to each other cell


def test_a_cell_that_comes_back_empty_does_not_draw_all_work() -> None:
    world = overloaded(jobs=60, capacity={"west": 0, "north": 0})
    # Both believe that they can rent machines, until their cloud has none.
    world.run(world.now + 90.0)
    assert not any(world[name].guests() for name in ("north", "west"))
    assert world.count("returned") >= 1
    world["north"].capacity = dict.fromkeys(world["north"].capacity, 40)
    most = 0
    for _ in range(200):
        world.run(world.now + 0.5)
        offers = list(world["east"].stages_away().values()).count(DelegationStage.OFFERED)
        most = max(most, offers)
    assert 1 <= most <= 8
    assert len(world["east"].stages_away()) < 30
    all_end(world)


def test_a_cell_with_guests_keeps_its_own_jobs() -> None:
    """Seen: two full cells exchanged their jobs, which then waited behind each other's own."""
    world = overloaded(jobs=30, run_s=40.0, capacity={"north": 16, "west": 0})
    world.run_until(lambda: GuestStage.GRANTED in world["north"].guests().values(), 60.0)
    world.submit_many("north", 12, 40.0, first=100)
    held = 0
    while world["north"].guests() and world.now < 200.0:
        world.run(world.now + 0.5)
        held += bool(world["north"].guests()) and bool(world["north"].records())
        open_offers = [
            name
            for name, stage in world["north"].stages_away().items()
            if stage == DelegationStage.OFFERED
        ]
        assert not (open_offers and set(world["north"].guests().values()) & {GuestStage.GRANTED})
    assert held > 20
    all_end(world)


def test_a_reservation_is_not_kept_for_a_home_cell_that_vanished() -> None:
    world = overloaded()
    fleet = reach(world, GuestStage.RESERVED)
    names = {name for name, at in fleet.guests().items() if at == GuestStage.RESERVED}
    world["east"].vanish()
    world.run(world.now + 40.0)
    assert names
    assert not names & set(fleet.guests())


def test_what_needs_a_job_starts_once_that_is_done_in_another_cell() -> None:
    """The world checks at each start that all that a job needs is done."""
    world = overloaded()
    reach(world, GuestStage.GRANTED)
    needs = sorted(world["east"].stages_away())[:3]
    world["east"].submit("job-900", 5.0, Prereqs=needs)
    world.run(world.now + 3.0)
    assert not any(world.jobs[name].has_ended() for name in needs)
    all_end(world)
    assert world.jobs["job-900"].told_status == "done"


def test_a_draining_cell_takes_no_guests_and_offers_nothing() -> None:
    world = overloaded(spill={"draining": True})
    world.run(world.now + 60.0)
    assert world.count("offered") == 0
    assert not any(fleet.guests() for fleet in world.fleets.values())


def test_controllers_of_one_cell_that_differ_wait_for_each_other() -> None:
    """One of east's controllers has no file: nothing is written that it would not look for."""
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
    all_end(world)
    assert world.count("offered") >= 1


def test_a_cell_without_the_file_is_just_not_there() -> None:
    world = CellsWorld(1, grant_s=GRANT_S)
    world.without_file["north"] = {"n0", "n1", "n2"}
    for node in world["north"].nodes:
        node.stop()
        node.start()
    world["north"].cells_by_node.clear()
    world.run(5.0)
    world.submit_many("east", 20, 20.0)
    all_end(world)
    assert not world["north"].guests()
    assert world.count("finished") >= 3


def test_a_job_that_waits_for_its_teams_limit_stays() -> None:
    """It would count against the limit elsewhere as well; the world checks it over all cells."""
    teams = [{"name": "red", "gpus_max": 16.0}]
    world = CellsWorld(1, teams=teams, grant_s=GRANT_S)
    world.run(5.0)
    world.submit_many("east", 12, 20.0, Owner="red")
    all_end(world)
    assert world.count("offered") == 0


def test_a_team_that_is_unknown_elsewhere_stays_and_is_told_so() -> None:
    other = [{"name": "red", "gpus_max": 16.0}]
    world = overloaded(teams_of={"north": other, "west": other})
    world.run(world.now + 30.0)
    assert world.count("refused") >= 1
    whys = [
        record.delegation.why for record in world["east"].records().values() if record.delegation
    ]
    assert any("team blue is not known here" in why for why in whys)
    assert not any(world[name].guests() for name in ("north", "west"))
    all_end(world)


def test_a_polled_guest_is_its_homes_to_answer() -> None:
    world = overloaded()
    fleet = reach(world, GuestStage.GRANTED)
    name = next(iter(fleet.guests()))
    answers: list[Any] = []
    fleet.request(0, lambda c, t: c.poll(name, t), answers.append, lambda: True)
    fleet.request(0, lambda c, t: c.cancel(name, t), answers.append, lambda: True)
    world.run(world.now + 2.0)
    assert [answer.status for answer in answers] == [404, 404]
    assert all("cell east" in answer.body["error"] for answer in answers)
    all_end(world)


def troubles(world: CellsWorld) -> None:
    """One of everything that may happen between and in cells, at a drawn moment."""
    rng = world.rng
    fleet = world[rng.choice(NAMES)]
    one, other = rng.sample(NAMES, 2)
    kind = rng.randrange(8)
    if kind == 0:
        world.cut_links(one, other, rng.uniform(2.0, 40.0), both=rng.random() < 0.5)
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
    """Each job ends once, none is on two machines, no answer goes back, whatever happens."""
    world = CellsWorld(seed + 20, grant_s=GRANT_S)
    world.duplicate_share, world.slow_share = 0.1, 0.1
    rng = world.rng
    for number in range(36):
        shape: dict[str, Any] = {"Pieces": rng.choice([1, 2, 4]), "Vcpus": 16.0}
        shape |= {"Accelerators": 2.0, "Loaners": True, "ImageGb": 1.0}
        if rng.random() < 0.3:
            shape |= {"Shape": "ensemble", "Together": True}
        cancel = rng.uniform(10.0, 60.0) if rng.random() < 0.25 else None
        run_s = rng.uniform(10.0, 40.0)
        submit = partial(world["east"].submit, f"job-{number}", run_s, cancel, **shape)
        world["east"].after(rng.uniform(4.0, 50.0), submit)
    for _ in range(12):
        world.run(world.now + rng.uniform(2.0, 10.0))
        troubles(world)
    vanishing = world[rng.choice(NAMES[1:])] if seed % 2 else None
    if vanishing is not None:
        vanishing.vanish()
    world.run(max(world.now, 60.0))
    for fleet in world.fleets.values():
        fleet.lost_commits = 0.0
    assert world.count("offered") + world.frame_count > 0
    all_end(world)
    assert len(world.jobs) == 36
