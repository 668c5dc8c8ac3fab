"""Simulate a cluster: controllers, hundreds of workers, a cloud and a state service.

All random values come from one seed and events are executed in order of their time, so
that a run can be repeated exactly. The test sets the faults. The rules of the protocol are
checked whenever a task starts and whenever a user gets a response.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any

import msgspec

from coursefold.coordination.core import Core
from coursefold.coordination.effects import CloudCall, Response, SendCommands
from coursefold.protocol.wire import Command, encode
from coursefold.storage import records
from tests.fleet_copies import CommandCopies
from tests.fleet_jobs import RuleBrokenError, Task, UserJob
from tests.fleet_limits import TeamLimits, TeamUse
from tests.fleet_node import ZONES, Node
from tests.fleet_users import User
from tests.fleet_worker import Worker
from tests.production import OURS, Version
from tests.standins.state import StateStore
from tests.world import CATALOG, JOB, SETTINGS

__all__ = ["NODES", "ZONES", "Fleet", "Node", "RuleBrokenError", "Task", "UserJob", "Worker"]

BOOT_S = 12.0
LIST_LAG_S = 3.0
NODES = 5


class Fleet:
    """A simulated cluster with one clock.

    `run` executes the events up to a point in time. It raises `RuleBrokenError` when a rule of
    the protocol is broken. Times are in simulated seconds.

    Attributes:
        size: Number of controllers.
        sent_changes: Number of changes in the transactions sent, by version.
        refused_transaction_count: Transactions that the state service rejected as invalid.
        outage_until: The state service is unavailable to all controllers until then.
        cloud_down_until: The cloud answers 503 until then.
        peers_refused_until: Controllers can't connect to each other until then.
        leases_extended_at: End of the last outage of the state service after which all leases
            got their full duration again.
        lost_commits: Share of commits whose response is lost.
        lost_commit_delay_s: A commit whose response is lost is carried out within this time.
        lost_commit_min_delay_s: It is not carried out earlier than after this time.
        slow_read_share: Share of the reads of single keys whose response is late.
        slow_read_s: A late response to such a read arrives within this time.
        duplicate_share: Share of workers' reports of which a late copy is delivered.
        kept_share: Share of workers' reports that are added to `kept_reports`.
        kept_reports: Copies of reports, delivered later by `deliver_kept_reports`.
        copies: Late responses to reports, and late copies of commands for workers.
        cancel_at_end_share: Share of ending tasks whose job is cancelled at that moment.
        quick_boot_share: Share of machines that boot_s within 2 s.
        request_sent_at: When the request was sent whose response is being handled.
        rechecks_answers: Whether each new status of a job is checked at every controller.
        rechecked_count: Number of responses to these checks.
        cancelled_at_end_count: Number of jobs cancelled while one of their tasks ended.
        rejected_job_count: Number of invalid jobs that were rejected as required.
        runs_after_cancellation: Run commands for jobs whose cancellation had been confirmed:
            seconds since the confirmation, and the job.
        cut_zone: Zone that is cut off from the others until `zone_cut_until`.
        capacity: Machines that the cloud can still rent out, by zone and spot.
        rentals: Names of the rented machines, by rental id.
        placed_tasks: The tasks that are on a machine, with their worker, by task name.
        team_use: What the tasks on machines use, by team.
        team_limits: What each team may use at most.
        started_count: Number of task starts.
    """

    def __init__(
        self,
        seed: int,
        capacity: int = 300,
        version: Version = OURS,
        nodes: int = NODES,
        **params: Any,
    ) -> None:
        self.size = nodes
        self.version = version
        self.sent_changes = {"ours": 0, "production": 0}
        self.refused_transaction_count = 0
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], object]]] = []
        self.event_count = 0
        self.params = SETTINGS["params"] | params
        self.timing: dict[str, float] = self.params["workers"]
        self.store = StateStore()
        self.store.set(records.CATALOG_KEY, msgspec.to_builtins(self._catalog()))
        self.outage_until = self.cloud_down_until = self.peers_refused_until = 0.0
        self.leases_extended_at = 0.0
        self.lost_commits = self.duplicate_share = 0.0
        self.lost_commit_min_delay_s, self.lost_commit_delay_s = 0.0, 9.0
        self.slow_read_share, self.slow_read_s = 0.0, 1.4
        self.kept_share = self.cancel_at_end_share = self.quick_boot_share = 0.0
        self.kept_reports: list[bytes] = []
        self.copies = CommandCopies(self, seed)
        self.request_sent_at = 0.0
        self.rechecks_answers = False
        self.rechecked_count = self.cancelled_at_end_count = self.rejected_job_count = 0
        self.runs_after_cancellation: list[tuple[float, str]] = []
        self.cut_zone, self.zone_cut_until = "", 0.0
        self.capacity = {(zone, spot): capacity // 4 for zone in ZONES for spot in (False, True)}
        self.workers: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}
        self.jobs: dict[str, UserJob] = {}
        self.placed_tasks: dict[str, tuple[Worker, Task]] = {}
        self.team_use = TeamUse()
        self.team_limits = TeamLimits(self.params["teams"])
        self.started_count = 0
        self.nodes: list[Node] = []
        for number in range(nodes):
            self.nodes.append(Node(self, number))

    @staticmethod
    def _catalog() -> Any:
        from coursefold.protocol.wire import Catalog

        return msgspec.convert(CATALOG, Catalog)

    def node_started(self, node: Node) -> None:
        """Hook for subclasses, called when a controller's process starts."""

    # Time

    def after(self, delay: float, work: Callable[[], object]) -> None:
        """Schedule a call `delay` seconds from now."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, work))

    def run(self, until: float) -> None:
        """Execute all events up to the time `until`."""
        while self.events and self.events[0][0] <= until:
            self.now, _, work = heapq.heappop(self.events)
            work()
        self.now = until

    # Messages

    def request(
        self,
        node: int,
        send: Callable[[Any, int], None],
        on_response: Callable[[Response | None], None],
        can_receive: Callable[[], bool],
    ) -> None:
        """Send a request to a controller; the request and its response take up to 10 ms each.

        Args:
            node: Number of the controller.
            send: Calls the core with the ticket of the request.
            on_response: Called with the response, or with None if the controller is down.
            can_receive: Returns whether the client can receive a response now.
        """
        asked_at = self.now

        def answered(answer: Response | None) -> None:
            if can_receive():
                self.request_sent_at = asked_at
                on_response(answer)

        def arrive() -> None:
            controller = self.nodes[node]
            if controller.up and controller.defer_while_frozen(arrive):
                return
            if not controller.up:
                self.after(0.001, lambda: on_response(None) if can_receive() else None)
                return
            controller.tickets += 1
            controller.pending_requests[controller.tickets] = lambda answer: self.after(
                self.rng.uniform(0.001, 0.01), lambda: answered(answer)
            )
            send(controller.enter(), controller.tickets)
            controller.flush()

        self.after(self.rng.uniform(0.001, 0.01), arrive)

    def maybe_duplicate_report(self, worker: Worker, body: bytes) -> None:
        """Deliver a late copy of some reports to any controller, and keep copies of some.

        The responses to these copies are dropped.
        """
        if self.rng.random() < self.duplicate_share:
            node = self.rng.randrange(self.size)
            delay = self.rng.choice([0.5, 3.0, 9.0, 25.0]) * self.rng.uniform(0.8, 1.5)
            self.after(
                delay,
                lambda: self.request(
                    node, lambda core, t: core.handle_report(body, t), lambda _: None, lambda: True
                ),
            )

        if self.rng.random() < self.kept_share:
            self.kept_reports.append(body)

    def deliver_kept_reports(self) -> int:
        """Send the kept reports to every controller and return their number.

        The responses are dropped.
        """
        kept, self.kept_reports = self.kept_reports, []
        for body in kept:
            for number in range(self.size):
                self.request(
                    number,
                    lambda core, t, body=body: core.handle_report(body, t),  # type: ignore[misc]
                    lambda _: None,
                    lambda: True,
                )
        return len(kept)

    def zone_delay_s(self, one: str, other: str) -> float:
        """Return for how long a message between two zones is delayed; 0 without a cut."""
        return (
            self.zone_cut_until - self.now
            if (one == self.cut_zone) != (other == self.cut_zone)
            else 0.0
        )

    def can_connect(self, node: Node, other: int) -> bool:
        """Return whether a controller can send frames to another one now."""
        target = self.nodes[other]
        cut = max(node.cut_until, target.cut_until, self.peers_refused_until)
        return target.up and self.now >= cut

    def send_commands(self, node: Node, commands: SendCommands) -> None:
        """Send commands to a worker's own address; some come late, get lost or come twice."""
        for _ in range(self.rng.choice([1, 1, 1, 2])):
            delay_s = self.rng.choice([0.005, 0.005, 0.005, 6.0])
            self.after(delay_s, lambda: self.receive_commands(node, commands))
        self.copies.maybe_deliver(lambda: self.receive_commands(node, commands, is_copy=True))

    def receive_commands(self, node: Node, commands: SendCommands, is_copy: bool = False) -> None:
        """Let a worker receive commands at its own address, from this controller."""
        worker = self.workers.get(commands.address)
        if worker is not None and worker.defer_while_hung(
            lambda: self.receive_commands(node, commands, is_copy)
        ):
            return
        if (
            worker is None
            or worker.gone
            or self.now < max(worker.responses_lost_until, worker.cut_until, node.workers_cut_until)
        ):
            return
        worker.expire_lease()
        matches = commands.token >= worker.token and commands.session == worker.session
        if is_copy:
            self.copies.count("direct", worker, commands, matches)
        if matches:
            worker.token = max(worker.token, commands.token)
            worker.sequence += 1
            worker.execute(commands.commands, is_copy)

    def copy_response(self, worker: Worker, answer: Response, deliver: Callable[[], None]) -> None:
        """Deliver late copies of some responses to reports; no report awaits them any more."""
        self.copies.maybe_deliver(deliver)

    # Cloud

    def cloud_call(self, node: Node, call: CloudCall) -> None:
        """Carry out a controller's cloud call; the response comes 0.2 s later."""
        incarnation = node.incarnation

        def answer(status: int, body: Any) -> None:
            def deliver() -> None:
                if (
                    node.incarnation == incarnation
                    and node.up
                    and not node.defer_while_frozen(deliver)
                ):
                    node.enter().receive_cloud_response(call.call_id, status, encode(body))
                    node.flush()

            self.after(0.2, deliver)

        if self.now < max(self.cloud_down_until, node.cut_until):
            answer(503, {"error": "trouble"})
        elif call.verb == "catalog":
            answer(200, CATALOG)
        elif call.verb == "list":
            answer(200, self._list(call.body))
        elif call.verb == "hire":
            self._hire(call.body, answer)
        else:
            for name in call.body["Boxes"]:
                worker = self.workers.get(name)
                if worker is not None and not worker.gone:
                    worker.kill()
                    self.capacity[(worker.zone, worker.spot)] += 1
            answer(200, {})

    def _list(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return a page of the machine list as it was some seconds ago."""
        lag_s = LIST_LAG_S * self.rng.uniform(0.5, 2.0)
        rows = [
            {
                "NameId": worker.id, "Addr": worker.id, "Build": "g2", "Site": worker.zone,
                "Loaners": worker.spot,
                "Status": "running" if self.now - lag_s >= worker.up_at else "starting",
                "HeldS": max(0.0, self.now - lag_s - worker.up_at + BOOT_S),
            }
            for worker in self.workers.values()
            if not worker.gone
            and self.now - lag_s >= worker.up_at - BOOT_S
            and worker.id > body.get("From", "")
        ]  # fmt: skip
        rows.sort(key=lambda row: str(row["NameId"]))
        page = body["Page"]
        return {"Boxes": rows[:page], "More": len(rows) > page}

    def _hire(self, body: dict[str, Any], answer: Callable[[int, Any], None]) -> None:
        """Rent out machines; a repeated rental id gets the same machines again."""
        if body["Hire"] in self.rentals:
            answer(200, {"Boxes": self.rentals[body["Hire"]]})
            return
        pool = (body["Site"], body["Loaners"])
        count = min(body["Count"], self.capacity[pool], 50)
        if count <= 0:
            answer(503, {"error": "no capacity"})
            return
        self.capacity[pool] -= count
        names = []
        for _ in range(count):
            name = f"i-{len(self.workers):06d}"
            boot_s = BOOT_S * self.rng.uniform(0.6, 1.5)
            if self.rng.random() < self.quick_boot_share:
                boot_s = self.rng.uniform(0.3, 2.0)
            worker = Worker(self, name, body["Site"], body["Loaners"], self.now + boot_s)
            self.workers[name] = worker
            self.after(boot_s, worker.report)
            names.append(name)
        self.rentals[body["Hire"]] = names
        answer(200, {"Boxes": names})

    # Users

    def submit(
        self, name: str, run_s: float, cancel_at: float | None = None, **fields: Any
    ) -> None:
        """Start a user that submits a job and polls it until it has ended.

        Args:
            name: Name of the job.
            run_s: How long each task runs.
            cancel_at: Seconds from now after which the user cancels the job.
            fields: Fields of the job description that differ from `JOB`.
        """
        job = self.jobs[name] = UserJob(name, JOB | {"NameId": name} | fields, run_s)
        job.needs = [self.jobs[need] for need in fields.get("Prereqs", ())]
        user = User(self, job)
        user.send()
        if cancel_at is not None:
            self.after(cancel_at, user.cancel)

    def ask(
        self, send: Callable[[Core, int], None], on_response: Callable[[Response | None], None]
    ) -> None:
        """Send a user's request to any healthy controller.

        `on_response` is called once: with the response, or with None after 3 s, or after 1 s if
        no controller is healthy.
        """
        healthy = [n.number for n in self.nodes if n.up and n.enter().is_healthy()]
        if not healthy:
            self.after(1.0, lambda: on_response(None))
            return
        is_handled = [False]

        def handle_first(answer: Response | None) -> None:
            if not is_handled[0]:
                is_handled[0] = True
                on_response(answer)

        self.request(self.rng.choice(healthy), send, handle_first, lambda: True)
        self.after(3.0, lambda: handle_first(None))

    def record_answer(self, job: UserJob, answer: Response) -> None:
        """Check a job's status in a response against its tasks and earlier responses."""
        status = answer.body["Status"]
        job.answered_at = self.now
        if job.accepted_at < 0:
            job.accepted_at = self.now
        if job.has_ended() and status != job.told_status:
            if status not in ("done", "cancelled") and self.request_sent_at <= job.ended_at:
                return  # the request was sent before the user was told that the job had ended
            raise RuleBrokenError(f"{job.name}: the status {job.told_status} changed to {status}")
        if status == "done" and not job.complete():
            raise RuleBrokenError(
                f"{job.name}: reported as done with {len(job.done)} of {job.size} tasks"
            )
        if status == "cancelled":
            if not job.cancel_requested and not self._has_cancelled_prerequisite(job):
                raise RuleBrokenError(f"{job.name}: cancelled without a request for it")
            if job.cancelled_at < 0:
                job.cancelled_at = self.now
                self.after(self.timing["cancel_s"] + 0.01, lambda: self._check_stopped(job))
        is_new, job.told_status = status != job.told_status, status
        if is_new and job.has_ended():
            job.ended_at = self.now
        if is_new and self.rechecks_answers:
            self._recheck(job)

    def _recheck(self, job: UserJob) -> None:
        """Poll a job at every controller twice within 4 ms, and submit it there again."""
        body = encode(job.body)

        def check(answer: Response | None) -> None:
            if answer is None or answer.status in (429, 503):
                return
            self.rechecked_count += 1
            if answer.status not in (200, 201):
                raise RuleBrokenError(f"{job.name}: a repeated request got status {answer.status}")
            self.record_answer(job, answer)

        for node in self.nodes:
            for pause in (0.0, 0.004):
                self.after(
                    pause,
                    lambda number=node.number: self.request(  # type: ignore[misc]
                        number, lambda core, t: core.poll(job.name, t), check, lambda: True
                    ),
                )
            self.request(node.number, lambda core, t: core.submit(body, t), check, lambda: True)

    def task_ending(self, job: UserJob) -> None:
        """Cancel the job of an ending task in a share of cases."""
        if self.rng.random() < self.cancel_at_end_share and not job.cancel_requested:
            self.cancelled_at_end_count += 1
            self.cancel_job(job, self.rng.choice(self.nodes))

    def cancel_job(self, job: UserJob, node: Node) -> None:
        """Cancel a job at one controller, then at others until one confirms it."""
        job.cancel_requested = True
        is_handled = [False]

        def handle_first(answer: Response | None) -> None:
            if is_handled[0]:
                return
            is_handled[0] = True
            if answer is not None and answer.status == 200:
                self.record_answer(job, answer)
            else:
                self.after(0.5, lambda: self.cancel_job(job, self.rng.choice(self.nodes)))

        self.request(
            node.number, lambda core, t: core.cancel(job.name, t), handle_first, lambda: True
        )
        self.after(3.0, lambda: handle_first(None))

    def submit_invalid_jobs(self, node: Node) -> None:
        """Submit jobs that can never run or lack a field, and check that each is rejected."""
        number = self.rng.randrange(10_000)
        good = JOB | {"NameId": f"job-7{number:05d}"}
        lacking = {k: v for k, v in good.items() if k != "Vcpus"}
        for body, status in (
            (good | {"Vcpus": 400.0}, 422),
            (good | {"Owner": "nobody"}, 422),
            (lacking, 400),
            (good | {"Pieces": "many"}, 400),
        ):

            def answered(answer: Response | None, status: int = status) -> None:
                if answer is not None and answer.status not in (429, 503):
                    self.rejected_job_count += 1
                    if answer.status != status:
                        raise RuleBrokenError(
                            f"an invalid job got status {answer.status}, not {status}"
                        )

            self.request(
                node.number,
                lambda core, t, body=body: core.submit(encode(body), t),  # type: ignore[misc]
                answered,
                lambda: True,
            )

    def task_stopped(self, command: Command) -> None:
        """Hook for subclasses, called when a worker is commanded to stop a live task."""

    def run_received(self, job: UserJob) -> None:
        """Record a run command for a job whose cancellation was confirmed to its user."""
        if job.told_status == "cancelled" and job.cancel_requested:
            self.runs_after_cancellation.append((self.now - job.cancelled_at, job.name))

    def _has_cancelled_prerequisite(self, job: UserJob) -> bool:
        """Return whether the cancellation of a prerequisite has been requested.

        The request may not be confirmed yet.
        """
        return any(
            need.cancel_requested or self._has_cancelled_prerequisite(need) for need in job.needs
        )

    def _check_stopped(self, job: UserJob) -> None:
        """Check that no task of a cancelled job is on a machine any more."""
        for worker, task in list(self.placed_tasks.values()):
            if task.job is job:
                worker.expire_lease()
                if task.name in self.placed_tasks:
                    raise RuleBrokenError(
                        f"{task.name} is still on {worker.id} after its cancellation"
                    )

    # Tasks

    def tasks_of(self, job: str) -> set[str]:
        """Return the names of all tasks of a job; empty if there is no such job."""
        return {f"{job}/{i}" for i in range(self.jobs[job].size)} if job in self.jobs else set()

    def task_starts(self, worker: Worker, task: Task) -> None:
        """Start a task whose image is on its machine, after checking the rules.

        The tasks of a gang begin to run once all of them are on their machines.
        """
        self._check_not_elsewhere(worker, task)
        self._check_may_start(task)
        self._check_place(worker, task)
        job = task.job
        self.placed_tasks[task.name] = (worker, task)
        self.started_count += 1
        if job.first_started_at < 0:
            job.first_started_at = self.now
        self.team_use.add(job, 1)
        self._check_team_limit(str(job.body["Owner"]))
        if not job.is_gang:
            worker.begin(task, job.run_s * self.rng.uniform(0.8, 1.2))
            return
        gang_tasks = [
            (w, t)
            for w, t in self.placed_tasks.values()
            if t.job is job and t.attempt == task.attempt
        ]
        if len(gang_tasks) == job.size:
            for gang_worker, gang_task in gang_tasks:
                gang_worker.begin(gang_task, job.run_s)

    def _check_not_elsewhere(self, worker: Worker, task: Task) -> None:
        """Check that the task is not on another machine."""
        placed = self.placed_tasks.get(task.name)
        if placed is not None and placed[0] is not worker:
            placed[0].expire_lease()
            if task.name in self.placed_tasks:
                raise RuleBrokenError(
                    f"{task.name} starts on {worker.id} while it is on {placed[0].id}"
                )

    def _check_may_start(self, task: Task) -> None:
        """Check that the prerequisites are done and the job was not cancelled too long ago."""
        job = task.job
        unfinished = [need.name for need in job.needs if not need.complete()]
        if unfinished:
            raise RuleBrokenError(
                f"{task.name} starts before its prerequisites {unfinished} are done"
            )
        if job.cancelled_at >= 0 and self.now > job.cancelled_at + self.timing["cancel_s"]:
            raise RuleBrokenError(f"{task.name} starts after its cancellation")

    def _check_place(self, worker: Worker, task: Task) -> None:
        """Check the job's constraints on spot machines and zones."""
        job, body = task.job, task.job.body
        for other_worker, placed in list(self.placed_tasks.values()):
            if placed.job is job:
                # A machine that hangs for longer than its lease has lost its tasks.
                other_worker.expire_lease()
        other_zones = [
            w.zone for w, t in self.placed_tasks.values() if t.job is job and t is not task
        ]
        if worker.spot and not body["Loaners"]:
            raise RuleBrokenError(f"{task.name} starts on a spot machine, which its job excludes")
        if body["Together"] and any(zone != worker.zone for zone in other_zones):
            raise RuleBrokenError(
                f"{task.name} starts in another zone than the other tasks of its job"
            )
        if body["Apart"] and other_zones.count(worker.zone) + 1 > (job.size + 1) // 2:
            raise RuleBrokenError(
                f"{task.name}: the tasks of its job are not spread over the zones"
            )

    def _check_team_limit(self, team: str) -> None:
        """Check that the team's tasks on machines use no more than its limit."""
        if not self.team_limits.find_excess(team, self.team_use):
            return
        for worker, _ in list(self.placed_tasks.values()):
            # A machine that hangs for longer than its lease has lost its tasks.
            worker.expire_lease()
        if excess := self.team_limits.find_excess(team, self.team_use):
            raise RuleBrokenError(f"team {team} uses {excess} at {self.now:.2f} s")

    def task_leaves(self, worker: Worker, task: Task) -> None:
        """Record that a task is no longer on its machine."""
        if self.placed_tasks.get(task.name, (None, None))[1] is task:
            del self.placed_tasks[task.name]
            self.team_use.add(task.job, -1)

    def finish_gang(self, task: Task) -> None:
        """End the other tasks of a gang of which one task has finished."""
        for worker, other in list(self.placed_tasks.values()):
            if other.job is task.job and other.attempt == task.attempt:
                other.job.done.add(other.number)
                worker.end(other, "done")

    def break_gang(self, task: Task) -> None:
        """Let the other tasks of a gang exit with cause `peers`, 3 s after one was stopped."""
        if task.job.is_gang:
            for worker, other in list(self.placed_tasks.values()):
                if other.job is task.job and other.attempt == task.attempt:
                    self.after(3.0, lambda w=worker, o=other: w.end(o, "peers"))  # type: ignore[misc]
