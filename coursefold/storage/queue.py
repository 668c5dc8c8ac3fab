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
from coursefold.storage import codec, records, spreading
from coursefold.storage.batches import Batch, Draft
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

MOST_CONFLICTS = 8  # of one edit; then its proposer looks at the record anew
MOST_TRIES = 1000  # refusals and missing answers included: minutes of an outage


class CommitQueue:
    """Edits waiting and under way."""

    def __init__(
        self,
        view: View,
        *,
        txn_ops: int,
        value_kb: float,
        write_rps: float,
        later: StateServiceLimits | None = None,
    ) -> None:
        self.view = view
        self.limits = StateServiceLimits(txn_ops, int(value_kb * 1024), write_rps)
        self.later = later
        self.parked: dict[str, list[Edit]] = {}
        self.wall = 0.0
        self.waiting: dict[str, list[Edit]] = {}
        self.flying: set[str] = set()
        self.stale: set[str] = set()
        # The service counts all nodes' changes together. Leases, accepts and cancellations
        # have a budget of their own, so that no backlog of other work delays them.
        self.first = TokenBucket(write_rps * 0.5, max(2.0, write_rps * 0.5))
        self.budget = TokenBucket(write_rps * 0.8, max(2.0, write_rps * 0.6))
        self.pause_until = MonotonicTime(0.0)
        self.tags: set[tuple[str, str]] = set()
        self.fresh = False  # something was proposed since the last look

    def share(self, leading: bool, nodes: int) -> None:
        """Our part of the rate: the leader writes for all, others little but accepts."""
        others = min(0.12, 0.3 / max(1, nodes - 1))
        part = 0.85 - others * (nodes - 1) if leading else others
        rate = self.limits.write_rps
        self.budget.rate = rate * part
        self.budget.burst = max(3.0, rate * part * 0.6)
        self.first.rate = rate * 0.5
        self.first.burst = max(2.0, rate * 0.5)
        if self.view.level:
            self._lower(sizes=True)  # what is written from the switch on fits either way
            for key in list(self.parked):
                self.waiting[key] = [*self.parked.pop(key), *self.waiting.get(key, [])]

    def _lower(self, *, sizes: bool = False, rate: bool = False) -> None:
        """Take the limits to come, or a part of them, if there are any."""
        if self.later is None:
            return
        now = self.limits
        if sizes:
            now = now._replace(txn_ops=self.later.txn_ops, value_bytes=self.later.value_bytes)
        if rate:
            now = now._replace(write_rps=self.later.write_rps)
        if now != self.limits:
            self.limits = now
            log.info("limits of the state service: %s", now)

    def most_parts(self) -> int:
        """Keys of one record; some are left for what has to go with it."""
        return max(1, min(self.limits.txn_ops - 1, 16))

    def idle(self, now: MonotonicTime) -> bool:
        """True if there is room for what is never urgent."""
        return not self.waiting and self.budget.refill(now) >= 0.95 * self.budget.burst

    def urgent(self) -> int:
        """Keys that wait with acceptances, cancellations or what membership needs."""
        return sum(
            any(e.priority == HIGH_PRIORITY for e in edits) for edits in self.waiting.values()
        )

    def claim(self, edit: Edit) -> bool:
        """Reserve an edit's tag while it is under way elsewhere."""
        if edit.tag:
            if (edit.key, edit.tag) in self.tags:
                return False
            self.tags.add((edit.key, edit.tag))
        return True

    def release(self, edit: Edit) -> None:
        """It is not under way elsewhere any more."""
        self.tags.discard((edit.key, edit.tag))

    def settle(self, edit: Edit, ok: bool, why: str) -> None:
        """What became of a claimed edit elsewhere."""
        self._settle(edit, ok, why)

    def propose(self, edit: Edit) -> bool:
        """Queue an edit; False if one with the same tag waits already."""
        if not self.claim(edit):
            return False
        self.waiting.setdefault(edit.key, []).append(edit)
        self.fresh = True
        return True

    def busy(self, key: str) -> bool:
        """True while edits of the key wait or fly."""
        return key in self.waiting or key in self.flying

    def _settle(self, edit: Edit, ok: bool, why: str = "") -> None:
        if edit.tag:
            self.tags.discard((edit.key, edit.tag))
        edit.settle(ok, why)

    def stale_keys(self) -> list[str]:
        """Keys to be read again before they can be written."""
        return sorted(self.stale)

    def refreshed(self, key: str) -> None:
        """The key was read again."""
        self.stale.discard(key)

    def _build(
        self, key: str, edits: list[Edit], one_by_one: bool = False
    ) -> tuple[list[Edit], EditResult | None]:
        """Apply a key's edits to its record; those that do not apply are settled.

        An edit that fails only because of another in the same transaction waits
        for the outcome: a second cancellation must not be answered "cancelled"
        before the first one is written.
        """
        held = self.view.held.get(key)
        before: Struct | None = held.record if held else None
        if key in self.view.unreadable:
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
            outcome = self._apply(edit, current, deferred if kept else None)
            if outcome is None:
                continue
            if one_by_one and self._too_large(outcome):
                self._put_aside(edit, before, outcome)
                continue
            if isinstance(outcome, records.Ending) and self.view.level:
                outcome = msgspec.structs.replace(outcome, ended_at=round(self.wall, 1))
            result = outcome
            if isinstance(outcome, Struct):
                current = outcome
            kept.append(edit)
        if not one_by_one and self._too_large(result):
            # Rare: find out which edits fit. Measuring after each one costs too much.
            return self._build(key, [*kept, *deferred], one_by_one=True)
        if deferred:
            self.waiting[key] = deferred
        return kept, result

    def _apply(
        self, edit: Edit, current: Struct | None, deferred: list[Edit] | None
    ) -> EditResult | None:
        """An edit's outcome; None if it does not apply, and is settled or, if it may, deferred."""
        if edit.fencing_token is not None and edit.fencing_token != self.view.token:
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

    def _put_aside(self, edit: Edit, before: Struct | None, outcome: EditResult) -> None:
        """An edit whose record is too large: it waits if it makes the record smaller."""
        if self._shrinks(before, outcome):
            self.parked.setdefault(edit.key, []).append(edit)
        else:
            self._settle(edit, False, "too large")

    def _too_large(self, result: EditResult | None) -> bool:
        """True if the record cannot be written within the service's limits."""
        if not isinstance(result, (JobRecord, records.PoolRecord)):
            return False
        value = codec.encode_record(result, self.view.level)
        if codec.json_size_bytes(value) <= self.limits.value_bytes:
            return False
        if not self.view.level:
            return True
        return len(spreading.spread(value, self.limits.value_bytes).parts) >= self.most_parts()

    def _shrinks(self, before: Struct | None, result: EditResult) -> bool:
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
        if now < self.pause_until or not self.waiting:
            return None
        ready = [k for k in self.waiting if k not in self.flying and k not in self.stale]
        if not ready:
            return None
        bulk = int(self.budget.refill(now))
        urgent = max(bulk, int(self.first.refill(now)))
        if urgent < 1:
            return None  # before a long backlog is sorted for nothing
        ranks = {k: min(e.priority for e in self.waiting[k]) for k in ready}
        ready.sort(key=ranks.__getitem__)
        draft = Draft(self.view, self.limits)
        for key in ready:
            room = urgent if ranks[key] == HIGH_PRIORITY else bulk
            if not draft.has_room(room):
                break
            if draft.goes_with(self.waiting[key]) and not self._add(draft, key):
                break
        if not draft.writes:
            return None
        first = sum(1 for key in draft.results if ranks[key] == HIGH_PRIORITY)
        self.first.spend(now, min(first, self.first.available))
        self.budget.spend(now, len(draft.writes) - min(first, len(draft.writes)))
        self.flying.update(draft.results)
        return draft.batch()

    def _add(self, draft: Draft, key: str) -> bool:
        """Add a key's edits to a transaction; False if it is full."""
        edits, result = self._build(key, self.waiting.pop(key))
        if result is None:
            return True
        change = draft.change_of(key, result, edits[-1].lease_id)
        if draft.takes(change):
            draft.add(key, edits, result, change)
            return True
        self.waiting[key] = [*edits, *self.waiting.get(key, [])]
        return not draft.is_too_heavy(change)  # something smaller may still fit

    def applied(self, batch: Batch, ledger: int) -> None:
        """The transaction was carried out at this revision."""
        for key, result in batch.results.items():
            self.flying.discard(key)
            if isinstance(result, (DeleteKey, ArchiveEnding)):
                self.view.drop(key, ledger)
                if isinstance(result, ArchiveEnding):
                    self.view.remember(key, result.ending)
            elif ledger > self.view.stamp(key):
                self.view.keep(key, result, ledger, batch.parts.get(key, 0))
        for edit in batch.edits:
            self._settle(edit, True)

    def conflicted(self, batch: Batch, failed: list[str]) -> None:
        """Nothing was carried out: read the failed keys again, then try the edits again."""
        self.stale.update(k.replace(records.ENDING_PREFIX, records.JOB_PREFIX, 1) for k in failed)
        for edit in batch.edits:
            edit.conflict_count += 1
        self._again(batch)

    def refused(self, batch: Batch, now: MonotonicTime, pause: float) -> None:
        """Nothing was carried out (429, 503): the same again after a pause."""
        self.pause_until = MonotonicTime(now + pause)
        self._again(batch)

    def unknown(self, batch: Batch, now: MonotonicTime, pause: float) -> None:
        """No answer: it may have been carried out, or may yet be; read again first."""
        self.stale.update(batch.results)
        self.pause_until = MonotonicTime(now + pause)
        self._again(batch)

    def slower(self) -> None:
        """Over the rate (429): after the switch the lower one may have come.

        Before it, a burst of our own is the likelier cause.
        """
        if self.view.level:
            self._lower(rate=True)

    def _beyond(self, batch: Batch, limits: StateServiceLimits) -> bool:
        """Would this transaction be too much under these limits?"""
        return batch.writes > limits.txn_ops or any(
            codec.json_size_bytes(op["Value"]) > limits.value_bytes
            for op in batch.body["Then"]
            if "Value" in op
        )

    def lease_gone(self, batch: Batch) -> None:
        """Refused because our lease has ended: that says nothing of the other edits.

        Seen in a drawn day of the tests: an acceptance that shared the transaction in which
        its node joined was answered 400, which its user takes for the last word.
        """
        for edit in batch.edits:
            if edit.lease_id is not None:
                self._settle(edit, False, "refused")
        rest = [edit for edit in batch.edits if edit.lease_id is None]
        self._again(batch._replace(edits=rest))

    def invalid(self, batch: Batch) -> None:
        """Refused as malformed: nothing was carried out, and the same would fare no better.

        What is beyond the limits to come shows that they have come: its edits are formed
        anew. All else is settled, and so is what was formed under these very limits.
        """
        if self.later is not None and self._beyond(batch, self.later):
            self._lower(sizes=True, rate=True)
            if batch.limits != self.limits:
                self._again(batch)
                return
        for key in batch.results:
            self.flying.discard(key)
        self.stale.update(batch.results)
        for edit in batch.edits:
            self._settle(edit, False, "refused")

    def _again(self, batch: Batch) -> None:
        """Try edits again, but for those that met too many conflicts, or that nothing helps."""
        for key in batch.results:
            self.flying.discard(key)
        for edit in reversed(batch.edits):
            edit.try_count += 1
            if edit.conflict_count > MOST_CONFLICTS or edit.try_count > MOST_TRIES:
                self._settle(edit, False, "conflicts")
            else:
                self.waiting.setdefault(edit.key, []).insert(0, edit)

    def over(self, key: str) -> None:
        """The key's job has an ending: nothing waiting for it applies any more."""
        self.stale.discard(key)
        for edit in self.waiting.pop(key, []):
            self._settle(edit, False, "over")

    def abandon(self, edit_done: Callable[[Edit], bool]) -> None:
        """Settle the waiting edits that the caller no longer wants."""
        for key in list(self.waiting):
            keep = []
            for edit in self.waiting[key]:
                if edit_done(edit):
                    self._settle(edit, False, "abandoned")
                else:
                    keep.append(edit)
            if keep:
                self.waiting[key] = keep
            else:
                del self.waiting[key]
