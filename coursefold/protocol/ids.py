"""Types for ids, versions and points in time, so that a type checker finds mixed-up arguments."""

import re
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
MemberName = NewType("MemberName", str)  # a controller
Zone = NewType("Zone", str)
MachineTypeName = NewType("MachineTypeName", str)
Key = NewType("Key", str)  # of the state service

Token = NewType("Token", int)  # fencing token: the version of the roster's key
KeyVersion = NewType("KeyVersion", int)  # the revision in which a key was last changed
LeaseId = NewType("LeaseId", int)  # at the state service; identifies a controller's process
Session = NewType("Session", int)  # of a worker's process; `Shift` on the wire
SequenceNumber = NewType("SequenceNumber", int)  # of a worker's reports within a session
Attempt = NewType("Attempt", int)

MonotonicTime = NewType("MonotonicTime", float)  # seconds on a clock that is never set
WallTime = NewType("WallTime", float)  # time of day, in seconds since the epoch

_JOB_ID = re.compile(r"job-[0-9]{1,32}")


class TaskId(NamedTuple):
    """A task of a job, written as `job-000412/3`; tasks are numbered from 0."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


def is_job_id(text: str) -> bool:
    """Return whether the text is `job-` followed by 1 to 32 digits."""
    return _JOB_ID.fullmatch(text) is not None


def parse_task_id(text: str) -> TaskId | None:
    """Parse a task's id as workers write it; returns None if the text is not one.

    The number has at most six digits and no leading zeros.
    """
    job, slash, index = text.partition("/")
    if not slash or not is_job_id(job) or not (index.isascii() and index.isdigit()):
        return None
    if len(index) > 6 or str(int(index)) != index:
        return None
    return TaskId(JobId(job), int(index))
