"""Edits: changes of single records, as functions from the current record to the next one.

So an edit can be tried again after a conflict, and is dropped when it no longer applies.
"""

from collections.abc import Callable
from typing import NamedTuple

from msgspec import Struct

from coursefold.storage import records

FIRST, SOON, LATER = 0, 1, 2


class NotApplicableError(Exception):
    """Raised by an edit that no longer applies; its text says why."""


class Remove(NamedTuple):
    """An edit's result: the key goes."""


class End(NamedTuple):
    """An edit's result: an ended job's final record moves to where it stays for good."""

    ending: records.Ending


Result = Struct | Remove | End
Change = Callable[[Struct | None], Result]


class Edit:
    """One change of one key. `fenced` edits hold only under the roster they were made for."""

    __slots__ = ("change", "conflicts", "done", "fence", "key", "permit", "rank", "tag", "tries")

    def __init__(
        self,
        key: str,
        change: Change,
        *,
        rank: int = SOON,
        fence: int | None = None,
        done: Callable[[bool, str], None] | None = None,
        permit: int | None = None,
        tag: str = "",
    ) -> None:
        self.key = key
        self.change = change
        self.rank = rank
        self.fence = fence
        self.done = done
        self.permit = permit
        self.tag = tag
        self.tries = 0
        self.conflicts = 0

    def settle(self, ok: bool, why: str = "") -> None:
        """Tell the proposer what became of the edit."""
        if self.done is not None:
            self.done(ok, why)
