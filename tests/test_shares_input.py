"""Shares as they are written and asked for: files, windows, targets, commands."""

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
from tests.test_shares import FAST, with_replicas
from tests.world import EPOCH, SETTINGS

ROOT = Path(__file__).resolve().parent.parent
NAMES = ("n0", "n1", "n2", "n3")
WINDOW = {"name": "refresh", "start": "22:00", "end": "02:00", "shares": []}
RULE = {"controller": "n0", "type": "g2", "machines": 2}


def read(tmp_path: Path, text: str) -> Any:
    file = tmp_path / "shares.toml"
    file.write_text(text)
    return load_shares(file, msgspec.convert(SETTINGS, Settings))


BAD = {
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


@pytest.mark.parametrize("text", BAD)
def test_a_bad_file_is_refused_in_one_line_that_names_the_field(tmp_path: Path, text: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read(tmp_path, text)
    assert BAD[text] in str(caught.value)
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("windows", "overlap"),
    [
        ([{}, {"start": "01:59", "end": "03:00"}], True),
        ([{}, {"start": "02:00", "end": "03:00"}], False),
        ([{"days": ["sun"]}, {"days": ["mon"], "start": "01:00", "end": "03:00"}], True),
        ([{"days": ["mon"]}, {"days": ["wed"]}], False),
        ([{"holidays": "skip"}, {"holidays": "only"}], False),
        ([{"start": "08:00", "end": "08:00"}, {"days": ["sat"]}], True),  # a whole day
    ],
)
def test_windows_that_overlap_are_refused(
    tmp_path: Path, windows: list[dict[str, Any]], overlap: bool
) -> None:
    lines = ['holidays = "IE"']
    for at, window in enumerate(windows):
        fields = WINDOW | {"name": f"w{at}"} | window
        lines += ["[[windows]]", *(f"{key} = {value!r}" for key, value in fields.items())]
    if overlap:
        with pytest.raises(SettingsError, match="overlaps with window 'w0'"):
            read(tmp_path, "\n".join(lines))
    else:
        assert len(read(tmp_path, "\n".join(lines)).file.windows) == len(windows)


def test_a_type_is_shared_by_zones_or_as_a_whole(tmp_path: Path) -> None:
    rule = '[[shares]]\ncontroller = "{}"\ntype = "g2"\nmachines = 1\nzone = "{}"\n'
    with pytest.raises(SettingsError, match=r"shares\[0\].zone: g2 is shared with and without"):
        read(tmp_path, rule.format("n0", "a") + rule.format("n1", ""))
    with pytest.raises(SettingsError, match=r"shares\[1\]: n0 has a share of g2 already"):
        read(tmp_path, rule.format("n0", "a") * 2)


def test_the_example_is_good_and_bad_files_end_the_command(tmp_path: Path) -> None:
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


def at(text: str, zone: str = "Europe/Dublin", fold: int = 0) -> float:
    return datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone), fold=fold).timestamp()


@pytest.mark.parametrize(
    ("when", "fold", "is_open"),
    [
        ("2026-03-27T22:00", 0, True),  # Friday evening
        ("2026-03-27T21:59", 0, False),
        ("2026-03-28T01:59", 0, True),  # the night after it
        ("2026-03-28T02:00", 0, False),
        ("2026-03-28T23:00", 0, False),  # Saturday
        ("2026-10-23T22:00", 0, True),
        ("2026-12-25T22:30", 0, False),  # a Friday, and Christmas Day
        ("2026-12-26T01:00", 0, False),  # the night that began on it
    ],
)
def test_a_window_over_midnight(when: str, fold: int, is_open: bool) -> None:
    file = shares_file(
        timezone="Europe/Dublin", holidays="IE",
        windows=[WINDOW | {"days": ["fri"], "holidays": "skip"}],
    )  # fmt: skip
    window = Schedule(file).window_at(at(when, fold=fold))
    assert (window is not None) == is_open


def test_windows_on_the_days_on_which_clocks_change() -> None:
    """An hour that does not exist, and one that comes twice."""
    night = WINDOW | {"start": "01:30", "end": "02:30", "days": ["sun"]}
    schedule = Schedule(shares_file(timezone="Europe/Dublin", windows=[night]))
    spring = at("2026-03-29T00:59")
    opened = [m for m in range(0, 180) if schedule.window_at(spring + 60.0 * m)]
    assert len(opened) == 30  # from 2:00, which is when 1:00 would be, to 2:30
    autumn = at("2026-10-25T00:59")
    opened = [m for m in range(0, 240) if schedule.window_at(autumn + 60.0 * m)]
    assert len(opened) == 30 + 60  # 1:30 to 2:00, and once more with the hour after it
    only = shares_file(holidays="IE", windows=[WINDOW | {"holidays": "only"}])
    assert Schedule(only).window_at(at("2026-12-25T23:00")) is not None
    assert Schedule(only).window_at(at("2026-12-24T23:00")) is None


def test_an_open_window_replaces_the_shares_that_it_names() -> None:
    other = {"controller": "n1", "type": "g2", "machines": 5}
    night = WINDOW | {"shares": [RULE | {"machines": 9}]}
    schedule = Schedule(shares_file(shares=[RULE, other], windows=[night]))
    by_day = {r.controller: r.machines for r in schedule.rules_at(at("2026-03-27T12:00"))}
    by_night = {r.controller: r.machines for r in schedule.rules_at(at("2026-03-27T23:00"))}
    assert by_day == {"n0": 2, "n1": 5}
    assert by_night == {"n0": 9, "n1": 5}


# Targets


@given(integers(0, 5000), lists(floats(0.0, 1000.0), min_size=1, max_size=9))
def test_parts_sum_up_to_the_total(total: int, weights: list[float]) -> None:
    parts = apportion(total, weights)
    assert sum(parts) == (total if sum(weights) > 0 else 0)
    whole = sum(weights) or 1.0
    assert all(abs(p - total * w / whole) < 1 + 1e-6 for p, w in zip(parts, weights, strict=True))


def rules(**shares: float) -> list[ShareRule]:
    """Counts are whole numbers, weights are not."""
    return [
        ShareRule(name, "g2", **{"machines" if isinstance(n, int) else "weight": n})  # type: ignore[arg-type]
        for name, n in shares.items()
    ]


@pytest.mark.parametrize(
    ("shares", "machines", "live", "expected"),
    [
        ({"n0": 3}, 20, NAMES, {"n0": 3}),
        ({"n0": 0}, 20, NAMES, {"n0": 0}),
        ({"n0": 30, "n1": 10}, 20, NAMES, {"n0": 15, "n1": 5}),  # more than there are
        ({"n0": 30, "n1": 10}, 20, NAMES[1:], {"n1": 10}),  # one is down
        ({"n0": 3.0}, 24, NAMES, {"n0": 12}),  # the others have a weight of 1
        ({"n0": 4, "n1": 2.0}, 24, NAMES, {"n0": 4, "n1": 10}),
        ({"n0": 3}, 0, NAMES, {"n0": 0}),
        ({"n0": 90}, 90, NAMES, {"n0": 50}),  # it lacks the connections
    ],
)
def test_targets(
    shares: dict[str, float], machines: int, live: tuple[str, ...], expected: dict[str, int]
) -> None:
    found = compute_targets(rules(**shares), machines, live, dict.fromkeys(live, 50))
    assert {name: target.machine_count for name, target in found.items()} == expected
    short = {n: isinstance(s, int) and s > expected.get(n, s) for n, s in shares.items()}
    assert {name: bool(target.reason) for name, target in found.items()} == {
        name: short[name] for name in found
    }


@given(
    dictionaries(sampled_from(NAMES), integers(0, 40), min_size=4),
    dictionaries(sampled_from(NAMES), integers(0, 40)),
    integers(0, 3),
)
def test_transfers_lead_to_the_targets_and_move_no_more_than_needed(
    owned: dict[str, int], wanted: dict[str, int], tolerance: int
) -> None:
    targets = {name: Target(count) for name, count in wanted.items()}
    after = dict(owned)
    for source, target, count in compute_transfers(owned, targets, tolerance, {}):
        assert count > 0
        after[source] -= count
        after[target] += count
    assert sum(after.values()) == sum(owned.values())
    assert min(after.values()) >= 0
    for name, aim in targets.items():
        was, now = owned[name] - aim.machine_count, after[name] - aim.machine_count
        assert abs(now) <= max(abs(was), 0)  # none is further from its target than before
        if abs(was) <= tolerance and len(targets) == 1:
            assert now == was  # hysteresis


# Commands


GOOD = {"RequestId": "r-1", "From": "n0", "To": "n1", "Type": "g2", "Count": 1}


@pytest.mark.parametrize(
    ("change", "status", "field"),
    [
        ({"From": "n9"}, 422, "From"),
        ({"To": "n0"}, 422, "To"),
        ({"Type": "g9"}, 422, "Type"),
        ({"Zone": "q"}, 422, "Zone"),
        ({"Zone": "a"}, 422, "Zone"),  # the file shares the type as a whole
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
def test_bad_requests(fleet: SharesFleet, change: dict[str, Any], status: int, field: str) -> None:
    answer = fleet.command("/shares/move", GOOD | {"Until": EPOCH + 9000.0} | change)
    assert answer.status == status
    assert field in answer.body["error"]
    assert not fleet.store.rows("cf/r/")


@pytest.fixture(scope="module")
def fleet() -> SharesFleet:
    """A small one, of which nothing is changed."""
    found = SharesFleet(capacity=40, shares=[{"controller": "n4", "type": "g2", "machines": 2}])
    found.fill(10, 600.0)
    found.run(30.0)
    return found


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
def test_what_there_is_not_is_not_withdrawn(
    fleet: SharesFleet, body: dict[str, Any], status: int
) -> None:
    assert fleet.command("/shares/withdraw", body).status == status


def test_only_the_leader_takes_commands_and_others_name_it(fleet: SharesFleet) -> None:
    led = fleet.led()
    other = next(n for n in fleet.nodes if n is not led)
    answer = fleet.command("/shares/withdraw", {"RequestId": "r-9"}, other)
    assert (answer.status, answer.retry_after) == (503, 1)
    assert led.name in answer.body["error"]
    assert fleet.command("/shares/other", {}).status == 404
    for raw in (b"", b"\xc1", encode([1]), b"\x93" * 50_000):
        answers: list[Any] = []
        fleet.request(
            led.number,
            lambda core, t, raw=raw: core.handle_operator_command("/shares/move", raw, t),  # type: ignore[misc]
            answers.append,
            lambda: True,
        )
        fleet.run(fleet.now + 0.2)
        assert answers[0].status == 400


def test_a_window_that_opens_and_ends_in_the_middle_of_moves() -> None:
    """Machines that were on their way when it ends stay where they are."""
    opens = datetime.fromtimestamp(EPOCH + 90.0, ZoneInfo("UTC"))
    ends = datetime.fromtimestamp(EPOCH + 150.0, ZoneInfo("UTC"))
    window = {
        "name": "evening", "start": opens.strftime("%H:%M"), "end": ends.strftime("%H:%M"),
        "shares": [RULE | {"machines": 12}],
    }  # fmt: skip
    slow = FAST | {"at_once": 2, "a_minute": 6}
    world = with_replicas(24, shares=[RULE], windows=[window], moves=slow)
    world.run_until(lambda: world.counts()["n0"] >= 4, 120.0)
    shown = world.led().core.health_status()["shares"]
    assert shown["window"] == "evening"
    end = ends.replace(second=0).timestamp() - EPOCH
    world.run(end + 2.0)
    assert 4 <= world.counts()["n0"] < 12
    world.run_until(lambda: world.counts()["n0"] == 3, 120.0)  # within one of its share
    assert not world.stops


def test_the_command_line_sends_what_it_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    sent: list[Any] = []

    def fetch(node: str, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        sent.append((path, body))
        if path == "/shares/withdraw":
            return 200, {"Epoch": 47, "Machines": ["i-1"]}
        return 200, (body or {}) | {"FromCount": 1, "ToCount": 4, "Withdrawn": False}

    monkeypatch.setattr("coursefold.client._fetch", fetch)
    words = ["shares", "move", "--from", "n0", "--to", "n1", "--type", "g2", "--count", "2"]
    words += ["--request-id", "r-1", "--until"]
    result = CliRunner().invoke(main, [*words, "2026-12-04 18:00"])
    assert result.exit_code == 0, result.output
    assert "2 of g2 from n0 (then 1) to n1 (then 4), until 2026-12-04 18:00" in result.output
    path, body = sent[0]
    assert path == "/shares/move"
    until = datetime(2026, 12, 4, 18, 0).timestamp()
    expected = GOOD | {"Count": 2, "Zone": "", "Mode": "finish", "Until": until}
    assert body == expected
    assert CliRunner().invoke(main, [*words, "tonight"]).exit_code == 2
    result = CliRunner().invoke(main, ["shares", "withdraw", "47"])
    assert (sent[-1], result.exit_code) == (("/shares/withdraw", {"Epoch": 47}), 0)
    assert "moves of epoch 47 withdrawn: i-1" in result.output
