"""Effects of a roster change on the owners of machines and on the leader."""

from coursefold.coordination.rendezvous import hash_owner
from coursefold.storage import records
from coursefold.storage.records import MemberRecord, Roster
from tests.world import World

THREE_MEMBERS = [MemberRecord("n0", 1, "a"), MemberRecord("n1", 2, "b"), MemberRecord("n2", 3, "a")]


def test_owners_are_in_the_machines_zone_and_change_only_with_their_member() -> None:
    full = Roster("n0", THREE_MEMBERS)
    machines = [f"i-{n}" for n in range(200)]
    before = {m: hash_owner(m, "a", full) for m in machines}
    assert set(before.values()) == {"n0", "n2"}
    assert {hash_owner(m, "b", full) for m in machines} == {"n1"}
    without = Roster("n0", THREE_MEMBERS[:2])
    for machine, former_owner in before.items():
        assert hash_owner(machine, "a", without) == "n0"
        assert former_owner in ("n0", "n2")
    again = Roster("n0", [MemberRecord("n0", 9, "a"), *THREE_MEMBERS[1:]])
    assert {m: hash_owner(m, "a", again) for m in machines} == before


def test_a_returning_owner_keeps_machines_that_reported_to_their_interim_owner() -> None:
    """A controller that comes back after a cut of 45 s has old report times for its machines.

    Were they taken for silent, live machines would be returned (nine of them in one case).
    """
    world = World()
    pair = Roster("n1", [MemberRecord("n0", 1, "a"), MemberRecord("n1", 2, "a")])
    machine = next(m for m in (f"i-{n}" for n in range(99)) if hash_owner(m, "a", pair) == "n0")
    world.report(machine, [])
    world.take_over("n1", "a")
    world.run(30.0)
    mine = ["n0", world.core.ctx.lease_id, "a"]
    other = world.store.keys[records.MEMBER_PREFIX + "n1"][0]
    world.store.set(str(records.ROSTER_KEY), ["n1", [mine, other]])
    world.run(33.0)
    assert world.core.ctx.is_active()
    assert not world.core.ctx.machines[machine].lease_expired


def test_a_controller_is_inactive_until_its_view_has_reached_the_rosters_revision() -> None:
    """The response to its own commit may arrive before updates that former owners wrote."""
    world = World()
    ctx = world.core.ctx
    assert ctx.is_active()
    world.core.view.revision = ctx.view.fencing_token - 1
    assert not ctx.is_active()
    world.core.view.revision = ctx.view.fencing_token
    assert ctx.is_active()


def test_controllers_that_come_back_together_make_one_roster() -> None:
    """Each roster is a new fencing token that all workers have to receive and to confirm."""
    world = World()
    rosters = [world.core.view.fencing_token]
    for member, zone in (("n1", "b"), ("n2", "a")):
        world.join(member, zone)
        world.run(world.now + 0.25)
        rosters.append(world.core.view.fencing_token)
    world.run(world.now + 2.0)
    rosters.append(world.core.view.fencing_token)
    roster = world.core.view.roster
    assert roster is not None
    assert [m.name for m in roster.members] == ["n0", "n1", "n2"]
    assert len(set(rosters)) == 2
    # The removal of a lost member is not delayed: its machines have no owner.
    world.store.end_lease(
        next(p for p, _ in world.store.leases.items() if p == roster.members[1].lease_id)
    )
    world.run(world.now + 0.5)
    roster = world.core.view.roster
    assert roster is not None
    assert [m.name for m in roster.members] == ["n0", "n2"]


def test_a_controller_without_contact_to_siblings_removes_no_member() -> None:
    """Siblings refuse each other, and workers of a member that was cut off report here.

    Their complaints count only when another sibling is heard.
    """
    world = World()
    for member, zone in (("n1", "b"), ("n2", "a")):
        world.join(member, zone)
    world.run(6.0)
    token = world.core.view.fencing_token
    machines = (f"i-{n}" for n in range(9))
    for machine in machines:
        for _ in range(3):
            world.report(machine, [], Site="b")
            world.run(world.now + 0.6)
    assert "n1" in world.core.election.unreachable_for_workers()
    assert world.core.view.fencing_token == token
    world.peer(world.peer_frame("n2", 0.2))  # contact to one sibling is enough
    world.run(world.now + 1.0)
    roster = world.core.view.roster
    assert roster is not None
    assert [m.name for m in roster.members] == ["n0", "n2"]
