"""Connections between cells: each controller connects to every controller of other cells."""

import logging

from coursefold.cells.cells import Cells
from coursefold.cells.config import CellsConfig
from coursefold.settings import split_address
from coursefold.transport.peers import FrameHandler, PeerSender, PeerServer

log = logging.getLogger(__name__)

FRAME_INTERVAL_S = 0.5


class CellTransport:
    """One controller's server for frames of other cells, and its senders to them.

    Attributes:
        max_sockets: The most sockets that the server and the senders use.
        server: Receives the frames of other cells' controllers.
        senders: One for each controller of another cell.
    """

    def __init__(self, config: CellsConfig, cells: Cells, handle_frame: FrameHandler) -> None:
        # The listener, and one connection each way for every controller of another cell.
        self.max_sockets = 1 + 2 * sum(len(entry.controllers) for entry in config.other_cells)
        self.server = PeerServer(config.listen, handle_frame, config.is_other_cell_address)
        # The receiver identifies a cell by the network that a connection comes from, so
        # connections leave from the address that this controller listens at.
        source, _ = split_address(config.listen)
        self.senders = [
            PeerSender(
                member,
                address,
                _log_connection,
                lambda member, cell=entry.name: cells.build_frame(cell, member),  # type: ignore[misc]
                FRAME_INTERVAL_S,
                source,
            )
            for entry in config.other_cells
            for member, address in entry.controllers.items()
        ]


def _log_connection(member: str) -> None:
    """Log a new connection; each frame is complete, so a connection needs no first message."""
    log.debug("connected to controller %s of another cell", member)
