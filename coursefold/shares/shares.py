"""A controller's part in the shares: rounds, operators' commands, its condition."""

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
    """Attached to a controller's core; without I/O, clock or randomness, as that is."""

    def __init__(self, config: SharesConfig, core: Core) -> None:
        self.port = CorePort(core)
        self.handover = HandoverManager(self.port)
        self.planner = MovePlanner(config, self.port)
        self.durations = MoveDurations(self.port)
        self.commands = OperatorCommands(self.port, self.planner, config.controllers)
        core.upgrade.require_level(records.SHARES_LEVEL)
        core.extensions.append(self)

    def tick(self) -> None:
        """One round of the core."""
        self.handover.tick()
        self.durations.tick()
        self.planner.tick()
        self.commands.delete_expired_request()

    def handle_operator_command(self, path: str, body: bytes, ticket: int) -> bool:
        """An operator's command."""
        return self.commands.handle(path, body, ticket)

    # For operators

    def health_status(self) -> dict[str, Any]:
        """What `coursefold shares` shows."""
        wall = self.port.ctx.wall_time
        window = self.planner.schedule.window_at(wall)
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
                    if wall < request.expires_at
                ],
            }
        }

    def _scopes(self) -> list[dict[str, Any]]:
        """Machines by controller, and what they are to be."""
        found = []
        for (build, zone), status in self.planner.scope_status.items():
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
            found.append({"type": build, "zone": zone, "controllers": rows})
        return found

    def _moves(self) -> list[dict[str, Any]]:
        """Moves under way, the oldest first; why not yet is known to the old owner alone."""
        under_way = sorted(
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
            for machine, record in under_way[:MAX_LISTED_MOVES]
        ]
