"""Measures how long moves take: to the handover, and until the new owner reports the machine."""

from typing import Any, NamedTuple

from coursefold.histograms import new_histogram, record_seconds, summarize
from coursefold.shares.port import CorePort


class ObservedMove(NamedTuple):
    """A move that this process has seen in progress; `requested_at` is wall-clock time."""

    epoch: int
    requested_at: float


class MoveDurations:
    """Histograms of the durations of moves, filled by the leader.

    Sources are the ownership records and the machine rows in the siblings' peer frames. A
    controller that does not lead discards its observations, but keeps its histograms.

    Attributes:
        handover_s: Seconds from the request of a move to the commit that hands the machine over.
        visible_s: Seconds from that commit until the new owner reports the machine.
    """

    def __init__(self, port: CorePort) -> None:
        self.port = port
        self.handover_s = new_histogram()
        self.visible_s = new_histogram()
        self.observed_moves: dict[str, ObservedMove] = {}
        self.handed_over_at: dict[str, float] = {}

    def tick(self) -> None:
        """Record the moves that were handed over, and machines that are reported again."""
        port = self.port
        if not port.is_leading():
            self.observed_moves.clear()
            self.handed_over_at.clear()
            return
        for machine, known in list(self.observed_moves.items()):
            if machine not in port.view.moves_in_progress:
                del self.observed_moves[machine]
                self._record_handover(machine, known)
        for machine, record in port.view.moves_in_progress.items():
            self.observed_moves[machine] = ObservedMove(record.epoch, record.stage_started_at)
        for machine, handed_over_at in list(self.handed_over_at.items()):
            if port.is_leaving(machine):
                del self.handed_over_at[machine]
            elif port.is_reported_by_owner(machine):
                del self.handed_over_at[machine]
                record_seconds(self.visible_s, max(0.0, port.ctx.wall_time - handed_over_at))

    def _record_handover(self, machine: str, known: ObservedMove) -> None:
        record = self.port.view.ownership.get(machine)
        if record is None or record.epoch != known.epoch or record.owner != record.target:
            return  # the move was withdrawn
        record_seconds(self.handover_s, max(0.0, record.stage_started_at - known.requested_at))
        self.handed_over_at[machine] = record.stage_started_at

    def health_status(self) -> dict[str, Any]:
        """Return summaries of both histograms, for the controller's health status."""
        return {
            "handover": summarize(self.handover_s)._asdict(),
            "shown": summarize(self.visible_s)._asdict(),
        }
