"""The HTTP server for users, workers and health checks."""

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

MAX_BODY = 128 * 1024
REASONS = {status.value: status.phrase for status in HTTPStatus}
CONNECTION_IDLE_S = 300.0
SWEEP_S = 20.0
SUBMIT_S = 3.0
POLL_S = 1.8
REPORT_S = 3.5

Dispatch = Callable[[int, str, str, bytes], None]


class Connections:
    """Keeps the number of open connections below the socket limit.

    At the limit every accept fails, and with it every report. So when only the
    reserve is left, the connection that has been idle longest is closed, users'
    before workers'.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.last_used: dict[IOStream, tuple[bool, float]] = {}
        self.swept_at = time.monotonic()

    def opened(self, stream: IOStream) -> None:
        """A connection was accepted: close another if there are too many."""
        if len(self.last_used) >= self.most:
            self.last_used = {s: u for s, u in self.last_used.items() if not s.closed()}
        while len(self.last_used) >= self.most:
            oldest = min(self.last_used, key=self.last_used.__getitem__)
            del self.last_used[oldest]
            oldest.close()
            log.debug("a connection closed for a new one")
        self.last_used[stream] = (False, time.monotonic())

    def sweep(self) -> None:
        """Close what has sent no whole request for long: idle, or too slow on purpose."""
        now = time.monotonic()
        if now - self.swept_at < SWEEP_S:
            return
        self.swept_at = now
        for stream, (_, asked_at) in list(self.last_used.items()):
            if now - asked_at > CONNECTION_IDLE_S:
                stream.close()
            if stream.closed():
                del self.last_used[stream]

    def asked(self, stream: IOStream | None, worker: bool) -> None:
        """A request came over it."""
        if stream in self.last_used:
            self.last_used[stream] = (worker, time.monotonic())


class _Http(HTTPServer):
    """tornado's server, which tells of each new connection."""

    opened: Callable[[IOStream], None]

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        self.opened(stream)
        super().handle_stream(stream, address)


class Server:
    """Hands requests over by ticket, and sends the answers when they come."""

    def __init__(self, listen: str, dispatch: Dispatch, sockets: int) -> None:
        self.dispatch = dispatch
        self.connections = Connections(max(8, sockets))
        self.open: dict[int, tuple[HTTPServerRequest, float, str]] = {}
        self.last_ticket = 0
        self.http = _Http(
            self._request,
            max_body_size=MAX_BODY,
            max_buffer_size=2 * MAX_BODY,
            max_header_size=16 * 1024,
        )
        # A timer for each message, set and unset, cost a twentieth of all processor time at
        # 600 workers. `Connections` ends what is idle, or sends too slowly, for all at once.
        self.http.conn_params.header_timeout = None
        self.http.opened = self.connections.opened
        host, port = split_address(listen)
        # As many may come at once as there are sockets: after a restart all workers do.
        self.http.listen(port, host, backlog=max(512, sockets))

    def _request(self, request: HTTPServerRequest) -> None:
        self.last_ticket += 1
        ticket = self.last_ticket
        path = request.path
        kind = (
            "report" if path == "/agent/beat" else "poll" if request.method == "GET" else "submit"
        )
        stream = getattr(request.connection, "stream", None)
        self.connections.asked(stream, kind == "report")
        limit = {"report": REPORT_S, "poll": POLL_S, "submit": SUBMIT_S}[kind]
        self.open[ticket] = (request, time.monotonic() + limit, kind)
        self.dispatch(ticket, request.method or "", path, request.body or b"")

    def respond(self, ticket: int, status: int, body: Any, retry_after: int | None = None) -> None:
        """Send a response; an asker that is gone is no error."""
        entry = self.open.pop(ticket, None)
        if entry is None:
            return
        connection = entry[0].connection
        if connection is None:
            return
        if status >= 429:
            log.debug("%s answered %d: %s", entry[2], status, body)
        payload = encode(body)
        headers = HTTPHeaders(
            {"Content-Type": "application/msgpack", "Content-Length": str(len(payload))}
        )
        if retry_after is not None:
            headers["Retry-After"] = str(retry_after)
        line = ResponseStartLine("HTTP/1.1", status, REASONS.get(status, "Unknown"))
        try:
            connection.write_headers(line, headers, payload)
            connection.finish()
        except (StreamClosedError, OSError):
            log.debug("asker of request %d has gone", ticket)

    def list_overdue(self) -> list[int]:
        """Requests that the core could not answer in time."""
        self.connections.sweep()
        now = time.monotonic()
        return [ticket for ticket, (_, until, _) in self.open.items() if until < now]
