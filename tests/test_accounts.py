"""Accounts of time and money from a log that a reader can follow by hand."""

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

# One machine of 10 processors at 3600 an hour, which is 1 a second: booting for 20 s, a task of
# 5 processors that starts for 10 s and runs for 20 s, one that is lost after 10 s, 30 s of nothing.
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
    reader = LogReader()
    reader.read_lines(LOG.splitlines())
    return reader


def test_each_second_of_a_machine_is_counted_once(log: LogReader) -> None:
    (shares,) = sum_costs_by_pool(log).values()
    # Empty: 3 s before the tasks, 30 s after them.
    assert shares == pytest.approx(
        CostByUse(booting=20, useful=10, repeated=5, starting=10, beside=5, empty=33)
    )
    assert shares.total == pytest.approx(83.0)


def test_a_task_waits_is_dealt_and_starts(log: LogReader) -> None:
    first, second = list_start_delays(log)
    assert first == second
    assert (first.waiting, first.dealt, first.starting) == pytest.approx((23.0, 1.0, 10.0))


def test_useful_work_is_what_ended_well(log: LogReader) -> None:
    assert sum_useful_cpu_seconds(log) == {("big/ordinary", "batch"): pytest.approx(100.0)}


def test_a_silent_machine_ends_when_it_was_last_heard() -> None:
    reader = LogReader()
    lines = LOG.splitlines()
    reader.read_lines([*lines[:-2], "   70.0 n1 INFO owner: machine i-1: silent for 10.5 s"])
    (shares,) = sum_costs_by_pool(reader).values()
    assert shares.total == pytest.approx(57.5)


def test_a_machine_that_the_cloud_takes_ends_when_it_says() -> None:
    reader = LogReader()
    lines = LOG.splitlines()
    reader.read_lines([*lines[:-2], "   60.0 n1 INFO owner: machine i-1 will be taken in 9.0 s"])
    (shares,) = sum_costs_by_pool(reader).values()
    assert shares.total == pytest.approx(67.0)


def test_the_command_reads_the_logs_of_all_controllers_in_order(tmp_path: Path) -> None:
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


def test_a_log_that_says_nothing_is_no_fault() -> None:
    reader = LogReader()
    reader.read_lines(["", "garbage", "   1.0 n0 INFO owner: place job-1 on 0:i-9"])
    assert sum_costs_by_pool(reader) == {}
    assert list_start_delays(reader) == []
