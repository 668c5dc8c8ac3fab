"""Transactions: edits of many keys, put together within the state service's limits."""

from typing import Any, NamedTuple

from coursefold.storage import codec, record_parts, records
from coursefold.storage.edits import ArchiveEnding, DeleteKey, Edit, EditResult
from coursefold.storage.limits import StateServiceLimits
from coursefold.storage.view import View

MAX_BATCH_BYTES = 48 * 1024  # of 64 KiB, counted in JSON; conditions and names take some
KEY_OVERHEAD_BYTES = 200  # of a changed key's condition and names
REMOVAL_BYTES = 100
ARCHIVE_BYTES = 200
CONDITIONS_PER_WRITE = 4  # by the protocol
CONDITIONS_PER_KEY = 3  # its own, its ending's, and the roster's
UNLIMITED_BYTES = 1 << 30


class Batch(NamedTuple):
    """A transaction under way."""

    body: dict[str, Any]
    results: dict[str, EditResult]
    edits: list[Edit]
    write_count: int
    part_counts: dict[str, int]  # of the records laid over several keys
    limits: StateServiceLimits


class KeyChange(NamedTuple):
    """What one key's result changes, its size, and how many parts the record has now."""

    writes: list[dict[str, Any]]
    size_bytes: int
    part_count: int


class BatchBuilder:
    """A transaction that is being put together."""

    def __init__(self, view: View, limits: StateServiceLimits) -> None:
        self.view, self.limits = view, limits
        self.fencing_token: int | None = None
        self.guards: dict[str, int] = {}
        self.writes: list[dict[str, Any]] = []
        self.results: dict[str, EditResult] = {}
        self.edits: list[Edit] = []
        self.size_bytes = 0
        self.part_counts: dict[str, int] = {}

    def may_add_key(self, budget: int) -> bool:
        """May it have another key, with so many changes allowed by the rate?"""
        most_guards = CONDITIONS_PER_WRITE * self.limits.txn_ops
        return (
            len(self.writes) < min(self.limits.txn_ops, budget)
            and len(self.guards) + CONDITIONS_PER_KEY <= most_guards
        )

    def has_same_fencing(self, edits: list[Edit]) -> bool:
        """Are the edits fenced, or not, like those so far?"""
        token = self.view.fencing_token
        is_fenced = any(
            edit.fencing_token is not None and edit.fencing_token == token for edit in edits
        )
        return not self.edits or is_fenced == (self.fencing_token is not None)

    def exceeds_size(self, change: KeyChange) -> bool:
        """Would the transaction have too many bytes with this change?"""
        return self.size_bytes + change.size_bytes > MAX_BATCH_BYTES

    def fits(self, change: KeyChange) -> bool:
        """Does the change fit? The first one always does."""
        if not self.writes:
            return True
        within = len(self.writes) + len(change.writes) <= self.limits.txn_ops
        return within and not self.exceeds_size(change)

    def add(self, key: str, edits: list[Edit], result: EditResult, change: KeyChange) -> None:
        """Add a key's result, on the condition that its record is still the one we know."""
        self.part_counts[key] = change.part_count
        self.size_bytes += change.size_bytes + KEY_OVERHEAD_BYTES
        self.guards[key] = self.view.version_of(key)
        if key.startswith(records.JOB_PREFIX) and self.guards[key] == 0:
            # An accept must not bring back a job that is over.
            self.guards[key.replace(records.JOB_PREFIX, records.ENDING_PREFIX, 1)] = 0
        for edit in edits:
            if edit.fencing_token is not None:
                self.fencing_token = edit.fencing_token
        self.writes.extend(change.writes)
        self.results[key] = result
        self.edits.extend(edits)

    def build(self) -> Batch:
        """The transaction as it is sent."""
        if self.fencing_token is not None:
            self.guards[records.ROSTER_KEY] = self.fencing_token
        guards = [{"K": key, "Stamp": stamp} for key, stamp in self.guards.items()]
        body = {"Guards": guards, "Then": self.writes}
        return Batch(
            body, self.results, self.edits, len(self.writes), self.part_counts, self.limits
        )

    def make_change(self, key: str, result: EditResult, permit: int | None) -> KeyChange:
        """What a key's result changes; a large record is laid over several keys."""
        old = self.view.part_counts.get(key, 0)
        gone = [{"Remove": record_parts.part_key(key, number)} for number in range(1, old + 1)]
        if isinstance(result, DeleteKey):
            return KeyChange([{"Remove": key}, *gone], REMOVAL_BYTES, 0)
        if isinstance(result, ArchiveEnding):
            ending = key.replace(records.JOB_PREFIX, records.ENDING_PREFIX, 1)
            value = codec.encode_record(result.ending)
            moved = [{"Remove": key}, {"Set": ending, "Value": value}]
            return KeyChange([*moved, *gone], ARCHIVE_BYTES, 0)
        level = self.view.format_level
        limit = self.limits.value_bytes if level else UNLIMITED_BYTES
        head, parts = record_parts.split_value(codec.encode_record(result, level), limit)
        write: dict[str, Any] = {"Set": key, "Value": head}
        if permit is not None:
            write["Permit"] = permit
        writes = [write]
        for number, text in enumerate(parts, 1):
            writes.append({"Set": record_parts.part_key(key, number), "Value": text})
        size = codec.json_size_bytes(head) + sum(len(text) for text in parts)
        return KeyChange(writes + gone[len(parts) :], size, len(parts))
