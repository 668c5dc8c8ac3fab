"""Input of the shares extension: files, time windows, targets and operator commands."""

from datetime import datetime
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis.strategies import dictionaries, floats, integers, lists, sampled_from

from coursefold.cli import main
from coursefold.protocol.wire import encode
from coursefold.settings import Settings, SettingsError
from coursefold.shares.config import ShareRule, load_shares
from coursefold.shares.schedule import Schedule
from coursefold.shares.targets import Target, apportion, compute_targets, compute_transfers
from tests.shares_world import SharesFleet, shares_file
from tests.test_shares import FAST_MOVES, fleet_with_replicas
from tests.world import EPOCH, SETTINGS

ROOT = Path(__file__).resolve().parent.parent
CONTROLLERS = ("n0", "n1", "n2", "n3")
WINDOW = {"name": "refresh", "start": "22:00", "end": "02:00", "shares": []}
SHARE_RULE = {"controller": "n0", "type": "g2", "machines": 2}


def load_text(tmp_path: Path, text: str) -> Any:
    """Load the text as a shares file."""
    file = tmp_path / "shares.toml"
    file.write_text(text)
    return load_shares(file, msgspec.convert(SETTINGS, Settings))


INVALID_FILES = {
    'timezone = "Mars/Olympus"': "timezone: 'Mars/Olympus' is not known",
    'holidays = "XX"': "holidays: the country 'XX' is not known",
    "spare = 1": "unknown field `spare`",
    '[[shares]]\ncontroller = "n9"\ntype = "g2"\nmachines = 1': "shares[0].controller: 'n9'",
    '[[shares]]\ncontroller = "n0"\ntype = "g2"': "shares[0]: either machines or weight",
    '[[shares]]\ncontroller = "n0"\ntype = "g2"\nmachines = 1\nweight = 1.0': "shares[0]: either",
    '[[shares]]\ncontroller = "n0"\ntype = "g2"\nmachines = -1': "shares[0].machines",
    '[[shares]]\ncontroller = "n0"\ntype = "g2"\nmachines = 1000000': "shares[0].machines",
    '[[shares]]\ncontroller = "n0"\ntype = "g2"\nweight = nan': "not a finite number",
    '[[shares]]\ncontroller = "n0"\ntype = "g2"\nzone = "q"\nmachines = 1': "shares[0].zone: 'q'",
    "[moves]\nat_once = 0": "moves.at_once",
    '[moves]\nmode = "kill"': "moves.mode",
    "[moves]\nlimit_s = -1.0": "moves.limit_s",
    '[[windows]]\nname = "w"\nstart = "25:00"\nend = "02:00"\nshares = []': "windows[0].start",
    '[[windows]]\nname = "w"\nstart = "22:00"\nend = "late"\nshares = []': "windows[0].end",
    '[[windows]]\nname = "w"\nstart = "22:00"\nend = "02:00"\ndays = []\nshares = []': "days: none",
    '[[windows]]\nname = "w"\nstart = "22:00"\nend = "02:00"\nholidays = "skip"\nshares = []': (
        "windows[0].holidays: the file names no country"
    ),
}


@pytest.mark.parametrize("text", INVALID_FILES)
def test_a_bad_file_is_refused_in_one_line_that_names_the_field(tmp_path: Path, text: str) -> None:
    """An operator must find the wrong field from the single line of the error."""
    with pytest.raises(SettingsError) as caught:
        load_text(tmp_path, text)
    assert INVALID_FILES[text] in str(caught.value)
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("windows", "overlap"),
    [
        ([{}, {"start": "01:59", "end": "03:00"}], True),
        ([{}, {"start": "02:00", "end": "03:00"}], False),
        ([{"days": ["sun"]}, {"days": ["mon"], "start": "01:00", "end": "03:00"}], True),
        ([{"days": ["mon"]}, {"days": ["wed"]}], False),
        ([{"holidays": "skip"}, {"holidays": "only"}], False),
        ([{"start": "08:00", "end": "08:00"}, {"days": ["sat"]}], True),  # open for 24 hours
    ],
)
def test_windows_that_overlap_are_refused(
    tmp_path: Path, windows: list[dict[str, Any]], overlap: bool
) -> None:
    """Two windows open at once would leave the valid shares undefined."""
    lines = ['holidays = "IE"']
    for index, window in enumerate(windows):
        fields = WINDOW | {"name": f"w{index}"} | window
        lines += ["[[windows]]", *(f"{key} = {value!r}" for key, value in fields.items())]
    if overlap:
        with pytest.raises(SettingsError, match="overlaps with window 'w0'"):
            load_text(tmp_path, "\n".join(lines))
    else:
        assert len(load_text(tmp_path, "\n".join(lines)).file.windows) == len(windows)


def test_a_type_is_shared_by_zones_or_as_a_whole(tmp_path: Path) -> None:
    """Rules with and without a zone, or two of one controller, would count machines twice."""
    rule = '[[shares]]\ncontroller = "{}"\ntype = "g2"\nmachines = 1\nzone = "{}"\n'
    with pytest.raises(SettingsError, match=r"shares\[0\].zone: g2 is shared with and without"):
        load_text(tmp_path, rule.format("n0", "a") + rule.format("n1", ""))
    with pytest.raises(SettingsError, match=r"shares\[1\]: n0 has a share of g2 already"):
        load_text(tmp_path, rule.format("n0", "a") * 2)


def test_check_shares_accepts_the_example_and_fails_for_a_bad_file(tmp_path: Path) -> None:
    """Guards `check-shares`: exit code 0 for the example of the documentation, 2 for a bad file."""
    example = ROOT / "docs" / "example"
    settings = ["--config", str(example / "settings.toml")]
    result = CliRunner().invoke(main, ["check-shares", str(example / "shares.toml"), *settings])
    assert result.exit_code == 0, result.output
    assert "1 shares, 1 windows" in result.output
    assert "Africa/Johannesburg" in result.output
    bad = tmp_path / "bad.toml"
    bad.write_text("[[shares]]")
    assert CliRunner().invoke(main, ["check-shares", str(bad), *settings]).exit_code == 2


# Windows


def timestamp(text: str, zone: str = "Europe/Dublin", fold: int = 0) -> float:
    """Return the Unix time of a local time; `fold=1` is the second of two equal ones."""
    return datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone), fold=fold).timestamp()


@pytest.mark.parametrize(
    ("when", "fold", "is_open"),
    [
        ("2026-03-27T22:00", 0, True),  # Friday evening
        ("2026-03-27T21:59", 0, False),
        ("2026-03-28T01:59", 0, True),  # the window that opened on Friday
        ("2026-03-28T02:00", 0, False),
        ("2026-03-28T23:00", 0, False),  # Saturday
        ("2026-10-23T22:00", 0, True),
        ("2026-12-25T22:30", 0, False),  # a Friday, and Christmas Day
        ("2026-12-26T01:00", 0, False),  # the window that would have opened on the holiday
    ],
)
def test_a_window_over_midnight_follows_the_day_on_which_it_opens(
    when: str, fold: int, is_open: bool
) -> None:
    """Days and holidays belong to the date on which the window opens, also after midnight."""
    file = shares_file(
        timezone="Europe/Dublin", holidays="IE",
        windows=[WINDOW | {"days": ["fri"], "holidays": "skip"}],
    )  # fmt: skip
    window = Schedule(file).window_at(timestamp(when, fold=fold))
    assert (window is not None) == is_open


def test_windows_follow_local_time_on_days_of_a_clock_change() -> None:
    """A local time that does not exist, or exists twice, must not shift or lose a window."""
    night = WINDOW | {"start": "01:30", "end": "02:30", "days": ["sun"]}
    schedule = Schedule(shares_file(timezone="Europe/Dublin", windows=[night]))
    spring = timestamp("2026-03-29T00:59")
    opened = [minute for minute in range(0, 180) if schedule.window_at(spring + 60.0 * minute)]
    assert len(opened) == 30  # 1:00 to 2:00 does not exist, so it is open from 2:00 to 2:30
    autumn = timestamp("2026-10-25T00:59")
    opened = [minute for minute in range(0, 240) if schedule.window_at(autumn + 60.0 * minute)]
    assert len(opened) == 30 + 60  # 1:30 to 2:00, then 1:30 to 2:30 of the repeated hour
    holidays_only = shares_file(holidays="IE", windows=[WINDOW | {"holidays": "only"}])
    assert Schedule(holidays_only).window_at(timestamp("2026-12-25T23:00")) is not None
    assert Schedule(holidays_only).window_at(timestamp("2026-12-24T23:00")) is None


def test_an_open_window_replaces_the_shares_that_it_names() -> None:
    """Shares that the window does not name stay as they are."""
    other_rule = {"controller": "n1", "type": "g2", "machines": 5}
    night = WINDOW | {"shares": [SHARE_RULE | {"machines": 9}]}
    schedule = Schedule(shares_file(shares=[SHARE_RULE, other_rule], windows=[night]))
    by_day = {
        rule.controller: rule.machines for rule in schedule.rules_at(timestamp("2026-03-27T12:00"))
    }
    by_night = {
        rule.controller: rule.machines for rule in schedule.rules_at(timestamp("2026-03-27T23:00"))
    }
    assert by_day == {"n0": 2, "n1": 5}
    assert by_night == {"n0": 9, "n1": 5}


# Targets


@given(integers(0, 5000), lists(floats(0.0, 1000.0), min_size=1, max_size=9))
def test_parts_add_up_to_the_total(total: int, weights: list[float]) -> None:
    """Rounding must not lose machines, nor move a part by a machine or more."""
    parts = apportion(total, weights)
    assert sum(parts) == (total if sum(weights) > 0 else 0)
    weight_sum = sum(weights) or 1.0
    assert all(
        abs(part - total * weight / weight_sum) < 1 + 1e-6
        for part, weight in zip(parts, weights, strict=True)
    )


def share_rules(**shares: float) -> list[ShareRule]:
    """Return a rule per controller; an int is a machine count, a float a weight."""
    return [
        ShareRule(name, "g2", **{"machines" if isinstance(share, int) else "weight": share})  # type: ignore[arg-type]
        for name, share in shares.items()
    ]


@pytest.mark.parametrize(
    ("shares", "machines", "live", "expected"),
    [
        ({"n0": 3}, 20, CONTROLLERS, {"n0": 3}),
        ({"n0": 0}, 20, CONTROLLERS, {"n0": 0}),
        ({"n0": 30, "n1": 10}, 20, CONTROLLERS, {"n0": 15, "n1": 5}),  # too few machines
        ({"n0": 30, "n1": 10}, 20, CONTROLLERS[1:], {"n1": 10}),  # n0 is down
        ({"n0": 3.0}, 24, CONTROLLERS, {"n0": 12}),  # controllers without a rule have weight 1
        ({"n0": 4, "n1": 2.0}, 24, CONTROLLERS, {"n0": 4, "n1": 10}),
        ({"n0": 3}, 0, CONTROLLERS, {"n0": 0}),
        ({"n0": 90}, 90, CONTROLLERS, {"n0": 50}),  # limited by its 50 connections
    ],
)
def test_targets_follow_the_shares_and_give_a_reason_when_below(
    shares: dict[str, float], machines: int, live: tuple[str, ...], expected: dict[str, int]
) -> None:
    """Guards the targets when machines, controllers or connections are too few for the shares;
    a controller that gets less than its count has a reason.
    """
    targets = compute_targets(share_rules(**shares), machines, live, dict.fromkeys(live, 50))
    assert {name: target.machine_count for name, target in targets.items()} == expected
    falls_short = {
        name: isinstance(share, int) and share > expected.get(name, share)
        for name, share in shares.items()
    }
    assert {name: bool(target.reason) for name, target in targets.items()} == {
        name: falls_short[name] for name in targets
    }


@given(
    dictionaries(sampled_from(CONTROLLERS), integers(0, 40), min_size=4),
    dictionaries(sampled_from(CONTROLLERS), integers(0, 40)),
    integers(0, 3),
)
def test_transfers_lead_to_the_targets_and_move_no_more_than_needed(
    owned: dict[str, int], wanted: dict[str, int], tolerance: int
) -> None:
    """Guards against transfers that lose machines, overshoot, or move within the tolerance."""
    targets = {name: Target(count) for name, count in wanted.items()}
    after = dict(owned)
    for source, target, count in compute_transfers(owned, targets, tolerance, {}):
        assert count > 0
        after[source] -= count
        after[target] += count
    assert sum(after.values()) == sum(owned.values())
    assert min(after.values()) >= 0
    for name, wanted_target in targets.items():
        excess_before, excess_after = (
            owned[name] - wanted_target.machine_count,
            after[name] - wanted_target.machine_count,
        )
        assert abs(excess_after) <= max(abs(excess_before), 0)  # no controller gets further off
        if abs(excess_before) <= tolerance and len(targets) == 1:
            assert excess_after == excess_before  # hysteresis


# Commands


VALID_MOVE = {"RequestId": "r-1", "From": "n0", "To": "n1", "Type": "g2", "Count": 1}


@pytest.mark.parametrize(
    ("change", "status", "field"),
    [
        ({"From": "n9"}, 422, "From"),
        ({"To": "n0"}, 422, "To"),
        ({"Type": "g9"}, 422, "Type"),
        ({"Zone": "q"}, 422, "Zone"),
        ({"Zone": "a"}, 422, "Zone"),  # the file shares the type across all zones
        ({"Count": 0}, 400, "Count"),
        ({"Count": -1}, 400, "Count"),
        ({"Count": 90_000}, 422, "Count"),
        ({"Count": 1 << 63}, 400, "Count"),
        ({"Until": EPOCH}, 422, "Until"),
        ({"Until": 1e18}, 422, "Until"),
        ({"Mode": "kill"}, 400, "Mode"),
        ({"RequestId": "no/way"}, 400, "RequestId"),
        ({"Extra": 1}, 400, "Extra"),
    ],
)
def test_an_invalid_move_request_is_refused_and_names_the_field(
    fleet: SharesFleet, change: dict[str, Any], status: int, field: str
) -> None:
    """A refused request names its field and leaves no record."""
    response = fleet.command("/shares/move", VALID_MOVE | {"Until": EPOCH + 9000.0} | change)
    assert response.status == status
    assert field in response.body["error"]
    assert not fleet.store.rows("cf/r/")


@pytest.fixture(scope="module")
def fleet() -> SharesFleet:
    """Return a small fleet, shared by the tests that change nothing in it."""
    shared_fleet = SharesFleet(
        capacity=40, shares=[{"controller": "n4", "type": "g2", "machines": 2}]
    )
    shared_fleet.fill(10, 600.0)
    shared_fleet.run(30.0)
    return shared_fleet


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ({}, 400),
        ({"RequestId": "r-9", "Epoch": 3}, 400),
        ({"RequestId": "r-9"}, 404),
        ({"Epoch": 10**9}, 200),
        ({"Epoch": "x"}, 400),
    ],
)
def test_a_withdrawal_gets_400_if_malformed_and_404_if_the_request_is_unknown(
    fleet: SharesFleet, body: dict[str, Any], status: int
) -> None:
    """An epoch without moves gets a 200, as there is nothing left to withdraw."""
    assert fleet.command("/shares/withdraw", body).status == status


def test_only_the_leader_takes_commands_and_others_refer_to_it(fleet: SharesFleet) -> None:
    """Two controllers that take commands would plan the same machines. Bad bodies get a 400."""
    leader = fleet.wait_for_leader()
    other = next(node for node in fleet.nodes if node is not leader)
    response = fleet.command("/shares/withdraw", {"RequestId": "r-9"}, other)
    assert (response.status, response.retry_after) == (503, 1)
    assert leader.name in response.body["error"]
    assert fleet.command("/shares/other", {}).status == 404
    for raw in (b"", b"\xc1", encode([1]), b"\x93" * 50_000):
        responses: list[Any] = []
        fleet.request(
            leader.number,
            lambda core, ticket, raw=raw: core.handle_operator_command("/shares/move", raw, ticket),  # type: ignore[misc]
            responses.append,
            lambda: True,
        )
        fleet.run(fleet.now + 0.2)
        assert responses[0].status == 400


def test_a_window_that_ends_amid_moves_turns_them_back_without_stops() -> None:
    """Moves that are under way when a window ends are withdrawn; no task is stopped."""
    opens_at = datetime.fromtimestamp(EPOCH + 90.0, ZoneInfo("UTC"))
    ends_at = datetime.fromtimestamp(EPOCH + 150.0, ZoneInfo("UTC"))
    window = {
        "name": "evening", "start": opens_at.strftime("%H:%M"), "end": ends_at.strftime("%H:%M"),
        "shares": [SHARE_RULE | {"machines": 12}],
    }  # fmt: skip
    slow_moves = FAST_MOVES | {"at_once": 2, "a_minute": 6}
    world = fleet_with_replicas(24, shares=[SHARE_RULE], windows=[window], moves=slow_moves)
    world.run_until(lambda: world.counts()["n0"] >= 4, 120.0)
    shares_health = world.wait_for_leader().core.health_status()["shares"]
    assert shares_health["window"] == "evening"
    window_end = ends_at.replace(second=0).timestamp() - EPOCH
    world.run(window_end + 2.0)
    assert 4 <= world.counts()["n0"] < 12
    # One more than its share is within the tolerance.
    world.run_until(lambda: world.counts()["n0"] == 3, 120.0)
    assert not world.stops


def test_the_shares_commands_send_their_arguments(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the mapping of the `shares` commands' arguments to the HTTP bodies."""
    sent: list[Any] = []

    def fetch(node: str, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        sent.append((path, body))
        if path == "/shares/withdraw":
            return 200, {"Epoch": 47, "Machines": ["i-1"]}
        return 200, (body or {}) | {"FromCount": 1, "ToCount": 4, "Withdrawn": False}

    monkeypatch.setattr("coursefold.client._fetch", fetch)
    arguments = ["shares", "move", "--from", "n0", "--to", "n1", "--type", "g2", "--count", "2"]
    arguments += ["--request-id", "r-1", "--until"]
    result = CliRunner().invoke(main, [*arguments, "2026-12-04 18:00"])
    assert result.exit_code == 0, result.output
    assert "2 of g2 from n0 (then 1) to n1 (then 4), until 2026-12-04 18:00" in result.output
    path, body = sent[0]
    assert path == "/shares/move"
    until = datetime(2026, 12, 4, 18, 0).timestamp()
    expected = VALID_MOVE | {"Count": 2, "Zone": "", "Mode": "finish", "Until": until}
    assert body == expected
    assert CliRunner().invoke(main, [*arguments, "tonight"]).exit_code == 2
    result = CliRunner().invoke(main, ["shares", "withdraw", "47"])
    assert (sent[-1], result.exit_code) == (("/shares/withdraw", {"Epoch": 47}), 0)
    assert "moves of epoch 47 withdrawn: i-1" in result.output
