"""Gangs: all places at once, or none."""

from coursefold.coordination.placement import Room, allowed, fetch_time, zone_limit
from coursefold.protocol.wire import Job


def fill(spec: Job, rooms: list[Room]) -> list[Room] | None:
    """Rooms for all tasks, one for each (a room may serve several), or None.

    With `Together` each zone is tried; the plan whose slowest image fetch is
    shortest wins, for a gang starts with its last task.
    """
    usable = [r for r in rooms if not r.draining and allowed(spec, r)]
    zones = sorted({r.zone for r in usable}) if spec.together else [""]
    best: tuple[float, list[Room]] | None = None
    for zone in zones:
        plan = _fill([r for r in usable if not zone or r.zone == zone], spec)
        if plan is not None:
            slowest = max(fetch_time(spec, r) for r in plan)
            if best is None or slowest < best[0]:
                best = (slowest, plan)
    return best[1] if best else None


def _fill(rooms: list[Room], spec: Job) -> list[Room] | None:
    limit = zone_limit(spec)
    by_zone: dict[str, int] = {}
    plan: list[Room] = []
    taken: list[Room] = []
    ranked = sorted(
        rooms, key=lambda r: (fetch_time(spec, r), spec.spot and not r.spot, r.left, r.id)
    )
    for room in ranked:
        while len(plan) < spec.tasks and room.holds(spec):
            if limit is not None and by_zone.get(room.zone, 0) >= limit:
                break
            room.take(spec)
            taken.append(room)
            plan.append(room)
            by_zone[room.zone] = by_zone.get(room.zone, 0) + 1
    for room in taken:
        room.give(spec)
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
