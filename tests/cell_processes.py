"""A cell of real processes on loopback: its stand-ins here, its controllers beside us."""

import asyncio
import copy
import json
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from coursefold.protocol.wire import encode
from coursefold.transport.http_client import HttpClient, NoResponseError
from tests.standins.servers import Cloud, cloud_app, state_app
from tests.standins.state import StateStore
from tests.test_loopback import find_free_ports
from tests.world import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
NAMES = ("east", "north", "west")
CONTROLLERS = 2
MACHINES = {"east": 3, "north": 8, "west": 8}
WORKERS = SETTINGS["params"]["workers"] | {"report_s": 0.5, "lease_s": 3.0, "cancel_s": 20.0}
SPILL = {"after_s": 1.0, "min_gain_s": 2.0, "return_pause_s": 5.0}
RUN_S = 5.0


def toml(value: Any) -> str:
    """A value as TOML, tables inline."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {toml(inner)}" for key, inner in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return json.dumps(value)


def write(path: Path, table: dict[str, Any]) -> Path:
    path.write_text("".join(f"{key} = {toml(value)}\n" for key, value in table.items()))
    return path


class Cell:
    """One cell: its stand-ins in this process, its controllers in their own."""

    def __init__(self, name: str, folder: Path, controllers: int = CONTROLLERS) -> None:
        self.name, self.folder, self.size = name, folder, controllers
        # Users, siblings and other cells for each controller, then state service and cloud.
        ports = find_free_ports(3 * controllers + 2)
        self.users = [f"127.0.0.1:{port}" for port in ports[:controllers]]
        self.siblings = [f"127.0.0.1:{port}" for port in ports[controllers : 2 * controllers]]
        host = f"127.0.{NAMES.index(name) + 1}.1"
        self.addresses = [f"{host}:{port}" for port in ports[2 * controllers : -2]]
        self.state, self.cloud_at = ports[-2:]
        self.store = StateStore()
        nodes = {f"n{at}": address for at, address in enumerate(self.users)}
        self.cloud = Cloud(
            nodes, 0.3, RUN_S, self.store, MACHINES[name], lease_s=WORKERS["lease_s"]
        )
        self.processes: list[subprocess.Popen[bytes]] = []

    def entry(self) -> dict[str, Any]:
        """What the other cells know of it."""
        network = f"127.0.{NAMES.index(self.name) + 1}.0/24"
        controllers = {f"n{at}": address for at, address in enumerate(self.addresses)}
        return {"name": self.name, "controllers": controllers, "networks": [network]}

    def settings(self, at: int) -> dict[str, Any]:
        raw = copy.deepcopy(SETTINGS)
        raw["params"]["workers"] = WORKERS
        return raw | {
            "member": f"n{at}",
            "zone": "ab"[at % 2],
            "listen": self.users[at],
            "peer_listen": self.siblings[at],
            "siblings": [
                {"member": f"n{i}", "zone": "ab"[i % 2], "peer_addr": self.siblings[i]}
                for i in range(self.size)
                if i != at
            ],
            "services": {
                "state": f"127.0.0.1:{self.state}",
                "cloud": f"127.0.0.1:{self.cloud_at}",
            },
        }

    def start(self, cells: list["Cell"]) -> None:
        self.apps = [
            state_app(self.store).listen(self.state, "127.0.0.1"),
            cloud_app(self.cloud).listen(self.cloud_at, "127.0.0.1"),
        ]
        self.options = self.files(cells)
        self.processes = [self.process(at) for at in range(self.size)]

    def files(self, cells: list["Cell"]) -> list[str]:
        """Write the file of the subsystem that is tried; the options that name it."""
        table = {"cell": self.name, "grant_s": 4.0, "spill": SPILL}
        file = write(
            self.folder / f"{self.name}.cells.toml",
            table | {"cells": [cell.entry() for cell in cells]},
        )
        return ["--cells", str(file)]

    def process(self, at: int) -> "subprocess.Popen[bytes]":
        """Start one controller."""
        config = write(self.folder / f"{self.name}{at}.toml", self.settings(at))
        words = ["-m", "coursefold", "serve", "--config", str(config), *self.options]
        with (self.folder / f"{self.name}{at}.log").open("ab") as log:
            return subprocess.Popen([sys.executable, *words], cwd=ROOT, stderr=log)

    def stop(self) -> None:
        """Controllers, state service, cloud and machines end at once."""
        for process in self.processes:
            process.kill()
            process.wait()
        self.processes.clear()
        for app in self.apps:
            app.stop()
        self.apps.clear()
        self.cloud.stop()

    async def ask(self, method: str, path: str, body: Any = None, node: int = 0) -> tuple[int, Any]:
        payload = None if body is None else encode(body)
        try:
            status, answer = await HttpClient(self.users[node], 1).fetch(method, path, payload, 5.0)
        except NoResponseError:
            return 0, {}
        return status, msgspec.msgpack.decode(answer)

    async def answer(self, method: str, path: str, node: int = 0) -> tuple[int, Any]:
        """Ask again for as long as users would: no answer, or not now."""
        while True:
            status, body = await self.ask(method, path, node=node)
            if status not in (0, 429, 503):
                return status, body
            await asyncio.sleep(0.1)

    async def until_healthy(self) -> None:
        for node in range(self.size):
            while (await self.ask("GET", "/healthz", node=node))[0] != 200:
                await asyncio.sleep(0.1)

    def live(self) -> Counter[str]:
        """Tasks that run or fetch on machines of this cell."""
        return Counter(
            task["Piece"]
            for name, worker in self.cloud.workers.items()
            for task in worker.shown()
            if name in self.cloud.tasks and task["Status"] != "exited"
        )
