"""Membership and leadership.

Every live controller keeps a key attached to its lease. The roster key names
the leader and the members that own machines; whoever changes it does so under
the roster's own Stamp, so of two candidates one fails. That Stamp is the token
that workers see, and every decision of a leader or owner is fenced by it.
"""

import logging

import msgspec
from msgspec import Struct

from coursefold.coordination.context import Context
from coursefold.coordination.parts import weight
from coursefold.coordination.upgrade import Upgrade
from coursefold.storage import records
from coursefold.storage.edits import FIRST, Change, Edit, NotApplicableError, Result
from coursefold.storage.records import MemberRecord, Roster

log = logging.getLogger(__name__)

UNREACHABLE_S = 3.0  # a sibling that is not heard for longer may be gone
JOINS_GATHERED_S = 0.6  # each roster is a new token that every worker has to show
MISDIRECTED_WINDOW_S = 10.0
MISDIRECTED_KEPT = 4  # reports of one worker
MISDIRECTED_APART_S = 1.0  # a worker that comes twice within less is being redirected
HEARD_AGAIN_S = 1.5
EVICTED_AT_LEAST_S = 2.0
CANDIDATE_STEP_S = 0.3  # between one candidate's attempt to lead and the next one's


class Election:
    """Keeps our member key, leads or takes over."""

    def __init__(self, ctx: Context, upgrade: Upgrade) -> None:
        self.ctx, self.upgrade = ctx, upgrade
        self.leaderless_since: float | None = None
        # When workers came to us with reports for another owner, by owner and machine.
        self.misdirected: dict[str, dict[str, list[float]]] = {}
        self.evicted: dict[str, float] = {}
        self.coming: list[MemberRecord] | None = None
        self.coming_at = self.coming_since = 0.0

    def record_misdirected(self, owner: str, machine: str) -> None:
        """A worker came to us although `owner` is the one to report to."""
        times = self.misdirected.setdefault(owner, {}).setdefault(machine, [])
        times.append(self.ctx.now)
        del times[:-MISDIRECTED_KEPT]

    def unreachable_for_workers(self) -> set[str]:
        """Members whose workers keep coming here: they cannot reach them."""
        found = set()
        for owner, machines in self.misdirected.items():
            for machine, times in list(machines.items()):
                recent = [t for t in times if t > self.ctx.now - MISDIRECTED_WINDOW_S]
                if not recent:
                    del machines[machine]
                elif len(recent) >= 2 and recent[-1] - recent[0] > MISDIRECTED_APART_S:
                    found.add(owner)
        return found

    def _hears(self, member: str) -> bool:
        peer = self.ctx.peers.get(member)
        return peer is not None and self.ctx.now - peer.at <= UNREACHABLE_S

    def _unreachable(self) -> set[str]:
        """Members that workers cannot reach and that we do not hear.

        Not hearing one means nothing where we hear nobody. Seen: siblings refused each
        other just after one was cut off, each took the others for gone, and the roster
        changed hands four times a second for as long as that lasted.
        """
        ctx = self.ctx
        others = [name for name in ctx.view.members if name != ctx.me]
        if len(others) > 1 and not any(self._hears(name) for name in others):
            return set()
        reported = self.unreachable_for_workers()
        for peer in ctx.peers.values():
            if ctx.now - peer.at < UNREACHABLE_S:
                reported |= peer.unreachable_for_workers
        if ctx.started is None or ctx.now - ctx.started < UNREACHABLE_S + 1.0:
            return set()
        return {name for name in reported if name != ctx.me and not self._hears(name)}

    def tick(self) -> None:
        """Join, keep the roster up to date while leading, or take over."""
        ctx = self.ctx
        if not ctx.view.loaded or not ctx.permit or ctx.now >= ctx.lease_until:
            return
        mine = ctx.view.members.get(ctx.me)
        if mine is None or mine.permit != ctx.permit:
            self._join()
            return
        if not self.upgrade.has_current_version(ctx.me):
            return  # what we wrote of our version is on its way
        self._update_evicted()
        roster = ctx.view.roster
        members = self._eligible()
        if roster is not None and roster.leader == ctx.me and ctx.my_record() is not None:
            self.leaderless_since = None
            self._maintain(roster, members)
        elif roster is not None and self._leader_is_live(roster):
            self.leaderless_since = None
        else:
            self._take_over(roster, members)

    def _update_evicted(self) -> None:
        """Evict members out of reach; take them back once they have been heard again."""
        ctx = self.ctx
        for name in sorted(self._unreachable()):
            if name not in self.evicted:
                log.info("member %s is out of reach of its workers and of us", name)
            self.evicted[name] = ctx.now
        for name in list(self.evicted):
            peer = ctx.peers.get(name)
            is_heard = peer is not None and ctx.now - peer.at < HEARD_AGAIN_S
            if is_heard and ctx.now - self.evicted[name] > EVICTED_AT_LEAST_S:
                del self.evicted[name]

    def _eligible(self) -> list[MemberRecord]:
        """Live members that may own machines, by name."""
        live = self.ctx.view.members
        return [
            live[name]
            for name in sorted(live)
            if name == self.ctx.me
            or (name not in self.evicted and self.upgrade.has_current_version(name))
        ]

    def _maintain(self, roster: Roster, members: list[MemberRecord]) -> None:
        """Write a new roster when the members have changed."""
        view = self.ctx.view
        # One that was given up may come back with an old version, and must not lead.
        closes = bool(view.given_up) and roster.level < view.level
        if closes or (members != roster.members and self._settled(members, roster)):
            why = "closed to older versions" if closes else "membership changed"
            self._commit(Roster(self.ctx.me, members, view.level), why)

    def _leader_is_live(self, roster: Roster) -> bool:
        """Does the roster's leader still hold its lease, in the same incarnation, in reach?"""
        leader = roster.member(roster.leader)
        return (
            leader is not None
            and self.ctx.view.members.get(leader.name) == leader
            and leader.name not in self.evicted
        )

    def _take_over(self, roster: Roster | None, members: list[MemberRecord]) -> None:
        """Try to lead once our turn has come: candidates try one after the other."""
        now = self.ctx.now
        if self.leaderless_since is None:
            self.leaderless_since = now
        if now - self.leaderless_since >= CANDIDATE_STEP_S * self._place(members, roster):
            self._commit(Roster(self.ctx.me, members, self.ctx.view.level), "no leader")

    def _settled(self, members: list[MemberRecord], roster: Roster) -> bool:
        """Is it time for a new roster? At once when a member has left; joins are gathered.

        Each roster is a new token that every worker has to show. Seen: five controllers
        that came back within a second made five of them.
        """
        now = self.ctx.now
        if members != self.coming:
            if self.coming is None:
                self.coming_since = now
            self.coming, self.coming_at = members, now
        names = {m.name for m in members}
        gone = any(m.name not in names for m in roster.members)
        if (
            gone
            or now - self.coming_at >= JOINS_GATHERED_S
            or now - self.coming_since >= 3 * JOINS_GATHERED_S
        ):
            self.coming = None
            return True
        return False

    def _place(self, members: list[MemberRecord], roster: Roster | None) -> int:
        """Our place in line: those that served under the last roster first."""

        def key(m: MemberRecord) -> tuple[bool, bytes]:
            known = roster is not None and roster.member(m.name) == m
            return (not known, weight(m.name, str(self.ctx.view.token)))

        line = sorted(members, key=key)
        return next((i for i, m in enumerate(line) if m.name == self.ctx.me), len(line))

    def _join(self) -> None:
        """Replace our former self's key at once: it will not come back."""
        ctx = self.ctx
        self.upgrade.announce_version()
        record = MemberRecord(ctx.me, ctx.permit, ctx.settings.zone)

        def change(current: Struct | None) -> Result:
            if current == record:
                raise NotApplicableError("member already")
            if record.permit != ctx.permit:
                raise NotApplicableError("lease replaced")
            return record

        key = records.member_key(ctx.me)
        edit = Edit(key, change, rank=FIRST, permit=ctx.permit, tag=f"join{ctx.permit}")
        if ctx.queue.propose(edit):
            log.info("joining as member %s with lease %d", ctx.me, ctx.permit)

    def _commit(self, roster: Roster, why: str) -> None:
        ctx = self.ctx
        seen = ctx.view.stamp(records.ROSTER)

        def change(current: Struct | None) -> Result:
            if ctx.view.stamp(records.ROSTER) != seen:
                raise NotApplicableError("roster moved on")
            return msgspec.structs.replace(roster)

        done_change: Change = change
        edit = Edit(records.ROSTER, done_change, rank=FIRST, tag=f"roster{seen}")
        if ctx.queue.propose(edit):
            names = ",".join(m.name for m in roster.members)
            log.info("roster: leader %s, members %s (%s)", roster.leader, names, why)
