"""Expiry of the grants under which other cells' jobs may run in this cell.

Each controller checks expiry by itself, from its own records: when it is cut off from the state
service and from all other controllers, its workers must still end a guest job's tasks in time.
"""

from typing import NamedTuple

from coursefold.protocol.ids import MonotonicTime, WallTime
from coursefold.settings import CLOCK_DRIFT_FACTOR
from coursefold.storage.records import JobRecord
from coursefold.storage.view import View


class SeenGrant(NamedTuple):
    """The recorded end of a grant, and when this process first saw that record.

    Attributes:
        held_until: The grant's end as a time of day, in seconds since the epoch.
        seen_at: The time on the steady clock at which this end was first seen.
    """

    held_until: float
    seen_at: MonotonicTime


class GrantExpiry:
    """Decides whether a grant has expired, by the time of day or by the steady clock.

    The clock that reaches the end of the grant first decides.
    """

    def __init__(self, view: View) -> None:
        self.view = view
        self.seen_grants: dict[str, SeenGrant] = {}  # by home cell

    def observe(self, now: MonotonicTime) -> None:
        """Note when recorded grants were first seen; called whenever the core's time is set."""
        for cell, link in self.view.cell_links.items():
            known = self.seen_grants.get(cell)
            if known is None or known.held_until != link.held_until:
                self.seen_grants[cell] = SeenGrant(link.held_until, now)

    def has_expired(self, home: str, now: MonotonicTime, wall_time: WallTime) -> bool:
        """Return whether the home cell's grant has expired; True also if there is none.

        By the steady clock the grant ends at the latest when its full duration has passed since
        it was first seen, even if the time of day was set back in the meantime.
        """
        link = self.view.cell_links.get(home)
        seen = self.seen_grants.get(home)
        if link is None or seen is None or wall_time >= link.held_until:
            return True
        return now - seen.seen_at > link.held_s * CLOCK_DRIFT_FACTOR

    def has_job_grant_expired(
        self, job: JobRecord | None, now: MonotonicTime, wall_time: WallTime
    ) -> bool:
        """Return whether the job belongs to another cell whose grant has expired."""
        return (
            job is not None
            and job.guest is not None
            and self.has_expired(job.guest.home_cell, now, wall_time)
        )
