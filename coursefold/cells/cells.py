"""A controller's part in the traffic between cells: rounds, frames in and out, its condition."""

import logging
from typing import Any

from coursefold.cells.config import CellsConfig
from coursefold.cells.decisions import DecisionLog
from coursefold.cells.directory import Directory, OtherCell
from coursefold.cells.guest import GuestSide
from coursefold.cells.home import HomeSide
from coursefold.cells.messages import Frame, dump_frame
from coursefold.cells.port import CorePort
from coursefold.cells.waits import WaitLog
from coursefold.coordination.core import Core
from coursefold.histograms import decode_summary, summarize
from coursefold.protocol.ids import MonotonicTime
from coursefold.storage import records
from coursefold.storage.cell_records import DelegationStage

log = logging.getLogger(__name__)

WAITS_EVERY_S = 10.0
MOVED_SHOWN = 50  # jobs, and
DECISIONS_SHOWN = 20  # decisions in a controller's condition


class Cells:
    """Attached to a controller's core; without I/O, clock or randomness, as that is."""

    def __init__(self, config: CellsConfig, core: Core) -> None:
        self.config, self.core = config, core
        self.port = CorePort(core)
        self.directory = Directory(config, core.ctx)
        self.waits = WaitLog(core.view)
        self.decisions = DecisionLog(lambda: core.ctx.wall_time)
        self.home = HomeSide(config, self.port, self.directory, self.waits, self.decisions)
        self.guest = GuestSide(config, self.port, self.directory, self.decisions)
        self.seq = 0
        self.led_token = 0
        self.lapsed: dict[str, bool] = {}
        self.waits_at = MonotonicTime(-1e9)
        self.encoded_waits = b""
        core.upgrade.require_level(records.CELLS_LEVEL)
        core.extensions.append(self)

    def tick(self) -> None:
        """One round of the core."""
        self.home.observe()
        self._stop_lapsed()
        if not self.port.leads():
            self.led_token = 0
            return
        if self.led_token != self.core.view.fencing_token:
            self.led_token = self.core.view.fencing_token
            self._forget_frames()
        self.home.tick()
        self.guest.tick()
        ctx = self.core.ctx
        self.waits.look(ctx.now, ctx.wall_time)
        if ctx.now - self.waits_at > WAITS_EVERY_S:
            self.waits_at = ctx.now
            self.encoded_waits = self.waits.encoded()

    def _forget_frames(self) -> None:
        """Frames from before we led may be older than what a former leader acted on."""
        for cell in self.directory.cells.values():
            cell.frame, cell.pools = None, []
            cell.heard_at = MonotonicTime(-1e9)

    def _stop_lapsed(self) -> None:
        """On every controller: stop the tasks of guests as soon as their grant has ended."""
        ctx = self.core.ctx
        for home in ctx.grants.seen_grants:
            now_lapsed = ctx.grants.has_expired(home, ctx.now, ctx.wall_time)
            if now_lapsed and not self.lapsed.get(home, True):
                guests = self.core.view.guest_jobs.items()
                names = [n for n, job in guests if job.guest and job.guest.home_cell == home]
                if names:
                    log.info("the grant of %s has ended: %d jobs are stopped", home, len(names))
                    self.core.stop_cancelled_tasks(names)
            self.lapsed[home] = now_lapsed

    def take(self, raw: bytes, address: str) -> bool:
        """A frame from another cell; False if its connection should end."""
        if not self.port.leads():
            return True  # the leader is told as well
        return self.directory.take(raw, address) is not None

    def frame(self, name: str, member: str) -> bytes:
        """The next frame for a controller of another cell; empty if it is told nothing."""
        if not self.port.leads() or not self.directory.speaks_to(name, member):
            return b""
        cell = self.directory.cells[name]
        self.seq += 1
        ctx = self.core.ctx
        workers = ctx.settings.params.workers
        frame = Frame(
            cell=self.config.cell,
            member=str(ctx.own_name),
            token=self.core.view.fencing_token,
            seq=self.seq,
            sent_at=ctx.wall_time,
            lease_s=workers.lease_s,
            cancel_s=workers.cancel_s,
            draining=self.config.spill.draining,
            waits=self.encoded_waits,
        )
        return dump_frame(self.guest.fill(self.home.fill(frame, cell), cell))

    # For operators

    def handle_operator_command(self, path: str, body: bytes, ticket: int) -> bool:
        """There are no operators' commands to cells."""
        return False

    def health_status(self) -> dict[str, Any]:
        """What `coursefold cells` shows."""
        waits = summarize(self.waits.histogram)
        return {
            "cells": {
                "cell": self.config.cell,
                "on": self.port.leads(),
                "draining": self.config.spill.draining,
                "others": [self._describe(cell) for cell in self.directory.cells.values()],
                "home": dict(self.home.counts),
                "guest": dict(self.guest.counts),
                "waits": waits._asdict(),
                "moved": self._moved(),
                "decisions": self.decisions.shown(DECISIONS_SHOWN),
            }
        }

    def _moved(self) -> list[dict[str, Any]]:
        """Our jobs in other cells and theirs here, those that moved last first."""
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
                whose = f"here for cell {job.guest.home_cell}"
                found.append(
                    (job.guest.stage_started_at, name, whose, job.guest.stage.name.lower())
                )
        return [
            {"job": name, "where": where, "stage": stage, "for_s": round(max(0.0, wall - at), 1)}
            for at, name, where, stage in sorted(found, reverse=True)[:MOVED_SHOWN]
        ]

    def _describe(self, cell: OtherCell) -> dict[str, Any]:
        ctx, view = self.core.ctx, self.core.view
        away = [
            job.delegation
            for job in view.delegated_jobs.values()
            if job.delegation and job.delegation.guest_cell == cell.name
        ]
        guests = [j for j in view.guest_jobs.values() if j.guest and j.guest.home_cell == cell.name]
        heard = ctx.now - cell.heard_at
        summary = decode_summary(cell.frame.waits) if cell.frame and cell.frame.waits else None
        return {
            "cell": cell.name,
            "reachable": self.directory.is_reachable(cell.name),
            "heard_s": round(heard, 1) if cell.frame else None,
            "leader": cell.frame.member if cell.frame else None,
            "offered": sum(a.stage == DelegationStage.OFFERED for a in away),
            "away": sum(a.stage != DelegationStage.OFFERED for a in away),
            "guests": len(guests),
            "free_slots": round(sum(pool.free for pool in cell.pools), 1),
            "waits": summary._asdict() if summary else None,
        }
