"""Connections between cells: each controller listens for the others', and speaks to each."""

import logging

from coursefold.cells.cells import Cells
from coursefold.cells.config import CellsConfig
from coursefold.settings import split_address
from coursefold.transport.peers import FrameHandler, PeerLink, PeerServer

log = logging.getLogger(__name__)

PERIOD_S = 0.5


class CellTransport:
    """Server and links of one controller."""

    def __init__(self, config: CellsConfig, cells: Cells, take: FrameHandler) -> None:
        # As many as the other cells' controllers may take, both ways.
        self.sockets = 1 + 2 * sum(len(entry.controllers) for entry in config.others)
        self.server = PeerServer(config.listen, take, config.allows_any)
        # From our own cell's address: the listener tells cells by their networks.
        source, _ = split_address(config.listen)
        self.links = [
            PeerLink(
                member,
                address,
                _nothing_to_begin,
                lambda member, cell=entry.name: cells.frame(cell, member),  # type: ignore[misc]
                PERIOD_S,
                source,
            )
            for entry in config.others
            for member, address in entry.controllers.items()
        ]


def _nothing_to_begin(member: str) -> None:
    """Each frame says everything, so a new connection needs no beginning."""
    log.debug("connected to controller %s of another cell", member)
