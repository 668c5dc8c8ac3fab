"""Fixed bounds at a fleet of 4,000 machines: each is reached or exceeded here without loss."""

from msgspec import structs

from coursefold.coordination import cancellations
from coursefold.coordination.context import Context, Machine
from coursefold.coordination.queueing import find_optimal_servers
from coursefold.coordination.summary import (
    MAX_REASONS_PER_FRAME,
    MachineRows,
    PeerFrameBuilder,
    apply_frame,
    decode_frame,
)
from coursefold.policy.language import parse_policy
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.storage import records
from coursefold.storage.view import View
from coursefold.transport.peers import MAX_FRAME_BYTES
from tests.measure_size import large_fleet
from tests.test_policy import ENVIRONMENT
from tests.world import World

MACHINE_COUNT = 4000
IMAGES = {f"registry/team/image-with-a-long-name-{number}": 5.0 for number in range(12)}


class FrameReceiver:
    """Controller n1, which receives the frames of n0.

    Attributes:
        ctx: The context of n1.
        frames: All frames received so far.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.frames: list[bytes] = []

    def receive_all(self, builder: PeerFrameBuilder, reasons: dict[JobId, str]) -> int:
        """Receive frames until none is left, and return their number."""
        count = 0
        while frame := builder.build_frame(set(), set(), reasons):
            count += 1
            self.frames.append(frame)
            envelope = decode_frame(self.ctx, frame)
            assert envelope is not None
            apply_frame(self.ctx, envelope)
        return count


def start_leader() -> World:
    """Return a world whose controller n0 leads."""
    world = World()
    world.run(3.0)
    assert world.core.ctx.is_leading()
    return world


def start_receiver(world: World) -> FrameReceiver:
    """Return a controller with the same settings that has n0 as its receiver."""
    other = World()
    other.run(world.now)
    ctx = other.core.ctx
    own = ctx.settings.siblings[0]
    siblings = [structs.replace(own, member="n0"), ctx.settings.siblings[1]]
    settings = structs.replace(ctx.settings, member=own.member, siblings=siblings)
    ctx.settings = settings
    return FrameReceiver(ctx)


def add_machines(ctx: Context, count: int) -> list[str]:
    """Add machines that the controller owns, each with a dozen cached images."""
    names = [f"i-{number:06d}" for number in range(3 * count)]
    names = [name for name in names if ctx.owns(name, "a")][:count]
    for name in names:
        machine = Machine(name, "g2", "a", False)
        machine.session, machine.token_confirmed, machine.last_report_at = 1, True, ctx.now
        machine.cached_images = dict(IMAGES)
        ctx.machines[name] = machine
    return names


def test_4000_machines_of_one_controller_are_sent_in_several_frames() -> None:
    """A frame over the limit would end each connection anew, as all begin with the same rows."""
    world = start_leader()
    ctx = world.core.ctx
    names = add_machines(ctx, MACHINE_COUNT)
    builder = PeerFrameBuilder(ctx, MachineRows(ctx), "n1")
    receiver = start_receiver(world)
    assert receiver.receive_all(builder, {}) > 2
    assert max(map(len, receiver.frames)) < MAX_FRAME_BYTES
    assert sum(map(len, receiver.frames)) > MAX_FRAME_BYTES
    peer = receiver.ctx.peers["n0"]
    assert set(names) <= set(peer.machines)
    assert peer.is_complete


def test_machines_whose_rows_are_still_to_come_are_not_missing() -> None:
    """Otherwise a leader would return all machines that a connection's first frame leaves out."""
    world = start_leader()
    ctx = world.core.ctx
    names = add_machines(ctx, MACHINE_COUNT)
    builder = PeerFrameBuilder(ctx, MachineRows(ctx), "n1")
    receiver = start_receiver(world)
    envelope = decode_frame(receiver.ctx, builder.build_frame(set(), set(), {}))
    assert envelope is not None
    apply_frame(receiver.ctx, envelope)
    peer = receiver.ctx.peers["n0"]
    assert len(peer.machines) < len(names)
    assert not peer.is_complete


def test_all_waiting_reasons_are_sent() -> None:
    """A frame holds a limited number of reasons, so the others have to follow in later frames."""
    world = start_leader()
    builder = PeerFrameBuilder(world.core.ctx, MachineRows(world.core.ctx), "n1")
    receiver = start_receiver(world)
    reasons = {
        JobId(f"job-{number}"): f"waits {number}" for number in range(4 * MAX_REASONS_PER_FRAME + 7)
    }
    for _ in range(6):
        builder.summary_requested = True
        receiver.receive_all(builder, reasons)
    assert receiver.ctx.peers["n0"].waiting_reasons == reasons
    builder.summary_requested = True
    few = dict.fromkeys(list(reasons)[:3], "other")
    for _ in range(6):
        builder.summary_requested = True
        receiver.receive_all(builder, few)
    assert receiver.ctx.peers["n0"].waiting_reasons == few


def test_run_times_beyond_one_frame_are_sent_in_later_frames() -> None:
    """The number that is kept for a leader is bounded."""
    world = start_leader()
    ctx = world.core.ctx
    assert ctx.roster is not None
    ctx.view.roster = structs.replace(ctx.roster, leader="n1")
    ctx.finished_runs.extend(("batch", float(number)) for number in range(900))
    builder = PeerFrameBuilder(ctx, MachineRows(ctx), "n1")
    receiver = start_receiver(world)
    for _ in range(3):
        builder.summary_requested = True
        receiver.receive_all(builder, {})
    assert len(receiver.ctx.finished_runs) == 900
    ctx.finished_runs.extend(("batch", 1.0) for _ in range(100_000))
    PeerFrameBuilder(ctx, MachineRows(ctx), "n2").build_frame(set(), set(), {})
    assert len(ctx.finished_runs) < 5000


def test_a_policy_may_request_thousands_of_machines() -> None:
    policy = parse_policy(
        "rule a: when c > 1 then at_least 4000\nrule b: when c > 1 then recruit 500"
    )
    assert policy.evaluate_rules(ENVIRONMENT).at_least == 4000
    assert policy.evaluate_rules(ENVIRONMENT).recruit == 500


def test_the_optimum_of_a_pool_of_32000_slots_lies_above_its_load() -> None:
    """Guards against a search bound (once 20,000 slots) below 4,000 machines of eight slots."""
    load = 30_000.0
    assert load < find_optimal_servers(load / 60.0, 1 / 60.0, 0.0007, 0.0005) < 1.1 * load
    assert (
        find_optimal_servers(load / 60.0, 1 / 60.0, 0.0, 0.0005) < 2 * load + 2000
    )  # slots without a price: the search ends


def test_last_sequences_of_thousands_of_departed_machines_are_kept() -> None:
    """They identify late copies of reports, which must not bring a machine back."""
    world = start_leader()
    owner = world.core.owner
    names = add_machines(world.core.ctx, MACHINE_COUNT)
    for name in names:
        owner.remove_machine(name)
    assert set(names) <= set(owner.departed_sequences)


def test_removal_versions_of_thousands_of_jobs_are_kept() -> None:
    """A removal must win over an older write of the same key that arrives after it."""
    view = View()
    for number in range(2 * MACHINE_COUNT):
        view.apply_removal(f"{records.JOB_PREFIX}job-{number}", 1000 + number)
    is_applied = view.apply_value(f"{records.JOB_PREFIX}job-0", [1, 1], 999)
    assert not is_applied


def test_the_cancellations_per_frame_grow_with_the_write_rate() -> None:
    """A frame must hold as many cancellations as are confirmed in some seconds."""
    ctx = World().core.ctx
    assert cancellations.max_cancellations_per_frame(ctx) == 1000
    params = ctx.settings.params
    state = structs.replace(params.state, write_rps=400.0)
    ctx.settings = structs.replace(ctx.settings, params=structs.replace(params, state=state))
    assert cancellations.max_cancellations_per_frame(ctx) == 4000


def test_4000_machines_are_rented_and_filled() -> None:
    """Five controllers; each machine reports every eight seconds."""
    fleet = large_fleet(MACHINE_COUNT)
    fleet.run(50.0)
    reporting = [worker for worker in fleet.workers.values() if worker.sequence]
    assert len(reporting) >= 0.95 * MACHINE_COUNT
    assert len(fleet.placed_tasks) >= 0.9 * MACHINE_COUNT
    leader = next(node for node in fleet.nodes if node.enter().ctx.is_leading())
    assert leader.core.ctx.now > MonotonicTime(0.0)
    assert len(leader.core.fleet.inventory.machines) >= 0.95 * MACHINE_COUNT
