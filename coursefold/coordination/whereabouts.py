"""A job's handover to another cell, in its user's words."""

from coursefold.storage.cell_records import Delegation, DelegationStage


def away_reason(away: Delegation, wall: float) -> str:
    """Where the job is and why, for polls; empty for one that was never elsewhere."""
    since = max(0.0, wall - away.stage_started_at)
    waits = f"expected wait here {away.expected_home_s:.0f} s, there {away.expected_guest_s:.0f} s"
    if away.stage == DelegationStage.OFFERED:
        return f"offered to cell {away.guest_cell} {since:.0f} s ago ({waits})"
    if away.stage == DelegationStage.GRANTED:
        return f"waiting in cell {away.guest_cell} for {since:.0f} s ({waits})"
    if away.stage == DelegationStage.RUNNING:
        return f"running in cell {away.guest_cell} for {since:.0f} s ({waits})"
    if away.stage == DelegationStage.WITHDRAWN:
        return f"being taken back from cell {away.guest_cell} for {since:.0f} s: {away.why}"
    return f"it came back from cell {away.guest_cell} {since:.0f} s ago: {away.why}"
