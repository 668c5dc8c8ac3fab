"""Text for users on a job that was offered to another cell."""

from coursefold.storage.cell_records import Delegation, DelegationStage


def describe_remote_placement(away: Delegation, wall_time: float) -> str:
    """Return where a job is and why, as the `why` text of its polls.

    Args:
        away: The record of the offer to another cell.
        wall_time: The time of day in seconds since the epoch.
    """
    elapsed_s = max(0.0, wall_time - away.stage_started_at)
    wait_times = (
        f"expected wait here {away.expected_home_s:.0f} s, there {away.expected_guest_s:.0f} s"
    )
    if away.stage == DelegationStage.OFFERED:
        return f"offered to cell {away.guest_cell} {elapsed_s:.0f} s ago ({wait_times})"
    if away.stage == DelegationStage.GRANTED:
        return f"waiting in cell {away.guest_cell} for {elapsed_s:.0f} s ({wait_times})"
    if away.stage == DelegationStage.RUNNING:
        return f"running in cell {away.guest_cell} for {elapsed_s:.0f} s ({wait_times})"
    if away.stage == DelegationStage.WITHDRAWN:
        return f"being taken back from cell {away.guest_cell} for {elapsed_s:.0f} s: {away.why}"
    return f"it came back from cell {away.guest_cell} {elapsed_s:.0f} s ago: {away.why}"
