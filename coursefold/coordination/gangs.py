"""Placement of gangs: machines for all tasks at once, or for none."""

from collections.abc import Iterable
from math import inf

from coursefold.coordination.placement import (
    EMPTY_PRICE_INDEX,
    MachineCapacity,
    PlacementCost,
    PriceIndex,
    get_zone_limit,
    may_run_on,
)
from coursefold.protocol.wire import Job


def find_gang_placement(
    spec: Job,
    machines: list[MachineCapacity],
    price_index: PriceIndex = EMPTY_PRICE_INDEX,
    slack_s: float = inf,
) -> list[MachineCapacity] | None:
    """Return one machine for each task (a machine may occur several times), or None.

    Nothing is reserved. With `same_zone` each zone is tried, and the plan whose most expensive
    machine costs least wins: a gang starts with its last task and runs as fast as its slowest
    machine. `slack_s` is how long the start may take for the job's next objective.
    """
    usable = [
        machine
        for machine in machines
        if machine.fits_task(spec)
        and not machine.is_unschedulable
        and may_run_on(spec, machine)
        and not (
            machine.has_protected_accelerators and price_index.blocks_accelerators(spec, machine)
        )
    ]
    zones = sorted({machine.zone for machine in usable}) if spec.same_zone else [""]
    compute_cost = PlacementCost(spec, price_index, slack_s)
    costs = {machine.id: compute_cost(machine) for machine in usable}
    by_cost = sorted(usable, key=lambda machine: costs[machine.id])
    best: tuple[float, list[MachineCapacity]] | None = None
    for zone in zones:
        plan = _fill_in_order(
            [machine for machine in by_cost if not zone or machine.zone == zone], spec
        )
        if plan is not None:
            highest_cost = max(costs[machine.id][0] for machine in plan)
            if best is None or highest_cost < best[0]:
                best = (highest_cost, plan)
    return best[1] if best else None


def _fill_in_order(machines: list[MachineCapacity], spec: Job) -> list[MachineCapacity] | None:
    """Return machines for all tasks, each filled before the next, or None if they do not fit."""
    zone_limit = get_zone_limit(spec)
    tasks_by_zone: dict[str, int] = {}
    plan: list[MachineCapacity] = []
    images_before: dict[str, dict[str, float]] = {}
    for machine in machines:
        while len(plan) < spec.task_count and machine.fits_task(spec):
            if zone_limit is not None and tasks_by_zone.get(machine.zone, 0) >= zone_limit:
                break
            images_before.setdefault(machine.id, machine.task_images_gb)
            machine.reserve(spec)
            plan.append(machine)
            tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + 1
        if len(plan) == spec.task_count:
            break
    for machine in plan:
        machine.release(spec)
        machine.task_images_gb = images_before[machine.id]
    return plan if len(plan) == spec.task_count else None


class GangCandidates:
    """The machines of one round, with cached answers for the gangs that wait.

    A gang that does not fit is examined in every round. At 900 machines and some forty
    waiting gangs, filtering and sorting the whole fleet for each gang costs more than all
    other work of the round, so results that several gangs share are computed once. They stay
    valid because machines only become fuller during a round.
    """

    def __init__(self, machines: Iterable[MachineCapacity]) -> None:
        self.machines = list(machines)
        self._usable: dict[tuple[object, ...], list[MachineCapacity]] = {}
        self._fitting: dict[tuple[object, ...], list[MachineCapacity]] = {}
        self._emptiest: dict[tuple[object, ...], dict[str, list[MachineCapacity]]] = {}
        self._max_tasks: dict[tuple[object, ...], int] = {}

    @staticmethod
    def _make_key(spec: Job) -> tuple[object, ...]:
        return (
            None if spec.machine_types is None else tuple(spec.machine_types),
            spec.zone,
            spec.may_use_spot,
        )

    def find_usable(self, spec: Job) -> list[MachineCapacity]:
        """Return the machines that the job allows and that take new tasks."""
        key = self._make_key(spec)
        found = self._usable.get(key)
        if found is None:
            found = [machine for machine in self.machines if may_run_on(spec, machine)]
        found = self._usable[key] = [machine for machine in found if not machine.is_unschedulable]
        return found

    def find_fitting(self, spec: Job) -> list[MachineCapacity]:
        """Return the usable machines on which one task of the job fits."""
        key = (*self._make_key(spec), spec.cpus, spec.gpus, spec.memory_gb)
        found = self._fitting.get(key)
        if found is None:
            found = self.find_usable(spec)
        found = self._fitting[key] = [
            machine for machine in found if machine.fits_task(spec) and not machine.is_unschedulable
        ]
        return found

    def may_fit_eventually(self, spec: Job) -> bool:
        """Return whether the gang would fit beside the replicas alone.

        Machines must not be earmarked for a gang that can never have them: where replicas
        hold a part of each machine and the cloud has no more, arrays would wait for minutes
        beside the free parts.
        """
        key = (*self._make_key(spec), spec.same_zone, spec.cpus, spec.gpus, spec.memory_gb)
        max_tasks = self._max_tasks.get(key)
        if max_tasks is None:
            counts: dict[str, int] = {}
            for machine in self.machines:
                if may_run_on(spec, machine) and not (
                    machine.is_unschedulable and not machine.earmarked_for_gang
                ):
                    zone = machine.zone if spec.same_zone else ""
                    counts[zone] = counts.get(zone, 0) + machine.count_tasks_beside_replicas(spec)
            max_tasks = self._max_tasks[key] = max(counts.values(), default=0)
        return max_tasks >= spec.task_count

    def find_to_earmark(self, spec: Job) -> list[MachineCapacity]:
        """Return machines to keep free for a gang that does not fit yet.

        They are the emptiest, of one zone with `same_zone`. The order is that of the first
        call in the round: tasks placed since change it little, and it only decides which
        machines less important work is kept off.
        """
        key = (*self._make_key(spec), spec.same_zone)
        by_zone = self._emptiest.get(key)
        if by_zone is None:
            by_zone = self._emptiest[key] = {}
            for machine in sorted(
                self.find_usable(spec),
                key=lambda candidate: (candidate.largest_free_share, candidate.id),
            ):
                by_zone.setdefault(machine.zone if spec.same_zone else "", []).append(machine)
        best: list[MachineCapacity] = []
        most_free = -1.0
        for _, machines in sorted(by_zone.items()):
            while machines and machines[-1].is_unschedulable:
                machines.pop()
            plan: list[MachineCapacity] = []
            for machine in reversed(machines):
                if len(plan) == spec.task_count:
                    break
                if not machine.is_unschedulable:
                    plan.append(machine)
            free = sum(machine.largest_free_share for machine in plan)
            if free > most_free:
                best, most_free = plan, free
        return best
