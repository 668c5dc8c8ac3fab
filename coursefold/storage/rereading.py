"""Rereads single keys whose cached value caused a conflict or may be outdated, without I/O.

A response shows the key as it was at some moment between the request and the response. Changes
that were watched meanwhile may be newer, so the view decides by versions what it takes.
"""

import logging
from typing import NamedTuple

from coursefold.protocol.wire import KeyRow, MissingKey
from coursefold.storage import record_parts, records
from coursefold.storage.queue import CommitQueue

log = logging.getLogger(__name__)


class RowRequest(NamedTuple):
    """A request for the value of one key."""

    key: str


class PartsRequest(NamedTuple):
    """A request for all parts of a split record, by the common prefix of their keys."""

    prefix: str


class KeyReader:
    """One rereading of a key, with what belongs to its record: parts, or the ending of a job.

    Attributes:
        key: The key.
        found: The response to the read of the key; None before.
        parts: The parts of a split record.
        ending: The response to the read of a job's ending; None for other keys and live jobs.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        self.found: KeyRow | MissingKey | None = None
        self.parts: list[KeyRow] = []
        self.ending: KeyRow | MissingKey | None = None
        self._next_request: RowRequest | PartsRequest | None = RowRequest(key)

    def next_request(self) -> RowRequest | PartsRequest | None:
        """Return the next request to send; None once all that is needed has been read."""
        return self._next_request

    def receive_row(self, found: KeyRow | MissingKey) -> None:
        """Take the response to a `RowRequest`."""
        request, self._next_request = self._next_request, None
        if request != RowRequest(self.key):
            self.ending = found
            return
        self.found = found
        if isinstance(found, MissingKey):
            if self.key.startswith(records.JOB_PREFIX):
                ending_key = self.key.replace(records.JOB_PREFIX, records.ENDING_PREFIX, 1)
                self._next_request = RowRequest(ending_key)
        elif isinstance(found.value, dict):
            self._next_request = PartsRequest(record_parts.part_key_prefix(self.key))

    def receive_parts(self, parts: list[KeyRow]) -> None:
        """Take the response to a `PartsRequest`."""
        self.parts, self._next_request = parts, None

    def store_in(self, queue: CommitQueue) -> None:
        """Apply what was read to the queue's view, and let the key's edits go on.

        The key stays stale if parts of its record are of a later version than its head.
        """
        if isinstance(self.found, KeyRow):
            self._store_row(queue, self.found)
        elif isinstance(self.found, MissingKey):
            self._store_absence(queue, self.found)

    def _store_row(self, queue: CommitQueue, row: KeyRow) -> None:
        view = queue.view
        known_version = view.last_change_version(self.key)
        is_stored = view.apply_value(self.key, row.value, row.version)
        for part in self.parts:
            is_stored |= view.apply_value(part.key, part.value, part.version)
        # Parts of a later version belong to a newer head, so the key has to be read again.
        if not view.has_missing_parts(self.key):
            queue.mark_refreshed(self.key)
        if not is_stored and view.version_of(self.key) != row.version:
            log.info(
                "key %s was read with version %d, which is not used: the last known change is"
                " that of version %d",
                self.key, row.version, known_version,
            )  # fmt: skip

    def _store_absence(self, queue: CommitQueue, missing: MissingKey) -> None:
        view = queue.view
        revision = missing.revision
        if isinstance(self.ending, KeyRow):
            revision = max(revision, self.ending.version)
        version = view.version_of(self.key)
        # The record was perhaps created after the read: only the revision of the response tells.
        if view.apply_removal(self.key, revision):
            log.info(
                "key %s was read as absent at revision %d: version %d removed",
                self.key, revision, version,
            )  # fmt: skip
        elif version > revision:
            log.info(
                "key %s was read as absent at revision %d, which is not used: version %d is known",
                self.key, revision, version,
            )  # fmt: skip
        if isinstance(self.ending, KeyRow):
            queue.settle_ended_job(self.key)
        else:
            queue.mark_refreshed(self.key)
