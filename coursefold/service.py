"""The controller process: connects the core to its transports on one event loop."""

import asyncio
import logging
import sys
import time
from typing import TYPE_CHECKING, Any

import msgspec
import uvloop

from coursefold.coordination.core import Core
from coursefold.coordination.effects import (
    CloudCall,
    NotifyPeers,
    ReadJobResult,
    RefreshView,
    Response,
    SendCommands,
)
from coursefold.policy import Policy
from coursefold.protocol.ids import JobId, MonotonicTime, WallTime
from coursefold.protocol.wire import DirectCommands, KeyRow, WatchResponse, encode
from coursefold.settings import Settings
from coursefold.step_times import StepTimes
from coursefold.storage import codec, records
from coursefold.storage.batches import Batch
from coursefold.storage.loading import IncompleteLoadError, RecordLoader, apply_changes
from coursefold.storage.records import Ending, count_by_kind, ending_key
from coursefold.storage.rereading import KeyReader, PartsRequest
from coursefold.transport.http_client import HttpClient, NoResponseError
from coursefold.transport.peers import PeerSender, PeerServer
from coursefold.transport.server import Server
from coursefold.transport.state import StateClient, UnavailableError, add_jitter

if TYPE_CHECKING:
    from coursefold.cells.config import CellsConfig
    from coursefold.shares.config import SharesConfig
    from coursefold.transport.cells import CellTransport

log = logging.getLogger(__name__)

IDLE_TICK_INTERVAL_S = 0.25  # wait for a change before a tick runs without one
MIN_TICK_PAUSE_S = 0.2
TICK_PAUSE_RATIO = 8.0  # pause after a tick, as a multiple of its processor time
MAX_TICK_PAUSE_S = 0.5
WATCH_WAIT_MS = 3000
WATCH_RATE_DIVISOR = 4.0  # watches use 1/4 of a controller's part of the request rate at most
MIN_WATCH_PAUSE_S = 0.2
REFRESH_RATE_DIVISOR = 5.0  # refreshes of the view use 1/5 of it at most
MIN_REFRESH_PAUSE_S = 0.25
PEER_FRAME_INTERVAL_S = 0.7
DIRECT_TIMEOUT_S = 3.0  # by then the response to the worker's next report has the command
MAX_COMMITS_IN_FLIGHT = 3
MAX_STATE_CONNECTIONS = 8
MAX_CLOUD_CONNECTIONS = 4
MAX_DIRECT_REQUESTS = 30  # requests with commands to workers' own addresses
OTHER_FILE_DESCRIPTORS = 12  # listeners, the event loop, standard streams, some in reserve


def read_clock() -> MonotonicTime:
    """Return the monotonic time."""
    return MonotonicTime(time.monotonic())


class Service:
    """A running controller.

    Attributes:
        core: The controller's state and decisions, without I/O.
        watch_pause_s: Pause after a watch that returned changes.
        refresh_pause_s: Pause before a refresh of the view, so that one serves many requests.
        direct_slots: Limits the concurrent requests with commands to workers.
        cell_transport: The connections to other cells; None without a cells file.
        peer_senders: The connections to the siblings, by member name.
        refresh_requested: Set when requests wait for a refreshed view.
        commit_requested: Set when the commit queue may have something to send.
        tick_requested: Set when a change is to be decided on.
        lease_duration_ms: Duration of this process's lease, in ms.
        background_tasks: The running asyncio tasks.
        commits_in_flight: The number of transactions without a response.
        step_times: Processor time of the steps on the event loop.
    """

    def __init__(
        self,
        settings: Settings,
        policy: Policy | None = None,
        cells: "CellsConfig | None" = None,
        shares: "SharesConfig | None" = None,
    ) -> None:
        self.settings = settings
        self.core = Core(settings, policy)
        params = settings.params
        controller_count = len(settings.siblings) + 1
        self.state_client = StateClient(
            settings.services.state,
            params.state.rps,
            controller_count,
            read_clock,
            self._record_state_response,
        )
        # The requests of all controllers count towards one rate limit, so the pauses grow with
        # the number of controllers. Where the rate is high, the minimum pauses apply: they limit
        # the processor time that the requests take.
        self.watch_pause_s = max(
            MIN_WATCH_PAUSE_S, controller_count * WATCH_RATE_DIVISOR / params.state.rps
        )
        self.refresh_pause_s = max(
            MIN_REFRESH_PAUSE_S, controller_count * REFRESH_RATE_DIVISOR / params.state.rps
        )
        self.cloud_client = HttpClient(
            settings.services.cloud, max_connections=MAX_CLOUD_CONNECTIONS
        )
        self.direct_slots = asyncio.Semaphore(MAX_DIRECT_REQUESTS)
        reserved = (
            OTHER_FILE_DESCRIPTORS
            + MAX_STATE_CONNECTIONS
            + 1
            + MAX_CLOUD_CONNECTIONS
            + MAX_DIRECT_REQUESTS
            + 2 * controller_count
        )
        self.cell_transport = self._create_cell_transport(cells) if cells is not None else None
        if shares is not None:
            from coursefold.shares.shares import Shares  # loads libraries that take memory

            Shares(shares, self.core)
        if self.cell_transport is not None:
            reserved += self.cell_transport.max_sockets
        self.server = Server(
            settings.listen, self._handle_request, params.resources.fd_limit - reserved
        )
        self.peer_server = PeerServer(settings.peer_listen, self._receive_frame)
        self.peer_senders = {
            s.member: PeerSender(
                s.member,
                s.peer_addr,
                self._handle_peer_connected,
                self._build_next_frame,
                PEER_FRAME_INTERVAL_S,
            )
            for s in settings.siblings
        }
        self.refresh_requested = asyncio.Event()
        self.lease_duration_ms = int(min(2500.0, params.workers.lease_s * 250.0))
        self.commit_requested = asyncio.Event()
        self.tick_requested = asyncio.Event()
        self.background_tasks: set[asyncio.Task[None]] = set()
        self.commits_in_flight = 0
        self.step_times = StepTimes()

    def _create_cell_transport(self, config: "CellsConfig") -> "CellTransport":
        # Imported here because the libraries take memory, which only cells need.
        from coursefold.cells.cells import Cells
        from coursefold.transport.cells import CellTransport

        cells = Cells(config, self.core)

        def handle_frame(frame: bytes, address: str) -> bool:
            with self.step_times.measure("cell frame"):
                self._enter_core()
                keep_connection = cells.receive_frame(frame, address)
            self._request_tick()
            return keep_connection

        return CellTransport(config, cells, handle_frame)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: "asyncio.Task[None]") -> None:
        self.background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())

    async def run(self) -> None:
        """Run until the process is killed."""
        for sender in self.peer_senders.values():
            self._spawn(sender.run())
        for sender in self.cell_transport.senders if self.cell_transport else ():
            self._spawn(sender.run())
        for loop in (
            self._hold_lease,
            self._watch_changes,
            self._refresh_view,
            self._commit_batches,
            self._run_ticks,
        ):
            self._spawn(self._run_forever(loop))
        await asyncio.Event().wait()

    async def _run_forever(self, loop: Any) -> None:
        """Run a loop; after an error, log it and start the loop again."""
        while True:
            try:
                await loop()
            except Exception:
                log.exception("background loop %s failed; starting it again", loop.__name__)
                await asyncio.sleep(0.5)

    # Core

    def _enter_core(self) -> Core:
        """Set the core's time, which each use of it requires, and return the core."""
        self.core.set_time(read_clock(), WallTime(time.time()))
        return self.core

    def _carry_out_effects(self) -> None:
        """Carry out the effects that the core has requested."""
        for effect in self.core.take_effects():
            if isinstance(effect, Response):
                self.server.respond(effect.ticket, effect.status, effect.body, effect.retry_after)
            elif isinstance(effect, RefreshView):
                self.refresh_requested.set()
            elif isinstance(effect, ReadJobResult):
                self._spawn(self._read_job_result(effect.ticket, JobId(effect.job)))
            elif isinstance(effect, CloudCall):
                self._spawn(self._call_cloud(effect))
            elif isinstance(effect, SendCommands):
                self._spawn(self._send_commands(effect))
            elif isinstance(effect, NotifyPeers):
                for member in effect.members:
                    self.peer_senders[member].wake_event.set()
        if self.core.queue.has_new_edits:
            self.core.queue.has_new_edits = False
            self.commit_requested.set()

    def _request_tick(self) -> None:
        self.tick_requested.set()

    async def _run_ticks(self) -> None:
        """Run the core's ticks: soon after a change, within a limited share of the time."""
        tick_cpu_s = 0.0
        while True:
            # One tick handles all changes that arrive during the pause. A tick that takes long
            # is followed by a longer pause, so that reports get their responses in between.
            await asyncio.sleep(
                min(MAX_TICK_PAUSE_S, max(MIN_TICK_PAUSE_S, tick_cpu_s * TICK_PAUSE_RATIO))
            )
            try:
                async with asyncio.timeout(IDLE_TICK_INTERVAL_S):
                    await self.tick_requested.wait()
            except TimeoutError:
                pass
            self.tick_requested.clear()
            started_at = time.process_time()
            core = self._enter_core()
            core.tick()
            for ticket in self.server.list_overdue():
                core.forget_ticket(ticket)
                self.server.respond(ticket, 503, {"error": "busy"}, 1)
            self._carry_out_effects()
            step_cpu_s = time.process_time() - started_at
            self.step_times.record("tick", step_cpu_s)
            tick_cpu_s = min(1.0, step_cpu_s)

    # HTTP

    def _handle_request(self, ticket: int, method: str, path: str, body: bytes) -> None:
        with self.step_times.measure("request"):
            core = self._enter_core()
            try:
                self._route(core, ticket, method, path, body)
            except Exception:
                log.exception("request failed: %s %s", method, path[:100])
                self.server.respond(ticket, 500, {"error": "internal"})
            self._carry_out_effects()

    def _route(self, core: Core, ticket: int, method: str, path: str, body: bytes) -> None:
        if path == "/agent/beat" and method == "POST":
            core.handle_report(body, ticket)
        elif path == "/healthz" and method == "GET":
            healthy = core.is_healthy()
            status = core.health_status() | {"slowest_steps_ms": self.step_times.health_status()}
            self.server.respond(ticket, 200 if healthy else 503, status)
        elif path == "/work" and method == "POST":
            core.submit(body, ticket)
        elif path.startswith("/shares/") and method == "POST":
            core.handle_operator_command(path, body, ticket)
        elif path.startswith("/work/"):
            job, slash, action = path.removeprefix("/work/").partition("/")
            if method == "GET" and not slash:
                core.poll(job, ticket)
            elif method == "POST" and action == "cancel":
                core.cancel(job, ticket)
            else:
                self.server.respond(ticket, 404, {"error": "no such path"})
        else:
            self.server.respond(ticket, 404, {"error": "no such path"})

    # Peers

    def _handle_peer_connected(self, member: str) -> None:
        self._enter_core().peer_connected(member)

    def _build_next_frame(self, member: str) -> bytes:
        return self._enter_core().next_frame(member)

    def _receive_frame(self, frame: bytes, address: str) -> bool:
        with self.step_times.measure("sibling frame"):
            keep_connection = self._enter_core().receive_frame(frame)
            self._carry_out_effects()
        self._request_tick()
        return keep_connection

    # Cloud

    async def _call_cloud(self, call: CloudCall) -> None:
        body = call.body
        paths = {
            "catalog": ("GET", "/catalog"),
            "list": ("GET", f"/machines?From={body.get('From', '')}&Page={body.get('Page', 500)}"),
            "hire": ("POST", "/machines"),
            "return": ("POST", "/machines/return"),
        }
        method, path = paths[call.verb]
        if call.verb == "list" and not body.get("From"):
            path = f"/machines?Page={body.get('Page', 500)}"
        try:
            status, response = await self.cloud_client.fetch(
                method, path, encode(body) if method == "POST" else None, 4.0
            )
        except NoResponseError as error:
            log.debug("cloud request failed: %s", error)
            status, response = 0, b""
        with self.step_times.measure("cloud response"):
            self._enter_core().receive_cloud_response(call.call_id, status, response)
            self._carry_out_effects()
        self._request_tick()

    async def _send_commands(self, effect: SendCommands) -> None:
        """Send commands to a worker's own address.

        Failures are only logged: the worker's next report shows which commands it carried out.
        """
        try:
            client = HttpClient(effect.address, 1)
        except ValueError as error:
            log.error("cannot send commands to a worker: invalid address: %s", error)
            return
        body = encode(DirectCommands(effect.token, effect.session, effect.commands))
        try:
            # The limit keeps the machines of a whole zone that do not respond from using up
            # the sockets.
            async with asyncio.timeout(DIRECT_TIMEOUT_S), self.direct_slots:
                status, _ = await client.fetch("POST", "/orders", body, DIRECT_TIMEOUT_S)
            log.debug("commands to %s: status %d", effect.address, status)
        except (NoResponseError, TimeoutError) as error:
            log.debug("commands to %s failed: %s", effect.address, error)
        finally:
            client.close()

    # State service

    def _record_state_response(self, sent_at: MonotonicTime) -> None:
        ctx = self.core.ctx
        ctx.state_ok_at = max(ctx.state_ok_at, sent_at)

    async def _hold_lease(self) -> None:
        """Create and renew the lease whose id is this process's incarnation."""
        ctx = self.core.ctx
        renewal_interval_s = self.lease_duration_ms / 4000.0
        while True:
            sent_at = read_clock()
            try:
                if not ctx.lease_id:
                    ctx.lease_id = await self.state_client.grant_lease(self.lease_duration_ms)
                    log.info("got lease %d for %d ms", ctx.lease_id, self.lease_duration_ms)
                elif not await self.state_client.renew_lease(ctx.lease_id):
                    log.info("lease %d has expired", ctx.lease_id)
                    ctx.lease_id = 0
                    ctx.lease_until = MonotonicTime(0.0)
                    continue
                # Counted from the sending of the request, less 0.2 % for the drift of clocks.
                ctx.lease_until = MonotonicTime(sent_at + self.lease_duration_ms / 1000.0 * 0.998)
                self._request_tick()
                await asyncio.sleep(renewal_interval_s)
            except UnavailableError as error:
                log.debug("creating or renewing the lease failed: %s", error)
                await asyncio.sleep(add_jitter(0.3))

    async def _watch_changes(self) -> None:
        """Load all records, then watch for changes; load again when the revision is too old."""
        ctx = self.core.ctx
        since = -1
        while True:
            sent_at = read_clock()
            try:
                if since < 0:
                    since = await self._load_records()
                    ctx.watch_ok_at = max(ctx.watch_ok_at, sent_at)
                    self._request_tick()
                    continue
                changes = await self.state_client.watch(records.ROOT, since, WATCH_WAIT_MS)
                if changes is None:
                    since = -1
                    continue
                since = max(since, self._apply_changes(changes, sent_at))
                if changes.updates:
                    await asyncio.sleep(self.watch_pause_s)
            except (UnavailableError, IncompleteLoadError) as error:
                log.debug("loading or watching records failed: %s", error)
                await asyncio.sleep(add_jitter(0.3))

    def _apply_changes(self, changes: WatchResponse, sent_at: MonotonicTime) -> int:
        """Apply changes to the view, which is then as new as `sent_at`; return their revision."""
        ctx = self.core.ctx
        with self.step_times.measure("watch"):
            self._enter_core()
            apply_changes(self.core.view, changes)
        ctx.watch_ok_at = max(ctx.watch_ok_at, sent_at)
        if changes.updates:
            self._request_tick()
        return changes.revision

    async def _refresh_view(self) -> None:
        """Refresh the view, once for all requests that wait for it."""
        core = self.core
        while True:
            await self.refresh_requested.wait()
            await asyncio.sleep(self.refresh_pause_s)
            self.refresh_requested.clear()
            tickets, core.requests_awaiting_refresh = core.requests_awaiting_refresh, []
            sent_at = read_clock()
            try:
                changes = await self._read_latest_changes()
            except UnavailableError as error:
                log.debug("refreshing the view failed: %s", error)
                self._enter_core()
                for ticket in tickets:
                    core.read_failed(ticket)
            else:
                self._apply_changes(changes, sent_at)
                core.view_refreshed(tickets)
            self._carry_out_effects()

    async def _read_latest_changes(self) -> WatchResponse:
        """Return all changes that the view lacks; retried when over the rate limit (429)."""
        for attempt in range(4):
            try:
                changes = await self.state_client.watch(records.ROOT, self.core.view.revision, 0)
                if changes is not None:
                    return changes
                raise UnavailableError("the view's revision is too old to watch from", 0)
            except UnavailableError as error:
                if error.status != 429 or attempt == 3:
                    raise
            await asyncio.sleep(add_jitter(0.15))
        raise AssertionError("not reached")

    async def _load_records(self) -> int:
        """Load all records into the view; return the revision that it is at least as new as."""
        loader = RecordLoader()
        while (request := loader.next_request()) is not None:
            loader.receive_page(await self.state_client.list_page(request))
        with self.step_times.measure("load"):
            self._enter_core()
            loader.store_in(self.core.view)
        log.info(
            "loaded %d records at revision %d: %s",
            len(loader.rows), loader.revision, count_by_kind(row.key for row in loader.rows),
        )  # fmt: skip
        return loader.revision

    async def _commit_batches(self) -> None:
        """Commit the queue's batches, a few at a time, and reread keys with uncertain values."""
        queue = self.core.queue
        while True:
            try:
                async with asyncio.timeout(0.1 if queue.waiting_edits else 1.0):
                    await self.commit_requested.wait()
            except TimeoutError:
                pass
            self.commit_requested.clear()
            for key in queue.stale_keys():
                if not await self._reread_key(key):
                    await asyncio.sleep(add_jitter(0.2))
                    self.commit_requested.set()
                    break
            while self.commits_in_flight < MAX_COMMITS_IN_FLIGHT:
                with self.step_times.measure("batch"):
                    self._enter_core()
                    batch = queue.next_batch(read_clock())
                if batch is None:
                    break
                self.commits_in_flight += 1
                self._spawn(self._commit_batch(batch))
            self._carry_out_effects()

    async def _commit_batch(self, batch: Batch) -> None:
        queue = self.core.queue
        try:
            outcome = await self.state_client.commit(batch.body)
            self._enter_core()
            if outcome.is_committed:
                queue.handle_success(batch, outcome.revision)
            elif outcome.is_malformed:
                if outcome.is_lease_missing:
                    self.core.ctx.drop_ended_lease(batch.lease_ids())
                    queue.handle_lost_lease(batch)
                else:
                    queue.handle_invalid(batch)
            else:
                queue.handle_conflict(batch, outcome.failed_keys)
        except UnavailableError as error:
            self._enter_core()
            log.debug("commit failed: %s", error)
            if error.status == 429:
                queue.handle_rate_refusal()
            if error.status in (429, 503):
                queue.handle_refusal(batch, read_clock(), add_jitter(0.25))
            else:
                queue.handle_missing_response(batch, read_clock(), add_jitter(0.3))
        finally:
            self.commits_in_flight -= 1
        self.commit_requested.set()
        self._carry_out_effects()
        self._request_tick()

    async def _reread_key(self, key: str) -> bool:
        """Reread a key whose cached value caused a conflict or may be outdated.

        Returns:
            Whether the state service responded.
        """
        reader = KeyReader(key)
        try:
            while (request := reader.next_request()) is not None:
                if isinstance(request, PartsRequest):
                    reader.receive_parts(await self.state_client.list_rows(request.prefix))
                else:
                    reader.receive_row(await self.state_client.get_row(request.key))
        except UnavailableError as error:
            log.debug("reading a key failed: %s", error)
            return False
        self._enter_core()
        reader.store_in(self.core.queue)
        self._request_tick()
        return True

    async def _read_job_result(self, ticket: int, job: JobId) -> None:
        """Read the final state of a job that is not a live one, and pass it to the core."""
        found: Ending | None = None
        try:
            if not self.state_client.try_reserve_read():
                raise UnavailableError("this controller's part of the read rate is used up", 429)
            row = await self.state_client.get_row(ending_key(job))
            if isinstance(row, KeyRow):
                ending = codec.decode_record(row.key, row.value)
                found = ending if isinstance(ending, Ending) else None
        except (UnavailableError, msgspec.ValidationError) as error:
            log.debug("reading the result of job %s failed: %s", job, error)
            self._enter_core().read_failed(ticket)
        else:
            self._enter_core().receive_job_result(ticket, found)
        self._carry_out_effects()


def run(
    settings: Settings,
    policy: Policy | None = None,
    cells: "CellsConfig | None" = None,
    shares: "SharesConfig | None" = None,
) -> None:
    """Run a controller until the process is killed.

    If it cannot listen, print the reason to standard error and exit with 1.
    """

    async def main() -> None:
        try:
            service = Service(settings, policy, cells, shares)
        except OSError as error:
            print(f"coursefold: cannot listen: {error}", file=sys.stderr)
            raise SystemExit(1) from None
        log.info(
            "member %s in zone %s listens at %s", settings.member, settings.zone, settings.listen
        )
        await service.run()

    # libuv's event loop: asyncio's own takes a fifth more processor time for the reports of a
    # fleet, all of it for wakeups.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
