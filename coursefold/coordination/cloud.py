"""Client for the cloud's API: rate limiting, concurrency limits and pending requests.

The cloud rejects requests above its rate with 429 and answers 503 during an outage; after
either all requests pause for a moment. Nothing is retried here: whoever needs the response
sends the request again.
"""

import math
from enum import StrEnum
from typing import Any, NamedTuple

from coursefold.coordination.context import Context
from coursefold.coordination.demand import PoolId
from coursefold.coordination.effects import CloudCall
from coursefold.storage.limits import TokenBucket
from coursefold.storage.records import Rental

RATE_SHARE = 0.8  # of the cloud's rate; the last requests of a former leader use some of it, too
MIN_RENTALS_IN_FLIGHT = 2
SLOW_RESPONSE_S = 0.2  # with responses as slow as this, rentals can still use up the rate
RATE_LIMIT_PAUSE_S = 0.6
OUTAGE_PAUSE_S = 1.5
NO_RESPONSE = 0  # in place of an HTTP status


class CloudOperation(StrEnum):
    """Operations of the cloud's API."""

    CATALOG = "catalog"
    LIST = "list"
    RENT = "hire"
    RETURN = "return"


class RentalRequest(NamedTuple):
    """A request for machines of a pool."""

    pool: PoolId
    rental: Rental


class ListRequest(NamedTuple):
    """A request for a page of the machine list: the names after `start_after`, or the first."""

    start_after: str


class ReturnRequest(NamedTuple):
    """A request to return machines."""

    machines: list[str]


class CatalogRequest(NamedTuple):
    """A request for the machine types and their prices."""


CloudRequest = RentalRequest | ListRequest | ReturnRequest | CatalogRequest


class PendingCall(NamedTuple):
    """A request that was sent and has no response yet."""

    operation: CloudOperation
    request: CloudRequest


def has_no_capacity(status: int, body: bytes) -> bool:
    """Return whether the cloud has none of the requested machines, as opposed to an outage."""
    return status == 503 and b"capacity" in body


class CloudClient:
    """Sends requests within the cloud's rate and matches responses to them."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        rate = ctx.settings.params.cloud.rps
        self.token_bucket = TokenBucket(rate * RATE_SHARE, max(1.0, rate))
        self.pending_calls: dict[int, PendingCall] = {}
        self.last_call_id = 0
        self.paused_until = 0.0
        self.max_rentals_in_flight = max(
            MIN_RENTALS_IN_FLIGHT, math.ceil(rate * RATE_SHARE * SLOW_RESPONSE_S)
        )

    def send(self, operation: CloudOperation, body: dict[str, Any], request: CloudRequest) -> bool:
        """Send a request.

        Returns False, and sends nothing, during a pause, above the rate, or while as many
        requests of the operation as are allowed at once are pending (one, except rentals).
        """
        ctx = self.ctx
        if ctx.now < self.paused_until or self.token_bucket.refill(ctx.now) < 1.0:
            return False
        max_in_flight = self.max_rentals_in_flight if operation is CloudOperation.RENT else 1
        if (
            sum(1 for call in self.pending_calls.values() if call.operation is operation)
            >= max_in_flight
        ):
            return False
        self.token_bucket.spend(ctx.now, 1.0)
        self.last_call_id += 1
        self.pending_calls[self.last_call_id] = PendingCall(operation, request)
        ctx.effects.append(CloudCall(self.last_call_id, operation, body))
        return True

    def match_response(self, call_id: int, status: int, body: bytes) -> PendingCall | None:
        """Return the request to which a response belongs; None if none is pending any more.

        Args:
            call_id: Number of the call.
            status: HTTP status; 0 if there was no response.
            body: Body of the response.
        """
        call = self.pending_calls.pop(call_id, None)
        if call is None:
            return None
        if status == 429:
            self.paused_until = self.ctx.now + RATE_LIMIT_PAUSE_S
        elif status == NO_RESPONSE or (status == 503 and not has_no_capacity(status, body)):
            self.paused_until = self.ctx.now + OUTAGE_PAUSE_S
        return call

    def rentals_in_flight(self) -> set[str]:
        """Return the names of the rental requests without a response."""
        requests = (call.request for call in self.pending_calls.values())
        return {request.rental.name for request in requests if isinstance(request, RentalRequest)}

    def discard_pending(self) -> None:
        """Forget what was sent under an earlier fencing token; late responses are ignored."""
        self.pending_calls.clear()
