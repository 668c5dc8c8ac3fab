"""Simulate five controllers with a shares file and check that every machine has one owner.

At every check the owners are derived from the stored records alone, by an implementation that
is independent of the one under test.
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
CHECK_PERIOD_S = 0.1


def shares_file(**fields: Any) -> SharesFile:
    """Return a shares file with the given fields; the types are checked."""
    return msgspec.convert(fields, SharesFile)


def is_handover(result: object) -> bool:
    """Return whether an edit of a transaction makes the target of a move the machine's owner."""
    return (
        isinstance(result, MachineOwnership)
        and result.stage == MoveStage.SETTLED
        and result.owner == result.target
        and not result.why.startswith("withdrawn")
    )


class SharesFleet(Fleet):
    """A simulated cluster whose ownership records are checked ten times a second.

    Attributes:
        nodes_without_file: Numbers of the controllers that have no shares file.
        shares: The `Shares` subsystems of the running processes, by controller number.
        watched: Numbers of the controllers whose commits are watched.
        on_handover: Called once, before the next transaction with a handover is sent.
        owners: Owners at the last check, by machine.
        tokens: Fencing tokens at the last check, by machine.
        handovers: Number of handovers, by old and new owner.
        handover_with_tasks_count: Number of handovers of machines that had tasks.
        stops: Number of live tasks that were commanded to stop, by job.
    """

    def __init__(
        self,
        seed: int = 1,
        capacity: int = 120,
        *,
        version: Version = OURS,
        nodes_without_file: frozenset[int] = frozenset(),
        params: dict[str, Any] | None = None,
        check_period_s: float = CHECK_PERIOD_S,
        **file: Any,
    ) -> None:
        self.file, self.check_period_s = shares_file(**file), check_period_s
        self.nodes_without_file = nodes_without_file
        self.shares: dict[int, Shares] = {}
        self.watched: set[int] = set()
        self.on_handover: Callable[[Node], None] | None = None
        self.owners: dict[str, str] = {}
        self.tokens: dict[str, int] = {}
        self.handovers: Counter[tuple[str, str]] = Counter()
        self.handover_with_tasks_count = 0
        self.stops: Counter[str] = Counter()
        super().__init__(seed, capacity, version, **({"teams": TEAMS} | (params or {})))
        self.after(0.0, self._check_records)

    def node_started(self, node: Node) -> None:
        """Add the `Shares` subsystem to a new process of this version that has a shares file."""
        if node.number in self.nodes_without_file or node.version is not OURS:
            return
        settings = msgspec.convert(node.settings(), Settings)
        check_shares_file(self.file, settings)
        self.shares[node.number] = Shares(SharesConfig(self.file, settings), node.core)
        if node.number not in self.watched:
            self.watched.add(node.number)
            self._watch_commits(node)

    def _watch_commits(self, node: Node) -> None:
        """Call `on_handover` right before a controller sends a transaction with a handover.

        A change that it makes to `lost_commits` applies to this transaction only.
        """
        send = node._send

        def send_watched(batch: Batch) -> None:
            interfere, lost_commits = self.on_handover, self.lost_commits
            if interfere is not None and any(map(is_handover, batch.results.values())):
                self.on_handover = None
                interfere(node)
            send(batch)
            self.lost_commits = lost_commits

        node._send = send_watched  # type: ignore[method-assign]

    # Stored records

    def roster(self) -> tuple[Roster | None, int]:
        """Return the roster and its revision; None and 0 if there is none."""
        row = self.store.row(str(records.ROSTER_KEY))
        record = codec.decode_record(records.ROSTER_KEY, row["Value"]) if row else None
        return (record, row["Stamp"]) if row and isinstance(record, Roster) else (None, 0)

    def members(self) -> list[str]:
        """Return the names of the controllers in the roster."""
        roster, _ = self.roster()
        return [member.name for member in roster.members] if roster else []

    def ownership(self) -> dict[str, MachineOwnership]:
        """Return the ownership records, by machine; only moved machines have one."""
        found: dict[str, MachineOwnership] = {}
        for row in self.store.rows(records.OWNERSHIP_PREFIX):
            record = codec.decode_record(row["K"], row["Value"])
            assert isinstance(record, MachineOwnership)
            found[row["K"].removeprefix(records.OWNERSHIP_PREFIX)] = record
        return found

    def owner_of(self, machine: str) -> str:
        """Return the owner of a machine by the records; empty if it has none."""
        return self._owner_of(machine, self.ownership())[0]

    def _owner_of(self, machine: str, ownership: dict[str, MachineOwnership]) -> tuple[str, int]:
        """Return the owner of a machine and its fencing token."""
        roster, roster_revision = self.roster()
        if roster is None:
            return "", 0
        record = ownership.get(machine)
        token = max(roster_revision, record.token) if record else roster_revision
        if record is not None and record.owner:
            member = roster.find_member(record.owner)
            if member is not None and member.lease_id == record.incarnation:
                return record.owner, token
        return hashed_owner(machine, self.workers[machine].zone, roster) or "", token

    def _check_records(self) -> None:
        """Check that each change of owner raises the fencing token, and that tokens never fall.

        No worker may know a higher token than the records, and no two controllers may command
        a machine under the same token.
        """
        ownership = self.ownership()
        _, roster_revision = self.roster()
        for name, worker in self.workers.items():
            if worker.gone:
                continue
            owner, token = self._owner_of(name, ownership)
            if owner and owner != self.owners.get(name, owner):
                if token <= self.tokens[name]:
                    raise RuleBrokenError(f"{name} changed hands under token {token}")
                if token > roster_revision:
                    self.handovers[(self.owners[name], owner)] += 1
                    self.handover_with_tasks_count += bool(worker.tasks)
            if token < self.tokens.get(name, 0):
                raise RuleBrokenError(f"the fencing token of {name} fell to {token}")
            if worker.token > max(token, self.tokens.get(name, 0)):
                raise RuleBrokenError(
                    f"{name} was sent token {worker.token}, but its token is {token}"
                )
            self.owners[name], self.tokens[name] = owner, token
        self._check_claims()
        self.after(self.check_period_s, self._check_records)

    def _check_claims(self) -> None:
        """Check that no two controllers command a machine under the same token."""
        claim_counts: Counter[tuple[str, int]] = Counter()
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
                    claim_counts[(name, core.ctx.machine_token(name))] += 1
        duplicates = [claim for claim, count in claim_counts.items() if count > 1]
        if duplicates:
            raise RuleBrokenError(f"several controllers command {duplicates}")

    # Queries and commands of the tests

    def up(self) -> list[str]:
        """Return the names of the machines that have booted and still exist."""
        return [n for n, w in self.workers.items() if not w.gone and self.now >= w.up_at]

    def counts(self) -> Counter[str]:
        """Return the number of booted machines, by owner."""
        ownership = self.ownership()
        return Counter(self._owner_of(name, ownership)[0] for name in self.up())

    def under_way(self) -> dict[str, MachineOwnership]:
        """Return the records of machines whose move has not reached its handover."""
        return {m: r for m, r in self.ownership().items() if r.stage == MoveStage.DRAINING}

    def leader(self) -> Node | None:
        """Return the controller that leads; None if there is none."""
        return next((n for n in self.nodes if n.up and n.enter().ctx.is_leading()), None)

    def wait_for_leader(self) -> Node:
        """Run until a controller leads, for at most 30 s, and return it."""
        self.run_until(lambda: self.leader() is not None, 30.0)
        found = self.leader()
        assert found is not None
        return found

    def run_until(self, is_reached: Callable[[], bool], limit_s: float) -> None:
        """Run until the condition holds, which must be within the given number of seconds."""
        end = self.now + limit_s
        while not is_reached():
            assert self.now < end, "the condition did not hold in time"
            self.run(min(end, self.now + CHECK_PERIOD_S))

    def send(self, path: str, body: dict[str, Any], node: Node) -> list[Response | None]:
        """Send an operator's command and return a list that will get the response."""
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
        """Send an operator's command, by default to the leader, and return the response."""
        answers = self.send(path, body, node or self.wait_for_leader())
        self.run_until(lambda: bool(answers), 5.0)
        assert answers[0] is not None
        return answers[0]

    def move(self, source: str, target: str, count: int, name: str, **fields: Any) -> Response:
        """Request a move of `count` machines for one hour.

        Args:
            source: Controller that gives the machines away.
            target: Controller that gets them.
            count: Number of machines.
            name: Id of the request.
            fields: Fields of the body that replace others or are added.
        """
        body = {"RequestId": name, "From": source, "To": target, "Type": "g2", "Count": count}
        until = EPOCH + self.now + 3600.0
        return self.command("/shares/move", body | {"Until": until} | fields)

    def task_stopped(self, command: Command) -> None:
        """Count the live tasks that were commanded to stop."""
        self.stops[command.task.partition("/")[0]] += 1

    def fill(self, count: int, run_s: float = 20.0, prefix: str = "1", **fields: Any) -> list[str]:
        """Submit jobs that need one whole machine each and return their names."""
        names = [f"job-{prefix}{number:04d}" for number in range(count)]
        whole_machine = {"Vcpus": 16.0, "Accelerators": 2.0, "Loaners": True}
        for name in names:
            self.submit(name, run_s, None, **(whole_machine | fields))
        return names

    def all_done(self, names: list[str]) -> bool:
        """Return whether the users of all these jobs were told that they are done."""
        return all(self.jobs[name].told_status == "done" for name in names)
