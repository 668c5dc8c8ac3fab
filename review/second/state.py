"""A state service in memory, served on one loopback port for each controller.

It follows the users' page: keys with versions, guarded transactions, leases, long polls and the
limits of the settings. Every port has a `Path` of its own, on which a case may hold requests or
answers back, so that the trouble of one controller does not touch the others.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

KEPT_CHANGES = 10_000
MAX_PAGE = 1000
Answer = tuple[int, Any]
Delay = Callable[[str, str, Any], float]


def no_delay(method: str, path: str, body: Any) -> float:
    """Delay nothing."""
    return 0.0


class Rate:
    """A limit of events per second with bursts of one second's worth."""

    def __init__(self, per_second: float) -> None:
        self.per_second, self.left, self.at = per_second, per_second, time.monotonic()

    def take(self, amount: float) -> bool:
        """Take an amount; return False, and take nothing, if it is not there."""
        now = time.monotonic()
        self.left = min(self.per_second, self.left + (now - self.at) * self.per_second)
        self.at = now
        if self.left < amount:
            return False
        self.left -= amount
        return True


class Path:
    """The way between one controller and the service.

    Attributes:
        before: Returns for how long a request is held back before it is carried out.
        after: Returns for how long the answer is held back.
        refused: Whether the service refuses the controller (503).
    """

    def __init__(self) -> None:
        self.before: Delay = no_delay
        self.after: Delay = no_delay
        self.refused = False


class StateService:
    """Keys, leases and the log of changes.

    Attributes:
        keys: Value, version and lease of each key.
        down: Whether there is an outage.
        paths: The paths by controller name.
        on_commit: Called with each transaction that is carried out, and its revision.
    """

    def __init__(self, limits: dict[str, Any]) -> None:
        self.limits = limits
        self.keys: dict[str, tuple[Any, int, int]] = {}
        self.revision = 0
        self.changes: list[dict[str, Any]] = []
        self.leases: dict[int, list[float]] = {}
        self.last_lease = 0
        self.requests, self.writes = Rate(limits["rps"]), Rate(limits["write_rps"])
        self.down = False
        self.paths: dict[str, Path] = {}
        self.changed = asyncio.Event()
        self.on_commit: Callable[[str, dict[str, Any], int], None] = lambda name, body, revision: (
            None
        )
        self.servers: list[HTTPServer] = []

    def serve(self, name: str) -> int:
        """Open the port of one controller and return its number."""
        self.paths[name] = Path()
        server = HTTPServer(lambda request: self._receive(name, request))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.servers.append(server)
        return int(sockets[0].getsockname()[1])

    async def expire_forever(self) -> None:
        """End leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.05)
            if not self.down:
                self.expire()

    def outage(self, begins: bool) -> None:
        """Begin or end an outage; after it all leases have their full time again."""
        self.down = begins
        if not begins:
            for lease in self.leases.values():
                lease[0] = time.monotonic() + lease[1]

    def expire(self) -> None:
        """Remove the keys of leases that have ended."""
        now = time.monotonic()
        for lease, (until, _) in list(self.leases.items()):
            if until < now:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End one lease."""
        self.leases.pop(lease, None)
        attached = [key for key, (_, _, owner) in self.keys.items() if owner == lease]
        if attached:
            self.revision += 1
            for key in attached:
                self._remove(key)
            self._notify()

    def _remove(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self.changes.append({"Remove": key, "Stamp": self.revision})

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    # Requests

    def _receive(self, name: str, request: HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._answer(name, request))
        request._case_task = task  # type: ignore[attr-defined]

    async def _answer(self, name: str, request: HTTPServerRequest) -> None:
        path = self.paths[name]
        method, target = request.method or "", request.uri or ""
        body = msgspec.msgpack.decode(request.body) if request.body else {}
        held = path.before(method, target, body)
        if held:
            await asyncio.sleep(held)
        if path.refused or self.down:
            status, answer = 503, {"error": "unavailable"}
        else:
            status, answer = await self._carry_out(name, path, method, target, body)
        held = path.after(method, target, body)
        if held:
            await asyncio.sleep(held)
        payload = msgspec.msgpack.encode(answer)
        headers = HTTPHeaders({"Content-Length": str(len(payload))})
        connection = request.connection
        try:
            assert connection is not None
            connection.write_headers(ResponseStartLine("HTTP/1.1", status, "x"), headers, payload)
            connection.finish()
        except Exception:
            return  # the controller has gone, or did not wait for so long

    async def _carry_out(
        self, name: str, path: Path, method: str, target: str, body: Any
    ) -> Answer:
        self.expire()
        if not self.requests.take(1.0):
            return 429, {"error": "too many requests"}
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        handlers: dict[str, Callable[[], Answer | Awaitable[Answer]]] = {
            "/commit": lambda: self._commit(name, body),
            "/keys": lambda: self._page(query),
            "/follow": lambda: self._follow(path, query),
        }
        handler = handlers.get(url.path)
        if handler is not None:
            result = handler()
            return await result if isinstance(result, Awaitable) else result
        if url.path.startswith("/keys/"):
            return self._row(unquote(url.path.removeprefix("/keys/")))
        return self._lease(method, url.path.removeprefix("/leases").strip("/"), body)

    def _row(self, key: str) -> Answer:
        if key not in self.keys:
            return 404, {"Ledger": self.revision}
        return 200, self._describe(key)

    def _describe(self, key: str) -> dict[str, Any]:
        value, version, lease = self.keys[key]
        row = {"K": key, "Value": value, "Stamp": version}
        return row | {"Permit": lease} if lease else row

    def _page(self, query: dict[str, str]) -> Answer:
        prefix, after = query.get("Prefix", ""), query.get("From", "")
        size = min(int(query.get("Page", MAX_PAGE)), MAX_PAGE)
        names = [k for k in sorted(self.keys) if k.startswith(prefix) and k > after]
        rows: list[dict[str, Any]] = []
        total = 0
        for key in names[:size]:
            row = self._describe(key)
            total += len(json.dumps(row))
            if rows and total > 512 * 1024:
                break
            rows.append(row)
        return 200, {"Rows": rows, "More": len(names) > len(rows), "Ledger": self.revision}

    async def _follow(self, path: Path, query: dict[str, str]) -> Answer:
        prefix, since = query.get("Prefix", ""), int(query["From"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000.0
        while True:
            if not (self.down or path.refused):  # a watch stays open during an outage
                if (
                    len(self.changes) > KEPT_CHANGES
                    and since < self.changes[-KEPT_CHANGES]["Stamp"]
                ):
                    return 410, {"Ledger": self.revision}
                news = [
                    change
                    for change in self.changes
                    if change["Stamp"] > since
                    and (change.get("Set") or change["Remove"]).startswith(prefix)
                ]
                left = until - time.monotonic()
                if news or left <= 0:
                    return 200, {"Ledger": self.revision, "News": news}
            else:
                left = 0.2
            changed = self.changed
            try:
                async with asyncio.timeout(max(0.01, min(left, 0.2))):
                    await changed.wait()
            except TimeoutError:
                pass

    def _lease(self, method: str, rest: str, body: Any) -> Answer:
        now = time.monotonic()
        if not rest:
            self.last_lease += 1
            duration = body["LifeMs"] / 1000.0
            self.leases[self.last_lease] = [now + duration, duration]
            return 200, {"Permit": self.last_lease}
        lease = int(rest.partition("/")[0])
        if lease not in self.leases:
            return 404, {"Ledger": self.revision}
        if method == "DELETE":
            self.end_lease(lease)
        else:
            self.leases[lease][0] = now + self.leases[lease][1]
        return 200, {"Permit": lease}

    def _commit(self, name: str, body: dict[str, Any]) -> Answer:
        guards, changes = body.get("Guards", []), body.get("Then", [])
        if not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        limits = self.limits
        if len(changes) > limits["txn_ops"] or len(guards) > 4 * limits["txn_ops"]:
            return 400, {"error": "too many operations"}
        sizes = [len(msgspec.json.encode(c["Value"])) for c in changes if "Value" in c]
        if any(size > limits["value_kb"] * 1024 for size in sizes):
            return 400, {"error": "the value is too large"}
        if len(msgspec.json.encode(body)) > 64 * 1024:
            return 400, {"error": "the transaction is too large"}
        if any(c.get("Permit") and c["Permit"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        failed = [g["K"] for g in guards if self.keys.get(g["K"], (0, 0, 0))[1] != g["Stamp"]]
        if failed:
            return 409, {"failed": failed, "Ledger": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                self._apply(change)
            self.on_commit(name, body, self.revision)
            self._notify()
        return 200, {"Ledger": self.revision}

    def _apply(self, change: dict[str, Any]) -> None:
        if "Remove" in change:
            self._remove(change["Remove"])
            return
        key, value = change["Set"], change["Value"]
        self.keys[key] = (value, self.revision, change.get("Permit") or 0)
        self.changes.append({"Set": key, "Value": value, "Stamp": self.revision})
