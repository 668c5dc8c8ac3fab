"""Settings files: invalid ones are reported in one line, with exit code 2."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from coursefold.cli import main
from coursefold.settings import SettingsError, load

VALID_SETTINGS = """
member = "n0"
zone = "a"
listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
future = "ignored"
[[siblings]]
member = "n1"
zone = "a"
peer_addr = "127.0.0.1:8082"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
zones = ["a"]
[[params.teams]]
name = "red"
[params.workers]
report_s = 2
lease_s = 10.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 40.0
[params.state]
rps = 100.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 16
[params.cloud]
rps = 2.0
list_lag_s = 6.0
[params.resources]
cores = 0.5
memory_mb = 146.0
fd_limit = 900
"""


def test_valid_settings_are_loaded(tmp_path: Path) -> None:
    """Unknown fields must not prevent a start: a newer settings file may contain them."""
    path = tmp_path / "good.toml"
    path.write_text(VALID_SETTINGS)
    assert load(path).params.workers.lease_s == 10.0


def test_next_limits_apply_only_where_they_are_smaller(tmp_path: Path) -> None:
    """Until the announced change, records must fit both the present and the next limits."""
    path = tmp_path / "next.toml"
    state_lines = "txn_ops = 16\nnext = { txn_ops = 5, value_kb = 64.0, later = 1 }"
    path.write_text(VALID_SETTINGS.replace("txn_ops = 16", state_lines))
    next_limits = load(path).params.state.apply_next()
    assert (next_limits.txn_ops, next_limits.value_kb, next_limits.write_rps) == (5, 8.0, 20.0)


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("lease_s = 10.0", "lease_s = -1.0", "params.workers.lease_s"),
        ("lease_s = 10.0", "lease_s = nan", "params.workers.lease_s"),
        ("txn_ops = 16", "txn_ops = 16\nnext.txn_ops = 1", "params.state.next.txn_ops"),
        ("txn_ops = 16", "txn_ops = 16\nnext.value_kb = 0.0", "params.state.next.value_kb"),
        ("txn_ops = 16", "txn_ops = 16\nnext.value_kb = 0.1", "params.state.next.value_kb"),
        ("txn_ops = 16", "txn_ops = 16\nnext.write_rps = -1.0", "params.state.next.write_rps"),
        ("txn_ops = 16", 'txn_ops = 16\nnext = "soon"', "params.state.next"),
        ("lease_s = 10.0", "lease_s = 1.0", "params.workers.lease_s"),
        ("cancel_s = 40.0", "cancel_s = 15.0", "params.workers.cancel_s"),
        ("value_kb = 8.0", "value_kb = 0.2", "params.state.value_kb"),
        ('zone = "a"\nlisten', 'zone = "q"\nlisten', "zone"),
        ('state = "127.0.0.1:2"', "", "services"),
        ('"127.0.0.1:8080"', '"nowhere"', "listen"),
        ("txn_ops = 16", 'txn_ops = "many"', "params.state.txn_ops"),
        ('member = "n1"', 'member = "n0"', "siblings"),
        ("[services]", "[services", "not TOML"),
    ],
)
def test_invalid_settings_are_reported_with_file_and_field(
    tmp_path: Path, old: str, new: str, field: str
) -> None:
    """An invalid value must be found when the file is read, not when the value is first used."""
    path = tmp_path / "bad.toml"
    assert old in VALID_SETTINGS
    path.write_text(VALID_SETTINGS.replace(old, new))
    with pytest.raises(SettingsError) as error:
        load(path)
    assert str(path) in str(error.value)
    assert field in str(error.value)
    result = CliRunner().invoke(main, ["check-config", str(path)])
    assert result.exit_code == 2
    assert result.output.count("\n") == 1


def test_missing_settings_file_is_reported_with_exit_code_2(tmp_path: Path) -> None:
    """The file name must be reported instead of a traceback."""
    result = CliRunner().invoke(main, ["serve", "--config", str(tmp_path / "none.toml")])
    assert result.exit_code == 2
    assert "none.toml" in result.output
