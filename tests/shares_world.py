"""Five controllers with a file of shares, in simulated time; every machine has one owner.

The owner is found here from the stored records alone, at every look, with a reading of its own.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from coursefold.coordination.effects import Response
from coursefold.coordination.rendezvous import hash_owner as hashed_owner
from coursefold.protocol.wire import Command, encode
from coursefold.settings import Settings
from coursefold.shares.config import SharesConfig, SharesFile, check_shares_file
from coursefold.shares.shares import Shares
from coursefold.storage import codec, records
from coursefold.storage.batches import Batch
from coursefold.storage.records import Roster
from coursefold.storage.share_records import MachineOwnership, MoveStage
from tests.fleet import Fleet, Node, RuleBrokenError
from tests.production import OURS, Version
from tests.world import EPOCH

TEAMS = [
    {"name": "red", "gpus": 60.0, "gpus_max": 400.0},
    {"name": "blue", "gpus": 60.0, "gpus_max": 400.0},
]
LOOK_S = 0.1


def shares_file(**fields: Any) -> SharesFile:
    """A file of shares, checked like one that is read."""
    return msgspec.convert(fields, SharesFile)


def is_handover(result: object) -> bool:
    """Does a transaction make its target a machine's owner?"""
    return (
        isinstance(result, MachineOwnership)
        and result.stage == MoveStage.SETTLED
        and result.owner == result.target
        and not result.why.startswith("withdrawn")
    )


class SharesFleet(Fleet):
    """The world, with a look at all records ten times a second."""

    def __init__(
        self,
        seed: int = 1,
        capacity: int = 120,
        *,
        version: Version = OURS,
        without: frozenset[int] = frozenset(),
        params: dict[str, Any] | None = None,
        look_s: float = LOOK_S,
        **file: Any,
    ) -> None:
        self.file, self.look_s = shares_file(**file), look_s
        self.without = without  # controllers that have no file
        self.shares: dict[int, Shares] = {}
        self.watched: set[int] = set()
        self.on_handover: Callable[[Node], None] | None = None  # once
        self.owners: dict[str, str] = {}
        self.tokens: dict[str, int] = {}
        self.handovers: Counter[tuple[str, str]] = Counter()
        self.handed_with_tasks = 0
        self.stops: Counter[str] = Counter()  # of live tasks, by job
        super().__init__(seed, capacity, version, **({"teams": TEAMS} | (params or {})))
        self.after(0.0, self._look_at_records)

    def started(self, node: Node) -> None:
        if node.number in self.without or node.version is not OURS:
            return
        settings = msgspec.convert(node.settings(), Settings)
        check_shares_file(self.file, settings)
        self.shares[node.number] = Shares(SharesConfig(self.file, settings), node.core)
        if node.number not in self.watched:
            self.watched.add(node.number)
            self._watch_commits(node)

    def _watch_commits(self, node: Node) -> None:
        """Let a test interfere at the moment at which a handover is sent."""
        send = node._send

        def watched(batch: Batch) -> None:
            interfere, lost = self.on_handover, self.lost_commits
            if interfere is not None and any(map(is_handover, batch.results.values())):
                self.on_handover = None
                interfere(node)
            send(batch)
            self.lost_commits = lost

        node._send = watched  # type: ignore[method-assign]

    # What the records say

    def roster(self) -> tuple[Roster | None, int]:
        """The roster and its revision."""
        row = self.store.row(str(records.ROSTER_KEY))
        record = codec.decode_record(records.ROSTER_KEY, row["Value"]) if row else None
        return (record, row["Stamp"]) if row and isinstance(record, Roster) else (None, 0)

    def members(self) -> list[str]:
        """Controllers in the roster."""
        roster, _ = self.roster()
        return [member.name for member in roster.members] if roster else []

    def ownership(self) -> dict[str, MachineOwnership]:
        """Records of machines that were moved."""
        found: dict[str, MachineOwnership] = {}
        for row in self.store.rows(records.OWNERSHIP_PREFIX):
            record = codec.decode_record(row["K"], row["Value"])
            assert isinstance(record, MachineOwnership)
            found[row["K"].removeprefix(records.OWNERSHIP_PREFIX)] = record
        return found

    def owner_of(self, machine: str) -> str:
        """The one owner of a machine by the records."""
        return self._owner_of(machine, self.ownership())[0]

    def _owner_of(self, machine: str, ownership: dict[str, MachineOwnership]) -> tuple[str, int]:
        roster, stamp = self.roster()
        if roster is None:
            return "", 0
        record = ownership.get(machine)
        token = max(stamp, record.token) if record else stamp
        if record is not None and record.owner:
            member = roster.find_member(record.owner)
            if member is not None and member.lease_id == record.incarnation:
                return record.owner, token
        return hashed_owner(machine, self.workers[machine].zone, roster) or "", token

    def _look_at_records(self) -> None:
        """Each change of owner has a higher fencing token; nobody is an owner beside another."""
        ownership = self.ownership()
        _, stamp = self.roster()
        for name, worker in self.workers.items():
            if worker.gone:
                continue
            owner, token = self._owner_of(name, ownership)
            if owner and owner != self.owners.get(name, owner):
                if token <= self.tokens[name]:
                    raise RuleBrokenError(f"{name} changed hands under token {token}")
                if token > stamp:
                    self.handovers[(self.owners[name], owner)] += 1
                    self.handed_with_tasks += bool(worker.tasks)
            if token < self.tokens.get(name, 0):
                raise RuleBrokenError(f"the token of {name} fell to {token}")
            if worker.token > max(token, self.tokens.get(name, 0)):
                raise RuleBrokenError(f"{name} was told token {worker.token}, not {token}")
            self.owners[name], self.tokens[name] = owner, token
        self._count_claims()
        self.after(self.look_s, self._look_at_records)

    def _count_claims(self) -> None:
        """No two controllers may command a machine under the same token."""
        claims: Counter[tuple[str, int]] = Counter()
        for node in self.nodes:
            if not node.up or self.now < node.frozen_until or node.version is not OURS:
                continue
            core = node.enter()
            if not core.ctx.is_active():
                continue
            table = core.ctx.ownership
            for name, machine in core.ctx.machines.items():
                if core.ctx.owns(name, machine.zone) and not (
                    table.is_released(name) or table.is_behind(name)
                ):
                    claims[(name, core.ctx.machine_token(name))] += 1
        doubled = [claim for claim, count in claims.items() if count > 1]
        if doubled:
            raise RuleBrokenError(f"several controllers command {doubled}")

    # What is asked of it

    def up(self) -> list[str]:
        """Machines that are there."""
        return [n for n, w in self.workers.items() if not w.gone and self.now >= w.up_at]

    def counts(self) -> Counter[str]:
        """Machines that are there, by owner."""
        ownership = self.ownership()
        return Counter(self._owner_of(name, ownership)[0] for name in self.up())

    def under_way(self) -> dict[str, MachineOwnership]:
        """Moves that are requested and not handed over."""
        return {m: r for m, r in self.ownership().items() if r.stage == MoveStage.DRAINING}

    def leader(self) -> Node | None:
        """The controller that leads, if any does."""
        return next((n for n in self.nodes if n.up and n.enter().ctx.is_leading()), None)

    def led(self) -> Node:
        """The same, once there is one."""
        self.run_until(lambda: self.leader() is not None, 30.0)
        found = self.leader()
        assert found is not None
        return found

    def run_until(self, reached: Callable[[], bool], most_s: float) -> None:
        """Run until something has come; it must within so many seconds."""
        end = self.now + most_s
        while not reached():
            assert self.now < end, "it did not come to pass"
            self.run(min(end, self.now + LOOK_S))

    def send(self, path: str, body: dict[str, Any], node: Node) -> list[Response | None]:
        """Send an operator's command; the answer comes into the list."""
        answers: list[Response | None] = []
        raw = encode(body)
        self.request(
            node.number,
            lambda core, t: core.handle_operator_command(path, raw, t),
            answers.append,
            lambda: True,
        )
        return answers

    def command(self, path: str, body: dict[str, Any], node: Node | None = None) -> Response:
        """An operator's command to the leader, and its answer."""
        answers = self.send(path, body, node or self.led())
        self.run_until(lambda: bool(answers), 5.0)
        assert answers[0] is not None
        return answers[0]

    def move(self, source: str, target: str, count: int, name: str, **more: Any) -> Response:
        """Ask for a move of machines until long after the test."""
        body = {"RequestId": name, "From": source, "To": target, "Type": "g2", "Count": count}
        until = EPOCH + self.now + 3600.0
        return self.command("/shares/move", body | {"Until": until} | more)

    def stopped(self, order: Command) -> None:
        """A live task was told to stop."""
        self.stops[order.task.partition("/")[0]] += 1

    def fill(self, count: int, run_s: float = 20.0, prefix: str = "1", **fields: Any) -> list[str]:
        """Jobs of one whole machine each."""
        names = [f"job-{prefix}{number:04d}" for number in range(count)]
        whole = {"Vcpus": 16.0, "Accelerators": 2.0, "Loaners": True}
        for name in names:
            self.submit(name, run_s, None, **(whole | fields))
        return names

    def all_done(self, names: list[str]) -> bool:
        """Has each of the jobs ended and its user been told so?"""
        return all(self.jobs[name].told == "done" for name in names)
