"""A state service in memory: keys, leases, guarded transactions, changes."""

import json
from typing import Any


class StateStore:
    """The store itself; time is whatever the caller says it is."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int]] = {}
        self.revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease_id = 0
        self.changes: list[dict[str, Any]] = []
        self.txn_ops, self.value_bytes = 10_000, 1 << 30

    def expire(self, now: float) -> None:
        """End the leases that were not renewed in time."""
        for permit, (until, _) in list(self.leases.items()):
            if until < now:
                self.end_lease(permit)

    def end_lease(self, permit: int) -> bool:
        if self.leases.pop(permit, None) is None:
            return False
        for key in [k for k, (_, _, held) in self.keys.items() if held == permit]:
            self.revision += 1
            self._remove(key)
        return True

    def grant(self, now: float, life_ms: int) -> int:
        self.last_lease_id += 1
        self.leases[self.last_lease_id] = (now + life_ms / 1000, life_ms / 1000)
        return self.last_lease_id

    def resume(self, now: float) -> None:
        """An outage has ended: every lease has its full time again."""
        for permit, (_, life) in self.leases.items():
            self.leases[permit] = (now + life, life)

    def touch(self, now: float, permit: int) -> bool:
        self.expire(now)
        if permit not in self.leases:
            return False
        life = self.leases[permit][1]
        self.leases[permit] = (now + life, life)
        return True

    def _remove(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self.changes.append({"Remove": key, "Stamp": self.revision})

    def set(self, key: str, value: Any, permit: int = 0) -> None:
        """A change made by somebody else."""
        self.revision += 1
        self.keys[key] = (value, self.revision, permit)
        self.changes.append({"Set": key, "Value": value, "Stamp": self.revision})

    def commit(self, now: float, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.expire(now)
        guards = body.get("Guards", [])
        failed = [g["K"] for g in guards if self.keys.get(g["K"], (0, 0, 0))[1] != g["Stamp"]]
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
        if key not in self.keys:
            return None
        value, stamp, permit = self.keys[key]
        row = {"K": key, "Value": value, "Stamp": stamp}
        return row | {"Permit": permit} if permit else row

    def rows(self, prefix: str, after: str = "") -> list[dict[str, Any]]:
        found = [k for k in sorted(self.keys) if k.startswith(prefix) and k > after]
        return [row for k in found if (row := self.row(k)) is not None]

    def since(self, ledger: int, prefix: str) -> list[dict[str, Any]]:
        return [
            n
            for n in self.changes
            if n["Stamp"] > ledger and (n.get("Set") or n["Remove"]).startswith(prefix)
        ]
