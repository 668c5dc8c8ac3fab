"""Limits of open sockets: other connections must not displace those of workers."""

import asyncio

import msgspec
import pytest

from coursefold import service
from coursefold.coordination.effects import SendCommands
from coursefold.protocol.wire import encode
from coursefold.settings import Settings
from coursefold.transport.http_client import HttpClient
from coursefold.transport.server import CONNECTION_IDLE_S, Server
from tests.test_loopback import find_free_ports
from tests.world import SETTINGS

MAX_CONNECTIONS = 12


async def check_flood() -> None:
    """Check that a worker's connection survives many idle ones, and that new ones are accepted."""
    (port,) = find_free_ports(1)
    address = f"127.0.0.1:{port}"
    server = Server(address, lambda ticket, *_: server.respond(ticket, 200, {}), MAX_CONNECTIONS)
    worker = HttpClient(address, 1)
    body = encode({})
    assert (await worker.fetch("POST", "/agent/beat", body, 2.0))[0] == 200
    stream = worker.idle_streams[0]
    idle_connections = [
        await asyncio.open_connection("127.0.0.1", port) for _ in range(4 * MAX_CONNECTIONS)
    ]
    await asyncio.sleep(0.05)
    # The worker's connection is the oldest of all, and still open.
    assert (await worker.fetch("POST", "/agent/beat", body, 2.0))[0] == 200
    assert worker.idle_streams == [stream]
    assert sum(not s.closed() for s in server.connections.last_used) <= MAX_CONNECTIONS
    new_worker = HttpClient(address, 1)
    assert (await new_worker.fetch("POST", "/agent/beat", body, 2.0))[0] == 200
    for _, writer in idle_connections:
        writer.close()
    server.http.stop()


def test_a_flood_of_connections_does_not_close_those_of_workers() -> None:
    asyncio.run(asyncio.wait_for(check_flood(), 20.0))


async def check_overdue() -> None:
    """Check that an incomplete request is closed after the idle time, and others are not."""
    (port,) = find_free_ports(1)
    server = Server(
        f"127.0.0.1:{port}", lambda ticket, *_: server.respond(ticket, 200, {}), MAX_CONNECTIONS
    )
    slow = await asyncio.open_connection("127.0.0.1", port)
    slow[1].write(b"POST /agent/beat HTTP/1.1\r\nContent-Length: 9\r\n")
    active = HttpClient(f"127.0.0.1:{port}", 1)
    await asyncio.sleep(0.05)
    for stream in server.connections.last_used:
        server.connections.last_used[stream] = (False, -CONNECTION_IDLE_S)
    await active.fetch("POST", "/agent/beat", encode({}), 2.0)
    server.connections.swept_at = -CONNECTION_IDLE_S
    server.list_overdue()
    assert await asyncio.wait_for(slow[0].read(), 2.0) == b""
    assert (await active.fetch("POST", "/agent/beat", encode({}), 2.0))[0] == 200
    assert len(server.connections.last_used) == 1
    server.http.stop()


def test_a_connection_that_sends_no_whole_request_is_closed() -> None:
    """Messages have no timers of their own; a periodic check has to find slow senders."""
    asyncio.run(asyncio.wait_for(check_overdue(), 20.0))


def test_commands_to_many_silent_machines_leave_sockets_for_the_rest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All machines of a zone have tasks to stop, and none of them answers."""
    open_requests = [0, 0]  # current number, highest number

    class SilentClient:
        def __init__(self, address: str, connections: int) -> None:
            pass

        async def fetch(self, *_: object) -> tuple[int, bytes]:
            open_requests[0] += 1
            open_requests[1] = max(open_requests)
            await asyncio.sleep(0.01)
            open_requests[0] -= 1
            return 200, b""

        def close(self) -> None:
            pass

    async def send() -> None:
        ports = dict(zip(("listen", "peer_listen"), find_free_ports(2), strict=True))
        listen = {key: f"127.0.0.1:{port}" for key, port in ports.items()}
        controller = service.Service(msgspec.convert(SETTINGS | listen, Settings))
        monkeypatch.setattr(service, "HttpClient", SilentClient)
        requests = [
            SendCommands("10.0.0.1:9000", 1, 1, []) for _ in range(4 * service.MAX_DIRECT_REQUESTS)
        ]
        await asyncio.gather(*(controller._send_commands(request) for request in requests))
        controller.server.http.stop()
        controller.peer_server.stop()

    asyncio.run(asyncio.wait_for(send(), 20.0))
    assert open_requests[1] == service.MAX_DIRECT_REQUESTS
