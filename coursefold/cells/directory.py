"""Keeps the newest frame of each other cell's leader, and when it arrived.

The contents of frames are hints, except for what a cell says of its own records. That stays true
however late it arrives, since epochs and reservations are never used again.
"""

import logging
import re

from coursefold.cells.config import CellsConfig
from coursefold.cells.messages import Frame, InvalidFrameError, PoolState, decode_frame
from coursefold.coordination.context import Context
from coursefold.protocol.ids import MonotonicTime

log = logging.getLogger(__name__)

_NUMBER_PATTERN = re.compile(r"[0-9.]+")
MAX_DELIVERY_DELAY_S = 3.0  # of a frame on its way, in addition to the bound on clock skew
REACHABLE_TIMEOUT_S = 3.0  # since the last frame
LOG_REPEAT_INTERVAL_S = 60.0
MAX_LOGGED_FAULTS = 100
LEADER_TIMEOUT_S = 2.0  # since the last frame; after it any of its controllers may lead


class RemoteCell:
    """The state of one other cell as known here.

    Attributes:
        frame: Newest frame; None if none has arrived in this term.
        last_frame_at: When it arrived.
        pools: Pools in that frame, with the load of later offers added.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.frame: Frame | None = None
        self.last_frame_at = MonotonicTime(-1e9)
        self.pools: list[PoolState] = []

    def is_newer(self, frame: Frame) -> bool:
        """Return whether the frame was sent after the newest one known."""
        previous = self.frame
        return previous is None or (frame.fencing_token, frame.sequence) > (
            previous.fencing_token,
            previous.sequence,
        )


class CellDirectory:
    """Checks and keeps the frames of the other cells.

    Attributes:
        cells: The other cells by name.
        logged_faults: When a fault was last logged, by address and reason without its numbers.
    """

    def __init__(self, config: CellsConfig, ctx: Context) -> None:
        self.config, self.ctx = config, ctx
        self.cells = {entry.name: RemoteCell(entry.name) for entry in config.other_cells}
        self.logged_faults: dict[tuple[str, str], MonotonicTime] = {}

    def receive_frame(self, raw: bytes, address: str) -> RemoteCell | None:
        """Check and keep a frame; return its cell, or None if the frame was dropped."""
        try:
            frame = decode_frame(raw)
            cell = self._check_sender(frame, address)
        except InvalidFrameError as error:
            self._log_dropped_frame(address, str(error))
            return None
        if not cell.is_newer(frame):
            log.debug(
                "dropping cell frame %d of cell %s: a newer one has arrived",
                frame.sequence,
                frame.cell,
            )
            return None
        cell.frame, cell.last_frame_at = frame, self.ctx.now
        cell.pools = list(frame.pools)
        return cell

    def _log_dropped_frame(self, address: str, reason: str) -> None:
        """Log the same fault at most once a minute, since frames arrive twice a second."""
        fault = (address, _NUMBER_PATTERN.sub("", reason))
        last_logged_at = self.logged_faults.get(fault)
        if last_logged_at is not None and self.ctx.now - last_logged_at < LOG_REPEAT_INTERVAL_S:
            return
        if len(self.logged_faults) >= MAX_LOGGED_FAULTS:
            self.logged_faults.clear()
        self.logged_faults[fault] = self.ctx.now
        log.error("dropping cell frame from %s: %s", address, reason)

    def _check_sender(self, frame: Frame, address: str) -> RemoteCell:
        """Return the frame's cell.

        Raises:
            InvalidFrameError: If the sender is not a controller of that cell, or the frame is
                too old or from the future.
        """
        cell = self.cells.get(frame.cell)
        if cell is None:
            raise InvalidFrameError(f"unknown cell {frame.cell[:40]!r}")
        if not self.config.is_allowed_address(frame.cell, address):
            raise InvalidFrameError(f"sender address is not in the networks of cell {frame.cell}")
        if frame.member not in self.config.entries[frame.cell].controllers:
            raise InvalidFrameError(f"cell {frame.cell} has no controller {frame.member[:40]!r}")
        skew_s = 2.0 * self.ctx.settings.params.skew_ms / 1000.0
        if abs(self.ctx.wall_time - frame.sent_at) > MAX_DELIVERY_DELAY_S + skew_s:
            raise InvalidFrameError(
                f"sent {self.ctx.wall_time - frame.sent_at:.1f} s ago by the sender's clock"
            )
        return cell

    def is_reachable(self, name: str) -> bool:
        """Return whether a frame of the cell arrived within REACHABLE_TIMEOUT_S."""
        cell = self.cells.get(name)
        return cell is not None and self.ctx.now - cell.last_frame_at < REACHABLE_TIMEOUT_S

    def is_recipient(self, name: str, member: str) -> bool:
        """Return whether to send frames for the cell to this controller.

        All its controllers get them while none is known to lead.
        """
        cell = self.cells[name]
        if cell.frame is None or self.ctx.now - cell.last_frame_at > LEADER_TIMEOUT_S:
            return True
        return cell.frame.member == member
