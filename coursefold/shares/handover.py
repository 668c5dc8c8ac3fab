"""The old owner's part in a move: drain the machine, stop commanding it, hand it over."""

import logging

from coursefold.protocol.ids import MonotonicTime
from coursefold.shares.moves import hand_over_machine
from coursefold.shares.port import CorePort
from coursefold.storage.records import ownership_key
from coursefold.storage.share_records import MachineOwnership, MoveMode

log = logging.getLogger(__name__)

DRAIN_INTERVAL_S = 1.0  # between searches for tasks to save and stop


class HandoverManager:
    """Hands machines over; runs on every controller, for the machines that it owns.

    Attributes:
        waiting_reasons: Why a machine to be moved cannot be handed over yet, by machine name.
    """

    def __init__(self, port: CorePort) -> None:
        self.port = port
        self.waiting_reasons: dict[str, str] = {}
        self.last_drain_at = MonotonicTime(-1e9)

    def tick(self) -> None:
        """Hand over the machines that are ready and drain those whose moves ask for it."""
        port = self.port
        self.waiting_reasons.clear()
        if not port.is_active():
            return
        for machine, record in list(port.view.moves_in_progress.items()):
            if self._may_hand_over(machine, record):
                obstacle = self._find_obstacle(machine, record)
                if obstacle:
                    self.waiting_reasons[machine] = obstacle
                else:
                    self._hand_over(machine, record)
        self._drain()

    def _may_hand_over(self, machine: str, record: MachineOwnership) -> bool:
        """Return whether this controller is the source of an unexpired move of this roster."""
        port = self.port
        return (
            record.source == port.ctx.own_name
            and record.roster_token == port.view.fencing_token
            and port.ctx.wall_time < record.expires_at
        )

    def _find_obstacle(self, machine: str, record: MachineOwnership) -> str:
        """Return why the machine cannot be handed over now; empty if it can."""
        port = self.port
        if port.ownership.is_released(machine):
            return ""  # the commit was sent before and its outcome is unknown: repeat it
        if not port.can_take_over(record.target):
            return f"{record.target} is not heard"
        tasks = port.list_tasks_to_end(machine)
        if tasks:
            job, entry = tasks[0]
            more = f" and {len(tasks) - 1} more" if len(tasks) > 1 else ""
            return f"{job}/{entry.index}{more} has to end"
        return port.find_handover_obstacle(machine)

    def _hand_over(self, machine: str, record: MachineOwnership) -> None:
        """Stop commanding the machine, then commit the record that makes the target its owner.

        The release comes first: the commit may take effect before its outcome is known here, and
        no command may go out beside those of the new owner.
        """
        port = self.port
        if not port.ownership.is_released(machine):
            port.ownership.release(machine)
            log.info("move %d: handing machine %s over to %s", record.epoch, machine, record.target)
        version = port.view.version_of(ownership_key(machine))
        incarnation = port.incarnation_of(record.target)
        change = hand_over_machine(record, version, incarnation, port.ctx.wall_time)
        port.change_ownership(machine, change, f"hand over {version}")

    def _drain(self) -> None:
        """For moves in drain mode, save and stop the tasks that fit on another machine now."""
        port = self.port
        draining = [
            machine
            for machine in self.waiting_reasons
            if port.view.moves_in_progress[machine].mode == MoveMode.DRAIN
        ]
        if not draining or port.ctx.now - self.last_drain_at < DRAIN_INTERVAL_S:
            return
        self.last_drain_at = port.ctx.now
        machines = port.available_machines()
        for machine in draining:
            for job_id, entry in port.list_tasks_to_end(machine):
                job = port.view.jobs[job_id]
                if not port.can_stop_without_loss(job, entry) or not port.reserve_capacity(
                    job.spec, machines
                ):
                    continue
                if port.save_and_stop(job_id, entry):
                    log.info(
                        "move of machine %s: stopping task %s/%d once its progress is saved",
                        machine,
                        job_id,
                        entry.index,
                    )
