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


class Needs:
    """The live jobs that need others, and what is still open of it."""

    def __init__(self) -> None:
        # Dictionaries serve as ordered sets: runs repeat exactly.
        self.by: dict[JobId, dict[JobId, None]] = {}  # a job, and those that need it
        self.open: dict[JobId, dict[JobId, None]] = {}  # the same, of those not over
        self.left: dict[JobId, dict[JobId, None]] = {}  # a waiting job, and what it waits for
        self.of: dict[JobId, list[JobId]] = {}
        self.doomed: dict[JobId, None] = {}  # live by its record, cancelled with what it needs
        self.ready: dict[JobId, float] = {}  # when the last need was done
        self.version = 0  # raised whenever who needs whom changes

    def holds(self, name: JobId) -> bool:
        """True while none of the job's tasks may be dealt."""
        return name in self.left or name in self.doomed

    def is_doomed(self, name: JobId) -> bool:
        """Is the job cancelled with one that it needs?"""
        return name in self.doomed

    def named(self, name: JobId) -> bool:
        """True while a live job's record names this one."""
        return name in self.by

    def add(
        self, name: JobId, needs: list[str], over: dict[JobId, tuple[int, float]]
    ) -> list[JobId]:
        """A live job's record names what it needs; `over` says what of it has ended, and when.

        What that frees or cancels is returned, the job itself among it.
        """
        self.remove(name)
        self.version += 1
        self.of[name] = [JobId(need) for need in needs]
        self.left[name] = dict.fromkeys(self.of[name])
        for need in self.of[name]:
            self.by.setdefault(need, {})[name] = None
            self.open.setdefault(need, {})[name] = None
        return [job for need, (status, at) in over.items() for job in self.ended(need, status, at)]

    def remove(self, name: JobId) -> None:
        """The job is over, cancelled, or may start: its record names nothing any more."""
        for need in self.of.pop(name, ()):
            for index in (self.by, self.open):
                there = index.get(need)
                if there is not None:
                    there.pop(name, None)
                    if not there:
                        del index[need]
        self.left.pop(name, None)
        self.ready.pop(name, None)
        self.doomed.pop(name, None)
        self.version += 1

    def ended(self, name: JobId, status: int, at: float) -> list[JobId]:
        """A job is over: which of those that need it does that free, or cancel?"""
        if status == LIVE:
            return []
        waiting = list(self.open.pop(name, ()))
        if status == DONE:
            freed = []
            for job in waiting:
                left = self.left.get(job)
                if left is None:
                    continue
                left.pop(name, None)
                self.ready[job] = max(at, self.ready.get(job, 0.0))
                if not left:
                    del self.left[job]
                    freed.append(job)
            return freed
        assert status == CANCELLED
        found: list[JobId] = []
        while waiting:
            job = waiting.pop()
            if job not in self.doomed and job in self.of:
                self.doomed[job] = None
                self.left.pop(job, None)
                found.append(job)
                waiting.extend(self.open.get(job, ()))
        return found
