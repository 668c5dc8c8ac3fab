"""Jobs that need other jobs: who waits for whom, kept up to date by what changes.

A job that waits has no task, and a job that is done cannot be cancelled. So whatever
needs a cancelled job, directly or through others, never ran and never will: that it is
cancelled follows from the records alone. Every node derives it at once and for good;
writing the endings down is left for when there is time.

News come in any order: what a job needs may be seen after it, and need not be held at
all (an ending that has moved). Nothing here forgets that a need was met.
"""

from coursefold.protocol.ids import JobId
from coursefold.storage.records import CANCELLED, DONE, LIVE


class PrerequisiteIndex:
    """The live jobs that need others, and what is still open of it."""

    def __init__(self) -> None:
        # Dictionaries serve as ordered sets: runs repeat exactly.
        self.dependents: dict[JobId, dict[JobId, None]] = {}  # a job, and those that need it
        self.open_dependents: dict[JobId, dict[JobId, None]] = {}  # the same, of those not over
        self.open_prerequisites: dict[
            JobId, dict[JobId, None]
        ] = {}  # a waiting job, and what it waits for
        self.prerequisites: dict[JobId, list[JobId]] = {}
        self.cancelled: dict[JobId, None] = {}  # live by its record, cancelled with what it needs
        self.ready_at: dict[JobId, float] = {}  # when the last need was done
        self.version = 0  # raised whenever who needs whom changes

    def is_blocked(self, name: JobId) -> bool:
        """True while none of the job's tasks may be dealt."""
        return name in self.open_prerequisites or name in self.cancelled

    def is_cancelled(self, name: JobId) -> bool:
        """Is the job cancelled with one that it needs?"""
        return name in self.cancelled

    def has_dependents(self, name: JobId) -> bool:
        """True while a live job's record names this one."""
        return name in self.dependents

    def add_job(
        self, name: JobId, needs: list[str], over: dict[JobId, tuple[int, float]]
    ) -> list[JobId]:
        """A live job's record names what it needs; `over` says what of it has ended, and when.

        What that frees or cancels is returned, the job itself among it.
        """
        self.remove_job(name)
        self.version += 1
        self.prerequisites[name] = [JobId(need) for need in needs]
        self.open_prerequisites[name] = dict.fromkeys(self.prerequisites[name])
        for need in self.prerequisites[name]:
            self.dependents.setdefault(need, {})[name] = None
            self.open_dependents.setdefault(need, {})[name] = None
        return [
            job
            for need, (status, at) in over.items()
            for job in self.record_ending(need, status, at)
        ]

    def remove_job(self, name: JobId) -> None:
        """The job is over, cancelled, or may start: its record names nothing any more."""
        for need in self.prerequisites.pop(name, ()):
            for index in (self.dependents, self.open_dependents):
                there = index.get(need)
                if there is not None:
                    there.pop(name, None)
                    if not there:
                        del index[need]
        self.open_prerequisites.pop(name, None)
        self.ready_at.pop(name, None)
        self.cancelled.pop(name, None)
        self.version += 1

    def record_ending(self, name: JobId, status: int, at: float) -> list[JobId]:
        """A job is over: which of those that need it does that free, or cancel?"""
        if status == LIVE:
            return []
        waiting = list(self.open_dependents.pop(name, ()))
        if status == DONE:
            freed = []
            for job in waiting:
                left = self.open_prerequisites.get(job)
                if left is None:
                    continue
                left.pop(name, None)
                self.ready_at[job] = max(at, self.ready_at.get(job, 0.0))
                if not left:
                    del self.open_prerequisites[job]
                    freed.append(job)
            return freed
        assert status == CANCELLED
        found: list[JobId] = []
        while waiting:
            job = waiting.pop()
            if job not in self.cancelled and job in self.prerequisites:
                self.cancelled[job] = None
                self.open_prerequisites.pop(job, None)
                found.append(job)
                waiting.extend(self.open_dependents.get(job, ()))
        return found
