"""Proposes task transitions for an owner; the leader or the owner itself writes them."""

from collections.abc import Callable

from coursefold.coordination import jobs
from coursefold.coordination.context import Context
from coursefold.protocol.ids import JobId
from coursefold.storage.edits import NORMAL_PRIORITY, Edit, EditOrigin
from coursefold.storage.records import TaskEntry, job_key

ForwardTransition = Callable[[JobId, jobs.TaskTransition, Edit], bool]


class TransitionProposer:
    """Proposes task transitions; `forward` passes them to the leader or to the own queue."""

    def __init__(self, ctx: Context, forward: ForwardTransition) -> None:
        self.ctx, self.forward = ctx, forward

    def propose(
        self, job_id: JobId, kind: str, entry: TaskEntry, tag: str, *, machine: str = "",
        priority: int = NORMAL_PRIORITY,
    ) -> bool:  # fmt: skip
        """Propose a transition of one task.

        Args:
            job_id: The task's job.
            kind: The kind of transition, one of `jobs.TRANSITION_KINDS` except "place".
            entry: The task's entry in the job's record.
            tag: Within the job, the same for repetitions of the same transition.
            machine: The task's machine, for kinds that need it.
            priority: The edit's priority in the commit queue.

        Returns:
            False if a transition with the same tag is under way already.
        """
        task = jobs.TaskRef(entry.index, entry.attempt, machine=machine)
        return self.propose_transition(
            job_id,
            jobs.TaskTransition(kind, (task,), self.ctx.own_name, self.ctx.wall_time),
            tag,
            priority,
        )

    def propose_transition(
        self,
        job_id: JobId,
        transition: jobs.TaskTransition,
        tag: str,
        priority: int = NORMAL_PRIORITY,
        on_settled: Callable[[bool, str], None] | None = None,
    ) -> bool:
        """Propose a transition.

        Args:
            job_id: The job whose record changes.
            transition: The transition.
            tag: Within the job, the same for repetitions of the same transition; empty if
                each one counts.
            priority: The edit's priority in the commit queue.
            on_settled: Called with the outcome: whether the edit was committed, and if not, why.

        Returns:
            False if a transition with the same tag is under way already.
        """
        edit = Edit(
            job_key(job_id),
            transition.to_change(),
            priority=priority,
            fencing_token=self.ctx.view.fencing_token,
            tag=tag,
            on_settled=on_settled,
            origin=EditOrigin(transition.kind, self.ctx.own_name),
        )
        return self.forward(job_id, transition, edit)
