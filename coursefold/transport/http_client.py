"""HTTP client with persistent connections, built on tornado's HTTP/1.1 connection.

tornado's simple client opens a connection for every request. This one keeps a few open, which
saves round trips and sockets.
"""

import asyncio
import logging

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from coursefold.settings import split_address

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.5
MAX_BODY_BYTES = 64 * 1024 * 1024


class NoResponseError(Exception):
    """No complete response arrived; the request may have been executed, or may still be."""


class _ResponseCollector(HTTPMessageDelegate):
    """Collects the status, headers and body of one response."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.is_complete = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status, self.headers = start_line.code, headers

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.is_complete = True


class HttpClient:
    """Sends requests to one address over a small pool of connections.

    Attributes:
        address: The server's address as HOST:PORT.
        idle_streams: Open connections that carry no request.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        self.address = address
        self.host, self.port = split_address(address)
        self.idle_streams: list[IOStream] = []
        self.connection_slots = asyncio.Semaphore(max_connections)
        self.connection_params = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)

    async def fetch(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response.

        The wait for a free connection counts towards the timeout.

        Raises:
            NoResponseError: No response arrived within `timeout_s` seconds, or the connection
                failed.
        """
        try:
            async with asyncio.timeout(timeout_s), self.connection_slots:
                return await self._exchange(method, path, body)
        except (TimeoutError, StreamClosedError, OSError, ValueError) as error:
            raise NoResponseError(f"{method} {path}: {error or type(error).__name__}") from None

    async def _exchange(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        stream = await self._get_stream()
        is_reusable = False
        try:
            collector = _ResponseCollector()
            connection = HTTP1Connection(stream, True, self.connection_params)
            headers = HTTPHeaders({"Host": self.address})
            if method != "GET":
                headers["Content-Type"] = "application/msgpack"
                headers["Content-Length"] = str(len(body or b""))
            start_line = RequestStartLine(method, path, "HTTP/1.1")
            connection.write_headers(start_line, headers, body or None)
            connection.finish()
            await connection.read_response(collector)
            if not collector.is_complete or not collector.status:
                raise StreamClosedError()
            is_reusable = collector.headers.get("Connection", "").lower() != "close"
            return collector.status, b"".join(collector.chunks)
        finally:
            if is_reusable and not stream.closed():
                self.idle_streams.append(stream)
            else:
                stream.close()

    def close(self) -> None:
        """Close the idle connections; for clients that are used for a single request."""
        for stream in self.idle_streams:
            stream.close()
        self.idle_streams.clear()

    async def _get_stream(self) -> IOStream:
        while self.idle_streams:
            stream = self.idle_streams.pop()
            if not stream.closed():
                return stream
        stream = await TCPClient().connect(self.host, self.port, timeout=CONNECT_TIMEOUT_S)
        stream.set_nodelay(True)
        return stream
