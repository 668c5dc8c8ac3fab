"""KNOWN-RED.txt: only the listed tests may fail, and each of them has to."""

import subprocess
import sys
from pathlib import Path

import pytest

REPOSITORY = Path(__file__).resolve().parent.parent
TEST_FILE = """
import pytest

def test_good(): pass
def test_bad(): assert 1 == 2
def test_worse(): raise OSError("gone")
@pytest.mark.parametrize("n", [1, 2])
def test_one(n): assert n == 1
"""
BAD_ENTRY = "tests/test_it.py::test_bad, two is not one, issue 7\n"
WORSE_ENTRY = "tests/test_it.py::test_worse, it is gone, issue 8\n"
ONE_2_ENTRY = "tests/test_it.py::test_one[2], it is two, issue 9\n"


@pytest.mark.parametrize(
    ("known_red", "exit_code"),
    [
        (None, 1),
        (BAD_ENTRY + WORSE_ENTRY + ONE_2_ENTRY, 0),
        (BAD_ENTRY + ONE_2_ENTRY, 1),  # test_worse fails and is not listed
        (
            BAD_ENTRY
            + WORSE_ENTRY
            + ONE_2_ENTRY
            + "tests/test_it.py::test_one[1], it passes, issue 9\n",
            4,
        ),
        (BAD_ENTRY + WORSE_ENTRY + "tests/test_it.py::test_one, not one test, issue 9\n", 4),
        (BAD_ENTRY + WORSE_ENTRY + "tests/test_other.py::test_x, no such file, issue 9\n", 4),
        (BAD_ENTRY + WORSE_ENTRY + "tests/test_it.py::test_one[2] it is two\n", 4),
        (BAD_ENTRY + WORSE_ENTRY + "tests/test_it.py::test_good, it passes, issue 9\n", 1),
    ],
)
def test_run_passes_only_if_exactly_the_listed_tests_fail(
    known_red: str | None, exit_code: int, tmp_path: Path
) -> None:
    """Failures of other tests must not pass unseen, nor entries that are mended or misspelled."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_it.py").write_text(TEST_FILE)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if known_red is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    completed = subprocess.run(
        [*command, "-p", "tests.known_red", "--rootdir", str(tmp_path), str(tmp_path / "tests")],
        cwd=REPOSITORY,
        env={"PYTHONPATH": str(REPOSITORY), "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == exit_code, completed.stdout + completed.stderr
    if exit_code == 0:
        assert "known red: tests/test_it.py::test_bad: two is not one (issue 7)" in completed.stdout
