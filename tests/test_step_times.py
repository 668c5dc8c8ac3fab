"""What the log and /healthz tell of costly steps and of what was loaded."""

import logging

import pytest

from coursefold.step_times import SLOW_STEP_S, StepTimes
from coursefold.storage.records import count_by_kind


def test_the_slowest_step_is_shown_and_slow_ones_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a controller that answers nobody and whose log does not say why."""
    times = StepTimes()
    with caplog.at_level(logging.WARNING):
        for cpu_s in (0.001, SLOW_STEP_S, 0.002):
            times.record("tick", cpu_s)
        with times.measure("request"):
            pass
    assert times.health_status()["tick"] == SLOW_STEP_S * 1000.0
    assert set(times.health_status()) == {"tick", "request"}
    assert [record.getMessage().partition(" took")[0] for record in caplog.records] == [
        "slow step: tick"
    ]


def test_loaded_keys_are_counted_by_kind() -> None:
    keys = ["cf/j/job-1", "cf/j/job-2", "cf/level", "cf/p/g2/spot", "cf/c/north"]
    assert count_by_kind(keys) == "1 cf/c/, 2 cf/j/, 1 cf/level, 1 cf/p/"
    assert count_by_kind([]) == ""
