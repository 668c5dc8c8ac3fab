"""Machine rows in the frames that controllers send to each other."""

import pytest

from coursefold.coordination.summary import MachineRows
from tests.world import World

MACHINE = "i-000000"


def is_sent_as_unresponsive(world: World) -> bool:
    """Return whether frames built from now on describe the machine as unresponsive."""
    row = MachineRows(world.core.ctx).current()[MACHINE]
    return row.unresponsive_since is not None


@pytest.mark.parametrize("silent_s", [6.0, 6.5, 7.0, 7.5, 8.0])
def test_a_row_shows_a_machine_as_unresponsive_only_while_it_is(silent_s: float) -> None:
    """The row must not depend on how often it was built during the silence.

    The leader neither uses nor returns a machine that is unresponsive.
    """
    world = World()
    world.run(1.0)
    world.report(MACHINE, [], Counter=1)
    world.run(world.now + 1.0)
    assert not is_sent_as_unresponsive(world)
    world.run(world.now + silent_s)
    assert is_sent_as_unresponsive(world)
    world.run(world.now + 0.5)
    assert is_sent_as_unresponsive(world)
    world.report(MACHINE, [], Counter=2)
    world.run(world.now + 1.0)
    assert not is_sent_as_unresponsive(world)
