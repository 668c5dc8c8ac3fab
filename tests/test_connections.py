"""The socket limit: a flood of connections must not shut out the workers."""

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

MOST = 12


async def flood() -> None:
    (port,) = find_free_ports(1)
    address = f"127.0.0.1:{port}"
    server = Server(address, lambda ticket, *_: server.respond(ticket, 200, {}), MOST)
    worker = HttpClient(address, 1)
    body = encode({})
    assert (await worker.fetch("POST", "/agent/beat", body, 2.0))[0] == 200
    stream = worker.idle_streams[0]
    held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4 * MOST)]
    await asyncio.sleep(0.05)
    # The worker's connection is the oldest of all, and still there.
    assert (await worker.fetch("POST", "/agent/beat", body, 2.0))[0] == 200
    assert worker.idle_streams == [stream]
    assert sum(not s.closed() for s in server.connections.last_used) <= MOST
    late = HttpClient(address, 1)
    assert (await late.fetch("POST", "/agent/beat", body, 2.0))[0] == 200
    for _, writer in held:
        writer.close()
    server.http.stop()


def test_a_flood_of_connections_leaves_the_workers_theirs() -> None:
    asyncio.run(asyncio.wait_for(flood(), 20.0))


async def sweep() -> None:
    (port,) = find_free_ports(1)
    server = Server(f"127.0.0.1:{port}", lambda ticket, *_: server.respond(ticket, 200, {}), MOST)
    slow = await asyncio.open_connection("127.0.0.1", port)
    slow[1].write(b"POST /agent/beat HTTP/1.1\r\nContent-Length: 9\r\n")
    busy = HttpClient(f"127.0.0.1:{port}", 1)
    await asyncio.sleep(0.05)
    for stream in server.connections.last_used:
        server.connections.last_used[stream] = (False, -CONNECTION_IDLE_S)
    await busy.fetch("POST", "/agent/beat", encode({}), 2.0)
    server.connections.swept_at = -CONNECTION_IDLE_S
    server.list_overdue()
    assert await asyncio.wait_for(slow[0].read(), 2.0) == b""
    assert (await busy.fetch("POST", "/agent/beat", encode({}), 2.0))[0] == 200
    assert len(server.connections.last_used) == 1
    server.http.stop()


def test_a_connection_that_sends_no_whole_request_is_closed() -> None:
    """No timer runs for each message, so a slow sender must be found another way."""
    asyncio.run(asyncio.wait_for(sweep(), 20.0))


def test_commands_to_many_silent_machines_leave_sockets_for_the_rest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A zone's worth of machines has tasks to stop, and none of them answers."""
    open_now = [0, 0]

    class Silent:
        def __init__(self, address: str, connections: int) -> None:
            pass

        async def fetch(self, *_: object) -> tuple[int, bytes]:
            open_now[0] += 1
            open_now[1] = max(open_now)
            await asyncio.sleep(0.01)
            open_now[0] -= 1
            return 200, b""

        def close(self) -> None:
            pass

    async def send() -> None:
        ports = dict(zip(("listen", "peer_listen"), find_free_ports(2), strict=True))
        listen = {key: f"127.0.0.1:{port}" for key, port in ports.items()}
        controller = service.Service(msgspec.convert(SETTINGS | listen, Settings))
        monkeypatch.setattr(service, "HttpClient", Silent)
        orders = [
            SendCommands("10.0.0.1:9000", 1, 1, []) for _ in range(4 * service.MAX_DIRECT_REQUESTS)
        ]
        await asyncio.gather(*(controller._send_commands(order) for order in orders))
        controller.server.http.stop()
        controller.peer_server.stop()

    asyncio.run(asyncio.wait_for(send(), 20.0))
    assert open_now[1] == service.MAX_DIRECT_REQUESTS
