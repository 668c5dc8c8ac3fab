"""Reports of start delays and costs from a log that is short enough to check by hand."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from coursefold.accounts import (
    CostByUse,
    LogReader,
    format_report,
    list_start_delays,
    sum_costs_by_pool,
    sum_useful_cpu_seconds,
)
from coursefold.cli import main

# One machine of 10 processors at 3600 an hour, which is 1 a second. It boots for 20 s. Two tasks
# of 5 processors start for 10 s; one runs for 20 s, the other is halted after 10 s. Then the
# machine is empty for 30 s.
LOG = """\
    0.5 n0 DEBUG fleet: type big: 10 cpus, 0 accelerators, 64 GB, 3600 an hour, 1800 when spot
    1.0 n1 INFO core: accept job-1: 2 tasks of batch for red (5 cpus, 0 accelerators, 4 GB each)
    2.0 n0 INFO fleet: hire r-1-1: 1 of 1 in big/ordinary a: i-1
   22.0 n1 INFO owner: machine i-1 (big, a, ordinary) reports
   24.0 n0 DEBUG leader: deal job-1: 0:n1,1:n1: done
   25.0 n1 INFO owner: place job-1 on 0:i-1,1:i-1
   35.0 n1 DEBUG owner: task job-1/0#1 on i-1 runs
   35.0 n1 DEBUG owner: task job-1/1#1 on i-1 runs
   45.0 n1 INFO owner: task job-1/1#1 on i-1: halted
   55.0 n1 INFO owner: task job-1/0#1 on i-1: done
   85.0 n0 INFO fleet: machine i-1 returned (spare)
a line without a time
"""


@pytest.fixture
def log() -> LogReader:
    """Returns a reader that has read the whole log."""
    reader = LogReader()
    reader.read_lines(LOG.splitlines())
    return reader


def test_cost_of_each_machine_second_is_counted_once(log: LogReader) -> None:
    """The shares of the cost must add up to the rented time at its price."""
    (cost,) = sum_costs_by_pool(log).values()
    # The machine is empty for 3 s before the tasks and for 30 s after them.
    assert cost == pytest.approx(
        CostByUse(booting=20, useful=10, repeated=5, starting=10, beside=5, empty=33)
    )
    assert cost.total == pytest.approx(83.0)


def test_start_delay_is_split_into_waiting_assignment_and_start(log: LogReader) -> None:
    """The three stages must add up to the time from acceptance to first start."""
    first_delay, second_delay = list_start_delays(log)
    assert first_delay == second_delay
    assert (first_delay.waiting, first_delay.dealt, first_delay.starting) == pytest.approx(
        (23.0, 1.0, 10.0)
    )


def test_only_successful_attempts_count_as_useful(log: LogReader) -> None:
    """Processor time of an attempt that did not succeed is spent again, so it must not count."""
    assert sum_useful_cpu_seconds(log) == {("big/ordinary", "batch"): pytest.approx(100.0)}


def test_silent_machine_ends_at_its_last_report() -> None:
    """The machine must not cost anything for the time in which its silence was not noticed."""
    reader = LogReader()
    lines = LOG.splitlines()
    reader.read_lines([*lines[:-2], "   70.0 n1 INFO owner: machine i-1: silent for 10.5 s"])
    (cost,) = sum_costs_by_pool(reader).values()
    assert cost.total == pytest.approx(57.5)


def test_recalled_machine_ends_at_the_announced_time() -> None:
    """The machine is paid for until the cloud takes it away, which the notice says."""
    reader = LogReader()
    lines = LOG.splitlines()
    reader.read_lines([*lines[:-2], "   60.0 n1 INFO owner: machine i-1 will be taken in 9.0 s"])
    (cost,) = sum_costs_by_pool(reader).values()
    assert cost.total == pytest.approx(67.0)


def test_accounts_command_merges_the_logs_of_all_controllers(tmp_path: Path) -> None:
    """The lines of one task are in several logs; unmerged, its times would be in wrong order."""
    lines = LOG.splitlines(keepends=True)
    paths = [tmp_path / "n0.log", tmp_path / "n1.log"]
    for path, node in zip(paths, ("n0", "n1"), strict=True):
        path.write_text("".join(line for line in lines if f" {node} " in line))
    reader = LogReader()
    reader.read_lines(lines)
    result = CliRunner().invoke(main, ["accounts", *map(str, paths)])
    assert result.exit_code == 0
    assert result.output.splitlines() == format_report(reader)
    assert "batch: 2 tasks; waiting 23.0" in result.output


def test_log_without_known_messages_gives_empty_reports() -> None:
    """Unknown lines and machines must not end the report with an exception."""
    reader = LogReader()
    reader.read_lines(["", "garbage", "   1.0 n0 INFO owner: place job-1 on 0:i-9"])
    assert sum_costs_by_pool(reader) == {}
    assert list_start_delays(reader) == []
