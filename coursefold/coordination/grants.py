"""Until when other cells' jobs may run here.

Each controller judges by itself, from the records that it has: without the state service,
and cut off from every other, its workers must end a guest's tasks all the same.
"""

from typing import NamedTuple

from coursefold.protocol.ids import Moment, WallTime
from coursefold.settings import CLOCK_DRIFT
from coursefold.storage.records import JobRecord
from coursefold.storage.view import View


class SeenGrant(NamedTuple):
    """A grant's end as recorded, and when this process first saw it."""

    held_until: float
    seen_at: Moment


class GrantExpiry:
    """Tells a lapsed grant by the time of day and by the steady clock, whichever is sooner."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.seen_grants: dict[str, SeenGrant] = {}

    def observe(self, now: Moment) -> None:
        """Note the grants that the records show; called whenever time is set."""
        for cell, link in self.view.links.items():
            known = self.seen_grants.get(cell)
            if known is None or known.held_until != link.held_until:
                self.seen_grants[cell] = SeenGrant(link.held_until, now)

    def has_expired(self, home: str, now: Moment, wall: WallTime) -> bool:
        """Has the home cell's grant ended?

        By the steady clock it ends no later than its whole span after it was first seen,
        wherever the time of day has been set to meanwhile.
        """
        link = self.view.links.get(home)
        seen = self.seen_grants.get(home)
        if link is None or seen is None or wall >= link.held_until:
            return True
        return now - seen.seen_at > link.held_s * CLOCK_DRIFT

    def has_job_grant_expired(self, job: JobRecord | None, now: Moment, wall: WallTime) -> bool:
        """Is this another cell's job whose grant has ended?"""
        return (
            job is not None
            and job.guest is not None
            and self.has_expired(job.guest.home, now, wall)
        )
