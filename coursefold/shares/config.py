"""The file of shares, read and checked before anything else happens."""

import re
from collections.abc import Iterable
from datetime import time
from pathlib import Path
from typing import Annotated, Any, Literal
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import msgspec
from msgspec import Meta, Struct

from coursefold.settings import Settings, SettingsError, read_file
from coursefold.storage.share_records import MoveMode

ShortName = Annotated[str, Meta(min_length=1, max_length=100)]
MachineCount = Annotated[int, Meta(ge=0, le=100_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=100_000)]
Weight = Annotated[float, Meta(ge=0, le=1_000)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=7 * 24 * 3600)]
Weekday = Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]
ModeName = Literal["finish", "drain"]

WEEKDAYS: tuple[Weekday, ...] = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
MOVE_MODES: dict[str, MoveMode] = {"finish": MoveMode.FINISH, "drain": MoveMode.DRAIN}
MINUTES_PER_DAY = 24 * 60
MINUTES_PER_WEEK = 7 * MINUTES_PER_DAY
_CLOCK_TIME_PATTERN = re.compile(r"([01]\d|2[0-3]):([0-5]\d)")


class ShareRule(Struct, frozen=True, forbid_unknown_fields=True):
    """What one controller is to own of a machine type: a count of machines, or a weight."""

    controller: ShortName
    type: ShortName
    zone: str = ""  # empty: all zones together
    machines: MachineCount | None = None
    weight: Weight | None = None

    @property
    def scope(self) -> tuple[str, str]:
        """The machines that the rule shares out."""
        return (self.type, self.zone)


class Window(Struct, frozen=True, forbid_unknown_fields=True):
    """Shares that hold at certain times of the week instead of the usual ones."""

    name: ShortName
    start: str
    end: str  # the next day, where it is not after `start`
    shares: list[ShareRule]
    days: tuple[Weekday, ...] = WEEKDAYS  # on which it begins
    holidays: Literal["also", "skip", "only"] = "also"


class MoveLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """How fast machines change hands."""

    at_once: PositiveCount = 10
    a_minute: PositiveCount = 60
    mode: ModeName = "finish"
    limit_s: PositiveSeconds = 900.0  # a move that is not done by then is withdrawn
    retry_s: PositiveSeconds = 60.0  # before the same machine is tried again
    tolerance: MachineCount = 1  # machines by which a share may be off


class SharesFile(Struct, frozen=True, forbid_unknown_fields=True):
    """`deploy/shares.toml`: the same file for every controller."""

    shares: list[ShareRule] = []
    windows: list[Window] = []
    moves: MoveLimits = MoveLimits()
    timezone: ShortName = "UTC"
    holidays: str = ""  # a country's public holidays, by its ISO code: "IE", "ZA"


class SharesConfig:
    """The checked file."""

    def __init__(self, file: SharesFile, settings: Settings) -> None:
        self.file = file
        self.moves = file.moves
        self.mode = MOVE_MODES[file.moves.mode]
        self.controllers = list_controllers(settings)


def list_controllers(settings: Settings) -> list[str]:
    """All controllers that the settings name."""
    return [settings.member, *(sibling.member for sibling in settings.siblings)]


def parse_clock(text: str) -> time:
    """`18:30` as a time of day."""
    match = _CLOCK_TIME_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is no time of day (HH:MM)")
    return time(int(match[1]), int(match[2]))


def _check_rules(
    rules: list[ShareRule], where: str, names: Iterable[str], zones: list[str]
) -> None:
    seen: set[tuple[str, str, str]] = set()
    for at, rule in enumerate(rules):
        field = f"{where}[{at}]"
        if rule.controller not in names:
            raise SettingsError(f"{field}.controller: {rule.controller!r} is not in the settings")
        if rule.zone and rule.zone not in zones:
            raise SettingsError(f"{field}.zone: {rule.zone!r} is not in params.zones")
        if (rule.machines is None) == (rule.weight is None):
            raise SettingsError(f"{field}: either machines or weight")
        key = (rule.controller, *rule.scope)
        if key in seen:
            raise SettingsError(f"{field}: {rule.controller} has a share of {rule.type} already")
        seen.add(key)


def _check_scopes(rules: list[ShareRule], where: str) -> None:
    """A type is shared out by zones or as a whole, or machines would count twice."""
    by_zone = {rule.type: bool(rule.zone) for rule in rules}
    for at, rule in enumerate(rules):
        if bool(rule.zone) != by_zone[rule.type]:
            raise SettingsError(f"{where}[{at}].zone: {rule.type} is shared with and without zones")


def _open_minutes_of_week(window: Window) -> set[int]:
    """The minutes of a week in which the window is open, without regard to holidays."""
    start = parse_clock(window.start)
    end = parse_clock(window.end)
    first = start.hour * 60 + start.minute
    length = (end.hour * 60 + end.minute - first) % MINUTES_PER_DAY or MINUTES_PER_DAY
    opens = [WEEKDAYS.index(day) * MINUTES_PER_DAY + first for day in window.days]
    return {(at + minute) % MINUTES_PER_WEEK for at in opens for minute in range(length)}


def _check_windows(file: SharesFile, settings: Settings) -> None:
    names = list_controllers(settings)
    for at, window in enumerate(file.windows):
        where = f"windows[{at}]"
        for field, text in (("start", window.start), ("end", window.end)):
            try:
                parse_clock(text)
            except ValueError as wrong:
                raise SettingsError(f"{where}.{field}: {wrong}") from None
        if not window.days:
            raise SettingsError(f"{where}.days: none is named")
        if window.holidays != "also" and not file.holidays:
            raise SettingsError(f"{where}.holidays: the file names no country's holidays")
        _check_rules(window.shares, f"{where}.shares", names, settings.params.zones)
        _check_scopes([*file.shares, *window.shares], f"{where}.shares")
        for other in file.windows[:at]:
            if {window.holidays, other.holidays} == {"only", "skip"}:
                continue  # never on the same day
            if _open_minutes_of_week(window) & _open_minutes_of_week(other):
                raise SettingsError(f"{where}: overlaps with window {other.name!r}")


def _check_calendar(file: SharesFile) -> None:
    try:
        ZoneInfo(file.timezone)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise SettingsError(f"timezone: {file.timezone!r} is not known") from None
    if file.holidays:
        from holidays import list_supported_countries  # 9 MB, only where they are asked for

        if file.holidays not in list_supported_countries():
            raise SettingsError(f"holidays: the country {file.holidays!r} is not known")


def check_shares_file(file: SharesFile, settings: Settings) -> None:
    """What types alone cannot say."""
    _check_calendar(file)
    _check_rules(file.shares, "shares", list_controllers(settings), settings.params.zones)
    _check_scopes(file.shares, "shares")
    _check_windows(file, settings)


def load_shares(path: Path, settings: Settings) -> SharesConfig:
    """Read and check the file; every fault is a SettingsError that names the field."""

    def read(raw: dict[str, Any]) -> SharesConfig:
        file = msgspec.convert(raw, SharesFile)
        check_shares_file(file, settings)
        return SharesConfig(file, settings)

    return read_file(path, read)
