"""Ties transport and core together: one process, one event loop."""

import asyncio
import logging
import sys
import time
from typing import Any

import msgspec

from coursefold.coordination.core import Core
from coursefold.coordination.effects import Answer, CloudCall, Direct, Read, Tell
from coursefold.policy import Policy
from coursefold.protocol.ids import JobId, Moment, WallTime
from coursefold.protocol.wire import DirectOrders, KeyRow, encode
from coursefold.settings import Settings
from coursefold.storage import records
from coursefold.storage.queue import Batch
from coursefold.storage.records import Ending, JobRecord, ending_key, job_key
from coursefold.transport.http_client import HttpClient, NoAnswer
from coursefold.transport.peers import PeerLink, PeerServer
from coursefold.transport.server import Server
from coursefold.transport.state import StateClient, Unavailable, jitter

log = logging.getLogger(__name__)

TICK_S = 0.25
FOLLOW_MS = 3000
PEER_S = 0.7
COMMITS = 3


def now() -> Moment:
    return Moment(time.monotonic())


class Service:
    """The running controller."""

    def __init__(self, settings: Settings, policy: Policy | None = None) -> None:
        self.settings = settings
        self.core = Core(settings, policy)
        params = settings.params
        self.state = StateClient(settings.services.state, params.state.rps, now, self._state_heard)
        self.cloud = HttpClient(settings.services.cloud, connections=4)
        self.server = Server(settings.listen, self._request)
        self.peer_server = PeerServer(settings.peer_listen, self._peer)
        self.links = [
            PeerLink(s.member, s.peer_addr, self._summary, PEER_S) for s in settings.siblings
        ]
        self.life_ms = int(min(2500.0, params.workers.lease_s * 250.0))
        self.wake = asyncio.Event()
        self.dirty = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.flying = 0
        self.permit_ready = asyncio.Event()

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
        for link in self.links:
            self._spawn(link.run())
        for loop in (self._lease, self._follow, self._commits, self._ticks):
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
        self.core.at(now(), WallTime(time.time()))
        return self.core

    def _flush(self) -> None:
        """Carry out what the core asks for."""
        for effect in self.core.drain():
            if isinstance(effect, Answer):
                self.server.answer(effect.ticket, effect.status, effect.body, effect.retry_after)
            elif isinstance(effect, Read):
                self._spawn(self._read(effect.ticket, JobId(effect.job)))
            elif isinstance(effect, CloudCall):
                self._spawn(self._cloud_call(effect))
            elif isinstance(effect, Direct):
                self._spawn(self._direct(effect))
            elif isinstance(effect, Tell):
                for link in self.links:
                    link.wake.set()
        if self.core.queue.waiting:
            self.wake.set()

    def _changed(self) -> None:
        self.dirty.set()

    async def _ticks(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self.dirty.wait()
                await asyncio.sleep(0.015)
            except TimeoutError:
                pass
            self.dirty.clear()
            core = self._enter()
            core.tick()
            for ticket in self.server.overdue():
                core.forget_ticket(ticket)
                self.server.answer(ticket, 503, {"error": "busy"}, 1)
            self._flush()

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
            core.report(body, ticket)
        elif path == "/healthz" and method == "GET":
            healthy = core.healthy()
            self.server.answer(ticket, 200 if healthy else 503, {"ok": healthy})
        elif path == "/work" and method == "POST":
            core.submit(body, ticket)
        elif path.startswith("/work/"):
            job, slash, verb = path.removeprefix("/work/").partition("/")
            if method == "GET" and not slash:
                if self.state.room():
                    core.poll(job, ticket)
                else:
                    self.server.answer(ticket, 503, {"error": "too many requests"}, 2)
            elif method == "POST" and verb == "cancel":
                core.cancel(job, ticket)
            else:
                self.server.answer(ticket, 404, {"error": "no such path"})
        else:
            self.server.answer(ticket, 404, {"error": "no such path"})

    # Peers

    def _summary(self) -> bytes:
        return self._enter().summary()

    def _peer(self, frame: bytes) -> None:
        self._enter().peer(frame)
        self._flush()
        self._changed()

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
        except NoAnswer as wrong:
            log.debug("cloud: %s", wrong)
            status, answer = 0, b""
        self._enter().cloud(call.call, status, answer)
        self._flush()
        self._changed()

    async def _direct(self, direct: Direct) -> None:
        """Commands to a worker's address; its next report tells what came of them."""
        try:
            client = HttpClient(direct.addr, 1)
        except ValueError as wrong:
            log.error("worker address: %s", wrong)
            return
        body = encode(DirectOrders(direct.token, direct.session, direct.orders))
        try:
            status, _ = await client.fetch("POST", "/orders", body, 3.0)
            log.debug("orders to %s: %d", direct.addr, status)
        except NoAnswer as wrong:
            log.debug("orders to %s: %s", direct.addr, wrong)
        finally:
            client.close()

    # State service

    def _state_heard(self, sent: Moment) -> None:
        ctx = self.core.ctx
        ctx.state_ok_at = max(ctx.state_ok_at, sent)

    async def _lease(self) -> None:
        """Hold a lease: its number is this process's incarnation."""
        ctx = self.core.ctx
        period = self.life_ms / 4000.0
        while True:
            sent = now()
            try:
                if not ctx.permit:
                    ctx.permit = await self.state.grant(self.life_ms)
                    log.info("lease %d for %d ms", ctx.permit, self.life_ms)
                elif not await self.state.touch(ctx.permit):
                    log.info("lease %d has ended", ctx.permit)
                    ctx.permit = 0
                    ctx.lease_until = Moment(0.0)
                    continue
                ctx.lease_until = Moment(sent + self.life_ms / 1000.0 * 0.998)
                self._changed()
                await asyncio.sleep(period)
            except Unavailable as wrong:
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
                    view.reload([(r.key, r.value, r.stamp) for r in rows], since)
                    ctx.follow_ok_at = max(ctx.follow_ok_at, sent)
                    log.info("%d records read at revision %d", len(rows), since)
                    self._changed()
                    continue
                news = await self.state.follow(records.ROOT, since, FOLLOW_MS)
                self._enter()
                if news is None:
                    since = -1
                    continue
                for item in news.news:
                    if item.set is not None:
                        view.put(item.set, item.value, item.stamp)
                    elif item.remove is not None:
                        view.drop(item.remove, item.stamp)
                since = max(since, news.ledger)
                view.ledger = max(view.ledger, since)
                ctx.follow_ok_at = max(ctx.follow_ok_at, sent)
                if news.news:
                    self._changed()
                    await asyncio.sleep(0.03)
            except Unavailable as wrong:
                log.debug("follow: %s", wrong)
                await asyncio.sleep(jitter(0.3))

    async def _load(self) -> tuple[list[KeyRow], int]:
        """All live keys; endings stay out of memory."""
        found: list[KeyRow] = []
        first = 0
        for prefix in (
            records.ROSTER,
            records.CATALOG,
            records.MEMBERS,
            records.POOLS,
            records.JOBS,
        ):
            rows, ledger = await self.state.rows(prefix)
            first = first or ledger
            found.extend(rows)
        return found, first

    async def _commits(self) -> None:
        """Send transactions, a few at a time; read again what is uncertain."""
        queue = self.core.queue
        while True:
            try:
                async with asyncio.timeout(0.1 if queue.waiting else 1.0):
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
            self._flush_quietly()

    def _flush_quietly(self) -> None:
        waiting = bool(self.wake.is_set())
        self._flush()
        if not waiting:
            # Nothing new came in: what still waits is looked at in a moment, not at once.
            self.wake.clear()

    async def _send(self, batch: Batch) -> None:
        queue = self.core.queue
        try:
            outcome = await self.state.commit(batch.body)
            self._enter()
            if outcome.ok:
                queue.applied(batch, outcome.ledger)
            elif outcome.malformed:
                if any(e.permit for e in batch.edits):
                    self.core.ctx.permit = 0  # no such lease: get a new one
                queue.invalid(batch)
            else:
                queue.conflicted(batch, outcome.failed)
        except Unavailable as wrong:
            self._enter()
            log.debug("commit: %s", wrong)
            if wrong.status in (429, 503):
                queue.refused(batch, now(), jitter(0.25))
            else:
                queue.unknown(batch, now(), jitter(0.3))
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
                self._enter()
                view.put(key, row.value, row.stamp)
                queue.refreshed(key)
            elif key.startswith(records.JOBS):
                ended = await self.state.get(key.replace(records.JOBS, records.ENDINGS, 1))
                self._enter()
                if ended is not None:
                    view.drop(key, ended.stamp)
                    queue.over(key)
                else:
                    queue.refreshed(key)
            else:
                self._enter()
                known = view.stamp(key)
                view.drop(key, known)
                queue.refreshed(key)
        except Unavailable as wrong:
            log.debug("read: %s", wrong)
            return False
        self._changed()
        return True

    async def _read(self, ticket: int, job: JobId) -> None:
        """A job's newest state: its record first, then its ending (it moves that way only)."""
        found: JobRecord | Ending | None = None
        try:
            row = await self.state.get(job_key(job))
            if row is not None:
                record = records.parse(row.key, row.value)
                found = record if isinstance(record, JobRecord) else None
                self._enter()
                self.core.view.put(row.key, row.value, row.stamp)
            else:
                row = await self.state.get(ending_key(job))
                if row is not None:
                    ending = records.parse(row.key, row.value)
                    found = ending if isinstance(ending, Ending) else None
        except (Unavailable, msgspec.ValidationError) as wrong:
            log.debug("read %s: %s", job, wrong)
            self._enter().read_failed(ticket)
        else:
            self._enter().read(ticket, found)
        self._flush()


def run(settings: Settings, policy: Policy | None = None) -> None:
    """Start the service, or say in one line why it cannot start."""

    async def main() -> None:
        try:
            service = Service(settings, policy)
        except OSError as wrong:
            print(f"coursefold: cannot listen: {wrong}", file=sys.stderr)
            raise SystemExit(1) from None
        log.info("member %s in %s serves at %s", settings.member, settings.zone, settings.listen)
        await service.run()

    asyncio.run(main())
