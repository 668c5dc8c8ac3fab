"""A controller of the simulated cluster; replaces `coursefold.service` without sockets."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from coursefold.coordination.effects import ReadJobResult, Response
from coursefold.protocol.ids import JobId, MonotonicTime, WallTime
from coursefold.protocol.wire import KeyRows, WatchResponse, encode
from coursefold.storage import records
from coursefold.storage.batches import Batch
from coursefold.storage.loading import RecordLoader, apply_changes
from coursefold.storage.rereading import KeyReader
from tests.fleet_jobs import RuleBrokenError
from tests.production import OURS
from tests.world import EPOCH, SETTINGS, send_read

if TYPE_CHECKING:
    from tests.fleet import Fleet

LEASE_MS = 2500
LOAD_PAGE_SIZE = 10  # keys; small, so that a load takes several pages
KEPT_CHANGES = 9000  # of the state service, in revisions
TICK_S = 0.2
ZONES = ("a", "b")


class Node:
    """One controller: its core and the loops that `coursefold.service` runs for it.

    Attributes:
        refused_until: The state service refuses this controller until then.
        cut_until: The controller has no connection to any service or sibling until then.
        workers_cut_until: Reports to the controller are held back until then, and commands that
            it sends to workers are lost.
        frozen_until: The process is suspended until then.
        incarnation: Number of the current process; changes with each start and stop.
        skew: Seconds by which the controller's wall clock is ahead.
        seen_revision: Revision up to which changes were watched; -1 before a load.
        loader: The load in progress, as in `coursefold.service`; None if there is none.
        load_rng: Draws the delays between the pages of a load.
        pending_requests: Functions that take the response, by ticket.
        in_flight: Transactions sent and not answered.
        keys_being_read: Stale keys with a read that was sent and not answered.
    """

    def __init__(self, world: "Fleet", number: int) -> None:
        self.world, self.number, self.name = world, number, f"n{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.refused_until = self.cut_until = self.frozen_until = 0.0
        self.workers_cut_until = 0.0
        self.incarnation = 0
        self.up = False
        self.skew = world.rng.uniform(-0.02, 0.02)
        self.load_rng = random.Random(number)
        self.version = world.version
        self.start()

    def settings(self) -> Any:
        """Return the settings of this controller, in its version's classes."""
        siblings = [
            {"member": f"n{i}", "zone": ZONES[i % 2], "peer_addr": f"127.0.0.1:{i + 10}"}
            for i in range(self.world.size)
            if i != self.number
        ]
        own_settings = {"member": self.name, "zone": self.zone, "siblings": siblings}
        raw = SETTINGS | own_settings | {"params": self.world.params}
        return msgspec.convert(raw, self.version.Settings)

    def start(self) -> None:
        """Start the controller's process with nothing in memory."""
        self.incarnation += 1
        self.up = True
        self.core = self.version.Core(self.settings())
        self.world.node_started(self)
        self.seen_revision = -1
        self.loader: RecordLoader | None = None
        self.pending_requests: dict[int, Callable[[Response | None], None]] = {}
        self.tickets = 0
        self.in_flight = 0
        self.keys_being_read: set[str] = set()
        incarnation = self.incarnation
        for member in self.core.frame_builders:
            self._connect(member, incarnation)
        self._loop(0.6, incarnation, self._renew_lease)
        self._loop(0.12, incarnation, self._watch)
        self._loop(TICK_S, incarnation, self._tick)

    def stop(self) -> None:
        """Kill the controller's process."""
        self.up = False
        self.incarnation += 1

    def _loop(self, period: float, incarnation: int, work: Callable[[], None]) -> None:
        """Call a function about every `period` seconds until the process ends."""

        def step() -> None:
            if self.incarnation == incarnation:
                if self.defer_while_frozen(step):
                    return
                work()
                self.world.after(period * self.world.rng.uniform(0.9, 1.1), step)

        step()

    def defer_while_frozen(self, work: Callable[[], None]) -> bool:
        """Schedule the work for the end of a suspension and return whether there is one.

        The order of the deferred work is kept.
        """
        if self.world.now >= self.frozen_until:
            return False
        self.world.after(self.frozen_until - self.world.now, work)
        return True

    def enter(self) -> Any:
        """Set the core's clocks to the current time and return the core."""
        now = self.world.now
        self.core.set_time(MonotonicTime(1000.0 + now), WallTime(EPOCH + now + self.skew))
        return self.core

    def state_up(self) -> bool:
        """Return whether this controller can reach the state service now.

        The first call after an outage of the state service renews all leases.
        """
        world = self.world
        if world.now >= world.outage_until > world.leases_extended_at:
            world.leases_extended_at = world.outage_until
            world.store.resume(world.now)
        return world.now >= max(self.refused_until, self.cut_until, world.outage_until)

    def _renew_lease(self) -> None:
        """Renew the controller's lease at the state service, or obtain a new one."""
        if not self.state_up():
            return
        core, store, now = self.enter(), self.world.store, self.world.now
        ctx = core.ctx
        if not ctx.lease_id or not store.touch(now, ctx.lease_id):
            ctx.lease_id = store.grant(now, LEASE_MS)
        ctx.lease_until = MonotonicTime(1000.0 + now + LEASE_MS / 1000.0)
        ctx.state_ok_at = MonotonicTime(1000.0 + now)

    def _watch(self) -> None:
        """Load the view, or apply the changes since the revision last seen.

        The view is loaded anew if the state service does not keep all changes since then.
        """
        if self.loader is not None or not self.state_up():
            return
        if self.seen_revision < 0 or self.seen_revision < self.world.store.revision - KEPT_CHANGES:
            self.seen_revision = -1
            self.loader = RecordLoader(LOAD_PAGE_SIZE)
            self._load_page(self.loader, self.enter().ctx.now, self.incarnation)
        else:
            self._apply_changes()

    def _load_page(self, loader: RecordLoader, started_at: float, incarnation: int) -> None:
        """Read the next page of a load; other controllers may write between two pages."""
        if self.incarnation != incarnation or self.defer_while_frozen(
            lambda: self._load_page(loader, started_at, incarnation)
        ):
            return
        request = loader.next_request()
        if request is None or not self.state_up():
            self.loader = None  # the state service was lost: the next watch starts anew
            return
        loader.receive_page(msgspec.convert(self.world.store.page(*request), KeyRows))
        self.enter().ctx.state_ok_at = MonotonicTime(1000.0 + self.world.now)
        if not loader.is_complete:
            delay = self.load_rng.uniform(0.002, 0.02)
            self.world.after(delay, lambda: self._load_page(loader, started_at, incarnation))
            return
        self.loader = None
        core = self.enter()
        loader.store_in(core.view)
        self.seen_revision = loader.revision
        core.ctx.watch_ok_at = max(core.ctx.watch_ok_at, MonotonicTime(started_at))
        self._apply_changes()

    def _apply_changes(self) -> None:
        """Apply all changes that the view lacks."""
        core, store = self.enter(), self.world.store
        if core.view.revision < store.revision:
            changes = store.since(core.view.revision, records.ROOT)
            response = {"Ledger": store.revision, "News": changes}
            apply_changes(core.view, msgspec.convert(response, WatchResponse))
        if self.seen_revision >= 0:
            self.seen_revision = core.view.revision
        core.ctx.watch_ok_at = core.ctx.state_ok_at = MonotonicTime(1000.0 + self.world.now)

    def _tick(self) -> None:
        self.enter().tick()
        self.flush()

    def flush(self) -> None:
        """Carry out the core's effects and send its commits, for at most 20 rounds."""
        for _ in range(20):
            effects: list[Any] = self.core.take_effects()
            version = self.version
            for effect in effects:
                if isinstance(effect, version.Response):
                    on_response = self.pending_requests.pop(effect.ticket, None)
                    if on_response is not None:
                        on_response(effect)
                elif isinstance(effect, version.RefreshView):
                    self._refresh_view()
                elif isinstance(effect, version.ReadJobResult):
                    self._read(effect)
                elif isinstance(effect, version.SendCommands):
                    self.world.send_commands(self, effect)
                elif isinstance(effect, version.CloudCall):
                    self.world.cloud_call(self, effect)
            self._commit()
            if (
                all(isinstance(e, version.NotifyPeers) for e in effects)
                and not self.core.ctx.effects
            ):
                return

    def _refresh_view(self) -> None:
        tickets, self.core.requests_awaiting_refresh = self.core.requests_awaiting_refresh, []
        if not tickets:
            return
        is_kept = self.core.view.revision >= self.world.store.revision - KEPT_CHANGES
        if not is_kept or not self.state_up():
            for ticket in tickets:
                self.core.read_failed(ticket)
            return
        self._apply_changes()
        self.core.view_refreshed(tickets)

    def _read(self, read: ReadJobResult) -> None:
        if not self.state_up():
            self.core.read_failed(read.ticket)
            return
        key = records.ending_key(JobId(read.job))
        row = self.world.store.row(key)
        record = self.version.codec.decode_record(key, row["Value"]) if row else None
        job_result = record if isinstance(record, self.version.records.Ending) else None
        self.core.receive_job_result(read.ticket, job_result)

    def _commit(self) -> None:
        """Read stale keys again and send batches, with at most three in flight."""
        world, queue = self.world, self.core.queue
        now = MonotonicTime(1000.0 + world.now)
        if queue.stale and self.state_up():
            if self.version is OURS:
                self._reread_stale_keys()
            else:
                self._refresh_stale_keys()
        while self.in_flight < 3:
            batch = queue.next_batch(now)
            if batch is None:
                return
            if not self.state_up():
                queue.handle_refusal(batch, now, 0.3)
                return
            self._send(batch)

    def _reread_stale_keys(self) -> None:
        """Read stale keys again, as `coursefold.service` does; the responses may be late."""
        for key in self.core.queue.stale_keys():
            if key not in self.keys_being_read:
                self.keys_being_read.add(key)
                self._reread(KeyReader(key), self.incarnation)

    def _reread(self, reader: KeyReader, incarnation: int) -> None:
        """Send the reader's next request, or apply what was read."""
        if self.incarnation != incarnation or self.defer_while_frozen(
            lambda: self._reread(reader, incarnation)
        ):
            return
        deliver = send_read(reader, self.world.store) if self.state_up() else None
        if deliver is not None:

            def arrive() -> None:
                deliver()
                self._reread(reader, incarnation)

            self.world.after(self._read_delay_s(), arrive)
            return
        self.keys_being_read.discard(reader.key)
        if reader.next_request() is None:
            self.enter()
            reader.store_in(self.core.queue)
            self.flush()

    def _read_delay_s(self) -> float:
        """Draw after how many seconds the response to a read arrives."""
        if self.load_rng.random() < self.world.slow_read_share:
            return self.load_rng.uniform(0.1, self.world.slow_read_s)
        return self.load_rng.uniform(0.002, 0.02)

    def _refresh_stale_keys(self) -> None:
        """Bring the whole view of a controller in production up to date for its stale keys."""
        queue, store = self.core.queue, self.world.store
        self._apply_changes()
        for key in queue.stale_keys():
            ended = store.row(key.replace(records.JOB_PREFIX, records.ENDING_PREFIX))
            if key.startswith(records.JOB_PREFIX) and key not in store.keys and ended:
                queue.settle_ended_job(key)
            queue.mark_refreshed(key)

    def _send(self, batch: Batch) -> None:
        """Send a transaction; it is carried out within 50 ms, or later if its response is lost."""
        world, core = self.world, self.core
        queue, incarnation = core.queue, self.incarnation
        self.in_flight += 1
        if len(encode(batch.body)) > 64 * 1024:
            raise RuleBrokenError("a transaction is larger than 64 KiB")
        world.sent_changes[self.version.name] += len(batch.body["Then"])
        is_lost = world.rng.random() < world.lost_commits
        delay = world.rng.uniform(0.005, 0.05)
        if is_lost:
            delay = world.rng.uniform(world.lost_commit_min_delay_s, world.lost_commit_delay_s)

        def carry_out() -> None:
            status, body = world.store.commit(world.now, batch.body)
            if not is_lost:
                receive_response(status, body)

        def receive_response(status: int, body: Any) -> None:
            if self.incarnation != incarnation or self.defer_while_frozen(
                lambda: receive_response(status, body)
            ):
                return
            self.enter()
            self.in_flight -= 1
            self._take_outcome(batch, status, body)
            self.flush()

        def time_out() -> None:
            if self.incarnation == incarnation and not self.defer_while_frozen(time_out):
                self.enter()
                self.in_flight -= 1
                queue.handle_missing_response(batch, MonotonicTime(1000.0 + world.now), 0.3)

        world.after(delay, carry_out)
        if is_lost:
            world.after(1.5, time_out)

    def _take_outcome(self, batch: Batch, status: int, body: Any) -> None:
        """Pass the response to a transaction on to the commit queue."""
        queue, ctx = self.core.queue, self.core.ctx
        ctx.state_ok_at = MonotonicTime(1000.0 + self.world.now)
        is_lease_error = b"lease" in encode(body)
        if status == 200:
            queue.handle_success(batch, body["Ledger"])
        elif status == 409:
            queue.handle_conflict(batch, body["failed"])
        elif is_lease_error:
            if self.version is OURS:
                ctx.drop_ended_lease(batch.lease_ids())
                queue.handle_lost_lease(batch)
            else:
                ctx.lease_id = 0
                queue.handle_invalid(batch)
        else:
            self.world.refused_transaction_count += 1
            queue.handle_invalid(batch)

    def _connect(self, member: str, incarnation: int) -> None:
        """Send frames to one sibling until the process ends.

        If the sibling can't be reached or refuses a frame, the connection starts again.
        """
        self.enter().peer_connected(member)
        other = int(member[1:])

        def send() -> None:
            if self.incarnation != incarnation or self.defer_while_frozen(send):
                return
            world = self.world
            if world.can_connect(self, other):
                frame = self.enter().next_frame(member)
                if frame:
                    sibling_incarnation = world.nodes[other].incarnation

                    def arrive() -> None:
                        sibling = world.nodes[other]
                        if sibling.defer_while_frozen(arrive):
                            return
                        if (
                            sibling.incarnation == sibling_incarnation
                            and sibling.up
                            and not sibling.enter().receive_frame(frame)
                        ):
                            self.enter().peer_connected(member)
                        if sibling.up:
                            sibling.flush()

                    world.after(world.rng.uniform(0.001, 0.01), arrive)
            else:
                self.enter().peer_connected(member)
            world.after(0.15, send)

        self.world.after(0.1, send)
