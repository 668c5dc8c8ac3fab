"""A starting controller loads every record but archived endings, whatever is written meanwhile."""

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursefold.protocol.ids import JobId, MemberName
from coursefold.protocol.wire import Catalog, Job, KeyRows, WatchResponse, decode, encode
from coursefold.service import Service
from coursefold.storage import codec, records
from coursefold.storage.cell_records import CellLink
from coursefold.storage.loading import (
    IncompleteLoadError,
    PageRequest,
    RecordLoader,
    apply_changes,
)
from coursefold.storage.records import (
    Ending,
    FormatLevel,
    JobRecord,
    MemberRecord,
    MemberVersion,
    PoolRecord,
    Roster,
)
from coursefold.storage.share_records import MachineOwnership, MoveMode, MoveStage, ShareRequest
from coursefold.storage.view import View
from tests.standins.state import StateStore
from tests.test_loopback import create_settings, find_free_ports
from tests.world import CATALOG, JOB

SPEC = decode(encode(JOB | {"NameId": "job-1"}), Job)
TYPES = decode(encode(CATALOG), Catalog)

# One record under every kind of key that a controller keeps in memory.
RECORDS: dict[str, msgspec.Struct] = {
    records.ROSTER_KEY: Roster("n0", [MemberRecord("n0", 1, "a")]),
    records.CATALOG_KEY: TYPES,
    records.MACHINE_TYPES_KEY: TYPES,
    records.FORMAT_LEVEL_KEY: FormatLevel(records.NEWEST_LEVEL),
    records.job_key(JobId("job-1")): JobRecord(SPEC, 0.0),
    records.job_key(JobId("job-2")): Ending(records.DONE, 1),  # not archived yet
    records.member_key(MemberName("n0")): MemberRecord("n0", 1, "a"),
    records.pool_key("g2/spot"): PoolRecord(),
    records.cell_link_key("north"): CellLink(granted_until=1.0, granted_s=1.0),
    records.ownership_key("i-1"): MachineOwnership(1, MoveStage.SETTLED),
    records.share_request_key("r-1"): ShareRequest(
        "n0", "n1", "g2", "", 1, 0, 1, MoveMode.FINISH, 0.0, 1.0
    ),
    records.version_key("n0"): MemberVersion(records.NEWEST_LEVEL, 1),
}


def new_store(ending_count: int) -> StateStore:
    """Return a state service with one record of each kind and archived endings."""
    store = StateStore()
    for key, record in RECORDS.items():
        store.set(key, codec.encode_record(record))
    for number in range(ending_count):
        store.set(records.ending_key(JobId(f"job-{number}")), [records.DONE, 1])
    return store


def read_page(store: StateStore, request: PageRequest) -> KeyRows:
    return msgspec.convert(store.page(*request), KeyRows)


def test_every_kind_of_record_has_a_case_here() -> None:
    """A kind that is added later has to be added above too."""
    prefixes = [prefix for prefix in codec.RECORD_TYPES if prefix != records.ENDING_PREFIX]
    assert all(any(key.startswith(prefix) for key in RECORDS) for prefix in prefixes)


@pytest.mark.parametrize("page_size", [1, 2, 5, 1000])
@pytest.mark.parametrize("ending_count", [0, 1, 40])
def test_every_kind_of_record_is_loaded(page_size: int, ending_count: int) -> None:
    """Guards against a kind that a starting controller takes for absent, as grants once were."""
    store = new_store(ending_count)
    loader, view = RecordLoader(page_size), View()
    while (request := loader.next_request()) is not None:
        loader.receive_page(read_page(store, request))
    loader.store_in(view)
    assert set(view.records_by_key) == set(RECORDS)
    assert view.cell_links == {"north": CellLink(granted_until=1.0, granted_s=1.0)}
    assert view.revision == store.revision


def test_a_service_loads_every_kind_of_record() -> None:
    """The process uses the loader that the simulated controllers use."""

    class StateClientOfStore:
        async def list_page(self, request: PageRequest) -> KeyRows:
            return read_page(store, request)

    store = new_store(3)

    async def load() -> View:
        service = Service(create_settings(0, find_free_ports(8)))
        service.state_client = StateClientOfStore()  # type: ignore[assignment]
        await service._load_records()
        return service.core.view

    assert set(asyncio.run(load()).records_by_key) == set(RECORDS)


def test_archived_endings_are_not_read_one_by_one() -> None:
    """At most one page holds endings that are not kept."""
    store = new_store(500)
    loader, page_count = RecordLoader(10), 0
    while (request := loader.next_request()) is not None:
        loader.receive_page(read_page(store, request))
        page_count += 1
    assert page_count <= 3


def test_a_load_that_is_not_whole_changes_nothing() -> None:
    """A record that is missing from a partial load would count as absent."""
    view = View()
    loader = RecordLoader(2)
    request = loader.next_request()
    assert request is not None
    loader.receive_page(read_page(new_store(0), request))
    with pytest.raises(IncompleteLoadError):
        loader.store_in(view)
    with pytest.raises(IncompleteLoadError):
        loader.receive_page(KeyRows([], True, 9))
    assert not view.is_loaded
    assert view.records_by_key == {}


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 30)), max_size=40), st.integers(1, 4))
def test_a_load_with_writes_between_its_pages_ends_up_as_the_state_service(
    writes: list[tuple[bool, int]], page_size: int
) -> None:
    """The pages are no snapshot; the changes since the first page bring the rest."""
    store, loader, view = new_store(2), RecordLoader(page_size), View()
    remaining = list(writes)
    while (request := loader.next_request()) is not None:
        loader.receive_page(read_page(store, request))
        for is_removal, number in remaining[:2]:
            key = records.job_key(JobId(f"job-{number}"))
            if is_removal:
                store.commit(0.0, {"Then": [{"Remove": key}]})
            else:
                store.set(key, codec.encode_record(JobRecord(SPEC, float(number))))
        del remaining[:2]
    loader.store_in(view)
    changes = {"Ledger": store.revision, "News": store.since(view.revision, records.ROOT)}
    apply_changes(view, msgspec.convert(changes, WatchResponse))
    stored = {key: version for key, (_, version, _) in store.keys.items() if "/e/" not in key}
    assert {key: row.version for key, row in view.records_by_key.items()} == stored
    assert view.revision == store.revision
