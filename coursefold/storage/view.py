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
from coursefold.storage import codec, records, spreading
from coursefold.storage.cell_records import CellLink
from coursefold.storage.needs import Needs
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

ENDINGS = 20_000  # final states kept in memory; older ones are read when asked for
REMOVALS = 20_000  # remembered; twice as many changes as the state service keeps itself


class Held(NamedTuple):
    """A record and the revision of its last change."""

    record: Struct
    stamp: KeyVersion


class Load:
    """What the entries on one machine take together."""

    __slots__ = ("cpus", "gpus", "images", "lasting", "lowest", "memory", "specs")

    def __init__(self, specs: list[Job]) -> None:
        self.specs = specs
        self.cpus = sum(s.cpus for s in specs)
        self.gpus = sum(s.gpus for s in specs)
        self.memory = sum(s.memory_gb for s in specs)
        self.images = {s.image: s.image_gb for s in specs}
        self.lowest = max((PRIORITY_ORDER[s.priority] for s in specs), default=-1)
        # Replicas end only when their user says so.
        lasting = [s for s in specs if s.kind == "standing"]
        self.lasting = (
            sum(s.cpus for s in lasting),
            sum(s.gpus for s in lasting),
            sum(s.memory_gb for s in lasting),
        )


EMPTY = Load([])


class View:
    """Records by key, with indices for jobs, members and pools."""

    def __init__(self) -> None:
        self.held: dict[str, Held] = {}
        self.jobs: dict[JobId, JobRecord] = {}
        self.members: dict[str, MemberRecord] = {}
        self.pools: dict[str, PoolRecord] = {}
        self.gone: dict[str, int] = {}
        self.endings: dict[JobId, Ending] = {}
        self.unswept: dict[JobId, None] = {}
        self.loaded = False
        self.ledger = 0
        self.roster: Roster | None = None
        self.token = 0  # the roster's Stamp
        self.catalog: Catalog | None = None
        self.level = 0  # the forms that all controllers read
        self.given_up: list[str] = []  # but for these, if they come back
        self.versions: dict[str, MemberVersion] = {}
        self.links: dict[str, CellLink] = {}  # by the other cell's name
        self.away: dict[JobId, JobRecord] = {}  # our jobs that other cells have
        self.guests: dict[JobId, JobRecord] = {}  # other cells' jobs here
        self.ownership: dict[str, MachineOwnership] = {}  # of machines that were moved
        self.ownership_changed: dict[str, None] = {}  # since the last look, in order
        self.moves_under_way: dict[str, MachineOwnership] = {}
        self.share_requests: dict[str, ShareRequest] = {}
        self.needs = Needs()
        self.unreadable: set[str] = set()
        # Records laid over several keys: how many parts each has, parts whose head has
        # not come yet, and heads whose parts have not.
        self.spread: dict[str, int] = {}
        self._parts: dict[str, tuple[str, int]] = {}
        self._heads: dict[str, tuple[Any, int]] = {}
        # Indices, kept up to date by the difference of each change: at hundreds of
        # machines, building them anew cost more than all decisions together.
        self.waiting: dict[JobId, JobRecord] = {}
        self.dealt: dict[str, dict[tuple[JobId, int], TaskEntry]] = {}
        self.usage: dict[str, list[float]] = {}
        self.cancelled: dict[JobId, None] = {}  # those that still have tasks
        self.moved: dict[str, None] = {}  # machines, in order
        self._places: dict[str, dict[tuple[JobId, int], TaskEntry]] = {}
        self._loads: dict[str, Load] = {}
        self._entries: dict[tuple[JobId, int], TaskEntry] = {}

    def stamp(self, key: str) -> int:
        """The revision of a key's record; 0 if there is none."""
        held = self.held.get(key)
        return held.stamp if held else 0

    def put(self, key: str, value: Any, stamp: int) -> bool:
        """Take a key's value; False if it was known or is overtaken."""
        if key.startswith(records.ENDING_PREFIX):
            return self._put_ending(key, value)
        if key.startswith(records.PART_PREFIX):
            return self._put_part(key, value, stamp)
        if stamp <= self.stamp(key) or stamp <= self.gone.get(key, 0):
            return False
        count = 0
        try:
            head = spreading.packed(value)
            if head is not None:
                texts = self._texts(key, head, stamp)
                if texts is None:
                    self._heads[key] = (value, stamp)
                    return False
                value, count = spreading.join(texts), head.parts
            record = codec.decode_record(key, value)
        except (msgspec.ValidationError, TypeError, ValueError) as wrong:
            log.error("record %s is not readable: %s", key, wrong)
            self.unreadable.add(key)
            return False
        if record is None:
            return False
        if isinstance(record, MachineOwnership) and record.token >= stamp:
            log.error("record %s has a fencing token from the future", key)
            self.unreadable.add(key)
            return False
        self.keep(key, record, stamp, count)
        return True

    def _texts(self, key: str, head: spreading.Packed, stamp: int) -> list[str] | None:
        """A packed record's texts, or None while a part of the same Stamp is missing."""
        texts = [head.text]
        keys = [spreading.part_key(key, number) for number in range(1, head.parts + 1)]
        for part in keys:
            text, at = self._parts.get(part, ("", 0))
            if at != stamp:
                return None
            texts.append(text)
        for part in keys:
            del self._parts[part]
        return texts

    def _put_part(self, part: str, value: Any, stamp: int) -> bool:
        key = spreading.head_key(part)
        if stamp <= self.stamp(key) or stamp <= self.gone.get(key, 0):
            return False  # its head is known already, from our own commit
        if not isinstance(value, str) or stamp < self._parts.get(part, ("", 0))[1]:
            return False
        self._parts[part] = (value, stamp)
        waiting = self._heads.get(key)
        return waiting is not None and self.put(key, *waiting)

    def incomplete(self, key: str) -> bool:
        """True while a newer head of this record waits for its parts."""
        return key in self._heads

    def _put_ending(self, key: str, value: Any) -> bool:
        try:
            record = codec.decode_record(key, value)
        except (msgspec.ValidationError, TypeError) as wrong:
            log.error("record %s is not readable: %s", key, wrong)
            return False
        if isinstance(record, Ending):
            self.remember(key, record)
        return True

    def remember(self, key: str, ending: Ending) -> None:
        """Keep a job's final state, which never changes, in bounded memory."""
        name = JobId(key.rpartition("/")[2])
        self.endings.pop(name, None)
        self.endings[name] = ending
        while len(self.endings) > ENDINGS:
            del self.endings[next(iter(self.endings))]
        self._revive(self.needs.ended(name, ending.status, ending.ended_at))

    def _revive(self, changed: list[JobId]) -> None:
        """Jobs that what they need has set free, or cancelled with it."""
        for name in changed:
            job = self.jobs.get(name)
            if job is not None:
                self._queue(name, job)

    def _queue(self, name: JobId, job: JobRecord) -> None:
        """Does the job have tasks to deal?"""
        live = job.status == records.LIVE and job.may_start and job.waiting_count > 0
        if live and not self.needs.holds(name):
            self.waiting[name] = job
        else:
            self.waiting.pop(name, None)

    def since(self, name: JobId, job: JobRecord) -> float:
        """The moment from which all but the deadline counts, written yet or not."""
        return job.ready_at or self.needs.ready.get(name) or job.accepted_at

    def fate(self, name: JobId) -> int | None:
        """What is known of a job as one that others need; None: not among what we hold."""
        if self.needs.is_doomed(name):
            return records.CANCELLED
        if (job := self.jobs.get(name)) is not None:
            return job.status if job.guest is None else None
        held = self.held.get(records.job_key(name))
        if held is not None and isinstance(held.record, Ending):
            return held.record.status
        known = self.endings.get(name)
        return known.status if known is not None else None

    def keep(self, key: str, record: Struct, stamp: int, parts: int = 0) -> None:
        """Take a record that is known to be the newest, and how many parts it has."""
        self.held[key] = Held(record, KeyVersion(stamp))
        self.unreadable.discard(key)
        self._heads.pop(key, None)
        if parts:
            self.spread[key] = parts
        else:
            self.spread.pop(key, None)
        if isinstance(record, JobRecord | Ending):
            self._keep_job(key, record)
        elif isinstance(record, MachineOwnership):
            self._index_ownership(key.removeprefix(records.OWNERSHIP_PREFIX), record)
        elif isinstance(record, MemberRecord):
            self.members[record.name] = record
        elif isinstance(record, PoolRecord):
            self.pools[key.removeprefix(records.POOL_PREFIX)] = record
        elif isinstance(record, CellLink):
            self.links[key.removeprefix(records.CELL_LINK_PREFIX)] = record
        elif isinstance(record, ShareRequest):
            self.share_requests[key.removeprefix(records.SHARE_REQUEST_PREFIX)] = record
        else:
            self._keep_common(key, record, stamp)

    def _keep_job(self, key: str, record: JobRecord | Ending) -> None:
        name = JobId(key.removeprefix(records.JOB_PREFIX))
        before = self.jobs.get(name)
        if isinstance(record, JobRecord):
            self.jobs[name] = record
            self._index(name, before, record)
            return
        self._index(name, before, None)
        self.jobs.pop(name, None)
        self.unswept[name] = None
        self.remember(key, record)

    def _keep_common(self, key: str, record: Struct, stamp: int) -> None:
        """What holds for all controllers: the roster, machine types, and who reads what."""
        if isinstance(record, Roster):
            self.roster, self.token = record, stamp
        elif isinstance(record, Catalog):
            if key == records.MACHINE_TYPES_KEY or records.MACHINE_TYPES_KEY not in self.held:
                self.catalog = record
        elif isinstance(record, FormatLevel):
            self.level = max(self.level, record.level)
            self.given_up = record.ignored_members
        elif isinstance(record, MemberVersion):
            self.versions[key.removeprefix(records.VERSION_PREFIX)] = record

    def _index(self, name: JobId, before: JobRecord | None, after: JobRecord | None) -> None:
        """Bring the indices from one state of a job to the next."""
        self._index_needs(name, before, after)
        self._index_cells(name, after)
        self._index_status(name, after)
        self._index_places(name, before, after)
        self._count_use(before, after)

    def _index_needs(self, name: JobId, before: JobRecord | None, after: JobRecord | None) -> None:
        if after is not None and after.open_prerequisites and after.status == records.LIVE:
            if before is None or before.open_prerequisites != after.open_prerequisites:
                self._revive(
                    self.needs.add(
                        name, after.open_prerequisites, self._how(after.open_prerequisites)
                    )
                )
        elif before is not None and before.open_prerequisites:
            self.needs.remove(name)

    def _index_status(self, name: JobId, job: JobRecord | None) -> None:
        """Is the job cancelled, and has it tasks to deal?"""
        if job is None:
            self.cancelled.pop(name, None)
            self.waiting.pop(name, None)
            return
        if job.status == records.CANCELLED:
            self.cancelled[name] = None
        else:
            self.cancelled.pop(name, None)
        self._queue(name, job)
        if job.status == records.CANCELLED:
            self._revive(self.needs.ended(name, records.CANCELLED, 0.0))

    def _index_places(self, name: JobId, before: JobRecord | None, after: JobRecord | None) -> None:
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
                self._unplace(name, entry)
        for entry in new:
            if entry not in had:
                self._place(name, entry)
            elif status_changed:
                self.moved[entry.machine] = None

    def _count_use(self, before: JobRecord | None, after: JobRecord | None) -> None:
        """What the job takes of its team's limit."""
        known = after or before
        more = (after.quota_task_count if after else 0) - (before.quota_task_count if before else 0)
        if known is not None and more:
            used = self.usage.setdefault(known.spec.team, [0.0, 0.0])
            used[0] += known.spec.cpus * more
            used[1] += known.spec.gpus * more

    def _index_ownership(self, machine: str, record: MachineOwnership | None) -> None:
        """Who owns the machine, and is it to be handed over?"""
        self.ownership_changed[machine] = None
        self.moves_under_way.pop(machine, None)
        if record is None:
            self.ownership.pop(machine, None)
            return
        self.ownership[machine] = record
        if record.stage == MoveStage.DRAINING:
            self.moves_under_way[machine] = record

    def _index_cells(self, name: JobId, job: JobRecord | None) -> None:
        """Is the job away, or another cell's?"""
        if job is not None and job.is_delegated:
            self.away[name] = job
        else:
            self.away.pop(name, None)
        if job is not None and job.guest is not None:
            self.guests[name] = job
        else:
            self.guests.pop(name, None)

    def _how(self, needs: list[str]) -> dict[JobId, tuple[int, float]]:
        """Of the jobs that one needs, those that are over, and when."""
        found: dict[JobId, tuple[int, float]] = {}
        for need in map(JobId, needs):
            fate = self.fate(need)
            if fate:
                held = self.held.get(records.job_key(need))
                ending = held.record if held else self.endings.get(need)
                found[need] = (fate, ending.ended_at if isinstance(ending, Ending) else 0.0)
        return found

    def unresolved(self) -> list[JobId]:
        """Jobs that others need of which we hold nothing: they ended, and have moved."""
        return [need for need in self.needs.open if self.fate(need) is None]

    def _place(self, name: JobId, entry: TaskEntry) -> None:
        key = (name, entry.index)
        self._places.setdefault(entry.machine, {})[key] = entry
        self._entries[key] = entry
        self._touch(entry.machine)
        if entry.stage == records.ASSIGNED:
            self.dealt.setdefault(entry.owner, {})[key] = entry

    def _touch(self, machine: str) -> None:
        self.moved[machine] = None
        self._loads.pop(machine, None)

    def _unplace(self, name: JobId, entry: TaskEntry) -> None:
        key = (name, entry.index)
        if self._entries.get(key) == entry:
            del self._entries[key]
        there = self._places.get(entry.machine, {})
        if there.get(key) == entry:
            del there[key]
            if not there:
                del self._places[entry.machine]
        self._touch(entry.machine)
        if entry.stage == records.ASSIGNED:
            dealt = self.dealt.get(entry.owner, {})
            if dealt.get(key) == entry:
                del dealt[key]

    def drop(self, key: str, stamp: int) -> bool:
        """Take a removal; False if it is overtaken."""
        if key.startswith(records.PART_PREFIX):
            if stamp >= self._parts.get(key, ("", stamp + 1))[1]:
                del self._parts[key]
            return False
        if stamp < self.stamp(key):
            return False
        self.unreadable.discard(key)
        self.spread.pop(key, None)
        if key in self._heads and self._heads[key][1] <= stamp:
            del self._heads[key]
        if key.startswith((records.JOB_PREFIX, records.MEMBER_PREFIX, records.OWNERSHIP_PREFIX)):
            self._remember_removal(key, stamp)
        known = self.held.pop(key, None)
        self.unswept.pop(JobId(key.removeprefix(records.JOB_PREFIX)), None)
        if known is None:
            return False
        self._drop_record(key, known.record)
        return True

    def _remember_removal(self, key: str, stamp: int) -> None:
        """A removal seen before an older write of the same key must win over it."""
        self.gone[key] = max(stamp, self.gone.get(key, 0))
        if len(self.gone) > REMOVALS:
            for old in sorted(self.gone, key=self.gone.__getitem__)[: REMOVALS // 2]:
                del self.gone[old]

    def _drop_record(self, key: str, record: Struct) -> None:
        """Take a removed record out of the indices."""
        if isinstance(record, JobRecord):
            name = JobId(key.removeprefix(records.JOB_PREFIX))
            self.jobs.pop(name, None)
            self._index(name, record, None)
        elif isinstance(record, MemberRecord):
            self.members.pop(record.name, None)
        elif isinstance(record, PoolRecord):
            self.pools.pop(key.removeprefix(records.POOL_PREFIX), None)
        elif isinstance(record, MemberVersion):
            self.versions.pop(key.removeprefix(records.VERSION_PREFIX), None)
        elif isinstance(record, CellLink):
            self.links.pop(key.removeprefix(records.CELL_LINK_PREFIX), None)
        elif isinstance(record, MachineOwnership):
            self._index_ownership(key.removeprefix(records.OWNERSHIP_PREFIX), None)
        elif isinstance(record, ShareRequest):
            self.share_requests.pop(key.removeprefix(records.SHARE_REQUEST_PREFIX), None)

    def on_machine(self, machine: str) -> list[tuple[JobId, TaskEntry]]:
        """Entries whose place (or, while dealt, hint) is this machine."""
        there = self._places.get(machine)
        return [(name, entry) for (name, _), entry in there.items()] if there else []

    def occupies(self, machine: str) -> bool:
        """True if any entry names the machine."""
        return machine in self._places

    def changed_at(self, key: str) -> int:
        """The revision of the last change, removals included, that we know of."""
        return max(self.stamp(key), self.gone.get(key, 0))

    def load(self, machine: str) -> Load:
        """What is taken on a machine, counted again only after a change."""
        found = self._loads.get(machine)
        if found is None:
            there = self._places.get(machine)
            if not there:
                return EMPTY
            found = self._loads[machine] = Load([self.jobs[name].spec for name, _ in there])
        return found

    def entry(self, name: JobId, index: int) -> TaskEntry | None:
        """A task's entry."""
        return self._entries.get((name, index))

    def occupied(self) -> list[str]:
        """Machines with entries."""
        return list(self._places)

    def reload(self, rows: list[tuple[str, Any, int]], ledger: int) -> None:
        """Replace everything with a full listing that is at least as new as `ledger`."""
        present = {key for key, _, _ in rows}
        self._parts.clear()
        self._heads.clear()
        self.unreadable &= present
        for key in [k for k in self.held if k not in present]:
            if self.stamp(key) <= ledger:
                self.drop(key, ledger)
        for key, value, stamp in rows:
            self.put(key, value, stamp)
        self.ledger = ledger
        self.loaded = True
