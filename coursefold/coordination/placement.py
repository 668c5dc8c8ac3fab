"""Where a task may run, and which of those places is best."""

from collections.abc import Collection, Iterable

from coursefold.protocol.wire import Job, MachineType

SLACK = 1e-6


class Room:
    """A machine as a place for tasks, with what is still free on it."""

    __slots__ = (
        "batch",
        "cpus",
        "draining",
        "fetching",
        "gpus",
        "id",
        "idle_since",
        "images",
        "kind",
        "lent",
        "memory",
        "owner",
        "session",
        "spot",
        "tasks",
        "zone",
    )

    def __init__(
        self, id: str, kind: MachineType, zone: str, spot: bool, owner: str, session: int
    ) -> None:
        self.id, self.kind, self.zone, self.spot = id, kind, zone, spot
        self.owner, self.session = owner, session
        self.cpus, self.gpus, self.memory = kind.cpus, kind.gpus, kind.memory
        self.images: frozenset[str] = frozenset()
        self.fetching: dict[str, float] = {}
        self.batch: list[Job] = []
        self.lent = False
        self.draining = False
        self.tasks = 0
        self.idle_since = 0.0

    def holds(self, spec: Job) -> bool:
        return (
            spec.cpus <= self.cpus + SLACK
            and spec.gpus <= self.gpus + SLACK
            and spec.memory <= self.memory + SLACK
        )

    def take(self, spec: Job) -> None:
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory -= spec.memory
        self.tasks += 1
        if spec.image not in self.images:
            self.fetching[spec.image] = spec.image_gb
        if spec.shape != "standing":
            self.batch.append(spec)

    def give(self, spec: Job) -> None:
        self.cpus += spec.cpus
        self.gpus += spec.gpus
        self.memory += spec.memory
        self.tasks -= 1
        if spec in self.batch:
            self.batch.remove(spec)

    @property
    def left(self) -> float:
        """The largest free share of any resource."""
        return max(
            self.cpus / self.kind.cpus if self.kind.cpus else 0.0,
            self.gpus / self.kind.gpus if self.kind.gpus else 0.0,
            self.memory / self.kind.memory if self.kind.memory else 0.0,
        )


def fits_type(spec: Job, kind: MachineType) -> bool:
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


def allowed(spec: Job, room: Room) -> bool:
    """What the job says of types, zones and spot machines; workers do not check it."""
    return (
        (spec.builds is None or room.kind.name in spec.builds)
        and (spec.zone is None or spec.zone == room.zone)
        and (spec.spot or not room.spot)
    )


def share(spec: Job, kind: MachineType) -> float:
    """The part of a machine that a task takes: its largest share of any resource."""
    return max(
        spec.cpus / kind.cpus if kind.cpus else 0.0,
        spec.gpus / kind.gpus if kind.gpus else 0.0,
        spec.memory / kind.memory if kind.memory else 0.0,
        1e-3,
    )


def fetch_time(spec: Job, room: Room) -> float:
    """Seconds until the image is there; images fetched together share the rate."""
    if spec.image in room.images or not room.kind.fetch:
        return 0.0
    others = sum(gb for image, gb in room.fetching.items() if image != spec.image)
    return (spec.image_gb + others) / room.kind.fetch


def cost(spec: Job, room: Room) -> tuple[float, float, str]:
    """Less is better: an early start first, then cheap room, then a tight fit.

    Work that may run on spot machines leaves ordinary ones to work that may not;
    a task leaves a machine alone of which it would waste much for its price; a
    replica, which stays, leaves large machines to what comes and goes; a tight
    fit empties other machines, which can then be returned.
    """
    part = share(spec, room.kind)
    wasteful = 40.0 if spec.spot and not room.spot else 0.0
    hourly = (room.kind.spot_price if room.spot else room.kind.price) * part
    pinned = 40.0 * (1.0 - part) if spec.shape == "standing" else 0.0
    return (fetch_time(spec, room) + wasteful + 5.0 * hourly + pinned, room.left, room.id)


def zone_limit(spec: Job) -> int | None:
    """`Apart`: the most tasks in one zone, or None."""
    return (spec.tasks + 1) // 2 if spec.apart else None


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
    limit = zone_limit(spec)
    best: Room | None = None
    shunned: Room | None = None
    for room in rooms:
        if room.lent or room.draining or not allowed(spec, room) or not room.holds(spec):
            continue
        if zone and room.zone != zone:
            continue
        if zones:
            if spec.together and room.zone not in zones:
                continue
            if limit is not None and zones.get(room.zone, 0) >= limit:
                continue
        if room.id in avoid:
            shunned = shunned or room
        elif best is None or cost(spec, room) < cost(spec, best):
            best = room
    return best or shunned
