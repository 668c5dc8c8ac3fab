"""Operators' commands: move some machines for a while, and take that or a move back."""

import logging
from collections.abc import Callable
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from coursefold.shares.config import MODES, AtLeastOne, ModeName, Name
from coursefold.shares.moves import forget
from coursefold.shares.planner import NamedRequest, Planner, within
from coursefold.shares.port import CorePort
from coursefold.storage.edits import Change, EditResult, NotApplicableError
from coursefold.storage.share_records import MachineOwnership, ShareRequest

log = logging.getLogger(__name__)

RequestId = Annotated[str, Meta(pattern="^[a-z0-9-]{1,64}$")]
LONGEST_S = 366 * 24 * 3600.0
KEPT_S = 24 * 3600.0  # a request that is over is still known so long, for repetitions of it
MOST_REQUESTS = 500


class MoveCommand(Struct, frozen=True, forbid_unknown_fields=True, rename="pascal"):
    """So many machines of a type are to be another controller's until a time of day."""

    request_id: RequestId
    source: Name = msgspec.field(name="From")
    target: Name = msgspec.field(name="To")
    type: Name = msgspec.field(name="Type")
    count: AtLeastOne = msgspec.field(name="Count")
    until: float = msgspec.field(name="Until")
    zone: str = msgspec.field(name="Zone", default="")
    mode: ModeName = msgspec.field(name="Mode", default="finish")


class WithdrawCommand(Struct, frozen=True, forbid_unknown_fields=True, rename="pascal"):
    """A request, or the moves of one epoch, are to be taken back."""

    request_id: RequestId | None = None
    epoch: Annotated[int, Meta(ge=1)] | None = None


class RefusedError(Exception):
    """A command that can't be carried out, with the status that says so."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def shown(name: str, request: ShareRequest) -> dict[str, Any]:
    """A request as operators see it."""
    return {
        "RequestId": name,
        "From": request.source,
        "To": request.target,
        "Type": request.machine_type,
        "Zone": request.zone,
        "Count": request.count,
        "FromCount": request.source_count,
        "ToCount": request.target_count,
        "Until": request.expires_at,
        "Withdrawn": request.withdrawn,
    }


class Commands:
    """Answers commands on the leader; the other controllers name it."""

    def __init__(self, port: CorePort, planner: Planner, controllers: list[str]) -> None:
        self.port, self.planner = port, planner
        self.controllers = controllers

    def take(self, path: str, body: bytes, ticket: int) -> bool:
        """Carry out a command; False if there is none at this path."""
        handlers = {"/shares/move": self._move, "/shares/withdraw": self._withdraw}
        handler = handlers.get(path)
        if handler is None:
            return False
        try:
            if not self.port.leads():
                raise RefusedError(503, f"ask the leader: {self.port.leader() or 'unknown'}")
            handler(body, ticket)
        except msgspec.MsgspecError as wrong:
            self.port.answer(ticket, 400, {"error": str(wrong)})
        except RefusedError as wrong:
            retry_after = 1 if wrong.status == 503 else None
            self.port.answer(ticket, wrong.status, {"error": str(wrong)}, retry_after)
        return True

    # Move

    def _move(self, body: bytes, ticket: int) -> None:
        command = msgspec.msgpack.decode(body, type=MoveCommand)
        known = self.port.view.share_requests.get(command.request_id)
        if known is not None:
            self._repeat(command, known, ticket)
            return
        request = self._checked(command)

        def change(current: Struct | None) -> EditResult:
            if current is not None:
                raise NotApplicableError("known already")
            return request

        self._write(command.request_id, change, ticket)
        log.info(
            "request %s: %d of %s from %s to %s",
            command.request_id, command.count, command.type, command.source, command.target,
        )  # fmt: skip

    def _repeat(self, command: MoveCommand, known: ShareRequest, ticket: int) -> None:
        """The same request is answered as it was; another one can not have its name."""
        same = (
            (known.source, known.target, known.machine_type, known.zone, known.count)
            == (command.source, command.target, command.type, command.zone, command.count)
        )  # fmt: skip
        if not same:
            raise RefusedError(422, f"RequestId: {command.request_id} is another request")
        self.port.answer(ticket, 200, shown(command.request_id, known))

    def _checked(self, command: MoveCommand) -> ShareRequest:
        """The request with the counts that it asks for."""
        port = self.port
        for field, name in (("From", command.source), ("To", command.target)):
            if name not in self.controllers:
                raise RefusedError(422, f"{field}: {name} is no controller")
            if name not in port.members():
                raise RefusedError(422, f"{field}: {name} is down")
        if command.source == command.target:
            raise RefusedError(422, "To: the same controller as From")
        if not port.ctx.wall_time < command.until < port.ctx.wall_time + LONGEST_S:
            raise RefusedError(422, "Until: has to be later than now, and within a year")
        if port.ctx.find_machine_type(command.type) is None:
            raise RefusedError(422, f"Type: {command.type} is no machine type")
        if command.zone and command.zone not in port.ctx.settings.params.zones:
            raise RefusedError(422, f"Zone: {command.zone} is no zone")
        if len(port.view.share_requests) >= MOST_REQUESTS:
            raise RefusedError(503, "too many requests are kept")
        self._check_scope(command)
        owned = self._owned(command)
        if owned[command.source] < command.count:
            have = owned[command.source]
            raise RefusedError(422, f"Count: {command.source} owns {have} of them")
        return ShareRequest(
            command.source,
            command.target,
            command.type,
            command.zone,
            command.count,
            owned[command.source] - command.count,
            owned[command.target] + command.count,
            MODES[command.mode],
            port.ctx.wall_time,
            command.until,
        )

    def _check_scope(self, command: MoveCommand) -> None:
        """A type is shared out by zones or as a whole."""
        for build, zone in self.planner.in_force().rules:
            if build == command.type and bool(zone) != bool(command.zone):
                how = "by zones" if zone else "without zones"
                raise RefusedError(422, f"Zone: {build} is shared out {how}")

    def _owned(self, command: MoveCommand) -> dict[str, int]:
        """What the two controllers have, or are about to have by the shares in force."""
        scope = (command.type, command.zone)
        owned = self.planner.owned(within(scope, self.port.machines()))
        targets = self.planner.targets(scope)
        return {
            name: targets[name].machines if name in targets else owned[name]
            for name in (command.source, command.target)
        }

    def _write(self, name: str, change: Change, ticket: int) -> None:
        def answer(written: ShareRequest | None) -> dict[str, Any]:
            return shown(name, written) if written is not None else {}

        self.port.change_request(name, change, ticket, answer)

    # Withdraw

    def _withdraw(self, body: bytes, ticket: int) -> None:
        command = msgspec.msgpack.decode(body, type=WithdrawCommand)
        if (command.request_id is None) == (command.epoch is None):
            raise RefusedError(400, "either RequestId or Epoch")
        if command.epoch is not None:
            self._withdraw_epoch(command.epoch, ticket)
        elif command.request_id is not None:
            self._withdraw_request(command.request_id, ticket)

    def _withdraw_epoch(self, epoch: int, ticket: int) -> None:
        ended = self._end_moves(lambda record: record.epoch == epoch)
        self.port.answer(ticket, 200, {"Epoch": epoch, "Machines": ended})

    def _end_moves(self, chosen: Callable[[MachineOwnership], bool]) -> list[str]:
        """Withdraw the moves that are chosen; their machines."""
        found = {m: r for m, r in self.port.view.moves_in_progress.items() if chosen(r)}
        for machine, record in found.items():
            self.planner.end(machine, record, "withdrawn by an operator")
        return sorted(found)

    def _withdraw_request(self, name: str, ticket: int) -> None:
        known = self.port.view.share_requests.get(name)
        if known is None:
            raise RefusedError(404, f"RequestId: {name} is not known")
        if known.withdrawn:
            self.port.answer(ticket, 200, shown(name, known))
            return

        def change(current: Struct | None) -> EditResult:
            if not isinstance(current, ShareRequest):
                raise NotApplicableError("gone")
            return msgspec.structs.replace(current, withdrawn=True)

        self._write(name, change, ticket)
        why = NamedRequest(name, known).why
        self._end_moves(lambda record: record.why == why)
        log.info("request %s withdrawn", name)

    # Requests that are over

    def tidy(self) -> None:
        """Remove one request that has been over for long, when nothing else is to be written."""
        port = self.port
        if not port.leads() or not port.is_idle():
            return
        for name, request in port.view.share_requests.items():
            if port.ctx.wall_time > request.expires_at + KEPT_S:
                port.forget_request(name, forget(request))
                return
