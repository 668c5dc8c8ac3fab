"""A controller's local copy of the live keys of the state service.

Responses to the controller's own commits and the updates from `/follow` arrive in any order.
The version of a key (`Stamp`, the revision of its last change) decides which of two values is
the newer one.
"""

import logging
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from coursefold.protocol.ids import JobId, KeyVersion
from coursefold.protocol.wire import Catalog
from coursefold.storage import codec, record_parts, records
from coursefold.storage.cell_records import CellLink
from coursefold.storage.machine_load import EMPTY_LOAD, MachineLoad
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
from coursefold.storage.removals import RemovalVersions
from coursefold.storage.share_records import MachineOwnership, MoveStage, ShareRequest

log = logging.getLogger(__name__)

MAX_ENDINGS = 20_000  # final states kept in memory; older ones are read on request


class VersionedRecord(NamedTuple):
    """A record and the version of its key."""

    record: Struct
    version: KeyVersion


class View:
    """Records by key, with indices for jobs, members, pools, cells and machine ownership.

    Dictionaries with None as value serve as ordered sets.

    Attributes:
        records_by_key: All live records.
        jobs: Live jobs, and cancelled ones that still have tasks.
        members: Live controllers by name.
        pools: Pools by the last part of their key.
        removals: When keys were removed.
        endings: Final states of ended jobs, the most recent ones.
        endings_to_archive: Ended jobs whose final record still has its live key.
        is_loaded: Whether a full listing has been read.
        revision: The revision up to which all changes have been applied.
        roster: The membership record.
        fencing_token: The version of the roster.
        catalog: The machine types.
        format_level: The record formats that all controllers can read; 0 before the first switch.
        ignored_members: Controllers that had been down for so long that the format level was
            raised without them; they may come back with a version that reads older formats.
        member_versions: What each controller's process can read and write.
        cell_links: Grants to and from other cells, by the cell's name.
        delegated_jobs: Jobs of this cell that were handed to other cells.
        guest_jobs: Jobs of other cells that were handed to this one.
        ownership: The owners of machines that were moved, by machine.
        ownership_changes: Machines whose ownership record changed and has not been processed.
        moves_in_progress: Ownership records of machines that are being drained for a move.
        share_requests: Operators' requests to move machines.
        prerequisites: Which jobs wait for which others.
        unreadable_keys: Keys whose records could not be read.
        part_counts: Per record that is split over several keys, the number of its parts.
        waiting_jobs: Jobs with tasks that can be assigned.
        assigned_tasks: Per owner, the tasks that are assigned to it and not placed yet.
        team_usage: Per team, the CPUs and accelerators that count against its limit.
        cancelled_jobs: Cancelled jobs that still have tasks.
        changed_machines: Machines whose entries changed and have not been processed.
    """

    def __init__(self) -> None:
        self.records_by_key: dict[str, VersionedRecord] = {}
        self.jobs: dict[JobId, JobRecord] = {}
        self.members: dict[str, MemberRecord] = {}
        self.pools: dict[str, PoolRecord] = {}
        self.removals = RemovalVersions()
        self.endings: dict[JobId, Ending] = {}
        self.endings_to_archive: dict[JobId, None] = {}
        self.is_loaded = False
        self.revision = 0
        self.roster: Roster | None = None
        self.fencing_token = 0
        self.catalog: Catalog | None = None
        self.format_level = 0
        self.ignored_members: list[str] = []
        self.member_versions: dict[str, MemberVersion] = {}
        self.cell_links: dict[str, CellLink] = {}
        self.delegated_jobs: dict[JobId, JobRecord] = {}
        self.guest_jobs: dict[JobId, JobRecord] = {}
        self.ownership: dict[str, MachineOwnership] = {}
        self.ownership_changes: dict[str, None] = {}
        self.moves_in_progress: dict[str, MachineOwnership] = {}
        self.share_requests: dict[str, ShareRequest] = {}
        self.prerequisites = PrerequisiteIndex()
        self.unreadable_keys: set[str] = set()
        self.part_counts: dict[str, int] = {}
        # Split records that are incomplete: parts whose head has not arrived, and heads with
        # parts that have not arrived, each with its version.
        self._pending_parts: dict[str, tuple[str, int]] = {}
        self._pending_heads: dict[str, tuple[Any, int]] = {}
        # Indices are updated by the difference that each change makes: rebuilding them at
        # hundreds of machines cost more than all scheduling decisions together.
        self.waiting_jobs: dict[JobId, JobRecord] = {}
        self.assigned_tasks: dict[str, dict[tuple[JobId, int], TaskEntry]] = {}
        self.team_usage: dict[str, list[float]] = {}
        self.cancelled_jobs: dict[JobId, None] = {}
        self.changed_machines: dict[str, None] = {}
        self._entries_by_machine: dict[str, dict[tuple[JobId, int], TaskEntry]] = {}
        self._loads: dict[str, MachineLoad] = {}
        self._entries: dict[tuple[JobId, int], TaskEntry] = {}

    def version_of(self, key: str) -> int:
        """Return the version of a key's record; 0 if there is none."""
        known = self.records_by_key.get(key)
        return known.version if known else 0

    def is_newer(self, key: str, version: int) -> bool:
        """Return whether a value of this version is newer than what is known of its key."""
        known = self.records_by_key.get(key)
        if known is not None:
            return version > known.version
        # All changes up to `revision` have been applied, so a key without a record had none then.
        return version > max(self.revision, self.removals.version_of(key))

    def apply_value(self, key: str, value: Any, version: int) -> bool:
        """Apply a key's value as it was read from the state service.

        Returns:
            Whether the view changed. False also if the same or a newer value is known, if a
            part of a split record is missing, and if the record is unreadable.
        """
        if key.startswith(records.ENDING_PREFIX):
            return self._apply_ending(key, value)
        if key.startswith(records.PART_PREFIX):
            return self._apply_part(key, value, version)
        if not self.is_newer(key, version):
            return False
        part_count = 0
        try:
            head = record_parts.parse_head(value)
            if head is not None:
                texts = self._collect_texts(key, head, version)
                if texts is None:
                    self._pending_heads[key] = (value, version)
                    return False
                value, part_count = record_parts.join_parts(texts), head.parts
            record = codec.decode_record(key, value)
        except (msgspec.ValidationError, TypeError, ValueError) as error:
            log.error("record %s is unreadable: %s", key, error)
            self.unreadable_keys.add(key)
            return False
        if record is None:
            return False
        if isinstance(record, MachineOwnership) and record.token >= version:
            log.error("record %s has a fencing token newer than the record itself", key)
            self.unreadable_keys.add(key)
            return False
        self.store_record(key, record, version, part_count)
        return True

    def _collect_texts(
        self, key: str, head: record_parts.SplitHead, version: int
    ) -> list[str] | None:
        """Return a split record's texts, or None while a part of the same version is missing."""
        texts = [head.text]
        keys = [record_parts.part_key(key, number) for number in range(1, head.parts + 1)]
        for part in keys:
            text, part_version = self._pending_parts.get(part, ("", 0))
            if part_version != version:
                return None
            texts.append(text)
        for part in keys:
            del self._pending_parts[part]
        return texts

    def _apply_part(self, part: str, value: Any, version: int) -> bool:
        key = record_parts.head_key(part)
        if not self.is_newer(key, version):
            return False  # the head is known already, from this controller's own commit
        if not isinstance(value, str) or version < self._pending_parts.get(part, ("", 0))[1]:
            return False
        self._pending_parts[part] = (value, version)
        head = self._pending_heads.get(key)
        return head is not None and self.apply_value(key, *head)

    def has_missing_parts(self, key: str) -> bool:
        """Return whether a newer head of this record waits for its parts."""
        return key in self._pending_heads

    def _apply_ending(self, key: str, value: Any) -> bool:
        try:
            record = codec.decode_record(key, value)
        except (msgspec.ValidationError, TypeError) as error:
            log.error("record %s is unreadable: %s", key, error)
            return False
        if isinstance(record, Ending):
            self.remember_ending(key, record)
        return True

    def remember_ending(self, key: str, ending: Ending) -> None:
        """Keep a job's final state, which never changes; the oldest ones are forgotten."""
        name = JobId(key.rpartition("/")[2])
        self.endings.pop(name, None)
        self.endings[name] = ending
        while len(self.endings) > MAX_ENDINGS:
            del self.endings[next(iter(self.endings))]
        self._requeue(self.prerequisites.record_ending(name, ending.status, ending.ended_at))

    def _requeue(self, job_ids: list[JobId]) -> None:
        """Update jobs that a prerequisite's ending has unblocked or cancelled."""
        for name in job_ids:
            job = self.jobs.get(name)
            if job is not None:
                self._update_waiting(name, job)

    def _update_waiting(self, name: JobId, job: JobRecord) -> None:
        """Add the job to the waiting jobs if it has tasks to assign, else remove it."""
        has_tasks = job.status == records.LIVE and job.may_start and job.waiting_count > 0
        if has_tasks and not self.prerequisites.is_blocked(name):
            self.waiting_jobs[name] = job
        else:
            self.waiting_jobs.pop(name, None)

    def eligible_at(self, name: JobId, job: JobRecord) -> float:
        """Return the wall-clock time from which waiting is counted, in seconds.

        That is the time at which the last prerequisite was done, or the job was accepted.
        Deadlines count from the acceptance. The time need not be in the job's record yet.
        """
        return job.ready_at or self.prerequisites.ready_at.get(name) or job.accepted_at

    def prerequisite_status(self, name: JobId) -> int | None:
        """Return the status of a job that others name as a prerequisite.

        A job that is to be cancelled with a prerequisite of its own counts as cancelled. None
        if the job is not known here, and for jobs of other cells.
        """
        if self.prerequisites.is_cancelled(name):
            return records.CANCELLED
        if (job := self.jobs.get(name)) is not None:
            return job.status if job.guest is None else None
        known = self.records_by_key.get(records.job_key(name))
        if known is not None and isinstance(known.record, Ending):
            return known.record.status
        ending = self.endings.get(name)
        return ending.status if ending is not None else None

    def store_record(self, key: str, record: Struct, version: int, part_count: int = 0) -> None:
        """Store a record that is known to be the newest, and the number of its parts."""
        self.records_by_key[key] = VersionedRecord(record, KeyVersion(version))
        self.unreadable_keys.discard(key)
        self._pending_heads.pop(key, None)
        if part_count:
            self.part_counts[key] = part_count
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
            self._store_shared(key, record, version)

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

    def _store_shared(self, key: str, record: Struct, version: int) -> None:
        """Store the records shared by all controllers: roster, machine types and versions."""
        if isinstance(record, Roster):
            self.roster, self.fencing_token = record, version
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
        """Update all indices from one state of a job to the next."""
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
        """Update the indices of cancelled jobs and of jobs with tasks to assign."""
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
        """Update the entries by machine and note the machines of which any entry changed."""
        old_entries = before.entries if before else []
        new_entries = after.entries if after else []
        status_changed = before is not None and after is not None and before.status != after.status
        if old_entries == new_entries and not status_changed:
            return
        old_set = set(old_entries)
        new_set = set(new_entries)
        for entry in old_entries:
            if entry not in new_set:
                self._remove_entry(name, entry)
        for entry in new_entries:
            if entry not in old_set:
                self._add_entry(name, entry)
            elif status_changed:
                self.changed_machines[entry.machine] = None

    def _count_usage(self, before: JobRecord | None, after: JobRecord | None) -> None:
        """Update what the job takes of its team's limit."""
        job = after or before
        added_tasks = (after.quota_task_count if after else 0) - (
            before.quota_task_count if before else 0
        )
        if job is not None and added_tasks:
            usage = self.team_usage.setdefault(job.spec.team, [0.0, 0.0])
            usage[0] += job.spec.cpus * added_tasks
            usage[1] += job.spec.gpus * added_tasks

    def _index_ownership(self, machine: str, record: MachineOwnership | None) -> None:
        """Update who owns the machine and whether it is being moved to another owner."""
        self.ownership_changes[machine] = None
        self.moves_in_progress.pop(machine, None)
        if record is None:
            self.ownership.pop(machine, None)
            return
        self.ownership[machine] = record
        if record.stage == MoveStage.DRAINING:
            self.moves_in_progress[machine] = record

    def _index_cells(self, name: JobId, job: JobRecord | None) -> None:
        """Update the indices of jobs that other cells run and of other cells' jobs."""
        if job is not None and job.is_delegated:
            self.delegated_jobs[name] = job
        else:
            self.delegated_jobs.pop(name, None)
        if job is not None and job.guest is not None:
            self.guest_jobs[name] = job
        else:
            self.guest_jobs.pop(name, None)

    def _ended_prerequisites(self, prerequisites: list[str]) -> dict[JobId, tuple[int, float]]:
        """Return the status and time of ending of those prerequisites that have ended."""
        ended: dict[JobId, tuple[int, float]] = {}
        for prerequisite in map(JobId, prerequisites):
            status = self.prerequisite_status(prerequisite)
            if status:
                known = self.records_by_key.get(records.job_key(prerequisite))
                ending = known.record if known else self.endings.get(prerequisite)
                ended[prerequisite] = (
                    status,
                    ending.ended_at if isinstance(ending, Ending) else 0.0,
                )
        return ended

    def unresolved_prerequisites(self) -> list[JobId]:
        """Return open prerequisites that are not known here: they ended and were archived."""
        return [
            prerequisite
            for prerequisite in self.prerequisites.open_dependents
            if self.prerequisite_status(prerequisite) is None
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
        on_machine = self._entries_by_machine.get(entry.machine, {})
        if on_machine.get(key) == entry:
            del on_machine[key]
            if not on_machine:
                del self._entries_by_machine[entry.machine]
        self._mark_changed(entry.machine)
        if entry.stage == records.ASSIGNED:
            assigned = self.assigned_tasks.get(entry.owner, {})
            if assigned.get(key) == entry:
                del assigned[key]

    def apply_removal(self, key: str, version: int) -> bool:
        """Apply a key's removal at the revision `version`, or its absence at that revision.

        A record with a later version was created after that, so it stays.

        Returns:
            Whether the view changed. False if a newer value is known, if there was no record,
            and for a part of a split record.
        """
        if key.startswith(records.PART_PREFIX):
            if version >= self._pending_parts.get(key, ("", version + 1))[1]:
                del self._pending_parts[key]
            return False
        if version < self.version_of(key):
            return False
        self.unreadable_keys.discard(key)
        self.part_counts.pop(key, None)
        if key in self._pending_heads and self._pending_heads[key][1] <= version:
            del self._pending_heads[key]
        self.removals.remember(key, version)
        known = self.records_by_key.pop(key, None)
        self.endings_to_archive.pop(JobId(key.removeprefix(records.JOB_PREFIX)), None)
        if known is None:
            return False
        self._unindex_record(key, known.record)
        return True

    def _unindex_record(self, key: str, record: Struct) -> None:
        """Remove a record from the indices."""
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
        """Return the entries placed on this machine, or assigned with it as a hint."""
        entries = self._entries_by_machine.get(machine)
        return [(name, entry) for (name, _), entry in entries.items()] if entries else []

    def has_entries_on(self, machine: str) -> bool:
        """Return whether any entry names the machine."""
        return machine in self._entries_by_machine

    def last_change_version(self, key: str) -> int:
        """Return the revision of the key's last known change, removals included."""
        return max(self.version_of(key), self.removals.version_of(key))

    def load_of(self, machine: str) -> MachineLoad:
        """Return the load of a machine; it is computed again only after a change."""
        load = self._loads.get(machine)
        if load is None:
            entries = self._entries_by_machine.get(machine)
            if not entries:
                return EMPTY_LOAD
            load = self._loads[machine] = MachineLoad([self.jobs[name].spec for name, _ in entries])
        return load

    def find_entry(self, name: JobId, index: int) -> TaskEntry | None:
        """Return a task's entry, or None if it is not assigned."""
        return self._entries.get((name, index))

    def occupied_machines(self) -> list[str]:
        """Return the machines that have entries."""
        return list(self._entries_by_machine)

    def reload(self, rows: list[tuple[str, Any, int]], revision: int) -> None:
        """Replace everything with a full listing that is at least as new as `revision`.

        Each row is a key, its value and its version.
        """
        listed_keys = {key for key, _, _ in rows}
        self._pending_parts.clear()
        self._pending_heads.clear()
        self.unreadable_keys &= listed_keys
        for key in [key for key in self.records_by_key if key not in listed_keys]:
            if self.version_of(key) <= revision:
                self.apply_removal(key, revision)
        for key, value, version in rows:
            self.apply_value(key, value, version)
        # Changes that were read while the load was under way may be newer.
        self.revision = max(self.revision, revision)
        self.is_loaded = True
