"""Operators' commands: request a temporary move of machines, and withdraw a request or moves."""

import logging
from collections.abc import Callable
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from coursefold.shares.config import MOVE_MODES, ModeName, PositiveCount, ShortName
from coursefold.shares.moves import delete_unchanged
from coursefold.shares.planner import MovePlanner, NamedRequest, select_machines
from coursefold.shares.port import CorePort
from coursefold.storage.edits import Change, EditResult, NotApplicableError
from coursefold.storage.share_records import MachineOwnership, ShareRequest

log = logging.getLogger(__name__)

RequestId = Annotated[str, Meta(pattern="^[a-z0-9-]{1,64}$")]
MAX_REQUEST_DURATION_S = 366 * 24 * 3600.0
REQUEST_RETENTION_S = 24 * 3600.0  # after expiry, to answer repetitions of a request
MAX_REQUESTS = 500


class MoveCommand(Struct, frozen=True, forbid_unknown_fields=True, rename="pascal"):
    """Body of `POST /shares/move`: move machines of a type to another controller for a while.

    Attributes:
        request_id: Chosen by the client; a repetition under the same id is answered as before.
        expires_at: Wall-clock time in Unix seconds until which the request is in force.
        zone: Zone of the machines; empty for all zones together.
        mode: `drain` saves and stops tasks that fit elsewhere; `finish` waits until they end.
    """

    request_id: RequestId
    source: ShortName = msgspec.field(name="From")
    target: ShortName = msgspec.field(name="To")
    type: ShortName = msgspec.field(name="Type")
    count: PositiveCount = msgspec.field(name="Count")
    expires_at: float = msgspec.field(name="Until")
    zone: str = msgspec.field(name="Zone", default="")
    mode: ModeName = msgspec.field(name="Mode", default="finish")


class WithdrawCommand(Struct, frozen=True, forbid_unknown_fields=True, rename="pascal"):
    """Body of `POST /shares/withdraw`: exactly one of a request and an epoch of moves."""

    request_id: RequestId | None = None
    epoch: Annotated[int, Meta(ge=1)] | None = None


class CommandRefusedError(Exception):
    """Raised for a command that cannot be carried out; `status` is the HTTP status to answer."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def describe_request(name: str, request: ShareRequest) -> dict[str, Any]:
    """Return a request as the body of an answer to operators."""
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


class OperatorCommands:
    """Carries out operators' commands on the leader.

    Other controllers answer 503 and name the leader. `controllers` are all that the settings name.
    """

    def __init__(self, port: CorePort, planner: MovePlanner, controllers: list[str]) -> None:
        self.port, self.planner = port, planner
        self.controllers = controllers

    def handle(self, path: str, body: bytes, ticket: int) -> bool:
        """Carry out the command at an HTTP path; return False if there is none at this path."""
        handlers = {"/shares/move": self._move, "/shares/withdraw": self._withdraw}
        handler = handlers.get(path)
        if handler is None:
            return False
        try:
            if not self.port.is_leading():
                raise CommandRefusedError(
                    503, f"ask the leader: {self.port.leader_name() or 'unknown'}"
                )
            handler(body, ticket)
        except msgspec.MsgspecError as error:
            self.port.respond(ticket, 400, {"error": str(error)})
        except CommandRefusedError as error:
            retry_after = 1 if error.status == 503 else None
            self.port.respond(ticket, error.status, {"error": str(error)}, retry_after)
        return True

    # Move

    def _move(self, body: bytes, ticket: int) -> None:
        command = msgspec.msgpack.decode(body, type=MoveCommand)
        known = self.port.view.share_requests.get(command.request_id)
        if known is not None:
            self._answer_repetition(command, known, ticket)
            return
        request = self._build_request(command)

        def change(current: Struct | None) -> EditResult:
            if current is not None:
                raise NotApplicableError("known already")
            return request

        self._write_request(command.request_id, change, ticket)
        log.info(
            "request %s: move %d machines of type %s from %s to %s",
            command.request_id, command.count, command.type, command.source, command.target,
        )  # fmt: skip

    def _answer_repetition(self, command: MoveCommand, known: ShareRequest, ticket: int) -> None:
        """Answer a repeated request as before; refuse another request under the same id."""
        is_same = (
            (known.source, known.target, known.machine_type, known.zone, known.count)
            == (command.source, command.target, command.type, command.zone, command.count)
        )  # fmt: skip
        if not is_same:
            raise CommandRefusedError(422, f"RequestId: {command.request_id} is another request")
        self.port.respond(ticket, 200, describe_request(command.request_id, known))

    def _build_request(self, command: MoveCommand) -> ShareRequest:
        """Check a command and return its request, with the machine counts that result from it.

        Raises:
            CommandRefusedError: The command names something unknown or asks for too much.
        """
        port = self.port
        for field, name in (("From", command.source), ("To", command.target)):
            if name not in self.controllers:
                raise CommandRefusedError(422, f"{field}: {name} is no controller")
            if name not in port.member_names():
                raise CommandRefusedError(422, f"{field}: {name} is down")
        if command.source == command.target:
            raise CommandRefusedError(422, "To: the same controller as From")
        if (
            not port.ctx.wall_time
            < command.expires_at
            < port.ctx.wall_time + MAX_REQUEST_DURATION_S
        ):
            raise CommandRefusedError(422, "Until: has to be later than now, and within a year")
        if port.ctx.find_machine_type(command.type) is None:
            raise CommandRefusedError(422, f"Type: {command.type} is no machine type")
        if command.zone and command.zone not in port.ctx.settings.params.zones:
            raise CommandRefusedError(422, f"Zone: {command.zone} is no zone")
        if len(port.view.share_requests) >= MAX_REQUESTS:
            raise CommandRefusedError(503, "too many requests are kept")
        self._check_scope(command)
        owned = self._count_owned(command)
        if owned[command.source] < command.count:
            available = owned[command.source]
            raise CommandRefusedError(422, f"Count: {command.source} owns {available} of them")
        return ShareRequest(
            command.source,
            command.target,
            command.type,
            command.zone,
            command.count,
            owned[command.source] - command.count,
            owned[command.target] + command.count,
            MOVE_MODES[command.mode],
            port.ctx.wall_time,
            command.expires_at,
        )

    def _check_scope(self, command: MoveCommand) -> None:
        """Refuse a request by zone for a type shared as a whole, and the other way round."""
        for machine_type, zone in self.planner.find_effective_shares().rules:
            if machine_type == command.type and bool(zone) != bool(command.zone):
                how = "by zones" if zone else "without zones"
                raise CommandRefusedError(422, f"Zone: {machine_type} is shared out {how}")

    def _count_owned(self, command: MoveCommand) -> dict[str, int]:
        """Return the machine counts of the two controllers: their targets, else what they own.

        A request is relative to the targets of the shares in force, as moves towards these may
        still be in progress.
        """
        scope = (command.type, command.zone)
        owned = self.planner.count_owned(select_machines(scope, self.port.list_machines()))
        targets = self.planner.find_targets(scope)
        return {
            name: targets[name].machine_count if name in targets else owned[name]
            for name in (command.source, command.target)
        }

    def _write_request(self, name: str, change: Change, ticket: int) -> None:
        def answer(written: ShareRequest | None) -> dict[str, Any]:
            return describe_request(name, written) if written is not None else {}

        self.port.write_request(name, change, ticket, answer)

    # Withdraw

    def _withdraw(self, body: bytes, ticket: int) -> None:
        command = msgspec.msgpack.decode(body, type=WithdrawCommand)
        if (command.request_id is None) == (command.epoch is None):
            raise CommandRefusedError(400, "either RequestId or Epoch")
        if command.epoch is not None:
            self._withdraw_epoch(command.epoch, ticket)
        elif command.request_id is not None:
            self._withdraw_request(command.request_id, ticket)

    def _withdraw_epoch(self, epoch: int, ticket: int) -> None:
        machines = self._withdraw_moves(lambda record: record.epoch == epoch)
        self.port.respond(ticket, 200, {"Epoch": epoch, "Machines": machines})

    def _withdraw_moves(self, is_selected: Callable[[MachineOwnership], bool]) -> list[str]:
        """Withdraw the selected moves; return the names of their machines, sorted."""
        found = {
            name: record
            for name, record in self.port.view.moves_in_progress.items()
            if is_selected(record)
        }
        for machine, record in found.items():
            self.planner.withdraw(machine, record, "withdrawn by an operator")
        return sorted(found)

    def _withdraw_request(self, name: str, ticket: int) -> None:
        known = self.port.view.share_requests.get(name)
        if known is None:
            raise CommandRefusedError(404, f"RequestId: {name} is not known")
        if known.withdrawn:
            self.port.respond(ticket, 200, describe_request(name, known))
            return

        def change(current: Struct | None) -> EditResult:
            if not isinstance(current, ShareRequest):
                raise NotApplicableError("gone")
            return msgspec.structs.replace(current, withdrawn=True)

        self._write_request(name, change, ticket)
        reason = NamedRequest(name, known).move_reason
        self._withdraw_moves(lambda record: record.why == reason)
        log.info("request %s withdrawn", name)

    # Expired requests

    def delete_expired_request(self) -> None:
        """Delete one request past its retention time, if the commit queue has spare rate."""
        port = self.port
        if not port.is_leading() or not port.has_spare_write_rate():
            return
        for name, request in port.view.share_requests.items():
            if port.ctx.wall_time > request.expires_at + REQUEST_RETENTION_S:
                port.delete_request(name, delete_unchanged(request))
                return
