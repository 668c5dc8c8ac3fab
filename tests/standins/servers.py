"""Run a state service, a cloud and workers on loopback, to try coursefold by hand.

    python3 -m tests.standins.servers --state 127.0.0.1:2379 --cloud 127.0.0.1:8443 \\
        --controllers worker-0=127.0.0.1:8080

A machine takes `--boot` seconds to boot. A task fetches its image for half a second and then
runs for `--run` seconds; a task of a service runs until it is stopped.
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
    """A request handler with MessagePack bodies."""

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
    """Reads of one key or of all keys with a prefix."""

    def get(self, key: str) -> None:
        store: StateStore = self.owner
        store.expire(time.monotonic())
        if key:
            row = store.row(key.lstrip("/"))
            self.reply(200, row) if row else self.reply(404, {"Ledger": store.revision})
            return
        page_size = int(self.get_argument("Page", "1000"))
        after = self.get_argument("From", "")
        self.reply(200, store.page(self.get_argument("Prefix"), after, page_size))


class CommitHandler(Handler):
    """Transactions."""

    def post(self) -> None:
        self.reply(*self.owner.commit(time.monotonic(), self.body()))


class LeasesHandler(Handler):
    """Grants and renewals of leases."""

    def post(self, lease_id: str, touch: str) -> None:
        now = time.monotonic()
        if not lease_id:
            self.reply(200, {"Permit": self.owner.grant(now, self.body()["LifeMs"])})
        else:
            is_known = self.owner.touch(now, int(lease_id))
            self.reply(200 if is_known else 404, {"Permit": int(lease_id)})


class WatchHandler(Handler):
    """Changes after a revision, with a long poll of up to `WaitMs`."""

    async def get(self) -> None:
        store: StateStore = self.owner
        since, prefix = int(self.get_argument("From")), self.get_argument("Prefix")
        until = time.monotonic() + int(self.get_argument("WaitMs", "0")) / 1000
        while not (changes := store.since(since, prefix)) and time.monotonic() < until:
            store.expire(time.monotonic())
            await asyncio.sleep(0.005)
        self.reply(200, {"Ledger": store.revision, "News": changes})


def state_app(store: StateStore) -> Application:
    """Return the web application of the state service."""
    return Application(
        [
            (r"/keys(/.*)?", KeysHandler, {"owner": store}),
            (r"/commit", CommitHandler, {"owner": store}),
            (r"/leases/?(\d*)/?(touch)?", LeasesHandler, {"owner": store}),
            (r"/follow", WatchHandler, {"owner": store}),
        ]
    )


class Worker:
    """A machine's agent: sends reports, carries out commands and simulates its tasks.

    Attributes:
        body: Fields that are the same in all reports.
        tasks: The tasks, by name and attempt.
        lease_started_at: When the last report that got a response was sent.
        started: Names of all tasks that were started.
    """

    def __init__(self, name: str, body: dict[str, Any], cloud: "Cloud") -> None:
        self.name, self.body, self.cloud = name, body, cloud
        self.controllers, self.run_s = cloud.controllers, cloud.run_s
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.sequence = self.token = 0
        self.session = 1
        self.lease_started_at = time.monotonic()
        self.started: list[str] = []

    def expire(self) -> None:
        """End the session and all tasks if the last answered report is older than the lease."""
        if time.monotonic() - self.lease_started_at > self.cloud.lease_s:
            self.tasks.clear()
            self.session += 1
            self.lease_started_at = time.monotonic()

    def execute(self, commands: list[dict[str, Any]]) -> None:
        """Carry out the commands of a response."""
        for command in commands:
            key = (command["Piece"], command["Try"])
            if command["Verb"] == "run" and key not in self.tasks:
                self.tasks[key] = {"Piece": key[0], "Try": key[1], "at": time.monotonic()}
                self.started.append(key[0])
            elif command["Verb"] == "stop" and key in self.tasks:
                self.tasks[key].setdefault("Cause", "halted")
            elif command["Verb"] == "forget":
                self.tasks.pop(key, None)

    def report_tasks(self) -> list[dict[str, Any]]:
        """Return the entries of all tasks for a report."""
        self.expire()
        found = []
        for task in self.tasks.values():
            age_s = time.monotonic() - task["at"]
            if age_s > self.run_s + 0.5 and not self.cloud.is_service(task["Piece"]):
                task.setdefault("Cause", "done")
            status = "exited" if "Cause" in task else "pulling" if age_s < 0.5 else "running"
            report = {"Piece": task["Piece"], "Try": task["Try"], "Status": status}
            found.append(report | ({"Cause": task["Cause"]} if "Cause" in task else {}))
        return found

    async def send_reports(self) -> None:
        """Send reports forever, to another controller whenever one does not accept them."""
        names = sorted(self.controllers)
        index = 0
        clients = {name: HttpClient(address, 1) for name, address in self.controllers.items()}
        while True:
            self.sequence += 1
            reports, session, sent_at = self.report_tasks(), self.session, time.monotonic()
            report = self.body | {
                "Box": self.name, "Addr": "127.0.0.1:9", "Shift": session,
                "Counter": self.sequence, "Baton": self.token, "RecallS": None, "Pieces": reports,
            }  # fmt: skip
            pause = 0.3
            try:
                status, answer = await clients[names[index]].fetch(
                    "POST", "/agent/beat", encode(report), 4.0
                )
                body = msgspec.msgpack.decode(answer)
                self.expire()
                if status == 200 and body["Baton"] >= self.token and session == self.session:
                    self.lease_started_at = sent_at
                    self.token = body["Baton"]
                    self.execute(body["Orders"])
                elif status == 421 and body.get("Foreman") in self.controllers:
                    index, pause = names.index(body["Foreman"]), 0.05
                else:
                    index, pause = (index + 1) % len(names), 0.5
            except NoResponseError:
                index, pause = (index + 1) % len(names), 0.5
            await asyncio.sleep(pause)


class Cloud:
    """The cloud: rents out machines with their workers and takes them back.

    Attributes:
        controllers: Addresses of the controllers, by name.
        boot_s: Time that a machine takes to boot.
        run_s: How long a task runs.
        capacity: Maximum number of machines at a time.
        lease_s: Lease of the workers.
        machines: Pool and start time of the rented machines, by name.
        workers: Workers of the machines that have booted, by name.
        agent_tasks: The asyncio tasks that run the machines, by name.
    """

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
        """Return whether a task belongs to a service.

        Real workers have the job description, which users upload; this one reads the job record.
        """
        key = records.job_key(JobId(task.partition("/")[0]))
        row = self.store.row(key)
        record = codec.decode_record(key, row["Value"]) if row else None
        return isinstance(record, records.JobRecord) and record.spec.kind == "standing"

    def hire(self, body: dict[str, Any]) -> list[str]:
        """Rent out machines and return their names; empty if the capacity is used up.

        A repeated rental id gets the same machines again.
        """
        if body["Hire"] not in self.rentals:
            count = min(body["Count"], self.capacity - len(self.machines))
            if count <= 0:
                return []
            names = [f"i-{self.rented + n:06d}" for n in range(count)]
            self.rented += count
            self.rentals[body["Hire"]] = names
            for name in names:
                pool = {key: body[key] for key in ("Build", "Site", "Loaners")}
                self.machines[name] = pool | {"at": time.monotonic()}
                self.agent_tasks[name] = asyncio.ensure_future(self._boot(name, pool))
        return self.rentals[body["Hire"]]

    async def _boot(self, name: str, pool: dict[str, Any]) -> None:
        await asyncio.sleep(self.boot_s)
        self.workers[name] = Worker(name, pool, self)
        await self.workers[name].send_reports()

    def return_machines(self, names: list[str]) -> None:
        """Stop the named machines and remove them."""
        for name in names:
            if name in self.agent_tasks:
                self.agent_tasks.pop(name).cancel()
                self.machines.pop(name)

    def stop(self) -> None:
        """Stop all machines, with the tasks on them, at once."""
        for task in self.agent_tasks.values():
            task.cancel()
        self.workers.clear()

    def listing(self) -> list[dict[str, Any]]:
        """Return the entries of the machine list."""
        return [
            {
                "NameId": name, "Addr": "127.0.0.1:9", "Build": machine["Build"],
                "Site": machine["Site"], "Loaners": machine["Loaners"],
                "HeldS": time.monotonic() - machine["at"],
                "Status": "running" if name in self.workers else "starting",
            }
            for name, machine in self.machines.items()
        ]  # fmt: skip


class CloudHandler(Handler):
    """Catalog, machine list, rentals and returns."""

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
    """Return the web application of the cloud."""
    return Application([(r"/(catalog|machines|machines/return)", CloudHandler, {"owner": cloud})])


async def main() -> None:
    """Serve the state service and the cloud until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--state", default="127.0.0.1:2379")
    parser.add_argument("--cloud", default="127.0.0.1:8443")
    parser.add_argument("--controllers", nargs="+", default=["worker-0=127.0.0.1:8080"])
    parser.add_argument("--boot", type=float, default=2.0)
    parser.add_argument("--run", type=float, default=5.0)
    parser.add_argument("--capacity", type=int, default=100_000, help="machines at most")
    args = parser.parse_args()
    controllers = dict(item.split("=", 1) for item in args.controllers)
    store = StateStore()
    for app, address in (
        (state_app(store), args.state),
        (cloud_app(Cloud(controllers, args.boot, args.run, store, args.capacity)), args.cloud),
    ):
        host, port = address.rsplit(":", 1)
        app.listen(int(port), host)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
