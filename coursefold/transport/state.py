"""Client of the state service: leases, watches, commits and reads."""

import logging
import random
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import urlencode

from coursefold.protocol.ids import MonotonicTime
from coursefold.protocol.wire import (
    CommitResult,
    Conflict,
    KeyRow,
    KeyRows,
    Lease,
    MalformedError,
    MissingKey,
    WatchResponse,
    decode,
    encode,
)
from coursefold.storage.limits import TokenBucket
from coursefold.storage.loading import PAGE_SIZE, PageRequest
from coursefold.transport.http_client import HttpClient, NoResponseError

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 1.5
# Statuses with which the state service has processed a request; others mean unavailable.
PROCESSED_STATUSES = frozenset({200, 400, 404, 409, 410})


class UnavailableError(Exception):
    """The state service refused a request, did not respond, or sent an unreadable response.

    Attributes:
        status: The HTTP status, e.g. 429 or 503; 0 without a readable response, where the
            request may have been executed.
    """

    def __init__(self, reason: str, status: int) -> None:
        super().__init__(reason)
        self.status = status


class CommitOutcome(NamedTuple):
    """The state service's response to a commit."""

    is_committed: bool
    revision: int  # 0 if the request was malformed
    failed_keys: list[str]  # keys whose conditions did not hold
    is_malformed: bool = False
    is_lease_missing: bool = False  # malformed because the lease that it names does not exist


class StateClient:
    """Speaks the state service's protocol.

    Attributes:
        client: The connections for all requests but waiting watches.
        watch_client: The connection for watches that wait.
        clock: Returns the monotonic time.
        on_response: Called after each processed request with the time when it was sent.
        read_budget: Limits the reads that users' requests cause.
    """

    def __init__(
        self,
        address: str,
        rps: float,
        controller_count: int,
        clock: Callable[[], MonotonicTime],
        on_response: Callable[[MonotonicTime], None],
    ) -> None:
        self.client = HttpClient(address, max_connections=8)
        self.watch_client = HttpClient(address, max_connections=1)
        self.clock, self.on_response = clock, on_response
        # For users' reads of jobs that ended long ago, or are unknown. These have a separate
        # budget, because a leader that writes a lot would otherwise refuse the polls of the
        # same jobs for ever.
        self.read_budget = TokenBucket(
            rps * 0.2 / controller_count, max(2.0, rps * 0.4 / controller_count)
        )

    async def _send(
        self, method: str, path: str, body: Any = None, timeout_s: float = REQUEST_TIMEOUT_S,
        client: HttpClient | None = None,
    ) -> tuple[int, bytes]:  # fmt: skip
        sent_at = self.clock()
        payload = None if body is None else encode(body)
        try:
            status, response = await (client or self.client).fetch(method, path, payload, timeout_s)
        except NoResponseError as error:
            raise UnavailableError(str(error), 0) from None
        if status not in PROCESSED_STATUSES:
            raise UnavailableError(f"{method} {path}: status {status}", status)
        self.on_response(sent_at)
        return status, response

    def try_reserve_read(self) -> bool:
        """Reserve one read for a user's request; return False if the budget is used up."""
        if self.read_budget.refill(self.clock()) < 1.0:
            return False
        self.read_budget.spend(self.clock(), 1.0)
        return True

    async def grant_lease(self, duration_ms: int) -> int:
        """Create a lease and return its id."""
        status, response = await self._send("POST", "/leases", {"LifeMs": duration_ms})
        if status != 200:
            raise UnavailableError(f"creating a lease: status {status}", status)
        return int(self._decode(response, Lease).lease_id)

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; return False if it has expired."""
        status, _ = await self._send("POST", f"/leases/{lease_id}/touch", {})
        return status == 200

    async def get_row(self, key: str) -> KeyRow | MissingKey:
        """Return a key's value and version, or the revision at which the key did not exist."""
        status, response = await self._send("GET", f"/keys/{key}")
        found: KeyRow | MissingKey = self._decode(response, KeyRow if status == 200 else MissingKey)
        return found

    async def list_rows(self, prefix: str) -> list[KeyRow]:
        """Return all keys with a prefix."""
        found: list[KeyRow] = []
        after = ""
        while True:
            page = await self.list_page(PageRequest(prefix, after, PAGE_SIZE))
            found.extend(page.rows)
            if not page.has_more or not page.rows:
                return found
            after = page.rows[-1].key

    async def list_page(self, request: PageRequest) -> KeyRows:
        """Return one page of keys."""
        query = {"Prefix": request.prefix, "Page": str(request.page_size)}
        if request.after:
            query["From"] = request.after
        status, response = await self._send("GET", "/keys?" + urlencode(query, safe="/"))
        if status != 200:
            raise UnavailableError(f"listing keys: status {status}", status)
        page: KeyRows = self._decode(response, KeyRows)
        return page

    async def watch(self, prefix: str, since: int, wait_ms: int) -> WatchResponse | None:
        """Return the changes after a revision.

        A watch that waits uses a connection of its own. One that does not wait uses the others:
        behind a waiting watch it would be delayed for so long that polls time out.

        Args:
            prefix: The prefix of the keys to watch.
            since: The revision.
            wait_ms: The time to wait for a first change; 0 returns at once.

        Returns:
            The changes; None if the service no longer knows all changes after `since`.
        """
        query = urlencode({"Prefix": prefix, "From": since, "WaitMs": wait_ms}, safe="/")
        client, timeout_s = (
            (self.watch_client, wait_ms / 1000 + 2.0) if wait_ms else (None, REQUEST_TIMEOUT_S)
        )
        status, response = await self._send("GET", "/follow?" + query, None, timeout_s, client)
        return self._decode(response, WatchResponse) if status == 200 else None

    async def commit(self, body: dict[str, Any]) -> CommitOutcome:
        """Send one transaction."""
        status, response = await self._send("POST", "/commit", body)
        if status == 200:
            return CommitOutcome(True, self._decode(response, CommitResult).revision, [])
        if status == 409:
            conflict = self._decode(response, Conflict)
            return CommitOutcome(False, conflict.revision, conflict.failed)
        log.error("state service refused a commit as malformed: %d %r", status, response[:200])
        return CommitOutcome(False, 0, [], is_malformed=True, is_lease_missing=b"lease" in response)

    @staticmethod
    def _decode(response: bytes, message_type: Any) -> Any:
        try:
            return decode(response, message_type)
        except MalformedError as error:
            raise UnavailableError(f"response is unreadable: {error}", 0) from None


def add_jitter(duration_s: float) -> float:
    """Return a duration made up to 40 % shorter or longer at random."""
    return duration_s * random.uniform(0.6, 1.4)
