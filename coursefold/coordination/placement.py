"""Where a task may run, and which of those places is best."""

from collections.abc import Collection, Iterable
from heapq import heapify, heappop, heapreplace
from math import inf
from typing import NamedTuple

from coursefold.protocol.wire import Job, MachineType
from coursefold.storage.view import EMPTY, Load

SLACK = 1e-6
WASTEFUL = 40.0  # the same for an ordinary machine of a type that others need
UNUSUAL = 8.0  # and of a type that they would rather not use
TOO_LATE = 20.0
FENCED = 60.0  # seconds of waiting that a machine's free accelerators are worth to small work
ALONE = 15.0  # seconds of fetching that it is worth not to pin another empty machine


class MachineOffering(NamedTuple):
    """Where machines can be had: a type, a zone, spot or ordinary."""

    machine_type: str
    zone: str
    spot: bool


class MachineCapacity:
    """A machine as a place for tasks, with what is still free on it."""

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
        kind: MachineType,
        zone: str,
        spot: bool,
        owner: str,
        session: int,
        load: Load = EMPTY,
        images: Collection[str] = frozenset(),
    ) -> None:
        self.id, self.type_info, self.zone, self.spot = id, kind, zone, spot
        self.owner, self.session = owner, session
        self.cpus = kind.cpus - load.cpus
        self.gpus = kind.gpus - load.gpus
        self.memory_gb = kind.memory - load.memory
        self.cached_images = images
        self.task_images_gb = load.images  # shared until something is taken
        self.task_count = len(load.specs)
        self.replica_usage = load.lasting
        self.reserved_for_gang = False
        self.is_unschedulable = False
        self.has_protected_accelerators = False  # tasks with accelerators wait for it
        self.earmarked_for_gang = False  # and it is gathered for a gang of them, in this round
        self.idle_since = 0.0

    def fits_task(self, spec: Job) -> bool:
        """Is there room for a task of the job?"""
        return (
            spec.cpus <= self.cpus + SLACK
            and spec.gpus <= self.gpus + SLACK
            and spec.memory <= self.memory_gb + SLACK
        )

    def count_tasks_beside_replicas(self, spec: Job) -> int:
        """Tasks of the job that would fit if all had ended that ends by itself."""
        kind, (cpus, gpus, memory) = self.type_info, self.replica_usage
        amounts = (
            (kind.cpus - cpus, spec.cpus),
            (kind.gpus - gpus, spec.gpus),
            (kind.memory - memory, spec.memory),
        )
        return int(min(((free + SLACK) / one for free, one in amounts if one), default=0.0))

    def reserve(self, spec: Job) -> None:
        """Count a task as placed here."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory
        self.task_count += 1
        if spec.image not in self.cached_images:
            self.task_images_gb = {**self.task_images_gb, spec.image: spec.image_gb}

    def release(self, spec: Job) -> None:
        """Count a task as gone from here."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory_gb += spec.memory
        self.task_count -= 1

    @property
    def largest_free_share(self) -> float:
        """The largest free share of any resource."""
        kind = self.type_info
        most = self.cpus / kind.cpus if kind.cpus else 0.0
        if kind.gpus and self.gpus / kind.gpus > most:
            most = self.gpus / kind.gpus
        if kind.memory and self.memory_gb / kind.memory > most:
            most = self.memory_gb / kind.memory
        return most


def fits_machine_type(spec: Job, kind: MachineType) -> bool:
    """True if an empty machine of this type holds a task and the job allows it."""
    if spec.builds is not None and kind.name not in spec.builds:
        return False
    if spec.zone is not None and spec.zone not in kind.zones:
        return False
    return (
        spec.cpus <= kind.cpus + SLACK
        and spec.gpus <= kind.gpus + SLACK
        and spec.memory <= kind.memory + SLACK
    )


def may_run_on(spec: Job, room: MachineCapacity) -> bool:
    """What the job says of types, zones and spot machines; workers do not check it."""
    return (
        (spec.builds is None or room.type_info.name in spec.builds)
        and (spec.zone is None or spec.zone == room.zone)
        and (spec.spot or not room.spot)
    )


def compute_machine_share(spec: Job, kind: MachineType) -> float:
    """The part of a machine that a task takes: one of as many as fit there."""
    largest = max(
        spec.cpus / kind.cpus if kind.cpus else 0.0,
        spec.gpus / kind.gpus if kind.gpus else 0.0,
        spec.memory / kind.memory if kind.memory else 0.0,
        1e-3,
    )
    return 1.0 / max(1, int(1.0 / largest + SLACK))


def places(spec: Job, room: MachineCapacity, beside: Job | None = None) -> int:
    """How many tasks of a job fit into what is free, after one of another."""
    cpus, gpus, memory = room.cpus, room.gpus, room.memory_gb
    if beside is not None:
        cpus, gpus, memory = cpus - beside.cpus, gpus - beside.gpus, memory - beside.memory
    ratios = [
        free / taken
        for free, taken in ((cpus, spec.cpus), (gpus, spec.gpus), (memory, spec.memory))
        if taken
    ]
    return max(0, int(min(ratios, default=0.0) + SLACK))


class PriceIndex:
    """Which machine types are worth more to other classes than to this one.

    A task that fits one type well and another badly loses more by being elsewhere
    than one that fits both alike. Seen at a fleet rented to the last machine: gangs
    that fit both types filled the large machines, and array tasks, which take a small
    machine each, waited for minutes.
    """

    def __init__(self, kinds: Iterable[MachineType] = (), specs: Iterable[Job] = ()) -> None:
        self.savings: dict[str, dict[str, float]] = {}
        self.needed_ordinary_types: set[str] = set()
        self.cheapest: dict[str, str] = {}
        specs = list(specs)
        self.accelerator_jobs = [spec for spec in specs if spec.gpus]
        self._fences: dict[tuple[object, ...], bool] = {}
        kinds = list(kinds)
        for spec in specs:
            prices = {
                k.name: k.price * compute_machine_share(spec, k)
                for k in kinds
                if fits_machine_type(spec, k)
            }
            if not prices:
                continue
            cheapest = self.cheapest[spec.lane] = min(prices, key=prices.__getitem__)
            if not spec.spot:
                self.needed_ordinary_types.add(cheapest)
            others = [price for name, price in prices.items() if name != cheapest]
            if others:
                kind = next(k for k in kinds if k.name == cheapest)
                saving = (min(others) - prices[cheapest]) / compute_machine_share(spec, kind)
                self.savings.setdefault(cheapest, {})[spec.lane] = saving

    def find_preferred_type(self, spec: Job) -> str | None:
        """The type that a class belongs on, if it would displace others elsewhere."""
        cheapest = self.cheapest.get(spec.lane)
        return cheapest if any(kind != cheapest for kind in self.savings) else None

    def blocks_accelerators(self, spec: Job, room: MachineCapacity) -> bool:
        """Would a task without accelerators take from a room what those with them could use?

        It does if fewer tasks of some class would fit beside it than before. Rooms are alike
        by the hundred, so what was found for one holds for the others.
        """
        if room.gpus <= SLACK or not self.accelerator_jobs:
            return False
        free = (round(room.cpus, 3), round(room.gpus, 3), round(room.memory_gb, 3))
        key = (spec.cpus, spec.memory, room.type_info.name, room.spot, room.zone, *free)
        found = self._fences.get(key)
        if found is None:
            found = self._fences[key] = any(
                places(other, room) > places(other, room, spec)
                for other in self.accelerator_jobs
                if may_run_on(other, room)
            )
        return found

    def estimate_displacement_cost(self, spec: Job, kind: MachineType) -> float:
        """What a task there costs others, per hour."""
        worth = self.savings.get(kind.name)
        if not worth:
            return 0.0
        most = max((s for lane, s in worth.items() if lane != spec.lane), default=0.0)
        return compute_machine_share(spec, kind) * most


EMPTY_PRICE_INDEX = PriceIndex()


def fetch_time(spec: Job, room: MachineCapacity) -> float:
    """Seconds until the image is there; images fetched together share the rate.

    What this fetch takes from the others is counted too: they belong to tasks that wait.
    """
    if spec.image in room.cached_images or not room.type_info.fetch:
        return 0.0
    others = 0.0
    for image, gb in room.task_images_gb.items():
        if image != spec.image and image not in room.cached_images:
            others += gb
    shared = spec.image_gb if others else 0.0
    return (spec.image_gb + others + shared) / room.type_info.fetch


class Weigher:
    """What a task costs in each room. Less is better: early start, cheap room, tight fit.

    `slack` is how long the start may take for the job's next aim: a place whose image
    comes later than that costs more than the seconds it takes.

    Work that may run on spot machines leaves ordinary ones to work that may not;
    a task leaves a machine alone of which it would waste much for its price; a
    replica, which stays, leaves large machines to what comes and goes, and joins
    others rather than take an empty machine from a gang that needs whole ones; a
    tight fit empties other machines, which can then be returned.

    All but the fetch is the same for machines of one type, and looked at once.

    A task without accelerators takes what those with them leave over: where it keeps none
    of them out it costs nothing but the fetch. Where it does is the last resort.
    """

    def __init__(
        self, spec: Job, price_index: PriceIndex = EMPTY_PRICE_INDEX, slack: float = inf
    ) -> None:
        self.spec, self.price_index, self.slack = spec, price_index, slack
        self.alone = ALONE if spec.shape == "standing" else 0.0
        self.bases: dict[tuple[str, bool], float] = {}

    def _base(self, kind: MachineType, spot: bool) -> float:
        spec, price_index = self.spec, self.price_index
        part = compute_machine_share(spec, kind)
        wasteful = 0.0
        if spec.spot and not spot:
            wasteful = WASTEFUL if kind.name in price_index.needed_ordinary_types else UNUSUAL
        hourly = (kind.spot_price if spot else kind.price) * part
        hourly += price_index.estimate_displacement_cost(spec, kind)
        pinned = 40.0 * (1.0 - part) if spec.shape == "standing" else 0.0
        return wasteful + 5.0 * hourly + pinned

    def __call__(self, room: MachineCapacity) -> tuple[float, float, str]:
        """The room's price for the job, smaller is better."""
        kind = (room.type_info.name, room.spot)
        if not self.spec.gpus and room.type_info.gpus:
            return self._leftover(room)
        price = self.bases.get(kind)
        if price is None:
            price = self.bases[kind] = self._base(room.type_info, room.spot)
        if room.task_count == 0:
            price += self.alone
        if self.spec.image not in room.cached_images:
            fetch = fetch_time(self.spec, room)
            price += fetch + (TOO_LATE if fetch > self.slack else 0.0)
        return (price, room.largest_free_share, room.id)

    def _leftover(self, room: MachineCapacity) -> tuple[float, float, str]:
        price = ALONE if room.task_count == 0 else 0.0  # it could be returned
        if self.price_index.blocks_accelerators(self.spec, room):
            price += FENCED * (1.0 + room.gpus / room.type_info.gpus)
        if self.spec.image not in room.cached_images:
            price += fetch_time(self.spec, room)
        return (price, room.largest_free_share, room.id)


def cost(
    spec: Job,
    room: MachineCapacity,
    price_index: PriceIndex = EMPTY_PRICE_INDEX,
    slack: float = inf,
) -> tuple[float, float, str]:
    """What one task costs in one room."""
    return Weigher(spec, price_index, slack)(room)


def zone_limit(spec: Job) -> int | None:
    """`Apart`: the most tasks in one zone, or None."""
    return (spec.tasks + 1) // 2 if spec.apart else None


class PlacementSearch:
    """The best rooms for one job's tasks, one after the other.

    The cost of a room changes only when something is taken from it, so all rooms
    are weighed once, and then only the one that was picked.
    """

    def __init__(
        self,
        spec: Job,
        rooms: Iterable[MachineCapacity],
        zones: dict[str, int] | None = None,
        zone: str = "",
        avoid: Collection[str] = (),
        price_index: PriceIndex = EMPTY_PRICE_INDEX,
        slack: float = inf,
    ) -> None:
        self.spec, self.weigh = spec, Weigher(spec, price_index, slack)
        self.zones = zones if zones is not None else {}
        self.limit = zone_limit(spec)
        builds, site, spot = spec.builds, spec.zone or zone, spec.spot
        cpus, gpus, memory = spec.cpus - SLACK, spec.gpus - SLACK, spec.memory - SLACK
        self.heap = [
            ((room.id in avoid, *self.weigh(room)), room)
            for room in rooms
            if room.gpus >= gpus
            and room.cpus >= cpus
            and room.memory_gb >= memory
            and not (room.reserved_for_gang or room.is_unschedulable)
            and (spot or not room.spot)
            and (builds is None or room.type_info.name in builds)
            and (not site or site == room.zone)
            and (not zone or zone == room.zone)
            and not (
                room.has_protected_accelerators and price_index.blocks_accelerators(spec, room)
            )
        ]
        heapify(self.heap)

    def find_best(self) -> MachineCapacity | None:
        """The best room now; `zones` counts the job's other tasks by zone."""
        zones, spec = self.zones, self.spec
        while self.heap:
            room = self.heap[0][1]
            if (zones and spec.together and room.zone not in zones) or (
                self.limit is not None and zones.get(room.zone, 0) >= self.limit
            ):
                heappop(self.heap)  # for good: a zone's count only grows
                continue
            return room
        return None

    def reserve_best(self) -> MachineCapacity | None:
        """Take a task's share of the best room and count its zone."""
        room = self.find_best()
        if room is None:
            return None
        room.reserve(self.spec)
        self.zones[room.zone] = self.zones.get(room.zone, 0) + 1
        if room.fits_task(self.spec) and not (
            room.has_protected_accelerators
            and self.weigh.price_index.blocks_accelerators(self.spec, room)
        ):
            shunned = self.heap[0][0][0]
            heapreplace(self.heap, ((shunned, *self.weigh(room)), room))
        else:
            heappop(self.heap)
        return room


def choose(
    spec: Job,
    rooms: Iterable[MachineCapacity],
    zones: dict[str, int] | None = None,
    zone: str = "",
    avoid: Collection[str] = (),
) -> MachineCapacity | None:
    """The best room for one task.

    `zones` counts the job's other tasks by zone; `avoid` names machines on which
    it failed, taken only where nothing else is left.
    """
    return PlacementSearch(spec, rooms, zones, zone, avoid).find_best()


class FailedSearches:
    """What found no room in this round: nothing that asks for as much needs to look again."""

    def __init__(self) -> None:
        self.seen: dict[tuple[object, ...], list[tuple[float, float, float]]] = {}

    @staticmethod
    def _kind(spec: Job, zone: str) -> tuple[object, ...]:
        return (tuple(spec.builds) if spec.builds is not None else None, spec.zone, spec.spot, zone)

    def add(self, spec: Job, zone: str = "") -> None:
        """Nothing that needs as much as this finds room now."""
        found = self.seen.setdefault(self._kind(spec, zone), [])
        found.append((spec.cpus, spec.gpus, spec.memory))

    def covers(self, spec: Job, zone: str = "") -> bool:
        """True if something no larger, with the same choice of machines, found nothing."""
        return any(
            cpus <= spec.cpus and gpus <= spec.gpus and memory <= spec.memory
            for cpus, gpus, memory in self.seen.get(self._kind(spec, zone), ())
        )
