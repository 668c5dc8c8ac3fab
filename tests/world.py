"""Run the core of one controller in simulated time against stand-ins.

`World` replaces `coursefold.service` without using sockets: it commits the core's
transactions to the stand-in state service, applies the resulting changes to the view,
answers cloud calls, and calls `tick` four times per simulated second. The traces in
`tests/traces` are executed with it.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from coursefold.coordination.core import Core
from coursefold.coordination.effects import (
    CloudCall,
    NotifyPeers,
    ReadJobResult,
    RefreshView,
    Response,
    SendCommands,
)
from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId, MonotonicTime, WallTime
from coursefold.protocol.wire import (
    Catalog,
    KeyRow,
    KeyRows,
    MissingKey,
    WatchResponse,
    encode,
)
from coursefold.settings import Settings
from coursefold.storage import codec, records
from coursefold.storage.loading import RecordLoader, apply_changes
from coursefold.storage.records import Ending
from coursefold.storage.rereading import KeyReader, PartsRequest
from coursefold.storage.view import View
from tests.standins.state import StateStore

EPOCH = 1_700_000_000.0  # wall time at simulated time 0
LEASE_MS = 3000
LOAD_PAGE_SIZE = 3  # keys; small, so that a load takes several pages

SETTINGS: dict[str, Any] = {
    "member": "n0",
    "zone": "a",
    "listen": "127.0.0.1:1",
    "peer_listen": "127.0.0.1:2",
    "siblings": [
        {"member": "n1", "zone": "b", "peer_addr": "127.0.0.1:3"},
        {"member": "n2", "zone": "a", "peer_addr": "127.0.0.1:4"},
    ],
    "services": {"cloud": "127.0.0.1:5", "state": "127.0.0.1:6"},
    "params": {
        "zones": ["a", "b"],
        "skew_ms": 25.0,
        "teams": [
            {"name": "red", "gpus": 4.0, "gpus_max": 8.0},
            {"name": "blue", "gpus": 0.0, "gpus_max": 0.0},
        ],
        "objectives": [],
        "workers": {
            "report_s": 2.0,
            "lease_s": 10.0,
            "gang_wait_s": 40.0,
            "gang_peer_s": 5.0,
            "cancel_s": 40.0,
        },
        "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 10.0, "list_lag_s": 4.0},
        "resources": {"cores": 0.5, "memory_mb": 146.0, "fd_limit": 900},
    },
}

CATALOG = {
    "Builds": [
        {
            "Name": "g2", "Vcpus": 16.0, "Accelerators": 2.0, "MemoryGb": 64.0, "CacheGb": 100.0,
            "FetchGbPerS": 0.5, "Hourly": 5.0, "LowPrice": 2.0, "BootS": 20.0, "Sites": ["a", "b"],
        }
    ]
}  # fmt: skip

JOB: dict[str, Any] = {
    "Lane": "batch", "Owner": "blue", "Shape": "array", "Rank": "normal", "Pieces": 1,
    "Vcpus": 8.0, "Accelerators": 1.0, "MemoryGb": 16.0, "Bundle": "img", "ImageGb": 5.0,
    "Builds": None, "Site": None, "Together": False, "Apart": False, "Loaners": False,
    "ExpectedS": 60.0, "SnapshotEveryS": 10.0, "SnapshotS": 2.0, "DueS": None,
}  # fmt: skip


def load_view(view: View, store: StateStore) -> None:
    """Load a view from a state service, as a controller does when it starts."""
    loader = RecordLoader(LOAD_PAGE_SIZE)
    while (request := loader.next_request()) is not None:
        loader.receive_page(msgspec.convert(store.page(*request), KeyRows))
    loader.store_in(view)


def send_read(reader: KeyReader, store: StateStore) -> Callable[[], None] | None:
    """Carry out a reader's next request; return what delivers the response, or None at the end."""
    request = reader.next_request()
    if request is None:
        return None
    if isinstance(request, PartsRequest):
        parts = [msgspec.convert(row, KeyRow) for row in store.rows(request.prefix)]
        return lambda: reader.receive_parts(parts)
    row = store.row(request.key)
    found = MissingKey(store.revision) if row is None else msgspec.convert(row, KeyRow)
    return lambda: reader.receive_row(found)


class World:
    """The controller `n0`, a state service, a cloud, and the simulated clock.

    Attributes:
        now: Simulated time in seconds.
        state: How the state service behaves: "up"; "down" (503 to every request); "lost"
            (commits are carried out but the response is lost); "mute" (nothing is carried
            out and no request gets a response).
        cloud: How the cloud behaves: "up"; "down" (503 to every call); "full" (503 to
            rentals); "mute" (machines are rented but the response is lost).
        rentals: Names of the rented machines, by rental id.
        calls: Cloud calls so far, as verb and body.
        returned: Names of the machines that were returned.
        listed: Entries of the cloud's machine list, by machine name.
        answers: Responses of the core, by ticket.
        sent_commands: Commands sent to the workers' own addresses.
        seen_revision: Revision up to which the view is loaded; -1 before the first load.
    """

    def __init__(self) -> None:
        self.store = StateStore()
        self.now = 0.0
        self.state = "up"
        self.cloud = "up"
        self.rentals: dict[str, list[str]] = {}
        self.calls: list[tuple[str, dict[str, Any]]] = []
        self.returned: list[str] = []
        self.listed: dict[str, dict[str, Any]] = {}
        self.last_ticket = 0
        self.frame_count = 0
        self.answers: dict[int, Response] = {}
        self.sent_commands: list[SendCommands] = []
        self.store.set(records.CATALOG_KEY, msgspec.to_builtins(self._catalog()))
        self.restart()

    @staticmethod
    def _catalog() -> Any:
        return msgspec.convert(CATALOG, Catalog)

    def restart(self) -> None:
        """Replace the controller's process by a new one that has nothing in memory."""
        self.core = Core(msgspec.convert(SETTINGS, Settings))
        self.seen_revision = -1
        self.run(self.now + 0.5)

    # Time

    def enter(self) -> Core:
        """Set the core's clocks to the current time and return the core."""
        self.core.set_time(MonotonicTime(100.0 + self.now), WallTime(EPOCH + self.now))
        return self.core

    def run(self, until: float) -> None:
        """Advance the clock to `until`, with four ticks a second."""
        while self.now < until - 1e-9:
            self.now = min(until, self.now + 0.25)
            self.enter()
            self._renew_lease()
            self._watch()
            self.enter().tick()
            self.settle()

    def settle(self) -> None:
        """Carry out effects, commits and changes of the view until none are left.

        Raises:
            AssertionError: the core still produces effects after 50 rounds.
        """
        for _ in range(50):
            has_progress = self._carry_out_effects()
            has_progress |= self._commit()
            self._watch()
            if not has_progress:
                return
        raise AssertionError("the core still produces effects after 50 rounds")

    def _mark_state_ok(self) -> None:
        self.core.ctx.state_ok_at = MonotonicTime(100.0 + self.now)

    def _renew_lease(self) -> None:
        """Renew the controller's lease at the state service, or obtain a new one."""
        ctx = self.core.ctx
        self.store.expire(self.now) if self.state == "up" else None
        if self.state != "up":
            return
        if not ctx.lease_id or not self.store.touch(self.now, ctx.lease_id):
            ctx.lease_id = self.store.grant(self.now, LEASE_MS)
        ctx.lease_until = MonotonicTime(100.0 + self.now + LEASE_MS / 1000)
        self._mark_state_ok()

    def _watch(self) -> None:
        """Load the view, or apply the changes since the revision last seen."""
        if self.state != "up":
            return
        view = self.core.view
        if self.seen_revision < 0:
            load_view(view, self.store)
        changes = self.store.since(view.revision, records.ROOT)
        response = {"Ledger": self.store.revision, "News": changes}
        apply_changes(view, msgspec.convert(response, WatchResponse))
        self.seen_revision = view.revision
        self.core.ctx.watch_ok_at = MonotonicTime(100.0 + self.now)

    def _commit(self) -> bool:
        """Send the next batch of the commit queue and return whether anything happened."""
        queue = self.core.queue
        now = MonotonicTime(100.0 + self.now)
        reread = False
        for key in queue.stale_keys():
            if self.state == "up":
                reread = True
                reader = KeyReader(key)
                while (deliver := send_read(reader, self.store)) is not None:
                    deliver()
                reader.store_in(queue)
        batch = queue.next_batch(now)
        if batch is None:
            return reread or bool(self.core.ctx.effects)
        if self.state in ("down", "mute"):
            queue.handle_refusal(
                batch, now, 0.2
            ) if self.state == "down" else queue.handle_missing_response(batch, now, 0.2)
            return False
        status, body = self.store.commit(self.now, batch.body)
        if self.state == "lost":
            queue.handle_missing_response(batch, now, 0.2)
            return False
        self._mark_state_ok()
        if status == 200:
            queue.handle_success(batch, body["Ledger"])
        elif status == 409:
            queue.handle_conflict(batch, body["failed"])
        else:
            self.core.ctx.drop_ended_lease(batch.lease_ids())
            queue.handle_lost_lease(batch)
        return True

    def _carry_out_effects(self) -> bool:
        """Return whether there was an effect other than `NotifyPeers`."""
        has_effects = False
        for effect in self.core.take_effects():
            has_effects |= not isinstance(effect, NotifyPeers)
            if isinstance(effect, Response):
                self.answers[effect.ticket] = effect
            elif isinstance(effect, RefreshView):
                self._refresh_view()
            elif isinstance(effect, ReadJobResult):
                self._read_job_result(effect)
            elif isinstance(effect, SendCommands):
                self.sent_commands.append(effect)
            elif isinstance(effect, CloudCall):
                self._answer_cloud_call(effect)
        return has_effects

    def _read_job_result(self, read: ReadJobResult) -> None:
        if self.state != "up":
            self.core.read_failed(read.ticket)
            return
        key = records.ending_key(JobId(read.job))
        row = self.store.row(key)
        record = codec.decode_record(key, row["Value"]) if row is not None else None
        self.core.receive_job_result(read.ticket, record if isinstance(record, Ending) else None)

    def _refresh_view(self) -> None:
        tickets, self.core.requests_awaiting_refresh = self.core.requests_awaiting_refresh, []
        if self.state != "up":
            for ticket in tickets:
                self.core.read_failed(ticket)
            return
        self._watch()
        self.core.view_refreshed(tickets)

    def _answer_cloud_call(self, call: CloudCall) -> None:
        self.calls.append((call.verb, call.body))
        if self.cloud == "down":
            self.core.receive_cloud_response(call.call_id, 503, encode({"error": "trouble"}))
        elif self.cloud == "full" and call.verb == "hire":
            self.core.receive_cloud_response(call.call_id, 503, encode({"error": "no capacity"}))
        elif call.verb == "catalog":
            self.core.receive_cloud_response(call.call_id, 200, encode(CATALOG))
        elif call.verb == "list":
            self.core.receive_cloud_response(
                call.call_id, 200, encode({"Boxes": list(self.listed.values()), "More": False})
            )
        elif call.verb == "hire":
            body = call.body
            names = self.rentals.setdefault(body["Hire"], [])
            while len(names) < body["Count"]:
                name = f"i-{sum(map(len, self.rentals.values())):06d}"
                names.append(name)
                pool = {key: body[key] for key in ("Build", "Site", "Loaners")}
                machine = {"NameId": name, "Addr": "10.0.0.9:9000", "Status": "starting"}
                self.listed[name] = machine | pool | {"HeldS": 0.0}
            if self.cloud != "mute":
                self.core.receive_cloud_response(call.call_id, 200, encode({"Boxes": names}))
        elif call.verb == "return":
            self.returned.extend(call.body["Boxes"])
            for name in call.body["Boxes"]:
                self.listed.pop(name, None)
            self.core.receive_cloud_response(call.call_id, 200, encode({}))

    # Requests and frames

    def ask(self, send: Any) -> Response | None:
        """Send a request and return its response, or None if the core defers it.

        Args:
            send: Called with the ticket of the request; calls the core.
        """
        self.last_ticket += 1
        self.enter()
        send(self.last_ticket)
        self.settle()
        return self.answers.get(self.last_ticket)

    def submit(self, name: str, **fields: Any) -> Response | None:
        """Submit `JOB` under a name, with some of its fields replaced."""
        body = encode(JOB | {"NameId": name} | fields)
        return self.ask(lambda ticket: self.core.submit(body, ticket))

    def poll(self, name: str) -> Response | None:
        return self.ask(lambda ticket: self.core.poll(name, ticket))

    def cancel(self, name: str) -> Response | None:
        return self.ask(lambda ticket: self.core.cancel(name, ticket))

    def report(self, machine: str, tasks: list[dict[str, Any]], **fields: Any) -> Response | None:
        """Send a worker's report, with some of its fields replaced."""
        body = {
            "Box": machine, "Addr": "10.0.0.9:9000", "Build": "g2", "Site": "a", "Loaners": False,
            "Shift": 1, "Counter": 1, "Baton": self.core.view.fencing_token, "RecallS": None,
            "Pieces": tasks,
        } | fields  # fmt: skip
        return self.ask(lambda ticket: self.core.handle_report(encode(body), ticket))

    def peer(self, frame: bytes) -> None:
        """Deliver a frame of a sibling."""
        self.enter().receive_frame(frame)
        self.settle()

    def join(self, member: str, zone: str) -> None:
        """Register another controller, with a lease of one hour, at the state service."""
        lease_id = self.store.grant(self.now, 3_600_000)
        self.store.set(records.MEMBER_PREFIX + member, [member, lease_id, zone], lease_id)

    def peer_frame(
        self,
        member: str,
        state_age: float = 0.0,
        version: int = 2,
        lease_id: int = 0,
        cancellations: dict[str, int] | None = None,
        lacks: int = 0,
        newer: int = 0,
    ) -> bytes:
        """Return the frame with a full summary that a sibling would send now.

        Args:
            member: Name of the sibling.
            state_age: Seconds since the sibling last heard from the state service.
            version: Protocol version of the frame.
            lease_id: The lease that identifies the sibling's process.
            cancellations: Cancelled jobs that the frame lists, each with the number of
                revisions by which the cancellation is ahead of the start of the list; None for
                an older version, whose summary has no such list.
            lacks: Number of revisions after the receiver's own that the list does not cover.
            newer: By how much the sibling's roster revision is ahead of the receiver's.
        """
        self.frame_count += 1
        envelope = peer_pb2.Envelope(
            version=version, sender=member, sent_at=EPOCH + self.now, link=self.frame_count, seq=1
        )
        envelope.summary.full = True
        envelope.summary.token = self.core.view.fencing_token
        envelope.summary.state_age_s = state_age
        envelope.summary.permit = lease_id
        if cancellations is not None:
            known = envelope.summary.cancellations
            known.ledger = known.since = self.core.view.revision + lacks
            known.roster = self.core.view.fencing_token + newer
            for job, ahead in cancellations.items():
                known.jobs.add(job=job, stamp=known.since + ahead)
        return envelope.SerializeToString()

    def take_over(self, leader: str, zone: str) -> None:
        """Make another controller the leader and the only member of the roster."""
        lease_id = self.store.grant(self.now, 3_600_000)
        member = [leader, lease_id, zone]
        self.store.set(records.MEMBER_PREFIX + leader, member, lease_id)
        self.store.set(str(records.ROSTER_KEY), [leader, [member]])
        self._watch()
