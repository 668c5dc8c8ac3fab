"""Late responses to workers' reports, and late copies of commands, in the simulated cluster."""

import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from coursefold.coordination.effects import SendCommands
from coursefold.protocol.wire import Command

if TYPE_CHECKING:
    from tests.fleet import Fleet
    from tests.fleet_worker import Worker

COPIES = 2  # of each message that is copied
COPY_DELAYS_S = (0.5, 3.0, 9.0, 25.0, 60.0)
MIN_SLOW_RESPONSE_S, MAX_SLOW_RESPONSE_S = 0.5, 3.9  # a worker waits for 4 s


class CopiedCommand(NamedTuple):
    """A kind of command in late copies: its way to the worker, and whether it was executed."""

    way: str  # "direct", or "response" to a report
    verb: str
    is_executed: bool


class ChangeBeforeCopy(Enum):
    """What may have changed before the copy of a start command reaches the worker."""

    CANCELLED = "the job was cancelled"
    MOVED = "the task is on another machine"
    FORGOTTEN = "the worker knows the attempt no more"
    NEW_SESSION = "the worker is in another session"
    NEW_TOKEN = "the machine has another owner, or the roster was changed"


class CommandCopies:
    """Draws which messages are late or come again, and counts what the copies meet.

    Attributes:
        share: Share of the messages with commands, in responses to reports or direct, of which
            copies arrive up to minutes later.
        slow_response_share: Share of the responses to reports that are late.
        commands: The commands in copies that reached a worker.
        changes: What had changed before copies of start commands reached a worker.
    """

    def __init__(self, world: "Fleet", seed: int) -> None:
        self.world = world
        self.share = self.slow_response_share = 0.0
        self.rng = random.Random(f"copies of {seed}")
        self.commands: Counter[CopiedCommand] = Counter()
        self.changes: Counter[ChangeBeforeCopy] = Counter()

    def response_delay_s(self) -> float:
        """Draw by how much the response to a report is late."""
        if self.slow_response_share and self.rng.random() < self.slow_response_share:
            return self.rng.uniform(MIN_SLOW_RESPONSE_S, MAX_SLOW_RESPONSE_S)
        return 0.0

    def maybe_deliver(self, deliver: Callable[[], None]) -> None:
        """Deliver late copies of a share of the messages with commands for workers."""
        if self.rng.random() < self.share:
            for delay_s in self.rng.sample(COPY_DELAYS_S, COPIES):
                self.world.after(delay_s * self.rng.uniform(0.8, 1.5), deliver)

    def count(self, way: str, worker: "Worker", sent: SendCommands, is_executed: bool) -> None:
        """Count the commands in a late copy that has reached a worker."""
        for command in sent.commands:
            self.commands[CopiedCommand(way, command.verb, is_executed)] += 1
            if command.verb == "run":
                self.changes.update(self._list_changes(worker, sent, command))

    def _list_changes(
        self, worker: "Worker", sent: SendCommands, command: Command
    ) -> list[ChangeBeforeCopy]:
        """Return what has changed since a start command was sent."""
        world = self.world
        job = world.jobs[command.task.partition("/")[0]]
        is_known = (command.task, command.attempt) in worker.tasks
        is_same_session = worker.session == sent.session
        place = world.placed_tasks.get(command.task)
        changes = {
            ChangeBeforeCopy.CANCELLED: job.cancelled_at >= 0,
            ChangeBeforeCopy.MOVED: place is not None and place[0] is not worker,
            ChangeBeforeCopy.FORGOTTEN: not is_known and is_same_session,
            ChangeBeforeCopy.NEW_SESSION: not is_same_session,
            ChangeBeforeCopy.NEW_TOKEN: worker.token > sent.token,
        }
        return [change for change, has_happened in changes.items() if has_happened]
