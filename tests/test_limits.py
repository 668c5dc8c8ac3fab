"""No fixed bound below 4,000 machines: each is passed here, and what happens there is seen."""

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

MACHINES = 4000
IMAGES = {f"registry/team/image-with-a-long-name-{number}": 5.0 for number in range(12)}


class Sibling:
    """What `n1` makes of the frames of `n0`."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.frames: list[bytes] = []

    def hears(self, teller: PeerFrameBuilder, reasons: dict[JobId, str]) -> int:
        """Take frames until nothing waits; how many came."""
        count = 0
        while frame := teller.build_frame(set(), set(), reasons):
            count += 1
            self.frames.append(frame)
            envelope = decode_frame(self.ctx, frame)
            assert envelope is not None
            apply_frame(self.ctx, envelope)
        return count


def leading_world() -> World:
    world = World()
    world.run(3.0)
    assert world.core.ctx.is_leading()
    return world


def listener(world: World) -> Sibling:
    """Another controller of the same settings, which knows `n0` as its sibling."""
    other = World()
    other.run(world.now)
    ctx = other.core.ctx
    own = ctx.settings.siblings[0]
    siblings = [structs.replace(own, member="n0"), ctx.settings.siblings[1]]
    settings = structs.replace(ctx.settings, member=own.member, siblings=siblings)
    ctx.settings = settings
    return Sibling(ctx)


def add_machines(ctx: Context, count: int) -> list[str]:
    """Machines of our own part, each with a dozen images."""
    names = [f"i-{number:06d}" for number in range(3 * count)]
    names = [name for name in names if ctx.owns(name, "a")][:count]
    for name in names:
        machine = Machine(name, "g2", "a", False)
        machine.session, machine.token_confirmed, machine.last_report_at = 1, True, ctx.now
        machine.cached_images = dict(IMAGES)
        ctx.machines[name] = machine
    return names


def test_one_controllers_4000_machines_are_told_in_several_frames() -> None:
    """A frame over the limit ended the connection, and the next began with the same rows."""
    world = leading_world()
    ctx = world.core.ctx
    names = add_machines(ctx, MACHINES)
    teller = PeerFrameBuilder(ctx, MachineRows(ctx), "n1")
    sibling = listener(world)
    assert sibling.hears(teller, {}) > 2
    assert max(map(len, sibling.frames)) < MAX_FRAME_BYTES
    assert sum(map(len, sibling.frames)) > MAX_FRAME_BYTES
    known = sibling.ctx.peers["n0"]
    assert set(names) <= set(known.machines)
    assert known.is_complete


def test_machines_whose_rows_are_still_to_come_are_not_missing() -> None:
    """Else a leader that connects anew would return all that the first frame left out."""
    world = leading_world()
    ctx = world.core.ctx
    names = add_machines(ctx, MACHINES)
    teller = PeerFrameBuilder(ctx, MachineRows(ctx), "n1")
    sibling = listener(world)
    envelope = decode_frame(sibling.ctx, teller.build_frame(set(), set(), {}))
    assert envelope is not None
    apply_frame(sibling.ctx, envelope)
    known = sibling.ctx.peers["n0"]
    assert len(known.machines) < len(names)
    assert not known.is_complete


def test_all_reasons_are_told() -> None:
    world = leading_world()
    teller = PeerFrameBuilder(world.core.ctx, MachineRows(world.core.ctx), "n1")
    sibling = listener(world)
    reasons = {
        JobId(f"job-{number}"): f"waits {number}" for number in range(4 * MAX_REASONS_PER_FRAME + 7)
    }
    for _ in range(6):
        teller.summary_requested = True
        sibling.hears(teller, reasons)
    assert sibling.ctx.peers["n0"].waiting_reasons == reasons
    teller.summary_requested = True
    few = dict.fromkeys(list(reasons)[:3], "other")
    for _ in range(6):
        teller.summary_requested = True
        sibling.hears(teller, few)
    assert sibling.ctx.peers["n0"].waiting_reasons == few


def test_run_times_beyond_one_frame_are_kept_for_the_next() -> None:
    world = leading_world()
    ctx = world.core.ctx
    assert ctx.roster is not None
    ctx.view.roster = structs.replace(ctx.roster, leader="n1")
    ctx.finished_runs.extend(("batch", float(number)) for number in range(900))
    teller = PeerFrameBuilder(ctx, MachineRows(ctx), "n1")
    sibling = listener(world)
    for _ in range(3):
        teller.summary_requested = True
        sibling.hears(teller, {})
    assert len(sibling.ctx.finished_runs) == 900
    ctx.finished_runs.extend(("batch", 1.0) for _ in range(100_000))
    PeerFrameBuilder(ctx, MachineRows(ctx), "n2").build_frame(set(), set(), {})
    assert len(ctx.finished_runs) < 5000


def test_a_policy_may_name_thousands_of_machines() -> None:
    policy = parse_policy(
        "rule a: when c > 1 then at_least 4000\nrule b: when c > 1 then recruit 500"
    )
    assert policy.evaluate_rules(ENVIRONMENT).at_least == 4000
    assert policy.evaluate_rules(ENVIRONMENT).recruit == 500


def test_the_optimum_of_a_pool_of_32000_slots_lies_above_its_load() -> None:
    """Once, the search ended at 20,000 slots, fewer than 4,000 machines of eight have."""
    load = 30_000.0
    assert load < find_optimal_servers(load / 60.0, 1 / 60.0, 0.0007, 0.0005) < 1.1 * load
    assert (
        find_optimal_servers(load / 60.0, 1 / 60.0, 0.0, 0.0005) < 2 * load + 2000
    )  # free slots: it ends


def test_copies_of_machines_that_left_are_known_for_thousands() -> None:
    world = leading_world()
    owner = world.core.owner
    names = add_machines(world.core.ctx, MACHINES)
    for name in names:
        owner.remove_machine(name)
    assert set(names) <= set(owner.departed_sequences)


def test_removals_are_remembered_for_thousands_of_jobs() -> None:
    """One that was seen before an older write of the same key must win over it."""
    view = View()
    for number in range(2 * MACHINES):
        view.apply_removal(f"{records.JOB_PREFIX}job-{number}", 1000 + number)
    old = view.apply_value(f"{records.JOB_PREFIX}job-0", [1, 1], 999)
    assert not old


def test_as_many_cancellations_are_told_as_are_confirmed_in_some_seconds() -> None:
    ctx = World().core.ctx
    assert cancellations.max_cancellations_per_frame(ctx) == 1000
    params = ctx.settings.params
    state = structs.replace(params.state, write_rps=400.0)
    ctx.settings = structs.replace(ctx.settings, params=structs.replace(params, state=state))
    assert cancellations.max_cancellations_per_frame(ctx) == 4000


def test_4000_machines_are_rented_and_filled_on_cheap_ticks() -> None:
    """Five controllers; the reports of each machine come every eight seconds."""
    fleet = large_fleet(MACHINES)
    fleet.run(50.0)
    up = [worker for worker in fleet.workers.values() if worker.counter]
    assert len(up) >= 0.95 * MACHINES
    assert len(fleet.on) >= 0.9 * MACHINES
    leader = next(node for node in fleet.nodes if node.enter().ctx.is_leading())
    assert leader.core.ctx.now > MonotonicTime(0.0)
    assert len(leader.core.fleet.inventory.machines) >= 0.95 * MACHINES
