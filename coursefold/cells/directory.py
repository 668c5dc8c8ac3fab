"""What the other cells' leaders say: the newest frame of each, and how old it is.

All of it is hints, but for what a cell says of its own records: that stays true however late
it is heard, since epochs and reservations are never used again.
"""

import logging
import re

from coursefold.cells.config import CellsConfig
from coursefold.cells.messages import BadFrameError, Frame, PoolState, read_frame
from coursefold.coordination.context import Context
from coursefold.protocol.ids import MonotonicTime

log = logging.getLogger(__name__)

_NUMBERS = re.compile(r"[0-9.]+")
LATE_S = 3.0  # beyond the clocks' bounds: held back on its way
REACHABLE_S = 3.0
COMPLAIN_EVERY_S = 60.0
MOST_COMPLAINTS = 100
LEADER_S = 2.0  # of silence: then any of its controllers may lead


class OtherCell:
    """One of the other cells."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.frame: Frame | None = None
        self.heard_at = MonotonicTime(-1e9)
        self.pools: list[PoolState] = []  # less what was offered since

    def is_newer(self, frame: Frame) -> bool:
        """Was this frame sent after the one that we have?"""
        known = self.frame
        return known is None or (frame.token, frame.seq) > (known.token, known.seq)


class Directory:
    """The other cells, by name."""

    def __init__(self, config: CellsConfig, ctx: Context) -> None:
        self.config, self.ctx = config, ctx
        self.cells = {entry.name: OtherCell(entry.name) for entry in config.others}
        self.complained: dict[tuple[str, str], MonotonicTime] = {}

    def take(self, raw: bytes, address: str) -> OtherCell | None:
        """Note a frame; the cell that it is of, or None if it changes nothing."""
        try:
            frame = read_frame(raw)
            cell = self._sender(frame, address)
        except BadFrameError as wrong:
            self._complain(address, str(wrong))
            return None
        if not cell.is_newer(frame):
            log.debug("cell frame %d of %s comes late", frame.seq, frame.cell)
            return None
        cell.frame, cell.heard_at = frame, self.ctx.now
        cell.pools = list(frame.pools)
        return cell

    def _complain(self, address: str, why: str) -> None:
        """One log line a minute for the same fault: frames come twice a second."""
        fault = (address, _NUMBERS.sub("", why))
        last = self.complained.get(fault)
        if last is not None and self.ctx.now - last < COMPLAIN_EVERY_S:
            return
        if len(self.complained) >= MOST_COMPLAINTS:
            self.complained.clear()
        self.complained[fault] = self.ctx.now
        log.error("cell frame from %s dropped: %s", address, why)

    def _sender(self, frame: Frame, address: str) -> OtherCell:
        cell = self.cells.get(frame.cell)
        if cell is None:
            raise BadFrameError(f"unknown cell {frame.cell[:40]!r}")
        if not self.config.allows(frame.cell, address):
            raise BadFrameError(f"cell {frame.cell} has no such address")
        if frame.member not in self.config.entries[frame.cell].controllers:
            raise BadFrameError(f"cell {frame.cell} has no controller {frame.member[:40]!r}")
        skew = 2.0 * self.ctx.settings.params.skew_ms / 1000.0
        if abs(self.ctx.wall_time - frame.sent_at) > LATE_S + skew:
            raise BadFrameError(f"sent {self.ctx.wall_time - frame.sent_at:.1f} s ago")
        return cell

    def is_reachable(self, name: str) -> bool:
        """Was the cell heard a moment ago?"""
        cell = self.cells.get(name)
        return cell is not None and self.ctx.now - cell.heard_at < REACHABLE_S

    def speaks_to(self, name: str, member: str) -> bool:
        """Should frames to the cell go to this controller? To all while none is known to lead."""
        cell = self.cells[name]
        if cell.frame is None or self.ctx.now - cell.heard_at > LEADER_S:
            return True
        return cell.frame.member == member
