"""Cells: bad files, bad frames, and the decisions one by one."""

import asyncio
import math
import struct
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from coursefold.cells import edits
from coursefold.cells.cells import Cells
from coursefold.cells.config import CellsConfig, load_cells, max_grant_s
from coursefold.cells.directory import CellDirectory
from coursefold.cells.estimate import PoolEstimator, estimate_wait_s
from coursefold.cells.messages import (
    Frame,
    GuestState,
    Handle,
    InvalidFrameError,
    Offer,
    PoolState,
    Refusal,
    decode_frame,
    encode_frame,
)
from coursefold.cells.policy import SpillCandidate, SpillTarget, choose_moves, move_cost_s
from coursefold.cells.waits import MIN_SAMPLES, WaitTracker
from coursefold.cli import main
from coursefold.coordination import jobs
from coursefold.coordination.grants import GrantExpiry
from coursefold.histograms import decode_summary
from coursefold.protocol import cell_pb2
from coursefold.protocol.ids import JobId, MonotonicTime, WallTime
from coursefold.protocol.wire import Catalog, Job, decode, encode
from coursefold.settings import Settings, SettingsError, load, split_address
from coursefold.storage import codec, records
from coursefold.storage.cell_records import CellLink, Delegation, DelegationStage, Guest, GuestStage
from coursefold.storage.edits import DeleteKey, NotApplicableError
from coursefold.storage.records import Ending, JobRecord, TaskEntry
from coursefold.storage.view import View
from coursefold.transport.cells import CellTransport
from tests.cells_world import cells_file
from tests.test_loopback import find_free_ports
from tests.test_settings import VALID_SETTINGS
from tests.world import CATALOG, EPOCH, JOB, SETTINGS, World

KIND = decode(encode(CATALOG), Catalog).machine_types[0]
NAME = JobId("job-1")
HANDLE = Handle(NAME, 1, "9-1")

FILE = """
cell = "galway"
grant_s = 12.0
[[cells]]
name = "galway"
controllers = { n0 = "10.1.0.1:7000", n1 = "10.1.0.2:7000" }
networks = ["10.1.0.0/16"]
[[cells]]
name = "dublin"
controllers = { n0 = "10.2.0.1:7000" }
networks = ["10.2.0.0/16", "2001:db8::/64"]
"""


def spec(**fields: Any) -> Job:
    return decode(encode(JOB | {"NameId": NAME} | fields), Job)


def pool(**fields: Any) -> PoolState:
    return PoolState(KIND, False, 0.0007, 10.0, 0.0, 0.5, 0.0, 0.0)._replace(**fields)


def frame(**fields: Any) -> Frame:
    plain = Frame("east", "n0", 5, 1, EPOCH, 10.0, 40.0)
    return plain._replace(**fields)


# The file


def settings_file(tmp_path: Path) -> Path:
    file = tmp_path / "settings.toml"
    file.write_text(VALID_SETTINGS)
    return file


def test_a_good_file_is_taken(tmp_path: Path) -> None:
    settings = load(settings_file(tmp_path))
    file = tmp_path / "cells.toml"
    file.write_text(FILE)
    config = load_cells(file, settings)
    assert [entry.name for entry in config.other_cells] == ["dublin"]
    assert config.listen == "10.1.0.1:7000"
    assert config.is_allowed_address("dublin", "10.2.3.4")
    assert config.is_allowed_address("dublin", "2001:db8::7")
    assert not config.is_allowed_address("dublin", "10.1.0.1")
    assert not config.is_allowed_address("galway", "10.1.0.1")  # ourselves
    assert config.is_other_cell_address("10.2.3.4")
    assert not config.is_other_cell_address("10.3.0.1")


@pytest.mark.parametrize(
    ("old", "new", "what"),
    [
        ('cell = "galway"', 'cell = "cork"', "cells: the own cell 'cork' is not among them"),
        ('"10.2.0.1:7000"', '"10.1.0.2:7000"', "is in cell galway already"),
        ('"10.2.0.0/16", "2001', '"10.1.128.0/17", "2001', "cells[1].networks: overlap"),
        ('"10.2.0.0/16", "2001', '"10.2.0.0/99", "2001', "cells[1].networks[0]"),
        ('networks = ["10.1.0.0/16"]', "networks = []", "cells[0].networks: none is named"),
        ('{ n0 = "10.2.0.1:7000" }', "{}", "cells[1].controllers: none is named"),
        ('"10.2.0.1:7000"', '"10.2.0.1"', "cells[1].controllers.n0: '10.2.0.1' is not HOST:PORT"),
        ('n0 = "10.1.0.1:7000", ', "", "cells[0].controllers: n0 lacks"),
        ('name = "dublin"', 'name = "galway"', "names are not all different"),
        ('name = "dublin"', 'name = "Dublin!"', "cells[1].name"),
        ("grant_s = 12.0", "grant_s = 29.9", "grant_s: must be"),
        ("grant_s = 12.0", "grant_s = 0", "grant_s: Expected `float` > 0.0"),
        ("grant_s = 12.0", "guests = { jobs = 0 }", "guests.jobs: Expected `int` >= 1"),
        ("grant_s = 12.0", "guests = { share = 0 }", "guests.share"),
        ("grant_s = 12.0", "spill = { offers = 0 }", "spill.offers"),
        ("grant_s = 12.0", "spil = {}", "unknown field `spil`"),
        ("grant_s = 12.0", "grant_s = ", "not TOML"),
    ],
)
def test_a_wrong_file_ends_the_start_with_one_line(
    tmp_path: Path, old: str, new: str, what: str
) -> None:
    assert old in FILE
    file = tmp_path / "cells.toml"
    file.write_text(FILE.replace(old, new, 1))
    config = str(settings_file(tmp_path))
    runner = CliRunner()
    for words in (["check-cells", str(file)], ["serve", "--cells", str(file)]):
        result = runner.invoke(main, [*words, "--config", config])
        assert result.exit_code == 2
        assert what in result.output
        assert result.output.count("\n") == 1


def test_settings_under_which_no_grant_is_short_enough_are_refused(tmp_path: Path) -> None:
    """A cancellation could not hold in a cell that cannot be reached."""
    file = tmp_path / "cells.toml"
    file.write_text(FILE.replace("grant_s = 12.0", ""))
    good = load(settings_file(tmp_path))
    params = msgspec.structs.replace(good.params, skew_ms=20_000.0)
    with pytest.raises(SettingsError, match="cancel_s: too short for any grant"):
        load_cells(file, msgspec.structs.replace(good, params=params))
    assert max_grant_s(good, lease_s=39.5) < 0


# Frames


def full_frame() -> Frame:
    offer = Offer(HANDLE._replace(reservation=""), spec(Pieces=9), EPOCH, 3, [(0, 1), (4, 4)], 60.0)
    guest = GuestState(HANDLE, GuestStage.RELEASED, 0, [(0, 3)], 7)
    return frame(
        granted_until=EPOCH + 12.0, grant_s=12.0, offers=(offer,), grants=(HANDLE,),
        revoked=(HANDLE,), closed=(HANDLE,), held_until=EPOCH, guests=(guest,),
        refusals=(Refusal(HANDLE._replace(reservation=""), "full"),),
        pools=(pool(),), wait_histogram=b"", draining=True,
    )  # fmt: skip


def test_a_frame_is_read_as_it_was_written() -> None:
    read = decode_frame(encode_frame(full_frame()))
    kept = msgspec.structs.replace(KIND, price_per_hour=0.0, spot_price_per_hour=0.0, cache_gb=0.0)
    assert read == full_frame()._replace(pools=(pool(type_info=kept),))


def broken(change: Any) -> bytes:
    body = cell_pb2.CellFrame.FromString(encode_frame(full_frame()))
    change(body)
    return bytes(body.SerializeToString())


def setter(path: str, value: Any) -> Any:
    """Sets one field of a frame, or of the first item of one of its lists."""

    def change(body: Any) -> None:
        *inner, last = path.split(".")
        for name in inner:
            body = getattr(body, name)
            body = body[0] if hasattr(body, "__len__") else body
        setattr(body, last, value)

    return change


BAD: list[tuple[str, Any]] = [
    ("version", 2),
    ("sent_at", math.nan),
    ("lease_s", -1.0),
    ("cancel_s", 1e9),
    ("until", math.inf),
    ("held_until", -5.0),
    ("offers.handle.job", "no job"),
    ("offers.handle.epoch", 0),
    ("offers.handle.epoch", 1 << 60),
    ("offers.spec", b"\xc1"),
    ("offers.spec", encode(JOB | {"NameId": "job-2"})),
    ("offers.spec", encode(JOB | {"NameId": NAME, "Shape": "standing"})),
    ("offers.expected_s", math.nan),
    ("offers.done.high", 100),
    ("grants.reservation", ""),
    ("grants.reservation", "x" * 1000),
    ("guests.stage", 9),
    ("guests.handle.reservation", ""),
    ("pools.build", ""),
    ("pools.free", -1.0),
    ("pools.drain", math.inf),
]


@pytest.mark.parametrize(("path", "value"), BAD)
def test_what_no_cell_would_say_is_dropped_whole(path: str, value: Any) -> None:
    with pytest.raises(InvalidFrameError):
        decode_frame(broken(setter(path, value)))


@pytest.mark.parametrize("raw", [b"", b"\xff" * 50, encode_frame(full_frame())[:-3]])
def test_truncated_and_unreadable_frames_are_dropped(raw: bytes) -> None:
    with pytest.raises(InvalidFrameError):
        decode_frame(raw)


def config(cell: str = "north") -> CellsConfig:
    return CellsConfig(cells_file(cell), msgspec.convert(SETTINGS, Settings))


def directory() -> CellDirectory:
    world = World()
    world.enter()
    found = CellDirectory(config(), world.core.ctx)
    world.core.ctx.wall_time = WallTime(EPOCH)
    return found


@pytest.mark.parametrize(
    ("fields", "address"),
    [
        ({"cell": "south"}, "127.0.1.1"),
        ({"cell": "north"}, "127.0.2.1"),  # ourselves
        ({}, "127.0.2.1"),  # the network of another cell
        ({}, "10.0.0.1"),
        ({"member": "n9"}, "127.0.1.1"),
        ({"sent_at": EPOCH - 3600.0}, "127.0.1.1"),
        ({"sent_at": EPOCH + 60.0}, "127.0.1.1"),
    ],
)
def test_a_frame_from_elsewhere_or_another_time_leaves_one_log_line(
    fields: dict[str, Any], address: str, caplog: pytest.LogCaptureFixture
) -> None:
    found = directory()
    assert found.receive_frame(encode_frame(frame(**fields)), address) is None
    assert all(cell.frame is None for cell in found.cells.values())
    assert len([r for r in caplog.records if r.levelname == "ERROR"]) == 1


def test_late_and_repeated_frames_are_known_by_their_numbers() -> None:
    found = directory()
    for token, seq, taken in ((5, 7, True), (5, 7, False), (5, 6, False), (4, 99, False)):
        raw = encode_frame(frame(fencing_token=token, sequence=seq))
        assert (found.receive_frame(raw, "127.0.1.1") is not None) is taken
    assert (
        found.receive_frame(encode_frame(frame(fencing_token=6, sequence=1)), "127.0.1.1")
        is not None
    )


def test_frames_go_to_the_leader_and_to_all_while_none_is_known() -> None:
    found = directory()
    assert all(found.is_recipient("east", member) for member in ("n0", "n1", "n2"))
    found.receive_frame(encode_frame(frame(member="n1")), "127.0.1.1")
    assert [found.is_recipient("east", m) for m in ("n0", "n1", "n2")] == [False, True, False]
    found.ctx.now = MonotonicTime(found.ctx.now + 2.5)
    assert all(found.is_recipient("east", member) for member in ("n0", "n1", "n2"))


async def send_from(source: str, address: str, raw: bytes) -> bool:
    """Send bytes from an address; True if the listener then ends the connection."""
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port, local_addr=(source, 0))
    try:
        writer.write(raw)
        await writer.drain()
        return await asyncio.wait_for(reader.read(1), 1.0) == b""
    except ConnectionError:
        return True
    except TimeoutError:
        return False
    finally:
        writer.close()


def test_connections_from_other_networks_and_oversized_frames_are_ended() -> None:
    async def play() -> None:
        taken: list[tuple[bytes, str]] = []

        def take(raw: bytes, address: str) -> bool:
            taken.append((raw, address))
            return True

        here = config()
        here.listen = f"127.0.2.1:{find_free_ports(1)[0]}"
        transport = CellTransport(here, Cells(here, World().core), take)
        whole = struct.pack(">I", 3) + b"abc"
        try:
            assert await send_from("127.0.9.9", here.listen, whole)
            assert await send_from("127.0.2.1", here.listen, whole)  # our own cell's
            assert not taken
            assert not await send_from("127.0.1.7", here.listen, whole)
            assert taken == [(b"abc", "127.0.1.7")]
            assert await send_from("127.0.1.7", here.listen, struct.pack(">I", 1 << 24))
        finally:
            transport.server.stop()

    asyncio.run(asyncio.wait_for(play(), 20.0))


# Edits


def away_job(stage: DelegationStage, **fields: Any) -> JobRecord:
    away = Delegation("north", 1, stage, EPOCH, "" if stage == DelegationStage.OFFERED else "9-1")
    return JobRecord(spec(Pieces=4), EPOCH, delegation=away, **fields)


def guest_job(stage: GuestStage, **fields: Any) -> JobRecord:
    return JobRecord(spec(Pieces=4), EPOCH, guest=Guest("east", 1, "9-1", stage, EPOCH), **fields)


OTHERS = [Handle(NAME, 2, "9-1"), Handle(NAME, 1, "9-2"), Handle(NAME, 7, "x")]


@pytest.mark.parametrize("handle", OTHERS)
def test_a_word_under_another_epoch_or_reservation_changes_nothing(handle: Handle) -> None:
    told = GuestState(handle, GuestStage.RELEASED, 0, [], 0)
    for change in (
        edits.return_job("north", handle, EPOCH, "", told),
        edits.finish_job("north", handle),
        edits.mark_running("north", handle, EPOCH),
    ):
        with pytest.raises(NotApplicableError):
            change(away_job(DelegationStage.GRANTED))
    for change in (
        edits.accept_grant("east", handle, EPOCH),
        edits.revoke_job("east", handle),
        edits.delete_guest("east", handle),
    ):
        with pytest.raises(NotApplicableError):
            change(guest_job(GuestStage.RESERVED))


def test_an_epoch_only_rises_and_a_job_is_offered_once_at_a_time() -> None:
    first = edits.offer_job(Delegation("north", 1, DelegationStage.OFFERED, EPOCH), 0.0)
    record = first(JobRecord(spec(), EPOCH))
    assert isinstance(record, JobRecord)
    assert record.is_delegated
    for epoch in (1, 2):
        with pytest.raises(NotApplicableError):
            edits.offer_job(Delegation("west", epoch, DelegationStage.OFFERED, EPOCH), 0.0)(record)
    back = edits.return_job("north", Handle(NAME, 1), EPOCH, "no answer")(record)
    assert isinstance(back, JobRecord)
    with pytest.raises(NotApplicableError):
        edits.offer_job(Delegation("west", 1, DelegationStage.OFFERED, EPOCH), 0.0)(back)
    again = edits.offer_job(Delegation("west", 2, DelegationStage.OFFERED, EPOCH), 0.0)(back)
    assert isinstance(again, JobRecord)
    # A grant that the first cell's reservation asked for comes too late.
    with pytest.raises(NotApplicableError):
        edits.grant_job("north", HANDLE, EPOCH)(again)


def test_a_job_with_a_task_or_a_guest_is_not_offered() -> None:
    change = edits.offer_job(Delegation("north", 1, DelegationStage.OFFERED, EPOCH), 0.0)
    placed = JobRecord(
        spec(), EPOCH, entries=[TaskEntry(0, records.PLACED, 1, "n0", "a", "i-1", 1)]
    )
    for record in (placed, guest_job(GuestStage.GRANTED), None, Ending(records.DONE, 1)):
        with pytest.raises(NotApplicableError):
            change(record)


def test_what_was_done_elsewhere_is_done() -> None:
    told = GuestState(HANDLE, GuestStage.RELEASED, 0, [(1, 2)], 7)
    change = edits.return_job("north", HANDLE, EPOCH, "released", told)
    back = change(away_job(DelegationStage.RUNNING, done_ranges=[(0, 0)]))
    assert isinstance(back, JobRecord)
    assert back.done_ranges == [(0, 2)]
    assert back.attempt == 7
    assert back.quota_task_count == 0
    whole = GuestState(HANDLE, GuestStage.RELEASED, 0, [(0, 3)], 7)
    ended = edits.return_job("north", HANDLE, EPOCH, "", whole)(away_job(DelegationStage.RUNNING))
    assert ended == Ending(records.DONE, 4)


def test_progress_elsewhere_is_kept_when_its_cell_is_lost() -> None:
    running = away_job(DelegationStage.RUNNING)
    noted = edits.note_progress("north", HANDLE, [(0, 1)])(running)
    assert isinstance(noted, JobRecord)
    assert noted.is_delegated
    assert noted.quota_task_count == 2
    back = edits.return_job("north", HANDLE, EPOCH, "lost")(noted)
    assert isinstance(back, JobRecord)
    assert back.waiting_indices(9) == [2, 3]
    for done in ([(0, 1)], [(3, 4)]):  # nothing new; no such task
        with pytest.raises(NotApplicableError):
            edits.note_progress("north", HANDLE, done)(noted)


def test_a_cancelled_job_that_is_away_ends_only_on_proof() -> None:
    offered = jobs.cancel()(away_job(DelegationStage.OFFERED))
    assert offered == Ending(records.CANCELLED, 4)  # nobody may have started it
    granted = jobs.cancel()(away_job(DelegationStage.GRANTED))
    assert isinstance(granted, JobRecord)
    assert granted.status == records.CANCELLED
    ended = edits.return_job("north", HANDLE, EPOCH, "lost")(granted)
    assert ended == Ending(records.CANCELLED, 4)
    assert edits.finish_job("north", HANDLE)(granted) == Ending(records.CANCELLED, 4)


def test_a_guest_with_tasks_is_not_forgotten() -> None:
    entries = [TaskEntry(0, records.PLACED, 1, "n0", "a", "i-1", 1)]
    stopping = guest_job(GuestStage.GRANTED, entries=entries)
    with pytest.raises(NotApplicableError):
        edits.delete_guest("east", HANDLE)(stopping)
    revoked = edits.revoke_job("east", HANDLE)(stopping)
    assert isinstance(revoked, JobRecord)
    assert revoked.guest is not None
    assert revoked.guest.stage == GuestStage.GRANTED  # until its task is proven gone
    released = edits.revoke_job("east", HANDLE)(guest_job(GuestStage.RESERVED))
    assert isinstance(released, JobRecord)
    assert released.guest is not None
    assert released.guest.stage == GuestStage.RELEASED
    assert edits.delete_guest("east", HANDLE)(released) == DeleteKey()


def test_an_id_that_is_taken_is_not_reserved() -> None:
    offer = full_frame().offers[0]
    for record in (JobRecord(spec(), EPOCH), Ending(records.DONE, 1)):
        with pytest.raises(NotApplicableError):
            edits.reserve_job("east", offer, "9-2", EPOCH)(record)


def test_grants_never_get_shorter() -> None:
    link = CellLink(granted_until=50.0, held_until=60.0)
    for change in (edits.extend_grant(49.0, 12.0, 10.0), edits.record_held_grant(60.0, 12.0)):
        with pytest.raises(NotApplicableError):
            change(link)
    longer = edits.extend_grant(55.0, 12.0, 10.0)(link)
    assert longer == CellLink(55.0, 12.0, 10.0, 60.0, 0.0)


# Clocks


def clock(held_until: float, held_s: float) -> GrantExpiry:
    view = View()
    view.store_record("cf/c/east", CellLink(held_until=held_until, held_s=held_s), 1)
    found = GrantExpiry(view)
    found.observe(MonotonicTime(100.0))
    return found


def test_a_grant_ends_by_the_time_of_day_or_by_the_steady_clock() -> None:
    """A clock that is set back must not keep another cell's tasks running."""
    grants = clock(EPOCH + 12.0, 12.0)
    assert not grants.has_expired("east", MonotonicTime(105.0), WallTime(EPOCH + 5.0))
    assert grants.has_expired("east", MonotonicTime(105.0), WallTime(EPOCH + 12.0))
    assert grants.has_expired("east", MonotonicTime(112.1), WallTime(EPOCH - 7200.0))
    assert grants.has_expired("west", MonotonicTime(105.0), WallTime(EPOCH))  # never granted


def test_a_clock_that_jumps_forwards_takes_no_job_back() -> None:
    world = World()
    cells = Cells(config(), world.core)
    view = world.core.view
    until = EPOCH + world.now + 12.0
    view.store_record("cf/c/east", CellLink(until, 12.0, 10.0), 1)
    ctx = world.enter().ctx
    cells.home.observe_grants()
    ctx.wall_time = WallTime(until + 7200.0)
    assert not cells.home._has_grant_expired("east")
    ctx.now = MonotonicTime(ctx.now + 26.0)
    assert not cells.home._has_grant_expired("east")
    ctx.now = MonotonicTime(ctx.now + 2.0)
    assert cells.home._has_grant_expired("east")
    ctx.wall_time = WallTime(until + 1.0)  # set back again: not before the time of day has it too
    assert not cells.home._has_grant_expired("east")


# Words on records


def leading_cells() -> Cells:
    """North's leader, which has heard east."""
    world = World()
    cells = Cells(config(), world.core)
    world.run(3.0)
    ctx = world.enter().ctx
    raw = encode_frame(frame(sent_at=ctx.wall_time, grants=(HANDLE,), revoked=(OTHERS[1],)))
    assert cells.directory.receive_frame(raw, "127.0.1.1") is not None
    return cells


def words(cells: Cells) -> list[tuple[Handle, GuestStage]]:
    """What the next frame to east says of its jobs here."""
    filled = cells.guest.add_guest_part(frame(), cells.directory.cells["east"])
    return [(state.handle, state.stage) for state in filled.guests]


def test_what_home_thinks_is_here_and_is_not_is_called_released() -> None:
    cells = leading_cells()
    released = GuestStage.RELEASED
    assert words(cells) == [(HANDLE, released), (OTHERS[1], released)]
    key = records.job_key(NAME)
    cells.core.view.store_record(key, guest_job(GuestStage.GRANTED), 10**6)
    assert words(cells) == [(HANDLE, GuestStage.GRANTED), (OTHERS[1], released)]


def test_nothing_is_said_of_a_record_that_can_not_be_read() -> None:
    """Its tasks may run: neither released here nor closed at home."""
    cells = leading_cells()
    cells.core.view.apply_value(records.job_key(NAME), ["not", "a", "job"] * 9, 10**6)
    assert records.job_key(NAME) in cells.core.view.unreadable_keys
    assert words(cells) == []
    state = GuestState(HANDLE, GuestStage.FINISHED, 0, [], 0)
    raw = encode_frame(frame(sequence=2, sent_at=cells.core.ctx.wall_time, guests=(state,)))
    cell = cells.directory.receive_frame(raw, "127.0.1.1")
    assert cell is not None
    assert cells.home.add_home_part(frame(), cell).closed == ()
    cells.core.view.unreadable_keys.clear()
    assert cells.home.add_home_part(frame(), cell).closed == (HANDLE,)


@pytest.mark.parametrize(("held_s", "renewed"), [(5.0, True), (4.0, False)])
def test_a_grant_is_renewed_only_for_a_cell_that_acknowledged_it(
    held_s: float, renewed: bool
) -> None:
    """A cell that is heard and does not hear would else keep our jobs for ever."""
    cells = guest_world(GuestStage.GRANTED, 50.0)
    ctx, view = cells.core.ctx, cells.core.view
    away = Delegation("east", 1, DelegationStage.GRANTED, ctx.wall_time, "7-1")
    view.store_record(
        records.job_key(JobId("job-2")), JobRecord(spec(), ctx.wall_time, delegation=away), 10**6
    )
    view.store_record("cf/c/east", CellLink(ctx.wall_time + 5.0, 12.0, 10.0), 10**6 + 1)
    raw = encode_frame(frame(sent_at=ctx.wall_time, held_until=ctx.wall_time + held_s))
    cell = cells.directory.receive_frame(raw, "127.0.1.1")
    assert cell is not None
    cells.home._renew_grant(cell)
    assert ("c/east" in waits_for_writing(cells)) is renewed


# Guards of the guest cell, one by one


def guest_world(stage: GuestStage, held_s: float) -> Cells:
    """North leads with a guest of east; its grant ends in so many seconds."""
    world = World()
    cells = Cells(config(), world.core)
    world.run(3.0)
    ctx, view = world.enter().ctx, world.core.view
    view.format_level = records.CELLS_LEVEL
    view.store_record(
        "cf/c/east", CellLink(held_until=ctx.wall_time + held_s, held_s=held_s), 10**6
    )
    view.store_record(records.job_key(NAME), guest_job(stage), 10**6)
    world.enter()
    return cells


def hears(cells: Cells, seq: int, **fields: Any) -> None:
    """A frame of east, and what the leader makes of it."""
    raw = encode_frame(frame(sequence=seq, sent_at=cells.core.ctx.wall_time, **fields))
    assert cells.directory.receive_frame(raw, "127.0.1.1") is not None
    cells.guest.tick()


def waits_for_writing(cells: Cells) -> set[str]:
    keys = {key.removeprefix(records.ROOT) for key in cells.core.queue.waiting_edits}
    return keys & {"c/east", f"j/{NAME}"}


def test_a_longer_grant_is_held_only_once_what_it_leaves_out_is_stopped() -> None:
    """Else a cancellation that home leaves out would outlive what was planned for it."""
    cells = guest_world(GuestStage.GRANTED, 5.0)
    later = cells.core.ctx.wall_time + 12.0
    hears(cells, 1, granted_until=later)
    assert waits_for_writing(cells) == {f"j/{NAME}"}
    stopped = guest_job(GuestStage.RELEASED, status=records.CANCELLED)
    cells.core.view.store_record(records.job_key(NAME), stopped, 10**6 + 1)
    hears(cells, 2, granted_until=later)
    assert "c/east" in waits_for_writing(cells)


def test_a_reservation_that_is_not_listed_goes_before_a_longer_grant() -> None:
    """A grant of it may still be under way, and must then find nothing."""
    cells = guest_world(GuestStage.RESERVED, 5.0)
    hears(cells, 1, granted_until=cells.core.ctx.wall_time + 12.0)
    assert waits_for_writing(cells) == {f"j/{NAME}"}


def test_a_grant_is_accepted_only_once_its_end_is_recorded() -> None:
    cells = guest_world(GuestStage.RESERVED, -1.0)
    until = cells.core.ctx.wall_time + 12.0
    hears(cells, 1, granted_until=until, grants=(HANDLE,))
    assert waits_for_writing(cells) == {"c/east"}
    link = CellLink(held_until=until, held_s=12.0)
    cells.core.view.store_record("cf/c/east", link, 10**6 + 1)
    cells.core.set_time(cells.core.ctx.now, cells.core.ctx.wall_time)
    hears(cells, 2, granted_until=until, grants=(HANDLE,))
    assert f"j/{NAME}" in waits_for_writing(cells)


@pytest.mark.parametrize(("held_s", "waits"), [(5.0, True), (-1.0, False)])
def test_a_guest_is_dealt_only_under_a_grant(held_s: float, waits: bool) -> None:
    cells = guest_world(GuestStage.GRANTED, held_s)
    leader = cells.core.leader
    names = [wait.name for wait in leader.list_queued_jobs(cells.port.new_quota_tracker())]
    assert (NAME in names) is waits
    assert ("grant has ended" in leader.waiting_reasons.get(NAME, "")) is not waits


@pytest.mark.parametrize("patient_s", [0.0, 130.0])
def test_guests_come_after_our_own_for_a_while(patient_s: float) -> None:
    cells = guest_world(GuestStage.GRANTED, 50.0)
    ctx, view = cells.core.ctx, cells.core.view
    guest = Guest("east", 1, "9-1", GuestStage.GRANTED, ctx.wall_time - patient_s)
    urgent = JobRecord(spec(Rank="urgent"), ctx.wall_time, guest=guest)
    view.store_record(records.job_key(NAME), urgent, 10**6 + 1)
    own = JobId("job-2")
    view.store_record(records.job_key(own), JobRecord(spec(NameId=own), ctx.wall_time), 10**6 + 1)
    order = [
        wait.name for wait in cells.core.leader.list_queued_jobs(cells.port.new_quota_tracker())
    ]
    assert order == ([own, NAME] if patient_s == 0.0 else [NAME, own])


def test_a_gang_that_is_a_guest_is_finished_and_not_ended() -> None:
    """Its end is its home's to write: an ending here would be forgotten there."""
    entries = [TaskEntry(n, records.PLACED, 3, "n0", "a", f"i-{n}", 1) for n in range(4)]
    gang = guest_job(GuestStage.GRANTED, entries=entries)
    gang = msgspec.structs.replace(gang, spec=spec(Pieces=4, Shape="ensemble"))
    done = jobs.mark_done(0, "i-0", 3)(gang)
    assert isinstance(done, JobRecord)
    assert done.guest is not None
    assert done.guest.stage == GuestStage.FINISHED
    assert not done.entries


@pytest.mark.parametrize(
    "record",
    [
        away_job(DelegationStage.OFFERED),
        away_job(DelegationStage.RUNNING),
        guest_job(GuestStage.RESERVED),
        guest_job(GuestStage.RELEASED),
    ],
)
def test_nothing_of_a_job_is_placed_where_it_may_not_start(record: JobRecord) -> None:
    """Whatever a leader believes: the record decides."""
    for change in (
        jobs.assign([jobs.Assignment(0, "n0", "a", "i-1")]),
        jobs.place("n0", [jobs.TaskRef(0, 0, "a", "i-1", 1)]),
        jobs.place_gang([("n0", "a", "i-1", 1)] * 4),
    ):
        with pytest.raises(NotApplicableError):
            change(record)


# Records


def test_nothing_is_added_to_the_bytes_of_a_job_that_never_moved() -> None:
    plain = JobRecord(spec(), EPOCH)
    moved = msgspec.structs.replace(
        plain, delegation=Delegation("north", 1, DelegationStage.HOME, EPOCH)
    )
    assert len(codec.encode_record(plain, 1)) == 6
    for record in (plain, moved, guest_job(GuestStage.GRANTED)):
        key = records.job_key(NAME)
        assert codec.decode_record(key, codec.encode_record(record, 2)) == record


def test_use_counts_at_home_while_a_job_is_away() -> None:
    view = View()
    key = records.job_key(NAME)
    view.store_record(key, JobRecord(spec(Pieces=4), EPOCH), 1)
    assert view.team_usage.get("blue", [0.0, 0.0])[1] == 0.0
    view.store_record(key, away_job(DelegationStage.OFFERED), 2)
    assert view.team_usage["blue"][1] == 4.0
    assert NAME not in view.waiting_jobs
    view.store_record(key, away_job(DelegationStage.RUNNING, status=records.CANCELLED), 3)
    assert view.team_usage["blue"][1] == 4.0  # until it is proven gone
    view.store_record(key, away_job(DelegationStage.HOME), 4)
    assert view.team_usage["blue"][1] == 0.0
    assert NAME in view.waiting_jobs


def test_a_guest_is_not_a_job_that_others_may_need() -> None:
    view = View()
    view.store_record(records.job_key(NAME), guest_job(GuestStage.GRANTED), 1)
    assert view.prerequisite_status(NAME) is None


# Policy


def candidate(**fields: Any) -> SpillCandidate:
    return SpillCandidate(NAME, spec(ImageGb=5.0), 1, 100.0, 60.0, 0.0007, None)._replace(**fields)


def chosen(item: SpillCandidate, *pools: PoolState, room: int = 8) -> list[str]:
    target = {"dublin": SpillTarget(PoolEstimator(pools), room)}
    return [choice.reason for choice in choose_moves([item], target, config().spill, 0.0005)]


def test_a_job_moves_only_for_more_than_the_move_costs() -> None:
    assert chosen(candidate(), pool())
    # Three seconds for the handover, ten for the image, and twenty that operators ask for.
    assert chosen(candidate(home_wait_s=33.5), pool())
    assert not chosen(candidate(home_wait_s=32.5), pool())
    assert not chosen(candidate(), pool(free_slots=0.0, freed_slots_per_s=0.0))
    assert not chosen(candidate(), pool(), room=0)


def test_a_dearer_slot_has_to_be_worth_it() -> None:
    dear = pool(price_per_slot_s=0.0017)
    assert move_cost_s(candidate(), PoolEstimator([dear]), 0, 0.0005) == pytest.approx(
        13 + 120, rel=0.01
    )
    assert not chosen(candidate(), dear)
    assert chosen(candidate(home_wait_s=160.0), dear)


def test_a_deadline_that_is_missed_here_and_met_there_decides() -> None:
    short = candidate(home_wait_s=25.0, deadline_in_s=80.0)
    assert chosen(short, pool()) == ["its deadline would be missed here"]
    assert not chosen(candidate(home_wait_s=25.0, deadline_in_s=200.0), pool())
    assert not chosen(candidate(home_wait_s=25.0, deadline_in_s=50.0), pool())  # missed there too
    assert not chosen(
        candidate(home_wait_s=10.0, deadline_in_s=65.0), pool()
    )  # the move costs more


@pytest.mark.parametrize(
    "fields",
    [{"Site": "elsewhere"}, {"Builds": ["other"]}, {"Vcpus": 99.0}],
)
def test_a_job_tied_to_what_is_not_there_stays(fields: dict[str, Any]) -> None:
    assert not chosen(candidate(spec=spec(**fields)), pool())


def test_a_job_is_not_offered_again_where_it_just_came_back_from() -> None:
    assert not chosen(candidate(excluded_cell="dublin"), pool())
    assert chosen(candidate(excluded_cell="cork"), pool())


def test_what_is_offered_fills_the_room_that_was_told() -> None:
    jobs = [candidate(name=JobId(f"job-{n}"), task_count=4) for n in range(9)]
    target = {"dublin": SpillTarget(PoolEstimator([pool(freed_slots_per_s=0.0)]), 8)}
    assert len(choose_moves(jobs, target, config().spill, 0.0005)) == 2  # ten slots, four each


def test_expected_waits() -> None:
    one = spec(Accelerators=2.0)
    assert estimate_wait_s(one, 4, pool()) == 0.0
    assert estimate_wait_s(one, 4, pool(free_slots=2.0)) == pytest.approx(12.0)
    assert estimate_wait_s(one, 4, pool(free_slots=0.0, queued_slots=10.0)) == pytest.approx(36.0)
    booting = pool(free_slots=0.0, queued_slots=10.0, growth_slots=100.0)
    assert estimate_wait_s(one, 4, booting) == pytest.approx(26.0)
    assert estimate_wait_s(one, 4, booting._replace(growth_slots=10.0)) == pytest.approx(36.0)


# Measured waits


def test_the_model_is_corrected_by_what_was_measured() -> None:
    view = View()
    log = WaitTracker(view)
    for number in range(MIN_SAMPLES):
        name = JobId(f"job-{number}")
        view.store_record(records.job_key(name), JobRecord(spec(NameId=name), EPOCH), number + 1)
        log.record_estimate(name, EPOCH, 9.0)
        log.record_estimate(name, EPOCH + 5.0, 900.0)  # only the first word counts
        entry = TaskEntry(0, records.PLACED, 1, "n0", "a", "i-1", 1)
        started = JobRecord(spec(NameId=name), EPOCH, entries=[entry])
        view.store_record(records.job_key(name), started, number + 1000)
        assert log.correction_factor == 1.0
    log.record_started_jobs(MonotonicTime(100.0), EPOCH + 19.0)
    assert log.correction_factor == pytest.approx(2.0)
    summary = decode_summary(log.encode_histogram())
    assert summary is not None
    assert summary.total == MIN_SAMPLES
    assert summary.median == pytest.approx(19.0, rel=0.02)
    log.record_estimate(JobId("job-0"), EPOCH + 20.0, 50.0)  # it has tasks left, and has started
    assert not log.estimates


@pytest.mark.parametrize("raw", [b"x", b"HISTFAAAAA", bytes(200)])
def test_what_is_no_histogram_is_not_shown(raw: bytes) -> None:
    assert decode_summary(raw) is None
