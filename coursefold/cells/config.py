"""Reads and checks the cells file (`deploy/cells.toml`) before the service starts."""

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct
from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from coursefold.settings import Settings, SettingsError, load_toml, split_address

CellName = Annotated[str, Meta(min_length=1, max_length=64, pattern="^[a-z0-9-]+$")]
PositiveSeconds = Annotated[float, Meta(gt=0, le=3600)]
PositiveCount = Annotated[
    int, Meta(ge=1, le=5_000)
]  # the limit keeps frames within their maximum size
Fraction = Annotated[float, Meta(gt=0, le=1)]

SKEWED_CLOCK_COUNT = 2  # clocks of home and guest cell, each off by up to the skew bound
CANCEL_MARGIN_S = 1.0  # of `cancel_s`, left for the commit of a cancellation


class CellEntry(Struct, frozen=True, forbid_unknown_fields=True):
    """One cell: the addresses its controllers listen on for other cells, and its networks."""

    name: CellName
    controllers: dict[str, str]
    networks: list[str]


class SpillLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the jobs that this cell offers to others."""

    jobs: PositiveCount = 200  # delegated at once, to each other cell
    offers: PositiveCount = 8  # unanswered at once, for each other cell
    after_s: PositiveSeconds = 5.0  # that a job waits before it is offered
    min_gain_s: PositiveSeconds = (
        20.0  # of expected wait, in addition to the costs of fetch, handover and price
    )
    return_pause_s: PositiveSeconds = (
        120.0  # before a job is offered again to the cell that it returned from
    )
    start_s: PositiveSeconds = 180.0  # after which a granted job that does not run is withdrawn
    draining: bool = False  # make no offers and refuse all guests


class GuestLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the jobs that this cell accepts from others."""

    jobs: PositiveCount = 200  # at once, from all other cells together
    share: Fraction = 0.5  # of a pool's slots
    growth: PositiveCount = 8  # machines that may be rented for guests at once


class CellsFile(Struct, frozen=True, forbid_unknown_fields=True):
    """The cells file, which is the same for every controller of a cell."""

    cell: CellName
    cells: list[CellEntry]
    grant_s: PositiveSeconds | None = None
    spill: SpillLimits = SpillLimits()
    guests: GuestLimits = GuestLimits()


class CellsConfig:
    """The checked cells file as one controller uses it.

    Attributes:
        listen: Address on which this controller listens for other cells.
        grant_s: Duration of a grant.
    """

    def __init__(self, file: CellsFile, settings: Settings) -> None:
        self.file = file
        self.cell = file.cell
        self.spill, self.guests = file.spill, file.guests
        self.entries = {entry.name: entry for entry in file.cells}
        self.networks = {entry.name: IPSet(entry.networks) for entry in file.cells}
        self.listen = self.entries[file.cell].controllers[settings.member]
        self.grant_s = file.grant_s or max_grant_s(settings)

    @property
    def other_cells(self) -> list[CellEntry]:
        """Cells that jobs may be exchanged with."""
        return [entry for entry in self.file.cells if entry.name != self.cell]

    def is_allowed_address(self, cell: str, address: str) -> bool:
        """Return whether frames of the cell may come from this address."""
        networks = self.networks.get(cell)
        return networks is not None and cell != self.cell and IPAddress(address) in networks

    def is_other_cell_address(self, address: str) -> bool:
        """Return whether the address is in any other cell's networks."""
        return any(self.is_allowed_address(entry.name, address) for entry in self.other_cells)


def max_grant_s(settings: Settings, lease_s: float | None = None) -> float:
    """Return the longest grant, in seconds, that keeps the bound `cancel_s` on cancellations.

    The bound must also hold if the guest cell cannot be reached. Then a grant that was renewed
    just before the cancellation must expire, and after it the leases of the guest cell's
    workers (`lease_s`, by default this cell's), while both cells' clocks may be off. A result
    of zero or less means that no grant is short enough.
    """
    workers = settings.params.workers
    workers_lease_s = workers.lease_s if lease_s is None else lease_s
    skew_s = SKEWED_CLOCK_COUNT * settings.params.skew_ms / 1000.0
    return workers.cancel_s - workers_lease_s * 1.002 - skew_s - CANCEL_MARGIN_S


def _check_cell(file: CellsFile, index: int, cell_of_address: dict[str, str]) -> None:
    """Check one cell's entry, and add its addresses to `cell_of_address`."""
    entry = file.cells[index]
    if not entry.controllers:
        raise SettingsError(f"cells[{index}].controllers: none is named")
    if not entry.networks:
        raise SettingsError(f"cells[{index}].networks: none is named")
    for member, address in entry.controllers.items():
        try:
            split_address(address)
        except ValueError as error:
            raise SettingsError(f"cells[{index}].controllers.{member}: {error}") from None
        if address in cell_of_address:
            raise SettingsError(
                f"cells[{index}].controllers.{member}: {address} is in cell "
                f"{cell_of_address[address]} already"
            )
        cell_of_address[address] = entry.name
    for number, network in enumerate(entry.networks):
        try:
            IPNetwork(network)
        except (AddrFormatError, ValueError):
            raise SettingsError(
                f"cells[{index}].networks[{number}]: {network!r} is no network"
            ) from None


def _check_networks(file: CellsFile) -> None:
    """Check that networks of cells are disjoint, as an address must belong to one cell only."""
    for index, entry in enumerate(file.cells):
        for other in file.cells[:index]:
            if not IPSet(entry.networks).isdisjoint(IPSet(other.networks)):
                raise SettingsError(f"cells[{index}].networks: overlap with those of {other.name}")


def check_cells_file(file: CellsFile, settings: Settings) -> None:
    """Check what the types alone cannot express."""
    names = [entry.name for entry in file.cells]
    if file.cell not in names:
        raise SettingsError(f"cells: the own cell {file.cell!r} is not among them")
    if len(set(names)) != len(names):
        raise SettingsError("cells: names are not all different")
    cell_of_address: dict[str, str] = {}
    for index in range(len(file.cells)):
        _check_cell(file, index, cell_of_address)
    _check_networks(file)
    own_cell = file.cells[names.index(file.cell)]
    if settings.member not in own_cell.controllers:
        raise SettingsError(f"cells[{names.index(file.cell)}].controllers: {settings.member} lacks")
    longest_s = max_grant_s(settings)
    if longest_s <= 0:
        raise SettingsError("params.workers.cancel_s: too short for any grant to another cell")
    if file.grant_s is not None and file.grant_s > longest_s:
        raise SettingsError(
            f"grant_s: must be {longest_s:g} or less with this cancel_s and lease_s"
        )


def load_cells(path: Path, settings: Settings) -> CellsConfig:
    """Read and check the cells file.

    Raises:
        SettingsError: For every fault; its text names the field.
    """

    def read(raw: dict[str, Any]) -> CellsConfig:
        file = msgspec.convert(raw, CellsFile)
        check_cells_file(file, settings)
        return CellsConfig(file, settings)

    return load_toml(path, read)
