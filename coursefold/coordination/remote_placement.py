"""A job's handover to another cell, in its user's words."""

from coursefold.storage.cell_records import Away, AwayStage


def describe_remote_placement(away: Away, wall: float) -> str:
    """Where the job is and why, for polls; empty for one that was never elsewhere."""
    since = max(0.0, wall - away.at)
    waits = f"expected wait here {away.expected_here:.0f} s, there {away.expected_there:.0f} s"
    if away.stage == AwayStage.OFFERED:
        return f"offered to cell {away.cell} {since:.0f} s ago ({waits})"
    if away.stage == AwayStage.GRANTED:
        return f"waiting in cell {away.cell} for {since:.0f} s ({waits})"
    if away.stage == AwayStage.RUNNING:
        return f"running in cell {away.cell} for {since:.0f} s ({waits})"
    if away.stage == AwayStage.WITHDRAWN:
        return f"being taken back from cell {away.cell} for {since:.0f} s: {away.why}"
    return f"it came back from cell {away.cell} {since:.0f} s ago: {away.why}"
