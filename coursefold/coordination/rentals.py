"""Rental requests: recorded in the state service, then sent to the cloud until answered.

The cloud gives the same answer to each request of one name, and a name is never reused. So
the next leader can repeat a recorded request without renting twice. Where the cloud has no
capacity, nothing is requested for a while, so that other zones and types are tried.
"""

import logging

import msgspec
from msgspec import Struct

from coursefold.coordination.cloud import (
    CloudClient,
    CloudOperation,
    RentalRequest,
    has_no_capacity,
)
from coursefold.coordination.context import Context
from coursefold.coordination.demand import PoolId
from coursefold.coordination.inventory import Inventory
from coursefold.coordination.placement import MachineOffering
from coursefold.protocol.wire import MachineNames, decode
from coursefold.storage import codec
from coursefold.storage.edits import Edit, EditResult, NotApplicableError
from coursefold.storage.records import PoolRecord, Rental, pool_key

log = logging.getLogger(__name__)

MAX_MACHINES_PER_REQUEST = 50  # limit of the cloud's API
MAX_OPEN_REQUESTS = 60  # unanswered ones of a pool, which its record holds
REFUSED_PAUSE_S = 12.0  # after a first refusal; the pause grows by as much with each further one
MAX_REFUSED_PAUSES = 4
RESPONSE_RETENTION_S = 60.0  # by then the cloud's list shows the rented machines
LISTS_BEFORE_TRUST = 3  # machine lists that a new leader reads before it ignores old responses
RECORD_RESERVE_BYTES = 200


def parse_pool_key(key: str) -> PoolId:
    """Return the pool that a record's key denotes: `TYPE/spot` or `TYPE/ordinary`."""
    machine_type, _, kind = key.partition("/")
    return PoolId(machine_type, kind == "spot")


class RentalManager:
    """Rental requests of this leader and of former ones.

    Attributes:
        last_number: Number of the last request of this process. It is never reset, because
            request names consist of fencing token and number, and one process may lead twice
            under the same token.
        blocked_until: Offerings without capacity, and until when none of them is requested.
        refusal_counts: Refusals by offering since the cloud last filled a whole request for it.
        in_flight: Names of requests that were sent and have no response.
        answered: Names of requests whose response came under the present fencing token.
    """

    def __init__(self, ctx: Context, cloud: CloudClient, inventory: Inventory) -> None:
        self.ctx = ctx
        self.cloud = cloud
        self.inventory = inventory
        self.last_number = 0
        self.reset()

    def reset(self) -> None:
        """Forget blocked offerings and all requests, as a new leader does."""
        self.blocked_until: dict[MachineOffering, float] = {}
        self.refusal_counts: dict[MachineOffering, int] = {}
        self.begin_term()

    def begin_term(self) -> None:
        """Forget which requests were sent or answered, at the start under a new fencing token."""
        self.in_flight: set[str] = set()
        self.answered: set[str] = set()

    def is_blocked(self, offering: MachineOffering) -> bool:
        """Return whether the cloud recently had no capacity for the offering."""
        return self.blocked_until.get(offering, 0.0) > self.ctx.now

    def has_pending_write(self, pool: PoolId) -> bool:
        """Return whether a change of the pool's record is not committed yet."""
        return self.ctx.queue.is_busy(pool_key(str(pool)))

    def count_requestable(self, pool: PoolId) -> int:
        """Return how many machines of a pool may be requested beside its unanswered requests."""
        record = self.ctx.view.pools.get(str(pool), PoolRecord())
        open_count = sum(rental.machines is None for rental in record.rentals)
        return max(0, MAX_OPEN_REQUESTS - open_count) * MAX_MACHINES_PER_REQUEST

    def rent(self, pool: PoolId, zone: str, count: int) -> None:
        """Record requests for machines in one zone; they are sent once they are committed."""
        ctx = self.ctx
        while count > 0:
            request_count = min(count, MAX_MACHINES_PER_REQUEST)
            count -= request_count
            self.last_number += 1
            name = f"r-{ctx.view.fencing_token}-{self.last_number}"
            log.info(
                "requesting %d machines of pool %s in zone %s (%s)", request_count, pool, zone, name
            )
            self._write(pool, name, Rental(name, zone, pool.spot, request_count, ctx.wall_time))

    def send_pending(self, lists_read: int) -> None:
        """Send recorded requests that have no recorded response.

        Args:
            lists_read: Machine lists that this leader has read.
        """
        ctx = self.ctx
        for key, record in list(ctx.view.pools.items()):
            pool = parse_pool_key(key)
            for rental in record.rentals:
                if rental.machines is None:
                    self._send(pool, rental)
                else:
                    self._use_recorded(pool, rental, rental.machines, lists_read)
        self.in_flight &= self.cloud.rentals_in_flight()
        self.answered &= {r.name for record in ctx.view.pools.values() for r in record.rentals}

    def _send(self, pool: PoolId, rental: Rental) -> None:
        if rental.name in self.in_flight or rental.name in self.answered:
            return
        body = {
            "Hire": rental.name,
            "Build": pool.machine_type,
            "Site": rental.zone,
            "Loaners": pool.spot,
            "Count": rental.count,
        }
        if self.cloud.send(CloudOperation.RENT, body, RentalRequest(pool, rental)):
            self.in_flight.add(rental.name)

    def _use_recorded(
        self, pool: PoolId, rental: Rental, machines: list[str], lists_read: int
    ) -> None:
        """Add machines of a recorded response, which the lists read so far may lack."""
        age_s = self.ctx.wall_time - rental.requested_at
        if lists_read < LISTS_BEFORE_TRUST and age_s < RESPONSE_RETENTION_S:
            for name in machines:
                self.inventory.add(name, pool, rental.zone, self.ctx.now - age_s)
        if age_s > RESPONSE_RETENTION_S:
            self._write(pool, rental.name, None)

    def handle_response(self, request: RentalRequest, status: int, body: bytes) -> None:
        """Record the cloud's response; a request without a final one is sent again later."""
        pool, rental = request
        self.in_flight.discard(rental.name)
        refused = status == 400 or has_no_capacity(status, body)
        if status == 200 or refused:
            self.answered.add(rental.name)  # not sent again while the response is being written
        if status == 200:
            self._add_machines(pool, rental, decode(body, MachineNames).machines)
        elif refused:
            log.info(
                "rental request %s: refused with status %d in %s %s",
                rental.name, status, pool, rental.zone,
            )  # fmt: skip
            self._block(MachineOffering(pool.machine_type, rental.zone, pool.spot))
            self._write(pool, rental.name, None)

    def _add_machines(self, pool: PoolId, rental: Rental, machines: list[str]) -> None:
        for name in machines:
            self.inventory.add(name, pool, rental.zone, self.ctx.now)
        log.info(
            "hire %s: %d of %d in %s %s: %s",
            rental.name, len(machines), rental.count, pool, rental.zone, ",".join(machines),
        )  # fmt: skip
        offering = MachineOffering(pool.machine_type, rental.zone, pool.spot)
        if len(machines) < rental.count:
            self._block(offering)
        else:
            self.refusal_counts.pop(offering, None)
        self._write(pool, rental.name, msgspec.structs.replace(rental, machines=machines))

    def _block(self, offering: MachineOffering) -> None:
        """Pause requests for an offering without capacity, longer after repeated refusals."""
        refusals = self.refusal_counts.get(offering, 0)
        self.refusal_counts[offering] = refusals + 1
        pause_s = REFUSED_PAUSE_S * min(MAX_REFUSED_PAUSES, 1 + refusals)
        self.blocked_until[offering] = self.ctx.now + pause_s

    def _write(self, pool: PoolId, name: str, rental: Rental | None) -> None:
        """Write the new state of a request into its pool's record; None removes the request."""
        queue = self.ctx.queue

        def change(current: Struct | None) -> EditResult:
            max_parts = queue.max_parts() if self.ctx.view.format_level else 1
            max_bytes = queue.limits.value_bytes * max_parts - RECORD_RESERVE_BYTES
            record = current if isinstance(current, PoolRecord) else PoolRecord()
            rentals = [r for r in record.rentals if r.name != name]
            if rental is not None:
                rentals.append(rental)
            elif len(rentals) == len(record.rentals):
                raise NotApplicableError("not there")
            # Responses are kept because the next leader may need machines that the cloud's
            # list, which lags, does not show yet. With hundreds of machines the record gets
            # too large, and the oldest responses are dropped.
            answered = [r for r in rentals if r.machines is not None]
            while (
                answered
                and codec.json_size_bytes(codec.encode_record(PoolRecord(rentals=rentals)))
                > max_bytes
            ):
                rentals.remove(answered.pop(0))
            return msgspec.structs.replace(record, rentals=rentals)

        queue.propose(Edit(pool_key(str(pool)), change, fencing_token=self.ctx.view.fencing_token))
