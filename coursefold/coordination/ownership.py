"""Ownership of machines that were handed over to another controller.

The owner of a machine is found by hash under the roster, unless a handover has assigned another
one. A handover raises the fencing token of that one machine. The old owner commits the handover
itself and stops acting for the machine before it sends that commit, so the old and the new
owner never act for the machine at the same time (`docs/architecture.md`, "Shares").
"""

from typing import NamedTuple

from coursefold.protocol.ids import MonotonicTime, WallTime
from coursefold.storage.records import ownership_key
from coursefold.storage.share_records import MachineOwnership, MoveStage
from coursefold.storage.view import View


class Handover(NamedTuple):
    """A handover as this process first saw it.

    Attributes:
        token: The machine's fencing token after the handover.
        revision: The revision of the state service at which the handover was written.
        seen_at: When this process first saw it, on the steady clock.
    """

    token: int
    revision: int
    seen_at: MonotonicTime


class Release(NamedTuple):
    """The state under which this controller stopped acting for a machine.

    Attributes:
        version: The version of the machine's ownership key.
        roster_token: The fencing token of the roster.
    """

    version: int
    roster_token: int


class OwnershipTable:
    """The ownership records of machines that were handed over or are about to be.

    Attributes:
        handovers: The last handover of each machine, as first seen.
        releases: Machines for which this controller has stopped acting.
    """

    def __init__(self, view: View) -> None:
        self.view = view
        self.handovers: dict[str, Handover] = {}
        self.releases: dict[str, Release] = {}
        self._incarnations: dict[str, int] = {}
        self._incarnations_token = -1

    def observe_changes(self, now: MonotonicTime) -> list[str]:
        """Note changed records; return the machines whose fencing token has changed."""
        if not self.view.ownership_changes:
            return []
        changed, self.view.ownership_changes = self.view.ownership_changes, {}
        with_new_token: list[str] = []
        for machine in changed:
            record = self.view.ownership.get(machine)
            known = self.handovers.get(machine)
            if record is None:
                self.handovers.pop(machine, None)
            elif record.token and (known is None or known.token != record.token):
                revision = self.view.version_of(ownership_key(machine))
                self.handovers[machine] = Handover(record.token, revision, now)
                with_new_token.append(machine)
        return with_new_token

    def assigned_owner(self, machine: str) -> str | None:
        """Return the owner that a handover has set; None if the hash decides.

        The assignment ends with the owner's process: what that process knew of the machine is
        lost, and the other controllers have taken over its machines by hash.
        """
        record = self.view.ownership.get(machine)
        if record is None or not record.owner:
            return None
        is_member = self._incarnation(record.owner) == record.incarnation
        return record.owner if is_member else None

    def _incarnation(self, member: str) -> int | None:
        if self._incarnations_token != self.view.fencing_token:
            roster = self.view.roster
            self._incarnations = {m.name: m.lease_id for m in roster.members} if roster else {}
            self._incarnations_token = self.view.fencing_token
        return self._incarnations.get(member)

    def token(self, machine: str) -> int:
        """Return the fencing token of a machine: the roster's, or that of a later handover."""
        record = self.view.ownership.get(machine)
        return (
            self.view.fencing_token
            if record is None
            else max(self.view.fencing_token, record.token)
        )

    def seen_at(self, machine: str) -> MonotonicTime:
        """Return when this process first saw the machine's last handover; -inf if none."""
        handover = self.handovers.get(machine)
        return handover.seen_at if handover else MonotonicTime(float("-inf"))

    def is_behind(self, machine: str) -> bool:
        """Return whether the view is older than the machine's handover.

        The handover may be known from a single key that was read again. What the old owner
        wrote before the handover must be known too before any controller acts on it.
        """
        handover = self.handovers.get(machine)
        return handover is not None and handover.revision > self.view.revision

    def is_draining(self, machine: str, wall_time: WallTime) -> bool:
        """Return whether the machine is to be handed over and takes no new tasks.

        False after the move's time limit, even if the move was not withdrawn: otherwise the
        machine would stay unused for good if no leader has a shares file any more.
        """
        record = self.view.ownership.get(machine)
        return (
            record is not None
            and record.stage == MoveStage.DRAINING
            and wall_time < record.expires_at
        )

    def move_in_progress(self, machine: str) -> MachineOwnership | None:
        """Return the machine's record while its move is in progress, otherwise None."""
        record = self.view.ownership.get(machine)
        return record if record is not None and record.stage == MoveStage.DRAINING else None

    def release(self, machine: str) -> None:
        """Stop acting for the machine.

        From now on this controller sends it no commands, and concludes nothing from its reports
        or its silence.
        """
        version = self.view.version_of(ownership_key(machine))
        self.releases[machine] = Release(version, self.view.fencing_token)

    def is_released(self, machine: str) -> bool:
        """Return whether this controller has stopped acting for the machine.

        The machine may belong to another controller by now. The release lasts until the record
        or the roster changes: only then is the outcome of the handover commit known, since that
        commit applies under neither of the changed ones.
        """
        release = self.releases.get(machine)
        if release is None:
            return False
        if release == Release(
            self.view.version_of(ownership_key(machine)), self.view.fencing_token
        ):
            return True
        del self.releases[machine]
        return False
