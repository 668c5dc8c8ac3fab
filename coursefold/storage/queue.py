"""The commit queue: collects edits of records and forms transactions from them.

An edit is a function from the current record to the next one, so it can be tried again after
a conflict and is dropped when it no longer applies. Edits of one key are applied together, and
many keys share a transaction; leases, cancellations and accepted jobs come before everything
else. The queue does no I/O: `next_batch` returns what to send, and the `handle_...` methods
take the response.

The state service may lower its limits without notice. A transaction refused for its size or
its number of changes was not carried out: the lower limits are adopted at once and new
transactions are formed from the same edits. Until every controller can read records that are
split over several keys, one that is too large for the lower limits cannot be written at all;
edits that do not make it larger wait until it can.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from msgspec import Struct

from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.storage import codec, record_parts, records
from coursefold.storage.batches import Batch, BatchBuilder
from coursefold.storage.edits import (
    HIGH_PRIORITY,
    TOO_LARGE,
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

MAX_CONFLICTS = 8  # of an edit's own key; then its proposer decides anew from the current record
MAX_TRIES = 1000  # per edit, including refusals and missing responses: minutes of an outage


class CommittedJob(NamedTuple):
    """A change of a job's record that a transaction of this controller has made.

    Attributes:
        job: The job's name.
        before: Its record before; None if there was none.
        after: Its record afterwards; None if the job has ended.
        edits: The edits that made the change.
        revision: The revision of the transaction.
    """

    job: JobId
    before: JobRecord | None
    after: JobRecord | None
    edits: list[Edit]
    revision: int


class CommitQueue:
    """Edits that wait or are in flight.

    Attributes:
        limits: The limits of the state service under which transactions are formed.
        later_limits: Limits that the service may adopt without notice; None if there are none.
        oversized_edits: Edits of records that are too large until the format level allows
            splitting, by key.
        wall_time: The current wall-clock time in seconds, set by the caller.
        waiting_edits: Edits that wait, by key.
        in_flight: Keys of transactions that have been sent and not answered.
        stale: Keys to be read again before they can be written.
        pending_tags: Keys and tags of edits that wait or are in flight; a second edit with the
            same key and tag is not queued.
        has_new_edits: Whether an edit was proposed since the caller last reset this.
        on_jobs_committed: Called with the changes of job records that a transaction made.
    """

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
        # The service counts the changes of all controllers together. Leases, accepted jobs and
        # cancellations have a budget of their own, so that no backlog of other work delays them.
        self.priority_budget = TokenBucket(write_rps * 0.5, max(2.0, write_rps * 0.5))
        self.bulk_budget = TokenBucket(write_rps * 0.8, max(2.0, write_rps * 0.6))
        self.paused_until = MonotonicTime(0.0)
        self.pending_tags: set[tuple[str, str]] = set()
        self.has_new_edits = False
        self.on_jobs_committed: Callable[[list[CommittedJob]], None] | None = None

    def set_rate_share(self, is_leader: bool, controller_count: int) -> None:
        """Set this controller's share of the service's write rate.

        The leader gets most of it, for it writes for all; the others write little besides
        accepted jobs. Once the format level allows it, the later size limits are adopted too
        and edits that were too large are queued again.
        """
        other_share = min(0.12, 0.3 / max(1, controller_count - 1))
        share = 0.85 - other_share * (controller_count - 1) if is_leader else other_share
        rate = self.limits.write_rps
        self.bulk_budget.rate = rate * share
        self.bulk_budget.burst = max(3.0, rate * share * 0.6)
        self.priority_budget.rate = rate * 0.5
        self.priority_budget.burst = max(2.0, rate * 0.5)
        if self.view.format_level:
            self._apply_later_limits(sizes=True)  # records written from now on fit both limits
            for key in list(self.oversized_edits):
                self.waiting_edits[key] = [
                    *self.oversized_edits.pop(key),
                    *self.waiting_edits.get(key, []),
                ]

    def _apply_later_limits(self, *, sizes: bool = False, rate: bool = False) -> None:
        """Adopt the later limits or a part of them, if there are any."""
        if self.later_limits is None:
            return
        limits = self.limits
        if sizes:
            limits = limits._replace(
                txn_ops=self.later_limits.txn_ops, value_bytes=self.later_limits.value_bytes
            )
        if rate:
            limits = limits._replace(write_rps=self.later_limits.write_rps)
        if limits != self.limits:
            self.limits = limits
            log.info("adopted new limits of the state service: %s", limits)

    def max_parts(self) -> int:
        """Return how many keys one record may take; some changes are left for what goes with it."""
        return max(1, min(self.limits.txn_ops - 1, 16))

    def has_spare_rate(self, now: MonotonicTime) -> bool:
        """Return whether there is spare rate for edits that are never urgent."""
        return (
            not self.waiting_edits and self.bulk_budget.refill(now) >= 0.95 * self.bulk_budget.burst
        )

    def count_urgent_keys(self) -> int:
        """Return the number of keys with waiting edits of high priority.

        These are accepted jobs, cancellations and membership changes.
        """
        return sum(
            any(edit.priority == HIGH_PRIORITY for edit in edits)
            for edits in self.waiting_edits.values()
        )

    def claim_tag(self, edit: Edit) -> bool:
        """Claim an edit's tag while another controller processes the edit.

        Returns:
            Whether the edit may go ahead; False if one with the same tag is pending.
        """
        if edit.tag:
            if (edit.key, edit.tag) in self.pending_tags:
                return False
            self.pending_tags.add((edit.key, edit.tag))
        return True

    def release_tag(self, edit: Edit) -> None:
        """Release an edit's tag that was claimed."""
        self.pending_tags.discard((edit.key, edit.tag))

    def settle(self, edit: Edit, ok: bool, why: str) -> None:
        """Settle a claimed edit with the outcome that another controller reported."""
        self._settle(edit, ok, why)

    def propose(self, edit: Edit) -> bool:
        """Queue an edit; return False if one with the same tag is pending already."""
        if not self.claim_tag(edit):
            return False
        self.waiting_edits.setdefault(edit.key, []).append(edit)
        self.has_new_edits = True
        return True

    def is_busy(self, key: str) -> bool:
        """Return whether edits of the key wait or are in flight."""
        return key in self.waiting_edits or key in self.in_flight

    def _settle(self, edit: Edit, ok: bool, why: str = "") -> None:
        if edit.tag:
            self.pending_tags.discard((edit.key, edit.tag))
        edit.settle(ok, why)

    def stale_keys(self) -> list[str]:
        """Return the keys that have to be read again before they can be written."""
        return sorted(self.stale)

    def mark_refreshed(self, key: str) -> None:
        """Note that the key has been read again."""
        self.stale.discard(key)

    def _build_result(
        self, key: str, edits: list[Edit], one_by_one: bool = False
    ) -> tuple[list[Edit], EditResult | None]:
        """Apply a key's edits to its record; those that do not apply are settled.

        An edit that fails only because of another one in the same transaction waits for its
        outcome: a second cancellation must not be answered "cancelled" before the first one is
        written.

        Args:
            key: The key of the record.
            edits: The edits in order.
            one_by_one: Whether to check the size after each edit, to find out which ones fit.

        Returns:
            The edits that apply, and the result of all of them; None if none applies.
        """
        known = self.view.records_by_key.get(key)
        before: Struct | None = known.record if known else None
        if key in self.view.unreadable_keys:
            # A record that this version cannot read must not be overwritten.
            for edit in edits:
                self._settle(edit, False, "unreadable")
            return [], None
        applied: list[Edit] = []
        deferred: list[Edit] = []
        result: EditResult | None = None
        current = before
        for edit in edits:
            if isinstance(result, (ArchiveEnding, DeleteKey, records.Ending)):
                deferred.append(edit)
                continue
            outcome = self._apply_edit(edit, current, deferred if applied else None)
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
            applied.append(edit)
        if not one_by_one and self._is_too_large(result):
            # Rare: find out which edits fit. Checking the size after each edit costs too much.
            return self._build_result(key, [*applied, *deferred], one_by_one=True)
        if deferred:
            self.waiting_edits[key] = deferred
        return applied, result

    def _apply_edit(
        self, edit: Edit, current: Struct | None, deferred: list[Edit] | None
    ) -> EditResult | None:
        """Return an edit's result, or None if it does not apply.

        An edit that does not apply is added to `deferred`, or settled if that is None.
        """
        if edit.fencing_token is not None and edit.fencing_token != self.view.fencing_token:
            self._settle(edit, False, "fenced")
            return None
        try:
            return edit.change(current)
        except NotApplicableError as error:
            if deferred is not None:
                deferred.append(edit)
            else:
                self._settle(edit, False, str(error) or "void")
            return None

    def _set_aside(self, edit: Edit, before: Struct | None, outcome: EditResult) -> None:
        """Keep an edit of a too large record if it does not make it larger, else settle it."""
        if self._is_not_larger(before, outcome):
            self.oversized_edits.setdefault(edit.key, []).append(edit)
        else:
            self._settle(edit, False, TOO_LARGE)

    def _is_too_large(self, result: EditResult | None) -> bool:
        """Return whether the record cannot be written within the service's limits."""
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
        """Return whether the result of a job's edit is not larger than the job's record before.

        Such an edit must not get lost even if the record is too large: the task whose ending it
        records would stay in the record for ever.
        """
        return (
            isinstance(before, JobRecord)
            and isinstance(result, JobRecord)
            and codec.json_size_bytes(codec.encode_record(result))
            <= codec.json_size_bytes(codec.encode_record(before))
        )

    def next_batch(self, now: MonotonicTime) -> Batch | None:
        """Return the next transaction to send, or None if nothing can be sent now."""
        if now < self.paused_until or not self.waiting_edits:
            return None
        ready = [
            key for key in self.waiting_edits if key not in self.in_flight and key not in self.stale
        ]
        if not ready:
            return None
        bulk_writes = int(self.bulk_budget.refill(now))
        priority_writes = max(bulk_writes, int(self.priority_budget.refill(now)))
        if priority_writes < 1:
            return None  # avoids sorting a long backlog when nothing can be sent
        priorities = {key: min(edit.priority for edit in self.waiting_edits[key]) for key in ready}
        ready.sort(key=priorities.__getitem__)
        builder = BatchBuilder(self.view, self.limits)
        for key in ready:
            max_writes = priority_writes if priorities[key] == HIGH_PRIORITY else bulk_writes
            if not builder.may_add_key(max_writes):
                break
            if builder.has_same_fencing(self.waiting_edits[key]) and not self._add_key(
                builder, key
            ):
                break
        if not builder.writes:
            return None
        priority_keys = sum(1 for key in builder.results if priorities[key] == HIGH_PRIORITY)
        self.priority_budget.spend(now, min(priority_keys, self.priority_budget.available))
        self.bulk_budget.spend(now, len(builder.writes) - min(priority_keys, len(builder.writes)))
        self.in_flight.update(builder.results)
        return builder.build()

    def _add_key(self, builder: BatchBuilder, key: str) -> bool:
        """Add a key's edits to a transaction; return False if it is full."""
        edits, result = self._build_result(key, self.waiting_edits.pop(key))
        if result is None:
            return True
        change = builder.make_change(key, result, edits[-1].lease_id)
        if builder.fits(change):
            builder.add(key, edits, result, change)
            return True
        self.waiting_edits[key] = [*edits, *self.waiting_edits.get(key, [])]
        return not builder.exceeds_size(change)  # a smaller change may still fit

    def handle_success(self, batch: Batch, revision: int) -> None:
        """Handle the success of a transaction, which was carried out at this revision.

        The response may be late: what is known already of a later revision stays.
        """
        for key, result in batch.results.items():
            self.in_flight.discard(key)
            if isinstance(result, (DeleteKey, ArchiveEnding)):
                self.view.apply_removal(key, revision)
                if isinstance(result, ArchiveEnding):
                    self.view.remember_ending(key, result.ending)
            elif self.view.is_newer(key, revision):
                # The key may have been removed after the transaction, and the removal watched.
                self.view.store_record(key, result, revision, batch.part_counts.get(key, 0))
        if self.on_jobs_committed is not None and batch.jobs_before:
            self.on_jobs_committed(self._list_committed_jobs(batch, revision))
        for edit in batch.edits:
            self._settle(edit, True)

    @staticmethod
    def _list_committed_jobs(batch: Batch, revision: int) -> list[CommittedJob]:
        committed = []
        for key, before in batch.jobs_before.items():
            result = batch.results[key]
            committed.append(
                CommittedJob(
                    JobId(key.removeprefix(records.JOB_PREFIX)),
                    before,
                    result if isinstance(result, JobRecord) else None,
                    [edit for edit in batch.edits if edit.key == key],
                    revision,
                )
            )
        return committed

    def handle_conflict(self, batch: Batch, failed_keys: list[str]) -> None:
        """Handle a conflict (409): nothing was carried out.

        The keys whose conditions failed are read again, then the edits are tried again. Only
        the edits whose own conditions failed may be given up for it: an earlier transaction
        with them that got no response can't be carried out any more either.
        """
        changed_keys = {
            key.replace(records.ENDING_PREFIX, records.JOB_PREFIX, 1) for key in failed_keys
        }
        self.stale.update(changed_keys)
        is_roster_changed = records.ROSTER_KEY in changed_keys
        for edit in batch.edits:
            is_fenced_off = is_roster_changed and edit.fencing_token is not None
            if edit.key in changed_keys or is_fenced_off:
                edit.conflict_count += 1
        self._retry(batch)

    def handle_refusal(self, batch: Batch, now: MonotonicTime, pause_s: float) -> None:
        """Handle a refusal (429, 503): nothing was carried out; try again after a pause."""
        self.paused_until = MonotonicTime(now + pause_s)
        self._retry(batch)

    def handle_missing_response(self, batch: Batch, now: MonotonicTime, pause_s: float) -> None:
        """Handle a missing response: the transaction may have been carried out, or may yet be.

        Its keys are read again before the edits are tried again after a pause.
        """
        self.stale.update(batch.results)
        self.paused_until = MonotonicTime(now + pause_s)
        self._retry(batch)

    def handle_rate_refusal(self) -> None:
        """Handle a refusal for the rate (429): adopt the later rate limit from format level 1 on.

        At level 0 a burst of this controller's own changes is the likelier cause.
        """
        if self.view.format_level:
            self._apply_later_limits(rate=True)

    def _exceeds(self, batch: Batch, limits: StateServiceLimits) -> bool:
        """Return whether the transaction exceeds these limits."""
        return batch.write_count > limits.txn_ops or any(
            codec.json_size_bytes(write["Value"]) > limits.value_bytes
            for write in batch.body["Then"]
            if "Value" in write
        )

    def handle_lost_lease(self, batch: Batch) -> None:
        """Handle a refusal because this controller's lease has ended.

        It says nothing about edits without a lease, so only those with one are settled and the
        others are tried again. An accepted job that shares the transaction in which its
        controller joins would otherwise be answered 400, which its user takes as final.
        """
        for edit in batch.edits:
            if edit.lease_id is not None:
                self._settle(edit, False, "refused")
        rest = [edit for edit in batch.edits if edit.lease_id is None]
        self._retry(batch._replace(edits=rest))

    def handle_invalid(self, batch: Batch) -> None:
        """Handle a refusal as malformed: nothing was carried out, and a retry would fail too.

        If the transaction exceeds the later limits, these are taken as in force, and new
        transactions are formed from its edits. All other edits are settled, and so are those of
        a transaction that was formed under the later limits already.
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
        """Queue edits again, and settle those with too many conflicts or tries."""
        for key in batch.results:
            self.in_flight.discard(key)
        for edit in reversed(batch.edits):
            edit.try_count += 1
            if edit.conflict_count > MAX_CONFLICTS or edit.try_count > MAX_TRIES:
                self._settle(edit, False, "conflicts")
            else:
                self.waiting_edits.setdefault(edit.key, []).insert(0, edit)

    def settle_ended_job(self, key: str) -> None:
        """Settle the waiting edits of a key whose job has ended; none of them applies any more."""
        self.stale.discard(key)
        for edit in self.waiting_edits.pop(key, []):
            self._settle(edit, False, "over")

    def abandon_edits(self, is_abandoned: Callable[[Edit], bool]) -> None:
        """Settle the waiting edits for which `is_abandoned` returns True."""
        for key in list(self.waiting_edits):
            kept = []
            for edit in self.waiting_edits[key]:
                if is_abandoned(edit):
                    self._settle(edit, False, "abandoned")
                else:
                    kept.append(edit)
            if kept:
                self.waiting_edits[key] = kept
            else:
                del self.waiting_edits[key]
