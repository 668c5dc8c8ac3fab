"""The leader's part: from the shares in force to moves, and the moves that are to be ended."""

import logging
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from coursefold.protocol.ids import MonotonicTime
from coursefold.shares.config import ShareRule, SharesConfig
from coursefold.shares.moves import Move, forget, renew, request, withdraw
from coursefold.shares.port import CorePort, MachineState
from coursefold.shares.schedule import Schedule
from coursefold.shares.targets import Scope, Target, Transfer, resolve, transfers
from coursefold.storage.edits import LOW_PRIORITY
from coursefold.storage.limits import TokenBucket
from coursefold.storage.share_records import MachineOwnership, MoveStage, ShareRequest

log = logging.getLogger(__name__)

PLAN_EVERY_S = 1.0
TIDY_EVERY_S = 10.0
GONE_FOR_S = 300.0  # a record outlives its machine by so long: lists may lag
MINUTE_S = 60.0
LONGEST_HELD_S = 30.0  # a machine that waiting jobs could use is held back by its move


class ScopeStatus(NamedTuple):
    """How one scope stands: machines by controller, and what they are to be."""

    targets: dict[str, Target]
    owned: Counter[str]
    unshown: Counter[str]  # of these, machines that their owner does not show


class Plan(NamedTuple):
    """What is in force: rules by scope, and how moves that they cause are made."""

    rules: dict[Scope, list[ShareRule]]
    requests: dict[Scope, "NamedRequest"]  # the last one of each
    why: str


class NamedRequest(NamedTuple):
    """An operator's request by its id."""

    name: str
    request: ShareRequest

    @property
    def why(self) -> str:
        """The reason of the moves that it causes."""
        return f"request {self.name}"


def within(scope: Scope, states: Iterable[MachineState]) -> list[MachineState]:
    """The machines of a type and, if one is named, a zone."""
    build, zone = scope
    return [state for state in states if state.build == build and zone in ("", state.zone)]


class Planner:
    """Requests and withdraws moves while its controller leads."""

    def __init__(self, config: SharesConfig, port: CorePort) -> None:
        self.config, self.port = config, port
        self.limits = config.moves
        self.schedule = Schedule(config.file)
        self.budget = TokenBucket(self.limits.a_minute / MINUTE_S, float(self.limits.at_once))
        self.planned_at = self.tidied_at = MonotonicTime(-1e9)
        self.led_token = 0
        self.last_epoch = 0
        self.paused: dict[str, MonotonicTime] = {}
        self.status: dict[Scope, ScopeStatus] = {}
        self.outcomes: Counter[str] = Counter()

    def tick(self) -> None:
        """One round: end what is to be ended, then plan once a second."""
        port = self.port
        if not port.leads():
            self.led_token = 0
            return
        if self.led_token != port.view.fencing_token:
            self.led_token = port.view.fencing_token
            self.paused.clear()
        self._end_moves()
        if port.ctx.now - self.planned_at < PLAN_EVERY_S:
            return
        self.planned_at = port.ctx.now
        self._yield_to_waiting()
        self._plan()
        self._tidy()

    # Moves under way

    def _end_moves(self) -> None:
        """Withdraw moves that can not, or no longer should, come to their handover."""
        port = self.port
        for machine, record in list(port.view.moves_in_progress.items()):
            why = self._why_to_end(machine, record)
            if why:
                self.end(machine, record, why)
            elif record.roster_token != port.view.fencing_token:
                change = renew(record, port.view.fencing_token)
                port.change_ownership(machine, change, f"renew {port.view.fencing_token}")

    def _yield_to_waiting(self) -> None:
        """Give machines back to jobs that have waited for long and would fit there.

        A machine that is to move takes nothing new until its tasks have ended, which may be
        long; nobody is to wait for a minute and a half beside room that fits. But where jobs
        wait all the time, machines have to move as well: each may be held back for a while.
        """
        wall = self.port.ctx.wall_time
        moving = {
            machine: record
            for machine, record in self.port.view.moves_in_progress.items()
            if wall - record.stage_started_at >= LONGEST_HELD_S
        }
        if not moving:
            return
        for machine in sorted(self.port.needed_by_waiting(moving)):
            self.end(machine, moving[machine], "jobs have waited for its room")

    def _why_to_end(self, machine: str, record: MachineOwnership) -> str:
        port = self.port
        if record.target not in port.members() or port.owner_of(machine) != record.source:
            return "its controllers have changed"
        if port.ctx.wall_time >= record.expires_at:
            return "its time is over"
        if port.is_leaving(machine):
            return "the machine is being returned"
        return ""

    def end(self, machine: str, record: MachineOwnership, why: str) -> None:
        """Withdraw a move; the machine stays with its owner, and is left alone for a while."""
        port = self.port
        change = withdraw(record.epoch, port.ctx.wall_time, why)
        if port.change_ownership(machine, change, f"withdraw {record.epoch}"):
            log.info("move %d of %s withdrawn: %s", record.epoch, machine, why)
            self.outcomes["withdrawn"] += 1
        self.paused[machine] = MonotonicTime(port.ctx.now + self.limits.retry_s)

    # The plan

    def in_force(self) -> Plan:
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
        return Plan(rules, requests, f"window {window.name}" if window else "shares")

    def _plan(self) -> None:
        port = self.port
        plan = self.in_force()
        self.status = {}
        if not plan.rules:
            return
        states = port.machines()
        under_way = port.view.moves_in_progress
        wanted: list[tuple[Transfer, list[MachineState], Scope]] = []
        for scope, rules in plan.rules.items():
            members = within(scope, states)
            owned = dict.fromkeys(port.members(), 0) | self.owned(members)
            most = self._most(members, states)
            targets = resolve(rules, len(members), port.members(), most)
            unshown = Counter(s.owner for s in members if not s.is_shown)
            now_owned = Counter(s.owner for s in members)
            self.status[scope] = ScopeStatus(targets, now_owned, unshown)
            if port.is_settled():
                # A request is for so many machines, and not for about as many.
                tolerance = 0 if scope in plan.requests else self.limits.tolerance
                found = transfers(owned, targets, tolerance, most)
                wanted.extend((transfer, members, scope) for transfer in found)
        room = min(self.limits.at_once - len(under_way), int(self.budget.refill(port.ctx.now)))
        self._request_all(plan, wanted, room)

    def targets(self, scope: Scope) -> dict[str, Target]:
        """What the controllers are to own of a scope by what is in force now."""
        states = self.port.machines()
        members = within(scope, states)
        rules = self.in_force().rules.get(scope, [])
        return resolve(rules, len(members), self.port.members(), self._most(members, states))

    def _most(
        self, members: Iterable[MachineState], states: Iterable[MachineState]
    ) -> dict[str, int]:
        """Machines of a scope that each controller has connections for, beside its others."""
        owned, all_owned = self.owned(members), self.owned(states)
        most = self.port.most_machines()
        return {name: most - all_owned[name] + owned[name] for name in self.port.members()}

    def owned(self, states: Iterable[MachineState]) -> Counter[str]:
        """Machines by owner, those on their way counted where they go."""
        under_way = self.port.view.moves_in_progress
        return Counter(under_way[s.id].target if s.id in under_way else s.owner for s in states)

    def _request_all(
        self, plan: Plan, wanted: Sequence[tuple[Transfer, list[MachineState], Scope]], room: int
    ) -> None:
        """Request moves, as many as may be under way at once, all under one epoch.

        An epoch is a revision that nobody has used: a round that finds the records as they
        were in the last one waits for them to change.
        """
        epoch = self.port.view.revision
        if epoch <= self.last_epoch:
            return
        for transfer, members, scope in wanted:
            count = transfer.machines - self._turn_back(transfer, members)
            for state in self.choose(transfer, members, min(count, room)):
                room -= 1
                self.last_epoch = epoch
                self._request(state, transfer, plan, scope, epoch)

    def _turn_back(self, transfer: Transfer, members: Iterable[MachineState]) -> int:
        """Withdraw moves that go the other way, rather than move another machine back."""
        port = self.port
        ended = 0
        for state in members:
            record = port.view.moves_in_progress.get(state.id)
            if record is None or ended >= transfer.machines:
                continue
            if (record.source, record.target) == (transfer.target, transfer.source):
                self.end(state.id, record, "the shares have changed")
                ended += 1
        return ended

    def choose(
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
            and self.paused.get(state.id, port.ctx.now) <= port.ctx.now
        ]
        found.sort(key=lambda s: (s.zone not in near, s.tasks, s.id))
        return found[: max(0, count)]

    def _request(
        self, state: MachineState, transfer: Transfer, plan: Plan, scope: Scope, epoch: int
    ) -> None:
        port = self.port
        wall = port.ctx.wall_time
        mode, why = self.config.mode, plan.why
        asked = plan.requests.get(scope)
        if asked is not None and asked.request.source == transfer.source:
            mode, why = asked.request.mode, asked.why
        until = wall + self.limits.limit_s
        move = Move(state.id, transfer.source, transfer.target, epoch, mode, until, why)
        change = request(move, port.view.fencing_token, wall)
        if port.change_ownership(state.id, change, "request"):
            self.budget.spend(port.ctx.now, 1)
            self.outcomes["requested"] += 1
            log.info(
                "move %d: %s from %s to %s, by %s",
                epoch, state.id, transfer.source, transfer.target, why,
            )  # fmt: skip

    # Records that are no longer needed

    def _tidy(self) -> None:
        """Remove records that change nothing, when nothing else is to be written."""
        port = self.port
        if port.ctx.now - self.tidied_at < TIDY_EVERY_S or not port.is_idle():
            return
        self.tidied_at = port.ctx.now
        for machine, record in port.view.ownership.items():
            if record.stage != MoveStage.SETTLED:
                continue
            is_gone = (
                port.is_gone(machine) and port.ctx.wall_time - record.stage_started_at > GONE_FOR_S
            )
            # Its token must not fall: only a later roster's can stand for it.
            says_nothing = record.token < port.view.fencing_token and port.is_owned_by_hash(
                machine, record
            )
            if is_gone or says_nothing:
                port.change_ownership(machine, forget(record), "forget", rank=LOW_PRIORITY)
