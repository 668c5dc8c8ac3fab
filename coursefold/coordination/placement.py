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


class Place(NamedTuple):
    """Where machines can be had: a type, a zone, spot or ordinary."""

    build: str
    zone: str
    spot: bool


class Room:
    """A machine as a place for tasks, with what is still free on it."""

    __slots__ = (
        "cpus",
        "draining",
        "fetching",
        "gpus",
        "id",
        "idle_since",
        "images",
        "kept",
        "kind",
        "lasting",
        "lent",
        "memory",
        "owner",
        "reserved",
        "session",
        "spot",
        "tasks",
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
        self.id, self.kind, self.zone, self.spot = id, kind, zone, spot
        self.owner, self.session = owner, session
        self.cpus = kind.cpus - load.cpus
        self.gpus = kind.gpus - load.gpus
        self.memory = kind.memory_gb - load.memory
        self.images = images
        self.fetching = load.images  # shared until something is taken
        self.tasks = len(load.specs)
        self.lasting = load.lasting
        self.lent = False
        self.draining = False
        self.kept = False  # tasks with accelerators wait for it
        self.reserved = False  # and it is gathered for a gang of them, in this round
        self.idle_since = 0.0

    def holds(self, spec: Job) -> bool:
        """Is there room for a task of the job?"""
        return (
            spec.cpus <= self.cpus + SLACK
            and spec.gpus <= self.gpus + SLACK
            and spec.memory_gb <= self.memory + SLACK
        )

    def places(self, spec: Job) -> int:
        """Tasks of the job that would fit if all had ended that ends by itself."""
        kind, (cpus, gpus, memory) = self.kind, self.lasting
        amounts = (
            (kind.cpus - cpus, spec.cpus),
            (kind.gpus - gpus, spec.gpus),
            (kind.memory_gb - memory, spec.memory_gb),
        )
        return int(min(((free + SLACK) / one for free, one in amounts if one), default=0.0))

    def take(self, spec: Job) -> None:
        """Count a task as placed here."""
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory -= spec.memory_gb
        self.tasks += 1
        if spec.image not in self.images:
            self.fetching = {**self.fetching, spec.image: spec.image_gb}

    def give(self, spec: Job) -> None:
        """Count a task as gone from here."""
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory += spec.memory_gb
        self.tasks -= 1

    @property
    def left(self) -> float:
        """The largest free share of any resource."""
        kind = self.kind
        most = self.cpus / kind.cpus if kind.cpus else 0.0
        if kind.gpus and self.gpus / kind.gpus > most:
            most = self.gpus / kind.gpus
        if kind.memory_gb and self.memory / kind.memory_gb > most:
            most = self.memory / kind.memory_gb
        return most


def fits_type(spec: Job, kind: MachineType) -> bool:
    """True if an empty machine of this type holds a task and the job allows it."""
    if spec.machine_types is not None and kind.name not in spec.machine_types:
        return False
    if spec.zone is not None and spec.zone not in kind.zones:
        return False
    return (
        spec.cpus <= kind.cpus + SLACK
        and spec.gpus <= kind.gpus + SLACK
        and spec.memory_gb <= kind.memory_gb + SLACK
    )


def allowed(spec: Job, room: Room) -> bool:
    """What the job says of types, zones and spot machines; workers do not check it."""
    return (
        (spec.machine_types is None or room.kind.name in spec.machine_types)
        and (spec.zone is None or spec.zone == room.zone)
        and (spec.may_use_spot or not room.spot)
    )


def share(spec: Job, kind: MachineType) -> float:
    """The part of a machine that a task takes: one of as many as fit there."""
    largest = max(
        spec.cpus / kind.cpus if kind.cpus else 0.0,
        spec.gpus / kind.gpus if kind.gpus else 0.0,
        spec.memory_gb / kind.memory_gb if kind.memory_gb else 0.0,
        1e-3,
    )
    return 1.0 / max(1, int(1.0 / largest + SLACK))


def places(spec: Job, room: Room, beside: Job | None = None) -> int:
    """How many tasks of a job fit into what is free, after one of another."""
    cpus, gpus, memory = room.cpus, room.gpus, room.memory
    if beside is not None:
        cpus, gpus, memory = cpus - beside.cpus, gpus - beside.gpus, memory - beside.memory_gb
    ratios = [
        free / taken
        for free, taken in ((cpus, spec.cpus), (gpus, spec.gpus), (memory, spec.memory_gb))
        if taken
    ]
    return max(0, int(min(ratios, default=0.0) + SLACK))


class Market:
    """Which machine types are worth more to other classes than to this one.

    A task that fits one type well and another badly loses more by being elsewhere
    than one that fits both alike. Seen at a fleet rented to the last machine: gangs
    that fit both types filled the large machines, and array tasks, which take a small
    machine each, waited for minutes.
    """

    def __init__(self, kinds: Iterable[MachineType] = (), specs: Iterable[Job] = ()) -> None:
        self.savings: dict[str, dict[str, float]] = {}
        self.needed: set[str] = set()
        self.cheapest: dict[str, str] = {}
        specs = list(specs)
        self.accelerated = [spec for spec in specs if spec.gpus]
        self._fences: dict[tuple[object, ...], bool] = {}
        kinds = list(kinds)
        for spec in specs:
            prices = {
                k.name: k.price_per_hour * share(spec, k) for k in kinds if fits_type(spec, k)
            }
            if not prices:
                continue
            cheapest = self.cheapest[spec.job_class] = min(prices, key=prices.__getitem__)
            if not spec.may_use_spot:
                self.needed.add(cheapest)
            others = [price for name, price in prices.items() if name != cheapest]
            if others:
                kind = next(k for k in kinds if k.name == cheapest)
                saving = (min(others) - prices[cheapest]) / share(spec, kind)
                self.savings.setdefault(cheapest, {})[spec.job_class] = saving

    def best(self, spec: Job) -> str | None:
        """The type that a class belongs on, if it would displace others elsewhere."""
        cheapest = self.cheapest.get(spec.job_class)
        return cheapest if any(kind != cheapest for kind in self.savings) else None

    def fences(self, spec: Job, room: Room) -> bool:
        """Would a task without accelerators take from a room what those with them could use?

        It does if fewer tasks of some class would fit beside it than before. Rooms are alike
        by the hundred, so what was found for one holds for the others.
        """
        if room.gpus <= SLACK or not self.accelerated:
            return False
        free = (round(room.cpus, 3), round(room.gpus, 3), round(room.memory, 3))
        key = (spec.cpus, spec.memory_gb, room.kind.name, room.spot, room.zone, *free)
        found = self._fences.get(key)
        if found is None:
            found = self._fences[key] = any(
                places(other, room) > places(other, room, spec)
                for other in self.accelerated
                if allowed(other, room)
            )
        return found

    def displaced(self, spec: Job, kind: MachineType) -> float:
        """What a task there costs others, per hour."""
        worth = self.savings.get(kind.name)
        if not worth:
            return 0.0
        most = max((s for lane, s in worth.items() if lane != spec.job_class), default=0.0)
        return share(spec, kind) * most


NO_MARKET = Market()


def fetch_time(spec: Job, room: Room) -> float:
    """Seconds until the image is there; images fetched together share the rate.

    What this fetch takes from the others is counted too: they belong to tasks that wait.
    """
    if spec.image in room.images or not room.kind.fetch_gb_per_s:
        return 0.0
    others = 0.0
    for image, gb in room.fetching.items():
        if image != spec.image and image not in room.images:
            others += gb
    shared = spec.image_gb if others else 0.0
    return (spec.image_gb + others + shared) / room.kind.fetch_gb_per_s


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

    def __init__(self, spec: Job, market: Market = NO_MARKET, slack: float = inf) -> None:
        self.spec, self.market, self.slack = spec, market, slack
        self.alone = ALONE if spec.kind == "standing" else 0.0
        self.bases: dict[tuple[str, bool], float] = {}

    def _base(self, kind: MachineType, spot: bool) -> float:
        spec, market = self.spec, self.market
        part = share(spec, kind)
        wasteful = 0.0
        if spec.may_use_spot and not spot:
            wasteful = WASTEFUL if kind.name in market.needed else UNUSUAL
        hourly = (kind.spot_price_per_hour if spot else kind.price_per_hour) * part
        hourly += market.displaced(spec, kind)
        pinned = 40.0 * (1.0 - part) if spec.kind == "standing" else 0.0
        return wasteful + 5.0 * hourly + pinned

    def __call__(self, room: Room) -> tuple[float, float, str]:
        """The room's price for the job, smaller is better."""
        kind = (room.kind.name, room.spot)
        if not self.spec.gpus and room.kind.gpus:
            return self._leftover(room)
        price = self.bases.get(kind)
        if price is None:
            price = self.bases[kind] = self._base(room.kind, room.spot)
        if room.tasks == 0:
            price += self.alone
        if self.spec.image not in room.images:
            fetch = fetch_time(self.spec, room)
            price += fetch + (TOO_LATE if fetch > self.slack else 0.0)
        return (price, room.left, room.id)

    def _leftover(self, room: Room) -> tuple[float, float, str]:
        price = ALONE if room.tasks == 0 else 0.0  # it could be returned
        if self.market.fences(self.spec, room):
            price += FENCED * (1.0 + room.gpus / room.kind.gpus)
        if self.spec.image not in room.images:
            price += fetch_time(self.spec, room)
        return (price, room.left, room.id)


def cost(
    spec: Job, room: Room, market: Market = NO_MARKET, slack: float = inf
) -> tuple[float, float, str]:
    """What one task costs in one room."""
    return Weigher(spec, market, slack)(room)


def zone_limit(spec: Job) -> int | None:
    """`Apart`: the most tasks in one zone, or None."""
    return (spec.task_count + 1) // 2 if spec.spread_zones else None


class Picker:
    """The best rooms for one job's tasks, one after the other.

    The cost of a room changes only when something is taken from it, so all rooms
    are weighed once, and then only the one that was picked.
    """

    def __init__(
        self,
        spec: Job,
        rooms: Iterable[Room],
        zones: dict[str, int] | None = None,
        zone: str = "",
        avoid: Collection[str] = (),
        market: Market = NO_MARKET,
        slack: float = inf,
    ) -> None:
        self.spec, self.weigh = spec, Weigher(spec, market, slack)
        self.zones = zones if zones is not None else {}
        self.limit = zone_limit(spec)
        builds, site, spot = spec.machine_types, spec.zone or zone, spec.may_use_spot
        cpus, gpus, memory = spec.cpus - SLACK, spec.gpus - SLACK, spec.memory_gb - SLACK
        self.heap = [
            ((room.id in avoid, *self.weigh(room)), room)
            for room in rooms
            if room.gpus >= gpus
            and room.cpus >= cpus
            and room.memory >= memory
            and not (room.lent or room.draining)
            and (spot or not room.spot)
            and (builds is None or room.kind.name in builds)
            and (not site or site == room.zone)
            and (not zone or zone == room.zone)
            and not (room.kept and market.fences(spec, room))
        ]
        heapify(self.heap)

    def best(self) -> Room | None:
        """The best room now; `zones` counts the job's other tasks by zone."""
        zones, spec = self.zones, self.spec
        while self.heap:
            room = self.heap[0][1]
            if (zones and spec.same_zone and room.zone not in zones) or (
                self.limit is not None and zones.get(room.zone, 0) >= self.limit
            ):
                heappop(self.heap)  # for good: a zone's count only grows
                continue
            return room
        return None

    def take(self) -> Room | None:
        """Take a task's share of the best room and count its zone."""
        room = self.best()
        if room is None:
            return None
        room.take(self.spec)
        self.zones[room.zone] = self.zones.get(room.zone, 0) + 1
        if room.holds(self.spec) and not (room.kept and self.weigh.market.fences(self.spec, room)):
            shunned = self.heap[0][0][0]
            heapreplace(self.heap, ((shunned, *self.weigh(room)), room))
        else:
            heappop(self.heap)
        return room


def choose(
    spec: Job,
    rooms: Iterable[Room],
    zones: dict[str, int] | None = None,
    zone: str = "",
    avoid: Collection[str] = (),
) -> Room | None:
    """The best room for one task.

    `zones` counts the job's other tasks by zone; `avoid` names machines on which
    it failed, taken only where nothing else is left.
    """
    return Picker(spec, rooms, zones, zone, avoid).best()


class Refused:
    """What found no room in this round: nothing that asks for as much needs to look again."""

    def __init__(self) -> None:
        self.seen: dict[tuple[object, ...], list[tuple[float, float, float]]] = {}

    @staticmethod
    def _kind(spec: Job, zone: str) -> tuple[object, ...]:
        return (
            tuple(spec.machine_types) if spec.machine_types is not None else None,
            spec.zone,
            spec.may_use_spot,
            zone,
        )

    def add(self, spec: Job, zone: str = "") -> None:
        """Nothing that needs as much as this finds room now."""
        found = self.seen.setdefault(self._kind(spec, zone), [])
        found.append((spec.cpus, spec.gpus, spec.memory_gb))

    def covers(self, spec: Job, zone: str = "") -> bool:
        """True if something no larger, with the same choice of machines, found nothing."""
        return any(
            cpus <= spec.cpus and gpus <= spec.gpus and memory <= spec.memory_gb
            for cpus, gpus, memory in self.seen.get(self._kind(spec, zone), ())
        )
