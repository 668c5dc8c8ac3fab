"""Real tornado servers on loopback: three controllers, the stand-ins, one user.

Nothing here is measured in seconds; it waits for what must come, up to a limit
that only a fault reaches.
"""

import asyncio
import copy
import socket
from typing import Any

import msgspec

from coursefold.protocol.wire import encode
from coursefold.service import Service
from coursefold.settings import Settings
from coursefold.transport.http_client import HttpClient
from tests.standins.servers import Cloud, cloud_app, state_app
from tests.standins.state import StateStore
from tests.world import JOB, SETTINGS

LIMIT_S = 60.0


def find_free_ports(count: int) -> list[int]:
    """Ports that are free now; all are held until every one is known."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


def settings_of(at: int, ports: list[int]) -> Settings:
    raw = copy.deepcopy(SETTINGS)
    names = ["n0", "n1", "n2"]
    zones = ["a", "b", "a"]
    raw |= {
        "member": names[at],
        "zone": zones[at],
        "listen": f"127.0.0.1:{ports[at]}",
        "peer_listen": f"127.0.0.1:{ports[3 + at]}",
        "siblings": [
            {"member": names[i], "zone": zones[i], "peer_addr": f"127.0.0.1:{ports[3 + i]}"}
            for i in range(3)
            if i != at
        ],
        "services": {"state": f"127.0.0.1:{ports[6]}", "cloud": f"127.0.0.1:{ports[7]}"},
    }
    return msgspec.convert(raw, Settings)


class User:
    """Asks as the protocol says: again after a refusal, at any node."""

    def __init__(self, ports: list[int]) -> None:
        self.clients = [HttpClient(f"127.0.0.1:{p}", 2) for p in ports[:3]]

    async def ask(self, method: str, path: str, body: Any = None, node: int = 0) -> Any:
        payload = None if body is None else encode(body)
        while True:
            status, answer = await self.clients[node].fetch(method, path, payload, 5.0)
            if status != 503 or path == "/healthz":
                return status, msgspec.msgpack.decode(answer)
            await asyncio.sleep(0.2)

    async def until(self, path: str, wanted: str) -> Any:
        node = 0
        while True:
            status, body = await self.ask("GET", path, node=node % 3)
            if status == 200 and body["Status"] == wanted:
                return body
            node += 1
            await asyncio.sleep(0.1)


async def play() -> None:
    ports = find_free_ports(8)
    nodes = {f"n{i}": f"127.0.0.1:{ports[i]}" for i in range(3)}
    store = StateStore()
    cloud = Cloud(nodes, boot=0.2, run=1.0, store=store)
    apps = [
        state_app(store).listen(ports[6], "127.0.0.1"),
        cloud_app(cloud).listen(ports[7], "127.0.0.1"),
    ]
    services = [Service(settings_of(i, ports)) for i in range(3)]
    running = [asyncio.ensure_future(service.run()) for service in services]
    user = User(ports)
    try:
        for node in range(3):
            while (await user.ask("GET", "/healthz", node=node))[0] != 200:
                await asyncio.sleep(0.05)
        job = JOB | {"NameId": "job-1", "Pieces": 5}
        gang = JOB | {"NameId": "job-2", "Shape": "ensemble", "Pieces": 2, "Together": True}
        standing = JOB | {"NameId": "job-3", "Shape": "standing", "Rank": "prod"}
        for at, spec in enumerate((job, gang, standing)):
            assert (await user.ask("POST", "/work", spec, at))[0] == 201
        assert (await user.ask("POST", "/work", job, 2))[0] == 200
        assert (await user.ask("POST", "/work", job | {"Pieces": -1}))[0] == 400
        bad = job | {"NameId": "job-9", "Owner": "nobody"}
        assert (await user.ask("POST", "/work", bad))[0] == 422
        assert (await user.ask("GET", "/work/job-9", node=1))[0] == 404
        assert (await user.until("/work/job-1", "done"))["done"] == 5
        assert (await user.until("/work/job-2", "done"))["done"] == 2
        await user.until("/work/job-3", "running")
        assert (await user.ask("POST", "/work/job-3/cancel", {}, 1))[1]["Status"] == "cancelled"
        for node in range(3):
            status, body = await user.ask("GET", "/work/job-3", node=node)
            assert (status, body["Status"]) == (200, "cancelled")
        while any(t["Piece"] == "job-3/0" for w in cloud.workers.values() for t in w.shown()):
            await asyncio.sleep(0.1)
        # What is not the protocol at all must not disturb anybody.
        for port in (ports[0], ports[3]):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"\xff" * 4096)
            await writer.drain()
            writer.close()
        status, body = await user.ask("GET", "/work/job-1")
        assert (status, body["Status"]) == (200, "done")
        started = [t for w in cloud.workers.values() for t in w.started]
        assert sorted(t for t in started if t.startswith("job-1/")) == [
            f"job-1/{i}" for i in range(5)
        ]
    finally:
        for task in running:
            task.cancel()
        for service in services:
            for work in list(service.background_tasks):
                work.cancel()
            service.server.http.stop()
            service.peer_server.stop()
        for app in apps:
            app.stop()
        for worker in cloud.tasks.values():
            worker.cancel()
        await asyncio.sleep(0.05)


def test_three_controllers_serve_a_user() -> None:
    asyncio.run(asyncio.wait_for(play(), LIMIT_S))
