"""Tests that are known to fail for a real fault, as KNOWN-RED.txt at the root lists them.

One line each: `tests/test_x.py::test_y, the cause in a few words, issue 16`. Only these may
fail. They are run like all others and printed with their cause; the run fails if a listed
test passes or does not exist, if a line can not be read, or if there are more than three.
"""

import re
from pathlib import Path
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_KNOWN_RED_COUNT = 3
LINE_PATTERN = re.compile(r"(?P<test>tests/[\w/]+\.py::\S+), (?P<cause>\S.*), issue (?P<issue>\d+)")


class KnownRedTest(NamedTuple):
    """A test that may fail, and why."""

    test: str
    cause: str
    issue: int


def read_known_red(root: Path) -> list[KnownRedTest]:
    """The listed tests; a file that is not as it should be ends the run."""
    path = root / FILE_NAME
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED_COUNT:
        raise pytest.UsageError(
            f"{FILE_NAME}: {len(lines)} tests, and at most {MAX_KNOWN_RED_COUNT} may be known red"
        )
    found = []
    for line in lines:
        match = LINE_PATTERN.fullmatch(line.strip())
        if match is None:
            raise pytest.UsageError(f"{FILE_NAME}: {line!r} is not 'test, cause, issue N'")
        found.append(KnownRedTest(match["test"], match["cause"], int(match["issue"])))
    return found


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail, strictly."""
    by_id = {item.nodeid: item for item in items}
    collected = {item.nodeid.partition("::")[0] for item in items}
    for red in read_known_red(config.rootpath):
        item = by_id.get(red.test)
        file = red.test.partition("::")[0]
        if item is not None:
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=f"{red.cause}, issue {red.issue}")
            )
        elif file in collected or not (config.rootpath / file).exists():
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {red.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for red in read_known_red(terminalreporter.config.rootpath):
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} (issue {red.issue})")
