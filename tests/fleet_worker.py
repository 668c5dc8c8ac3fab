"""A machine and its agent in the simulated fleet, by the protocol."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from coursefold.coordination.effects import Response
from coursefold.protocol.wire import Command, encode
from tests.fleet_jobs import RuleBrokenError, Task

if TYPE_CHECKING:
    from tests.fleet import Fleet

FETCH_S = 4.0


class Worker:
    """One machine and its agent, by the protocol."""

    def __init__(self, world: "Fleet", id: str, zone: str, spot: bool, up_at: float) -> None:
        self.world, self.id, self.zone, self.spot = world, id, zone, spot
        self.up_at, self.gone, self.responses_lost_until, self.cut_until = up_at, False, 0.0, 0.0
        self.hung_until = self.reports_lost_until = 0.0
        self.session, self.sequence, self.token = 1, 0, 0
        self.lease_started_at = up_at
        self.tasks: dict[str, Task] = {}
        self.node = world.rng.randrange(world.size)
        self.is_report_scheduled = False
        self.request_number = 0
        self.change_reported_at = -1e9

    def next_report(self) -> bytes:
        self.sequence += 1
        return encode(
            {
                "Box": self.id, "Addr": self.id, "Build": "g2", "Site": self.zone,
                "Loaners": self.spot, "Shift": self.session, "Counter": self.sequence,
                "Baton": self.token, "RecallS": None,
                "Pieces": [t.to_report_row() for t in self.tasks.values()],
            }
        )  # fmt: skip

    def report(self) -> None:
        world = self.world
        if self.gone or self.defer_while_hung(self.report):
            return
        self.expire_lease()
        self.request_number += 1
        flight, sent = self.request_number, world.now
        body = self.next_report()
        target = self.node

        def back(answer: Response | None) -> None:
            if self.gone or flight != self.request_number:
                return
            if not self.defer_while_hung(lambda: back(answer)):
                self._handle_answer(answer, sent)

        def send() -> None:
            world.request(
                target, lambda core, t: core.handle_report(body, t), back, self._receives_responses
            )

        if world.now < max(self.cut_until, self.reports_lost_until):
            pass
        elif (held := world.zone_delay_s(self.zone, world.nodes[target].zone)) > 0:
            world.after(held, send)  # let go with all the others, when nobody waits for it
        else:
            world.maybe_duplicate_report(self, body)
            send()
        world.after(4.0, lambda: back(None) if flight == self.request_number else None)

    def defer_while_hung(self, work: Callable[[], None]) -> bool:
        """A hanging machine does nothing, and goes on as if no time had passed."""
        if self.world.now >= self.hung_until:
            return False
        self.world.after(self.hung_until - self.world.now, work)
        return True

    def _receives_responses(self) -> bool:
        return not self.gone and self.world.now >= max(self.responses_lost_until, self.cut_until)

    def _schedule_report(self, pause: float) -> None:
        self.request_number += 1
        flight = self.request_number
        self.world.after(pause, lambda: self.report() if flight == self.request_number else None)

    def _handle_answer(self, answer: Response | None, sent: float) -> None:
        world = self.world
        if answer is not None and answer.status == 200:
            if answer.body["Baton"] >= self.token and sent >= self.lease_started_at:
                self.token = answer.body["Baton"]
                self.lease_started_at = sent
                self.execute(answer.body["Orders"])
            self._schedule_report(world.rng.uniform(0.75, 1.25) * world.timing["report_s"])
            return
        owner = answer.body.get("Foreman") if answer is not None and answer.status == 421 else None
        if owner and owner != f"n{self.node}":
            self.node = int(owner[1:])
            self._schedule_report(world.rng.uniform(0.0, 0.5))
        else:
            self.node = (self.node + 1) % world.size
            self._schedule_report(1.0)

    def expire_lease(self) -> None:
        """Kill everything when the last answered report is too old."""
        world = self.world
        while world.now > self.lease_started_at + world.timing["lease_s"]:
            self.lease_started_at += world.timing["lease_s"]
            self.session += 1
            for task in list(self.tasks.values()):
                self.world.task_leaves(self, task)
            self.tasks.clear()

    def execute(self, orders: list[Command]) -> None:
        world = self.world
        for order in orders:
            task = self.tasks.get(order.task)
            if order.verb == "run":
                if task is not None and task.attempt == order.attempt:
                    continue
                if task is not None:
                    raise RuleBrokenError(
                        f"{order.task} sent to {self.id}, which has another attempt"
                    )
                job, number = order.task.split("/")
                if order.task not in world.tasks_of(job):
                    raise RuleBrokenError(f"{order.task} is no task")
                world.run_received(world.jobs[job])
                fetch = world.rng.uniform(0.0, FETCH_S)
                new = Task(world.jobs[job], int(number), order.attempt, world.now, fetch)
                self.tasks[order.task] = new
                world.after(fetch, lambda new=new: self._image_fetched(new))  # type: ignore[misc]
            elif task is not None and task.attempt == order.attempt:
                if order.verb == "forget" and task.state == "exited":
                    del self.tasks[order.task]
                elif order.verb == "stop" and task.state != "exited":
                    world.task_stopped(order)
                    self._exit(task, "halted")
                    world.break_gang(task)

    def _has_live_task(self, task: Task) -> bool:
        self.expire_lease()
        return not self.gone and self.tasks.get(task.name) is task and task.state != "exited"

    def _image_fetched(self, task: Task) -> None:
        if self.defer_while_hung(lambda: self._image_fetched(task)) or not self._has_live_task(
            task
        ):
            return
        if task.number in task.job.done or (task.job.is_gang and task.job.done):
            self._exit(task, "done")
            return
        task.state = "gathering" if task.job.is_gang else "running"
        self.world.task_starts(self, task)
        self._schedule_change_report()

    def begin(self, task: Task, run_s: float) -> None:
        task.state = "running"
        self.world.after(run_s, lambda: self._finished(task))
        self._schedule_change_report()

    def _finished(self, task: Task) -> None:
        if self.defer_while_hung(lambda: self._finished(task)):
            return
        if self._has_live_task(task) and task.state == "running":
            task.job.done.add(task.number)
            self.world.task_ending(task.job)
            self._exit(task, "done")
            if task.job.is_gang:
                self.world.finish_gang(task)

    def _exit(self, task: Task, cause: str) -> None:
        self.world.task_leaves(self, task)
        task.state, task.cause = "exited", cause
        self._schedule_change_report()

    def end(self, task: Task, cause: str) -> None:
        if self._has_live_task(task):
            self._exit(task, cause)

    def _schedule_change_report(self) -> None:
        if not self.is_report_scheduled and self.request_number >= 0:
            self.is_report_scheduled = True
            self.world.after(0.5, self._report_soon)

    def _report_soon(self) -> None:
        self.is_report_scheduled = False
        if not self.gone and self.world.now - self.change_reported_at > 0.5:
            self.change_reported_at = self.world.now
            self.report()

    def kill(self) -> None:
        """The machine is gone, and everything on it."""
        if not self.gone:
            self.gone = True
            for task in self.tasks.values():
                self.world.task_leaves(self, task)
