"""Gangs: all places at once, or none."""

from collections.abc import Iterable
from math import inf

from coursefold.coordination.placement import (
    NO_MARKET,
    Market,
    Room,
    Weigher,
    allowed,
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
    usable = [
        r
        for r in rooms
        if r.holds(spec)
        and not r.draining
        and allowed(spec, r)
        and not (r.kept and market.fences(spec, r))
    ]
    zones = sorted({r.zone for r in usable}) if spec.same_zone else [""]
    weigh = Weigher(spec, market, slack)
    costs = {r.id: weigh(r) for r in usable}
    ranked = sorted(usable, key=lambda r: costs[r.id])
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
        while len(plan) < spec.task_count and room.holds(spec):
            if limit is not None and by_zone.get(room.zone, 0) >= limit:
                break
            before.setdefault(room.id, room.fetching)
            room.take(spec)
            plan.append(room)
            by_zone[room.zone] = by_zone.get(room.zone, 0) + 1
        if len(plan) == spec.task_count:
            break
    for room in plan:
        room.give(spec)
        room.fetching = before[room.id]
    return plan if len(plan) == spec.task_count else None


class Floor:
    """The machines of one round, as gangs look at them.

    A gang that does not fit is looked at in every round. Walking and sorting the whole
    fleet for each one cost more than all else at 900 machines and some forty waiting
    gangs, so what several gangs have in common is found once.
    """

    def __init__(self, rooms: Iterable[Room]) -> None:
        self.rooms = list(rooms)
        self._usable: dict[tuple[object, ...], list[Room]] = {}
        self._holding: dict[tuple[object, ...], list[Room]] = {}
        self._emptiest: dict[tuple[object, ...], dict[str, list[Room]]] = {}
        self._places: dict[tuple[object, ...], int] = {}

    @staticmethod
    def _kind(spec: Job) -> tuple[object, ...]:
        return (
            None if spec.machine_types is None else tuple(spec.machine_types),
            spec.zone,
            spec.may_use_spot,
        )

    def usable(self, spec: Job) -> list[Room]:
        """Rooms that the job allows and that are not kept for another."""
        kind = self._kind(spec)
        found = self._usable.get(kind)
        if found is None:
            found = [r for r in self.rooms if allowed(spec, r)]
        found = self._usable[kind] = [r for r in found if not r.draining]
        return found

    def holding(self, spec: Job) -> list[Room]:
        """Usable rooms with place for one task; in a round rooms only become fuller."""
        key = (*self._kind(spec), spec.cpus, spec.gpus, spec.memory_gb)
        found = self._holding.get(key)
        if found is None:
            found = self.usable(spec)
        found = self._holding[key] = [r for r in found if r.holds(spec) and not r.draining]
        return found

    def possible(self, spec: Job) -> bool:
        """Would the gang fit, alone, if all had ended that ends by itself?

        Seen in the tests' own world: replicas held a part of each machine, the cloud had no
        more, and machines were gathered for a gang that could never have them, while
        arrays waited for minutes beside the other parts.
        """
        key = (*self._kind(spec), spec.same_zone, spec.cpus, spec.gpus, spec.memory_gb)
        most = self._places.get(key)
        if most is None:
            by_zone: dict[str, int] = {}
            for room in self.rooms:
                if allowed(spec, room) and not (room.draining and not room.reserved):
                    zone = room.zone if spec.same_zone else ""
                    by_zone[zone] = by_zone.get(zone, 0) + room.places(spec)
            most = self._places[key] = max(by_zone.values(), default=0)
        return most >= spec.task_count

    def reserve(self, spec: Job) -> list[Room]:
        """Rooms to keep free for a gang that does not fit yet: the emptiest of one zone.

        The order is that of the round's first look: what a task has taken since changes
        it by little, and only what lesser work is kept off depends on it.
        """
        kind = (*self._kind(spec), spec.same_zone)
        by_zone = self._emptiest.get(kind)
        if by_zone is None:
            by_zone = self._emptiest[kind] = {}
            for room in sorted(self.usable(spec), key=lambda r: (r.left, r.id)):
                by_zone.setdefault(room.zone if spec.same_zone else "", []).append(room)
        best: list[Room] = []
        most = -1.0
        for _, rooms in sorted(by_zone.items()):
            while rooms and rooms[-1].draining:
                rooms.pop()
            plan: list[Room] = []
            for room in reversed(rooms):
                if len(plan) == spec.task_count:
                    break
                if not room.draining:
                    plan.append(room)
            worth = sum(r.left for r in plan)
            if worth > most:
                best, most = plan, worth
        return best
