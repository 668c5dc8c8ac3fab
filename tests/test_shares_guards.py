"""Single safety conditions of a machine handover, each tested on one controller."""

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


class TwoControllerWorld(World):
    """A cell where `n0` leads and owns a machine that runs a replica, and `n1` is a live member."""

    def __init__(self) -> None:
        super().__init__()
        self.join("n1", "b")
        lease_id = self.store.keys[records.MEMBER_PREFIX + "n1"][0][1]
        self.store.set(records.VERSION_PREFIX + "n1", [records.SHARES_LEVEL, lease_id])
        self.store.set(str(records.FORMAT_LEVEL_KEY), [records.SHARES_LEVEL])
        config = SharesConfig(shares_file(), msgspec.convert(SETTINGS, Settings))
        self.shares = Shares(config, self.core)
        self.report_sequence = 0
        self.listed[MACHINE] = {
            "NameId": MACHINE, "Addr": "10.0.0.9:9000", "Build": "g2", "Site": "a",
            "Loaners": False, "Status": "running", "HeldS": 60.0,
        }  # fmt: skip
        self.run(3.0)
        self.token = self.core.view.fencing_token
        for _ in range(2):
            self.report_tasks([])
            self.run(self.now + 1.0)
        self.submit("job-1", **REPLICA)
        self.run(self.now + 1.0)
        assert self.report_tasks([])["Orders"][0].verb == "run"
        self.run(self.now + 1.0)
        self.report_tasks([self.task()])

    @staticmethod
    def task() -> dict[str, Any]:
        return {"Piece": "job-1/0", "Try": 1, "Status": "running"}

    def report_tasks(self, tasks: list[dict[str, Any]], token: int = 0, **fields: Any) -> Any:
        """Send a report of the machine and return the response body, or the status of a refusal.

        Args:
            tasks: Tasks that the machine reports.
            token: Fencing token that the machine reports; 0 means the initial roster's token.
            **fields: Other fields of the report.
        """
        self.report_sequence += 1
        response = self.report(
            MACHINE, tasks, Counter=self.report_sequence, Baton=token or self.token, **fields
        )
        assert response is not None
        return response.body if response.status == 200 else response.status

    def commit_move(self, new_owner: str, **changes: Any) -> None:
        """Commit a move request of the leader; `changes` replace fields of its record."""
        record = MachineOwnership(
            self.store.revision, MoveStage.DRAINING, source="n0", target=new_owner,
            roster_token=self.token, stage_started_at=EPOCH + self.now,
            expires_at=EPOCH + self.now + 60.0,
        )  # fmt: skip
        self.store.set(str(KEY), msgspec.to_builtins(msgspec.structs.replace(record, **changes)))
        self._watch()

    def receive_peer_frame(self, state_age: float = 0.0) -> None:
        """Deliver a frame from `n1`, whose view of the state service is `state_age` seconds old."""
        self.peer(self.peer_frame("n1", state_age))

    def run_with_peer(self, seconds: float = 0.5, state_age: float = 0.0) -> None:
        """Run for `seconds` while frames from `n1` keep arriving."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.receive_peer_frame(state_age)
            self.run(self.now + 0.25)

    def ownership_record(self) -> MachineOwnership:
        """Return the stored ownership record of the machine."""
        record = codec.decode_record(KEY, self.store.keys[str(KEY)][0])
        assert isinstance(record, MachineOwnership)
        return record

    def pause_transactions(self) -> None:
        """Hold transactions in the queue, so that their outcome stays unknown."""
        self.core.queue.paused_until = MonotonicTime(1e9)


def test_a_running_replica_is_handed_over_and_its_worker_sent_on() -> None:
    """The old owner's handover uses the request's revision as token and redirects the worker."""
    world = TwoControllerWorld()
    world.commit_move("n1")
    requested_at = world.core.view.version_of(KEY)
    world.run_with_peer()
    assert (world.ownership_record().owner, world.ownership_record().token) == ("n1", requested_at)
    assert world.report_tasks([world.task()]) == 421


@pytest.mark.parametrize(
    ("changes", "state_age"),
    [
        ({"source": "n2"}, 0.0),  # another controller has to hand it over
        ({"expires_at": EPOCH}, 0.0),  # the move has expired
        ({"target": "n2"}, 0.0),  # the new owner is not a member
        ({}, 9.0),  # the new owner has lost the state service
    ],
)
def test_a_machine_is_not_handed_over_when_source_time_or_target_is_wrong(
    changes: dict[str, Any], state_age: float
) -> None:
    """Guards against a handover by a controller that is not the recorded source, after the
    expiry, or to a controller that could not command the machine.
    """
    world = TwoControllerWorld()
    world.commit_move("n1", **changes)
    world.run_with_peer(2.0, state_age)
    assert not world.ownership_record().owner
    assert world.report_tasks([world.task()])["Orders"] == []


def test_a_move_requested_under_an_older_roster_is_renewed_first() -> None:
    """Without the renewal the handover's token would be lower than the one the machine knows."""
    world = TwoControllerWorld()
    world.commit_move("n1", roster_token=1)
    requested_at = world.core.view.version_of(KEY)
    assert world.shares.handover.waiting_reasons == {}
    world.shares.handover.tick()
    assert not world.core.ctx.ownership.is_released(MACHINE)
    world.run_with_peer(1.0)
    assert world.ownership_record().owner == "n1"
    assert world.ownership_record().token > requested_at


def test_no_command_goes_out_while_the_outcome_of_a_handover_is_unknown() -> None:
    """The lease is still renewed, but a `run` could start a task that the new owner also starts."""
    world = TwoControllerWorld()
    world.pause_transactions()
    world.commit_move("n1")
    world.run_with_peer()
    assert world.core.ctx.ownership.is_released(MACHINE)
    assert world.report_tasks([]) == {"Baton": world.token, "Orders": []}
    # After the withdrawal `n0` owns the machine again and starts the missing task.
    world.commit_move("n1", stage=MoveStage.SETTLED)
    assert world.report_tasks([])["Orders"][0].verb == "run"


def test_an_unanswered_handover_keeps_a_silent_machine_from_expiring() -> None:
    """A machine that reports to its new owner must not be taken for lost by the old one, which
    would start its tasks again elsewhere.
    """
    world = TwoControllerWorld()
    world.pause_transactions()
    world.commit_move("n1", expires_at=EPOCH + 1000.0)
    world.run_with_peer(20.0)
    assert world.core.ctx.is_active()
    assert not world.core.ctx.machines[MACHINE].lease_expired
    assert not [key for key in world.core.queue.waiting_edits if key.startswith(records.JOB_PREFIX)]


def test_leases_are_renewed_no_longer_than_the_leader_waits_for_them() -> None:
    """Frames from siblings must not extend the renewal: the handover may have been committed
    meanwhile, and the leader waits only `max_renewal_s` for the old owner's leases.
    """
    world = TwoControllerWorld()
    world.pause_transactions()
    world.commit_move("n1", expires_at=EPOCH + 1000.0)
    world.run_with_peer()
    started_at, longest_s = world.now, world.core.ctx.max_renewal_s()
    world.state = "down"
    lease_ids = {m.name: m.lease_id for m in world.core.view.members.values()}
    while world.now < started_at + longest_s + 5.0:
        for member in ("n1", "n2"):
            lease_id = lease_ids.get(member, 0)
            world.peer(
                world.peer_frame(
                    member, world.now - started_at + 3.0, lease_id=lease_id, cancellations={}
                )
            )
        world.run(world.now + 0.5)
        response = world.report_tasks([world.task()])
        if world.now < started_at + longest_s - 1.0:
            assert response["Orders"] == []
    assert response == 503


def hand_machine_to_n0(world: TwoControllerWorld, token: int) -> None:
    """Commit a completed handover from `n1` to `n0` under the fencing token `token`."""
    roster = world.core.view.roster
    assert roster is not None
    member = roster.find_member("n0")
    assert member is not None
    world.commit_move(
        "n0",
        stage=MoveStage.SETTLED,
        owner="n0",
        incarnation=member.lease_id,
        token=token,
        source="n1",
    )


def test_a_new_owner_uses_the_raised_token_and_waits_until_it_is_shown() -> None:
    """A report under an older token may predate the handover: taking its missing task for ended
    would let the task run twice.
    """
    world = TwoControllerWorld()
    token = world.store.revision
    hand_machine_to_n0(world, token)
    assert world.report_tasks([])["Baton"] == token
    ctx = world.core.ctx
    assert not ctx.machines[MACHINE].token_confirmed
    # A report without the task proves that it ended only if it shows the new token.
    world.cancel("job-1")
    world.report_tasks([])
    assert world.core.view.find_entry(JobId("job-1"), 0) is not None
    world.run(world.now + 1.0)
    world.report_tasks([world.task()], token)
    assert ctx.machines[MACHINE].token_confirmed
    assert world.sent_commands[-1].token == token if world.sent_commands else True
    world.report_tasks([], token)
    world.run(world.now + 0.5)
    assert world.core.view.find_entry(JobId("job-1"), 0) is None


def test_a_stop_to_the_workers_own_address_carries_the_raised_token() -> None:
    """A worker refuses a direct stop that carries the token of before its handover."""
    world = TwoControllerWorld()
    token = world.store.revision
    hand_machine_to_n0(world, token)
    for _ in range(2):
        world.report_tasks([world.task()], token)
        world.run(world.now + 0.5)
    world.cancel("job-1")
    world.run(world.now + 0.5)
    assert [direct.token for direct in world.sent_commands] == [token]


def test_a_new_owner_refuses_reports_until_it_knows_all_earlier_commits() -> None:
    """A new owner that lacks commits of before the handover would act on outdated tasks."""
    world = TwoControllerWorld()
    token = world.store.revision
    known_revision = world.core.view.revision
    hand_machine_to_n0(world, token)
    world.core.view.revision = known_revision  # only the record was read, not the commits before it
    assert world.report_tasks([], token) == 503
    world.core.view.revision = world.store.revision
    assert world.report_tasks([], token)["Baton"] == token


def test_a_silent_machine_keeps_its_tasks_until_the_old_owners_renewals_end() -> None:
    """The old owner may have renewed the machine's lease since, and the cloud can not be asked."""
    world = TwoControllerWorld()
    hand_machine_to_n0(world, world.store.revision)
    world.report_tasks([world.task()])
    world.cancel("job-1")
    world.cloud = "down"
    job, started_at = JobId("job-1"), world.now
    while world.now < started_at + 40.0:
        world.run_with_peer(0.5)
        assert world.core.view.find_entry(job, 0) is not None
    assert world.core.ctx.machines[MACHINE].lease_expired
    world.run_with_peer(10.0)  # longer than any controller may renew its lease
    assert world.core.view.find_entry(job, 0) is None


def capacity_state(world: TwoControllerWorld) -> tuple[bool, bool]:
    """Return whether the sizing loop counts the machine, and whether as unschedulable."""
    capacities = {
        capacity.id: capacity
        for capacity in world.core.fleet.pool_control.current_and_booting_capacity()
    }
    return MACHINE in capacities, MACHINE in capacities and capacities[MACHINE].is_unschedulable


@pytest.mark.parametrize("how", ["sick", "silent", "recalled", "kept for a gang"])
def test_a_machine_with_an_obstacle_is_not_chosen_for_a_move(how: str) -> None:
    """Their owner would refuse them anyway, but each would use up one of the moves and its time."""
    world = TwoControllerWorld()
    machine = world.core.ctx.machines[MACHINE]
    assert [state.obstacle for state in world.shares.port.list_machines()] == [""]
    if how == "sick":
        machine.quarantined = True
    elif how == "silent":
        world.run(world.now + 8.0)
    elif how == "recalled":
        world.report_tasks([world.task()], RecallS=30.0)
    else:
        world.core.leader.requested_machines[MACHINE] = world.core.ctx.now + 9.0
    states = world.shares.port.list_machines()
    assert all(state.obstacle for state in states)
    transfer = Transfer("n0", "n1", 1)
    assert world.shares.planner.choose_machines(transfer, states, 1) == []


def test_machines_of_the_new_owners_zone_go_first_and_empty_ones_among_them() -> None:
    """Another order would move machines of other zones, or wait for tasks to end, while
    empty machines of the new owner's zone exist.
    """
    world = TwoControllerWorld()
    state = MachineState("i-1", "g2", "a", "n0", 0, True, "")
    states = [
        state,
        state._replace(id="i-2", zone="b", ending_task_count=2),
        state._replace(id="i-3", zone="b"),
        state._replace(id="i-4", owner="n2"),
    ]
    chosen = world.shares.planner.choose_machines(Transfer("n0", "n1", 9), states, 9)
    assert [state.id for state in chosen] == ["i-3", "i-2", "i-1"]


def deadline_passes(world: TwoControllerWorld) -> None:
    """Commit a move that expires after one second."""
    world.commit_move("n1", expires_at=EPOCH + world.now + 1.0)


def machine_is_returned(world: TwoControllerWorld) -> None:
    """Return the moving machine to the cloud while the cloud does not answer."""
    world.commit_move("n1", expires_at=EPOCH + 1000.0)
    world.cloud = "down"  # the return cannot complete
    world.core.fleet.inventory.returning[MACHINE] = "for the test"


def new_owner_lease_ends(world: TwoControllerWorld) -> None:
    """End the lease of the controller that is to receive the machine."""
    world.commit_move("n1", expires_at=EPOCH + 1000.0)
    world.store.end_lease(world.store.keys[records.MEMBER_PREFIX + "n1"][0][1])


def recorded_source_is_another(world: TwoControllerWorld) -> None:
    """Commit a move whose recorded source is not the machine's owner."""
    world.commit_move("n1", source="n2", expires_at=EPOCH + 1000.0)


@pytest.mark.parametrize(
    ("happens", "why"),
    [
        (deadline_passes, "time"),
        (machine_is_returned, "returned"),
        (new_owner_lease_ends, "controllers"),
        (recorded_source_is_another, "controllers"),
    ],
)
def test_a_move_that_can_not_come_to_its_handover_is_withdrawn(
    happens: Callable[[TwoControllerWorld], None], why: str
) -> None:
    """A move that stays in the draining stage would keep its machine out of use."""
    world = TwoControllerWorld()
    happens(world)
    for _ in range(4):
        world.run(world.now + 1.0)  # without frames from `n1` nothing is handed over
        world.report_tasks([world.task()])
    assert world.ownership_record().stage == MoveStage.SETTLED
    assert not world.ownership_record().owner
    assert why in world.ownership_record().why


def test_a_move_rents_nothing_and_yields_to_a_job_that_waits_for_its_room() -> None:
    """The machine has capacity for one more task, which has to wait until the move ends. Counting
    the machine as lost would rent another one.
    """
    world = TwoControllerWorld()
    world.commit_move("n1", expires_at=EPOCH + 1000.0)  # `n1` sends no frames
    assert capacity_state(world) == (True, False)
    rental_count = sum(verb == "hire" for verb, _ in world.calls)
    world.submit("job-2", **REPLICA)
    started_at = world.now
    while world.core.view.find_entry(JobId("job-2"), 0) is None:
        assert world.now < started_at + 60.0
        world.report_tasks([world.task()])
        world.run(world.now + 1.0)
    assert world.now > started_at + 20.0
    assert sum(verb == "hire" for verb, _ in world.calls) == rental_count


def test_a_machine_counts_while_its_new_owner_waits_for_it() -> None:
    """A machine between two owners that is not counted would make the leader rent another one."""
    world = TwoControllerWorld()
    rental_count = sum(verb == "hire" for verb, _ in world.calls)
    hand_machine_to_n0(world, world.store.revision)
    world.submit("job-2", **REPLICA)
    assert MACHINE not in world.core.ctx.machines
    assert capacity_state(world) == (True, False)
    world.run_with_peer(3.0)
    assert sum(verb == "hire" for verb, _ in world.calls) == rental_count


def test_an_assignment_ends_with_its_owners_process() -> None:
    """A restarted controller has a new lease; the record must not give it the machine again."""
    world = TwoControllerWorld()
    lease_id = world.store.keys[records.MEMBER_PREFIX + "n1"][0][1]
    world.commit_move("n1", stage=MoveStage.SETTLED, owner="n1", incarnation=lease_id, token=5)
    assert world.core.ctx.owner_of(MACHINE, "a") == "n1"
    world.commit_move("n1", stage=MoveStage.SETTLED, owner="n1", incarnation=lease_id + 1, token=5)
    assert world.core.ctx.owner_of(MACHINE, "a") == "n0"


@pytest.mark.parametrize(
    "value",
    [
        [1, 0, "n1", 1, 1 << 40],  # a token above the store revision
        [-1, 0, "n1", 1, 5],
        [1, 7, "n1", 1, 5],
        ["x"],
        {"owner": "n1"},
        None,
    ],
)
def test_an_invalid_ownership_record_is_ignored(value: Any) -> None:
    """An invalid record is ignored: acting on it would change the owner or the token."""
    world = TwoControllerWorld()
    world.store.set(str(KEY), value)
    world._watch()
    assert world.core.ctx.owner_of(MACHINE, "a") == "n0"
    assert world.core.ctx.machine_token(MACHINE) == world.token
    assert world.report_tasks([world.task()])["Orders"] == []
    assert KEY in world.core.view.unreadable_keys


def test_a_record_is_deleted_only_once_the_roster_token_covers_it() -> None:
    """Deleting it earlier lowers the machine's token, and its worker refuses all responses."""
    world = TwoControllerWorld()
    hand_machine_to_n0(world, world.store.revision)
    world.run_with_peer(15.0)
    assert str(KEY) in world.store.keys
    world.join("n2", "a")
    world.store.set(
        records.VERSION_PREFIX + "n2", [records.SHARES_LEVEL, world.store.keys["cf/m/n2"][0][1]]
    )
    world.run_with_peer(20.0)
    assert world.core.view.fencing_token > world.token
    owner = world.core.ctx.owner_by_hash(MACHINE, "a", world.core.view.roster)  # type: ignore[arg-type]
    assert (str(KEY) in world.store.keys) == (owner != "n0")


DRAINING = MachineOwnership(5, MoveStage.DRAINING, source="n0", target="n1", roster_token=3)
SETTLED = msgspec.structs.replace(DRAINING, stage=MoveStage.SETTLED)
SECOND = moves.Move(MACHINE, "n0", "n2", 9, MoveMode.FINISH, EPOCH, "second")


@pytest.mark.parametrize(
    ("change", "record"),
    [
        (moves.request_move(SECOND, 3, EPOCH), DRAINING),  # another move is in progress
        (
            moves.request_move(SECOND._replace(epoch=5), 3, EPOCH),
            SETTLED,
        ),  # the request's epoch is not newer
        (moves.withdraw_move(4, EPOCH, ""), DRAINING),  # the epoch of another move
        (moves.withdraw_move(5, EPOCH, ""), SETTLED),  # already handed over
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
def test_a_late_edit_changes_nothing(change: Change, record: MachineOwnership | None) -> None:
    """A late edit applied to a newer record would undo or repeat a change of owner."""
    with pytest.raises(NotApplicableError):
        change(record)


def test_a_machine_is_used_again_when_a_move_has_run_out_of_time() -> None:
    """A leader without a shares file withdraws no moves, so the owner checks the expiry itself."""
    world = TwoControllerWorld()
    world.core.extensions.clear()
    world.commit_move("n1", expires_at=EPOCH + world.now + 5.0)
    world.submit("job-2", **REPLICA)
    for seconds in (4.0, 4.0):
        assert world.core.view.find_entry(JobId("job-2"), 0) is None
        world.report_tasks([world.task()])
        world.run(world.now + seconds)
    world.report_tasks([world.task()])
    world.run(world.now + 1.0)
    entry = world.core.view.find_entry(JobId("job-2"), 0)
    assert entry is not None
    assert entry.machine == MACHINE


class OwnershipEdits(RuleBasedStateMachine):
    """One machine's ownership record under edits that are applied in any order, twice, or late.

    Guards against two owners under one fencing token, or an epoch that decreases.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = self.roster = 10
        self.record: MachineOwnership | None = None
        self.version = 0
        self.in_flight: list[
            tuple[Change, int, int]
        ] = []  # change, expected version, expected roster
        self.ownership_history: list[tuple[str, int]] = [("n0", 10)]  # (owner, token)
        self.epochs: list[int] = []

    def owner(self) -> str:
        """Return the current owner; `n0` is the one by hash."""
        return self.record.owner if self.record and self.record.owner else "n0"

    def commit(self, change: Change, late: bool) -> None:
        """Start a transaction and, unless it is late, apply it at once."""
        transaction = (change, self.version, self.roster)
        self.in_flight.append(transaction)
        if not late:
            self.apply(transaction)

    def apply(self, transaction: tuple[Change, int, int]) -> None:
        """Apply a transaction if its preconditions hold, as the state service does."""
        change, version, roster = transaction
        if version != self.version or roster != self.roster:
            return  # the preconditions of the transaction fail
        try:
            result = change(self.record)
        except NotApplicableError:
            return
        assert not isinstance(result, DeleteKey)
        assert isinstance(result, MachineOwnership)
        self.revision += 1
        self.record, self.version = result, self.revision
        self.epochs.append(result.epoch)
        if (
            self.owner() != self.ownership_history[-1][0]
            or result.token != self.ownership_history[-1][1]
        ):
            self.ownership_history.append((self.owner(), max(result.token, self.roster)))

    @rule(new_owner=sampled_from(["n0", "n1", "n2"]), late=sampled_from([False, True]))
    def request(self, new_owner: str, late: bool) -> None:
        if new_owner == self.owner():
            return
        until = EPOCH + 60.0
        move = moves.Move(
            MACHINE, self.owner(), new_owner, self.revision, MoveMode.FINISH, until, "drawn"
        )
        self.commit(moves.request_move(move, self.roster, EPOCH), late)

    @precondition(lambda self: self.record is not None)
    @rule(late=sampled_from([False, True]))
    def withdraw(self, late: bool) -> None:
        assert self.record is not None
        self.commit(moves.withdraw_move(self.record.epoch, EPOCH, "drawn"), late)

    @precondition(lambda self: self.record is not None and self.record.stage == MoveStage.DRAINING)
    @rule(late=sampled_from([False, True]))
    def hand_over(self, late: bool) -> None:
        assert self.record is not None
        if self.record.roster_token == self.roster:
            self.commit(moves.hand_over_machine(self.record, self.version, 1, EPOCH), late)

    @rule()
    def commit_roster(self) -> None:
        self.revision += 1
        self.roster = self.revision
        self.ownership_history.append((self.owner(), self.roster))

    @precondition(lambda self: bool(self.in_flight))
    @rule(at=integers(0, 1000))
    def apply_in_flight(self, at: int) -> None:
        self.apply(self.in_flight[at % len(self.in_flight)])

    @invariant()
    def tokens_and_epochs_increase(self) -> None:
        for (old_owner, old_token), (new_owner, new_token) in zip(
            self.ownership_history, self.ownership_history[1:], strict=False
        ):
            assert new_token > old_token or (old_owner, old_token) == (new_owner, new_token)
        assert self.epochs == sorted(self.epochs)


TestOwnershipEdits = OwnershipEdits.TestCase
TestOwnershipEdits.settings = hypothesis_settings(max_examples=60, stateful_step_count=30)
