"""Simulate several cells: one `tests.fleet.Fleet` for each, and the frames between them.

All cells share one record of jobs, placed tasks and what teams use. A task that starts in one cell
while it is on a machine of another therefore breaks the rules as it would within a cell, and
a team's use counts in whichever cell it occurs.
"""

import random
from collections.abc import Callable
from typing import Any

import msgspec

from coursefold.cells.cells import Cells
from coursefold.cells.config import CellsConfig, CellsFile
from coursefold.settings import Settings
from coursefold.storage import codec, records
from coursefold.storage.cell_records import DelegationStage, GuestStage
from coursefold.storage.records import JobRecord
from tests.fleet import Fleet, Node
from tests.fleet_limits import TeamUse
from tests.world import SETTINGS

STEP_S = 0.02
FRAME_PERIOD_S = 0.5
NODES = 3
NAMES = ("east", "north", "west")


def cells_file(cell: str, **fields: Any) -> CellsFile:
    """Return the cells file of one cell; each cell has a network of its own."""
    cells = [
        {
            "name": name,
            "controllers": {f"n{i}": f"127.0.{index + 1}.1:{7000 + i}" for i in range(NODES)},
            "networks": [f"127.0.{index + 1}.0/24"],
        }
        for index, name in enumerate(NAMES)
    ]
    return msgspec.convert({"cell": cell, "cells": cells} | fields, CellsFile)


class CellFleet(Fleet):
    """One cell of a `CellsWorld`.

    Attributes:
        cells_by_node: The `Cells` subsystems of the running processes, by controller number.
        vanished: Whether the cell was lost for good.
    """

    def __init__(self, cells: "CellsWorld", name: str, seed: int, capacity: int) -> None:
        self.world, self.name = cells, name
        self.cells_by_node: dict[int, Cells] = {}
        self.vanished = False
        self.file = cells_file(name, **cells.fields)
        super().__init__(seed, capacity, nodes=NODES, teams=cells.teams_of.get(name, cells.teams))
        self.jobs, self.placed_tasks, self.team_use = (
            cells.jobs,
            cells.placed_tasks,
            cells.team_use,
        )

    def node_started(self, node: Node) -> None:
        """Add the `Cells` subsystem to a new process, unless the controller has no cells file."""
        if node.name in self.world.without_file.get(self.name, set()):
            return
        config = CellsConfig(self.file, msgspec.convert(node.settings(), Settings))
        cells = self.cells_by_node[node.number] = Cells(config, node.core)
        incarnation = node.incarnation
        for other in NAMES:
            if other != self.name:
                node._loop(FRAME_PERIOD_S, incarnation, lambda o=other: self._send(node, cells, o))  # type: ignore[misc]

    def _send(self, node: Node, cells: Cells, other: str) -> None:
        """Send a controller's frames to all controllers of another cell."""
        for number in range(NODES):
            node.enter()
            frame = cells.build_frame(other, f"n{number}")
            if frame and not self.vanished:
                self.world.deliver(self.name, other, number, frame)

    def receive_frame(self, number: int, frame: bytes, address: str) -> None:
        """Deliver a frame of another cell to one controller of this cell."""
        node = self.nodes[number]
        cells = self.cells_by_node.get(number)
        if self.vanished or not node.up or cells is None:
            return
        if node.defer_while_frozen(lambda: self.receive_frame(number, frame, address)):
            return
        node.enter()
        cells.receive_frame(frame, address)

    def vanish(self) -> None:
        """Stop the controllers, the machines and the state service for good."""
        self.vanished = True
        self.outage_until = 1e9
        for node in self.nodes:
            node.stop()
        for worker in self.workers.values():
            worker.kill()

    def leader(self) -> Node | None:
        """Return the controller that leads; None if there is none."""
        return next((n for n in self.nodes if n.up and n.enter().ctx.is_leading()), None)

    def records(self) -> dict[str, JobRecord]:
        """Return the job records in the state service, by job."""
        rows = self.store.rows(records.JOB_PREFIX)
        decoded = {
            row["K"].removeprefix(records.JOB_PREFIX): codec.decode_record(row["K"], row["Value"])
            for row in rows
        }
        return {name: record for name, record in decoded.items() if isinstance(record, JobRecord)}

    def stages_away(self) -> dict[str, DelegationStage]:
        """Return the stages of the jobs that this cell has delegated to other cells."""
        return {
            name: job.delegation.stage
            for name, job in self.records().items()
            if job.is_delegated and job.delegation
        }

    def away_at(self, cell: str) -> set[str]:
        """Return the jobs that this cell has delegated to the given cell."""
        found = self.records().items()
        return {
            name
            for name, job in found
            if job.is_delegated and job.delegation and job.delegation.guest_cell == cell
        }

    def guests(self) -> dict[str, GuestStage]:
        """Return the stages of the jobs that other cells have delegated to this cell."""
        return {name: job.guest.stage for name, job in self.records().items() if job.guest}


class CellsWorld:
    """The cells, the network between them, and a common clock.

    Attributes:
        fields: Fields of the cells file that all cells share.
        teams: Teams of the cells that `teams_of` does not list.
        without_file: Names of the controllers that have no cells file, by cell.
        cut_until: When a cut of the connection ends, by sending and receiving cell.
        duplicate_share: Share of frames of which a late copy is delivered.
        slow_share: Share of frames that take 0.1 to 2.5 s.
    """

    def __init__(
        self,
        seed: int = 1,
        capacity: dict[str, int] | None = None,
        teams: list[dict[str, Any]] | None = None,
        teams_of: dict[str, list[dict[str, Any]]] | None = None,
        **fields: Any,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.fields = fields
        self.teams = teams or [{"name": "blue", "gpus_max": 0.0}]
        self.teams_of = teams_of or {}
        self.jobs: dict[str, Any] = {}
        self.placed_tasks: dict[str, Any] = {}
        self.team_use = TeamUse()
        self.without_file: dict[str, set[str]] = {}
        self.cut_until: dict[tuple[str, str], float] = {}
        self.duplicate_share = self.slow_share = 0.0
        self.frame_count = self.frame_bytes = self.duplicate_count = 0
        sizes = {"east": 12, "north": 60, "west": 60} | (capacity or {})
        self.fleets = {
            name: CellFleet(self, name, 10 * seed + index, sizes[name])
            for index, name in enumerate(NAMES)
        }

    def __getitem__(self, name: str) -> CellFleet:
        return self.fleets[name]

    def run(self, until: float) -> None:
        """Advance the clock of all cells to `until`, in steps of `STEP_S`."""
        while self.now < until - 1e-9:
            self.now = min(until, self.now + STEP_S)
            for fleet in self.fleets.values():
                fleet.run(self.now)

    def run_until(self, is_reached: Callable[[], bool], limit_s: float) -> None:
        """Run until the condition holds, which must be within the given number of seconds."""
        end = self.now + limit_s
        while not is_reached():
            assert self.now < end, "the condition did not hold in time"
            self.run(self.now + 0.1)

    def deliver(self, sender: str, target: str, number: int, frame: bytes) -> None:
        """Send a frame from one cell to a controller of another.

        It is lost during a cut; otherwise it may come late, and a copy may follow.
        """
        if self.now < self.cut_until.get((sender, target), 0.0):
            return
        self.frame_count += 1
        self.frame_bytes += len(frame)
        address = f"127.0.{NAMES.index(sender) + 1}.1"
        fleet = self.fleets[target]
        delay = self.rng.uniform(0.001, 0.02)
        if self.rng.random() < self.slow_share:
            delay = self.rng.uniform(0.1, 2.5)
        fleet.after(delay, lambda: fleet.receive_frame(number, frame, address))
        if self.rng.random() < self.duplicate_share:
            self.duplicate_count += 1
            delay_of_copy = self.rng.choice([0.3, 2.0, 9.0, 40.0]) * self.rng.uniform(0.8, 1.5)
            fleet.after(delay_of_copy, lambda: fleet.receive_frame(number, frame, address))

    def cut_links(self, sender: str, other: str, seconds: float, both: bool = True) -> None:
        """Drop the frames from one cell to another, and back if `both`, for some seconds."""
        self.cut_until[(sender, other)] = self.now + seconds
        if both:
            self.cut_until[(other, sender)] = self.now + seconds

    def submit_many(
        self, cell: str, count: int, run_s: float, first: int = 0, **fields: Any
    ) -> None:
        """Submit arrays of four tasks at once; each task needs a whole machine."""
        whole_machines = {
            "Pieces": 4,
            "Vcpus": 16.0,
            "Accelerators": 2.0,
            "Loaners": True,
            "ImageGb": 1.0,
        }
        for number in range(first, first + count):
            self[cell].submit(f"job-{number}", run_s, **(whole_machines | fields))

    def unfinished(self) -> list[str]:
        """Return the jobs whose users were not told that they are done or cancelled."""
        return [name for name, job in self.jobs.items() if not job.has_ended()]

    def count(self, counter: str) -> int:
        """Return a counter of the home sides, summed over the running processes."""
        parts = [cells for fleet in self.fleets.values() for cells in fleet.cells_by_node.values()]
        return sum(cells.home.counts[counter] for cells in parts)


TIMING = SETTINGS["params"]["workers"]
