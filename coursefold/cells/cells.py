"""The extension of a controller's core that moves jobs between cells.

It runs the rounds of both sides, receives and builds frames, and reports its health status.
"""

import logging
from typing import Any

from coursefold.cells.config import CellsConfig
from coursefold.cells.decisions import DecisionLog
from coursefold.cells.directory import CellDirectory, RemoteCell
from coursefold.cells.guest import GuestSide
from coursefold.cells.home import HomeSide
from coursefold.cells.messages import Frame, encode_frame
from coursefold.cells.port import CorePort
from coursefold.cells.waits import WaitTracker
from coursefold.coordination.core import Core
from coursefold.histograms import decode_summary, summarize
from coursefold.protocol.ids import MonotonicTime
from coursefold.storage import records
from coursefold.storage.cell_records import DelegationStage

log = logging.getLogger(__name__)

WAITS_ENCODE_INTERVAL_S = 10.0
MAX_MOVED_JOBS_SHOWN = 50  # in the health status
MAX_DECISIONS_SHOWN = 20  # in the health status


class Cells:
    """Runs both sides of handovers between cells as an extension of a controller's core.

    Like the core, it does no I/O and uses neither a clock nor random numbers.

    Attributes:
        home: This cell's jobs in other cells.
        guest: Other cells' jobs in this cell.
        sequence: Number of the last frame built; receivers use it to drop reordered frames.
        leading_token: Fencing token of the term that this process acts in; 0 if none.
        expired_grants: Whether the grant of a home cell had expired in the last round.
        encoded_waits: Histogram of waits in the frames, encoded every WAITS_ENCODE_INTERVAL_S.
    """

    def __init__(self, config: CellsConfig, core: Core) -> None:
        self.config, self.core = config, core
        self.port = CorePort(core)
        self.directory = CellDirectory(config, core.ctx)
        self.waits = WaitTracker(core.view)
        self.decisions = DecisionLog(lambda: core.ctx.wall_time)
        self.home = HomeSide(config, self.port, self.directory, self.waits, self.decisions)
        self.guest = GuestSide(config, self.port, self.directory, self.decisions)
        self.sequence = 0
        self.leading_token = 0
        self.expired_grants: dict[str, bool] = {}
        self.waits_encoded_at = MonotonicTime(-1e9)
        self.encoded_waits = b""
        core.upgrade.require_level(records.CELLS_LEVEL)
        core.extensions.append(self)

    def tick(self) -> None:
        """Run one round of the core."""
        self.home.observe_grants()
        self._stop_guests_of_expired_grants()
        if not self.port.is_leading():
            self.leading_token = 0
            return
        if self.leading_token != self.core.view.fencing_token:
            self.leading_token = self.core.view.fencing_token
            self._discard_frames()
        self.home.tick()
        self.guest.tick()
        ctx = self.core.ctx
        self.waits.record_started_jobs(ctx.now, ctx.wall_time)
        if ctx.now - self.waits_encoded_at > WAITS_ENCODE_INTERVAL_S:
            self.waits_encoded_at = ctx.now
            self.encoded_waits = self.waits.encode_histogram()

    def _discard_frames(self) -> None:
        """Drop frames received before this term: a former leader may have acted on newer ones."""
        for cell in self.directory.cells.values():
            cell.frame, cell.pools = None, []
            cell.last_frame_at = MonotonicTime(-1e9)

    def _stop_guests_of_expired_grants(self) -> None:
        """Stop the tasks of guests as soon as their grant has ended; runs on every controller."""
        ctx = self.core.ctx
        for home in ctx.grants.seen_grants:
            has_expired = ctx.grants.has_expired(home, ctx.now, ctx.wall_time)
            if has_expired and not self.expired_grants.get(home, True):
                guests = self.core.view.guest_jobs.items()
                guest_names = [n for n, job in guests if job.guest and job.guest.home_cell == home]
                if guest_names:
                    log.info(
                        "grant of cell %s has expired; stopping its %d guest jobs",
                        home,
                        len(guest_names),
                    )
                    self.core.stop_cancelled_tasks(guest_names)
            self.expired_grants[home] = has_expired

    def receive_frame(self, raw: bytes, address: str) -> bool:
        """Process a frame from another cell; False if its connection should be closed."""
        if not self.port.is_leading():
            return True  # the leader receives its own frames
        return self.directory.receive_frame(raw, address) is not None

    def build_frame(self, name: str, member: str) -> bytes:
        """Return the next frame for a controller of another cell, or empty bytes if none is due."""
        if not self.port.is_leading() or not self.directory.is_recipient(name, member):
            return b""
        cell = self.directory.cells[name]
        self.sequence += 1
        ctx = self.core.ctx
        workers = ctx.settings.params.workers
        frame = Frame(
            cell=self.config.cell,
            member=str(ctx.own_name),
            fencing_token=self.core.view.fencing_token,
            sequence=self.sequence,
            sent_at=ctx.wall_time,
            lease_s=workers.lease_s,
            cancel_s=workers.cancel_s,
            draining=self.config.spill.draining,
            wait_histogram=self.encoded_waits,
        )
        return encode_frame(self.guest.add_guest_part(self.home.add_home_part(frame, cell), cell))

    # Operator interface

    def handle_operator_command(self, path: str, body: bytes, ticket: int) -> bool:
        """Return False: cells have no operator commands."""
        return False

    def health_status(self) -> dict[str, Any]:
        """Return the part of the health status that `coursefold cells` shows."""
        waits = summarize(self.waits.histogram)
        return {
            "cells": {
                "cell": self.config.cell,
                "on": self.port.is_leading(),
                "draining": self.config.spill.draining,
                "others": [self._describe_cell(cell) for cell in self.directory.cells.values()],
                "home": dict(self.home.counts),
                "guest": dict(self.guest.counts),
                "waits": waits._asdict(),
                "moved": self._describe_moved_jobs(),
                "decisions": self.decisions.list_newest(MAX_DECISIONS_SHOWN),
            }
        }

    def _describe_moved_jobs(self) -> list[dict[str, Any]]:
        """Describe this cell's jobs elsewhere and guests here, most recently changed first."""
        wall, view = self.core.ctx.wall_time, self.core.view
        found: list[tuple[float, str, str, str]] = []
        for name, job in view.delegated_jobs.items():
            if job.delegation:
                where = f"in cell {job.delegation.guest_cell}"
                found.append(
                    (
                        job.delegation.stage_started_at,
                        name,
                        where,
                        job.delegation.stage.name.lower(),
                    )
                )
        for name, job in view.guest_jobs.items():
            if job.guest:
                guest_location = f"here for cell {job.guest.home_cell}"
                found.append(
                    (job.guest.stage_started_at, name, guest_location, job.guest.stage.name.lower())
                )
        return [
            {"job": name, "where": where, "stage": stage, "for_s": round(max(0.0, wall - at), 1)}
            for at, name, where, stage in sorted(found, reverse=True)[:MAX_MOVED_JOBS_SHOWN]
        ]

    def _describe_cell(self, cell: RemoteCell) -> dict[str, Any]:
        """Describe one other cell for the health status."""
        ctx, view = self.core.ctx, self.core.view
        delegations = [
            job.delegation
            for job in view.delegated_jobs.values()
            if job.delegation and job.delegation.guest_cell == cell.name
        ]
        guests = [j for j in view.guest_jobs.values() if j.guest and j.guest.home_cell == cell.name]
        silence_s = ctx.now - cell.last_frame_at
        summary = (
            decode_summary(cell.frame.wait_histogram)
            if cell.frame and cell.frame.wait_histogram
            else None
        )
        return {
            "cell": cell.name,
            "reachable": self.directory.is_reachable(cell.name),
            "heard_s": round(silence_s, 1) if cell.frame else None,
            "leader": cell.frame.member if cell.frame else None,
            "offered": sum(a.stage == DelegationStage.OFFERED for a in delegations),
            "away": sum(a.stage != DelegationStage.OFFERED for a in delegations),
            "guests": len(guests),
            "free_slots": round(sum(pool.free_slots for pool in cell.pools), 1),
            "waits": summary._asdict() if summary else None,
        }
