"""The upgrade while the service runs: who has which version, and the one switch.

Every process of this version writes down, under its member's name and without a lease,
what it can read, together with its own lease's number. So a controller that is down
keeps the version that it last had, and one that came back with an older version shows
by a member key whose lease is another one.

What older versions cannot read is written only from the switch on, a record that is
never taken back. The leader writes it once every configured controller has this
version. One that has never shown any, or an older one, may come back with it and is
waited for, but not for ever. After the switch a process of an older version is kept
from doing harm: it reads neither the roster nor, when it starts, the machine types, so
it leads nobody, owns nothing and is not healthy.
"""

import logging

from msgspec import Struct

from coursefold.coordination.context import Context
from coursefold.storage import codec, records
from coursefold.storage.edits import FIRST, LATER, Edit, NotApplicableError, Remove, Result
from coursefold.storage.records import JobRecord, Level, PoolRecord, Version

log = logging.getLogger(__name__)

# A controller that nobody has seen for so long stays down, as far as the switch goes.
# Restarts take seconds; somebody who repairs a machine can be asked to upgrade it too.
GONE_S = 300.0
STALE_S = 5.0  # a version whose lease is not the member's, for so long: an older process
LOOK_S = 1.0
LOOKS = 40  # records measured at a time


class Upgrade:
    """Keeps our version known, and makes the switch while we lead."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.names = [ctx.settings.member, *(s.member for s in ctx.settings.siblings)]
        self.absent: dict[str, float] = {}
        self.stale: dict[str, float] = {}
        self.looked_at = -1e9
        self.said: list[str] | None = None
        self.unmeasured: list[str] | None = None
        self.wanted_level = records.OURS

    @property
    def level(self) -> int:
        """The level of the forms that this process writes, once every controller can.

        Those of a subsystem come in only where every controller has its file; from then on
        they are read, and kept, without it too.
        """
        return max(self.wanted_level, min(self.ctx.view.level, records.NEWEST))

    def require_level(self, level: int) -> None:
        """A subsystem that is switched on needs these forms; said before the first tick."""
        self.wanted_level = max(self.wanted_level, level)

    def announce_version(self) -> None:
        """Write down what this process can read, in the transaction in which it joins."""
        ctx = self.ctx
        mine = Version(self.level, ctx.permit)
        if not ctx.permit or ctx.view.versions.get(ctx.me) == mine:
            return

        def change(current: Struct | None) -> Result:
            if current == mine or mine.permit != ctx.permit:
                raise NotApplicableError("known")
            return mine

        key = records.version_key(ctx.me)
        ctx.queue.propose(Edit(key, change, rank=FIRST, tag=f"version{ctx.permit}"))

    def has_current_version(self, member: str) -> bool:
        """Has the member's live process this version? Before the switch it need not."""
        ctx = self.ctx
        if not ctx.view.level:
            return True
        return self._shown(member) >= ctx.view.level

    def _shown(self, member: str) -> int:
        """The level of a live member's process: 0 for an older version's."""
        live = self.ctx.view.members.get(member)
        known = self.ctx.view.versions.get(member)
        return known.level if live and known and known.permit == live.permit else 0

    def controllers_without_version(self) -> list[str]:
        """Controllers without this version, as far as is known."""
        view = self.ctx.view
        return [
            name
            for name in self.names
            if (
                self._shown(name) < self.level
                if name in view.members
                else name not in view.versions
            )
        ]

    def tick(self) -> None:
        """One round: announce our version, watch the others', and switch while we lead."""
        ctx = self.ctx
        if not ctx.view.loaded or not ctx.permit or ctx.now >= ctx.lease_until:
            return
        self.announce_version()
        if ctx.now - self.looked_at < LOOK_S:
            return
        self.looked_at = ctx.now
        self._watch()
        if not ctx.leading():
            self.unmeasured = None
            return
        self._forget_stale()
        if ctx.view.level < self.level:
            self._switch()
        else:
            self._bring_over()

    def _watch(self) -> None:
        """Since when is a controller not there?"""
        ctx = self.ctx
        for name in self.names:
            if name in ctx.view.members or ctx.now - ctx.follow_ok_at > 2.0:
                self.absent.pop(name, None)
            else:
                self.absent.setdefault(name, ctx.now)
        waits = self.controllers_without_version()
        if waits != self.said and ctx.view.level < self.level:
            self.said = waits
            log.info("without this version: %s", ", ".join(waits) or "none")

    def _forget_stale(self) -> None:
        """An older version has come back after a newer one: what it showed holds no more."""
        ctx = self.ctx
        for name, known in list(ctx.view.versions.items()):
            live = ctx.view.members.get(name)
            if live is None or live.permit == known.permit:
                self.stale.pop(name, None)
            elif ctx.now - self.stale.setdefault(name, ctx.now) > STALE_S:
                self._remove(records.version_key(name), known)
                log.error("controller %s runs an older version again", name)

    def _remove(self, key: str, known: Struct) -> None:
        def change(current: Struct | None) -> Result:
            if current != known:
                raise NotApplicableError("changed")
            return Remove()

        self.ctx.queue.propose(Edit(key, change, fence=self.ctx.view.token, tag="remove"))

    def _switch(self) -> None:
        ctx = self.ctx
        waits = self.controllers_without_version()
        level = self.level
        if any(ctx.now - self.absent.get(name, ctx.now) < GONE_S for name in waits):
            return

        def change(current: Struct | None) -> Result:
            if isinstance(current, Level) and current.level >= level:
                raise NotApplicableError("switched")
            return Level(level, waits)

        edit = Edit(records.LEVEL, change, rank=FIRST, fence=ctx.view.token, tag="switch")
        if ctx.queue.propose(edit):
            away = f" (given up: {', '.join(waits)})" if waits else ""
            log.info("every controller has this version%s: forms %d are written", away, level)

    def _bring_over(self) -> None:
        """Bring what is stored into the new forms, a little at a time."""
        ctx = self.ctx
        view = ctx.view
        types = view.catalog
        if types is not None and records.TYPES not in view.held:
            self._rewrite(records.TYPES, types)
        elif (old := view.held.get(records.CATALOG)) is not None:
            self._remove(records.CATALOG, old.record)
        if self.unmeasured is None:
            self.unmeasured = [k for k in view.held if k.startswith((records.JOBS, records.POOLS))]
        looks, self.unmeasured = self.unmeasured[:LOOKS], self.unmeasured[LOOKS:]
        for key in looks:
            held = view.held.get(key)
            if held is None or not isinstance(held.record, JobRecord | PoolRecord):
                continue
            value = codec.dump(held.record, view.level)
            if key not in view.spread and codec.size(value) > ctx.queue.limits.value:
                self._rewrite(key, None)

    def _rewrite(self, key: str, first: Struct | None) -> None:
        """Write a record as it is; how it is laid out is the queue's business."""

        def change(current: Struct | None) -> Result:
            if current is None and first is None:
                raise NotApplicableError("gone")
            return current or first  # type: ignore[return-value]

        edit = Edit(key, change, rank=LATER, fence=self.ctx.view.token, tag="rewrite")
        self.ctx.queue.propose(edit)
