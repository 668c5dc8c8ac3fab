"""Several controllers, hundreds of workers, a cloud and a state service in simulated time.

Everything random comes from one seed and events are played in order, so that a
run repeats exactly. Troubles are set by the caller. The protocol's rules are
checked whenever a task starts, a user is answered or a limit could be passed.
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
from tests.fleet_jobs import RuleBrokenError, Task, UserJob
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
    """The world; `run` plays it and checks the rules."""

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
        self.leases_extended_at = (
            0.0  # the end of the last outage after which leases were given their time
        )
        self.lost_commits = self.duplicate_share = 0.0
        self.kept_share = self.cancel_at_end_share = self.quick_boot_share = 0.0
        self.kept_reports: list[bytes] = []  # copies of reports for the next leader
        self.request_sent_at = 0.0  # when the question was asked whose answer comes in
        self.rechecks_answers = False
        self.rechecked_count = self.cancelled_at_end_count = self.rejected_job_count = 0
        self.runs_after_cancellation: list[tuple[float, str]] = []
        self.cut_zone, self.zone_cut_until = "", 0.0
        self.capacity = {(z, spot): capacity // 4 for z in ZONES for spot in (False, True)}
        self.workers: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}
        self.jobs: dict[str, UserJob] = {}
        self.placed_tasks: dict[str, tuple[Worker, Task]] = {}
        self.gpus_in_use: dict[str, float] = {}
        self.gpu_limits = {t["name"]: t["gpus_max"] for t in self.params["teams"]}
        self.started_count = 0
        self.nodes: list[Node] = []
        for number in range(nodes):
            self.nodes.append(Node(self, number))

    @staticmethod
    def _catalog() -> Any:
        from coursefold.protocol.wire import Catalog

        return msgspec.convert(CATALOG, Catalog)

    def node_started(self, node: Node) -> None:
        """A controller's process has begun, with nothing in memory."""

    # Time

    def after(self, delay: float, work: Callable[[], object]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, work))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, work = heapq.heappop(self.events)
            work()
        self.now = until

    # Messages

    def request(
        self,
        node: int,
        send: Callable[[Any, int], None],
        back: Callable[[Response | None], None],
        hears: Callable[[], bool],
    ) -> None:
        """A request to a node and its answer, each a little later."""
        asked_at = self.now

        def answered(answer: Response | None) -> None:
            if hears():
                self.request_sent_at = asked_at
                back(answer)

        def arrive() -> None:
            there = self.nodes[node]
            if there.up and there.defer_while_frozen(arrive):
                return
            if not there.up:
                self.after(0.001, lambda: back(None) if hears() else None)
                return
            there.tickets += 1
            there.pending_requests[there.tickets] = lambda answer: self.after(
                self.rng.uniform(0.001, 0.01), lambda: answered(answer)
            )
            send(there.enter(), there.tickets)
            there.flush()

        self.after(self.rng.uniform(0.001, 0.01), arrive)

    def maybe_duplicate_report(self, worker: Worker, body: bytes) -> None:
        """Now and then a copy of a report comes late, anywhere; nobody hears its answer."""
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
        """What was kept of reports reaches every controller at once; nobody hears the answers."""
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
        """How long a message between two zones is held back."""
        return (
            self.zone_cut_until - self.now
            if (one == self.cut_zone) != (other == self.cut_zone)
            else 0.0
        )

    def can_connect(self, node: Node, other: int) -> bool:
        there = self.nodes[other]
        cut = max(node.cut_until, there.cut_until, self.peers_refused_until)
        return there.up and self.now >= cut

    def send_commands(self, node: Node, sent: SendCommands) -> None:
        """Commands to a worker's own address: late, lost or twice at times."""
        worker = self.workers.get(sent.address)

        def arrive() -> None:
            if worker is not None and worker.defer_while_hung(arrive):
                return
            if (
                worker is None
                or worker.gone
                or self.now < max(worker.responses_lost_until, worker.cut_until)
            ):
                return
            worker.expire_lease()
            if sent.token >= worker.token and sent.session == worker.session:
                worker.token = max(worker.token, sent.token)
                worker.sequence += 1
                worker.execute(sent.commands)

        for _ in range(self.rng.choice([1, 1, 1, 2])):
            self.after(self.rng.choice([0.005, 0.005, 0.005, 6.0]), arrive)

    # Cloud

    def cloud_call(self, node: Node, call: CloudCall) -> None:
        life = node.incarnation

        def answer(status: int, body: Any) -> None:
            def back() -> None:
                if node.incarnation == life and node.up and not node.defer_while_frozen(back):
                    node.enter().receive_cloud_response(call.call_id, status, encode(body))
                    node.flush()

            self.after(0.2, back)

        if self.now < max(self.cloud_down_until, node.cut_until):
            answer(503, {"error": "trouble"})
        elif call.verb == "catalog":
            answer(200, CATALOG)
        elif call.verb == "list":
            answer(200, self._list(call.body))
        elif call.verb == "hire":
            self._hire(call.body, answer)
        else:
            for id in call.body["Boxes"]:
                worker = self.workers.get(id)
                if worker is not None and not worker.gone:
                    worker.kill()
                    self.capacity[(worker.zone, worker.spot)] += 1
            answer(200, {})

    def _list(self, body: dict[str, Any]) -> dict[str, Any]:
        lag = LIST_LAG_S * self.rng.uniform(0.5, 2.0)
        rows = [
            {
                "NameId": w.id, "Addr": w.id, "Build": "g2", "Site": w.zone, "Loaners": w.spot,
                "Status": "running" if self.now - lag >= w.up_at else "starting",
                "HeldS": max(0.0, self.now - lag - w.up_at + BOOT_S),
            }
            for w in self.workers.values()
            if not w.gone and self.now - lag >= w.up_at - BOOT_S and w.id > body.get("From", "")
        ]  # fmt: skip
        rows.sort(key=lambda row: str(row["NameId"]))
        page = body["Page"]
        return {"Boxes": rows[:page], "More": len(rows) > page}

    def _hire(self, body: dict[str, Any], answer: Callable[[int, Any], None]) -> None:
        if body["Hire"] in self.rentals:
            answer(200, {"Boxes": self.rentals[body["Hire"]]})
            return
        place = (body["Site"], body["Loaners"])
        count = min(body["Count"], self.capacity[place], 50)
        if count <= 0:
            answer(503, {"error": "no capacity"})
            return
        self.capacity[place] -= count
        names = []
        for _ in range(count):
            id = f"i-{len(self.workers):06d}"
            boot = BOOT_S * self.rng.uniform(0.6, 1.5)
            if self.rng.random() < self.quick_boot_share:
                boot = self.rng.uniform(0.3, 2.0)
            worker = Worker(self, id, body["Site"], body["Loaners"], self.now + boot)
            self.workers[id] = worker
            self.after(boot, worker.report)
            names.append(id)
        self.rentals[body["Hire"]] = names
        answer(200, {"Boxes": names})

    # Users

    def submit(
        self, name: str, run_s: float, cancel_at: float | None = None, **fields: Any
    ) -> None:
        """A user submits a job, polls it, and may cancel it."""
        job = self.jobs[name] = UserJob(name, JOB | {"NameId": name} | fields, run_s)
        job.needs = [self.jobs[need] for need in fields.get("Prereqs", ())]
        user = User(self, job)
        user.send()
        if cancel_at is not None:
            self.after(cancel_at, user.cancel)

    def ask(
        self, send: Callable[[Core, int], None], back: Callable[[Response | None], None]
    ) -> None:
        healthy = [n.number for n in self.nodes if n.up and n.enter().is_healthy()]
        if not healthy:
            self.after(1.0, lambda: back(None))
            return
        asked = [False]

        def once(answer: Response | None) -> None:
            if not asked[0]:
                asked[0] = True
                back(answer)

        self.request(self.rng.choice(healthy), send, once, lambda: True)
        self.after(3.0, lambda: once(None))

    def record_answer(self, job: UserJob, answer: Response) -> None:
        status = answer.body["Status"]
        job.answered_at = self.now
        if job.accepted_at < 0:
            job.accepted_at = self.now
        if job.has_ended() and status != job.told_status:
            if status not in ("done", "cancelled") and self.request_sent_at <= job.ended_at:
                return  # asked before, and overtaken on its way
            raise RuleBrokenError(f"{job.name}: {job.told_status} and now {status}")
        if status == "done" and not job.complete():
            raise RuleBrokenError(f"{job.name}: called done with {len(job.done)} of {job.size}")
        if status == "cancelled":
            if not job.cancel_requested and not self._has_cancelled_prerequisite(job):
                raise RuleBrokenError(f"{job.name}: cancelled by nobody")
            if job.cancelled_at < 0:
                job.cancelled_at = self.now
                self.after(self.timing["cancel_s"] + 0.01, lambda: self._check_stopped(job))
        new, job.told_status = status != job.told_status, status
        if new and job.has_ended():
            job.ended_at = self.now
        if new and self.rechecks_answers:
            self._recheck(job)

    def _recheck(self, job: UserJob) -> None:
        """Ask every node at once, twice within milliseconds, and submit it again."""
        body = encode(job.body)

        def seen(answer: Response | None) -> None:
            if answer is None or answer.status in (429, 503):
                return
            self.rechecked_count += 1
            if answer.status not in (200, 201):
                raise RuleBrokenError(f"{job.name}: a look is answered {answer.status}")
            self.record_answer(job, answer)

        for node in self.nodes:
            for pause in (0.0, 0.004):
                self.after(
                    pause,
                    lambda n=node.number: self.request(  # type: ignore[misc]
                        n, lambda core, t: core.poll(job.name, t), seen, lambda: True
                    ),
                )
            self.request(node.number, lambda core, t: core.submit(body, t), seen, lambda: True)

    def task_ending(self, job: UserJob) -> None:
        """A task ends: at times its job is called off at that very moment."""
        if self.rng.random() < self.cancel_at_end_share and not job.cancel_requested:
            self.cancelled_at_end_count += 1
            self.cancel_job(job, self.rng.choice(self.nodes))

    def cancel_job(self, job: UserJob, node: Node) -> None:
        """A user cancels a job at one node, and at another when that one does not answer."""
        job.cancel_requested = True
        asked = [False]

        def once(answer: Response | None) -> None:
            if asked[0]:
                return
            asked[0] = True
            if answer is not None and answer.status == 200:
                self.record_answer(job, answer)
            else:
                self.after(0.5, lambda: self.cancel_job(job, self.rng.choice(self.nodes)))

        self.request(node.number, lambda core, t: core.cancel(job.name, t), once, lambda: True)
        self.after(3.0, lambda: once(None))

    def submit_invalid_jobs(self, node: Node) -> None:
        """What can never run, or lacks a field, is never taken; nor is it unknown what is known."""
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
                            f"an odd job is answered {answer.status}, not {status}"
                        )

            self.request(
                node.number,
                lambda core, t, body=body: core.submit(encode(body), t),  # type: ignore[misc]
                answered,
                lambda: True,
            )

    def task_stopped(self, order: Command) -> None:
        """A live task was told to stop."""

    def run_received(self, job: UserJob) -> None:
        """A worker carries out a `run`: of a job whose cancellation was confirmed when?"""
        if job.told_status == "cancelled" and job.cancel_requested:
            self.runs_after_cancellation.append((self.now - job.cancelled_at, job.name))

    def _has_cancelled_prerequisite(self, job: UserJob) -> bool:
        """Has a user asked to cancel what this job needs? The answer may be on its way."""
        return any(
            need.cancel_requested or self._has_cancelled_prerequisite(need) for need in job.needs
        )

    def _check_stopped(self, job: UserJob) -> None:
        for worker, task in list(self.placed_tasks.values()):
            if task.job is job:
                worker.expire_lease()
                if task.name in self.placed_tasks:
                    raise RuleBrokenError(f"{task.name} on {worker.id} after its cancellation")

    # Tasks

    def tasks_of(self, job: str) -> set[str]:
        return {f"{job}/{i}" for i in range(self.jobs[job].size)} if job in self.jobs else set()

    def task_starts(self, worker: Worker, task: Task) -> None:
        """A task has its image and is on its machine: the rules are checked first."""
        self._check_not_elsewhere(worker, task)
        self._check_may_start(task)
        self._check_place(worker, task)
        job = task.job
        self.placed_tasks[task.name] = (worker, task)
        self.started_count += 1
        if job.first_started_at < 0:
            job.first_started_at = self.now
        self._check_gpu_limit(job)
        if not job.is_gang:
            worker.begin(task, job.run_s * self.rng.uniform(0.8, 1.2))
            return
        mates = [
            (w, t)
            for w, t in self.placed_tasks.values()
            if t.job is job and t.attempt == task.attempt
        ]
        if len(mates) == job.size:
            for mate, other in mates:
                mate.begin(other, job.run_s)

    def _check_not_elsewhere(self, worker: Worker, task: Task) -> None:
        there = self.placed_tasks.get(task.name)
        if there is not None and there[0] is not worker:
            there[0].expire_lease()
            if task.name in self.placed_tasks:
                raise RuleBrokenError(f"{task.name} starts on {worker.id} while on {there[0].id}")

    def _check_may_start(self, task: Task) -> None:
        job = task.job
        early = [need.name for need in job.needs if not need.complete()]
        if early:
            raise RuleBrokenError(f"{task.name} starts before {early} are done")
        if job.cancelled_at >= 0 and self.now > job.cancelled_at + self.timing["cancel_s"]:
            raise RuleBrokenError(f"{task.name} starts after its cancellation")

    def _check_place(self, worker: Worker, task: Task) -> None:
        job, body = task.job, task.job.body
        for other, there in list(self.placed_tasks.values()):
            if there.job is job:
                # A machine that hangs past its lease has lost its tasks, as for `_check_alone`.
                other.expire_lease()
        others = [w.zone for w, t in self.placed_tasks.values() if t.job is job and t is not task]
        if worker.spot and not body["Loaners"]:
            raise RuleBrokenError(f"{task.name} on a spot machine")
        if body["Together"] and any(zone != worker.zone for zone in others):
            raise RuleBrokenError(f"{task.name}: not together")
        if body["Apart"] and others.count(worker.zone) + 1 > (job.size + 1) // 2:
            raise RuleBrokenError(f"{task.name}: not apart")

    def _check_gpu_limit(self, job: UserJob) -> None:
        team, gpus = str(job.body["Owner"]), float(job.body["Accelerators"])
        self.gpus_in_use[team] = self.gpus_in_use.get(team, 0.0) + gpus
        if self.gpu_limits.get(team) and self.gpus_in_use[team] > self.gpu_limits[team] + 1e-6:
            raise RuleBrokenError(f"{team} uses {self.gpus_in_use[team]} GPUs")

    def task_leaves(self, worker: Worker, task: Task) -> None:
        """A task is no longer on its machine."""
        if self.placed_tasks.get(task.name, (None, None))[1] is task:
            del self.placed_tasks[task.name]
            self.gpus_in_use[str(task.job.body["Owner"])] -= float(task.job.body["Accelerators"])

    def finish_gang(self, task: Task) -> None:
        for worker, other in list(self.placed_tasks.values()):
            if other.job is task.job and other.attempt == task.attempt:
                other.job.done.add(other.number)
                worker.end(other, "done")

    def break_gang(self, task: Task) -> None:
        """The other tasks of a running gang notice that one is gone."""
        if task.job.is_gang:
            for worker, other in list(self.placed_tasks.values()):
                if other.job is task.job and other.attempt == task.attempt:
                    self.after(3.0, lambda w=worker, o=other: w.end(o, "peers"))  # type: ignore[misc]
