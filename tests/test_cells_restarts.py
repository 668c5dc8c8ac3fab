"""Cells whose controllers start anew, or load anew after a lost watch, in the middle of handovers.

A controller knows of grants only what it loads. The simulated controllers load with the product's
own `RecordLoader`, in several pages.
"""

from collections.abc import Callable

import pytest

from coursefold.storage.cell_records import GuestStage
from tests.cells_world import CellFleet, CellsWorld
from tests.test_cells import (
    GRANT_S,
    assert_all_end,
    count_guest_tasks,
    overloaded_world,
    run_until_guest,
)

RESTART_S = 3.0


def restart_all_at_once(world: CellsWorld, fleet: CellFleet) -> None:
    """Kill all controllers of a cell and start them again after `RESTART_S`."""
    for node in fleet.nodes:
        node.stop()
    world.run(world.now + RESTART_S)
    for node in fleet.nodes:
        node.start()


def restart_one_after_another(world: CellsWorld, fleet: CellFleet) -> None:
    """Restart the controllers of a cell one by one."""
    for node in fleet.nodes:
        node.stop()
        world.run(world.now + RESTART_S / 2)
        node.start()
        world.run(world.now + 0.5)


def lose_watches(world: CellsWorld, fleet: CellFleet) -> None:
    """Let the state service forget what the controllers of a cell have not seen yet."""
    for node in fleet.nodes:
        node.seen_revision = -1


DISRUPTIONS = [restart_all_at_once, restart_one_after_another, lose_watches]


@pytest.mark.parametrize("disrupt", DISRUPTIONS)
def test_a_restarted_home_cell_waits_for_the_end_of_its_grants(
    disrupt: Callable[[CellsWorld, CellFleet], None],
) -> None:
    """Guards against jobs that run twice: home took them back as if no grant had been given.

    The cells can't reach each other, so that only home's own records tell of the grant.
    """
    world = overloaded_world(run_s=60.0)
    fleet = run_until_guest(world, GuestStage.GRANTED)
    world.run_until(lambda: count_guest_tasks(world) >= 4, 60.0)
    names = {name for name, stage in fleet.guests().items() if stage == GuestStage.GRANTED}
    for name in ("north", "west"):
        world.cut_links("east", name, 30.0)
    granted_at = world.now
    disrupt(world, world["east"])
    while world.now < granted_at + 0.7 * GRANT_S:  # grants are renewed below this rest
        world.run(world.now + 0.5)
        assert names <= world["east"].away_at(fleet.name)
    assert_all_end(world)
    assert names


@pytest.mark.parametrize("disrupt", DISRUPTIONS)
def test_a_restarted_guest_cell_lets_its_guests_run_on(
    disrupt: Callable[[CellsWorld, CellFleet], None],
) -> None:
    """Guards against tasks stopped in the middle of a valid grant, whose work is repeated."""
    world = overloaded_world(run_s=60.0)
    fleet = run_until_guest(world, GuestStage.GRANTED)
    world.run_until(lambda: count_guest_tasks(world) >= 4, 60.0)
    running = {
        task
        for task, (worker, _) in world.placed_tasks.items()
        if worker in set(fleet.workers.values())
    }
    disrupt(world, fleet)
    world.run(world.now + 5.0)
    assert running <= set(world.placed_tasks)
    assert sum(cells.guest.counts["lapsed"] for cells in fleet.cells_by_node.values()) == 0
    assert_all_end(world)
