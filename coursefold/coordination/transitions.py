"""Steps of tasks that an owner has written, by the leader or by itself."""

from collections.abc import Callable

from coursefold.coordination import jobs
from coursefold.coordination.context import Context
from coursefold.protocol.ids import JobId
from coursefold.storage.edits import SOON, Edit
from coursefold.storage.records import Entry, job_key

ForwardTransition = Callable[[JobId, jobs.TaskTransition, Edit], bool]


class TransitionProposer:
    """Proposes steps; `forward` brings them to the leader."""

    def __init__(self, ctx: Context, forward: ForwardTransition) -> None:
        self.ctx, self.forward = ctx, forward

    def propose(
        self, job_id: JobId, kind: str, entry: Entry, tag: str, *, machine: str = "",
        rank: int = SOON,
    ) -> bool:  # fmt: skip
        """Have one task's step written; False if it is under way already."""
        task = jobs.TaskRef(entry.index, entry.attempt, machine=machine)
        return self.write(
            job_id, jobs.TaskTransition(kind, (task,), self.ctx.me, self.ctx.wall), tag, rank
        )

    def write(
        self,
        job_id: JobId,
        step: jobs.TaskTransition,
        tag: str,
        rank: int = SOON,
        done: Callable[[bool, str], None] | None = None,
    ) -> bool:
        """Have a step of a job written; False if one with the same tag is under way."""
        edit = Edit(
            job_key(job_id),
            step.to_change(),
            rank=rank,
            fence=self.ctx.view.token,
            tag=tag,
            done=done,
        )
        return self.forward(job_id, step, edit)
