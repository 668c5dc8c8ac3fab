"""The core as cells see it: all that they ask of it and may do to it, in one place."""

from collections.abc import Iterable
from typing import NamedTuple

from coursefold.cells.estimate import PoolEstimator, compute_pool_state
from coursefold.cells.messages import PoolState
from coursefold.coordination.core import Core
from coursefold.coordination.placement import MachineOffering
from coursefold.coordination.quota import QuotaTracker, fits_team_limit
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.protocol.wire import Job
from coursefold.storage import records
from coursefold.storage.edits import NORMAL_PRIORITY, Change, Edit
from coursefold.storage.records import JobRecord, cell_link_key, job_key

QUEUE_REFRESH_INTERVAL_S = 0.9
MAX_GROWTH_SLOTS = 1e6  # slots: our own loop rents what our queue needs


class WaitingJob(NamedTuple):
    """A job that waits here, in queue order, and its expected wait."""

    name: JobId
    job: JobRecord
    task_count: int
    age_s: float
    expected_wait_s: float


class QueueState(NamedTuple):
    """What waits here, and the pools once all of it is on its way."""

    waiting_jobs: list[WaitingJob]
    pools: PoolEstimator
    pool_slots: list[float]  # slots of each pool


class CorePort:
    """One controller's core."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.ctx = core.ctx
        self.view = core.view
        self.queue_read_at = MonotonicTime(-1e9)
        self.last_queue = QueueState([], PoolEstimator([]), [])

    def is_leading(self) -> bool:
        """May this controller decide for its cell, in the forms that cells need?"""
        return self.ctx.is_leading() and self.view.format_level >= records.CELLS_LEVEL

    def new_quota_tracker(self) -> QuotaTracker:
        """The teams' limits and what is used of them now."""
        return QuotaTracker(self.ctx.settings.params.teams, self.view.team_usage)

    def explain_team_refusal(self, spec: Job, task_count: int) -> str:
        """Why this cell would not run a job of the team; empty if it would."""
        team = next((t for t in self.ctx.settings.params.teams if t.name == spec.team), None)
        if team is None:
            return f"team {spec.team} is not known here"
        if not fits_team_limit(team, spec, task_count if spec.kind == "ensemble" else 1):
            return f"the job needs more than the limit of team {spec.team} here"
        return ""

    def mean_run_s(self, spec: Job) -> float:
        """Mean run time of a task of the job's class, as far as is known."""
        return self.core.leader.run_times.mean_run_s(spec, self.ctx.now)

    def eta(self) -> float:
        """The weight of wait against cost."""
        return self.ctx.policy.parameters.eta

    def read_queue(self) -> QueueState:
        """What waits and the pools, looked at once a second for both sides."""
        if self.ctx.now - self.queue_read_at >= QUEUE_REFRESH_INTERVAL_S:
            self.queue_read_at, self.last_queue = self.ctx.now, self._compute_queue()
        waiting, pools, sizes = self.last_queue
        return QueueState(waiting, PoolEstimator(pools.states), sizes)

    def _compute_queue(self) -> QueueState:
        """Spread what waits over the pools in queue order: each job behind those before it."""
        pools = PoolEstimator(self._pool_states())
        waiting: list[WaitingJob] = []
        for queued in self.core.leader.list_queued_jobs(self.new_quota_tracker()):
            tasks = queued.job.waiting_count
            expected = pools.find_shortest_wait(queued.job.spec, tasks)
            if expected is None:
                continue
            pools.add_load(expected.pool_index, queued.job.spec, tasks)
            waiting.append(
                WaitingJob(queued.name, queued.job, tasks, queued.age_s, expected.wait_s)
            )
        demands = self.core.fleet.pool_control.demands.values()
        return QueueState(
            waiting, pools, [float(d.machine_count * d.slots_per_machine) for d in demands]
        )

    def _pool_states(self) -> Iterable[PoolState]:
        fleet = self.core.fleet
        for pool, demand in fleet.pool_control.demands.items():
            offerings = (
                MachineOffering(pool.machine_type, zone, pool.spot)
                for zone in demand.type_info.zones
            )
            # Not those that are blocked just now: a place that refused is asked again and
            # again, and counts as full until the cloud has filled a whole request there.
            can_grow = any(offering not in fleet.rentals.refusal_counts for offering in offerings)
            yield compute_pool_state(demand, MAX_GROWTH_SLOTS if can_grow else 0.0)

    def has_spare_write_rate(self) -> bool:
        """Is there room to write what is never urgent?"""
        return self.core.queue.has_spare_rate(self.ctx.now)

    def has_unreadable_record(self, name: JobId) -> bool:
        """Is there a record of the job that we can not read, or not yet?"""
        key = job_key(name)
        return key in self.view.unreadable_keys or self.view.has_missing_parts(key)

    def has_pending_change(self, name: JobId) -> bool:
        """Is a change of the job's record under way?"""
        return self.core.queue.is_busy(job_key(name))

    def list_jobs_being_placed(self) -> set[str]:
        """Jobs of which tasks get a place just now."""
        return {name for name, _ in self.ctx.placements_in_flight}

    def change_job(
        self, name: JobId, change: Change, tag: str, priority: int = NORMAL_PRIORITY
    ) -> bool:
        """Have a job's record changed; False while the same change is under way."""
        edit = Edit(
            job_key(name), change, priority=priority, fencing_token=self.view.fencing_token, tag=tag
        )
        return self.core.queue.propose(edit)

    def propose(self, edit: Edit) -> bool:
        """Have an edit written that wants to know its outcome."""
        return self.core.queue.propose(edit)

    def change_link(self, cell: str, change: Change, tag: str) -> bool:
        """Have the record of what is granted to and by another cell changed."""
        edit = Edit(cell_link_key(cell), change, fencing_token=self.view.fencing_token, tag=tag)
        return self.core.queue.propose(edit)
