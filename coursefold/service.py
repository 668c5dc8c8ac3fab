"""Ties transport and core together: one process, one event loop."""

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
from coursefold.storage import codec, record_parts, records
from coursefold.storage.batches import Batch
from coursefold.storage.records import Ending, ending_key
from coursefold.transport.http_client import HttpClient, NoAnswerError
from coursefold.transport.peers import PeerLink, PeerServer
from coursefold.transport.server import Server
from coursefold.transport.state import StateClient, UnavailableError, jitter

if TYPE_CHECKING:
    from coursefold.cells.config import CellsConfig
    from coursefold.shares.config import SharesConfig
    from coursefold.transport.cells import CellTransport

log = logging.getLogger(__name__)

TICK_S = 0.25
GATHER_S = 0.2
IDLE_PARTS = 8.0
LONGEST_S = 0.5
FOLLOW_MS = 3000
FOLLOW_COST = 4.0
FOLLOW_S = 0.2
VOUCH_COST = 5.0
VOUCH_S = 0.25
PEER_S = 0.7
DIRECT_S = 3.0  # later the worker's next report has brought the command
COMMITS = 3
STATE_CONNECTIONS = 8
CLOUD_CONNECTIONS = 4
DIRECTS = 30  # commands to workers' own addresses at once
OWN_FILES = 12  # listeners, the event loop, standard streams, a few to spare


def now() -> MonotonicTime:
    """The steady clock."""
    return MonotonicTime(time.monotonic())


class Service:
    """The running controller."""

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
        nodes = len(settings.siblings) + 1
        self.state = StateClient(
            settings.services.state, params.state.rps, nodes, now, self._state_heard
        )
        # All nodes follow, and all count against one rate: each about a sixth of its part.
        # Where the rate is high, what each request costs us sets the pace.
        self.follow_pause = max(FOLLOW_S, nodes * FOLLOW_COST / params.state.rps)
        self.vouch_pause = max(VOUCH_S, nodes * VOUCH_COST / params.state.rps)
        self.cloud = HttpClient(settings.services.cloud, connections=CLOUD_CONNECTIONS)
        self.directs = asyncio.Semaphore(DIRECTS)
        reserved = OWN_FILES + STATE_CONNECTIONS + 1 + CLOUD_CONNECTIONS + DIRECTS + 2 * nodes
        self.cell_transport = self._open_cells(cells) if cells is not None else None
        if shares is not None:
            from coursefold.shares.shares import Shares  # its libraries take memory

            Shares(shares, self.core)
        if self.cell_transport is not None:
            reserved += self.cell_transport.sockets
        self.server = Server(settings.listen, self._request, params.resources.fd_limit - reserved)
        self.peer_server = PeerServer(settings.peer_listen, self._peer)
        self.links = {
            s.member: PeerLink(s.member, s.peer_addr, self._linked, self._frame, PEER_S)
            for s in settings.siblings
        }
        self.asked = asyncio.Event()
        self.life_ms = int(min(2500.0, params.workers.lease_s * 250.0))
        self.wake = asyncio.Event()
        self.dirty = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.flying = 0
        self.permit_ready = asyncio.Event()

    def _open_cells(self, config: "CellsConfig") -> "CellTransport":
        # Their libraries take memory only where there are cells.
        from coursefold.cells.cells import Cells
        from coursefold.transport.cells import CellTransport

        cells = Cells(config, self.core)

        def take(frame: bytes, address: str) -> bool:
            self._enter()
            good = cells.take(frame, address)
            self._changed()
            return good

        return CellTransport(config, cells, take)

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a background task failed", exc_info=task.exception())

    async def run(self) -> None:
        """Until killed."""
        for link in self.links.values():
            self._spawn(link.run())
        for link in self.cell_transport.links if self.cell_transport else ():
            self._spawn(link.run())
        for loop in (self._lease, self._follow, self._vouch, self._commits, self._ticks):
            self._spawn(self._forever(loop))
        await asyncio.Event().wait()

    async def _forever(self, loop: Any) -> None:
        """A fault in one loop is logged and must not end the process or the loop."""
        while True:
            try:
                await loop()
            except Exception:
                log.exception("loop %s", loop.__name__)
                await asyncio.sleep(0.5)

    # Core

    def _enter(self) -> Core:
        self.core.set_time(now(), WallTime(time.time()))
        return self.core

    def _flush(self) -> None:
        """Carry out what the core asks for."""
        for effect in self.core.take_effects():
            if isinstance(effect, Response):
                self.server.answer(effect.ticket, effect.status, effect.body, effect.retry_after)
            elif isinstance(effect, RefreshView):
                self.asked.set()
            elif isinstance(effect, ReadJobResult):
                self._spawn(self._read(effect.ticket, JobId(effect.job)))
            elif isinstance(effect, CloudCall):
                self._spawn(self._cloud_call(effect))
            elif isinstance(effect, SendCommands):
                self._spawn(self._direct(effect))
            elif isinstance(effect, NotifyPeers):
                for member in effect.members:
                    self.links[member].wake.set()
        if self.core.queue.has_new_edits:
            self.core.queue.has_new_edits = False
            self.wake.set()

    def _changed(self) -> None:
        self.dirty.set()

    async def _ticks(self) -> None:
        """Let the core decide: soon after a change, but never more than a part of the time."""
        cost = 0.0
        while True:
            # What comes meanwhile is decided on together. A round that takes long is
            # followed by a longer pause, so that reports are answered in between.
            await asyncio.sleep(min(LONGEST_S, max(GATHER_S, cost * IDLE_PARTS)))
            try:
                async with asyncio.timeout(TICK_S):
                    await self.dirty.wait()
            except TimeoutError:
                pass
            self.dirty.clear()
            began = time.process_time()
            core = self._enter()
            core.tick()
            for ticket in self.server.overdue():
                core.forget_ticket(ticket)
                self.server.answer(ticket, 503, {"error": "busy"}, 1)
            self._flush()
            cost = min(1.0, time.process_time() - began)

    # HTTP

    def _request(self, ticket: int, method: str, path: str, body: bytes) -> None:
        core = self._enter()
        try:
            self._route(core, ticket, method, path, body)
        except Exception:
            log.exception("request %s %s", method, path[:100])
            self.server.answer(ticket, 500, {"error": "internal"})
        self._flush()

    def _route(self, core: Core, ticket: int, method: str, path: str, body: bytes) -> None:
        if path == "/agent/beat" and method == "POST":
            core.handle_report(body, ticket)
        elif path == "/healthz" and method == "GET":
            healthy = core.is_healthy()
            self.server.answer(ticket, 200 if healthy else 503, core.health_status())
        elif path == "/work" and method == "POST":
            core.submit(body, ticket)
        elif path.startswith("/shares/") and method == "POST":
            core.handle_operator_command(path, body, ticket)
        elif path.startswith("/work/"):
            job, slash, verb = path.removeprefix("/work/").partition("/")
            if method == "GET" and not slash:
                core.poll(job, ticket)
            elif method == "POST" and verb == "cancel":
                core.cancel(job, ticket)
            else:
                self.server.answer(ticket, 404, {"error": "no such path"})
        else:
            self.server.answer(ticket, 404, {"error": "no such path"})

    # Peers

    def _linked(self, member: str) -> None:
        self._enter().peer_connected(member)

    def _frame(self, member: str) -> bytes:
        return self._enter().next_frame(member)

    def _peer(self, frame: bytes, address: str) -> bool:
        good = self._enter().receive_frame(frame)
        self._flush()
        self._changed()
        return good

    # Cloud

    async def _cloud_call(self, call: CloudCall) -> None:
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
            status, answer = await self.cloud.fetch(
                method, path, encode(body) if method == "POST" else None, 4.0
            )
        except NoAnswerError as wrong:
            log.debug("cloud: %s", wrong)
            status, answer = 0, b""
        self._enter().receive_cloud_response(call.call_id, status, answer)
        self._flush()
        self._changed()

    async def _direct(self, direct: SendCommands) -> None:
        """Commands to a worker's address; its next report tells what came of them."""
        try:
            client = HttpClient(direct.address, 1)
        except ValueError as wrong:
            log.error("worker address: %s", wrong)
            return
        body = encode(DirectCommands(direct.token, direct.session, direct.commands))
        try:
            # A zone's worth of machines that do not answer must not use up the sockets.
            async with asyncio.timeout(DIRECT_S), self.directs:
                status, _ = await client.fetch("POST", "/orders", body, DIRECT_S)
            log.debug("orders to %s: %d", direct.address, status)
        except (NoAnswerError, TimeoutError) as wrong:
            log.debug("orders to %s: %s", direct.address, wrong)
        finally:
            client.close()

    # State service

    def _state_heard(self, sent: MonotonicTime) -> None:
        ctx = self.core.ctx
        ctx.state_ok_at = max(ctx.state_ok_at, sent)

    async def _lease(self) -> None:
        """Hold a lease: its number is this process's incarnation."""
        ctx = self.core.ctx
        period = self.life_ms / 4000.0
        while True:
            sent = now()
            try:
                if not ctx.lease_id:
                    ctx.lease_id = await self.state.grant(self.life_ms)
                    log.info("lease %d for %d ms", ctx.lease_id, self.life_ms)
                elif not await self.state.touch(ctx.lease_id):
                    log.info("lease %d has ended", ctx.lease_id)
                    ctx.lease_id = 0
                    ctx.lease_until = MonotonicTime(0.0)
                    continue
                ctx.lease_until = MonotonicTime(sent + self.life_ms / 1000.0 * 0.998)
                self._changed()
                await asyncio.sleep(period)
            except UnavailableError as wrong:
                log.debug("lease: %s", wrong)
                await asyncio.sleep(jitter(0.3))

    async def _follow(self) -> None:
        """Load everything, then follow the changes."""
        view = self.core.view
        ctx = self.core.ctx
        since = -1
        while True:
            sent = now()
            try:
                if since < 0:
                    rows, since = await self._load()
                    self._enter()
                    view.reload([(r.key, r.value, r.version) for r in rows], since)
                    ctx.watch_ok_at = max(ctx.watch_ok_at, sent)
                    log.info("%d records read at revision %d", len(rows), since)
                    self._changed()
                    continue
                news = await self.state.follow(records.ROOT, since, FOLLOW_MS)
                if news is None:
                    since = -1
                    continue
                since = max(since, self._news(news, sent))
                if news.updates:
                    await asyncio.sleep(self.follow_pause)
            except UnavailableError as wrong:
                log.debug("follow: %s", wrong)
                await asyncio.sleep(jitter(0.3))

    def _news(self, news: WatchResponse, sent: MonotonicTime) -> int:
        """Take changes; the view is then as new as `sent`."""
        view, ctx = self.core.view, self.core.ctx
        self._enter()
        for item in news.updates:
            if item.set_key is not None:
                view.apply_value(item.set_key, item.value, item.version)
            elif item.removed_key is not None:
                view.apply_removal(item.removed_key, item.version)
        view.revision = max(view.revision, news.revision)
        ctx.watch_ok_at = max(ctx.watch_ok_at, sent)
        if news.updates:
            self._changed()
        return news.revision

    async def _vouch(self) -> None:
        """Bring the view up to date for the questions that wait, all at once."""
        core = self.core
        while True:
            await self.asked.wait()
            await asyncio.sleep(self.vouch_pause)
            self.asked.clear()
            tickets, core.requests_awaiting_refresh = core.requests_awaiting_refresh, []
            sent = now()
            try:
                news = await self._up_to_now()
            except UnavailableError as wrong:
                log.debug("vouch: %s", wrong)
                self._enter()
                for ticket in tickets:
                    core.read_failed(ticket)
            else:
                self._news(news, sent)
                core.view_refreshed(tickets)
            self._flush()

    async def _up_to_now(self) -> WatchResponse:
        """All changes that the view does not show yet; tried again when over the rate."""
        for attempt in range(4):
            try:
                news = await self.state.follow(records.ROOT, self.core.view.revision, 0)
                if news is not None:
                    return news
                raise UnavailableError("the view is too old", 0)
            except UnavailableError as wrong:
                if wrong.status != 429 or attempt == 3:
                    raise
            await asyncio.sleep(jitter(0.15))
        raise AssertionError("not reached")

    async def _load(self) -> tuple[list[KeyRow], int]:
        """All live keys; endings stay out of memory."""
        found, first = await self.state.rows(records.CATALOG_KEY)
        rows, _ = await self.state.rows(records.ROOT, after=records.ENDING_PREFIX + "~")
        return found + rows, first

    async def _commits(self) -> None:
        """Send transactions, a few at a time; read again what is uncertain."""
        queue = self.core.queue
        while True:
            try:
                async with asyncio.timeout(0.1 if queue.waiting_edits else 1.0):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            for key in queue.stale_keys():
                if not await self._refresh(key):
                    await asyncio.sleep(jitter(0.2))
                    self.wake.set()
                    break
            while self.flying < COMMITS:
                self._enter()
                batch = queue.next_batch(now())
                if batch is None:
                    break
                self.flying += 1
                self._spawn(self._send(batch))
            self._flush()

    async def _send(self, batch: Batch) -> None:
        queue = self.core.queue
        try:
            outcome = await self.state.commit(batch.body)
            self._enter()
            if outcome.ok:
                queue.handle_success(batch, outcome.ledger)
            elif outcome.malformed:
                if outcome.no_lease:
                    self.core.ctx.lease_id = 0  # get a new one
                    queue.handle_lost_lease(batch)
                else:
                    queue.handle_invalid(batch)
            else:
                queue.handle_conflict(batch, outcome.failed)
        except UnavailableError as wrong:
            self._enter()
            log.debug("commit: %s", wrong)
            if wrong.status == 429:
                queue.handle_rate_refusal()
            if wrong.status in (429, 503):
                queue.handle_refusal(batch, now(), jitter(0.25))
            else:
                queue.handle_missing_response(batch, now(), jitter(0.3))
        finally:
            self.flying -= 1
        self.wake.set()
        self._flush()
        self._changed()

    async def _refresh(self, key: str) -> bool:
        """Read a key again whose value we were wrong or are uncertain about."""
        queue, view = self.core.queue, self.core.view
        try:
            row = await self.state.get(key)
            if row is not None:
                parts: list[KeyRow] = []
                if isinstance(row.value, dict):
                    parts, _ = await self.state.rows(record_parts.part_key_prefix(key))
                self._enter()
                view.apply_value(key, row.value, row.version)
                for part in parts:
                    view.apply_value(part.key, part.value, part.version)
                # Parts of a later Stamp belong to a newer head: it has to be read again.
                if not view.has_missing_parts(key):
                    queue.mark_refreshed(key)
            elif key.startswith(records.JOB_PREFIX):
                ended = await self.state.get(
                    key.replace(records.JOB_PREFIX, records.ENDING_PREFIX, 1)
                )
                self._enter()
                if ended is not None:
                    view.apply_removal(key, ended.version)
                    queue.settle_ended_job(key)
                else:
                    queue.mark_refreshed(key)
            else:
                self._enter()
                known = view.version_of(key)
                view.apply_removal(key, known)
                queue.mark_refreshed(key)
        except UnavailableError as wrong:
            log.debug("read: %s", wrong)
            return False
        self._changed()
        return True

    async def _read(self, ticket: int, job: JobId) -> None:
        """The final state of a job that is not, or no longer, among the live ones."""
        found: Ending | None = None
        try:
            if not self.state.room():
                raise UnavailableError("over our part of the rate", 429)
            row = await self.state.get(ending_key(job))
            if row is not None:
                ending = codec.decode_record(row.key, row.value)
                found = ending if isinstance(ending, Ending) else None
        except (UnavailableError, msgspec.ValidationError) as wrong:
            log.debug("read %s: %s", job, wrong)
            self._enter().read_failed(ticket)
        else:
            self._enter().receive_job_result(ticket, found)
        self._flush()


def run(
    settings: Settings,
    policy: Policy | None = None,
    cells: "CellsConfig | None" = None,
    shares: "SharesConfig | None" = None,
) -> None:
    """Start the service, or say in one line why it cannot start."""

    async def main() -> None:
        try:
            service = Service(settings, policy, cells, shares)
        except OSError as wrong:
            print(f"coursefold: cannot listen: {wrong}", file=sys.stderr)
            raise SystemExit(1) from None
        log.info("member %s in %s serves at %s", settings.member, settings.zone, settings.listen)
        await service.run()

    # libuv's loop: on a fleet's reports asyncio's own spends a fifth more, all on waking up.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
