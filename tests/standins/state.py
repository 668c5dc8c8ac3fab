"""A state service in memory: keys, leases, guarded transactions and a log of changes."""

import json
from typing import Any


class StateStore:
    """The keys and leases of a state service; the caller passes the time in seconds.

    Attributes:
        keys: Value, version and lease id (0: none) of each key.
        revision: Revision of the last change.
        leases: End and duration in seconds of each lease.
        changes: All changes so far, as in the responses to /follow.
        txn_ops: Maximum number of changes in a transaction; four times as many guards.
        value_bytes: Maximum size of a value, as JSON.
    """

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int]] = {}
        self.revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease_id = 0
        self.changes: list[dict[str, Any]] = []
        self.txn_ops, self.value_bytes = 10_000, 1 << 30

    def expire(self, now: float) -> None:
        """End the leases that were not renewed in time, and remove their keys."""
        for lease_id, (until, _) in list(self.leases.items()):
            if until < now:
                self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> bool:
        """End a lease and remove its keys; return whether the lease existed."""
        if self.leases.pop(lease_id, None) is None:
            return False
        for key in [k for k, (_, _, key_lease_id) in self.keys.items() if key_lease_id == lease_id]:
            self.revision += 1
            self._remove(key)
        return True

    def grant(self, now: float, duration_ms: int) -> int:
        """Grant a lease and return its id."""
        self.last_lease_id += 1
        self.leases[self.last_lease_id] = (now + duration_ms / 1000, duration_ms / 1000)
        return self.last_lease_id

    def resume(self, now: float) -> None:
        """Renew all leases, as the state service does after an outage."""
        for lease_id, (_, duration_s) in self.leases.items():
            self.leases[lease_id] = (now + duration_s, duration_s)

    def touch(self, now: float, lease_id: int) -> bool:
        """Renew a lease; return whether it exists."""
        self.expire(now)
        if lease_id not in self.leases:
            return False
        duration_s = self.leases[lease_id][1]
        self.leases[lease_id] = (now + duration_s, duration_s)
        return True

    def _remove(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self.changes.append({"Remove": key, "Stamp": self.revision})

    def set(self, key: str, value: Any, lease_id: int = 0) -> None:
        """Set a key without a transaction, as another client would."""
        self.revision += 1
        self.keys[key] = (value, self.revision, lease_id)
        self.changes.append({"Set": key, "Value": value, "Stamp": self.revision})

    def commit(self, now: float, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out a transaction and return the status and body of the response."""
        self.expire(now)
        guards = body.get("Guards", [])
        failed = [
            guard["K"]
            for guard in guards
            if self.keys.get(guard["K"], (0, 0, 0))[1] != guard["Stamp"]
        ]
        changes = body.get("Then", [])
        if len(changes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, {"error": "too many operations"}
        if any(len(json.dumps(c["Value"])) > self.value_bytes for c in changes if "Value" in c):
            return 400, {"error": "the value is too large"}
        if any(c.get("Permit") and c["Permit"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "Ledger": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "Set" in change:
                key = change["Set"]
                self.keys[key] = (change["Value"], self.revision, change.get("Permit", 0))
                self.changes.append({"Set": key, "Value": change["Value"], "Stamp": self.revision})
            else:
                self._remove(change["Remove"])
        return 200, {"Ledger": self.revision}

    def row(self, key: str) -> dict[str, Any] | None:
        """Return a key as the protocol represents it; None if it does not exist."""
        if key not in self.keys:
            return None
        value, version, lease_id = self.keys[key]
        row = {"K": key, "Value": value, "Stamp": version}
        return row | {"Permit": lease_id} if lease_id else row

    def rows(self, prefix: str, after: str = "") -> list[dict[str, Any]]:
        """Return the keys with a prefix that come after the key `after`, in order."""
        matching = [k for k in sorted(self.keys) if k.startswith(prefix) and k > after]
        return [row for k in matching if (row := self.row(k)) is not None]

    def page(self, prefix: str, after: str, page_size: int) -> dict[str, Any]:
        """Return one page of keys, as in the responses to GET /keys."""
        rows = self.rows(prefix, after)
        return {
            "Rows": rows[:page_size], "More": len(rows) > page_size, "Ledger": self.revision,
        }  # fmt: skip

    def since(self, revision: int, prefix: str) -> list[dict[str, Any]]:
        """Return the changes of keys with a prefix after a revision."""
        return [
            change
            for change in self.changes
            if change["Stamp"] > revision
            and (change.get("Set") or change["Remove"]).startswith(prefix)
        ]
