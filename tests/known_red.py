"""Expect the tests listed in KNOWN-RED.txt to fail; each fails because of a known fault.

The file at the root of the repository has one line for each test:
`tests/test_x.py::test_y, the cause in a few words, issue 16`. No other test may fail. Listed
tests run like all others and are printed with their cause. The run fails if a listed test
passes or does not exist, if a line can't be parsed, or if more than three tests are listed.
"""

import re
from pathlib import Path
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_KNOWN_RED_COUNT = 3
LINE_PATTERN = re.compile(r"(?P<test>tests/[\w/]+\.py::\S+), (?P<cause>\S.*), issue (?P<issue>\d+)")


class KnownRedTest(NamedTuple):
    """A test that may fail, the cause of its failure, and the number of the issue."""

    test: str
    cause: str
    issue: int


def read_known_red(root: Path) -> list[KnownRedTest]:
    """Return the listed tests.

    Raises:
        pytest.UsageError: a line is malformed or too many tests are listed.
    """
    path = root / FILE_NAME
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED_COUNT:
        raise pytest.UsageError(
            f"{FILE_NAME}: {len(lines)} tests, and at most {MAX_KNOWN_RED_COUNT} may be known red"
        )
    known_red = []
    for line in lines:
        match = LINE_PATTERN.fullmatch(line.strip())
        if match is None:
            raise pytest.UsageError(f"{FILE_NAME}: {line!r} is not 'test, cause, issue N'")
        known_red.append(KnownRedTest(match["test"], match["cause"], int(match["issue"])))
    return known_red


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; the run fails if one of them passes."""
    by_id = {item.nodeid: item for item in items}
    collected = {item.nodeid.partition("::")[0] for item in items}
    for entry in read_known_red(config.rootpath):
        item = by_id.get(entry.test)
        file = entry.test.partition("::")[0]
        if item is not None:
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=f"{entry.cause}, issue {entry.issue}")
            )
        elif file in collected or not (config.rootpath / file).exists():
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {entry.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests with their causes."""
    for entry in read_known_red(terminalreporter.config.rootpath):
        terminalreporter.write_line(f"known red: {entry.test}: {entry.cause} (issue {entry.issue})")
