"""Which edits of a job's record may raise what its team uses: the leader's alone."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coursefold.coordination import jobs
from coursefold.coordination.jobs import TRANSITION_KINDS, Assignment, TaskRef, TaskTransition
from coursefold.protocol.wire import Job, decode, encode
from coursefold.storage.edits import NotApplicableError
from coursefold.storage.records import ASSIGNED, PLACED, STOPPING, JobRecord, TaskEntry
from tests.world import JOB

TASK_COUNT = 4
SPEC = decode(encode(JOB | {"NameId": "job-1", "Pieces": TASK_COUNT}), Job)
OWNERS = ("n0", "n1")
ZONES = ("a", "b")
MACHINES = ("i-1", "i-2")

numbers = st.integers(0, TASK_COUNT - 1)
entries = st.builds(
    TaskEntry,
    index=numbers,
    stage=st.sampled_from([ASSIGNED, PLACED, STOPPING]),
    attempt=st.integers(0, 3),
    owner=st.sampled_from(OWNERS),
    zone=st.sampled_from(ZONES),
    machine=st.sampled_from(MACHINES),
    session=st.just(1),
)
job_records = st.builds(
    JobRecord,
    spec=st.just(SPEC),
    accepted_at=st.just(0.0),
    attempt=st.just(3),
    entries=st.lists(entries, max_size=TASK_COUNT, unique_by=lambda entry: entry.index),
    done_ranges=st.sampled_from([[], [(0, 0)], [(1, 2)]]),
)
tasks = st.builds(
    TaskRef,
    number=numbers,
    attempt=st.integers(0, 3),
    zone=st.sampled_from(ZONES),
    machine=st.sampled_from(MACHINES),
    session=st.just(1),
)
transitions = st.builds(
    TaskTransition,
    kind=st.sampled_from(sorted(TRANSITION_KINDS)),
    tasks=st.lists(tasks, min_size=1, max_size=3).map(tuple),
    owner=st.sampled_from(OWNERS),
)


@settings(max_examples=500)
@given(job_records, st.lists(transitions, min_size=1, max_size=6))
def test_no_transition_of_an_owner_raises_what_a_job_uses(
    job: JobRecord, proposed: list[TaskTransition]
) -> None:
    """Whatever an owner proposes, however late and however often, only the leader adds use."""
    for transition in proposed:
        task_count = job.quota_task_count
        try:
            result = transition.to_change()(job)
        except NotApplicableError:
            continue
        if not isinstance(result, JobRecord):
            return
        job = result
        assert job.quota_task_count <= task_count


def test_a_placement_applied_again_after_its_task_is_gone_changes_nothing() -> None:
    assigned = jobs.assign([Assignment(0, "n1", "a", "i-1")])(JobRecord(SPEC, 0.0))
    place = jobs.place("n1", [TaskRef(0, 0, "a", "i-1", 1)])
    placed = place(assigned if isinstance(assigned, JobRecord) else None)
    assert isinstance(placed, JobRecord)
    gone = jobs.mark_gone(0, "i-1", 1)(placed)
    assert isinstance(gone, JobRecord)
    assert not gone.entries
    with pytest.raises(NotApplicableError):
        place(gone)


def test_a_late_placement_is_not_used_in_another_zone_than_the_new_assignment() -> None:
    """The leader chooses zones for jobs that are spread over zones or stay in one."""
    assigned_elsewhere = JobRecord(SPEC, 0.0, entries=[TaskEntry(0, ASSIGNED, 1, "n1", "b", "i-2")])
    with pytest.raises(NotApplicableError):
        jobs.place("n1", [TaskRef(0, 0, "a", "i-1", 1)])(assigned_elsewhere)
