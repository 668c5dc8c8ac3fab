"""Edits: changes of single records, as functions from the current record to the next one.

So an edit can be tried again after a conflict, and is dropped when it no longer applies.
"""

from collections.abc import Callable
from typing import NamedTuple

from msgspec import Struct

from coursefold.storage import records

HIGH_PRIORITY, NORMAL_PRIORITY, LOW_PRIORITY = 0, 1, 2


class NotApplicableError(Exception):
    """Raised by an edit that no longer applies; its text says why."""


class DeleteKey(NamedTuple):
    """An edit's result: the key goes."""


class ArchiveEnding(NamedTuple):
    """An edit's result: an ended job's final record moves to where it stays for good."""

    ending: records.Ending


EditResult = Struct | DeleteKey | ArchiveEnding
Change = Callable[[Struct | None], EditResult]


class Edit:
    """One change of one key. `fenced` edits hold only under the roster they were made for."""

    __slots__ = (
        "change",
        "conflict_count",
        "fencing_token",
        "key",
        "lease_id",
        "on_settled",
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
    ) -> None:
        self.key = key
        self.change = change
        self.priority = priority
        self.fencing_token = fencing_token
        self.on_settled = on_settled
        self.lease_id = lease_id
        self.tag = tag
        self.try_count = 0
        self.conflict_count = 0

    def settle(self, ok: bool, why: str = "") -> None:
        """Tell the proposer what became of the edit."""
        if self.on_settled is not None:
            self.on_settled(ok, why)
