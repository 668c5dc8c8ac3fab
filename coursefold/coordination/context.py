"""What every part of the core shares: settings, the view, time, and the outbox."""

from coursefold.coordination.effects import Effect
from coursefold.coordination.grants import GrantExpiry
from coursefold.coordination.ownership import OwnershipTable
from coursefold.coordination.placement import MachineCapacity, PriceIndex
from coursefold.coordination.rendezvous import hash_owner
from coursefold.policy import Policy
from coursefold.protocol.ids import JobId, Member, Moment, WallTime
from coursefold.protocol.wire import Catalog, Job, MachineType, TaskReport
from coursefold.settings import CLOCK_DRIFT, Settings
from coursefold.storage.queue import CommitQueue
from coursefold.storage.records import MemberRecord, Roster
from coursefold.storage.view import View

MARKET_S = 3.0
OWNERS = 20_000  # machines whose owner is remembered
MAX_VIEW_AGE_S = 8.0  # news of the state service that are older are no ground for decisions
KEPT_S = 1.0  # a lease that we renew ends this long before a promised cancellation has to hold
LEASE_DRIFT_FACTOR = CLOCK_DRIFT


class Machine:
    """A worker in our part, as its reports show it."""

    def __init__(self, id: str, build: str, zone: str, spot: bool) -> None:
        self.id, self.machine_type, self.zone, self.spot = id, build, zone, spot
        self.address = ""
        self.session = 0
        self.sequence = -1
        self.token = 0
        self.last_report_at = Moment(0.0)
        self.last_response_at = Moment(0.0)
        self.recall_at: float | None = None
        self.tasks: dict[tuple[str, int], TaskReport] = {}
        self.running_since: dict[tuple[str, int, int], float] = {}
        self.images: dict[str, float] = {}
        self.failed_attempts: list[str] = []
        self.stops_sent: set[tuple[str, int, int]] = set()
        self.quarantined = False
        self.unresponsive = False
        self.token_confirmed = False  # has shown our token
        self.receives_responses = True  # its last reports came as from one that gets our answers
        self.responses_lost = False
        self.no_response_since: float | None = None
        self.gang_reservation_until = 0.0
        self.idle_since = Moment(0.0)
        self.lease_expired = False

    def remember_image(self, image: str, size: float, cache: float) -> None:
        """Most recently used last; what exceeds the cache is taken as dropped."""
        self.images.pop(image, None)
        self.images[image] = size
        while len(self.images) > 1 and sum(self.images.values()) > cache:
            del self.images[next(iter(self.images))]


class PeerMachine:
    """A worker in a sibling's part, as its summaries show it."""

    __slots__ = (
        "draining", "id", "idle", "idle_since", "images", "last_report_at", "lease_expired",
        "machine_type", "quarantined", "reserved_for_gang", "responses_lost", "session",
        "spot", "unresponsive", "zone",
    )  # fmt: skip

    def __init__(
        self, id: str, build: str, zone: str, spot: bool, session: int, heard: float
    ) -> None:
        self.id, self.machine_type, self.zone, self.spot = id, build, zone, spot
        self.session, self.last_report_at = session, heard
        self.unresponsive = self.draining = self.quarantined = self.reserved_for_gang = (
            self.idle
        ) = False
        self.lease_expired = self.responses_lost = False
        self.idle_since = 0.0
        self.images: frozenset[str] = frozenset()

    def silence_s(self, now: float) -> float:
        """Seconds without a report; a row is sent again when a machine falls quiet."""
        return now - self.last_report_at if self.unresponsive else 0.0


class PeerView:
    """What a sibling's summaries say, and when the last one came."""

    def __init__(self, member: str, link: float) -> None:
        self.member, self.connection_started_at = member, link
        self.sequence = 0
        self.token = self.lease_id = 0
        self.lease_id_seen_at = Moment(1e18)  # when its lease was first heard of
        self.revision = self.roster_token = 0
        self.cancellations_known_until = Moment(-1e9)  # we know what it confirmed until then
        self.state_age_s = 0.0
        self.last_frame_at = Moment(-1e9)
        self.machines: dict[str, PeerMachine] = {}
        self.is_complete = False  # all its rows have come
        self.requested_machines: frozenset[str] = frozenset()
        self.unreachable_for_workers: frozenset[str] = frozenset()
        self.reasons: dict[str, str] = {}

    def copy_member_state(self, before: "PeerView") -> None:
        """Keep what is true of the member and not only of one connection."""
        self.lease_id, self.lease_id_seen_at = before.lease_id, before.lease_id_seen_at
        self.revision, self.cancellations_known_until = (
            before.revision,
            before.cancellations_known_until,
        )


class Context:
    """State shared by election, owners, the leader and the fleet."""

    def __init__(
        self, settings: Settings, view: View, queue: CommitQueue, policy: Policy | None = None
    ) -> None:
        self.policy = policy or Policy()
        self.settings, self.view, self.queue = settings, view, queue
        self.grants = GrantExpiry(view)
        self.ownership = OwnershipTable(view)
        self.own_name = Member(settings.member)
        self.now, self.wall_time = Moment(0.0), WallTime(0.0)
        self.started_at: Moment | None = None
        self.effects: list[Effect] = []
        self.lease_id = 0
        self.lease_until = Moment(0.0)
        self.state_ok_at = Moment(0.0)
        self.watch_ok_at = Moment(0.0)
        self.token_seen_at = Moment(0.0)
        self.seen_token = 0
        self.machines: dict[str, Machine] = {}
        self.peers: dict[str, PeerView] = {}
        self.placements_in_flight: dict[tuple[str, int], tuple[str, Job]] = {}
        self.finished_runs: list[tuple[str, float]] = []
        # Cancelled jobs that a sibling knows of, by revision, until our records show them.
        self.peer_cancellations: dict[JobId, int] = {}
        self.new_peer_cancellations: list[JobId] = []
        self.notify_peers = False
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

    def own_record(self) -> MemberRecord | None:
        """Our place in the roster, if it is this incarnation's."""
        roster = self.view.roster
        mine = roster.member(self.own_name) if roster else None
        return mine if mine and self.lease_id and mine.permit == self.lease_id else None

    def is_active(self) -> bool:
        """True while we may decide: in the roster, our lease safe, our view fresh."""
        return (
            self.view.loaded
            # Our own commit's answer may overtake the news of what former owners
            # wrote before it; until the news has come that far, we know too little.
            and self.view.ledger >= self.view.token
            and self.now < self.lease_until
            and self.own_record() is not None
            and self.now - self.watch_ok_at < self.max_view_age_s()
        )

    def max_renewal_s(self) -> float:
        """For how long after our last news leases may be renewed, whatever was cancelled since.

        A lease that is renewed then ends before a cancellation that was promised just after
        those news has to hold.
        """
        workers = self.settings.params.workers
        return workers.cancel_s - workers.lease_s * LEASE_DRIFT_FACTOR - KEPT_S

    def max_view_age_s(self) -> float:
        """The age from which our news are too old to decide on, and to renew leases."""
        return min(MAX_VIEW_AGE_S, self.max_renewal_s())

    def is_leading(self) -> bool:
        """May we decide for the whole cell?"""
        roster = self.view.roster
        return roster is not None and roster.leader == self.own_name and self.is_active()

    def owner_of(self, machine: str, zone: str) -> str | None:
        """The member that owns a machine; hashed once under each roster."""
        roster = self.view.roster
        if roster is None:
            return None
        assigned = self.ownership.assigned_owner(machine)
        return assigned if assigned is not None else self.owner_by_hash(machine, zone, roster)

    def owner_by_hash(self, machine: str, zone: str, roster: Roster) -> str | None:
        """The member that owns a machine unless a handover has set another one."""
        if self._owners_at != self.view.token or len(self._owners) > OWNERS:
            self._owners, self._owners_at = {}, self.view.token
        found = self._owners.get(machine, "")
        if found == "":
            found = self._owners[machine] = hash_owner(machine, zone, roster)
        return found

    def owns(self, machine: str, zone: str) -> bool:
        """Is the machine in our part?"""
        return self.owner_of(machine, zone) == self.own_name

    def machine_token(self, machine: str) -> int:
        """The fencing token under which a machine's owner commands it."""
        return self.ownership.token(machine)

    def machine_token_seen_at(self, machine: str) -> float:
        """Since when this process knows the machine's fencing token."""
        return max(self.token_seen_at, self.ownership.seen_at(machine))

    def observe_handovers(self) -> None:
        """Begin anew with machines that changed hands: they have not shown their new token."""
        for machine in self.ownership.observe_changes(self.now):
            self.machines.pop(machine, None)

    def max_report_age_s(self) -> float:
        """A machine not heard for longer takes no new tasks."""
        return self.settings.params.workers.report_s * 2.5 + 0.5

    def machine_type(self, build: str) -> MachineType | None:
        """A machine type by its name."""
        catalog = self.view.catalog
        if catalog is not self._kinds_of:
            self._kinds_of = catalog
            self._kinds = {t.name: t for t in catalog.builds} if catalog else {}
        return self._kinds.get(build)

    def price_index(self) -> PriceIndex:
        """By one job of each class; looked at anew now and then."""
        catalog = self.view.catalog
        if catalog is not None and self.now - self._market_at > MARKET_S:
            lanes = {job.spec.lane: job.spec for job in self.view.jobs.values()}
            self._market, self._market_at = PriceIndex(catalog.builds, lanes.values()), self.now
        return self._market

    def machine_capacity(self, id: str) -> MachineCapacity | None:
        """One machine of our part, if it can take tasks."""
        m = self.machines.get(id)
        return self._room(m) if m is not None else None

    def _room(self, m: Machine) -> MachineCapacity | None:
        kind = self.machine_type(m.machine_type)
        if (
            kind is None
            or m.quarantined
            or m.lease_expired
            or m.responses_lost
            or not m.token_confirmed
            or not m.receives_responses
            or self.now - m.last_report_at > self.max_report_age_s()
            or not self.owns(m.id, m.zone)
        ):
            return None
        room = MachineCapacity(
            m.id, kind, m.zone, m.spot, self.own_name, m.session, self.view.load(m.id), m.images
        )
        room.is_unschedulable = m.recall_at is not None or self.ownership.is_draining(
            m.id, self.wall_time
        )
        room.reserved_for_gang = m.gang_reservation_until > self.now
        room.idle_since = m.idle_since
        return room

    def available_machines(self, mine_only: bool = False) -> list[MachineCapacity]:
        """Machines that can take tasks, with what is free after all entries and plans."""
        rooms: dict[str, MachineCapacity] = {}
        for m in self.machines.values():
            room = self._room(m)
            if room is not None:
                rooms[m.id] = room
        if not mine_only:
            self._peer_rooms(rooms)
        for (name, index), (machine, spec) in self.placements_in_flight.items():
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
        load, alive = self.view.load, min(3.0, self.max_report_age_s())
        owner, kind_of = self.owner_of, self.machine_type
        for peer in self.peers.values():
            if self.now - peer.last_frame_at > alive:
                continue
            member = peer.member
            for pm in peer.machines.values():
                if pm.quarantined or pm.lease_expired or pm.responses_lost or pm.unresponsive:
                    continue
                kind = kind_of(pm.machine_type)
                if kind is None or owner(pm.id, pm.zone) != member:
                    continue
                room = MachineCapacity(
                    pm.id, kind, pm.zone, pm.spot, member, pm.session, load(pm.id), pm.images
                )
                room.is_unschedulable = pm.draining or self.ownership.is_draining(
                    pm.id, self.wall_time
                )
                room.reserved_for_gang = pm.reserved_for_gang
                room.idle_since = pm.idle_since
                rooms[pm.id] = room
