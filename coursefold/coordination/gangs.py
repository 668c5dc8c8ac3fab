"""Gangs: all places at once, or none."""

from math import inf

from coursefold.coordination.placement import (
    NO_MARKET,
    Market,
    Room,
    allowed,
    cost,
    zone_limit,
)
from coursefold.protocol.wire import Job


def fill(
    spec: Job, rooms: list[Room], market: Market = NO_MARKET, slack: float = inf
) -> list[Room] | None:
    """Rooms for all tasks, one for each (a room may serve several), or None.

    With `Together` each zone is tried; the plan whose worst place is best wins, for
    a gang starts with its last task and runs as fast as its slowest machine.
    """
    usable = [r for r in rooms if not r.draining and allowed(spec, r)]
    zones = sorted({r.zone for r in usable}) if spec.together else [""]
    costs = {r.id: cost(spec, r, market, slack) for r in usable if r.holds(spec)}
    ranked = sorted((r for r in usable if r.id in costs), key=lambda r: costs[r.id])
    best: tuple[float, list[Room]] | None = None
    for zone in zones:
        plan = _fill([r for r in ranked if not zone or r.zone == zone], spec)
        if plan is not None:
            worst = max(costs[r.id][0] for r in plan)
            if best is None or worst < best[0]:
                best = (worst, plan)
    return best[1] if best else None


def _fill(ranked: list[Room], spec: Job) -> list[Room] | None:
    limit = zone_limit(spec)
    by_zone: dict[str, int] = {}
    plan: list[Room] = []
    before: dict[str, dict[str, float]] = {}
    for room in ranked:
        while len(plan) < spec.tasks and room.holds(spec):
            if limit is not None and by_zone.get(room.zone, 0) >= limit:
                break
            before.setdefault(room.id, room.fetching)
            room.take(spec)
            plan.append(room)
            by_zone[room.zone] = by_zone.get(room.zone, 0) + 1
        if len(plan) == spec.tasks:
            break
    for room in plan:
        room.give(spec)
        room.fetching = before[room.id]
    return plan if len(plan) == spec.tasks else None


def reserve(spec: Job, rooms: list[Room]) -> list[Room]:
    """Rooms to keep free for a gang that does not fit yet: the emptiest of one zone."""
    usable = [r for r in rooms if not r.draining and allowed(spec, r)]
    zones = sorted({r.zone for r in usable}) if spec.together else [""]

    def emptiest(zone: str) -> list[Room]:
        mine = [r for r in usable if not zone or r.zone == zone]
        return sorted(mine, key=lambda r: (-r.left, r.id))[: spec.tasks]

    plans = [emptiest(zone) for zone in zones]
    return max(plans, key=lambda plan: sum(r.left for r in plan), default=[])
