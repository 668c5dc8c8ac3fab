"""Both versions side by side, the switch, and the state service's lower limits.

Production's modules are unpacked from this repository's history (`production.py`).
Every mixed day plays the protocol's rules at every step, as `test_fleet.py` does.
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
from tests.production import OURS, ROOT, Version, commit
from tests.world import JOB, World

SPEC = decode(encode(JOB | {"NameId": "job-1", "Pieces": 4}), Job)
NEXT = {"value_kb": 2.0, "txn_ops": 5, "write_rps": 40.0}
STATE = {"rps": 100.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 16, "next": NEXT}


# What each version makes of the other's records


def test_production_reads_what_we_write_before_the_switch(old: Version) -> None:
    """It drops the fields that it does not know, and keeps all others."""
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


def test_kept_bytes_of_production_are_read() -> None:
    """Written by running it: records as they stood after half a minute, and siblings' frames."""
    kept = json.loads((ROOT / "tests" / "kept" / "production.json").read_text())
    assert kept["version"] == commit()
    for key, value in kept["records"].items():
        record = codec.decode_record(key, value)
        assert record is not None
        ours = codec.encode_record(record, 0)
        # What we leave out at the end is what production takes for granted.
        assert value[: len(ours)] == ours if isinstance(value, list) else value == ours
        assert not isinstance(value, list) or not any(value[len(ours) :])
    world = World()
    asked = 0
    for at, (sender, _, text) in enumerate(kept["frames"], 1):
        envelope = peer_pb2.Envelope.FromString(bytes.fromhex(text))
        assert (envelope.version, envelope.sender) == (summary.PROTOCOL_VERSION, sender)
        assert envelope.summary.full or envelope.proposals or envelope.outcomes
        # As the first frame of a connection made now; what it says is production's own.
        envelope.sender, envelope.sent_at = "n1", world.core.ctx.wall_time
        envelope.link, envelope.seq, envelope.summary.full = float(at), 1, True
        assert world.core.receive_frame(envelope.SerializeToString())
        asked += len(envelope.proposals)
    assert asked
    assert len(world.core.frame_builders["n1"].outcomes) == asked


def test_production_answers_what_it_does_not_know(old: Version) -> None:
    """A kind of proposal that it has never heard of gets an outcome, and changes nothing."""
    fleet = Fleet(1, 20, old)
    fleet.run(4.0)
    (leader,) = [n for n in fleet.nodes if n.core.ctx.is_leading()]
    sibling = next(n.name for n in fleet.nodes if n is not leader)
    before = fleet.store.ledger
    strange = peer_pb2.Proposal(
        id=7, token=leader.core.view.fencing_token, job="job-1", kind="orphan"
    )
    leader.core.forwarding.receive_proposals(sibling, [strange])
    assert [(o.id, o.ok) for o in leader.core.frame_builders[sibling].outcomes][-1] == (7, False)
    assert fleet.store.ledger == before


def test_production_takes_no_harm_from_keys_it_does_not_know(old: Version) -> None:
    view = old.view.View()
    view.apply_value(records.version_key("n0"), codec.encode_record(records.MemberVersion(1, 7)), 3)
    view.apply_value(str(records.FORMAT_LEVEL_KEY), codec.encode_record(FormatLevel(1)), 4)
    view.apply_value(record_parts.part_key("cf/j/job-1", 1), "text", 5)
    assert view.records_by_key == {}
    assert not view.jobs


def test_after_the_switch_an_old_process_neither_leads_nor_is_healthy(old: Version) -> None:
    """It starts all the same, and finds no roster and no machine types."""
    world = World()
    world.run(2.0)
    world.store.set(records.FORMAT_LEVEL_KEY, [1, ["n2"]])  # n2 had stayed down, and was given up
    world.run(6.0)
    assert world.core.ctx.is_leading()
    assert str(records.CATALOG_KEY) not in world.store.keys
    view = old.view.View()
    view.reload([(r["K"], r["Value"], r["Stamp"]) for r in world.store.rows("cf/")], 99)
    assert view.roster is None
    assert view.catalog is None
    assert (
        codec.decode_record(records.ROSTER_KEY, world.store.keys[str(records.ROSTER_KEY)][0])
        is not None
    )


# The switch


def announce(world: World, member: str, level: int = 1) -> None:
    permit = world.store.keys[records.MEMBER_PREFIX + member][0][1]
    world.store.set(records.VERSION_PREFIX + member, [level, permit])


def test_nothing_is_switched_before_every_controller_has_shown_its_version() -> None:
    world = World()
    world.join("n1", "b")
    announce(world, "n1")
    world.run(8.0)
    assert world.core.view.format_level == 0  # n2 has never been seen, and may come with an old one
    answer = world.submit("job-1", Prereqs=["job-9"])
    assert answer is not None
    assert (answer.status, answer.retry_after) == (503, 2)
    assert records.job_key(JobId("job-1")) not in world.store.keys
    world.join("n2", "a")
    world.run(10.0)
    assert world.core.view.format_level == 0  # it is here, with an old version
    announce(world, "n2")
    world.run(12.0)
    assert world.core.view.format_level == 1


def test_a_controller_that_was_upgraded_and_is_down_does_not_hold_the_switch_back() -> None:
    world = World()
    world.store.set(records.VERSION_PREFIX + "n1", [1, 77])
    world.store.set(records.VERSION_PREFIX + "n2", [1, 78])
    world.run(4.0)
    assert world.core.view.format_level == 1


def test_a_controller_that_stays_down_holds_it_back_for_minutes_only() -> None:
    world = World()
    world.store.set(records.VERSION_PREFIX + "n1", [1, 77])
    world.run(200.0)
    assert world.core.view.format_level == 0
    world.run(320.0)
    assert world.core.view.format_level == 1


def test_a_version_taken_back_counts_no_more() -> None:
    """n1 was new, and came back old: its lease is not the one that it showed."""
    world = World()
    world.store.set(records.VERSION_PREFIX + "n1", [1, 77])
    world.join("n1", "b")
    world.join("n2", "a")
    announce(world, "n2")
    world.run(4.0)
    assert world.core.view.format_level == 0
    world.run(9.0)
    assert records.VERSION_PREFIX + "n1" not in world.store.keys
    world.run(12.0)
    assert world.core.view.format_level == 0


def test_all_restarting_does_not_lose_the_switch() -> None:
    world = World()
    world.store.set(records.FORMAT_LEVEL_KEY, [1])
    world.restart()
    world.run(4.0)
    assert world.core.view.format_level == 1
    assert world.core.ctx.is_leading()


# Mixed fleets


def roll(fleet: Fleet, first: float, every: float) -> None:
    """Each controller is killed in its turn, and comes back with the new version."""
    order = fleet.rng.sample(fleet.nodes, NODES)

    def turn(node: Any) -> None:
        node.version = OURS
        if node.up:
            node.stop()
            fleet.after(fleet.rng.choice([0.2, 4.0]), node.start)

    for at, node in enumerate(order):
        fleet.after(first + at * every, lambda n=node: turn(n))  # type: ignore[misc]


def lower(fleet: Fleet) -> None:
    fleet.store.txn_ops, fleet.store.value_bytes = 5, 2048


def pipeline(fleet: Fleet, number: int, earlier: str | None = None) -> None:
    """A chain, a diamond and a fan at once; a part of them is cancelled somewhere."""
    rng = fleet.rng
    names = [f"job-9{number:02d}{k}" for k in range(6)]
    first, *fan, gang, last = names
    small = {"Vcpus": 1.0, "Accelerators": 0.0, "MemoryGb": 2.0, "Rank": "idle", "Owner": "red"}
    cancelled = rng.choice(names) if rng.random() < 0.3 else ""

    if earlier not in fleet.jobs or fleet.jobs[earlier].body["Shape"] == "standing":
        earlier = None

    def one(name: str, needs: list[str], **fields: Any) -> None:
        at = rng.uniform(0.0, 30.0) if name == cancelled else None
        fleet.submit(name, rng.uniform(2.0, 8.0), at, **(small | fields), Prereqs=needs)

    one(first, [earlier] if earlier is not None else [])
    for name in fan:
        one(name, [first], Pieces=rng.randrange(1, 20), Loaners=True)
    one(gang, fan, Shape="ensemble", Pieces=3, Together=True, Vcpus=2.0)
    one(last, [first, gang], Rank="urgent", DueS=90.0)


def mixed(
    seed: int,
    old: Version,
    limits_at: float,
    every: float,
    meanwhile: Callable[[Fleet], None] | None = None,
) -> Fleet:
    teams = [{**t} for t in days.TEAMS]
    fleet = Fleet(seed, days.MACHINE_COUNT, old, teams=teams, state=STATE)
    fleet.lost_commits, fleet.copied = 0.02, 0.03
    days.submit_jobs(fleet, 50)
    roll(fleet, 12.0, every)
    for _ in range(7):
        trouble = fleet.rng.choice(days.FAULTS)
        fleet.after(fleet.rng.uniform(8.0, 66.0), lambda t=trouble: t(fleet))  # type: ignore[misc]
    if meanwhile is not None:
        fleet.after(limits_at - 1.0, lambda: meanwhile(fleet))
    fleet.after(limits_at, lambda: lower(fleet))
    fleet.after(days.FAULTS_END_AT_S, lambda: days.end_faults(fleet))
    for number in range(24):
        # Services are never named.
        at = 12.0 + NODES * every + fleet.rng.uniform(8.0, 40.0)
        earlier = f"job-{number}" if number % 4 == 0 else None
        fleet.after(at, lambda n=number, e=earlier: pipeline(fleet, n, e))  # type: ignore[misc]
    fleet.run(days.RUN_END_AT_S + 20.0)
    assert fleet.sent["production"]
    assert fleet.sent["ours"]
    return fleet


@pytest.mark.parametrize(
    ("seed", "limits_at", "every"), [(1, 60.0, 6.0), (2, 45.0, 3.0), (3, 30.0, 6.0), (4, 52.0, 8.0)]
)
def test_a_roll_with_troubles(seed: int, limits_at: float, every: float, old: Version) -> None:
    """Limits lowered after the roll, in the middle of it, and while pipelines come."""
    fleet = mixed(seed, old, limits_at, every)
    store = fleet.store
    assert store.keys[str(records.FORMAT_LEVEL_KEY)][0][0] == records.BASE_LEVEL
    days.check_no_job_lost(fleet)
    late = [
        k for k in store.keys if codec.json_size_bytes(store.keys[k][0]) > NEXT["value_kb"] * 1024
    ]
    assert late == []
    assert sum(j.told == "cancelled" and bool(j.needs) for j in fleet.jobs.values()) > 3


@pytest.mark.parametrize(
    "meanwhile", [days.fail_state_service, days.fail_state_service_and_controllers]
)
def test_limits_fall_while_nobody_can_see_it(
    meanwhile: Callable[[Fleet], None], old: Version
) -> None:
    """In an outage, and in the election after all controllers ended in one."""
    days.check_no_job_lost(mixed(7, old, 55.0, 6.0, meanwhile))


# Lower limits


class Lowered:
    """A queue and a store whose limits fall."""

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
        """Commit what waits; how many transactions were refused."""
        refused = 0
        for at in range(1, rounds):
            batch = self.queue.next_batch(MonotonicTime(float(at)))
            if batch is None:
                continue
            status, body = self.store.commit(float(at), batch.body)
            if status == 200:
                self.queue.handle_success(batch, body["Ledger"])
            else:
                refused += 1
                self.queue.handle_invalid(batch)
        return refused

    def seen(self) -> View:
        """What a node that starts now reads."""
        view = View()
        rows = [(r["K"], r["Value"], r["Stamp"]) for r in self.store.rows("cf/")]
        view.reload(rows, self.store.ledger)
        return view


def test_the_rate_falls_at_the_first_refusal_after_the_switch() -> None:
    """Before it, a burst of our own is the likelier cause; the lower one is a quarter less."""
    lowered = Lowered(0)
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


def test_an_ended_lease_refuses_only_what_hangs_on_it() -> None:
    """Seen in a drawn mixed day: an acceptance in the same transaction was answered 400."""
    lowered = Lowered(0)
    said: list[tuple[str, bool]] = []
    for key, permit in (("cf/m/n0", 77), (records.job_key(JobId("job-1")), None)):
        record: Any = MemberRecord("n0", 77, "a") if permit else JobRecord(SPEC, 0.0)
        lowered.queue.propose(
            Edit(
                key,
                lambda _, r=record: r,  # type: ignore[misc]
                lease_id=permit,
                on_settled=lambda ok, _, k=key: said.append((k, ok)),  # type: ignore[misc]
            )
        )
    batch = lowered.queue.next_batch(MonotonicTime(1.0))
    assert batch is not None
    assert lowered.store.commit(1.0, batch.body)[0] == 400
    lowered.queue.handle_lost_lease(batch)
    assert said == [("cf/m/n0", False)]
    assert lowered.run() == 0
    assert said[1:] == [(records.job_key(JobId("job-1")), True)]


def test_what_is_beyond_every_limit_is_not_tried_for_ever() -> None:
    """A refusal that the lower limits do not explain is final, and starves nobody."""
    lowered = Lowered(1)
    lowered.store.txn_ops, lowered.store.value_bytes = 5, 100
    said: list[str] = []
    key = records.job_key(JobId("job-1"))
    lowered.queue.propose(
        Edit(key, edits.accept(SPEC, 0.0), on_settled=lambda _, why: said.append(why))
    )
    assert lowered.run() == 1
    assert said == ["refused"]
    assert not lowered.queue.waiting_edits
    # Nor one that no form makes small enough: formed under the lower limits, it is final.
    lowered = Lowered(0)
    lowered.store.value_bytes = 2048
    many = Roster("n0", [MemberRecord(f"n{n}", n, "a") for n in range(300)])
    lowered.queue.propose(
        Edit("cf/roster", lambda _: many, on_settled=lambda _, why: said.append(why))
    )
    assert lowered.run() == 2
    assert said == ["refused", "refused"]


def gang_of(count: int) -> JobRecord:
    entries = [
        TaskEntry(i, records.PLACED, 1, f"worker-{i % 3}", "a", f"i-{i * 37 % 9973:06d}", 1)
        for i in range(count)
    ]
    return JobRecord(SPEC, 0.0, attempt=1, entries=entries)


@pytest.mark.parametrize("level", [0, 1])
def test_no_edit_is_lost_when_limits_fall(level: int) -> None:
    lowered = Lowered(level)
    lowered.store.txn_ops, lowered.store.value_bytes = 5, 2048
    said: list[bool] = []
    for number in range(40):
        key = records.job_key(JobId(f"job-{number}"))
        lowered.queue.propose(
            Edit(key, edits.accept(SPEC, 0.0), on_settled=lambda ok, _: said.append(ok))
        )
    refused = lowered.run()
    assert said == [True] * 40
    assert len(lowered.seen().jobs) == 40
    assert 1 <= refused <= 3


def test_a_record_over_the_limit_is_laid_over_several_keys() -> None:
    lowered = Lowered(1)
    lowered.queue.set_rate_share(True, 5)
    lowered.store.txn_ops, lowered.store.value_bytes = 5, 2048
    key = records.job_key(JobId("job-1"))
    big = gang_of(320)
    lowered.queue.propose(Edit(key, lambda _: big))
    assert lowered.run(5) == 0
    assert lowered.seen().jobs == {"job-1": big}
    parts = [k for k in lowered.store.keys if k.startswith(records.PART_PREFIX)]
    assert 1 <= len(parts) <= 4
    small = msgspec.structs.replace(big, entries=big.entries[:2])
    lowered.queue.propose(Edit(key, lambda _: small))
    lowered.run(5)
    assert not any(k.startswith(records.PART_PREFIX) for k in lowered.store.keys)
    assert lowered.seen().jobs == {"job-1": small}
    lowered.queue.propose(Edit(key, lambda _: big))
    lowered.run(5)
    lowered.queue.propose(Edit(key, lambda _: Ending(records.DONE, 4)))
    lowered.run(5)
    assert not any(k.startswith(records.PART_PREFIX) for k in lowered.store.keys)


def test_before_the_switch_what_shrinks_a_large_record_waits() -> None:
    """Written whole it is refused, and parts an old version could not read."""
    lowered = Lowered(0)
    key = records.job_key(JobId("job-1"))
    big = gang_of(300)
    lowered.queue.propose(Edit(key, lambda _: big))
    lowered.run(3)
    lowered.store.txn_ops, lowered.store.value_bytes = 5, 2048
    said: list[tuple[bool, str]] = []
    for number in range(2):
        gone = edits.mark_gone(number, big.entries[number].machine, 1)
        lowered.queue.propose(Edit(key, gone, on_settled=lambda ok, why: said.append((ok, why))))
    assert lowered.run(9) == 1
    assert said == []
    assert lowered.seen().jobs == {"job-1": big}
    lowered.view.store_record(records.FORMAT_LEVEL_KEY, FormatLevel(1), 90)
    lowered.queue.set_rate_share(True, 5)
    lowered.run(9)
    assert said == [(True, "")] * 2
    assert len(lowered.seen().jobs[JobId("job-1")].entries) == 298


def test_large_records_are_brought_over_in_the_background() -> None:
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
    """Parts carry their head's Stamp; those of another Stamp are never put together."""
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
                view.apply_value(name, value, 4)  # torn: of an older revision
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
    """Each controller leaves and joins once; two versions must not add a roster to that."""
    rosters = []
    for first, then in ((old, OURS), (OURS, OURS)):
        fleet = Fleet(5, days.MACHINE_COUNT, first, teams=days.TEAMS, state=STATE)
        days.submit_jobs(fleet, 20)
        roll(fleet, 12.0, 6.0)
        fleet.run(70.0)
        assert all(n.version is then for n in fleet.nodes)
        rosters.append(sum(n.get("Set") == str(records.ROSTER_KEY) for n in fleet.store.news))
    assert rosters[0] <= rosters[1] + 2


def test_a_day_that_breaks_a_rule_is_seen(old: Version) -> None:
    """The checker itself: production would start what waits for others."""
    fleet = Fleet(6, days.MACHINE_COUNT, old, state=STATE)
    fleet.after(20.0, lambda: fleet.submit("job-1", 30.0))
    fleet.after(21.0, lambda: fleet.submit("job-2", 5.0, Prereqs=["job-1"]))
    with pytest.raises(RuleBrokenError, match="job-2/0 starts before"):
        fleet.run(90.0)
