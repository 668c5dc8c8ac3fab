"""Membership and leader election.

Every live controller has a member key attached to its lease. The roster key names the leader
and the members that own machines. It is changed only if its version is still the expected
one, so of two candidates that write it at the same time one fails. The roster's version is
the fencing token that workers see, and every decision of a leader or owner is fenced by it.
"""

import logging

import msgspec
from msgspec import Struct

from coursefold.coordination.context import Context
from coursefold.coordination.rendezvous import rendezvous_weight
from coursefold.coordination.upgrade import Upgrade
from coursefold.storage import records
from coursefold.storage.edits import HIGH_PRIORITY, Change, Edit, EditResult, NotApplicableError
from coursefold.storage.records import MemberRecord, Roster

log = logging.getLogger(__name__)

MAX_SIBLING_SILENCE_S = 3.0  # after a longer silence a sibling may be down
JOIN_BATCH_S = 0.6  # joins are batched: each roster is a new token that every worker must show
MISDIRECTED_WINDOW_S = 10.0
MAX_MISDIRECTED_PER_WORKER = 4  # reports of one worker for one owner
MIN_MISDIRECTED_SPAN_S = 1.0  # a worker with two reports within less is being redirected
READMISSION_SILENCE_S = 1.5  # an evicted member must have sent a frame within this time
MIN_EVICTION_S = 2.0
CANDIDATE_INTERVAL_S = 0.3  # between the attempts of two candidates to become leader


class Election:
    """Keeps the own member key, and the roster while this controller leads or takes over.

    Attributes:
        leaderless_since: Since when no live leader is known; None while there is one.
        misdirected_reports: By owner and machine, when workers of that owner reported here.
        evicted_at: By member, when it was last found to be unreachable.
        proposed_members: Changed membership that waits for JOIN_BATCH_S.
    """

    def __init__(self, ctx: Context, upgrade: Upgrade) -> None:
        self.ctx, self.upgrade = ctx, upgrade
        self.leaderless_since: float | None = None
        self.misdirected_reports: dict[str, dict[str, list[float]]] = {}
        self.evicted_at: dict[str, float] = {}
        self.proposed_members: list[MemberRecord] | None = None
        self.proposal_changed_at = self.proposal_started_at = 0.0

    def record_misdirected(self, owner: str, machine: str) -> None:
        """Record that a worker reported here although `owner` owns its machine."""
        times = self.misdirected_reports.setdefault(owner, {}).setdefault(machine, [])
        times.append(self.ctx.now)
        del times[:-MAX_MISDIRECTED_PER_WORKER]

    def unreachable_for_workers(self) -> set[str]:
        """Return the members whose workers keep reporting here because they cannot reach them."""
        unreachable = set()
        for owner, machines in self.misdirected_reports.items():
            for machine, times in list(machines.items()):
                recent = [t for t in times if t > self.ctx.now - MISDIRECTED_WINDOW_S]
                if not recent:
                    del machines[machine]
                elif len(recent) >= 2 and recent[-1] - recent[0] > MIN_MISDIRECTED_SPAN_S:
                    unreachable.add(owner)
        return unreachable

    def _is_connected(self, member: str) -> bool:
        peer = self.ctx.peers.get(member)
        return peer is not None and self.ctx.now - peer.last_frame_at <= MAX_SIBLING_SILENCE_S

    def _unreachable_members(self) -> set[str]:
        """Return the members that neither their workers nor this controller can reach.

        Nobody is returned if this controller receives no frames from any sibling, as the
        fault may be its own. Otherwise, when siblings refuse each other's connections after
        one of them was cut off, each would evict the others, and the roster would change
        hands four times a second.
        """
        ctx = self.ctx
        others = [name for name in ctx.view.members if name != ctx.own_name]
        if len(others) > 1 and not any(self._is_connected(name) for name in others):
            return set()
        reported = self.unreachable_for_workers()
        for peer in ctx.peers.values():
            if ctx.now - peer.last_frame_at < MAX_SIBLING_SILENCE_S:
                reported |= peer.unreachable_for_workers
        if ctx.started_at is None or ctx.now - ctx.started_at < MAX_SIBLING_SILENCE_S + 1.0:
            return set()
        return {name for name in reported if name != ctx.own_name and not self._is_connected(name)}

    def tick(self) -> None:
        """Join, update the roster while leading, or take over if there is no leader."""
        ctx = self.ctx
        if not ctx.view.is_loaded or not ctx.lease_id or ctx.now >= ctx.lease_until:
            return
        own_record = ctx.view.members.get(ctx.own_name)
        if own_record is None or own_record.lease_id != ctx.lease_id:
            self._join()
            return
        if not self.upgrade.has_current_version(ctx.own_name):
            return  # the own version record is written but not in the view yet
        self._update_evicted()
        roster = ctx.view.roster
        members = self._eligible_members()
        if roster is not None and roster.leader == ctx.own_name and ctx.own_record() is not None:
            self.leaderless_since = None
            self._update_roster(roster, members)
        elif roster is not None and self._leader_is_live(roster):
            self.leaderless_since = None
        else:
            self._take_over(roster, members)

    def _update_evicted(self) -> None:
        """Evict unreachable members, and readmit them once they are reachable again."""
        ctx = self.ctx
        for name in sorted(self._unreachable_members()):
            if name not in self.evicted_at:
                log.info("member %s cannot be reached by its workers nor by this controller", name)
            self.evicted_at[name] = ctx.now
        for name in list(self.evicted_at):
            peer = ctx.peers.get(name)
            is_reachable = peer is not None and ctx.now - peer.last_frame_at < READMISSION_SILENCE_S
            if is_reachable and ctx.now - self.evicted_at[name] > MIN_EVICTION_S:
                del self.evicted_at[name]

    def _eligible_members(self) -> list[MemberRecord]:
        """Return the live members that may own machines, sorted by name."""
        live = self.ctx.view.members
        return [
            live[name]
            for name in sorted(live)
            if name == self.ctx.own_name
            or (name not in self.evicted_at and self.upgrade.has_current_version(name))
        ]

    def _update_roster(self, roster: Roster, members: list[MemberRecord]) -> None:
        """Write a new roster when the members have changed."""
        view = self.ctx.view
        # A member that the upgrade no longer waits for may return with an older version, and
        # must not become leader then.
        closes_to_older_versions = bool(view.ignored_members) and roster.level < view.format_level
        if closes_to_older_versions or (
            members != roster.members and self._may_commit_members(members, roster)
        ):
            why = "closed to older versions" if closes_to_older_versions else "membership changed"
            self._commit_roster(Roster(self.ctx.own_name, members, view.format_level), why)

    def _leader_is_live(self, roster: Roster) -> bool:
        """Return whether the leader is reachable and still the same incarnation with its lease."""
        leader = roster.find_member(roster.leader)
        return (
            leader is not None
            and self.ctx.view.members.get(leader.name) == leader
            and leader.name not in self.evicted_at
        )

    def _take_over(self, roster: Roster | None, members: list[MemberRecord]) -> None:
        """Try to become leader; candidates try one after the other, in the order of their rank."""
        now = self.ctx.now
        if self.leaderless_since is None:
            self.leaderless_since = now
        if now - self.leaderless_since >= CANDIDATE_INTERVAL_S * self._candidate_rank(
            members, roster
        ):
            self._commit_roster(
                Roster(self.ctx.own_name, members, self.ctx.view.format_level), "no leader"
            )

    def _may_commit_members(self, members: list[MemberRecord], roster: Roster) -> bool:
        """Return whether to write a roster with these members now.

        It is written at once if a member has left. Joins are batched, because each roster is
        a new token that every worker has to show: five controllers that start within a second
        would make five rosters.
        """
        now = self.ctx.now
        if members != self.proposed_members:
            if self.proposed_members is None:
                self.proposal_started_at = now
            self.proposed_members, self.proposal_changed_at = members, now
        names = {m.name for m in members}
        has_departures = any(m.name not in names for m in roster.members)
        if (
            has_departures
            or now - self.proposal_changed_at >= JOIN_BATCH_S
            or now - self.proposal_started_at >= 3 * JOIN_BATCH_S
        ):
            self.proposed_members = None
            return True
        return False

    def _candidate_rank(self, members: list[MemberRecord], roster: Roster | None) -> int:
        """Return the own rank among the candidates; members of the last roster come first."""

        def key(member: MemberRecord) -> tuple[bool, bytes]:
            is_known = roster is not None and roster.find_member(member.name) == member
            return (not is_known, rendezvous_weight(member.name, str(self.ctx.view.fencing_token)))

        candidates = sorted(members, key=key)
        return next(
            (i for i, m in enumerate(candidates) if m.name == self.ctx.own_name), len(candidates)
        )

    def _join(self) -> None:
        """Write the own member key, and replace that of this member's previous process at once.

        The previous process will not come back.
        """
        ctx = self.ctx
        self.upgrade.announce_version()
        record = MemberRecord(ctx.own_name, ctx.lease_id, ctx.settings.zone)

        def change(current: Struct | None) -> EditResult:
            if current == record:
                raise NotApplicableError("member already")
            if record.lease_id != ctx.lease_id:
                raise NotApplicableError("lease replaced")
            return record

        key = records.member_key(ctx.own_name)
        edit = Edit(
            key, change, priority=HIGH_PRIORITY, lease_id=ctx.lease_id, tag=f"join{ctx.lease_id}"
        )
        if ctx.queue.propose(edit):
            log.info("joining as member %s with lease %d", ctx.own_name, ctx.lease_id)

    def _commit_roster(self, roster: Roster, why: str) -> None:
        ctx = self.ctx
        seen_version = ctx.view.version_of(records.ROSTER_KEY)

        def change(current: Struct | None) -> EditResult:
            if ctx.view.version_of(records.ROSTER_KEY) != seen_version:
                raise NotApplicableError("roster moved on")
            return msgspec.structs.replace(roster)

        roster_change: Change = change
        edit = Edit(
            records.ROSTER_KEY, roster_change, priority=HIGH_PRIORITY, tag=f"roster{seen_version}"
        )
        if ctx.queue.propose(edit):
            names = ",".join(m.name for m in roster.members)
            log.info("roster: leader %s, members %s (%s)", roster.leader, names, why)
