"""Several cells in simulated time: `tests.fleet`, one for each, and frames between them.

Users, jobs and the rules are common: a task that starts in one cell while it is on a machine
of another breaks `ran_twice` like any other, and a team's use counts wherever it is.
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
from tests.world import SETTINGS

STEP_S = 0.02
PERIOD_S = 0.5
NODES = 3
NAMES = ("east", "north", "west")


def cells_file(cell: str, **fields: Any) -> CellsFile:
    """The file of one of the cells; each has a network of its own."""
    cells = [
        {
            "name": name,
            "controllers": {f"n{i}": f"127.0.{at + 1}.1:{7000 + i}" for i in range(NODES)},
            "networks": [f"127.0.{at + 1}.0/24"],
        }
        for at, name in enumerate(NAMES)
    ]
    return msgspec.convert({"cell": cell, "cells": cells} | fields, CellsFile)


class CellFleet(Fleet):
    """One cell."""

    def __init__(self, cells: "CellsWorld", name: str, seed: int, capacity: int) -> None:
        self.cells, self.name = cells, name
        self.parts: dict[int, Cells] = {}  # of the running processes, by node
        self.vanished = False
        self.file = cells_file(name, **cells.fields)
        super().__init__(seed, capacity, nodes=NODES, teams=cells.teams_of.get(name, cells.teams))
        self.jobs, self.on, self.used = cells.jobs, cells.on, cells.used

    def started(self, node: Node) -> None:
        if node.name in self.cells.without_file.get(self.name, set()):
            return
        config = CellsConfig(self.file, msgspec.convert(node.settings(), Settings))
        part = self.parts[node.number] = Cells(config, node.core)
        life = node.life
        for other in NAMES:
            if other != self.name:
                node._loop(PERIOD_S, life, lambda o=other: self._send(node, part, o))  # type: ignore[misc]

    def _send(self, node: Node, part: Cells, other: str) -> None:
        for number in range(NODES):
            node.enter()
            frame = part.build_frame(other, f"n{number}")
            if frame and not self.vanished:
                self.cells.deliver(self.name, other, number, frame)

    def arrives(self, number: int, frame: bytes, address: str) -> None:
        """A frame reaches one of our controllers."""
        node = self.nodes[number]
        part = self.parts.get(number)
        if self.vanished or not node.up or part is None:
            return
        if node.stands(lambda: self.arrives(number, frame, address)):
            return
        node.enter()
        part.receive_frame(frame, address)

    def vanish(self) -> None:
        """Controllers, machines and state service are gone for good."""
        self.vanished = True
        self.outage_until = 1e9
        for node in self.nodes:
            node.stop()
        for worker in self.workers.values():
            worker.kill()

    def leader(self) -> Node | None:
        """The controller that leads, if any does."""
        return next((n for n in self.nodes if n.up and n.enter().ctx.is_leading()), None)

    def records(self) -> dict[str, JobRecord]:
        """The job records as the state service has them."""
        rows = self.store.rows(records.JOB_PREFIX)
        parsed = {
            row["K"].removeprefix(records.JOB_PREFIX): codec.decode_record(row["K"], row["Value"])
            for row in rows
        }
        return {name: record for name, record in parsed.items() if isinstance(record, JobRecord)}

    def stages_away(self) -> dict[str, DelegationStage]:
        """Our jobs in other cells, and how far they have come."""
        return {
            name: job.delegation.stage
            for name, job in self.records().items()
            if job.is_delegated and job.delegation
        }

    def away_at(self, cell: str) -> set[str]:
        """Our jobs in one other cell."""
        found = self.records().items()
        return {
            name
            for name, job in found
            if job.is_delegated and job.delegation and job.delegation.guest_cell == cell
        }

    def guests(self) -> dict[str, GuestStage]:
        """Other cells' jobs here."""
        return {name: job.guest.stage for name, job in self.records().items() if job.guest}


class CellsWorld:
    """The cells, the network between them, and a common clock."""

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
        self.on: dict[str, Any] = {}
        self.used: dict[str, float] = {}
        self.without_file: dict[str, set[str]] = {}
        self.cut: dict[tuple[str, str], float] = {}  # one direction each
        self.copied = self.slow = 0.0
        self.frames = self.frame_bytes = self.copies = 0
        sizes = {"east": 12, "north": 60, "west": 60} | (capacity or {})
        self.fleets = {
            name: CellFleet(self, name, 10 * seed + at, sizes[name])
            for at, name in enumerate(NAMES)
        }

    def __getitem__(self, name: str) -> CellFleet:
        return self.fleets[name]

    def run(self, until: float) -> None:
        """Let all cells' time pass, in small steps."""
        while self.now < until - 1e-9:
            self.now = min(until, self.now + STEP_S)
            for fleet in self.fleets.values():
                fleet.run(self.now)

    def run_until(self, holds: Callable[[], bool], most: float) -> None:
        """Let time pass until something holds; an error if it never does."""
        end = self.now + most
        while not holds():
            assert self.now < end, "it never came about"
            self.run(self.now + 0.1)

    def deliver(self, sender: str, target: str, number: int, frame: bytes) -> None:
        """A frame goes from cell to cell: late, lost, or again later, as the day has it."""
        if self.now < self.cut.get((sender, target), 0.0):
            return
        self.frames += 1
        self.frame_bytes += len(frame)
        address = f"127.0.{NAMES.index(sender) + 1}.1"
        fleet = self.fleets[target]
        delay = self.rng.uniform(0.001, 0.02)
        if self.rng.random() < self.slow:
            delay = self.rng.uniform(0.1, 2.5)
        fleet.after(delay, lambda: fleet.arrives(number, frame, address))
        if self.rng.random() < self.copied:
            self.copies += 1
            later = self.rng.choice([0.3, 2.0, 9.0, 40.0]) * self.rng.uniform(0.8, 1.5)
            fleet.after(later, lambda: fleet.arrives(number, frame, address))

    def cut_links(self, one: str, other: str, seconds: float, both: bool = True) -> None:
        """Frames from one cell to the other are lost for a while."""
        self.cut[(one, other)] = self.now + seconds
        if both:
            self.cut[(other, one)] = self.now + seconds

    def submit_many(
        self, cell: str, count: int, run_s: float, first: int = 0, **fields: Any
    ) -> None:
        """Arrays of four whole machines each, all at once."""
        shape = {"Pieces": 4, "Vcpus": 16.0, "Accelerators": 2.0, "Loaners": True, "ImageGb": 1.0}
        for number in range(first, first + count):
            self[cell].submit(f"job-{number}", run_s, **(shape | fields))

    def unfinished(self) -> list[str]:
        """Jobs that are neither done nor cancelled, as their users were told."""
        return [name for name, job in self.jobs.items() if not job.over()]

    def count(self, what: str) -> int:
        """A count of the home sides, over all processes that are up."""
        parts = [part for fleet in self.fleets.values() for part in fleet.parts.values()]
        return sum(part.home.counts[what] for part in parts)


TIMING = SETTINGS["params"]["workers"]
