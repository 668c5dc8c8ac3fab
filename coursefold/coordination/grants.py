"""Until when other cells' jobs may run here.

Each controller judges by itself, from the records that it has: without the state service,
and cut off from every other, its workers must end a guest's tasks all the same.
"""

from typing import NamedTuple

from coursefold.protocol.ids import MonotonicTime, WallTime
from coursefold.settings import CLOCK_DRIFT
from coursefold.storage.records import JobRecord
from coursefold.storage.view import View


class Seen(NamedTuple):
    """A grant's end as recorded, and when this process first saw it."""

    held_until: float
    at: MonotonicTime


class GrantClock:
    """Tells a lapsed grant by the time of day and by the steady clock, whichever is sooner."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.seen: dict[str, Seen] = {}

    def observe(self, now: MonotonicTime) -> None:
        """Note the grants that the records show; called whenever time is set."""
        for cell, link in self.view.links.items():
            known = self.seen.get(cell)
            if known is None or known.held_until != link.held_until:
                self.seen[cell] = Seen(link.held_until, now)

    def lapsed(self, home: str, now: MonotonicTime, wall: WallTime) -> bool:
        """Has the home cell's grant ended?

        By the steady clock it ends no later than its whole span after it was first seen,
        wherever the time of day has been set to meanwhile.
        """
        link = self.view.links.get(home)
        seen = self.seen.get(home)
        if link is None or seen is None or wall >= link.held_until:
            return True
        return now - seen.at > link.held_s * CLOCK_DRIFT

    def is_over(self, job: JobRecord | None, now: MonotonicTime, wall: WallTime) -> bool:
        """Is this another cell's job whose grant has ended?"""
        return (
            job is not None
            and job.guest is not None
            and self.lapsed(job.guest.home_cell, now, wall)
        )
