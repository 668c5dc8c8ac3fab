"""Who owns a machine: by hash under the roster, unless a handover has set an owner.

A handover raises the fencing token of the one machine. Its old owner commits the handover
itself and stops acting for the machine before it sends that commit, so the old and the new
owner never act for the machine at the same time (`docs/architecture.md`, "Shares").
"""

from typing import NamedTuple

from coursefold.protocol.ids import Moment, WallTime
from coursefold.storage.records import ownership_key
from coursefold.storage.share_records import MachineOwnership, MoveStage
from coursefold.storage.view import View


class Handover(NamedTuple):
    """A handover as this process first saw it."""

    token: int
    revision: int
    seen_at: Moment


class Release(NamedTuple):
    """The record and the roster under which we stopped acting for a machine."""

    version: int
    roster_token: int


class OwnershipTable:
    """The records of machines that were moved, as owners and the leader need them."""

    def __init__(self, view: View) -> None:
        self.view = view
        self.handovers: dict[str, Handover] = {}
        self.releases: dict[str, Release] = {}
        self._incarnations: dict[str, int] = {}
        self._incarnations_at = -1

    def observe_changes(self, now: Moment) -> list[str]:
        """Note records that have changed; the machines of which the token has."""
        if not self.view.ownership_changed:
            return []
        changed, self.view.ownership_changed = self.view.ownership_changed, {}
        moved: list[str] = []
        for machine in changed:
            record = self.view.ownership.get(machine)
            known = self.handovers.get(machine)
            if record is None:
                self.handovers.pop(machine, None)
            elif record.token and (known is None or known.token != record.token):
                revision = self.view.stamp(ownership_key(machine))
                self.handovers[machine] = Handover(record.token, revision, now)
                moved.append(machine)
        return moved

    def assigned_owner(self, machine: str) -> str | None:
        """The owner that a handover has set; None where the hash decides.

        The assignment ends with the owner's process: what it knew of the machine is lost, and
        the others have taken its machines over by hash.
        """
        record = self.view.ownership.get(machine)
        if record is None or not record.owner:
            return None
        is_member = self._incarnation(record.owner) == record.incarnation
        return record.owner if is_member else None

    def _incarnation(self, member: str) -> int | None:
        if self._incarnations_at != self.view.token:
            roster = self.view.roster
            self._incarnations = {m.name: m.permit for m in roster.members} if roster else {}
            self._incarnations_at = self.view.token
        return self._incarnations.get(member)

    def token(self, machine: str) -> int:
        """The fencing token of a machine: the roster's, or a later handover's."""
        record = self.view.ownership.get(machine)
        return self.view.token if record is None else max(self.view.token, record.token)

    def seen_at(self, machine: str) -> Moment:
        """When this process first saw the machine's last handover; long ago if there was none."""
        handover = self.handovers.get(machine)
        return handover.seen_at if handover else Moment(float("-inf"))

    def is_behind(self, machine: str) -> bool:
        """Is our view older than the machine's handover?

        The handover may be known from a single key that was read again. What the old owner
        wrote before it has to be known as well before anybody acts on it.
        """
        handover = self.handovers.get(machine)
        return handover is not None and handover.revision > self.view.ledger

    def is_draining(self, machine: str, wall: WallTime) -> bool:
        """Is the machine to be handed over, so that nothing new is placed there?

        Not after the move's time limit, whether or not anybody has withdrawn it: else a
        machine could stay unused where no leader has a file of shares any more.
        """
        record = self.view.ownership.get(machine)
        return record is not None and record.stage == MoveStage.DRAINING and wall < record.until

    def move_in_progress(self, machine: str) -> MachineOwnership | None:
        """The machine's record while a move is under way."""
        record = self.view.ownership.get(machine)
        return record if record is not None and record.stage == MoveStage.DRAINING else None

    def release(self, machine: str) -> None:
        """From now on we give no commands to the machine, and prove nothing of it."""
        stamp = self.view.stamp(ownership_key(machine))
        self.releases[machine] = Release(stamp, self.view.token)

    def is_released(self, machine: str) -> bool:
        """Have we stopped acting for the machine, so that it may be another's by now?

        It holds until the record or the roster has changed: only then is it known whether
        the handover that we sent was carried out, for under neither can it be any more.
        """
        release = self.releases.get(machine)
        if release is None:
            return False
        if release == Release(self.view.stamp(ownership_key(machine)), self.view.token):
            return True
        del self.releases[machine]
        return False
