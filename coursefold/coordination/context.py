"""What every part of the core shares: settings, the view, time, and the outbox."""

from coursefold.coordination.effects import Effect
from coursefold.coordination.grants import GrantClock
from coursefold.coordination.ownership import OwnershipTable
from coursefold.coordination.parts import owner
from coursefold.coordination.placement import MachineCapacity, PriceIndex
from coursefold.policy import Policy
from coursefold.protocol.ids import JobId, Member, Moment, WallTime
from coursefold.protocol.wire import Catalog, Job, MachineType, TaskReport
from coursefold.settings import CLOCK_DRIFT, Settings
from coursefold.storage.queue import CommitQueue
from coursefold.storage.records import MemberRecord, Roster
from coursefold.storage.view import View

MARKET_S = 3.0
OWNERS = 20_000  # machines whose owner is remembered
NEWS_AGE_S = 8.0  # news of the state service that are older are no ground for decisions
KEPT_S = 1.0  # a lease that we renew ends this long before a promised cancellation has to hold
DRIFT = CLOCK_DRIFT


class Machine:
    """A worker in our part, as its reports show it."""

    def __init__(self, id: str, build: str, zone: str, spot: bool) -> None:
        self.id, self.build, self.zone, self.spot = id, build, zone, spot
        self.addr = ""
        self.session = 0
        self.counter = -1
        self.token = 0
        self.heard = Moment(0.0)
        self.answered = Moment(0.0)
        self.recall_at: float | None = None
        self.tasks: dict[tuple[str, int], TaskReport] = {}
        self.running: dict[tuple[str, int, int], float] = {}
        self.images: dict[str, float] = {}
        self.failures: list[str] = []
        self.stops_sent: set[tuple[str, int, int]] = set()
        self.sick = False
        self.quiet = False
        self.proven = False  # has shown our token
        self.hears = True  # its last reports came as from one that gets our answers
        self.deaf = False
        self.deaf_since: float | None = None
        self.lent_until = 0.0
        self.idle_since = Moment(0.0)
        self.lost = False

    def remember_image(self, image: str, size: float, cache: float) -> None:
        """Most recently used last; what exceeds the cache is taken as dropped."""
        self.images.pop(image, None)
        self.images[image] = size
        while len(self.images) > 1 and sum(self.images.values()) > cache:
            del self.images[next(iter(self.images))]


class PeerMachine:
    """A worker in a sibling's part, as its summaries show it."""

    __slots__ = (
        "build", "deaf", "draining", "heard", "id", "idle", "idle_since", "images", "lent", "lost",
        "quiet", "session", "sick", "spot", "zone",
    )  # fmt: skip

    def __init__(
        self, id: str, build: str, zone: str, spot: bool, session: int, heard: float
    ) -> None:
        self.id, self.build, self.zone, self.spot = id, build, zone, spot
        self.session, self.heard = session, heard
        self.quiet = self.draining = self.sick = self.lent = self.idle = False
        self.lost = self.deaf = False
        self.idle_since = 0.0
        self.images: frozenset[str] = frozenset()

    def silence(self, now: float) -> float:
        """Seconds without a report; a row is sent again when a machine falls quiet."""
        return now - self.heard if self.quiet else 0.0


class PeerView:
    """What a sibling's summaries say, and when the last one came."""

    def __init__(self, member: str, link: float) -> None:
        self.member, self.link = member, link
        self.seq = 0
        self.token = self.permit = 0
        self.permit_at = Moment(1e18)  # when its lease was first heard of
        self.ledger = self.roster = 0
        self.known_until = Moment(-1e9)  # we know what it confirmed until then
        self.state_age = 0.0
        self.at = Moment(-1e9)
        self.machines: dict[str, PeerMachine] = {}
        self.complete = False  # all its rows have come
        self.wanted: frozenset[str] = frozenset()
        self.unreachable_for_workers: frozenset[str] = frozenset()
        self.reasons: dict[str, str] = {}

    def inherit(self, before: "PeerView") -> None:
        """Keep what is true of the member and not only of one connection."""
        self.permit, self.permit_at = before.permit, before.permit_at
        self.ledger, self.known_until = before.ledger, before.known_until


class Context:
    """State shared by election, owners, the leader and the fleet."""

    def __init__(
        self, settings: Settings, view: View, queue: CommitQueue, policy: Policy | None = None
    ) -> None:
        self.policy = policy or Policy()
        self.settings, self.view, self.queue = settings, view, queue
        self.grants = GrantClock(view)
        self.ownership = OwnershipTable(view)
        self.me = Member(settings.member)
        self.now, self.wall = Moment(0.0), WallTime(0.0)
        self.started: Moment | None = None
        self.out: list[Effect] = []
        self.permit = 0
        self.lease_until = Moment(0.0)
        self.state_ok_at = Moment(0.0)
        self.follow_ok_at = Moment(0.0)
        self.token_since = Moment(0.0)
        self.token_seen = 0
        self.machines: dict[str, Machine] = {}
        self.peers: dict[str, PeerView] = {}
        self.pending: dict[tuple[str, int], tuple[str, Job]] = {}
        self.finished: list[tuple[str, float]] = []
        # Cancelled jobs that a sibling knows of, by revision, until our records show them.
        self.handed: dict[JobId, int] = {}
        self.handed_now: list[JobId] = []
        self.tell = False
        self._owners: dict[str, str | None] = {}
        self._owners_at = -1
        self._kinds: dict[str, MachineType] = {}
        self._kinds_of: Catalog | None = None
        self._market = PriceIndex()
        self._market_at = -1e9

    @property
    def roster(self) -> Roster | None:
        """The roster that we know."""
        return self.view.roster

    def my_record(self) -> MemberRecord | None:
        """Our place in the roster, if it is this incarnation's."""
        roster = self.view.roster
        mine = roster.member(self.me) if roster else None
        return mine if mine and self.permit and mine.permit == self.permit else None

    def active(self) -> bool:
        """True while we may decide: in the roster, our lease safe, our view fresh."""
        return (
            self.view.loaded
            # Our own commit's answer may overtake the news of what former owners
            # wrote before it; until the news has come that far, we know too little.
            and self.view.ledger >= self.view.token
            and self.now < self.lease_until
            and self.my_record() is not None
            and self.now - self.follow_ok_at < self.news_age()
        )

    def longest_renewal(self) -> float:
        """For how long after our last news leases may be renewed, whatever was cancelled since.

        A lease that is renewed then ends before a cancellation that was promised just after
        those news has to hold.
        """
        workers = self.settings.params.workers
        return workers.cancel_s - workers.lease_s * DRIFT - KEPT_S

    def news_age(self) -> float:
        """The age from which our news are too old to decide on, and to renew leases."""
        return min(NEWS_AGE_S, self.longest_renewal())

    def leading(self) -> bool:
        """May we decide for the whole cell?"""
        roster = self.view.roster
        return roster is not None and roster.leader == self.me and self.active()

    def owner(self, machine: str, zone: str) -> str | None:
        """The member that owns a machine; hashed once under each roster."""
        roster = self.view.roster
        if roster is None:
            return None
        assigned = self.ownership.assigned(machine)
        return assigned if assigned is not None else self.owner_by_hash(machine, zone, roster)

    def owner_by_hash(self, machine: str, zone: str, roster: Roster) -> str | None:
        """The member that owns a machine unless a handover has set another one."""
        if self._owners_at != self.view.token or len(self._owners) > OWNERS:
            self._owners, self._owners_at = {}, self.view.token
        found = self._owners.get(machine, "")
        if found == "":
            found = self._owners[machine] = owner(machine, zone, roster)
        return found

    def owns(self, machine: str, zone: str) -> bool:
        """Is the machine in our part?"""
        return self.owner(machine, zone) == self.me

    def token_of(self, machine: str) -> int:
        """The fencing token under which a machine's owner commands it."""
        return self.ownership.token(machine)

    def token_of_since(self, machine: str) -> float:
        """Since when this process knows the machine's fencing token."""
        return max(self.token_since, self.ownership.seen_at(machine))

    def observe_handovers(self) -> None:
        """Begin anew with machines that changed hands: they have not shown their new token."""
        for machine in self.ownership.observe(self.now):
            self.machines.pop(machine, None)

    def alive_within(self) -> float:
        """A machine not heard for longer takes no new tasks."""
        return self.settings.params.workers.report_s * 2.5 + 0.5

    def kind(self, build: str) -> MachineType | None:
        """A machine type by its name."""
        catalog = self.view.catalog
        if catalog is not self._kinds_of:
            self._kinds_of = catalog
            self._kinds = {t.name: t for t in catalog.builds} if catalog else {}
        return self._kinds.get(build)

    def market(self) -> PriceIndex:
        """By one job of each class; looked at anew now and then."""
        catalog = self.view.catalog
        if catalog is not None and self.now - self._market_at > MARKET_S:
            lanes = {job.spec.lane: job.spec for job in self.view.jobs.values()}
            self._market, self._market_at = PriceIndex(catalog.builds, lanes.values()), self.now
        return self._market

    def room(self, id: str) -> MachineCapacity | None:
        """One machine of our part, if it can take tasks."""
        m = self.machines.get(id)
        return self._room(m) if m is not None else None

    def _room(self, m: Machine) -> MachineCapacity | None:
        kind = self.kind(m.build)
        if (
            kind is None
            or m.sick
            or m.lost
            or m.deaf
            or not m.proven
            or not m.hears
            or self.now - m.heard > self.alive_within()
            or not self.owns(m.id, m.zone)
        ):
            return None
        room = MachineCapacity(
            m.id, kind, m.zone, m.spot, self.me, m.session, self.view.load(m.id), m.images
        )
        room.is_unschedulable = m.recall_at is not None or self.ownership.is_draining(
            m.id, self.wall
        )
        room.reserved_for_gang = m.lent_until > self.now
        room.idle_since = m.idle_since
        return room

    def rooms(self, mine_only: bool = False) -> list[MachineCapacity]:
        """Machines that can take tasks, with what is free after all entries and plans."""
        rooms: dict[str, MachineCapacity] = {}
        for m in self.machines.values():
            room = self._room(m)
            if room is not None:
                rooms[m.id] = room
        if not mine_only:
            self._peer_rooms(rooms)
        for (name, index), (machine, spec) in self.pending.items():
            # Under way: counts at its new place, not at the one it has in the record.
            entry = self.view.entry(JobId(name), index)
            if entry is not None:
                if entry.machine == machine:
                    continue
                if (was := rooms.get(entry.machine)) is not None:
                    was.release(spec)
            if (found := rooms.get(machine)) is not None:
                found.reserve(spec)
        return list(rooms.values())

    def _peer_rooms(self, rooms: dict[str, MachineCapacity]) -> None:
        roster = self.view.roster
        if roster is None:
            return
        load, alive = self.view.load, min(3.0, self.alive_within())
        owner, kind_of = self.owner, self.kind
        for peer in self.peers.values():
            if self.now - peer.at > alive:
                continue
            member = peer.member
            for pm in peer.machines.values():
                if pm.sick or pm.lost or pm.deaf or pm.quiet:
                    continue
                kind = kind_of(pm.build)
                if kind is None or owner(pm.id, pm.zone) != member:
                    continue
                room = MachineCapacity(
                    pm.id, kind, pm.zone, pm.spot, member, pm.session, load(pm.id), pm.images
                )
                room.is_unschedulable = pm.draining or self.ownership.is_draining(pm.id, self.wall)
                room.reserved_for_gang = pm.lent
                room.idle_since = pm.idle_since
                rooms[pm.id] = room
