"""The fleet: what the leader asks the cloud for, and when.

The parts: `inventory` knows the machines, `hires` the rental requests, `pools` decides how
many machines each pool should have, `cloud` sends within the cloud's rate. Here they are
brought together: lists and the catalog are read, answers handed on, machines given back.
"""

import logging
import math
from typing import assert_never

from msgspec import Struct

from coursefold.coordination.cloud import (
    CatalogRequest,
    CloudClient,
    CloudOperation,
    CloudRequest,
    ListRequest,
    RentalRequest,
    ReturnRequest,
)
from coursefold.coordination.context import Context
from coursefold.coordination.inventory import SPARE_REASON, Inventory
from coursefold.coordination.leader import Leader
from coursefold.coordination.placement import MachineOffering
from coursefold.coordination.pools import MAX_PERIOD_S, PoolControl
from coursefold.coordination.rentals import RentalManager
from coursefold.protocol.wire import Catalog, Listed, MachineList, MalformedError, decode
from coursefold.storage import records
from coursefold.storage.edits import LATER, Edit, NotApplicableError, Result

log = logging.getLogger(__name__)

LIST_EVERY_S = 3.0
LIST_SHARE = 0.2  # of the cloud's rate; a list may take several pages
MACHINES_PER_PAGE = 500  # by the protocol
PAGE_FILL = 400  # machines that are counted as a page of the next list
RETURNS_PER_REQUEST = 100  # by the protocol
CATALOG_EVERY_S = 45.0
WATCH_EVERY_S = 0.5
LENT_FOR_RETURN_S = 3.0
FRESH_SUMMARY_S = 1.5
OK = 200


class FleetManager:
    """Rents, watches and returns machines while this node leads."""

    def __init__(self, ctx: Context, leader: Leader) -> None:
        self.ctx = ctx
        self.leader = leader
        self.parameters = ctx.policy.parameters
        self.cloud = CloudClient(ctx)
        self.inventory = Inventory(ctx, self.parameters.loss_window, leader.owner.remove_machine)
        self.rentals = RentalManager(ctx, self.cloud, self.inventory)
        self.pool_control = PoolControl(ctx, leader, self.inventory, self.rentals)
        self.leading_token = 0
        self.catalog_read_at = -math.inf
        self._reset()

    def _reset(self) -> None:
        """A new leader starts from reports and lists."""
        self.inventory.reset()
        self.rentals.reset()
        self.pool_control.reset()
        self.cloud.discard_pending()
        self.listed_machines: list[Listed] = []
        self.page_start = ""
        self.lists_read = 0
        self.list_requested_at = -math.inf
        self.planned_at = -math.inf
        self.watched_at = -math.inf

    # Answers of the cloud

    def handle_response(self, call: int, status: int, body: bytes) -> None:
        """An answer of the cloud; status 0 is no answer."""
        pending = self.cloud.match_response(call, status, body)
        if pending is None or not self.ctx.is_leading():
            return
        try:
            self._take_answer(pending.request, status, body)
        except MalformedError as wrong:
            log.error("cloud answer to %s is not readable: %s", pending.operation, wrong)

    def _take_answer(self, subject: CloudRequest, status: int, body: bytes) -> None:
        if isinstance(subject, RentalRequest):
            self.rentals.handle_response(subject, status, body)
        elif status != OK:
            return  # asked again in its time
        elif isinstance(subject, CatalogRequest):
            self._take_catalog(decode(body, Catalog))
        elif isinstance(subject, ListRequest):
            self._take_page(subject, decode(body, MachineList))
        elif isinstance(subject, ReturnRequest):
            self.inventory.record_returned(subject.machines)
        else:
            assert_never(subject)

    def _take_catalog(self, catalog: Catalog) -> None:
        self.catalog_read_at = self.ctx.now

        def change(current: Struct | None) -> Result:
            if current == catalog:
                raise NotApplicableError("same")
            return catalog

        for kind in catalog.builds:
            log.debug(
                "type %s: %g cpus, %g accelerators, %g GB, %g an hour, %g when spot",
                kind.name, kind.cpus, kind.gpus, kind.memory, kind.price, kind.spot_price,
            )  # fmt: skip
        key = records.TYPES if self.ctx.view.level else records.CATALOG
        fence = self.ctx.view.token
        self.ctx.queue.propose(Edit(key, change, fence=fence, rank=LATER, tag="catalog"))

    def _take_page(self, subject: ListRequest, page: MachineList) -> None:
        if subject.start_after != self.page_start:
            return
        self.listed_machines.extend(page.machines)
        if page.more and page.machines:
            self.page_start = page.machines[-1].name
            self._ask_list()
            return
        self.page_start = ""
        rows, self.listed_machines = self.listed_machines, []
        self.lists_read += 1
        self.inventory.update_from_list(rows, self._list_every())

    # Each tick

    def tick(self) -> None:
        """One round: ask, watch, send what is recorded, and plan when it is time."""
        ctx = self.ctx
        if not ctx.is_leading():
            self.leading_token = 0
            return
        if self.leading_token != ctx.view.token:
            self._begin()
        if ctx.view.catalog is None or ctx.now - self.catalog_read_at > CATALOG_EVERY_S:
            self.cloud.send(CloudOperation.CATALOG, {}, CatalogRequest())
        self._ask_list()
        if ctx.view.catalog is None:
            return
        if ctx.now - self.watched_at >= WATCH_EVERY_S:
            self._watch()
        self.leader.blocked_offerings = {
            p for p, until in self.rentals.blocked_until.items() if until > ctx.now
        }
        self.rentals.send_pending(self.lists_read)
        self._send_returns()
        if ctx.now - self.planned_at >= self.parameters.period and self.lists_read > 0:
            elapsed = min(MAX_PERIOD_S, ctx.now - self.planned_at)
            self.planned_at = ctx.now
            self.pool_control.plan(ctx.view.catalog, elapsed)

    def _begin(self) -> None:
        """Lead under a new fencing token."""
        if self.leading_token == 0 or not self.inventory.machines:
            self._reset()
        self.leading_token = self.ctx.view.token
        self.inventory.leading_since = self.ctx.now
        self.cloud.discard_pending()
        self.rentals.begin_term()

    def _watch(self) -> None:
        self.watched_at = self.ctx.now
        self.inventory.update_from_owners()
        self.leader.booting_offerings = [
            MachineOffering(machine.machine_type, machine.zone, machine.spot)
            for machine in self.inventory.machines.values()
            if not machine.is_up and machine.id not in self.inventory.returning
        ]

    def _ask_list(self) -> None:
        """Ask for the next page, or begin anew when the time has come.

        A page that was refused, or that found no room in the cloud's rate, is asked for
        again: over 500 machines every list has several, and a list that is given up for one
        of them, just when hundreds are rented, would leave the fleet unseen.
        """
        if self.page_start:
            body = {"From": self.page_start, "Page": MACHINES_PER_PAGE}
            self.cloud.send(CloudOperation.LIST, body, ListRequest(self.page_start))
            return
        if self.ctx.now - self.list_requested_at <= self._list_every():
            return
        if self.cloud.send(CloudOperation.LIST, {"Page": MACHINES_PER_PAGE}, ListRequest("")):
            self.list_requested_at = self.ctx.now
            self.listed_machines = []

    def _list_every(self) -> float:
        """Seconds from one list to the next: a large fleet's takes more calls."""
        pages = 1 + len(self.inventory.machines) // PAGE_FILL
        return max(LIST_EVERY_S, pages / (LIST_SHARE * self.ctx.settings.params.cloud.rps))

    # Giving back

    def _send_returns(self) -> None:
        ready = [
            name
            for name, why in list(self.inventory.returning.items())
            if why != SPARE_REASON or self._is_lent(name)
        ][:RETURNS_PER_REQUEST]
        if ready:
            self.cloud.send(CloudOperation.RETURN, {"Boxes": ready}, ReturnRequest(ready))

    def _is_lent(self, machine: str) -> bool:
        """A spare machine goes back only while its owner keeps it free."""
        ctx = self.ctx
        if ctx.view.on_machine(machine) or any(
            m == machine for m, _ in ctx.placements_in_flight.values()
        ):
            self.inventory.returning.pop(machine, None)
            self.leader.requested_machines.pop(machine, None)
            return False
        own = ctx.machines.get(machine)
        if own is not None:
            own.gang_reservation_until = ctx.now + LENT_FOR_RETURN_S
            return True
        self.leader.requested_machines[machine] = ctx.now + LENT_FOR_RETURN_S
        return any(
            ctx.now - peer.last_frame_at < FRESH_SUMMARY_S
            and machine in peer.machines
            and peer.machines[machine].reserved_for_gang
            for peer in ctx.peers.values()
        )
