"""The commit queue: edits in, transactions out.

An edit is a function from the current record to the next one, so it can be
tried again after a conflict and is dropped when it no longer applies. Edits of
one key are applied together, and many keys share a transaction; leases,
cancellations and accepts come before everything else. The queue does no I/O:
`next_batch` gives what to send, `finished` takes what came of it.

The state service may lower its limits without notice. A transaction refused for its
size or its number of changes was not carried out: the lower limits are taken at once
and the same edits are formed anew. Until every controller can read records laid over
several keys, one that is too large for the lower limits cannot be written at all; edits
that do not make it larger wait until it can.
"""

import logging
from collections.abc import Callable

import msgspec
from msgspec import Struct

from coursefold.protocol.ids import MonotonicTime
from coursefold.storage import codec, record_parts, records
from coursefold.storage.batches import Batch, BatchBuilder
from coursefold.storage.edits import (
    HIGH_PRIORITY,
    ArchiveEnding,
    DeleteKey,
    Edit,
    EditResult,
    NotApplicableError,
)
from coursefold.storage.limits import StateServiceLimits, TokenBucket
from coursefold.storage.records import JobRecord
from coursefold.storage.view import View

log = logging.getLogger(__name__)

MAX_CONFLICTS = 8  # of one edit; then its proposer looks at the record anew
MAX_TRIES = 1000  # refusals and missing answers included: minutes of an outage


class CommitQueue:
    """Edits waiting and under way."""

    def __init__(
        self,
        view: View,
        *,
        txn_ops: int,
        value_kb: float,
        write_rps: float,
        later_limits: StateServiceLimits | None = None,
    ) -> None:
        self.view = view
        self.limits = StateServiceLimits(txn_ops, int(value_kb * 1024), write_rps)
        self.later_limits = later_limits
        self.oversized_edits: dict[str, list[Edit]] = {}
        self.wall_time = 0.0
        self.waiting_edits: dict[str, list[Edit]] = {}
        self.in_flight: set[str] = set()
        self.stale: set[str] = set()
        # The service counts all nodes' changes together. Leases, accepts and cancellations
        # have a budget of their own, so that no backlog of other work delays them.
        self.priority_budget = TokenBucket(write_rps * 0.5, max(2.0, write_rps * 0.5))
        self.bulk_budget = TokenBucket(write_rps * 0.8, max(2.0, write_rps * 0.6))
        self.paused_until = MonotonicTime(0.0)
        self.pending_tags: set[tuple[str, str]] = set()
        self.has_new_edits = False  # something was proposed since the last look

    def set_rate_share(self, is_leader: bool, controller_count: int) -> None:
        """Our part of the rate: the leader writes for all, others little but accepts."""
        others = min(0.12, 0.3 / max(1, controller_count - 1))
        part = 0.85 - others * (controller_count - 1) if is_leader else others
        rate = self.limits.write_rps
        self.bulk_budget.rate = rate * part
        self.bulk_budget.burst = max(3.0, rate * part * 0.6)
        self.priority_budget.rate = rate * 0.5
        self.priority_budget.burst = max(2.0, rate * 0.5)
        if self.view.format_level:
            self._apply_later_limits(
                sizes=True
            )  # what is written from the switch on fits either way
            for key in list(self.oversized_edits):
                self.waiting_edits[key] = [
                    *self.oversized_edits.pop(key),
                    *self.waiting_edits.get(key, []),
                ]

    def _apply_later_limits(self, *, sizes: bool = False, rate: bool = False) -> None:
        """Take the limits to come, or a part of them, if there are any."""
        if self.later_limits is None:
            return
        now = self.limits
        if sizes:
            now = now._replace(
                txn_ops=self.later_limits.txn_ops, value_bytes=self.later_limits.value_bytes
            )
        if rate:
            now = now._replace(write_rps=self.later_limits.write_rps)
        if now != self.limits:
            self.limits = now
            log.info("limits of the state service: %s", now)

    def max_parts(self) -> int:
        """Keys of one record; some are left for what has to go with it."""
        return max(1, min(self.limits.txn_ops - 1, 16))

    def has_spare_rate(self, now: MonotonicTime) -> bool:
        """True if there is room for what is never urgent."""
        return (
            not self.waiting_edits and self.bulk_budget.refill(now) >= 0.95 * self.bulk_budget.burst
        )

    def count_urgent_keys(self) -> int:
        """Keys that wait with acceptances, cancellations or what membership needs."""
        return sum(
            any(e.priority == HIGH_PRIORITY for e in edits) for edits in self.waiting_edits.values()
        )

    def claim_tag(self, edit: Edit) -> bool:
        """Reserve an edit's tag while it is under way elsewhere."""
        if edit.tag:
            if (edit.key, edit.tag) in self.pending_tags:
                return False
            self.pending_tags.add((edit.key, edit.tag))
        return True

    def release_tag(self, edit: Edit) -> None:
        """It is not under way elsewhere any more."""
        self.pending_tags.discard((edit.key, edit.tag))

    def settle(self, edit: Edit, ok: bool, why: str) -> None:
        """What became of a claimed edit elsewhere."""
        self._settle(edit, ok, why)

    def propose(self, edit: Edit) -> bool:
        """Queue an edit; False if one with the same tag waits already."""
        if not self.claim_tag(edit):
            return False
        self.waiting_edits.setdefault(edit.key, []).append(edit)
        self.has_new_edits = True
        return True

    def is_busy(self, key: str) -> bool:
        """True while edits of the key wait or fly."""
        return key in self.waiting_edits or key in self.in_flight

    def _settle(self, edit: Edit, ok: bool, why: str = "") -> None:
        if edit.tag:
            self.pending_tags.discard((edit.key, edit.tag))
        edit.settle(ok, why)

    def stale_keys(self) -> list[str]:
        """Keys to be read again before they can be written."""
        return sorted(self.stale)

    def mark_refreshed(self, key: str) -> None:
        """The key was read again."""
        self.stale.discard(key)

    def _build_result(
        self, key: str, edits: list[Edit], one_by_one: bool = False
    ) -> tuple[list[Edit], EditResult | None]:
        """Apply a key's edits to its record; those that do not apply are settled.

        An edit that fails only because of another in the same transaction waits
        for the outcome: a second cancellation must not be answered "cancelled"
        before the first one is written.
        """
        held = self.view.records_by_key.get(key)
        before: Struct | None = held.record if held else None
        if key in self.view.unreadable_keys:
            # Whatever it is, it is not ours to overwrite.
            for edit in edits:
                self._settle(edit, False, "unreadable")
            return [], None
        kept: list[Edit] = []
        deferred: list[Edit] = []
        result: EditResult | None = None
        current = before
        for edit in edits:
            if isinstance(result, (ArchiveEnding, DeleteKey, records.Ending)):
                deferred.append(edit)
                continue
            outcome = self._apply_edit(edit, current, deferred if kept else None)
            if outcome is None:
                continue
            if one_by_one and self._is_too_large(outcome):
                self._set_aside(edit, before, outcome)
                continue
            if isinstance(outcome, records.Ending) and self.view.format_level:
                outcome = msgspec.structs.replace(outcome, ended_at=round(self.wall_time, 1))
            result = outcome
            if isinstance(outcome, Struct):
                current = outcome
            kept.append(edit)
        if not one_by_one and self._is_too_large(result):
            # Rare: find out which edits fit. Measuring after each one costs too much.
            return self._build_result(key, [*kept, *deferred], one_by_one=True)
        if deferred:
            self.waiting_edits[key] = deferred
        return kept, result

    def _apply_edit(
        self, edit: Edit, current: Struct | None, deferred: list[Edit] | None
    ) -> EditResult | None:
        """An edit's outcome; None if it does not apply, and is settled or, if it may, deferred."""
        if edit.fencing_token is not None and edit.fencing_token != self.view.fencing_token:
            self._settle(edit, False, "fenced")
            return None
        try:
            return edit.change(current)
        except NotApplicableError as why:
            if deferred is not None:
                deferred.append(edit)
            else:
                self._settle(edit, False, str(why) or "void")
            return None

    def _set_aside(self, edit: Edit, before: Struct | None, outcome: EditResult) -> None:
        """An edit whose record is too large: it waits if it makes the record smaller."""
        if self._is_not_larger(before, outcome):
            self.oversized_edits.setdefault(edit.key, []).append(edit)
        else:
            self._settle(edit, False, "too large")

    def _is_too_large(self, result: EditResult | None) -> bool:
        """True if the record cannot be written within the service's limits."""
        if not isinstance(result, (JobRecord, records.PoolRecord)):
            return False
        value = codec.encode_record(result, self.view.format_level)
        if codec.json_size_bytes(value) <= self.limits.value_bytes:
            return False
        if not self.view.format_level:
            return True
        return (
            len(record_parts.split_value(value, self.limits.value_bytes).parts) >= self.max_parts()
        )

    def _is_not_larger(self, before: Struct | None, result: EditResult) -> bool:
        """Does an edit make a record smaller that is too large as it is?

        It must not get lost: the task that it says has ended would stay for ever.
        """
        return (
            isinstance(before, JobRecord)
            and isinstance(result, JobRecord)
            and codec.json_size_bytes(codec.encode_record(result))
            <= codec.json_size_bytes(codec.encode_record(before))
        )

    def next_batch(self, now: MonotonicTime) -> Batch | None:
        """The next transaction, or None if nothing can go now."""
        if now < self.paused_until or not self.waiting_edits:
            return None
        ready = [k for k in self.waiting_edits if k not in self.in_flight and k not in self.stale]
        if not ready:
            return None
        bulk = int(self.bulk_budget.refill(now))
        urgent = max(bulk, int(self.priority_budget.refill(now)))
        if urgent < 1:
            return None  # before a long backlog is sorted for nothing
        ranks = {k: min(e.priority for e in self.waiting_edits[k]) for k in ready}
        ready.sort(key=ranks.__getitem__)
        draft = BatchBuilder(self.view, self.limits)
        for key in ready:
            room = urgent if ranks[key] == HIGH_PRIORITY else bulk
            if not draft.may_add_key(room):
                break
            if draft.has_same_fencing(self.waiting_edits[key]) and not self._add_key(draft, key):
                break
        if not draft.writes:
            return None
        first = sum(1 for key in draft.results if ranks[key] == HIGH_PRIORITY)
        self.priority_budget.spend(now, min(first, self.priority_budget.available))
        self.bulk_budget.spend(now, len(draft.writes) - min(first, len(draft.writes)))
        self.in_flight.update(draft.results)
        return draft.build()

    def _add_key(self, draft: BatchBuilder, key: str) -> bool:
        """Add a key's edits to a transaction; False if it is full."""
        edits, result = self._build_result(key, self.waiting_edits.pop(key))
        if result is None:
            return True
        change = draft.make_change(key, result, edits[-1].lease_id)
        if draft.fits(change):
            draft.add(key, edits, result, change)
            return True
        self.waiting_edits[key] = [*edits, *self.waiting_edits.get(key, [])]
        return not draft.exceeds_size(change)  # something smaller may still fit

    def handle_success(self, batch: Batch, ledger: int) -> None:
        """The transaction was carried out at this revision."""
        for key, result in batch.results.items():
            self.in_flight.discard(key)
            if isinstance(result, (DeleteKey, ArchiveEnding)):
                self.view.apply_removal(key, ledger)
                if isinstance(result, ArchiveEnding):
                    self.view.remember_ending(key, result.ending)
            elif ledger > self.view.version_of(key):
                self.view.store_record(key, result, ledger, batch.part_counts.get(key, 0))
        for edit in batch.edits:
            self._settle(edit, True)

    def handle_conflict(self, batch: Batch, failed: list[str]) -> None:
        """Nothing was carried out: read the failed keys again, then try the edits again."""
        self.stale.update(k.replace(records.ENDING_PREFIX, records.JOB_PREFIX, 1) for k in failed)
        for edit in batch.edits:
            edit.conflict_count += 1
        self._retry(batch)

    def handle_refusal(self, batch: Batch, now: MonotonicTime, pause: float) -> None:
        """Nothing was carried out (429, 503): the same again after a pause."""
        self.paused_until = MonotonicTime(now + pause)
        self._retry(batch)

    def handle_missing_response(self, batch: Batch, now: MonotonicTime, pause: float) -> None:
        """No answer: it may have been carried out, or may yet be; read again first."""
        self.stale.update(batch.results)
        self.paused_until = MonotonicTime(now + pause)
        self._retry(batch)

    def handle_rate_refusal(self) -> None:
        """Over the rate (429): after the switch the lower one may have come.

        Before it, a burst of our own is the likelier cause.
        """
        if self.view.format_level:
            self._apply_later_limits(rate=True)

    def _exceeds(self, batch: Batch, limits: StateServiceLimits) -> bool:
        """Would this transaction be too much under these limits?"""
        return batch.write_count > limits.txn_ops or any(
            codec.json_size_bytes(op["Value"]) > limits.value_bytes
            for op in batch.body["Then"]
            if "Value" in op
        )

    def handle_lost_lease(self, batch: Batch) -> None:
        """Refused because our lease has ended: that says nothing of the other edits.

        Seen in a drawn day of the tests: an acceptance that shared the transaction in which
        its node joined was answered 400, which its user takes for the last word.
        """
        for edit in batch.edits:
            if edit.lease_id is not None:
                self._settle(edit, False, "refused")
        rest = [edit for edit in batch.edits if edit.lease_id is None]
        self._retry(batch._replace(edits=rest))

    def handle_invalid(self, batch: Batch) -> None:
        """Refused as malformed: nothing was carried out, and the same would fare no better.

        What is beyond the limits to come shows that they have come: its edits are formed
        anew. All else is settled, and so is what was formed under these very limits.
        """
        if self.later_limits is not None and self._exceeds(batch, self.later_limits):
            self._apply_later_limits(sizes=True, rate=True)
            if batch.limits != self.limits:
                self._retry(batch)
                return
        for key in batch.results:
            self.in_flight.discard(key)
        self.stale.update(batch.results)
        for edit in batch.edits:
            self._settle(edit, False, "refused")

    def _retry(self, batch: Batch) -> None:
        """Try edits again, but for those that met too many conflicts, or that nothing helps."""
        for key in batch.results:
            self.in_flight.discard(key)
        for edit in reversed(batch.edits):
            edit.try_count += 1
            if edit.conflict_count > MAX_CONFLICTS or edit.try_count > MAX_TRIES:
                self._settle(edit, False, "conflicts")
            else:
                self.waiting_edits.setdefault(edit.key, []).insert(0, edit)

    def settle_ended_job(self, key: str) -> None:
        """The key's job has an ending: nothing waiting for it applies any more."""
        self.stale.discard(key)
        for edit in self.waiting_edits.pop(key, []):
            self._settle(edit, False, "over")

    def abandon_edits(self, is_abandoned: Callable[[Edit], bool]) -> None:
        """Settle the waiting edits that the caller no longer wants."""
        for key in list(self.waiting_edits):
            keep = []
            for edit in self.waiting_edits[key]:
                if is_abandoned(edit):
                    self._settle(edit, False, "abandoned")
                else:
                    keep.append(edit)
            if keep:
                self.waiting_edits[key] = keep
            else:
                del self.waiting_edits[key]
