"""Index of the jobs that have other jobs as prerequisites.

A job with open prerequisites has no task, and a job that is done cannot be cancelled. So
whatever depends on a cancelled job, directly or through others, never ran and never will: its
cancellation follows from the records alone. Every controller derives it at once and for good;
the endings are written later, when the commit queue has spare rate.

Updates arrive in any order: a prerequisite may be seen after the job that names it, and may
not be held at all (its ending has been archived). The index never forgets that a prerequisite
was met.
"""

from coursefold.protocol.ids import JobId
from coursefold.storage.records import CANCELLED, DONE, LIVE


class PrerequisiteIndex:
    """The live jobs that have prerequisites, and which of these are still open.

    Attributes:
        dependents: Per job, the live jobs that name it as a prerequisite.
        open_dependents: The same, only for jobs that have not ended.
        open_prerequisites: Per blocked job, the prerequisites that are not done yet.
        prerequisites: Per live job, all prerequisites that its record names.
        cancelled: Jobs that are live by their record but cancelled with a prerequisite.
        ready_at: When a job's latest prerequisite was done, as a wall-clock time in seconds.
        version: A number that is raised whenever prerequisites are added or removed.
    """

    def __init__(self) -> None:
        # Dictionaries serve as ordered sets, so that simulated runs repeat exactly.
        self.dependents: dict[JobId, dict[JobId, None]] = {}
        self.open_dependents: dict[JobId, dict[JobId, None]] = {}
        self.open_prerequisites: dict[JobId, dict[JobId, None]] = {}
        self.prerequisites: dict[JobId, list[JobId]] = {}
        self.cancelled: dict[JobId, None] = {}
        self.ready_at: dict[JobId, float] = {}
        self.version = 0

    def is_blocked(self, name: JobId) -> bool:
        """Return whether none of the job's tasks may be assigned."""
        return name in self.open_prerequisites or name in self.cancelled

    def is_cancelled(self, name: JobId) -> bool:
        """Return whether the job is cancelled with one of its prerequisites."""
        return name in self.cancelled

    def has_dependents(self, name: JobId) -> bool:
        """Return whether a live job's record names this job as a prerequisite."""
        return name in self.dependents

    def add_job(
        self, name: JobId, prerequisites: list[str], ended: dict[JobId, tuple[int, float]]
    ) -> list[JobId]:
        """Add a live job with the prerequisites that its record names.

        Args:
            name: The job.
            prerequisites: The jobs that its record names.
            ended: Those of them that have ended, with their status and the time of the ending.

        Returns:
            The jobs that may start now or are cancelled by it, possibly including `name`.
        """
        self.remove_job(name)
        self.version += 1
        self.prerequisites[name] = [JobId(prerequisite) for prerequisite in prerequisites]
        self.open_prerequisites[name] = dict.fromkeys(self.prerequisites[name])
        for prerequisite in self.prerequisites[name]:
            self.dependents.setdefault(prerequisite, {})[name] = None
            self.open_dependents.setdefault(prerequisite, {})[name] = None
        return [
            job
            for prerequisite, (status, ended_at) in ended.items()
            for job in self.record_ending(prerequisite, status, ended_at)
        ]

    def remove_job(self, name: JobId) -> None:
        """Remove a job that has ended, is cancelled, or has no prerequisites any more."""
        for prerequisite in self.prerequisites.pop(name, ()):
            for index in (self.dependents, self.open_dependents):
                jobs = index.get(prerequisite)
                if jobs is not None:
                    jobs.pop(name, None)
                    if not jobs:
                        del index[prerequisite]
        self.open_prerequisites.pop(name, None)
        self.ready_at.pop(name, None)
        self.cancelled.pop(name, None)
        self.version += 1

    def record_ending(self, name: JobId, status: int, ended_at: float) -> list[JobId]:
        """Record that a job has ended, and return the jobs that this unblocks or cancels.

        A status of LIVE changes nothing. `ended_at` is 0 where the time is not known.
        """
        if status == LIVE:
            return []
        dependents = list(self.open_dependents.pop(name, ()))
        if status == DONE:
            unblocked = []
            for job in dependents:
                open_prerequisites = self.open_prerequisites.get(job)
                if open_prerequisites is None:
                    continue
                open_prerequisites.pop(name, None)
                self.ready_at[job] = max(ended_at, self.ready_at.get(job, 0.0))
                if not open_prerequisites:
                    del self.open_prerequisites[job]
                    unblocked.append(job)
            return unblocked
        assert status == CANCELLED
        cancelled: list[JobId] = []
        while dependents:
            job = dependents.pop()
            if job not in self.cancelled and job in self.prerequisites:
                self.cancelled[job] = None
                self.open_prerequisites.pop(job, None)
                cancelled.append(job)
                dependents.extend(self.open_dependents.get(job, ()))
        return cancelled
