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
        self.up_at, self.gone, self.deaf_until, self.cut_until = up_at, False, 0.0, 0.0
        self.hung_until = self.mute_until = 0.0
        self.session, self.counter, self.token = 1, 0, 0
        self.lease_from = up_at
        self.tasks: dict[str, Task] = {}
        self.node = world.rng.randrange(world.size)
        self.soon = False
        self.flight = 0
        self.told_at = -1e9

    def body(self) -> bytes:
        self.counter += 1
        return encode(
            {
                "Box": self.id, "Addr": self.id, "Build": "g2", "Site": self.zone,
                "Loaners": self.spot, "Shift": self.session, "Counter": self.counter,
                "Baton": self.token, "RecallS": None,
                "Pieces": [t.row() for t in self.tasks.values()],
            }
        )  # fmt: skip

    def report(self) -> None:
        world = self.world
        if self.gone or self._hangs(self.report):
            return
        self._lease()
        self.flight += 1
        flight, sent = self.flight, world.now
        body = self.body()
        target = self.node

        def back(answer: Response | None) -> None:
            if self.gone or flight != self.flight:
                return
            if not self._hangs(lambda: back(answer)):
                self._answered(answer, sent)

        def send() -> None:
            world.request(target, lambda core, t: core.handle_report(body, t), back, self._hears)

        if world.now < max(self.cut_until, self.mute_until):
            pass
        elif (held := world.held(self.zone, world.nodes[target].zone)) > 0:
            world.after(held, send)  # let go with all the others, when nobody waits for it
        else:
            world.copies(self, body)
            send()
        world.after(4.0, lambda: back(None) if flight == self.flight else None)

    def _hangs(self, work: Callable[[], None]) -> bool:
        """A hanging machine does nothing, and goes on as if no time had passed."""
        if self.world.now >= self.hung_until:
            return False
        self.world.after(self.hung_until - self.world.now, work)
        return True

    def _hears(self) -> bool:
        return not self.gone and self.world.now >= max(self.deaf_until, self.cut_until)

    def _next(self, pause: float) -> None:
        self.flight += 1
        flight = self.flight
        self.world.after(pause, lambda: self.report() if flight == self.flight else None)

    def _answered(self, answer: Response | None, sent: float) -> None:
        world = self.world
        if answer is not None and answer.status == 200:
            if answer.body["Baton"] >= self.token and sent >= self.lease_from:
                self.token = answer.body["Baton"]
                self.lease_from = sent
                self.execute(answer.body["Orders"])
            self._next(world.rng.uniform(0.75, 1.25) * world.timing["report_s"])
            return
        owner = answer.body.get("Foreman") if answer is not None and answer.status == 421 else None
        if owner and owner != f"n{self.node}":
            self.node = int(owner[1:])
            self._next(world.rng.uniform(0.0, 0.5))
        else:
            self.node = (self.node + 1) % world.size
            self._next(1.0)

    def _lease(self) -> None:
        """Kill everything when the last answered report is too old."""
        world = self.world
        while world.now > self.lease_from + world.timing["lease_s"]:
            self.lease_from += world.timing["lease_s"]
            self.session += 1
            for task in list(self.tasks.values()):
                self.world.leaves(self, task)
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
                world.told_to_run(world.jobs[job])
                fetch = world.rng.uniform(0.0, FETCH_S)
                new = Task(world.jobs[job], int(number), order.attempt, world.now, fetch)
                self.tasks[order.task] = new
                world.after(fetch, lambda new=new: self._ready(new))  # type: ignore[misc]
            elif task is not None and task.attempt == order.attempt:
                if order.verb == "forget" and task.state == "exited":
                    del self.tasks[order.task]
                elif order.verb == "stop" and task.state != "exited":
                    world.stopped(order)
                    self._exit(task, "halted")
                    world.gang_broken(task)

    def _here(self, task: Task) -> bool:
        self._lease()
        return not self.gone and self.tasks.get(task.name) is task and task.state != "exited"

    def _ready(self, task: Task) -> None:
        if self._hangs(lambda: self._ready(task)) or not self._here(task):
            return
        if task.number in task.job.done or (task.job.gang and task.job.done):
            self._exit(task, "done")
            return
        task.state = "gathering" if task.job.gang else "running"
        self.world.starts(self, task)
        self._changed()

    def begin(self, task: Task, run_s: float) -> None:
        task.state = "running"
        self.world.after(run_s, lambda: self._finished(task))
        self._changed()

    def _finished(self, task: Task) -> None:
        if self._hangs(lambda: self._finished(task)):
            return
        if self._here(task) and task.state == "running":
            task.job.done.add(task.number)
            self.world.ending(task.job)
            self._exit(task, "done")
            if task.job.gang:
                self.world.gang_done(task)

    def _exit(self, task: Task, cause: str) -> None:
        self.world.leaves(self, task)
        task.state, task.cause = "exited", cause
        self._changed()

    def end(self, task: Task, cause: str) -> None:
        if self._here(task):
            self._exit(task, cause)

    def _changed(self) -> None:
        if not self.soon and self.flight >= 0:
            self.soon = True
            self.world.after(0.5, self._report_soon)

    def _report_soon(self) -> None:
        self.soon = False
        if not self.gone and self.world.now - self.told_at > 0.5:
            self.told_at = self.world.now
            self.report()

    def kill(self) -> None:
        """The machine is gone, and everything on it."""
        if not self.gone:
            self.gone = True
            for task in self.tasks.values():
                self.world.leaves(self, task)
