"""The single guards of a handover, on one controller: each seen to fail without it."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.strategies import integers, sampled_from

from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.settings import Settings
from coursefold.shares import moves
from coursefold.shares.config import SharesConfig
from coursefold.shares.port import MachineState
from coursefold.shares.shares import Shares
from coursefold.shares.targets import Transfer
from coursefold.storage import codec, records
from coursefold.storage.edits import Change, DeleteKey, NotApplicableError
from coursefold.storage.share_records import MachineOwnership, MoveMode, MoveStage
from tests.shares_world import shares_file
from tests.world import EPOCH, SETTINGS, World

MACHINE = "i-1"
KEY = records.ownership_key(MACHINE)
REPLICA = {"Shape": "standing", "Rank": "prod", "Owner": "red"}


class Pair(World):
    """`n0` leads and owns a machine with a replica on it; `n1` is there and is heard."""

    def __init__(self) -> None:
        super().__init__()
        self.join("n1", "b")
        permit = self.store.keys[records.MEMBER_PREFIX + "n1"][0][1]
        self.store.set(records.VERSION_PREFIX + "n1", [records.SHARES_LEVEL, permit])
        self.store.set(str(records.FORMAT_LEVEL_KEY), [records.SHARES_LEVEL])
        config = SharesConfig(shares_file(), msgspec.convert(SETTINGS, Settings))
        self.shares = Shares(config, self.core)
        self.counter = 0
        self.listed[MACHINE] = {
            "NameId": MACHINE, "Addr": "10.0.0.9:9000", "Build": "g2", "Site": "a",
            "Loaners": False, "Status": "running", "HeldS": 60.0,
        }  # fmt: skip
        self.run(3.0)
        self.token = self.core.view.fencing_token
        for _ in range(2):
            self.says([])
            self.run(self.now + 1.0)
        self.submit("job-1", **REPLICA)
        self.run(self.now + 1.0)
        assert self.says([])["Orders"][0].verb == "run"
        self.run(self.now + 1.0)
        self.says([self.task()])

    @staticmethod
    def task() -> dict[str, Any]:
        return {"Piece": "job-1/0", "Try": 1, "Status": "running"}

    def says(self, tasks: list[dict[str, Any]], token: int = 0, **fields: Any) -> Any:
        """A report of the machine: the body of its answer, or the status of a refusal."""
        self.counter += 1
        answer = self.report(
            MACHINE, tasks, Counter=self.counter, Baton=token or self.token, **fields
        )
        assert answer is not None
        return answer.body if answer.status == 200 else answer.status

    def moves_to(self, new_owner: str, **changes: Any) -> None:
        """The leader's commit that requests a move."""
        record = MachineOwnership(
            self.store.ledger, MoveStage.DRAINING, source="n0", target=new_owner,
            roster_token=self.token, stage_started_at=EPOCH + self.now,
            expires_at=EPOCH + self.now + 60.0,
        )  # fmt: skip
        self.store.set(str(KEY), msgspec.to_builtins(msgspec.structs.replace(record, **changes)))
        self._news()

    def hears(self, state_age: float = 0.0) -> None:
        """`n1` is there, under the same roster."""
        self.peer(self.peer_frame("n1", state_age))

    def ticks(self, seconds: float = 0.5, state_age: float = 0.0) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.hears(state_age)
            self.run(self.now + 0.25)

    def record(self) -> MachineOwnership:
        found = codec.decode_record(KEY, self.store.keys[str(KEY)][0])
        assert isinstance(found, MachineOwnership)
        return found

    def sends_nothing(self) -> None:
        """Transactions wait in the queue: their outcome is not known for as long."""
        self.core.queue.paused_until = MonotonicTime(1e9)


def test_a_running_replica_is_handed_over_and_its_worker_sent_on() -> None:
    world = Pair()
    world.moves_to("n1")
    requested_at = world.core.view.version_of(KEY)
    world.ticks()
    assert (world.record().owner, world.record().token) == ("n1", requested_at)
    assert world.says([world.task()]) == 421


@pytest.mark.parametrize(
    ("changes", "state_age"),
    [
        ({"source": "n2"}, 0.0),  # another's to hand over
        ({"expires_at": EPOCH}, 0.0),  # its time is over
        ({"target": "n2"}, 0.0),  # who is not there
        ({}, 9.0),  # the new owner is without the state service
    ],
)
def test_what_is_not_handed_over(changes: dict[str, Any], state_age: float) -> None:
    world = Pair()
    world.moves_to("n1", **changes)
    world.ticks(2.0, state_age)
    assert not world.record().owner
    assert world.says([world.task()])["Orders"] == []


def test_a_move_requested_under_an_older_roster_is_renewed_first() -> None:
    """Else its token would be lower than the one that the machine knows."""
    world = Pair()
    world.moves_to("n1", roster_token=1)
    requested_at = world.core.view.version_of(KEY)
    assert world.shares.handover.waiting_reasons == {}
    world.shares.handover.tick()
    assert not world.core.ctx.ownership.is_released(MACHINE)
    world.ticks(1.0)
    assert world.record().owner == "n1"
    assert world.record().token > requested_at


def test_no_command_goes_out_while_the_outcome_of_a_handover_is_unknown() -> None:
    """The lease is renewed all the same; a `run` could meet the new owner's."""
    world = Pair()
    world.sends_nothing()
    world.moves_to("n1")
    world.ticks()
    assert world.core.ctx.ownership.is_released(MACHINE)
    assert world.says([]) == {"Baton": world.token, "Orders": []}
    # Withdrawn: it is ours again, and what is missing is started.
    world.moves_to("n1", stage=MoveStage.SETTLED)
    assert world.says([])["Orders"][0].verb == "run"


def test_silence_proves_nothing_while_the_outcome_of_a_handover_is_unknown() -> None:
    world = Pair()
    world.sends_nothing()
    world.moves_to("n1", expires_at=EPOCH + 1000.0)
    world.ticks(20.0)
    assert world.core.ctx.is_active()
    assert not world.core.ctx.machines[MACHINE].lease_expired
    assert not [k for k in world.core.queue.waiting_edits if k.startswith(records.JOB_PREFIX)]


def test_leases_are_renewed_no_longer_than_the_leader_waits_for_them() -> None:
    """Siblings may vouch as long as they like: the handover may have come about meanwhile."""
    world = Pair()
    world.sends_nothing()
    world.moves_to("n1", expires_at=EPOCH + 1000.0)
    world.ticks()
    since, longest = world.now, world.core.ctx.max_renewal_s()
    world.state = "down"
    permits = {p.name: p.lease_id for p in world.core.view.members.values()}
    while world.now < since + longest + 5.0:
        for member in ("n1", "n2"):
            permit = permits.get(member, 0)
            world.peer(world.peer_frame(member, world.now - since + 3.0, permit=permit, told={}))
        world.run(world.now + 0.5)
        answer = world.says([world.task()])
        if world.now < since + longest - 1.0:
            assert answer["Orders"] == []
    assert answer == 503


def given_to_us(world: Pair, token: int) -> None:
    """A handover to `n0` under this fencing token."""
    roster = world.core.view.roster
    assert roster is not None
    mine = roster.find_member("n0")
    assert mine is not None
    world.moves_to(
        "n0",
        stage=MoveStage.SETTLED,
        owner="n0",
        incarnation=mine.lease_id,
        token=token,
        source="n1",
    )


def test_a_new_owner_uses_the_raised_token_and_waits_until_it_is_shown() -> None:
    world = Pair()
    token = world.store.ledger
    given_to_us(world, token)
    assert world.says([])["Baton"] == token
    ctx = world.core.ctx
    assert not ctx.machines[MACHINE].token_confirmed
    # Absence under an older token proves nothing, nor does silence; under the new one it does.
    world.cancel("job-1")
    world.says([])
    assert world.core.view.find_entry(JobId("job-1"), 0) is not None
    world.run(world.now + 1.0)
    world.says([world.task()], token)
    assert ctx.machines[MACHINE].token_confirmed
    assert world.direct[-1].token == token if world.direct else True
    world.says([], token)
    world.run(world.now + 0.5)
    assert world.core.view.find_entry(JobId("job-1"), 0) is None


def test_a_stop_to_the_workers_own_address_carries_the_raised_token() -> None:
    world = Pair()
    token = world.store.ledger
    given_to_us(world, token)
    for _ in range(2):
        world.says([world.task()], token)
        world.run(world.now + 0.5)
    world.cancel("job-1")
    world.run(world.now + 0.5)
    assert [direct.token for direct in world.direct] == [token]


def test_nobody_acts_on_a_handover_before_what_came_before_it_is_known() -> None:
    world = Pair()
    token = world.store.ledger
    followed = world.core.view.revision
    given_to_us(world, token)
    world.core.view.revision = followed  # the record alone was read again
    assert world.says([], token) == 503
    world.core.view.revision = world.store.ledger
    assert world.says([], token)["Baton"] == token


def test_silence_under_an_older_token_proves_nothing_after_a_handover() -> None:
    """The old owner may have answered the machine since; the cloud can not be asked."""
    world = Pair()
    given_to_us(world, world.store.ledger)
    world.says([world.task()])
    world.cancel("job-1")
    world.cloud = "down"
    job, since = JobId("job-1"), world.now
    while world.now < since + 40.0:
        world.ticks(0.5)
        assert world.core.view.find_entry(job, 0) is not None
    assert world.core.ctx.machines[MACHINE].lease_expired
    world.ticks(10.0)  # longer than anybody may have renewed its lease
    assert world.core.view.find_entry(job, 0) is None


def counted(world: Pair) -> tuple[bool, bool]:
    """Does the sizing loop count the machine's room, and as one that is to go?"""
    rooms = {room.id: room for room in world.core.fleet.pool_control.current_and_booting_capacity()}
    return MACHINE in rooms, MACHINE in rooms and rooms[MACHINE].is_unschedulable


@pytest.mark.parametrize("how", ["sick", "silent", "recalled", "kept for a gang"])
def test_machines_that_are_not_chosen_for_a_move(how: str) -> None:
    """The owner would refuse them too; but each would use up a move, and its time."""
    world = Pair()
    machine = world.core.ctx.machines[MACHINE]
    assert [state.obstacle for state in world.shares.port.list_machines()] == [""]
    if how == "sick":
        machine.quarantined = True
    elif how == "silent":
        world.run(world.now + 8.0)
    elif how == "recalled":
        world.says([world.task()], RecallS=30.0)
    else:
        world.core.leader.requested_machines[MACHINE] = world.core.ctx.now + 9.0
    states = world.shares.port.list_machines()
    assert all(state.obstacle for state in states)
    transfer = Transfer("n0", "n1", 1)
    assert world.shares.planner.choose_machines(transfer, states, 1) == []


def test_machines_of_the_new_owners_zone_go_first_and_empty_ones_among_them() -> None:
    world = Pair()
    state = MachineState("i-1", "g2", "a", "n0", 0, True, "")
    states = [
        state,
        state._replace(id="i-2", zone="b", ending_task_count=2),
        state._replace(id="i-3", zone="b"),
        state._replace(id="i-4", owner="n2"),
    ]
    found = world.shares.planner.choose_machines(Transfer("n0", "n1", 9), states, 9)
    assert [s.id for s in found] == ["i-3", "i-2", "i-1"]


def time_is_over(world: Pair) -> None:
    world.moves_to("n1", expires_at=EPOCH + world.now + 1.0)


def is_returned(world: Pair) -> None:
    world.moves_to("n1", expires_at=EPOCH + 1000.0)
    world.cloud = "down"  # so it stays for now
    world.core.fleet.inventory.returning[MACHINE] = "for the test"


def new_owner_ends(world: Pair) -> None:
    world.moves_to("n1", expires_at=EPOCH + 1000.0)
    world.store.end(world.store.keys[records.MEMBER_PREFIX + "n1"][0][1])


def old_owner_is_another(world: Pair) -> None:
    world.moves_to("n1", source="n2", expires_at=EPOCH + 1000.0)


@pytest.mark.parametrize(
    ("happens", "why"),
    [
        (time_is_over, "time"),
        (is_returned, "returned"),
        (new_owner_ends, "controllers"),
        (old_owner_is_another, "controllers"),
    ],
)
def test_a_move_that_can_not_come_to_its_handover_is_withdrawn(
    happens: Callable[[Pair], None], why: str
) -> None:
    world = Pair()
    happens(world)
    for _ in range(4):
        world.run(world.now + 1.0)  # `n1` is not heard, and is handed nothing
        world.says([world.task()])
    assert world.record().stage == MoveStage.SETTLED
    assert not world.record().owner
    assert why in world.record().why


def test_a_move_rents_nothing_and_yields_to_a_job_that_waits_for_its_room() -> None:
    """The machine holds one more task, which has to wait for the move, or for its end."""
    world = Pair()
    world.moves_to("n1", expires_at=EPOCH + 1000.0)  # which is not heard
    assert counted(world) == (True, False)
    hires = sum(verb == "hire" for verb, _ in world.calls)
    world.submit("job-2", **REPLICA)
    since = world.now
    while world.core.view.find_entry(JobId("job-2"), 0) is None:
        assert world.now < since + 60.0
        world.says([world.task()])
        world.run(world.now + 1.0)
    assert world.now > since + 20.0
    assert sum(verb == "hire" for verb, _ in world.calls) == hires


def test_a_machine_counts_while_its_new_owner_waits_for_it() -> None:
    world = Pair()
    hires = sum(verb == "hire" for verb, _ in world.calls)
    given_to_us(world, world.store.ledger)
    world.submit("job-2", **REPLICA)
    assert MACHINE not in world.core.ctx.machines
    assert counted(world) == (True, False)
    world.ticks(3.0)
    assert sum(verb == "hire" for verb, _ in world.calls) == hires


def test_an_assignment_ends_with_its_owners_process() -> None:
    world = Pair()
    permit = world.store.keys[records.MEMBER_PREFIX + "n1"][0][1]
    world.moves_to("n1", stage=MoveStage.SETTLED, owner="n1", incarnation=permit, token=5)
    assert world.core.ctx.owner_of(MACHINE, "a") == "n1"
    world.moves_to("n1", stage=MoveStage.SETTLED, owner="n1", incarnation=permit + 1, token=5)
    assert world.core.ctx.owner_of(MACHINE, "a") == "n0"


@pytest.mark.parametrize(
    "value",
    [
        [1, 0, "n1", 1, 1 << 40],  # a token from the future
        [-1, 0, "n1", 1, 5],
        [1, 7, "n1", 1, 5],
        ["x"],
        {"owner": "n1"},
        None,
    ],
)
def test_a_record_that_can_not_be_is_left_alone(value: Any) -> None:
    world = Pair()
    world.store.set(str(KEY), value)
    world._news()
    assert world.core.ctx.owner_of(MACHINE, "a") == "n0"
    assert world.core.ctx.machine_token(MACHINE) == world.token
    assert world.says([world.task()])["Orders"] == []
    assert KEY in world.core.view.unreadable_keys


def test_a_record_goes_only_once_the_rosters_token_stands_for_it() -> None:
    """Else the machine's token would fall, and its worker take no answer any more."""
    world = Pair()
    given_to_us(world, world.store.ledger)
    world.ticks(15.0)
    assert str(KEY) in world.store.keys
    world.join("n2", "a")
    world.store.set(
        records.VERSION_PREFIX + "n2", [records.SHARES_LEVEL, world.store.keys["cf/m/n2"][0][1]]
    )
    world.ticks(20.0)
    assert world.core.view.fencing_token > world.token
    owner = world.core.ctx.owner_by_hash(MACHINE, "a", world.core.view.roster)  # type: ignore[arg-type]
    assert (str(KEY) in world.store.keys) == (owner != "n0")


DRAINING = MachineOwnership(5, MoveStage.DRAINING, source="n0", target="n1", roster_token=3)
SETTLED = msgspec.structs.replace(DRAINING, stage=MoveStage.SETTLED)
SECOND = moves.Move(MACHINE, "n0", "n2", 9, MoveMode.FINISH, EPOCH, "second")


@pytest.mark.parametrize(
    ("change", "record"),
    [
        (moves.request_move(SECOND, 3, EPOCH), DRAINING),  # one at a time
        (moves.request_move(SECOND._replace(epoch=5), 3, EPOCH), SETTLED),  # an epoch of before
        (moves.withdraw_move(4, EPOCH, ""), DRAINING),  # another move's epoch
        (moves.withdraw_move(5, EPOCH, ""), SETTLED),  # handed over already
        (moves.withdraw_move(5, EPOCH, ""), None),
        (moves.renew_move(DRAINING, 7), SETTLED),
        (moves.hand_over_machine(DRAINING, 6, 1, EPOCH), SETTLED),  # withdrawn
        (
            moves.hand_over_machine(DRAINING, 6, 1, EPOCH),
            msgspec.structs.replace(DRAINING, target="n2"),
        ),
        (moves.delete_unchanged(SETTLED), DRAINING),
    ],
)
def test_a_step_that_comes_too_late_changes_nothing(
    change: Change, record: MachineOwnership | None
) -> None:
    with pytest.raises(NotApplicableError):
        change(record)


def test_a_machine_is_used_again_when_a_move_has_run_out_of_time() -> None:
    """Also where no leader has a file any more, who would withdraw it."""
    world = Pair()
    world.core.extensions.clear()
    world.moves_to("n1", expires_at=EPOCH + world.now + 5.0)
    world.submit("job-2", **REPLICA)
    for seconds in (4.0, 4.0):
        assert world.core.view.find_entry(JobId("job-2"), 0) is None
        world.says([world.task()])
        world.run(world.now + seconds)
    world.says([world.task()])
    world.run(world.now + 1.0)
    entry = world.core.view.find_entry(JobId("job-2"), 0)
    assert entry is not None
    assert entry.machine == MACHINE


class MoveSteps(RuleBasedStateMachine):
    """One machine's record under edits that come in any order, twice, or late."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = self.roster = 10
        self.record: MachineOwnership | None = None
        self.stamp = 0
        self.held: list[tuple[Change, int, int]] = []  # transactions that are under way
        self.shown: list[tuple[str, int]] = [("n0", 10)]  # owners and tokens, in order
        self.epochs: list[int] = []

    def owner(self) -> str:
        return self.record.owner if self.record and self.record.owner else "n0"

    def send(self, change: Change, late: bool) -> None:
        transaction = (change, self.stamp, self.roster)
        self.held.append(transaction)
        if not late:
            self.land(transaction)

    def land(self, transaction: tuple[Change, int, int]) -> None:
        change, stamp, roster = transaction
        if stamp != self.stamp or roster != self.roster:
            return  # its conditions fail
        try:
            result = change(self.record)
        except NotApplicableError:
            return
        assert not isinstance(result, DeleteKey)
        assert isinstance(result, MachineOwnership)
        self.revision += 1
        self.record, self.stamp = result, self.revision
        self.epochs.append(result.epoch)
        if self.owner() != self.shown[-1][0] or result.token != self.shown[-1][1]:
            self.shown.append((self.owner(), max(result.token, self.roster)))

    @rule(new_owner=sampled_from(["n0", "n1", "n2"]), late=sampled_from([False, True]))
    def request(self, new_owner: str, late: bool) -> None:
        if new_owner == self.owner():
            return
        until = EPOCH + 60.0
        move = moves.Move(
            MACHINE, self.owner(), new_owner, self.revision, MoveMode.FINISH, until, "drawn"
        )
        self.send(moves.request_move(move, self.roster, EPOCH), late)

    @precondition(lambda self: self.record is not None)
    @rule(late=sampled_from([False, True]))
    def withdraw(self, late: bool) -> None:
        assert self.record is not None
        self.send(moves.withdraw_move(self.record.epoch, EPOCH, "drawn"), late)

    @precondition(lambda self: self.record is not None and self.record.stage == MoveStage.DRAINING)
    @rule(late=sampled_from([False, True]))
    def hand_over(self, late: bool) -> None:
        assert self.record is not None
        if self.record.roster_token == self.roster:
            self.send(moves.hand_over_machine(self.record, self.stamp, 1, EPOCH), late)

    @rule()
    def new_roster(self) -> None:
        self.revision += 1
        self.roster = self.revision
        self.shown.append((self.owner(), self.roster))

    @precondition(lambda self: bool(self.held))
    @rule(at=integers(0, 1000))
    def lands_late(self, at: int) -> None:
        self.land(self.held[at % len(self.held)])

    @invariant()
    def tokens_and_epochs_rise(self) -> None:
        for (before, old), (after, new) in zip(self.shown, self.shown[1:], strict=False):
            assert new > old or (before, old) == (after, new)
        assert self.epochs == sorted(self.epochs)


TestMoveSteps = MoveSteps.TestCase
TestMoveSteps.settings = hypothesis_settings(max_examples=60, stateful_step_count=30)
