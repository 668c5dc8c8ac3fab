"""Ids, versions and times: small types of their own, so that they cannot be mixed up."""

import re
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
MemberName = NewType("MemberName", str)
Zone = NewType("Zone", str)
MachineTypeName = NewType("MachineTypeName", str)
Key = NewType("Key", str)

Token = NewType("Token", int)  # Stamp of the roster: who may give commands
KeyVersion = NewType("KeyVersion", int)  # revision of a key's last change
LeaseId = NewType("LeaseId", int)  # lease at the state service; a process's incarnation
Session = NewType("Session", int)  # the worker's `Shift`
SequenceNumber = NewType("SequenceNumber", int)
Attempt = NewType("Attempt", int)

MonotonicTime = NewType("MonotonicTime", float)  # steady clock, seconds
WallTime = NewType("WallTime", float)  # time of day, seconds

_JOB_ID = re.compile(r"job-[0-9]{1,32}")


class TaskId(NamedTuple):
    """`job-000412/3`."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


def is_job_id(text: str) -> bool:
    """True for ids in the documented form."""
    return _JOB_ID.fullmatch(text) is not None


def parse_task_id(text: str) -> TaskId | None:
    """A task's name as the workers write it, or None if it is none."""
    job, slash, index = text.partition("/")
    if not slash or not is_job_id(job) or not (index.isascii() and index.isdigit()):
        return None
    if len(index) > 6 or str(int(index)) != index:
        return None
    return TaskId(JobId(job), int(index))
