"""Requests to the cloud: within its rate, few at a time, with what each one was for.

The cloud refuses what goes beyond its rate and answers 503 while it is out; either pauses
all requests for a moment. What was asked for stays with the owner of the request, who asks
again.
"""

import math
from enum import StrEnum
from typing import Any, NamedTuple

from coursefold.coordination.context import Context
from coursefold.coordination.demand import PoolId
from coursefold.coordination.effects import CloudCall
from coursefold.storage.limits import Budget
from coursefold.storage.records import Hire

OWN_SHARE = 0.8  # of the cloud's rate; a former leader's last requests take some, too
LEAST_HIRES_AT_ONCE = 2
SLOW_ANSWER_S = 0.2  # an answer of the cloud may take so long; then the rate is still used up
RATE_PAUSE_S = 0.6
OUTAGE_PAUSE_S = 1.5
NO_ANSWER = 0


class CloudOperation(StrEnum):
    """What the cloud can be asked for."""

    CATALOG = "catalog"
    LIST = "list"
    RENT = "hire"
    RETURN = "return"


class RentalRequest(NamedTuple):
    """A rental request that awaits its answer, and the pool that it is for."""

    pool: PoolId
    rental: Hire


class ListRequest(NamedTuple):
    """A page of the machine list, by the name that it begins after."""

    start_after: str


class ReturnRequest(NamedTuple):
    """Machines that are being given back."""

    machines: list[str]


class CatalogRequest(NamedTuple):
    """The machine types and their prices."""


CloudRequest = RentalRequest | ListRequest | ReturnRequest | CatalogRequest


class PendingCall(NamedTuple):
    """A request that awaits its answer."""

    operation: CloudOperation
    request: CloudRequest


def has_no_capacity(status: int, body: bytes) -> bool:
    """Did the cloud say that it has no such machines now?"""
    return status == 503 and b"capacity" in body


class CloudClient:
    """Sends requests within the cloud's rate and keeps those that await an answer."""

    def __init__(self, ctx: Context) -> None:
        self.ctx = ctx
        rate = ctx.settings.params.cloud.rps
        self.budget = Budget(rate * OWN_SHARE, max(1.0, rate))
        self.pending_calls: dict[int, PendingCall] = {}
        self.last_call_id = 0
        self.paused_until = 0.0
        self.max_rentals_in_flight = max(
            LEAST_HIRES_AT_ONCE, math.ceil(rate * OWN_SHARE * SLOW_ANSWER_S)
        )

    def send(self, verb: CloudOperation, body: dict[str, Any], subject: CloudRequest) -> bool:
        """Send a request; False if the rate or what is under way does not allow it now."""
        ctx = self.ctx
        if ctx.now < self.paused_until or self.budget.fill(ctx.now) < 1.0:
            return False
        most = self.max_rentals_in_flight if verb is CloudOperation.RENT else 1
        if sum(1 for call in self.pending_calls.values() if call.operation is verb) >= most:
            return False
        self.budget.take(ctx.now, 1.0)
        self.last_call_id += 1
        self.pending_calls[self.last_call_id] = PendingCall(verb, subject)
        ctx.effects.append(CloudCall(self.last_call_id, verb, body))
        return True

    def match_response(self, call: int, status: int, body: bytes) -> PendingCall | None:
        """The request that an answer belongs to; None if it is no longer awaited."""
        pending = self.pending_calls.pop(call, None)
        if pending is None:
            return None
        if status == 429:
            self.paused_until = self.ctx.now + RATE_PAUSE_S
        elif status == NO_ANSWER or (status == 503 and not has_no_capacity(status, body)):
            self.paused_until = self.ctx.now + OUTAGE_PAUSE_S
        return pending

    def rentals_in_flight(self) -> set[str]:
        """Names of the rental requests that await an answer."""
        subjects = (call.request for call in self.pending_calls.values())
        return {s.rental.name for s in subjects if isinstance(s, RentalRequest)}

    def discard_pending(self) -> None:
        """Drop what a former leadership asked for; late answers then change nothing."""
        self.pending_calls.clear()
