"""Edits: changes of single records, as functions from the current record to the next one.

An edit can therefore be retried after a conflict, and is dropped when it no longer applies.
"""

from collections.abc import Callable
from typing import NamedTuple

from msgspec import Struct

from coursefold.storage import records

HIGH_PRIORITY, NORMAL_PRIORITY, LOW_PRIORITY = 0, 1, 2
TOO_LARGE = "too large"  # reason of an edit that is given up because its record has no room


class NotApplicableError(Exception):
    """Raised by an edit that no longer applies; the text is the reason."""


class DeleteKey(NamedTuple):
    """Result of an edit that deletes the key."""


class ArchiveEnding(NamedTuple):
    """Result of an edit that moves an ended job's final record to its permanent key."""

    ending: records.Ending


EditResult = Struct | DeleteKey | ArchiveEnding
Change = Callable[[Struct | None], EditResult]  # from the current record, None if there is none


class EditOrigin(NamedTuple):
    """Which kind of change an edit makes, and the controller that decided on it."""

    kind: str
    member: str

    def __str__(self) -> str:
        return f"{self.kind} by {self.member}"


class Edit:
    """One change of one key.

    Attributes:
        key: The key of the state service.
        change: Computes the next record from the current one, or raises NotApplicableError.
        priority: HIGH_PRIORITY, NORMAL_PRIORITY or LOW_PRIORITY.
        fencing_token: The roster's version under which alone the edit may be committed;
            None: under any.
        on_settled: Called once with the result: whether the edit was committed, and the reason
            if it was not.
        lease_id: The lease that the key is attached to; None: the key does not expire.
        tag: Of edits with the same key and tag only one is pending at a time; empty: any number.
        origin: For the log; None if it is of no interest there.
        try_count: Failed attempts so far.
        conflict_count: Those among them in which the edit's own condition did not hold.
    """

    __slots__ = (
        "change",
        "conflict_count",
        "fencing_token",
        "key",
        "lease_id",
        "on_settled",
        "origin",
        "priority",
        "tag",
        "try_count",
    )

    def __init__(
        self,
        key: str,
        change: Change,
        *,
        priority: int = NORMAL_PRIORITY,
        fencing_token: int | None = None,
        on_settled: Callable[[bool, str], None] | None = None,
        lease_id: int | None = None,
        tag: str = "",
        origin: EditOrigin | None = None,
    ) -> None:
        self.key = key
        self.change = change
        self.priority = priority
        self.fencing_token = fencing_token
        self.on_settled = on_settled
        self.lease_id = lease_id
        self.tag = tag
        self.origin = origin
        self.try_count = 0
        self.conflict_count = 0

    def settle(self, ok: bool, why: str = "") -> None:
        """Report the edit's result to its proposer."""
        if self.on_settled is not None:
            self.on_settled(ok, why)
