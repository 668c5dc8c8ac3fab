"""What this node knows of the state service: a copy of the live keys, fed in order.

A key's Stamp decides which of two values is the newer one: answers to our own
commits and the news of `/follow` arrive in any order.
"""

import logging
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from coursefold.protocol.ids import JobId, Stamp
from coursefold.protocol.wire import RANKS, Catalog, Job
from coursefold.storage import records
from coursefold.storage.records import (
    Ending,
    Entry,
    JobRecord,
    MemberRecord,
    PoolRecord,
    Roster,
)

log = logging.getLogger(__name__)

ENDINGS = 20_000  # final states kept in memory; older ones are read when asked for


class Held(NamedTuple):
    """A record and the revision of its last change."""

    record: Struct
    stamp: Stamp


class Load:
    """What the entries on one machine take together."""

    __slots__ = ("cpus", "gpus", "images", "lowest", "memory", "specs")

    def __init__(self, specs: list[Job]) -> None:
        self.specs = specs
        self.cpus = sum(s.cpus for s in specs)
        self.gpus = sum(s.gpus for s in specs)
        self.memory = sum(s.memory for s in specs)
        self.images = {s.image: s.image_gb for s in specs}
        self.lowest = max((RANKS[s.rank] for s in specs), default=-1)


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
        # Indices, kept up to date by the difference of each change: at hundreds of
        # machines, building them anew cost more than all decisions together.
        self.waiting: dict[JobId, JobRecord] = {}
        self.dealt: dict[str, dict[tuple[JobId, int], Entry]] = {}
        self.usage: dict[str, list[float]] = {}
        self.moved: dict[str, None] = {}  # machines, in order
        self._places: dict[str, dict[tuple[JobId, int], Entry]] = {}
        self._loads: dict[str, Load] = {}
        self._entries: dict[tuple[JobId, int], Entry] = {}

    def stamp(self, key: str) -> int:
        held = self.held.get(key)
        return held.stamp if held else 0

    def put(self, key: str, value: Any, stamp: int) -> bool:
        """Take a key's value; False if it was known or is overtaken."""
        if key.startswith(records.ENDINGS):
            return self._put_ending(key, value)
        if stamp <= self.stamp(key) or stamp <= self.gone.get(key, 0):
            return False
        try:
            record = records.parse(key, value)
        except (msgspec.ValidationError, TypeError) as wrong:
            log.error("record %s is not readable: %s", key, wrong)
            return False
        if record is None:
            return False
        self.keep(key, record, stamp)
        return True

    def _put_ending(self, key: str, value: Any) -> bool:
        try:
            record = records.parse(key, value)
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

    def keep(self, key: str, record: Struct, stamp: int) -> None:
        """Take a record that is known to be the newest."""
        self.held[key] = Held(record, Stamp(stamp))
        if isinstance(record, Roster):
            self.roster, self.token = record, stamp
        elif isinstance(record, Catalog):
            self.catalog = record
        if isinstance(record, JobRecord):
            name = JobId(key.removeprefix(records.JOBS))
            before = self.jobs.get(name)
            self.jobs[name] = record
            self._index(name, before, record)
        elif isinstance(record, Ending):
            name = JobId(key.removeprefix(records.JOBS))
            self._index(name, self.jobs.get(name), None)
            self.jobs.pop(name, None)
            self.unswept[name] = None
            self.remember(key, record)
        elif isinstance(record, MemberRecord):
            self.members[record.name] = record
        elif isinstance(record, PoolRecord):
            self.pools[key.removeprefix(records.POOLS)] = record

    def _index(self, name: JobId, before: JobRecord | None, after: JobRecord | None) -> None:
        """Bring the indices from one state of a job to the next."""
        old = before.entries if before else []
        new = after.entries if after else []
        if after is not None and after.status == records.LIVE and after.waiting_count > 0:
            self.waiting[name] = after
        else:
            self.waiting.pop(name, None)
        status_changed = before is not None and after is not None and before.status != after.status
        if old != new or status_changed:
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
        known = after or before
        if known is not None and len(old) != len(new):
            used = self.usage.setdefault(known.spec.team, [0.0, 0.0])
            used[0] += known.spec.cpus * (len(new) - len(old))
            used[1] += known.spec.gpus * (len(new) - len(old))

    def _place(self, name: JobId, entry: Entry) -> None:
        key = (name, entry.index)
        self._places.setdefault(entry.machine, {})[key] = entry
        self._entries[key] = entry
        self._touch(entry.machine)
        if entry.stage == records.DEALT:
            self.dealt.setdefault(entry.owner, {})[key] = entry

    def _touch(self, machine: str) -> None:
        self.moved[machine] = None
        self._loads.pop(machine, None)

    def _unplace(self, name: JobId, entry: Entry) -> None:
        key = (name, entry.index)
        if self._entries.get(key) == entry:
            del self._entries[key]
        there = self._places.get(entry.machine, {})
        if there.get(key) == entry:
            del there[key]
            if not there:
                del self._places[entry.machine]
        self._touch(entry.machine)
        if entry.stage == records.DEALT:
            dealt = self.dealt.get(entry.owner, {})
            if dealt.get(key) == entry:
                del dealt[key]

    def drop(self, key: str, stamp: int) -> bool:
        """Take a removal; False if it is overtaken."""
        if stamp < self.stamp(key):
            return False
        if key.startswith((records.JOBS, records.MEMBERS)):
            # A removal seen before an older write of the same key must win over it.
            self.gone[key] = max(stamp, self.gone.get(key, 0))
            if len(self.gone) > 2000:
                for old in sorted(self.gone, key=self.gone.__getitem__)[:1000]:
                    del self.gone[old]
        known = self.held.pop(key, None)
        self.unswept.pop(JobId(key.removeprefix(records.JOBS)), None)
        if known is None:
            return False
        if isinstance(known.record, JobRecord):
            name = JobId(key.removeprefix(records.JOBS))
            self.jobs.pop(name, None)
            self._index(name, known.record, None)
        elif isinstance(known.record, MemberRecord):
            self.members.pop(known.record.name, None)
        elif isinstance(known.record, PoolRecord):
            self.pools.pop(key.removeprefix(records.POOLS), None)
        return True

    def on_machine(self, machine: str) -> list[tuple[JobId, Entry]]:
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

    def entry(self, name: JobId, index: int) -> Entry | None:
        """A task's entry."""
        return self._entries.get((name, index))

    def occupied(self) -> list[str]:
        """Machines with entries."""
        return list(self._places)

    def reload(self, rows: list[tuple[str, Any, int]], ledger: int) -> None:
        """Replace everything with a full listing that is at least as new as `ledger`."""
        present = {key for key, _, _ in rows}
        for key in [k for k in self.held if k not in present]:
            if self.stamp(key) <= ledger:
                self.drop(key, ledger)
        for key, value, stamp in rows:
            self.put(key, value, stamp)
        self.ledger = ledger
        self.loaded = True
