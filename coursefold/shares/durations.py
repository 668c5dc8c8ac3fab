"""How long moves take, from their request to the handover, and until the new owner is heard."""

from typing import Any, NamedTuple

from coursefold.histograms import new_histogram, record_seconds, summarize
from coursefold.shares.port import CorePort


class UnderWay(NamedTuple):
    """A move that this process has seen requested."""

    epoch: int
    requested_at: float


class Durations:
    """Measured by the leader, from the records and its siblings' rows."""

    def __init__(self, port: CorePort) -> None:
        self.port = port
        self.handover = new_histogram()
        self.shown = new_histogram()
        self.under_way: dict[str, UnderWay] = {}
        self.handed_over_at: dict[str, float] = {}

    def tick(self) -> None:
        """Note the moves that have come further."""
        port = self.port
        if not port.leads():
            self.under_way.clear()
            self.handed_over_at.clear()
            return
        for machine, known in list(self.under_way.items()):
            if machine not in port.view.moves_in_progress:
                del self.under_way[machine]
                self._note_handover(machine, known)
        for machine, record in port.view.moves_in_progress.items():
            self.under_way[machine] = UnderWay(record.epoch, record.stage_started_at)
        for machine, at in list(self.handed_over_at.items()):
            if port.is_leaving(machine):
                del self.handed_over_at[machine]
            elif port.is_shown(machine):
                del self.handed_over_at[machine]
                record_seconds(self.shown, max(0.0, port.ctx.wall_time - at))

    def _note_handover(self, machine: str, known: UnderWay) -> None:
        record = self.port.view.ownership.get(machine)
        if record is None or record.epoch != known.epoch or record.owner != record.target:
            return  # withdrawn
        record_seconds(self.handover, max(0.0, record.stage_started_at - known.requested_at))
        self.handed_over_at[machine] = record.stage_started_at

    def condition(self) -> dict[str, Any]:
        """Both distributions, for a controller's condition."""
        return {
            "handover": summarize(self.handover)._asdict(),
            "shown": summarize(self.shown)._asdict(),
        }
