"""Properties of the record codec, the record edits and the commit queue."""

from itertools import pairwise
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coursefold.coordination import jobs
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.protocol.wire import Job, decode, encode
from coursefold.storage import codec, records
from coursefold.storage.batches import Batch
from coursefold.storage.codec import decode_record, encode_record
from coursefold.storage.edits import HIGH_PRIORITY, Edit, NotApplicableError
from coursefold.storage.queue import MAX_CONFLICTS, CommitQueue
from coursefold.storage.records import JobRecord, TaskEntry, add_to_ranges
from coursefold.storage.view import View
from tests.standins.state import StateStore
from tests.world import JOB, World

SPEC = decode(encode(JOB | {"NameId": "job-1", "Pieces": 1000}), Job)

entries = st.builds(
    TaskEntry,
    index=st.integers(0, 999),
    stage=st.sampled_from([0, 1, 2]),
    attempt=st.integers(0, 2**40),
    owner=st.text(max_size=8),
    zone=st.text(max_size=8),
    machine=st.text(max_size=12),
    session=st.integers(0, 2**40),
)


@given(st.lists(entries, max_size=5), st.sets(st.integers(0, 999), max_size=40), st.floats(0, 2e9))
def test_a_record_is_equal_after_encoding_and_decoding(
    task_entries: list[TaskEntry], done: set[int], at: float
) -> None:
    ranges: list[tuple[int, int]] = []
    for index in done:
        ranges = add_to_ranges(ranges, index)
    record = JobRecord(
        SPEC, at, entries=task_entries, done_ranges=ranges, failure_count=3, failed_on=["i-1"]
    )
    plain = msgspec.msgpack.decode(encode(encode_record(record)))
    assert decode_record(records.job_key(JobId("job-1")), plain) == record


def test_a_gang_of_hundreds_fits_one_value() -> None:
    """All places of a gang are written in one transaction, so they have to fit one value."""
    spec = decode(encode(JOB | {"NameId": "job-1", "Shape": "ensemble", "Pieces": 700}), Job)
    places = sorted((f"worker-{i % 5}", "gauteng-rack", f"i-{i:06d}", 1) for i in range(700))
    record = jobs.place_gang(places)(JobRecord(spec, 0.0))
    assert isinstance(record, JobRecord)
    plain = encode_record(record)
    assert codec.json_size_bytes(plain) < 8 * 1024
    assert decode_record(records.job_key(JobId("job-1")), plain) == record


@given(st.lists(st.integers(0, 60), max_size=80))
def test_done_ranges_hold_exactly_what_is_done(indices: list[int]) -> None:
    ranges: list[tuple[int, int]] = []
    for index in indices:
        ranges = add_to_ranges(ranges, index)
    done_indices = [i for low, high in ranges for i in range(low, high + 1)]
    assert done_indices == sorted(set(indices))
    assert all(a[1] + 1 < b[0] for a, b in pairwise(ranges))
    job = JobRecord(SPEC, 0.0, done_ranges=ranges)
    waiting = job.waiting_indices(1000)
    assert sorted([*waiting, *done_indices]) == list(range(1000))


outcomes = st.lists(st.sampled_from(["ok", "lost", "mute", "refused", "other"]), max_size=40)


def execute_batch(
    outcome: str, store: StateStore, queue: CommitQueue, batch: Batch, now: MonotonicTime
) -> None:
    """Execute a transaction or not, and give the queue the outcome that its sender sees.

    "refused": not executed, and reported so. "mute": not executed, without a response.
    "lost": executed, but the response is lost. Otherwise: executed, with its response.
    """
    if outcome == "refused":
        queue.handle_refusal(batch, now, 0.1)
        return
    if outcome == "mute":
        queue.handle_missing_response(batch, now, 0.1)
        return
    status, body = store.commit(float(now), batch.body)
    if outcome == "lost":
        queue.handle_missing_response(batch, now, 0.1)
    elif status == 200:
        queue.handle_success(batch, body["Ledger"])
    else:
        queue.handle_conflict(batch, body["failed"])


@settings(max_examples=200)
@given(outcomes, st.integers(1, 12))
def test_the_queue_settles_an_edit_as_written_only_if_it_is(plan: list[str], count: int) -> None:
    """Whatever happens to transactions, an edit settled with True is in the store exactly once."""
    store, view = StateStore(), View()
    queue = CommitQueue(view, txn_ops=4, value_kb=16, write_rps=1000)
    settled: dict[int, list[bool]] = {i: [] for i in range(count)}
    key = records.job_key(JobId("job-1"))
    store.set(key, encode_record(JobRecord(SPEC, 0.0)))
    view.apply_value(key, store.keys[key][0], store.keys[key][1])

    def assign_task(index: int) -> Edit:
        def record_result(ok: bool, why: str) -> None:
            settled[index].append(ok)

        return Edit(
            key, jobs.assign([jobs.Assignment(index, "n0", "a", "i-1")]), on_settled=record_result
        )

    for index in range(count):
        assert queue.propose(assign_task(index))
    now = MonotonicTime(1.0)
    steps = iter([*plan, *["ok"] * 60])
    for outcome in steps:
        now = MonotonicTime(now + 1.0)
        for stale in queue.stale_keys():
            value, version, _ = store.keys[stale]
            view.apply_value(stale, value, version)
            queue.mark_refreshed(stale)
        batch = queue.next_batch(now)
        if batch is None:
            continue
        if outcome == "other":  # another writer changes the key first
            value, _, _ = store.keys[key]
            store.set(key, value)
        execute_batch(outcome, store, queue, batch, now)
    record: Any = decode_record(key, store.keys[key][0])
    assigned_indices = [e.index for e in record.entries]
    assert sorted(assigned_indices) == sorted(set(assigned_indices))
    for index, results in settled.items():
        assert len(results) == 1
        if results[0]:
            assert index in assigned_indices
    if plan.count("other") <= MAX_CONFLICTS:
        assert set(assigned_indices) == set(range(count))


def test_missing_responses_do_not_count_as_conflicts() -> None:
    """Otherwise eight missing responses and one conflict would make the queue give up an edit."""
    check = test_the_queue_settles_an_edit_as_written_only_if_it_is.hypothesis.inner_test  # type: ignore[attr-defined]
    check([*["mute"] * 8, "other"], 1)
    check([*["refused"] * 30, *["other"] * MAX_CONFLICTS], 3)


def test_an_edit_that_is_given_up_is_not_written_by_a_late_transaction() -> None:
    """Its proposer no longer counts it: a late write of an assignment may exceed a limit."""
    store, view = StateStore(), View()
    queue = CommitQueue(view, txn_ops=8, value_kb=16, write_rps=1000)
    key, contended_key = (records.job_key(JobId(f"job-{number}")) for number in (1, 2))
    store.set(key, encode_record(JobRecord(SPEC, 0.0)))
    store.set(contended_key, encode_record(JobRecord(SPEC, 0.0)))
    settled: list[bool] = []

    def read_all() -> None:
        for row in store.rows(records.JOB_PREFIX):
            view.apply_value(row["K"], row["Value"], row["Stamp"])
        for stale in queue.stale_keys():
            queue.mark_refreshed(stale)

    def assign_task(job: str, index: int, outcomes: list[bool]) -> Edit:
        change = jobs.assign([jobs.Assignment(index, "n1", "a", "i-1")])
        return Edit(job, change, on_settled=lambda ok, _: outcomes.append(ok))

    read_all()
    queue.propose(assign_task(key, 0, settled))
    late = queue.next_batch(MonotonicTime(1.0))
    assert late is not None
    queue.handle_missing_response(late, MonotonicTime(1.0), 0.1)
    read_all()
    for number in range(1, MAX_CONFLICTS + 3):
        now = MonotonicTime(1.0 + number)
        queue.propose(assign_task(contended_key, number, []))
        batch = queue.next_batch(now)
        assert batch is not None
        assert settled or set(batch.results) == {key, contended_key}
        store.set(contended_key, encode_record(JobRecord(SPEC, float(number))))
        execute_batch("executed", store, queue, batch, now)
        read_all()
    late_status, _ = store.commit(60.0, late.body)
    assert not settled or late_status == 409


def test_a_second_cancellation_waits_for_the_first_ones_commit() -> None:
    """In one transaction, the second would be confirmed before anything is written."""
    view = View()
    queue = CommitQueue(view, txn_ops=4, value_kb=16, write_rps=1000)
    key = records.job_key(JobId("job-1"))
    placed = JobRecord(SPEC, 0.0, entries=[TaskEntry(0, 1, 1, "n0", "a", "i-1", 1)])
    view.apply_value(key, encode_record(placed), 5)
    results: list[tuple[bool, str]] = []
    for _ in range(2):
        queue.propose(
            Edit(key, jobs.cancel(), on_settled=lambda ok, why: results.append((ok, why)))
        )
    batch = queue.next_batch(MonotonicTime(1.0))
    assert batch is not None
    assert results == []
    queue.handle_success(batch, 6)
    assert results == [(True, "")]
    assert queue.next_batch(MonotonicTime(2.0)) is None
    assert results == [(True, ""), (False, "cancelled")]


def test_an_edit_of_a_former_roster_is_dropped() -> None:
    view = View()
    queue = CommitQueue(view, txn_ops=4, value_kb=16, write_rps=1000)
    view.apply_value(records.ROSTER_KEY, ["n0", []], 7)
    results: list[str] = []
    queue.propose(
        Edit(
            "cf/p/x",
            lambda _: records.PoolRecord(),
            fencing_token=6,
            on_settled=lambda _, why: results.append(why),
        )
    )
    assert queue.next_batch(MonotonicTime(1.0)) is None
    assert results == ["fenced"]


def test_an_edit_that_does_not_apply_states_the_reason() -> None:
    done = JobRecord(SPEC, 0.0, done_ranges=[(0, 3)])
    place_done_task = jobs.place("n0", [jobs.TaskRef(2, 0, "a", "i-1", 1)])
    with pytest.raises(NotApplicableError, match=r"^nothing of it is ours to place$"):
        place_done_task(done)


def test_a_gang_is_placed_again_only_when_its_former_places_are_gone() -> None:
    """Tasks of two attempts must never run at the same time."""
    spec = decode(encode(JOB | {"NameId": "job-1", "Shape": "ensemble", "Pieces": 2}), Job)
    places = [("n0", "a", "i-1", 1), ("n0", "a", "i-2", 1)]
    first = jobs.place_gang(places)(JobRecord(spec, 0.0))
    assert isinstance(first, JobRecord)
    assert [e.attempt for e in first.entries] == [1, 1]
    half = jobs.mark_gone(0, "i-1", 1)(first)
    with pytest.raises(NotApplicableError):
        jobs.place_gang(places)(half if isinstance(half, JobRecord) else None)
    rest = jobs.mark_gone(1, "i-2", 1)(half if isinstance(half, JobRecord) else None)
    again = jobs.place_gang(places)(rest if isinstance(rest, JobRecord) else None)
    assert isinstance(again, JobRecord)
    assert [e.attempt for e in again.entries] == [2, 2]


def test_a_backlog_of_other_changes_does_not_refuse_submissions() -> None:
    """Acceptances are written before other changes.

    Otherwise, at a rate of 15 changes a second, every fifth submission (those at the leader)
    is put off by 3 s while placements wait.
    """
    world = World()
    rate = world.core.queue.limits.write_rps
    world.state = "down"
    for number in range(round(3 * rate)):
        key = records.pool_key(f"x{number}")
        world.core.queue.propose(Edit(key, lambda _: records.PoolRecord()))
    world.state = "up"
    answer = world.submit("job-1")
    assert answer is not None
    assert answer.status == 201
    for number in range(round(rate) + 2):
        acceptance = jobs.accept(SPEC, 0.0)
        world.core.queue.propose(Edit(f"cf/j/job-9{number}", acceptance, priority=HIGH_PRIORITY))
    world.core.submit(encode(JOB | {"NameId": "job-2"}), 999)
    world.settle()
    assert world.answers[999].status == 503
    assert world.answers[999].retry_after
