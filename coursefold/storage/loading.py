"""Brings a view up to date with the state service, without I/O: a full load, then changes.

A full load takes several pages, which are read at different revisions, so its rows are no
snapshot. Each key is at least as new as the revision of the first page, and the changes after
that revision bring the rest.
"""

from typing import NamedTuple

from coursefold.protocol.wire import KeyRow, KeyRows, WatchResponse
from coursefold.storage import records
from coursefold.storage.view import View

PAGE_SIZE = 1000  # keys; limit of the state service
# Job ids have no character above "z", so every archived ending comes before this key.
AFTER_ENDINGS = records.ENDING_PREFIX + "~"


class IncompleteLoadError(Exception):
    """The state service announced more rows and did not deliver any."""


class PageRequest(NamedTuple):
    """A request for the keys with a prefix that come after the key `after`, in order."""

    prefix: str
    after: str
    page_size: int


class RecordLoader:
    """Loads every key below `records.ROOT` but the archived endings, which take too much memory.

    Only what is left out is named, so that no kind of record can be missing: a record that a
    controller does not have after loading counts as one that does not exist.

    Attributes:
        rows: The rows read so far.
        revision: Each row is at least as new; 0 before the first page.
        is_complete: Whether all pages have been read.
    """

    def __init__(self, page_size: int = PAGE_SIZE) -> None:
        self.page_size = page_size
        self.rows: list[KeyRow] = []
        self.revision = 0
        self.is_complete = False
        self._after = ""

    def next_request(self) -> PageRequest | None:
        """Return the next page to read; None once all have been read."""
        return None if self.is_complete else PageRequest(records.ROOT, self._after, self.page_size)

    def receive_page(self, page: KeyRows) -> None:
        """Take the response to the last request.

        Raises:
            IncompleteLoadError: The page is empty although there is more to read.
        """
        self.revision = self.revision or page.revision
        self.rows.extend(row for row in page.rows if not row.key.startswith(records.ENDING_PREFIX))
        if not page.has_more:
            self.is_complete = True
            return
        if not page.rows:
            raise IncompleteLoadError(f"no rows after {self._after!r}, though there are more")
        last_key = page.rows[-1].key
        self._after = AFTER_ENDINGS if last_key.startswith(records.ENDING_PREFIX) else last_key

    def store_in(self, view: View) -> None:
        """Replace a view's records with the loaded ones.

        Raises:
            IncompleteLoadError: Not all pages have been read.
        """
        if not self.is_complete:
            raise IncompleteLoadError("not all pages have been read")
        view.reload([(row.key, row.value, row.version) for row in self.rows], self.revision)


def apply_changes(view: View, changes: WatchResponse) -> None:
    """Apply the changes that follow the view's revision, up to the revision of the response."""
    for update in changes.updates:
        if update.set_key is not None:
            view.apply_value(update.set_key, update.value, update.version)
        elif update.removed_key is not None:
            view.apply_removal(update.removed_key, update.version)
    view.revision = max(view.revision, changes.revision)
