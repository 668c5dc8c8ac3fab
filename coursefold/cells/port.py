"""The core as cells see it: all that they ask of it and may do to it, in one place."""

from collections.abc import Iterable
from typing import NamedTuple

from coursefold.cells.estimate import Pools, pool_state
from coursefold.cells.messages import PoolState
from coursefold.coordination.core import Core
from coursefold.coordination.placement import MachineOffering
from coursefold.coordination.quota import QuotaTracker, fits_team_limit
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.protocol.wire import Job
from coursefold.storage import records
from coursefold.storage.edits import NORMAL_PRIORITY, Change, Edit
from coursefold.storage.records import JobRecord, cell_link_key, job_key

QUEUE_EVERY_S = 0.9
MOST_GROWTH = 1e6  # slots: our own loop rents what our queue needs


class WaitingJob(NamedTuple):
    """A job that waits here, in queue order, and its expected wait."""

    name: JobId
    job: JobRecord
    tasks: int
    age: float
    expected_s: float


class Queue(NamedTuple):
    """What waits here, and the pools once all of it is on its way."""

    waiting: list[WaitingJob]
    pools: Pools
    sizes: list[float]  # slots of each pool


class CorePort:
    """One controller's core."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.ctx = core.ctx
        self.view = core.view
        self.queue_at = MonotonicTime(-1e9)
        self.last_queue = Queue([], Pools([]), [])

    def leads(self) -> bool:
        """May this controller decide for its cell, in the forms that cells need?"""
        return self.ctx.is_leading() and self.view.format_level >= records.CELLS_LEVEL

    def quota(self) -> QuotaTracker:
        """The teams' limits and what is used of them now."""
        return QuotaTracker(self.ctx.settings.params.teams, self.view.team_usage)

    def team_has_room(self, spec: Job, tasks: int) -> str:
        """Why this cell would not run a job of the team; empty if it would."""
        team = next((t for t in self.ctx.settings.params.teams if t.name == spec.team), None)
        if team is None:
            return f"team {spec.team} is not known here"
        if not fits_team_limit(team, spec, tasks if spec.kind == "ensemble" else 1):
            return f"the job needs more than the limit of team {spec.team} here"
        return ""

    def run_s(self, spec: Job) -> float:
        """Mean run time of a task of the job's class, as far as is known."""
        return self.core.leader.run_times.mean_run_s(spec, self.ctx.now)

    def eta(self) -> float:
        """The weight of wait against cost."""
        return self.ctx.policy.parameters.eta

    def queue(self) -> Queue:
        """What waits and the pools, looked at once a second for both sides."""
        if self.ctx.now - self.queue_at >= QUEUE_EVERY_S:
            self.queue_at, self.last_queue = self.ctx.now, self._look()
        waiting, pools, sizes = self.last_queue
        return Queue(waiting, Pools(pools.states), sizes)

    def _look(self) -> Queue:
        """Spread what waits over the pools in queue order: each job behind those before it."""
        pools = Pools(self._pool_states())
        waiting: list[WaitingJob] = []
        for wait in self.core.leader.list_queued_jobs(self.quota()):
            tasks = wait.job.waiting_count
            expected = pools.best(wait.job.spec, tasks)
            if expected is None:
                continue
            pools.take(expected.pool, wait.job.spec, tasks)
            waiting.append(WaitingJob(wait.name, wait.job, tasks, wait.age_s, expected.wait))
        demands = self.core.fleet.pool_control.demands.values()
        return Queue(
            waiting, pools, [float(d.machine_count * d.slots_per_machine) for d in demands]
        )

    def _pool_states(self) -> Iterable[PoolState]:
        fleet = self.core.fleet
        for pool, demand in fleet.pool_control.demands.items():
            places = (
                MachineOffering(pool.machine_type, zone, pool.spot)
                for zone in demand.type_info.zones
            )
            # Not those that are blocked just now: a place that refused is asked again and
            # again, and counts as full until the cloud has filled a whole request there.
            grows = any(place not in fleet.rentals.refusal_counts for place in places)
            yield pool_state(demand, MOST_GROWTH if grows else 0.0)

    def is_idle(self) -> bool:
        """Is there room to write what is never urgent?"""
        return self.core.queue.has_spare_rate(self.ctx.now)

    def is_unclear(self, name: JobId) -> bool:
        """Is there a record of the job that we can not read, or not yet?"""
        key = job_key(name)
        return key in self.view.unreadable_keys or self.view.has_missing_parts(key)

    def is_writing(self, name: JobId) -> bool:
        """Is a change of the job's record under way?"""
        return self.core.queue.is_busy(job_key(name))

    def about_to_be_placed(self) -> set[str]:
        """Jobs of which tasks get a place just now."""
        return {name for name, _ in self.ctx.placements_in_flight}

    def change_job(
        self, name: JobId, change: Change, tag: str, rank: int = NORMAL_PRIORITY
    ) -> bool:
        """Have a job's record changed; False while the same change is under way."""
        edit = Edit(
            job_key(name), change, priority=rank, fencing_token=self.view.fencing_token, tag=tag
        )
        return self.core.queue.propose(edit)

    def propose(self, edit: Edit) -> bool:
        """Have an edit written that wants to know its outcome."""
        return self.core.queue.propose(edit)

    def change_link(self, cell: str, change: Change, tag: str) -> bool:
        """Have the record of what is granted to and by another cell changed."""
        edit = Edit(cell_link_key(cell), change, fencing_token=self.view.fencing_token, tag=tag)
        return self.core.queue.propose(edit)
