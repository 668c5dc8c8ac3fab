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
from coursefold.storage.queue import FIRST, Change, Edit, NotApplicableError, Result
from coursefold.storage.records import MemberRecord, Roster

log = logging.getLogger(__name__)

UNREACHABLE_S = 3.0
GATHER_S = 0.6


class Election:
    """Keeps our member key, leads or takes over."""

    def __init__(self, ctx: Context, upgrade: Upgrade) -> None:
        self.ctx, self.upgrade = ctx, upgrade
        self.leaderless_since: float | None = None
        self.knocks: dict[str, dict[str, list[float]]] = {}
        self.evicted: dict[str, float] = {}
        self.coming: list[MemberRecord] | None = None
        self.coming_at = self.coming_since = 0.0

    def knock(self, owner: str, machine: str) -> None:
        """A worker came to us although `owner` is the one to report to."""
        times = self.knocks.setdefault(owner, {}).setdefault(machine, [])
        times.append(self.ctx.now)
        del times[:-4]

    def complaints(self) -> set[str]:
        """Members whose workers keep coming here: they cannot reach them."""
        found = set()
        for owner, machines in self.knocks.items():
            for machine, times in list(machines.items()):
                recent = [t for t in times if t > self.ctx.now - 10.0]
                if not recent:
                    del machines[machine]
                elif len(recent) >= 2 and recent[-1] - recent[0] > 1.0:
                    found.add(owner)
        return found

    def _hears(self, member: str) -> bool:
        peer = self.ctx.peers.get(member)
        return peer is not None and self.ctx.now - peer.at <= UNREACHABLE_S

    def _blamed(self) -> set[str]:
        """Members that workers cannot reach and that siblings do not hear.

        Not hearing one means nothing where we hear nobody. Seen: siblings refused each
        other just after one was cut off, each took the others for gone, and the roster
        changed hands four times a second for as long as that lasted.
        """
        ctx = self.ctx
        others = [name for name in ctx.view.members if name != ctx.me]
        if len(others) > 1 and not any(self._hears(name) for name in others):
            return set()
        blamed = self.complaints()
        for peer in ctx.peers.values():
            if ctx.now - peer.at < 3.0:
                blamed |= peer.complaints
        quiet = set()
        for name in sorted(blamed):
            if name != ctx.me and not self._hears(name):
                quiet.add(name)
        if ctx.started is None or ctx.now - ctx.started < UNREACHABLE_S + 1.0:
            return set()
        return quiet

    def tick(self) -> None:
        ctx = self.ctx
        if not ctx.view.loaded or not ctx.permit or ctx.now >= ctx.lease_until:
            return
        mine = ctx.view.members.get(ctx.me)
        if mine is None or mine.permit != ctx.permit:
            self._join()
            return
        if not self.upgrade.speaks(ctx.me):
            return  # what we wrote of our version is on its way
        roster = ctx.view.roster
        live = ctx.view.members
        blamed = self._blamed()
        for name in sorted(blamed):
            if name not in self.evicted:
                log.info("member %s is out of reach of its workers and of us", name)
            self.evicted[name] = ctx.now
        for name in list(self.evicted):
            heard = ctx.peers.get(name)
            back = heard is not None and ctx.now - heard.at < 1.5
            if back and ctx.now - self.evicted[name] > 2.0:
                del self.evicted[name]
        members = [
            live[n]
            for n in sorted(live)
            if n == ctx.me or (n not in self.evicted and self.upgrade.speaks(n))
        ]
        if roster is not None and roster.leader == ctx.me and ctx.my_record() is not None:
            self.leaderless_since = None
            # One that was given up may come back with an old version, and must not lead.
            readable = bool(ctx.view.given_up) and roster.level < ctx.view.level
            if readable or (members != roster.members and self._settled(members, roster)):
                why = "closed to older versions" if readable else "membership changed"
                self._commit(Roster(ctx.me, members, ctx.view.level), why)
            return
        leader = roster.member(roster.leader) if roster else None
        if (
            leader is not None
            and live.get(leader.name) == leader
            and leader.name not in self.evicted
        ):
            self.leaderless_since = None
            return
        if self.leaderless_since is None:
            self.leaderless_since = ctx.now
        if ctx.now - self.leaderless_since >= 0.3 * self._place(members, roster):
            self._commit(Roster(ctx.me, members, ctx.view.level), "no leader")

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
        if gone or now - self.coming_at >= GATHER_S or now - self.coming_since >= 3 * GATHER_S:
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
        self.upgrade.announce()
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
