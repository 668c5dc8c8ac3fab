"""Moves of machines between controllers while jobs run and controllers fail.

Each test causes its failure and asserts that it occurred. The simulated cluster checks the
protocol's rules at every task start and response. At every check interval it also checks that
a machine has one owner, that its fencing token increases with each change of owner, and that no
two controllers command it.
"""

from collections.abc import Callable
from typing import Any

import pytest

from coursefold.storage import records
from coursefold.storage.share_records import MachineOwnership
from tests import test_fleet
from tests.fleet import Node, RuleBrokenError
from tests.production import OURS, Version
from tests.shares_world import SharesFleet
from tests.world import EPOCH

FAST_MOVES = {"at_once": 40, "a_minute": 600, "retry_s": 5.0}
MOVE_START_LIMIT_S = 30.0


def busy_fleet(jobs: int = 16, run_s: float = 20.0, **fields: Any) -> SharesFleet:
    """Return a settled fleet, past its first roster, with `jobs` jobs of `run_s` seconds each."""
    fleet = SharesFleet(capacity=40, moves=FAST_MOVES | fields.pop("moves", {}), **fields)
    fleet.fill(jobs, run_s)
    fleet.run(30.0)
    return fleet


def fleet_with_replicas(count: int = 16, **fields: Any) -> SharesFleet:
    """Return a fleet of `count` machines with a replica on each that does not end by itself."""
    fleet = SharesFleet(capacity=40, moves=FAST_MOVES | fields.pop("moves", {}), **fields)
    whole_machine = {"Shape": "standing", "Vcpus": 16.0, "Accelerators": 2.0, "Loaners": True}
    for number in range(count // 2):
        fleet.submit(f"job-9{number}", 1e6, None, Pieces=2, Rank="prod", **whole_machine)
    fleet.run(55.0)
    assert len(fleet.placed_tasks) == count
    return fleet


def task_locations(fleet: SharesFleet) -> dict[str, str]:
    """Return the machine of each running task."""
    return {name: worker.id for name, (worker, _) in fleet.placed_tasks.items()}


def fullest_and_emptiest(fleet: SharesFleet) -> tuple[str, str]:
    """Return the controllers with the most and the fewest machines, the leader left out."""
    counts = fleet.counts()
    leader = fleet.wait_for_leader().name
    names = sorted(
        (node.name for node in fleet.nodes if node.name != leader),
        key=lambda name: (counts[name], name),
    )
    return names[-1], names[0]


def find_node(fleet: SharesFleet, name: str) -> Node:
    """Return the simulated controller of that name."""
    return next(node for node in fleet.nodes if node.name == name)


def move_machines(
    fleet: SharesFleet, count: int = 3, request_id: str = "r-1", **fields: Any
) -> tuple[str, str]:
    """Request a move from the fullest controller to the emptiest; return (source, target)."""
    source, target = fullest_and_emptiest(fleet)
    response = fleet.move(source, target, count, request_id, **fields)
    assert response.status == 200, response
    return source, target


def check_all_settled(fleet: SharesFleet, names: list[str], limit_s: float = 150.0) -> None:
    """Check that every job ends once, no move stays, and each machine has a live owner."""
    fleet.run_until(lambda: fleet.all_done(names) and not fleet.under_way(), limit_s)
    assert all(len(fleet.jobs[name].done) == fleet.jobs[name].size for name in names)
    fleet.run_until(
        lambda: set(fleet.counts()) <= {node.name for node in fleet.nodes if node.up}, 30.0
    )
    assert sum(fleet.counts().values()) == len(fleet.up())


def test_repeated_moves_under_load_keep_tasks_and_machines() -> None:
    """A move must not stop tasks, rent or return machines, or leave a machine uncounted."""
    fleet = busy_fleet(jobs=0)
    names = fleet.fill(40, 12.0, prefix="2")
    replicas = {"Shape": "standing", "Rank": "prod", "Pieces": 4, "Loaners": False}
    fleet.submit("job-9", 1e6, None, **replicas)
    fleet.run(fleet.now + 30.0)
    machines = set(fleet.workers)
    for number in range(8):
        move_machines(fleet, 3, f"r-{number}")
        names += fleet.fill(4, 10.0, prefix=str(30 + number))
        fleet.run(fleet.now + 6.0)
        assert sum(fleet.counts().values()) == len(fleet.up())
    check_all_settled(fleet, names)
    assert sum(fleet.handovers.values()) >= 15
    assert fleet.handover_with_tasks_count >= 1
    assert not fleet.stops
    assert {name for name in fleet.workers if not fleet.workers[name].gone} <= machines
    assert fleet.jobs["job-9"].told_status == "running"
    shares_health = fleet.wait_for_leader().core.health_status()["shares"]
    owned = sum(row["owned"] for row in shares_health["scopes"][0]["controllers"])
    assert owned == len(fleet.up())
    assert shares_health["durations"]["handover"]["total"] >= 15


@pytest.mark.parametrize("back_s", [0.1, 6.0, None])
@pytest.mark.parametrize("who", ["leader", "source", "target", "both"])
def test_moves_settle_when_controllers_end_in_the_middle(who: str, back_s: float | None) -> None:
    """A controller that ends while machines drain, or while its handover is being sent, must not
    leave a machine without an owner or a job that never ends.
    """
    fleet = busy_fleet(run_s=30.0)
    names = list(fleet.jobs)
    pair = move_machines(fleet, 3)
    stopped: list[str] = []

    def stop_controllers(controllers: list[str]) -> None:
        for name in controllers:
            node = find_node(fleet, name)
            if node.up:
                stopped.append(name)
                node.stop()
                if back_s is not None:
                    fleet.after(back_s, node.start)

    controllers_by_role = {
        "leader": [fleet.wait_for_leader().name],
        "source": [pair[0]], "target": [pair[1]], "both": [*pair],
    }  # fmt: skip
    fleet.run_until(lambda: bool(fleet.under_way()), MOVE_START_LIMIT_S)
    stop_controllers(controllers_by_role[who])
    fleet.run(fleet.now + 8.0)
    if back_s is not None:
        fleet.run_until(lambda: len(fleet.members()) == len(fleet.nodes), 30.0)
        names += fleet.fill(20, 15.0, prefix="2")
        fleet.run(fleet.now + 25.0)
        move_machines(fleet, 1, "r-2")
        fleet.on_handover = lambda sender: stop_controllers([sender.name])
        fleet.run_until(lambda: fleet.on_handover is None, 60.0)
    check_all_settled(fleet, names)
    assert len(stopped) >= (1 if back_s is None else 2)


def test_an_old_owner_that_stalls_through_the_handover_changes_nothing() -> None:
    """The old owner freezes right after it has sent the handover and resumes when the machines
    have a new owner. Its late commands must not start a task twice.
    """
    fleet = busy_fleet()
    names = list(fleet.jobs)
    stalled: list[Node] = []

    def stall(sender: Node) -> None:
        stalled.append(sender)
        sender.frozen_until = fleet.now + 12.0

    fleet.on_handover = stall
    move_machines(fleet, 4)
    fleet.run_until(lambda: bool(stalled), MOVE_START_LIMIT_S)
    fleet.run(fleet.now + 14.0)
    assert fleet.now > stalled[0].frozen_until
    check_all_settled(fleet, names)


@pytest.mark.parametrize("lands", ["at once, unheard", "late"])
def test_a_handover_whose_response_is_lost_moves_no_tasks(lands: str) -> None:
    """The commit is applied, at once or late, but its response is lost. An old owner that takes
    it for failed would command machines of the new one.
    """
    fleet = fleet_with_replicas()
    before = task_locations(fleet)
    lost_at: list[float] = []

    def lose_response(sender: Node) -> None:
        lost_at.append(fleet.now)
        fleet.lost_commits = 1.0
        if lands == "late":
            sender.refused_until = fleet.now + 1.0

    fleet.on_handover = lose_response
    source, target = move_machines(fleet, 3)
    fleet.run_until(lambda: bool(lost_at), MOVE_START_LIMIT_S)
    fleet.run_until(lambda: fleet.handovers[(source, target)] >= 3, 40.0)
    fleet.run(fleet.now + 15.0)
    assert task_locations(fleet) == before


def test_a_handover_commit_after_its_withdrawal_is_refused() -> None:
    """A delayed handover commit that is applied after the withdrawal would give the machine an
    owner while the old one commands it again.
    """
    fleet = fleet_with_replicas()
    held_bodies: list[dict[str, Any]] = []
    sender, target = move_machines(fleet, 1)
    source = find_node(fleet, sender)
    send_batch = source._send

    def hold_handover(batch: Any) -> None:
        if (
            any(isinstance(record, MachineOwnership) for record in batch.results.values())
            and not held_bodies
        ):
            held_bodies.append(batch.body)
            # No other commit of the source succeeds meanwhile.
            source.refused_until = fleet.now + 1.5
            source.core.queue.handle_missing_response(batch, source.core.ctx.now, 0.3)
            return
        send_batch(batch)

    source._send = hold_handover  # type: ignore[method-assign]
    fleet.run_until(lambda: bool(held_bodies), MOVE_START_LIMIT_S)
    machine, record = next(iter(fleet.under_way().items()))
    response = fleet.command("/shares/withdraw", {"Epoch": record.epoch})
    assert response.body["Machines"] == [machine]
    fleet.run_until(lambda: not fleet.under_way(), 5.0)
    status, _ = fleet.store.commit(fleet.now, held_bodies[0])
    assert status == 409
    assert fleet.owner_of(machine) == sender
    fleet.command("/shares/withdraw", {"RequestId": "r-1"})
    fleet.run(fleet.now + 10.0)
    assert fleet.owner_of(machine) == sender  # the source commands the machine again
    assert fleet.workers[machine].node == source.number
    assert not fleet.handovers[(sender, target)]


def refuse_target_at_store(fleet: SharesFleet, _: Node, target: Node) -> None:
    """Make the state service refuse the new owner for 15 seconds."""
    target.refused_until = fleet.now + 15.0


def cut_off_target(fleet: SharesFleet, _: Node, target: Node) -> None:
    """Cut the new owner off the network for 15 seconds."""
    target.cut_until = fleet.now + 15.0


def refuse_peer_connections(fleet: SharesFleet, _: Node, __: Node) -> None:
    """Refuse all connections between controllers for 8 seconds."""
    fleet.peers_refused_until = fleet.now + 8.0


def fail_state_service(fleet: SharesFleet, _: Node, __: Node) -> None:
    """Stop the state service for 9 seconds."""
    fleet.outage_until = fleet.now + 9.0  # shorter than the machines' lease


def refuse_source_at_store(fleet: SharesFleet, source: Node, _: Node) -> None:
    """Make the state service refuse the old owner for 9 seconds."""
    source.refused_until = fleet.now + 9.0


def lose_worker_responses(fleet: SharesFleet, _: Node, __: Node) -> None:
    """Lose the responses to every third machine for 9 seconds."""
    for worker in list(fleet.workers.values())[::3]:
        worker.responses_lost_until = fleet.now + 9.0


@pytest.mark.parametrize(
    "trouble",
    [
        refuse_target_at_store,
        cut_off_target,
        refuse_peer_connections,
        fail_state_service,
        refuse_source_at_store,
        lose_worker_responses,
    ],
)
def test_moves_settle_when_faults_coincide_with_a_handover(
    trouble: Callable[[SharesFleet, Node, Node], None],
) -> None:
    """The new owner is behind or cut off, all controllers are, or machines miss responses: jobs
    still end exactly once, and no machine loses its owner.
    """
    fleet = busy_fleet(jobs=20, run_s=8.0)
    fleet.duplicate_share = 0.3  # share of reports that reach some controller again, late
    senders: list[Node] = []
    source, target = fullest_and_emptiest(fleet)

    def interfere(sender: Node) -> None:
        senders.append(sender)
        trouble(fleet, sender, find_node(fleet, target))

    fleet.on_handover = interfere
    assert fleet.move(source, target, 4, "r-1").status == 200
    fleet.run_until(lambda: bool(senders), MOVE_START_LIMIT_S)
    names = [*fleet.jobs, *fleet.fill(10, 6.0, prefix="4")]
    check_all_settled(fleet, names)


def test_replicas_outlive_an_outage_that_begins_with_their_handover() -> None:
    """The old owner does not know whether the machines are still its own. If it stopped renewing
    their leases, the replicas would stop.
    """
    fleet = fleet_with_replicas()
    before = task_locations(fleet)
    senders: list[Node] = []

    def start_outage(sender: Node) -> None:
        senders.append(sender)
        fleet.lost_commits = 1.0
        fleet.outage_until = fleet.now + 13.0  # longer than the machines' leases

    fleet.on_handover = start_outage
    move_machines(fleet, 2)
    fleet.run_until(lambda: bool(senders), MOVE_START_LIMIT_S)
    fleet.run(fleet.now + 40.0)
    assert task_locations(fleet) == before


@pytest.mark.parametrize(
    "trouble", [fail_state_service, refuse_source_at_store, lose_worker_responses]
)
def test_jobs_cancelled_during_a_handover_stop_in_time(
    trouble: Callable[[SharesFleet, Node, Node], None],
) -> None:
    """A cancellation in the middle of a handover may reach neither owner; the simulated cluster
    checks that the tasks are gone within `cancel_s`.
    """
    fleet = fleet_with_replicas()
    names = list(fleet.jobs)

    def interfere(sender: Node) -> None:
        other = next(node for node in fleet.nodes if node is not sender)
        for name in names:
            fleet.cancel_job(fleet.jobs[name], other)
        trouble(fleet, sender, sender)

    fleet.on_handover = interfere
    move_machines(fleet, 3)
    fleet.run_until(lambda: fleet.on_handover is None, MOVE_START_LIMIT_S)
    fleet.run(fleet.now + 70.0)
    assert not fleet.placed_tasks
    assert all(fleet.jobs[name].told_status == "cancelled" for name in names)


def test_drain_stops_only_tasks_that_take_snapshots() -> None:
    """Stopping a task that takes no snapshots would lose its progress."""
    fleet = busy_fleet(jobs=0)
    with_snapshots = fleet.fill(12, 45.0, prefix="2")
    without_snapshots = fleet.fill(12, 45.0, prefix="3", SnapshotEveryS=0.0)
    fleet.run(fleet.now + 30.0)
    move_machines(fleet, 3, Mode="drain")
    check_all_settled(fleet, [*with_snapshots, *without_snapshots])
    assert set(fleet.stops) & set(with_snapshots)
    assert not set(fleet.stops) & set(without_snapshots)


def test_a_machine_is_moved_by_one_move_at_a_time() -> None:
    """Two moves of one machine could hand it to two owners. A second move has to choose others or
    none, and a repeated request counts as the same one.
    """
    fleet = busy_fleet(jobs=40, run_s=60.0)
    source, target = fullest_and_emptiest(fleet)
    first = fleet.move(source, target, 3, "r-1")
    fleet.run_until(lambda: len(fleet.under_way()) == 3, MOVE_START_LIMIT_S)
    before = fleet.under_way()
    repeated = fleet.move(source, target, 3, "r-1")
    assert repeated.body == first.body
    assert fleet.move(source, target, 2, "r-1").status == 422
    third = next(node.name for node in fleet.nodes if node.name not in (source, target))
    fleet.move(source, third, 1, "r-2")
    fleet.run(fleet.now + 3.0)
    after = fleet.under_way()
    assert {name: record for name, record in after.items() if name in before} == before
    machine, record = next(iter(before.items()))
    core = fleet.wait_for_leader().enter()
    planner = fleet.shares[fleet.wait_for_leader().number].planner
    assert planner.port.change_ownership(
        machine, _second_request(machine, record, core.view.revision), "second"
    )
    fleet.run(fleet.now + 1.0)
    assert fleet.under_way()[machine] == record


def test_requests_that_are_withdrawn_or_reversed_hand_nothing_over() -> None:
    """Guards against a handover after its request was withdrawn, or after a request in the
    opposite direction.
    """
    fleet = busy_fleet(jobs=40, run_s=60.0)
    source, target = move_machines(fleet, 3)
    fleet.run_until(lambda: len(fleet.under_way()) == 3, MOVE_START_LIMIT_S)
    assert fleet.command("/shares/withdraw", {"RequestId": "r-1"}).body["Withdrawn"]
    fleet.run_until(lambda: not fleet.under_way(), 3.0)
    assert fleet.move(source, target, 3, "r-2").status == 200
    fleet.run_until(lambda: len(fleet.under_way()) == 3, MOVE_START_LIMIT_S)
    assert fleet.move(target, source, 3, "r-3").status == 200
    fleet.run_until(lambda: not fleet.under_way(), 3.0)
    fleet.run(fleet.now + 5.0)
    assert not fleet.under_way()
    assert not fleet.handovers


def test_drain_stops_nothing_without_free_machines_elsewhere() -> None:
    """A stopped task without a free machine elsewhere would only wait."""
    fleet = busy_fleet(jobs=44, run_s=60.0)  # more jobs than machines
    fleet.run(fleet.now + 10.0)
    assert len(fleet.placed_tasks) == 40
    move_machines(fleet, 2, Mode="drain")
    fleet.run_until(lambda: len(fleet.under_way()) == 2, MOVE_START_LIMIT_S)
    fleet.run(fleet.now + 10.0)
    assert len(fleet.under_way()) == 2
    assert not fleet.stops


def _second_request(machine: str, record: MachineOwnership, epoch: int) -> Any:
    """Return the edit that requests another move of a machine that already moves."""
    from coursefold.shares.moves import Move, request_move

    move = Move(machine, record.source, "n0", epoch, record.mode, record.expires_at, "second")
    return request_move(move, record.roster_token, EPOCH)


def test_nothing_new_starts_on_a_machine_that_drains() -> None:
    """Half of each machine is free and the leader also knows its siblings' machines, so it could
    place tasks there, which would delay the handover.
    """
    fleet = busy_fleet(jobs=0)
    half_machine = {"Vcpus": 8.0, "Accelerators": 1.0}
    names = fleet.fill(24, 60.0, prefix="2", **half_machine)
    fleet.run(fleet.now + 20.0)
    move_machines(fleet, 2)
    fleet.run_until(lambda: len(fleet.under_way()) == 2, MOVE_START_LIMIT_S)
    draining = set(fleet.under_way())
    fleet.run(fleet.now + 5.0)  # tasks placed earlier fetch their image
    before = {name for name, (worker, _) in fleet.placed_tasks.items() if worker.id in draining}
    assert before
    names += fleet.fill(12, 10.0, prefix="3", **half_machine)
    end_at = fleet.now + 25.0
    while fleet.now < end_at:
        fleet.run(fleet.now + 0.2)
        still_draining = draining & set(fleet.under_way())
        capacities = {
            capacity.id: capacity
            for capacity in fleet.wait_for_leader().enter().ctx.available_machines()
        }
        assert all(
            capacities[machine].is_unschedulable for machine in still_draining & set(capacities)
        )
        running = {
            name for name, (worker, _) in fleet.placed_tasks.items() if worker.id in still_draining
        }
        assert running <= before
    assert any(fleet.jobs[name].first_started_at > 0 for name in names[24:])
    check_all_settled(fleet, names)


@pytest.mark.parametrize("how", ["returned", "recalled", "taken"])
def test_a_return_takes_precedence_over_a_move(how: str) -> None:
    """A machine that is returned or recalled must not be handed over to another controller."""
    fleet = busy_fleet(jobs=40, run_s=60.0)
    move_machines(fleet, 2)
    fleet.run_until(lambda: len(fleet.under_way()) == 2, MOVE_START_LIMIT_S)
    machine = next(iter(fleet.under_way()))
    inventory = fleet.wait_for_leader().enter().fleet.inventory
    if how == "returned":
        inventory.returning[machine] = "for the test"
    elif how == "recalled":
        fleet.workers[machine].responses_lost_until = fleet.now + 60.0
    else:
        fleet.workers[machine].kill()
    fleet.run_until(lambda: machine not in fleet.under_way(), 60.0)
    assert not fleet.ownership()[machine].owner
    check_all_settled(fleet, list(fleet.jobs), 300.0)


def test_shares_of_a_controller_that_is_down_return_to_it_by_moves() -> None:
    """A restarted controller must not take its former machines at once, without handovers."""
    shares = [
        {"controller": name, "type": "g2", "weight": weight} for name, weight in (("n0", 3.0),)
    ]
    fleet = fleet_with_replicas(36, shares=shares, moves={"at_once": 3})
    fleet.run_until(lambda: fleet.counts()["n0"] >= 14, 60.0)
    node = find_node(fleet, "n0")
    node.stop()
    fleet.run(fleet.now + 6.0)
    assert fleet.counts()["n0"] == 0
    node.start()
    fleet.run(fleet.now + 4.0)
    count_after_start = fleet.counts()["n0"]
    fleet.run_until(lambda: fleet.counts()["n0"] >= 14, 100.0)
    assert count_after_start <= 11  # only the machines that the hash gives it


def test_nothing_is_written_until_every_controller_has_the_file() -> None:
    """Controllers without the file may not read the records of shares, so the storage format
    rises only once every controller has the file.
    """
    partial_fleet = SharesFleet(capacity=40, nodes_without_file=frozenset({1, 3}))
    partial_fleet.fill(8, 10.0)
    partial_fleet.run(25.0)
    assert partial_fleet.wait_for_leader().core.view.format_level < records.SHARES_LEVEL
    if partial_fleet.wait_for_leader().number in partial_fleet.shares:
        assert partial_fleet.move("n0", "n1", 1, "r-1").status == 503
    fleet_without = SharesFleet(capacity=40, nodes_without_file=frozenset(range(5)))
    fleet_without.fill(8, 10.0)
    fleet_without.run(25.0)
    keys = {key.split("/")[1] for key in fleet_without.store.keys if key.startswith("cf/")}
    assert not keys & {"s", "r"}
    assert fleet_without.command("/shares/move", {}).status == 404


def test_machines_move_only_after_every_controller_is_upgraded(old: Version) -> None:
    """The production version cannot read ownership records; a move before the last controller is
    upgraded would give a machine two owners.
    """
    fleet = SharesFleet(capacity=40, version=old, moves=FAST_MOVES)
    names = fleet.fill(12, 8.0)
    fleet.run(15.0)
    for number, node in enumerate(fleet.nodes):
        assert not fleet.store.rows("cf/s/")
        node.stop()
        node.version = OURS
        node.start()
        names += fleet.fill(6, 20.0, prefix=str(2 + number))
        fleet.run(fleet.now + 6.0)
    fleet.run_until(
        lambda: fleet.wait_for_leader().core.view.format_level == records.SHARES_LEVEL, 30.0
    )
    pair = move_machines(fleet, 2)
    fleet.run_until(lambda: fleet.handovers[pair] >= 2, 60.0)
    check_all_settled(fleet, names)


def test_a_controller_without_the_file_respects_earlier_moves() -> None:
    """A controller that restarts without the file reads the ownership records all the same;
    otherwise it would claim machines by hash.
    """
    fleet = busy_fleet()
    source, target = move_machines(fleet, 3)
    fleet.run_until(lambda: fleet.handovers[(source, target)] >= 3, 60.0)
    moved = set(fleet.ownership())
    third = next(
        node
        for node in fleet.nodes
        if node.name not in (source, target, fleet.wait_for_leader().name)
    )
    fleet.nodes_without_file = frozenset({third.number})
    third.stop()
    third.start()
    fleet.run(fleet.now + 8.0)
    assert {fleet.owner_of(machine) for machine in moved} == {target}
    third.enter()
    assert {third.core.ctx.owner_of(machine, fleet.workers[machine].zone) for machine in moved} == {
        target
    }


@pytest.mark.parametrize("seed", [1, 5])
def test_random_moves_with_random_faults_lose_no_job(seed: int) -> None:
    """Random moves and random faults of all kinds must not lose jobs or leave moves unfinished."""
    fleet = SharesFleet(
        seed, capacity=test_fleet.MACHINE_COUNT, moves=FAST_MOVES | {"limit_s": 40.0}
    )
    fleet.lost_commits, fleet.duplicate_share = 0.02, 0.05
    test_fleet.submit_jobs(fleet, 60)
    kinds = [
        *test_fleet.FAULTS,
        test_fleet.cut_off_zone,
        test_fleet.freeze_controller,
        test_fleet.hang_workers,
    ]
    for _ in range(fleet.rng.randrange(6, 14)):
        trouble = fleet.rng.choice(kinds)
        fleet.after(fleet.rng.uniform(10.0, 68.0), lambda t=trouble: t(fleet))  # type: ignore[misc]
    fleet.after(12.0, lambda: request_random_moves(fleet, 100.0))
    fleet.after(test_fleet.FAULTS_END_AT_S, lambda: test_fleet.end_faults(fleet))
    fleet.run(test_fleet.RUN_END_AT_S)
    test_fleet.check_no_job_lost(fleet)
    assert sum(fleet.handovers.values()) > 40
    assert not fleet.under_way()


def request_random_moves(fleet: SharesFleet, until: float) -> None:
    """Request a random move every few seconds until a given time, whatever their outcome."""
    leader = fleet.leader()
    if leader is not None:
        source, target = fleet.rng.sample([node.name for node in fleet.nodes], 2)
        body = {
            "RequestId": f"r-{int(fleet.now * 10)}", "From": source, "To": target, "Type": "g2",
            "Count": fleet.rng.randrange(1, 12), "Mode": fleet.rng.choice(["finish", "drain"]),
            "Until": EPOCH + fleet.now + fleet.rng.uniform(5.0, 30.0),
        }  # fmt: skip
        fleet.send("/shares/move", body, leader)
    if fleet.now < until:
        fleet.after(fleet.rng.uniform(1.0, 4.0), lambda: request_random_moves(fleet, until))


def test_the_simulation_detects_a_token_that_does_not_rise() -> None:
    """Guards the check of the simulated cluster: it must catch a record that changes the owner
    under the old token.
    """
    fleet = busy_fleet()
    machine = fleet.up()[0]
    roster, _ = fleet.roster()
    assert roster is not None
    other = next(member for member in roster.members if member.name != fleet.owner_of(machine))
    fleet.store.set(f"cf/s/{machine}", [1, 0, other.name, other.lease_id, 1])
    with pytest.raises(RuleBrokenError, match="changed hands"):
        fleet.run(fleet.now + 1.0)
