"""Runs the controllers as processes of their own, with stand-ins around them, and keeps a record.

A case is one coroutine that gets a `Case`. Its result says whether the rule held. The script ends
with 0 if it held, with 1 if it was broken and with 2 if the case could not run.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tornado.httpclient import AsyncHTTPClient

from review.second.fleet import Cloud, fetch
from review.second.state import StateService

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 114.0
PARAMS: dict[str, Any] = {
    "zones": ["galway-room", "dublin-colo"],
    "skew_ms": 25.0,
    "teams": [
        {"name": "label-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "carrier-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "objectives": [],
    "workers": {
        "report_s": 1.5, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 40.0,
    },
    "state": {"rps": 120.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 8.0},
    "resources": {"cores": 0.54, "memory_mb": 146.0, "fd_limit": 900},
}  # fmt: skip
ZONE_OF = {"worker-0": "galway-room", "worker-1": "dublin-colo", "worker-2": "galway-room"}
CATALOG = [
    {
        "Name": "tern-16", "Vcpus": 16.0, "Accelerators": 2.0, "MemoryGb": 64.0, "CacheGb": 80.0,
        "FetchGbPerS": 0.25, "Hourly": 5.07, "LowPrice": 2.1, "BootS": 2.0,
        "Sites": ["galway-room", "dublin-colo"],
    },
]  # fmt: skip
JOB: dict[str, Any] = {
    "Lane": "barcode-verify", "Owner": "carrier-ops", "Shape": "array", "Rank": "normal",
    "Pieces": 1, "Vcpus": 10.0, "Accelerators": 1.0, "MemoryGb": 54.0, "Bundle": "img-01",
    "ImageGb": 0.1, "Builds": None, "Site": None, "Together": False, "Apart": False,
    "Loaners": False, "ExpectedS": 5.0, "SnapshotEveryS": 0.0, "SnapshotS": 0.0, "DueS": None,
}  # fmt: skip


class CannotRunError(Exception):
    """The case could not be set up."""


def to_toml(value: Any) -> str:
    """Return a value as TOML, with inline tables."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {to_toml(inner)}" for key, inner in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(to_toml, value)) + "]"
    return json.dumps(value)


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on, below those that the system hands out itself."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Case:
    """The processes and stand-ins of one run.

    Attributes:
        trouble: Whether the disruption takes place.
        nodes: Addresses for users and workers, by controller.
    """

    def __init__(
        self, folder: Path, params: dict[str, Any], zones: dict[str, str], **cloud: Any
    ) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began_at = time.monotonic()
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.scratch = Path(tempfile.mkdtemp(prefix="case-"))
        self.params, self.zones = params, zones
        self.run_s: dict[str, float] = {}
        ports = free_ports(2 * len(zones))
        self.nodes = {n: f"127.0.0.1:{ports[2 * i]}" for i, n in enumerate(zones)}
        self.peers = {n: f"127.0.0.1:{ports[2 * i + 1]}" for i, n in enumerate(zones)}
        self.state = StateService(params["state"])
        self.cloud = Cloud(
            cloud.pop("catalog", CATALOG), params["workers"], self.nodes,
            lambda task: self.run_s.get(task.partition("/")[0], 5.0), self.log,
            list_lag_s=params["cloud"]["list_lag_s"], **cloud,
        )  # fmt: skip
        self.client = AsyncHTTPClient(force_instance=True, max_clients=50)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.files = {name: self._write_settings(name) for name in zones}
        self.settled: dict[str, str] = {}
        self.background = [asyncio.ensure_future(self.state.expire_forever())]

    def log(self, what: str, who: str = "", **more: Any) -> None:
        """Write one line to the record."""
        at = time.monotonic() - self.began_at
        text = " ".join(f"{key}={value}" for key, value in more.items())
        self.record.write(f"{at:8.3f} {what} {who} {text}".rstrip() + "\n")
        self.record.flush()

    # Controllers

    def _write_settings(self, name: str) -> Path:
        state_port = self.state.serve(name)
        table = {
            "member": name, "zone": self.zones[name], "listen": self.nodes[name],
            "peer_listen": self.peers[name],
            "siblings": [
                {"member": other, "zone": self.zones[other], "peer_addr": self.peers[other]}
                for other in self.zones if other != name
            ],
            "services": {
                "cloud": f"127.0.0.1:{self.cloud.port}", "state": f"127.0.0.1:{state_port}",
            },
            "params": {"size": len(self.zones)} | self.params,
        }  # fmt: skip
        path = self.scratch / f"{name}.toml"
        lines = [f"{key} = {to_toml(value)}" for key, value in table.items()]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start(self, name: str) -> None:
        """Start a controller with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(self.files[name])]
        with (self.scratch / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=output, stderr=output,
                env=os.environ | {"LOG_LEVEL": "info"},
            )  # fmt: skip
        self.log("controller starts", name)

    def kill(self, name: str) -> None:
        """Kill a controller."""
        process = self.processes.pop(name, None)
        if process is not None:
            process.kill()
            process.wait()
            self.log("controller killed", name)

    async def health(self, name: str) -> tuple[int, Any]:
        """Return a controller's answer to a health check."""
        return await fetch(self.client, "GET", f"http://{self.nodes[name]}/healthz", None, 1.0)

    async def until_healthy(self, names: list[str], limit_s: float = 25.0) -> None:
        """Wait until controllers are healthy, and all of them are members."""
        until = time.monotonic() + limit_s
        for name in names:
            while True:
                status, body = await self.health(name)
                if status == 200 and set(names) <= set(body.get("members", [])):
                    break
                if time.monotonic() > until:
                    raise CannotRunError(f"{name} is not healthy: {status} {body}")
                await asyncio.sleep(0.1)

    # Users

    async def ask(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a user's request to one controller and record the answer."""
        status, found = await fetch(
            self.client,
            method,
            f"http://{self.nodes[name]}{path}",
            body,
            2.0 if body is None else 5.0,
        )
        self.log(f"user {method} {path}", name, status=status, answer=found)
        return status, found

    async def submit(self, name: str, run_s: float, limit_s: float = 60.0, **fields: Any) -> bool:
        """Submit a job, at a healthy controller, until it is accepted; False after `limit_s`."""
        self.run_s[name] = run_s
        until = time.monotonic() + limit_s
        body = JOB | {"NameId": name} | fields
        while time.monotonic() < until:
            for node in random.sample(list(self.nodes), len(self.nodes)):
                if (await self.health(node))[0] != 200:
                    continue
                status, _ = await self.ask(node, "POST", "/work", body)
                if status in (200, 201):
                    return True
                if status in (400, 422):
                    raise CannotRunError(f"{name} was refused with {status}")
            await asyncio.sleep(1.0)
        return False

    async def poll(self, job: str, nodes: list[str] | None = None) -> str:
        """Poll a job at one of the controllers; return its status, or an empty text."""
        node = random.choice(nodes or list(self.nodes))
        status, body = await self.ask(node, "GET", f"/work/{job}")
        return str(body["Status"]) if status == 200 else ""

    # Ends

    def close(self) -> None:
        """End all processes, keep the ends of their logs, and remove the scratch folder."""
        for name in list(self.processes):
            self.kill(name)
        for name in self.files:
            log = self.scratch / f"{name}.log"
            lines = log.read_text(errors="replace").splitlines() if log.exists() else []
            self.record.write(f"--- the last lines of the log of {name}\n")
            self.record.writelines(line[:300] + "\n" for line in lines[-25:])
        for agent in [*self.cloud.agents.values(), *self.background]:
            agent.cancel()
        self.record.close()
        shutil.rmtree(self.scratch, ignore_errors=True)


def run_case(
    folder: Path,
    params: dict[str, Any],
    play: Callable[[Case], Awaitable[list[str]]],
    zones: dict[str, str] = ZONE_OF,
    **cloud: Any,
) -> None:
    """Run a case and end with its exit code.

    Args:
        folder: Where `record.txt` is written.
        params: The settings' `params`.
        play: Plays the case; returns in what the rule was broken.
        zones: The zone of each controller.
        cloud: Options of the cloud.
    """

    async def main() -> int:
        case = Case(folder, params, zones, **cloud)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                broken = await play(case)
        except (Exception, asyncio.CancelledError) as error:
            case.log("CANNOT RUN", repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            if not case.record.closed:
                for line in case.cloud.doubles:
                    case.log("double", line)
            case.close()
        for line in broken:
            print(line)
        with (folder / "record.txt").open("a", encoding="utf-8") as record:
            record.writelines(f"BROKEN {line}\n" for line in broken)
            record.write("broken\n" if broken else "held\n")
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
