"""HTTP server for users, workers and health checks."""

import logging
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from coursefold.protocol.wire import encode
from coursefold.settings import split_address

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 128 * 1024
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
CONNECTION_IDLE_S = 300.0
SWEEP_INTERVAL_S = 20.0
# Time until a request without a response counts as overdue.
SUBMIT_TIMEOUT_S = 3.0
POLL_TIMEOUT_S = 1.8
REPORT_TIMEOUT_S = 3.5

# Handles a request; arguments are its ticket, method, path and body.
RequestCallback = Callable[[int, str, str, bytes], None]


class Connections:
    """Keeps the number of open connections below the socket limit.

    When the process has no sockets left every accept fails, and with it every report over a new
    connection. Therefore a connection beyond `max_connections` closes the one that has been idle
    for longest; users' connections are closed before workers'.

    Attributes:
        max_connections: The number of connections that may be open.
        last_used: For each connection, whether a worker uses it, and when it was opened or had
            its last complete request.
        swept_at: When idle connections were last closed.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.last_used: dict[IOStream, tuple[bool, float]] = {}
        self.swept_at = time.monotonic()

    def add(self, stream: IOStream) -> None:
        """Record an accepted connection, and close others if there are too many."""
        if len(self.last_used) >= self.max_connections:
            self.last_used = {s: u for s, u in self.last_used.items() if not s.closed()}
        while len(self.last_used) >= self.max_connections:
            oldest = min(self.last_used, key=self.last_used.__getitem__)
            del self.last_used[oldest]
            oldest.close()
            log.debug("too many connections: closed the one idle for longest")
        self.last_used[stream] = (False, time.monotonic())

    def close_idle(self) -> None:
        """Close connections that have sent no complete request for `CONNECTION_IDLE_S`.

        These are idle, or send deliberately slowly.
        """
        now = time.monotonic()
        if now - self.swept_at < SWEEP_INTERVAL_S:
            return
        self.swept_at = now
        for stream, (_, last_used_at) in list(self.last_used.items()):
            if now - last_used_at > CONNECTION_IDLE_S:
                stream.close()
            if stream.closed():
                del self.last_used[stream]

    def record_request(self, stream: IOStream | None, is_worker: bool) -> None:
        """Record that a complete request arrived on a connection."""
        if stream in self.last_used:
            self.last_used[stream] = (is_worker, time.monotonic())


class _HttpServer(HTTPServer):
    """tornado's server with a callback for each new connection."""

    on_connection: Callable[[IOStream], None]

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        self.on_connection(stream)
        super().handle_stream(stream, address)


class Server:
    """Passes each request on under a ticket number, and sends the responses.

    Attributes:
        handle_request: Called with each request's ticket, method, path and body.
        connections: The open connections.
        open_requests: By ticket: the request, when it becomes overdue, and its kind ("report",
            "poll" or "submit").
        last_ticket: The ticket of the latest request.
        http: The underlying tornado server.
    """

    def __init__(self, listen: str, handle_request: RequestCallback, max_sockets: int) -> None:
        self.handle_request = handle_request
        self.connections = Connections(max(8, max_sockets))
        self.open_requests: dict[int, tuple[HTTPServerRequest, float, str]] = {}
        self.last_ticket = 0
        self.http = _HttpServer(
            self._receive,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=2 * MAX_BODY_BYTES,
            max_header_size=16 * 1024,
        )
        # Starting and stopping a timer for each message takes 5 % of all processor time at 600
        # workers. `Connections.close_idle` finds idle and slow connections without timers.
        self.http.conn_params.header_timeout = None
        self.http.on_connection = self.connections.add
        host, port = split_address(listen)
        # The backlog holds as many connections as there are sockets, because after a restart
        # all workers connect at once.
        self.http.listen(port, host, backlog=max(512, max_sockets))

    def _receive(self, request: HTTPServerRequest) -> None:
        self.last_ticket += 1
        ticket = self.last_ticket
        path = request.path
        kind = (
            "report" if path == "/agent/beat" else "poll" if request.method == "GET" else "submit"
        )
        stream = getattr(request.connection, "stream", None)
        self.connections.record_request(stream, kind == "report")
        timeout_s = {
            "report": REPORT_TIMEOUT_S,
            "poll": POLL_TIMEOUT_S,
            "submit": SUBMIT_TIMEOUT_S,
        }[kind]
        self.open_requests[ticket] = (request, time.monotonic() + timeout_s, kind)
        self.handle_request(ticket, request.method or "", path, request.body or b"")

    def respond(self, ticket: int, status: int, body: Any, retry_after: int | None = None) -> None:
        """Send the response to a request.

        A ticket without an open request, and a client that has disconnected, are ignored.

        Args:
            ticket: The request's ticket.
            status: The HTTP status.
            body: The response's content, to be encoded as MessagePack.
            retry_after: The seconds to name in the Retry-After header; None for no header.
        """
        entry = self.open_requests.pop(ticket, None)
        if entry is None:
            return
        connection = entry[0].connection
        if connection is None:
            return
        if status >= 429:
            log.debug("responding to a %s with status %d: %s", entry[2], status, body)
        payload = encode(body)
        headers = HTTPHeaders(
            {"Content-Type": "application/msgpack", "Content-Length": str(len(payload))}
        )
        if retry_after is not None:
            headers["Retry-After"] = str(retry_after)
        start_line = ResponseStartLine("HTTP/1.1", status, REASON_PHRASES.get(status, "Unknown"))
        try:
            connection.write_headers(start_line, headers, payload)
            connection.finish()
        except (StreamClosedError, OSError):
            log.debug("client of request %d has disconnected", ticket)

    def list_overdue(self) -> list[int]:
        """Return the tickets of overdue requests; idle connections are closed on the way."""
        self.connections.close_idle()
        now = time.monotonic()
        return [
            ticket for ticket, (_, overdue_at, _) in self.open_requests.items() if overdue_at < now
        ]
