"""Rolling upgrade: which controller has which version, and the switch to new record formats.

Every process of this version writes a version record: the level of the formats that it can
read, and its lease id. The record's key has the member's name and no lease, so a controller
that is down keeps the version that it had last. A controller that returned with an older
version is recognized by a member key with another lease id.

Formats that older versions cannot read are written only from the switch on, which is a level
record that is never taken back. The leader writes it once every configured controller has
this version. A controller that has shown no version, or an older one, may return with it, so
the leader waits for it, but not for ever. After the switch a process of an older version can
do no harm: it cannot read the roster nor, when it starts, the machine types, so it is not
leader, owns no machines and is not healthy.
"""

import logging

from msgspec import Struct

from coursefold.coordination.context import Context
from coursefold.storage import codec, records
from coursefold.storage.edits import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    DeleteKey,
    Edit,
    EditResult,
    NotApplicableError,
)
from coursefold.storage.records import FormatLevel, JobRecord, MemberVersion, PoolRecord

log = logging.getLogger(__name__)

# The switch does not wait for a controller that has been down for longer. Restarts take
# seconds; whoever repairs a machine for longer can be asked to upgrade it too.
MAX_ABSENCE_S = 300.0
# If a version record's lease id differs from the member's for longer, the process is older.
MAX_STALE_VERSION_S = 5.0
CHECK_INTERVAL_S = 1.0
RECORDS_PER_CHECK = 40  # records whose size is checked in one round


class Upgrade:
    """Publishes this process's version, and makes the switch while this controller leads.

    Attributes:
        controller_names: All configured controllers.
        absent_since: By controller that is down, since when.
        stale_since: By member whose version record has another lease id, since when.
        unchecked_keys: After the switch, keys of records whose size is still to be checked;
            None while this controller does not lead.
        required_level: The lowest format level that the enabled subsystems need.
    """

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        self.controller_names = [ctx.settings.member, *(s.member for s in ctx.settings.siblings)]
        self.absent_since: dict[str, float] = {}
        self.stale_since: dict[str, float] = {}
        self.last_check_at = -1e9
        self.last_reported: list[str] | None = None
        self.unchecked_keys: list[str] | None = None
        self.required_level = records.BASE_LEVEL

    @property
    def target_level(self) -> int:
        """The format level that this process writes once every controller can read it.

        The formats of a subsystem are used only from when every controller has its
        configuration file. From then on they are read and kept without that file, too.
        """
        return max(self.required_level, min(self.ctx.view.format_level, records.NEWEST_LEVEL))

    def require_level(self, level: int) -> None:
        """Require a format level for an enabled subsystem; to be called before the first tick."""
        self.required_level = max(self.required_level, level)

    def announce_version(self) -> None:
        """Write this process's version record, in the transaction in which it joins."""
        ctx = self.ctx
        own_version = MemberVersion(self.target_level, ctx.lease_id)
        if not ctx.lease_id or ctx.view.member_versions.get(ctx.own_name) == own_version:
            return

        def change(current: Struct | None) -> EditResult:
            if current == own_version or own_version.lease_id != ctx.lease_id:
                raise NotApplicableError("known")
            return own_version

        key = records.version_key(ctx.own_name)
        ctx.queue.propose(Edit(key, change, priority=HIGH_PRIORITY, tag=f"version{ctx.lease_id}"))

    def has_current_version(self, member: str) -> bool:
        """Return whether the member's live process can read the formats in use.

        Before the switch every process can.
        """
        ctx = self.ctx
        if not ctx.view.format_level:
            return True
        return self._shown_level(member) >= ctx.view.format_level

    def _shown_level(self, member: str) -> int:
        """Return the format level of a live member's process, 0 for one of an older version."""
        live = self.ctx.view.members.get(member)
        known = self.ctx.view.member_versions.get(member)
        return known.level if live and known and known.lease_id == live.lease_id else 0

    def controllers_without_version(self) -> list[str]:
        """Return the configured controllers that are not known to have this version."""
        view = self.ctx.view
        return [
            name
            for name in self.controller_names
            if (
                self._shown_level(name) < self.target_level
                if name in view.members
                else name not in view.member_versions
            )
        ]

    def tick(self) -> None:
        """Publish the own version, check the others' versions, and switch while leading."""
        ctx = self.ctx
        if not ctx.view.is_loaded or not ctx.lease_id or ctx.now >= ctx.lease_until:
            return
        self.announce_version()
        if ctx.now - self.last_check_at < CHECK_INTERVAL_S:
            return
        self.last_check_at = ctx.now
        self._update_absences()
        if not ctx.is_leading():
            self.unchecked_keys = None
            return
        self._remove_stale_versions()
        if ctx.view.format_level < self.target_level:
            self._commit_level()
        else:
            self._migrate_records()

    def _update_absences(self) -> None:
        """Update since when controllers are down, and log a change of those without this version.

        Nobody counts as down while the view of the state service is more than 2 s old.
        """
        ctx = self.ctx
        for name in self.controller_names:
            if name in ctx.view.members or ctx.now - ctx.watch_ok_at > 2.0:
                self.absent_since.pop(name, None)
            else:
                self.absent_since.setdefault(name, ctx.now)
        without_version = self.controllers_without_version()
        if without_version != self.last_reported and ctx.view.format_level < self.target_level:
            self.last_reported = without_version
            log.info("controllers without this version: %s", ", ".join(without_version) or "none")

    def _remove_stale_versions(self) -> None:
        """Remove version records of controllers that returned with an older version."""
        ctx = self.ctx
        for name, known in list(ctx.view.member_versions.items()):
            live = ctx.view.members.get(name)
            if live is None or live.lease_id == known.lease_id:
                self.stale_since.pop(name, None)
            elif ctx.now - self.stale_since.setdefault(name, ctx.now) > MAX_STALE_VERSION_S:
                self._remove(records.version_key(name), known)
                log.error("controller %s has returned with an older version", name)

    def _remove(self, key: str, known: Struct) -> None:
        def change(current: Struct | None) -> EditResult:
            if current != known:
                raise NotApplicableError("changed")
            return DeleteKey()

        self.ctx.queue.propose(
            Edit(key, change, fencing_token=self.ctx.view.fencing_token, tag="remove")
        )

    def _commit_level(self) -> None:
        ctx = self.ctx
        without_version = self.controllers_without_version()
        level = self.target_level
        if any(
            ctx.now - self.absent_since.get(name, ctx.now) < MAX_ABSENCE_S
            for name in without_version
        ):
            return

        def change(current: Struct | None) -> EditResult:
            if isinstance(current, FormatLevel) and current.level >= level:
                raise NotApplicableError("switched")
            return FormatLevel(level, without_version)

        edit = Edit(
            records.FORMAT_LEVEL_KEY,
            change,
            priority=HIGH_PRIORITY,
            fencing_token=ctx.view.fencing_token,
            tag="switch",
        )
        if ctx.queue.propose(edit):
            given_up_note = f" (given up: {', '.join(without_version)})" if without_version else ""
            log.info(
                "every controller has this version%s: switching to record formats of level %d",
                given_up_note,
                level,
            )

    def _migrate_records(self) -> None:
        """Rewrite stored records in the new formats, a few in each round."""
        ctx = self.ctx
        view = ctx.view
        machine_types = view.catalog
        if machine_types is not None and records.MACHINE_TYPES_KEY not in view.records_by_key:
            self._rewrite(records.MACHINE_TYPES_KEY, machine_types)
        elif (old := view.records_by_key.get(records.CATALOG_KEY)) is not None:
            self._remove(records.CATALOG_KEY, old.record)
        if self.unchecked_keys is None:
            self.unchecked_keys = [
                k
                for k in view.records_by_key
                if k.startswith((records.JOB_PREFIX, records.POOL_PREFIX))
            ]
        checked_keys, self.unchecked_keys = (
            self.unchecked_keys[:RECORDS_PER_CHECK],
            self.unchecked_keys[RECORDS_PER_CHECK:],
        )
        for key in checked_keys:
            stored = view.records_by_key.get(key)
            if stored is None or not isinstance(stored.record, JobRecord | PoolRecord):
                continue
            value = codec.encode_record(stored.record, view.format_level)
            if (
                key not in view.part_counts
                and codec.json_size_bytes(value) > ctx.queue.limits.value_bytes
            ):
                self._rewrite(key, None)

    def _rewrite(self, key: str, if_absent: Struct | None) -> None:
        """Write a record with unchanged content; the commit queue chooses the format.

        Args:
            key: The record's key.
            if_absent: What to write if there is no record; None to leave it absent.
        """

        def change(current: Struct | None) -> EditResult:
            if current is None and if_absent is None:
                raise NotApplicableError("gone")
            return current or if_absent  # type: ignore[return-value]

        edit = Edit(
            key,
            change,
            priority=LOW_PRIORITY,
            fencing_token=self.ctx.view.fencing_token,
            tag="rewrite",
        )
        self.ctx.queue.propose(edit)
