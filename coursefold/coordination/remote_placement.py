"""Text for users on a job that was delegated to another cell."""

from coursefold.storage.cell_records import Delegation, DelegationStage


def describe_remote_placement(record: Delegation, wall_time: float) -> str:
    """Return where a job is and why, as the `why` text of its polls.

    Args:
        record: The record of the job's delegation to another cell.
        wall_time: The time of day in seconds since the epoch.
    """
    elapsed_s = max(0.0, wall_time - record.stage_started_at)
    wait_times = (
        f"expected wait here {record.expected_home_s:.0f} s, there {record.expected_guest_s:.0f} s"
    )
    if record.stage == DelegationStage.OFFERED:
        return f"offered to cell {record.guest_cell} {elapsed_s:.0f} s ago ({wait_times})"
    if record.stage == DelegationStage.GRANTED:
        return f"waiting in cell {record.guest_cell} for {elapsed_s:.0f} s ({wait_times})"
    if record.stage == DelegationStage.RUNNING:
        return f"running in cell {record.guest_cell} for {elapsed_s:.0f} s ({wait_times})"
    if record.stage == DelegationStage.WITHDRAWN:
        return f"being taken back from cell {record.guest_cell} for {elapsed_s:.0f} s: {record.why}"
    return f"it came back from cell {record.guest_cell} {elapsed_s:.0f} s ago: {record.why}"
