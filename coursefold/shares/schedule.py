"""Finds the window that is open and the shares in force at a given time."""

from collections.abc import Callable
from datetime import date, datetime, timedelta
from zoneinfo import ZoneInfo

from coursefold.shares.config import WEEKDAYS, ShareRule, SharesFile, Window, parse_clock

IsHoliday = Callable[[date], bool]
ONE_DAY = timedelta(days=1)
SECONDS_PER_MINUTE = 60.0


def load_holiday_calendar(country: str) -> IsHoliday:
    """Return a test for a country's public holidays; without a country no day is one."""
    if not country:
        return lambda day: False
    from holidays import country_holidays  # 9 MB of memory, needed only with holidays

    calendar = country_holidays(country)
    return lambda day: day in calendar


class Schedule:
    """The windows of a shares file, evaluated in the local time of the file's time zone.

    Windows follow the local clock, so on days with a clock change one may last longer or shorter.
    """

    def __init__(self, file: SharesFile) -> None:
        self.file = file
        self.timezone = ZoneInfo(file.timezone)
        self.is_holiday = load_holiday_calendar(file.holidays)
        self._cached_minute = -1
        self._cached_window: Window | None = None

    def window_at(self, wall_time: float) -> Window | None:
        """Return the open window, if any; the checks of the file exclude a second one.

        The result is cached for a minute of wall-clock time, the resolution of windows.
        """
        minute = int(wall_time // SECONDS_PER_MINUTE)
        if minute != self._cached_minute:
            local = datetime.fromtimestamp(wall_time, self.timezone)
            self._cached_minute = minute
            self._cached_window = next(
                (w for w in self.file.windows if self._is_open(w, local)), None
            )
        return self._cached_window

    def _is_open(self, window: Window, local: datetime) -> bool:
        start, end = parse_clock(window.start), parse_clock(window.end)
        clock = local.time().replace(second=0, microsecond=0)
        today = local.date()
        if start < end:
            return start <= clock < end and self._begins_on(window, today)
        # The window ends on the day after it begins, so it may have begun today or yesterday.
        has_begun_today = clock >= start and self._begins_on(window, today)
        return has_begun_today or (clock < end and self._begins_on(window, today - ONE_DAY))

    def _begins_on(self, window: Window, day: date) -> bool:
        if window.holidays != "also" and self.is_holiday(day) != (window.holidays == "only"):
            return False
        return WEEKDAYS[day.weekday()] in window.days

    def rules_at(self, wall_time: float) -> list[ShareRule]:
        """Return the shares in force: those of the open window, and the others of the file."""
        window = self.window_at(wall_time)
        if window is None:
            return self.file.shares
        named = {(rule.controller, rule.scope) for rule in window.shares}
        others = [r for r in self.file.shares if (r.controller, r.scope) not in named]
        return [*others, *window.shares]
