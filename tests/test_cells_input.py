"""Unit tests of coursefold/cells: configuration files, frames, record edits and policy."""

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
from coursefold.coordination.team_usage import count_team_usage
from coursefold.histograms import decode_summary
from coursefold.protocol import cell_pb2
from coursefold.protocol.ids import JobId, MonotonicTime, WallTime
from coursefold.protocol.wire import Catalog, Job, decode, encode
from coursefold.settings import Settings, SettingsError, load, split_address
from coursefold.storage import codec, records
from coursefold.storage.cell_records import CellLink, Delegation, DelegationStage, Guest, GuestStage
from coursefold.storage.edits import DeleteKey, NotApplicableError
from coursefold.storage.records import ASSIGNED, Ending, JobRecord, TaskEntry
from coursefold.storage.view import View
from coursefold.transport.cells import CellTransport
from tests.cells_world import cells_file
from tests.test_loopback import find_free_ports
from tests.test_settings import VALID_SETTINGS
from tests.world import CATALOG, EPOCH, JOB, SETTINGS, World

MACHINE_TYPE = decode(encode(CATALOG), Catalog).machine_types[0]
JOB_NAME = JobId("job-1")
JOB_HANDLE = Handle(JOB_NAME, 1, "9-1")

CELLS_FILE = """
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
    """Return the job description of `JOB_NAME`, with wire fields changed."""
    return decode(encode(JOB | {"NameId": JOB_NAME} | fields), Job)


def pool(**fields: Any) -> PoolState:
    """Return the state of a pool with ten free slots and an empty queue, with fields changed."""
    return PoolState(MACHINE_TYPE, False, 0.0007, 10.0, 0.0, 0.5, 0.0, 0.0)._replace(**fields)


def frame(**fields: Any) -> Frame:
    """Return a frame of member n0 of cell east without any lists, with fields changed."""
    empty_frame = Frame("east", "n0", 5, 1, EPOCH, 10.0, 40.0)
    return empty_frame._replace(**fields)


# Configuration file


def write_settings(tmp_path: Path) -> Path:
    """Write a valid settings file and return its path."""
    file = tmp_path / "settings.toml"
    file.write_text(VALID_SETTINGS)
    return file


def test_a_valid_file_is_loaded(tmp_path: Path) -> None:
    settings = load(write_settings(tmp_path))
    file = tmp_path / "cells.toml"
    file.write_text(CELLS_FILE)
    config = load_cells(file, settings)
    assert [entry.name for entry in config.other_cells] == ["dublin"]
    assert config.listen == "10.1.0.1:7000"
    assert config.is_allowed_address("dublin", "10.2.3.4")
    assert config.is_allowed_address("dublin", "2001:db8::7")
    assert not config.is_allowed_address("dublin", "10.1.0.1")
    assert not config.is_allowed_address("galway", "10.1.0.1")  # the own cell
    assert config.is_other_cell_address("10.2.3.4")
    assert not config.is_other_cell_address("10.3.0.1")


@pytest.mark.parametrize(
    ("old", "new", "message"),
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
def test_an_invalid_file_ends_the_command_with_a_one_line_error(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    assert old in CELLS_FILE
    file = tmp_path / "cells.toml"
    file.write_text(CELLS_FILE.replace(old, new, 1))
    config = str(write_settings(tmp_path))
    runner = CliRunner()
    for arguments in (["check-cells", str(file)], ["serve", "--cells", str(file)]):
        result = runner.invoke(main, [*arguments, "--config", config])
        assert result.exit_code == 2
        assert message in result.output
        assert result.output.count("\n") == 1


def test_settings_under_which_no_grant_is_short_enough_are_refused(tmp_path: Path) -> None:
    """Guards against cancelled jobs that run on past `cancel_s` in a cell that is unreachable.

    Only the end of the grant stops them there, so a grant has to be shorter than `cancel_s`.
    """
    file = tmp_path / "cells.toml"
    file.write_text(CELLS_FILE.replace("grant_s = 12.0", ""))
    settings = load(write_settings(tmp_path))
    params = msgspec.structs.replace(settings.params, skew_ms=20_000.0)
    with pytest.raises(SettingsError, match="cancel_s: too short for any grant"):
        load_cells(file, msgspec.structs.replace(settings, params=params))
    assert max_grant_s(settings, lease_s=39.5) < 0


# Frames


def full_frame() -> Frame:
    """Return a frame in which every field and list is filled."""
    offer = Offer(
        JOB_HANDLE._replace(reservation=""), spec(Pieces=9), EPOCH, 3, [(0, 1), (4, 4)], 60.0
    )
    guest = GuestState(JOB_HANDLE, GuestStage.RELEASED, 0, [(0, 3)], 7)
    return frame(
        granted_until=EPOCH + 12.0, grant_s=12.0, offers=(offer,), grants=(JOB_HANDLE,),
        revoked=(JOB_HANDLE,), closed=(JOB_HANDLE,), held_until=EPOCH, guests=(guest,),
        refusals=(Refusal(JOB_HANDLE._replace(reservation=""), "full"),),
        pools=(pool(),), wait_histogram=b"", draining=True,
    )  # fmt: skip


def test_a_frame_is_decoded_as_it_was_encoded() -> None:
    decoded = decode_frame(encode_frame(full_frame()))
    sent_type = msgspec.structs.replace(
        MACHINE_TYPE, price_per_hour=0.0, spot_price_per_hour=0.0, cache_gb=0.0
    )
    assert decoded == full_frame()._replace(pools=(pool(type_info=sent_type),))


def encode_changed_frame(change: Any) -> bytes:
    """Return the bytes of the full frame after `change` was applied to its protobuf message."""
    body = cell_pb2.CellFrame.FromString(encode_frame(full_frame()))
    change(body)
    return bytes(body.SerializeToString())


def field_setter(path: str, value: Any) -> Any:
    """Return a function that sets one field of a frame or of the first item of a list in it."""

    def change(body: Any) -> None:
        *inner, last = path.split(".")
        for name in inner:
            body = getattr(body, name)
            body = body[0] if hasattr(body, "__len__") else body
        setattr(body, last, value)

    return change


INVALID_FIELDS: list[tuple[str, Any]] = [
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
    ("offers.spec", encode(JOB | {"NameId": JOB_NAME, "Shape": "standing"})),
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


@pytest.mark.parametrize(("path", "value"), INVALID_FIELDS)
def test_a_frame_with_an_invalid_field_is_rejected_as_a_whole(path: str, value: Any) -> None:
    with pytest.raises(InvalidFrameError):
        decode_frame(encode_changed_frame(field_setter(path, value)))


@pytest.mark.parametrize("raw", [b"", b"\xff" * 50, encode_frame(full_frame())[:-3]])
def test_truncated_and_unreadable_frames_are_rejected(raw: bytes) -> None:
    with pytest.raises(InvalidFrameError):
        decode_frame(raw)


def config(cell: str = "north") -> CellsConfig:
    """Return the configuration of a cell of the simulated cells."""
    return CellsConfig(cells_file(cell), msgspec.convert(SETTINGS, Settings))


def new_directory() -> CellDirectory:
    """Return the directory of a controller of north at time `EPOCH`."""
    world = World()
    world.enter()
    directory = CellDirectory(config(), world.core.ctx)
    world.core.ctx.wall_time = WallTime(EPOCH)
    return directory


@pytest.mark.parametrize(
    ("fields", "address"),
    [
        ({"cell": "south"}, "127.0.1.1"),
        ({"cell": "north"}, "127.0.2.1"),  # the own cell
        ({}, "127.0.2.1"),  # the network of another cell
        ({}, "10.0.0.1"),
        ({"member": "n9"}, "127.0.1.1"),
        ({"sent_at": EPOCH - 3600.0}, "127.0.1.1"),
        ({"sent_at": EPOCH + 60.0}, "127.0.1.1"),
    ],
)
def test_a_frame_from_a_wrong_address_or_time_is_dropped_with_one_error_logged(
    fields: dict[str, Any], address: str, caplog: pytest.LogCaptureFixture
) -> None:
    directory = new_directory()
    assert directory.receive_frame(encode_frame(frame(**fields)), address) is None
    assert all(cell.frame is None for cell in directory.cells.values())
    assert len([record for record in caplog.records if record.levelname == "ERROR"]) == 1


def test_late_and_repeated_frames_are_dropped_by_token_and_sequence_number() -> None:
    directory = new_directory()
    for token, sequence, accepted in ((5, 7, True), (5, 7, False), (5, 6, False), (4, 99, False)):
        raw = encode_frame(frame(fencing_token=token, sequence=sequence))
        assert (directory.receive_frame(raw, "127.0.1.1") is not None) is accepted
    assert (
        directory.receive_frame(encode_frame(frame(fencing_token=6, sequence=1)), "127.0.1.1")
        is not None
    )


def test_frames_go_to_the_leader_or_to_all_members_while_no_leader_is_known() -> None:
    directory = new_directory()
    assert all(directory.is_recipient("east", member) for member in ("n0", "n1", "n2"))
    directory.receive_frame(encode_frame(frame(member="n1")), "127.0.1.1")
    assert [directory.is_recipient("east", member) for member in ("n0", "n1", "n2")] == [
        False,
        True,
        False,
    ]
    directory.ctx.now = MonotonicTime(directory.ctx.now + 2.5)
    assert all(directory.is_recipient("east", member) for member in ("n0", "n1", "n2"))


async def send_from(source: str, address: str, raw: bytes) -> bool:
    """Send bytes from the source address to a listener.

    Returns whether the listener closes the connection within a second.
    """
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


def test_connections_from_other_networks_or_with_oversized_frames_are_closed() -> None:
    async def send_frames() -> None:
        received: list[tuple[bytes, str]] = []

        def accept_frame(raw: bytes, address: str) -> bool:
            received.append((raw, address))
            return True

        here = config()
        here.listen = f"127.0.2.1:{find_free_ports(1)[0]}"
        transport = CellTransport(here, Cells(here, World().core), accept_frame)
        complete = struct.pack(">I", 3) + b"abc"
        try:
            assert await send_from("127.0.9.9", here.listen, complete)
            assert await send_from("127.0.2.1", here.listen, complete)  # network of the own cell
            assert not received
            assert not await send_from("127.0.1.7", here.listen, complete)
            assert received == [(b"abc", "127.0.1.7")]
            assert await send_from("127.0.1.7", here.listen, struct.pack(">I", 1 << 24))
        finally:
            transport.server.stop()

    asyncio.run(asyncio.wait_for(send_frames(), 20.0))


# Record edits


def delegated_job(stage: DelegationStage, **fields: Any) -> JobRecord:
    """Return the home record of a job of four tasks that is delegated to north."""
    delegation = Delegation(
        "north", 1, stage, EPOCH, "" if stage == DelegationStage.OFFERED else "9-1"
    )
    return JobRecord(spec(Pieces=4), EPOCH, delegation=delegation, **fields)


def guest_job(stage: GuestStage, **fields: Any) -> JobRecord:
    """Return the record of a guest job of four tasks whose home is east."""
    return JobRecord(spec(Pieces=4), EPOCH, guest=Guest("east", 1, "9-1", stage, EPOCH), **fields)


OTHER_HANDLES = [Handle(JOB_NAME, 2, "9-1"), Handle(JOB_NAME, 1, "9-2"), Handle(JOB_NAME, 7, "x")]


@pytest.mark.parametrize("handle", OTHER_HANDLES)
def test_an_edit_for_another_epoch_or_reservation_does_not_apply(handle: Handle) -> None:
    guest_state = GuestState(handle, GuestStage.RELEASED, 0, [], 0)
    for change in (
        edits.return_job("north", handle, EPOCH, "", guest_state),
        edits.finish_job("north", handle),
        edits.mark_running("north", handle, EPOCH),
    ):
        with pytest.raises(NotApplicableError):
            change(delegated_job(DelegationStage.GRANTED))
    for change in (
        edits.accept_grant("east", handle, EPOCH),
        edits.revoke_job("east", handle),
        edits.delete_guest("east", handle),
    ):
        with pytest.raises(NotApplicableError):
            change(guest_job(GuestStage.RESERVED))


def test_a_job_is_offered_to_one_cell_at_a_time_with_a_higher_epoch_each_time() -> None:
    first = edits.offer_job(Delegation("north", 1, DelegationStage.OFFERED, EPOCH), 0.0)
    record = first(JobRecord(spec(), EPOCH))
    assert isinstance(record, JobRecord)
    assert record.is_delegated
    for epoch in (1, 2):
        with pytest.raises(NotApplicableError):
            edits.offer_job(Delegation("west", epoch, DelegationStage.OFFERED, EPOCH), 0.0)(record)
    returned = edits.return_job("north", Handle(JOB_NAME, 1), EPOCH, "no answer")(record)
    assert isinstance(returned, JobRecord)
    with pytest.raises(NotApplicableError):
        edits.offer_job(Delegation("west", 1, DelegationStage.OFFERED, EPOCH), 0.0)(returned)
    again = edits.offer_job(Delegation("west", 2, DelegationStage.OFFERED, EPOCH), 0.0)(returned)
    assert isinstance(again, JobRecord)
    # A grant for the reservation of the first cell no longer applies.
    with pytest.raises(NotApplicableError):
        edits.grant_job("north", JOB_HANDLE, EPOCH)(again)


def test_a_job_with_a_task_or_a_guest_is_not_offered() -> None:
    change = edits.offer_job(Delegation("north", 1, DelegationStage.OFFERED, EPOCH), 0.0)
    placed = JobRecord(
        spec(), EPOCH, entries=[TaskEntry(0, records.PLACED, 1, "n0", "a", "i-1", 1)]
    )
    for record in (placed, guest_job(GuestStage.GRANTED), None, Ending(records.DONE, 1)):
        with pytest.raises(NotApplicableError):
            change(record)


def test_tasks_done_in_the_guest_cell_are_done_when_the_job_returns() -> None:
    guest_state = GuestState(JOB_HANDLE, GuestStage.RELEASED, 0, [(1, 2)], 7)
    change = edits.return_job("north", JOB_HANDLE, EPOCH, "released", guest_state)
    returned = change(delegated_job(DelegationStage.RUNNING, done_ranges=[(0, 0)]))
    assert isinstance(returned, JobRecord)
    assert returned.done_ranges == [(0, 2)]
    assert returned.attempt == 7
    assert returned.quota_task_count == 0
    complete = GuestState(JOB_HANDLE, GuestStage.RELEASED, 0, [(0, 3)], 7)
    ended = edits.return_job("north", JOB_HANDLE, EPOCH, "", complete)(
        delegated_job(DelegationStage.RUNNING)
    )
    assert ended == Ending(records.DONE, 4)


def test_recorded_progress_is_kept_when_the_guest_cell_is_lost() -> None:
    running = delegated_job(DelegationStage.RUNNING)
    noted = edits.note_progress("north", JOB_HANDLE, [(0, 1)])(running)
    assert isinstance(noted, JobRecord)
    assert noted.is_delegated
    assert noted.quota_task_count == 2
    returned = edits.return_job("north", JOB_HANDLE, EPOCH, "lost")(noted)
    assert isinstance(returned, JobRecord)
    assert returned.waiting_indices(9) == [2, 3]
    for done in ([(0, 1)], [(3, 4)]):  # nothing new; a task that does not exist
        with pytest.raises(NotApplicableError):
            edits.note_progress("north", JOB_HANDLE, done)(noted)


def test_a_cancelled_delegated_job_ends_only_once_no_task_can_run() -> None:
    offered = jobs.cancel()(delegated_job(DelegationStage.OFFERED))
    assert offered == Ending(records.CANCELLED, 4)  # without a grant no cell may start it
    granted = jobs.cancel()(delegated_job(DelegationStage.GRANTED))
    assert isinstance(granted, JobRecord)
    assert granted.status == records.CANCELLED
    ended = edits.return_job("north", JOB_HANDLE, EPOCH, "lost")(granted)
    assert ended == Ending(records.CANCELLED, 4)
    assert edits.finish_job("north", JOB_HANDLE)(granted) == Ending(records.CANCELLED, 4)


def test_a_guest_with_tasks_is_not_deleted() -> None:
    entries = [TaskEntry(0, records.PLACED, 1, "n0", "a", "i-1", 1)]
    stopping = guest_job(GuestStage.GRANTED, entries=entries)
    with pytest.raises(NotApplicableError):
        edits.delete_guest("east", JOB_HANDLE)(stopping)
    revoked = edits.revoke_job("east", JOB_HANDLE)(stopping)
    assert isinstance(revoked, JobRecord)
    assert revoked.guest is not None
    assert revoked.guest.stage == GuestStage.GRANTED  # until its task is known to have ended
    released = edits.revoke_job("east", JOB_HANDLE)(guest_job(GuestStage.RESERVED))
    assert isinstance(released, JobRecord)
    assert released.guest is not None
    assert released.guest.stage == GuestStage.RELEASED
    assert edits.delete_guest("east", JOB_HANDLE)(released) == DeleteKey()


def test_a_job_id_in_use_is_not_reserved() -> None:
    offer = full_frame().offers[0]
    for record in (JobRecord(spec(), EPOCH), Ending(records.DONE, 1)):
        with pytest.raises(NotApplicableError):
            edits.reserve_job("east", offer, "9-2", EPOCH)(record)


def test_grants_are_never_shortened() -> None:
    link = CellLink(granted_until=50.0, held_until=60.0)
    for change in (edits.extend_grant(49.0, 12.0, 10.0), edits.record_held_grant(60.0, 12.0)):
        with pytest.raises(NotApplicableError):
            change(link)
    longer = edits.extend_grant(55.0, 12.0, 10.0)(link)
    assert longer == CellLink(55.0, 12.0, 10.0, 60.0, 0.0)


# Clocks


def new_grant_expiry(held_until: float, held_s: float) -> GrantExpiry:
    """Return the expiry of a grant held from east, recorded as read at monotonic time 100 s.

    Args:
        held_until: End of the grant in wall time.
        held_s: Length of the grant in seconds.
    """
    view = View()
    view.store_record("cf/c/east", CellLink(held_until=held_until, held_s=held_s), 1)
    expiry = GrantExpiry(view)
    expiry.observe(MonotonicTime(100.0))
    return expiry


def test_a_grant_expires_by_the_wall_clock_or_the_monotonic_clock() -> None:
    """Guards against tasks that run past their grant because the wall clock is set back."""
    grants = new_grant_expiry(EPOCH + 12.0, 12.0)
    assert not grants.has_expired("east", MonotonicTime(105.0), WallTime(EPOCH + 5.0))
    assert grants.has_expired("east", MonotonicTime(105.0), WallTime(EPOCH + 12.0))
    assert grants.has_expired("east", MonotonicTime(112.1), WallTime(EPOCH - 7200.0))
    assert grants.has_expired("west", MonotonicTime(105.0), WallTime(EPOCH))  # never granted


def test_a_wall_clock_that_jumps_forwards_returns_no_job_early() -> None:
    """Guards against a job that runs in two cells.

    Home would take it back while the guest cell, whose clock did not jump, still holds its grant.
    """
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
    ctx.wall_time = WallTime(until + 1.0)  # set back again: both clocks have to be past the end
    assert not cells.home._has_grant_expired("east")


@pytest.mark.parametrize("value", [None, ["soon"], [0.0, 0.0, 0.0, EPOCH, 12.0]])
def test_a_grant_that_is_not_known_is_no_proof(value: Any) -> None:
    """Guards against a granted job that home takes back, and starts, while it runs elsewhere.

    There is no record of a grant, or its newest version can't be read, or it tells only of what
    this cell was granted.
    """
    world = World()
    cells = Cells(config(), world.core)
    view = world.core.view
    if value == ["soon"]:  # the version before it can be read, and its grant is over
        view.store_record("cf/c/east", CellLink(EPOCH - 100.0, 12.0, 10.0), 1)
    if value is not None:
        view.apply_value("cf/c/east", value, 2)
    cells.home.observe_grants()
    world.enter().ctx.now = MonotonicTime(world.core.ctx.now + 3600.0)
    assert not cells.home._has_grant_expired("east")


# Reports about guest jobs


def cells_of_leader() -> Cells:
    """Return the cells part of north's leader, which has received a frame of east."""
    world = World()
    cells = Cells(config(), world.core)
    world.run(3.0)
    ctx = world.enter().ctx
    raw = encode_frame(
        frame(sent_at=ctx.wall_time, grants=(JOB_HANDLE,), revoked=(OTHER_HANDLES[1],))
    )
    assert cells.directory.receive_frame(raw, "127.0.1.1") is not None
    return cells


def reported_guests(cells: Cells) -> list[tuple[Handle, GuestStage]]:
    """Return the handle and stage of each job that the next frame to east reports."""
    filled = cells.guest.add_guest_part(frame(), cells.directory.cells["east"])
    return [(state.handle, state.stage) for state in filled.guests]


def test_a_job_that_home_lists_and_that_is_not_here_is_reported_as_released() -> None:
    cells = cells_of_leader()
    released = GuestStage.RELEASED
    assert reported_guests(cells) == [(JOB_HANDLE, released), (OTHER_HANDLES[1], released)]
    key = records.job_key(JOB_NAME)
    cells.core.view.store_record(key, guest_job(GuestStage.GRANTED), 10**6)
    assert reported_guests(cells) == [
        (JOB_HANDLE, GuestStage.GRANTED),
        (OTHER_HANDLES[1], released),
    ]


def test_nothing_is_reported_for_an_unreadable_record() -> None:
    """Guards against a job that is reported as released here or closed at home while it runs.

    An unreadable record does not show whether tasks run, so it must not count as missing.
    """
    cells = cells_of_leader()
    cells.core.view.apply_value(records.job_key(JOB_NAME), ["not", "a", "job"] * 9, 10**6)
    assert records.job_key(JOB_NAME) in cells.core.view.unreadable_keys
    assert reported_guests(cells) == []
    state = GuestState(JOB_HANDLE, GuestStage.FINISHED, 0, [], 0)
    raw = encode_frame(frame(sequence=2, sent_at=cells.core.ctx.wall_time, guests=(state,)))
    cell = cells.directory.receive_frame(raw, "127.0.1.1")
    assert cell is not None
    assert cells.home.add_home_part(frame(), cell).closed == ()
    cells.core.view.unreadable_keys.clear()
    assert cells.home.add_home_part(frame(), cell).closed == (JOB_HANDLE,)


@pytest.mark.parametrize(("held_s", "renewed"), [(5.0, True), (4.0, False)])
def test_a_grant_is_renewed_only_for_a_cell_that_acknowledged_it(
    held_s: float, renewed: bool
) -> None:
    """Guards against jobs kept for ever by a cell whose frames arrive but which receives none.

    Its grant has to expire, so that the jobs return home.
    """
    cells = cells_with_guest(GuestStage.GRANTED, 50.0)
    ctx, view = cells.core.ctx, cells.core.view
    delegation = Delegation("east", 1, DelegationStage.GRANTED, ctx.wall_time, "7-1")
    view.store_record(
        records.job_key(JobId("job-2")),
        JobRecord(spec(), ctx.wall_time, delegation=delegation),
        10**6,
    )
    view.store_record("cf/c/east", CellLink(ctx.wall_time + 5.0, 12.0, 10.0), 10**6 + 1)
    raw = encode_frame(frame(sent_at=ctx.wall_time, held_until=ctx.wall_time + held_s))
    cell = cells.directory.receive_frame(raw, "127.0.1.1")
    assert cell is not None
    cells.home._renew_grant(cell)
    assert ("c/east" in unwritten_keys(cells)) is renewed


# Preconditions in the guest cell


def cells_with_guest(stage: GuestStage, held_s: float) -> Cells:
    """Return the cells part of north's leader, which has a guest of east.

    Args:
        stage: Stage of the guest.
        held_s: Seconds until the grant held from east ends; negative if it has ended.
    """
    world = World()
    cells = Cells(config(), world.core)
    world.run(3.0)
    ctx, view = world.enter().ctx, world.core.view
    view.format_level = records.CELLS_LEVEL
    view.store_record(
        "cf/c/east", CellLink(held_until=ctx.wall_time + held_s, held_s=held_s), 10**6
    )
    view.store_record(records.job_key(JOB_NAME), guest_job(stage), 10**6)
    world.enter()
    return cells


def receive_frame(cells: Cells, sequence: int, **fields: Any) -> None:
    """Deliver a frame of east with these fields and run the guest part of the leader."""
    raw = encode_frame(frame(sequence=sequence, sent_at=cells.core.ctx.wall_time, **fields))
    assert cells.directory.receive_frame(raw, "127.0.1.1") is not None
    cells.guest.tick()


def unwritten_keys(cells: Cells) -> set[str]:
    """Return which of the link to east and the job have an edit waiting to be written."""
    keys = {key.removeprefix(records.ROOT) for key in cells.core.queue.waiting_edits}
    return keys & {"c/east", f"j/{JOB_NAME}"}


def test_a_longer_grant_is_recorded_only_after_jobs_that_it_omits_have_stopped() -> None:
    """Guards against a cancelled job that runs for longer than its last grant.

    Home omits it from later frames; recording their longer grant at once would extend it too.
    """
    cells = cells_with_guest(GuestStage.GRANTED, 5.0)
    later = cells.core.ctx.wall_time + 12.0
    receive_frame(cells, 1, granted_until=later)
    assert unwritten_keys(cells) == {f"j/{JOB_NAME}"}
    stopped = guest_job(GuestStage.RELEASED, status=records.CANCELLED)
    cells.core.view.store_record(records.job_key(JOB_NAME), stopped, 10**6 + 1)
    receive_frame(cells, 2, granted_until=later)
    assert "c/east" in unwritten_keys(cells)


def test_a_reservation_that_home_omits_is_removed_before_a_longer_grant_is_recorded() -> None:
    """Guards against a delayed grant that starts a job which home has given up here."""
    cells = cells_with_guest(GuestStage.RESERVED, 5.0)
    receive_frame(cells, 1, granted_until=cells.core.ctx.wall_time + 12.0)
    assert unwritten_keys(cells) == {f"j/{JOB_NAME}"}


def test_a_grant_is_accepted_only_after_its_end_is_recorded() -> None:
    cells = cells_with_guest(GuestStage.RESERVED, -1.0)
    until = cells.core.ctx.wall_time + 12.0
    receive_frame(cells, 1, granted_until=until, grants=(JOB_HANDLE,))
    assert unwritten_keys(cells) == {"c/east"}
    link = CellLink(held_until=until, held_s=12.0)
    cells.core.view.store_record("cf/c/east", link, 10**6 + 1)
    cells.core.set_time(cells.core.ctx.now, cells.core.ctx.wall_time)
    receive_frame(cells, 2, granted_until=until, grants=(JOB_HANDLE,))
    assert f"j/{JOB_NAME}" in unwritten_keys(cells)


@pytest.mark.parametrize(("held_s", "is_queued"), [(5.0, True), (-1.0, False)])
def test_a_guest_is_queued_only_under_a_grant(held_s: float, is_queued: bool) -> None:
    cells = cells_with_guest(GuestStage.GRANTED, held_s)
    leader = cells.core.leader
    names = [wait.name for wait in leader.list_queued_jobs(cells.port.new_quota_tracker())]
    assert (JOB_NAME in names) is is_queued
    assert ("grant has ended" in leader.waiting_reasons.get(JOB_NAME, "")) is not is_queued


@pytest.mark.parametrize("waited_s", [0.0, 130.0])
def test_guests_are_queued_after_own_jobs_for_their_first_two_minutes(waited_s: float) -> None:
    cells = cells_with_guest(GuestStage.GRANTED, 50.0)
    ctx, view = cells.core.ctx, cells.core.view
    guest = Guest("east", 1, "9-1", GuestStage.GRANTED, ctx.wall_time - waited_s)
    urgent = JobRecord(spec(Rank="urgent"), ctx.wall_time, guest=guest)
    view.store_record(records.job_key(JOB_NAME), urgent, 10**6 + 1)
    own = JobId("job-2")
    view.store_record(records.job_key(own), JobRecord(spec(NameId=own), ctx.wall_time), 10**6 + 1)
    order = [
        wait.name for wait in cells.core.leader.list_queued_jobs(cells.port.new_quota_tracker())
    ]
    assert order == ([own, JOB_NAME] if waited_s == 0.0 else [JOB_NAME, own])


def test_a_completed_guest_gang_is_finished_without_an_ending_record() -> None:
    """Guards against a completion that home never learns of.

    Only home writes the ending; one written in the guest cell would never reach home.
    """
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
        delegated_job(DelegationStage.OFFERED),
        delegated_job(DelegationStage.RUNNING),
        guest_job(GuestStage.RESERVED),
        guest_job(GuestStage.RELEASED),
    ],
)
def test_no_task_is_assigned_or_placed_in_a_stage_that_forbids_it(record: JobRecord) -> None:
    """Guards against a leader with an outdated view: the edit checks the stage in the record."""
    for change in (
        jobs.assign([jobs.Assignment(0, "n0", "a", "i-1")]),
        jobs.place_waiting("n0", [jobs.TaskRef(0, 0, "a", "i-1", 1)]),
        jobs.place_gang([("n0", "a", "i-1", 1)] * 4),
    ):
        with pytest.raises(NotApplicableError):
            change(record)
    assigned = [TaskEntry(0, ASSIGNED, 0, "n0", "a", "i-1")]
    with pytest.raises(NotApplicableError):
        jobs.place("n0", [jobs.TaskRef(0, 0, "a", "i-1", 1)])(
            msgspec.structs.replace(record, entries=assigned)
        )


# Records


def test_a_job_that_was_never_delegated_is_encoded_without_further_fields() -> None:
    plain = JobRecord(spec(), EPOCH)
    moved = msgspec.structs.replace(
        plain, delegation=Delegation("north", 1, DelegationStage.HOME, EPOCH)
    )
    assert len(codec.encode_record(plain, 1)) == 6
    for record in (plain, moved, guest_job(GuestStage.GRANTED)):
        key = records.job_key(JOB_NAME)
        assert codec.decode_record(key, codec.encode_record(record, 2)) == record


def test_team_usage_counts_a_delegated_job_at_home() -> None:
    view = View()
    key = records.job_key(JOB_NAME)
    view.store_record(key, JobRecord(spec(Pieces=4), EPOCH), 1)
    assert view.team_usage.get("blue", [0.0, 0.0])[1] == 0.0
    view.store_record(key, delegated_job(DelegationStage.OFFERED), 2)
    assert view.team_usage["blue"][1] == 4.0
    assert JOB_NAME not in view.waiting_jobs
    view.store_record(key, delegated_job(DelegationStage.RUNNING, status=records.CANCELLED), 3)
    assert view.team_usage["blue"][1] == 4.0  # until it is known to have ended
    view.store_record(key, delegated_job(DelegationStage.HOME), 4)
    assert view.team_usage["blue"][1] == 0.0
    assert JOB_NAME in view.waiting_jobs


def test_an_offer_counts_what_the_leader_is_about_to_place() -> None:
    """Otherwise the same rest of a team's limit is used here and offered to another cell."""
    cells = cells_of_leader()
    job = JobRecord(spec(Pieces=4), EPOCH)
    cells.core.view.store_record(records.job_key(JOB_NAME), job, 1)
    cells.core.ctx.placements_in_flight[(JOB_NAME, 0)] = ("i-000001", job.spec)
    assert cells.port.new_quota_tracker().usage_by_team["blue"][1] == job.spec.gpus


def test_the_leader_counts_an_offer_that_is_being_written() -> None:
    """Otherwise the rest of a team's limit is offered to another cell and used here too."""
    cells = cells_of_leader()
    core = cells.core
    job = JobRecord(spec(Pieces=4), EPOCH)
    core.view.store_record(records.job_key(JOB_NAME), job, 1)
    delegation = Delegation("east", 1, DelegationStage.OFFERED, EPOCH)
    assert cells.port.offer_job(JOB_NAME, edits.offer_job(delegation, EPOCH), "cell1")
    assert not cells.port.offer_job(JOB_NAME, edits.offer_job(delegation, EPOCH), "cell1")
    usage = [4 * job.spec.cpus, 4 * job.spec.gpus]
    assert count_team_usage(core.ctx)["blue"] == usage
    batch = core.queue.next_batch(core.ctx.now)
    assert batch is not None
    assert count_team_usage(core.ctx)["blue"] == usage
    core.queue.handle_success(batch, 10**6)
    assert core.view.jobs[JOB_NAME].is_delegated
    assert count_team_usage(core.ctx)["blue"] == usage
    assert not core.ctx.offers_in_flight


def test_a_guest_is_no_prerequisite_of_other_jobs() -> None:
    view = View()
    view.store_record(records.job_key(JOB_NAME), guest_job(GuestStage.GRANTED), 1)
    assert view.prerequisite_status(JOB_NAME) is None


# Spill policy


def candidate(**fields: Any) -> SpillCandidate:
    """Return a job of one task that waits 100 s at home and runs 60 s, with fields changed."""
    return SpillCandidate(JOB_NAME, spec(ImageGb=5.0), 1, 100.0, 60.0, 0.0007, None)._replace(
        **fields
    )


def move_reasons(item: SpillCandidate, *pools: PoolState, max_offers: int = 8) -> list[str]:
    """Return the reasons of the moves chosen for a job, with one other cell of these pools."""
    target = {"dublin": SpillTarget(PoolEstimator(pools), max_offers)}
    return [choice.reason for choice in choose_moves([item], target, config().spill, 0.0005)]


def test_a_job_moves_only_if_it_gains_more_than_the_move_costs() -> None:
    assert move_reasons(candidate(), pool())
    # A move costs 3 s for the handover and 10 s for the image, and has to gain 20 s (settings).
    assert move_reasons(candidate(home_wait_s=33.5), pool())
    assert not move_reasons(candidate(home_wait_s=32.5), pool())
    assert not move_reasons(candidate(), pool(free_slots=0.0, freed_slots_per_s=0.0))
    assert not move_reasons(candidate(), pool(), max_offers=0)


def test_a_more_expensive_slot_is_used_only_for_a_gain_that_exceeds_its_price() -> None:
    expensive = pool(price_per_slot_s=0.0017)
    assert move_cost_s(candidate(), PoolEstimator([expensive]), 0, 0.0005) == pytest.approx(
        13 + 120, rel=0.01
    )
    assert not move_reasons(candidate(), expensive)
    assert move_reasons(candidate(home_wait_s=160.0), expensive)


def test_a_job_moves_if_only_the_other_cell_meets_its_deadline() -> None:
    urgent = candidate(home_wait_s=25.0, deadline_in_s=80.0)
    assert move_reasons(urgent, pool()) == ["its deadline would be missed here"]
    assert not move_reasons(candidate(home_wait_s=25.0, deadline_in_s=200.0), pool())
    # Missed there too.
    assert not move_reasons(candidate(home_wait_s=25.0, deadline_in_s=50.0), pool())
    assert not move_reasons(
        candidate(home_wait_s=10.0, deadline_in_s=65.0), pool()
    )  # the move costs more than it gains


@pytest.mark.parametrize(
    "fields",
    [{"Site": "elsewhere"}, {"Builds": ["other"]}, {"Vcpus": 99.0}],
)
def test_a_job_stays_if_the_other_cell_lacks_what_it_requires(fields: dict[str, Any]) -> None:
    assert not move_reasons(candidate(spec=spec(**fields)), pool())


def test_a_job_is_not_offered_to_the_cell_that_it_just_returned_from() -> None:
    assert not move_reasons(candidate(excluded_cell="dublin"), pool())
    assert move_reasons(candidate(excluded_cell="cork"), pool())


def test_offers_stay_within_the_reported_free_slots() -> None:
    jobs = [candidate(name=JobId(f"job-{n}"), task_count=4) for n in range(9)]
    target = {"dublin": SpillTarget(PoolEstimator([pool(freed_slots_per_s=0.0)]), 8)}
    # Ten free slots, four tasks each.
    assert len(choose_moves(jobs, target, config().spill, 0.0005)) == 2


def test_the_expected_wait_follows_from_free_queued_and_growing_slots() -> None:
    one = spec(Accelerators=2.0)
    assert estimate_wait_s(one, 4, pool()) == 0.0
    assert estimate_wait_s(one, 4, pool(free_slots=2.0)) == pytest.approx(12.0)
    assert estimate_wait_s(one, 4, pool(free_slots=0.0, queued_slots=10.0)) == pytest.approx(36.0)
    booting = pool(free_slots=0.0, queued_slots=10.0, growth_slots=100.0)
    assert estimate_wait_s(one, 4, booting) == pytest.approx(26.0)
    assert estimate_wait_s(one, 4, booting._replace(growth_slots=10.0)) == pytest.approx(36.0)


# Measured waits


def test_estimated_waits_are_corrected_by_measured_waits() -> None:
    view = View()
    tracker = WaitTracker(view)
    for number in range(MIN_SAMPLES):
        name = JobId(f"job-{number}")
        view.store_record(records.job_key(name), JobRecord(spec(NameId=name), EPOCH), number + 1)
        tracker.record_estimate(name, EPOCH, 9.0)
        tracker.record_estimate(name, EPOCH + 5.0, 900.0)  # only the first estimate counts
        entry = TaskEntry(0, records.PLACED, 1, "n0", "a", "i-1", 1)
        started = JobRecord(spec(NameId=name), EPOCH, entries=[entry])
        view.store_record(records.job_key(name), started, number + 1000)
        assert tracker.correction_factor == 1.0
    tracker.record_started_jobs(MonotonicTime(100.0), EPOCH + 19.0)
    assert tracker.correction_factor == pytest.approx(2.0)
    summary = decode_summary(tracker.encode_histogram())
    assert summary is not None
    assert summary.total == MIN_SAMPLES
    assert summary.median == pytest.approx(19.0, rel=0.02)
    # Ignored: the job has tasks left but has started.
    tracker.record_estimate(JobId("job-0"), EPOCH + 20.0, 50.0)
    assert not tracker.estimates


@pytest.mark.parametrize("raw", [b"x", b"HISTFAAAAA", bytes(200)])
def test_bytes_that_are_no_histogram_have_no_summary(raw: bytes) -> None:
    assert decode_summary(raw) is None
