"""What this node knows of the state service: a copy of the live keys, fed in order.

A key's Stamp decides which of two values is the newer one: answers to our own
commits and the news of `/follow` arrive in any order.
"""

import logging
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from coursefold.protocol.ids import JobId, Stamp
from coursefold.protocol.wire import Catalog
from coursefold.storage import records
from coursefold.storage.records import Entry, JobRecord, MemberRecord, PoolRecord, Roster

log = logging.getLogger(__name__)


class Held(NamedTuple):
    """A record and the revision of its last change."""

    record: Struct
    stamp: Stamp


class View:
    """Records by key, with indices for jobs, members and pools."""

    def __init__(self) -> None:
        self.held: dict[str, Held] = {}
        self.jobs: dict[JobId, JobRecord] = {}
        self.members: dict[str, MemberRecord] = {}
        self.pools: dict[str, PoolRecord] = {}
        self.gone: dict[str, int] = {}
        self.loaded = False
        self.ledger = 0
        self.version = 0
        self._index: dict[str, list[tuple[JobId, Entry]]] = {}
        self._indexed = -1

    @property
    def roster(self) -> Roster | None:
        held = self.held.get(records.ROSTER)
        return held.record if held and isinstance(held.record, Roster) else None

    @property
    def token(self) -> int:
        held = self.held.get(records.ROSTER)
        return held.stamp if held else 0

    @property
    def catalog(self) -> Catalog | None:
        held = self.held.get(records.CATALOG)
        return held.record if held and isinstance(held.record, Catalog) else None

    def stamp(self, key: str) -> int:
        held = self.held.get(key)
        return held.stamp if held else 0

    def put(self, key: str, value: Any, stamp: int) -> bool:
        """Take a key's value; False if it was known or is overtaken."""
        if key.startswith(records.ENDINGS):
            return False
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

    def keep(self, key: str, record: Struct, stamp: int) -> None:
        """Take a record that is known to be the newest."""
        self.version += 1
        self.held[key] = Held(record, Stamp(stamp))
        if isinstance(record, JobRecord):
            self.jobs[JobId(key.removeprefix(records.JOBS))] = record
        elif isinstance(record, MemberRecord):
            self.members[record.name] = record
        elif isinstance(record, PoolRecord):
            self.pools[key.removeprefix(records.POOLS)] = record

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
        if known is None:
            return False
        self.version += 1
        if isinstance(known.record, JobRecord):
            self.jobs.pop(JobId(key.removeprefix(records.JOBS)), None)
        elif isinstance(known.record, MemberRecord):
            self.members.pop(known.record.name, None)
        elif isinstance(known.record, PoolRecord):
            self.pools.pop(key.removeprefix(records.POOLS), None)
        return True

    def on_machine(self, machine: str) -> list[tuple[JobId, Entry]]:
        """Entries whose place (or, while dealt, hint) is this machine."""
        return self.by_machine().get(machine, [])

    def by_machine(self) -> dict[str, list[tuple[JobId, Entry]]]:
        """All entries by machine; built again only after a change."""
        if self._indexed != self.version:
            index: dict[str, list[tuple[JobId, Entry]]] = {}
            for name, job in self.jobs.items():
                for entry in job.entries:
                    index.setdefault(entry.machine, []).append((name, entry))
            self._index, self._indexed = index, self.version
        return self._index

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
