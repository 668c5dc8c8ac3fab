"""The list of tests that may fail lets through just these, and only while they fail."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
TESTS = """
import pytest

def test_good(): pass
def test_bad(): assert 1 == 2
def test_worse(): raise OSError("gone")
@pytest.mark.parametrize("n", [1, 2])
def test_one(n): assert n == 1
"""
BAD = "tests/test_it.py::test_bad, two is not one, issue 7\n"
WORSE = "tests/test_it.py::test_worse, it is gone, issue 8\n"
TWO = "tests/test_it.py::test_one[2], it is two, issue 9\n"


@pytest.mark.parametrize(
    ("listed", "code"),
    [
        (None, 1),
        (BAD + WORSE + TWO, 0),
        (BAD + TWO, 1),  # one fails that is not listed
        (BAD + WORSE + TWO + "tests/test_it.py::test_one[1], it passes, issue 9\n", 4),
        (BAD + WORSE + "tests/test_it.py::test_one, not one test, issue 9\n", 4),
        (BAD + WORSE + "tests/test_other.py::test_x, no such file, issue 9\n", 4),
        (BAD + WORSE + "tests/test_it.py::test_one[2] it is two\n", 4),
        (BAD + WORSE + "tests/test_it.py::test_good, it passes, issue 9\n", 1),
    ],
)
def test_known_red(listed: str | None, code: int, tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_it.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    made = subprocess.run(
        [*command, "-p", "tests.known_red", "--rootdir", str(tmp_path), str(tmp_path / "tests")],
        cwd=ROOT,
        env={"PYTHONPATH": str(ROOT), "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
    )
    assert made.returncode == code, made.stdout + made.stderr
    if code == 0:
        assert "known red: tests/test_it.py::test_bad: two is not one (issue 7)" in made.stdout
