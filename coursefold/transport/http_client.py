"""A keep-alive HTTP client on tornado's own HTTP/1.1 connection.

tornado's simple client opens a connection for every request; here a few stay
open, which spares the round trips and the sockets.
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

CONNECT_S = 1.5
BODY_LIMIT = 64 * 1024 * 1024


class NoResponseError(Exception):
    """No response: the request may have been executed, or may be yet."""


class _Collector(HTTPMessageDelegate):
    """One response, as it comes in."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.whole = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status, self.headers = start_line.code, headers

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.whole = True


class HttpClient:
    """Requests to one address over a small pool of connections."""

    def __init__(self, address: str, connections: int) -> None:
        self.address = address
        self.host, self.port = split_address(address)
        self.idle_streams: list[IOStream] = []
        self.slots = asyncio.Semaphore(connections)
        self.params = HTTP1ConnectionParameters(max_body_size=BODY_LIMIT)

    async def fetch(
        self, method: str, path: str, body: bytes | None, timeout: float
    ) -> tuple[int, bytes]:
        """Status and body, or NoAnswerError after `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout), self.slots:
                return await self._exchange(method, path, body)
        except (TimeoutError, StreamClosedError, OSError, ValueError) as wrong:
            raise NoResponseError(f"{method} {path}: {wrong or type(wrong).__name__}") from None

    async def _exchange(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        stream = await self._stream()
        keep = False
        try:
            collector = _Collector()
            connection = HTTP1Connection(stream, True, self.params)
            headers = HTTPHeaders({"Host": self.address})
            if method != "GET":
                headers["Content-Type"] = "application/msgpack"
                headers["Content-Length"] = str(len(body or b""))
            line = RequestStartLine(method, path, "HTTP/1.1")
            connection.write_headers(line, headers, body or None)
            connection.finish()
            await connection.read_response(collector)
            if not collector.whole or not collector.status:
                raise StreamClosedError()
            keep = collector.headers.get("Connection", "").lower() != "close"
            return collector.status, b"".join(collector.chunks)
        finally:
            if keep and not stream.closed():
                self.idle_streams.append(stream)
            else:
                stream.close()

    def close(self) -> None:
        """Close what is idle; for addresses that are asked once."""
        for stream in self.idle_streams:
            stream.close()
        self.idle_streams.clear()

    async def _stream(self) -> IOStream:
        while self.idle_streams:
            stream = self.idle_streams.pop()
            if not stream.closed():
                return stream
        stream = await TCPClient().connect(self.host, self.port, timeout=CONNECT_S)
        stream.set_nodelay(True)
        return stream
