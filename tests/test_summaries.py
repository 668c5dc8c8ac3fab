"""What controllers tell each other of their machines."""

import pytest

from coursefold.coordination.summary import MachineRows
from tests.world import World

MACHINE = "i-000000"


def is_told_as_quiet(world: World) -> bool:
    """Would a sibling be told, from now on, that the machine is silent?"""
    row = MachineRows(world.core.ctx).current()[MACHINE]
    return row.unresponsive_since is not None


@pytest.mark.parametrize("silent_s", [6.0, 6.5, 7.0, 7.5, 8.0])
def test_a_machine_is_quiet_only_while_it_is(silent_s: float) -> None:
    """However often it was looked at meanwhile; the leader uses and returns no quiet machine."""
    world = World()
    world.run(1.0)
    world.report(MACHINE, [], Counter=1)
    world.run(world.now + 1.0)
    assert not is_told_as_quiet(world)
    world.run(world.now + silent_s)
    assert is_told_as_quiet(world)
    world.run(world.now + 0.5)
    assert is_told_as_quiet(world)
    world.report(MACHINE, [], Counter=2)
    world.run(world.now + 1.0)
    assert not is_told_as_quiet(world)
