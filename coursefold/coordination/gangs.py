"""Gangs: all places at once, or none."""

from collections.abc import Iterable
from math import inf

from coursefold.coordination.placement import (
    EMPTY_PRICE_INDEX,
    MachineCapacity,
    PriceIndex,
    Weigher,
    may_run_on,
    zone_limit,
)
from coursefold.protocol.wire import Job


def find_gang_placement(
    spec: Job,
    rooms: list[MachineCapacity],
    market: PriceIndex = EMPTY_PRICE_INDEX,
    slack: float = inf,
) -> list[MachineCapacity] | None:
    """Rooms for all tasks, one for each (a room may serve several), or None.

    With `Together` each zone is tried; the plan whose worst place is best wins, for
    a gang starts with its last task and runs as fast as its slowest machine.
    """
    usable = [
        r
        for r in rooms
        if r.fits_task(spec)
        and not r.is_unschedulable
        and may_run_on(spec, r)
        and not (r.has_protected_accelerators and market.blocks_accelerators(spec, r))
    ]
    zones = sorted({r.zone for r in usable}) if spec.together else [""]
    weigh = Weigher(spec, market, slack)
    costs = {r.id: weigh(r) for r in usable}
    ranked = sorted(usable, key=lambda r: costs[r.id])
    best: tuple[float, list[MachineCapacity]] | None = None
    for zone in zones:
        plan = _fill([r for r in ranked if not zone or r.zone == zone], spec)
        if plan is not None:
            worst = max(costs[r.id][0] for r in plan)
            if best is None or worst < best[0]:
                best = (worst, plan)
    return best[1] if best else None


def _fill(ranked: list[MachineCapacity], spec: Job) -> list[MachineCapacity] | None:
    limit = zone_limit(spec)
    by_zone: dict[str, int] = {}
    plan: list[MachineCapacity] = []
    before: dict[str, dict[str, float]] = {}
    for room in ranked:
        while len(plan) < spec.tasks and room.fits_task(spec):
            if limit is not None and by_zone.get(room.zone, 0) >= limit:
                break
            before.setdefault(room.id, room.task_images_gb)
            room.reserve(spec)
            plan.append(room)
            by_zone[room.zone] = by_zone.get(room.zone, 0) + 1
        if len(plan) == spec.tasks:
            break
    for room in plan:
        room.release(spec)
        room.task_images_gb = before[room.id]
    return plan if len(plan) == spec.tasks else None


class GangCandidates:
    """The machines of one round, as gangs look at them.

    A gang that does not fit is looked at in every round. Walking and sorting the whole
    fleet for each one cost more than all else at 900 machines and some forty waiting
    gangs, so what several gangs have in common is found once.
    """

    def __init__(self, rooms: Iterable[MachineCapacity]) -> None:
        self.machines = list(rooms)
        self._usable: dict[tuple[object, ...], list[MachineCapacity]] = {}
        self._holding: dict[tuple[object, ...], list[MachineCapacity]] = {}
        self._emptiest: dict[tuple[object, ...], dict[str, list[MachineCapacity]]] = {}
        self._places: dict[tuple[object, ...], int] = {}

    @staticmethod
    def _kind(spec: Job) -> tuple[object, ...]:
        return (None if spec.builds is None else tuple(spec.builds), spec.zone, spec.spot)

    def find_usable(self, spec: Job) -> list[MachineCapacity]:
        """Rooms that the job allows and that are not kept for another."""
        kind = self._kind(spec)
        found = self._usable.get(kind)
        if found is None:
            found = [r for r in self.machines if may_run_on(spec, r)]
        found = self._usable[kind] = [r for r in found if not r.is_unschedulable]
        return found

    def find_fitting(self, spec: Job) -> list[MachineCapacity]:
        """Usable rooms with place for one task; in a round rooms only become fuller."""
        key = (*self._kind(spec), spec.cpus, spec.gpus, spec.memory)
        found = self._holding.get(key)
        if found is None:
            found = self.find_usable(spec)
        found = self._holding[key] = [
            r for r in found if r.fits_task(spec) and not r.is_unschedulable
        ]
        return found

    def may_fit_eventually(self, spec: Job) -> bool:
        """Would the gang fit, alone, if all had ended that ends by itself?

        Seen in the tests' own world: replicas held a part of each machine, the cloud had no
        more, and machines were gathered for a gang that could never have them, while
        arrays waited for minutes beside the other parts.
        """
        key = (*self._kind(spec), spec.together, spec.cpus, spec.gpus, spec.memory)
        most = self._places.get(key)
        if most is None:
            by_zone: dict[str, int] = {}
            for room in self.machines:
                if may_run_on(spec, room) and not (
                    room.is_unschedulable and not room.earmarked_for_gang
                ):
                    zone = room.zone if spec.together else ""
                    by_zone[zone] = by_zone.get(zone, 0) + room.count_tasks_beside_replicas(spec)
            most = self._places[key] = max(by_zone.values(), default=0)
        return most >= spec.tasks

    def find_to_earmark(self, spec: Job) -> list[MachineCapacity]:
        """Rooms to keep free for a gang that does not fit yet: the emptiest of one zone.

        The order is that of the round's first look: what a task has taken since changes
        it by little, and only what lesser work is kept off depends on it.
        """
        kind = (*self._kind(spec), spec.together)
        by_zone = self._emptiest.get(kind)
        if by_zone is None:
            by_zone = self._emptiest[kind] = {}
            for room in sorted(self.find_usable(spec), key=lambda r: (r.largest_free_share, r.id)):
                by_zone.setdefault(room.zone if spec.together else "", []).append(room)
        best: list[MachineCapacity] = []
        most = -1.0
        for _, rooms in sorted(by_zone.items()):
            while rooms and rooms[-1].is_unschedulable:
                rooms.pop()
            plan: list[MachineCapacity] = []
            for room in reversed(rooms):
                if len(plan) == spec.tasks:
                    break
                if not room.is_unschedulable:
                    plan.append(room)
            worth = sum(r.largest_free_share for r in plan)
            if worth > most:
                best, most = plan, worth
        return best
