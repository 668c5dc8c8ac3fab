"""The only interface through which the cells package reads and changes the core."""

from collections.abc import Iterable
from typing import NamedTuple

from coursefold.cells.estimate import PoolEstimator, compute_pool_state
from coursefold.cells.messages import PoolState
from coursefold.coordination.core import Core
from coursefold.coordination.placement import MachineOffering
from coursefold.coordination.quota import QuotaTracker, fits_team_limit
from coursefold.coordination.team_usage import count_team_usage
from coursefold.protocol.ids import JobId, MonotonicTime
from coursefold.protocol.wire import Job
from coursefold.storage import records
from coursefold.storage.edits import NORMAL_PRIORITY, Change, Edit
from coursefold.storage.records import JobRecord, cell_link_key, job_key

QUEUE_REFRESH_INTERVAL_S = 0.9
MAX_GROWTH_SLOTS = 1e6  # no limit in practice: the pools rent what the local queue needs


class WaitingJob(NamedTuple):
    """A job that waits in this cell.

    Attributes:
        task_count: Its waiting tasks.
        age_s: Seconds that it has waited so far.
        expected_wait_s: Further seconds until all waiting tasks are expected to start.
    """

    name: JobId
    job: JobRecord
    task_count: int
    age_s: float
    expected_wait_s: float


class QueueState(NamedTuple):
    """The waiting jobs in queue order, and the pools with the load of all of them added."""

    waiting_jobs: list[WaitingJob]
    pools: PoolEstimator
    pool_slots: list[float]  # all slots of each pool, in the order of the pools


class CorePort:
    """Gives both sides of handovers access to one controller's core."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.ctx = core.ctx
        self.view = core.view
        self.queue_read_at = MonotonicTime(-1e9)
        self.last_queue = QueueState([], PoolEstimator([]), [])

    def is_leading(self) -> bool:
        """Return whether this controller leads and records of cells may be written."""
        return self.ctx.is_leading() and self.view.format_level >= records.CELLS_LEVEL

    def new_quota_tracker(self) -> QuotaTracker:
        """Return a tracker of the teams' limits and their use, what is being written included."""
        return QuotaTracker(self.ctx.settings.params.teams, count_team_usage(self.ctx))

    def explain_team_refusal(self, spec: Job, task_count: int) -> str:
        """Return why this cell would not run the job for its team; empty if it would."""
        team = next((t for t in self.ctx.settings.params.teams if t.name == spec.team), None)
        if team is None:
            return f"team {spec.team} is not known here"
        if not fits_team_limit(team, spec, task_count if spec.kind == "ensemble" else 1):
            return f"the job needs more than the limit of team {spec.team} here"
        return ""

    def mean_run_s(self, spec: Job) -> float:
        """Return the mean run time of tasks of the job's class, as far as is known."""
        return self.core.leader.run_times.mean_run_s(spec, self.ctx.now)

    def eta(self) -> float:
        """Return the policy's η, the weight of the wait against the cost."""
        return self.ctx.policy.parameters.eta

    def read_queue(self) -> QueueState:
        """Return the queue, computed about once a second; the pools are a copy that may change."""
        if self.ctx.now - self.queue_read_at >= QUEUE_REFRESH_INTERVAL_S:
            self.queue_read_at, self.last_queue = self.ctx.now, self._compute_queue()
        waiting, pools, sizes = self.last_queue
        return QueueState(waiting, PoolEstimator(pools.states), sizes)

    def _compute_queue(self) -> QueueState:
        """Assign the waiting jobs to pools in queue order, each behind the jobs before it."""
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
        """Yield the state of each pool before waiting jobs are added."""
        fleet = self.core.fleet
        for pool, demand in fleet.pool_control.demands.items():
            offerings = (
                MachineOffering(pool.machine_type, zone, pool.spot)
                for zone in demand.type_info.zones
            )
            # An offering that refused counts as full until the cloud has filled a whole request
            # there. Whether it is blocked now does not tell this, as requests are retried.
            can_grow = any(offering not in fleet.rentals.refusal_counts for offering in offerings)
            yield compute_pool_state(demand, MAX_GROWTH_SLOTS if can_grow else 0.0)

    def has_spare_write_rate(self) -> bool:
        """Return whether the write queue has a spare rate for writes that are never urgent."""
        return self.core.queue.has_spare_rate(self.ctx.now)

    def has_unreadable_record(self, name: JobId) -> bool:
        """Return whether a record of the job exists that cannot be read, or not yet."""
        key = job_key(name)
        return key in self.view.unreadable_keys or self.view.has_missing_parts(key)

    def has_unreadable_link(self, cell: str) -> bool:
        """Return whether the newest record of grants to and from the cell cannot be read."""
        return cell_link_key(cell) in self.view.unreadable_keys

    def has_pending_change(self, name: JobId) -> bool:
        """Return whether a change of the job's record is in flight."""
        return self.core.queue.is_busy(job_key(name))

    def list_jobs_being_placed(self) -> set[str]:
        """Return the jobs with placements in flight."""
        return {name for name, _ in self.ctx.placements_in_flight}

    def change_job(
        self, name: JobId, change: Change, tag: str, priority: int = NORMAL_PRIORITY
    ) -> bool:
        """Propose a change of a job's record; False while the same change is in flight."""
        edit = Edit(
            job_key(name), change, priority=priority, fencing_token=self.view.fencing_token, tag=tag
        )
        return self.core.queue.propose(edit)

    def offer_job(self, name: JobId, change: Change, tag: str) -> bool:
        """Propose an offer of a job to another cell; False while the same offer is in flight.

        Until its outcome is known the job's tasks count against its team's limit.
        """

        def end_count(ok: bool, why: str) -> None:
            self.ctx.offers_in_flight.discard(name)

        token = self.view.fencing_token
        edit = Edit(job_key(name), change, fencing_token=token, tag=tag, on_settled=end_count)
        if not self.core.queue.propose(edit):
            return False
        self.ctx.offers_in_flight.add(name)
        return True

    def propose(self, edit: Edit) -> bool:
        """Propose an edit, for callers that need its outcome."""
        return self.core.queue.propose(edit)

    def change_link(self, cell: str, change: Change, tag: str) -> bool:
        """Propose a change of the record of grants to and from another cell."""
        edit = Edit(cell_link_key(cell), change, fencing_token=self.view.fencing_token, tag=tag)
        return self.core.queue.propose(edit)
