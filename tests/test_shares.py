"""Machines that move between controllers while jobs run, and the controllers that fail meanwhile.

Each test makes its failure happen and asserts that it did. The world checks the protocol's
rules at every start and answer, and at every look that a machine has one owner, that its
fencing token rises with each change of owner, and that no two controllers command it.
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
MOVE_S = 30.0


def running(jobs: int = 16, run_s: float = 20.0, **fields: Any) -> SharesFleet:
    """A fleet with work, past its first roster, and settled."""
    fleet = SharesFleet(capacity=40, moves=FAST_MOVES | fields.pop("moves", {}), **fields)
    fleet.fill(jobs, run_s)
    fleet.run(30.0)
    return fleet


def fleet_with_replicas(count: int = 16, **fields: Any) -> SharesFleet:
    """A fleet with a replica on each machine, none of which ends by itself."""
    fleet = SharesFleet(capacity=40, moves=FAST_MOVES | fields.pop("moves", {}), **fields)
    whole = {"Shape": "standing", "Vcpus": 16.0, "Accelerators": 2.0, "Loaners": True}
    for number in range(count // 2):
        fleet.submit(f"job-9{number}", 1e6, None, Pieces=2, Rank="prod", **whole)
    fleet.run(55.0)
    assert len(fleet.on) == count
    return fleet


def places(fleet: SharesFleet) -> dict[str, str]:
    """Where each running task is."""
    return {name: worker.id for name, (worker, _) in fleet.on.items()}


def most_and_least(fleet: SharesFleet) -> tuple[str, str]:
    """The controllers with the most and the fewest machines, neither of which leads."""
    counts = fleet.counts()
    led = fleet.led().name
    names = sorted((n.name for n in fleet.nodes if n.name != led), key=lambda n: (counts[n], n))
    return names[-1], names[0]


def node(fleet: SharesFleet, name: str) -> Node:
    return next(n for n in fleet.nodes if n.name == name)


def ask(fleet: SharesFleet, count: int = 3, name: str = "r-1", **more: Any) -> tuple[str, str]:
    """Have machines moved from the fullest controller to the emptiest."""
    source, target = most_and_least(fleet)
    answer = fleet.move(source, target, count, name, **more)
    assert answer.status == 200, answer
    return source, target


def ends_well(fleet: SharesFleet, names: list[str], most_s: float = 150.0) -> None:
    """Every job ends once, no move stays, and every machine has a live owner."""
    fleet.run_until(lambda: fleet.all_done(names) and not fleet.under_way(), most_s)
    assert all(len(fleet.jobs[name].done) == fleet.jobs[name].size for name in names)
    fleet.run_until(lambda: set(fleet.counts()) <= {n.name for n in fleet.nodes if n.up}, 30.0)
    assert sum(fleet.counts().values()) == len(fleet.up())


def test_shares_shift_again_and_again_under_load() -> None:
    """Counts add up at every look, and nothing is stopped, rented or returned by a move."""
    fleet = running(jobs=0)
    names = fleet.fill(40, 12.0, prefix="2")
    replicas = {"Shape": "standing", "Rank": "prod", "Pieces": 4, "Loaners": False}
    fleet.submit("job-9", 1e6, None, **replicas)
    fleet.run(fleet.now + 30.0)
    machines = set(fleet.workers)
    for number in range(8):
        ask(fleet, 3, f"r-{number}")
        names += fleet.fill(4, 10.0, prefix=str(30 + number))
        fleet.run(fleet.now + 6.0)
        assert sum(fleet.counts().values()) == len(fleet.up())
    ends_well(fleet, names)
    assert sum(fleet.handovers.values()) >= 15
    assert fleet.handed_with_tasks >= 1
    assert not fleet.stops
    assert {n for n in fleet.workers if not fleet.workers[n].gone} <= machines
    assert fleet.jobs["job-9"].told == "running"
    shown = fleet.led().core.health_status()["shares"]
    owned = sum(row["owned"] for row in shown["scopes"][0]["controllers"])
    assert owned == len(fleet.up())
    assert shown["durations"]["handover"]["total"] >= 15


@pytest.mark.parametrize("back_s", [0.1, 6.0, None])
@pytest.mark.parametrize("who", ["leader", "source", "target", "both"])
def test_controllers_that_end_in_the_middle_of_moves(who: str, back_s: float | None) -> None:
    """Once while machines drain, and once in the moment in which a handover is sent."""
    fleet = running(run_s=30.0)
    names = list(fleet.jobs)
    pair = ask(fleet, 3)
    ended: list[str] = []

    def end(names_: list[str]) -> None:
        for name in names_:
            one = node(fleet, name)
            if one.up:
                ended.append(name)
                one.stop()
                if back_s is not None:
                    fleet.after(back_s, one.start)

    chosen = {
        "leader": [fleet.led().name], "source": [pair[0]], "target": [pair[1]], "both": [*pair]
    }  # fmt: skip
    fleet.run_until(lambda: bool(fleet.under_way()), MOVE_S)
    end(chosen[who])
    fleet.run(fleet.now + 8.0)
    if back_s is not None:
        fleet.run_until(lambda: len(fleet.members()) == len(fleet.nodes), 30.0)
        names += fleet.fill(20, 15.0, prefix="2")
        fleet.run(fleet.now + 25.0)
        ask(fleet, 1, "r-2")
        fleet.on_handover = lambda sender: end([sender.name])
        fleet.run_until(lambda: fleet.on_handover is None, 60.0)
    ends_well(fleet, names)
    assert len(ended) >= (1 if back_s is None else 2)


def test_an_old_owner_that_stalls_through_the_handover_changes_nothing() -> None:
    """It stands still after its last word, and goes on when its machines are another's."""
    fleet = running()
    names = list(fleet.jobs)
    stalled: list[Node] = []

    def stall(sender: Node) -> None:
        stalled.append(sender)
        sender.frozen_until = fleet.now + 12.0

    fleet.on_handover = stall
    ask(fleet, 4)
    fleet.run_until(lambda: bool(stalled), MOVE_S)
    fleet.run(fleet.now + 14.0)
    assert fleet.now > stalled[0].frozen_until
    ends_well(fleet, names)


@pytest.mark.parametrize("lands", ["at once, unheard", "late"])
def test_a_handover_whose_answer_is_lost(lands: str) -> None:
    fleet = fleet_with_replicas()
    before = places(fleet)
    lost: list[float] = []

    def lose(sender: Node) -> None:
        lost.append(fleet.now)
        fleet.lost_commits = 1.0
        if lands == "late":
            sender.refused_until = fleet.now + 1.0

    fleet.on_handover = lose
    source, target = ask(fleet, 3)
    fleet.run_until(lambda: bool(lost), MOVE_S)
    fleet.run_until(lambda: fleet.handovers[(source, target)] >= 3, 40.0)
    fleet.run(fleet.now + 15.0)
    assert places(fleet) == before


def test_a_handover_that_lands_after_its_withdrawal_is_refused() -> None:
    fleet = fleet_with_replicas()
    held: list[dict[str, Any]] = []
    sender, target = ask(fleet, 1)
    source = node(fleet, sender)
    send = source._send

    def hold(batch: Any) -> None:
        if any(isinstance(r, MachineOwnership) for r in batch.results.values()) and not held:
            held.append(batch.body)
            source.refused_until = fleet.now + 1.5  # nothing else of it is written meanwhile
            source.core.queue.handle_missing_response(batch, source.core.ctx.now, 0.3)
            return
        send(batch)

    source._send = hold  # type: ignore[method-assign]
    fleet.run_until(lambda: bool(held), MOVE_S)
    machine, record = next(iter(fleet.under_way().items()))
    answer = fleet.command("/shares/withdraw", {"Epoch": record.epoch})
    assert answer.body["Machines"] == [machine]
    fleet.run_until(lambda: not fleet.under_way(), 5.0)
    status, _ = fleet.store.commit(fleet.now, held[0])
    assert status == 409
    assert fleet.owner_of(machine) == sender
    fleet.command("/shares/withdraw", {"RequestId": "r-1"})
    fleet.run(fleet.now + 10.0)
    assert fleet.owner_of(machine) == sender  # its owner acts for it again
    assert fleet.workers[machine].node == source.number
    assert not fleet.handovers[(sender, target)]


def refuse_target(fleet: SharesFleet, _: Node, target: Node) -> None:
    target.refused_until = fleet.now + 15.0


def cut_target(fleet: SharesFleet, _: Node, target: Node) -> None:
    target.cut_until = fleet.now + 15.0


def refuse_siblings(fleet: SharesFleet, _: Node, __: Node) -> None:
    fleet.peers_refused_until = fleet.now + 8.0


def outage(fleet: SharesFleet, _: Node, __: Node) -> None:
    fleet.outage_until = fleet.now + 9.0  # within the machines' lease


def refuse_source(fleet: SharesFleet, source: Node, _: Node) -> None:
    source.refused_until = fleet.now + 9.0


def deaf_machines(fleet: SharesFleet, _: Node, __: Node) -> None:
    for worker in list(fleet.workers.values())[::3]:
        worker.deaf_until = fleet.now + 9.0


@pytest.mark.parametrize(
    "trouble", [refuse_target, cut_target, refuse_siblings, outage, refuse_source, deaf_machines]
)
def test_trouble_in_the_moment_of_a_handover(
    trouble: Callable[[SharesFleet, Node, Node], None],
) -> None:
    """The new owner is behind or cut off, all are, or the machines hear nobody."""
    fleet = running(jobs=20, run_s=8.0)
    fleet.copied = 0.3  # late copies of reports, at any controller
    happened: list[Node] = []
    source, target = most_and_least(fleet)

    def interfere(sender: Node) -> None:
        happened.append(sender)
        trouble(fleet, sender, node(fleet, target))

    fleet.on_handover = interfere
    assert fleet.move(source, target, 4, "r-1").status == 200
    fleet.run_until(lambda: bool(happened), MOVE_S)
    names = [*fleet.jobs, *fleet.fill(10, 6.0, prefix="4")]
    ends_well(fleet, names)


def test_replicas_outlive_an_outage_that_begins_with_their_handover() -> None:
    """The old owner does not know whether they are still its own, and keeps their leases."""
    fleet = fleet_with_replicas()
    before = places(fleet)
    lost: list[Node] = []

    def begin(sender: Node) -> None:
        lost.append(sender)
        fleet.lost_commits = 1.0
        fleet.outage_until = fleet.now + 13.0  # longer than the machines' leases

    fleet.on_handover = begin
    ask(fleet, 2)
    fleet.run_until(lambda: bool(lost), MOVE_S)
    fleet.run(fleet.now + 40.0)
    assert places(fleet) == before


@pytest.mark.parametrize("trouble", [outage, refuse_source, deaf_machines])
def test_jobs_cancelled_while_their_machines_change_hands(
    trouble: Callable[[SharesFleet, Node, Node], None],
) -> None:
    """The world checks that their tasks are gone within `cancel_s`."""
    fleet = fleet_with_replicas()
    names = list(fleet.jobs)

    def interfere(sender: Node) -> None:
        other = next(n for n in fleet.nodes if n is not sender)
        for name in names:
            fleet.call_off(fleet.jobs[name], other)
        trouble(fleet, sender, sender)

    fleet.on_handover = interfere
    ask(fleet, 3)
    fleet.run_until(lambda: fleet.on_handover is None, MOVE_S)
    fleet.run(fleet.now + 70.0)
    assert not fleet.on
    assert all(fleet.jobs[name].told == "cancelled" for name in names)


def test_drain_saves_tasks_that_have_room_elsewhere_and_no_others() -> None:
    fleet = running(jobs=0)
    saved = fleet.fill(12, 45.0, prefix="2")
    lasting = fleet.fill(12, 45.0, prefix="3", SnapshotEveryS=0.0)
    fleet.run(fleet.now + 30.0)
    ask(fleet, 3, Mode="drain")
    ends_well(fleet, [*saved, *lasting])
    assert set(fleet.stops) & set(saved)
    assert not set(fleet.stops) & set(lasting)


def test_a_machine_is_moved_by_one_move_at_a_time() -> None:
    """A second one finds others, or none; a repeated request is the same one."""
    fleet = running(jobs=40, run_s=60.0)
    source, target = most_and_least(fleet)
    first = fleet.move(source, target, 3, "r-1")
    fleet.run_until(lambda: len(fleet.under_way()) == 3, MOVE_S)
    before = fleet.under_way()
    again = fleet.move(source, target, 3, "r-1")
    assert again.body == first.body
    assert fleet.move(source, target, 2, "r-1").status == 422
    third = next(n.name for n in fleet.nodes if n.name not in (source, target))
    fleet.move(source, third, 1, "r-2")
    fleet.run(fleet.now + 3.0)
    after = fleet.under_way()
    assert {m: r for m, r in after.items() if m in before} == before
    machine, record = next(iter(before.items()))
    core = fleet.led().enter()
    planner = fleet.shares[fleet.led().number].planner
    assert planner.port.change_ownership(
        machine, _second_request(machine, record, core.view.revision), "second"
    )
    fleet.run(fleet.now + 1.0)
    assert fleet.under_way()[machine] == record


def test_requests_that_are_taken_back_turn_machines_back() -> None:
    """By their withdrawal, and by another request the other way: nothing changes hands."""
    fleet = running(jobs=40, run_s=60.0)
    source, target = ask(fleet, 3)
    fleet.run_until(lambda: len(fleet.under_way()) == 3, MOVE_S)
    assert fleet.command("/shares/withdraw", {"RequestId": "r-1"}).body["Withdrawn"]
    fleet.run_until(lambda: not fleet.under_way(), 3.0)
    assert fleet.move(source, target, 3, "r-2").status == 200
    fleet.run_until(lambda: len(fleet.under_way()) == 3, MOVE_S)
    assert fleet.move(target, source, 3, "r-3").status == 200
    fleet.run_until(lambda: not fleet.under_way(), 3.0)
    fleet.run(fleet.now + 5.0)
    assert not fleet.under_way()
    assert not fleet.handovers


def test_drain_stops_nothing_that_has_no_room_elsewhere() -> None:
    fleet = running(jobs=44, run_s=60.0)  # more than there are machines
    fleet.run(fleet.now + 10.0)
    assert len(fleet.on) == 40
    ask(fleet, 2, Mode="drain")
    fleet.run_until(lambda: len(fleet.under_way()) == 2, MOVE_S)
    fleet.run(fleet.now + 10.0)
    assert len(fleet.under_way()) == 2
    assert not fleet.stops


def _second_request(machine: str, record: MachineOwnership, epoch: int) -> Any:
    from coursefold.shares.moves import Move, request_move

    move = Move(machine, record.source, "n0", epoch, record.mode, record.expires_at, "second")
    return request_move(move, record.roster_token, EPOCH)


def test_nothing_new_starts_on_a_machine_that_drains() -> None:
    """Half of each machine is free, and the leader knows its siblings' machines too."""
    fleet = running(jobs=0)
    half = {"Vcpus": 8.0, "Accelerators": 1.0}
    names = fleet.fill(24, 60.0, prefix="2", **half)
    fleet.run(fleet.now + 20.0)
    ask(fleet, 2)
    fleet.run_until(lambda: len(fleet.under_way()) == 2, MOVE_S)
    draining = set(fleet.under_way())
    fleet.run(fleet.now + 5.0)  # what was placed before fetches its image
    before = {name for name, (worker, _) in fleet.on.items() if worker.id in draining}
    assert before
    names += fleet.fill(12, 10.0, prefix="3", **half)
    end = fleet.now + 25.0
    while fleet.now < end:
        fleet.run(fleet.now + 0.2)
        still = draining & set(fleet.under_way())
        rooms = {room.id: room for room in fleet.led().enter().ctx.available_machines()}
        assert all(rooms[machine].is_unschedulable for machine in still & set(rooms))
        there = {name for name, (worker, _) in fleet.on.items() if worker.id in still}
        assert there <= before
    assert any(fleet.jobs[name].first_start > 0 for name in names[24:])
    ends_well(fleet, names)


@pytest.mark.parametrize("how", ["returned", "recalled", "taken"])
def test_a_return_goes_before_a_move(how: str) -> None:
    fleet = running(jobs=40, run_s=60.0)
    ask(fleet, 2)
    fleet.run_until(lambda: len(fleet.under_way()) == 2, MOVE_S)
    machine = next(iter(fleet.under_way()))
    inventory = fleet.led().enter().fleet.inventory
    if how == "returned":
        inventory.returning[machine] = "for the test"
    elif how == "recalled":
        fleet.workers[machine].deaf_until = fleet.now + 60.0
    else:
        fleet.workers[machine].kill()
    fleet.run_until(lambda: machine not in fleet.under_way(), 60.0)
    assert not fleet.ownership()[machine].owner
    ends_well(fleet, list(fleet.jobs), 300.0)


def test_shares_of_a_controller_that_is_down_return_to_it_by_moves() -> None:
    counts = [{"controller": name, "type": "g2", "weight": w} for name, w in (("n0", 3.0),)]
    fleet = fleet_with_replicas(36, shares=counts, moves={"at_once": 3})
    fleet.run_until(lambda: fleet.counts()["n0"] >= 14, 60.0)
    one = node(fleet, "n0")
    one.stop()
    fleet.run(fleet.now + 6.0)
    assert fleet.counts()["n0"] == 0
    one.start()
    fleet.run(fleet.now + 4.0)
    jump = fleet.counts()["n0"]
    fleet.run_until(lambda: fleet.counts()["n0"] >= 14, 100.0)
    assert jump <= 11  # what the hash gives it, and no more


def test_without_files_or_with_few_of_them_nothing_is_written() -> None:
    """The forms of shares come in only once every controller has the file."""
    some = SharesFleet(capacity=40, without=frozenset({1, 3}))
    some.fill(8, 10.0)
    some.run(25.0)
    assert some.led().core.view.format_level < records.SHARES_LEVEL
    if some.led().number in some.shares:
        assert some.move("n0", "n1", 1, "r-1").status == 503
    none = SharesFleet(capacity=40, without=frozenset(range(5)))
    none.fill(8, 10.0)
    none.run(25.0)
    keys = {key.split("/")[1] for key in none.store.keys if key.startswith("cf/")}
    assert not keys & {"s", "r"}
    assert none.command("/shares/move", {}).status == 404


def test_beside_production_nothing_moves_and_after_it_machines_do(old: Version) -> None:
    fleet = SharesFleet(capacity=40, version=old, moves=FAST_MOVES)
    names = fleet.fill(12, 8.0)
    fleet.run(15.0)
    for number, one in enumerate(fleet.nodes):
        assert not fleet.store.rows("cf/s/")
        one.stop()
        one.version = OURS
        one.start()
        names += fleet.fill(6, 20.0, prefix=str(2 + number))
        fleet.run(fleet.now + 6.0)
    fleet.run_until(lambda: fleet.led().core.view.format_level == records.SHARES_LEVEL, 30.0)
    pair = ask(fleet, 2)
    fleet.run_until(lambda: fleet.handovers[pair] >= 2, 60.0)
    ends_well(fleet, names)


def test_controllers_without_the_file_keep_what_was_moved() -> None:
    """One that starts again without it reads the records, and lets no machine jump back."""
    fleet = running()
    source, target = ask(fleet, 3)
    fleet.run_until(lambda: fleet.handovers[(source, target)] >= 3, 60.0)
    moved = set(fleet.ownership())
    third = next(n for n in fleet.nodes if n.name not in (source, target, fleet.led().name))
    fleet.without = frozenset({third.number})
    third.stop()
    third.start()
    fleet.run(fleet.now + 8.0)
    assert {fleet.owner_of(machine) for machine in moved} == {target}
    third.enter()
    assert {third.core.ctx.owner_of(m, fleet.workers[m].zone) for m in moved} == {target}


@pytest.mark.parametrize("seed", [1, 5])
def test_shares_shift_all_day_with_all_troubles(seed: int) -> None:
    fleet = SharesFleet(seed, capacity=test_fleet.MACHINES, moves=FAST_MOVES | {"limit_s": 40.0})
    fleet.lost_commits, fleet.copied = 0.02, 0.05
    test_fleet.jobs(fleet, 60)
    kinds = [*test_fleet.TROUBLES, test_fleet.zone_cut, test_fleet.frozen, test_fleet.hang]
    for _ in range(fleet.rng.randrange(6, 14)):
        trouble = fleet.rng.choice(kinds)
        fleet.after(fleet.rng.uniform(10.0, 68.0), lambda t=trouble: t(fleet))  # type: ignore[misc]
    fleet.after(12.0, lambda: shift(fleet, 100.0))
    fleet.after(test_fleet.CALM, lambda: test_fleet.calm(fleet))
    fleet.run(test_fleet.END)
    test_fleet.nothing_lost(fleet)
    assert sum(fleet.handovers.values()) > 40
    assert not fleet.under_way()


def shift(fleet: SharesFleet, until: float) -> None:
    """Ask for another move every few seconds, whatever becomes of it."""
    leader = fleet.leader()
    if leader is not None:
        source, target = fleet.rng.sample([n.name for n in fleet.nodes], 2)
        body = {
            "RequestId": f"r-{int(fleet.now * 10)}", "From": source, "To": target, "Type": "g2",
            "Count": fleet.rng.randrange(1, 12), "Mode": fleet.rng.choice(["finish", "drain"]),
            "Until": EPOCH + fleet.now + fleet.rng.uniform(5.0, 30.0),
        }  # fmt: skip
        fleet.send("/shares/move", body, leader)
    if fleet.now < until:
        fleet.after(fleet.rng.uniform(1.0, 4.0), lambda: shift(fleet, until))


def test_the_world_notices_a_token_that_does_not_rise() -> None:
    """The check itself: a record that changes the owner under the old token is caught."""
    fleet = running()
    machine = fleet.up()[0]
    roster, _ = fleet.roster()
    assert roster is not None
    other = next(m for m in roster.members if m.name != fleet.owner_of(machine))
    fleet.store.set(f"cf/s/{machine}", [1, 0, other.name, other.lease_id, 1])
    with pytest.raises(RuleBrokenError, match="changed hands"):
        fleet.run(fleet.now + 1.0)
