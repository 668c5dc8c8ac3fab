"""Which window of the file is open at a time of day."""

from collections.abc import Callable
from datetime import date, datetime, timedelta
from zoneinfo import ZoneInfo

from coursefold.shares.config import WEEKDAYS, ShareRule, SharesFile, Window, parse_clock

IsHoliday = Callable[[date], bool]
ONE_DAY = timedelta(days=1)
SECONDS_PER_MINUTE = 60.0


def load_holiday_calendar(country: str) -> IsHoliday:
    """A country's public holidays; no day is one without a country."""
    if not country:
        return lambda day: False
    from holidays import country_holidays  # 9 MB, only where they are asked for

    calendar = country_holidays(country)
    return lambda day: day in calendar


class Schedule:
    """The windows, in local time: on the days on which clocks change too."""

    def __init__(self, file: SharesFile) -> None:
        self.file = file
        self.timezone = ZoneInfo(file.timezone)
        self.is_holiday = load_holiday_calendar(file.holidays)
        self._cached_minute = -1
        self._cached_window: Window | None = None

    def window_at(self, wall: float) -> Window | None:
        """The window that is open; at most one is, as the file was checked for.

        Looked for once a minute, which is what windows are written in.
        """
        minute = int(wall // SECONDS_PER_MINUTE)
        if minute != self._cached_minute:
            local = datetime.fromtimestamp(wall, self.timezone)
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
        # It ends on the next day: either it has begun today, or yesterday.
        began_today = clock >= start and self._begins_on(window, today)
        return began_today or (clock < end and self._begins_on(window, today - ONE_DAY))

    def _begins_on(self, window: Window, day: date) -> bool:
        if window.holidays != "also" and self.is_holiday(day) != (window.holidays == "only"):
            return False
        return WEEKDAYS[day.weekday()] in window.days

    def rules_at(self, wall: float) -> list[ShareRule]:
        """The shares in force: the open window's, and the usual ones that it does not name."""
        window = self.window_at(wall)
        if window is None:
            return self.file.shares
        named = {(rule.controller, rule.scope) for rule in window.shares}
        usual = [r for r in self.file.shares if (r.controller, r.scope) not in named]
        return [*usual, *window.shares]
