"""The HTTP server for users, workers and health checks."""

import logging
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from coursefold.protocol.wire import encode
from coursefold.settings import split_address

log = logging.getLogger(__name__)

MAX_BODY = 128 * 1024
REASONS = {status.value: status.phrase for status in HTTPStatus}
SUBMIT_S = 3.0
POLL_S = 1.8
REPORT_S = 3.5

Dispatch = Callable[[int, str, str, bytes], None]


class Server:
    """Hands requests over by ticket, and sends the answers when they come."""

    def __init__(self, listen: str, dispatch: Dispatch) -> None:
        self.dispatch = dispatch
        self.open: dict[int, tuple[HTTPServerRequest, float, str]] = {}
        self.last_ticket = 0
        self.http = HTTPServer(
            self._request,
            max_body_size=MAX_BODY,
            max_buffer_size=2 * MAX_BODY,
            max_header_size=16 * 1024,
            idle_connection_timeout=300.0,
            body_timeout=10.0,
        )
        host, port = split_address(listen)
        self.http.listen(port, host, backlog=512)

    def _request(self, request: HTTPServerRequest) -> None:
        self.last_ticket += 1
        ticket = self.last_ticket
        path = request.path
        kind = (
            "report" if path == "/agent/beat" else "poll" if request.method == "GET" else "submit"
        )
        limit = {"report": REPORT_S, "poll": POLL_S, "submit": SUBMIT_S}[kind]
        self.open[ticket] = (request, time.monotonic() + limit, kind)
        self.dispatch(ticket, request.method or "", path, request.body or b"")

    def answer(self, ticket: int, status: int, body: Any, retry_after: int | None = None) -> None:
        """Send a response; an asker that is gone is no error."""
        entry = self.open.pop(ticket, None)
        if entry is None:
            return
        connection = entry[0].connection
        if connection is None:
            return
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

    def overdue(self) -> list[int]:
        """Requests that the core could not answer in time."""
        now = time.monotonic()
        return [ticket for ticket, (_, until, _) in self.open.items() if until < now]
