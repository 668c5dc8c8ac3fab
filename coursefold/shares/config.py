"""The shares file: its structure, and the checks made before a controller uses it."""

import re
from collections.abc import Iterable
from datetime import time
from pathlib import Path
from typing import Annotated, Any, Literal
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import msgspec
from msgspec import Meta, Struct

from coursefold.settings import Settings, SettingsError, load_toml
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
    """The share of one controller in a machine type: a count of machines, or a weight.

    Attributes:
        controller: Name of a controller in the settings.
        type: Machine type that is shared.
        zone: Zone of the machines; empty for all zones together.
        machines: Machines that the controller is to own; exactly one of this and `weight` is set.
        weight: Part of the machines that are left after all counts, relative to other weights.
    """

    controller: ShortName
    type: ShortName
    zone: str = ""
    machines: MachineCount | None = None
    weight: Weight | None = None

    @property
    def scope(self) -> tuple[str, str]:
        """Return the machine type and zone that the rule applies to."""
        return (self.type, self.zone)


class Window(Struct, frozen=True, forbid_unknown_fields=True):
    """Shares that replace those of the same controllers and scopes at certain times of the week.

    Attributes:
        name: Name shown to operators.
        start: Local time (HH:MM) at which the window opens.
        end: Local time at which it closes, on the next day if it is not after `start`.
        shares: Shares in force while the window is open.
        days: Weekdays on which the window opens.
        holidays: Whether it also opens on public holidays, skips them, or opens only on them.
    """

    name: ShortName
    start: str
    end: str
    shares: list[ShareRule]
    days: tuple[Weekday, ...] = WEEKDAYS
    holidays: Literal["also", "skip", "only"] = "also"


class MoveLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the rate and the duration of moves.

    Attributes:
        at_once: Moves that may be in progress at the same time.
        a_minute: Moves that may be requested in a minute.
        mode: `drain` saves and stops tasks that fit elsewhere; `finish` waits until they end.
        limit_s: Time after which a move that is still in progress is withdrawn.
        retry_s: Time after a withdrawn move during which its machine is not moved.
        tolerance: Machines by which a controller may differ from its target without a move.
    """

    at_once: PositiveCount = 10
    a_minute: PositiveCount = 60
    mode: ModeName = "finish"
    limit_s: PositiveSeconds = 900.0
    retry_s: PositiveSeconds = 60.0
    tolerance: MachineCount = 1


class SharesFile(Struct, frozen=True, forbid_unknown_fields=True):
    """The parsed shares file (`deploy/shares.toml`), the same for every controller of a cell.

    Attributes:
        shares: Shares in force while no window is open, or which the open window leaves unchanged.
        windows: Windows, no two of which are open at the same time.
        moves: Limits on moves.
        timezone: IANA name of the time zone of the windows.
        holidays: ISO code of the country whose public holidays count, such as "IE"; empty: none.
    """

    shares: list[ShareRule] = []
    windows: list[Window] = []
    moves: MoveLimits = MoveLimits()
    timezone: ShortName = "UTC"
    holidays: str = ""


class SharesConfig:
    """A shares file that was checked, with the values that its users derive from it."""

    def __init__(self, file: SharesFile, settings: Settings) -> None:
        self.file = file
        self.moves = file.moves
        self.mode = MOVE_MODES[file.moves.mode]
        self.controllers = list_controllers(settings)


def list_controllers(settings: Settings) -> list[str]:
    """Return the names of all controllers in the settings, this one first."""
    return [settings.member, *(sibling.member for sibling in settings.siblings)]


def parse_clock(text: str) -> time:
    """Parse a time of day such as `18:30`; raise ValueError for any other text."""
    match = _CLOCK_TIME_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a time of day (HH:MM)")
    return time(int(match[1]), int(match[2]))


def _check_rules(
    rules: list[ShareRule], path: str, controllers: Iterable[str], zones: list[str]
) -> None:
    """Check a list of shares; `path` is its field in the file, for error messages."""
    seen: set[tuple[str, str, str]] = set()
    for index, rule in enumerate(rules):
        field = f"{path}[{index}]"
        if rule.controller not in controllers:
            raise SettingsError(f"{field}.controller: {rule.controller!r} is not in the settings")
        if rule.zone and rule.zone not in zones:
            raise SettingsError(f"{field}.zone: {rule.zone!r} is not in params.zones")
        if (rule.machines is None) == (rule.weight is None):
            raise SettingsError(f"{field}: either machines or weight has to be set, and not both")
        key = (rule.controller, *rule.scope)
        if key in seen:
            raise SettingsError(f"{field}: {rule.controller} has a share of {rule.type} already")
        seen.add(key)


def _check_scopes(rules: list[ShareRule], path: str) -> None:
    """Check that each type is shared by zones or as a whole; else machines would count twice."""
    by_zone = {rule.type: bool(rule.zone) for rule in rules}
    for index, rule in enumerate(rules):
        if bool(rule.zone) != by_zone[rule.type]:
            raise SettingsError(
                f"{path}[{index}].zone: {rule.type} is shared with and without zones"
            )


def _open_minutes_of_week(window: Window) -> set[int]:
    """Return the minutes of the week in which the window is open, regardless of holidays."""
    start = parse_clock(window.start)
    end = parse_clock(window.end)
    start_minute = start.hour * 60 + start.minute
    length = (end.hour * 60 + end.minute - start_minute) % MINUTES_PER_DAY or MINUTES_PER_DAY
    openings = [WEEKDAYS.index(day) * MINUTES_PER_DAY + start_minute for day in window.days]
    return {
        (opening + minute) % MINUTES_PER_WEEK for opening in openings for minute in range(length)
    }


def _check_windows(file: SharesFile, settings: Settings) -> None:
    """Check each window, and that no two of them are open at the same time."""
    controllers = list_controllers(settings)
    for index, window in enumerate(file.windows):
        path = f"windows[{index}]"
        for field, text in (("start", window.start), ("end", window.end)):
            try:
                parse_clock(text)
            except ValueError as error:
                raise SettingsError(f"{path}.{field}: {error}") from None
        if not window.days:
            raise SettingsError(f"{path}.days: none is named; give at least one weekday")
        if window.holidays != "also" and not file.holidays:
            raise SettingsError(
                f"{path}.holidays: the file names no country; set holidays to its ISO code"
            )
        _check_rules(window.shares, f"{path}.shares", controllers, settings.params.zones)
        _check_scopes([*file.shares, *window.shares], f"{path}.shares")
        for other in file.windows[:index]:
            if {window.holidays, other.holidays} == {"only", "skip"}:
                continue  # never open on the same day
            if _open_minutes_of_week(window) & _open_minutes_of_week(other):
                raise SettingsError(f"{path}: overlaps with window {other.name!r}")


def _check_calendar(file: SharesFile) -> None:
    """Check that the time zone and the country of the holidays are known."""
    try:
        ZoneInfo(file.timezone)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise SettingsError(f"timezone: {file.timezone!r} is not known") from None
    if file.holidays:
        from holidays import list_supported_countries  # 9 MB of memory, needed only with holidays

        if file.holidays not in list_supported_countries():
            raise SettingsError(f"holidays: the country {file.holidays!r} is not known")


def check_shares_file(file: SharesFile, settings: Settings) -> None:
    """Check what the field types do not express.

    Raises:
        SettingsError: A value is wrong; the message begins with its field.
    """
    _check_calendar(file)
    _check_rules(file.shares, "shares", list_controllers(settings), settings.params.zones)
    _check_scopes(file.shares, "shares")
    _check_windows(file, settings)


def load_shares(path: Path, settings: Settings) -> SharesConfig:
    """Read and check a shares file; raise a SettingsError that names the field of any fault."""

    def read(raw: dict[str, Any]) -> SharesConfig:
        file = msgspec.convert(raw, SharesFile)
        check_shares_file(file, settings)
        return SharesConfig(file, settings)

    return load_toml(path, read)
