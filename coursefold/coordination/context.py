"""State shared by all parts of the core: settings, the view, the time and pending effects."""

from coursefold.coordination.effects import Effect
from coursefold.coordination.grants import GrantExpiry
from coursefold.coordination.ownership import OwnershipTable
from coursefold.coordination.placement import MachineCapacity, PriceIndex
from coursefold.coordination.quota import ResourceUsage
from coursefold.coordination.rendezvous import hash_owner
from coursefold.policy import Policy
from coursefold.protocol.ids import JobId, MemberName, MonotonicTime, WallTime
from coursefold.protocol.wire import Catalog, Job, MachineType, TaskReport
from coursefold.settings import CLOCK_DRIFT_FACTOR, Settings
from coursefold.storage.queue import CommitQueue
from coursefold.storage.records import MemberRecord, Roster
from coursefold.storage.view import View

PRICE_INDEX_REFRESH_S = 3.0
MAX_CACHED_OWNERS = 20_000  # machines
MAX_VIEW_AGE_S = 8.0  # no decisions are based on an older view of the state service
RENEWAL_MARGIN_S = 1.0  # between a renewed lease's end and a confirmed cancellation's deadline
LEASE_DRIFT_FACTOR = CLOCK_DRIFT_FACTOR


class Machine:
    """A worker that this controller owns, as its reports show it.

    Attributes:
        address: The worker's own address for commands, as `host:port`.
        session: The worker's session number, as it reports it.
        sequence: The number of the last report within the session; -1 before the first.
        token: The fencing token that the last report showed.
        last_report_at: When the last report was received.
        last_response_at: When a report was last accepted, which renews the worker's lease.
        recall_at: When the cloud takes the machine back; None if not announced.
        tasks: The tasks of the last report, by job and task index.
        running_since: When each attempt was first reported as running, by job, index, attempt.
        cached_images: Images on the machine with their sizes in GB, least recently used first.
        failed_attempts: Job attempts that failed here since the last success, as `job.attempt`.
        stops_sent: Attempts for which a stop was sent to the worker's own address.
        quarantined: Tasks fail on the machine, so it takes no more of them.
        unresponsive: No report for longer than a machine that takes tasks may be silent.
        token_confirmed: The worker has shown the current fencing token.
        receives_responses: The timing of the last reports shows that responses arrive.
        responses_lost: Responses have not arrived for so long that the machine is unusable.
        no_response_since: Since when responses have not arrived; None if they do.
        gang_reservation_until: Until when the machine is reserved for a gang of the leader.
        idle_since: When the machine last had a task; when it first reported if it had none.
        lease_expired: No report and no response for longer than the machine's lease.
        reported_usage: By team, what the tasks of the last report use that had started.
    """

    def __init__(self, id: str, machine_type: str, zone: str, spot: bool) -> None:
        self.id, self.machine_type, self.zone, self.spot = id, machine_type, zone, spot
        self.address = ""
        self.session = 0
        self.sequence = -1
        self.token = 0
        self.last_report_at = MonotonicTime(0.0)
        self.last_response_at = MonotonicTime(0.0)
        self.recall_at: float | None = None
        self.tasks: dict[tuple[str, int], TaskReport] = {}
        self.running_since: dict[tuple[str, int, int], float] = {}
        self.cached_images: dict[str, float] = {}
        self.failed_attempts: list[str] = []
        self.stops_sent: set[tuple[str, int, int]] = set()
        self.quarantined = False
        self.unresponsive = False
        self.token_confirmed = False
        self.receives_responses = True
        self.responses_lost = False
        self.no_response_since: float | None = None
        self.gang_reservation_until = 0.0
        self.idle_since = MonotonicTime(0.0)
        self.lease_expired = False
        self.reported_usage: dict[str, ResourceUsage] = {}

    def record_image_use(self, image: str, size_gb: float, cache_gb: float) -> None:
        """Note that a task uses an image; images beyond the cache size count as evicted."""
        self.cached_images.pop(image, None)
        self.cached_images[image] = size_gb
        while len(self.cached_images) > 1 and sum(self.cached_images.values()) > cache_gb:
            del self.cached_images[next(iter(self.cached_images))]


class PeerMachine:
    """A worker that a sibling owns, as the sibling's summaries show it.

    The fields have the meaning of those of `Machine`. `draining` is set for a machine that takes
    no new tasks, `is_idle` for one without tasks.
    """

    __slots__ = (
        "cached_images", "draining", "id", "idle_since", "is_idle", "last_report_at",
        "lease_expired", "machine_type", "quarantined", "reserved_for_gang", "responses_lost",
        "session", "spot", "unresponsive", "zone",
    )  # fmt: skip

    def __init__(
        self, id: str, machine_type: str, zone: str, spot: bool, session: int, last_report_at: float
    ) -> None:
        self.id, self.machine_type, self.zone, self.spot = id, machine_type, zone, spot
        self.session, self.last_report_at = session, last_report_at
        self.unresponsive = self.draining = self.quarantined = self.reserved_for_gang = (
            self.is_idle
        ) = False
        self.lease_expired = self.responses_lost = False
        self.idle_since = 0.0
        self.cached_images: frozenset[str] = frozenset()

    def silence_s(self, now: float) -> float:
        """Return the seconds since the last report; 0 unless the machine is unresponsive.

        Its owner sends a machine's row again when the machine becomes unresponsive.
        """
        return now - self.last_report_at if self.unresponsive else 0.0


class PeerView:
    """What a sibling's summaries say, and when the last one was received.

    Attributes:
        member: The sibling's name.
        connection_started_at: When the sibling began the connection, which identifies it.
        sequence: The number of the last frame of the connection.
        token: The fencing token of the roster that the sibling knows.
        lease_id: The sibling's lease, which identifies its process; 0 if it has none.
        lease_id_seen_at: When this lease was first seen in a frame; 1e18 before the first.
        revision: Up to which revision of the state service its records are complete.
        roster_token: The roster under which it sent its cancellations.
        cancellations_known_until: Every cancellation that it confirmed before is known here.
        state_age_s: The age of its last response from the state service.
        last_frame_at: When its last frame was received.
        machines: Its machines by name.
        is_complete: Whether the rows of all its machines have arrived.
        requested_machines: Machines that it wants, as the leader, for a gang.
        unreachable_for_workers: Controllers that workers cannot reach, by its observation.
        waiting_reasons: Why jobs wait, by job.
        reported_usage: By team, what the tasks on its machines use.
    """

    def __init__(self, member: str, connection_started_at: float) -> None:
        self.member, self.connection_started_at = member, connection_started_at
        self.sequence = 0
        self.token = self.lease_id = 0
        self.lease_id_seen_at = MonotonicTime(1e18)
        self.revision = self.roster_token = 0
        self.cancellations_known_until = MonotonicTime(-1e9)
        self.state_age_s = 0.0
        self.last_frame_at = MonotonicTime(-1e9)
        self.machines: dict[str, PeerMachine] = {}
        self.is_complete = False
        self.requested_machines: frozenset[str] = frozenset()
        self.unreachable_for_workers: frozenset[str] = frozenset()
        self.waiting_reasons: dict[str, str] = {}
        self.reported_usage: dict[str, ResourceUsage] = {}

    def copy_member_state(self, previous: "PeerView") -> None:
        """Take over what holds for the member itself rather than for one connection."""
        self.lease_id, self.lease_id_seen_at = previous.lease_id, previous.lease_id_seen_at
        self.revision, self.cancellations_known_until = (
            previous.revision,
            previous.cancellations_known_until,
        )


class Context:
    """State shared by the election, the owner, the leader and the fleet manager.

    Attributes:
        own_name: This controller's member name.
        now: The time on the steady clock.
        wall_time: The time of day in seconds since the epoch.
        started_at: When the core was first given the time; None before.
        effects: Actions for the surroundings to carry out, oldest first.
        lease_id: This process's lease at the state service; 0 if it has none.
        lease_until: When that lease ends at the earliest.
        state_ok_at: When the last request that the state service answered was sent.
        watch_ok_at: The view is at least as recent as this time.
        token_seen_at: When the current roster's fencing token was first seen.
        seen_token: That fencing token.
        machines: Machines that report to this controller, by name.
        peers: What the siblings' summaries say, by member.
        placements_in_flight: Tasks whose placement is being committed, by job and index, with
            their machine and job description.
        offers_in_flight: Jobs of this cell whose offer to another cell is being committed.
        finished_runs: Class and run time in seconds of each task that has finished.
        peer_cancellations: Cancelled jobs that only siblings know of so far, with the revision
            of their cancellation.
        new_peer_cancellations: Those of them whose tasks have not been told to stop yet.
        notify_peers: Whether all siblings are to get a frame at once.
    """

    def __init__(
        self, settings: Settings, view: View, queue: CommitQueue, policy: Policy | None = None
    ) -> None:
        self.policy = policy or Policy()
        self.settings, self.view, self.queue = settings, view, queue
        self.grants = GrantExpiry(view)
        self.ownership = OwnershipTable(view)
        self.own_name = MemberName(settings.member)
        self.now, self.wall_time = MonotonicTime(0.0), WallTime(0.0)
        self.started_at: MonotonicTime | None = None
        self.effects: list[Effect] = []
        self.lease_id = 0
        self.lease_until = MonotonicTime(0.0)
        self.state_ok_at = MonotonicTime(0.0)
        self.watch_ok_at = MonotonicTime(0.0)
        self.token_seen_at = MonotonicTime(0.0)
        self.seen_token = 0
        self.machines: dict[str, Machine] = {}
        self.peers: dict[str, PeerView] = {}
        self.placements_in_flight: dict[tuple[str, int], tuple[str, Job]] = {}
        self.offers_in_flight: set[JobId] = set()
        self.finished_runs: list[tuple[str, float]] = []
        self.peer_cancellations: dict[JobId, int] = {}
        self.new_peer_cancellations: list[JobId] = []
        self.notify_peers = False
        self._cached_owners: dict[str, str | None] = {}
        self._cached_owners_token = -1
        self._types: dict[str, MachineType] = {}
        self._types_catalog: Catalog | None = None
        self._price_index = PriceIndex()
        self._price_index_at = -1e9

    @property
    def roster(self) -> Roster | None:
        """The latest known roster; None if there is none yet."""
        return self.view.roster

    def own_record(self) -> MemberRecord | None:
        """Return this controller's roster entry, if it belongs to this incarnation."""
        roster = self.view.roster
        member = roster.find_member(self.own_name) if roster else None
        return member if member and self.lease_id and member.lease_id == self.lease_id else None

    def drop_ended_lease(self, ended: set[int]) -> None:
        """Give up the own lease if it is among those that have ended, so that a new one is granted.

        The response that says so may be late, and the own lease a newer one.
        """
        if self.lease_id in ended:
            self.lease_id = 0

    def is_active(self) -> bool:
        """Return whether to decide: in the roster, lease valid, view recent enough."""
        return (
            self.view.is_loaded
            # The response to this controller's own roster commit may arrive before the updates
            # on what former owners wrote earlier; until then the view is incomplete.
            and self.view.revision >= self.view.fencing_token
            and self.now < self.lease_until
            and self.own_record() is not None
            and self.now - self.watch_ok_at < self.max_view_age_s()
        )

    def max_renewal_s(self) -> float:
        """Return for how many seconds after the last update leases may be renewed.

        A lease that was renewed by then ends before the deadline of any cancellation that
        another controller confirmed just after that update.
        """
        workers = self.settings.params.workers
        return workers.cancel_s - workers.lease_s * LEASE_DRIFT_FACTOR - RENEWAL_MARGIN_S

    def max_view_age_s(self) -> float:
        """Return the view's age in seconds from which it no longer allows decisions or renewals."""
        return min(MAX_VIEW_AGE_S, self.max_renewal_s())

    def is_leading(self) -> bool:
        """Return whether this controller decides for the whole cell."""
        roster = self.view.roster
        return roster is not None and roster.leader == self.own_name and self.is_active()

    def owner_of(self, machine: str, zone: str) -> str | None:
        """Return the member that owns a machine; None if there is no roster or no member."""
        roster = self.view.roster
        if roster is None:
            return None
        assigned = self.ownership.assigned_owner(machine)
        return assigned if assigned is not None else self.owner_by_hash(machine, zone, roster)

    def owner_by_hash(self, machine: str, zone: str, roster: Roster) -> str | None:
        """Return the owner unless a handover has assigned another; cached for each roster."""
        if (
            self._cached_owners_token != self.view.fencing_token
            or len(self._cached_owners) > MAX_CACHED_OWNERS
        ):
            self._cached_owners, self._cached_owners_token = {}, self.view.fencing_token
        owner = self._cached_owners.get(machine, "")
        if owner == "":
            owner = self._cached_owners[machine] = hash_owner(machine, zone, roster)
        return owner

    def owns(self, machine: str, zone: str) -> bool:
        """Return whether this controller owns the machine."""
        return self.owner_of(machine, zone) == self.own_name

    def machine_token(self, machine: str) -> int:
        """Return the fencing token under which a machine's owner commands it."""
        return self.ownership.token(machine)

    def machine_token_seen_at(self, machine: str) -> float:
        """Return when this process first saw the machine's current fencing token."""
        return max(self.token_seen_at, self.ownership.seen_at(machine))

    def observe_handovers(self) -> None:
        """Drop the state of machines with a new owner: they have not shown the new token yet."""
        for machine in self.ownership.observe_changes(self.now):
            self.machines.pop(machine, None)

    def max_report_age_s(self) -> float:
        """Return for how many seconds a machine may be silent and still take new tasks."""
        return self.settings.params.workers.report_s * 2.5 + 0.5

    def find_machine_type(self, name: str) -> MachineType | None:
        """Return a machine type by its name; None if the catalog does not list it."""
        catalog = self.view.catalog
        if catalog is not self._types_catalog:
            self._types_catalog = catalog
            self._types = {t.name: t for t in catalog.machine_types} if catalog else {}
        return self._types.get(name)

    def price_index(self) -> PriceIndex:
        """Return the price index, built from one job of each class every few seconds."""
        catalog = self.view.catalog
        if catalog is not None and self.now - self._price_index_at > PRICE_INDEX_REFRESH_S:
            specs_by_class = {job.spec.job_class: job.spec for job in self.view.jobs.values()}
            self._price_index, self._price_index_at = (
                PriceIndex(catalog.machine_types, specs_by_class.values()),
                self.now,
            )
        return self._price_index

    def machine_capacity(self, machine_id: str) -> MachineCapacity | None:
        """Return the free capacity of an own machine; None if it can take no tasks."""
        machine = self.machines.get(machine_id)
        return self._usable_capacity(machine) if machine is not None else None

    def _usable_capacity(self, machine: Machine) -> MachineCapacity | None:
        type_info = self.find_machine_type(machine.machine_type)
        if (
            type_info is None
            or machine.quarantined
            or machine.lease_expired
            or machine.responses_lost
            or not machine.token_confirmed
            or not machine.receives_responses
            or self.now - machine.last_report_at > self.max_report_age_s()
            or not self.owns(machine.id, machine.zone)
        ):
            return None
        capacity = MachineCapacity(
            machine.id,
            type_info,
            machine.zone,
            machine.spot,
            self.own_name,
            machine.session,
            self.view.load_of(machine.id),
            machine.cached_images,
        )
        capacity.is_unschedulable = machine.recall_at is not None or self.ownership.is_draining(
            machine.id, self.wall_time
        )
        capacity.reserved_for_gang = machine.gang_reservation_until > self.now
        capacity.idle_since = machine.idle_since
        return capacity

    def available_machines(self, own_only: bool = False) -> list[MachineCapacity]:
        """Return the machines that can take tasks, with their free capacity.

        Recorded tasks and placements in flight count as used capacity.

        Args:
            own_only: Leave out the machines of siblings.
        """
        available: dict[str, MachineCapacity] = {}
        for machine in self.machines.values():
            capacity = self._usable_capacity(machine)
            if capacity is not None:
                available[machine.id] = capacity
        if not own_only:
            self._add_peer_machines(available)
        for (name, index), (machine_id, spec) in self.placements_in_flight.items():
            # Counts on its new machine, not on the one in the record.
            entry = self.view.find_entry(JobId(name), index)
            if entry is not None:
                if entry.machine == machine_id:
                    continue
                if (previous := available.get(entry.machine)) is not None:
                    previous.release(spec)
            if (planned := available.get(machine_id)) is not None:
                planned.reserve(spec)
        return list(available.values())

    def _add_peer_machines(self, available: dict[str, MachineCapacity]) -> None:
        roster = self.view.roster
        if roster is None:
            return
        load, max_age_s = self.view.load_of, min(3.0, self.max_report_age_s())
        owner_of, find_type = self.owner_of, self.find_machine_type
        for peer in self.peers.values():
            if self.now - peer.last_frame_at > max_age_s:
                continue
            member = peer.member
            for peer_machine in peer.machines.values():
                if (
                    peer_machine.quarantined
                    or peer_machine.lease_expired
                    or peer_machine.responses_lost
                    or peer_machine.unresponsive
                ):
                    continue
                type_info = find_type(peer_machine.machine_type)
                if type_info is None or owner_of(peer_machine.id, peer_machine.zone) != member:
                    continue
                capacity = MachineCapacity(
                    peer_machine.id,
                    type_info,
                    peer_machine.zone,
                    peer_machine.spot,
                    member,
                    peer_machine.session,
                    load(peer_machine.id),
                    peer_machine.cached_images,
                )
                capacity.is_unschedulable = peer_machine.draining or self.ownership.is_draining(
                    peer_machine.id, self.wall_time
                )
                capacity.reserved_for_gang = peer_machine.reserved_for_gang
                capacity.idle_since = peer_machine.idle_since
                available[peer_machine.id] = capacity
