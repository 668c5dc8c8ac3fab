"""The old owner's part in a move: drain the machine, stop acting for it, hand it over."""

import logging

from coursefold.protocol.ids import MonotonicTime
from coursefold.shares.moves import hand_over_machine
from coursefold.shares.port import CorePort
from coursefold.storage.records import ownership_key
from coursefold.storage.share_records import MachineOwnership, MoveMode

log = logging.getLogger(__name__)

DRAIN_INTERVAL_S = 1.0  # between looks for tasks that may be saved and stopped


class HandoverManager:
    """Runs on every controller, for the machines that it owns."""

    def __init__(self, port: CorePort) -> None:
        self.port = port
        self.waiting_reasons: dict[str, str] = {}  # machines of ours that are to move: why not yet
        self.last_drain_at = MonotonicTime(-1e9)

    def tick(self) -> None:
        """Hand over the machines that can be handed over now."""
        port = self.port
        self.waiting_reasons.clear()
        if not port.is_active():
            return
        for machine, record in list(port.view.moves_in_progress.items()):
            if self._may_hand_over(machine, record):
                why = self._find_obstacle(machine, record)
                if why:
                    self.waiting_reasons[machine] = why
                else:
                    self._hand_over(machine, record)
        self._drain()

    def _may_hand_over(self, machine: str, record: MachineOwnership) -> bool:
        """Were we, under this roster, told to hand the machine over, and is there still time?"""
        port = self.port
        return (
            record.source == port.ctx.own_name
            and record.roster_token == port.view.fencing_token
            and port.ctx.wall_time < record.expires_at
        )

    def _find_obstacle(self, machine: str, record: MachineOwnership) -> str:
        port = self.port
        if port.ownership.is_released(machine):
            return ""  # sent before, and its outcome is not known: the same again
        if not port.can_take_over(record.target):
            return f"{record.target} is not heard"
        tasks = port.list_tasks_to_end(machine)
        if tasks:
            job, entry = tasks[0]
            more = f" and {len(tasks) - 1} more" if len(tasks) > 1 else ""
            return f"{job}/{entry.index}{more} has to end"
        return port.find_handover_obstacle(machine)

    def _hand_over(self, machine: str, record: MachineOwnership) -> None:
        """First stop acting for the machine, then say so in the commit that ends our ownership."""
        port = self.port
        if not port.ownership.is_released(machine):
            port.ownership.release(machine)
            log.info("move %d: hand %s over to %s", record.epoch, machine, record.target)
        stamp = port.view.version_of(ownership_key(machine))
        incarnation = port.incarnation_of(record.target)
        change = hand_over_machine(record, stamp, incarnation, port.ctx.wall_time)
        port.change_ownership(machine, change, f"hand over {stamp}")

    def _drain(self) -> None:
        """Where the move asks for it, save and stop tasks that find room elsewhere at once."""
        port = self.port
        draining = [
            machine
            for machine in self.waiting_reasons
            if port.view.moves_in_progress[machine].mode == MoveMode.DRAIN
        ]
        if not draining or port.ctx.now - self.last_drain_at < DRAIN_INTERVAL_S:
            return
        self.last_drain_at = port.ctx.now
        rooms = port.available_machines()
        for machine in draining:
            for job_id, entry in port.list_tasks_to_end(machine):
                job = port.view.jobs[job_id]
                if not port.can_stop_without_loss(job, entry) or not port.reserve_capacity(
                    job.spec, rooms
                ):
                    continue
                if port.save_and_stop(job_id, entry):
                    log.info("move of %s: %s/%d saves and stops", machine, job_id, entry.index)
