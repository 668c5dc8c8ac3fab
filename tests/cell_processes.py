"""Run a cell on loopback: stand-ins in this process, controllers in processes of their own."""

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
    """Return a value as TOML, with inline tables."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {toml(inner)}" for key, inner in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return json.dumps(value)


def write_toml(path: Path, table: dict[str, Any]) -> Path:
    """Write a table as a TOML file and return its path."""
    path.write_text("".join(f"{key} = {toml(value)}\n" for key, value in table.items()))
    return path


class Cell:
    """One cell with its own state service and cloud.

    Attributes:
        user_addresses: Addresses for users and workers, by controller.
        peer_addresses: Addresses for siblings, by controller.
        cell_addresses: Addresses for other cells, by controller.
        state_port: Port of the stand-in state service.
        cloud_port: Port of the stand-in cloud.
        processes: The running controllers.
        options: Command-line options that name the file of the subsystem under test.
    """

    def __init__(self, name: str, directory: Path, controllers: int = CONTROLLERS) -> None:
        self.name, self.directory, self.controller_count = name, directory, controllers
        # Each controller has ports for users, siblings and other cells; the last two ports are
        # those of the state service and the cloud.
        ports = find_free_ports(3 * controllers + 2)
        self.user_addresses = [f"127.0.0.1:{port}" for port in ports[:controllers]]
        self.peer_addresses = [f"127.0.0.1:{port}" for port in ports[controllers : 2 * controllers]]
        host = f"127.0.{NAMES.index(name) + 1}.1"
        self.cell_addresses = [f"{host}:{port}" for port in ports[2 * controllers : -2]]
        self.state_port, self.cloud_port = ports[-2:]
        self.store = StateStore()
        nodes = {f"n{index}": address for index, address in enumerate(self.user_addresses)}
        self.cloud = Cloud(
            nodes, 0.3, RUN_S, self.store, MACHINES[name], lease_s=WORKERS["lease_s"]
        )
        self.processes: list[subprocess.Popen[bytes]] = []

    def entry(self) -> dict[str, Any]:
        """Return this cell's entry in the cells files."""
        network = f"127.0.{NAMES.index(self.name) + 1}.0/24"
        controllers = {f"n{index}": address for index, address in enumerate(self.cell_addresses)}
        return {"name": self.name, "controllers": controllers, "networks": [network]}

    def settings(self, index: int) -> dict[str, Any]:
        """Return the settings of one controller."""
        raw = copy.deepcopy(SETTINGS)
        raw["params"]["workers"] = WORKERS
        return raw | {
            "member": f"n{index}",
            "zone": "ab"[index % 2],
            "listen": self.user_addresses[index],
            "peer_listen": self.peer_addresses[index],
            "siblings": [
                {"member": f"n{i}", "zone": "ab"[i % 2], "peer_addr": self.peer_addresses[i]}
                for i in range(self.controller_count)
                if i != index
            ],
            "services": {
                "state": f"127.0.0.1:{self.state_port}",
                "cloud": f"127.0.0.1:{self.cloud_port}",
            },
        }

    def start(self, cells: list["Cell"]) -> None:
        """Start the stand-ins and the controllers.

        Args:
            cells: All cells, this one included.
        """
        self.apps = [
            state_app(self.store).listen(self.state_port, "127.0.0.1"),
            cloud_app(self.cloud).listen(self.cloud_port, "127.0.0.1"),
        ]
        self.options = self.write_files(cells)
        self.processes = [self.start_process(index) for index in range(self.controller_count)]

    def write_files(self, cells: list["Cell"]) -> list[str]:
        """Write the file of the subsystem under test and return the options that name it."""
        table = {"cell": self.name, "grant_s": 4.0, "spill": SPILL}
        file = write_toml(
            self.directory / f"{self.name}.cells.toml",
            table | {"cells": [cell.entry() for cell in cells]},
        )
        return ["--cells", str(file)]

    def start_process(self, index: int) -> "subprocess.Popen[bytes]":
        """Start the process of one controller; its log is appended to a file."""
        config = write_toml(self.directory / f"{self.name}{index}.toml", self.settings(index))
        arguments = ["-m", "coursefold", "serve", "--config", str(config), *self.options]
        with (self.directory / f"{self.name}{index}.log").open("ab") as log:
            return subprocess.Popen([sys.executable, *arguments], cwd=ROOT, stderr=log)

    def stop(self) -> None:
        """Stop the controllers, the state service, the cloud and the machines at once."""
        for process in self.processes:
            process.kill()
            process.wait()
        self.processes.clear()
        for app in self.apps:
            app.stop()
        self.apps.clear()
        self.cloud.stop()

    async def ask(self, method: str, path: str, body: Any = None, node: int = 0) -> tuple[int, Any]:
        """Send a request and return its status and body; status 0 means no response."""
        payload = None if body is None else encode(body)
        try:
            status, answer = await HttpClient(self.user_addresses[node], 1).fetch(
                method, path, payload, 5.0
            )
        except NoResponseError:
            return 0, {}
        return status, msgspec.msgpack.decode(answer)

    async def ask_until_answered(self, method: str, path: str, node: int = 0) -> tuple[int, Any]:
        """Repeat a request until there is a response other than 429 and 503, and return it."""
        while True:
            status, body = await self.ask(method, path, node=node)
            if status not in (0, 429, 503):
                return status, body
            await asyncio.sleep(0.1)

    async def until_healthy(self) -> None:
        """Wait until every controller is healthy."""
        for node in range(self.controller_count):
            while (await self.ask("GET", "/healthz", node=node))[0] != 200:
                await asyncio.sleep(0.1)

    def live_tasks(self) -> Counter[str]:
        """Count, by task, the attempts that run or fetch their image on machines of this cell."""
        return Counter(
            task["Piece"]
            for name, worker in self.cloud.workers.items()
            for task in worker.report_tasks()
            if name in self.cloud.agent_tasks and task["Status"] != "exited"
        )
