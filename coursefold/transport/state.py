"""Client of the state service: leases, follow, commits, reads."""

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
    WatchResponse,
    decode,
    encode,
)
from coursefold.storage.limits import TokenBucket
from coursefold.transport.http_client import HttpClient, NoResponseError

log = logging.getLogger(__name__)

REQUEST_S = 1.5
ANSWERS = frozenset({200, 400, 404, 409, 410})


class UnavailableError(Exception):
    """503, 429 or no answer; `executed` is True if it may have been carried out."""

    def __init__(self, why: str, status: int) -> None:
        super().__init__(why)
        self.status = status


class Outcome(NamedTuple):
    """A commit's answer."""

    ok: bool
    ledger: int
    failed: list[str]
    malformed: bool = False
    no_lease: bool = False


class StateClient:
    """The state service by its protocol, within this node's share of its rate."""

    def __init__(
        self,
        address: str,
        rps: float,
        nodes: int,
        clock: Callable[[], MonotonicTime],
        heard: Callable[[MonotonicTime], None],
    ) -> None:
        self.http = HttpClient(address, connections=8)
        self.watch = HttpClient(address, connections=1)
        self.clock, self.heard = clock, heard
        # For users' reads of jobs that ended long ago, or are unknown. A part of their own:
        # a leader that writes a lot would otherwise refuse the same job's polls for ever.
        self.reads = TokenBucket(rps * 0.2 / nodes, max(2.0, rps * 0.4 / nodes))

    async def _ask(
        self, method: str, path: str, body: Any = None, timeout: float = REQUEST_S,
        client: HttpClient | None = None,
    ) -> tuple[int, bytes]:  # fmt: skip
        sent = self.clock()
        payload = None if body is None else encode(body)
        try:
            status, answer = await (client or self.http).fetch(method, path, payload, timeout)
        except NoResponseError as wrong:
            raise UnavailableError(str(wrong), 0) from None
        if status not in ANSWERS:
            raise UnavailableError(f"{method} {path}: {status}", status)
        self.heard(sent)
        return status, answer

    def try_reserve_read(self) -> bool:
        """Room for one user's read? It is taken."""
        if self.reads.refill(self.clock()) < 1.0:
            return False
        self.reads.spend(self.clock(), 1.0)
        return True

    async def grant(self, life_ms: int) -> int:
        """A new lease."""
        status, answer = await self._ask("POST", "/leases", {"LifeMs": life_ms})
        if status != 200:
            raise UnavailableError(f"lease: {status}", status)
        return int(self._decode(answer, Lease).lease_id)

    async def touch(self, permit: int) -> bool:
        """True if the lease lives; False if it has ended."""
        status, _ = await self._ask("POST", f"/leases/{permit}/touch", {})
        return status == 200

    async def get(self, key: str) -> KeyRow | None:
        """A key; None if it does not exist."""
        status, answer = await self._ask("GET", f"/keys/{key}")
        return self._decode(answer, KeyRow) if status == 200 else None

    async def rows(self, prefix: str, after: str = "") -> tuple[list[KeyRow], int]:
        """Every key with the prefix, and a revision that the listing is at least as new as."""
        found: list[KeyRow] = []
        first = 0
        while True:
            query = {"Prefix": prefix, "Page": "1000"}
            if after:
                query["From"] = after
            status, answer = await self._ask("GET", "/keys?" + urlencode(query, safe="/"))
            if status != 200:
                raise UnavailableError(f"keys: {status}", status)
            page = self._decode(answer, KeyRows)
            first = first or page.revision
            found.extend(page.rows)
            if not page.has_more or not page.rows:
                return found, first
            after = page.rows[-1].key

    async def follow(self, prefix: str, since: int, wait_ms: int) -> WatchResponse | None:
        """Changes after a revision; None if it is too old.

        A follow that waits has a connection of its own. One that does not must not
        queue up behind it: polls were seen to time out for that.
        """
        query = urlencode({"Prefix": prefix, "From": since, "WaitMs": wait_ms}, safe="/")
        client, timeout = (self.watch, wait_ms / 1000 + 2.0) if wait_ms else (None, REQUEST_S)
        status, answer = await self._ask("GET", "/follow?" + query, None, timeout, client)
        return self._decode(answer, WatchResponse) if status == 200 else None

    async def commit(self, body: dict[str, Any]) -> Outcome:
        """One transaction."""
        status, answer = await self._ask("POST", "/commit", body)
        if status == 200:
            return Outcome(True, self._decode(answer, CommitResult).revision, [])
        if status == 409:
            conflict = self._decode(answer, Conflict)
            return Outcome(False, conflict.revision, conflict.failed)
        log.error("commit refused: %d %r", status, answer[:200])
        return Outcome(False, 0, [], malformed=True, no_lease=b"lease" in answer)

    @staticmethod
    def _decode(answer: bytes, shape: Any) -> Any:
        try:
            return decode(answer, shape)
        except MalformedError as wrong:
            raise UnavailableError(f"answer not readable: {wrong}", 0) from None


def jitter(pause: float) -> float:
    """A pause, up to two fifths shorter or longer."""
    return pause * random.uniform(0.6, 1.4)
