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
from coursefold.coordination.effects import Answer, CloudCall, Direct, Read
from coursefold.protocol.ids import JobId, Moment, WallTime
from coursefold.protocol.wire import Order, encode
from coursefold.storage import records
from coursefold.storage.queue import Batch
from tests.production import OURS, Version
from tests.standins.state import StateStore
from tests.world import CATALOG, EPOCH, JOB, SETTINGS

LIFE_MS = 2500
BOOT_S = 12.0
FETCH_S = 4.0
LIST_LAG_S = 3.0
ROUND_S = 0.2
NODES = 5
ZONES = ("a", "b")


class RuleBrokenError(AssertionError):
    """A rule of the protocol was broken."""


class Task:
    """A task on a worker."""

    def __init__(self, job: "UserJob", number: int, attempt: int, at: float, fetch: float) -> None:
        self.job, self.number, self.attempt = job, number, attempt
        self.ready_at = at + fetch
        self.state = "pulling"
        self.cause: str | None = None
        self.end_at = 0.0

    @property
    def name(self) -> str:
        return f"{self.job.name}/{self.number}"

    def row(self) -> dict[str, Any]:
        row: dict[str, Any] = {"Piece": self.name, "Try": self.attempt, "Status": self.state}
        return row | ({"Cause": self.cause} if self.cause else {})


class UserJob:
    """A job and what its user was told."""

    def __init__(self, name: str, body: dict[str, Any], run_s: float) -> None:
        self.name, self.body, self.run_s = name, body, run_s
        self.accepted_at = self.cancelled_at = self.answered_at = self.over_at = -1.0
        self.told = ""
        self.needs: list[UserJob] = []
        self.done: set[int] = set()
        self.cancel = False
        self.first_start = -1.0

    @property
    def size(self) -> int:
        return int(self.body["Pieces"])

    @property
    def gang(self) -> bool:
        return bool(self.body["Shape"] == "ensemble")

    def over(self) -> bool:
        return self.told in ("done", "cancelled")

    def complete(self) -> bool:
        return bool(self.done) if self.gang else len(self.done) == self.size

    def lost(self) -> float:
        """When the user was told that it, or a job before it, is cancelled; -1: never."""
        told = [need.lost() for need in self.needs if need.lost() >= 0]
        if self.told == "cancelled" and self.cancel:
            told.append(self.cancelled_at)
        return min(told, default=-1.0)


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

        def back(answer: Answer | None) -> None:
            if self.gone or flight != self.flight:
                return
            if not self._hangs(lambda: back(answer)):
                self._answered(answer, sent)

        def send() -> None:
            world.request(target, lambda core, t: core.report(body, t), back, self._hears)

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

    def _answered(self, answer: Answer | None, sent: float) -> None:
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

    def execute(self, orders: list[Order]) -> None:
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


class Node:
    """What `coursefold.service` does for a core, without sockets."""

    def __init__(self, world: "Fleet", number: int) -> None:
        self.world, self.number, self.name = world, number, f"n{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.refused_until = self.cut_until = self.frozen_until = 0.0
        self.life = 0
        self.up = False
        self.skew = world.rng.uniform(-0.02, 0.02)
        self.version = world.version
        self.start()

    def settings(self) -> Any:
        others = [
            {"member": f"n{i}", "zone": ZONES[i % 2], "peer_addr": f"127.0.0.1:{i + 10}"}
            for i in range(self.world.size)
            if i != self.number
        ]
        mine = {"member": self.name, "zone": self.zone, "siblings": others}
        raw = SETTINGS | mine | {"params": self.world.params}
        return msgspec.convert(raw, self.version.Settings)

    def start(self) -> None:
        self.life += 1
        self.up = True
        self.core = self.version.Core(self.settings())
        self.world.started(self)
        self.followed = -1
        self.waiting: dict[int, Callable[[Answer | None], None]] = {}
        self.tickets = 0
        self.flying = 0
        life = self.life
        for member in self.core.tellers:
            self._link(member, life)
        self._loop(0.6, life, self._lease)
        self._loop(0.12, life, self._follow)
        self._loop(ROUND_S, life, self._tick)

    def stop(self) -> None:
        self.up = False
        self.life += 1

    def _loop(self, period: float, life: int, work: Callable[[], None]) -> None:
        def step() -> None:
            if self.life == life:
                if self.stands(step):
                    return
                work()
                self.world.after(period * self.world.rng.uniform(0.9, 1.1), step)

        step()

    def stands(self, work: Callable[[], None]) -> bool:
        """A controller that stands still does its work, in order, once it goes on again."""
        if self.world.now >= self.frozen_until:
            return False
        self.world.after(self.frozen_until - self.world.now, work)
        return True

    def enter(self) -> Any:
        now = self.world.now
        self.core.at(Moment(1000.0 + now), WallTime(EPOCH + now + self.skew))
        return self.core

    def state_up(self) -> bool:
        world = self.world
        if world.now >= world.outage_until > world.resumed_at:
            world.resumed_at = world.outage_until
            world.store.resume(world.now)
        return world.now >= max(self.refused_until, self.cut_until, world.outage_until)

    def _lease(self) -> None:
        if not self.state_up():
            return
        core, store, now = self.enter(), self.world.store, self.world.now
        ctx = core.ctx
        if not ctx.permit or not store.touch(now, ctx.permit):
            ctx.permit = store.grant(now, LIFE_MS)
        ctx.lease_until = Moment(1000.0 + now + LIFE_MS / 1000.0)
        ctx.state_ok_at = Moment(1000.0 + now)

    def _follow(self) -> None:
        if not self.state_up():
            return
        core, store = self.enter(), self.world.store
        view = core.view
        if self.followed < 0 or self.followed < store.ledger - 9000:
            rows = [r for r in store.rows(records.ROOT) if "/e/" not in r["K"]]
            view.reload([(r["K"], r["Value"], r["Stamp"]) for r in rows], store.ledger)
        elif self.followed < store.ledger:
            for item in store.since(self.followed, records.ROOT):
                if "Set" in item:
                    view.put(item["Set"], item["Value"], item["Stamp"])
                else:
                    view.drop(item["Remove"], item["Stamp"])
        self.followed = view.ledger = store.ledger
        core.ctx.follow_ok_at = core.ctx.state_ok_at = Moment(1000.0 + self.world.now)

    def _tick(self) -> None:
        self.enter().tick()
        self.flush()

    def flush(self) -> None:
        for _ in range(20):
            effects: list[Any] = self.core.drain()
            version = self.version
            for effect in effects:
                if isinstance(effect, version.Answer):
                    back = self.waiting.pop(effect.ticket, None)
                    if back is not None:
                        back(effect)
                elif isinstance(effect, version.Vouch):
                    self._vouch()
                elif isinstance(effect, version.Read):
                    self._read(effect)
                elif isinstance(effect, version.Direct):
                    self.world.direct(self, effect)
                elif isinstance(effect, version.CloudCall):
                    self.world.cloud_call(self, effect)
            self._commit()
            if all(isinstance(e, version.Tell) for e in effects) and not self.core.ctx.out:
                return

    def _vouch(self) -> None:
        tickets, self.core.questions = self.core.questions, []
        if not tickets:
            return
        if not self.state_up():
            for ticket in tickets:
                self.core.read_failed(ticket)
            return
        self._follow()
        self.core.vouched(tickets)

    def _read(self, read: Read) -> None:
        if not self.state_up():
            self.core.read_failed(read.ticket)
            return
        key = records.ending_key(JobId(read.job))
        row = self.world.store.row(key)
        record = self.version.records.parse(key, row["Value"]) if row else None
        found = record if isinstance(record, self.version.records.Ending) else None
        self.core.read(read.ticket, found)

    def _commit(self) -> None:
        world, queue = self.world, self.core.queue
        now = Moment(1000.0 + world.now)
        if queue.stale and self.state_up():
            self._follow()
            for key in queue.stale_keys():
                ended = world.store.row(key.replace(records.JOBS, records.ENDINGS))
                if key.startswith(records.JOBS) and key not in world.store.keys and ended:
                    queue.over(key)
                queue.refreshed(key)
        while self.flying < 3:
            batch = queue.next_batch(now)
            if batch is None:
                return
            if not self.state_up():
                queue.refused(batch, now, 0.3)
                return
            self._send(batch)

    def _send(self, batch: Batch) -> None:
        """One transaction: carried out a little later, its answer lost at times."""
        world, core = self.world, self.core
        queue, life = core.queue, self.life
        self.flying += 1
        if len(encode(batch.body)) > 64 * 1024:
            raise RuleBrokenError("a transaction over its limits")
        world.sent[self.version.name] += len(batch.body["Then"])
        lost = world.rng.random() < world.lost_commits
        delay = world.rng.uniform(0.005, 0.05) if not lost else world.rng.uniform(0.0, 9.0)

        def land() -> None:
            status, body = world.store.commit(world.now, batch.body)
            if not lost:
                heard(status, body)

        def heard(status: int, body: Any) -> None:
            if self.life != life or self.stands(lambda: heard(status, body)):
                return
            self.enter()
            self.flying -= 1
            core.ctx.state_ok_at = Moment(1000.0 + world.now)
            if status == 200:
                queue.applied(batch, body["Ledger"])
            elif status == 409:
                queue.conflicted(batch, body["failed"])
            else:
                world.refused += b"lease" not in encode(body)
                if b"lease" in encode(body):
                    core.ctx.permit = 0
                if b"lease" in encode(body) and self.version is OURS:
                    queue.lease_gone(batch)
                else:
                    queue.invalid(batch)
            self.flush()

        def unanswered() -> None:
            if self.life == life and not self.stands(unanswered):
                self.enter()
                self.flying -= 1
                queue.unknown(batch, Moment(1000.0 + world.now), 0.3)

        world.after(delay, land)
        if lost:
            world.after(1.5, unanswered)

    def _link(self, member: str, life: int) -> None:
        """Frames to one sibling; a refused one ends the connection, and all is said anew."""
        self.enter().linked(member)
        other = int(member[1:])

        def send() -> None:
            if self.life != life or self.stands(send):
                return
            world = self.world
            if world.linked(self, other):
                frame = self.enter().frame(member)
                if frame:
                    theirs = world.nodes[other].life

                    def arrive() -> None:
                        there = world.nodes[other]
                        if there.stands(arrive):
                            return
                        if there.life == theirs and there.up and not there.enter().peer(frame):
                            self.enter().linked(member)
                        if there.up:
                            there.flush()

                    world.after(world.rng.uniform(0.001, 0.01), arrive)
            else:
                self.enter().linked(member)
            world.after(0.15, send)

        self.world.after(0.1, send)


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
        self.sent = {"ours": 0, "production": 0}
        self.refused = 0
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], object]]] = []
        self.count = 0
        self.params = SETTINGS["params"] | params
        self.timing: dict[str, float] = self.params["workers"]
        self.store = StateStore()
        self.store.set(records.CATALOG, msgspec.to_builtins(self._catalog()))
        self.outage_until = self.cloud_down_until = self.peers_refused_until = 0.0
        self.resumed_at = 0.0  # the end of the last outage after which leases were given their time
        self.lost_commits = self.copied = 0.0
        self.kept_share = self.cancelled_at_end = self.up_at_once = 0.0
        self.kept: list[bytes] = []  # copies of reports for the next leader
        self.asked_at = 0.0  # when the question was asked whose answer comes in
        self.looks = False
        self.looked = self.called_off_at_end = self.odd_answers = 0
        self.late_runs: list[tuple[float, str]] = []
        self.cut_zone, self.zone_until = "", 0.0
        self.capacity = {(z, spot): capacity // 4 for z in ZONES for spot in (False, True)}
        self.workers: dict[str, Worker] = {}
        self.hires: dict[str, list[str]] = {}
        self.jobs: dict[str, UserJob] = {}
        self.on: dict[str, tuple[Worker, Task]] = {}
        self.used: dict[str, float] = {}
        self.limits = {t["name"]: t["gpus_max"] for t in self.params["teams"]}
        self.starts_seen = 0
        self.nodes: list[Node] = []
        for number in range(nodes):
            self.nodes.append(Node(self, number))

    @staticmethod
    def _catalog() -> Any:
        from coursefold.protocol.wire import Catalog

        return msgspec.convert(CATALOG, Catalog)

    def started(self, node: Node) -> None:
        """A controller's process has begun, with nothing in memory."""

    # Time

    def after(self, delay: float, work: Callable[[], object]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + delay, self.count, work))

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
        back: Callable[[Answer | None], None],
        hears: Callable[[], bool],
    ) -> None:
        """A request to a node and its answer, each a little later."""
        asked_at = self.now

        def answered(answer: Answer | None) -> None:
            if hears():
                self.asked_at = asked_at
                back(answer)

        def arrive() -> None:
            there = self.nodes[node]
            if there.up and there.stands(arrive):
                return
            if not there.up:
                self.after(0.001, lambda: back(None) if hears() else None)
                return
            there.tickets += 1
            there.waiting[there.tickets] = lambda answer: self.after(
                self.rng.uniform(0.001, 0.01), lambda: answered(answer)
            )
            send(there.enter(), there.tickets)
            there.flush()

        self.after(self.rng.uniform(0.001, 0.01), arrive)

    def copies(self, worker: Worker, body: bytes) -> None:
        """Now and then a copy of a report comes late, anywhere; nobody hears its answer."""
        if self.rng.random() < self.copied:
            node = self.rng.randrange(self.size)
            delay = self.rng.choice([0.5, 3.0, 9.0, 25.0]) * self.rng.uniform(0.8, 1.5)
            self.after(
                delay,
                lambda: self.request(
                    node, lambda core, t: core.report(body, t), lambda _: None, lambda: True
                ),
            )

        if self.rng.random() < self.kept_share:
            self.kept.append(body)

    def let_go(self) -> int:
        """What was kept of reports reaches every controller at once; nobody hears the answers."""
        kept, self.kept = self.kept, []
        for body in kept:
            for number in range(self.size):
                self.request(
                    number,
                    lambda core, t, body=body: core.report(body, t),  # type: ignore[misc]
                    lambda _: None,
                    lambda: True,
                )
        return len(kept)

    def held(self, one: str, other: str) -> float:
        """How long a message between two zones is held back."""
        return (
            self.zone_until - self.now
            if (one == self.cut_zone) != (other == self.cut_zone)
            else 0.0
        )

    def linked(self, node: Node, other: int) -> bool:
        there = self.nodes[other]
        cut = max(node.cut_until, there.cut_until, self.peers_refused_until)
        return there.up and self.now >= cut

    def direct(self, node: Node, sent: Direct) -> None:
        """Commands to a worker's own address: late, lost or twice at times."""
        worker = self.workers.get(sent.addr)

        def arrive() -> None:
            if worker is not None and worker._hangs(arrive):
                return
            if worker is None or worker.gone or self.now < max(worker.deaf_until, worker.cut_until):
                return
            worker._lease()
            if sent.token >= worker.token and sent.session == worker.session:
                worker.token = max(worker.token, sent.token)
                worker.counter += 1
                worker.execute(sent.orders)

        for _ in range(self.rng.choice([1, 1, 1, 2])):
            self.after(self.rng.choice([0.005, 0.005, 0.005, 6.0]), arrive)

    # Cloud

    def cloud_call(self, node: Node, call: CloudCall) -> None:
        life = node.life

        def answer(status: int, body: Any) -> None:
            def back() -> None:
                if node.life == life and node.up and not node.stands(back):
                    node.enter().cloud(call.call, status, encode(body))
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
        if body["Hire"] in self.hires:
            answer(200, {"Boxes": self.hires[body["Hire"]]})
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
            if self.rng.random() < self.up_at_once:
                boot = self.rng.uniform(0.3, 2.0)
            worker = Worker(self, id, body["Site"], body["Loaners"], self.now + boot)
            self.workers[id] = worker
            self.after(boot, worker.report)
            names.append(id)
        self.hires[body["Hire"]] = names
        answer(200, {"Boxes": names})

    # Users

    def submit(
        self, name: str, run_s: float, cancel_at: float | None = None, **fields: Any
    ) -> None:
        job = self.jobs[name] = UserJob(name, JOB | {"NameId": name} | fields, run_s)
        job.needs = [self.jobs[need] for need in fields.get("Prereqs", ())]
        body = encode(job.body)
        asked_at = 0.0

        def send() -> None:
            if any(need.accepted_at < 0 for need in job.needs):
                self.after(0.3, send)  # each as soon as those that it needs are accepted
                return
            self._ask(lambda core, t: core.submit(body, t), told)

        def told(answer: Answer | None) -> None:
            if answer is not None and answer.status in (200, 201):
                self._told(job, answer)
                self.after(5.0, poll)
            elif answer is not None and answer.status in (400, 404, 422):
                raise RuleBrokenError(f"{name}: submission answered {answer.status} {answer.body}")
            else:
                self.after(1.0, send)

        def poll() -> None:
            nonlocal asked_at
            asked_at = self.now
            if not job.over():
                self._ask(lambda core, t: core.poll(name, t), polled)

        def polled(answer: Answer | None) -> None:
            if answer is not None and answer.status == 404:
                raise RuleBrokenError(f"{name}: forgotten")
            if answer is not None and answer.status == 200:
                if answer.body["Status"] != "cancelled" and -1 < job.lost() < asked_at:
                    raise RuleBrokenError(
                        f"{name}: {answer.body['Status']}, and what it needs cancelled"
                    )
                self._told(job, answer)
            self.after(5.0 * self.rng.uniform(0.8, 1.2), poll)

        def cancel() -> None:
            if job.accepted_at < 0:
                self.after(2.0, cancel)
                return
            job.cancel = True
            if not job.over():
                self._ask(lambda core, t: core.cancel(name, t), cancelled)

        def cancelled(answer: Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self._told(job, answer)
            else:
                self.after(1.0, cancel)

        send()
        if cancel_at is not None:
            self.after(cancel_at, cancel)

    def _ask(
        self, send: Callable[[Core, int], None], back: Callable[[Answer | None], None]
    ) -> None:
        healthy = [n.number for n in self.nodes if n.up and n.enter().healthy()]
        if not healthy:
            self.after(1.0, lambda: back(None))
            return
        asked = [False]

        def once(answer: Answer | None) -> None:
            if not asked[0]:
                asked[0] = True
                back(answer)

        self.request(self.rng.choice(healthy), send, once, lambda: True)
        self.after(3.0, lambda: once(None))

    def _told(self, job: UserJob, answer: Answer) -> None:
        status = answer.body["Status"]
        job.answered_at = self.now
        if job.accepted_at < 0:
            job.accepted_at = self.now
        if job.over() and status != job.told:
            if status not in ("done", "cancelled") and self.asked_at <= job.over_at:
                return  # asked before, and overtaken on its way
            raise RuleBrokenError(f"{job.name}: {job.told} and now {status}")
        if status == "done" and not job.complete():
            raise RuleBrokenError(f"{job.name}: called done with {len(job.done)} of {job.size}")
        if status == "cancelled":
            if not job.cancel and not self._cancelled_before(job):
                raise RuleBrokenError(f"{job.name}: cancelled by nobody")
            if job.cancelled_at < 0:
                job.cancelled_at = self.now
                self.after(self.timing["cancel_s"] + 0.01, lambda: self._cancelled(job))
        new, job.told = status != job.told, status
        if new and job.over():
            job.over_at = self.now
        if new and self.looks:
            self._look(job)

    def _look(self, job: UserJob) -> None:
        """Ask every node at once, twice within milliseconds, and submit it again."""
        body = encode(job.body)

        def seen(answer: Answer | None) -> None:
            if answer is None or answer.status in (429, 503):
                return
            self.looked += 1
            if answer.status not in (200, 201):
                raise RuleBrokenError(f"{job.name}: a look is answered {answer.status}")
            self._told(job, answer)

        for node in self.nodes:
            for pause in (0.0, 0.004):
                self.after(
                    pause,
                    lambda n=node.number: self.request(  # type: ignore[misc]
                        n, lambda core, t: core.poll(job.name, t), seen, lambda: True
                    ),
                )
            self.request(node.number, lambda core, t: core.submit(body, t), seen, lambda: True)

    def ending(self, job: UserJob) -> None:
        """A task ends: at times its job is called off at that very moment."""
        if self.rng.random() < self.cancelled_at_end and not job.cancel:
            self.called_off_at_end += 1
            self.call_off(job, self.rng.choice(self.nodes))

    def call_off(self, job: UserJob, node: Node) -> None:
        """A user cancels a job at one node, and at another when that one does not answer."""
        job.cancel = True
        asked = [False]

        def once(answer: Answer | None) -> None:
            if asked[0]:
                return
            asked[0] = True
            if answer is not None and answer.status == 200:
                self._told(job, answer)
            else:
                self.after(0.5, lambda: self.call_off(job, self.rng.choice(self.nodes)))

        self.request(node.number, lambda core, t: core.cancel(job.name, t), once, lambda: True)
        self.after(3.0, lambda: once(None))

    def odd_requests(self, node: Node) -> None:
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

            def answered(answer: Answer | None, status: int = status) -> None:
                if answer is not None and answer.status not in (429, 503):
                    self.odd_answers += 1
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

    def told_to_run(self, job: UserJob) -> None:
        """A worker carries out a `run`: of a job whose cancellation was confirmed when?"""
        if job.told == "cancelled" and job.cancel:
            self.late_runs.append((self.now - job.cancelled_at, job.name))

    def _cancelled_before(self, job: UserJob) -> bool:
        """Has a user asked to cancel what this job needs? The answer may be on its way."""
        return any(need.cancel or self._cancelled_before(need) for need in job.needs)

    def _cancelled(self, job: UserJob) -> None:
        for worker, task in list(self.on.values()):
            if task.job is job:
                worker._lease()
                if task.name in self.on:
                    raise RuleBrokenError(f"{task.name} on {worker.id} after its cancellation")

    # Tasks

    def tasks_of(self, job: str) -> set[str]:
        return {f"{job}/{i}" for i in range(self.jobs[job].size)} if job in self.jobs else set()

    def starts(self, worker: Worker, task: Task) -> None:
        job = task.job
        there = self.on.get(task.name)
        if there is not None and there[0] is not worker:
            there[0]._lease()
            if task.name in self.on:
                raise RuleBrokenError(f"{task.name} starts on {worker.id} while on {there[0].id}")
        early = [need.name for need in job.needs if not need.complete()]
        if early:
            raise RuleBrokenError(f"{task.name} starts before {early} are done")
        if job.cancelled_at >= 0 and self.now > job.cancelled_at + self.timing["cancel_s"]:
            raise RuleBrokenError(f"{task.name} starts after its cancellation")
        body = job.body
        others = [w.zone for w, t in self.on.values() if t.job is job and t is not task]
        if worker.spot and not body["Loaners"]:
            raise RuleBrokenError(f"{task.name} on a spot machine")
        if body["Together"] and any(zone != worker.zone for zone in others):
            raise RuleBrokenError(f"{task.name}: not together")
        if body["Apart"] and others.count(worker.zone) + 1 > (job.size + 1) // 2:
            raise RuleBrokenError(f"{task.name}: not apart")
        self.on[task.name] = (worker, task)
        self.starts_seen += 1
        if job.first_start < 0:
            job.first_start = self.now
        team, gpus = str(body["Owner"]), float(body["Accelerators"])
        self.used[team] = self.used.get(team, 0.0) + gpus
        if self.limits.get(team) and self.used[team] > self.limits[team] + 1e-6:
            raise RuleBrokenError(f"{team} uses {self.used[team]} GPUs")
        if not job.gang:
            worker.begin(task, job.run_s * self.rng.uniform(0.8, 1.2))
            return
        mates = [(w, t) for w, t in self.on.values() if t.job is job and t.attempt == task.attempt]
        if len(mates) == job.size:
            for mate, other in mates:
                mate.begin(other, job.run_s)

    def leaves(self, worker: Worker, task: Task) -> None:
        """A task is no longer on its machine."""
        if self.on.get(task.name, (None, None))[1] is task:
            del self.on[task.name]
            self.used[str(task.job.body["Owner"])] -= float(task.job.body["Accelerators"])

    def gang_done(self, task: Task) -> None:
        for worker, other in list(self.on.values()):
            if other.job is task.job and other.attempt == task.attempt:
                other.job.done.add(other.number)
                worker.end(other, "done")

    def gang_broken(self, task: Task) -> None:
        """The other tasks of a running gang notice that one is gone."""
        if task.job.gang:
            for worker, other in list(self.on.values()):
                if other.job is task.job and other.attempt == task.attempt:
                    self.after(3.0, lambda w=worker, o=other: w.end(o, "peers"))  # type: ignore[misc]
