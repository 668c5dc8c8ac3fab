"""Text for users on a job that was offered to another cell."""

from coursefold.storage.cell_records import Away, AwayStage


def describe_remote_placement(away: Away, wall_time: float) -> str:
    """Return where a job is and why, as the `why` text of its polls.

    Args:
        away: The record of the offer to another cell.
        wall_time: The time of day in seconds since the epoch.
    """
    elapsed_s = max(0.0, wall_time - away.at)
    wait_times = f"expected wait here {away.expected_here:.0f} s, there {away.expected_there:.0f} s"
    if away.stage == AwayStage.OFFERED:
        return f"offered to cell {away.cell} {elapsed_s:.0f} s ago ({wait_times})"
    if away.stage == AwayStage.GRANTED:
        return f"waiting in cell {away.cell} for {elapsed_s:.0f} s ({wait_times})"
    if away.stage == AwayStage.RUNNING:
        return f"running in cell {away.cell} for {elapsed_s:.0f} s ({wait_times})"
    if away.stage == AwayStage.WITHDRAWN:
        return f"being taken back from cell {away.cell} for {elapsed_s:.0f} s: {away.why}"
    return f"it came back from cell {away.cell} {elapsed_s:.0f} s ago: {away.why}"
