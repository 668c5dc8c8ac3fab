"""Rolling upgrade from the production version, and lower limits of the state service.

The modules of the production version are unpacked from this repository's history
(`production.py`). Each simulated day with both versions checks the protocol's rules at
every step, as `test_fleet.py` does.
"""

import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from coursefold.coordination import jobs as edits
from coursefold.coordination import summary
from coursefold.protocol import peer_pb2
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.protocol.wire import Job, decode, encode
from coursefold.storage import codec, record_parts, records
from coursefold.storage.edits import Edit
from coursefold.storage.limits import StateServiceLimits
from coursefold.storage.queue import CommitQueue
from coursefold.storage.records import (
    Ending,
    FormatLevel,
    JobRecord,
    MemberRecord,
    Roster,
    TaskEntry,
)
from coursefold.storage.view import View
from tests import test_fleet as days
from tests.fleet import NODES, Fleet, RuleBrokenError
from tests.production import OURS, ROOT, Version, read_production_commit
from tests.world import JOB, World, load_view

SPEC = decode(encode(JOB | {"NameId": "job-1", "Pieces": 4}), Job)
LOWER_LIMITS = {"value_kb": 2.0, "txn_ops": 5, "write_rps": 40.0}
STATE_LIMITS = {
    "rps": 100.0,
    "write_rps": 50.0,
    "value_kb": 16.0,
    "txn_ops": 16,
    "next": LOWER_LIMITS,
}


# Compatibility of records and frames between the versions


def test_production_reads_records_written_before_the_switch(old: Version) -> None:
    """Production drops the fields that it does not know, and keeps all others."""
    entries = [TaskEntry(0, records.PLACED, 3, "n1", "a", "i-000007", 2)]
    job = JobRecord(SPEC, 5.0, 0, 3, entries, [(1, 2)], 1, 9.5, ["i-1"])
    roster = Roster("n0", [MemberRecord("n0", 4, "a"), MemberRecord("n1", 5, "b")])
    for key, record in (
        (records.job_key(JobId("job-1")), job),
        (records.job_key(JobId("job-2")), Ending(records.DONE, 3)),
        (str(records.ROSTER_KEY), roster),
    ):
        theirs = old.records.decode_record(key, codec.encode_record(record, 0))
        assert codec.decode_record(key, old.records.encode_record(theirs)) == record


def test_kept_records_and_frames_of_production_are_read() -> None:
    """The kept file holds records and peer frames that production wrote in 30 s of a run."""
    kept = json.loads((ROOT / "tests" / "kept" / "production.json").read_text())
    assert kept["version"] == read_production_commit()
    for key, value in kept["records"].items():
        record = codec.decode_record(key, value)
        assert record is not None
        encoded = codec.encode_record(record, 0)
        # This version leaves out trailing fields that have production's default values.
        assert value[: len(encoded)] == encoded if isinstance(value, list) else value == encoded
        assert not isinstance(value, list) or not any(value[len(encoded) :])
    world = World()
    proposal_count = 0
    for at, (sender, _, text) in enumerate(kept["frames"], 1):
        envelope = peer_pb2.Envelope.FromString(bytes.fromhex(text))
        assert (envelope.version, envelope.sender) == (summary.PROTOCOL_VERSION, sender)
        assert envelope.summary.full or envelope.proposals or envelope.outcomes
        # Sent as the first frame of a new connection; the content is production's own.
        envelope.sender, envelope.sent_at = "n1", world.core.ctx.wall_time
        envelope.link, envelope.seq, envelope.summary.full = float(at), 1, True
        assert world.core.receive_frame(envelope.SerializeToString())
        proposal_count += len(envelope.proposals)
    assert proposal_count
    assert len(world.core.frame_builders["n1"].outcomes) == proposal_count


def test_production_refuses_a_proposal_of_an_unknown_kind(old: Version) -> None:
    """A proposal of an unknown kind gets an outcome, and changes nothing."""
    fleet = Fleet(1, 20, old)
    fleet.run(4.0)
    (leader,) = [n for n in fleet.nodes if n.core.ctx.is_leading()]
    sibling = next(n.name for n in fleet.nodes if n is not leader)
    before = fleet.store.revision
    unknown_proposal = peer_pb2.Proposal(
        id=7, token=leader.core.view.fencing_token, job="job-1", kind="orphan"
    )
    leader.core.forwarding.receive_proposals(sibling, [unknown_proposal])
    assert [(o.id, o.ok) for o in leader.core.frame_builders[sibling].outcomes][-1] == (7, False)
    assert fleet.store.revision == before


def test_production_ignores_keys_it_does_not_know(old: Version) -> None:
    view = old.view.View()
    view.apply_value(records.version_key("n0"), codec.encode_record(records.MemberVersion(1, 7)), 3)
    view.apply_value(str(records.FORMAT_LEVEL_KEY), codec.encode_record(FormatLevel(1)), 4)
    view.apply_value(record_parts.part_key("cf/j/job-1", 1), "text", 5)
    assert view.records_by_key == {}
    assert not view.jobs


def test_after_the_switch_an_old_process_neither_leads_nor_is_healthy(old: Version) -> None:
    """An old process starts nevertheless, and finds no roster and no machine types."""
    world = World()
    world.run(2.0)
    world.store.set(records.FORMAT_LEVEL_KEY, [1, ["n2"]])  # the switch ignored n2, which was down
    world.run(6.0)
    assert world.core.ctx.is_leading()
    assert str(records.CATALOG_KEY) not in world.store.keys
    view = old.view.View()
    load_view(view, world.store)
    assert view.roster is None
    assert view.catalog is None
    assert (
        codec.decode_record(records.ROSTER_KEY, world.store.keys[str(records.ROSTER_KEY)][0])
        is not None
    )


# The switch to the new record format


def announce_version(world: World, member: str, level: int = 1) -> None:
    """Write the record with which a member announces the format level that it can read."""
    lease_id = world.store.keys[records.MEMBER_PREFIX + member][0][1]
    world.store.set(records.VERSION_PREFIX + member, [level, lease_id])


def test_the_format_is_not_switched_before_every_controller_announced_its_version() -> None:
    world = World()
    world.join("n1", "b")
    announce_version(world, "n1")
    world.run(8.0)
    assert world.core.view.format_level == 0  # n2 was never seen; it may be an old version
    answer = world.submit("job-1", Prereqs=["job-9"])
    assert answer is not None
    assert (answer.status, answer.retry_after) == (503, 2)
    assert records.job_key(JobId("job-1")) not in world.store.keys
    world.join("n2", "a")
    world.run(10.0)
    assert world.core.view.format_level == 0  # n2 is a member, with an old version
    announce_version(world, "n2")
    world.run(12.0)
    assert world.core.view.format_level == 1


def test_an_upgraded_controller_that_is_down_does_not_delay_the_switch() -> None:
    world = World()
    world.store.set(records.VERSION_PREFIX + "n1", [1, 77])
    world.store.set(records.VERSION_PREFIX + "n2", [1, 78])
    world.run(4.0)
    assert world.core.view.format_level == 1


def test_a_controller_that_stays_down_delays_the_switch_for_minutes_only() -> None:
    world = World()
    world.store.set(records.VERSION_PREFIX + "n1", [1, 77])
    world.run(200.0)
    assert world.core.view.format_level == 0
    world.run(320.0)
    assert world.core.view.format_level == 1


def test_a_downgraded_controller_no_longer_counts_as_upgraded() -> None:
    """n1 was downgraded: its lease differs from the one in its version record."""
    world = World()
    world.store.set(records.VERSION_PREFIX + "n1", [1, 77])
    world.join("n1", "b")
    world.join("n2", "a")
    announce_version(world, "n2")
    world.run(4.0)
    assert world.core.view.format_level == 0
    world.run(9.0)
    assert records.VERSION_PREFIX + "n1" not in world.store.keys
    world.run(12.0)
    assert world.core.view.format_level == 0


def test_the_switch_survives_a_restart_of_all_controllers() -> None:
    world = World()
    world.store.set(records.FORMAT_LEVEL_KEY, [1])
    world.restart()
    world.run(4.0)
    assert world.core.view.format_level == 1
    assert world.core.ctx.is_leading()


# Fleets with both versions


def schedule_roll(fleet: Fleet, first_s: float, interval_s: float) -> None:
    """Kill one controller after another, from `first_s` on; each restarts as the new version."""
    order = fleet.rng.sample(fleet.nodes, NODES)

    def upgrade(node: Any) -> None:
        node.version = OURS
        if node.up:
            node.stop()
            fleet.after(fleet.rng.choice([0.2, 4.0]), node.start)

    for at, node in enumerate(order):
        fleet.after(first_s + at * interval_s, lambda n=node: upgrade(n))  # type: ignore[misc]


def lower_store_limits(fleet: Fleet) -> None:
    """Lower the simulated state service's limits of a transaction and of a value."""
    fleet.store.txn_ops, fleet.store.value_bytes = 5, 2048


def submit_pipeline(fleet: Fleet, number: int, earlier: str | None = None) -> None:
    """Submit six jobs that need each other; in 30% of the pipelines one is cancelled.

    The first job needs `earlier`, unless that is unknown or a service.
    """
    rng = fleet.rng
    names = [f"job-9{number:02d}{k}" for k in range(6)]
    first, *fan, gang, last = names
    small = {"Vcpus": 1.0, "Accelerators": 0.0, "MemoryGb": 2.0, "Rank": "idle", "Owner": "red"}
    cancelled = rng.choice(names) if rng.random() < 0.3 else ""

    if earlier not in fleet.jobs or fleet.jobs[earlier].body["Shape"] == "standing":
        earlier = None

    def submit(name: str, needs: list[str], **fields: Any) -> None:
        at = rng.uniform(0.0, 30.0) if name == cancelled else None
        fleet.submit(name, rng.uniform(2.0, 8.0), at, **(small | fields), Prereqs=needs)

    submit(first, [earlier] if earlier is not None else [])
    for name in fan:
        submit(name, [first], Pieces=rng.randrange(1, 20), Loaners=True)
    submit(gang, fan, Shape="ensemble", Pieces=3, Together=True, Vcpus=2.0)
    submit(last, [first, gang], Rank="urgent", DueS=90.0)


def run_mixed_day(
    seed: int,
    old: Version,
    limits_at: float,
    roll_interval_s: float,
    meanwhile: Callable[[Fleet], None] | None = None,
) -> Fleet:
    """Run a day with random failures on which `old` is replaced and limits fall at `limits_at`.

    `meanwhile` is called one second before the limits fall.
    """
    teams = [{**t} for t in days.TEAMS]
    fleet = Fleet(seed, days.MACHINE_COUNT, old, teams=teams, state=STATE_LIMITS)
    fleet.lost_commits, fleet.duplicate_share = 0.02, 0.03
    days.submit_jobs(fleet, 50)
    schedule_roll(fleet, 12.0, roll_interval_s)
    for _ in range(7):
        trouble = fleet.rng.choice(days.FAULTS)
        fleet.after(fleet.rng.uniform(8.0, 66.0), lambda t=trouble: t(fleet))  # type: ignore[misc]
    if meanwhile is not None:
        fleet.after(limits_at - 1.0, lambda: meanwhile(fleet))
    fleet.after(limits_at, lambda: lower_store_limits(fleet))
    fleet.after(days.FAULTS_END_AT_S, lambda: days.end_faults(fleet))
    for number in range(24):
        # Jobs of the day whose names are prerequisites of a pipeline; never services.
        at = 12.0 + NODES * roll_interval_s + fleet.rng.uniform(8.0, 40.0)
        earlier = f"job-{number}" if number % 4 == 0 else None
        fleet.after(at, lambda n=number, e=earlier: submit_pipeline(fleet, n, e))  # type: ignore[misc]
    fleet.run(days.RUN_END_AT_S + 20.0)
    assert fleet.sent_changes["production"]
    assert fleet.sent_changes["ours"]
    return fleet


@pytest.mark.parametrize(
    ("seed", "limits_at", "every"), [(1, 60.0, 6.0), (2, 45.0, 3.0), (3, 30.0, 6.0), (4, 52.0, 8.0)]
)
def test_a_roll_with_troubles_loses_nothing(
    seed: int, limits_at: float, every: float, old: Version
) -> None:
    """Limits fall after the roll, during it, and while pipelines are submitted."""
    fleet = run_mixed_day(seed, old, limits_at, every)
    store = fleet.store
    assert store.keys[str(records.FORMAT_LEVEL_KEY)][0][0] == records.BASE_LEVEL
    days.check_no_job_lost(fleet)
    oversized = [
        k
        for k in store.keys
        if codec.json_size_bytes(store.keys[k][0]) > LOWER_LIMITS["value_kb"] * 1024
    ]
    assert oversized == []
    assert sum(j.told_status == "cancelled" and bool(j.needs) for j in fleet.jobs.values()) > 3


@pytest.mark.parametrize(
    "meanwhile", [days.fail_state_service, days.fail_state_service_and_controllers]
)
def test_nothing_is_lost_when_limits_fall_while_no_controller_can_see_it(
    meanwhile: Callable[[Fleet], None], old: Version
) -> None:
    """Limits fall in an outage, or while all controllers are down and then elect a leader."""
    days.check_no_job_lost(run_mixed_day(7, old, 55.0, 6.0, meanwhile))


# Lower limits of the state service


class LoweredLimits:
    """A commit queue and a state store whose limits may be lowered.

    The queue knows the announced lower limits; `level` is its record format level.
    """

    def __init__(self, level: int) -> None:
        from tests.standins.state import StateStore

        self.store, self.view = StateStore(), View()
        later = StateServiceLimits(5, 2048, 15.0)
        self.queue = CommitQueue(
            self.view, txn_ops=16, value_kb=16, write_rps=1000, later_limits=later
        )
        if level:
            self.view.store_record(records.FORMAT_LEVEL_KEY, FormatLevel(level), 1)

    def run(self, rounds: int = 60) -> int:
        """Commit what waits, and return the number of refused transactions."""
        refused_count = 0
        for at in range(1, rounds):
            batch = self.queue.next_batch(MonotonicTime(float(at)))
            if batch is None:
                continue
            status, body = self.store.commit(float(at), batch.body)
            if status == 200:
                self.queue.handle_success(batch, body["Ledger"])
            else:
                refused_count += 1
                self.queue.handle_invalid(batch)
        return refused_count

    def load_view(self) -> View:
        """Return the view that a controller loads when it starts now."""
        view = View()
        load_view(view, self.store)
        return view


def test_the_rate_falls_at_the_first_refusal_after_the_switch() -> None:
    """Before the switch the likelier cause is a burst of this controller's own changes.

    The announced lower rate is a quarter less; after the switch it is taken for the one in force.
    """
    lowered = LoweredLimits(0)
    lowered.queue.handle_rate_refusal()
    assert lowered.queue.limits.write_rps == 1000
    lowered.view.store_record(records.FORMAT_LEVEL_KEY, FormatLevel(1), 1)
    lowered.queue.set_rate_share(True, 5)
    assert lowered.queue.limits == StateServiceLimits(5, 2048, 1000)
    before = lowered.queue.bulk_budget.rate
    lowered.queue.handle_rate_refusal()
    lowered.queue.set_rate_share(True, 5)
    assert lowered.queue.limits == StateServiceLimits(5, 2048, 15.0)
    assert lowered.queue.bulk_budget.rate < before / 50
    assert lowered.queue.priority_budget.rate == 7.5


def test_an_ended_lease_refuses_only_the_edits_bound_to_it() -> None:
    """Guards an acceptance that shares its transaction with a write bound to an ended lease.

    The state service answers 400 for the whole transaction.
    """
    lowered = LoweredLimits(0)
    settled: list[tuple[str, bool]] = []
    for key, lease_id in (("cf/m/n0", 77), (records.job_key(JobId("job-1")), None)):
        record: Any = MemberRecord("n0", 77, "a") if lease_id else JobRecord(SPEC, 0.0)
        lowered.queue.propose(
            Edit(
                key,
                lambda _, r=record: r,  # type: ignore[misc]
                lease_id=lease_id,
                on_settled=lambda ok, _, k=key: settled.append((k, ok)),  # type: ignore[misc]
            )
        )
    batch = lowered.queue.next_batch(MonotonicTime(1.0))
    assert batch is not None
    assert lowered.store.commit(1.0, batch.body)[0] == 400
    lowered.queue.handle_lost_lease(batch)
    assert settled == [("cf/m/n0", False)]
    assert lowered.run() == 0
    assert settled[1:] == [(records.job_key(JobId("job-1")), True)]


def test_an_edit_beyond_every_limit_is_refused_finally() -> None:
    """Otherwise an edit that the lower limits do not explain would be retried for ever."""
    lowered = LoweredLimits(1)
    lowered.store.txn_ops, lowered.store.value_bytes = 5, 100
    settled: list[str] = []
    key = records.job_key(JobId("job-1"))
    lowered.queue.propose(
        Edit(key, edits.accept(SPEC, 0.0), on_settled=lambda _, why: settled.append(why))
    )
    assert lowered.run() == 1
    assert settled == ["refused"]
    assert not lowered.queue.waiting_edits
    # The same for a record that stays too large when it is written under the lower limits.
    lowered = LoweredLimits(0)
    lowered.store.value_bytes = 2048
    many = Roster("n0", [MemberRecord(f"n{n}", n, "a") for n in range(300)])
    lowered.queue.propose(
        Edit("cf/roster", lambda _: many, on_settled=lambda _, why: settled.append(why))
    )
    assert lowered.run() == 2
    assert settled == ["refused", "refused"]


def gang_of(count: int) -> JobRecord:
    """Return the record of a gang of `count` placed tasks."""
    entries = [
        TaskEntry(i, records.PLACED, 1, f"worker-{i % 3}", "a", f"i-{i * 37 % 9973:06d}", 1)
        for i in range(count)
    ]
    return JobRecord(SPEC, 0.0, attempt=1, entries=entries)


@pytest.mark.parametrize("level", [0, 1])
def test_no_edit_is_lost_when_limits_fall(level: int) -> None:
    lowered = LoweredLimits(level)
    lowered.store.txn_ops, lowered.store.value_bytes = 5, 2048
    settled: list[bool] = []
    for number in range(40):
        key = records.job_key(JobId(f"job-{number}"))
        lowered.queue.propose(
            Edit(key, edits.accept(SPEC, 0.0), on_settled=lambda ok, _: settled.append(ok))
        )
    refused = lowered.run()
    assert settled == [True] * 40
    assert len(lowered.load_view().jobs) == 40
    assert 1 <= refused <= 3


def test_a_record_over_the_limit_is_split_over_several_keys() -> None:
    lowered = LoweredLimits(1)
    lowered.queue.set_rate_share(True, 5)
    lowered.store.txn_ops, lowered.store.value_bytes = 5, 2048
    key = records.job_key(JobId("job-1"))
    big = gang_of(320)
    lowered.queue.propose(Edit(key, lambda _: big))
    assert lowered.run(5) == 0
    assert lowered.load_view().jobs == {"job-1": big}
    parts = [k for k in lowered.store.keys if k.startswith(records.PART_PREFIX)]
    assert 1 <= len(parts) <= 4
    small = msgspec.structs.replace(big, entries=big.entries[:2])
    lowered.queue.propose(Edit(key, lambda _: small))
    lowered.run(5)
    assert not any(k.startswith(records.PART_PREFIX) for k in lowered.store.keys)
    assert lowered.load_view().jobs == {"job-1": small}
    lowered.queue.propose(Edit(key, lambda _: big))
    lowered.run(5)
    lowered.queue.propose(Edit(key, lambda _: Ending(records.DONE, 4)))
    lowered.run(5)
    assert not any(k.startswith(records.PART_PREFIX) for k in lowered.store.keys)


def test_before_the_switch_an_edit_of_an_oversized_record_waits() -> None:
    """Written whole, the record is refused; split, an old version could not read it."""
    lowered = LoweredLimits(0)
    key = records.job_key(JobId("job-1"))
    big = gang_of(300)
    lowered.queue.propose(Edit(key, lambda _: big))
    lowered.run(3)
    lowered.store.txn_ops, lowered.store.value_bytes = 5, 2048
    settled: list[tuple[bool, str]] = []
    for number in range(2):
        mark_gone = edits.mark_gone(number, big.entries[number].machine, 1)
        lowered.queue.propose(
            Edit(key, mark_gone, on_settled=lambda ok, why: settled.append((ok, why)))
        )
    assert lowered.run(9) == 1
    assert settled == []
    assert lowered.load_view().jobs == {"job-1": big}
    lowered.view.store_record(records.FORMAT_LEVEL_KEY, FormatLevel(1), 90)
    lowered.queue.set_rate_share(True, 5)
    lowered.run(9)
    assert settled == [(True, "")] * 2
    assert len(lowered.load_view().jobs[JobId("job-1")].entries) == 298


def test_oversized_records_are_rewritten_in_the_background() -> None:
    world = World()
    value = codec.encode_record(gang_of(300))
    world.store.set(records.job_key(JobId("job-1")), value)
    queue = world.core.queue
    queue.later_limits = StateServiceLimits(5, 2048, 15.0)
    world.store.set(records.FORMAT_LEVEL_KEY, [1])
    world.run(6.0)
    stored = world.store.keys[records.job_key(JobId("job-1"))][0]
    assert codec.json_size_bytes(stored) <= 2048
    assert not any(
        codec.json_size_bytes(v) > 2048 for k, (v, _, _) in world.store.keys.items() if "/j/" in k
    )


def test_parts_and_heads_may_come_in_any_order() -> None:
    """Parts have the version (`Stamp`) of their head; other versions are never joined."""
    key = records.job_key(JobId("job-1"))
    big = gang_of(320)
    head, parts = record_parts.split_value(codec.encode_record(big), 2048)
    rows = [(key, head), *((record_parts.part_key(key, n), t) for n, t in enumerate(parts, 1))]
    assert len(rows) > 1
    for order in (rows, rows[::-1]):
        view = View()
        for at, (name, value) in enumerate(order):
            assert not view.jobs
            if at == 1:
                view.apply_value(name, value, 4)  # a part of an older revision
                assert not view.jobs
            view.apply_value(name, value, 5)
        assert view.jobs == {"job-1": big}


def test_an_unreadable_record_is_neither_overwritten_nor_forgotten() -> None:
    world = World()
    key = records.job_key(JobId("job-1"))
    for value in ({"parts": 0, "text": "%%"}, {"parts": -1, "text": 3}, ["?"] * 9, 7):
        world.store.set(key, value)
        world.run(world.now + 0.5)
        for answer in (world.submit("job-1"), world.poll("job-1"), world.cancel("job-1")):
            assert answer is not None
            assert answer.status == 503
        assert world.store.keys[key][0] == value
    assert (answer := world.submit("job-2")) is not None
    assert answer.status == 201


def test_rolls_without_other_troubles_cost_no_more_elections_than_one_version(
    old: Version,
) -> None:
    """Each controller leaves and joins once; mixed versions must add no roster changes."""
    rosters = []
    for from_version, to_version in ((old, OURS), (OURS, OURS)):
        fleet = Fleet(5, days.MACHINE_COUNT, from_version, teams=days.TEAMS, state=STATE_LIMITS)
        days.submit_jobs(fleet, 20)
        schedule_roll(fleet, 12.0, 6.0)
        fleet.run(70.0)
        assert all(n.version is to_version for n in fleet.nodes)
        rosters.append(sum(n.get("Set") == str(records.ROSTER_KEY) for n in fleet.store.changes))
    assert rosters[0] <= rosters[1] + 2


def test_the_checker_reports_a_broken_rule(old: Version) -> None:
    """Production knows no prerequisites, so it starts a job that waits for another."""
    fleet = Fleet(6, days.MACHINE_COUNT, old, state=STATE_LIMITS)
    fleet.after(20.0, lambda: fleet.submit("job-1", 30.0))
    fleet.after(21.0, lambda: fleet.submit("job-2", 5.0, Prereqs=["job-1"]))
    with pytest.raises(RuleBrokenError, match="job-2/0 starts before"):
        fleet.run(90.0)
