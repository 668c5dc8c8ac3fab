"""Responses of the state service may be older than what a controller has watched meanwhile."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from typing import NamedTuple

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coursefold.coordination import jobs
from coursefold.protocol.ids import JobId, MemberName, MonotonicTime
from coursefold.protocol.wire import Job, KeyRow, KeyRows, MissingKey, WatchResponse, decode, encode
from coursefold.service import Service
from coursefold.storage import codec, records
from coursefold.storage.cell_records import CellLink
from coursefold.storage.edits import Edit
from coursefold.storage.loading import RecordLoader, apply_changes
from coursefold.storage.queue import CommitQueue
from coursefold.storage.records import (
    Ending,
    JobRecord,
    MemberRecord,
    MemberVersion,
    PoolRecord,
    TaskEntry,
)
from coursefold.storage.rereading import KeyReader, PartsRequest
from coursefold.storage.share_records import MachineOwnership, MoveMode, MoveStage, ShareRequest
from coursefold.storage.view import View
from tests.fleet import Fleet
from tests.standins.state import StateStore
from tests.test_loopback import create_settings, find_free_ports
from tests.world import JOB

SPEC = decode(encode(JOB | {"NameId": "job-1"}), Job)
MEMBER_KEY = records.member_key(MemberName("n0"))
MEMBER = MemberRecord("n0", 7, "a")

# One key of each kind that is ever removed, and a record for it.
RECORDS: dict[str, msgspec.Struct] = {
    MEMBER_KEY: MEMBER,
    records.job_key(JobId("job-1")): JobRecord(SPEC, 0.0),
    records.pool_key("g2/spot"): PoolRecord(),
    records.cell_link_key("north"): CellLink(granted_until=1.0, granted_s=1.0),
    records.ownership_key("i-1"): MachineOwnership(0, MoveStage.SETTLED),
    records.share_request_key("r-1"): ShareRequest(
        "n0", "n1", "g2", "", 1, 0, 1, MoveMode.FINISH, 0.0, 1.0
    ),
    records.version_key("n0"): MemberVersion(records.NEWEST_LEVEL, 1),
}


class LateStateService:
    """A state service for one `Service`; the response to the first read of a key is held back.

    Attributes:
        store: The keys.
        while_held: Called between the read and its response.
    """

    def __init__(self, while_held: Callable[[], Awaitable[None]]) -> None:
        self.store = StateStore()
        self.while_held = while_held
        self.is_first = True

    async def fetch(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        """Return the status and body of a response, as `HttpClient.fetch` does."""
        assert method == "GET"
        row = self.store.row(path.removeprefix("/keys/"))
        response = (200, encode(row)) if row else (404, encode({"Ledger": self.store.revision}))
        if self.is_first:
            self.is_first = False
            await self.while_held()
        return response


class NoSuchLease:
    """A state service that refuses each transaction because its lease has ended."""

    async def fetch(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        """Return the status and body of a response, as `HttpClient.fetch` does."""
        return 400, encode({"error": "no such lease"})


@pytest.mark.parametrize("key", list(RECORDS))
def test_a_key_that_is_written_while_it_is_read_as_absent_is_kept(key: str) -> None:
    """Guards against a controller that joins without end (review/4).

    The record that the watch had brought was removed by the late response to a read before it,
    and every later read of the same version was ignored.
    """

    async def reread() -> Service:
        service = Service(create_settings(0, find_free_ports(8)))
        view = service.core.view

        async def write_and_watch() -> None:
            state_service.store.set(key, codec.encode_record(RECORDS[key]))
            changes = {"Ledger": 2, "News": state_service.store.since(1, records.ROOT)}
            apply_changes(view, msgspec.convert(changes, WatchResponse))

        state_service = LateStateService(write_and_watch)
        state_service.store.set("cf/roster", ["n1", []])
        service.state_client.client = state_service  # type: ignore[assignment]
        assert await service._reread_key(key)
        assert view.version_of(key) == 2  # the traced cause: 0, although the watch brought it
        assert await service._reread_key(key)  # as after the next conflict
        return service

    view = asyncio.run(reread()).core.view
    assert view.version_of(key) == 2
    assert view.records_by_key[key].record == RECORDS[key]


def test_a_job_that_was_read_as_absent_is_removed() -> None:
    """A guest's record is deleted without an ending; its edits would conflict until the watch."""
    key = records.job_key(JobId("job-1"))
    view = View()
    view.apply_value(key, codec.encode_record(JobRecord(SPEC, 0.0)), 5)
    queue = CommitQueue(view, txn_ops=4, value_kb=16, write_rps=1000)
    reader = KeyReader(key)
    reader.receive_row(MissingKey(6))
    reader.receive_row(MissingKey(6))
    reader.store_in(queue)
    assert key not in view.records_by_key
    assert not view.jobs


def test_a_late_word_of_an_ended_lease_does_not_drop_the_next_one() -> None:
    """Guards against a controller that leaves and joins again because of a lease it had before."""

    async def commit() -> Service:
        service = Service(create_settings(0, find_free_ports(8)))
        queue, ctx = service.core.queue, service.core.ctx
        queue.propose(Edit(MEMBER_KEY, lambda _: MEMBER, lease_id=MEMBER.lease_id))
        batch = queue.next_batch(MonotonicTime(1.0))
        assert batch is not None
        ctx.lease_id = MEMBER.lease_id + 1  # granted while the transaction was under way
        service.state_client.client = NoSuchLease()  # type: ignore[assignment]
        await service._commit_batch(batch)
        return service

    assert asyncio.run(commit()).core.ctx.lease_id == MEMBER.lease_id + 1


class Delivery(NamedTuple):
    """Something that a controller is told late: how to take it, and as of which revision."""

    take: Callable[[], None]
    revision: int


class Controller:
    """A view and the state service that it follows; each response may arrive late.

    Attributes:
        versions: The version of the key after each of its changes; 0 for a removal.
        told_revision: The newest revision as of which the view was told of the key.
        late: Responses that have not arrived yet.
        clock: The local time in seconds.
        followed_revision: The revision from which the next waiting watch starts.
        loader: A load of all records that is under way.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        self.store, self.view = StateStore(), View()
        self.queue = CommitQueue(self.view, txn_ops=8, value_kb=16, write_rps=1e6)
        self.versions: dict[int, int] = {0: 0}
        self.told_revision = 0
        self.late: list[Delivery] = []
        self.clock = 0.0
        self.followed_revision = 0
        self.loader = RecordLoader(page_size=1)

    def write(self) -> None:
        """Let another controller write the key."""
        self.store.set(self.key, codec.encode_record(RECORDS[self.key]))
        self.versions[self.store.revision] = self.store.revision

    def remove(self) -> None:
        """Let another controller remove the key."""
        if self.key in self.store.keys:
            self.store.commit(0.0, {"Then": [{"Remove": self.key}]})
            self.versions[self.store.revision] = 0

    def write_other_key(self) -> None:
        """Let another controller write a key that is not looked at."""
        self.store.set("cf/roster", ["n1", []])

    def read(self) -> None:
        """Read the key; the response arrives later."""
        reader = KeyReader(self.key)
        while (request := reader.next_request()) is not None:
            if isinstance(request, PartsRequest):
                reader.receive_parts([])
                continue
            row = self.store.row(request.key)
            reader.receive_row(
                msgspec.convert(row, KeyRow) if row else MissingKey(self.store.revision)
            )
        found = reader.found
        as_of = found.version if isinstance(found, KeyRow) else self.store.revision
        self.late.append(Delivery(lambda: reader.store_in(self.queue), as_of))

    def watch(self) -> None:
        """Take all changes that the view lacks."""
        changes = self.store.since(self.view.revision, records.ROOT)
        response = {"Ledger": self.store.revision, "News": changes}
        apply_changes(self.view, msgspec.convert(response, WatchResponse))
        self.told_revision = self.store.revision

    def commit(self) -> None:
        """Commit an own change of the key, if none is under way; the response arrives later."""
        record = RECORDS[self.key]
        self.queue.propose(Edit(self.key, lambda _: record, tag="change"))
        for key in self.queue.stale_keys():
            self.queue.mark_refreshed(key)
        self.clock += 1.0
        batch = self.queue.next_batch(MonotonicTime(self.clock))
        if batch is None:
            return
        status, body = self.store.commit(self.clock, batch.body)
        revision = int(body["Ledger"])
        if status == 409:
            failed = body["failed"]
            self.late.append(Delivery(lambda: self.queue.handle_conflict(batch, failed), 0))
            return
        self.versions[revision] = revision
        self.late.append(Delivery(lambda: self.queue.handle_success(batch, revision), revision))

    def follow(self) -> None:
        """Let a watch return that waited since the last one; its response arrives later."""
        changes = self.store.since(self.followed_revision, records.ROOT)
        revision = self.followed_revision = self.store.revision
        response = msgspec.convert({"Ledger": revision, "News": changes}, WatchResponse)
        self.late.append(Delivery(lambda: apply_changes(self.view, response), revision))

    def load_page(self) -> None:
        """Read the next page of a load of all records, and store them after the last page."""
        request = self.loader.next_request()
        if request is not None:
            page = self.store.page(*request)
            self.loader.receive_page(msgspec.convert(page, KeyRows))
            return
        self.loader.store_in(self.view)
        self.loader = RecordLoader(page_size=1)

    def receive_late(self, index: int) -> None:
        """Let one of the late responses arrive; they may overtake each other."""
        if self.late:
            delivery = self.late.pop(index % len(self.late))
            delivery.take()
            self.told_revision = max(self.told_revision, delivery.revision)

    def expected_version(self) -> int:
        """Return the key's version at the newest revision that the view was told of."""
        last_change = max(r for r in self.versions if r <= self.told_revision)
        return self.versions[last_change]


READS = ["write", "remove", "other", "read", "watch", "late"]
COMMITS = ["write", "remove", "other", "commit", "watch", "late"]
ALL = sorted({*READS, *COMMITS, "follow", "page"})
Plan = list[tuple[str, int]]


def plans(steps: list[str]) -> st.SearchStrategy[Plan]:
    """Return plans of up to 30 steps, each with the number of the late response to take."""
    return st.lists(st.tuples(st.sampled_from(steps), st.integers(0, 5)), max_size=30)


def play(controller: Controller, plan: Plan) -> Iterator[None]:
    """Play the steps, then let all late responses arrive and watch; yield after each."""
    steps: dict[str, Callable[[], None]] = {
        "write": controller.write,
        "remove": controller.remove,
        "other": controller.write_other_key,
        "read": controller.read,
        "commit": controller.commit,
        "watch": controller.watch,
        "follow": controller.follow,
        "page": controller.load_page,
    }
    for step, index in [*plan, *[("late", 0)] * len(plan), ("watch", 0)]:
        if step == "late":
            controller.receive_late(index)
        else:
            steps[step]()
        yield


@settings(max_examples=300)
@given(st.sampled_from(list(RECORDS)), plans(READS))
def test_reads_that_arrive_late_never_replace_anything_newer(key: str, plan: Plan) -> None:
    """Guards against a late response that brings an older record back, or removes a newer one."""
    controller = Controller(key)
    for _ in play(controller, plan):
        assert controller.view.version_of(key) == controller.expected_version()


@settings(max_examples=300)
@given(st.sampled_from(list(RECORDS)), plans([*COMMITS, "read"]))
def test_own_commits_that_are_answered_late_never_replace_anything_newer(
    key: str, plan: Plan
) -> None:
    """Guards against an own record that comes back after its key was removed (review/5)."""
    controller = Controller(key)
    for _ in play(controller, plan):
        assert controller.view.version_of(key) == controller.expected_version()


@pytest.mark.parametrize("key", list(RECORDS))
@pytest.mark.parametrize("response", ["read", "commit"])
def test_a_removed_key_of_any_kind_does_not_come_back(key: str, response: str) -> None:
    """Guards against kinds of records whose removals the view forgot; no change would follow."""
    controller = Controller(key)
    plan = [("write", 0), ("watch", 0), (response, 0), ("remove", 0), ("watch", 0), ("late", 0)]
    for _ in play(controller, plan):
        pass
    assert key not in controller.view.records_by_key


@settings(max_examples=300)
@given(st.sampled_from(list(RECORDS)), plans(ALL))
def test_whatever_arrives_late_the_view_ends_up_as_the_state_service(key: str, plan: Plan) -> None:
    """Guards against a record of any kind that stays in the view after it was removed."""
    controller = Controller(key)
    revision = 0
    for _ in play(controller, plan):
        assert controller.view.revision >= revision  # what was read completely stays so
        revision = controller.view.revision
    stored = controller.store.keys.get(key)
    assert controller.view.version_of(key) == (stored[1] if stored else 0)


def test_a_job_that_ended_meanwhile_does_not_come_back_with_a_late_response() -> None:
    """Guards against an archived job that fills its team's limit for good (review/5).

    The response to its cancellation came after the watch had shown the ending's archiving.
    """
    key = records.job_key(JobId("job-1"))
    store, view = StateStore(), View()
    queue = CommitQueue(view, txn_ops=4, value_kb=16, write_rps=1000)
    placed = JobRecord(SPEC, 0.0, entries=[TaskEntry(0, records.PLACED, 1, "n1", "a", "i-1", 1)])

    def watch() -> None:
        changes = {"Ledger": store.revision, "News": store.since(view.revision, records.ROOT)}
        apply_changes(view, msgspec.convert(changes, WatchResponse))

    store.set(key, codec.encode_record(placed))
    watch()
    assert view.team_usage[SPEC.team] == [SPEC.cpus, SPEC.gpus]
    queue.propose(Edit(key, jobs.cancel()))
    batch = queue.next_batch(MonotonicTime(1.0))
    assert batch is not None
    _, response = store.commit(1.0, batch.body)
    ending = codec.encode_record(Ending(records.CANCELLED, 1))
    store.set(key, ending)  # its owner found the task gone
    store.commit(1.0, {"Then": [{"Remove": key}, {"Set": "cf/e/job-1", "Value": ending}]})
    watch()
    queue.handle_success(batch, response["Ledger"])
    assert not view.jobs
    assert not view.has_entries_on("i-1")
    assert view.team_usage[SPEC.team] == [0.0, 0.0]


@pytest.mark.parametrize("seed", [2, 6, 8])
def test_controllers_join_whose_first_transactions_are_carried_out_late(seed: int) -> None:
    """Guards against controllers that join without end (review/4)."""
    fleet = Fleet(seed, nodes=3)
    for node in fleet.nodes:
        node.stop()
    fleet.run(5.0)
    fleet.lost_commits = fleet.slow_read_share = 1.0
    fleet.lost_commit_min_delay_s, fleet.lost_commit_delay_s = 1.6, 2.2
    for node in fleet.nodes:
        node.start()
    fleet.run(10.0)
    fleet.lost_commits = fleet.slow_read_share = 0.0
    fleet.submit("job-1", 5.0, Pieces=4)
    fleet.run(75.0)
    assert all(node.core.ctx.own_record() is not None for node in fleet.nodes)
    assert fleet.jobs["job-1"].told_status == "done"
