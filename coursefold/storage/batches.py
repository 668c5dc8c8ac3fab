"""Transactions: edits of many keys, combined within the state service's limits."""

from typing import Any, NamedTuple

from coursefold.protocol.ids import JobId
from coursefold.storage import codec, record_parts, records
from coursefold.storage.edits import ArchiveEnding, DeleteKey, Edit, EditResult
from coursefold.storage.limits import StateServiceLimits
from coursefold.storage.records import JobRecord
from coursefold.storage.view import View

# The service takes 64 KiB; sizes are counted in JSON, and conditions and names take some too.
MAX_BATCH_BYTES = 48 * 1024
KEY_OVERHEAD_BYTES = 200  # a changed key's condition and names
REMOVAL_BYTES = 100
ARCHIVE_BYTES = 200
MAX_CONDITIONS_PER_WRITE = 4  # set by the protocol
MAX_CONDITIONS_PER_KEY = 3  # on the key itself, on its ending, and on the roster
UNLIMITED_BYTES = 1 << 30


class Batch(NamedTuple):
    """A transaction that is sent to the state service.

    Attributes:
        body: The request body.
        results: Each edited key's new record, removal or ending.
        edits: The edits that the transaction carries out.
        write_count: The number of changes, each part of a split record counted.
        part_counts: The number of parts that each key's record has after the transaction.
        limits: The limits under which the transaction was formed.
        jobs_before: The records of the jobs among the keys that the results were computed from.
    """

    body: dict[str, Any]
    results: dict[str, EditResult]
    edits: list[Edit]
    write_count: int
    part_counts: dict[str, int]
    limits: StateServiceLimits
    jobs_before: dict[str, JobRecord | None]

    def lease_ids(self) -> set[int]:
        """Return the leases to which the transaction attaches keys."""
        return {edit.lease_id for edit in self.edits if edit.lease_id is not None}


class KeyChange(NamedTuple):
    """The changes that write one key's result.

    Attributes:
        writes: The changes as they are sent.
        size_bytes: Their size in JSON.
        part_count: The number of parts that the record has afterwards.
    """

    writes: list[dict[str, Any]]
    size_bytes: int
    part_count: int


class BatchBuilder:
    """A transaction under construction."""

    def __init__(self, view: View, limits: StateServiceLimits) -> None:
        self.view, self.limits = view, limits
        self.fencing_token: int | None = None
        self.guards: dict[str, int] = {}
        self.writes: list[dict[str, Any]] = []
        self.results: dict[str, EditResult] = {}
        self.jobs_before: dict[str, JobRecord | None] = {}
        self.edits: list[Edit] = []
        self.size_bytes = 0
        self.part_counts: dict[str, int] = {}

    def may_add_key(self, max_writes: int) -> bool:
        """Return whether another key may be added while the rate allows `max_writes` changes."""
        max_guards = MAX_CONDITIONS_PER_WRITE * self.limits.txn_ops
        return (
            len(self.writes) < min(self.limits.txn_ops, max_writes)
            and len(self.guards) + MAX_CONDITIONS_PER_KEY <= max_guards
        )

    def has_same_fencing(self, edits: list[Edit]) -> bool:
        """Return whether the edits are fenced, or not fenced, like those added so far."""
        token = self.view.fencing_token
        is_fenced = any(
            edit.fencing_token is not None and edit.fencing_token == token for edit in edits
        )
        return not self.edits or is_fenced == (self.fencing_token is not None)

    def exceeds_size(self, change: KeyChange) -> bool:
        """Return whether the transaction would have too many bytes with this change."""
        return self.size_bytes + change.size_bytes > MAX_BATCH_BYTES

    def fits(self, change: KeyChange) -> bool:
        """Return whether the change fits; the first one always does."""
        if not self.writes:
            return True
        is_within_ops = len(self.writes) + len(change.writes) <= self.limits.txn_ops
        return is_within_ops and not self.exceeds_size(change)

    def add(self, key: str, edits: list[Edit], result: EditResult, change: KeyChange) -> None:
        """Add a key's result, on the condition that its record has not changed since the view."""
        self.part_counts[key] = change.part_count
        self.size_bytes += change.size_bytes + KEY_OVERHEAD_BYTES
        self.guards[key] = self.view.version_of(key)
        if key.startswith(records.JOB_PREFIX):
            self.jobs_before[key] = self.view.jobs.get(JobId(key.removeprefix(records.JOB_PREFIX)))
            if self.guards[key] == 0:
                # Accepting a job must not recreate one that has ended and was archived.
                self.guards[key.replace(records.JOB_PREFIX, records.ENDING_PREFIX, 1)] = 0
        for edit in edits:
            if edit.fencing_token is not None:
                self.fencing_token = edit.fencing_token
        self.writes.extend(change.writes)
        self.results[key] = result
        self.edits.extend(edits)

    def build(self) -> Batch:
        """Return the transaction as it is sent."""
        if self.fencing_token is not None:
            self.guards[records.ROSTER_KEY] = self.fencing_token
        guards = [{"K": key, "Stamp": version} for key, version in self.guards.items()]
        body = {"Guards": guards, "Then": self.writes}
        return Batch(
            body,
            self.results,
            self.edits,
            len(self.writes),
            self.part_counts,
            self.limits,
            self.jobs_before,
        )

    def make_change(self, key: str, result: EditResult, lease_id: int | None) -> KeyChange:
        """Return the changes that write a key's result; a large record is split over keys.

        A record with a `lease_id` is removed by the service when that lease ends.
        """
        old_part_count = self.view.part_counts.get(key, 0)
        part_removals = [
            {"Remove": record_parts.part_key(key, number)}
            for number in range(1, old_part_count + 1)
        ]
        if isinstance(result, DeleteKey):
            return KeyChange([{"Remove": key}, *part_removals], REMOVAL_BYTES, 0)
        if isinstance(result, ArchiveEnding):
            ending_key = key.replace(records.JOB_PREFIX, records.ENDING_PREFIX, 1)
            value = codec.encode_record(result.ending)
            writes_of_move = [{"Remove": key}, {"Set": ending_key, "Value": value}]
            return KeyChange([*writes_of_move, *part_removals], ARCHIVE_BYTES, 0)
        level = self.view.format_level
        limit_bytes = self.limits.value_bytes if level else UNLIMITED_BYTES
        head, parts = record_parts.split_value(codec.encode_record(result, level), limit_bytes)
        write: dict[str, Any] = {"Set": key, "Value": head}
        if lease_id is not None:
            write["Permit"] = lease_id
        writes = [write]
        for number, text in enumerate(parts, 1):
            writes.append({"Set": record_parts.part_key(key, number), "Value": text})
        size_bytes = codec.json_size_bytes(head) + sum(len(text) for text in parts)
        return KeyChange(writes + part_removals[len(parts) :], size_bytes, len(parts))
