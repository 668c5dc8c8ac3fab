"""The leader's part: from the shares in force to moves, and the moves that are to be ended."""

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
GONE_MACHINE_RETENTION_S = 300.0  # a record outlives its machine by so long: lists may lag
SECONDS_PER_MINUTE = 60.0
YIELD_AFTER_S = 30.0  # a machine that waiting jobs could use is held back by its move


class ScopeStatus(NamedTuple):
    """How one scope stands: machines by controller, and what they are to be."""

    targets: dict[str, Target]
    owned: Counter[str]
    unreported: Counter[str]  # of these, machines that their owner does not show


class EffectiveShares(NamedTuple):
    """What is in force: rules by scope, and how moves that they cause are made."""

    rules: dict[Scope, list[ShareRule]]
    requests: dict[Scope, "NamedRequest"]  # the last one of each
    reason: str


class NamedRequest(NamedTuple):
    """An operator's request by its id."""

    name: str
    request: ShareRequest

    @property
    def move_reason(self) -> str:
        """The reason of the moves that it causes."""
        return f"request {self.name}"


def select_machines(scope: Scope, states: Iterable[MachineState]) -> list[MachineState]:
    """The machines of a type and, if one is named, a zone."""
    build, zone = scope
    return [state for state in states if state.machine_type == build and zone in ("", state.zone)]


class MovePlanner:
    """Requests and withdraws moves while its controller leads."""

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
        """One round: end what is to be ended, then plan once a second."""
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

    # Moves under way

    def _withdraw_or_renew_moves(self) -> None:
        """Withdraw moves that can not, or no longer should, come to their handover."""
        port = self.port
        for machine, record in list(port.view.moves_in_progress.items()):
            why = self._find_withdrawal_reason(machine, record)
            if why:
                self.withdraw(machine, record, why)
            elif record.roster_token != port.view.fencing_token:
                change = renew_move(record, port.view.fencing_token)
                port.change_ownership(machine, change, f"renew {port.view.fencing_token}")

    def _yield_to_waiting_jobs(self) -> None:
        """Give machines back to jobs that have waited for long and would fit there.

        A machine that is to move takes nothing new until its tasks have ended, which may be
        long; nobody is to wait for a minute and a half beside room that fits. But where jobs
        wait all the time, machines have to move as well: each may be held back for a while.
        """
        wall = self.port.ctx.wall_time
        moving = {
            machine: record
            for machine, record in self.port.view.moves_in_progress.items()
            if wall - record.stage_started_at >= YIELD_AFTER_S
        }
        if not moving:
            return
        for machine in sorted(self.port.find_needed_by_waiting_jobs(moving)):
            self.withdraw(machine, moving[machine], "jobs have waited for its room")

    def _find_withdrawal_reason(self, machine: str, record: MachineOwnership) -> str:
        port = self.port
        if record.target not in port.member_names() or port.owner_of(machine) != record.source:
            return "its controllers have changed"
        if port.ctx.wall_time >= record.expires_at:
            return "its time is over"
        if port.is_leaving(machine):
            return "the machine is being returned"
        return ""

    def withdraw(self, machine: str, record: MachineOwnership, why: str) -> None:
        """Withdraw a move; the machine stays with its owner, and is left alone for a while."""
        port = self.port
        change = withdraw_move(record.epoch, port.ctx.wall_time, why)
        if port.change_ownership(machine, change, f"withdraw {record.epoch}"):
            log.info("move %d of %s withdrawn: %s", record.epoch, machine, why)
            self.outcomes["withdrawn"] += 1
        self.paused_until[machine] = MonotonicTime(port.ctx.now + self.limits.retry_s)

    # The plan

    def find_effective_shares(self) -> EffectiveShares:
        """The rules of the open window or the usual ones, and over them operators' requests."""
        wall = self.port.ctx.wall_time
        window = self.schedule.window_at(wall)
        rules: dict[Scope, list[ShareRule]] = {}
        for rule in self.schedule.rules_at(wall):
            rules.setdefault(rule.scope, []).append(rule)
        requests: dict[Scope, NamedRequest] = {}
        by_age = sorted(
            self.port.view.share_requests.items(), key=lambda item: item[1].requested_at
        )
        for name, found in by_age:
            if found.withdrawn or wall >= found.expires_at:
                continue
            scope = (found.machine_type, found.zone)
            requests[scope] = NamedRequest(name, found)
            counts = ((found.source, found.source_count), (found.target, found.target_count))
            for controller, machines in counts:
                kept = [r for r in rules.get(scope, []) if r.controller != controller]
                rule = ShareRule(controller, found.machine_type, found.zone, machines=machines)
                rules[scope] = [*kept, rule]
        return EffectiveShares(rules, requests, f"window {window.name}" if window else "shares")

    def _plan_moves(self) -> None:
        port = self.port
        plan = self.find_effective_shares()
        self.scope_status = {}
        if not plan.rules:
            return
        states = port.list_machines()
        under_way = port.view.moves_in_progress
        wanted: list[tuple[Transfer, list[MachineState], Scope]] = []
        for scope, rules in plan.rules.items():
            members = select_machines(scope, states)
            owned = dict.fromkeys(port.member_names(), 0) | self.count_owned(members)
            most = self._max_owned(members, states)
            targets = compute_targets(rules, len(members), port.member_names(), most)
            unshown = Counter(s.owner for s in members if not s.is_reported)
            now_owned = Counter(s.owner for s in members)
            self.scope_status[scope] = ScopeStatus(targets, now_owned, unshown)
            if port.has_complete_inventory():
                # A request is for so many machines, and not for about as many.
                tolerance = 0 if scope in plan.requests else self.limits.tolerance
                found = compute_transfers(owned, targets, tolerance, most)
                wanted.extend((transfer, members, scope) for transfer in found)
        room = min(
            self.limits.at_once - len(under_way), int(self.move_rate_limit.refill(port.ctx.now))
        )
        self._request_moves(plan, wanted, room)

    def find_targets(self, scope: Scope) -> dict[str, Target]:
        """What the controllers are to own of a scope by what is in force now."""
        states = self.port.list_machines()
        members = select_machines(scope, states)
        rules = self.find_effective_shares().rules.get(scope, [])
        return compute_targets(
            rules, len(members), self.port.member_names(), self._max_owned(members, states)
        )

    def _max_owned(
        self, members: Iterable[MachineState], states: Iterable[MachineState]
    ) -> dict[str, int]:
        """Machines of a scope that each controller has connections for, beside its others."""
        owned, all_owned = self.count_owned(members), self.count_owned(states)
        most = self.port.max_machines()
        return {name: most - all_owned[name] + owned[name] for name in self.port.member_names()}

    def count_owned(self, states: Iterable[MachineState]) -> Counter[str]:
        """Machines by owner, those on their way counted where they go."""
        under_way = self.port.view.moves_in_progress
        return Counter(under_way[s.id].target if s.id in under_way else s.owner for s in states)

    def _request_moves(
        self,
        plan: EffectiveShares,
        wanted: Sequence[tuple[Transfer, list[MachineState], Scope]],
        room: int,
    ) -> None:
        """Request moves, as many as may be under way at once, all under one epoch.

        An epoch is a revision that nobody has used: a round that finds the records as they
        were in the last one waits for them to change.
        """
        epoch = self.port.view.revision
        if epoch <= self.last_epoch:
            return
        for transfer, members, scope in wanted:
            count = transfer.machine_count - self._withdraw_reverse_moves(transfer, members)
            for state in self.choose_machines(transfer, members, min(count, room)):
                room -= 1
                self.last_epoch = epoch
                self._request_move(state, transfer, plan, scope, epoch)

    def _withdraw_reverse_moves(self, transfer: Transfer, members: Iterable[MachineState]) -> int:
        """Withdraw moves that go the other way, rather than move another machine back."""
        port = self.port
        ended = 0
        for state in members:
            record = port.view.moves_in_progress.get(state.id)
            if record is None or ended >= transfer.machine_count:
                continue
            if (record.source, record.target) == (transfer.target, transfer.source):
                self.withdraw(state.id, record, "the shares have changed")
                ended += 1
        return ended

    def choose_machines(
        self, transfer: Transfer, members: Iterable[MachineState], count: int
    ) -> list[MachineState]:
        """Machines of the new owner's zone first, then those that can be moved soonest.

        A cut between zones parts a machine from an owner in another one, as with the hash.
        """
        port = self.port
        near = {member.zone for member in port.roster_members() if member.name == transfer.target}
        found = [
            state
            for state in members
            if state.owner == transfer.source
            and not state.obstacle
            and state.id not in port.view.moves_in_progress
            and self.paused_until.get(state.id, port.ctx.now) <= port.ctx.now
        ]
        found.sort(key=lambda s: (s.zone not in near, s.ending_task_count, s.id))
        return found[: max(0, count)]

    def _request_move(
        self,
        state: MachineState,
        transfer: Transfer,
        plan: EffectiveShares,
        scope: Scope,
        epoch: int,
    ) -> None:
        port = self.port
        wall = port.ctx.wall_time
        mode, why = self.config.mode, plan.reason
        asked = plan.requests.get(scope)
        if asked is not None and asked.request.source == transfer.source:
            mode, why = asked.request.mode, asked.move_reason
        until = wall + self.limits.limit_s
        move = Move(state.id, transfer.source, transfer.target, epoch, mode, until, why)
        change = request_move(move, port.view.fencing_token, wall)
        if port.change_ownership(state.id, change, "request"):
            self.move_rate_limit.spend(port.ctx.now, 1)
            self.outcomes["requested"] += 1
            log.info(
                "move %d: %s from %s to %s, by %s",
                epoch, state.id, transfer.source, transfer.target, why,
            )  # fmt: skip

    # Records that are no longer needed

    def _delete_unneeded_records(self) -> None:
        """Remove records that change nothing, when nothing else is to be written."""
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
            # Its token must not fall: only a later roster's can stand for it.
            says_nothing = record.token < port.view.fencing_token and port.is_owned_by_hash(
                machine, record
            )
            if is_gone or says_nothing:
                port.change_ownership(
                    machine, delete_unchanged(record), "forget", rank=LOW_PRIORITY
                )
