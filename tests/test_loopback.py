"""Three controllers with real tornado servers on loopback, simulated services and one user.

The test checks no durations: it waits for each expected state, up to a limit that is reached
only in case of a fault.
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
    """Returns free ports; all stay bound until the last one is known, so that they differ."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def create_settings(index: int, ports: list[int]) -> Settings:
    """Returns the settings of a controller.

    Args:
        index: position of the controller, 0 to 2.
        ports: three HTTP ports, three peer ports, then those of the state service and the cloud.
    """
    raw = copy.deepcopy(SETTINGS)
    names = ["n0", "n1", "n2"]
    zones = ["a", "b", "a"]
    raw |= {
        "member": names[index],
        "zone": zones[index],
        "listen": f"127.0.0.1:{ports[index]}",
        "peer_listen": f"127.0.0.1:{ports[3 + index]}",
        "siblings": [
            {"member": names[i], "zone": zones[i], "peer_addr": f"127.0.0.1:{ports[3 + i]}"}
            for i in range(3)
            if i != index
        ],
        "services": {"state": f"127.0.0.1:{ports[6]}", "cloud": f"127.0.0.1:{ports[7]}"},
    }
    return msgspec.convert(raw, Settings)


class User:
    """Sends requests as the protocol says: repeats refused ones, to any controller."""

    def __init__(self, ports: list[int]) -> None:
        self.clients = [HttpClient(f"127.0.0.1:{p}", 2) for p in ports[:3]]

    async def request(self, method: str, path: str, body: Any = None, controller: int = 0) -> Any:
        """Returns the status and the decoded body; repeats requests answered with 503."""
        payload = None if body is None else encode(body)
        while True:
            status, answer = await self.clients[controller].fetch(method, path, payload, 5.0)
            if status != 503 or path == "/healthz":
                return status, msgspec.msgpack.decode(answer)
            await asyncio.sleep(0.2)

    async def wait_for_status(self, path: str, expected: str) -> Any:
        """Polls the controllers in turn until one answers with the status; returns the body."""
        controller = 0
        while True:
            status, body = await self.request("GET", path, controller=controller % 3)
            if status == 200 and body["Status"] == expected:
                return body
            controller += 1
            await asyncio.sleep(0.1)


async def run_cell() -> None:
    """Runs the cell and its user, checks the answers and stops everything."""
    ports = find_free_ports(8)
    nodes = {f"n{i}": f"127.0.0.1:{ports[i]}" for i in range(3)}
    store = StateStore()
    cloud = Cloud(nodes, boot_s=0.2, run_s=1.0, store=store)
    apps = [
        state_app(store).listen(ports[6], "127.0.0.1"),
        cloud_app(cloud).listen(ports[7], "127.0.0.1"),
    ]
    services = [Service(create_settings(i, ports)) for i in range(3)]
    service_tasks = [asyncio.ensure_future(service.run()) for service in services]
    user = User(ports)
    try:
        for controller in range(3):
            while (await user.request("GET", "/healthz", controller=controller))[0] != 200:
                await asyncio.sleep(0.05)
        array = JOB | {"NameId": "job-1", "Pieces": 5}
        gang = JOB | {"NameId": "job-2", "Shape": "ensemble", "Pieces": 2, "Together": True}
        standing = JOB | {"NameId": "job-3", "Shape": "standing", "Rank": "prod"}
        for index, spec in enumerate((array, gang, standing)):
            assert (await user.request("POST", "/work", spec, index))[0] == 201
        assert (await user.request("POST", "/work", array, 2))[0] == 200
        assert (await user.request("POST", "/work", array | {"Pieces": -1}))[0] == 400
        unknown_owner = array | {"NameId": "job-9", "Owner": "nobody"}
        assert (await user.request("POST", "/work", unknown_owner))[0] == 422
        assert (await user.request("GET", "/work/job-9", controller=1))[0] == 404
        assert (await user.wait_for_status("/work/job-1", "done"))["done"] == 5
        assert (await user.wait_for_status("/work/job-2", "done"))["done"] == 2
        await user.wait_for_status("/work/job-3", "running")
        assert (await user.request("POST", "/work/job-3/cancel", {}, 1))[1]["Status"] == "cancelled"
        for controller in range(3):
            status, body = await user.request("GET", "/work/job-3", controller=controller)
            assert (status, body["Status"]) == (200, "cancelled")
        while any(
            t["Piece"] == "job-3/0" for w in cloud.workers.values() for t in w.report_tasks()
        ):
            await asyncio.sleep(0.1)
        # Bytes that are neither HTTP nor peer frames must not affect a controller.
        for port in (ports[0], ports[3]):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"\xff" * 4096)
            await writer.drain()
            writer.close()
        status, body = await user.request("GET", "/work/job-1")
        assert (status, body["Status"]) == (200, "done")
        started = [t for w in cloud.workers.values() for t in w.started]
        assert sorted(t for t in started if t.startswith("job-1/")) == [
            f"job-1/{i}" for i in range(5)
        ]
    finally:
        for task in service_tasks:
            task.cancel()
        for service in services:
            for background_task in list(service.background_tasks):
                background_task.cancel()
            service.server.http.stop()
            service.peer_server.stop()
        for app in apps:
            app.stop()
        for worker_task in cloud.agent_tasks.values():
            worker_task.cancel()
        await asyncio.sleep(0.05)


def test_three_controllers_serve_a_user() -> None:
    """Guards against faults of the real servers and clients, which simulated cells don't use."""
    asyncio.run(asyncio.wait_for(run_cell(), LIMIT_S))
