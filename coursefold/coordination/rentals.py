"""Rental requests: recorded before they are sent, and repeated under the same name.

A name is never used again, so that a successor repeats a request instead of renting twice.
Where the cloud has no capacity it is asked elsewhere for a while.
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
from coursefold.protocol.wire import Boxes, decode
from coursefold.storage import codec
from coursefold.storage.edits import Edit, NotApplicableError, Result
from coursefold.storage.records import Hire, PoolRecord, pool_key

log = logging.getLogger(__name__)

MACHINES_PER_REQUEST = 50  # by the protocol
REFUSED_PAUSE_S = 12.0
LONGEST_REFUSED_PAUSES = 4
ANSWER_KEPT_S = 60.0  # the cloud's list shows the machines by then
LISTS_TO_TRUST = 3  # read before a new leader needs no old answers
RECORD_RESERVE = 200  # bytes


def parse_pool_key(key: str) -> PoolId:
    """The pool that a record's name means."""
    build, _, kind = key.partition("/")
    return PoolId(build, kind == "spot")


class RentalManager:
    """The rental requests of this leader and of those before it."""

    def __init__(self, ctx: Context, cloud: CloudClient, inventory: Inventory) -> None:
        self.ctx = ctx
        self.cloud = cloud
        self.inventory = inventory
        # Never set back: a hire's name is its token and this count, and the same
        # process may lead twice under one token.
        self.last_number = 0
        self.reset()

    def reset(self) -> None:
        """Begin anew, as a new leader does."""
        self.blocked_until: dict[MachineOffering, float] = {}
        self.refusal_counts: dict[MachineOffering, int] = {}
        self.begin_term()

    def begin_term(self) -> None:
        """A new fencing token: nothing was asked for or answered under it."""
        self.in_flight: set[str] = set()
        self.answered: set[str] = set()

    def is_blocked(self, place: MachineOffering) -> bool:
        """Was the cloud out of such machines a moment ago?"""
        return self.blocked_until.get(place, 0.0) > self.ctx.now

    def has_pending_write(self, pool: PoolId) -> bool:
        """Is a change of the pool's record under way?"""
        return self.ctx.queue.busy(pool_key(str(pool)))

    def rent(self, pool: PoolId, zone: str, count: int) -> None:
        """Record requests for machines of one zone; they are sent once that is written."""
        ctx = self.ctx
        while count > 0:
            part = min(count, MACHINES_PER_REQUEST)
            count -= part
            self.last_number += 1
            name = f"r-{ctx.view.token}-{self.last_number}"
            log.info("rent %d of %s in %s (%s)", part, pool, zone, name)
            self._write(pool, name, Hire(name, zone, pool.spot, part, ctx.wall_time))

    def send_pending(self, lists_read: int) -> None:
        """Send what is recorded and not answered; a name gets the same answer again."""
        ctx = self.ctx
        for key, record in list(ctx.view.pools.items()):
            pool = parse_pool_key(key)
            for hire in record.hires:
                if hire.machines is None:
                    self._ask(pool, hire)
                else:
                    self._use_answer(pool, hire, hire.machines, lists_read)
        self.in_flight &= self.cloud.rentals_in_flight()
        self.answered &= {h.name for record in ctx.view.pools.values() for h in record.hires}

    def _ask(self, pool: PoolId, hire: Hire) -> None:
        if hire.name in self.in_flight or hire.name in self.answered:
            return
        body = {
            "Hire": hire.name,
            "Build": pool.machine_type,
            "Site": hire.zone,
            "Loaners": pool.spot,
            "Count": hire.count,
        }
        if self.cloud.send(CloudOperation.RENT, body, RentalRequest(pool, hire)):
            self.in_flight.add(hire.name)

    def _use_answer(self, pool: PoolId, hire: Hire, machines: list[str], lists_read: int) -> None:
        """A recorded answer tells a new leader of machines that no list shows yet."""
        age = self.ctx.wall_time - hire.at
        if lists_read < LISTS_TO_TRUST and age < ANSWER_KEPT_S:
            for name in machines:
                self.inventory.add(name, pool, hire.zone, self.ctx.now - age)
        if age > ANSWER_KEPT_S:
            self._write(pool, hire.name, None)

    def handle_response(self, subject: RentalRequest, status: int, body: bytes) -> None:
        """Note what the cloud answered to a rental request."""
        pool, hire = subject
        self.in_flight.discard(hire.name)
        refused = status == 400 or has_no_capacity(status, body)
        if status == 200 or refused:
            self.answered.add(hire.name)  # asked no more, while that is being written
        if status == 200:
            self._take_machines(pool, hire, decode(body, Boxes).machines)
        elif refused:
            log.info("hire %s: refused (%d) in %s %s", hire.name, status, pool, hire.zone)
            self._block(MachineOffering(pool.machine_type, hire.zone, pool.spot))
            self._write(pool, hire.name, None)

    def _take_machines(self, pool: PoolId, hire: Hire, machines: list[str]) -> None:
        for name in machines:
            self.inventory.add(name, pool, hire.zone, self.ctx.now)
        log.info(
            "hire %s: %d of %d in %s %s: %s",
            hire.name, len(machines), hire.count, pool, hire.zone, ",".join(machines),
        )  # fmt: skip
        place = MachineOffering(pool.machine_type, hire.zone, pool.spot)
        if len(machines) < hire.count:
            self._block(place)
        else:
            self.refusal_counts.pop(place, None)
        self._write(pool, hire.name, msgspec.structs.replace(hire, machines=machines))

    def _block(self, place: MachineOffering) -> None:
        """No capacity: ask elsewhere for a while."""
        times = self.refusal_counts.get(place, 0)
        self.refusal_counts[place] = times + 1
        pause = REFUSED_PAUSE_S * min(LONGEST_REFUSED_PAUSES, 1 + times)
        self.blocked_until[place] = self.ctx.now + pause

    def _write(self, pool: PoolId, name: str, hire: Hire | None) -> None:
        """Write a request's new state into its pool's record; None removes it."""
        queue = self.ctx.queue

        def change(current: Struct | None) -> Result:
            parts = queue.most_parts() if self.ctx.view.level else 1
            room = queue.limits.value * parts - RECORD_RESERVE
            record = current if isinstance(current, PoolRecord) else PoolRecord()
            kept = [h for h in record.hires if h.name != name]
            if hire is not None:
                kept.append(hire)
            elif len(kept) == len(record.hires):
                raise NotApplicableError("not there")
            # Answered rentals are kept for a successor that the cloud's list, which
            # lags, does not tell of them; at hundreds of machines the oldest have to go.
            answered = [h for h in kept if h.machines is not None]
            while answered and codec.size(codec.dump(PoolRecord(hires=kept))) > room:
                kept.remove(answered.pop(0))
            return msgspec.structs.replace(record, hires=kept)

        queue.propose(Edit(pool_key(str(pool)), change, fence=self.ctx.view.token))
