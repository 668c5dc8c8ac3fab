"""What this node knows of the state service: a copy of the live keys, fed in order.

A key's Stamp decides which of two values is the newer one: answers to our own
commits and the news of `/follow` arrive in any order.
"""

import logging
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from coursefold.protocol.ids import JobId, KeyVersion
from coursefold.protocol.wire import PRIORITY_ORDER, Catalog, Job
from coursefold.storage import codec, record_parts, records
from coursefold.storage.cell_records import CellLink
from coursefold.storage.prerequisites import PrerequisiteIndex
from coursefold.storage.records import (
    Ending,
    FormatLevel,
    JobRecord,
    MemberRecord,
    MemberVersion,
    PoolRecord,
    Roster,
    TaskEntry,
)
from coursefold.storage.share_records import MachineOwnership, MoveStage, ShareRequest

log = logging.getLogger(__name__)

MAX_ENDINGS = 20_000  # final states kept in memory; older ones are read when asked for
MAX_REMOVALS = 20_000  # remembered; twice as many changes as the state service keeps itself


class VersionedRecord(NamedTuple):
    """A record and the revision of its last change."""

    record: Struct
    version: KeyVersion


class MachineLoad:
    """What the entries on one machine take together."""

    __slots__ = (
        "cpus",
        "gpus",
        "images_gb",
        "lowest_priority",
        "memory_gb",
        "replica_usage",
        "specs",
    )

    def __init__(self, specs: list[Job]) -> None:
        self.specs = specs
        self.cpus = sum(s.cpus for s in specs)
        self.gpus = sum(s.gpus for s in specs)
        self.memory_gb = sum(s.memory_gb for s in specs)
        self.images_gb = {s.image: s.image_gb for s in specs}
        self.lowest_priority = max((PRIORITY_ORDER[s.priority] for s in specs), default=-1)
        # Replicas end only when their user says so.
        lasting = [s for s in specs if s.kind == "standing"]
        self.replica_usage = (
            sum(s.cpus for s in lasting),
            sum(s.gpus for s in lasting),
            sum(s.memory_gb for s in lasting),
        )


EMPTY_LOAD = MachineLoad([])


class View:
    """Records by key, with indices for jobs, members and pools."""

    def __init__(self) -> None:
        self.records_by_key: dict[str, VersionedRecord] = {}
        self.jobs: dict[JobId, JobRecord] = {}
        self.members: dict[str, MemberRecord] = {}
        self.pools: dict[str, PoolRecord] = {}
        self.removal_versions: dict[str, int] = {}
        self.endings: dict[JobId, Ending] = {}
        self.endings_to_archive: dict[JobId, None] = {}
        self.is_loaded = False
        self.revision = 0
        self.roster: Roster | None = None
        self.fencing_token = 0  # the roster's Stamp
        self.catalog: Catalog | None = None
        self.format_level = 0  # the forms that all controllers read
        self.ignored_members: list[str] = []  # but for these, if they come back
        self.member_versions: dict[str, MemberVersion] = {}
        self.cell_links: dict[str, CellLink] = {}  # by the other cell's name
        self.delegated_jobs: dict[JobId, JobRecord] = {}  # our jobs that other cells have
        self.guest_jobs: dict[JobId, JobRecord] = {}  # other cells' jobs here
        self.ownership: dict[str, MachineOwnership] = {}  # of machines that were moved
        self.ownership_changes: dict[str, None] = {}  # since the last look, in order
        self.moves_in_progress: dict[str, MachineOwnership] = {}
        self.share_requests: dict[str, ShareRequest] = {}
        self.prerequisites = PrerequisiteIndex()
        self.unreadable_keys: set[str] = set()
        # Records laid over several keys: how many parts each has, parts whose head has
        # not come yet, and heads whose parts have not.
        self.part_counts: dict[str, int] = {}
        self._pending_parts: dict[str, tuple[str, int]] = {}
        self._pending_heads: dict[str, tuple[Any, int]] = {}
        # Indices, kept up to date by the difference of each change: at hundreds of
        # machines, building them anew cost more than all decisions together.
        self.waiting_jobs: dict[JobId, JobRecord] = {}
        self.assigned_tasks: dict[str, dict[tuple[JobId, int], TaskEntry]] = {}
        self.team_usage: dict[str, list[float]] = {}
        self.cancelled_jobs: dict[JobId, None] = {}  # those that still have tasks
        self.changed_machines: dict[str, None] = {}  # machines, in order
        self._entries_by_machine: dict[str, dict[tuple[JobId, int], TaskEntry]] = {}
        self._loads: dict[str, MachineLoad] = {}
        self._entries: dict[tuple[JobId, int], TaskEntry] = {}

    def version_of(self, key: str) -> int:
        """The revision of a key's record; 0 if there is none."""
        held = self.records_by_key.get(key)
        return held.version if held else 0

    def apply_value(self, key: str, value: Any, stamp: int) -> bool:
        """Take a key's value; False if it was known or is overtaken."""
        if key.startswith(records.ENDING_PREFIX):
            return self._apply_ending(key, value)
        if key.startswith(records.PART_PREFIX):
            return self._apply_part(key, value, stamp)
        if stamp <= self.version_of(key) or stamp <= self.removal_versions.get(key, 0):
            return False
        count = 0
        try:
            head = record_parts.parse_head(value)
            if head is not None:
                texts = self._collect_texts(key, head, stamp)
                if texts is None:
                    self._pending_heads[key] = (value, stamp)
                    return False
                value, count = record_parts.join_parts(texts), head.parts
            record = codec.decode_record(key, value)
        except (msgspec.ValidationError, TypeError, ValueError) as wrong:
            log.error("record %s is not readable: %s", key, wrong)
            self.unreadable_keys.add(key)
            return False
        if record is None:
            return False
        if isinstance(record, MachineOwnership) and record.token >= stamp:
            log.error("record %s has a fencing token from the future", key)
            self.unreadable_keys.add(key)
            return False
        self.store_record(key, record, stamp, count)
        return True

    def _collect_texts(
        self, key: str, head: record_parts.SplitHead, stamp: int
    ) -> list[str] | None:
        """A packed record's texts, or None while a part of the same Stamp is missing."""
        texts = [head.text]
        keys = [record_parts.part_key(key, number) for number in range(1, head.parts + 1)]
        for part in keys:
            text, at = self._pending_parts.get(part, ("", 0))
            if at != stamp:
                return None
            texts.append(text)
        for part in keys:
            del self._pending_parts[part]
        return texts

    def _apply_part(self, part: str, value: Any, stamp: int) -> bool:
        key = record_parts.head_key(part)
        if stamp <= self.version_of(key) or stamp <= self.removal_versions.get(key, 0):
            return False  # its head is known already, from our own commit
        if not isinstance(value, str) or stamp < self._pending_parts.get(part, ("", 0))[1]:
            return False
        self._pending_parts[part] = (value, stamp)
        waiting = self._pending_heads.get(key)
        return waiting is not None and self.apply_value(key, *waiting)

    def has_missing_parts(self, key: str) -> bool:
        """True while a newer head of this record waits for its parts."""
        return key in self._pending_heads

    def _apply_ending(self, key: str, value: Any) -> bool:
        try:
            record = codec.decode_record(key, value)
        except (msgspec.ValidationError, TypeError) as wrong:
            log.error("record %s is not readable: %s", key, wrong)
            return False
        if isinstance(record, Ending):
            self.remember_ending(key, record)
        return True

    def remember_ending(self, key: str, ending: Ending) -> None:
        """Keep a job's final state, which never changes, in bounded memory."""
        name = JobId(key.rpartition("/")[2])
        self.endings.pop(name, None)
        self.endings[name] = ending
        while len(self.endings) > MAX_ENDINGS:
            del self.endings[next(iter(self.endings))]
        self._requeue(self.prerequisites.record_ending(name, ending.status, ending.ended_at))

    def _requeue(self, changed: list[JobId]) -> None:
        """Jobs that what they need has set free, or cancelled with it."""
        for name in changed:
            job = self.jobs.get(name)
            if job is not None:
                self._update_waiting(name, job)

    def _update_waiting(self, name: JobId, job: JobRecord) -> None:
        """Does the job have tasks to deal?"""
        live = job.status == records.LIVE and job.may_start and job.waiting_count > 0
        if live and not self.prerequisites.is_blocked(name):
            self.waiting_jobs[name] = job
        else:
            self.waiting_jobs.pop(name, None)

    def eligible_at(self, name: JobId, job: JobRecord) -> float:
        """The moment from which all but the deadline counts, written yet or not."""
        return job.ready_at or self.prerequisites.ready_at.get(name) or job.accepted_at

    def prerequisite_status(self, name: JobId) -> int | None:
        """What is known of a job as one that others need; None: not among what we hold."""
        if self.prerequisites.is_cancelled(name):
            return records.CANCELLED
        if (job := self.jobs.get(name)) is not None:
            return job.status if job.guest is None else None
        held = self.records_by_key.get(records.job_key(name))
        if held is not None and isinstance(held.record, Ending):
            return held.record.status
        known = self.endings.get(name)
        return known.status if known is not None else None

    def store_record(self, key: str, record: Struct, stamp: int, parts: int = 0) -> None:
        """Take a record that is known to be the newest, and how many parts it has."""
        self.records_by_key[key] = VersionedRecord(record, KeyVersion(stamp))
        self.unreadable_keys.discard(key)
        self._pending_heads.pop(key, None)
        if parts:
            self.part_counts[key] = parts
        else:
            self.part_counts.pop(key, None)
        if isinstance(record, JobRecord | Ending):
            self._store_job(key, record)
        elif isinstance(record, MachineOwnership):
            self._index_ownership(key.removeprefix(records.OWNERSHIP_PREFIX), record)
        elif isinstance(record, MemberRecord):
            self.members[record.name] = record
        elif isinstance(record, PoolRecord):
            self.pools[key.removeprefix(records.POOL_PREFIX)] = record
        elif isinstance(record, CellLink):
            self.cell_links[key.removeprefix(records.CELL_LINK_PREFIX)] = record
        elif isinstance(record, ShareRequest):
            self.share_requests[key.removeprefix(records.SHARE_REQUEST_PREFIX)] = record
        else:
            self._store_shared(key, record, stamp)

    def _store_job(self, key: str, record: JobRecord | Ending) -> None:
        name = JobId(key.removeprefix(records.JOB_PREFIX))
        before = self.jobs.get(name)
        if isinstance(record, JobRecord):
            self.jobs[name] = record
            self._update_indices(name, before, record)
            return
        self._update_indices(name, before, None)
        self.jobs.pop(name, None)
        self.endings_to_archive[name] = None
        self.remember_ending(key, record)

    def _store_shared(self, key: str, record: Struct, stamp: int) -> None:
        """What holds for all controllers: the roster, machine types, and who reads what."""
        if isinstance(record, Roster):
            self.roster, self.fencing_token = record, stamp
        elif isinstance(record, Catalog):
            if (
                key == records.MACHINE_TYPES_KEY
                or records.MACHINE_TYPES_KEY not in self.records_by_key
            ):
                self.catalog = record
        elif isinstance(record, FormatLevel):
            self.format_level = max(self.format_level, record.level)
            self.ignored_members = record.ignored_members
        elif isinstance(record, MemberVersion):
            self.member_versions[key.removeprefix(records.VERSION_PREFIX)] = record

    def _update_indices(
        self, name: JobId, before: JobRecord | None, after: JobRecord | None
    ) -> None:
        """Bring the indices from one state of a job to the next."""
        self._index_prerequisites(name, before, after)
        self._index_cells(name, after)
        self._index_status(name, after)
        self._index_entries(name, before, after)
        self._count_usage(before, after)

    def _index_prerequisites(
        self, name: JobId, before: JobRecord | None, after: JobRecord | None
    ) -> None:
        if after is not None and after.open_prerequisites and after.status == records.LIVE:
            if before is None or before.open_prerequisites != after.open_prerequisites:
                self._requeue(
                    self.prerequisites.add_job(
                        name,
                        after.open_prerequisites,
                        self._ended_prerequisites(after.open_prerequisites),
                    )
                )
        elif before is not None and before.open_prerequisites:
            self.prerequisites.remove_job(name)

    def _index_status(self, name: JobId, job: JobRecord | None) -> None:
        """Is the job cancelled, and has it tasks to deal?"""
        if job is None:
            self.cancelled_jobs.pop(name, None)
            self.waiting_jobs.pop(name, None)
            return
        if job.status == records.CANCELLED:
            self.cancelled_jobs[name] = None
        else:
            self.cancelled_jobs.pop(name, None)
        self._update_waiting(name, job)
        if job.status == records.CANCELLED:
            self._requeue(self.prerequisites.record_ending(name, records.CANCELLED, 0.0))

    def _index_entries(
        self, name: JobId, before: JobRecord | None, after: JobRecord | None
    ) -> None:
        """Which tasks have which places; machines of which anything changed are noted."""
        old = before.entries if before else []
        new = after.entries if after else []
        status_changed = before is not None and after is not None and before.status != after.status
        if old == new and not status_changed:
            return
        had = set(old)
        has = set(new)
        for entry in old:
            if entry not in has:
                self._remove_entry(name, entry)
        for entry in new:
            if entry not in had:
                self._add_entry(name, entry)
            elif status_changed:
                self.changed_machines[entry.machine] = None

    def _count_usage(self, before: JobRecord | None, after: JobRecord | None) -> None:
        """What the job takes of its team's limit."""
        known = after or before
        more = (after.quota_task_count if after else 0) - (before.quota_task_count if before else 0)
        if known is not None and more:
            used = self.team_usage.setdefault(known.spec.team, [0.0, 0.0])
            used[0] += known.spec.cpus * more
            used[1] += known.spec.gpus * more

    def _index_ownership(self, machine: str, record: MachineOwnership | None) -> None:
        """Who owns the machine, and is it to be handed over?"""
        self.ownership_changes[machine] = None
        self.moves_in_progress.pop(machine, None)
        if record is None:
            self.ownership.pop(machine, None)
            return
        self.ownership[machine] = record
        if record.stage == MoveStage.DRAINING:
            self.moves_in_progress[machine] = record

    def _index_cells(self, name: JobId, job: JobRecord | None) -> None:
        """Is the job away, or another cell's?"""
        if job is not None and job.is_delegated:
            self.delegated_jobs[name] = job
        else:
            self.delegated_jobs.pop(name, None)
        if job is not None and job.guest is not None:
            self.guest_jobs[name] = job
        else:
            self.guest_jobs.pop(name, None)

    def _ended_prerequisites(self, needs: list[str]) -> dict[JobId, tuple[int, float]]:
        """Of the jobs that one needs, those that are over, and when."""
        found: dict[JobId, tuple[int, float]] = {}
        for need in map(JobId, needs):
            fate = self.prerequisite_status(need)
            if fate:
                held = self.records_by_key.get(records.job_key(need))
                ending = held.record if held else self.endings.get(need)
                found[need] = (fate, ending.ended_at if isinstance(ending, Ending) else 0.0)
        return found

    def unresolved_prerequisites(self) -> list[JobId]:
        """Jobs that others need of which we hold nothing: they ended, and have moved."""
        return [
            need
            for need in self.prerequisites.open_dependents
            if self.prerequisite_status(need) is None
        ]

    def _add_entry(self, name: JobId, entry: TaskEntry) -> None:
        key = (name, entry.index)
        self._entries_by_machine.setdefault(entry.machine, {})[key] = entry
        self._entries[key] = entry
        self._mark_changed(entry.machine)
        if entry.stage == records.ASSIGNED:
            self.assigned_tasks.setdefault(entry.owner, {})[key] = entry

    def _mark_changed(self, machine: str) -> None:
        self.changed_machines[machine] = None
        self._loads.pop(machine, None)

    def _remove_entry(self, name: JobId, entry: TaskEntry) -> None:
        key = (name, entry.index)
        if self._entries.get(key) == entry:
            del self._entries[key]
        there = self._entries_by_machine.get(entry.machine, {})
        if there.get(key) == entry:
            del there[key]
            if not there:
                del self._entries_by_machine[entry.machine]
        self._mark_changed(entry.machine)
        if entry.stage == records.ASSIGNED:
            dealt = self.assigned_tasks.get(entry.owner, {})
            if dealt.get(key) == entry:
                del dealt[key]

    def apply_removal(self, key: str, stamp: int) -> bool:
        """Take a removal; False if it is overtaken."""
        if key.startswith(records.PART_PREFIX):
            if stamp >= self._pending_parts.get(key, ("", stamp + 1))[1]:
                del self._pending_parts[key]
            return False
        if stamp < self.version_of(key):
            return False
        self.unreadable_keys.discard(key)
        self.part_counts.pop(key, None)
        if key in self._pending_heads and self._pending_heads[key][1] <= stamp:
            del self._pending_heads[key]
        if key.startswith((records.JOB_PREFIX, records.MEMBER_PREFIX, records.OWNERSHIP_PREFIX)):
            self._remember_removal(key, stamp)
        known = self.records_by_key.pop(key, None)
        self.endings_to_archive.pop(JobId(key.removeprefix(records.JOB_PREFIX)), None)
        if known is None:
            return False
        self._unindex_record(key, known.record)
        return True

    def _remember_removal(self, key: str, stamp: int) -> None:
        """A removal seen before an older write of the same key must win over it."""
        self.removal_versions[key] = max(stamp, self.removal_versions.get(key, 0))
        if len(self.removal_versions) > MAX_REMOVALS:
            for old in sorted(self.removal_versions, key=self.removal_versions.__getitem__)[
                : MAX_REMOVALS // 2
            ]:
                del self.removal_versions[old]

    def _unindex_record(self, key: str, record: Struct) -> None:
        """Take a removed record out of the indices."""
        if isinstance(record, JobRecord):
            name = JobId(key.removeprefix(records.JOB_PREFIX))
            self.jobs.pop(name, None)
            self._update_indices(name, record, None)
        elif isinstance(record, MemberRecord):
            self.members.pop(record.name, None)
        elif isinstance(record, PoolRecord):
            self.pools.pop(key.removeprefix(records.POOL_PREFIX), None)
        elif isinstance(record, MemberVersion):
            self.member_versions.pop(key.removeprefix(records.VERSION_PREFIX), None)
        elif isinstance(record, CellLink):
            self.cell_links.pop(key.removeprefix(records.CELL_LINK_PREFIX), None)
        elif isinstance(record, MachineOwnership):
            self._index_ownership(key.removeprefix(records.OWNERSHIP_PREFIX), None)
        elif isinstance(record, ShareRequest):
            self.share_requests.pop(key.removeprefix(records.SHARE_REQUEST_PREFIX), None)

    def entries_on(self, machine: str) -> list[tuple[JobId, TaskEntry]]:
        """Entries whose place (or, while dealt, hint) is this machine."""
        there = self._entries_by_machine.get(machine)
        return [(name, entry) for (name, _), entry in there.items()] if there else []

    def has_entries_on(self, machine: str) -> bool:
        """True if any entry names the machine."""
        return machine in self._entries_by_machine

    def last_change_version(self, key: str) -> int:
        """The revision of the last change, removals included, that we know of."""
        return max(self.version_of(key), self.removal_versions.get(key, 0))

    def load_of(self, machine: str) -> MachineLoad:
        """What is taken on a machine, counted again only after a change."""
        found = self._loads.get(machine)
        if found is None:
            there = self._entries_by_machine.get(machine)
            if not there:
                return EMPTY_LOAD
            found = self._loads[machine] = MachineLoad([self.jobs[name].spec for name, _ in there])
        return found

    def find_entry(self, name: JobId, index: int) -> TaskEntry | None:
        """A task's entry."""
        return self._entries.get((name, index))

    def occupied_machines(self) -> list[str]:
        """Machines with entries."""
        return list(self._entries_by_machine)

    def reload(self, rows: list[tuple[str, Any, int]], ledger: int) -> None:
        """Replace everything with a full listing that is at least as new as `ledger`."""
        present = {key for key, _, _ in rows}
        self._pending_parts.clear()
        self._pending_heads.clear()
        self.unreadable_keys &= present
        for key in [k for k in self.records_by_key if k not in present]:
            if self.version_of(key) <= ledger:
                self.apply_removal(key, ledger)
        for key, value, stamp in rows:
            self.apply_value(key, value, stamp)
        self.revision = ledger
        self.is_loaded = True
