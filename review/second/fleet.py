"""A cloud and its workers, which follow the users' page.

A machine has a worker with a port of its own for direct commands. Whatever starts on a machine,
leaves it or is commanded there is written into the record of the case.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

Log = Callable[..., None]


def answer(request: HTTPServerRequest, status: int, body: Any) -> None:
    """Send the answer to a request; a client that has gone is ignored."""
    payload = msgspec.msgpack.encode(body)
    headers = HTTPHeaders({"Content-Length": str(len(payload))})
    try:
        assert request.connection is not None
        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, "x"), headers, payload
        )
        request.connection.finish()
    except Exception:
        return


async def fetch(
    client: AsyncHTTPClient, method: str, url: str, body: Any = None, timeout: float = 5.0
) -> tuple[int, Any]:
    """Send one request and return status and body; status 0 if there was no answer."""
    payload = None if body is None else msgspec.msgpack.encode(body)
    if payload is None and method == "POST":
        payload = b""
    request = HTTPRequest(
        url, method=method, body=payload, request_timeout=timeout, connect_timeout=timeout
    )
    try:
        found = await client.fetch(request, raise_error=False)
        if found.code == 599 or not found.body:
            return 0, {}
        return found.code, msgspec.msgpack.decode(found.body)
    except Exception:
        return 0, {}


class Task:
    """One attempt of a task on a machine."""

    def __init__(self, name: str, attempt: int) -> None:
        self.name, self.attempt = name, attempt
        self.state, self.cause = "pulling", ""
        self.ready_at = self.end_at = 0.0

    def row(self) -> dict[str, Any]:
        """Return the entry of a report."""
        row = {"Piece": self.name, "Try": self.attempt, "Status": self.state}
        return row | {"Cause": self.cause} if self.cause else row


class Worker:
    """A machine's agent.

    Attributes:
        node: Index of the controller that gets the next report.
    """

    def __init__(self, cloud: "Cloud", name: str, pool: dict[str, Any]) -> None:
        self.cloud, self.name, self.pool = cloud, name, pool
        self.tasks: dict[tuple[str, int], Task] = {}
        self.session, self.sequence, self.token = 1, 0, 0
        self.lease_from = time.monotonic()
        self.node = random.randrange(len(cloud.nodes))
        self.wake = asyncio.Event()
        self.client = AsyncHTTPClient(force_instance=True)
        self.gone = False
        self.server = HTTPServer(self._receive)
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def live(self) -> list[Task]:
        """Return the tasks that are on the machine."""
        return [task for task in self.tasks.values() if task.state != "exited"]

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.sequence += 1
        return self.pool | {
            "Box": self.name, "Addr": self.address, "Shift": self.session,
            "Counter": self.sequence, "Baton": self.token, "RecallS": None,
            "Pieces": [task.row() for task in self.tasks.values()],
        }  # fmt: skip

    async def run(self) -> None:
        """Report and run tasks until the machine is gone."""
        self.cloud.log("machine up", self.name, **self.pool)
        reports = asyncio.ensure_future(self._report_forever())
        try:
            while True:
                await asyncio.sleep(0.05)
                self._advance()
        finally:
            reports.cancel()
            self.server.stop()
            self.client.close()

    def end(self) -> None:
        """Note that the machine and everything on it is gone."""
        self.gone = True
        for task in self.live():
            self.cloud.left(self, task, "machine gone")
        self.tasks.clear()

    def _advance(self) -> None:
        now = time.monotonic()
        if now - self.lease_from > self.cloud.timing["lease_s"]:
            self.cloud.log("lease ended", self.name, session=self.session)
            for task in self.live():
                self.cloud.left(self, task, "lease ended")
            self.tasks.clear()
            self.session, self.lease_from = self.session + 1, now
            self.wake.set()
        for task in list(self.tasks.values()):
            if task.state == "pulling" and now >= task.ready_at:
                self._begin(task, now)
            elif task.state == "running" and now >= task.end_at:
                self._exit(task, "done")

    def _begin(self, task: Task, now: float) -> None:
        if task.name in self.cloud.finished:
            self._exit(task, "done")
            return
        task.state, task.end_at = "running", now + self.cloud.run_s(task.name)
        self.cloud.started(self, task)
        self.wake.set()

    def _exit(self, task: Task, cause: str) -> None:
        if cause == "done":
            self.cloud.finished.add(task.name)
        if task.state != "pulling":
            self.cloud.left(self, task, cause)
        task.state, task.cause = "exited", cause
        self.wake.set()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Carry out commands in order."""
        for order in orders:
            key = (order["Piece"], order["Try"])
            task = self.tasks.get(key)
            if order["Verb"] == "run" and task is None:
                task = self.tasks[key] = Task(*key)
                task.ready_at = time.monotonic() + self.cloud.fetch_s
                if any(t.name == key[0] and t is not task for t in self.live()):
                    task.state, task.cause = "exited", "busy"
                self.cloud.log("run", f"{key[0]}#{key[1]}", on=self.name)
            elif order["Verb"] == "stop" and task is not None and task.state != "exited":
                self._exit(task, "halted")
            elif order["Verb"] == "forget" and task is not None and task.state == "exited":
                del self.tasks[key]
        if orders:
            self.wake.set()

    def _receive(self, request: HTTPServerRequest) -> None:
        if request.path == "/status":
            answer(request, 200, self.report())
            return
        body = msgspec.msgpack.decode(request.body)
        if "Baton" not in body or "Shift" not in body:
            answer(request, 400, {"error": "Baton or Shift is missing"})
            return
        if body["Baton"] < self.token or body["Shift"] != self.session:
            answer(request, 409, self.report())
            return
        self.token = body["Baton"]
        self.cloud.log("direct", self.name, orders=body["Orders"])
        self.execute(body["Orders"])
        answer(request, 200, self.report())

    async def _report_forever(self) -> None:
        timing = self.cloud.timing
        while True:
            sent_at, session = time.monotonic(), self.session
            self.wake.clear()
            nodes = self.cloud.nodes
            name = list(nodes)[self.node]
            url = f"http://{nodes[name]}/agent/beat"
            status, body = await fetch(self.client, "POST", url, self.report(), 4.0)
            pause = 1.0
            if status == 200 and session == self.session and body.get("Baton", -1) >= self.token:
                self.token, self.lease_from = body["Baton"], sent_at
                self.execute(body["Orders"])
                pause = timing["report_s"] * random.uniform(0.75, 1.25)
            elif status == 200:
                pause = timing["report_s"]
            elif status == 421 and body.get("Foreman") in nodes and body["Foreman"] != name:
                self.node, pause = list(nodes).index(body["Foreman"]), random.uniform(0.0, 0.5)
            else:
                self.node = (self.node + 1) % len(nodes)
            wait_until = time.monotonic() + pause
            if status == 200:
                await asyncio.sleep(0.5)
                left = wait_until - time.monotonic()
                try:
                    async with asyncio.timeout(max(0.001, left)):
                        await self.wake.wait()
                except TimeoutError:
                    pass
            else:
                await asyncio.sleep(pause)


class Cloud:
    """Rents out machines.

    Attributes:
        nodes: Addresses of the controllers, by name.
        on: Which task attempts are on a machine, by task.
        finished: Tasks that have completed.
        starts: Task starts so far: task, attempt, machine and time.
    """

    def __init__(
        self, catalog: list[dict[str, Any]], timing: dict[str, float], nodes: dict[str, str],
        run_s: Callable[[str], float], log: Log, *, boot_s: float = 2.0, fetch_s: float = 0.5,
        capacity: int = 28, list_lag_s: float = 1.0,
    ) -> None:  # fmt: skip
        self.catalog, self.timing, self.nodes = catalog, timing, nodes
        self.run_s, self.log = run_s, log
        self.boot_s, self.fetch_s, self.capacity, self.list_lag_s = (
            boot_s, fetch_s, capacity, list_lag_s,
        )  # fmt: skip
        self.hires: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.agents: dict[str, asyncio.Task[None]] = {}
        self.rented = 0
        self.finished: set[str] = set()
        self.on: dict[str, set[tuple[str, int]]] = {}
        self.starts: list[tuple[str, int, str, float]] = []
        self.doubles: list[str] = []
        self.server = HTTPServer(self._receive)
        sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])

    def started(self, worker: Worker, task: Task) -> None:
        """Note that a task starts; one that is on another machine breaks a rule."""
        place = (worker.name, task.attempt)
        others = self.on.setdefault(task.name, set())
        if any(machine != worker.name for machine, _ in others):
            self.doubles.append(f"{task.name} starts on {worker.name} while it is on {others}")
            self.log("RAN TWICE", task.name, on=worker.name, also=sorted(others))
        others.add(place)
        self.starts.append((task.name, task.attempt, worker.name, time.monotonic()))
        self.log("start", f"{task.name}#{task.attempt}", on=worker.name)

    def left(self, worker: Worker, task: Task, why: str) -> None:
        """Note that a task is on its machine no more."""
        self.on.get(task.name, set()).discard((worker.name, task.attempt))
        self.log("left", f"{task.name}#{task.attempt}", on=worker.name, why=why)

    def _receive(self, request: HTTPServerRequest) -> None:
        asyncio.ensure_future(self._answer(request))  # noqa: RUF006 (ends with the case)

    async def _answer(self, request: HTTPServerRequest) -> None:
        await asyncio.sleep(0.1)
        url = urlsplit(request.uri or "")
        body = msgspec.msgpack.decode(request.body) if request.body else {}
        if url.path == "/catalog":
            answer(request, 200, {"Builds": self.catalog})
        elif request.method == "GET":
            query = {key: values[0] for key, values in parse_qs(url.query).items()}
            answer(request, 200, self._list(query.get("From", ""), int(query.get("Page", 500))))
        elif url.path == "/machines":
            names = self._hire(body)
            found = {"Boxes": names} if names else {"error": "no capacity"}
            answer(request, 200 if names else 503, found)
        else:
            for name in body["Boxes"]:
                self._return(name)
            answer(request, 200, {})

    def _list(self, after: str, page: int) -> dict[str, Any]:
        now = time.monotonic() - self.list_lag_s
        rows = [
            {
                "NameId": name, "Addr": self.workers[name].address if name in self.workers else "",
                "Build": m["Build"], "Site": m["Site"], "Loaners": m["Loaners"],
                "Status": "running" if name in self.workers else "starting",
                "HeldS": max(0.0, now - m["at"]),
            }
            for name, m in sorted(self.machines.items())
            if name > after and m["at"] <= now
        ]  # fmt: skip
        return {"Boxes": rows[:page], "More": len(rows) > page}

    def _hire(self, body: dict[str, Any]) -> list[str]:
        if body["Hire"] not in self.hires:
            count = min(body["Count"], self.capacity - len(self.machines))
            if count <= 0:
                return []
            names = [f"i-{self.rented + index:06d}" for index in range(count)]
            self.rented += count
            self.hires[body["Hire"]] = names
            pool = {key: body[key] for key in ("Build", "Site", "Loaners")}
            for name in names:
                self.machines[name] = pool | {"at": time.monotonic()}
                self.agents[name] = asyncio.ensure_future(self._boot(name, pool))
            self.log("hire", body["Hire"], machines=names, **pool)
        return self.hires[body["Hire"]]

    async def _boot(self, name: str, pool: dict[str, Any]) -> None:
        await asyncio.sleep(self.boot_s)
        self.workers[name] = Worker(self, name, pool)
        await self.workers[name].run()

    def _return(self, name: str) -> None:
        if self.machines.pop(name, None) is not None:
            self.log("machine returned", name)
            worker = self.workers.pop(name, None)
            if worker is not None:
                worker.end()
            self.agents.pop(name).cancel()
