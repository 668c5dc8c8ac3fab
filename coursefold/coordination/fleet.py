"""The leader's fleet management: machine list, catalog, rentals, returns and pool sizes.

`inventory` tracks the machines, `rentals` the rental requests, `pools` decides how many
machines each pool should have, and `cloud` sends requests within the cloud's rate. This
module schedules their work and passes responses of the cloud to them.
"""

import logging
import math
from collections.abc import Callable
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
from coursefold.protocol.wire import Catalog, ListedMachine, MachineList, MalformedError, decode
from coursefold.storage import records
from coursefold.storage.edits import LOW_PRIORITY, Edit, EditResult, NotApplicableError

log = logging.getLogger(__name__)

LIST_INTERVAL_S = 3.0
LIST_RATE_SHARE = 0.2  # of the cloud's rate; a list may take several pages
MACHINES_PER_PAGE = 500  # limit of the cloud's API
PLANNED_MACHINES_PER_PAGE = 400  # to estimate the pages of the next list; the fleet may grow
MAX_RETURNS_PER_REQUEST = 100  # limit of the cloud's API
CATALOG_INTERVAL_S = 45.0
INVENTORY_INTERVAL_S = 0.5
RETURN_RESERVATION_S = 3.0
MAX_SUMMARY_AGE_S = 1.5
HTTP_OK = 200


class FleetManager:
    """Rents, observes and returns machines while this controller leads.

    Attributes:
        leading_token: Fencing token under which this controller leads; 0 if it does not.
        listed_machines: Rows of the list that is being read, page by page.
        page_start: Name after which the next page of that list begins; empty between lists.
        lists_read: Complete lists read since this controller began to lead.
    """

    def __init__(self, ctx: Context, leader: Leader, remove_machine: Callable[[str], None]) -> None:
        """Takes what removes a machine from those that this controller owns."""
        self.ctx = ctx
        self.leader = leader
        self.parameters = ctx.policy.parameters
        self.cloud = CloudClient(ctx)
        self.inventory = Inventory(ctx, self.parameters.loss_window, remove_machine)
        self.rentals = RentalManager(ctx, self.cloud, self.inventory)
        self.pool_control = PoolControl(ctx, leader, self.inventory, self.rentals)
        self.leading_token = 0
        self.catalog_read_at = -math.inf
        self._reset()

    def _reset(self) -> None:
        """Forget the fleet; a new leader learns it from reports and lists."""
        self.inventory.reset()
        self.rentals.reset()
        self.pool_control.reset()
        self.cloud.discard_pending()
        self.listed_machines: list[ListedMachine] = []
        self.page_start = ""
        self.lists_read = 0
        self.list_requested_at = -math.inf
        self.planned_at = -math.inf
        self.inventory_updated_at = -math.inf

    # Responses of the cloud

    def handle_response(self, call_id: int, status: int, body: bytes) -> None:
        """Process a response of the cloud.

        Args:
            call_id: Number of the call.
            status: HTTP status; 0 if there was no response.
            body: Body of the response.
        """
        pending = self.cloud.match_response(call_id, status, body)
        if pending is None or not self.ctx.is_leading():
            return
        try:
            self._dispatch_response(pending.request, status, body)
        except MalformedError as error:
            log.error("malformed response of the cloud to %s: %s", pending.operation, error)

    def _dispatch_response(self, request: CloudRequest, status: int, body: bytes) -> None:
        if isinstance(request, RentalRequest):
            self.rentals.handle_response(request, status, body)
        elif status != HTTP_OK:
            return  # requested again at the next interval
        elif isinstance(request, CatalogRequest):
            self._record_catalog(decode(body, Catalog))
        elif isinstance(request, ListRequest):
            self._add_page(request, decode(body, MachineList))
        elif isinstance(request, ReturnRequest):
            self.inventory.record_returned(request.machines)
        else:
            assert_never(request)

    def _record_catalog(self, catalog: Catalog) -> None:
        self.catalog_read_at = self.ctx.now

        def change(current: Struct | None) -> EditResult:
            if current == catalog:
                raise NotApplicableError("same")
            return catalog

        for type_info in catalog.machine_types:
            log.debug(
                "type %s: %g cpus, %g accelerators, %g GB, %g an hour, %g when spot",
                type_info.name, type_info.cpus, type_info.gpus, type_info.memory_gb,
                type_info.price_per_hour, type_info.spot_price_per_hour,
            )  # fmt: skip
        key = records.MACHINE_TYPES_KEY if self.ctx.view.format_level else records.CATALOG_KEY
        fencing_token = self.ctx.view.fencing_token
        self.ctx.queue.propose(
            Edit(key, change, fencing_token=fencing_token, priority=LOW_PRIORITY, tag="catalog")
        )

    def _add_page(self, request: ListRequest, page: MachineList) -> None:
        """Add a page to the list that is being read; pass the list on once it is complete."""
        if request.start_after != self.page_start:
            return
        self.listed_machines.extend(page.machines)
        if page.has_more and page.machines:
            self.page_start = page.machines[-1].name
            self._request_list()
            return
        self.page_start = ""
        rows, self.listed_machines = self.listed_machines, []
        self.lists_read += 1
        self.inventory.update_from_list(rows, self._list_interval_s())

    # Periodic work

    def tick(self) -> None:
        """Do what is due: requests, inventory updates, rentals, returns and pool sizes."""
        ctx = self.ctx
        if not ctx.is_leading():
            self.leading_token = 0
            return
        if self.leading_token != ctx.view.fencing_token:
            self._begin_term()
        if ctx.view.catalog is None or ctx.now - self.catalog_read_at > CATALOG_INTERVAL_S:
            self.cloud.send(CloudOperation.CATALOG, {}, CatalogRequest())
        self._request_list()
        if ctx.view.catalog is None:
            return
        if ctx.now - self.inventory_updated_at >= INVENTORY_INTERVAL_S:
            self._update_inventory()
        self.leader.blocked_offerings = {
            offering for offering, until in self.rentals.blocked_until.items() if until > ctx.now
        }
        self.rentals.send_pending(self.lists_read)
        self._send_returns()
        if ctx.now - self.planned_at >= self.parameters.period and self.lists_read > 0:
            elapsed_s = min(MAX_PERIOD_S, ctx.now - self.planned_at)
            self.planned_at = ctx.now
            self.pool_control.plan(ctx.view.catalog, elapsed_s)

    def _begin_term(self) -> None:
        """Begin under a new fencing token; keep the fleet if this controller led until now."""
        if self.leading_token == 0 or not self.inventory.machines:
            self._reset()
        self.leading_token = self.ctx.view.fencing_token
        self.inventory.leading_since = self.ctx.now
        self.cloud.discard_pending()
        self.rentals.begin_term()

    def _update_inventory(self) -> None:
        self.inventory_updated_at = self.ctx.now
        self.inventory.update_from_owners()
        self.leader.booting_offerings = [
            MachineOffering(machine.machine_type, machine.zone, machine.spot)
            for machine in self.inventory.machines.values()
            if not machine.is_up and machine.id not in self.inventory.returning
        ]

    def _request_list(self) -> None:
        """Request the next page of the machine list, or a new list when it is due.

        A page that was refused, or that the rate limit held back, is requested again. Above
        500 machines every list has several pages; giving up a whole list for one of them
        would leave the fleet unobserved just when hundreds of machines are rented.
        """
        if self.page_start:
            body = {"From": self.page_start, "Page": MACHINES_PER_PAGE}
            self.cloud.send(CloudOperation.LIST, body, ListRequest(self.page_start))
            return
        if self.ctx.now - self.list_requested_at <= self._list_interval_s():
            return
        if self.cloud.send(CloudOperation.LIST, {"Page": MACHINES_PER_PAGE}, ListRequest("")):
            self.list_requested_at = self.ctx.now
            self.listed_machines = []

    def _list_interval_s(self) -> float:
        """Return the time from one list to the next; longer if the list takes several calls."""
        pages = 1 + len(self.inventory.machines) // PLANNED_MACHINES_PER_PAGE
        return max(LIST_INTERVAL_S, pages / (LIST_RATE_SHARE * self.ctx.settings.params.cloud.rps))

    # Returns

    def _send_returns(self) -> None:
        ready = [
            name
            for name, reason in list(self.inventory.returning.items())
            if reason != SPARE_REASON or self._reserve_for_return(name)
        ][:MAX_RETURNS_PER_REQUEST]
        if ready:
            self.cloud.send(CloudOperation.RETURN, {"Boxes": ready}, ReturnRequest(ready))

    def _reserve_for_return(self, machine: str) -> bool:
        """Have the owner keep a spare machine free; return whether it does so already.

        The return is cancelled if the machine has got tasks meanwhile.
        """
        ctx = self.ctx
        if ctx.view.entries_on(machine) or any(
            target == machine for target, _ in ctx.placements_in_flight.values()
        ):
            self.inventory.returning.pop(machine, None)
            self.leader.requested_machines.pop(machine, None)
            return False
        own = ctx.machines.get(machine)
        if own is not None:
            own.gang_reservation_until = ctx.now + RETURN_RESERVATION_S
            return True
        self.leader.requested_machines[machine] = ctx.now + RETURN_RESERVATION_S
        return any(
            ctx.now - peer.last_frame_at < MAX_SUMMARY_AGE_S
            and machine in peer.machines
            and peer.machines[machine].reserved_for_gang
            for peer in ctx.peers.values()
        )
