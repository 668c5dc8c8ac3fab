"""State service, cloud and workers on loopback, enough to try coursefold by hand.

    python3 -m tests.standins.servers --state 127.0.0.1:2379 --cloud 127.0.0.1:8443 \\
        --controllers worker-0=127.0.0.1:8080

Machines are up after `--boot` seconds; a task's image takes half a second, and
the task runs for `--run` seconds (a service runs until it is stopped).
"""

import argparse
import asyncio
import contextlib
import time
from typing import Any

import msgspec
from tornado.httputil import HTTPServerRequest
from tornado.web import Application, RequestHandler

from coursefold.protocol.ids import JobId
from coursefold.protocol.wire import encode
from coursefold.storage import codec, records
from coursefold.transport.http_client import HttpClient, NoResponseError
from tests.standins.state import StateStore

CATALOG = {
    "Builds": [
        {
            "Name": "g2", "Vcpus": 16.0, "Accelerators": 2.0, "MemoryGb": 64.0, "CacheGb": 100.0,
            "FetchGbPerS": 0.5, "Hourly": 5.0, "LowPrice": 2.0, "BootS": 1.0, "Sites": ["a", "b"],
        }
    ]
}  # fmt: skip


class Handler(RequestHandler):
    """MessagePack in and out."""

    request: HTTPServerRequest

    def initialize(self, owner: Any) -> None:
        self.owner = owner

    def reply(self, status: int, body: Any) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/msgpack")
        self.finish(encode(body))

    def body(self) -> Any:
        return msgspec.msgpack.decode(self.request.body) if self.request.body else {}


class KeysHandler(Handler):
    def get(self, key: str) -> None:
        store: StateStore = self.owner
        store.expire(time.monotonic())
        if key:
            row = store.row(key.lstrip("/"))
            self.reply(200, row) if row else self.reply(404, {"Ledger": store.revision})
            return
        rows = store.rows(self.get_argument("Prefix"), self.get_argument("From", ""))
        self.reply(200, {"Rows": rows, "More": False, "Ledger": store.revision})


class CommitHandler(Handler):
    def post(self) -> None:
        self.reply(*self.owner.commit(time.monotonic(), self.body()))


class LeasesHandler(Handler):
    def post(self, permit: str, touch: str) -> None:
        now = time.monotonic()
        if not permit:
            self.reply(200, {"Permit": self.owner.grant(now, self.body()["LifeMs"])})
        else:
            known = self.owner.touch(now, int(permit))
            self.reply(200 if known else 404, {"Permit": int(permit)})


class WatchHandler(Handler):
    async def get(self) -> None:
        store: StateStore = self.owner
        since, prefix = int(self.get_argument("From")), self.get_argument("Prefix")
        until = time.monotonic() + int(self.get_argument("WaitMs", "0")) / 1000
        while not (news := store.since(since, prefix)) and time.monotonic() < until:
            store.expire(time.monotonic())
            await asyncio.sleep(0.005)
        self.reply(200, {"Ledger": store.revision, "News": news})


def state_app(store: StateStore) -> Application:
    return Application(
        [
            (r"/keys(/.*)?", KeysHandler, {"owner": store}),
            (r"/commit", CommitHandler, {"owner": store}),
            (r"/leases/?(\d*)/?(touch)?", LeasesHandler, {"owner": store}),
            (r"/follow", WatchHandler, {"owner": store}),
        ]
    )


class Worker:
    """A machine's agent: reports, obeys, and plays its tasks by the clock."""

    def __init__(self, box: str, body: dict[str, Any], cloud: "Cloud") -> None:
        self.name, self.body, self.cloud = box, body, cloud
        self.controllers, self.run_s = cloud.controllers, cloud.run_s
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.sequence = self.token = 0
        self.session = 1
        self.lease_started_at = time.monotonic()
        self.started: list[str] = []

    def expire(self) -> None:
        """All tasks end with the lease: when the last answered report was sent too long ago."""
        if time.monotonic() - self.lease_started_at > self.cloud.lease_s:
            self.tasks.clear()
            self.session += 1
            self.lease_started_at = time.monotonic()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["Piece"], order["Try"])
            if order["Verb"] == "run" and key not in self.tasks:
                self.tasks[key] = {"Piece": key[0], "Try": key[1], "at": time.monotonic()}
                self.started.append(key[0])
            elif order["Verb"] == "stop" and key in self.tasks:
                self.tasks[key].setdefault("Cause", "halted")
            elif order["Verb"] == "forget":
                self.tasks.pop(key, None)

    def report_tasks(self) -> list[dict[str, Any]]:
        self.expire()
        found = []
        for task in self.tasks.values():
            age = time.monotonic() - task["at"]
            if age > self.run_s + 0.5 and not self.cloud.is_service(task["Piece"]):
                task.setdefault("Cause", "done")
            status = "exited" if "Cause" in task else "pulling" if age < 0.5 else "running"
            shown = {"Piece": task["Piece"], "Try": task["Try"], "Status": status}
            found.append(shown | ({"Cause": task["Cause"]} if "Cause" in task else {}))
        return found

    async def send_reports(self) -> None:
        names = sorted(self.controllers)
        at = 0
        clients = {name: HttpClient(address, 1) for name, address in self.controllers.items()}
        while True:
            self.sequence += 1
            shown, session, sent = self.report_tasks(), self.session, time.monotonic()
            report = self.body | {
                "Box": self.name, "Addr": "127.0.0.1:9", "Shift": session,
                "Counter": self.sequence, "Baton": self.token, "RecallS": None, "Pieces": shown,
            }  # fmt: skip
            pause = 0.3
            try:
                status, answer = await clients[names[at]].fetch(
                    "POST", "/agent/beat", encode(report), 4.0
                )
                body = msgspec.msgpack.decode(answer)
                self.expire()
                if status == 200 and body["Baton"] >= self.token and session == self.session:
                    self.lease_started_at = sent
                    self.token = body["Baton"]
                    self.execute(body["Orders"])
                elif status == 421 and body.get("Foreman") in self.controllers:
                    at, pause = names.index(body["Foreman"]), 0.05
                else:
                    at, pause = (at + 1) % len(names), 0.5
            except NoResponseError:
                at, pause = (at + 1) % len(names), 0.5
            await asyncio.sleep(pause)


class Cloud:
    """Rents workers and takes them back."""

    def __init__(
        self,
        controllers: dict[str, str],
        boot_s: float,
        run_s: float,
        store: StateStore,
        capacity: int = 100_000,
        lease_s: float = 10.0,
    ) -> None:
        self.capacity, self.lease_s = capacity, lease_s
        self.controllers, self.boot_s, self.run_s, self.store = controllers, boot_s, run_s, store
        self.rented = 0
        self.rentals: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.agent_tasks: dict[str, asyncio.Task[None]] = {}

    def is_service(self, task: str) -> bool:
        """Users upload descriptions for the workers; here the record serves for that."""
        key = records.job_key(JobId(task.partition("/")[0]))
        row = self.store.row(key)
        record = codec.decode_record(key, row["Value"]) if row else None
        return isinstance(record, records.JobRecord) and record.spec.kind == "standing"

    def hire(self, body: dict[str, Any]) -> list[str]:
        if body["Hire"] not in self.rentals:
            count = min(body["Count"], self.capacity - len(self.machines))
            if count <= 0:
                return []
            names = [f"i-{self.rented + n:06d}" for n in range(count)]
            self.rented += count
            self.rentals[body["Hire"]] = names
            for name in names:
                kind = {key: body[key] for key in ("Build", "Site", "Loaners")}
                self.machines[name] = kind | {"at": time.monotonic()}
                self.agent_tasks[name] = asyncio.ensure_future(self._boot(name, kind))
        return self.rentals[body["Hire"]]

    async def _boot(self, name: str, kind: dict[str, Any]) -> None:
        await asyncio.sleep(self.boot_s)
        self.workers[name] = Worker(name, kind, self)
        await self.workers[name].send_reports()

    def return_machines(self, names: list[str]) -> None:
        for name in names:
            if name in self.agent_tasks:
                self.agent_tasks.pop(name).cancel()
                self.machines.pop(name)

    def stop(self) -> None:
        """All machines end at once, with what is on them."""
        for task in self.agent_tasks.values():
            task.cancel()
        self.workers.clear()

    def listing(self) -> list[dict[str, Any]]:
        return [
            {
                "NameId": name, "Addr": "127.0.0.1:9", "Build": box["Build"], "Site": box["Site"],
                "Loaners": box["Loaners"], "HeldS": time.monotonic() - box["at"],
                "Status": "running" if name in self.workers else "starting",
            }
            for name, box in self.machines.items()
        ]  # fmt: skip


class CloudHandler(Handler):
    def get(self, path: str) -> None:
        if path == "catalog":
            self.reply(200, CATALOG)
        else:
            self.reply(200, {"Boxes": self.owner.listing(), "More": False})

    def post(self, path: str) -> None:
        if path == "machines":
            names = self.owner.hire(self.body())
            status = 200 if names else 503
            self.reply(status, {"Boxes": names} if names else {"error": "no capacity"})
        else:
            self.owner.return_machines(self.body()["Boxes"])
            self.reply(200, {})


def cloud_app(cloud: Cloud) -> Application:
    return Application([(r"/(catalog|machines|machines/return)", CloudHandler, {"owner": cloud})])


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--state", default="127.0.0.1:2379")
    parser.add_argument("--cloud", default="127.0.0.1:8443")
    parser.add_argument("--controllers", nargs="+", default=["worker-0=127.0.0.1:8080"])
    parser.add_argument("--boot", type=float, default=2.0)
    parser.add_argument("--run", type=float, default=5.0)
    parser.add_argument("--capacity", type=int, default=100_000, help="machines at most")
    args = parser.parse_args()
    nodes = dict(item.split("=", 1) for item in args.controllers)
    store = StateStore()
    for app, address in (
        (state_app(store), args.state),
        (cloud_app(Cloud(nodes, args.boot, args.run, store, args.capacity)), args.cloud),
    ):
        host, port = address.rsplit(":", 1)
        app.listen(int(port), host)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
