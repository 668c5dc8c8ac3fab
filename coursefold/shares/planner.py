"""The leader's part: requests moves towards the shares in force, and withdraws moves."""

import logging
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from coursefold.protocol.ids import MonotonicTime
from coursefold.shares.config import ShareRule, SharesConfig
from coursefold.shares.moves import Move, delete_unchanged, renew_move, request_move, withdraw_move
from coursefold.shares.port import CorePort, MachineState
from coursefold.shares.schedule import Schedule
from coursefold.shares.targets import Scope, Target, Transfer, compute_targets, compute_transfers
from coursefold.storage.edits import LOW_PRIORITY
from coursefold.storage.limits import TokenBucket
from coursefold.storage.share_records import MachineOwnership, MoveStage, ShareRequest

log = logging.getLogger(__name__)

PLAN_INTERVAL_S = 1.0
CLEANUP_INTERVAL_S = 10.0
GONE_MACHINE_RETENTION_S = 300.0  # of a record without a machine: cloud lists may lag
SECONDS_PER_MINUTE = 60.0
YIELD_AFTER_S = 30.0  # time for which a move may block a machine that waiting jobs could use


class ScopeStatus(NamedTuple):
    """The state of one scope at the last plan, by controller.

    Attributes:
        targets: Machines that controllers are to own.
        owned: Machines that they own.
        unreported: Those of the owned machines that the owner does not report.
    """

    targets: dict[str, Target]
    owned: Counter[str]
    unreported: Counter[str]


class EffectiveShares(NamedTuple):
    """The shares in force, and the source of the moves that they cause.

    Attributes:
        rules: Rules by scope, with the counts of operators' requests.
        requests: The latest operators' request of each scope that has one.
        reason: Reason of the moves that no request causes.
    """

    rules: dict[Scope, list[ShareRule]]
    requests: dict[Scope, "NamedRequest"]
    reason: str


class NamedRequest(NamedTuple):
    """An operator's request with its id."""

    name: str
    request: ShareRequest

    @property
    def move_reason(self) -> str:
        """Return the reason that the moves caused by this request carry."""
        return f"request {self.name}"


def select_machines(scope: Scope, states: Iterable[MachineState]) -> list[MachineState]:
    """Return the machines of a scope's type and, if it names one, zone."""
    machine_type, zone = scope
    return [
        state for state in states if state.machine_type == machine_type and zone in ("", state.zone)
    ]


class MovePlanner:
    """Requests, renews and withdraws moves while its controller leads.

    Attributes:
        move_rate_limit: Tokens for moves that may be requested now.
        leading_token: Fencing token of the roster under which it leads; 0 if it does not lead.
        last_epoch: Epoch of the latest moves that it requested.
        paused_until: Until when machines are not moved because a move was withdrawn, by name.
        scope_status: State of each scope at the last plan.
        outcomes: Counts of moves requested and withdrawn by this process.
    """

    def __init__(self, config: SharesConfig, port: CorePort) -> None:
        self.config, self.port = config, port
        self.limits = config.moves
        self.schedule = Schedule(config.file)
        self.move_rate_limit = TokenBucket(
            self.limits.a_minute / SECONDS_PER_MINUTE, float(self.limits.at_once)
        )
        self.last_plan_at = self.last_cleanup_at = MonotonicTime(-1e9)
        self.leading_token = 0
        self.last_epoch = 0
        self.paused_until: dict[str, MonotonicTime] = {}
        self.scope_status: dict[Scope, ScopeStatus] = {}
        self.outcomes: Counter[str] = Counter()

    def tick(self) -> None:
        """Withdraw moves that cannot complete; then, once per `PLAN_INTERVAL_S`, plan new ones."""
        port = self.port
        if not port.is_leading():
            self.leading_token = 0
            return
        if self.leading_token != port.view.fencing_token:
            self.leading_token = port.view.fencing_token
            self.paused_until.clear()
        self._withdraw_or_renew_moves()
        if port.ctx.now - self.last_plan_at < PLAN_INTERVAL_S:
            return
        self.last_plan_at = port.ctx.now
        self._yield_to_waiting_jobs()
        self._plan_moves()
        self._delete_unneeded_records()

    # Moves in progress

    def _withdraw_or_renew_moves(self) -> None:
        """Withdraw moves that cannot complete; renew the others if the roster has changed."""
        port = self.port
        for machine, record in list(port.view.moves_in_progress.items()):
            reason = self._find_withdrawal_reason(machine, record)
            if reason:
                self.withdraw(machine, record, reason)
            elif record.roster_token != port.view.fencing_token:
                change = renew_move(record, port.view.fencing_token)
                port.change_ownership(machine, change, f"renew {port.view.fencing_token}")

    def _yield_to_waiting_jobs(self) -> None:
        """Withdraw moves of machines on which long-waiting jobs would fit.

        A machine that is to move accepts no new tasks until its tasks have ended, which may take
        long; no job should wait for 90 seconds while a machine that fits it is free. But machines
        have to move also where jobs wait all the time, so each move may block its machine for
        `YIELD_AFTER_S`.
        """
        wall_time = self.port.ctx.wall_time
        moving = {
            machine: record
            for machine, record in self.port.view.moves_in_progress.items()
            if wall_time - record.stage_started_at >= YIELD_AFTER_S
        }
        if not moving:
            return
        for machine in sorted(self.port.find_needed_by_waiting_jobs(moving)):
            self.withdraw(machine, moving[machine], "jobs have waited for its room")

    def _find_withdrawal_reason(self, machine: str, record: MachineOwnership) -> str:
        """Return why a move should not go on; empty if it should."""
        port = self.port
        if record.target not in port.member_names() or port.owner_of(machine) != record.source:
            return "its controllers have changed"
        if port.ctx.wall_time >= record.expires_at:
            return "its time is over"
        if port.is_leaving(machine):
            return "the machine is being returned"
        return ""

    def withdraw(self, machine: str, record: MachineOwnership, reason: str) -> None:
        """Withdraw a move; the machine keeps its owner and is not moved for `retry_s`."""
        port = self.port
        change = withdraw_move(record.epoch, port.ctx.wall_time, reason)
        if port.change_ownership(machine, change, f"withdraw {record.epoch}"):
            log.info("move %d of machine %s withdrawn: %s", record.epoch, machine, reason)
            self.outcomes["withdrawn"] += 1
        self.paused_until[machine] = MonotonicTime(port.ctx.now + self.limits.retry_s)

    # Planning

    def find_effective_shares(self) -> EffectiveShares:
        """Return the rules of the open window and the file, overridden by operators' requests."""
        wall_time = self.port.ctx.wall_time
        window = self.schedule.window_at(wall_time)
        rules: dict[Scope, list[ShareRule]] = {}
        for rule in self.schedule.rules_at(wall_time):
            rules.setdefault(rule.scope, []).append(rule)
        requests: dict[Scope, NamedRequest] = {}
        by_request_time = sorted(
            self.port.view.share_requests.items(), key=lambda item: item[1].requested_at
        )
        for name, request in by_request_time:
            if request.withdrawn or wall_time >= request.expires_at:
                continue
            scope = (request.machine_type, request.zone)
            requests[scope] = NamedRequest(name, request)
            counts = (
                (request.source, request.source_count),
                (request.target, request.target_count),
            )
            for controller, machine_count in counts:
                others = [r for r in rules.get(scope, []) if r.controller != controller]
                rule = ShareRule(
                    controller, request.machine_type, request.zone, machines=machine_count
                )
                rules[scope] = [*others, rule]
        return EffectiveShares(rules, requests, f"window {window.name}" if window else "shares")

    def _plan_moves(self) -> None:
        """Compare all scopes with their targets, and request the moves that limits allow."""
        port = self.port
        shares = self.find_effective_shares()
        self.scope_status = {}
        if not shares.rules:
            return
        states = port.list_machines()
        moves = port.view.moves_in_progress
        wanted: list[tuple[Transfer, list[MachineState], Scope]] = []
        for scope, rules in shares.rules.items():
            machines = select_machines(scope, states)
            owned = dict.fromkeys(port.member_names(), 0) | self.count_owned(machines)
            max_owned = self._max_owned(machines, states)
            targets = compute_targets(rules, len(machines), port.member_names(), max_owned)
            unreported_counts = Counter(s.owner for s in machines if not s.is_reported)
            owned_now = Counter(s.owner for s in machines)
            self.scope_status[scope] = ScopeStatus(targets, owned_now, unreported_counts)
            if port.has_complete_inventory():
                # A request names an exact number of machines, so no tolerance applies to it.
                tolerance = 0 if scope in shares.requests else self.limits.tolerance
                transfers = compute_transfers(owned, targets, tolerance, max_owned)
                wanted.extend((transfer, machines, scope) for transfer in transfers)
        max_requests = min(
            self.limits.at_once - len(moves), int(self.move_rate_limit.refill(port.ctx.now))
        )
        self._request_moves(shares, wanted, max_requests)

    def find_targets(self, scope: Scope) -> dict[str, Target]:
        """Return the targets of a scope under the shares in force now."""
        states = self.port.list_machines()
        machines = select_machines(scope, states)
        rules = self.find_effective_shares().rules.get(scope, [])
        return compute_targets(
            rules, len(machines), self.port.member_names(), self._max_owned(machines, states)
        )

    def _max_owned(
        self, machines: Iterable[MachineState], states: Iterable[MachineState]
    ) -> dict[str, int]:
        """Return how many machines of a scope each controller has connections for.

        These are the connections for workers less those that its machines of other scopes use.
        """
        owned, all_owned = self.count_owned(machines), self.count_owned(states)
        max_machines = self.port.max_machines()
        return {
            name: max_machines - all_owned[name] + owned[name] for name in self.port.member_names()
        }

    def count_owned(self, states: Iterable[MachineState]) -> Counter[str]:
        """Count machines by owner; one that is being moved counts for its new owner."""
        moves = self.port.view.moves_in_progress
        return Counter(moves[s.id].target if s.id in moves else s.owner for s in states)

    def _request_moves(
        self,
        shares: EffectiveShares,
        wanted: Sequence[tuple[Transfer, list[MachineState], Scope]],
        max_requests: int,
    ) -> None:
        """Request at most `max_requests` moves, all under one epoch.

        The epoch is the view's revision, which must be higher than the last epoch. So a round
        that finds the records unchanged since the last requests does nothing.
        """
        epoch = self.port.view.revision
        if epoch <= self.last_epoch:
            return
        for transfer, machines, scope in wanted:
            count = transfer.machine_count - self._withdraw_reverse_moves(transfer, machines)
            for state in self.choose_machines(transfer, machines, min(count, max_requests)):
                max_requests -= 1
                self.last_epoch = epoch
                self._request_move(state, transfer, shares, scope, epoch)

    def _withdraw_reverse_moves(self, transfer: Transfer, machines: Iterable[MachineState]) -> int:
        """Withdraw moves in the opposite direction, rather than move other machines back.

        Returns:
            How many moves were withdrawn, at most as many as the transfer has machines.
        """
        port = self.port
        withdrawn_count = 0
        for state in machines:
            record = port.view.moves_in_progress.get(state.id)
            if record is None or withdrawn_count >= transfer.machine_count:
                continue
            if (record.source, record.target) == (transfer.target, transfer.source):
                self.withdraw(state.id, record, "the shares have changed")
                withdrawn_count += 1
        return withdrawn_count

    def choose_machines(
        self, transfer: Transfer, machines: Iterable[MachineState], count: int
    ) -> list[MachineState]:
        """Return up to `count` machines of the source that can be moved.

        Machines in the new owner's zone come first, as a network partition between zones
        separates a machine from an owner in another zone; ownership by hash prefers the zone for
        the same reason. Among them, those with the fewest tasks that have to end come first.
        """
        port = self.port
        target_zones = {
            member.zone for member in port.roster_members() if member.name == transfer.target
        }
        candidates = [
            state
            for state in machines
            if state.owner == transfer.source
            and not state.obstacle
            and state.id not in port.view.moves_in_progress
            and self.paused_until.get(state.id, port.ctx.now) <= port.ctx.now
        ]
        candidates.sort(key=lambda s: (s.zone not in target_zones, s.ending_task_count, s.id))
        return candidates[: max(0, count)]

    def _request_move(
        self,
        state: MachineState,
        transfer: Transfer,
        shares: EffectiveShares,
        scope: Scope,
        epoch: int,
    ) -> None:
        """Request one move; its mode and reason are those of the request that causes it, if any."""
        port = self.port
        wall_time = port.ctx.wall_time
        mode, reason = self.config.mode, shares.reason
        named = shares.requests.get(scope)
        if named is not None and named.request.source == transfer.source:
            mode, reason = named.request.mode, named.move_reason
        expires_at = wall_time + self.limits.limit_s
        move = Move(state.id, transfer.source, transfer.target, epoch, mode, expires_at, reason)
        change = request_move(move, port.view.fencing_token, wall_time)
        if port.change_ownership(state.id, change, "request"):
            self.move_rate_limit.spend(port.ctx.now, 1)
            self.outcomes["requested"] += 1
            log.info(
                "move %d: machine %s from %s to %s, because of %s",
                epoch, state.id, transfer.source, transfer.target, reason,
            )  # fmt: skip

    # Records that are no longer needed

    def _delete_unneeded_records(self) -> None:
        """Delete records without effect, while the commit queue has spare rate."""
        port = self.port
        if (
            port.ctx.now - self.last_cleanup_at < CLEANUP_INTERVAL_S
            or not port.has_spare_write_rate()
        ):
            return
        self.last_cleanup_at = port.ctx.now
        for machine, record in port.view.ownership.items():
            if record.stage != MoveStage.SETTLED:
                continue
            is_gone = (
                port.is_gone(machine)
                and port.ctx.wall_time - record.stage_started_at > GONE_MACHINE_RETENTION_S
            )
            # The machine's fencing token must not fall, so the roster's has to be higher.
            has_no_effect = record.token < port.view.fencing_token and port.is_owned_by_hash(
                machine, record
            )
            if is_gone or has_no_effect:
                port.change_ownership(
                    machine, delete_unchanged(record), "forget", priority=LOW_PRIORITY
                )
