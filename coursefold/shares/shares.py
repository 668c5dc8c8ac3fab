"""Connects shares to a controller's core: rounds, operators' commands, health status."""

from typing import Any

from coursefold.coordination.core import Core
from coursefold.shares.commands import OperatorCommands, describe_request
from coursefold.shares.config import SharesConfig
from coursefold.shares.durations import MoveDurations
from coursefold.shares.handover import HandoverManager
from coursefold.shares.planner import MovePlanner
from coursefold.shares.port import CorePort
from coursefold.storage import records

MAX_LISTED_MOVES = 50


class Shares:
    """Extension of a controller's core; like the core it has no I/O, clock or randomness."""

    def __init__(self, config: SharesConfig, core: Core) -> None:
        self.port = CorePort(core)
        self.handover = HandoverManager(self.port)
        self.planner = MovePlanner(config, self.port)
        self.durations = MoveDurations(self.port)
        self.commands = OperatorCommands(self.port, self.planner, config.controllers)
        core.upgrade.require_level(records.SHARES_LEVEL)
        core.extensions.append(self)

    def tick(self) -> None:
        """Run the shares' part of one round of the core."""
        self.handover.tick()
        self.durations.tick()
        self.planner.tick()
        self.commands.delete_expired_request()

    def handle_operator_command(self, path: str, body: bytes, ticket: int) -> bool:
        """Carry out the command at an HTTP path; return False if there is none at this path."""
        return self.commands.handle(path, body, ticket)

    # For operators

    def health_status(self) -> dict[str, Any]:
        """Return the status that `coursefold shares` shows."""
        wall_time = self.port.ctx.wall_time
        window = self.planner.schedule.window_at(wall_time)
        requests = sorted(self.port.view.share_requests.items())
        return {
            "shares": {
                "on": self.port.view.format_level >= records.SHARES_LEVEL,
                "leads": self.port.is_leading(),
                "window": window.name if window else "",
                "scopes": self._scopes(),
                "moves": self._moves(),
                "outcomes": dict(self.planner.outcomes),
                "durations": self.durations.health_status(),
                "requests": [
                    describe_request(name, request)
                    for name, request in requests
                    if wall_time < request.expires_at
                ],
            }
        }

    def _scopes(self) -> list[dict[str, Any]]:
        """Return for each scope the machines and the target of each controller."""
        scopes = []
        for (machine_type, zone), status in self.planner.scope_status.items():
            names = sorted({*status.owned, *status.targets, *self.port.member_names()})
            rows = []
            for name in names:
                target = status.targets.get(name)
                rows.append(
                    {
                        "controller": name,
                        "owned": status.owned[name],
                        "unshown": status.unreported[name],
                        "target": target.machine_count if target else None,
                        "why": target.reason if target else "",
                    }
                )
            scopes.append({"type": machine_type, "zone": zone, "controllers": rows})
        return scopes

    def _moves(self) -> list[dict[str, Any]]:
        """Return moves in progress, oldest first.

        Only the old owner knows what a move waits for; elsewhere that text is empty.
        """
        moves = sorted(
            self.port.view.moves_in_progress.items(), key=lambda item: item[1].stage_started_at
        )
        return [
            {
                "machine": machine,
                "from": record.source,
                "to": record.target,
                "epoch": record.epoch,
                "mode": record.mode.name.lower(),
                "for_s": round(max(0.0, self.port.ctx.wall_time - record.stage_started_at), 1),
                "why": record.why,
                "waits": self.handover.waiting_reasons.get(machine, ""),
            }
            for machine, record in moves[:MAX_LISTED_MOVES]
        ]
