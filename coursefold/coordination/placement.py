"""Which machines may run a task, and which of them costs least.

Costs are in seconds, so that waiting for an image, rent and penalties can be added up.
"""

from collections.abc import Collection, Iterable
from heapq import heapify, heappop, heapreplace
from math import inf
from typing import NamedTuple

from coursefold.protocol.wire import Job, MachineType
from coursefold.storage.machine_load import EMPTY_LOAD, MachineLoad

RESOURCE_TOLERANCE = 1e-6  # CPUs, accelerators or GB; absorbs rounding errors of sums
MAX_TASKS_PER_MACHINE = 1000  # about as many as a worker's report of 64 KiB can list
# Penalties for a job that may use spot machines on an ordinary machine:
NEEDED_ORDINARY_PENALTY_S = 40.0  # of a type that is the cheapest for a job without spot
OTHER_ORDINARY_PENALTY_S = 8.0  # of any other type
# Other penalties:
LATE_FETCH_PENALTY_S = 20.0  # the image would be complete only after the latest start
BLOCKED_ACCELERATORS_PENALTY_S = 60.0  # a task without accelerators waits this long instead
EMPTY_MACHINE_PENALTY_S = 15.0  # fetch time accepted to keep an empty machine empty


class MachineOffering(NamedTuple):
    """What the cloud rents: a machine type in a zone, as spot or ordinary machines."""

    machine_type: str
    zone: str
    spot: bool


class MachineCapacity:
    """The free resources of one machine in a round of decisions.

    Attributes:
        cached_images: Names of the images on the machine.
        cpus: Free CPUs.
        earmarked_for_gang: In this round, kept free for a gang that does not fit yet.
        gpus: Free accelerators.
        has_protected_accelerators: Tasks without accelerators are placed here only where
            they leave room for those that use them, since such tasks wait.
        id: Name of the machine.
        idle_since: When its last task left, on the monotonic clock.
        is_unschedulable: Takes no new tasks: it drains, or its room has been planned for a
            gang in this round.
        memory_gb: Free memory.
        owner: The controller that commands the machine; empty while it boots.
        replica_usage: CPUs, accelerators and GB of tasks that end only on request.
        reserved_for_gang: Its owner keeps it free for a gang or a return, on the leader's request.
        session: Number of the worker's session; a restarted worker has a higher one.
        spot: Whether the cloud may take the machine back.
        task_count: Tasks that have a place here.
        task_images_gb: Size of the image of each task here, by image name.
        type_info: The machine type.
        zone: Zone of the machine.
    """

    __slots__ = (
        "cached_images",
        "cpus",
        "earmarked_for_gang",
        "gpus",
        "has_protected_accelerators",
        "id",
        "idle_since",
        "is_unschedulable",
        "memory_gb",
        "owner",
        "replica_usage",
        "reserved_for_gang",
        "session",
        "spot",
        "task_count",
        "task_images_gb",
        "type_info",
        "zone",
    )

    def __init__(
        self,
        id: str,
        type_info: MachineType,
        zone: str,
        spot: bool,
        owner: str,
        session: int,
        load: MachineLoad = EMPTY_LOAD,
        cached_images: Collection[str] = frozenset(),
    ) -> None:
        self.id, self.type_info, self.zone, self.spot = id, type_info, zone, spot
        self.owner, self.session = owner, session
        self.cpus = type_info.cpus - load.cpus
        self.gpus = type_info.gpus - load.gpus
        self.memory_gb = type_info.memory_gb - load.memory_gb
        self.cached_images = cached_images
        self.task_images_gb = load.images_gb  # shared with the load; copied on the first change
        self.task_count = len(load.specs)
        self.replica_usage = load.replica_usage
        self.reserved_for_gang = False
        self.is_unschedulable = False
        self.has_protected_accelerators = False
        self.earmarked_for_gang = False
        self.idle_since = 0.0

    def fits_task(self, spec: Job) -> bool:
        """Return whether the free resources suffice for a task of the job."""
        return (
            spec.cpus <= self.cpus + RESOURCE_TOLERANCE
            and spec.gpus <= self.gpus + RESOURCE_TOLERANCE
            and spec.memory_gb <= self.memory_gb + RESOURCE_TOLERANCE
            and self.task_count < MAX_TASKS_PER_MACHINE
        )

    def count_tasks_beside_replicas(self, spec: Job) -> int:
        """Return how many tasks of the job would fit beside the replicas alone.

        All other tasks end by themselves; replicas end only on request.
        """
        type_info, (cpus, gpus, memory_gb) = self.type_info, self.replica_usage
        amounts = (
            (type_info.cpus - cpus, spec.cpus),
            (type_info.gpus - gpus, spec.gpus),
            (type_info.memory_gb - memory_gb, spec.memory_gb),
        )
        return int(
            min(
                ((free + RESOURCE_TOLERANCE) / needed for free, needed in amounts if needed),
                default=0.0,
            )
        )

    def reserve(self, spec: Job) -> None:
        """Subtract what a task of the job needs."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        self.task_count += 1
        if spec.image not in self.cached_images:
            self.task_images_gb = {**self.task_images_gb, spec.image: spec.image_gb}

    def release(self, spec: Job) -> None:
        """Add what a task of the job had reserved; its image stays listed."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory_gb
        self.task_count -= 1

    @property
    def largest_free_share(self) -> float:
        """The largest free share of any resource, from 0 to 1."""
        type_info = self.type_info
        share = self.cpus / type_info.cpus if type_info.cpus else 0.0
        if type_info.gpus and self.gpus / type_info.gpus > share:
            share = self.gpus / type_info.gpus
        if type_info.memory_gb and self.memory_gb / type_info.memory_gb > share:
            share = self.memory_gb / type_info.memory_gb
        return share


def fits_machine_type(spec: Job, type_info: MachineType) -> bool:
    """Return whether the job allows this type and an empty machine of it fits one task."""
    if spec.machine_types is not None and type_info.name not in spec.machine_types:
        return False
    if spec.zone is not None and spec.zone not in type_info.zones:
        return False
    return (
        spec.cpus <= type_info.cpus + RESOURCE_TOLERANCE
        and spec.gpus <= type_info.gpus + RESOURCE_TOLERANCE
        and spec.memory_gb <= type_info.memory_gb + RESOURCE_TOLERANCE
    )


def may_run_on(spec: Job, machine: MachineCapacity) -> bool:
    """Return whether the job allows the machine's type, zone and spot.

    Workers do not check it.
    """
    return (
        (spec.machine_types is None or machine.type_info.name in spec.machine_types)
        and (spec.zone is None or spec.zone == machine.zone)
        and (spec.may_use_spot or not machine.spot)
    )


def compute_machine_share(spec: Job, type_info: MachineType) -> float:
    """Return the share of a machine that a task takes: 1/n where n of them fit."""
    largest = max(
        spec.cpus / type_info.cpus if type_info.cpus else 0.0,
        spec.gpus / type_info.gpus if type_info.gpus else 0.0,
        spec.memory_gb / type_info.memory_gb if type_info.memory_gb else 0.0,
        1 / MAX_TASKS_PER_MACHINE,
    )
    return 1.0 / max(1, int(1.0 / largest + RESOURCE_TOLERANCE))


def count_fitting_tasks(spec: Job, machine: MachineCapacity, beside: Job | None = None) -> int:
    """Return how many tasks of a job fit into what is free, after one task of `beside`."""
    cpus, gpus, memory_gb = machine.cpus, machine.gpus, machine.memory_gb
    if beside is not None:
        cpus, gpus, memory_gb = cpus - beside.cpus, gpus - beside.gpus, memory_gb - beside.memory_gb
    ratios = [
        free / needed
        for free, needed in ((cpus, spec.cpus), (gpus, spec.gpus), (memory_gb, spec.memory_gb))
        if needed
    ]
    return max(0, int(min(ratios, default=0.0) + RESOURCE_TOLERANCE))


class PriceIndex:
    """The cheapest machine type of each class of jobs, and what the others would cost it.

    A task that fits one type well and another badly loses more by being placed elsewhere
    than one that fits both alike. Without this, in a fully rented fleet, gangs that fit both
    types fill the large machines, and array tasks, which take a whole small machine each,
    wait for minutes.

    Attributes:
        accelerator_jobs: The jobs that use accelerators.
        cheapest_types: The cheapest type for each class.
        needed_ordinary_types: Types that are the cheapest for a job without spot.
        savings: By type, then class: what an hour of a whole machine saves against the
            class's next best type.
    """

    def __init__(self, type_infos: Iterable[MachineType] = (), specs: Iterable[Job] = ()) -> None:
        """Takes the machine types on offer and one job of each class."""
        self.savings: dict[str, dict[str, float]] = {}
        self.needed_ordinary_types: set[str] = set()
        self.cheapest_types: dict[str, str] = {}
        specs = list(specs)
        self.accelerator_jobs = [spec for spec in specs if spec.gpus]
        self._blocking: dict[tuple[object, ...], bool] = {}
        type_infos = list(type_infos)
        for spec in specs:
            prices = {
                t.name: t.price_per_hour * compute_machine_share(spec, t)
                for t in type_infos
                if fits_machine_type(spec, t)
            }
            if not prices:
                continue
            cheapest = self.cheapest_types[spec.job_class] = min(prices, key=prices.__getitem__)
            if not spec.may_use_spot:
                self.needed_ordinary_types.add(cheapest)
            others = [price for name, price in prices.items() if name != cheapest]
            if others:
                type_info = next(t for t in type_infos if t.name == cheapest)
                saving = (min(others) - prices[cheapest]) / compute_machine_share(spec, type_info)
                self.savings.setdefault(cheapest, {})[spec.job_class] = saving

    def find_preferred_type(self, spec: Job) -> str | None:
        """Return the class's cheapest type if other types are preferred by other classes."""
        cheapest = self.cheapest_types.get(spec.job_class)
        return cheapest if any(name != cheapest for name in self.savings) else None

    def blocks_accelerators(self, spec: Job, machine: MachineCapacity) -> bool:
        """Return whether a task of the job would take room that accelerator jobs could use.

        That is so if fewer tasks of some such job would fit beside it than without it.
        Machines of the same type, zone and free resources get the same answer from a cache.
        """
        if machine.gpus <= RESOURCE_TOLERANCE or not self.accelerator_jobs:
            return False
        free = (round(machine.cpus, 3), round(machine.gpus, 3), round(machine.memory_gb, 3))
        key = (
            spec.cpus,
            spec.memory_gb,
            machine.type_info.name,
            machine.spot,
            machine.zone,
            *free,
        )
        blocks = self._blocking.get(key)
        if blocks is None:
            blocks = self._blocking[key] = any(
                count_fitting_tasks(other, machine) > count_fitting_tasks(other, machine, spec)
                for other in self.accelerator_jobs
                if may_run_on(other, machine)
            )
        return blocks

    def estimate_displacement_cost(self, spec: Job, type_info: MachineType) -> float:
        """Return what a task on this type costs other classes, in price per hour."""
        savings = self.savings.get(type_info.name)
        if not savings:
            return 0.0
        largest = max(
            (s for job_class, s in savings.items() if job_class != spec.job_class), default=0.0
        )
        return compute_machine_share(spec, type_info) * largest


EMPTY_PRICE_INDEX = PriceIndex()


def estimate_fetch_s(spec: Job, machine: MachineCapacity) -> float:
    """Return the seconds until the image is on the machine; 0 if it is there.

    Images that are fetched at the same time share the rate. The delay that this fetch adds
    to the others is counted too, since they belong to tasks that wait.
    """
    if spec.image in machine.cached_images or not machine.type_info.fetch_gb_per_s:
        return 0.0
    others_gb = 0.0
    for image, size_gb in machine.task_images_gb.items():
        if image != spec.image and image not in machine.cached_images:
            others_gb += size_gb
    added_gb = spec.image_gb if others_gb else 0.0
    return (spec.image_gb + others_gb + added_gb) / machine.type_info.fetch_gb_per_s


class PlacementCost:
    """The cost of one of the job's tasks on a machine: earlier, cheaper and tighter is better.

    `slack_s` is how long the start may take for the job's next objective; an image that is
    complete later adds a penalty to the seconds that it takes.

    - A job that may use spot machines leaves ordinary ones to those that may not.
    - A task avoids a machine of which it would waste much for its price.
    - A replica stays for long, so it leaves large machines to tasks that come and go, and
      prefers machines in use to an empty one that a gang may need whole.
    - A tight fit empties other machines, which can then be returned.
    - A task without accelerators fills what those with accelerators leave over. There it
      costs only the fetch; where it would keep one of them out it is a last resort.

    A price of 1 an hour counts as 5 s. All but the fetch is the same for machines of one type
    and is computed once.
    """

    def __init__(
        self, spec: Job, price_index: PriceIndex = EMPTY_PRICE_INDEX, slack_s: float = inf
    ) -> None:
        self.spec, self.price_index, self.slack_s = spec, price_index, slack_s
        self.empty_penalty_s = EMPTY_MACHINE_PENALTY_S if spec.kind == "standing" else 0.0
        self.base_costs: dict[tuple[str, bool], float] = {}

    def _compute_base_cost(self, type_info: MachineType, spot: bool) -> float:
        spec, price_index = self.spec, self.price_index
        machine_share = compute_machine_share(spec, type_info)
        ordinary_penalty_s = 0.0
        if spec.may_use_spot and not spot:
            ordinary_penalty_s = (
                NEEDED_ORDINARY_PENALTY_S
                if type_info.name in price_index.needed_ordinary_types
                else OTHER_ORDINARY_PENALTY_S
            )
        hourly_price = (
            type_info.spot_price_per_hour if spot else type_info.price_per_hour
        ) * machine_share
        hourly_price += price_index.estimate_displacement_cost(spec, type_info)
        large_machine_penalty_s = 40.0 * (1.0 - machine_share) if spec.kind == "standing" else 0.0
        return ordinary_penalty_s + 5.0 * hourly_price + large_machine_penalty_s

    def __call__(self, machine: MachineCapacity) -> tuple[float, float, str]:
        """Return (cost in seconds, largest free share, machine name), smaller is better."""
        key = (machine.type_info.name, machine.spot)
        if not self.spec.gpus and machine.type_info.gpus:
            return self._compute_leftover_cost(machine)
        cost_s = self.base_costs.get(key)
        if cost_s is None:
            cost_s = self.base_costs[key] = self._compute_base_cost(machine.type_info, machine.spot)
        if machine.task_count == 0:
            cost_s += self.empty_penalty_s
        if self.spec.image not in machine.cached_images:
            fetch_s = estimate_fetch_s(self.spec, machine)
            cost_s += fetch_s + (LATE_FETCH_PENALTY_S if fetch_s > self.slack_s else 0.0)
        return (cost_s, machine.largest_free_share, machine.id)

    def _compute_leftover_cost(self, machine: MachineCapacity) -> tuple[float, float, str]:
        """Return the cost of a task without accelerators on a machine that has some."""
        cost_s = EMPTY_MACHINE_PENALTY_S if machine.task_count == 0 else 0.0  # could be returned
        if self.price_index.blocks_accelerators(self.spec, machine):
            cost_s += BLOCKED_ACCELERATORS_PENALTY_S * (1.0 + machine.gpus / machine.type_info.gpus)
        if self.spec.image not in machine.cached_images:
            cost_s += estimate_fetch_s(self.spec, machine)
        return (cost_s, machine.largest_free_share, machine.id)


def compute_placement_cost(
    spec: Job,
    machine: MachineCapacity,
    price_index: PriceIndex = EMPTY_PRICE_INDEX,
    slack_s: float = inf,
) -> tuple[float, float, str]:
    """Return the cost of one task on one machine, as `PlacementCost` does."""
    return PlacementCost(spec, price_index, slack_s)(machine)


def get_zone_limit(spec: Job) -> int | None:
    """Return how many tasks of a job with `spread_zones` one zone may have; None without it."""
    return (spec.task_count + 1) // 2 if spec.spread_zones else None


class PlacementSearch:
    """Finds the best machines for the tasks of one job, one after the other.

    The cost of a machine changes only when something is reserved on it, so all machines are
    compared once, and later only the one that was chosen.
    """

    def __init__(
        self,
        spec: Job,
        machines: Iterable[MachineCapacity],
        tasks_by_zone: dict[str, int] | None = None,
        zone: str = "",
        avoid: Collection[str] = (),
        price_index: PriceIndex = EMPTY_PRICE_INDEX,
        slack_s: float = inf,
    ) -> None:
        """Starts a search.

        Args:
            spec: The job whose tasks are to be placed.
            machines: Machines that may be used; reservations are counted in them.
            tasks_by_zone: The job's other tasks by zone; updated by reservations.
            zone: The zone to search; empty for all.
            avoid: Machines to use only if no other fits, since tasks of the job failed there.
            price_index: Types that other classes need.
            slack_s: How long the start may take for the job's next objective.
        """
        self.spec, self.compute_cost = spec, PlacementCost(spec, price_index, slack_s)
        self.tasks_by_zone = tasks_by_zone if tasks_by_zone is not None else {}
        self.zone_limit = get_zone_limit(spec)
        machine_types, allowed_zone, spot = spec.machine_types, spec.zone or zone, spec.may_use_spot
        cpus, gpus, memory_gb = (
            spec.cpus - RESOURCE_TOLERANCE,
            spec.gpus - RESOURCE_TOLERANCE,
            spec.memory_gb - RESOURCE_TOLERANCE,
        )
        self.heap = [
            ((machine.id in avoid, *self.compute_cost(machine)), machine)
            for machine in machines
            if machine.gpus >= gpus
            and machine.cpus >= cpus
            and machine.memory_gb >= memory_gb
            and not (machine.reserved_for_gang or machine.is_unschedulable)
            and (spot or not machine.spot)
            and (machine_types is None or machine.type_info.name in machine_types)
            and (not allowed_zone or allowed_zone == machine.zone)
            and (not zone or zone == machine.zone)
            and not (
                machine.has_protected_accelerators
                and price_index.blocks_accelerators(spec, machine)
            )
        ]
        heapify(self.heap)

    def find_best(self) -> MachineCapacity | None:
        """Return the best machine for the next task, or None if none fits."""
        tasks_by_zone, spec = self.tasks_by_zone, self.spec
        while self.heap:
            machine = self.heap[0][1]
            if (tasks_by_zone and spec.same_zone and machine.zone not in tasks_by_zone) or (
                self.zone_limit is not None
                and tasks_by_zone.get(machine.zone, 0) >= self.zone_limit
            ):
                heappop(self.heap)  # for good: the count of a zone only grows
                continue
            return machine
        return None

    def reserve_best(self) -> MachineCapacity | None:
        """Reserve the best machine for the next task and count its zone; None if none fits."""
        machine = self.find_best()
        if machine is None:
            return None
        machine.reserve(self.spec)
        self.tasks_by_zone[machine.zone] = self.tasks_by_zone.get(machine.zone, 0) + 1
        if machine.fits_task(self.spec) and not (
            machine.has_protected_accelerators
            and self.compute_cost.price_index.blocks_accelerators(self.spec, machine)
        ):
            is_avoided = self.heap[0][0][0]
            heapreplace(self.heap, ((is_avoided, *self.compute_cost(machine)), machine))
        else:
            heappop(self.heap)
        return machine


def find_best_machine(
    spec: Job,
    machines: Iterable[MachineCapacity],
    tasks_by_zone: dict[str, int] | None = None,
    zone: str = "",
    avoid: Collection[str] = (),
) -> MachineCapacity | None:
    """Return the best machine for one task, or None; see `PlacementSearch` for arguments."""
    return PlacementSearch(spec, machines, tasks_by_zone, zone, avoid).find_best()


class FailedSearches:
    """Requests that found no machine in this round.

    A request that needs at least as much, with the same choice of machines, need not be tried.
    """

    def __init__(self) -> None:
        self.requests: dict[tuple[object, ...], list[tuple[float, float, float]]] = {}

    @staticmethod
    def _make_key(spec: Job, zone: str) -> tuple[object, ...]:
        return (
            tuple(spec.machine_types) if spec.machine_types is not None else None,
            spec.zone,
            spec.may_use_spot,
            zone,
        )

    def add(self, spec: Job, zone: str = "") -> None:
        """Record that no machine fits a task of the job, in one zone or in all (empty)."""
        requests = self.requests.setdefault(self._make_key(spec, zone), [])
        requests.append((spec.cpus, spec.gpus, spec.memory_gb))

    def covers(self, spec: Job, zone: str = "") -> bool:
        """Return whether a request no larger than this one has found no machine."""
        return any(
            cpus <= spec.cpus and gpus <= spec.gpus and memory_gb <= spec.memory_gb
            for cpus, gpus, memory_gb in self.requests.get(self._make_key(spec, zone), ())
        )
